"""Deliberate faults: each breaks one rule of the real reducers at run time, and the checker must find it."""

from collections.abc import Iterator
from contextlib import contextmanager
from typing import Any
from unittest.mock import patch

from immutables import Map

from quillstall.controlplane import book, core, core_state, shelf
from quillstall.replication import ballot, group
from quillstall.replication.group import Copy, ReplicaSet, StepContext
from quillstall.runtime.effect import Done, Propose, Return, Told, Write, Wrote


@contextmanager
def return_before_backups() -> Iterator[None]:
    """A primary answers when its own disk has the changes, whatever its backups say."""
    real = group.send_batch

    def send(context: StepContext, part: str) -> None:
        real(context, part)
        batch = context.copy(part).batch
        if batch:
            context.put(context.copy(part)._replace(batch=batch._replace(awaiting=())))
            group.finish_batch(context, part)

    with patch.object(group, 'send_batch', send):
        yield


@contextmanager
def return_before_own_disk() -> Iterator[None]:
    """A primary answers when its backups have the changes, whatever its own disk says."""
    real = group.Batch

    def flight(*values: Any, **named: Any) -> Any:
        return real(*values, **{**named, 'synced': True})

    with patch.object(group, 'Batch', flight):
        yield


@contextmanager
def accept_old_session() -> Iterator[None]:
    """A backup takes the frames of an earlier session."""
    real = group.handle_message

    def tell(context: StepContext, event: Told) -> None:
        copy, message = context.copy(event.message['part']), event.message
        if message['k'] == 'frame' and copy:
            first = min(message['first'], copy.seq)
            event = event._replace(message={**message, 'session': copy.session, 'first': first})
        real(context, event)

    with patch.object(group, 'handle_message', tell):
        yield


@contextmanager
def accept_old_epoch() -> Iterator[None]:
    """A member confirms what comes under an epoch that it knows to be over."""
    real = group.handle_message

    def tell(context: StepContext, event: Told) -> None:
        message, copy = event.message, context.copy(event.message['part'])
        if (
            message['k'] in ('frame', 'hello')
            and copy
            and copy.replica_set
            and copy.replica_set.epoch > message['seat'][0]
        ):
            context.effects.append(Return(event.call, {'ok': True, 'seq': message.get('seq', 0), 'tail': []}))
            return
        real(context, event)

    with patch.object(group, 'handle_message', tell):
        yield


@contextmanager
def skip_seal() -> Iterator[None]:
    """The leader of a move goes on confirming the epoch that the move ends."""
    real = group.continue_reconfiguration

    def after(context: StepContext, part: str) -> None:
        real(context, part)
        copy = context.copy(part)
        if copy.sealed and copy.reconfiguration:
            context.put(copy._replace(sealed=False))

    with patch.object(group, 'continue_reconfiguration', after):
        yield


@contextmanager
def forget_seal() -> Iterator[None]:
    """The seal is not kept on the disk."""
    real = group.metadata_row

    with patch.object(group, 'metadata_row', lambda copy: real(copy._replace(sealed=False))):
        yield


@contextmanager
def forget_seat() -> Iterator[None]:
    """The disk keeps the rows and not the newest replica set."""
    real = group.metadata_row

    def mark(copy: Copy) -> Any:
        return real(copy._replace(replica_set=ReplicaSet(1, 0, 'a', 'b')) if copy.replica_set else copy)

    with patch.object(group, 'metadata_row', mark):
        yield


@contextmanager
def propose_early() -> Iterator[None]:
    """The leader of a move asks for the new replica set before the joiner has the last changes, and the joiner
    does not see that some are missing."""
    real, real_tell = group.continue_reconfiguration, group.handle_message

    def after(context: StepContext, part: str) -> None:
        copy = context.copy(part)
        if (
            copy.reconfiguration
            and copy.reconfiguration.stage in ('follow', 'last')
            and not copy.reconfiguration.request_pending
        ):
            context.put(copy._replace(reconfiguration=copy.reconfiguration._replace(sent_seq=copy.seq)))
        real(context, part)

    def tell(context: StepContext, event: Told) -> None:
        if event.message['k'] == 'follow':
            event = event._replace(message={**event.message, 'first': 0})
        real_tell(context, event)

    with patch.object(group, 'continue_reconfiguration', after), patch.object(group, 'handle_message', tell):
        yield


