"""Admission: for every task, send it now, let it wait briefly, or refuse it at once.

A pure reducer, after the paper (docs/design.md names it): each task reserves its prompt and its
most output in a ledger; one that cannot be sent is let wait only if the pending tokens before it,
divided by the rate at which tokens drain, leave time for its own service before its deadline;
the same is asked again when its turn comes; and under overload the newest goes first.
"""

from datetime import datetime, timedelta
from math import ceil
from typing import Any, NamedTuple
from zlib import crc32

from immutables import Map

from quillstall.configuration.policy import ADMISSION, MECHANISMS
from quillstall.dataplane import ledger
from quillstall.dataplane.ledger import Ledger
from quillstall.network.listing import Listing
from quillstall.replication.rendezvous import rank
from quillstall.runtime.clock import ms, of_ms
from quillstall.runtime.effect import Count, Note, Tick
from quillstall.runtime.errors import Fault

SAMPLE = timedelta(seconds=1)
BLEND = 0.3
READ_MOST = 256  # shared prompts remembered as read, a replica
DOWN = timedelta(seconds=1)
DOWN_MOST = 8
RETRY_BURST = 10.0
LOAD_BLEND = 0.6  # how much the newest word on a replica's load counts
LOAD_OLD = timedelta(milliseconds=600)
RUN_TOKENS = 1600.0  # one more running request delays a turn as reading so many tokens does
FAR = 0.7  # another zone counts as this part of a running request
FAILS_MOST = 3  # so many failures in a row, with others going well, put a replica aside
NO_PLACE = 'a new policy has no place for it'


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


class Arrive(NamedTuple):
    """A task asks to be sent. `again`: its last round failed before anything came of it.

    >>> Arrive(None).again
    False
    """

    task: Any
    again: bool = False


class Leave(NamedTuple):
    """A task has ended or been given up; `used` tokens were spent.

    >>> Leave('t').used
    0
    """

    name: str
    used: int = 0
    took: timedelta | None = None


class Credit(NamedTuple):
    """Tokens of a running task have been worked off, in the ledger's unit.

    >>> Credit('t', 10).tokens
    10
    """

    name: str
    tokens: int


class News(NamedTuple):
    """What the core answered to a poll; `lease` counts from when the poll was sent.

    >>> News({'generation': 1}, None).ret['generation']
    1
    """

    ret: dict
    lease: datetime | None


class Health(NamedTuple):
    """A round on a replica failed, or went well.

    >>> Health('r1', False).well
    False
    """

    replica: str
    well: bool
    soft: bool = False  # it answered badly once; only several in a row count


class Load(NamedTuple):
    """What a replica has told of its load with an answer: running, waiting and slots.

    >>> Load('r1', 3, 0, 8).slots
    8
    """

    replica: str
    running: int
    waiting: int
    slots: int


class Report(NamedTuple):
    """What the holder of the probe duty learnt of a replica that is in doubt.

    >>> Report('r1', True).well
    True
    """

    replica: str
    well: bool


class Drain(NamedTuple):
    """Take nothing new any more.

    >>> Drain()
    Drain()
    """


class Word(NamedTuple):
    """The decision on one task: a replica, or a fault.

    >>> Word('t', 'r1').fault is None
    True
    """

    name: str
    replica: str | None
    fault: dict | None = None


def step(state: State, event: Any, now: datetime) -> tuple[State, tuple]:
    """The next state and the effects of any event.

    With no lease nothing is sent:

    >>> from datetime import UTC
    >>> t = datetime(2026, 1, 1, tzinfo=UTC)
    >>> task = Task('t', 'r', 'c', 'p', 10, t + SAMPLE, t)
    >>> s, e = step(State(), Arrive(task), t); e[-1].fault['fault']
    'no_lease'
    """
    out: list = []
    kind = type(event)
    if kind is Arrive:
        state = arrive(state, event, now, out)
    elif kind is Leave:
        state = leave(state, event, now, out)
    elif kind is Credit:
        state = credit(state, event)
    elif kind is News:
        state = news(state, event, now, out)
    elif kind is Health:
        state = health(state, event, now, out)
    elif kind is Report:
        state = reported(state, event, now)
    elif kind is Load:
        state = loaded(state, event, now)
        for name in [n for n, p in state.pools.items() if p.queued]:
            state = serve(state, name, now, out)
    elif kind is Listing:
        state = listed(state, event.rows, now, out)
    elif kind is Tick:
        state = tick(state, now, out)
    elif kind is Drain:
        state = drain(state, now, out)
    return state, tuple(out)


def rules(state: State) -> dict:
    """The numbers of the policy, with our defaults: `rules(state)['rounds']`."""
    return {**ADMISSION, **state.policy.get('admission', {})}


