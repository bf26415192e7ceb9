"""One member's copies of replicated partitions: primary-backup replication with epochs, as a state machine.

A partition has a replica set: an epoch, a primary and backups, granted by an authority (the core, or for
the core's own partition the ballots of its voters). The primary runs the queued commands as a batch against
its rows. A batch is finished when its changes are synced here and every backup has confirmed, under the
same epoch, that it has synced them too. Only then is any command of the batch answered, reads included. So
a primary that has lost a single backup to a later epoch can answer nothing. A replica set without backups
needs no confirmation: no other member holds the data, so none can start a later epoch with it.

Within an epoch the primary orders all changes, and every other copy holds a prefix of that order. A replica
set is changed by a reconfiguration, which any member of the present set may lead. Its stages:
  fill     the leader sends a snapshot of the rows to the joiner, in pieces;
  follow   it sends the changes made since;
  seal     it durably stops confirming its epoch;
  last     it sends the joiner the rest and says that this was all. The joiner is eligible now, and no
           message of this or of another leader changes its rows for that epoch any more;
  propose  it asks the authority to grant the new replica set.
Hence every member of a granted replica set holds every change that was ever acknowledged.
"""

from collections.abc import Callable
from datetime import datetime, timedelta
from typing import Any, NamedTuple

from immutables import Map

from quillstall.replication.copies import (
    Batch,
    CancelReconfiguration,
    Copy,
    Grant,
    Op,
    PendingCommand,
    Reconfiguration,
    ReplicaSet,
    StartReconfiguration,
    State,
    Transfer,
)
from quillstall.runtime.disk import Put
from quillstall.runtime.effect import (
    Ask,
    Count,
    Done,
    Heard,
    Note,
    Propose,
    Return,
    Tick,
    Told,
    Violated,
    Write,
    Wrote,
)
from quillstall.runtime.errors import Fault

KINDS = ('frame', 'hello', 'fill', 'follow', 'pull', 'refill')
# sent between the members of one replica set, under its epoch
REPLICA_SET_KINDS = ('frame', 'hello', 'pull', 'refill')
SESSION_KINDS = ('frame', 'pull', 'refill')  # accepted only from the primary's newest session
MAX_MESSAGE_ROWS = 1000
MAX_MESSAGE_BYTES = 512 * 1024
MIN_LOG_CHANGES = 4  # a member lacks one batch at most, which is always kept whole; others get all rows
TRANSFER_TIMEOUT_MS = 2000
MAX_UNCONFIRMED_MS = 900
HEARTBEAT_INTERVAL = timedelta(milliseconds=300)
RETRY_INTERVAL = timedelta(milliseconds=200)

ApplyCommand = Callable[[str, Map, dict, datetime], tuple[tuple, dict]]


def load(me: str, rows: dict[str, dict], last_number: int, heartbeats: bool = False) -> State:
    """Return the state after a start, from the stored rows. The numbers of this run begin after
    `last_number`, and so differ from those of earlier runs.

    >>> s = load('a', {'p00': {'#mark': [[3, 2, 'a', 'b'], 7, False, True, 0], 'x': 1}}, 5)
    >>> s.partitions['p00'].replica_set.epoch, s.partitions['p00'].rows['x'], s.partitions['p00'].ready
    (3, 1, False)
    """
    partitions = Map()
    for partition, stored in rows.items():
        marker = stored.get('#mark')
        if marker is None:
            continue
        replica_set, seq, sealed, has_all_rows, joining_epoch, *caught_up = marker
        log = decode_changes(stored.get('#last') or ())
        table = Map({k: v for k, v in stored.items() if not k.startswith('#')})
        partitions = partitions.set(
            partition,
            Copy(
                partition,
                ReplicaSet(*replica_set) if replica_set else None,
                seq,
                sealed,
                has_all_rows,
                joining_epoch,
                table,
                log,
                caught_up=bool(caught_up and caught_up[0]),
            ),
        )
    return State(me, partitions, last_number, heartbeats)


def metadata_row(copy: Copy) -> Put:
    """Return the row that stores the state of a copy besides its table.

    >>> metadata_row(Copy('p00', seq=2)).value
    [None, 2, False, False, 0, False]
    """
    replica_set = list(copy.replica_set) if copy.replica_set else None
    return Put(
        copy.partition,
        '#mark',
        [replica_set, copy.seq, copy.sealed, copy.has_all_rows, copy.joining_epoch, copy.caught_up],
    )


def apply_changes(rows: Map, changes: Any) -> Map:
    """Return the rows with the changes applied. A value of None removes a key.

    >>> sorted(apply_changes(Map({'a': 1, 'b': 2}), (('a', None), ('c', 3))))
    ['b', 'c']
    """
    with rows.mutate() as draft:
        for key, value in changes:
            if value is not None:
                draft[key] = value
            elif key in draft:
                del draft[key]
        return draft.finish()


def apply_log(rows: Map, changes: tuple) -> Map:
    """Return the rows with numbered changes applied in order.

    >>> dict(apply_log(Map({'a': 1}), ((5, (('a', 2),)), (6, (('a', 3),)))))
    {'a': 3}
    """
    for _, entry in changes:
        rows = apply_changes(rows, entry)
    return rows


def extend_log(log: tuple, new_changes: tuple) -> tuple:
    """Return the log with new changes, truncated at its old end. The new changes are all kept: a member
    that lacks a batch lacks all of it.

    >>> len(extend_log(((1, ()),), tuple((n, ()) for n in range(2, 102)))), len(extend_log(((1, ()),), ((2, ()),)))
    (100, 2)
    """
    return (log + new_changes)[-max(MIN_LOG_CHANGES, len(new_changes)) :]


def decode_changes(changes: Any) -> tuple:
    """Return numbered changes decoded from the wire or from the disk.

    >>> decode_changes([[5, [['a', 2]]]])
    ((5, (('a', 2),)),)
    """
    return tuple((n, tuple(tuple(c) for c in entry)) for n, entry in changes)


