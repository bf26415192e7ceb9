"""Httpserver: HTTP/1.1 from callers, by tornado's server, with heads and bodies exactly as they came.

The web of network/web.py speaks JSON; a gateway passes on what others speak. So here a request keeps
its path, its head and its body as they were read, and an answer is written piece by piece, whole or
visibly broken.
"""

import asyncio
import json
from collections.abc import Awaitable, Callable
from datetime import timedelta
from http.client import responses
from typing import Any, NamedTuple

from tornado.httpserver import HTTPServer
from tornado.httputil import HTTPHeaders, HTTPMessageDelegate, HTTPServerConnectionDelegate, ResponseStartLine
from tornado.iostream import StreamClosedError

from quillstall.network.net import parse_address


class RawRequest(NamedTuple):
    """One request as it was read.

    >>> RawRequest('GET', '/a', HTTPHeaders({'Host': 'x'}), b'').headers['host']
    'x'
    """

    method: str
    path: str
    headers: Any
    body: bytes


class Call(NamedTuple):
    """One request of the JSON interface, as its function sees it.

    >>> Call('GET', '/', {}, b'').path
    '/'
    """

    method: str
    path: str
    headers: dict
    body: bytes


class JsonResponse:
    """The way back for whole JSON answers, over an answer of bytes: `JsonResponse(out)`."""

    def __init__(self, out: Any):
        self.out = out
        self.gone = out.disconnected

    async def whole(self, status: int, body: Any, headers: dict | None = None) -> None:
        kind = 'application/problem+json' if status >= 400 else 'application/json'
        await self.out.whole(
            status, HTTPHeaders({'Content-Type': kind, **(headers or {})}), json.dumps(body).encode()
        )

    async def raw(self, status: int, data: bytes, kind: str, headers: dict | None = None) -> None:
        """One complete answer of bytes."""
        await self.out.whole(status, HTTPHeaders({'Content-Type': kind, **(headers or {})}), data)


Handler = Callable[[RawRequest, Any], Awaitable[None]]


class Answer(HTTPMessageDelegate):
    """One request being read, then the way back to whoever sent it."""

    def __init__(self, listener: 'Listener', conn: Any):
        self.listener = listener
        self.conn = conn
        self.gone: asyncio.Future = asyncio.get_running_loop().create_future()
        self.chunks: list[bytes] = []
        self.start: Any = None
        self.headers: Any = None
        self.headed = False
        self.over = False
        self.may_have_run = False  # whether an attempt at a replica may have run
        self.trail: list[Any] = []  # the attempts that failed

    def headers_received(self, start_line: Any, headers: Any) -> None:
        self.start, self.headers = start_line, headers

    def data_received(self, chunk: bytes) -> None:
        self.chunks.append(chunk)

    def finish(self) -> None:
        self.conn.set_close_callback(self.on_connection_close)
        call = RawRequest(self.start.method, self.start.path, self.headers, b''.join(self.chunks))
        self.chunks = []
        self.listener.spawn(self.listener.one(call, self))

    def on_connection_close(self) -> None:
        if not self.gone.done():
            self.gone.set_result(None)

    def lead(self, status: int, headers: Any, chunk: bytes | None) -> Any:
        if self.gone.done():
            raise StreamClosedError()
        if self.listener.closing:  # the caller's next request goes through another door
            self.conn._disconnect_on_finish = True
        self.headed = True
        self.conn.stream.set_nodelay(True)
        return self.conn.write_headers(
            ResponseStartLine('HTTP/1.1', status, responses.get(status, 'Status')), headers, chunk
        )

    async def whole(self, status: int, headers: Any, body: bytes) -> None:
        """A complete answer: `await out.respond(200, HTTPHeaders(), b'ok')`."""
        heads = HTTPHeaders(headers)
        if status != 204 and status != 304:
            heads['Content-Length'] = str(len(body))
        plain = self.start.method == 'HEAD' or status in (204, 304)
        written = self.lead(status, heads, None if plain else body)
        self.over = True
        if not plain:
            await written
        self.conn.finish()

    async def head(self, status: int, headers: Any) -> None:
        """Begin an answer in pieces: `await out.head(200, HTTPHeaders())`."""
        await self.lead(status, HTTPHeaders(headers), None)

    async def write(self, data: bytes) -> None:
        """One piece more: `await out.write(b'...')`."""
        if self.gone.done():
            raise StreamClosedError()
        await self.conn.write(data)

    async def end(self) -> None:
        """The answer in pieces is complete: `await out.end()`."""
        if self.gone.done():
            raise StreamClosedError()
        self.over = True
        self.conn.finish()

    def cut(self) -> None:
        """Break the connection off, so that what was written does not look complete: `out.abort()`."""
        if not self.over:
            self.over = True
            stream = self.conn.stream
            if stream is not None:
                stream.close()


class Listener(HTTPServerConnectionDelegate):
    """Listens at one address and hands each request to one function."""

    def __init__(
        self,
        handler: Handler,
        count: Callable[[str], None],
        most_head: int = 65536,
        most_body: int = 8 * 1024 * 1024,
        idle: timedelta = timedelta(seconds=60),
        violated: Callable[..., None] = lambda name, **facts: None,
    ):
        self.violated = violated
        self.handler = handler
        self.count = count
        self.tasks: set = set()
        self.busy = 0
        self.closing = False
        self.server = HTTPServer(
            self,
            max_header_size=most_head,
            max_body_size=most_body,
            max_buffer_size=most_body + most_head,
            idle_connection_timeout=idle.total_seconds(),
        )

    def limit(self, most_head: int, most_body: int, idle: timedelta) -> None:
        """Other limits, from the next request of each connection on: `listener.limit(16384, 4096, span)`.

        Connections that are open hold the same parameters and must follow: their callers rest by the
        limits that are in force now."""
        params = self.server.conn_params
        params.max_header_size = most_head
        params.max_body_size = most_body
        params.header_timeout = idle.total_seconds()

    def listen(self, address: str) -> None:
        """Take connections: `listener.listen('127.0.0.1:8000')`."""
        host, port = parse_address(address)
        self.server.listen(port, host, backlog=1024)

    def start_request(self, server_conn: Any, request_conn: Any) -> Answer:
        return Answer(self, request_conn)

    def on_close(self, server_conn: Any) -> None:
        pass

    def spawn(self, work: Any) -> None:
        task = asyncio.ensure_future(work)
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)

    async def one(self, call: RawRequest, out: Answer) -> None:
        self.busy += 1
        try:
            await self.handler(call, out)
        except StreamClosedError:
            self.count('http.gone')
        except asyncio.CancelledError:
            raise
        except Exception as e:  # one request must not take the process with it
            self.count(f'http.fault.{type(e).__name__}')
            self.violated('request_ended', path=call.path, cause=f'{type(e).__name__}: {e}')
            out.abort()
            raise
        else:
            if not out.over and not out.disconnected.done():
                self.violated('request_ended', path=call.path, cause='neither answered nor cut')
                out.abort()
        finally:
            self.busy -= 1

    async def close(self) -> None:
        """Take no more connections and drop those there are: `await listener.close()`."""
        self.server.stop()
        await self.server.close_all_connections()
