"""Member: one process of a soak run's fleet, with a gateway and with pools whose replicas a list names."""

import json
from typing import Any

from tornado.httputil import HTTPHeaders

from quillstall.network.httpclient import HttpClient
from quillstall.network.listing import digest
from quillstall.runtime.clock import from_ms
from quillstall.runtime.daemon import serve
from quillstall.runtime.errors import Fault
from quillstall.runtime.process import Context

LIST_LIMIT = from_ms(900)


class ListReader:
    """Reads the list of replicas from one address, as JSON: pool -> replica -> its row."""

    def __init__(self, address: str, clock: Any, count: Any, source: str):
        self.address = address
        self.clock = clock
        self.client = HttpClient(count, source)

    async def poll(self) -> dict:
        """The list with the time of the look-up; Fault if it does not come: `await reader.poll()`."""
        at = self.clock.now().timestamp()
        exchange = await self.client.open(
            self.address,
            'list',
            'GET',
            '/',
            HTTPHeaders({'Host': 'list'}),
            b'',
            lambda *_: True,
            0.5,
            LIST_LIMIT,
        )
        try:
            await exchange.read_headers(LIST_LIMIT)
            data = b''
            while (more := await exchange.read_data(LIST_LIMIT)) is not None:
                data += more
        finally:
            exchange.abort()
        try:
            pools = json.loads(data)
        except ValueError as e:
            raise Fault('garbled', f'the list: {e}') from e
        return {'at': at, 'pools': pools, 'digest': digest(pools)}


def run_member(startup: dict) -> int:
    """Run a process of the fleet to its end; its exit code: `run_member(startup)`."""

    def with_list(ctx: Context) -> Context:
        source = startup['address'].rpartition(':')[0]
        return ctx._replace(lister=ListReader(startup['list'], ctx.clock, ctx.journal.count, source))

    if startup['role'] == 'route':
        from quillstall.dataplane.node import Node, run

        async def drain(node: Node) -> None:
            await node.drain(from_ms(startup['drain_ms']))

        return serve(startup, run, drain, with_list)
    from quillstall.controlplane.run import hand_over
    from quillstall.controlplane.run import run as serve_state

    return serve(startup, serve_state, hand_over, with_list)
