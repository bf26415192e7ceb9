"""Deliberate faults: each breaks one rule of the real reducers at run time, and the checker must find it."""

from collections.abc import Iterator
from contextlib import contextmanager
from typing import Any, NamedTuple
from unittest.mock import patch

from immutables import Map

from quillstall.controlplane import book, shelf
from quillstall.replication import ballot, group
from quillstall.replication.group import Box, Copy, Seat
from quillstall.runtime.effect import Done, Return, Told, Write, Wrote
from quillstall.testbed.model.state import Limits, Setup


@contextmanager
def return_before_backups() -> Iterator[None]:
    """A primary answers when its own disk has the changes, whatever its backups say."""
    real = group.send

    def send(box: Box, part: str) -> None:
        real(box, part)
        flight = box.copy(part).flight
        if flight:
            box.put(box.copy(part)._replace(flight=flight._replace(want=())))
            group.land(box, part)

    with patch.object(group, 'send', send):
        yield


@contextmanager
def return_before_own_disk() -> Iterator[None]:
    """A primary answers when its backups have the changes, whatever its own disk says."""
    real = group.Flight

    def flight(*values: Any, **named: Any) -> Any:
        return real(*values, **{**named, 'own': True})

    with patch.object(group, 'Flight', flight):
        yield


@contextmanager
def accept_old_session() -> Iterator[None]:
    """A backup takes the frames of an earlier session."""
    real = group.tell

    def tell(box: Box, event: Told) -> None:
        copy, message = box.copy(event.message['part']), event.message
        if message['k'] == 'frame' and copy:
            first = min(message['first'], copy.seq)
            event = event._replace(message={**message, 'session': copy.session, 'first': first})
        real(box, event)

    with patch.object(group, 'tell', tell):
        yield


@contextmanager
def accept_gap() -> Iterator[None]:
    """A backup takes changes that do not follow on what it has."""
    real = group.tell

    def tell(box: Box, event: Told) -> None:
        if 'first' in event.message:
            event = event._replace(message={**event.message, 'first': 0})
        real(box, event)

    with patch.object(group, 'tell', tell):
        yield


@contextmanager
def accept_old_epoch() -> Iterator[None]:
    """A member confirms what comes under an epoch that it knows to be over."""
    real = group.tell

    def tell(box: Box, event: Told) -> None:
        message, copy = event.message, box.copy(event.message['part'])
        if message['k'] in ('frame', 'hello') and copy and copy.seat and copy.seat.epoch > message['seat'][0]:
            box.out.append(Return(event.call, {'ok': True, 'seq': message.get('seq', 0), 'tail': []}))
            return
        real(box, event)

    with patch.object(group, 'tell', tell):
        yield


@contextmanager
def skip_seal() -> Iterator[None]:
    """The leader of a move goes on confirming the epoch that the move ends."""
    real = group.after

    def after(box: Box, part: str) -> None:
        real(box, part)
        copy = box.copy(part)
        if copy.sealed and copy.shift:
            box.put(copy._replace(sealed=False))

    with patch.object(group, 'after', after):
        yield


@contextmanager
def forget_seal() -> Iterator[None]:
    """The seal is not kept on the disk."""
    real = group.mark

    with patch.object(group, 'mark', lambda copy: real(copy._replace(sealed=False))):
        yield


@contextmanager
def forget_seat() -> Iterator[None]:
    """The disk keeps the rows and not the newest replica set."""
    real = group.mark

    def mark(copy: Copy) -> Any:
        return real(copy._replace(seat=Seat(1, 0, 'a', 'b')) if copy.seat else copy)

    with patch.object(group, 'mark', mark):
        yield


@contextmanager
def propose_early() -> Iterator[None]:
    """The leader of a move asks for the new replica set before the joiner has the last changes."""
    real = group.after

    def after(box: Box, part: str) -> None:
        copy = box.copy(part)
        if copy.shift and copy.shift.stage in ('follow', 'last') and not copy.shift.out:
            box.put(copy._replace(shift=copy.shift._replace(upto=copy.seq)))
        real(box, part)

    with patch.object(group, 'after', after):
        yield


@contextmanager
def always_fit() -> Iterator[None]:
    """A member takes a place in a replica set whatever its copy holds."""
    with patch.object(group, 'fit', lambda me, copy, seat: seat.holds(me)):
        yield


