"""The rate at which tokens drain, and the wait that follows from it."""

from datetime import datetime, timedelta

from quillstall.dataplane import ledger
from quillstall.dataplane.admission import admission_state, service_time
from quillstall.dataplane.admission.admission_state import SAMPLE, Pool, State, Task

RATE_BLEND = 0.3  # how much the newest measured rate counts


def drain_rate(state: State, pool: Pool, task: Task) -> float:
    """Tokens a second that this node's slots work off: measured, or the policy's, or the prior.

    >>> s = State(policy={'pools': {'p': {'replicas': {'r': {'slots': 4, 'tokens_per_s': 400.0}}}}}, allot={'r': 2})
    >>> drain_rate(s, Pool('p'), Task('t', 'r', 'c', 'p', 10, None, None))
    200.0
    >>> drain_rate(s, Pool('p', slot_rate=7.0), Task('t', 'r', 'c', 'p', 10, None, None))
    14.0
    """
    slots = admission_state.slots_of(state, pool.name)
    spec = admission_state.replicas_of(state, pool.name)
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
    prior = task.hold / max(0.001, service_time.expected(state, task).total_seconds())
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
    return any('tokens_per_s' in v for v in admission_state.replicas_of(state, pool.name).values())


def doubled(state: State, pool: Pool, task: Task) -> Pool:
    """The pool with twice the rate a slot, measured or not: it held work back beside free slots.

    >>> doubled(State(allot={'r': 2}, policy={'pools': {'p': {'replicas': {'r': {}}}}}), Pool('p', slot_rate=7.0), None).slot_rate
    14.0
    """
    return pool._replace(
        slot_rate=drain_rate(state, pool, task) / sum(admission_state.slots_of(state, pool.name).values()) * 2
    )


def share_of(state: State, pool: Pool, cls: str) -> float:
    """The part of the pool's drain that a class can count on: its share among the classes that
    want any now. What the others leave idle is its to borrow.

    >>> from immutables import Map
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


def fits(state: State, pool: Pool, task: Task, now: datetime) -> bool:
    """Whether the ledger of the rolling minute takes the task's hold."""
    budget = drain_rate(state, pool, task) * ledger.MINUTE
    led = ledger.age(pool.ledger, now)
    return led.total == 0 or led.total + task.hold <= max(budget, task.hold)


def measure(state: State, pool: Pool, span: timedelta) -> State:
    """Blend what drained in the last second into the rate, if the pool was full all that time."""
    slots = admission_state.slots_of(state, pool.name)
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
                spec = admission_state.replicas_of(state, pool.name)
                told = [v['tokens_per_s'] / v['slots'] for v in spec.values() if 'tokens_per_s' in v]
                old = sum(told) / len(told) if told else seen
            rate = max(old / 4, old + RATE_BLEND * (seen - old))
            pool = pool._replace(slot_rate=rate or None, span=timedelta(0), credit=0)
    return state._replace(pools=state.pools.set(pool.name, pool))
