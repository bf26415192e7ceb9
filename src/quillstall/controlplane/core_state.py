"""The state of a core process: its records, how it is loaded after a start, and simple queries on it."""

from datetime import datetime, timedelta
from typing import Any, NamedTuple
from zlib import crc32

from immutables import Map

from quillstall.controlplane import core_table, founding
from quillstall.replication import ballot, group, register
from quillstall.replication.copies import ReplicaSet
from quillstall.replication.register import DEFAULT_LEASE
from quillstall.runtime.clock import from_ms

STORE_TIMEOUT = timedelta(milliseconds=2000)
PARTITIONS = 24
PEER_REPORT_VALIDITY = timedelta(milliseconds=5000)  # of peers' reports that a silent store is reachable
RECENT_POLL = timedelta(milliseconds=1500)  # the reports of nodes that polled within this time count


class Node(NamedTuple):
    """A routing node or a store, as it reported itself with its last poll.

    >>> Node('n1', 'route', '127.0.0.1:1', 'z1', 1).generation
    0
    """

    name: str
    role: str
    address: str
    zone: str
    incarnation: int
    generation: int = 0
    placement_version: int = 0
    last_heard: datetime | None = None
    lease_end: datetime | None = None
    demand: dict = {}
    reported_slots: dict = {}  # replica -> (slots that it may use, slots in use)
    stalled_partitions: tuple = ()
    diagnostics: dict = {}
    suspected_peers: tuple = ()
    watched_peers: tuple = ()
    suspect_replicas: tuple = ()
    probe_reports: dict = {}
    register_number: int = 0  # number of the register that it knows
    renewed_leases: tuple = ()  # leases that a store renewed: (node, generation, end)
    listing: dict = {}  # age and digest of its list of replicas
    relayed: bool = False  # it reaches the core only through a peer
    assigned_plans: tuple = ()  # the reconfigurations that it was last told to lead
    accepts_packed: bool = False  # it can read a packed policy
    last_failures: dict = {}  # replica -> when a request of this node last failed there
    last_successes: dict = {}  # suspect replica -> when a request of this node last succeeded
    outcomes: dict = {}  # replica -> recent failed and successful tasks of this node


class PackedPolicy(NamedTuple):
    """A policy and its packed form, for the nodes that can read it.

    >>> PackedPolicy().data
    b''
    """

    policy: dict | None = None
    data: bytes = b''


class Poll(NamedTuple):
    """A poll that is held until there is an update or its hold time is over.

    >>> Poll(1, 'n1', None).name
    'n1'
    """

    call: Any
    name: str
    since: datetime | None


class VoterChange(NamedTuple):
    """A change of the voters under way: the voter to remove and the core to add in its place.

    >>> VoterChange(None, 'c1', 'c4', '127.0.0.1:9', None).added
    'c4'
    """

    call: Any
    removed: str | None  # None: the number of voters grows
    added: str
    address: str
    since: datetime | None
    last_attempt: datetime | None = None


class PendingChange(NamedTuple):
    """An operator's change that is acknowledged once no routing node can act on an older generation.

    >>> PendingChange(1, 2, {}).generation
    2
    """

    call: Any
    generation: int
    reply: dict


class Formation(NamedTuple):
    """What a core without a fleet knows of the seeds, and its part in founding a fleet.

    >>> Formation().may_found
    True
    """

    seeds: tuple = ()  # of the first start; they vote on the founding record
    may_found: bool = True  # False: this process may only join a fleet
    first_start: bool = False  # whether this core has never been started before, or recalls that start
    acceptor: founding.Acceptor = founding.Acceptor()
    answers: Map = Map()  # address of a seed -> its last answer that it has no fleet
    others_have_fleet: bool = False
    others_record: dict | None = None  # the newest record of the fleet that this core waits to join
    round: founding.Round | None = None  # this core's own round
    highest_round: int = 0  # that any seed is known to have promised
    failed_rounds: int = 0  # of this core
    next_hail: datetime | None = None
    noted_at: datetime | None = None


