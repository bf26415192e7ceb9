"""The admin API: the HTTP interface of a control-plane process to operators.

Whatever depends on the fleet's state is answered by the primary, after its backups have confirmed that it is still
the primary. A process that cannot get that answer in time reports that the outcome is unknown; it never answers
from a state that may be stale.
"""

import asyncio
from collections.abc import Awaitable
from datetime import timedelta
from typing import Any

from quillstall.network import json_input
from quillstall.network.header_numbers import whole_number
from quillstall.runtime import metrics
from quillstall.runtime.clock import from_ms
from quillstall.runtime.errors import Fault
from quillstall.runtime.process import Context, ReducerRunner

CHANGE_TIMEOUT = from_ms(8000)  # a change may have to wait until old leases have expired
READ_TIMEOUT = from_ms(700)  # a read waits for the confirmations of backups only
READS = ('show',)
OPERATIONS = {
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


class AdminApi:
    """Handles operators' requests, and forwards to the primary those that need it."""

    def __init__(self, ctx: Context, host: ReducerRunner):
        self.ctx = ctx
        self.host = host

    async def serve(self, request: Any, response: Any) -> None:
        """Handle one request and write its response, which is a problem document if a Fault is raised."""
        path = request.path.partition('?')[0]
        if path == '/metrics' and request.method == 'GET':
            gauges = {'sync_ms': self.ctx.disk.sync_ms or 0.0, 'unsynced': len(self.host.unsynced)}
            data = metrics.exposition(self.ctx.journal.counts, gauges)
            await response.respond_bytes(200, data, metrics.CONTENT_TYPE)
            return
        try:
            operation = OPERATIONS.get((request.method, path))
            if operation is None:
                path_exists = any(p == path for _, p in OPERATIONS)
                raise Fault('wrong_method' if path_exists else 'not_found', f'{request.method} {path}')
            reply = await self.handle(operation, request)
        except Fault as e:
            headers = {'Retry-After': '1'} if e.status == 503 else {}
            await response.respond(e.status, e.problem(path), headers)
            return
        generation = reply.get('policy_generation', reply.get('generation'))
        await response.respond(200, reply, {'ETag': f'"{generation}"'} if generation is not None else {})

    async def handle(self, operation: str, request: Any) -> dict:
        """Return the reply to an operation: of this process itself, or of the primary for the policy and members."""
        if operation == 'counters':
            return {
                'ok': True,
                'counters': dict(sorted(self.ctx.journal.counts.items())),
                'syncs': self.ctx.disk.syncs,
            }
        if operation == 'journal':
            return {'ok': True, 'lines': list(self.ctx.journal.lines)}
        if operation == 'status':
            return {
                **await self.host.handle({'k': 'status'}),
                'now': self.ctx.clock.wall().isoformat(),
                'disk': {'syncs': self.ctx.disk.syncs, 'sync_ms': self.ctx.disk.sync_ms},
            }
        if self.ctx.startup['role'] != 'core':
            raise Fault('not_found', 'this is a store; ask a core process')
        message: dict[str, Any] = {'k': operation}
        if operation == 'apply':
            etag = request.headers.get('if-match', '').strip().strip('"')
            base = whole_number(etag)
            if etag and base is None and etag != '*':
                raise Fault('bad_header', 'If-Match must be the number of a generation')
            message.update(
                body=json_input.parse(request.body),
                partial=request.method == 'PATCH',
                base=base,
                id=request.headers.get('x-request-id'),
            )
        elif operation == 'leaving':
            body = json_input.parse(request.body)
            names = body.get('replicas') if isinstance(body, dict) else None
            if not isinstance(names, list) or not all(isinstance(n, str) for n in names):
                raise Fault('invalid', 'see findings', (('replicas', 'must be a list of names'),))
            message.update(
                replicas=names, back=bool(body.get('back')), id=request.headers.get('x-request-id')
            )
        elif operation in ('retire', 'swap'):
            body = json_input.parse(request.body)
            if not isinstance(body, dict) or not isinstance(body.get('name'), str):
                raise Fault('invalid', 'see findings', (('name', 'must be a text'),))
            message.update({k: v for k, v in body.items() if k in ('name', 'by') and isinstance(v, str)})
        return await self.call_primary(message)

    async def call_primary(self, message: dict) -> dict:
        """Return the primary's reply to a message; raise Fault 'outcome_unknown' if it takes too long."""
        return await with_timeout(
            READ_TIMEOUT if message['k'] in READS else CHANGE_TIMEOUT, self.call_primary_untimed(message)
        )

    async def call_primary_untimed(self, message: dict) -> dict:
        """Return the primary's reply, of this process or of the address that it names as the primary."""
        reply = await self.host.handle(message)
        primary_address = reply.get('more', {}).get('at') if reply.get('fault') == 'core_away' else None
        if primary_address and primary_address != self.ctx.startup['address']:
            return await self.forward(primary_address, message)
        if 'fault' in reply:
            raise Fault.unpack(reply)
        return reply

    async def forward(self, address: str, message: dict) -> dict:
        """Return the reply of the process that is believed to be the primary.

        The call goes on if its caller is cancelled: cancelling it would close a connection only because one
        reply takes long.
        """
        call = asyncio.ensure_future(self.ctx.net.ask(address, message, CHANGE_TIMEOUT))
        self.host.tasks.add(call)
        call.add_done_callback(self.forward_done)
        try:
            return await asyncio.shield(call)
        except asyncio.CancelledError as e:
            if not call.cancelled() or asyncio.current_task().cancelling():
                raise
            raise Fault('outcome_unknown', 'this process stops; ask again with the same X-Request-Id') from e
        except Fault as e:
            if e.code == 'unreachable':
                raise Fault('core_away', 'the primary cannot be reached') from e
            if e.code in ('lost', 'slow'):
                raise Fault('outcome_unknown', 'ask again with the same X-Request-Id') from e
            raise

    def forward_done(self, call: asyncio.Future) -> None:
        """Retrieve the exception of a forwarded call, which may have ended after its caller was cancelled."""
        self.host.tasks.discard(call)
        if not call.cancelled() and call.exception() is not None:
            self.ctx.journal.count('forward.failed')


async def with_timeout(timeout: timedelta, reply: Awaitable[dict]) -> dict:
    """Return what is awaited; raise Fault 'outcome_unknown' if that takes longer than the timeout."""
    try:
        async with asyncio.timeout(timeout.total_seconds()):
            return await reply
    except TimeoutError as e:
        raise Fault('outcome_unknown', 'no answer was confirmed in time; ask again') from e