@contextmanager
def skip_fill() -> Iterator[None]:
    """The leader of a move asks for the new replica set without bringing the joiner up."""
    real = group.continue_reconfiguration

    def after(context: StepContext, part: str) -> None:
        copy = context.copy(part)
        if copy.reconfiguration and copy.reconfiguration.stage == 'fill':
            context.put(copy._replace(reconfiguration=copy.reconfiguration._replace(stage='propose')))
            context.effects.append(Propose(part, tuple(copy.reconfiguration.replica_set)))
            return
        real(context, part)

    with patch.object(group, 'continue_reconfiguration', after):
        yield


@contextmanager
def always_fit() -> Iterator[None]:
    """A member takes a place in a replica set whatever its copy holds, and is not brought up before."""
    with skip_fill(), patch.object(group, 'is_eligible', lambda me, copy, seat: seat.includes(me)):
        yield


@contextmanager
def joiner_keeps_rows() -> Iterator[None]:
    """A joiner that has rows of an earlier time keeps them in place of the image."""
    real = group.receive_fill

    def fill(context: StepContext, event: Told, copy: Copy | None) -> None:
        real(context, event, copy)
        now = context.copy(event.message['part'])
        if copy and copy.rows and now.has_all_rows:
            context.put(now._replace(rows=copy.rows))
            puts = tuple(group.Put(copy.partition, key, value) for key, value in copy.rows.items())
            context.effects[-1] = context.effects[-1]._replace(puts=context.effects[-1].puts + puts)

    with patch.object(group, 'receive_fill', fill):
        yield


@contextmanager
def joiner_drops_changes() -> Iterator[None]:
    """A joiner confirms the changes since its image without taking them."""
    real = group.handle_message

    def tell(context: StepContext, event: Told) -> None:
        if event.message['k'] == 'follow':
            event = event._replace(message={**event.message, 'changes': (), 'first': 0})
        real(context, event)

    with patch.object(group, 'handle_message', tell):
        yield


@contextmanager
def confirm_before_sync() -> Iterator[None]:
    """A backup confirms before its disk has the changes."""
    real = group.handle_message

    def tell(context: StepContext, event: Told) -> None:
        real(context, event)
        if event.message['k'] == 'frame' and any(
            type(e) is Write and e.tag[3] == 'told' for e in context.effects
        ):
            context.effects.append(Return(event.call, {'ok': True}))

    with patch.object(group, 'handle_message', tell):
        yield


@contextmanager
def read_without_backups() -> Iterator[None]:
    """A primary answers reads without asking its backups whether it still leads."""
    real = group.send_batch

    def send(context: StepContext, part: str) -> None:
        copy = context.copy(part)
        if copy.batch.changes:
            real(context, part)
            return
        context.put(copy._replace(batch=copy.batch._replace(awaiting=())))
        group.finish_batch(context, part)

    with patch.object(group, 'send_batch', send):
        yield


@contextmanager
def return_on_grant() -> Iterator[None]:
    """A primary that is given a new replica set answers what was still being confirmed."""
    real = group.apply_grant

    def grant(context: StepContext, part: str, seat: ReplicaSet) -> None:
        copy = context.copy(part)
        if copy and copy.batch and copy.replica_set.epoch < seat.epoch:
            context.effects.extend(Done(item.tag, item.reply) for item in copy.batch.commands)
            context.put(copy._replace(batch=None))
        real(context, part, seat)

    with patch.object(group, 'apply_grant', grant):
        yield


