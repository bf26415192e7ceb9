"""Keeps the newest failed requests with their attempts, so that each can be explained afterwards."""

from collections import deque
from datetime import datetime
from typing import Any, NamedTuple

from quillstall.runtime.clock import from_ms, ms
from quillstall.runtime.errors import Fault

MAX_FAILURES = 256
LOG_INTERVAL = from_ms(
    1000
)  # at most one log line per interval; the next line counts the failures in between


class Attempt(NamedTuple):
    """One failed attempt to have a replica serve a request.

    >>> Attempt('i-1', 12, 'lost', 'reset').as_text()
    'i-1 lost after 12 ms: reset'
    """

    replica: str
    after_ms: int  # since the request was read
    code: str
    text: str

    def as_text(self) -> str:
        """Return the attempt as it stands in a log line."""
        return f'{self.replica} {self.code} after {self.after_ms} ms: {self.text}'


class Failure(NamedTuple):
    """One request that did not succeed.

    >>> Failure('x1', '/a', 'shed', 'no room', 503, 9, ()).path
    '/a'
    """

    request: str
    path: str
    code: str
    text: str
    status: int  # 0: the connection to the caller was closed
    took_ms: int
    attempts: tuple[Attempt, ...]


class FailureLog:
    """The newest failed requests of one node."""

    def __init__(self, clock: Any, journal: Any):
        self.clock = clock
        self.journal = journal
        self.entries: deque[tuple[datetime, Failure]] = deque(maxlen=MAX_FAILURES)
        self.last_logged: datetime | None = None
        self.unlogged = 0

    def record(
        self, request: str, path: str, fault: Fault, status: int, start: datetime, attempts: list
    ) -> None:
        """Add a failure, and log it unless another was logged less than `LOG_INTERVAL` ago:
        `failures.record('x1', '/a', fault, 503, start, [])`."""
        now = self.clock.now()
        failure = Failure(request, path, fault.code, fault.text, status, ms(now - start), tuple(attempts))
        self.entries.append((self.clock.wall(), failure))
        if self.last_logged is not None and now - self.last_logged < LOG_INTERVAL:
            self.unlogged += 1
            return
        facts = {**failure._asdict(), 'attempts': [attempt.as_text() for attempt in attempts]}
        self.journal.note('request_failed', **facts, unlogged=self.unlogged)
        self.last_logged, self.unlogged = now, 0

    def as_json(self) -> list[dict]:
        """Return the failures as JSON objects, the newest last: `failures.as_json()`."""
        return [
            {
                'at': at.isoformat(),
                **failure._asdict(),
                'attempts': [attempt._asdict() for attempt in failure.attempts],
            }
            for at, failure in self.entries
        ]
