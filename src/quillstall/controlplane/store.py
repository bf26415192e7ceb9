"""The reducer of a store process. The process keeps copies of the partitions, polls the core for replica sets
and configuration, and as a member of the lease quorum renews leases of routing nodes while no core is reachable."""

from datetime import datetime, timedelta
from typing import Any, NamedTuple

from immutables import Map

from quillstall.controlplane import store_table
from quillstall.network.packing import with_unpacked_policy
from quillstall.replication import group, register, watch
from quillstall.replication.copies import Grant, Op, ReplicaSet, StartReconfiguration
from quillstall.replication.register import DEFAULT_LEASE, QuorumRecord
from quillstall.replication.watch import DEFAULT_SILENCE_LIMIT, Watch
from quillstall.runtime.clock import from_ms
from quillstall.runtime.disk import Put
from quillstall.runtime.effect import Ask, Count, Done, Heard, Propose, Return, Tick, Told, Write, Wrote
from quillstall.runtime.errors import Fault

# of the store timeout: a partition that its primary cannot bring to serve for so long is reported to the core
UNREADY_REPORT_FRACTION = 0.6
# the same for a partition that did serve and has stalled, which is reported sooner
STALL_REPORT_FRACTION = 0.25
# a partition with an open batch has stalled if a backup has not been heard from for so long
CONFIRMATION_TIMEOUT = timedelta(milliseconds=200)
SWEEP_INTERVAL = timedelta(seconds=5)
POLL_TIMEOUT_MS = 650
CORE_BACKOFF = timedelta(milliseconds=400)
PROGRAM_RETENTION_S = 86_400
SUSPECT_FRACTION = 0.65  # of the store timeout, after which a silent watched store is suspected
CORE_SILENCE_LIMIT = timedelta(milliseconds=1500)
HELLO_INTERVAL = timedelta(seconds=1)


class Store(NamedTuple):
    """The state of a store process.

    >>> Store('s1', '127.0.0.1:1', 'z1', 1, ('127.0.0.1:2',)).placement_version
    0
    """

    me: str
    address: str
    zone: str
    incarnation: int
    seeds: tuple
    copies: group.State = group.State('')
    core_addresses: tuple = ()
    core_primary: str | None = None  # address of the core that is believed to be the primary
    placement_version: int = 0
    replica_sets: dict = {}  # partition -> its replica set, as the core last reported it
    store_addresses: dict = {}
    node_addresses: tuple = ()  # of routing nodes
    core_last_heard: datetime | None = None  # when the core last answered a poll
    hello_sent_at: datetime | None = None
    record: QuorumRecord = QuorumRecord()  # on disk; what this store answers when it renews a lease
    pending_record: QuorumRecord | None = None  # the record that is being written
    renewed_leases: Map = Map()  # (routing node, generation of the lease) -> when it was last renewed
    fleet_id: str | None = None
    poll_number: int = 0
    polled_at: datetime | None = None
    reported_problems: frozenset = frozenset()  # in the last poll: stalled partitions and suspected stores
    poll_pending: bool = False
    polled_core: str | None = None  # address that the last poll was sent to; None: it went through a peer
    core_index: int = 0  # which core is polled next while the primary is unknown
    unserved_since: Map = Map()  # partition -> (epoch, since when it is not served)
    swept_at: datetime | None = None
    sweep_positions: Map = Map()  # partition -> the row where its next sweep begins
    watch: Watch = Watch()
    failed_polls: int = 0  # direct polls that were not answered since the last success
    http_address: str | None = None
    avoided_until: Map = Map()  # address of a core -> end of its back-off after a poll that it did not answer
    store_timeout: timedelta = DEFAULT_SILENCE_LIMIT  # after which a silent store is given up
    disk_blocked: bool = False  # the disk accepts no writes: this was reported, and no poll is sent
    wall_ahead: timedelta = timedelta(0)  # of the wall clock relative to the steady clock
    lease_duration: timedelta = DEFAULT_LEASE
    program_failures: int = 0  # after which this program was run anew in its process

    @property
    def granted_lease(self) -> timedelta:
        """The time for which this process counts a lease that it renewed, longer than the holder does."""
        return self.lease_duration * register.GRANTED_LEASE_FACTOR


