"""A cache of turns that the stores retain, so that a node need not fetch a conversation again."""

from collections import OrderedDict
from typing import NamedTuple

MAX_BYTES = 40 * 1024 * 1024


class CachedTurn(NamedTuple):
    """A retained turn: its program, the turn before it, its input and output.

    >>> CachedTurn('p', None, b'in').data
    b'in'
    """

    program: str
    previous_turn: str | None
    data: bytes


class TurnCache:
    """A least-recently-used cache of retained turns. It holds only turns that the stores have acknowledged.

    >>> c = TurnCache(max_bytes=9); c.put('a', CachedTurn('p', None, b'one')); c.put('b', CachedTurn('p', 'a', b'two'))
    >>> c.conversation('b'), c.conversation('x')
    (b'onetwo', None)
    >>> c.put('c', CachedTurn('p', 'b', b'three')); c.conversation('c') is None, c.size_bytes
    (True, 8)
    """

    def __init__(self, max_bytes: int = MAX_BYTES):
        self.max_bytes = max_bytes
        self.size_bytes = 0
        self.turns: OrderedDict[str, CachedTurn] = OrderedDict()

    def put(self, turn_id: str, turn: CachedTurn) -> None:
        """Add or replace a turn and evict the least recently used ones above the size limit."""
        old = self.turns.pop(turn_id, None)
        if old:
            self.size_bytes -= len(old.data)
        self.turns[turn_id] = turn
        self.size_bytes += len(turn.data)
        while self.size_bytes > self.max_bytes and self.turns:
            _, evicted = self.turns.popitem(last=False)
            self.size_bytes -= len(evicted.data)

    def program_of(self, turn_id: str) -> str | None:
        """Return the program of a cached turn, or None."""
        turn = self.turns.get(turn_id)
        return turn.program if turn else None

    def conversation(self, turn_id: str | None) -> bytes | None:
        """Return the conversation up to and including a turn, or None if a turn of it is not cached."""
        pieces = []
        while turn_id is not None:
            turn = self.turns.get(turn_id)
            if turn is None:
                return None
            self.turns.move_to_end(turn_id)
            pieces.append(turn.data)
            turn_id = turn.previous_turn
        return b''.join(reversed(pieces))