@contextmanager
def ignore_longer_tail() -> Iterator[None]:
    """A primary that has restarted does not take what a backup has beyond its own disk."""
    real = group.synchronize_backups

    def agree(context: StepContext, part: str) -> None:
        copy = context.copy(part)
        backup_positions = Map(
            {name: (min(seq, copy.seq), ()) for name, (seq, _) in copy.backup_positions.items()}
        )
        context.put(copy._replace(backup_positions=backup_positions))
        real(context, part)

    with patch.object(group, 'synchronize_backups', agree):
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
    real = ballot.vote

    def cast(voter: Any, told: Told) -> tuple:
        voter, effects = real(voter, told)
        if type(effects[0]) is Write:
            effects += ballot.reply_after_write(Wrote(effects[0].tag))
        return voter, effects

    with patch.object(ballot, 'vote', cast):
        yield


@contextmanager
def forget_promise() -> Iterator[None]:
    """A voter's disk keeps what it accepted and not what it promised."""
    real = ballot.acceptor_row

    def save(voter: Any) -> Any:
        return real(voter._replace(promised=voter.replica_set[0] if voter.replica_set else 0))

    with patch.object(ballot, 'acceptor_row', save):
        yield


@contextmanager
def accept_lower() -> Iterator[None]:
    """A voter accepts a replica set of a lower epoch than it has promised."""
    real = ballot.vote

    def cast(voter: Any, told: Told) -> tuple:
        if told.message['k'] == 'accept':
            voter = voter._replace(promised=0)
        return real(voter, told)

    with patch.object(ballot, 'vote', cast):
        yield


@contextmanager
def vote_twice() -> Iterator[None]:
    """A voter gives its ballot of one epoch to every candidate."""
    real = ballot.vote

    def cast(voter: Any, told: Told) -> tuple:
        if told.message['k'] == 'ballot' and told.message['epoch'] == voter.promised:
            voter = voter._replace(promised=voter.promised - 1)
        return real(voter, told)

    with patch.object(ballot, 'vote', cast):
        yield


@contextmanager
def ignore_newest() -> Iterator[None]:
    """A candidate goes on from its own replica set, whatever newer one the voters know."""
    real = ballot.handle_reply

    def heard(run: Any, event: Any, *more: Any) -> tuple:
        if event.reply and event.reply.get('seat'):
            event = event._replace(reply={**event.reply, 'seat': None})
        return real(run, event, *more)

    with patch.object(ballot, 'handle_reply', heard):
        yield


@contextmanager
def grant_what_one_accepted() -> Iterator[None]:
    """A candidate takes a replica set that one voter has accepted for one that was granted."""
    real = ballot.handle_reply

    def heard(run: Any, event: Any, me: str, crews: tuple, own: Any, *more: Any) -> tuple:
        ret = event.reply or {}
        if ret.get('seat') and event.tag[2] == 'ask' and own and ret['seat'][0] > own.epoch:
            return ballot.fail_round(run, more[-1]), (), (group.Grant('core', ReplicaSet(*ret['seat'])),)
        return real(run, event, me, crews, own, *more)

    with patch.object(ballot, 'handle_reply', heard):
        yield


@contextmanager
def show_unconfirmed() -> Iterator[None]:
    """The core tells of changes that are still being confirmed."""
    real = core.finish_command

    def done(state: Any, effect: Done, *more: Any) -> Any:
        if 'rows' in effect.reply:
            newest = core_state.core_copy(state).rows
            effect = effect._replace(reply={**effect.reply, 'rows': newest})
        return real(state, effect, *more)

    with patch.object(core, 'finish_command', done):
        yield


@contextmanager
def fill_again() -> Iterator[None]:
    """A joiner that has all it needs for its seat is emptied by a late piece of an image."""
    with patch.object(group, 'has_caught_up', lambda copy, message: False):
        yield


@contextmanager
def half_is_enough() -> Iterator[None]:
    """Half of the voters count as a majority."""

    def most(names: tuple, crews: tuple) -> bool:
        return all(sum(1 for n, _ in crew if n in names) * 2 >= len(crew) for crew in crews)

    with patch.object(ballot, 'is_majority', most):
        yield