def load(me: str, startup: dict, rows: dict, count: int, now: datetime) -> Store:
    """Return the state after a start, from the startup settings and the rows on disk.

    >>> from datetime import UTC
    >>> s = {'address': '127.0.0.1:1', 'zone': 'z1', 'seeds': ['127.0.0.1:2']}
    >>> load('s1', s, {}, 1, datetime(2026, 1, 1, tzinfo=UTC)).incarnation
    1
    """
    process_rows = rows.get('', {})
    version, replica_sets, store_addresses, node_addresses = process_rows.get('map') or (0, {}, {}, ())
    record = register.decode_record(process_rows.get('word'))
    # Which leases were renewed before this start is not known, so any node's lease counts as renewed now.
    renewed_leases = Map({(register.ANY_NODE, 0): now}) if record.number else Map()
    store_timeout = from_ms(startup['silent_ms']) if 'silent_ms' in startup else DEFAULT_SILENCE_LIMIT
    return Store(
        me,
        startup['address'],
        startup['zone'],
        count,
        tuple(startup['seeds']),
        group.load(me, rows, count),
        tuple(process_rows.get('core') or startup['seeds']),
        fleet_id=process_rows.get('fleet_id'),
        http_address=startup.get('http'),
        placement_version=version,
        replica_sets=replica_sets,
        store_addresses=store_addresses,
        node_addresses=tuple(node_addresses),
        record=record,
        renewed_leases=renewed_leases,
        store_timeout=store_timeout,
        watch=Watch(silence_limit=store_timeout, suspect_after=store_timeout * SUSPECT_FRACTION),
        lease_duration=from_ms(startup['lease_ms']) if 'lease_ms' in startup else DEFAULT_LEASE,
        program_failures=startup.get('program_failures', 0),
    )


def where(state: Store, member: str) -> str | None:
    """Return the address of a member: `where(state, 's2')`. An address is returned as it is."""
    if ':' in member:
        return member
    return state.store_addresses.get(member)


def apply_at_wall_time(wall_ahead: timedelta) -> group.ApplyCommand:
    """Return the function that applies a command to a partition's rows, as the replica group requires it:
    `apply_at_wall_time(state.wall_ahead)('p00', rows, command, now)`.

    The times in the rows are compared with those of other stores and outlast a restart, so they are wall times."""

    def apply_command(partition: str, rows: Map, command: dict, now: datetime) -> tuple[tuple, dict]:
        return store_table.apply(rows, command, now + wall_ahead)

    return apply_command


def step(state: Store, event: Any, now: datetime) -> tuple[Store, tuple]:
    """Return the next state and the effects of an event of a store process.

    >>> from datetime import UTC
    >>> t = datetime(2026, 1, 1, tzinfo=UTC)
    >>> s = Store('s1', '127.0.0.1:1', 'z1', 1, ('127.0.0.1:2',), core_addresses=('127.0.0.1:2',))
    >>> s, e = step(s, Tick(), t); e[0].message['k']
    'poll'
    """
    effects: list = []
    kind = type(event)
    if kind is Told:
        state = handle_message(state, event, now, effects)
    elif kind is Tick:
        state = state._replace(wall_ahead=event.wall_ahead)
        state = report_blocked_disk(state, now, effects) if event.blocked else tick(state, now, effects)
    elif kind is Heard and event.tag[0] == 'poll':
        state = handle_poll_reply(state, event, now, effects)
    elif kind is Heard and event.tag[0] == 'seat':
        if event.reply and 'fault' not in event.reply:
            state = step_replication(
                state, Grant(event.tag[1], ReplicaSet(*event.reply['seat'])), now, effects
            )
        elif event.reply and event.reply['fault'] == 'core_away' and event.reply['more'].get('at'):
            state = state._replace(core_primary=event.reply['more']['at'])
    elif kind is Heard and event.tag[0] == 'ping':
        state = state._replace(watch=watch.record_ping(state.watch, event.tag[1], event.reply, now))
    elif kind is Heard and event.tag[0] == 'relay':
        effects.append(Return(event.tag[1], event.reply or Fault('slow', 'no core answered').pack()))
    elif kind is Heard and event.tag[0] == 'who':
        if event.reply and event.reply.get('core'):
            state = state._replace(
                core_addresses=tuple(event.reply['core']), core_primary=event.reply.get('at')
            )
    elif kind is Wrote and event.tag[0] == 'word':
        state = finish_record_write(state, event.tag[1], now, effects)
    elif event.tag[0] == 'g':
        state = step_replication(state, event, now, effects)
    return state, tuple(effects)


