"""HTTP/1.1 with JSON bodies: a server on tornado and a client on curl."""

import asyncio
import json
from collections.abc import Awaitable, Callable
from datetime import timedelta
from typing import Any

import pycurl
from tornado.curl_httpclient import CurlAsyncHTTPClient
from tornado.httpclient import HTTPClientError, HTTPRequest
from tornado.iostream import StreamClosedError
from tornado.queues import Queue
from tornado.web import Application, RequestHandler, stream_request_body
from zope.interface import Interface, implementer

from quillstall.network import json_input, listening
from quillstall.network.header_numbers import whole_number
from quillstall.network.httpclient import MAX_HEAD_BYTES, MAX_RESPONSE_BYTES
from quillstall.network.httpserver import NO_MEMORY_RETRY_MS, JsonRequest, PacedServer
from quillstall.runtime.byte_budget import ByteBudget, MemoryBudgets, Reservation
from quillstall.runtime.errors import Fault

MAX_BODY_SIZE = 1024 * 1024  # bytes
NDJSON = 'application/x-ndjson'
CONNECT_TIMEOUT_MS = 400
MAX_LINE_BYTES = 1024 * 1024
MAX_DROPPED_BYTES = 64 * 1024 * 1024  # of a body that is refused, before its connection is closed


class IResponse(Interface):
    """Writes the response to a request. Its future `disconnected` is done once the caller has disconnected."""

    async def respond(status, body, headers):
        """Send a complete JSON response."""

    async def respond_bytes(status, data, content_type, headers):
        """Send a complete response of bytes, such as a replica's."""

    async def head(status, headers):
        """Begin a response of JSON lines."""

    async def send_line(body):
        """Send one JSON line."""

    async def end():
        """Complete a response of JSON lines."""

    def abort():
        """Close the connection."""


class IWeb(Interface):
    """An HTTP server and client."""

    async def serve(address, handler):
        """Listen at 'ip:port' and call `await handler(request, response)` for each request."""

    def open(address, method, path, body, headers, limit, at_most_once, raw):
        """Begin a request and return an exchange.

        Its `next()` returns ('head', status, headers), then ('line', object) for each line of the response,
        and at last ('end', None or a fault code). With `raw` it returns ('data', bytes) instead of lines.
        `at_most_once` sends the request on a new connection, so that the client library can't resend it.
        """

    async def close():
        """Stop listening and abort the requests that are in progress."""


LISTEN_BACKLOG = 128
Handler = Callable[[JsonRequest, Any], Awaitable[None]]


class LineDecoder:
    """Splits a stream of bytes into JSON lines.

    >>> c = LineDecoder(); c.feed(b'{"a":1}\\n{"b"'), c.feed(b':2}\\n'), c.flush()
    ([{'a': 1}], [{'b': 2}], [])
    """

    def __init__(self):
        self.buffer = bytearray()  # of a line that is not complete

    def feed(self, data: bytes) -> list:
        """Return the values of the lines that are complete: `decoder.feed(b'...')`. Raises Fault 'bad_json'."""
        complete, newline, rest = data.rpartition(b'\n')
        lines = []
        if newline:
            lines = (bytes(self.buffer) + complete).split(b'\n')
            self.buffer.clear()
        self.buffer += rest
        if len(self.buffer) > MAX_LINE_BYTES:
            raise Fault('bad_json', f'a line of more than {MAX_LINE_BYTES} bytes')
        return [json_input.parse(line) for line in lines if line.strip()]

    def flush(self) -> list:
        """Return the value after the last line end, if there is one: `decoder.flush()`."""
        remaining = bytes(self.buffer)
        self.buffer.clear()
        return [json_input.parse(remaining)] if remaining.strip() else []


class AbortableCurlClient(CurlAsyncHTTPClient):
    """Tornado's curl client, with a method that aborts a request."""

    def abort(self, request: HTTPRequest) -> None:
        """Close the connection of a request that is sent, or remove one that waits: `client.abort(request)`."""
        for curl in self._curls:
            info = getattr(curl, 'info', None)
            if info and getattr(info['request'], 'request', info['request']) is request:
                self._finish(curl, pycurl.E_ABORTED_BY_CALLBACK, 'cut off')
                return
        for entry in list(self._requests):
            if getattr(entry[0], 'request', entry[0]) is request:
                self._requests.remove(entry)
                return


