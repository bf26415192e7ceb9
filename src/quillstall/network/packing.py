"""Compression of large values that are encoded once and sent to many receivers."""

import zlib
from typing import Any

import cbor2

from quillstall.runtime.errors import Fault

COMPRESSION_LEVEL = 1  # zlib's fastest level reaches most of the possible compression
MAX_VALUE_BYTES = 64 * 1024 * 1024
POLICY_KEY = 'policy'
PACKED_POLICY_KEY = 'policy_packed'


def compress(value: Any) -> bytes:
    """Return a value as compressed CBOR.

    >>> data = compress({'routes': ['a'] * 9000}); len(data) < 200, decompress(data)['routes'][0]
    (True, 'a')
    """
    return zlib.compress(cbor2.dumps(value), COMPRESSION_LEVEL)


def decompress(data: bytes) -> Any:
    """Return the value that `compress` encoded. Raises Fault 'garbled' for other data, or a value that is too large.

    >>> decompress(b'other')
    Traceback (most recent call last):
    quillstall.runtime.errors.Fault: garbled: no compressed value
    """
    try:
        decompressor = zlib.decompressobj()
        encoded = decompressor.decompress(data, MAX_VALUE_BYTES)
        if not decompressor.eof:
            raise Fault('garbled', f'a value of over {MAX_VALUE_BYTES} bytes')
        return cbor2.loads(encoded)
    except (zlib.error, ValueError, cbor2.CBORDecodeError) as e:
        raise Fault('garbled', 'no compressed value') from e


def with_unpacked_policy(update: dict) -> dict:
    """Return a core update with its policy as a value, whether or not the policy came compressed.

    >>> with_unpacked_policy({'generation': 2, 'policy_packed': compress({'classes': {}})})
    {'generation': 2, 'policy': {'classes': {}}}
    >>> with_unpacked_policy({'generation': 2, 'policy': 1})
    {'generation': 2, 'policy': 1}
    """
    if PACKED_POLICY_KEY not in update:
        return update
    rest = {key: value for key, value in update.items() if key != PACKED_POLICY_KEY}
    return {**rest, POLICY_KEY: decompress(update[PACKED_POLICY_KEY])}
