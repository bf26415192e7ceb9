"""An HTTP/1.1 server on top of tornado's that hands over requests exactly as they were read.

The server of network/web.py speaks JSON, while a gateway forwards any format. So a request here keeps its
path, headers and body unchanged, and a response is written in pieces that the client sees either complete
or broken off.
"""

import asyncio
import json
import socket
from collections.abc import Awaitable, Callable
from datetime import timedelta
from http.client import responses
from typing import Any, NamedTuple

from tornado.httpserver import HTTPServer
from tornado.httputil import HTTPHeaders, HTTPMessageDelegate, HTTPServerConnectionDelegate, ResponseStartLine
from tornado.iostream import StreamClosedError

from quillstall.network import listening
from quillstall.network.header_numbers import whole_number
from quillstall.network.pacing import MAX_BUFFER_BYTES, PIECE_UNITS, Pace, PacedStream
from quillstall.runtime.byte_budget import ByteBudget, MemoryBudgets, Reservation
from quillstall.runtime.errors import Fault

LISTEN_BACKLOG = 1024
LARGE_BODY_BYTES = 64 * 1024
BODY_TIMEOUT = timedelta(seconds=60)  # for a caller to send a whole body
NO_MEMORY_RETRY_MS = 1000
UNITS_PER_S = 1000  # of work for each connection of a caller
BURST_UNITS = 2000


class RawRequest(NamedTuple):
    """A request as it was read.

    >>> RawRequest('GET', '/a', HTTPHeaders({'Host': 'x'}), b'').headers['host']
    'x'
    """

    method: str
    path: str
    headers: Any
    body: bytes


class JsonRequest(NamedTuple):
    """A request to a JSON API, as its handler gets it.

    >>> JsonRequest('GET', '/', {}, b'').path
    '/'
    """

    method: str
    path: str
    headers: dict
    body: bytes


class JsonResponse:
    """Writes JSON responses through a response of bytes: `JsonResponse(response)`."""

    def __init__(self, response: Any):
        self.response = response
        self.disconnected = response.disconnected

    async def respond(self, status: int, body: Any, headers: dict | None = None) -> None:
        content_type = 'application/problem+json' if status >= 400 else 'application/json'
        await self.response.respond(
            status, HTTPHeaders({'Content-Type': content_type, **(headers or {})}), json.dumps(body).encode()
        )

    async def respond_bytes(
        self, status: int, data: bytes, content_type: str, headers: dict | None = None
    ) -> None:
        """Send a complete response of bytes."""
        await self.response.respond(
            status, HTTPHeaders({'Content-Type': content_type, **(headers or {})}), data
        )


Handler = Callable[[RawRequest, Any], Awaitable[None]]


