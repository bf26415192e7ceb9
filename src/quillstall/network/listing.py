"""Lists of the replicas in pools whose policy does not declare them, each with the time of its lookup.

The time is when the lookup began, on the monotonic clock of the process that holds the list. The clocks of
machines differ, so a message carries the age of the list instead.
"""

from datetime import datetime, timedelta
from hashlib import blake2b
from typing import Any, NamedTuple

import cbor2


class Listing(NamedTuple):
    """An event that carries the replicas of each pool as they were at a time.

    >>> Listing({'at': 1.0, 'pools': {}, 'digest': ''}).rows['at']
    1.0
    """

    rows: dict


def digest(pools: dict) -> str:
    """Return a short hash of a list's contents that is the same in every process.

    >>> digest({}) == digest({}), digest({'p': {}}) == digest({})
    (True, False)
    """
    return blake2b(
        cbor2.dumps(
            sorted(
                (pool, sorted((replica, sorted(row.items())) for replica, row in replicas.items()))
                for pool, replicas in pools.items()
            )
        ),
        digest_size=8,
    ).hexdigest()


def to_wire(rows: dict, now: datetime) -> dict:
    """Return a list, or a summary of one, with its age in place of its time.

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


def from_wire(message: dict, measured_at: datetime) -> dict:
    """Return a list from a message, with its time in place of its age.

    `measured_at` is when the age was measured. A receiver passes a time that is certainly not later, such as
    when it sent its request, so that the list is never taken for newer than it is.

    >>> from_wire({'age_ms': 500, 'digest': 'a'}, datetime.fromtimestamp(10))
    {'digest': 'a', 'at': 9.5}
    """
    if not message:
        return {}
    rest = {key: value for key, value in message.items() if key != 'age_ms'}
    return {**rest, 'at': (measured_at - timedelta(milliseconds=message['age_ms'])).timestamp()}


def is_newer(current: Any, candidate: Any) -> bool:
    """Return whether the candidate list differs from the current one and is newer.

    >>> is_newer({'at': 1.0, 'digest': 'a'}, {'at': 2.0, 'digest': 'b'}), is_newer({'at': 3.0, 'digest': 'a'}, {'at': 2.0, 'digest': 'b'})
    (True, False)
    >>> is_newer({}, {'at': 2.0, 'digest': 'b'}), is_newer({}, {})
    (True, False)
    """
    if not candidate:
        return False
    return not current or (current['digest'] != candidate['digest'] and current['at'] < candidate['at'])
