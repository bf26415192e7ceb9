"""Prefixes: which parts of prompts each replica has been sent by this node, and so need not read again."""

from collections import OrderedDict

MOST = 20_000


class Prefixes:
    """The parts by replica. A part that more than one session has brought counts as read everywhere:
    there are few of them, and each replica soon has them all.

    >>> p = Prefixes(); p.sent('r1', 's1', (('a', 100), ('b', 20)))
    >>> p.unread(['r1', 'r2'], 's1', (('a', 100), ('b', 20), ('c', 5)))
    {'r1': 5, 'r2': 125}
    >>> p.sent('r2', 's2', (('a', 100), ('d', 7)))
    >>> p.unread(['r1', 'r2'], 's1', (('a', 100), ('b', 20), ('c', 5)))
    {'r1': 5, 'r2': 25}
    """

    def __init__(self, most: int = MOST):
        self.most = most
        self.places: OrderedDict[str, set] = OrderedDict()
        self.owner: dict[str, str | None] = {}

    def sent(self, replica: str, session: str, parts: tuple) -> None:
        """A prompt with these parts went there: `prefixes.sent('r1', 's1', (('a', 100),))`."""
        for name, _ in parts:
            if name in self.places:
                self.places.move_to_end(name)
                if self.owner[name] != session:
                    self.owner[name] = None
            else:
                self.places[name], self.owner[name] = set(), session
            self.places[name].add(replica)
        while len(self.places) > self.most:
            name, _ = self.places.popitem(last=False)
            del self.owner[name]

    def unread(self, replicas: list, session: str, parts: tuple) -> dict[str, int]:
        """By replica, the tokens that it would have to read; see the class's example."""
        left = dict.fromkeys(replicas, 0)
        ahead = set(replicas)  # those that have had every part so far
        for name, tokens in parts:
            if name in self.places and self.owner[name] is None:
                continue
            have = self.places.get(name, ())
            ahead &= set(have)
            for replica in replicas:
                if replica not in ahead:
                    left[replica] += tokens
        return left
