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
    nodes = sorted(demand)
    if not nodes:
        return {}
    even = slots / 2 / len(nodes)
    total_demand = sum(demand.values())
    ideal = {
        node: even + (slots / 2) * (demand[node] / total_demand if total_demand > 0 else 1 / len(nodes))
        for node in nodes
    }
    totals = {node: int(ideal[node]) for node in nodes}
    remainder = slots - sum(totals.values())
    for node in sorted(nodes, key=lambda node: (-(ideal[node] - totals[node]), totals[node], node))[
        :remainder
    ]:
        totals[node] += 1
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
    given = {node: 0 for node in totals}
    rows: dict[str, dict[str, int]] = {}
    slots_so_far = 0
    for replica in sorted(slots):
        slots_so_far += slots[replica]
        ideal = {
            node: max(0.0, totals[node] * slots_so_far / all_slots - given[node]) if all_slots else 0.0
            for node in totals
        }
        row = {node: int(ideal[node]) for node in totals}
        remainder = slots[replica] - sum(row.values())
        order = sorted(totals, key=lambda node: (-(ideal[node] - row[node]), score(replica, node)))
        step = 0
        while remainder > 0 and order:
            node = order[step % len(order)]
            if given[node] + row[node] < totals[node] or step >= len(order):
                row[node] += 1
                remainder -= 1
            step += 1
        while remainder < 0:
            node = max(sorted(row), key=lambda node: row[node] - ideal[node])
            row[node] -= 1
            remainder += 1
        for node in totals:
            given[node] += row[node]
        rows[replica] = row
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
    for node in sorted(target):
        current = held.get(node, 0)
        added = max(0, min(target[node] - current, free))
        free -= added
        granted[node] = min(target[node], current + added)
    return granted
