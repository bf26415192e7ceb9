"""JSON from outside the fleet: operators, callers, replicas and the service that lists replicas.

What is accepted here is stored as CBOR, sent between processes as CBOR and written as JSON again, so a value that
one of these formats cannot hold is rejected as it comes in:

- text with half of a surrogate pair (`\\ud83d`), which no UTF-8 can hold;
- numbers that are NaN or infinite, as literals or by overflow (`1e999`), which JSON does not have;
- nesting deeper than MAX_DEPTH, which the CBOR decoder refuses.
"""

import json
import math
import re
from collections.abc import Callable
from typing import Any

from quillstall.runtime.errors import Fault

MAX_DEPTH = 200  # levels of nesting; half of what the CBOR decoder reads, as messages and rows add levels
SURROGATE_ESCAPE = re.compile(r'\\u[dD][89a-fA-F]')


def parse_number(text: str) -> float:
    """Return the float of a JSON number; raise ValueError if it is out of range.

    >>> parse_number('1.5')
    1.5
    >>> parse_number('1e999')
    Traceback (most recent call last):
    ValueError: 1e999 is out of range
    """
    number = float(text)
    if math.isinf(number):
        raise ValueError(f'{text} is out of range')
    return number


def reject_constant(constant: str) -> None:
    """Raise ValueError for NaN and Infinity, which Python's parser accepts and JSON does not have."""
    raise ValueError(f'{constant} is not valid in JSON')


def is_nested_too_deeply(value: Any) -> bool:
    """Return whether objects and lists are nested more than MAX_DEPTH levels deep.

    >>> is_nested_too_deeply([[1], {'a': []}])
    False
    """
    level = [value]
    for _ in range(MAX_DEPTH + 1):
        containers = [item for item in level if isinstance(item, (dict, list))]
        if not containers:
            return False
        level = [
            child for item in containers for child in (item.values() if isinstance(item, dict) else item)
        ]
    return True


def has_lone_surrogate(value: Any) -> bool:
    """Return whether a text or a key in a JSON value holds half of a surrogate pair.

    >>> has_lone_surrogate({'a': ['\\ud83d']}), has_lone_surrogate({'a': '\U0001f600'})
    (True, False)
    """
    try:
        json.dumps(value, ensure_ascii=False).encode()
    except UnicodeEncodeError:
        return True
    return False


def decode_text(data: bytes) -> str:
    """Return the text of a JSON document; raise UnicodeDecodeError if its encoding is invalid.

    >>> decode_text(b'{"a": 1}')
    '{"a": 1}'
    """
    return data.decode(json.detect_encoding(data))


def check_finite(value: Any) -> None:
    """Raise Fault 'invalid' if a JSON value holds an infinite number.

    >>> check_finite([1.5]); check_finite([float('inf')])
    Traceback (most recent call last):
    quillstall.runtime.errors.Fault: invalid: a number is out of range
    """
    try:
        json.dumps(value, allow_nan=False)
    except ValueError as e:
        raise Fault('invalid', 'a number is out of range') from e


def parse(data: bytes, object_pairs_hook: Callable[[list], Any] | None = None, finite: bool = True) -> Any:
    """Return the value of a JSON document; raise Fault 'bad_json' if it is none, or cannot be stored.

    Without `finite`, numbers out of range become infinite, and the caller checks the value with `check_finite`.

    >>> parse(b'{"a": ["\\\\ud83d\\\\ude00"]}')
    {'a': ['\U0001f600']}
    >>> parse(b'{"a": "\\\\ud83d"}')
    Traceback (most recent call last):
    quillstall.runtime.errors.Fault: bad_json: a text holds half of a surrogate pair
    """
    try:
        text = decode_text(data)
        value = json.loads(
            text,
            object_pairs_hook=object_pairs_hook,
            parse_constant=reject_constant,
            parse_float=parse_number if finite else float,
        )
    except (ValueError, RecursionError) as e:
        raise Fault('bad_json', str(e)) from e
    if text.count('[') + text.count('{') > MAX_DEPTH and is_nested_too_deeply(value):
        raise Fault('bad_json', f'nested more than {MAX_DEPTH} levels deep')
    if SURROGATE_ESCAPE.search(text) and has_lone_surrogate(value):
        raise Fault('bad_json', 'a text holds half of a surrogate pair')
    return value