class Core(NamedTuple):
    """The state of a core process.

    >>> Core('c1', '127.0.0.1:1', 'z1', ()).fleet is None
    True
    """

    me: str
    address: str
    zone: str
    seeds: tuple
    copies: group.State = group.State('')
    acceptor: ballot.Acceptor = ballot.Acceptor()
    campaign: ballot.Campaign = ballot.Campaign()
    fleet: dict | None = None
    formation: Formation = Formation()  # how this process finds or founds a fleet
    possible_voters: tuple | None = None  # voters that may have been chosen: (epoch, voters)
    waiting_cores: Map = Map()  # cores that wait to be admitted: address -> (name, zone)
    last_live_stores: tuple = ()
    leadership_votes: Map = Map()  # task -> (holder, end of term): votes that this process cast
    started_at: datetime | None = None
    voter_change: Any = None  # a VoterChange under way
    cores_polled_at: datetime | None = None
    nodes: Map = Map()
    pending_polls: tuple = ()
    pending_changes: tuple = ()
    primary_since: datetime | None = None
    held_slots: Map = Map()  # routing node -> replica -> slots that it may still be using
    allocations: dict = {}  # replica -> routing node -> slots
    allocated_demand: dict = {}  # pool -> routing node -> demand of the last allocation
    allocated_at: datetime | None = None
    rng_state: int = 1
    partition_count: int = PARTITIONS
    settled_register: tuple = (0, None)  # number of the register that majorities know, and since when
    hello_sent_at: datetime | None = None
    listing: dict = {}  # the newest list of replicas, with the time of its lookup
    tolerated_losses: int = 1  # machines with a disk that may be lost at once
    degraded_mode: bool = False  # whether partitions serve with fewer copies during a repair
    last_replies: Map = Map()  # core -> time of its last reply
    wall_ahead: timedelta = timedelta(0)  # of the wall clock relative to the steady clock
    lease_duration: timedelta = DEFAULT_LEASE
    acknowledged_generation: int = 0  # newest generation acknowledged to an operator
    store_timeout: timedelta = STORE_TIMEOUT  # after which a store is given up unless peers reach it
    packed_policy: PackedPolicy = PackedPolicy()  # the policy that was last sent
    program_failures: int = 0  # after which this program was run anew in its process

    @property
    def granted_lease(self) -> timedelta:
        """The time for which this process counts a lease that it granted, longer than the holder does."""
        return self.lease_duration * register.GRANTED_LEASE_FACTOR


def initial_rng_state(me: str, count: int) -> int:
    """Return the seed of a core's randomized election timeouts; it differs between cores and between starts.

    Cores that start at the same time, as after a power failure, would otherwise campaign at the same times
    again and again, and none would win.

    >>> initial_rng_state('c1', 1) == initial_rng_state('c2', 1), initial_rng_state('c1', 1) == initial_rng_state('c1', 2)
    (False, False)
    """
    return crc32(f'{me} {count}'.encode()) or 1


def load_formation(startup: dict, process_rows: dict) -> Formation:
    """Return the formation state after a start. The right to found a fleet outlives a restart with its disk.

    >>> settings = {'address': '127.0.0.1:1', 'seeds': ['127.0.0.1:1'], 'founding': False}
    >>> load_formation(settings, {}).may_found, load_formation(settings, {'founding': ['127.0.0.1:1']}).may_found
    (False, True)
    """
    recorded_seeds = process_rows.get(founding.SEEDS_ROW)
    first_start = recorded_seeds is not None
    return Formation(
        tuple(recorded_seeds or startup['seeds']),
        first_start or startup.get('founding', True),
        first_start,
        founding.load_acceptor(process_rows),
    )


def load(me: str, startup: dict, rows: dict, count: int, now: datetime) -> Core:
    """Return the state after a start, from the startup settings and the rows on disk.

    >>> from datetime import UTC
    >>> s = {'address': '127.0.0.1:1', 'zone': 'z1', 'seeds': ['127.0.0.1:1']}
    >>> load('c1', s, {}, 1, datetime(2026, 1, 1, tzinfo=UTC)).fleet is None
    True
    """
    process_rows = rows.get('', {})
    copies = group.load(me, rows, count, heartbeats=True)
    copy = copies.partitions.get('core')
    if copy:
        copies = copies._replace(partitions=copies.partitions.set('core', copy._replace(last_heard=now)))
    acceptor = ballot.load(process_rows)
    campaign = ballot.Campaign(
        highest_epoch=max(acceptor.promised, copy.replica_set.epoch if copy and copy.replica_set else 0)
    )
    return Core(
        me,
        startup['address'],
        startup['zone'],
        tuple(startup['seeds']),
        copies,
        acceptor,
        campaign,
        process_rows.get('fleet'),
        load_formation(startup, process_rows),
        rng_state=initial_rng_state(me, count),
        partition_count=startup.get('parts', PARTITIONS),
        started_at=now,
        tolerated_losses=startup.get('losses', 1),
        degraded_mode=startup.get('lone', False),
        store_timeout=from_ms(startup['silent_ms']) if 'silent_ms' in startup else STORE_TIMEOUT,
        lease_duration=from_ms(startup['lease_ms']) if 'lease_ms' in startup else DEFAULT_LEASE,
        program_failures=startup.get('program_failures', 0),
    )


