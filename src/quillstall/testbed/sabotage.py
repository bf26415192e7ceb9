"""Deliberate faults for the simulator. Each patches functions at run time so that one rule is broken, to show
that the checks of a simulated run find it."""

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
    """A primary replies once the changes are on its own disk, without the confirmation of its backup."""
    original = group.send_batch

    def send_batch(context: Any, partition: str) -> None:
        original(context, partition)
        copy = context.copy(partition)
        if copy.batch:
            context.put(copy._replace(batch=copy.batch._replace(awaiting=())))
            group.finish_batch(context, partition)

    with patch.object(group, 'send_batch', send_batch):
        yield


@contextmanager
def old_epoch() -> Iterator[None]:
    """A member confirms a batch or a hello of an epoch that it knows to have ended."""
    original = group.handle_message

    def handle_message(context: Any, event: Told) -> None:
        message = event.message
        copy = context.copy(message['part'])
        if (
            message['k'] in ('frame', 'hello')
            and copy
            and copy.replica_set
            and copy.replica_set.epoch > message['seat'][0]
        ):
            context.effects.append(Return(event.call, {'ok': True, 'seq': message.get('seq', 0), 'tail': []}))
            return
        original(context, event)

    with patch.object(group, 'handle_message', handle_message):
        yield


@contextmanager
def deaf() -> Iterator[None]:
    """A core process ignores newer replica sets that others report. Alone this breaks no rule, since the fence is
    the epoch that the backup checks, not these reports."""

    def ignore_fleet(state: Any, fleet: dict, replica_set: Any, call: Any, now: Any, effects: list) -> Any:
        if call is not None:
            effects.append(Return(call, {'ok': True}))
        return state

    original = ballot.handle_reply

    def handle_reply(*arguments: Any) -> tuple:
        campaign, effects, events = original(*arguments)
        return campaign, effects, events if campaign.stage in ('move', 'won') else ()

    with patch.object(core, 'learn_fleet', ignore_fleet), patch.object(ballot, 'handle_reply', handle_reply):
        yield


@contextmanager
def skip_recheck() -> Iterator[None]:
    """The time left is not checked again at dequeue, and tasks that cannot end in time stay in the queue."""

    def negative_time(state: Any, task: Any) -> timedelta:
        return timedelta(hours=-1)

    original = reducer.step
    original_expected = service_time.expected

    def step(state: Any, event: Any, now: Any) -> Any:
        kind = 'arrive' if isinstance(event, Arrive) else ''
        with patch.object(service_time, 'expected', original_expected if kind else negative_time):
            return original(state, event, now)

    with (
        patch.object(reducer, 'step', step),
        patch.object(service_time, 'expected', negative_time),
        patch.object(service_time, 'required_time', lambda state, task, replica: negative_time(state, task)),
        patch.object(waiting, 'overtaken', lambda *arguments: []),
    ):
        yield


@contextmanager
def keep_lease() -> Iterator[None]:
    """A routing node sends new work even after its lease has expired."""
    with patch.object(admission_state, 'leased', lambda state, now: bool(state.policy)):
        yield


@contextmanager
def forget_begun() -> Iterator[None]:
    """A keyed operation runs whatever is recorded under its idempotency key."""

    async def claim(self: Any, *arguments: Any) -> bool:
        return False

    with patch.object(Node, 'claim', claim):
        yield


@contextmanager
def spend_freely() -> Iterator[None]:
    """Reserved tokens do not count against a program's token budget."""
    original = store_table.begin

    def begin(rows: Any, command: dict, now: Any) -> Any:
        return original(rows, {**command, 'budget': None}, now)

    with patch.dict(store_table.OPS, {'begin': begin}):
        yield


@contextmanager
def early_ack() -> Iterator[None]:
    """A policy change is acknowledged without waiting for the stores or the routing nodes."""

    def acknowledge_changes(state: Any, now: Any, effects: list) -> Any:
        effects.extend(Return(change.call, change.reply) for change in state.pending_changes)
        return state._replace(pending_changes=())

    with patch.object(leases, 'acknowledge_changes', acknowledge_changes):
        yield


@contextmanager
def renew_minority() -> Iterator[None]:
    """A routing node renews its lease on the answer of any one store, without a quorum."""

    def read_any(known: dict, records: dict) -> tuple:
        known, newest = original(known, records)
        return known, newest or max(records.values(), key=lambda record: record.version, default=None)

    original = register.read_quorum
    with patch.object(register, 'read_quorum', read_any):
        yield


@contextmanager
def ack_minority() -> Iterator[None]:
    """A policy change is acknowledged whether or not a majority of the stores has it on disk."""
    with patch.object(leases, 'on_store_majority', lambda state, generation: True):
        yield