def step_replication(state: Store, event: Any, now: datetime, effects: list) -> Store:
    """Pass an event to the replicated partitions, and handle the effects that concern this process."""
    copies, group_effects = group.step(state.copies, event, now, apply_at_wall_time(state.wall_ahead))
    state = state._replace(copies=copies)
    for effect in group_effects:
        if type(effect) is Done:
            if effect.tag[0] == 'call':
                effects.append(Return(effect.tag[1], effect.reply))
            elif effect.tag[0] == 'sweep' and 'fault' not in effect.reply:
                state = state._replace(
                    sweep_positions=state.sweep_positions.set(effect.tag[1], effect.reply['at'])
                )
        elif type(effect) is Propose:
            effects.append(
                Ask(
                    state.core_primary or state.core_addresses[0],
                    {'k': 'seat', 'part': effect.part, 'seat': list(effect.replica_set)},
                    ('seat', effect.part),
                )
            )
        else:
            effects.append(effect)
    return state


def handle_message(state: Store, event: Told, now: datetime, effects: list) -> Store:
    """Handle a message of another process, and reply to it at once or when its command has run."""
    message = event.message
    kind = message.get('k')
    if kind in group.KINDS:
        return step_replication(state, event, now, effects)
    if kind == 'relay':
        if state.core_primary is None:
            effects.append(
                Return(event.call, Fault('core_away', 'this store has no way to the core either').pack())
            )
            return state
        effects.append(Ask(state.core_primary, message['message'], ('relay', event.call), POLL_TIMEOUT_MS))
        effects.append(Count('relayed'))
        return state
    if kind == 'greet':
        if is_core_silent(state, now) and state.fleet_id in (None, message['fleet']):
            state = state._replace(core_addresses=tuple(message['core']), core_primary=None)
        effects.append(Return(event.call, {'ok': True}))
        return state
    if kind == 'renew':
        return renew_lease(state, event, now, effects)
    if kind == 'op':
        return step_replication(
            state, Op(message['part'], ('call', event.call), message['command']), now, effects
        )
    if kind == 'who':
        effects.append(
            Return(
                event.call,
                {
                    'ok': True,
                    'me': state.me,
                    'role': 'store',
                    'fleet': state.fleet_id,
                    'core': list(state.core_addresses),
                    'at': state.core_primary,
                },
            )
        )
    elif kind == 'status':
        partitions = {
            partition: {
                'seat': list(copy.replica_set) if copy.replica_set else None,
                'seq': copy.seq,
                'full': copy.has_all_rows,
                'sealed': copy.sealed,
                'ready': copy.ready,
                'rows': len(copy.rows),
            }
            for partition, copy in sorted(state.copies.partitions.items())
        }
        effects.append(
            Return(
                event.call,
                {
                    'ok': True,
                    'me': state.me,
                    'role': 'store',
                    'zone': state.zone,
                    'place': state.placement_version,
                    'generation': state.record.generation,
                    'register': [
                        state.record.number,
                        sorted(state.record.members),
                        sorted(state.record.previous_members),
                    ],
                    'renewed': running_leases(state, now),
                    'parts': partitions,
                },
            )
        )
    else:
        effects.append(Return(event.call, Fault('garbled', f'no message of kind {kind!r}').pack()))
    return state


def renew_lease(state: Store, event: Told, now: datetime, effects: list) -> Store:
    """Answer a routing node that the core does not answer with this store's record, as a vote to renew its lease.

    The renewal is remembered, so that the core is told how long the node may rely on it.

    >>> from datetime import UTC
    >>> t, effects = datetime(2026, 1, 1, tzinfo=UTC), []
    >>> s = Store('s1', 'a:1', 'z', 1, (), record=QuorumRecord(4, 1))
    >>> s = renew_lease(s, Told(1, {'node': 'n1', 'generation': 3, 'number': 1, 'place': 0}), t, effects)
    >>> effects[0].reply['word'][:2], list(s.renewed_leases)
    ([4, 1], [('n1', 4)])
    """
    message, record = event.message, state.record
    if not record.number:
        effects.append(Return(event.call, Fault('core_away', 'this store is not registered yet').pack()))
        return state
    if record.generation <= message['generation']:  # the node has this policy: the register is enough
        record = record._replace(policy=None, leaving=())
    lease_ms = state.lease_duration // timedelta(milliseconds=1)
    reply = {
        'ok': True,
        'word': list(record),
        'lease_ms': lease_ms,
        'fleet': state.fleet_id,
        'core': list(state.core_addresses),
    }
    if state.placement_version > message['place']:
        reply.update(place=state.placement_version, seats=state.replica_sets, book=state.store_addresses)
    effects.append(Return(event.call, reply))
    effects.append(Count('renewed'))
    return state._replace(
        renewed_leases=state.renewed_leases.set((message['node'], state.record.generation), now)
    )