class Response(HTTPMessageDelegate):
    """Reads one request for tornado's connection, then writes its response."""

    def __init__(self, listener: 'Listener', conn: Any):
        self.listener = listener
        self.conn = conn
        self.disconnected: asyncio.Future = asyncio.get_running_loop().create_future()
        self.chunks: list[bytes] = []
        self.start_line: Any = None
        self.headers: Any = None
        self.headers_sent = False
        self.ended = False
        self.may_have_run = False  # whether an attempt may have run on a replica
        self.failed_attempts: list[Any] = []
        self.request_bytes = Reservation(listener.budgets.requests)
        self.response_bytes = Reservation(listener.budgets.responses)
        self.refused = False  # for lack of memory: what is read of the body is dropped
        self.body_read = False
        self.handled = False  # whether a handler has the request

    @property
    def idle(self) -> bool:
        """Whether the connection waits for a request of which no whole head has arrived."""
        return self.start_line is None and self.conn.stream.reading()

    def headers_received(self, start_line: Any, headers: Any) -> None:
        self.start_line, self.headers = start_line, headers
        self.reserve(whole_number(headers.get('Content-Length')) or 0)

    def reserve(self, size: int) -> None:
        """Reserve room for more of the request; without it, refuse the request before more of it is read."""
        if not self.refused and not self.request_bytes.try_grow(size):
            self.refused = True
            self.chunks = []
            self.request_bytes.release()
            self.listener.spawn(self.listener.handle_refusal(self))

    def data_received(self, chunk: bytes) -> None:
        self.conn.stream.pace.charge(PIECE_UNITS)
        if 'Content-Length' not in self.headers:
            self.reserve(len(chunk))
        if not self.refused:
            self.chunks.append(chunk)

    def finish(self) -> None:
        self.body_read = True
        self.conn.set_close_callback(self.on_connection_close)
        if self.refused:
            if self.ended:
                self.conn.finish()
            return
        self.handled = True
        request = RawRequest(
            self.start_line.method, self.start_line.path, self.headers, b''.join(self.chunks)
        )
        self.chunks = []
        self.listener.spawn(self.listener.handle(request, self))

    def release(self) -> None:
        """Give back the memory that is reserved for the request and its response: `response.release()`."""
        self.request_bytes.release()
        self.response_bytes.release()

    def on_connection_close(self) -> None:
        if not self.handled:
            self.release()
        if not self.disconnected.done():
            self.disconnected.set_result(None)

    def write_headers(self, status: int, headers: Any, chunk: bytes | None) -> Any:
        if self.disconnected.done():
            raise StreamClosedError()
        if self.listener.closing or self.refused:  # the caller then connects elsewhere for its next request
            self.conn._disconnect_on_finish = True
        self.headers_sent = True
        self.conn.stream.set_nodelay(True)
        return self.conn.write_headers(
            ResponseStartLine('HTTP/1.1', status, responses.get(status, 'Status')), headers, chunk
        )

    async def sent(self, written: Awaitable) -> None:
        """Wait until something is written. If the caller has closed the connection, that is known before tornado's
        callback tells of it. Raises StreamClosedError then."""
        try:
            await written
        except StreamClosedError:
            self.on_connection_close()
            raise

    async def respond(self, status: int, headers: Any, body: bytes) -> None:
        """Send a complete response: `await response.respond(200, HTTPHeaders(), b'ok')`."""
        response_headers = HTTPHeaders(headers)
        if status != 204 and status != 304:
            response_headers['Content-Length'] = str(len(body))
        bodyless = self.start_line.method == 'HEAD' or status in (204, 304)
        large = len(body) > LARGE_BODY_BYTES
        written = self.write_headers(status, response_headers, None if bodyless or large else body)
        self.ended = True
        if large and not bodyless:  # written apart from the headers, and so not copied
            written = self.conn.write(body)
        if not bodyless:
            await self.sent(written)
        if self.body_read:
            self.conn.finish()

    async def head(self, status: int, headers: Any) -> None:
        """Begin a streamed response: `await response.head(200, HTTPHeaders())`."""
        await self.sent(self.write_headers(status, HTTPHeaders(headers), None))

    async def write(self, data: bytes) -> None:
        """Write more of a streamed response. Raises StreamClosedError if the caller disconnected."""
        if self.disconnected.done():
            raise StreamClosedError()
        await self.sent(self.conn.write(data))

    async def end(self) -> None:
        """Complete a streamed response. Raises StreamClosedError if the caller disconnected."""
        if self.disconnected.done():
            raise StreamClosedError()
        self.ended = True
        self.conn.finish()

    def abort(self) -> None:
        """Close the connection, so that the response does not look complete: `response.abort()`."""
        if not self.ended:
            self.ended = True
            stream = self.conn.stream
            if stream is not None:
                stream.close()


async def refuse_for_memory(response: Response) -> None:
    """Answer that this process has no memory for a request now: `await refuse_for_memory(response)`."""
    fault = Fault('no_memory', wait_ms=NO_MEMORY_RETRY_MS)
    headers = HTTPHeaders({'Content-Type': 'application/problem+json', 'Retry-After': '1'})
    await response.respond(
        fault.status, headers, json.dumps(fault.problem(response.start_line.path)).encode()
    )


