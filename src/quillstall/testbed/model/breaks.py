"""Deliberate faults for the model checker. Each patches the reducers at run time so that one rule is broken,
which the checker must find."""

from collections.abc import Iterator
from contextlib import contextmanager
from typing import Any
from unittest.mock import patch

from immutables import Map

from quillstall.controlplane import core, core_state, core_table, store_table
from quillstall.replication import ballot, group
from quillstall.replication.copies import Copy, ReplicaSet
from quillstall.replication.group import StepContext
from quillstall.runtime.effect import Done, Propose, Return, Told, Write, Wrote


@contextmanager
def return_before_backups() -> Iterator[None]:
    """A primary replies once the changes are on its own disk, without the confirmation of its backups."""
    original = group.send_batch

    def send_batch(context: StepContext, partition: str) -> None:
        original(context, partition)
        batch = context.copy(partition).batch
        if batch:
            context.put(context.copy(partition)._replace(batch=batch._replace(awaiting=())))
            group.finish_batch(context, partition)

    with patch.object(group, 'send_batch', send_batch):
        yield


@contextmanager
def return_before_own_disk() -> Iterator[None]:
    """A primary replies once its backups have confirmed the changes, before its own disk has synced them."""
    original = group.Batch

    def synced_batch(*arguments: Any, **keywords: Any) -> Any:
        return original(*arguments, **{**keywords, 'synced': True})

    with patch.object(group, 'Batch', synced_batch):
        yield


@contextmanager
def accept_old_session() -> Iterator[None]:
    """A backup applies the batches of an earlier session."""
    original = group.handle_message

    def handle_message(context: StepContext, event: Told) -> None:
        copy, message = context.copy(event.message['part']), event.message
        if message['k'] == 'frame' and copy:
            first_seq = min(message['first'], copy.seq)
            event = event._replace(message={**message, 'session': copy.session, 'first': first_seq})
        original(context, event)

    with patch.object(group, 'handle_message', handle_message):
        yield


@contextmanager
def accept_old_epoch() -> Iterator[None]:
    """A member confirms a batch or a hello of an epoch that it knows to have ended."""
    original = group.handle_message

    def handle_message(context: StepContext, event: Told) -> None:
        message, copy = event.message, context.copy(event.message['part'])
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
def skip_seal() -> Iterator[None]:
    """The member that leads a reconfiguration goes on confirming batches of the epoch that it has sealed."""
    original = group.continue_reconfiguration

    def continue_reconfiguration(context: StepContext, partition: str) -> None:
        original(context, partition)
        copy = context.copy(partition)
        if copy.sealed and copy.reconfiguration:
            context.put(copy._replace(sealed=False))

    with patch.object(group, 'continue_reconfiguration', continue_reconfiguration):
        yield


@contextmanager
def forget_seal() -> Iterator[None]:
    """The seal of an epoch is not stored on disk, so a restart loses it."""
    original = group.metadata_row

    with patch.object(group, 'metadata_row', lambda copy: original(copy._replace(sealed=False))):
        yield


@contextmanager
def forget_seat() -> Iterator[None]:
    """The disk stores the rows but not the newest replica set."""
    original = group.metadata_row

    def metadata_row(copy: Copy) -> Any:
        return original(copy._replace(replica_set=ReplicaSet(1, 0, 'a', 'b')) if copy.replica_set else copy)

    with patch.object(group, 'metadata_row', metadata_row):
        yield


@contextmanager
def propose_early() -> Iterator[None]:
    """The member that leads a reconfiguration proposes the new replica set before the joiner has the last changes,
    and the joiner does not detect that some are missing."""
    original, original_handle_message = group.continue_reconfiguration, group.handle_message

    def continue_reconfiguration(context: StepContext, partition: str) -> None:
        copy = context.copy(partition)
        if (
            copy.reconfiguration
            and copy.reconfiguration.stage in ('follow', 'last')
            and not copy.reconfiguration.request_pending
        ):
            context.put(copy._replace(reconfiguration=copy.reconfiguration._replace(sent_seq=copy.seq)))
        original(context, partition)

    def handle_message(context: StepContext, event: Told) -> None:
        if event.message['k'] == 'follow':
            event = event._replace(message={**event.message, 'first': 0})
        original_handle_message(context, event)

    with (
        patch.object(group, 'continue_reconfiguration', continue_reconfiguration),
        patch.object(group, 'handle_message', handle_message),
    ):
        yield


