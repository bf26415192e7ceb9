"""Packing: a large value as bytes that are made once and sent to many."""

import zlib
from typing import Any

import cbor2

LEVEL = 1  # of zlib: most of what there is to gain, at a small part of the time
POLICY = 'policy'
PACKED_POLICY = 'policy_packed'


def packed(value: Any) -> bytes:
    """A value as bytes.

    >>> data = packed({'routes': ['a'] * 9000}); len(data) < 200, unpacked(data)['routes'][0]
    (True, 'a')
    """
    return zlib.compress(cbor2.dumps(value), LEVEL)


def unpacked(data: bytes) -> Any:
    """The value that such bytes hold: `unpacked(data)`."""
    return cbor2.loads(zlib.decompress(data))


def with_unpacked_policy(news: dict) -> dict:
    """News of the core with its policy as a value, however it came.

    >>> with_unpacked_policy({'generation': 2, 'policy_packed': packed({'classes': {}})})
    {'generation': 2, 'policy': {'classes': {}}}
    >>> with_unpacked_policy({'generation': 2, 'policy': 1})
    {'generation': 2, 'policy': 1}
    """
    if PACKED_POLICY not in news:
        return news
    rest = {key: value for key, value in news.items() if key != PACKED_POLICY}
    return {**rest, POLICY: unpacked(news[PACKED_POLICY])}
