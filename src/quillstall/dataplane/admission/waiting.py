"""Tasks that wait: their order, and when each is given up."""

from datetime import datetime, timedelta

from quillstall.dataplane.admission import admission_state, refusal, service_time, throughput
from quillstall.dataplane.admission.admission_state import Pool, State, Task
from quillstall.dataplane.admission.refusal import NO_PLACE
from quillstall.runtime.effect import Count


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


def order(state: State, pool: Pool, cls: str, out: list) -> State:
    """Turn to newest-first when a class's pending work is deep, back when it is shallow."""
    line = pool.pending.get(cls, ())
    newest = pool.newest.get(cls, False)
    rule = admission_state.rules(state)
    if line and admission_state.uses(state, 'newest_first'):
        rate = throughput.drain_rate(state, pool, line[0]) * throughput.share_of(state, pool, cls)
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


def overtaken(state: State, pool: Pool, cls: str, now: datetime) -> list[Task]:
    """The pending tasks of a class whose place in the order of serving can no longer be reached in time:
    what is served before each, and itself, drains too late for its own service to fit.

    >>> from immutables import Map
    >>> from datetime import UTC
    >>> t = datetime(2026, 1, 1, tzinfo=UTC)
    >>> s = State(policy={'classes': {'c': {'share': 1}}, 'pools': {'p': {'replicas': {'r': {'slots': 1}}}}}, allot={'r': 1})
    >>> line = tuple(Task(f't{n}', 'r', 'c', 'p', 100, t + 4 * timedelta(seconds=1), t) for n in range(4))
    >>> pool = Pool('p', pending=Map({'c': line}), newest=Map({'c': True}), slot_rate=100.0)
    >>> [task.name for task in overtaken(s, pool, 'c', t)]
    ['t0']
    """
    line = pool.pending.get(cls, ())
    if not line:
        return []
    rate = throughput.drain_rate(state, pool, line[0]) * throughput.share_of(state, pool, cls)
    if rate <= 0:
        return []
    out, ahead = [], 0
    for task in reversed(line) if pool.newest.get(cls) else line:
        wait = timedelta(seconds=min(3600.0, (ahead + task.hold) / rate))
        if now + wait + service_time.expected(state, task) > task.deadline:
            out.append(task)
        else:
            ahead += task.hold
    return out


def give_up(state: State, name: str, cls: str, now: datetime, out: list) -> State:
    """Refuse, at the moment it is known, what can no longer be reached in time."""
    for task in overtaken(state, state.pools[name], cls, now):
        text = 'newer work goes first, and no time is left after it'
        state = drop(state, task, 'overtaken', text, now, out)
    return state


def drop(state: State, task: Task, why: str, text: str, now: datetime, out: list) -> State:
    """Refuse a pending task that no time is left for; `why` is what it is counted under."""
    out.append(Count(f'dropped.{why}'))
    state = take(state, state.pools[task.pool], task)
    return refusal.refuse(state, state.pools[task.pool], task, 'hopeless', now, out, text)


def outlaw(state: State, now: datetime, out: list) -> State:
    """Pending tasks whose class or pool the new policy does not have are refused."""
    for name in sorted(state.pools):
        for cls in sorted(state.pools[name].pending):
            if admission_state.has_place(state, name, cls):
                continue
            for task in state.pools[name].pending.get(cls, ()):
                state = take(state, state.pools[name], task)
                state = refusal.refuse(state, None, task, 'no_replica', now, out, NO_PLACE)
    return state


def drain(state: State, now: datetime, out: list) -> State:
    """Refuse all that is pending; from now on refuse what arrives."""
    state = state._replace(draining=True)
    for name in sorted(state.pools):
        for cls in sorted(state.pools[name].pending):
            for task in state.pools[name].pending.get(cls, ()):
                state = take(state, state.pools[name], task)
                state = refusal.refuse(state, None, task, 'draining', now, out)
    return state


def wake(state: State) -> datetime | None:
    """When the next pending task becomes hopeless: the clock event to set.

    >>> wake(State()) is None
    True
    """
    return min(
        (
            t.deadline - service_time.expected(state, t)
            for p in state.pools.values()
            for line in p.pending.values()
            for t in line
        ),
        default=None,
    )