class PacedServer(HTTPServer):
    """A server that reads each connection at a pace of its own. It replaces tornado's `_handle_connection`."""

    def _handle_connection(self, connection: socket.socket, address: Any) -> None:
        pace = Pace(UNITS_PER_S, BURST_UNITS, asyncio.get_running_loop().time)
        max_buffer_bytes = max(MAX_BUFFER_BYTES, self.conn_params.max_header_size * 2)
        self.handle_stream(PacedStream(connection, pace, max_buffer_bytes), address)


class Listener(HTTPServerConnectionDelegate):
    """Accepts HTTP connections at an address and passes each request to the handler."""

    def __init__(
        self,
        handler: Handler,
        count: Callable[[str], None],
        max_header_size: int = 65536,
        max_body_size: int = 8 * 1024 * 1024,
        idle_timeout: timedelta = timedelta(seconds=60),
        violated: Callable[..., None] = lambda name, **facts: None,
        budgets: MemoryBudgets | None = None,
        refuse: Callable[[Response], Awaitable[None]] | None = None,
    ):
        self.budgets = budgets or MemoryBudgets(ByteBudget(), ByteBudget(), ByteBudget())
        self.refuse = refuse or refuse_for_memory
        self.violated = violated
        self.handler = handler
        self.count = count
        self.tasks: set = set()
        self.connections: dict[Any, Response] = {}  # tornado's connection -> its latest request
        self.open_requests = 0
        self.closing = False
        self.server = PacedServer(
            self,
            max_header_size=max_header_size,
            max_body_size=max_body_size,
            max_buffer_size=max_body_size + max_header_size,
            idle_connection_timeout=idle_timeout.total_seconds(),
            body_timeout=BODY_TIMEOUT.total_seconds(),
        )

    def set_limits(self, max_header_size: int, max_body_size: int, idle_timeout: timedelta) -> None:
        """Apply limits from the next request on each connection: `listener.set_limits(16384, 4096, from_ms(60_000))`.

        Open connections share the parameter object, so they follow too: the idle timeout of a connection
        is always the current one.
        """
        parameters = self.server.conn_params
        parameters.max_header_size = max_header_size
        parameters.max_body_size = max_body_size
        parameters.header_timeout = idle_timeout.total_seconds()

    async def listen(self, address: str) -> None:
        """Accept connections, once the address is free: `await listener.listen('127.0.0.1:8000')`."""
        self.server.add_socket(await listening.listen(address, LISTEN_BACKLOG, self.count))

    def start_request(self, server_conn: Any, request_conn: Any) -> Response:
        request = self.connections[server_conn] = Response(self, request_conn)
        return request

    def on_close(self, server_conn: Any) -> None:
        self.connections.pop(server_conn, None)

    def close_idle_connections(self) -> None:
        """Close the connections that carry no request: `listener.close_idle_connections()`."""
        for request in list(self.connections.values()):
            if request.idle:
                request.conn.stream.close()

    def spawn(self, coroutine: Any) -> None:
        task = asyncio.ensure_future(coroutine)
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)

    async def handle(self, request: RawRequest, response: Response) -> None:
        self.open_requests += 1
        try:
            await self.handler(request, response)
        except StreamClosedError:
            self.count('http.gone')
        except asyncio.CancelledError:
            raise
        except Exception as e:  # a failed request must not stop the process
            self.count(f'http.fault.{type(e).__name__}')
            self.violated('request_ended', path=request.path, cause=f'{type(e).__name__}: {e}')
            response.abort()
            raise
        else:
            if not response.ended and not response.disconnected.done():
                self.violated('request_ended', path=request.path, cause='neither answered nor cut')
                response.abort()
        finally:
            response.release()
            self.open_requests -= 1

    async def handle_refusal(self, response: Response) -> None:
        """Answer a request that there is no memory for; its body is still read, and dropped, so that the caller
        gets the answer."""
        self.count('http.no_memory')
        try:
            await self.refuse(response)
        except StreamClosedError:
            self.count('http.gone')

    async def close(self) -> None:
        """Stop listening and close all connections."""
        self.server.stop()
        await self.server.close_all_connections()
