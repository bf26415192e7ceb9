"""Sabotage: rules broken on purpose, to show that the judge sees it. Each is a patch of one function."""

from contextlib import contextmanager
from datetime import timedelta
from typing import Any, Iterator
from unittest.mock import patch

from quillstall.halley import ballot, group, register
from quillstall.halley.effect import Return, Told
from quillstall.sonnblick import admission
from quillstall.sonnblick.node import Node
from quillstall.vostok import core, store


@contextmanager
def skip_backup() -> Iterator[None]:
    """A primary answers when its own disk has the changes, whatever the backup says."""
    send = group.send

    def alone(box: Any, part: str) -> None:
        send(box, part)
        copy = box.copy(part)
        box.put(copy._replace(flight=copy.flight._replace(peer=True)))
        group.land(box, part)
    with patch.object(group, 'send', alone):
        yield


@contextmanager
def old_epoch() -> Iterator[None]:
    """A member confirms a frame of an epoch that it knows to be over."""
    tell = group.tell

    def polite(box: Any, event: Told) -> None:
        m = event.message
        copy = box.copy(m['part'])
        if m['k'] in ('frame', 'hello') and copy and copy.seat and copy.seat.epoch > m['seat'][0]:
            box.out.append(Return(event.call, {'ok': True, 'seq': m.get('seq', 0), 'tail': []}))
            return
        tell(box, event)
    with patch.object(group, 'tell', polite):
        yield


@contextmanager
def deaf() -> Iterator[None]:
    """A core takes no word of newer seats from others. By itself this breaks no rule: the fence
    is the backup's epoch, not the news."""
    def nothing(state: Any, fleet: dict, seat: Any, call: Any, now: Any, out: list) -> Any:
        if call is not None:
            out.append(Return(call, {'ok': True}))
        return state
    real = ballot.heard

    def lost(*more: Any) -> tuple:
        run, effects, events = real(*more)
        return run, effects, events if run.stage in ('move', 'won') else ()
    with patch.object(core, 'learn', nothing), patch.object(ballot, 'heard', lost):
        yield


@contextmanager
def deaf_old_epoch() -> Iterator[None]:
    """Both: only the fence was left, and it is gone."""
    with deaf(), old_epoch():
        yield


@contextmanager
def skip_recheck() -> Iterator[None]:
    """Nothing is asked again at dequeue, and nothing hopeless is taken out."""
    def never(state: Any, task: Any) -> timedelta:
        return timedelta(hours=-1)
    real = admission.step
    shown = admission.expected

    def step(state: Any, event: Any, now: Any) -> Any:
        name = 'arrive' if isinstance(event, admission.Arrive) else ''
        with patch.object(admission, 'expected', shown if name else never):
            return real(state, event, now)
    with patch.object(admission, 'step', step), patch.object(admission, 'expected', never):
        yield


@contextmanager
def keep_lease() -> Iterator[None]:
    """A routing node sends whether or not its lease has run out."""
    with patch.object(admission, 'leased', lambda state, now: bool(state.policy)):
        yield


@contextmanager
def forget_begun() -> Iterator[None]:
    """Once-work is run whatever is kept under its key."""
    async def fresh(self: Any, *more: Any) -> bool:
        return False
    with patch.object(Node, 'claim', fresh):
        yield


@contextmanager
def spend_freely() -> Iterator[None]:
    """A program's open holds do not count."""
    from quillstall.vostok import shelf
    begin = shelf.begin

    def free(rows: Any, c: dict, now: Any) -> Any:
        return begin(rows, {**c, 'budget': None}, now)
    with patch.dict(shelf.OPS, {'begin': free}):
        yield


@contextmanager
def early_ack() -> Iterator[None]:
    """A policy is acknowledged without waiting for the routing nodes."""
    def at_once(state: Any, now: Any, out: list) -> Any:
        out.extend(Return(w.call, w.ret) for w in state.waits)
        return state._replace(waits=())
    with patch.object(core, 'release', at_once):
        yield


@contextmanager
def renew_minority() -> Iterator[None]:
    """A routing node renews its lease by the word of any store."""
    def any_word(known: dict, words: dict) -> tuple:
        known, best = agreed(known, words)
        return known, best or max(words.values(), key=lambda w: w.rank, default=None)
    agreed = register.agreed
    with patch.object(register, 'agreed', any_word):
        yield


@contextmanager
def ack_minority() -> Iterator[None]:
    """A policy is acknowledged whether or not a majority of the stores has it."""
    with patch.object(core, 'kept', lambda state, generation: True):
        yield


@contextmanager
def forget_renewed() -> Iterator[None]:
    """Stores do not tell the core which leases they have renewed."""
    with patch.object(store, 'leases', lambda state, now: []):
        yield


@contextmanager
def no_greeting() -> Iterator[None]:
    """Nobody tells a process with old seeds where the fleet is."""
    def silent(state: Any, now: Any, out: list) -> Any:
        return state
    with patch.object(core, 'greet', silent), patch.object(store, 'greet', silent):
        yield


WAYS = {'no_greeting': no_greeting,
        'renew_minority': renew_minority, 'ack_minority': ack_minority, 'forget_renewed': forget_renewed,
        'skip_backup': skip_backup, 'old_epoch': old_epoch, 'deaf': deaf, 'deaf_old_epoch': deaf_old_epoch, 'skip_recheck': skip_recheck,
        'keep_lease': keep_lease, 'forget_begun': forget_begun, 'spend_freely': spend_freely,
        'early_ack': early_ack}
