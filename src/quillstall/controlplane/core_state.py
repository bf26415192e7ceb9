"""What a core process knows: its records, the state after a start, and the plain questions asked of it."""

from datetime import datetime, timedelta
from typing import Any, NamedTuple
from zlib import crc32

from immutables import Map

from quillstall.controlplane import book
from quillstall.replication import ballot, group, register
from quillstall.replication.group import ReplicaSet
from quillstall.replication.register import DEFAULT_LEASE
from quillstall.runtime.clock import of_ms

STORE_SILENT = timedelta(milliseconds=2000)
PARTS = 24
VOUCHED = timedelta(milliseconds=5000)  # how long watchers' word keeps a silent store
FRESH = timedelta(milliseconds=1500)


class Node(NamedTuple):
    """A routing node or a store, as its polls show it.

    >>> Node('n1', 'route', '127.0.0.1:1', 'z1', 1).generation
    0
    """

    name: str
    role: str
    address: str
    zone: str
    inc: int
    generation: int = 0
    place: int = 0
    heard: datetime | None = None
    lease: datetime | None = None
    pressure: dict = {}
    has: dict = {}
    stuck: tuple = ()
    facts: dict = {}
    suspects: tuple = ()
    peers: tuple = ()
    doubts: tuple = ()
    reports: dict = {}
    number: int = 0  # the register that it has
    renewed: tuple = ()  # a store's word on leases it renewed: (node, generation, their end)
    listing: dict = {}  # age and digest of the list of replicas that it has
    relayed: bool = False  # it reaches the core through a peer only
    plans: tuple = ()  # the moves that it was last told to lead
    unpacks: bool = False  # it takes a packed policy
    failing: dict = {}  # replica -> when this node last failed with it
    serving: dict = {}  # of replicas in doubt: when this node was last served by them
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


class Swap(NamedTuple):
    """A witness and member on its way out, and the one that is to take its place.

    >>> Swap(None, 'c1', 'c4', '127.0.0.1:9', None).new
    'c4'
    """

    call: Any
    old: str | None  # None: the crew grows
    new: str
    address: str
    since: datetime | None
    tried: datetime | None = None


class Wait(NamedTuple):
    """An operator's command that waits until every routing node has its generation.

    >>> Wait(1, 2, {}).generation
    2
    """

    call: Any
    generation: int
    ret: dict


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
    witness: ballot.Acceptor = ballot.Acceptor()
    run: ballot.Campaign = ballot.Campaign()
    fleet: dict | None = None
    forming: dict | None = None
    maybe: tuple | None = None  # a crew that may have been granted: (epoch, crew)
    guests: Map = Map()  # cores that wait to be let in: address -> (name, zone)
    alive: tuple = ()
    duties: Map = Map()  # duty -> (holder, until): the ballots this witness has cast
    born: datetime | None = None
    swap: Any = None  # the change of crew under way
    synced: datetime | None = None
    hails: Map = Map()
    next_hail: datetime | None = None
    nodes: Map = Map()
    polls: tuple = ()
    waits: tuple = ()
    seated: datetime | None = None
    held: Map = Map()  # routing node -> replica -> the slots that it may still be using
    targets: dict = {}
    wants: dict = {}
    allot_at: datetime | None = None
    dice: int = 1
    parts: int = PARTS
    settled: tuple = (0, None)  # the register that majorities have, and since when
    greeted: datetime | None = None
    listing: dict = {}  # the newest list of replicas, with the time when it was looked up
    founding: bool = True  # whether this may be the fleet's first start
    losses: int = 1  # how many machines with a disk may be lost at once
    lone: bool = False  # whether a part is served on by what is left while it is repaired
    heard: Map = Map()  # core -> when it last answered
    wall_ahead: timedelta = timedelta(0)  # how far the wall clock is ahead of the steady one
    lease: timedelta = DEFAULT_LEASE
    acknowledged: int = 0  # the newest generation that this process has acknowledged to an operator
    silent: timedelta = STORE_SILENT  # so long silent, a store is given up if those that watch it agree
    packed: PackedPolicy = PackedPolicy()  # the policy that was sent last

    @property
    def granted(self) -> timedelta:
        """How long this process counts a lease that it gave."""
        return self.lease * register.GRANTED_LEASE_FACTOR


