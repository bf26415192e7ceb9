"""Allocation of the replicas' slots to routing nodes by the core, in whole numbers."""

from quillstall.replication.rendezvous import score


def node_totals(slots: int, demand: dict[str, float]) -> dict[str, int]:
    """Return how many of a pool's slots each node should have: one half divided evenly, the other by demand.

    >>> node_totals(15, {'a': 0, 'b': 0})
    {'a': 8, 'b': 7}
    >>> node_totals(16, {'a': 30, 'b': 0})
    {'a': 12, 'b': 4}
    >>> sum(node_totals(2, {'a': 0, 'b': 0, 'c': 9}).values()), node_totals(2, {'a': 0, 'b': 0, 'c': 9})['c']
    (2, 1)
    """
    names = sorted(demand)
    if not names:
        return {}
    even = slots / 2 / len(names)
    total_demand = sum(demand.values())
    ideal = {
        n: even + (slots / 2) * (demand[n] / total_demand if total_demand > 0 else 1 / len(names))
        for n in names
    }
    totals = {n: int(ideal[n]) for n in names}
    remainder = slots - sum(totals.values())
    for n in sorted(names, key=lambda n: (-(ideal[n] - totals[n]), totals[n], n))[:remainder]:
        totals[n] += 1
    return totals


def allocate_replicas(slots: dict[str, int], totals: dict[str, int]) -> dict[str, dict[str, int]]:
    """Return each replica's slots by node, so that each replica's row adds up to its slots and each node's
    column to its total.

    >>> t = node_totals(32, {'a': 0, 'b': 0, 'c': 0})
    >>> d = allocate_replicas({'r1': 16, 'r2': 16}, t)
    >>> [sum(d[r].values()) for r in d], {n: d['r1'][n] + d['r2'][n] for n in t} == t
    ([16, 16], True)
    """
    all_slots = sum(slots.values())
    given = {n: 0 for n in totals}
    rows: dict[str, dict[str, int]] = {}
    slots_so_far = 0
    for r in sorted(slots):
        slots_so_far += slots[r]
        ideal = {
            n: max(0.0, totals[n] * slots_so_far / all_slots - given[n]) if all_slots else 0.0 for n in totals
        }
        row = {n: int(ideal[n]) for n in totals}
        remainder = slots[r] - sum(row.values())
        order = sorted(totals, key=lambda n: (-(ideal[n] - row[n]), score(r, n)))
        step = 0
        while remainder > 0 and order:
            n = order[step % len(order)]
            if given[n] + row[n] < totals[n] or step >= len(order):
                row[n] += 1
                remainder -= 1
            step += 1
        while remainder < 0:
            n = max(sorted(row), key=lambda n: row[n] - ideal[n])
            row[n] -= 1
            remainder += 1
        for n in totals:
            given[n] += row[n]
        rows[r] = row
    return rows


def grantable(slots: int, target: dict[str, int], held: dict[str, int]) -> dict[str, int]:
    """Return the slots of a replica that each node may use now. `held` is what each may still be using: a slot
    is granted only when no node holds it, so the sum never exceeds the replica's slots.

    >>> grantable(10, {'a': 2, 'b': 8}, {'a': 6, 'b': 4})
    {'a': 2, 'b': 4}
    >>> grantable(10, {'a': 2, 'b': 8}, {'a': 2, 'b': 4})
    {'a': 2, 'b': 8}
    """
    free = slots - sum(held.values())
    granted = {}
    for n in sorted(target):
        current = held.get(n, 0)
        added = max(0, min(target[n] - current, free))
        free -= added
        granted[n] = min(target[n], current + added)
    return granted