def is_eligible(me: str, copy: Copy | None, replica_set: ReplicaSet) -> bool:
    """Return whether this copy may join the replica set: it must hold all that was acknowledged before it.

    A member of a granted replica set was a member of the previous one, or was brought up for this one and
    told that it has everything. So a member that missed a grant, and was not brought up since, was a member
    of that set too; nothing was acknowledged there without its confirmation, and it lacks nothing.

    >>> old = Copy('p', ReplicaSet(2, 1, 'a', 'b'), has_all_rows=True)
    >>> is_eligible('a', old, ReplicaSet(3, 2, 'a', 'c')), is_eligible('a', old, ReplicaSet(4, 3, 'a', 'c')), is_eligible('a', old, ReplicaSet(3, 1, 'a', 'c'))
    (True, True, False)
    >>> is_eligible('c', Copy('p', has_all_rows=True, joining_epoch=2, caught_up=True), ReplicaSet(3, 2, 'c', 'a'))
    True
    >>> is_eligible('c', Copy('p', has_all_rows=True, joining_epoch=2), ReplicaSet(2, 1, 'a', 'c'))
    False
    >>> is_eligible('c', Copy('p', has_all_rows=True, joining_epoch=2, caught_up=True), ReplicaSet(2, 1, 'a', 'c'))
    True
    >>> is_eligible('a', None, ReplicaSet(1, 0, 'a', 'b'))
    True
    """
    if not replica_set.includes(me):
        return False
    if copy is None or (copy.replica_set is None and copy.joining_epoch == 0):
        return replica_set.previous_epoch == 0
    if not copy.has_all_rows:
        return False
    if copy.joining_epoch == replica_set.epoch:
        return copy.caught_up
    if copy.caught_up:
        return copy.joining_epoch <= replica_set.previous_epoch
    return (
        copy.joining_epoch == 0
        and copy.replica_set is not None
        and copy.replica_set.epoch <= replica_set.previous_epoch
    )


def step(state: State, event: Any, now: datetime, apply: ApplyCommand) -> tuple[State, tuple]:
    """Return the next state and the effects of an event.

    A primary runs no command before it has synchronized with its backup:

    >>> from datetime import UTC
    >>> t = datetime(2026, 1, 1, tzinfo=UTC)
    >>> write = lambda partition, rows, c, now: (((c['key'], c['value']),), {'ok': True})
    >>> s, _ = step(State('a'), Grant('p', ReplicaSet(1, 0, 'a', 'b')), t, write)
    >>> s, e = step(s, Op('p', ('t',), {'key': 'x', 'value': 1}), t, write)
    >>> [type(x).__name__ for x in e], s.partitions['p'].ready
    ([], False)
    """
    context = StepContext(state, now, apply)
    kind = type(event)
    if kind is Told:
        handle_message(context, event)
    elif kind is Heard:
        handle_reply(context, event)
    elif kind is Wrote:
        handle_write(context, event)
    elif kind is Op:
        copy = context.copy(event.partition)
        if copy is None or copy.replica_set is None or copy.replica_set.primary != state.me:
            context.effects.append(Done(event.tag, moved_fault(copy)))
        else:
            context.put(copy._replace(queue=copy.queue + (PendingCommand(event.tag, event.command),)))
            start_batch(context, event.partition)
    elif kind is Grant:
        apply_grant(context, event.partition, event.replica_set)
    elif kind is StartReconfiguration:
        start_reconfiguration(context, event)
    elif kind is CancelReconfiguration:
        copy = context.copy(event.partition)
        if copy and copy.reconfiguration and copy.reconfiguration.stage in ('fill', 'follow'):
            context.put(copy._replace(reconfiguration=None))
    elif kind is Tick:
        for partition in sorted(state.partitions):
            tick_partition(context, partition)
    return context.state, tuple(context.effects)


class StepContext:
    """The state and the effects of one step, discarded after it."""

    def __init__(self, state: State, now: datetime, apply: ApplyCommand):
        self.state = state
        self.now = now
        self.apply = apply
        self.effects: list = []

    def copy(self, partition: str) -> Copy | None:
        return self.state.partitions.get(partition)

    def put(self, copy: Copy) -> Copy:
        """Replace the copy in the state; report a violation if it goes back."""
        before = self.state.partitions.get(copy.partition)
        if before is not None and before.replica_set is not None and regresses(before, copy):
            facts = {
                'part': copy.partition,
                'from': [before.replica_set, before.seq],
                'to': [copy.replica_set, copy.seq],
            }
            self.effects.append(Violated('copy_forward', facts))
        self.state = self.state._replace(partitions=self.state.partitions.set(copy.partition, copy))
        return copy

    def save(self, copy: Copy, puts: tuple = (), tag: tuple = ('g', '', 0, 'none', 0)) -> None:
        """Write the copy's state, and other rows with it."""
        self.effects.append(Write(puts + (metadata_row(copy),), tag))

    def next_number(self) -> int:
        """Return a number that no session, batch or fill of this member has had."""
        self.state = self.state._replace(last_number=self.state.last_number + 1)
        return self.state.last_number


def regresses(before: Copy, after: Copy) -> bool:
    """Return whether a copy goes back to an earlier epoch, loses changes within one, or has two replica
    sets in one. A copy that is brought up for a later epoch may replace its rows.

    >>> old = Copy('p', ReplicaSet(2, 1, 'a', 'b'), seq=7, has_all_rows=True)
    >>> regresses(old, old._replace(seq=8)), regresses(old, old._replace(seq=6))
    (False, True)
    >>> regresses(old, old._replace(replica_set=ReplicaSet(1, 0, 'a', 'b'))), regresses(old, old._replace(replica_set=ReplicaSet(2, 1, 'a', 'c')))
    (True, True)
    >>> regresses(old, old._replace(seq=6, joining_epoch=4))
    False
    """
    if after.replica_set is not before.replica_set and after.replica_set != before.replica_set:
        return after.replica_set is None or after.replica_set.epoch <= before.replica_set.epoch
    return after.joining_epoch == 0 and before.has_all_rows and after.has_all_rows and after.seq < before.seq


