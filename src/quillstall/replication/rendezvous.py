"""Rendezvous hashing: which of many names serve a key, the same answer on every node."""

from collections.abc import Iterable, Sequence
from functools import lru_cache
from hashlib import blake2b

MAX_CACHED_SCORES = 4096  # the same few names are ranked over and over


@lru_cache(maxsize=MAX_CACHED_SCORES)
def score(key: str, name: str) -> int:
    """How high `name` ranks for `key`.

    >>> score('a', 'n1') == score('a', 'n1') != score('a', 'n2')
    True
    """
    return int.from_bytes(blake2b(f'{key}\0{name}'.encode(), digest_size=8).digest(), 'big')


def rank(key: str, names: Iterable[str]) -> list[str]:
    """All names, the best for the key first.

    >>> rank('k', ['a', 'b', 'c']) == rank('k', ['c', 'a', 'b'])
    True
    """
    return sorted(names, key=lambda name: (-score(key, name), name))


def rank_across_zones(key: str, zones: dict[str, str], first: Sequence[str] = ()) -> list[str]:
    """Names ranked for a key so that the leading ones stand in different zones where they can.

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
    """The partition that a key lives in.

    >>> partition_of('program-1', 12) in [f'p{n:02d}' for n in range(12)]
    True
    """
    return f'p{score("part", key) % partitions:02d}'
