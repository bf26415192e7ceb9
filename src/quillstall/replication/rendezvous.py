"""Rendezvous hashing: every node computes the same ranking of names for a key."""

from collections.abc import Iterable, Sequence
from functools import lru_cache
from hashlib import blake2b

MAX_CACHED_SCORES = 4096  # the same few names are ranked again and again


@lru_cache(maxsize=MAX_CACHED_SCORES)
def score(key: str, name: str) -> int:
    """Return the score of `name` for `key`.

    >>> score('a', 'n1') == score('a', 'n1') != score('a', 'n2')
    True
    """
    return int.from_bytes(blake2b(f'{key}\0{name}'.encode(), digest_size=8).digest(), 'big')


def rank(key: str, names: Iterable[str]) -> list[str]:
    """Return all names, the one with the highest score for the key first.

    >>> rank('k', ['a', 'b', 'c']) == rank('k', ['c', 'a', 'b'])
    True
    """
    return sorted(names, key=lambda name: (-score(key, name), name))


def rank_across_zones(key: str, zones: dict[str, str], first: Sequence[str] = ()) -> list[str]:
    """Return the names ranked for a key, after those in `first`, with the leading ones in different zones.

    >>> zones = {'a': 'z1', 'b': 'z1', 'c': 'z2'}
    >>> order = rank_across_zones('k', zones); zones[order[0]] != zones[order[1]]
    True
    >>> rank_across_zones('k', zones, first=['a'])[:2]
    ['a', 'c']
    """
    remaining = [name for name in rank(key, zones) if name not in first]
    ordered = list(first)
    while remaining:
        used_zones = [zones.get(name) for name in ordered]
        best = min(remaining, key=lambda name: used_zones.count(zones[name]))
        ordered.append(best)
        remaining.remove(best)
    return ordered


def partition_of(key: str, partitions: int) -> str:
    """Return the name of the partition that a key belongs to.

    >>> partition_of('program-1', 12) in [f'p{n:02d}' for n in range(12)]
    True
    """
    return f'p{score("part", key) % partitions:02d}'
