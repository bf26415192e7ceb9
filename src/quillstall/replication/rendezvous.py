"""Rendezvous hashing: which of many names serve a key, the same answer on every node."""

from collections.abc import Iterable, Sequence
from functools import lru_cache
from hashlib import blake2b

SCORES_KEPT = 4096  # the same few names are ranked over and over


@lru_cache(maxsize=SCORES_KEPT)
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
    return sorted(names, key=lambda n: (-score(key, n), n))


def apart(key: str, zones: dict[str, str], first: Sequence[str] = ()) -> list[str]:
    """Names ranked for a key so that the leading ones stand in different zones where they can.

    >>> z = {'a': 'z1', 'b': 'z1', 'c': 'z2'}
    >>> p = apart('k', z); z[p[0]] != z[p[1]]
    True
    >>> apart('k', z, first=['a'])[:2]
    ['a', 'c']
    """
    left = [n for n in rank(key, zones) if n not in first]
    out = list(first)
    while left:
        used = [zones.get(n) for n in out]
        pick = min(left, key=lambda n: used.count(zones[n]))
        out.append(pick)
        left.remove(pick)
    return out


def part_of(key: str, parts: int) -> str:
    """The partition that a key lives in.

    >>> part_of('program-1', 12) in [f'p{n:02d}' for n in range(12)]
    True
    """
    return f'p{score("part", key) % parts:02d}'