def uses(state: State, mechanism: str) -> bool:
    """Whether the policy leaves a mechanism of deciding switched on.

    >>> uses(State(), 'zones'), uses(State(policy={'mechanisms': {'zones': False}}), 'zones')
    (True, False)
    """
    return state.policy.get('mechanisms', MECHANISMS).get(mechanism, MECHANISMS[mechanism])


def expected(state: State, task: Task) -> timedelta:
    """How long the task's own service should take.

    >>> expected(State(), Task('t', 'r', 'c', 'p', 1, None, None, prior=SAMPLE)) == SAMPLE
    True
    """
    known = state.service.get(task.route)
    return known.expected if known else task.prior


def is_cold(state: State, task: Task, replica: str) -> bool:
    """Whether a replica has yet to read the prompt that a task shares with others.

    >>> task = Task('t', 'r', 'c', 'p', 1, None, None, warm='shared')
    >>> is_cold(State(), task, 'a'), is_cold(State(read=Map({'a': frozenset({'shared'})})), task, 'a')
    (True, False)
    >>> is_cold(State(), task._replace(prefer='a'), 'a')
    False
    """
    return bool(task.warm) and replica != task.prefer and task.warm not in state.read.get(replica, ())


def expected_at(state: State, task: Task, replica: str) -> timedelta:
    """How long the task's own service should take at a replica: longer where its prompt is new.

    >>> task = Task('t', 'r', 'c', 'p', 1, None, None, warm='shared')
    >>> s = State(service=Map({'r': Service(0.2, 0.0)}), cold_service=Map({'r': Service(0.9, 0.0)}))
    >>> [span.total_seconds() for span in (expected(s, task), expected_at(s, task, 'a'))]
    [0.2, 0.9]
    """
    usual = expected(state, task)
    if not is_cold(state, task, replica):
        return usual
    known = state.cold_service.get(task.route)
    return max(usual, known.expected if known else task.prior)


def least_time(state: State, task: Task, replica: str) -> timedelta:
    """The time a task must have left to be sent to a replica: what it should take there. One that was let
    go on trial, since its route has lately been too slow for it, needs what its route is declared to take.

    >>> from datetime import UTC
    >>> t = datetime(2026, 1, 1, tzinfo=UTC)
    >>> task = Task('t', 'r', 'c', 'p', 1, t + 4 * SAMPLE, t, prior=SAMPLE)
    >>> [least_time(State(service=Map({'r': Service(n, 0.0)})), task, 'a').seconds for n in (3.0, 5.0)]
    [3, 1]
    """
    service = expected_at(state, task, replica)
    return service if service <= task.deadline - task.at else min(service, task.prior)


def learned(known: Service | None, task: Task, took: timedelta) -> Service:
    """What is known of a service time after one more task; the first is weighed against the prior.

    >>> learned(None, Task('t', 'r', 'c', 'p', 1, None, None, prior=SAMPLE), 3 * SAMPLE)
    Service(mean=2.0, dev=1.0)
    """
    span = took.total_seconds()
    if known is None:
        prior = task.prior.total_seconds()
        return Service((span + prior) / 2, abs(span - prior) / 2)
    return Service(
        known.mean + BLEND / 3 * (span - known.mean),
        known.dev + BLEND / 3 * (abs(span - known.mean) - known.dev),
    )


def learn(state: State, run: Run, took: timedelta) -> State:
    """Take in how long a task's service took, and that its replica has read its shared prompt."""
    task, replica = run.task, run.replica
    state = state._replace(
        service=state.service.set(task.route, learned(state.service.get(task.route), task, took))
    )
    if not task.warm or task.warm in state.read.get(replica, ()):
        return state
    if is_cold(state, task, replica):
        cold = learned(state.cold_service.get(task.route), task, took)
        state = state._replace(cold_service=state.cold_service.set(task.route, cold))
    read = state.read.get(replica, frozenset())
    kept = read if len(read) < READ_MOST else frozenset()
    return state._replace(read=state.read.set(replica, kept | {task.warm}))


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


def loaded(state: State, event: Load, now: datetime) -> State:
    """A replica's word on its load: what is not ours there is the other nodes'."""
    if not uses(state, 'told_load'):
        return state
    told = max(0.0, float(event.running + event.waiting - state.used.get(event.replica, 0)))
    row = state.others.get(event.replica)
    mean = told if row is None else row[0] + LOAD_BLEND * (told - row[0])
    return state._replace(others=state.others.set(event.replica, (mean, now)))


def fade(state: State, now: datetime) -> State:
    """Old words on load count for less and less: without it a replica that was full once would never be
    asked again, and so never tell that it is free."""
    others = state.others
    for replica, (mean, at) in state.others.items():
        if at is not None and now - at > LOAD_OLD:
            others = (
                others.set(replica, (mean * 0.8, now - LOAD_OLD / 2))
                if mean > 0.3
                else others.delete(replica)
            )
    return state._replace(others=others)


