"""The state of admission: tasks, replicas, pools, and queries on that state alone."""

from collections.abc import Container
from datetime import datetime, timedelta
from typing import NamedTuple

from immutables import Map

from quillstall.configuration.policy import ADMISSION_DEFAULTS, MECHANISM_DEFAULTS
from quillstall.dataplane.ledger import Ledger

SAMPLE_INTERVAL = timedelta(seconds=1)
MAX_RETRY_BUDGET = 10.0


class Task(NamedTuple):
    """One turn or plain call, as admission sees it.

    >>> Task('t', 'r', 'c', 'p', 1200, None, None).reserved_tokens
    1200
    """

    name: str
    route: str
    class_name: str
    pool: str
    reserved_tokens: int
    deadline: datetime | None
    arrived_at: datetime | None
    urgent: bool = False
    shared_prefix: str = ''  # names the prompt prefix that the task shares with others
    preferred_replica: str = ''  # the replica that has the conversation's prefix cached
    excluded_replicas: tuple = ()
    prior_service_time: timedelta = timedelta(seconds=1)  # used until the route has been measured
    uncached_tokens: dict = {}  # replica -> prompt tokens that are not in its prefix cache
    zone: str = ''  # the node's zone: replicas in it are nearer


class RunningTask(NamedTuple):
    """A task that has a replica's slot and a token reservation.

    >>> RunningTask(None, 'r1', None).credited_tokens
    0
    """

    task: Task | None
    replica: str
    started_at: datetime | None
    credited_tokens: int = 0


class ServiceTime(NamedTuple):
    """Mean and mean deviation of the service time of a route's finished tasks, in seconds.

    >>> ServiceTime(0.5, 0.1).expected
    datetime.timedelta(microseconds=600000)
    """

    mean: float
    deviation: float

    @property
    def expected(self) -> timedelta:
        return timedelta(seconds=self.mean + self.deviation)


class Pool(NamedTuple):
    """One pool as this node sees it.

    >>> Pool('p').pending_tokens
    0
    """

    name: str
    pending: Map = Map()  # class -> tasks in order of arrival
    tokens_by_class: Map = Map()  # class -> reserved tokens of its pending tasks
    pending_tokens: int = 0  # the same, of all classes
    running: Map = Map()  # class -> number of tasks that have a slot
    ledger: Ledger = Ledger()
    newest_first: Map = Map()  # class -> whether its newest task is served first
    slot_rate: float | None = None  # measured drain rate of one slot, in tokens per second
    drain_time: timedelta = timedelta(0)  # length of the current measurement of the drain rate
    drained_tokens: int = 0  # tokens worked off during that measurement
    rate_raised_at: datetime | None = None  # when the rate was last found too low
    next_retry: Map = Map()  # class -> the next free retry time for a refused caller


class Ejection(NamedTuple):
    """A replica that failed and gets no task until a time.

    >>> Ejection(None, 1).failures
    1
    """

    until: datetime | None
    failures: int
    last_failure: datetime | None = None  # on this node


class Outcomes(NamedTuple):
    """Failures and successes of recent tasks at a replica, each weighted less as it ages.

    >>> Outcomes(1.0, 3.0, None).failures
    1.0
    """

    failures: float
    successes: float
    updated_at: datetime | None  # the time for which the weights hold


class State(NamedTuple):
    """The whole state of admission.

    >>> State().generation
    0
    """

    policy: dict = {}
    generation: int = 0
    epoch: int = 0
    leaving: frozenset = frozenset()
    lease: datetime | None = None  # when the lease expires
    live_nodes: int = 1
    allocation: dict = {}  # replica -> slots that the core allocates to this node
    pools: Map = Map()
    running_tasks: Map = Map()  # task name -> RunningTask
    used_slots: Map = Map()  # replica -> slots in use by this node
    service_times: Map = Map()  # route -> ServiceTime
    cold_service_times: Map = Map()  # route -> ServiceTime of tasks whose shared prefix was not cached
    cached_prefixes: Map = Map()  # replica -> shared prefixes of tasks of this node that succeeded there
    ejections: Map = Map()  # replica -> Ejection
    entitlements: Map = Map()  # class -> Ledger of its token entitlement
    retry_budget: float = MAX_RETRY_BUDGET
    refusal_count: int = 0
    draining: bool = False
    last_tick: datetime | None = None
    listing: dict = {}  # the replicas of listed pools, with the time of the lookup
    consecutive_failures: Map = Map()  # replica -> soft failures in a row
    other_load: Map = Map()  # replica -> (tasks of other nodes running or waiting there, time of the report)
    last_success: Map = Map()  # replica -> when a task of this node last succeeded there
    outcomes: Map = Map()  # replica -> Outcomes; kept while it fails on this node or on others
    failing_elsewhere: frozenset = (
        frozenset()
    )  # replicas with recent failures on any node, as the core reports
    ejected_by_core: frozenset = frozenset()  # those of them that every node should avoid


