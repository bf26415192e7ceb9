"""Pending tasks: the order in which they are served, and when each is dropped."""

from datetime import datetime, timedelta

from quillstall.dataplane.admission import admission_state, refusal, service_time, throughput
from quillstall.dataplane.admission.admission_state import Pool, State, Task
from quillstall.dataplane.admission.refusal import NOT_IN_POLICY
from quillstall.runtime.effect import Count


def remove(state: State, pool: Pool, task: Task) -> State:
    """Return the state without a pending task."""
    queue = tuple(t for t in pool.pending[task.class_name] if t.name != task.name)
    pool = pool._replace(
        pending=pool.pending.set(task.class_name, queue) if queue else pool.pending.delete(task.class_name),
        tokens_by_class=pool.tokens_by_class.set(
            task.class_name, pool.tokens_by_class[task.class_name] - task.reserved_tokens
        ),
        pending_tokens=pool.pending_tokens - task.reserved_tokens,
    )
    return state._replace(pools=state.pools.set(pool.name, pool))


def next_class(state: State, pool: Pool, skip: set) -> str | None:
    """Return the class to serve next, None if none is pending: urgent ones first, then the one furthest below
    its share."""
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


def order(state: State, pool: Pool, class_name: str, effects: list) -> State:
    """Return the state with a class's queue switched to newest-first if it is deep, to first-in-first-out if it
    is shallow again."""
    queue = pool.pending.get(class_name, ())
    newest_first = pool.newest_first.get(class_name, False)
    settings = admission_state.settings(state)
    if queue and admission_state.mechanism_enabled(state, 'newest_first'):
        rate = throughput.drain_rate(state, pool, queue[0]) * throughput.share_of(state, pool, class_name)
        depth_s = pool.tokens_by_class.get(class_name, 0) / rate if rate > 0 else 3600.0
        deadline_s = state.policy['classes'][class_name]['deadline_ms'] / 1000
        if not newest_first and depth_s > settings['newest_first_at'] * deadline_s:
            newest_first = True
        elif newest_first and depth_s < settings['fifo_at'] * deadline_s:
            newest_first = False
    else:
        newest_first = False
    if newest_first != pool.newest_first.get(class_name, False):
        effects.append(Count('order.newest' if newest_first else 'order.fifo'))
        pool = pool._replace(newest_first=pool.newest_first.set(class_name, newest_first))
    return state._replace(pools=state.pools.set(pool.name, pool))


def overtaken(state: State, pool: Pool, class_name: str, now: datetime) -> list[Task]:
    """Return the pending tasks of a class that cannot be served in time at their position in the queue: what is
    ahead of each drains too late for its own service to end before its deadline.

    >>> from immutables import Map
    >>> from datetime import UTC
    >>> t = datetime(2026, 1, 1, tzinfo=UTC)
    >>> s = State(policy={'classes': {'c': {'share': 1}}, 'pools': {'p': {'replicas': {'r': {'slots': 1}}}}}, allocation={'r': 1})
    >>> queue = tuple(Task(f't{n}', 'r', 'c', 'p', 100, t + 4 * timedelta(seconds=1), t) for n in range(4))
    >>> pool = Pool('p', pending=Map({'c': queue}), newest_first=Map({'c': True}), slot_rate=100.0)
    >>> [task.name for task in overtaken(s, pool, 'c', t)]
    ['t0']
    """
    queue = pool.pending.get(class_name, ())
    if not queue:
        return []
    rate = throughput.drain_rate(state, pool, queue[0]) * throughput.share_of(state, pool, class_name)
    if rate <= 0:
        return []
    late, ahead = [], 0
    for task in reversed(queue) if pool.newest_first.get(class_name) else queue:
        wait = timedelta(seconds=min(3600.0, (ahead + task.reserved_tokens) / rate))
        if now + wait + service_time.expected(state, task) > task.deadline:
            late.append(task)
        else:
            ahead += task.reserved_tokens
    return late


def drop_overtaken(state: State, name: str, class_name: str, now: datetime, effects: list) -> State:
    """Refuse pending tasks as soon as it is known that they cannot be served in time."""
    for task in overtaken(state, state.pools[name], class_name, now):
        text = 'newer work goes first, and no time is left after it'
        state = drop(state, task, 'overtaken', text, now, effects)
    return state


def drop(state: State, task: Task, reason: str, text: str, now: datetime, effects: list) -> State:
    """Refuse a pending task for which no time is left; `reason` names its counter."""
    effects.append(Count(f'dropped.{reason}'))
    state = remove(state, state.pools[task.pool], task)
    return refusal.refuse(state, state.pools[task.pool], task, 'hopeless', now, effects, text)


def refuse_removed(state: State, now: datetime, effects: list) -> State:
    """Refuse pending tasks whose class or pool is not in the new policy."""
    for name in sorted(state.pools):
        for class_name in sorted(state.pools[name].pending):
            if admission_state.in_policy(state, name, class_name):
                continue
            for task in state.pools[name].pending.get(class_name, ()):
                state = remove(state, state.pools[name], task)
                state = refusal.refuse(state, None, task, 'no_replica', now, effects, NOT_IN_POLICY)
    return state


def drain(state: State, now: datetime, effects: list) -> State:
    """Refuse all pending tasks, and from now on each that arrives."""
    state = state._replace(draining=True)
    for name in sorted(state.pools):
        for class_name in sorted(state.pools[name].pending):
            for task in state.pools[name].pending.get(class_name, ()):
                state = remove(state, state.pools[name], task)
                state = refusal.refuse(state, None, task, 'draining', now, effects)
    return state


def next_expiry(state: State) -> datetime | None:
    """Return when the first pending task will no longer have time for its service, None if none is pending.

    >>> next_expiry(State()) is None
    True
    """
    return min(
        (
            task.deadline - service_time.expected(state, task)
            for pool in state.pools.values()
            for queue in pool.pending.values()
            for task in queue
        ),
        default=None,
    )