def moved_fault(copy: Copy | None) -> dict:
    """Return the packed fault of a command that came to a member which is not the primary."""
    replica_set = list(copy.replica_set) if copy and copy.replica_set else None
    return Fault('moved', 'not the primary', more={'seat': replica_set}).pack()


def reject_pending(context: StepContext, copy: Copy) -> Copy:
    """Answer all queued and running commands with `moved`; return the copy without them."""
    commands = (copy.batch.commands if copy.batch else ()) + copy.queue
    for pending in commands:
        context.effects.append(Done(pending.tag, moved_fault(copy)))
    return copy._replace(batch=None, queue=(), ready=False)


def apply_grant(context: StepContext, partition: str, replica_set: ReplicaSet) -> None:
    """Join a newer replica set, or drop the rows if this copy is not in it."""
    me = context.state.me
    copy = context.copy(partition)
    if copy and copy.replica_set and copy.replica_set.epoch >= replica_set.epoch:
        return
    if is_eligible(me, copy, replica_set):
        copy = copy or Copy(partition)
        copy = reject_pending(context, copy) if replica_set.primary != me else copy._replace(ready=False)
        queue = copy.queue + ()
        if copy.batch:  # its changes are in these rows and have to be replicated anew
            queue = (
                tuple(PendingCommand(i.tag, {'op': '#again', 'ret': i.reply}) for i in copy.batch.commands)
                + queue
            )
        copy = copy._replace(
            replica_set=replica_set,
            sealed=False,
            has_all_rows=True,
            joining_epoch=0,
            caught_up=False,
            fill_id=(),
            reconfiguration=None,
            batch=None,
            queue=queue,
            last_heard=context.now,
            session=0,
            hello_sent_at=None,
            backup_positions=Map(),
            transfer=None,
            confirmed_at=Map({b: context.now for b in replica_set.backups}),
        )
        context.put(copy)
        context.save(copy)
        context.effects.append(
            Note(
                'seat',
                {
                    'part': partition,
                    'epoch': replica_set.epoch,
                    'primary': replica_set.primary,
                    'backups': list(replica_set.backups),
                },
            )
        )
        if replica_set.primary == me:
            send_hello(context, partition)
    elif copy and copy.has_all_rows and copy.joining_epoch == 0 and copy.replica_set:
        copy = reject_pending(context, copy)
        copy = copy._replace(
            replica_set=replica_set, has_all_rows=False, rows=Map(), log=(), reconfiguration=None, sealed=True
        )
        context.put(copy)
        context.effects.append(
            Write((Put(partition, None, None), metadata_row(copy)), ('g', partition, 0, 'none', 0))
        )
        context.effects.append(Note('unseated', {'part': partition, 'epoch': replica_set.epoch}))


def send_hello(context: StepContext, partition: str) -> None:
    """As primary, ask the backups for their positions before the first batch. Those that have not answered
    are asked again in the same session: one with a slow disk answers late."""
    copy = context.copy(partition)
    if copy.hello_sent_at and context.now - copy.hello_sent_at < RETRY_INTERVAL:
        return
    if not copy.session:
        copy = copy._replace(session=context.next_number(), backup_positions=Map())
    copy = context.put(copy._replace(hello_sent_at=context.now))
    for backup in copy.replica_set.backups:
        if backup not in copy.backup_positions:
            request = {
                'k': 'hello',
                **primary_fields(copy),
                'seq': copy.seq,
                'quiet': unconfirmed_ms(context, copy),
            }
            context.effects.append(Ask(backup, request, ('g', partition, copy.session, 'hello', backup)))
    synchronize_backups(context, partition)


def primary_fields(copy: Copy) -> dict:
    """Return the fields common to all messages from a primary to its backups: `primary_fields(copy)`."""
    return {'part': copy.partition, 'seat': list(copy.replica_set), 'session': copy.session}


def restart_session(context: StepContext, partition: str) -> None:
    """As primary, synchronize with the backups anew: one has restarted or lacks changes."""
    copy = context.copy(partition)
    context.put(copy._replace(ready=False, session=0, transfer=None))
    send_hello(context, partition)


def unconfirmed_ms(context: StepContext, copy: Copy) -> int:
    """Return for how many milliseconds this primary has been without a confirmation. A backup that hears
    from a primary which does not hear it must not count that primary as alive."""
    return 0 if copy.last_heard is None else (context.now - copy.last_heard) // timedelta(milliseconds=1)


def record_confirmation(context: StepContext, copy: Copy, backup: str) -> Copy:
    """Return the copy with a backup's confirmation at this time recorded.

    >>> t = datetime(2026, 1, 1); context = StepContext(State('a'), t + RETRY_INTERVAL, None)
    >>> copy = Copy('p', ReplicaSet(1, 0, 'a', 'b', 'c'), confirmed_at=Map({'b': t, 'c': t}))
    >>> record_confirmation(context, copy, 'b').last_heard == t, record_confirmation(context, record_confirmation(context, copy, 'b'), 'c').last_heard == t + RETRY_INTERVAL
    (True, True)
    >>> record_confirmation(context, copy._replace(confirmed_at=Map()), 'b').last_heard == t + RETRY_INTERVAL      # just started
    True
    """
    confirmed_at = copy.confirmed_at.set(backup, context.now)
    since = copy.last_heard or context.now  # for those not heard from since this process started
    return copy._replace(
        confirmed_at=confirmed_at,
        last_heard=min(confirmed_at.get(b, since) for b in copy.replica_set.backups),
    )


class AppliedCommand(NamedTuple):
    """What a command changes in a table, and the reply to it.

    >>> AppliedCommand((), {'ok': True}).reply
    {'ok': True}
    """

    changes: tuple
    reply: dict


def applied(apply: Callable, partition: str, rows: Any, command: dict, now: datetime) -> AppliedCommand:
    """Return the result of a command; one that raises an error changes nothing."""
    try:
        changes, reply = apply(partition, rows, command, now)
    except Fault as e:
        return AppliedCommand((), e.pack())
    except Exception as e:
        return AppliedCommand((), Fault('internal', f'{type(e).__name__}: {e}', ran='no').pack())
    return AppliedCommand(changes, reply)


