"""Allot: how the core divides the replicas' slots among the routing nodes, in whole numbers."""

from quillstall.replication.rendezvous import score


def totals(slots: int, want: dict[str, float]) -> dict[str, int]:
    """How many of a pool's slots each node should have: half evenly, half by pressure.

    >>> totals(15, {'a': 0, 'b': 0})
    {'a': 8, 'b': 7}
    >>> totals(16, {'a': 30, 'b': 0})
    {'a': 12, 'b': 4}
    >>> sum(totals(2, {'a': 0, 'b': 0, 'c': 9}).values()), totals(2, {'a': 0, 'b': 0, 'c': 9})['c']
    (2, 1)
    """
    names = sorted(want)
    if not names:
        return {}
    even = slots / 2 / len(names)
    sum_want = sum(want.values())
    ideal = {n: even + (slots / 2) * (want[n] / sum_want if sum_want > 0 else 1 / len(names)) for n in names}
    out = {n: int(ideal[n]) for n in names}
    rest = slots - sum(out.values())
    for n in sorted(names, key=lambda n: (-(ideal[n] - out[n]), out[n], n))[:rest]:
        out[n] += 1
    return out


def lay(slots: dict[str, int], whole: dict[str, int]) -> dict[str, dict[str, int]]:
    """Each replica's slots by node, so that rows add up to its slots and columns to the totals.

    >>> t = totals(32, {'a': 0, 'b': 0, 'c': 0})
    >>> d = lay({'r1': 16, 'r2': 16}, t)
    >>> [sum(d[r].values()) for r in d], {n: d['r1'][n] + d['r2'][n] for n in t} == t
    ([16, 16], True)
    """
    sum_all = sum(slots.values())
    given = {n: 0 for n in whole}
    out: dict[str, dict[str, int]] = {}
    done = 0
    for r in sorted(slots):
        done += slots[r]
        ideal = {n: max(0.0, whole[n] * done / sum_all - given[n]) if sum_all else 0.0 for n in whole}
        row = {n: int(ideal[n]) for n in whole}
        rest = slots[r] - sum(row.values())
        order = sorted(whole, key=lambda n: (-(ideal[n] - row[n]), score(r, n)))
        step = 0
        while rest > 0 and order:
            n = order[step % len(order)]
            if given[n] + row[n] < whole[n] or step >= len(order):
                row[n] += 1
                rest -= 1
            step += 1
        while rest < 0:
            n = max(sorted(row), key=lambda n: row[n] - ideal[n])
            row[n] -= 1
            rest += 1
        for n in whole:
            given[n] += row[n]
        out[r] = row
    return out


def trade(slots: int, target: dict[str, int], held: dict[str, int]) -> dict[str, int]:
    """What each node may use now. `held` is what it may still be using: a slot is given on only
    from what nobody holds, so the sum never exceeds the replica's slots.

    >>> trade(10, {'a': 2, 'b': 8}, {'a': 6, 'b': 4})
    {'a': 2, 'b': 4}
    >>> trade(10, {'a': 2, 'b': 8}, {'a': 2, 'b': 4})
    {'a': 2, 'b': 8}
    """
    free = slots - sum(held.values())
    out = {}
    for n in sorted(target):
        have = held.get(n, 0)
        more = max(0, min(target[n] - have, free))
        free -= more
        out[n] = min(target[n], have + more)
    return out
