"""What a core process knows: its records, the state after a start, and the plain questions asked of it."""

from datetime import datetime, timedelta
from typing import Any, NamedTuple
from zlib import crc32

from immutables import Map

from quillstall.controlplane import book
from quillstall.replication import ballot, group, register
from quillstall.replication.group import Seat
from quillstall.replication.register import LEASE
from quillstall.runtime.clock import of_ms

STORE_TIMEOUT = timedelta(milliseconds=2000)
PARTITIONS = 24
PEER_REPORT_VALIDITY = timedelta(milliseconds=5000)  # how long watchers' word keeps a silent store
RECENT_POLL = timedelta(milliseconds=1500)


class Node(NamedTuple):
    """A routing node or a store, as its polls show it.

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
    reported_slots: dict = {}
    stalled_partitions: tuple = ()
    diagnostics: dict = {}
    suspected_peers: tuple = ()
    watched_peers: tuple = ()
    suspect_replicas: tuple = ()
    probe_reports: dict = {}
    register_number: int = 0  # the register that it has
    renewed_leases: tuple = ()  # a store's word on leases it renewed: (node, generation, their end)
    listing: dict = {}  # age and digest of the list of replicas that it has
    relayed: bool = False  # it reaches the core through a peer only
    assigned_plans: tuple = ()  # the moves that it was last told to lead
    accepts_packed: bool = False  # it takes a packed policy
    last_failures: dict = {}  # replica -> when this node last failed with it
    last_successes: dict = {}  # of replicas in doubt: when this node was last served by them
    outcomes: dict = {}  # replica -> failed and well tasks of this node there lately


class PackedPolicy(NamedTuple):
    """A policy, and its bytes for the nodes that take it so.

    >>> PackedPolicy().data
    b''
    """

    policy: dict | None = None
    data: bytes = b''


class Poll(NamedTuple):
    """A poll that waits for news.

    >>> Poll(1, 'n1', None).name
    'n1'
    """

    call: Any
    name: str
    since: datetime | None


class VoterChange(NamedTuple):
    """A witness and member on its way out, and the one that is to take its place.

    >>> VoterChange(None, 'c1', 'c4', '127.0.0.1:9', None).added
    'c4'
    """

    call: Any
    removed: str | None  # None: the crew grows
    added: str
    address: str
    since: datetime | None
    last_attempt: datetime | None = None


class PendingChange(NamedTuple):
    """An operator's command that waits until every routing node has its generation.

    >>> PendingChange(1, 2, {}).generation
    2
    """

    call: Any
    generation: int
    reply: dict


class Core(NamedTuple):
    """All that a core process knows.

    >>> Core('c1', '127.0.0.1:1', 'z1', ()).fleet is None
    True
    """

    me: str
    address: str
    zone: str
    seeds: tuple
    copies: group.State = group.State('')
    acceptor: ballot.Witness = ballot.Witness()
    campaign: ballot.Campaign = ballot.Campaign()
    fleet: dict | None = None
    forming_fleet: dict | None = None
    possible_voters: tuple | None = None  # a crew that may have been granted: (epoch, crew)
    waiting_cores: Map = Map()  # cores that wait to be let in: address -> (name, zone)
    last_live_stores: tuple = ()
    leadership_votes: Map = Map()  # duty -> (holder, until): the ballots this witness has cast
    started_at: datetime | None = None
    voter_change: Any = None  # the change of crew under way
    cores_polled_at: datetime | None = None
    formation_replies: Map = Map()
    next_join_request: datetime | None = None
    nodes: Map = Map()
    pending_polls: tuple = ()
    pending_changes: tuple = ()
    primary_since: datetime | None = None
    held_slots: Map = Map()  # routing node -> replica -> the slots that it may still be using
    allocations: dict = {}
    allocated_demand: dict = {}
    allocated_at: datetime | None = None
    rng_state: int = 1
    partition_count: int = PARTITIONS
    settled_register: tuple = (0, None)  # the register that majorities have, and since when
    hello_sent_at: datetime | None = None
    listing: dict = {}  # the newest list of replicas, with the time when it was looked up
    may_found: bool = True  # whether this may be the fleet's first start
    tolerated_losses: int = 1  # how many machines with a disk may be lost at once
    degraded_mode: bool = False  # whether a part is served on by what is left while it is repaired
    last_replies: Map = Map()  # core -> when it last answered
    wall_ahead: timedelta = timedelta(0)  # how far the wall clock is ahead of the steady one
    lease_duration: timedelta = LEASE
    acknowledged_generation: int = (
        0  # the newest generation that this process has acknowledged to an operator
    )
    store_timeout: timedelta = (
        STORE_TIMEOUT  # so long silent, a store is given up if those that watch it agree
    )
    packed_policy: PackedPolicy = PackedPolicy()  # the policy that was sent last

    @property
    def granted_lease(self) -> timedelta:
        """How long this process counts a lease that it gave."""
        return self.lease_duration * register.GRANTED_PART


def initial_rng_state(me: str, count: int) -> int:
    """Where a core's sequence of rests between elections begins: not where another's does. Cores that start
    at the same moment, as after a loss of all power, would otherwise stand at the same moments, again and
    again, and none would win.

    >>> initial_rng_state('c1', 1) == initial_rng_state('c2', 1), initial_rng_state('c1', 1) == initial_rng_state('c1', 2)
    (False, False)
    """
    return crc32(f'{me} {count}'.encode()) or 1


def load(me: str, startup: dict, rows: dict, count: int, now: datetime) -> Core:
    """The state after a start, from the startup and what the disk held.

    >>> from datetime import UTC
    >>> s = {'address': '127.0.0.1:1', 'zone': 'z1', 'seeds': ['127.0.0.1:1']}
    >>> load('c1', s, {}, 1, datetime(2026, 1, 1, tzinfo=UTC)).fleet is None
    True
    """
    own = rows.get('', {})
    state = group.load(me, rows, count, beats=True)
    copy = state.parts.get('core')
    if copy:
        state = state._replace(parts=state.parts.set('core', copy._replace(heard=now)))
    acceptor = ballot.load(own)
    campaign = ballot.Campaign(seen=max(acceptor.promised, copy.seat.epoch if copy and copy.seat else 0))
    return Core(
        me,
        startup['address'],
        startup['zone'],
        tuple(startup['seeds']),
        state,
        acceptor,
        campaign,
        own.get('fleet'),
        own.get('forming'),
        rng_state=initial_rng_state(me, count),
        partition_count=startup.get('parts', PARTITIONS),
        started_at=now,
        may_found=startup.get('founding', True),
        tolerated_losses=startup.get('losses', 1),
        degraded_mode=startup.get('lone', False),
        store_timeout=of_ms(startup['silent_ms']) if 'silent_ms' in startup else STORE_TIMEOUT,
        lease_duration=of_ms(startup['lease_ms']) if 'lease_ms' in startup else LEASE,
    )


def where(state: Core, member: str) -> str | None:
    """The address of a member: `where(state, 'c1')`. An address stands for itself."""
    if ':' in member:
        return member
    for voters in voter_sets(state):
        for name, address in voters:
            if name == member:
                return address
    return None


def current_voters(state: Core) -> tuple:
    """The witnesses that are in force: `crew_of(state)`."""
    return ballot.tuples((state.fleet or {}).get('witnesses')) or ()


def next_voters(state: Core) -> tuple:
    """The crew that the next seat goes with: the newest that may have been granted."""
    epoch = (state.fleet or {}).get('epoch', 0)
    newest = (epoch, current_voters(state))
    if state.acceptor.seat and state.acceptor.crew and state.acceptor.seat[0] > newest[0]:
        newest = (state.acceptor.seat[0], state.acceptor.crew)
    if state.possible_voters and state.possible_voters[0] > newest[0]:
        newest = state.possible_voters
    return newest[1]


def voter_sets(state: Core) -> tuple:
    """All crews of which a majority is needed now: `crews(state)`."""
    sets = [current_voters(state)]
    for voters in (
        next_voters(state),
        state.campaign.crew if state.campaign.stage in ('ask', 'move', 'accept') else None,
    ):
        if voters and voters not in sets:
            sets.append(voters)
    return tuple(sets)


def apply_command(partition: str, rows: Map, command: dict, now: datetime) -> tuple[tuple, dict]:
    """The group's way to the book: `apply_part('core', rows, {'op': 'confirm'}, now)`."""
    return book.apply(rows, command, now)