def start_batch(context: StepContext, partition: str) -> None:
    """Run the queued commands and replicate them as the next batch, if the copy may."""
    copy = context.copy(partition)
    if not copy.ready or copy.sealed or copy.batch or not copy.queue:
        return
    rows, seq, commands, changes = copy.rows, copy.seq, [], []
    for pending in copy.queue:
        if pending.command.get('op') == '#again':
            commands.append(pending._replace(reply=pending.command['ret']))
            continue
        applied_command = applied(context.apply, partition, rows, pending.command, context.now)
        if applied_command.changes:
            rows = apply_changes(rows, applied_command.changes)
            seq += 1
            changes.append((seq, tuple(applied_command.changes)))
        commands.append(pending._replace(reply=applied_command.reply))
    batch = Batch(
        context.next_number(),
        copy.seq,
        tuple(changes),
        tuple(commands),
        synced=not changes,
        awaiting=copy.replica_set.backups,
        rows_before=copy.rows,
    )
    log = copy.log + batch.changes if copy.reconfiguration else extend_log(copy.log, batch.changes)
    copy = context.put(copy._replace(rows=rows, seq=seq, queue=(), log=log, batch=batch))
    if changes:
        context.save(
            copy, batch_writes(partition, batch.changes), ('g', partition, copy.session, 'own', batch.number)
        )
    context.effects.append(Count('group.flights'))
    send_batch(context, partition)


def batch_writes(partition: str, changes: tuple) -> tuple:
    """Return the writes of a batch: its rows, and its changes as the stored log for members that lack them."""
    puts = tuple(Put(partition, key, value) for _, entry in changes for key, value in entry)
    return puts + (Put(partition, '#last', [[n, [list(c) for c in entry]] for n, entry in changes]),)


def send_batch(context: StepContext, partition: str) -> None:
    """Send the batch to the backups that have neither confirmed it nor a message to answer."""
    copy = context.copy(partition)
    batch = copy.batch
    backups = tuple(b for b in batch.awaiting if b not in batch.in_flight)
    context.put(copy._replace(batch=batch._replace(sent_at=context.now, in_flight=batch.in_flight + backups)))
    for backup in backups:
        context.effects.append(
            Ask(
                backup,
                {
                    'k': 'frame',
                    'part': partition,
                    'seat': list(copy.replica_set),
                    'session': copy.session,
                    'first': batch.base_seq,
                    'changes': batch.changes,
                    'quiet': unconfirmed_ms(context, copy),
                },
                ('g', partition, copy.session, 'frame', (batch.number, backup)),
            )
        )
    if not batch.awaiting:
        finish_batch(context, partition)


def finish_batch(context: StepContext, partition: str) -> None:
    """Answer the commands of the batch if it is synced here and confirmed by every backup."""
    copy = context.copy(partition)
    batch = copy.batch
    if not batch or not batch.synced or batch.awaiting:
        return
    for pending in batch.commands:
        context.effects.append(Done(pending.tag, pending.reply))
    context.put(copy._replace(batch=None))
    continue_reconfiguration(context, partition)
    start_batch(context, partition)


def handle_message(context: StepContext, event: Told) -> None:
    """Handle a message from another member."""
    message = event.message
    partition, kind = message['part'], message['k']
    copy = context.copy(partition)
    if kind in REPLICA_SET_KINDS:
        replica_set = ReplicaSet(*message['seat'])
        if copy is None or copy.replica_set is None or copy.replica_set.epoch < replica_set.epoch:
            apply_grant(context, partition, replica_set)
            copy = context.copy(partition)
        refusal = ''
        if copy is None or copy.replica_set is None or not copy.has_all_rows:
            refusal = 'absent'
        elif copy.replica_set.epoch > replica_set.epoch:
            refusal = 'epoch'
        elif copy.replica_set.epoch < replica_set.epoch or context.state.me not in replica_set.backups:
            refusal = 'absent'
        elif copy.sealed:
            refusal = 'sealed'
        elif kind in SESSION_KINDS and copy.session != message['session']:
            refusal = 'session'
        elif kind == 'frame' and copy.seq < message['first']:
            refusal = 'gap'
        if refusal:
            replica_set = list(copy.replica_set) if copy and copy.replica_set else None
            context.effects.append(Return(event.call, {'ok': False, 'no': refusal, 'seat': replica_set}))
            return
        if message.get('quiet', 0) < MAX_UNCONFIRMED_MS:
            copy = copy._replace(last_heard=context.now)
        if kind == 'hello':
            reply_to_hello(context, copy, event)
            return
        if kind == 'pull':
            context.put(copy)
            context.effects.append(Return(event.call, pull_reply(copy, message['after'])))
            return
        if kind == 'refill':
            receive_refill(context, copy, event)
            return
        changes = decode_changes(message['changes'])
        new_changes = tuple(c for c in changes if c[0] > copy.seq)
        if not changes:
            context.put(copy)
            context.effects.append(Return(event.call, {'ok': True}))
            return
        rows = apply_log(copy.rows, new_changes)
        log = extend_log(copy.log, new_changes) if not copy.reconfiguration else copy.log + new_changes
        copy = context.put(copy._replace(rows=rows, seq=max(copy.seq, changes[-1][0]), log=log))
        context.save(
            copy,
            batch_writes(partition, new_changes) if new_changes else (),
            ('g', partition, 0, 'told', event.call),
        )
        continue_reconfiguration(context, partition)
    elif kind == 'fill':
        receive_fill(context, event, copy)
    elif kind == 'follow':
        if has_caught_up(copy, message):
            context.save(copy, (), ('g', partition, 0, 'told', event.call))
            return
        is_current_fill = (
            copy is not None
            and copy.joining_epoch == message['epoch']
            and copy.fill_id == tuple(message['source'])
        )
        if not is_current_fill or not copy.has_all_rows or copy.seq < message['first']:
            context.effects.append(Return(event.call, {'ok': False, 'no': 'absent'}))
            return
        copy = copy._replace(caught_up=message['complete'])
        changes = decode_changes(message['changes'])
        new_changes = tuple(c for c in changes if c[0] > copy.seq)
        rows = apply_log(copy.rows, new_changes)
        copy = context.put(
            copy._replace(
                rows=rows,
                seq=max([copy.seq] + [n for n, _ in new_changes]),
                log=extend_log(copy.log, new_changes),
            )
        )
        context.save(
            copy,
            batch_writes(partition, new_changes) if new_changes else (),
            ('g', partition, 0, 'told', event.call),
        )


