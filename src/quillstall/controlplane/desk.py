"""Desk: the operators' HTTP interface of a control-plane process.

Whatever depends on the fleet's state is answered by the primary, after its backups have confirmed that
it still leads. A process that cannot have that answer in time says that the outcome is unknown; it never
answers from what it last knew.
"""

import asyncio
import json
from collections.abc import Awaitable
from datetime import timedelta
from typing import Any

from quillstall.runtime import metrics
from quillstall.runtime.clock import from_ms
from quillstall.runtime.errors import Fault
from quillstall.runtime.process import Context, ReducerRunner

LIMIT = from_ms(8000)  # a change may have to wait until old leases have run out
READ_LIMIT = from_ms(700)  # a question waits for confirmations only
READS = ('show',)
PLACES = {
    ('GET', '/v1/policy'): 'show',
    ('PUT', '/v1/policy'): 'apply',
    ('PATCH', '/v1/policy'): 'apply',
    ('POST', '/v1/leaving'): 'leaving',
    ('POST', '/v1/retire'): 'retire',
    ('POST', '/v1/swap'): 'swap',
    ('GET', '/v1/status'): 'status',
    ('GET', '/v1/journal'): 'journal',
    ('GET', '/v1/counters'): 'counters',
}


def body_of(call: Any) -> Any:
    """The JSON body of a request: `body_of(call)`."""
    try:
        return json.loads(call.body)
    except ValueError as e:
        raise Fault('bad_json', str(e)) from e


class Desk:
    """Answers operators; what only the primary can do is handed over to it."""

    def __init__(self, ctx: Context, host: ReducerRunner):
        self.ctx = ctx
        self.host = host

    async def serve(self, call: Any, out: Any) -> None:
        """One request, from its line to its answer: `await desk.serve(call, out)`."""
        path = call.path.partition('?')[0]
        if path == '/metrics' and call.method == 'GET':
            gauges = {'sync_ms': self.ctx.disk.sync_ms or 0.0, 'unsynced': len(self.host.unsynced)}
            data = metrics.exposition(self.ctx.journal.counts, gauges)
            await out.raw(200, data, metrics.CONTENT_TYPE)
            return
        try:
            kind = PLACES.get((call.method, path))
            if kind is None:
                other = any(p == path for _, p in PLACES)
                raise Fault('wrong_method' if other else 'not_found', f'{call.method} {path}')
            ret = await self.work(kind, call)
        except Fault as e:
            heads = {'Retry-After': '1'} if e.status == 503 else {}
            await out.whole(e.status, e.problem(path), heads)
            return
        gen = ret.get('policy_generation', ret.get('generation'))
        await out.whole(200, ret, {'ETag': f'"{gen}"'} if gen is not None else {})

    async def work(self, kind: str, call: Any) -> dict:
        if kind == 'counters':
            return {
                'ok': True,
                'counters': dict(sorted(self.ctx.journal.counts.items())),
                'syncs': self.ctx.disk.syncs,
            }
        if kind == 'journal':
            return {'ok': True, 'lines': list(self.ctx.journal.lines)}
        if kind == 'status':
            return {
                **await self.host.handle({'k': 'status'}),
                'now': self.ctx.clock.wall().isoformat(),
                'disk': {'syncs': self.ctx.disk.syncs, 'sync_ms': self.ctx.disk.sync_ms},
            }
        if self.ctx.startup['role'] != 'core':
            raise Fault('not_found', 'this is a store; ask a core process')
        message: dict[str, Any] = {'k': kind}
        if kind == 'apply':
            tag = call.headers.get('if-match', '').strip().strip('"')
            if tag and not (tag.isdigit() or tag == '*'):
                raise Fault('bad_header', 'If-Match must be the number of a generation')
            message.update(
                body=body_of(call),
                partial=call.method == 'PATCH',
                base=int(tag) if tag.isdigit() else None,
                id=call.headers.get('x-request-id'),
            )
        elif kind == 'leaving':
            body = body_of(call)
            names = body.get('replicas') if isinstance(body, dict) else None
            if not isinstance(names, list) or not all(isinstance(n, str) for n in names):
                raise Fault('invalid', 'see findings', (('replicas', 'must be a list of names'),))
            message.update(replicas=names, back=bool(body.get('back')), id=call.headers.get('x-request-id'))
        elif kind in ('retire', 'swap'):
            body = body_of(call)
            if not isinstance(body, dict) or not isinstance(body.get('name'), str):
                raise Fault('invalid', 'see findings', (('name', 'must be a text'),))
            message.update({k: v for k, v in body.items() if k in ('name', 'by') and isinstance(v, str)})
        return await self.primary(message)

    async def primary(self, message: dict) -> dict:
        """The primary's return, wherever it sits: `await desk.primary({'k': 'show'})`."""
        return await within(READ_LIMIT if message['k'] in READS else LIMIT, self.ask_primary(message))

    async def ask_primary(self, message: dict) -> dict:
        """As `primary`, for as long as the caller waits."""
        ret = await self.host.handle(message)
        at = ret.get('more', {}).get('at') if ret.get('fault') == 'core_away' else None
        if at and at != self.ctx.startup['address']:
            return await self.forward(at, message)
        if 'fault' in ret:
            raise Fault.unpack(ret)
        return ret

    async def forward(self, address: str, message: dict) -> dict:
        """The return of the process that is thought to be the primary. The request goes on if its caller
        stops waiting: a link on which one answer takes long is not closed for that."""
        work = asyncio.ensure_future(self.ctx.net.ask(address, message, LIMIT))
        self.host.tasks.add(work)
        work.add_done_callback(self.forwarded)
        try:
            return await asyncio.shield(work)
        except asyncio.CancelledError as e:
            if not work.cancelled() or asyncio.current_task().cancelling():
                raise
            raise Fault('outcome_unknown', 'this process stops; ask again with the same X-Request-Id') from e
        except Fault as e:
            if e.code == 'unreachable':
                raise Fault('core_away', 'the primary cannot be reached') from e
            if e.code in ('lost', 'slow'):
                raise Fault('outcome_unknown', 'ask again with the same X-Request-Id') from e
            raise

    def forwarded(self, work: asyncio.Future) -> None:
        """A forwarded request has ended, perhaps after its caller went."""
        self.host.tasks.discard(work)
        if not work.cancelled() and work.exception() is not None:
            self.ctx.journal.count('forward.failed')


async def within(limit: timedelta, work: Awaitable[dict]) -> dict:
    """What work returns, or Fault 'outcome_unknown' if that takes longer: `await within(LIMIT, work)`."""
    try:
        async with asyncio.timeout(limit.total_seconds()):
            return await work
    except TimeoutError as e:
        raise Fault('outcome_unknown', 'no answer was confirmed in time; ask again') from e