def first_dice(me: str, count: int) -> int:
    """Where a core's sequence of rests between elections begins: not where another's does. Cores that start
    at the same moment, as after a loss of all power, would otherwise stand at the same moments, again and
    again, and none would win.

    >>> first_dice('c1', 1) == first_dice('c2', 1), first_dice('c1', 1) == first_dice('c1', 2)
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
    state = group.load(me, rows, count, heartbeats=True)
    copy = state.partitions.get('core')
    if copy:
        state = state._replace(partitions=state.partitions.set('core', copy._replace(last_heard=now)))
    witness = ballot.load(own)
    run = ballot.Campaign(
        highest_epoch=max(witness.promised, copy.replica_set.epoch if copy and copy.replica_set else 0)
    )
    return Core(
        me,
        startup['address'],
        startup['zone'],
        tuple(startup['seeds']),
        state,
        witness,
        run,
        own.get('fleet'),
        own.get('forming'),
        dice=first_dice(me, count),
        parts=startup.get('parts', PARTS),
        born=now,
        founding=startup.get('founding', True),
        losses=startup.get('losses', 1),
        lone=startup.get('lone', False),
        silent=of_ms(startup['silent_ms']) if 'silent_ms' in startup else STORE_SILENT,
        lease=of_ms(startup['lease_ms']) if 'lease_ms' in startup else DEFAULT_LEASE,
    )


def where(state: Core, to: str) -> str | None:
    """The address of a member: `where(state, 'c1')`. An address stands for itself."""
    if ':' in to:
        return to
    for crew in crews(state):
        for name, address in crew:
            if name == to:
                return address
    return None


def crew_of(state: Core) -> tuple:
    """The witnesses that are in force: `crew_of(state)`."""
    return ballot.decode_voters((state.fleet or {}).get('witnesses')) or ()


def crew_next(state: Core) -> tuple:
    """The crew that the next seat goes with: the newest that may have been granted."""
    since = (state.fleet or {}).get('epoch', 0)
    best = (since, crew_of(state))
    if state.witness.replica_set and state.witness.voters and state.witness.replica_set[0] > best[0]:
        best = (state.witness.replica_set[0], state.witness.voters)
    if state.maybe and state.maybe[0] > best[0]:
        best = state.maybe
    return best[1]


def crews(state: Core) -> tuple:
    """All crews of which a majority is needed now: `crews(state)`."""
    out = [crew_of(state)]
    for crew in (
        crew_next(state),
        state.run.voters if state.run.stage in ('ask', 'move', 'accept') else None,
    ):
        if crew and crew not in out:
            out.append(crew)
    return tuple(out)


def apply_part(part: str, rows: Map, command: dict, now: datetime) -> tuple[tuple, dict]:
    """The group's way to the book: `apply_part('core', rows, {'op': 'confirm'}, now)`."""
    return book.apply(rows, command, now)


def copy_of(state: Core) -> group.Copy | None:
    return state.copies.partitions.get('core')


def rows_of(state: Core) -> Map:
    """The core's rows as far as they are confirmed: nobody may be told of changes that can still be lost."""
    copy = copy_of(state)
    if copy is None:
        return Map()
    if copy.batch is not None and copy.batch.rows_before is not None:
        return copy.batch.rows_before
    return copy.rows


def primary(state: Core) -> bool:
    """Whether this process is the ready primary: `primary(state)`."""
    copy = copy_of(state)
    return bool(
        copy
        and copy.replica_set
        and copy.has_all_rows
        and copy.ready
        and copy.replica_set.primary == state.me
    )


def copies(state: Core) -> int:
    """How many copies there are of everything kept: one more than may be lost at once.

    >>> copies(Core('c1', '127.0.0.1:1', 'z1', ()))
    2
    """
    return state.losses + 1


def newest(state: Core) -> ReplicaSet | None:
    """The newest seat that this process has heard of: `newest(state)`."""
    copy = copy_of(state)
    known = [copy.replica_set if copy else None, state.witness.replica_set, (state.fleet or {}).get('seat')]
    return max((ReplicaSet(*s) for s in known if s), key=lambda s: s.epoch, default=None)


def register_of(state: Core) -> dict:
    """The stores of which majorities count now: `register_of(state)['now']`."""
    return rows_of(state).get('register') or register.EMPTY_REGISTER


def early(state: Core, now: datetime) -> bool:
    """Whether leases that the last primary gave may still run: `early(state, now)`."""
    return state.seated is None or now - state.seated < state.granted