def where(state: Core, member: str) -> str | None:
    """Return the address of a member: `where(state, 'c1')`. An address is returned as it is."""
    if ':' in member:
        return member
    for voters in voter_sets(state):
        for name, address in voters:
            if name == member:
                return address
    return None


def current_voters(state: Core) -> tuple:
    """Return the voters of the fleet's current configuration: `current_voters(state)`."""
    return ballot.decode_voters((state.fleet or {}).get('witnesses')) or ()


def next_voters(state: Core) -> tuple:
    """Return the voters that the next replica set is proposed with: the newest that may have been chosen."""
    epoch = (state.fleet or {}).get('epoch', 0)
    newest = (epoch, current_voters(state))
    if state.acceptor.replica_set and state.acceptor.voters and state.acceptor.replica_set[0] > newest[0]:
        newest = (state.acceptor.replica_set[0], state.acceptor.voters)
    if state.possible_voters and state.possible_voters[0] > newest[0]:
        newest = state.possible_voters
    return newest[1]


def voter_sets(state: Core) -> tuple:
    """Return the sets of voters that must each give a majority, as in joint consensus: `voter_sets(state)`."""
    sets = [current_voters(state)]
    for voters in (
        next_voters(state),
        state.campaign.voters if state.campaign.stage in ('ask', 'move', 'accept') else None,
    ):
        if voters and voters not in sets:
            sets.append(voters)
    return tuple(sets)


def apply_command(partition: str, rows: Map, command: dict, now: datetime) -> tuple[tuple, dict]:
    """Apply a command to the core table, as the replica group requires it:
    `apply_command('core', rows, {'op': 'confirm'}, now)`."""
    return core_table.apply(rows, command, now)


def core_copy(state: Core) -> group.Copy | None:
    """Return this process's copy of the core table, None if it has none."""
    return state.copies.partitions.get('core')


def confirmed_rows(state: Core) -> Map:
    """Return the committed rows of the core table: changes that can still be lost are shown to nobody."""
    copy = core_copy(state)
    if copy is None:
        return Map()
    if copy.batch is not None and copy.batch.rows_before is not None:
        return copy.batch.rows_before
    return copy.rows


def is_primary(state: Core) -> bool:
    """Return whether this process is the primary and ready to serve: `is_primary(state)`."""
    copy = core_copy(state)
    return bool(
        copy
        and copy.replica_set
        and copy.has_all_rows
        and copy.ready
        and copy.replica_set.primary == state.me
    )


def replication_factor(state: Core) -> int:
    """Return the number of copies of all stored data: one more than may be lost at once.

    >>> replication_factor(Core('c1', '127.0.0.1:1', 'z1', ()))
    2
    """
    return state.tolerated_losses + 1


def voters_needed(state: Core) -> int:
    """Return the number of voters of which a majority is left after the losses that are to be borne.

    >>> voters_needed(Core('c1', '127.0.0.1:1', 'z1', ()))
    3
    """
    return 2 * state.tolerated_losses + 1


def newest_replica_set(state: Core) -> ReplicaSet | None:
    """Return the core's newest replica set that this process knows: `newest_replica_set(state)`."""
    copy = core_copy(state)
    known = [copy.replica_set if copy else None, state.acceptor.replica_set, (state.fleet or {}).get('seat')]
    return max(
        (ReplicaSet(*replica_set) for replica_set in known if replica_set),
        key=lambda replica_set: replica_set.epoch,
        default=None,
    )


def current_register(state: Core) -> dict:
    """Return the register of the stores that form the lease quorum: `current_register(state)['now']`."""
    return confirmed_rows(state).get('register') or register.EMPTY_REGISTER


def old_leases_may_run(state: Core, now: datetime) -> bool:
    """Return whether leases of the previous primary may still be valid: `old_leases_may_run(state, now)`."""
    return state.primary_since is None or now - state.primary_since < state.granted_lease
