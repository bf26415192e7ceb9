"""Notices that a process waits for something it cannot have yet. Imports little, so that it can be imported first."""

import time
from collections.abc import Callable

NOTICE_INTERVAL_S = 5.0


class WaitNotice:
    """Says what is waited for: at once, then at intervals for as long as it is waited for.

    >>> notice = WaitNotice(print); notice.waiting('the folder is locked'); notice.waiting('the folder is locked')
    the folder is locked; waiting for it
    """

    def __init__(self, say: Callable[[str], None], interval_s: float = NOTICE_INTERVAL_S):
        self.say = say
        self.interval_s = interval_s
        self.said_at: float | None = None

    def waiting(self, text: str) -> None:
        """Say that the process still waits, unless it said so a moment ago: `notice.waiting('it is held')`."""
        now = time.monotonic()
        if self.said_at is None or now - self.said_at >= self.interval_s:
            self.said_at = now
            self.say(f'{text}; waiting for it')
