"""Keyed operations of a gateway: each key runs once, and its repeats get the first run's answer.

A try claims its key in the store, under the name of its run, before anything is sent to a replica. A run that
certainly does not happen is given up there by name; a run that has ended leaves its answer.
"""

import asyncio
from datetime import datetime, timedelta
from typing import Any, NamedTuple

from tornado.httputil import HTTPHeaders

from quillstall.dataplane.dialect import Dialect, Request
from quillstall.runtime.clock import of_ms
from quillstall.runtime.errors import Fault

KEEPING_S = 120  # how long a key is kept where the policy does not say
STORE_WAIT = 0.45  # a claim waits for its store for this part of its time at most
WRITE_WAIT = of_ms(150)  # a caller's answer waits so long for what the store is to keep of it, then goes out
RUNNING_MOST = timedelta(seconds=30)  # a run that has not ended by then is not said to be at work any more
ASK_AGAIN_MS = 300


class WholeAnswer(NamedTuple):
    """A replica's answer with its whole body.

    >>> WholeAnswer(200, HTTPHeaders(), b'ok').status
    200
    """

    status: int
    headers: HTTPHeaders
    body: bytes


class KeyedOperations:
    """What a gateway keeps of keys, in the store."""

    def __init__(self, node: Any, dialect: Dialect):
        self.node = node
        self.ctx = node.ctx
        self.dialect = dialect

    async def claim(
        self, record: str, request: Request, run: str, start: datetime, deadline: datetime
    ) -> WholeAnswer | None:
        """Mark an operation as begun by this run, on all copies. The answer that is kept, if it has run.

        Faults: 'store_away', and this run does not happen; 'once_running' or 'outcome_unknown', and another
        run has the key.
        """
        keeping = timedelta(seconds=self.node.state.policy.get('once_keeping_s', KEEPING_S))
        until = (self.ctx.clock.wall() + keeping).timestamp()
        command = {'op': 'once_begin', 'key': record, 'digest': '', 'run': run, 'until': until}
        try:
            ret = await self.node.call_store(record, command, start + (deadline - start) * STORE_WAIT)
        except Fault as e:
            if e.code == 'store_away':  # the claim may have been taken
                await self.void(record, run)
            raise
        if ret['state'] == 'fresh':
            return None
        if ret['state'] == 'done':
            self.ctx.journal.count('once.replayed')
            return self.replay(ret['ret'], request)
        self.ctx.journal.count('once.unknown')
        # a copy of our claim may still be on its way: it must not begin anything once that other run is over
        self.give_up(record, run)
        if ret['age_s'] < RUNNING_MOST.total_seconds():
            raise Fault(
                'once_running', 'begun and not yet ended; ask again with the same key', wait_ms=ASK_AGAIN_MS
            )
        raise Fault('outcome_unknown', 'begun once, and how it ended is not known; it will not be run again')

    def replay(self, kept: list, request: Request) -> WholeAnswer:
        """The kept answer of another try, under the id of this one."""
        status, rows, body = kept
        headers = HTTPHeaders()
        for name, value in rows:
            headers.add(name, value)
        if self.dialect.request in headers:
            headers[self.dialect.request] = request.ident
        return WholeAnswer(status, headers, body)

    async def void(self, record: str, run: str) -> None:
        """Keep that an operation certainly did not run by us, so that its next try may. The caller's refusal
        waits for it, though not for long: at worst that next try hears for a while that it is at work."""
        await asyncio.wait((self.give_up(record, run),), timeout=WRITE_WAIT.total_seconds())

    def give_up(self, record: str, run: str) -> asyncio.Task:
        """Keep that this run certainly never happens, without anyone waiting for it."""
        command = {'op': 'once_end', 'key': record, 'run': run, 'void': True}
        return self.node.spawn(self.node.call_store_in_background(record, command))

    async def keep(self, record: str, run: str, answer: WholeAnswer) -> None:
        """Keep the answer of an operation for its repeats. That it was begun is kept already, so the answer
        need not wait long for this: at worst a repeat hears that it is at work."""
        rows = [list(header) for header in answer.headers.get_all()]
        command = {'op': 'once_end', 'key': record, 'run': run, 'ret': [answer.status, rows, answer.body]}
        work = self.node.spawn(self.node.call_store_in_background(record, command))
        await asyncio.wait((work,), timeout=WRITE_WAIT.total_seconds())