def listed(state: State, rows: dict, now: datetime, out: list) -> State:
    """Take a newer list of replicas; what waits may go to those that are new in it."""
    if rows['at'] <= state.listing.get('at', 0):
        return state
    if rows['digest'] == state.listing.get('digest'):  # the same list, seen again
        return state._replace(listing=rows)
    known = {r for p in rows['pools'].values() for r in p}
    gone = [r for r in state.down if r not in known] if state.listing else []
    down = state.down
    for replica in gone:
        down = down.delete(replica)
    others = state.others
    for replica in list(others):
        if replica not in known:
            others = others.delete(replica)
    if rows['pools'] != state.listing.get('pools'):
        out.append(Note('listing', {p: len(v) for p, v in sorted(rows['pools'].items())}))
    state = state._replace(listing=rows, down=down, others=others)
    for name in sorted(state.pools):
        state = serve(state, name, now, out)
    return state


def drain_rate(state: State, pool: Pool, task: Task) -> float:
    """Tokens a second that this node's slots work off: measured, or the policy's, or the prior.

    >>> s = State(policy={'pools': {'p': {'replicas': {'r': {'slots': 4, 'tokens_per_s': 400.0}}}}}, allot={'r': 2})
    >>> drain_rate(s, Pool('p'), Task('t', 'r', 'c', 'p', 10, None, None))
    200.0
    >>> drain_rate(s, Pool('p', slot_rate=7.0), Task('t', 'r', 'c', 'p', 10, None, None))
    14.0
    """
    slots = slots_of(state, pool.name)
    spec = replicas_of(state, pool.name)
    if pool.slot_rate is not None and not declared(state, pool):
        return pool.slot_rate * sum(slots.values())
    if pool.slot_rate is not None:
        return sum(
            n
            * min(
                pool.slot_rate,
                spec[r]['tokens_per_s'] / spec[r]['slots'] if 'tokens_per_s' in spec[r] else pool.slot_rate,
            )
            for r, n in slots.items()
        )
    prior = task.hold / max(0.001, expected(state, task).total_seconds())
    return sum(
        n * (spec[r]['tokens_per_s'] / spec[r]['slots'] if 'tokens_per_s' in spec[r] else prior)
        for r, n in slots.items()
    )


def declared(state: State, pool: Pool) -> bool:
    """Whether operators have declared a rate of this pool: it is a budget, and no measurement raises it.

    >>> s = State(policy={'pools': {'p': {'replicas': {'r': {'slots': 1, 'tokens_per_s': 4.0}}}}})
    >>> declared(s, Pool('p')), declared(State(), Pool('p'))
    (True, False)
    """
    return any('tokens_per_s' in v for v in replicas_of(state, pool.name).values())


def doubled(state: State, pool: Pool, task: Task) -> Pool:
    """The pool with twice the rate a slot, measured or not: it held work back beside free slots.

    >>> doubled(State(allot={'r': 2}, policy={'pools': {'p': {'replicas': {'r': {}}}}}), Pool('p', slot_rate=7.0), None).slot_rate
    14.0
    """
    return pool._replace(
        slot_rate=drain_rate(state, pool, task) / sum(slots_of(state, pool.name).values()) * 2
    )


def share_of(state: State, pool: Pool, cls: str) -> float:
    """The part of the pool's drain that a class can count on: its share among the classes that
    want any now. What the others leave idle is its to borrow.

    >>> s = State(policy={'classes': {'a': {'share': 60}, 'b': {'share': 20}}})
    >>> share_of(s, Pool('p'), 'a'), share_of(s, Pool('p', running=Map({'b': 1})), 'a')
    (1.0, 0.75)
    """
    classes = state.policy['classes']
    if classes[cls].get('urgent'):
        return 1.0
    want = [
        c
        for c in classes
        if c != cls and not classes[c].get('urgent') and (pool.running.get(c, 0) or pool.pending.get(c))
    ]
    mine = classes[cls]['share']
    return mine / (mine + sum(classes[c]['share'] for c in want))


def wait_of(state: State, pool: Pool, task: Task) -> timedelta:
    """The paper's wait: the class's pending tokens and this hold, over the rate they drain at."""
    rate = drain_rate(state, pool, task) * share_of(state, pool, task.cls)
    if rate <= 0:
        return timedelta(hours=1)
    ahead = pool.tokens.get(task.cls, 0)
    if not state.policy['classes'][task.cls].get('urgent'):
        ahead += sum(
            n
            for c, n in pool.tokens.items()
            if c != task.cls and state.policy['classes'].get(c, {}).get('urgent')
        )
    return timedelta(seconds=min(3600.0, (ahead + task.hold) / rate))


def leased(state: State, now: datetime) -> bool:
    """Whether this node may send anything new: `leased(state, now)`."""
    return state.lease is not None and now < state.lease