@contextmanager
def skip_fill() -> Iterator[None]:
    """The member that leads a reconfiguration proposes the new replica set without sending the joiner a snapshot
    or the changes since."""
    original = group.continue_reconfiguration

    def continue_reconfiguration(context: StepContext, partition: str) -> None:
        copy = context.copy(partition)
        if copy.reconfiguration and copy.reconfiguration.stage == 'fill':
            context.put(copy._replace(reconfiguration=copy.reconfiguration._replace(stage='propose')))
            context.effects.append(Propose(partition, tuple(copy.reconfiguration.replica_set)))
            return
        original(context, partition)

    with patch.object(group, 'continue_reconfiguration', continue_reconfiguration):
        yield


@contextmanager
def always_fit() -> Iterator[None]:
    """A member joins a replica set whatever its copy holds, and is not brought up to date first."""
    with (
        skip_fill(),
        patch.object(group, 'is_eligible', lambda me, copy, replica_set: replica_set.includes(me)),
    ):
        yield


@contextmanager
def joiner_keeps_rows() -> Iterator[None]:
    """A joiner that still holds outdated rows keeps them in place of the snapshot."""
    original = group.receive_fill

    def receive_fill(context: StepContext, event: Told, copy: Copy | None) -> None:
        original(context, event, copy)
        filled = context.copy(event.message['part'])
        if copy and copy.rows and filled.has_all_rows:
            context.put(filled._replace(rows=copy.rows))
            puts = tuple(group.Put(copy.partition, key, value) for key, value in copy.rows.items())
            context.effects[-1] = context.effects[-1]._replace(puts=context.effects[-1].puts + puts)

    with patch.object(group, 'receive_fill', receive_fill):
        yield


@contextmanager
def joiner_drops_changes() -> Iterator[None]:
    """A joiner confirms the changes since its snapshot without applying them."""
    original = group.handle_message

    def handle_message(context: StepContext, event: Told) -> None:
        if event.message['k'] == 'follow':
            event = event._replace(message={**event.message, 'changes': (), 'first': 0})
        original(context, event)

    with patch.object(group, 'handle_message', handle_message):
        yield


@contextmanager
def confirm_before_sync() -> Iterator[None]:
    """A backup confirms a batch before its disk has synced the changes."""
    original = group.handle_message

    def handle_message(context: StepContext, event: Told) -> None:
        original(context, event)
        if event.message['k'] == 'frame' and any(
            type(effect) is Write and effect.tag[3] == 'told' for effect in context.effects
        ):
            context.effects.append(Return(event.call, {'ok': True}))

    with patch.object(group, 'handle_message', handle_message):
        yield


@contextmanager
def read_without_backups() -> Iterator[None]:
    """A primary answers reads without confirming with its backups that it is still primary."""
    original = group.send_batch

    def send_batch(context: StepContext, partition: str) -> None:
        copy = context.copy(partition)
        if copy.batch.changes:
            original(context, partition)
            return
        context.put(copy._replace(batch=copy.batch._replace(awaiting=())))
        group.finish_batch(context, partition)

    with patch.object(group, 'send_batch', send_batch):
        yield


@contextmanager
def return_on_grant() -> Iterator[None]:
    """A primary that is granted a new replica set replies to commands whose batch is not yet confirmed."""
    original = group.apply_grant

    def apply_grant(context: StepContext, partition: str, replica_set: ReplicaSet) -> None:
        copy = context.copy(partition)
        if copy and copy.batch and copy.replica_set.epoch < replica_set.epoch:
            context.effects.extend(Done(command.tag, command.reply) for command in copy.batch.commands)
            context.put(copy._replace(batch=None))
        original(context, partition, replica_set)

    with patch.object(group, 'apply_grant', apply_grant):
        yield


@contextmanager
def ignore_longer_tail() -> Iterator[None]:
    """A restarted primary does not take over changes that a backup has beyond the end of its own log."""
    original = group.synchronize_backups

    def synchronize_backups(context: StepContext, partition: str) -> None:
        copy = context.copy(partition)
        backup_positions = Map(
            {name: (min(seq, copy.seq), ()) for name, (seq, _) in copy.backup_positions.items()}
        )
        context.put(copy._replace(backup_positions=backup_positions))
        original(context, partition)

    with patch.object(group, 'synchronize_backups', synchronize_backups):
        yield


@contextmanager
def forget_repeats() -> Iterator[None]:
    """A change that is sent again with the same request id is applied again."""
    with patch.object(core_table, 'recorded_answer', lambda rows, command: None):
        yield


@contextmanager
def ignore_base() -> Iterator[None]:
    """A change is applied whatever generation it is based on."""
    original = core_table.put_policy

    def put_policy(rows: Map, command: dict, now: Any) -> tuple:
        return original(rows, {**command, 'base': None}, now)

    with patch.dict(core_table.OPS, {'apply': put_policy}):
        yield


@contextmanager
def begin_again() -> Iterator[None]:
    """A keyed operation is begun whatever is recorded under its idempotency key."""
    original = store_table.OPS['once_begin']

    with patch.dict(
        store_table.OPS, {'once_begin': lambda rows, command, now: original(Map(), command, now)}
    ):
        yield