@contextmanager
def deaf_old_epoch() -> Iterator[None]:
    """None of the three fences against a primary that resumes after a pause works: reports of newer replica sets,
    the epoch that the backup checks, and the majority of the stores. Any one of them is enough."""
    with deaf(), old_epoch(), ack_minority():
        yield


@contextmanager
def forget_renewed() -> Iterator[None]:
    """Stores do not report to the core which leases they have renewed."""
    with patch.object(store, 'running_leases', lambda state, now: []):
        yield


@contextmanager
def newest_renewal() -> Iterator[None]:
    """Stores report only the newest lease of each routing node."""
    original = store.running_leases

    def newest_only(state: Any, now: Any) -> list[list]:
        newest = {
            node: [node, generation, remaining_ms] for node, generation, remaining_ms in original(state, now)
        }
        return list(newest.values())

    with patch.object(store, 'running_leases', newest_only):
        yield


@contextmanager
def forget_restart() -> Iterator[None]:
    """A store forgets on restart that leases which it renewed before may still be valid."""
    original = store.load

    def load(*arguments: Any) -> Any:
        return original(*arguments)._replace(renewed_leases=Map())

    with patch.object(store, 'load', load):
        yield


@contextmanager
def settable_clock() -> Iterator[None]:
    """The core uses its wall clock, which can be set, to decide whether leases that it granted have expired."""
    original = leases.nodes_under_old_leases

    def by_wall_clock(state: Any, generation: int, now: Any) -> list[str]:
        return original(state, generation, now + state.wall_ahead)

    with patch.object(leases, 'nodes_under_old_leases', by_wall_clock):
        yield


@contextmanager
def no_greeting() -> Iterator[None]:
    """No process sends hello messages, so one with outdated seeds does not learn where the fleet is."""

    def send_nothing(state: Any, now: Any, effects: list) -> Any:
        return state

    with patch.object(core, 'send_hello', send_nothing), patch.object(store, 'send_hello', send_nothing):
        yield


@contextmanager
def lost_is_unsent() -> Iterator[None]:
    """An attempt whose answer was lost counts as one that was never sent, so it is retried."""
    original = Node.attempt_turn

    async def attempt_turn(self: Any, *arguments: Any) -> Any:
        try:
            async for item in original(self, *arguments):
                yield item
        except Fault as error:
            if error.code in ('lost', 'slow', 'replica_failed'):
                raise Fault('unreachable', error.text) from error
            raise

    with patch.object(Node, 'attempt_turn', attempt_turn):
        yield


@contextmanager
def hold_refusals() -> Iterator[None]:
    """A refusal is delayed until after the deadline, so that the caller does not retry."""
    original = Node.admit

    async def admit(self: Any, task: Any, disconnected: Any, retry: bool = False) -> str:
        try:
            return await original(self, task, disconnected, retry)
        except Fault as error:
            await self.ctx.clock.sleep(task.deadline - self.ctx.clock.now() + timedelta(seconds=1))
            raise error

    with patch.object(Node, 'admit', admit):
        yield


@contextmanager
def one_key() -> Iterator[None]:
    """Records of keyed operations are stored by path, whatever the idempotency key and the body."""
    original = Node.call_store

    async def call_store(self: Any, key: str, command: dict, *arguments: Any) -> dict:
        if command['op'].startswith('once'):
            command = {**command, 'key': command['key'].partition(' ')[0], 'digest': ''}
        return await original(self, key.partition(' ')[0], command, *arguments)

    with patch.object(Node, 'call_store', call_store):
        yield


@contextmanager
def copy_nothing() -> Iterator[None]:
    """The core's backup is sent batches without their changes, and confirms them."""
    original = group.send_batch

    def send_batch(context: Any, partition: str) -> None:
        original(context, partition)
        if partition == 'core':
            request = context.effects.pop()
            context.effects.append(request._replace(message={**request.message, 'changes': (), 'first': 0}))

    with patch.object(group, 'send_batch', send_batch):
        yield


@contextmanager
def cut_is_end() -> Iterator[None]:
    """A response stream that is cut off counts as complete."""
    original = Node.next_item

    async def next_item(self: Any, exchange: Any, timeout: Any, disconnected: Any) -> tuple:
        if getattr(exchange, 'cut_off', False):
            return ('end', None)
        item = await original(self, exchange, timeout, disconnected)
        if item[0] == 'end' and item[1] == 'lost':
            exchange.cut_off = True
            return ('line', {'done': True})
        return item

    with patch.object(Node, 'next_item', next_item):
        yield


def alter_answers(alter: Any) -> Any:
    """Return a fault that passes the pieces of each attempt's answer through `alter(pieces, task_name)`."""

    @contextmanager
    def fault() -> Iterator[None]:
        original = Node.attempt_turn

        async def attempt_turn(self: Any, *arguments: Any) -> Any:
            async for item in alter(original(self, *arguments), arguments[1].name):
                yield item

        with patch.object(Node, 'attempt_turn', attempt_turn):
            yield

    return fault


