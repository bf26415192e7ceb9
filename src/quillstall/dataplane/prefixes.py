"""An index of the prompt parts that this node has sent to each replica, which the replica's prefix cache holds."""

from collections import OrderedDict

MAX_PARTS = 20_000


class PrefixIndex:
    """The prompt parts by replica. A part that more than one session has sent counts as cached on all replicas:
    there are few such parts, and every replica soon has them.

    >>> p = PrefixIndex(); p.record_sent('r1', 's1', (('a', 100), ('b', 20)))
    >>> p.uncached_tokens(['r1', 'r2'], 's1', (('a', 100), ('b', 20), ('c', 5)))
    {'r1': 5, 'r2': 125}
    >>> p.record_sent('r2', 's2', (('a', 100), ('d', 7)))
    >>> p.uncached_tokens(['r1', 'r2'], 's1', (('a', 100), ('b', 20), ('c', 5)))
    {'r1': 5, 'r2': 25}
    """

    def __init__(self, max_parts: int = MAX_PARTS):
        self.max_parts = max_parts
        self.replicas_by_part: OrderedDict[str, set] = OrderedDict()
        self.session_by_part: dict[str, str | None] = {}  # None where there are several

    def record_sent(self, replica: str, session: str, parts: tuple) -> None:
        """Record that a prompt with these parts, as (name, tokens), was sent to a replica."""
        for name, _ in parts:
            if name in self.replicas_by_part:
                self.replicas_by_part.move_to_end(name)
                if self.session_by_part[name] != session:
                    self.session_by_part[name] = None
            else:
                self.replicas_by_part[name], self.session_by_part[name] = set(), session
            self.replicas_by_part[name].add(replica)
        while len(self.replicas_by_part) > self.max_parts:
            name, _ = self.replicas_by_part.popitem(last=False)
            del self.session_by_part[name]

    def uncached_tokens(self, replicas: list, session: str, parts: tuple) -> dict[str, int]:
        """Return, by replica, the tokens of a prompt that its prefix cache does not hold."""
        uncached = dict.fromkeys(replicas, 0)
        with_prefix = set(replicas)  # those that have been sent every part so far
        for name, tokens in parts:
            if name in self.replicas_by_part and self.session_by_part[name] is None:
                continue
            sent_to = self.replicas_by_part.get(name, ())
            with_prefix &= set(sent_to)
            for replica in replicas:
                if replica not in with_prefix:
                    uncached[replica] += tokens
        return uncached