def may_send(state: State, pool: str, replica: str, now: datetime) -> bool:
    """Whether the policy in force still lets this replica have new work, and we may send it.

    >>> may_send(State(), 'p', 'r', None)
    False
    """
    return leased(state, now) and replica not in state.leaving and replica in replicas_of(state, pool)


def refuse(
    state: State, pool: Pool | None, task: Task, code: str, now: datetime, out: list, text: str = ''
) -> State:
    """A refusal with an honest time to come back, spread over those who are refused."""
    rule = rules(state)
    floor, most = of_ms(rule['retry_floor_ms']), of_ms(rule['retry_ceiling_ms'])
    dice = state.dice + 1
    state = state._replace(dice=dice)
    part = dice * 0.618033988749895 % 1.0
    if pool is None or code in ('no_lease', 'draining', 'no_replica'):
        span = max(floor, min(most, timedelta(seconds=1.5))) * (1 + part)
    else:
        room = wait_of(state, pool, task) + expected(state, task) - (task.deadline - task.at)
        gap = timedelta(seconds=min(60.0, task.hold / max(0.001, drain_rate(state, pool, task))))
        at = max(now + max(floor, room), pool.booked.get(task.cls, now))
        span = at - now
        if span > most:
            span = most * (0.5 + 0.5 * part)
        else:
            pool = pool._replace(booked=pool.booked.set(task.cls, at + gap))
            state = state._replace(pools=state.pools.set(pool.name, pool))
    span = max(floor, min(most, span))
    out.append(Count(f'refused.{code}'))
    out.append(Word(task.name, None, Fault(code, text, wait_ms=ms(span)).pack()))
    return state


def arrive(state: State, event: Arrive, now: datetime, out: list) -> State:
    """Decide on one task."""
    task = event.task
    out.append(Count('arrived'))
    if state.draining:
        return refuse(state, None, task, 'draining', now, out)
    if not leased(state, now):
        return refuse(state, None, task, 'no_lease', now, out)
    if not has_place(state, task.pool, task.cls):  # it was made under an older policy
        return refuse(state, None, task, 'no_replica', now, out, NO_PLACE)
    pool = state.pools.get(task.pool) or Pool(task.pool)
    if event.again:
        if state.retry < 1:
            out.append(Count('retries.denied'))
            return refuse(state, None, task, 'no_replica', now, out, 'too many rounds are failing')
        state = state._replace(retry=state.retry - 1)
        out.append(Count('retries'))
    if not [r for r in slots_of(state, task.pool) if r not in task.avoid]:
        return refuse(state, None, task, 'no_replica', now, out, 'no replica is left to try')
    limit = state.policy['classes'][task.cls].get('tokens_per_minute')
    if limit is not None and not event.again:
        mine = limit / max(1, state.live)
        led = ledger.age(state.limits.get(task.cls, Ledger()), now)
        if led.total + task.hold > mine:
            span = ms(ledger.room(led, task.hold, mine, now))
            out.append(Count('refused.entitlement'))
            out.append(
                Word(
                    task.name,
                    None,
                    Fault(
                        'entitlement',
                        f'{limit} tokens a minute',
                        wait_ms=max(rules(state)['retry_floor_ms'], span),
                    ).pack(),
                )
            )
            return state
        state = state._replace(limits=state.limits.set(task.cls, ledger.reserve(led, task.hold, now)))
    service = expected(state, task)
    if now + service > task.deadline and not event.again and trial(state, task, now):
        replica = assign(state, task, now)
        if replica:
            out.append(Count('trials'))
            return send(state, pool, task, replica, now, out)
    if now + service > task.deadline:
        state = unlimit(state, task, now)
        return refuse(state, pool, task, 'shed', now, out, 'its service alone takes longer than it has')
    line = pool.pending.get(task.cls, ())
    others = pool.queued and not task.urgent
    if not line and not others:
        replica = assign(state, task, now)
        if replica and fits(state, pool, task, now):
            return send(state, pool, task, replica, now, out)
        if replica and not declared(state, pool) and (pool.raised is None or now - pool.raised >= SAMPLE):
            # a slot is free and nothing waits: only the ledger holds it back, so its rate is too low
            out.append(Count('rate.raised'))
            return send(state, doubled(state, pool, task)._replace(raised=now), task, replica, now, out)
    wait = wait_of(state, pool, task)
    if wait + service > task.deadline - now:
        state = unlimit(state, task, now)
        return refuse(
            state,
            pool,
            task,
            'shed',
            now,
            out,
            f'{ms(wait)} ms of work wait before it and it has {ms(task.deadline - now)} ms',
        )
    line = (task,) + line if event.again else line + (task,)
    if not pool.queued:  # what drained before anything waited tells nothing of the rate
        pool = pool._replace(span=timedelta(0), credit=0)
        state = state if any(p.queued for p in state.pools.values()) else state._replace(ticked=now)
    pool = pool._replace(
        pending=pool.pending.set(task.cls, line),
        tokens=pool.tokens.set(task.cls, pool.tokens.get(task.cls, 0) + task.hold),
        queued=pool.queued + task.hold,
    )
    out.append(Count('pending'))
    state = order(state, pool, task.cls, out)
    state = serve(state, task.pool, now, out)
    return give_up(state, task.pool, task.cls, now, out)


