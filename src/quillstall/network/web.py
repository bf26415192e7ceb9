"""Web: HTTP/1.1 with JSON towards callers, back ends and operators, through tornado and curl."""

import asyncio
import json
from collections.abc import Awaitable, Callable
from datetime import timedelta
from typing import Any

import pycurl
from tornado.curl_httpclient import CurlAsyncHTTPClient
from tornado.httpclient import HTTPClientError, HTTPRequest
from tornado.httpserver import HTTPServer
from tornado.iostream import StreamClosedError
from tornado.queues import Queue
from tornado.web import Application, RequestHandler, stream_request_body
from zope.interface import Interface, implementer

from quillstall.network.httpserver import Call
from quillstall.network.net import parse_address
from quillstall.runtime.errors import Fault

BODY_MOST = 1024 * 1024
LINES = 'application/x-ndjson'
CONNECT_MS = 400


class IOut(Interface):
    """The way back to whoever called."""

    async def whole(status, body, headers):
        """One complete JSON answer."""

    async def raw(status, data, kind, headers):
        """One complete answer of bytes, as a replica gave it."""

    async def head(status, headers):
        """Begin an answer in lines."""

    async def line(body):
        """One line of JSON."""

    async def end():
        """The answer in lines is complete."""

    def cut():
        """Break the connection off."""


class IWeb(Interface):
    """HTTP both ways. An out has a future `gone`, done when the caller has gone away."""

    async def serve(address, handler):
        """Listen at 'ip:port'; each request is handed to `await handler(call, out)`."""

    def open(address, method, path, body, headers, limit, once, raw):
        """Begin a request; gives a flow whose `next()` tells ('head', status, headers),
        ('line', object) for each line of an answer, and at last ('end', None or a fault code).
        `once` sends it on a connection of its own, so that nothing below may send it twice;
        `raw` gives ('data', bytes) in place of lines."""

    async def close():
        """Stop listening and break off what is under way."""


Handler = Callable[[Call, Any], Awaitable[None]]


class Lines:
    """Cuts bytes into JSON lines.

    >>> c = Lines(); c.take(b'{"a":1}\\n{"b"'), c.take(b':2}\\n'), c.rest()
    ([{'a': 1}], [{'b': 2}], [])
    """

    def __init__(self):
        self.left = b''

    def take(self, more: bytes) -> list:
        """The lines that are complete now: `cut.take(b'...')`."""
        *lines, self.left = (self.left + more).split(b'\n')
        return [json.loads(line) for line in lines if line.strip()]

    def rest(self) -> list:
        """What stood after the last line end: `cut.rest()`."""
        left, self.left = self.left, b''
        return [json.loads(left)] if left.strip() else []


class Curl(CurlAsyncHTTPClient):
    """Tornado's curl client, able to break a transfer off at once."""

    def cut(self, query: HTTPRequest) -> None:
        """Take a request off the wire; its connection is closed with it: `curl.cut(query)`."""
        for curl in self._curls:
            info = getattr(curl, 'info', None)
            if info and getattr(info['request'], 'request', info['request']) is query:
                self._finish(curl, pycurl.E_ABORTED_BY_CALLBACK, 'cut off')
                return
        for entry in list(self._requests):
            if getattr(entry[0], 'request', entry[0]) is query:
                self._requests.remove(entry)
                return


class CurlFlow:
    """One request under way. The client's callbacks end here, in one queue."""

    def __init__(self, client: Curl, query: HTTPRequest, raw: bool = False):
        self.raw = raw
        self.client = client
        self.query = query
        self.queue: Queue = Queue()
        self.lines = Lines()
        self.status = 0
        self.heads: dict = {}
        self.over = False
        query.header_callback = self.on_header
        query.streaming_callback = self.on_data
        future = client.fetch(query, raise_error=False)
        future.add_done_callback(self.on_end)
        self.ready: list = []

    def on_header(self, line: str) -> None:
        if line.startswith('HTTP/'):
            self.status = int(line.split()[1])
            self.heads = {}
        elif line.strip():
            name, _, value = line.partition(':')
            self.heads[name.strip().lower()] = value.strip()
        elif self.status >= 200:
            self.queue.put_nowait(('head', self.status, self.heads))

    def on_data(self, data: bytes) -> None:
        # The client calls this at once but tells the headers one turn of the loop later: keep the order.
        asyncio.get_running_loop().call_soon(self.queue.put_nowait, ('data', data))

    def on_end(self, future: Any) -> None:
        error = future.exception() or future.result().error
        code = None
        if error is not None and not (isinstance(error, HTTPClientError) and error.code != 599):
            number = getattr(error, 'errno', 0)
            code = (
                'unreachable'
                if number in (pycurl.E_COULDNT_CONNECT, pycurl.E_COULDNT_RESOLVE_HOST)
                else 'slow'
                if number == pycurl.E_OPERATION_TIMEDOUT
                else 'lost'
            )
        self.queue.put_nowait(('end', code))

    async def next(self) -> tuple:
        """What comes next: `kind, *rest = await flow.next()`."""
        while not self.ready:
            item = await self.queue.get()
            try:
                if item[0] == 'data' and not self.raw:
                    self.ready += [('line', x) for x in self.lines.take(item[1])]
                elif item[0] == 'end':
                    self.over = True
                    self.ready += [('line', x) for x in self.lines.rest()] if item[1] is None else []
                    self.ready.append(item)
                else:
                    self.ready.append(item)
            except ValueError:
                self.cut()
                self.ready.append(('end', 'lost'))
        return self.ready.pop(0)

    def cut(self) -> None:
        """Break it off: `flow.abort()`."""
        if not self.over:
            self.over = True
            self.client.cut(self.query)


