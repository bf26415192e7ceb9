"""Sabotage: rules broken on purpose, to show that the judge sees it. Each is a patch of one function."""

from collections.abc import Iterator
from contextlib import contextmanager
from datetime import timedelta
from typing import Any
from unittest.mock import patch

from immutables import Map

from quillstall.controlplane import core, core_table, leases, store, store_table
from quillstall.dataplane.admission import admission_state, reducer, service_time, waiting
from quillstall.dataplane.admission.messages import Arrive
from quillstall.dataplane.node import Node
from quillstall.replication import ballot, group, register
from quillstall.runtime.effect import Return, Told
from quillstall.runtime.errors import Fault


@contextmanager
def skip_backup() -> Iterator[None]:
    """A primary answers when its own disk has the changes, whatever the backup says."""
    send = group.send_batch

    def alone(context: Any, part: str) -> None:
        send(context, part)
        copy = context.copy(part)
        if copy.batch:
            context.put(copy._replace(batch=copy.batch._replace(awaiting=())))
            group.finish_batch(context, part)

    with patch.object(group, 'send_batch', alone):
        yield


@contextmanager
def old_epoch() -> Iterator[None]:
    """A member confirms a frame of an epoch that it knows to be over."""
    tell = group.handle_message

    def polite(context: Any, event: Told) -> None:
        m = event.message
        copy = context.copy(m['part'])
        if (
            m['k'] in ('frame', 'hello')
            and copy
            and copy.replica_set
            and copy.replica_set.epoch > m['seat'][0]
        ):
            context.effects.append(Return(event.call, {'ok': True, 'seq': m.get('seq', 0), 'tail': []}))
            return
        tell(context, event)

    with patch.object(group, 'handle_message', polite):
        yield


@contextmanager
def deaf() -> Iterator[None]:
    """A core takes no word of newer seats from others. By itself this breaks no rule: the fence
    is the backup's epoch, not the news."""

    def nothing(state: Any, fleet: dict, seat: Any, call: Any, now: Any, out: list) -> Any:
        if call is not None:
            out.append(Return(call, {'ok': True}))
        return state

    real = ballot.handle_reply

    def lost(*more: Any) -> tuple:
        run, effects, events = real(*more)
        return run, effects, events if run.stage in ('move', 'won') else ()

    with patch.object(core, 'learn_fleet', nothing), patch.object(ballot, 'handle_reply', lost):
        yield


@contextmanager
def skip_recheck() -> Iterator[None]:
    """Nothing is asked again at dequeue, and nothing hopeless is taken out."""

    def never(state: Any, task: Any) -> timedelta:
        return timedelta(hours=-1)

    real = reducer.step
    shown = service_time.expected

    def step(state: Any, event: Any, now: Any) -> Any:
        name = 'arrive' if isinstance(event, Arrive) else ''
        with patch.object(service_time, 'expected', shown if name else never):
            return real(state, event, now)

    with (
        patch.object(reducer, 'step', step),
        patch.object(service_time, 'expected', never),
        patch.object(service_time, 'required_time', lambda state, task, replica: never(state, task)),
        patch.object(waiting, 'overtaken', lambda *more: []),
    ):
        yield


@contextmanager
def keep_lease() -> Iterator[None]:
    """A routing node sends whether or not its lease has run out."""
    with patch.object(admission_state, 'leased', lambda state, now: bool(state.policy)):
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
    begin = store_table.begin

    def free(rows: Any, c: dict, now: Any) -> Any:
        return begin(rows, {**c, 'budget': None}, now)

    with patch.dict(store_table.OPS, {'begin': free}):
        yield


@contextmanager
def early_ack() -> Iterator[None]:
    """A policy is acknowledged without waiting for the routing nodes."""

    def at_once(state: Any, now: Any, out: list) -> Any:
        out.extend(Return(w.call, w.reply) for w in state.pending_changes)
        return state._replace(pending_changes=())

    with patch.object(leases, 'acknowledge_changes', at_once):
        yield


@contextmanager
def renew_minority() -> Iterator[None]:
    """A routing node renews its lease by the word of any store."""

    def any_word(known: dict, words: dict) -> tuple:
        known, best = agreed(known, words)
        return known, best or max(words.values(), key=lambda w: w.version, default=None)

    agreed = register.read_quorum
    with patch.object(register, 'read_quorum', any_word):
        yield


@contextmanager
def ack_minority() -> Iterator[None]:
    """A policy is acknowledged whether or not a majority of the stores has it."""
    with patch.object(leases, 'on_store_majority', lambda state, generation: True):
        yield


@contextmanager
def deaf_old_epoch() -> Iterator[None]:
    """All fences of a primary that wakes are gone: the news, the backup's epoch, and the stores' majority,
    each of which would do."""
    with deaf(), old_epoch(), ack_minority():
        yield