def overtaken(state: State, pool: Pool, cls: str, now: datetime) -> list[Task]:
    """The pending tasks of a class whose place in the order of serving can no longer be reached in time:
    what is served before each, and itself, drains too late for its own service to fit.

    >>> from datetime import UTC
    >>> t = datetime(2026, 1, 1, tzinfo=UTC)
    >>> s = State(policy={'classes': {'c': {'share': 1}}, 'pools': {'p': {'replicas': {'r': {'slots': 1}}}}}, allot={'r': 1})
    >>> line = tuple(Task(f't{n}', 'r', 'c', 'p', 100, t + 4 * SAMPLE, t) for n in range(4))
    >>> pool = Pool('p', pending=Map({'c': line}), newest=Map({'c': True}), slot_rate=100.0)
    >>> [task.name for task in overtaken(s, pool, 'c', t)]
    ['t0']
    """
    line = pool.pending.get(cls, ())
    if not line:
        return []
    rate = drain_rate(state, pool, line[0]) * share_of(state, pool, cls)
    if rate <= 0:
        return []
    out, ahead = [], 0
    for task in reversed(line) if pool.newest.get(cls) else line:
        wait = timedelta(seconds=min(3600.0, (ahead + task.hold) / rate))
        if now + wait + expected(state, task) > task.deadline:
            out.append(task)
        else:
            ahead += task.hold
    return out


def give_up(state: State, name: str, cls: str, now: datetime, out: list) -> State:
    """Refuse, at the moment it is known, what can no longer be reached in time."""
    for task in overtaken(state, state.pools[name], cls, now):
        out.append(Count('dropped.overtaken'))
        state = take(state, state.pools[name], task)
        state = refuse(
            state,
            state.pools[name],
            task,
            'hopeless',
            now,
            out,
            'newer work goes first, and no time is left after it',
        )
    return state


def trial(state: State, task: Task, now: datetime) -> bool:
    """Whether a task may go although its route has lately been too slow: one at a time, if it would do
    by what the route is declared to take. Without it a route that was slow once would never be seen
    to be fast again."""
    return now + task.prior <= task.deadline and not any(
        run.task.route == task.route for run in state.runs.values()
    )


def unlimit(state: State, task: Task, now: datetime) -> State:
    """What a refused task took of its class's entitlement goes back."""
    led = state.limits.get(task.cls)
    if led is None:
        return state
    return state._replace(limits=state.limits.set(task.cls, ledger.settle(led, task.hold, 0, now, now)))


def order(state: State, pool: Pool, cls: str, out: list) -> State:
    """Turn to newest-first when a class's pending work is deep, back when it is shallow."""
    line = pool.pending.get(cls, ())
    newest = pool.newest.get(cls, False)
    rule = rules(state)
    if line and uses(state, 'newest_first'):
        rate = drain_rate(state, pool, line[0]) * share_of(state, pool, cls)
        depth = pool.tokens.get(cls, 0) / rate if rate > 0 else 3600.0
        patience = state.policy['classes'][cls]['deadline_ms'] / 1000
        if not newest and depth > rule['newest_first_at'] * patience:
            newest = True
        elif newest and depth < rule['fifo_at'] * patience:
            newest = False
    else:
        newest = False
    if newest != pool.newest.get(cls, False):
        out.append(Count('order.newest' if newest else 'order.fifo'))
        pool = pool._replace(newest=pool.newest.set(cls, newest))
    return state._replace(pools=state.pools.set(pool.name, pool))


def fits(state: State, pool: Pool, task: Task, now: datetime) -> bool:
    """Whether the ledger of the rolling minute takes the task's hold."""
    budget = drain_rate(state, pool, task) * ledger.MINUTE
    led = ledger.age(pool.ledger, now)
    return led.total == 0 or led.total + task.hold <= max(budget, task.hold)


def assign(state: State, task: Task, now: datetime) -> str | None:
    """The replica for a task: where its conversation is warm, else where its shared prompt is,
    unless that one is fuller than the emptiest by more than the policy's slack."""
    slots = slots_of(state, task.pool)
    free = {}
    for r, n in slots.items():
        used = state.used.get(r, 0)
        down = state.down.get(r)
        if used >= n or r in task.avoid or (down and now < down.until):
            continue
        if down and used:  # it failed lately: one task at a time until one goes well
            continue
        free[r] = used / n
    if not free:
        return None
    if state.policy['pools'][task.pool].get('listed'):
        return soonest(state, task, free) if uses(state, 'predicted_end') else emptiest(task, free)
    if task.prefer in free:
        return task.prefer
    least = min(free.values())
    slack = rules(state)['warm_slack']
    for r in rank(task.warm or task.route, free):
        if free[r] <= least + slack:
            return r
    return None


