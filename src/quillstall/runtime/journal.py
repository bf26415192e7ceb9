"""Journal: counters first, and a bounded list of changes of state with their cause."""

from collections import Counter, deque
from typing import Any

from logbook import Logger

VIOLATED = 'invariant_violated'
MAX_NOTED_VIOLATIONS = 20  # of each invariant; later ones are only counted


class Journal:
    """What one process counts and notes.

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
        """Count that an invariant does not hold, and note the first times with what is known of it.

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
        """Keep and log one change of state: `journal.note('suspect', who='s1', cause='silent')`."""
        line = {'at': self.clock.wall().isoformat(), 'by': self.name, 'kind': kind, **facts}
        self.lines.append(line)
        try:
            self.log.info('{} {}', kind, ' '.join(f'{k}={v}' for k, v in facts.items()))
        except OSError:  # the log may lie on the disk that is full; the line is kept above
            self.count('journal.unlogged')