def has_caught_up(copy: Copy | None, message: dict) -> bool:
    """Return whether this copy is complete for the epoch of a reconfiguration, which can't change it then.

    >>> has_caught_up(Copy('p', has_all_rows=True, joining_epoch=2, caught_up=True), {'epoch': 2})
    True
    """
    return copy is not None and copy.caught_up and copy.joining_epoch == message['epoch']


def receive_fill(context: StepContext, event: Told, copy: Copy | None) -> None:
    """As joiner, store one piece of a snapshot. The first piece of a new fill clears the copy; a repeated
    piece changes nothing."""
    message = event.message
    partition, previous_epoch, epoch, fill_id = (
        message['part'],
        message['base'],
        message['epoch'],
        tuple(message['source']),
    )
    known_epoch = copy.replica_set.epoch if copy and copy.replica_set else 0
    is_member = bool(
        copy and copy.replica_set and copy.replica_set.includes(context.state.me) and copy.has_all_rows
    )
    if (
        known_epoch > previous_epoch
        or (known_epoch == previous_epoch and is_member)
        or (copy and copy.joining_epoch > epoch)
    ):
        replica_set = list(copy.replica_set) if copy.replica_set else None
        context.effects.append(Return(event.call, {'ok': False, 'no': 'epoch', 'seat': replica_set}))
        return
    is_current_fill = copy is not None and copy.joining_epoch == epoch and copy.fill_id == fill_id
    if has_caught_up(copy, message) or (
        is_current_fill and message['at'] + len(message['rows']) <= copy.rows_received
    ):
        context.save(copy, (), ('g', partition, 0, 'told', event.call))
        return
    if message['at'] == 0:
        copy = reject_pending(context, copy) if copy else Copy(partition)
        copy = copy._replace(
            rows=Map(),
            log=(),
            has_all_rows=False,
            joining_epoch=epoch,
            seq=0,
            sealed=False,
            reconfiguration=None,
            caught_up=False,
            fill_id=fill_id,
            rows_received=0,
        )
        clear: tuple = (Put(partition, None, None),)
    elif not is_current_fill or message['at'] != copy.rows_received:
        context.effects.append(Return(event.call, {'ok': False, 'no': 'absent'}))
        return
    else:
        clear = ()
    copy = copy._replace(
        rows=apply_changes(copy.rows, message['rows']), rows_received=message['at'] + len(message['rows'])
    )
    if message['last']:
        copy = copy._replace(has_all_rows=True, seq=message['seq'])
    context.put(copy)
    context.save(
        copy,
        clear + tuple(Put(partition, k, v) for k, v in message['rows']),
        ('g', partition, 0, 'told', event.call),
    )


def handle_reply(context: StepContext, event: Heard) -> None:
    """Handle the reply to a message that this member sent, or the lack of one."""
    _, partition, session, kind, number = event.tag
    copy = context.copy(partition)
    reply = event.reply
    if copy is None:
        return
    if kind in ('fill', 'follow'):
        handle_joiner_reply(context, partition, session, reply, number)
        return
    if copy.session != session or copy.replica_set is None or copy.replica_set.primary != context.state.me:
        return
    backup = number[1] if kind == 'frame' else number
    if kind in ('pull', 'refill'):
        handle_transfer_reply(context, partition, kind, backup, reply)
        return
    is_current = kind == 'frame' and copy.batch is not None and copy.batch.number == number[0]
    if is_current:  # whatever the reply is, the message is answered
        in_flight = tuple(b for b in copy.batch.in_flight if b != backup)
        copy = context.put(copy._replace(batch=copy.batch._replace(in_flight=in_flight)))
    if reply is None or 'fault' in reply:
        return
    if not reply['ok']:
        if reply['no'] == 'epoch' and reply.get('seat'):
            apply_grant(context, partition, ReplicaSet(*reply['seat']))
        elif reply['no'] in ('session', 'gap'):
            restart_session(context, partition)
        return
    copy = context.put(record_confirmation(context, copy, backup))
    if kind == 'hello':
        context.put(
            copy._replace(
                backup_positions=copy.backup_positions.set(
                    backup, (reply['seq'], decode_changes(reply['tail']))
                )
            )
        )
        synchronize_backups(context, partition)
    elif is_current:
        awaiting = tuple(b for b in copy.batch.awaiting if b != backup)
        context.put(copy._replace(batch=copy.batch._replace(awaiting=awaiting)))
        finish_batch(context, partition)


def synchronize_backups(context: StepContext, partition: str) -> None:
    """Once every backup has reported its position, which is on its disk: take over the changes of the one
    that is furthest ahead, sync all that is held here, send the changes that others lack, then serve. Where
    a log does not reach back far enough, all rows are transferred."""
    copy = context.copy(partition)
    if copy.ready or copy.transfer or any(b not in copy.backup_positions for b in copy.replica_set.backups):
        return
    ahead = max(copy.backup_positions, key=lambda b: copy.backup_positions[b][0], default=None)
    if ahead is not None and copy.backup_positions[ahead][0] > copy.seq:
        seq, log = copy.backup_positions[ahead]
        new_changes = tuple(c for c in log if c[0] > copy.seq)
        if not is_contiguous(copy.seq, new_changes):
            start_pull(context, copy, ahead, seq)
            return
        rows = apply_log(copy.rows, new_changes)
        copy = copy._replace(rows=rows, seq=seq, log=extend_log(copy.log, new_changes))
        sync_before_serving(context, copy, batch_writes(partition, new_changes))
        return
    if copy.synced_session != copy.session:
        if copy.syncing_session != copy.session:
            sync_before_serving(context, copy)
        return
    behind = min(copy.backup_positions, key=lambda b: copy.backup_positions[b][0], default=None)
    lowest_seq = copy.backup_positions[behind][0] if behind is not None else copy.seq
    if lowest_seq < (copy.batch.base_seq if copy.batch else copy.seq):
        new_changes = tuple(c for c in copy.log if c[0] > lowest_seq)
        if copy.batch or not is_contiguous(lowest_seq, new_changes):
            start_refill(context, copy, behind)
            return
        copy = copy._replace(
            batch=Batch(
                context.next_number(),
                lowest_seq,
                new_changes,
                (),
                synced=True,
                awaiting=copy.replica_set.backups,
            )
        )
    copy = context.put(copy._replace(ready=True))
    if copy.batch:  # its earlier messages belong to an older session
        context.put(copy._replace(batch=copy.batch._replace(in_flight=())))
        send_batch(context, partition)
    else:
        start_batch(context, partition)