def soonest(state: State, task: Task, free: dict) -> str:
    """Of these replicas the one where the task should end first: what runs and waits there slows it, what
    of its prompt was not read there must be read, and the way to another zone costs a little.

    >>> rows = {r: {'slots': 8, 'ready': True, 'zone': z} for r, z in (('a', 'x'), ('b', 'y'))}
    >>> s = State(listing={'pools': {'p': rows}}, used=Map({'a': 2}))
    >>> task = Task('t', 'r', 'c', 'p', 10, None, None, zone='x')
    >>> soonest(s, task, rows), soonest(s, task._replace(unread={'b': 9000}), rows)
    ('b', 'a')
    """
    rows = replicas_of(state, task.pool) or state.listing['pools'][task.pool]
    memory, zones, warmth = (uses(state, name) for name in ('prompt_memory', 'zones', 'warmth'))
    best, least = '', 0.0
    for r in sorted(free, key=lambda r: (r, task.name)):
        load = state.used.get(r, 0) + elsewhere_of(state, r)
        slots = rows[r]['slots']
        over = max(0.0, load + 1 - slots)
        cost = (load + 3.0 * over) * (RUN_TOKENS if task.hold > 1 else 1.0)
        cost += task.unread.get(r, 0) if memory else 0
        if zones and rows[r].get('zone') != task.zone:
            cost += RUN_TOKENS * FAR if task.hold > 1 else FAR
        if warmth and rows[r].get('cold'):
            cost += RUN_TOKENS * slots
        cost += tie(task.name, r)
        if not best or cost < least:
            best, least = r, cost
    return best


def emptiest(task: Task, free: dict[str, float]) -> str:
    """Of these replicas, each with how full it is of this node's work, the emptiest.

    >>> emptiest(Task('t', 'r', 'c', 'p', 1, None, None), {'a': 0.5, 'b': 0.25})
    'b'
    """
    return min(free, key=lambda r: (free[r], tie(task.name, r)))


def tie(name: str, replica: str) -> float:
    """A small number that differs from request to request, so that equal replicas are used evenly.

    A checksum alone would not do: those of one request at two replicas differ by the same bits for every
    request, so some replicas would win far more often than others.

    >>> 0 <= tie('t', 'r') < 0.5
    True
    >>> won = [min(('a', 'b', 'c'), key=lambda r: tie(f't{n}', r)) for n in range(300)]
    >>> all(80 <= won.count(r) <= 120 for r in 'abc')
    True
    """
    return mixed(crc32(f'{name} {replica}'.encode())) / 2**33


def mixed(number: int) -> int:
    """A number of 32 bits with each of its bits spread over all of them: `mixed(1)`."""
    number = (number ^ number >> 16) * 0x7FEB352D & 0xFFFFFFFF
    number = (number ^ number >> 15) * 0x846CA68B & 0xFFFFFFFF
    return number ^ number >> 16


def send(state: State, pool: Pool, task: Task, replica: str, now: datetime, out: list) -> State:
    """Reserve, take the slot, and say so."""
    pool = pool._replace(
        ledger=ledger.reserve(ledger.age(pool.ledger, now), task.hold, now),
        running=pool.running.set(task.cls, pool.running.get(task.cls, 0) + 1),
    )
    out.append(Count('sent'))
    out.append(Word(task.name, replica))
    return state._replace(
        pools=state.pools.set(pool.name, pool),
        runs=state.runs.set(task.name, Run(task, replica, now)),
        used=state.used.set(replica, state.used.get(replica, 0) + 1),
    )


def take(state: State, pool: Pool, task: Task) -> State:
    """The state without a pending task."""
    line = tuple(t for t in pool.pending[task.cls] if t.name != task.name)
    pool = pool._replace(
        pending=pool.pending.set(task.cls, line) if line else pool.pending.delete(task.cls),
        tokens=pool.tokens.set(task.cls, pool.tokens[task.cls] - task.hold),
        queued=pool.queued - task.hold,
    )
    return state._replace(pools=state.pools.set(pool.name, pool))


def next_class(state: State, pool: Pool, skip: set) -> str | None:
    """Whose turn it is: urgent classes first, then the one furthest below its share."""
    classes = state.policy['classes']
    names = [c for c in pool.pending if c not in skip]
    if not names:
        return None
    return min(
        names,
        key=lambda c: (
            not classes.get(c, {}).get('urgent', False),
            pool.running.get(c, 0) / classes.get(c, {'share': 1})['share'],
            c,
        ),
    )


