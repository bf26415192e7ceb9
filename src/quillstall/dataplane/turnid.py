"""Turnid: ids of kept turns. An id says its program, when it was given, and what it weighs, so any
routing node can tell an expired turn from one that never was, without asking anyone."""

from datetime import UTC, datetime
from typing import NamedTuple

from quillstall.runtime.errors import Fault

DIGITS = '0123456789abcdefghijklmnopqrstuvwxyz'


class TurnId(NamedTuple):
    """The parts of an id.

    >>> TurnId('p', datetime(2026, 1, 1, tzinfo=UTC), 5, 'r1', 'x').program
    'p'
    """

    program: str
    at: datetime
    tokens: int
    replica: str
    tail: str


def short(n: int) -> str:
    """A number in base 36.

    >>> short(35), short(36)
    ('z', '10')
    """
    out = ''
    while True:
        n, k = divmod(n, 36)
        out = DIGITS[k] + out
        if not n:
            return out


def write(ident: TurnId) -> str:
    """The id as text.

    >>> write(TurnId('p', datetime(2026, 1, 1, tzinfo=UTC), 14012, 'r1', 'ab'))
    'p~mjuohs00~at8~r1~ab'
    """
    at = short(int(ident.at.timestamp() * 1000))
    return '~'.join((ident.program, at, short(ident.tokens), ident.replica, ident.tail))


def read(text: str) -> TurnId:
    """The parts of an id; Fault 'turn_unknown' for what we can never have given.

    >>> read('p~mjuohs00~at8~r1~ab').tokens
    14012
    >>> read('nonsense')
    Traceback (most recent call last):
    quillstall.runtime.errors.Fault: turn_unknown: not an id of ours
    """
    try:
        program, at, tokens, replica, tail = text.split('~')
        return TurnId(
            program, datetime.fromtimestamp(int(at, 36) / 1000, UTC), int(tokens, 36), replica, tail
        )
    except (ValueError, OverflowError, OSError) as e:
        raise Fault('turn_unknown', 'not an id of ours') from e
