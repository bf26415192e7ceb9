"""The rate at which reserved tokens drain, and the wait that follows from it."""

from datetime import datetime, timedelta

from quillstall.dataplane import ledger
from quillstall.dataplane.admission import admission_state, service_time
from quillstall.dataplane.admission.admission_state import SAMPLE_INTERVAL, Pool, State, Task

RATE_SMOOTHING = 0.3  # weight of the newest measured rate in the moving average


def drain_rate(state: State, pool: Pool, task: Task) -> float:
    """Return the tokens per second that this node's slots drain: the measured rate, else the policy's, else
    an estimate from the task's expected service time.

    >>> s = State(policy={'pools': {'p': {'replicas': {'r': {'slots': 4, 'tokens_per_s': 400.0}}}}}, allocation={'r': 2})
    >>> drain_rate(s, Pool('p'), Task('t', 'r', 'c', 'p', 10, None, None))
    200.0
    >>> drain_rate(s, Pool('p', slot_rate=7.0), Task('t', 'r', 'c', 'p', 10, None, None))
    14.0
    """
    slots = admission_state.slots_of(state, pool.name)
    replicas = admission_state.replicas_of(state, pool.name)
    if pool.slot_rate is not None and not has_declared_rate(state, pool):
        return pool.slot_rate * sum(slots.values())
    if pool.slot_rate is not None:
        return sum(
            n
            * min(
                pool.slot_rate,
                replicas[r]['tokens_per_s'] / replicas[r]['slots']
                if 'tokens_per_s' in replicas[r]
                else pool.slot_rate,
            )
            for r, n in slots.items()
        )
    prior = task.reserved_tokens / max(0.001, service_time.expected(state, task).total_seconds())
    return sum(
        n * (replicas[r]['tokens_per_s'] / replicas[r]['slots'] if 'tokens_per_s' in replicas[r] else prior)
        for r, n in slots.items()
    )


def has_declared_rate(state: State, pool: Pool) -> bool:
    """Return whether the policy declares a rate for this pool: it is a budget, and no measurement raises it.

    >>> s = State(policy={'pools': {'p': {'replicas': {'r': {'slots': 1, 'tokens_per_s': 4.0}}}}})
    >>> has_declared_rate(s, Pool('p')), has_declared_rate(State(), Pool('p'))
    (True, False)
    """
    return any('tokens_per_s' in v for v in admission_state.replicas_of(state, pool.name).values())


def with_doubled_rate(state: State, pool: Pool, task: Task) -> Pool:
    """Return the pool with twice its drain rate per slot, since the old one kept work waiting beside free slots.

    >>> with_doubled_rate(State(allocation={'r': 2}, policy={'pools': {'p': {'replicas': {'r': {}}}}}), Pool('p', slot_rate=7.0), None).slot_rate
    14.0
    """
    return pool._replace(
        slot_rate=drain_rate(state, pool, task) / sum(admission_state.slots_of(state, pool.name).values()) * 2
    )


def share_of(state: State, pool: Pool, class_name: str) -> float:
    """Return the fraction of the pool's drain rate that a class can count on: its share among the classes that
    have work. Capacity that other classes leave idle is borrowed.

    >>> from immutables import Map
    >>> s = State(policy={'classes': {'a': {'share': 60}, 'b': {'share': 20}}})
    >>> share_of(s, Pool('p'), 'a'), share_of(s, Pool('p', running=Map({'b': 1})), 'a')
    (1.0, 0.75)
    """
    classes = state.policy['classes']
    if classes[class_name].get('urgent'):
        return 1.0
    competing = [
        c
        for c in classes
        if c != class_name
        and not classes[c].get('urgent')
        and (pool.running.get(c, 0) or pool.pending.get(c))
    ]
    own_share = classes[class_name]['share']
    return own_share / (own_share + sum(classes[c]['share'] for c in competing))


def expected_wait(state: State, pool: Pool, task: Task) -> timedelta:
    """Return the wait as the paper defines it: the class's pending tokens and this task's reservation, divided
    by the rate at which they drain."""
    rate = drain_rate(state, pool, task) * share_of(state, pool, task.class_name)
    if rate <= 0:
        return timedelta(hours=1)
    ahead = pool.tokens_by_class.get(task.class_name, 0)
    if not state.policy['classes'][task.class_name].get('urgent'):
        ahead += sum(
            n
            for c, n in pool.tokens_by_class.items()
            if c != task.class_name and state.policy['classes'].get(c, {}).get('urgent')
        )
    return timedelta(seconds=min(3600.0, (ahead + task.reserved_tokens) / rate))


def fits(state: State, pool: Pool, task: Task, now: datetime) -> bool:
    """Return whether the pool's ledger of the last minute has room for the task's reservation."""
    budget = drain_rate(state, pool, task) * ledger.MINUTE
    last_minute = ledger.without_expired(pool.ledger, now)
    return last_minute.total == 0 or last_minute.total + task.reserved_tokens <= max(
        budget, task.reserved_tokens
    )


def measure(state: State, pool: Pool, elapsed: timedelta) -> State:
    """Return the state with the drain rate updated once a sample interval is complete, if the pool was
    saturated all that time."""
    slots = admission_state.slots_of(state, pool.name)
    if not pool.pending_tokens and not pool.drain_time and not pool.drained_tokens:
        return state
    saturated = pool.pending_tokens > 0 and all(state.used_slots.get(r, 0) >= n for r, n in slots.items())
    slot_free = any(state.used_slots.get(r, 0) < n for r, n in slots.items() if r not in state.ejections)
    if pool.pending_tokens and slot_free and not has_declared_rate(state, pool):
        # work waits beside free slots: the ledger blocks it, so the rate was measured too low
        pool = pool._replace(drain_time=pool.drain_time + elapsed, drained_tokens=0)
        if pool.drain_time >= SAMPLE_INTERVAL:
            task = next(queue[0] for queue in pool.pending.values())
            pool = with_doubled_rate(state, pool, task)._replace(drain_time=timedelta(0))
    elif not saturated or not sum(slots.values()):
        pool = pool._replace(drain_time=timedelta(0), drained_tokens=0)
    else:
        pool = pool._replace(drain_time=pool.drain_time + elapsed)
        if pool.drain_time >= SAMPLE_INTERVAL:
            measured = pool.drained_tokens / pool.drain_time.total_seconds() / sum(slots.values())
            old = pool.slot_rate
            if old is None:
                replicas = admission_state.replicas_of(state, pool.name)
                declared = [v['tokens_per_s'] / v['slots'] for v in replicas.values() if 'tokens_per_s' in v]
                old = sum(declared) / len(declared) if declared else measured
            rate = max(old / 4, old + RATE_SMOOTHING * (measured - old))
            pool = pool._replace(slot_rate=rate or None, drain_time=timedelta(0), drained_tokens=0)
    return state._replace(pools=state.pools.set(pool.name, pool))