def serve(state: State, name: str, now: datetime, out: list) -> State:
    """Send pending tasks while there are slots; each is asked again whether it is still worth it."""
    skip: set = set()
    while leased(state, now):
        pool = state.pools.get(name)
        cls = next_class(state, pool, skip) if pool else None
        if cls is None:
            break
        line = pool.pending[cls]
        task = line[-1] if pool.newest.get(cls) else line[0]
        if now + expected(state, task) > task.deadline:
            out.append(Count('dropped.dequeue'))
            state = take(state, pool, task)
            state = refuse(state, state.pools[name], task, 'hopeless', now, out, 'dropped before it was sent')
            continue
        replica = assign(state, task, now)
        if replica is None or not fits(state, pool, task, now):
            skip.add(cls)
            continue
        state = take(state, pool, task)
        state = send(state, state.pools[name], task, replica, now, out)
        state = order(state, state.pools[name], cls, out)
    return state


def leave(state: State, event: Leave, now: datetime, out: list) -> State:
    """A running task ends, or a pending one is taken out."""
    run = state.runs.get(event.name)
    if run is None:
        for pool in state.pools.values():
            for line in pool.pending.values():
                for task in line:
                    if task.name == event.name:
                        out.append(Count('withdrawn'))
                        state = take(state, pool, task)
                        return order(state, state.pools[pool.name], task.cls, out)
        return state
    task = run.task
    pool = state.pools[task.pool]
    used = min(event.used, task.hold) if event.took is None else event.used
    pool = pool._replace(
        ledger=ledger.settle(pool.ledger, task.hold, used, run.at, now),
        running=pool.running.set(task.cls, pool.running[task.cls] - 1),
        credit=pool.credit + max(0, used - run.credited),
    )
    state = state._replace(
        pools=state.pools.set(pool.name, pool),
        runs=state.runs.delete(event.name),
        used=state.used.set(run.replica, state.used[run.replica] - 1),
    )
    led = state.limits.get(task.cls)
    if led is not None:
        state = state._replace(
            limits=state.limits.set(task.cls, ledger.settle(led, task.hold, used, task.at, now))
        )
    if event.took is not None:
        state = learn(state, run, event.took)
        state = state._replace(retry=min(RETRY_BURST, state.retry + rules(state)['retry_share']))
    return serve(state, task.pool, now, out)


def credit(state: State, event: Credit) -> State:
    """Work done on a running task counts for the drain rate, up to what it holds."""
    run = state.runs.get(event.name)
    if run is None:
        return state
    pool = state.pools[run.task.pool]
    return state._replace(
        runs=state.runs.set(event.name, run._replace(credited=run.credited + event.tokens)),
        pools=state.pools.set(pool.name, pool._replace(credit=pool.credit + event.tokens)),
    )


def news(state: State, event: News, now: datetime, out: list) -> State:
    """Take the core's news whole; anything older than what is in force is left alone."""
    ret = event.ret
    if ret['epoch'] < state.epoch or ret['generation'] < state.generation:
        out.append(Count('news.old'))
        return state
    if ret['generation'] > state.generation:
        if 'policy' not in ret:
            out.append(Count('news.short'))
            return state
        out.append(Note('generation', {'generation': ret['generation'], 'leaving': sorted(ret['leaving'])}))
        state = state._replace(
            policy=ret['policy'] or {}, generation=ret['generation'], leaving=frozenset(ret['leaving'])
        )
        state = outlaw(state, now, out)
    lease = event.lease if state.lease is None else max(event.lease, state.lease)
    state = state._replace(epoch=ret['epoch'], lease=lease, live=max(1, ret['live']))
    state = state._replace(allot=ret['allot'] if 'allot' in ret else state.allot or even(state))
    for name in sorted(state.pools):
        state = serve(state, name, now, out)
    return state


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


def has_place(state: State, pool: str, cls: str) -> bool:
    """Whether the policy in force has a pool and a class.

    >>> has_place(State(policy={'pools': {'p': {}}, 'classes': {'c': {}}}), 'p', 'c'), has_place(State(), 'p', 'c')
    (True, False)
    """
    return pool in state.policy.get('pools', {}) and cls in state.policy.get('classes', {})


def outlaw(state: State, now: datetime, out: list) -> State:
    """Pending tasks whose class or pool the new policy does not have are refused."""
    for name in sorted(state.pools):
        for cls in sorted(state.pools[name].pending):
            if has_place(state, name, cls):
                continue
            for task in state.pools[name].pending.get(cls, ()):
                state = take(state, state.pools[name], task)
                state = refuse(state, None, task, 'no_replica', now, out, NO_PLACE)
    return state