def settings(state: State) -> dict:
    """Return the policy's admission settings, with defaults: `settings(state)['rounds']`."""
    return {**ADMISSION_DEFAULTS, **state.policy.get('admission', {})}


def mechanism_enabled(state: State, mechanism: str) -> bool:
    """Return whether the policy leaves an admission mechanism enabled.

    >>> mechanism_enabled(State(), 'zones'), mechanism_enabled(State(policy={'mechanisms': {'zones': False}}), 'zones')
    (True, False)
    """
    return state.policy.get('mechanisms', MECHANISM_DEFAULTS).get(mechanism, MECHANISM_DEFAULTS[mechanism])


def replicas_of(state: State, pool: str) -> dict[str, dict]:
    """Return the replicas of a pool that may get new work: those declared by the policy or, for a listed
    pool, those listed as ready.

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
    """Return the slots that this node may use, by replica: the core's allocation or, for a listed pool,
    what the load reported by the replica leaves free.

    >>> rows = {'a': {'slots': 8, 'ready': True}}
    >>> s = State(policy={'pools': {'p': {'replicas': {}, 'listed': True}}}, listing={'pools': {'p': rows}})
    >>> slots_of(s, 'p'), slots_of(s._replace(other_load=Map({'a': (5.0, None)})), 'p')
    ({'a': 8}, {'a': 3})
    """
    spec = state.policy.get('pools', {}).get(pool, {'replicas': {}})
    if spec.get('listed'):
        return {
            r: max(1, v['slots'] - round(load_of_others(state, r)))
            for r, v in replicas_of(state, pool).items()
        }
    return {r: state.allocation.get(r, 0) for r in spec['replicas'] if r not in state.leaving}


def load_of_others(state: State, replica: str) -> float:
    """Return the last known load of other nodes on a replica.

    >>> load_of_others(State(), 'r')
    0.0
    """
    row = state.other_load.get(replica)
    return row[0] if row else 0.0


def leased(state: State, now: datetime) -> bool:
    """Return whether this node's lease is valid, so that it may send new work."""
    return state.lease is not None and now < state.lease


def may_send(state: State, pool: str, replica: str, now: datetime) -> bool:
    """Return whether the policy in force allows new work on a replica and this node's lease is valid.

    >>> may_send(State(), 'p', 'r', None)
    False
    """
    return leased(state, now) and replica not in state.leaving and replica in replicas_of(state, pool)


def in_policy(state: State, pool: str, class_name: str) -> bool:
    """Return whether the policy in force has a pool and a class.

    >>> in_policy(State(policy={'pools': {'p': {}}, 'classes': {'c': {}}}), 'p', 'c'), in_policy(State(), 'p', 'c')
    (True, False)
    """
    return pool in state.policy.get('pools', {}) and class_name in state.policy.get('classes', {})


def default_allocation(state: State) -> dict[str, int]:
    """Return the allocation of a node that started without a core: an equal share of each replica's slots.
    These slots are not reserved for it; at worst a replica refuses and the task goes to another.

    >>> default_allocation(State(policy={'pools': {'p': {'replicas': {'r': {'slots': 16}}}}}, live_nodes=6))
    {'r': 2}
    """
    return {
        r: max(1, v['slots'] // (state.live_nodes + 1))
        for p in state.policy.get('pools', {}).values()
        for r, v in p['replicas'].items()
    }


def demand(state: State) -> dict[str, int]:
    """Return this node's demand by pool: slots in use and tasks waiting.

    >>> demand(State())
    {}
    """
    by_pool: dict[str, int] = {}
    for name, pool in state.pools.items():
        by_pool[name] = sum(pool.running.values()) + sum(len(queue) for queue in pool.pending.values())
    return by_pool


def slot_usage(state: State) -> dict[str, list[int]]:
    """Return, by replica, the slots allocated to this node and those in use.

    >>> slot_usage(State(allocation={'r': 2}, used_slots=Map({'r': 3})))
    {'r': [2, 3]}
    """
    names = set(state.allocation) | {r for r, n in state.used_slots.items() if n}
    return {r: [state.allocation.get(r, 0), state.used_slots.get(r, 0)] for r in sorted(names)}


def has_reported_load(state: State) -> bool:
    """Return whether there are load reports that have to decay with time.

    >>> has_reported_load(State()), has_reported_load(State(other_load=Map({'r': (2.0, None)})))
    (False, True)
    """
    return bool(state.other_load)


def restricted_to(table: Map, names: Container[str]) -> Map:
    """Return a table without the rows of names that are not in `names`.

    >>> restricted_to(Map({'a': 1, 'b': 2}), {'a'}) == Map({'a': 1})
    True
    """
    for name in list(table):
        if name not in names:
            table = table.delete(name)
    return table