@contextmanager
def grant_any_base() -> Iterator[None]:
    """The authority grants a replica set even if it does not succeed the one in force."""
    original = core_table.grant_replica_set

    def grant_replica_set(rows: Map, command: dict, now: Any) -> tuple:
        current = tuple(rows[f'part/{command["part"]}'])
        epoch, _, *members = command['seat']
        if epoch <= current[0] and members != list(current[2:]):
            return (), {'ok': True, 'seat': [current[0] + 1, epoch - 1, *members]}
        return original(rows, command, now)

    with patch.object(core_table, 'grant_replica_set', grant_replica_set):
        yield


@contextmanager
def promise_before_sync() -> Iterator[None]:
    """An acceptor replies before its promise is on disk."""
    original = ballot.vote

    def vote(acceptor: Any, told: Told) -> tuple:
        acceptor, effects = original(acceptor, told)
        if type(effects[0]) is Write:
            effects += ballot.reply_after_write(Wrote(effects[0].tag))
        return acceptor, effects

    with patch.object(ballot, 'vote', vote):
        yield


@contextmanager
def forget_promise() -> Iterator[None]:
    """An acceptor stores on disk what it accepted but not what it promised."""
    original = ballot.acceptor_row

    def acceptor_row(acceptor: Any) -> Any:
        return original(acceptor._replace(promised=acceptor.replica_set[0] if acceptor.replica_set else 0))

    with patch.object(ballot, 'acceptor_row', acceptor_row):
        yield


@contextmanager
def accept_lower() -> Iterator[None]:
    """An acceptor accepts a replica set of a lower epoch than it has promised."""
    original = ballot.vote

    def vote(acceptor: Any, told: Told) -> tuple:
        if told.message['k'] == 'accept':
            acceptor = acceptor._replace(promised=0)
        return original(acceptor, told)

    with patch.object(ballot, 'vote', vote):
        yield


@contextmanager
def vote_twice() -> Iterator[None]:
    """An acceptor votes for every candidate of the same epoch."""
    original = ballot.vote

    def vote(acceptor: Any, told: Told) -> tuple:
        if told.message['k'] == 'ballot' and told.message['epoch'] == acceptor.promised:
            acceptor = acceptor._replace(promised=acceptor.promised - 1)
        return original(acceptor, told)

    with patch.object(ballot, 'vote', vote):
        yield


@contextmanager
def ignore_newest() -> Iterator[None]:
    """A candidate proposes the successor of its own replica set, ignoring a newer one that acceptors report."""
    original = ballot.handle_reply

    def handle_reply(campaign: Any, event: Any, *arguments: Any) -> tuple:
        if event.reply and event.reply.get('seat'):
            event = event._replace(reply={**event.reply, 'seat': None})
        return original(campaign, event, *arguments)

    with patch.object(ballot, 'handle_reply', handle_reply):
        yield


@contextmanager
def grant_what_one_accepted() -> Iterator[None]:
    """A candidate treats a replica set that a single acceptor has accepted as granted."""
    original = ballot.handle_reply

    def handle_reply(
        campaign: Any, event: Any, me: str, configurations: tuple, own: Any, *arguments: Any
    ) -> tuple:
        reply = event.reply or {}
        if reply.get('seat') and event.tag[2] == 'ask' and own and reply['seat'][0] > own.epoch:
            return (
                ballot.fail_round(campaign, arguments[-1]),
                (),
                (group.Grant('core', ReplicaSet(*reply['seat'])),),
            )
        return original(campaign, event, me, configurations, own, *arguments)

    with patch.object(ballot, 'handle_reply', handle_reply):
        yield


@contextmanager
def show_unconfirmed() -> Iterator[None]:
    """The core answers with changes that its backups have not yet confirmed."""
    original = core.finish_command

    def finish_command(state: Any, effect: Done, *arguments: Any) -> Any:
        if 'rows' in effect.reply:
            newest = core_state.core_copy(state).rows
            effect = effect._replace(reply={**effect.reply, 'rows': newest})
        return original(state, effect, *arguments)

    with patch.object(core, 'finish_command', finish_command):
        yield


@contextmanager
def fill_again() -> Iterator[None]:
    """A late piece of a snapshot clears a joiner that has already caught up for its replica set."""
    with patch.object(group, 'has_caught_up', lambda copy, message: False):
        yield


@contextmanager
def half_is_enough() -> Iterator[None]:
    """Half of the voters count as a majority."""

    def at_least_half(names: tuple, configurations: tuple) -> bool:
        return all(
            sum(1 for name, _ in voters if name in names) * 2 >= len(voters) for voters in configurations
        )

    with patch.object(ballot, 'is_majority', at_least_half):
        yield