async def drop_second_piece(pieces: Any, task_name: str) -> Any:
    """The second piece of each answer is lost."""
    count = 0
    async for item in pieces:
        count += 1
        if count != 2:
            yield item


async def duplicate_second_piece(pieces: Any, task_name: str) -> Any:
    """The second piece of each answer is delivered twice."""
    count = 0
    async for item in pieces:
        count += 1
        yield item
        if count == 2:
            yield item


def join_attempts() -> Any:
    """The pieces of a failed attempt are delivered before those of the task's next attempt."""
    failed: dict[str, list] = {}

    async def join(pieces: Any, task_name: str) -> Any:
        for item in failed.pop(task_name, []):
            yield item
        received: list = []
        try:
            async for item in pieces:
                received.append(item)
                yield item
        except Fault:
            failed[task_name] = received
            raise

    return join


@contextmanager
def sweep_early() -> Iterator[None]:
    """Stored rows are swept ten minutes before they expire."""
    original = store_table.sweep

    def sweep(rows: Any, command: dict, now: Any) -> Any:
        return original(rows, command, now + timedelta(minutes=10, seconds=5))

    with patch.dict(store_table.OPS, {'sweep': sweep}):
        yield


@contextmanager
def trust_clocks() -> Iterator[None]:
    """Expired rows are swept by the local clock with no allowance for clock skew."""
    with patch.object(store_table, 'SKEW_S', 0):
        yield


@contextmanager
def ignore_disk() -> Iterator[None]:
    """A process treats a write that its disk did not accept as synced."""
    from quillstall.testbed.sim import SimDisk

    original = SimDisk.write

    async def write(self: Any, puts: tuple) -> None:
        if not (self.machine.full or self.machine.refusing or self.machine.hung):
            await original(self, puts)

    with patch.object(SimDisk, 'write', write):
        yield


@contextmanager
def ignore_leaving() -> Iterator[None]:
    """Routing nodes are not told that a replica is leaving."""
    original = reducer.core_update

    def core_update(state: Any, event: Any, now: Any, effects: list) -> Any:
        return original(state, event._replace(reply={**event.reply, 'leaving': []}), now, effects)

    with patch.object(reducer, 'core_update', core_update):
        yield


@contextmanager
def take_invalid() -> Iterator[None]:
    """The core accepts a policy without validating it."""
    with patch.object(core_table, 'check', lambda body: []):
        yield


@contextmanager
def losing_applies() -> Iterator[None]:
    """A policy change that conflicts with an earlier one is refused, and yet applied."""
    original = core_table.put_policy

    def put_policy(rows: Any, command: dict, now: Any) -> Any:
        try:
            return original(rows, command, now)
        except Fault as error:
            if error.code != 'conflict':
                raise
            changes, _ = original(rows, {**command, 'base': None, 'id': None}, now)
            return changes, error.pack()

    with patch.dict(core_table.OPS, {'apply': put_policy}):
        yield


@contextmanager
def take_older() -> Iterator[None]:
    """A routing node applies the policy that arrives last, even of an older generation."""
    original = reducer.core_update

    def core_update(state: Any, event: Any, now: Any, effects: list) -> Any:
        if event.reply['generation'] < state.generation and event.reply.get('policy'):
            state = state._replace(generation=event.reply['generation'] - 1, epoch=0)
        return original(state, event, now, effects)

    with patch.object(reducer, 'core_update', core_update):
        yield


class MatchesAnyKey(dict):
    """A mapping whose get() returns its first value for a missing key.

    >>> MatchesAnyKey(a=1).get('b')
    1
    """

    def get(self, key: Any, default: Any = None) -> Any:
        return super().get(key) or next(iter(self.values()))


@contextmanager
def any_service() -> Iterator[None]:
    """A routing node forwards calls to services and paths that the policy does not list."""
    original = reducer.core_update

    def core_update(state: Any, event: Any, now: Any, effects: list) -> Any:
        policy = event.reply.get('policy')
        if policy:
            services = MatchesAnyKey(
                {
                    name: {**service, 'paths': MatchesAnyKey(service['paths'])}
                    for name, service in policy['services'].items()
                }
            )
            event = event._replace(reply={**event.reply, 'policy': {**policy, 'services': services}})
        return original(state, event, now, effects)

    with patch.object(reducer, 'core_update', core_update):
        yield


WAYS = {
    'lost_is_unsent': lost_is_unsent,
    'hold_refusals': hold_refusals,
    'one_key': one_key,
    'copy_nothing': copy_nothing,
    'cut_is_end': cut_is_end,
    'gap': alter_answers(drop_second_piece),
    'double': alter_answers(duplicate_second_piece),
    'join': alter_answers(join_attempts()),
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