class CurlExchange:
    """A request that is in progress. The curl client's callbacks put their items into one queue.

    What the queue holds is reserved in the budget, for `owner`. A head or a response that is too large, or that there
    is no room for, breaks the exchange off.
    """

    def __init__(
        self,
        client: AbortableCurlClient,
        request: HTTPRequest,
        raw: bool = False,
        budget: ByteBudget | None = None,
        owner: str = '',
    ):
        self.raw = raw
        self.queued = Reservation(budget or ByteBudget(), owner)
        self.head_bytes = 0
        self.body_bytes = 0
        self.client = client
        self.request = request
        self.queue: Queue = Queue()
        self.decoder = LineDecoder()
        self.status = 0
        self.headers: dict = {}
        self.ended = False
        request.header_callback = self.on_header
        request.streaming_callback = self.on_data
        future = client.fetch(request, raise_error=False)
        future.add_done_callback(self.on_end)
        self.ready: list = []

    def on_header(self, line: str) -> None:
        self.head_bytes += len(line)
        if self.head_bytes > MAX_HEAD_BYTES:
            self.break_off()
        elif line.startswith('HTTP/'):
            self.status = int(line.split()[1])
            self.headers = {}
        elif line.strip():
            name, _, value = line.partition(':')
            self.headers[name.strip().lower()] = value.strip()
        elif self.status >= 200:
            self.queue.put_nowait(('head', self.status, self.headers))

    def on_data(self, data: bytes) -> None:
        if self.ended:
            return
        self.body_bytes += len(data)
        if self.body_bytes > MAX_RESPONSE_BYTES or not self.queued.try_grow(len(data)):
            self.break_off()
            return
        # The client calls this at once but `on_header` one iteration of the event loop later: keep the order.
        asyncio.get_running_loop().call_soon(self.queue.put_nowait, ('data', data))

    def break_off(self) -> None:
        """End the exchange as lost, once the client's callback has returned."""
        asyncio.get_running_loop().call_soon(self.abort)

    def on_end(self, future: Any) -> None:
        error = future.exception() or future.result().error
        code = None
        if error is not None and not (isinstance(error, HTTPClientError) and error.code != 599):
            curl_code = getattr(error, 'errno', 0)
            code = (
                'unreachable'
                if curl_code in (pycurl.E_COULDNT_CONNECT, pycurl.E_COULDNT_RESOLVE_HOST)
                else 'slow'
                if curl_code == pycurl.E_OPERATION_TIMEDOUT
                else 'lost'
            )
        self.queue.put_nowait(('end', code))

    async def next(self) -> tuple:
        """Return the next item: `kind, *rest = await exchange.next()`."""
        while not self.ready:
            item = await self.queue.get()
            if item[0] == 'data' and self.queued.size:
                self.queued.shrink(len(item[1]))
            try:
                if item[0] == 'data' and not self.raw:
                    self.ready += [('line', line) for line in self.decoder.feed(item[1])]
                elif item[0] == 'end':
                    self.ended = True
                    self.ready += [('line', line) for line in self.decoder.flush()] if item[1] is None else []
                    self.ready.append(item)
                else:
                    self.ready.append(item)
            except Fault:
                self.abort()
                self.ready.append(('end', 'lost'))
        return self.ready.pop(0)

    def abort(self) -> None:
        """Abort the request unless it has ended: `exchange.abort()`."""
        self.queued.release()
        if not self.ended:
            self.ended = True
            self.client.abort(self.request)


@stream_request_body
class JsonRequestHandler(RequestHandler):
    """Passes the requests of all paths to the process's handler, and writes their responses."""

    def initialize(self, handler: Handler, budget: ByteBudget) -> None:
        self.handler = handler
        self.body = bytearray()
        self.reservation = Reservation(budget)
        self.refusal: Fault | None = None  # of a body that is too large, or that there is no room for
        self.disconnected: asyncio.Future = asyncio.get_running_loop().create_future()

    def prepare(self) -> None:
        self.reserve(whole_number(self.request.headers.get('Content-Length')) or 0)
        if self.refusal:
            self.reject()

    def reserve(self, size: int) -> None:
        """Reserve room for more of the body, or note why the request is refused."""
        if self.reservation.size + size > MAX_BODY_SIZE:
            self.refusal = Fault('too_big', f'{MAX_BODY_SIZE} bytes at most')
        elif not self.reservation.try_grow(size):
            self.refusal = Fault('no_memory', wait_ms=NO_MEMORY_RETRY_MS)

    def reject(self) -> None:
        """Respond with the fault of a request that is refused, and close the connection."""
        fault = self.refusal
        self.set_status(fault.status)
        self.set_header('Content-Type', 'application/problem+json')
        self.set_header('Connection', 'close')
        if fault.status == 503:
            self.set_header('Retry-After', '1')
        self.finish(json.dumps(fault.problem(self.request.path)))

    def data_received(self, chunk: bytes) -> None:
        if self.refusal:
            return
        self.body += chunk
        if len(self.body) > self.reservation.size:
            self.reserve(len(self.body) - self.reservation.size)

    def on_finish(self) -> None:
        self.reservation.release()

    def on_connection_close(self) -> None:
        self.reservation.release()
        if not self.disconnected.done():
            self.disconnected.set_result(None)

    async def handle(self, *_: Any) -> None:
        if self.refusal:
            if not self._finished:
                self.reject()
            return
        headers = {k.lower(): v for k, v in self.request.headers.get_all()}
        request = JsonRequest(self.request.method, self.request.uri, headers, bytes(self.body))
        try:
            await self.handler(request, self)
        except StreamClosedError:
            pass

    get = post = put = patch = delete = handle

    def write_error(self, status_code: int, **_: Any) -> None:
        code = 'wrong_method' if status_code == 405 else 'internal'
        fault = Fault(code)
        self.set_header('Content-Type', 'application/problem+json')
        self.finish(json.dumps(fault.problem(self.request.path)))

    def begin_response(self, status: int, headers: dict, content_type: str) -> None:
        self.set_status(status)
        self.set_header('Content-Type', content_type)
        self.clear_header('Server')
        for name, value in headers.items():
            self.set_header(name, value)

    async def respond(self, status: int, body: Any, headers: dict | None = None) -> None:
        content_type = 'application/problem+json' if status >= 400 else 'application/json'
        if self.disconnected.done():
            return
        self.begin_response(status, headers or {}, content_type)
        await self.finish(json.dumps(body))

    async def respond_bytes(
        self, status: int, data: bytes, content_type: str, headers: dict | None = None
    ) -> None:
        if self.disconnected.done():
            return
        self.begin_response(status, headers or {}, content_type)
        await self.finish(data)

    async def head(self, status: int, headers: dict | None = None) -> None:
        self.begin_response(status, headers or {}, NDJSON)
        await self.flush()

    async def send_line(self, body: Any) -> None:
        if self.disconnected.done():
            raise StreamClosedError()
        self.write(json.dumps(body) + '\n')
        await self.flush()

    async def end(self) -> None:
        if not self.disconnected.done():
            await self.finish()

    def abort(self) -> None:
        self.request.connection.stream.close()


