"""Selects the replica for a task."""

from collections.abc import Collection
from datetime import datetime
from zlib import crc32

from quillstall.dataplane.admission import admission_state
from quillstall.dataplane.admission.admission_state import State, Task
from quillstall.dataplane.admission.replica_health import MAX_EJECTED_FRACTION
from quillstall.replication.rendezvous import rank

REQUEST_COST_TOKENS = 1600.0  # one more running request delays a turn as much as this many uncached tokens
CROSS_ZONE_COST = 0.7  # cost of a replica in another zone, in running requests


def assign(state: State, task: Task, now: datetime) -> str | None:
    """Return the replica for a task, None if no slot is free. In a listed pool that is where the task should end
    first; else the replica with the conversation's prefix cached, or else the one with its shared prefix unless its
    utilization exceeds the lowest by more than the policy's slack."""
    slots = admission_state.slots_of(state, task.pool)
    free = {}
    for replica, slot_count in slots.items():
        used = state.used_slots.get(replica, 0)
        ejection = state.ejections.get(replica)
        if used >= slot_count or replica in task.excluded_replicas or (ejection and now < ejection.until):
            continue
        if ejection and used:  # after an ejection one task at a time, until one succeeds
            continue
        free[replica] = used / slot_count
    free = without_ejected(state, free, slots)
    if not free:
        return None
    if state.policy['pools'][task.pool].get('listed'):
        return (
            earliest_end(state, task, free)
            if admission_state.mechanism_enabled(state, 'predicted_end')
            else least_loaded(task, free)
        )
    if task.preferred_replica in free:
        return task.preferred_replica
    least = min(free.values())
    slack = admission_state.settings(state)['warm_slack']
    for replica in rank(task.shared_prefix or task.route, free):
        if free[replica] <= least + slack:
            return replica
    return None


def without_ejected(state: State, free: dict[str, float], pool: Collection[str]) -> dict[str, float]:
    """Return the free replicas without those that the core ejected. A replica that this node ejected itself
    stays, so that some node probes its recovery; if too large a fraction of the pool is ejected, all stay.

    >>> free = {'a': 0.0, 'b': 0.0, 'c': 0.0, 'd': 0.0}
    >>> sorted(without_ejected(State(ejected_by_core=frozenset('a')), free, free))
    ['b', 'c', 'd']
    >>> len(without_ejected(State(ejected_by_core=frozenset('ab')), free, free))
    4
    """
    ejected = [r for r in pool if r in state.ejected_by_core]
    if not ejected or len(ejected) > len(pool) * MAX_EJECTED_FRACTION:
        return free
    if not admission_state.mechanism_enabled(state, 'pooled_failures'):
        return free
    return {
        r: load for r, load in free.items() if r not in state.ejected_by_core or r in state.ejections
    } or free


def earliest_end(state: State, task: Task, free: dict) -> str:
    """Return the free replica where the task should end first, by a cost in tokens: the load there, the
    prompt tokens that are not cached there, and a penalty for another zone and for a cold start.

    >>> from immutables import Map
    >>> rows = {r: {'slots': 8, 'ready': True, 'zone': z} for r, z in (('a', 'x'), ('b', 'y'))}
    >>> s = State(listing={'pools': {'p': rows}}, used_slots=Map({'a': 2}))
    >>> task = Task('t', 'r', 'c', 'p', 10, None, None, zone='x')
    >>> earliest_end(s, task, rows), earliest_end(s, task._replace(uncached_tokens={'b': 9000}), rows)
    ('b', 'a')
    """
    rows = admission_state.replicas_of(state, task.pool) or state.listing['pools'][task.pool]
    count_uncached, count_zones, count_cold_start = (
        admission_state.mechanism_enabled(state, name) for name in ('prompt_memory', 'zones', 'warmth')
    )
    best, least = '', 0.0
    for replica in sorted(free, key=lambda replica: (replica, task.name)):
        load = state.used_slots.get(replica, 0) + admission_state.load_of_others(state, replica)
        slots = rows[replica]['slots']
        excess = max(0.0, load + 1 - slots)
        cost = (load + 3.0 * excess) * (REQUEST_COST_TOKENS if task.reserved_tokens > 1 else 1.0)
        cost += task.uncached_tokens.get(replica, 0) if count_uncached else 0
        if count_zones and rows[replica].get('zone') != task.zone:
            cost += REQUEST_COST_TOKENS * CROSS_ZONE_COST if task.reserved_tokens > 1 else CROSS_ZONE_COST
        if count_cold_start and rows[replica].get('cold'):
            cost += REQUEST_COST_TOKENS * slots
        cost += tie_breaker(task.name, replica)
        if not best or cost < least:
            best, least = replica, cost
    return best


def least_loaded(task: Task, free: dict[str, float]) -> str:
    """Return the replica with the lowest utilization by this node.

    >>> least_loaded(Task('t', 'r', 'c', 'p', 1, None, None), {'a': 0.5, 'b': 0.25})
    'b'
    """
    return min(free, key=lambda r: (free[r], tie_breaker(task.name, r)))


def tie_breaker(name: str, replica: str) -> float:
    """Return a small number that depends on request and replica, so that equal replicas are used evenly.

    A plain checksum is not enough: for every request the checksums of two replicas differ by the same bits,
    so some replicas would be chosen far more often than others.

    >>> 0 <= tie_breaker('t', 'r') < 0.5
    True
    >>> won = [min(('a', 'b', 'c'), key=lambda r: tie_breaker(f't{n}', r)) for n in range(300)]
    >>> all(80 <= won.count(r) <= 120 for r in 'abc')
    True
    """
    return mix_bits(crc32(f'{name} {replica}'.encode())) / 2**33


def mix_bits(number: int) -> int:
    """Return a 32-bit integer hash in which each input bit affects all output bits."""
    number = (number ^ number >> 16) * 0x7FEB352D & 0xFFFFFFFF
    number = (number ^ number >> 15) * 0x846CA68B & 0xFFFFFFFF
    return number ^ number >> 16
