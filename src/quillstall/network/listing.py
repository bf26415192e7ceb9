"""Listing: the replicas of pools whose policy does not declare them, as a list shows them at a time.

The time is when the look-up began, on the steady clock of whoever holds the list. Machines' clocks differ,
so a message carries the list's age in its place.
"""

from datetime import datetime, timedelta
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


def to_wire(rows: dict, now: datetime) -> dict:
    """A list, or what is known of one, as a message carries it: its age in place of its time.

    >>> to_wire({'at': datetime.now().timestamp(), 'digest': 'a'}, datetime.now())['digest']
    'a'
    >>> to_wire({}, datetime.now())
    {}
    """
    if not rows:
        return {}
    age = now - datetime.fromtimestamp(rows['at'], now.tzinfo)
    rest = {key: value for key, value in rows.items() if key != 'at'}
    return {**rest, 'age_ms': age / timedelta(milliseconds=1)}


def from_wire(message: dict, then: datetime) -> dict:
    """A list as it came in a message; `then` is when its age was reckoned, or, to be sure that it is not
    taken for younger than it is, a time before that.

    >>> from_wire({'age_ms': 500, 'digest': 'a'}, datetime.fromtimestamp(10))
    {'digest': 'a', 'at': 9.5}
    """
    if not message:
        return {}
    rest = {key: value for key, value in message.items() if key != 'age_ms'}
    return {**rest, 'at': (then - timedelta(milliseconds=message['age_ms'])).timestamp()}


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