def core_copy(state: Core) -> group.Copy | None:
    return state.copies.parts.get('core')


def confirmed_rows(state: Core) -> Map:
    """The core's rows as far as they are confirmed: nobody may be told of changes that can still be lost."""
    copy = core_copy(state)
    if copy is None:
        return Map()
    if copy.flight is not None and copy.flight.before is not None:
        return copy.flight.before
    return copy.rows


def is_primary(state: Core) -> bool:
    """Whether this process is the ready primary: `primary(state)`."""
    copy = core_copy(state)
    return bool(copy and copy.seat and copy.full and copy.ready and copy.seat.primary == state.me)


def replication_factor(state: Core) -> int:
    """How many copies there are of everything kept: one more than may be lost at once.

    >>> replication_factor(Core('c1', '127.0.0.1:1', 'z1', ()))
    2
    """
    return state.tolerated_losses + 1


def newest_replica_set(state: Core) -> Seat | None:
    """The newest seat that this process has heard of: `newest(state)`."""
    copy = core_copy(state)
    known = [copy.seat if copy else None, state.acceptor.seat, (state.fleet or {}).get('seat')]
    return max(
        (Seat(*replica_set) for replica_set in known if replica_set),
        key=lambda replica_set: replica_set.epoch,
        default=None,
    )


def current_register(state: Core) -> dict:
    """The stores of which majorities count now: `register_of(state)['now']`."""
    return confirmed_rows(state).get('register') or register.NEVER


def old_leases_may_run(state: Core, now: datetime) -> bool:
    """Whether leases that the last primary gave may still run: `early(state, now)`."""
    return state.primary_since is None or now - state.primary_since < state.granted_lease