@contextmanager
def joiner_keeps_rows() -> Iterator[None]:
    """A joiner that has rows of an earlier time keeps them in place of the image."""
    real = group.fill

    def fill(box: Box, event: Told, copy: Copy | None) -> None:
        real(box, event, copy)
        now = box.copy(event.message['part'])
        if copy and copy.rows and now.full:
            box.put(now._replace(rows=copy.rows))
            puts = tuple(group.Put(copy.part, key, value) for key, value in copy.rows.items())
            box.out[-1] = box.out[-1]._replace(puts=box.out[-1].puts + puts)

    with patch.object(group, 'fill', fill):
        yield


@contextmanager
def joiner_drops_changes() -> Iterator[None]:
    """A joiner confirms the changes since its image without taking them."""
    real = group.tell

    def tell(box: Box, event: Told) -> None:
        if event.message['k'] == 'follow':
            event = event._replace(message={**event.message, 'changes': ()})
        real(box, event)

    with patch.object(group, 'tell', tell):
        yield


@contextmanager
def confirm_before_sync() -> Iterator[None]:
    """A backup confirms before its disk has the changes."""
    real = group.tell

    def tell(box: Box, event: Told) -> None:
        real(box, event)
        if any(type(e) is Write and e.tag[3] == 'told' for e in box.out):
            box.out.append(Return(event.call, {'ok': True}))

    with patch.object(group, 'tell', tell):
        yield


@contextmanager
def read_without_backups() -> Iterator[None]:
    """A primary answers reads without asking its backups whether it still leads."""
    real = group.send

    def send(box: Box, part: str) -> None:
        copy = box.copy(part)
        if copy.flight.changes:
            real(box, part)
            return
        box.put(copy._replace(flight=copy.flight._replace(want=())))
        group.land(box, part)

    with patch.object(group, 'send', send):
        yield


@contextmanager
def return_on_grant() -> Iterator[None]:
    """A primary that is given a new replica set answers what was still being confirmed."""
    real = group.grant

    def grant(box: Box, part: str, seat: Seat) -> None:
        copy = box.copy(part)
        if copy and copy.flight and copy.seat.epoch < seat.epoch:
            box.out.extend(Done(item.tag, item.ret) for item in copy.flight.items)
            box.put(copy._replace(flight=None))
        real(box, part, seat)

    with patch.object(group, 'grant', grant):
        yield


@contextmanager
def ignore_longer_tail() -> Iterator[None]:
    """A primary that has restarted does not take what a backup has beyond its own disk."""
    real = group.agree

    def agree(box: Box, part: str) -> None:
        copy = box.copy(part)
        met = Map({name: (min(seq, copy.seq), ()) for name, (seq, _) in copy.met.items()})
        box.put(copy._replace(met=met))
        real(box, part)

    with patch.object(group, 'agree', agree):
        yield


@contextmanager
def forget_repeats() -> Iterator[None]:
    """A change that is sent again is made again."""
    with patch.object(book, 'repeated', lambda rows, c: None):
        yield


@contextmanager
def ignore_base() -> Iterator[None]:
    """A change is made whatever it was based on."""
    real = book.put_policy

    def put_policy(rows: Map, c: dict, now: Any) -> tuple:
        return real(rows, {**c, 'base': None}, now)

    with patch.dict(book.OPS, {'apply': put_policy}):
        yield


@contextmanager
def begin_again() -> Iterator[None]:
    """Unrepeatable work is begun whatever is kept under its key."""
    real = shelf.OPS['once_begin']

    with patch.dict(shelf.OPS, {'once_begin': lambda rows, c, now: real(Map(), c, now)}):
        yield


@contextmanager
def grant_any_base() -> Iterator[None]:
    """The authority grants a replica set whichever it follows."""
    real = book.seat

    def seat(rows: Map, c: dict, now: Any) -> tuple:
        have = tuple(rows[f'part/{c["part"]}'])
        epoch, _, *names = c['seat']
        if epoch <= have[0] and names != list(have[2:]):
            return (), {'ok': True, 'seat': [have[0] + 1, epoch - 1, *names]}
        return real(rows, c, now)

    with patch.object(book, 'seat', seat):
        yield


@contextmanager
def promise_before_sync() -> Iterator[None]:
    """A voter answers before its disk has its promise."""
    real = ballot.cast

    def cast(voter: Any, told: Told) -> tuple:
        voter, effects = real(voter, told)
        if type(effects[0]) is Write:
            effects += ballot.wrote(Wrote(effects[0].tag))
        return voter, effects

    with patch.object(ballot, 'cast', cast):
        yield