def is_contiguous(seq: int, changes: tuple) -> bool:
    """Return whether these changes follow directly on a sequence number, with none missing between.

    >>> is_contiguous(4, ((5, ()), (6, ()))), is_contiguous(4, ((6, ()),)), is_contiguous(4, ())
    (True, False, False)
    """
    return bool(changes) and changes[0][0] == seq + 1


def sync_before_serving(context: StepContext, copy: Copy, puts: tuple = ()) -> None:
    """Sync what this primary holds before it serves: a batch without changes is finished by the
    confirmations of the backups alone, and its reads may show changes of an earlier write that is not
    synced here yet."""
    copy = context.put(copy._replace(syncing_session=copy.session))
    context.save(copy, puts, ('g', copy.partition, copy.session, 'met', 0))


def reply_to_hello(context: StepContext, copy: Copy, event: Told) -> None:
    """As backup, report the position of this copy to the primary, once it is synced."""
    message = event.message
    copy = context.put(copy._replace(session=message['session'], transfer=None))
    missing = [[n, c] for n, c in copy.log if n > message['seq']]
    reply = {'ok': True, 'seq': copy.seq, 'tail': missing}
    context.save(copy, (), ('g', copy.partition, 0, 'stands', (event.call, reply)))


def start_pull(context: StepContext, copy: Copy, ahead: str, seq: int) -> None:
    """As primary, fetch the rows of a backup that is ahead and whose log does not reach back to this copy."""
    context.effects.append(
        Note('pull', {'part': copy.partition, 'mine': copy.seq, 'theirs': seq, 'of': ahead})
    )
    context.put(copy._replace(transfer=Transfer(ahead, seq)))
    request_piece(context, copy.partition, '')


def request_piece(context: StepContext, partition: str, after_key: str) -> None:
    """As primary, ask the backup for the rows after a key."""
    copy = context.copy(partition)
    request = {'k': 'pull', **primary_fields(copy), 'after': after_key}
    tag = ('g', partition, copy.session, 'pull', copy.transfer.peer)
    context.effects.append(Ask(copy.transfer.peer, request, tag, TRANSFER_TIMEOUT_MS))


def pull_reply(copy: Copy, after_key: str) -> dict:
    """Return the reply with the rows after a key, up to the limits of a message. The rows don't change
    during the transfer: this copy's primary waits for them.

    >>> copy = Copy('p', seq=9, rows=Map({'a': 1, 'b': 2}))
    >>> pull_reply(copy, 'a') == {'ok': True, 'seq': 9, 'rows': [['b', 2]], 'last': True}
    True
    """
    remaining = Transfer('', copy.seq, copy.rows, tuple(sorted(k for k in copy.rows if k > after_key)))
    keys = next_piece(remaining)
    rows = [[k, copy.rows[k]] for k in keys]
    return {'ok': True, 'seq': copy.seq, 'rows': rows, 'last': len(keys) == len(remaining.keys)}


def start_refill(context: StepContext, copy: Copy, behind: str) -> None:
    """As primary, send all rows to a backup that is too far behind for the log."""
    context.effects.append(Note('refill', {'part': copy.partition, 'mine': copy.seq, 'to': behind}))
    keys = tuple(sorted(copy.rows))
    context.put(copy._replace(transfer=Transfer(behind, copy.seq, copy.rows, keys)))
    send_refill_piece(context, copy.partition)


def send_refill_piece(context: StepContext, partition: str) -> None:
    """As primary, send the next rows of a transfer."""
    copy = context.copy(partition)
    transfer = copy.transfer
    keys = next_piece(transfer)
    request = {
        'k': 'refill',
        **primary_fields(copy),
        'at': transfer.position,
        'seq': transfer.seq,
        'rows': [[k, transfer.snapshot[k]] for k in keys],
        'last': transfer.position + len(keys) == len(transfer.keys),
    }
    context.effects.append(
        Ask(
            transfer.peer,
            request,
            ('g', partition, copy.session, 'refill', transfer.peer),
            TRANSFER_TIMEOUT_MS,
        )
    )


def receive_refill(context: StepContext, copy: Copy, event: Told) -> None:
    """As backup, take a piece of the primary's rows; the last piece replaces the copy's own rows."""
    message = event.message
    transfer = copy.transfer if message['at'] else Transfer(copy.replica_set.primary, message['seq'])
    if transfer is None or transfer.position != message['at'] or copy.seq > message['seq']:
        context.put(copy._replace(transfer=None))
        context.effects.append(Return(event.call, {'ok': False, 'no': 'gap', 'seat': None}))
        return
    transfer = transfer._replace(
        snapshot=apply_changes(transfer.snapshot, message['rows']),
        position=transfer.position + len(message['rows']),
    )
    if not message['last']:
        context.put(copy._replace(transfer=transfer))
        context.effects.append(Return(event.call, {'ok': True}))
        return
    copy, puts = with_rows_replaced(copy, transfer)
    context.put(copy)
    context.save(copy, puts, ('g', copy.partition, 0, 'told', event.call))


