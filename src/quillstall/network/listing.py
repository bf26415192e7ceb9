"""Listing: the replicas of pools whose policy does not declare them, as a list shows them at a time."""

from hashlib import blake2b
from typing import Any, NamedTuple

import cbor2


class Listing(NamedTuple):
    """The replicas by pool, as they stood at a time: an event for whoever keeps them.

    >>> Listing({'at': 1.0, 'pools': {}, 'digest': ''}).rows['at']
    1.0
    """

    rows: dict


def digest(pools: dict) -> str:
    """A short name of what a list says, the same wherever it is reckoned.

    >>> digest({}) == digest({}), digest({'p': {}}) == digest({})
    (True, False)
    """
    return blake2b(
        cbor2.dumps(
            sorted((p, sorted((r, sorted(v.items())) for r, v in rows.items())) for p, rows in pools.items())
        ),
        digest_size=8,
    ).hexdigest()


def newer(have: Any, rows: Any) -> bool:
    """Whether a list is news to someone who has another: it says something else, and is younger.

    >>> newer({'at': 1.0, 'digest': 'a'}, {'at': 2.0, 'digest': 'b'}), newer({'at': 3.0, 'digest': 'a'}, {'at': 2.0, 'digest': 'b'})
    (True, False)
    >>> newer({}, {'at': 2.0, 'digest': 'b'}), newer({}, {})
    (True, False)
    """
    if not rows:
        return False
    return not have or (have['digest'] != rows['digest'] and have['at'] < rows['at'])
