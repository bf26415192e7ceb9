"""Counters, and a bounded event log of state changes with their cause."""

from collections import Counter, deque
from typing import Any

from logbook import Logger

VIOLATED = 'invariant_violated'
MAX_NOTED_VIOLATIONS = 20  # logged violations of each invariant; later ones are only counted


class Journal:
    """The counters and the latest log lines of one process.

    >>> from quillstall.runtime.clock import SystemClock
    >>> j = Journal('a', SystemClock(), max_lines=2)
    >>> j.count('shed'); j.count('shed', 2); j.counts['shed']
    3
    >>> for n in range(3): j.note('epoch', epoch=n)
    >>> [e['epoch'] for e in j.lines]
    [1, 2]
    """

    def __init__(self, name: str, clock: Any, max_lines: int = 400):
        self.name = name
        self.clock = clock
        self.counts: Counter = Counter()
        self.lines: deque = deque(maxlen=max_lines)
        self.log = Logger(name)

    def violated(self, name: str, **facts: Any) -> None:
        """Count that an invariant does not hold, and log the first violations of each with their facts.

        >>> from quillstall.runtime.clock import SystemClock
        >>> j = Journal('a', SystemClock()); j.violated('sent_once', request='x1')
        >>> j.counts['invariant_violated.sent_once'], j.lines[0]['invariant'], j.lines[0]['request']
        (1, 'sent_once', 'x1')
        """
        counter = f'{VIOLATED}.{name}'
        self.count(counter)
        if self.counts[counter] <= MAX_NOTED_VIOLATIONS:
            self.note(VIOLATED, invariant=name, **facts)

    def count(self, name: str, amount: float = 1) -> None:
        """Add to a counter: `journal.count('probes')`."""
        self.counts[name] += amount

    def note(self, kind: str, **facts: Any) -> None:
        """Keep and log one state change: `journal.note('suspect', who='s1', cause='silent')`."""
        line = {'at': self.clock.wall().isoformat(), 'by': self.name, 'kind': kind, **facts}
        self.lines.append(line)
        try:
            self.log.info('{} {}', kind, ' '.join(f'{k}={v}' for k, v in facts.items()))
        except OSError:  # the log may be on a full disk; the line is kept in memory
            self.count('journal.unlogged')