def with_rows_replaced(copy: Copy, transfer: Transfer) -> tuple[Copy, tuple]:
    """Return the copy with the transferred rows, and the one write that replaces them on disk."""
    puts = (Put(copy.partition, None, None),) + tuple(
        Put(copy.partition, k, v) for k, v in transfer.snapshot.items()
    )
    return copy._replace(rows=transfer.snapshot, seq=transfer.seq, log=(), transfer=None), puts


def handle_transfer_reply(
    context: StepContext, partition: str, kind: str, backup: str, reply: dict | None
) -> None:
    """As primary, continue a transfer; synchronize anew if it failed."""
    copy = context.copy(partition)
    transfer = copy.transfer
    if transfer is None or transfer.peer != backup:
        return
    if reply is None or not reply.get('ok') or (kind == 'pull' and reply['seq'] != transfer.seq):
        replica_set = (reply or {}).get('seat')
        context.put(copy._replace(session=0, transfer=None, hello_sent_at=context.now))
        if replica_set and replica_set[0] > copy.replica_set.epoch:
            apply_grant(context, partition, ReplicaSet(*replica_set))
        return
    copy = context.put(record_confirmation(context, copy, backup))
    if kind == 'pull':
        transfer = transfer._replace(snapshot=apply_changes(transfer.snapshot, reply['rows']))
        context.put(copy._replace(transfer=transfer))
        if not reply['last']:
            request_piece(context, partition, reply['rows'][-1][0])
            return
        copy, puts = with_rows_replaced(copy, transfer)
        sync_before_serving(context, copy, puts)
        return
    position = transfer.position + len(next_piece(transfer))
    if position < len(transfer.keys):
        context.put(copy._replace(transfer=transfer._replace(position=position)))
        send_refill_piece(context, partition)
        return
    positions = copy.backup_positions.set(backup, (transfer.seq, ()))
    context.put(copy._replace(backup_positions=positions, transfer=None))
    synchronize_backups(context, partition)


def handle_write(context: StepContext, event: Wrote) -> None:
    """Handle a write of this member that is synced."""
    _, partition, session, kind, number = event.tag
    copy = context.copy(partition)
    if kind == 'told':
        context.effects.append(Return(number, {'ok': True}))
    elif kind == 'own' and copy and copy.batch and copy.batch.number == number:
        context.put(copy._replace(batch=copy.batch._replace(synced=True)))
        finish_batch(context, partition)
    elif kind == 'stands':
        call, reply = number
        context.effects.append(Return(call, reply))
    elif kind == 'met' and copy and copy.session == session and copy.replica_set.primary == context.state.me:
        context.put(copy._replace(synced_session=session))
        synchronize_backups(context, partition)
    elif kind == 'seal' and copy and copy.reconfiguration and copy.reconfiguration.stage == 'seal':
        context.put(
            copy._replace(reconfiguration=copy.reconfiguration._replace(stage='last', request_pending=False))
        )
        continue_reconfiguration(context, partition)


def start_reconfiguration(context: StepContext, event: StartReconfiguration) -> None:
    """Start to lead a reconfiguration, unless one for the same or a later replica set is under way."""
    copy = context.copy(event.partition)
    if (
        copy is None
        or copy.replica_set is None
        or not copy.has_all_rows
        or copy.replica_set.epoch != event.replica_set.previous_epoch
    ):
        return
    if not copy.replica_set.includes(context.state.me):
        return
    if any(not copy.replica_set.includes(name) for name in event.replica_set.members if name != event.joiner):
        return  # a member that nobody would bring up
    if copy.reconfiguration and (
        copy.reconfiguration.replica_set == event.replica_set
        or copy.reconfiguration.replica_set.epoch > event.replica_set.epoch
    ):
        return
    reconfiguration = Reconfiguration(
        event.joiner, event.replica_set, 'fill', tuple(sorted(copy.rows)), copy.rows, 0, copy.seq
    )
    reconfiguration = reconfiguration._replace(fill_id=(context.state.me, context.next_number()))
    if copy.replica_set.includes(event.joiner):
        reconfiguration = reconfiguration._replace(stage='follow')
    copy = context.put(copy._replace(reconfiguration=reconfiguration))
    context.effects.append(
        Note('move', {'part': event.partition, 'joiner': event.joiner, 'epoch': event.replica_set.epoch})
    )
    continue_reconfiguration(context, event.partition)


def continue_reconfiguration(context: StepContext, partition: str) -> None:
    """Send the next message of the reconfiguration that this member leads, if none is unanswered."""
    copy = context.copy(partition)
    reconfiguration = copy.reconfiguration
    if not reconfiguration or reconfiguration.request_pending:
        return
    me, is_member = context.state.me, copy.replica_set.includes(reconfiguration.joiner)
    fields = {
        'part': partition,
        'base': copy.replica_set.epoch,
        'epoch': reconfiguration.replica_set.epoch,
        'source': reconfiguration.fill_id,
    }
    if reconfiguration.stage == 'fill':
        keys = next_piece(reconfiguration)
        last = reconfiguration.position + len(keys) >= len(reconfiguration.keys)
        request = {
            'k': 'fill',
            **fields,
            'at': reconfiguration.position,
            'last': last,
            'seq': reconfiguration.sent_seq,
            'rows': [[k, reconfiguration.snapshot[k]] for k in keys],
        }
        send_to_joiner(context, copy, reconfiguration, request, 'fill', reconfiguration.position)
    elif reconfiguration.stage in ('follow', 'last'):
        new_changes = tuple(c for c in copy.log if c[0] > reconfiguration.sent_seq)
        if not is_member and (new_changes or reconfiguration.stage == 'last'):
            entries = new_changes[:MAX_MESSAGE_ROWS]
            complete = reconfiguration.stage == 'last' and len(entries) == len(new_changes)
            request = {
                'k': 'follow',
                **fields,
                'first': reconfiguration.sent_seq,
                'changes': entries,
                'complete': complete,
            }
            send_to_joiner(
                context,
                copy,
                reconfiguration,
                request,
                'follow',
                (entries[-1][0] if entries else reconfiguration.sent_seq, complete),
            )
        elif reconfiguration.stage == 'follow':
            can_finish = copy.batch and all(
                b in reconfiguration.replica_set.members for b in copy.batch.awaiting
            )
            if can_finish and copy.replica_set.primary == me and not is_batch_stalled(context, copy):
                return  # the batch can still finish under this epoch
            copy = context.put(
                copy._replace(
                    sealed=True, reconfiguration=reconfiguration._replace(stage='seal', request_pending=True)
                )
            )
            context.save(copy, (), ('g', partition, 0, 'seal', 0))
        else:
            context.put(copy._replace(reconfiguration=reconfiguration._replace(stage='propose')))
            context.effects.append(Propose(partition, tuple(reconfiguration.replica_set)))


