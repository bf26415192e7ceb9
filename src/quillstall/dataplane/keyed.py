"""Keyed operations: each idempotency key runs once, and its retries get the response of that run.

An attempt claims its key in the store, under its run id, before anything is sent to a replica. A run that
certainly does not happen is marked so in the store, by its id; a run that has ended stores its response.
"""

import asyncio
from datetime import datetime, timedelta
from typing import Any, NamedTuple

from tornado.httputil import HTTPHeaders

from quillstall.dataplane.dialect import Dialect, Request
from quillstall.runtime.clock import from_ms
from quillstall.runtime.errors import Fault

DEFAULT_RETENTION_S = 120
STORE_WAIT_FRACTION = 0.45  # of the request's time: the longest wait for the store at a claim
STORE_WRITE_TIMEOUT = from_ms(150)  # the longest delay of a response by the write of its record to the store
MAX_RUNNING_TIME = timedelta(seconds=30)  # after this a run without an end has an unknown outcome
RETRY_AFTER_MS = 300


class CompleteResponse(NamedTuple):
    """A replica's response with its whole body.

    >>> CompleteResponse(200, HTTPHeaders(), b'ok').status
    200
    """

    status: int
    headers: HTTPHeaders
    body: bytes


class KeyedOperations:
    """A gateway's access to the records of idempotency keys in the stores."""

    def __init__(self, node: Any, dialect: Dialect):
        self.node = node
        self.ctx = node.ctx
        self.dialect = dialect

    async def claim(
        self, record_key: str, request: Request, run_id: str, start: datetime, deadline: datetime
    ) -> CompleteResponse | None:
        """Claim a key for this run on all copies; return the stored response if the operation has run.

        Raises Fault 'store_away' (this run does not happen), 'once_running' or 'outcome_unknown' (another
        run holds the key).
        """
        retention = timedelta(seconds=self.node.state.policy.get('once_keeping_s', DEFAULT_RETENTION_S))
        expires_at = (self.ctx.clock.wall() + retention).timestamp()
        command = {'op': 'once_begin', 'key': record_key, 'digest': '', 'run': run_id, 'until': expires_at}
        try:
            reply = await self.node.call_store(
                record_key, command, start + (deadline - start) * STORE_WAIT_FRACTION
            )
        except Fault as e:
            if e.code == 'store_away':  # the claim may have been applied
                await self.release(record_key, run_id)
            raise
        if reply['state'] == 'fresh':
            return None
        if reply['state'] == 'done':
            self.ctx.journal.count('once.replayed')
            return self.replay(reply['ret'], request)
        self.ctx.journal.count('once.unknown')
        # A duplicate of our claim may still be in flight: it must not start a run once the other has ended.
        self.send_release(record_key, run_id)
        if reply['age_s'] < MAX_RUNNING_TIME.total_seconds():
            raise Fault(
                'once_running',
                'the operation is still running; retry with the same key',
                wait_ms=RETRY_AFTER_MS,
            )
        raise Fault(
            'outcome_unknown',
            'the operation was started and its outcome is unknown; it will not be run again',
        )

    def replay(self, stored: list, request: Request) -> CompleteResponse:
        """Return the stored response of an earlier attempt, with the request id of this one."""
        status, rows, body = stored
        headers = HTTPHeaders()
        for name, value in rows:
            headers.add(name, value)
        if self.dialect.request_id in headers:
            headers[self.dialect.request_id] = request.request_id
        return CompleteResponse(status, headers, body)

    async def release(self, record_key: str, run_id: str) -> None:
        """Record that this run did not happen, so that the next attempt may run; wait a bounded time for it.

        If the store answers later, a retry gets 'once_running' until then.
        """
        await asyncio.wait(
            (self.send_release(record_key, run_id),), timeout=STORE_WRITE_TIMEOUT.total_seconds()
        )

    def send_release(self, record_key: str, run_id: str) -> asyncio.Task:
        """Start a background task that records that this run never happens; return the task."""
        command = {'op': 'once_end', 'key': record_key, 'run': run_id, 'void': True}
        return self.node.spawn(self.node.call_store_in_background(record_key, command))

    async def save_response(self, record_key: str, run_id: str, response: CompleteResponse) -> None:
        """Store the response of an operation for its retries, and wait a bounded time for it.

        The claim is stored already: if the store answers later, a retry gets 'once_running' until then.
        """
        rows = [list(header) for header in response.headers.get_all()]
        command = {
            'op': 'once_end',
            'key': record_key,
            'run': run_id,
            'ret': [response.status, rows, response.body],
        }
        work = self.node.spawn(self.node.call_store_in_background(record_key, command))
        await asyncio.wait((work,), timeout=STORE_WRITE_TIMEOUT.total_seconds())