@stream_request_body
class Door(RequestHandler):
    """Every request of every path, handed to the one function of the process."""

    def initialize(self, handler: Handler) -> None:
        self.handler = handler
        self.body = b''
        self.gone: asyncio.Future = asyncio.get_running_loop().create_future()
        self.big = False

    def prepare(self) -> None:
        size = self.request.headers.get('Content-Length', '0')
        if size.isdigit() and int(size) > BODY_MOST:
            self.big = True
            self.refuse()

    def refuse(self) -> None:
        fault = Fault('too_big', f'{BODY_MOST} bytes at most')
        self.set_status(fault.status)
        self.set_header('Content-Type', 'application/problem+json')
        self.set_header('Connection', 'close')
        self.finish(json.dumps(fault.problem(self.request.path)))

    def data_received(self, chunk: bytes) -> None:
        if self.big:
            return
        self.body += chunk
        if len(self.body) > BODY_MOST:
            self.big = True

    def on_connection_close(self) -> None:
        if not self.gone.done():
            self.gone.set_result(None)

    async def answer(self, *_: Any) -> None:
        if self.big:
            if not self._finished:
                self.refuse()
            return
        heads = {k.lower(): v for k, v in self.request.headers.get_all()}
        call = Call(self.request.method, self.request.uri, heads, self.body)
        try:
            await self.handler(call, self)
        except StreamClosedError:
            pass

    get = post = put = patch = delete = answer

    def write_error(self, status_code: int, **more: Any) -> None:
        code = 'wrong_method' if status_code == 405 else 'internal'
        fault = Fault(code)
        self.set_header('Content-Type', 'application/problem+json')
        self.finish(json.dumps(fault.problem(self.request.path)))

    def begin(self, status: int, headers: dict, kind: str) -> None:
        self.set_status(status)
        self.set_header('Content-Type', kind)
        self.clear_header('Server')
        for name, value in headers.items():
            self.set_header(name, value)

    async def whole(self, status: int, body: Any, headers: dict | None = None) -> None:
        kind = 'application/problem+json' if status >= 400 else 'application/json'
        if self.gone.done():
            return
        self.begin(status, headers or {}, kind)
        await self.finish(json.dumps(body))

    async def raw(self, status: int, data: bytes, kind: str, headers: dict | None = None) -> None:
        if self.gone.done():
            return
        self.begin(status, headers or {}, kind)
        await self.finish(data)

    async def head(self, status: int, headers: dict | None = None) -> None:
        self.begin(status, headers or {}, LINES)
        await self.flush()

    async def line(self, body: Any) -> None:
        if self.gone.done():
            raise StreamClosedError()
        self.write(json.dumps(body) + '\n')
        await self.flush()

    async def end(self) -> None:
        if not self.gone.done():
            await self.finish()

    def cut(self) -> None:
        self.request.connection.stream.close()


@implementer(IWeb)
class CurlWeb:
    """The web through tornado's server and its curl client."""

    def __init__(self, most: int = 500):
        self.client = Curl(force_instance=True, max_clients=most)
        self.servers: list = []

    async def serve(self, address: str, handler: Handler) -> None:
        """Listen: `await web.serve('127.0.0.1:8000', handler)`."""
        host, port = parse_address(address)
        app = Application([('.*', Door, {'handler': handler})], log_function=lambda door: None)
        server = HTTPServer(app, max_body_size=64 * BODY_MOST, idle_connection_timeout=60)
        server.listen(port, host)
        self.servers.append(server)

    def open(
        self,
        address: str,
        method: str,
        path: str,
        body: Any = None,
        headers: dict | None = None,
        limit: timedelta = timedelta(seconds=10),
        once: bool = False,
        raw: bool = False,
    ) -> CurlFlow:
        """Begin a request: `flow = web.open('127.0.0.1:9000', 'POST', '/turn', {...})`."""

        def single(curl: Any) -> None:
            curl.setopt(pycurl.FRESH_CONNECT, 1)
            curl.setopt(pycurl.FORBID_REUSE, 1)

        heads = {'Content-Type': 'application/json', 'Expect': '', **(headers or {})}
        data = None if body is None else body if isinstance(body, bytes) else json.dumps(body)
        span = max(0.001, limit.total_seconds())
        query = HTTPRequest(
            f'http://{address}{path}',
            method,
            heads,
            data,
            request_timeout=span,
            connect_timeout=min(span, CONNECT_MS / 1000),
            follow_redirects=False,
            decompress_response=False,
            allow_nonstandard_methods=True,
            prepare_curl_callback=single if once else None,
        )
        return CurlFlow(self.client, query, raw)

    async def close(self) -> None:
        """Stop listening: `await web.close()`."""
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
    once: bool = False,
) -> tuple[int, Any, dict]:
    """One whole answer: status, JSON body, headers; Fault if none came.

    `status, body, heads = await fetch(web, '127.0.0.1:9000', 'GET', '/report')`
    """
    flow = web.open(address, method, path, body, headers, limit, once)
    status, heads, lines = 0, {}, []
    try:
        while True:
            kind, *rest = await flow.next()
            if kind == 'head':
                status, heads = rest
            elif kind == 'line':
                lines.append(rest[0])
            elif rest[0] is not None:
                raise Fault(rest[0], f'{method} {address}{path}')
            else:
                return status, lines[0] if len(lines) == 1 else lines or None, heads
    finally:
        flow.abort()