def next_piece(reconfiguration: Reconfiguration) -> tuple:
    """Return the keys of the next piece of a snapshot, up to the limits of a message in rows and bytes.

    >>> keys = tuple(f'k{n}' for n in range(3))
    >>> next_piece(Reconfiguration('c', None, 'fill', keys, Map({k: 'x' * MAX_MESSAGE_BYTES for k in keys}), 1))
    ('k1',)
    """
    size, keys = 0, []
    for key in reconfiguration.keys[reconfiguration.position : reconfiguration.position + MAX_MESSAGE_ROWS]:
        size += encoded_size(reconfiguration.snapshot[key])
        if keys and size > MAX_MESSAGE_BYTES:
            break
        keys.append(key)
    return tuple(keys)


def encoded_size(value: Any) -> int:
    """Return about how many bytes a value takes on the wire.

    >>> encoded_size('abc'), encoded_size(['ab', 1]), encoded_size({'a': b'12'})
    (3, 11, 11)
    """
    if isinstance(value, (str, bytes)):
        return len(value)
    if isinstance(value, (list, tuple)):
        return sum(encoded_size(v) for v in value)
    if isinstance(value, dict):
        return sum(encoded_size(v) + 9 for v in value.values())
    return 9


def is_batch_stalled(context: StepContext, copy: Copy) -> bool:
    """Return whether the batch cannot finish because a backup is silent."""
    return copy.last_heard is None or context.now - copy.last_heard > timedelta(milliseconds=900)


def send_to_joiner(
    context: StepContext, copy: Copy, reconfiguration: Reconfiguration, request: dict, kind: str, number: Any
) -> None:
    """Send the joiner a message of the reconfiguration, and remember that it is not answered yet."""
    context.put(
        copy._replace(reconfiguration=reconfiguration._replace(request_pending=True, sent_at=context.now))
    )
    context.effects.append(
        Ask(
            reconfiguration.joiner,
            request,
            ('g', copy.partition, reconfiguration.fill_id, kind, number),
            2000,
        )
    )


def handle_joiner_reply(
    context: StepContext, partition: str, fill_id: tuple, reply: dict | None, number: Any
) -> None:
    """Handle the joiner's reply to a message of the reconfiguration."""
    copy = context.copy(partition)
    reconfiguration = copy.reconfiguration
    if not reconfiguration or not reconfiguration.request_pending or reconfiguration.fill_id != fill_id:
        return
    if reply is None or 'fault' in reply:
        # the next tick sends it again
        context.put(copy._replace(reconfiguration=reconfiguration._replace(request_pending=False)))
        return
    if not reply['ok']:
        context.effects.append(
            Note('move_off', {'part': partition, 'joiner': reconfiguration.joiner, 'cause': reply['no']})
        )
        if reconfiguration.stage in ('fill', 'follow'):
            context.put(copy._replace(reconfiguration=None))
        else:  # sealed: start again with the same joiner
            context.put(
                copy._replace(
                    reconfiguration=reconfiguration._replace(
                        stage='fill',
                        position=0,
                        keys=tuple(sorted(copy.rows)),
                        snapshot=copy.rows,
                        sent_seq=copy.seq,
                        request_pending=False,
                        fill_id=(context.state.me, context.next_number()),
                    )
                )
            )
        if reply.get('seat'):
            apply_grant(context, partition, ReplicaSet(*reply['seat']))
        return
    if reconfiguration.stage == 'fill':
        position = reconfiguration.position + len(next_piece(reconfiguration))
        reconfiguration = reconfiguration._replace(
            position=position, stage='fill' if position < len(reconfiguration.keys) else 'follow'
        )
    else:
        sent_seq, complete = number
        reconfiguration = reconfiguration._replace(
            sent_seq=sent_seq, stage='propose' if complete else reconfiguration.stage
        )
    context.put(copy._replace(reconfiguration=reconfiguration._replace(request_pending=False)))
    if reconfiguration.stage == 'propose':
        context.effects.append(Propose(partition, tuple(reconfiguration.replica_set)))
    else:
        continue_reconfiguration(context, partition)


def tick_partition(context: StepContext, partition: str) -> None:
    """Send again what got no reply, and a heartbeat when idle."""
    copy = context.copy(partition)
    if copy.reconfiguration and not copy.reconfiguration.request_pending:
        if copy.reconfiguration.stage == 'propose':
            context.effects.append(Propose(partition, tuple(copy.reconfiguration.replica_set)))
        else:
            continue_reconfiguration(context, partition)
        copy = context.copy(partition)
    if (
        copy.replica_set is None
        or copy.replica_set.primary != context.state.me
        or not copy.has_all_rows
        or copy.sealed
    ):
        return
    if not copy.replica_set.backups:  # no confirmation to wait for
        copy = context.put(copy._replace(last_heard=context.now))
    if not copy.ready:
        if copy.transfer is None:
            send_hello(context, partition)
    elif copy.batch:
        if (
            any(b not in copy.batch.in_flight for b in copy.batch.awaiting)
            and context.now - copy.batch.sent_at >= RETRY_INTERVAL
        ):
            send_batch(context, partition)
    elif (
        context.state.heartbeats
        and copy.replica_set.backups
        and (copy.last_heard is None or context.now - copy.last_heard >= HEARTBEAT_INTERVAL)
    ):
        context.put(
            copy._replace(queue=copy.queue + (PendingCommand(('beat',), {'op': '#again', 'ret': {}}),))
        )
        start_batch(context, partition)
