"""Which replica a task goes to."""

from collections.abc import Collection
from datetime import datetime
from zlib import crc32

from quillstall.dataplane.admission import admission_state
from quillstall.dataplane.admission.admission_state import State, Task
from quillstall.dataplane.admission.replica_health import ASIDE_MOST
from quillstall.replication.rendezvous import rank

RUN_TOKENS = 1600.0  # one more running request delays a turn as reading so many tokens does
FAR = 0.7  # another zone counts as this part of a running request


def assign(state: State, task: Task, now: datetime) -> str | None:
    """The replica for a task: where its conversation is warm, else where its shared prompt is,
    unless that one is fuller than the emptiest by more than the policy's slack."""
    slots = admission_state.slots_of(state, task.pool)
    free = {}
    for r, n in slots.items():
        used = state.used.get(r, 0)
        down = state.down.get(r)
        if used >= n or r in task.avoid or (down and now < down.until):
            continue
        if down and used:  # it failed lately: one task at a time until one goes well
            continue
        free[r] = used / n
    free = without_shunned(state, free, slots)
    if not free:
        return None
    if state.policy['pools'][task.pool].get('listed'):
        return (
            soonest(state, task, free)
            if admission_state.uses(state, 'predicted_end')
            else emptiest(task, free)
        )
    if task.prefer in free:
        return task.prefer
    least = min(free.values())
    slack = admission_state.rules(state)['warm_slack']
    for r in rank(task.warm or task.route, free):
        if free[r] <= least + slack:
            return r
    return None


def without_shunned(state: State, free: dict[str, float], pool: Collection[str]) -> dict[str, float]:
    """The free replicas without those that several nodes failed with lately. One that failed here too is tried
    by this node's own rule, so that somebody sees it recover; and no more of a pool is left alone than a part.

    >>> free = {'a': 0.0, 'b': 0.0, 'c': 0.0, 'd': 0.0}
    >>> sorted(without_shunned(State(shunned=frozenset('a')), free, free))
    ['b', 'c', 'd']
    >>> len(without_shunned(State(shunned=frozenset('ab')), free, free))
    4
    """
    shunned = [r for r in pool if r in state.shunned]
    if not shunned or len(shunned) > len(pool) * ASIDE_MOST:
        return free
    if not admission_state.uses(state, 'pooled_failures'):
        return free
    return {r: load for r, load in free.items() if r not in state.shunned or r in state.down} or free


def soonest(state: State, task: Task, free: dict) -> str:
    """Of these replicas the one where the task should end first: what runs and waits there slows it, what
    of its prompt was not read there must be read, and the way to another zone costs a little.

    >>> from immutables import Map
    >>> rows = {r: {'slots': 8, 'ready': True, 'zone': z} for r, z in (('a', 'x'), ('b', 'y'))}
    >>> s = State(listing={'pools': {'p': rows}}, used=Map({'a': 2}))
    >>> task = Task('t', 'r', 'c', 'p', 10, None, None, zone='x')
    >>> soonest(s, task, rows), soonest(s, task._replace(unread={'b': 9000}), rows)
    ('b', 'a')
    """
    rows = admission_state.replicas_of(state, task.pool) or state.listing['pools'][task.pool]
    memory, zones, warmth = (
        admission_state.uses(state, name) for name in ('prompt_memory', 'zones', 'warmth')
    )
    best, least = '', 0.0
    for r in sorted(free, key=lambda r: (r, task.name)):
        load = state.used.get(r, 0) + admission_state.elsewhere_of(state, r)
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
