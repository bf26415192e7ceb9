"""Failures: what is known of the requests that ended otherwise than well, so that each can be explained afterwards."""

from collections import deque
from datetime import datetime
from typing import Any, NamedTuple

from quillstall.runtime.clock import ms, of_ms
from quillstall.runtime.errors import Fault

KEPT_MOST = 256
LOG_EVERY = of_ms(1000)  # one line at most in so long; the others are counted in the next


class Attempt(NamedTuple):
    """One offer of a request to a replica that failed.

    >>> Attempt('i-1', 12, 'lost', 'reset').said()
    'i-1 lost after 12 ms: reset'
    """

    replica: str
    after_ms: int  # since the request was read
    code: str
    text: str

    def said(self) -> str:
        """The attempt as a part of a line."""
        return f'{self.replica} {self.code} after {self.after_ms} ms: {self.text}'


class Failure(NamedTuple):
    """One request that ended otherwise than well.

    >>> Failure('x1', '/a', 'shed', 'no room', 503, 9, ()).path
    '/a'
    """

    request: str
    path: str
    code: str
    text: str
    status: int  # 0: its connection was cut
    took_ms: int
    attempts: tuple[Attempt, ...]


class Failures:
    """The newest failures of one node."""

    def __init__(self, clock: Any, journal: Any):
        self.clock = clock
        self.journal = journal
        self.rows: deque[tuple[datetime, Failure]] = deque(maxlen=KEPT_MOST)
        self.logged: datetime | None = None
        self.unlogged = 0

    def keep(self, request: str, path: str, fault: Fault, status: int, start: datetime, trail: list) -> None:
        """Keep one, and log it if none was logged just now: `failures.keep('x1', '/a', fault, 503, start, [])`."""
        now = self.clock.now()
        failure = Failure(request, path, fault.code, fault.text, status, ms(now - start), tuple(trail))
        self.rows.append((self.clock.wall(), failure))
        if self.logged is not None and now - self.logged < LOG_EVERY:
            self.unlogged += 1
            return
        facts = {**failure._asdict(), 'attempts': [attempt.said() for attempt in trail]}
        self.journal.note('request_failed', **facts, unlogged=self.unlogged)
        self.logged, self.unlogged = now, 0

    def shown(self) -> list[dict]:
        """The failures as JSON shows them, the newest last: `failures.shown()`."""
        return [
            {'at': at.isoformat(), **row._asdict(), 'attempts': [a._asdict() for a in row.attempts]}
            for at, row in self.rows
        ]