@contextmanager
def forget_renewed() -> Iterator[None]:
    """Stores do not tell the core which leases they have renewed."""
    with patch.object(store, 'running_leases', lambda state, now: []):
        yield


@contextmanager
def newest_renewal() -> Iterator[None]:
    """Stores keep in mind only the newest lease of each routing node."""
    all_leases = store.running_leases

    def newest_only(state: Any, now: Any) -> list[list]:
        newest = {node: [node, generation, age] for node, generation, age in all_leases(state, now)}
        return list(newest.values())

    with patch.object(store, 'running_leases', newest_only):
        yield


@contextmanager
def forget_restart() -> Iterator[None]:
    """A store that starts again counts nothing for the leases that it renewed before."""
    load = store.load

    def forgetful(*more: Any) -> Any:
        return load(*more)._replace(renewed_leases=Map())

    with patch.object(store, 'load', forgetful):
        yield


@contextmanager
def settable_clock() -> Iterator[None]:
    """The core judges by its wall clock whether the leases that it gave have run out."""
    steady = leases.nodes_under_old_leases

    def settable(state: Any, generation: int, now: Any) -> list[str]:
        return steady(state, generation, now + state.wall_ahead)

    with patch.object(leases, 'nodes_under_old_leases', settable):
        yield


@contextmanager
def no_greeting() -> Iterator[None]:
    """Nobody tells a process with old seeds where the fleet is."""

    def silent(state: Any, now: Any, out: list) -> Any:
        return state

    with patch.object(core, 'send_hello', silent), patch.object(store, 'send_hello', silent):
        yield


@contextmanager
def lost_is_unsent() -> Iterator[None]:
    """A round whose answer was lost counts as one that was never sent."""
    real = Node.attempt_turn

    async def unsent(self: Any, *more: Any) -> Any:
        try:
            async for item in real(self, *more):
                yield item
        except Fault as e:
            if e.code in ('lost', 'slow', 'replica_failed'):
                raise Fault('unreachable', e.text) from e
            raise

    with patch.object(Node, 'attempt_turn', unsent):
        yield


@contextmanager
def hold_refusals() -> Iterator[None]:
    """A refusal is held back until the deadline is over, so that its caller does not ask again."""
    real = Node.admit

    async def held(self: Any, task: Any, gone: Any, retry: bool = False) -> str:
        try:
            return await real(self, task, gone, retry)
        except Fault as e:
            await self.ctx.clock.sleep(task.deadline - self.ctx.clock.now() + timedelta(seconds=1))
            raise e

    with patch.object(Node, 'admit', held):
        yield


@contextmanager
def one_key() -> Iterator[None]:
    """Once-records are kept by path, whatever the key and the body."""
    real = Node.call_store

    async def short(self: Any, key: str, command: dict, *more: Any) -> dict:
        if command['op'].startswith('once'):
            command = {**command, 'key': command['key'].partition(' ')[0], 'digest': ''}
        return await real(self, key.partition(' ')[0], command, *more)

    with patch.object(Node, 'call_store', short):
        yield


@contextmanager
def copy_nothing() -> Iterator[None]:
    """The core's backup confirms flights whose changes it was not sent."""
    real = group.send_batch

    def hollow(context: Any, part: str) -> None:
        real(context, part)
        if part == 'core':
            ask = context.effects.pop()
            context.effects.append(ask._replace(message={**ask.message, 'changes': (), 'first': 0}))

    with patch.object(group, 'send_batch', hollow):
        yield


@contextmanager
def cut_is_end() -> Iterator[None]:
    """A stream that breaks off counts as one that has ended."""
    real = Node.next_item

    async def ends(self: Any, flow: Any, span: Any, gone: Any) -> tuple:
        if getattr(flow, 'cut_off', False):
            return ('end', None)
        item = await real(self, flow, span, gone)
        if item[0] == 'end' and item[1] == 'lost':
            flow.cut_off = True
            return ('line', {'done': True})
        return item

    with patch.object(Node, 'next_item', ends):
        yield


def rounds(change: Any) -> Any:
    """A break that changes the pieces of each round."""

    @contextmanager
    def way() -> Iterator[None]:
        real = Node.attempt_turn

        async def changed(self: Any, *more: Any) -> Any:
            async for item in change(real(self, *more), more[1].name):
                yield item

        with patch.object(Node, 'attempt_turn', changed):
            yield

    return way


async def gap(pieces: Any, name: str) -> Any:
    """The second piece of each answer is lost."""
    n = 0
    async for item in pieces:
        n += 1
        if n != 2:
            yield item


async def double(pieces: Any, name: str) -> Any:
    """The second piece of each answer comes twice."""
    n = 0
    async for item in pieces:
        n += 1
        yield item
        if n == 2:
            yield item


