"""What makes up a modelled cluster: the records of its members, network, clients and limits."""

from typing import Any, NamedTuple

from immutables import Map

from quillstall.replication.copies import ReplicaSet
from quillstall.testbed.model import members
from quillstall.testbed.model.members import Command, Observation

AUTHORITY = 'authority'


class Limits(NamedTuple):
    """How often each kind of trouble may happen in one run.

    >>> Limits().losses
    1
    """

    commands: int = 3
    crashes: int = 1
    losses: int = 1
    verdicts: int = 1
    ticks: int = 2
    timeouts: int = 1
    duplicates: int = 1
    clock_steps: int = 0


class Setup(NamedTuple):
    """A cluster to check: its members, copies, and what may befall it.

    >>> Setup().copies
    2
    """

    names: tuple = ('a', 'b', 'c')
    copies: int = 2
    core: bool = False
    limits: Limits = Limits()
    kinds: tuple = ('write', 'read')
    lone_verdicts: bool = False  # whether a wrong verdict may leave fewer copies than there should be
    single: bool = True  # whether single messages and writes are steps of their own
    macros: bool = False  # whether steps that settle the whole cluster, or all but one member, are offered


class Envelope(NamedTuple):
    """A message under way: a request, or the answer to one.

    >>> Envelope('a', 1, 'b', {'k': 'hello'}, ('t',)).waited
    True
    """

    sender: str
    run: int
    to: str
    message: Any
    tag: tuple
    answer: Any = None
    is_answer: bool = False
    waited: bool = True  # whether the sender still waits for the answer


class Member(NamedTuple):
    """One process and its disk.

    >>> Member(None).clock
    0
    """

    state: Any
    disk: Map = Map()
    writes: tuple = ()
    calls: Map = Map()
    starts: int = 1
    clock: int = 0


class Operation(NamedTuple):
    """A client's command that has no answer yet, and the newest value any client had before it began.

    >>> Operation(Command('read'), 2).floor
    2
    """

    command: Command
    floor: int


class Ledger(NamedTuple):
    """What clients were told.

    >>> Ledger().top
    Observation(generation=0, label=0)
    """

    top: Observation = Observation()
    labels: Map = Map()  # generation -> label
    generations: Map = Map()  # label -> generation
    leaders: Map = Map()  # epoch -> who returned something in it
    begun: int = 0  # how many were told to begin the unrepeatable work
    winners: Map = Map()  # base -> label of the write that was made on it
    operations: Map = Map()
    floors: Map = Map()  # label -> the floor when it was first sent
    asked: int = 0
    last: Command | None = None  # the newest change that a client sent


class World(NamedTuple):
    """The whole cluster at one moment.

    >>> World(Setup(), Map(), ReplicaSet(1, 0, 'a')).broken
    ''
    """

    setup: Setup
    members: Map
    seat: ReplicaSet  # the newest replica set that was granted
    messages: tuple = ()
    ledger: Ledger = Ledger()
    limits: Limits = Limits()
    spent: int = 0  # disks lost
    broken: str = ''


class Step(NamedTuple):
    """One step of a run: its kind, whom it concerns, and what.

    >>> Step('tick', 'a').kind
    'tick'
    """

    kind: str
    name: str = ''
    what: Any = None


def host_of(setup: Setup) -> Any:
    """The adapter for the reducers of this cluster.

    >>> host_of(Setup(core=True)).part
    'core'
    """
    return members.CoreMember() if setup.core else members.PartitionMember()


def breach(world: World, text: str) -> World:
    """Note that an invariant is broken; the first one counts."""
    return world if world.broken else world._replace(broken=text)
