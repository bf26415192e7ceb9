"""What admission knows: tasks, replicas, pools, and the questions asked of that alone."""

from collections.abc import Container
from datetime import datetime, timedelta
from typing import NamedTuple

from immutables import Map

from quillstall.configuration.policy import ADMISSION_DEFAULTS, MECHANISM_DEFAULTS
from quillstall.dataplane.ledger import Ledger

SAMPLE = timedelta(seconds=1)
RETRY_BURST = 10.0


class Task(NamedTuple):
    """What admission knows of one turn or plain call.

    >>> Task('t', 'r', 'c', 'p', 1200, None, None).hold
    1200
    """

    name: str
    route: str
    cls: str
    pool: str
    hold: int
    deadline: datetime | None
    at: datetime | None
    urgent: bool = False
    warm: str = ''
    prefer: str = ''
    avoid: tuple = ()
    prior: timedelta = timedelta(seconds=1)
    unread: dict = {}  # replica -> tokens of the prompt that it has not read before
    zone: str = ''  # where the node is: a replica there is nearer


class Run(NamedTuple):
    """A task that has a replica's slot and a reservation.

    >>> Run(None, 'r1', None).credited
    0
    """

    task: Task | None
    replica: str
    at: datetime | None
    credited: int = 0


class Service(NamedTuple):
    """How long a route's finished tasks took: mean and mean deviation, in seconds.

    >>> Service(0.5, 0.1).expected
    datetime.timedelta(microseconds=600000)
    """

    mean: float
    dev: float

    @property
    def expected(self) -> timedelta:
        return timedelta(seconds=self.mean + self.dev)


class Pool(NamedTuple):
    """One pool as this node sees it.

    >>> Pool('p').queued
    0
    """

    name: str
    pending: Map = Map()  # class -> tasks in order of arrival
    tokens: Map = Map()  # class -> their holds
    queued: int = 0
    running: Map = Map()  # class -> how many hold a slot
    ledger: Ledger = Ledger()
    newest: Map = Map()  # class -> whether the newest goes first
    slot_rate: float | None = None  # tokens a second through one slot, as measured
    span: timedelta = timedelta(0)
    credit: int = 0
    raised: datetime | None = None  # when the rate was last found too low
    booked: Map = Map()  # class -> the next time promised to a refused caller


class Down(NamedTuple):
    """A replica that failed: not chosen until then.

    >>> Down(None, 1).fails
    1
    """

    until: datetime | None
    fails: int
    at: datetime | None = None  # when it last failed here


class Outcomes(NamedTuple):
    """How lately ended tasks went at a replica; each counts for less as it grows old.

    >>> Outcomes(1.0, 3.0, None).fails
    1.0
    """

    fails: float
    wells: float
    at: datetime | None  # the time as of which they count so much


class State(NamedTuple):
    """All that admission knows.

    >>> State().generation
    0
    """

    policy: dict = {}
    generation: int = 0
    epoch: int = 0
    leaving: frozenset = frozenset()
    lease: datetime | None = None
    live: int = 1
    allot: dict = {}
    pools: Map = Map()
    runs: Map = Map()
    used: Map = Map()  # replica -> slots in use here
    service: Map = Map()  # route -> Service
    cold_service: Map = Map()  # route -> Service of tasks whose shared prompt was new to their replica
    read: Map = Map()  # replica -> the shared prompts that a task of this node has ended well with there
    down: Map = Map()
    limits: Map = Map()  # class -> Ledger of its entitlement
    retry: float = RETRY_BURST
    dice: int = 0
    draining: bool = False
    ticked: datetime | None = None
    listing: dict = {}  # the replicas of listed pools, with the time when they were looked up
    faults: Map = Map()  # replica -> bad answers in a row
    others: Map = Map()  # replica -> (what other nodes have running or waiting there, when told)
    served: Map = Map()  # replica -> when a task of this node last ended well there
    outcomes: Map = Map()  # replica -> Outcomes; kept while it fails here or elsewhere
    failing_elsewhere: frozenset = (
        frozenset()
    )  # replicas that some node failed with lately, by the core's word
    shunned: frozenset = frozenset()  # those of them to be left alone


def rules(state: State) -> dict:
    """The numbers of the policy, with our defaults: `rules(state)['rounds']`."""
    return {**ADMISSION_DEFAULTS, **state.policy.get('admission', {})}


def uses(state: State, mechanism: str) -> bool:
    """Whether the policy leaves a mechanism of deciding switched on.

    >>> uses(State(), 'zones'), uses(State(policy={'mechanisms': {'zones': False}}), 'zones')
    (True, False)
    """
    return state.policy.get('mechanisms', MECHANISM_DEFAULTS).get(mechanism, MECHANISM_DEFAULTS[mechanism])