def is_core_silent(state: Store, now: datetime) -> bool:
    """Return whether the core has not answered a poll for `CORE_SILENCE_LIMIT`.

    >>> is_core_silent(Store('s1', 'a:1', 'z', 1, ()), None)
    True
    """
    return state.core_last_heard is None or now - state.core_last_heard > CORE_SILENCE_LIMIT


def send_hello(state: Store, now: datetime, effects: list) -> Store:
    """Tell the routing nodes where the fleet is while the core is silent, as the core would.

    A routing node that starts meanwhile finds the stores this way, and can serve."""
    if (
        not is_core_silent(state, now)
        or not state.record.number
        or (state.hello_sent_at is not None and now - state.hello_sent_at < HELLO_INTERVAL)
    ):
        return state
    known_register = {
        'number': state.record.number,
        'now': state.record.members,
        'old': state.record.previous_members,
    }
    message = {
        'k': 'greet',
        'fleet': state.fleet_id,
        'core': list(state.core_addresses),
        'register': known_register,
    }
    for address in state.node_addresses:
        effects.append(Ask(address, message, ('greet', address)))
    return state._replace(hello_sent_at=now)


def stalled_partitions(state: Store, now: datetime) -> list[list]:
    """Return the partitions that this store should serve as the primary but cannot, with their epochs and the
    backups that do not confirm.

    >>> stalled_partitions(Store('s1', 'a:1', 'z', 1, ()), None)
    []
    """
    return sorted(
        [partition, epoch, list(awaited_backups(state.copies.partitions[partition]))]
        for partition, (epoch, since) in state.unserved_since.items()
        if partition in state.copies.partitions
        and now - since > report_delay(state, state.copies.partitions[partition])
    )


def report_delay(state: Store, copy: group.Copy) -> timedelta:
    """Return for how long a partition is not served before that is reported.

    It is shorter for a partition that did serve: its backups were there, so one of them has failed."""
    return state.store_timeout * (STALL_REPORT_FRACTION if copy.ready else UNREADY_REPORT_FRACTION)


def awaited_backups(copy: group.Copy) -> tuple:
    """Return the backups that a primary waits for.

    >>> awaited_backups(group.Copy('p', ReplicaSet(1, 0, 'a', 'b', 'c'), backup_positions=Map({'b': (1, ())})))
    ('c',)
    """
    if copy.ready and copy.batch:
        return copy.batch.awaiting
    return (
        tuple(backup for backup in copy.replica_set.backups if backup not in copy.backup_positions)
        if copy.replica_set
        else ()
    )


def track_unserved(state: Store, now: datetime) -> Store:
    """Return the state with `unserved_since` updated: the partitions that this primary cannot serve now."""
    unserved_since = state.unserved_since
    for partition, copy in state.copies.partitions.items():
        is_primary = (
            copy.replica_set is not None and copy.replica_set.primary == state.me and copy.has_all_rows
        )
        is_served = (
            copy.ready
            and not copy.sealed
            and (copy.batch is None or now - (copy.last_heard or now) < CONFIRMATION_TIMEOUT)
        )
        if is_primary and not is_served and not (copy.sealed and copy.reconfiguration):
            if partition not in unserved_since or unserved_since[partition][0] != copy.replica_set.epoch:
                unserved_since = unserved_since.set(partition, (copy.replica_set.epoch, now))
        elif partition in unserved_since:
            unserved_since = unserved_since.delete(partition)
    return state._replace(unserved_since=unserved_since)


