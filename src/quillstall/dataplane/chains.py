"""Chains: what this node has lately seen of conversations, so that it need not fetch them again."""

from collections import OrderedDict
from typing import NamedTuple

MOST_BYTES = 40 * 1024 * 1024


class Link(NamedTuple):
    """One turn that is kept: its program, the turn before it, its input and output.

    >>> Link('p', None, b'in').data
    b'in'
    """

    program: str
    previous: str | None
    data: bytes


class Chains:
    """The turns lately seen, the longest unused given up first. What is here has been kept by the stores.

    >>> c = Chains(most=9); c.put('a', Link('p', None, b'one')); c.put('b', Link('p', 'a', b'two'))
    >>> c.whole('b'), c.whole('x')
    (b'onetwo', None)
    >>> c.put('c', Link('p', 'b', b'three')); c.whole('c') is None, c.size
    (True, 8)
    """

    def __init__(self, most: int = MOST_BYTES):
        self.most = most
        self.size = 0
        self.links: OrderedDict[str, Link] = OrderedDict()

    def put(self, turn: str, link: Link) -> None:
        """Keep a turn in mind: `chains.put('t1', Link('p', None, b'...'))`."""
        old = self.links.pop(turn, None)
        if old:
            self.size -= len(old.data)
        self.links[turn] = link
        self.size += len(link.data)
        while self.size > self.most and self.links:
            _, gone = self.links.popitem(last=False)
            self.size -= len(gone.data)

    def program(self, turn: str) -> str | None:
        """Whose turn it is: `chains.program('t1')`."""
        link = self.links.get(turn)
        return link.program if link else None

    def whole(self, turn: str | None) -> bytes | None:
        """All that was said up to and with this turn, or None if not all of it is here."""
        out = []
        while turn is not None:
            link = self.links.get(turn)
            if link is None:
                return None
            self.links.move_to_end(turn)
            out.append(link.data)
            turn = link.previous
        return b''.join(reversed(out))