def health(state: State, event: Health, now: datetime, out: list) -> State:
    """A replica that fails is left alone for a while, longer each time, then tried with one task."""
    known = state.down.get(event.replica)
    if event.well:
        if event.replica in state.faults:
            state = state._replace(faults=state.faults.delete(event.replica))
        if known:
            out.append(Note('replica_well', {'replica': event.replica}))
            state = state._replace(down=state.down.delete(event.replica))
        return state
    if not event.soft:  # it may have been started again, and have read nothing
        state = state._replace(read=without(state.read, event.replica))
    if not uses(state, 'set_aside'):
        return state
    if event.soft:
        count = state.faults.get(event.replica, 0) + 1
        state = state._replace(faults=state.faults.set(event.replica, count))
        if count < FAILS_MOST:
            return state
    fails = min(DOWN_MOST, known.fails + 1 if known else 1)
    if not known:
        out.append(Note('replica_down', {'replica': event.replica}))
    return state._replace(down=state.down.set(event.replica, Down(now + DOWN * min(fails, 4), fails)))


def without(table: Map, key: str) -> Map:
    """A table without a key, whether or not it is there.

    >>> without(Map({'a': 1}), 'a') == without(Map(), 'a') == Map()
    True
    """
    return table.delete(key) if key in table else table


def reported(state: State, event: Report, now: datetime) -> State:
    """A replica in doubt that reports itself free may be tried at once; one that does not, waits on."""
    known = state.down.get(event.replica)
    if known is None:
        return state
    until = min(known.until, now) if event.well else max(known.until, now + DOWN / 2)
    return state._replace(down=state.down.set(event.replica, known._replace(until=until)))


def drain(state: State, now: datetime, out: list) -> State:
    """Refuse all that is pending; from now on refuse what arrives."""
    state = state._replace(draining=True)
    for name in sorted(state.pools):
        for cls in sorted(state.pools[name].pending):
            for task in state.pools[name].pending.get(cls, ()):
                state = take(state, state.pools[name], task)
                state = refuse(state, None, task, 'draining', now, out)
    return state


def tick(state: State, now: datetime, out: list) -> State:
    """Refuse what has become hopeless, measure the drain, serve what waits."""
    span = now - state.ticked if state.ticked else timedelta(0)
    state = fade(state._replace(ticked=now), now)
    for name in sorted(state.pools):
        for cls in sorted(state.pools[name].pending):
            for task in state.pools[name].pending.get(cls, ()):
                if now + expected(state, task) > task.deadline:
                    out.append(Count('dropped.hopeless'))
                    state = take(state, state.pools[name], task)
                    state = refuse(
                        state,
                        state.pools[name],
                        task,
                        'hopeless',
                        now,
                        out,
                        'its deadline can no longer be met',
                    )
            state = order(state, state.pools[name], cls, out)
            state = give_up(state, name, cls, now, out)
        state = measure(state, state.pools[name], span)
        state = serve(state, name, now, out)
    return state


def measure(state: State, pool: Pool, span: timedelta) -> State:
    """Blend what drained in the last second into the rate, if the pool was full all that time."""
    slots = slots_of(state, pool.name)
    if not pool.queued and not pool.span and not pool.credit:
        return state
    full = pool.queued > 0 and all(state.used.get(r, 0) >= n for r, n in slots.items())
    spare = any(state.used.get(r, 0) < n for r, n in slots.items() if r not in state.down)
    if pool.queued and spare and not declared(state, pool):
        # work waits beside free slots: the ledger holds it back, so the rate was measured too low
        pool = pool._replace(span=pool.span + span, credit=0)
        if pool.span >= SAMPLE:
            task = next(line[0] for line in pool.pending.values())
            pool = doubled(state, pool, task)._replace(span=timedelta(0))
    elif not full or not sum(slots.values()):
        pool = pool._replace(span=timedelta(0), credit=0)
    else:
        pool = pool._replace(span=pool.span + span)
        if pool.span >= SAMPLE:
            seen = pool.credit / pool.span.total_seconds() / sum(slots.values())
            old = pool.slot_rate
            if old is None:
                spec = replicas_of(state, pool.name)
                told = [v['tokens_per_s'] / v['slots'] for v in spec.values() if 'tokens_per_s' in v]
                old = sum(told) / len(told) if told else seen
            rate = max(old / 4, old + BLEND * (seen - old))
            pool = pool._replace(slot_rate=rate or None, span=timedelta(0), credit=0)
    return state._replace(pools=state.pools.set(pool.name, pool))


def wake(state: State) -> datetime | None:
    """When the next pending task becomes hopeless: the clock event to set.

    >>> wake(State()) is None
    True
    """
    return min(
        (
            t.deadline - expected(state, t)
            for p in state.pools.values()
            for line in p.pending.values()
            for t in line
        ),
        default=None,
    )


def fades(state: State) -> bool:
    """Whether there are words on load that are to count for less as they grow old.

    >>> fades(State()), fades(State(others=Map({'r': (2.0, None)})))
    (False, True)
    """
    return bool(state.others)


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


def retry_after(wait_ms: int) -> str:
    """The header for a refusal: whole seconds, rounded up.

    >>> retry_after(1200)
    '2'
    """
    return str(max(1, ceil(wait_ms / 1000)))