def running_leases(state: Store, now: datetime) -> list[list]:
    """Return the leases renewed here that may still be valid: (node, generation, remaining milliseconds).

    A lease under an older generation is kept beside a newer one, as the node may never have received the newer
    reply."""
    return sorted(
        [node, generation, (renewed_at + state.granted_lease - now) // timedelta(milliseconds=1)]
        for (node, generation), renewed_at in state.renewed_leases.items()
        if now - renewed_at <= state.granted_lease
    )


def poll_core(state: Store, now: datetime, effects: list, unserved: list | None = None) -> Store:
    """Poll the core for updates and report this store's state; through a peer after direct polls have failed.

    `unserved` is the list of stalled partitions to report; None: the result of `stalled_partitions`."""
    if state.disk_blocked:
        return state
    number = state.poll_number + 1
    unserved = stalled_partitions(state, now) if unserved is None else unserved
    candidates = [
        c for c in state.core_addresses if state.avoided_until.get(c, now) <= now
    ] or state.core_addresses
    target = state.core_primary or candidates[state.core_index % len(candidates)]
    message = {
        'k': 'poll',
        'node': state.me,
        'role': 'store',
        'address': state.address,
        'zone': state.zone,
        'inc': state.incarnation,
        'generation': state.record.generation,
        'number': state.record.number,
        'place': state.placement_version,
        'renewed': running_leases(state, now),
        'stuck': unserved,
        'unpacks': True,
        'suspects': watch.suspects(state.watch, now),
        'facts': {
            'parts': len(state.copies.partitions),
            'http': state.http_address,
            'clock': (now + state.wall_ahead).timestamp(),
            'program_failures': state.program_failures,
        },
    }
    peers = sorted(state.watch.peers.values())
    through_peer = bool(state.failed_polls >= 2 and number % 8 and peers)
    message['by'] = through_peer  # tells the core that this store does not reach it directly
    if through_peer:
        effects.append(
            Ask(
                peers[number % len(peers)],
                {'k': 'relay', 'message': message},
                ('poll', number),
                POLL_TIMEOUT_MS,
            )
        )
    else:
        effects.append(Ask(target, message, ('poll', number), POLL_TIMEOUT_MS))
    return state._replace(
        poll_number=number,
        polled_at=now,
        poll_pending=True,
        polled_core=None if through_peer else target,
        reported_problems=list_problems(unserved, message['suspects']),
    )


def list_problems(unserved: list[list], suspects: list[str]) -> frozenset:
    """Return what a poll reports that the core should know at once: stalled partitions with their epochs, and
    suspected stores.

    >>> sorted(list_problems([['p', 2, ['s2']]], ['s3']))
    [('p', 2), ('s3', 0)]
    """
    return frozenset((partition, epoch) for partition, epoch, _ in unserved) | frozenset(
        (name, 0) for name in suspects
    )


def handle_poll_reply(state: Store, event: Heard, now: datetime, effects: list) -> Store:
    """Apply the core's update: replica sets, addresses, the reconfigurations to lead, and the quorum record."""
    if event.tag[1] != state.poll_number:
        return state
    state = state._replace(poll_pending=False)
    reply = event.reply
    if reply is None or 'fault' in reply:
        if state.polled_core is None:  # not reachable through a peer either: try the cores again
            return state._replace(failed_polls=0, core_index=state.core_index + 1)
        primary = (reply or {}).get('more', {}).get('at')
        if reply is None:
            state = state._replace(
                avoided_until=state.avoided_until.set(state.polled_core, now + CORE_BACKOFF)
            )
        if primary and state.avoided_until.get(primary, now) > now:
            primary = None
        if reply and reply['fault'] == 'garbled':  # a seed of another role: it may know the core
            effects.append(Ask(state.polled_core or state.core_addresses[0], {'k': 'who'}, ('who',)))
        return state._replace(
            core_primary=primary,
            core_index=state.core_index + 1,
            failed_polls=state.failed_polls + (reply is None),
        )
    if state.fleet_id is not None and reply['fleet'] != state.fleet_id:
        return state._replace(core_index=state.core_index + 1)
    reply = with_unpacked_policy(reply)
    core_addresses = tuple(reply['core'])
    if core_addresses != state.core_addresses or reply['fleet'] != state.fleet_id:
        effects.append(
            Write(
                (Put('', 'core', list(core_addresses)), Put('', 'fleet_id', reply['fleet'])),
                ('none',),
            )
        )
    state = state._replace(
        core_primary=state.polled_core or state.core_primary,
        fleet_id=reply['fleet'],
        core_addresses=core_addresses,
        core_last_heard=now,
        failed_polls=0 if state.polled_core else state.failed_polls,
        watch=watch.with_peers(state.watch, reply, now),
    )
    if 'seats' in reply:
        state = state._replace(
            placement_version=reply['place'],
            replica_sets=reply['seats'],
            store_addresses=reply['book'],
            node_addresses=tuple(reply['known']),
        )
        effects.append(
            Write(
                (Put('', 'map', [reply['place'], reply['seats'], reply['book'], reply['known']]),),
                ('none',),
            )
        )
        for partition, row in sorted(reply['seats'].items()):
            state = step_replication(state, Grant(partition, ReplicaSet(*row)), now, effects)
    for partition, _, joiner, row in reply.get('plans', ()):
        state = step_replication(
            state, StartReconfiguration(partition, joiner, ReplicaSet(*row)), now, effects
        )
    newest = state.pending_record or state.record
    record = register.with_update(newest, reply)
    if record != newest:  # answered and reported only once it is synced
        record = record._replace(routing_nodes=reply['live'])
        effects.append(Write((Put('', 'word', list(record)),), ('word', record)))
        return state._replace(pending_record=record)
    return poll_core(state, now, effects) if state.pending_record is None else state


def finish_record_write(state: Store, record: QuorumRecord, now: datetime, effects: list) -> Store:
    """Adopt a record that is synced now, and poll again.

    A newer record may still wait to be written, if the reply to the last poll of a blocked store brought it."""
    state = state._replace(
        record=record, pending_record=None if state.pending_record == record else state.pending_record
    )
    return state if state.poll_pending or state.pending_record is not None else poll_core(state, now, effects)


def report_blocked_disk(state: Store, now: datetime, effects: list) -> Store:
    """Report to the core that this store can serve none of its partitions since its disk accepts no writes.

    No poll follows until the disk accepts writes again, so that the core assigns no partition to this store.

    >>> from datetime import UTC
    >>> t, effects = datetime(2026, 1, 1, tzinfo=UTC), []
    >>> copies = group.State('s1', Map({'p': group.Copy('p', ReplicaSet(1, 0, 's1'), has_all_rows=True)}))
    >>> s = report_blocked_disk(Store('s1', 'a:1', 'z', 1, ('c:1',), copies, core_addresses=('c:1',)), t, effects)
    >>> effects[0].message['stuck'], len(effects), poll_core(s, t, effects).poll_number == s.poll_number
    ([['p', 1, []]], 1, True)
    """
    replica_sets = {
        partition: copy.replica_set for partition, copy in state.copies.partitions.items() if copy.replica_set
    }
    unserved = sorted(
        [partition, replica_set.epoch, []]
        for partition, replica_set in replica_sets.items()
        if replica_set.primary == state.me
    )
    return poll_core(state, now, effects, unserved)._replace(disk_blocked=True)


def tick(state: Store, now: datetime, effects: list) -> Store:
    """Run the periodic work: replication, pings, polls of the core, and sweeps of the partitions."""
    state = step_replication(state._replace(disk_blocked=False), Tick(), now, effects)
    state = track_unserved(state, now)
    watched, pings = watch.due_pings(state.watch, now)
    state = state._replace(watch=watched)
    for name, address in pings:
        effects.append(Ask(address, {'k': 'who'}, ('ping', name), watch.PING_TIMEOUT_MS))
    state = send_hello(state, now, effects)
    if state.renewed_leases:
        running = {
            lease: renewed_at
            for lease, renewed_at in state.renewed_leases.items()
            if now - renewed_at <= state.granted_lease
        }
        state = state._replace(renewed_leases=Map(running))
    unserved = stalled_partitions(state, now)
    if not state.poll_pending and (
        state.polled_at is None or now - state.polled_at > timedelta(milliseconds=150)
    ):
        state = poll_core(state, now, effects, unserved)
    elif list_problems(unserved, watch.suspects(state.watch, now)) - state.reported_problems:
        # a new problem is reported at once: the core may hold the pending poll for a while
        state = poll_core(state, now, effects, unserved)
    if state.swept_at is None or now - state.swept_at > SWEEP_INTERVAL:
        state = state._replace(swept_at=now)
        for partition, copy in sorted(state.copies.partitions.items()):
            if copy.ready and copy.replica_set.primary == state.me:
                state = step_replication(
                    state,
                    Op(
                        partition,
                        ('sweep', partition),
                        {
                            'op': 'sweep',
                            'program_s': PROGRAM_RETENTION_S,
                            'from': state.sweep_positions.get(partition, 0),
                        },
                    ),
                    now,
                    effects,
                )
    return state