def joiner() -> Any:
    """The pieces of a round that failed go before those of the next."""
    seen: dict[str, list] = {}

    async def join(pieces: Any, name: str) -> Any:
        for item in seen.pop(name, []):
            yield item
        mine: list = []
        try:
            async for item in pieces:
                mine.append(item)
                yield item
        except Fault:
            seen[name] = mine
            raise

    return join


@contextmanager
def sweep_early() -> Iterator[None]:
    """What is kept is swept ten minutes before its time."""
    real = store_table.sweep

    def early(rows: Any, c: dict, now: Any) -> Any:
        return real(rows, c, now + timedelta(minutes=10, seconds=5))

    with patch.dict(store_table.OPS, {'sweep': early}):
        yield


@contextmanager
def trust_clocks() -> Iterator[None]:
    """What is kept is swept by the sweeper's clock alone, as if all clocks agreed."""
    with patch.object(store_table, 'SKEW_S', 0):
        yield


@contextmanager
def ignore_disk() -> Iterator[None]:
    """A process takes a write that its disk did not take for one that was synced."""
    from quillstall.testbed.sim import SimDisk

    real = SimDisk.write

    async def shrug(self: Any, puts: tuple) -> None:
        if not (self.machine.full or self.machine.refusing or self.machine.hung):
            await real(self, puts)

    with patch.object(SimDisk, 'write', shrug):
        yield


@contextmanager
def ignore_leaving() -> Iterator[None]:
    """Routing nodes do not hear that a replica leaves."""
    real = reducer.core_update

    def deafened(state: Any, event: Any, now: Any, out: list) -> Any:
        return real(state, event._replace(reply={**event.reply, 'leaving': []}), now, out)

    with patch.object(reducer, 'core_update', deafened):
        yield


@contextmanager
def take_invalid() -> Iterator[None]:
    """The core checks no policy."""
    with patch.object(core_table, 'check', lambda body: []):
        yield


@contextmanager
def losing_applies() -> Iterator[None]:
    """A policy that loses against another is refused, and put in force all the same."""
    real = core_table.put_policy

    def both(rows: Any, c: dict, now: Any) -> Any:
        try:
            return real(rows, c, now)
        except Fault as e:
            if e.code != 'conflict':
                raise
            changes, _ = real(rows, {**c, 'base': None, 'id': None}, now)
            return changes, e.pack()

    with patch.dict(core_table.OPS, {'apply': both}):
        yield


@contextmanager
def take_older() -> Iterator[None]:
    """A routing node takes whatever generation comes last."""
    real = reducer.core_update

    def any_age(state: Any, event: Any, now: Any, out: list) -> Any:
        if event.reply['generation'] < state.generation and event.reply.get('policy'):
            state = state._replace(generation=event.reply['generation'] - 1, epoch=0)
        return real(state, event, now, out)

    with patch.object(reducer, 'core_update', any_age):
        yield


class Anything(dict):
    """A table that knows every name.

    >>> Anything(a=1).get('b')
    1
    """

    def get(self, key: Any, other: Any = None) -> Any:
        return super().get(key) or next(iter(self.values()))


@contextmanager
def any_service() -> Iterator[None]:
    """A routing node passes on calls to paths that no policy names."""
    real = reducer.core_update

    def wide(state: Any, event: Any, now: Any, out: list) -> Any:
        policy = event.reply.get('policy')
        if policy:
            services = Anything(
                {n: {**s, 'paths': Anything(s['paths'])} for n, s in policy['services'].items()}
            )
            event = event._replace(reply={**event.reply, 'policy': {**policy, 'services': services}})
        return real(state, event, now, out)

    with patch.object(reducer, 'core_update', wide):
        yield


WAYS = {
    'lost_is_unsent': lost_is_unsent,
    'hold_refusals': hold_refusals,
    'one_key': one_key,
    'copy_nothing': copy_nothing,
    'cut_is_end': cut_is_end,
    'gap': rounds(gap),
    'double': rounds(double),
    'join': rounds(joiner()),
    'sweep_early': sweep_early,
    'ignore_disk': ignore_disk,
    'trust_clocks': trust_clocks,
    'ignore_leaving': ignore_leaving,
    'take_invalid': take_invalid,
    'losing_applies': losing_applies,
    'take_older': take_older,
    'any_service': any_service,
    'no_greeting': no_greeting,
    'renew_minority': renew_minority,
    'ack_minority': ack_minority,
    'forget_renewed': forget_renewed,
    'newest_renewal': newest_renewal,
    'forget_restart': forget_restart,
    'settable_clock': settable_clock,
    'skip_backup': skip_backup,
    'old_epoch': old_epoch,
    'deaf': deaf,
    'deaf_old_epoch': deaf_old_epoch,
    'skip_recheck': skip_recheck,
    'keep_lease': keep_lease,
    'forget_begun': forget_begun,
    'spend_freely': spend_freely,
    'early_ack': early_ack,
}
