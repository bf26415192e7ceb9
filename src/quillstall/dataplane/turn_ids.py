"""Encodes and decodes the ids of retained turns.

An id carries its program, the time when it was issued and its token count. So any routing node can
tell an expired turn from one that never existed, without a request to another process.
"""

from datetime import UTC, datetime
from typing import NamedTuple

from quillstall.runtime.errors import Fault

DIGITS = '0123456789abcdefghijklmnopqrstuvwxyz'


class TurnId(NamedTuple):
    """The fields of a turn id.

    >>> TurnId('p', datetime(2026, 1, 1, tzinfo=UTC), 5, 'r1', 'x').program
    'p'
    """

    program: str
    issued_at: datetime
    tokens: int
    replica: str
    suffix: str


def to_base36(number: int) -> str:
    """Return a non-negative integer in base 36.

    >>> to_base36(35), to_base36(36)
    ('z', '10')
    """
    text = ''
    while True:
        number, digit = divmod(number, 36)
        text = DIGITS[digit] + text
        if not number:
            return text


def encode(turn_id: TurnId) -> str:
    """Return the id as text.

    >>> encode(TurnId('p', datetime(2026, 1, 1, tzinfo=UTC), 14012, 'r1', 'ab'))
    'p~mjuohs00~at8~r1~ab'
    """
    issued_at = to_base36(int(turn_id.issued_at.timestamp() * 1000))
    return '~'.join((turn_id.program, issued_at, to_base36(turn_id.tokens), turn_id.replica, turn_id.suffix))


def decode(text: str) -> TurnId:
    """Return the fields of an id; raises Fault 'turn_unknown' for a text that no node can have issued.

    >>> decode('p~mjuohs00~at8~r1~ab').tokens
    14012
    >>> decode('nonsense')
    Traceback (most recent call last):
    quillstall.runtime.errors.Fault: turn_unknown: not an id of ours
    """
    try:
        program, issued_at, tokens, replica, suffix = text.split('~')
        return TurnId(
            program,
            datetime.fromtimestamp(int(issued_at, 36) / 1000, UTC),
            int(tokens, 36),
            replica,
            suffix,
        )
    except (ValueError, OverflowError, OSError) as e:
        raise Fault('turn_unknown', 'not an id of ours') from e