@implementer(IWeb)
class CurlWeb:
    """A server on tornado and a client on its curl client."""

    def __init__(
        self,
        max_clients: int = 500,
        count: Callable[[str], None] = lambda name: None,
        budgets: MemoryBudgets | None = None,
    ):
        self.count = count
        self.budgets = budgets or MemoryBudgets(ByteBudget(), ByteBudget(), ByteBudget())
        self.client = AbortableCurlClient(force_instance=True, max_clients=max_clients)
        self.servers: list = []

    async def serve(self, address: str, handler: Handler) -> None:
        """Listen: `await web.serve('127.0.0.1:8000', handler)`."""
        app = Application(
            [('.*', JsonRequestHandler, {'handler': handler, 'budget': self.budgets.requests})],
            log_function=lambda request_handler: None,
        )
        server = PacedServer(app, max_body_size=MAX_DROPPED_BYTES, idle_connection_timeout=60)
        server.add_socket(await listening.listen(address, LISTEN_BACKLOG, self.count))
        self.servers.append(server)

    def open(
        self,
        address: str,
        method: str,
        path: str,
        body: Any = None,
        headers: dict | None = None,
        limit: timedelta = timedelta(seconds=10),
        at_most_once: bool = False,
        raw: bool = False,
    ) -> CurlExchange:
        """Begin a request: `exchange = web.open('127.0.0.1:9000', 'POST', '/turn', {...})`."""

        def use_new_connection(curl: Any) -> None:
            curl.setopt(pycurl.FRESH_CONNECT, 1)
            curl.setopt(pycurl.FORBID_REUSE, 1)

        request_headers = {'Content-Type': 'application/json', 'Expect': '', **(headers or {})}
        data = None if body is None else body if isinstance(body, bytes) else json.dumps(body)
        timeout_s = max(0.001, limit.total_seconds())
        request = HTTPRequest(
            f'http://{address}{path}',
            method,
            request_headers,
            data,
            request_timeout=timeout_s,
            connect_timeout=min(timeout_s, CONNECT_TIMEOUT_MS / 1000),
            follow_redirects=False,
            decompress_response=False,
            allow_nonstandard_methods=True,
            prepare_curl_callback=use_new_connection if at_most_once else None,
        )
        return CurlExchange(self.client, request, raw, self.budgets.responses, address)

    async def close(self) -> None:
        """Stop listening and close all connections: `await web.close()`."""
        for server in self.servers:
            server.stop()
            await server.close_all_connections()
        self.client.close()


async def fetch(
    web: Any,
    address: str,
    method: str,
    path: str,
    body: Any = None,
    headers: dict | None = None,
    limit: timedelta = timedelta(seconds=10),
    at_most_once: bool = False,
) -> tuple[int, Any, dict]:
    """Return the status, JSON body and headers of a complete response. Raises a Fault if there is none.

    `status, body, headers = await fetch(web, '127.0.0.1:9000', 'GET', '/report')`
    """
    exchange = web.open(address, method, path, body, headers, limit, at_most_once)
    status, response_headers, lines = 0, {}, []
    try:
        while True:
            kind, *rest = await exchange.next()
            if kind == 'head':
                status, response_headers = rest
            elif kind == 'line':
                lines.append(rest[0])
            elif rest[0] is not None:
                raise Fault(rest[0], f'{method} {address}{path}')
            else:
                return status, lines[0] if len(lines) == 1 else lines or None, response_headers
    finally:
        exchange.abort()