def replicas_of(state: State, pool: str) -> dict[str, dict]:
    """The replicas of a pool that may have new work: those that its policy declares, or, of a listed
    pool, those that the list shows as ready.

    >>> rows = {'a': {'address': '1:1', 'slots': 8, 'ready': True}, 'b': {'address': '1:2', 'slots': 8, 'ready': False}}
    >>> s = State(policy={'pools': {'p': {'replicas': {}, 'listed': True}}}, listing={'pools': {'p': rows}})
    >>> sorted(replicas_of(s, 'p'))
    ['a']
    """
    spec = state.policy.get('pools', {}).get(pool)
    if spec is None:
        return {}
    if not spec.get('listed'):
        return spec['replicas']
    return {r: v for r, v in state.listing.get('pools', {}).get(pool, {}).items() if v['ready']}


def slots_of(state: State, pool: str) -> dict[str, int]:
    """The slots this node may use now, by replica: what the core allots, or, of a listed pool, what the
    replica's other callers leave by its own word.

    >>> rows = {'a': {'slots': 8, 'ready': True}}
    >>> s = State(policy={'pools': {'p': {'replicas': {}, 'listed': True}}}, listing={'pools': {'p': rows}})
    >>> slots_of(s, 'p'), slots_of(s._replace(others=Map({'a': (5.0, None)})), 'p')
    ({'a': 8}, {'a': 3})
    """
    spec = state.policy.get('pools', {}).get(pool, {'replicas': {}})
    if spec.get('listed'):
        return {
            r: max(1, v['slots'] - round(elsewhere_of(state, r))) for r, v in replicas_of(state, pool).items()
        }
    return {r: state.allot.get(r, 0) for r in spec['replicas'] if r not in state.leaving}


def elsewhere_of(state: State, replica: str) -> float:
    """What other nodes have at a replica, as far as is known.

    >>> elsewhere_of(State(), 'r')
    0.0
    """
    row = state.others.get(replica)
    return row[0] if row else 0.0


def leased(state: State, now: datetime) -> bool:
    """Whether this node may send anything new: `leased(state, now)`."""
    return state.lease is not None and now < state.lease


def may_send(state: State, pool: str, replica: str, now: datetime) -> bool:
    """Whether the policy in force still lets this replica have new work, and we may send it.

    >>> may_send(State(), 'p', 'r', None)
    False
    """
    return leased(state, now) and replica not in state.leaving and replica in replicas_of(state, pool)


def has_place(state: State, pool: str, cls: str) -> bool:
    """Whether the policy in force has a pool and a class.

    >>> has_place(State(policy={'pools': {'p': {}}, 'classes': {'c': {}}}), 'p', 'c'), has_place(State(), 'p', 'c')
    (True, False)
    """
    return pool in state.policy.get('pools', {}) and cls in state.policy.get('classes', {})


def even(state: State) -> dict[str, int]:
    """What a node that has started without a core uses: an even part of each replica's slots. Nobody
    has set them aside for it; at worst a replica refuses, and the task goes elsewhere.

    >>> even(State(policy={'pools': {'p': {'replicas': {'r': {'slots': 16}}}}}, live=6))
    {'r': 2}
    """
    return {
        r: max(1, v['slots'] // (state.live + 1))
        for p in state.policy.get('pools', {}).values()
        for r, v in p['replicas'].items()
    }


def pressure(state: State) -> dict[str, int]:
    """What this node would use, by pool: slots in use and tasks waiting.

    >>> pressure(State())
    {}
    """
    out: dict[str, int] = {}
    for name, pool in state.pools.items():
        out[name] = sum(pool.running.values()) + sum(len(line) for line in pool.pending.values())
    return out


def holding(state: State) -> dict[str, list[int]]:
    """Each replica's slots: what this node takes as its limit, and what is in use.

    >>> holding(State(allot={'r': 2}, used=Map({'r': 3})))
    {'r': [2, 3]}
    """
    names = set(state.allot) | {r for r, n in state.used.items() if n}
    return {r: [state.allot.get(r, 0), state.used.get(r, 0)] for r in sorted(names)}


def fades(state: State) -> bool:
    """Whether there are words on load that are to count for less as they grow old.

    >>> fades(State()), fades(State(others=Map({'r': (2.0, None)})))
    (False, True)
    """
    return bool(state.others)


def only(table: Map, names: Container[str]) -> Map:
    """A table without the rows of any other names.

    >>> only(Map({'a': 1, 'b': 2}), {'a'}) == Map({'a': 1})
    True
    """
    for name in list(table):
        if name not in names:
            table = table.delete(name)
    return table