@contextmanager
def forget_promise() -> Iterator[None]:
    """A voter's disk keeps what it accepted and not what it promised."""
    real = ballot.save

    def save(voter: Any) -> Any:
        return real(voter._replace(promised=voter.seat[0] if voter.seat else 0))

    with patch.object(ballot, 'save', save):
        yield


@contextmanager
def accept_lower() -> Iterator[None]:
    """A voter accepts a replica set of a lower epoch than it has promised."""
    real = ballot.cast

    def cast(voter: Any, told: Told) -> tuple:
        if told.message['k'] == 'accept':
            voter = voter._replace(promised=0)
        return real(voter, told)

    with patch.object(ballot, 'cast', cast):
        yield


@contextmanager
def vote_twice() -> Iterator[None]:
    """A voter gives its ballot of one epoch to every candidate."""
    real = ballot.cast

    def cast(voter: Any, told: Told) -> tuple:
        if told.message['k'] == 'ballot' and told.message['epoch'] == voter.promised:
            voter = voter._replace(promised=voter.promised - 1)
        return real(voter, told)

    with patch.object(ballot, 'cast', cast):
        yield


@contextmanager
def ignore_newest() -> Iterator[None]:
    """A candidate goes on from its own replica set, whatever newer one the voters know."""
    real = ballot.heard

    def heard(run: Any, event: Any, *more: Any) -> tuple:
        if event.ret and event.ret.get('seat'):
            event = event._replace(ret={**event.ret, 'seat': None})
        return real(run, event, *more)

    with patch.object(ballot, 'heard', heard):
        yield


@contextmanager
def half_is_enough() -> Iterator[None]:
    """Half of the voters count as a majority."""

    def most(names: tuple, crews: tuple) -> bool:
        return all(sum(1 for n, _ in crew if n in names) * 2 >= len(crew) for crew in crews)

    with patch.object(ballot, 'most', most):
        yield


class Break(NamedTuple):
    """A deliberate fault, and the cluster in which it is looked for.

    >>> BREAKS['half_is_enough'].setup.core
    True
    """

    patch: Any
    setup: Setup


LIMITS = Limits(8, 3, 1, 4, 14, 5, 2)
PARTITION = Setup(limits=LIMITS, macros=True)
THREE_COPIES = PARTITION._replace(names=('a', 'b', 'c', 'd'), copies=3)
ONCE = PARTITION._replace(kinds=('begin',))
REPEATED = PARTITION._replace(kinds=('put', 'repeat'))
CORE = PARTITION._replace(core=True)
CORE_OF_FOUR = CORE._replace(names=('a', 'b', 'c', 'd'))
CORE_OF_FIVE = CORE._replace(names=('a', 'b', 'c', 'd', 'e'))

BREAKS = {
    'return_before_backups': Break(return_before_backups, PARTITION),
    'return_before_own_disk': Break(return_before_own_disk, PARTITION),
    'accept_old_session': Break(accept_old_session, PARTITION),
    'accept_gap': Break(accept_gap, PARTITION),
    'accept_old_epoch': Break(accept_old_epoch, PARTITION),
    'skip_seal': Break(skip_seal, PARTITION),
    'forget_seal': Break(forget_seal, PARTITION),
    'forget_seat': Break(forget_seat, PARTITION),
    'propose_early': Break(propose_early, PARTITION),
    'always_fit': Break(always_fit, PARTITION),
    'joiner_keeps_rows': Break(joiner_keeps_rows, PARTITION),
    'joiner_drops_changes': Break(joiner_drops_changes, PARTITION),
    'confirm_before_sync': Break(confirm_before_sync, PARTITION),
    'read_without_backups': Break(read_without_backups, PARTITION),
    'return_on_grant': Break(return_on_grant, PARTITION),
    'ignore_longer_tail': Break(ignore_longer_tail, PARTITION),
    'forget_repeats': Break(forget_repeats, REPEATED),
    'ignore_base': Break(ignore_base, PARTITION),
    'begin_again': Break(begin_again, ONCE),
    'grant_any_base': Break(grant_any_base, PARTITION),
    'promise_before_sync': Break(promise_before_sync, CORE),
    'forget_promise': Break(forget_promise, CORE),
    'accept_lower': Break(accept_lower, CORE),
    'vote_twice': Break(vote_twice, CORE),
    'ignore_newest': Break(ignore_newest, CORE),
    'half_is_enough': Break(half_is_enough, CORE_OF_FOUR),
}
