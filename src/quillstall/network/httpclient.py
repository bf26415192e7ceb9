"""Httpclient: HTTP/1.1 to back ends, by tornado's connection, with the say over which connection is used.

Work that may not run twice needs that say: a client that sends a request again by itself when a kept
connection turns out dead would run it twice. Here a request is written once, on a connection that was
looked at just before; whatever happens then is told, never repaired in silence.
"""

import asyncio
import socket
from collections import deque
from collections.abc import Callable
from datetime import timedelta
from typing import Any

from tornado.http1connection import HTTP1Connection, HTTP1ConnectionParameters
from tornado.httputil import HTTPHeaders, HTTPInputError, HTTPMessageDelegate, RequestStartLine
from tornado.iostream import IOStream, StreamClosedError

from quillstall.network.net import connect
from quillstall.runtime.errors import Fault

CONNECT_LIMIT = timedelta(milliseconds=400)
IDLE = timedelta(seconds=4)  # where a back end does not tell how long it keeps a connection
KEPT_MOST = 8  # idle connections to one back end
PARAMS = HTTP1ConnectionParameters(max_header_size=65536, max_body_size=64 * 1024 * 1024)
AnswerTest = Callable[[int, HTTPHeaders], bool]


def never(status: int, headers: HTTPHeaders) -> bool:
    """The answer test that no answer passes: `never(200, HTTPHeaders())`."""
    return False


def quiet(stream: IOStream) -> bool:
    """Whether a kept connection is as it was left: open, and nothing has come on it unasked."""
    if stream.closed() or stream._read_buffer_size:
        return False
    try:
        stream.socket.recv(1, socket.MSG_PEEK | socket.MSG_DONTWAIT)
    except BlockingIOError:
        return True
    except OSError:
        return False
    return False  # an end, or bytes that belong to no request


def begin_request(
    stream: IOStream, start_line: RequestStartLine, headers: HTTPHeaders, body: bytes
) -> HTTP1Connection | None:
    """Write a request to a connection; None if the connection was closed before the system took a byte.

    Only then may the request be written to another connection: `begin_request(stream, line, headers, b'')`.
    """
    written_before = stream._total_write_done_index
    stream.set_nodelay(True)
    conn = HTTP1Connection(stream, True, PARAMS)
    written = conn.write_headers(start_line, headers, body or None)
    written.add_done_callback(lambda f: f.cancelled() or f.exception())
    conn.finish()
    nothing_taken = stream._total_write_done_index == written_before
    return None if stream.closed() and nothing_taken else conn


class Kept:
    """One kept connection."""

    def __init__(self, stream: IOStream, since: float, idle: float):
        self.stream = stream
        self.since = since
        self.idle = idle


class Exchange(HTTPMessageDelegate):
    """One request under way: `status, headers = await exchange.head(span)`, then
    `await exchange.data(span)` until it gives None.

    An answer is taken if it says that it is to this request (`matches`). One that does not say whose it
    is (`anonymous`) is taken only where no other request was sent on the connection before: on a kept
    connection it may be the surplus answer of an earlier request, and is skipped like one.
    """

    def __init__(
        self,
        client: 'HttpClient',
        place: tuple,
        stream: IOStream,
        matches: AnswerTest,
        anonymous: AnswerTest,
        first: bool,
    ):
        self.client = client
        self.place = place
        self.stream = stream
        self.matches = matches
        self.anonymous = anonymous
        self.first = first  # whether this is the first request on its connection
        self.tied = False  # whether the answer says that it is to this request
        self.status = 0
        self.headers: Any = None
        self.chunks: deque = deque()
        self.skip = False
        self.headed = False
        self.whole = False
        self.fault: Fault | None = None
        self.fresh: asyncio.Future | None = None
        self.task: Any = None

    # what tornado's connection tells

    def headers_received(self, start_line: Any, headers: Any) -> None:
        if 100 <= start_line.code < 200:
            return
        self.tied = self.matches(start_line.code, headers)
        if not self.tied and not (self.first and self.anonymous(start_line.code, headers)):
            self.skip = True  # a surplus answer in the place of ours
            return
        self.status, self.headers, self.headed = start_line.code, headers, True
        self.wake()

    def data_received(self, chunk: bytes) -> None:
        if not self.skip:
            self.chunks.append(chunk)
            self.wake()

    def finish(self) -> None:
        if not self.skip and self.headed:
            self.whole = not self.endless() or self.ended_cleanly()

    def on_connection_close(self) -> None:
        pass

    # the task that reads

    async def read(self, conn: HTTP1Connection) -> None:
        try:
            while True:
                await conn.read_response(self)
                if not self.skip or self.stream.closed():
                    break
                self.client.count('back.surplus')
                self.skip = False
                conn = HTTP1Connection(self.stream, True, PARAMS)
                conn.finish()
        except (StreamClosedError, HTTPInputError, OSError, ValueError) as e:
            self.fault = self.fault or Fault('lost', f'{self.place[0]}: {type(e).__name__}')
        except asyncio.CancelledError:
            self.fault = self.fault or Fault('lost', 'cut off')
            raise
        finally:
            if self.whole:
                self.keep()
            else:
                self.fault = self.fault or Fault('lost', f'{self.place[0]}: the connection broke')
                self.stream.close()
            self.client.exchanges.discard(self)
            self.wake()

    def endless(self) -> bool:
        """Whether the body's end is told by nothing but the end of the connection."""
        return (
            self.status not in (204, 304)
            and 'Content-Length' not in self.headers
            and 'Transfer-Encoding' not in self.headers
        )

    def ended_cleanly(self) -> bool:
        """Whether the back end has ended the connection by itself, without a reset."""
        return self.stream.closed() and self.stream.error is None and self.fault is None

    def keep(self) -> None:
        closing = self.headers.get('Connection', '').lower() == 'close'
        if closing or not self.tied or not quiet(self.stream):
            self.stream.close()
            return
        self.client.keep(self.place, self.stream, self.headers.get('Keep-Alive'))

    def wake(self) -> None:
        if self.fresh is not None and not self.fresh.done():
            self.fresh.set_result(None)

    async def more(self, limit: timedelta) -> None:
        """Wait until something has come: Fault 'slow' if nothing does in time."""
        self.fresh = asyncio.get_running_loop().create_future()
        try:
            async with asyncio.timeout(max(0.0, limit.total_seconds())):
                await self.fresh
        except TimeoutError as e:
            raise Fault('slow', f'{self.place[0]} is silent') from e
        finally:
            self.fresh = None

    async def head(self, limit: timedelta) -> tuple[int, Any]:
        """Status and head of the answer: `status, headers = await exchange.head(from_ms(500))`."""
        if not self.headed and self.fault is None:
            await self.more(limit)
        if self.headed:
            return self.status, self.headers
        raise self.fault or Fault('lost', self.place[0])

    async def data(self, limit: timedelta) -> bytes | None:
        """What has come of the body since, or None at its end: `await exchange.data(from_ms(500))`."""
        while True:
            if self.chunks:
                out = b''.join(self.chunks)
                self.chunks.clear()
                return out
            if self.whole:
                return None
            if self.fault is not None:
                raise self.fault
            await self.more(limit)

    def cut(self, fault: Fault | None = None) -> None:
        """Break it off, unless it is whole: `exchange.cut()`."""
        if not self.whole:
            self.fault = self.fault or fault or Fault('lost', 'cut off')
            self.stream.close()
            self.wake()


class HttpClient:
    """Connections to back ends, kept by address and the life that lives there."""

    def __init__(self, count: Callable[[str], None], source: str | None = None):
        self.count = count
        self.source = source
        self.kept: dict[tuple, list[Kept]] = {}
        self.tasks: set = set()
        self.exchanges: set[Exchange] = set()  # those whose answers have not come whole yet

    def now(self) -> float:
        return asyncio.get_running_loop().time()

    def keep(self, place: tuple, stream: IOStream, told: str | None) -> None:
        """Keep a connection for as long as the back end says: `client.keep(place, stream, 'timeout=5')`."""
        span = IDLE.total_seconds()
        for item in (told or '').replace(';', ',').split(','):
            name, _, value = item.strip().partition('=')
            if name.lower() == 'timeout' and value.strip().isdigit():
                span = float(value)
        row = self.kept.setdefault(place, [])
        row.append(Kept(stream, self.now(), span))
        if len(row) > KEPT_MOST:
            row.pop(0).stream.close()

    def take(self, place: tuple, part: float) -> IOStream | None:
        """A kept connection that has not rested for more than `part` of the time that it is kept."""
        row = self.kept.get(place, [])
        while row:
            kept = row.pop()
            if self.now() - kept.since < kept.idle * part and quiet(kept.stream):
                return kept.stream
            kept.stream.close()
        return None

    def tidy(self) -> None:
        """Close what has rested too long: `client.tidy()`, now and then."""
        for place, row in list(self.kept.items()):
            left = []
            for kept in row:
                if self.now() - kept.since < kept.idle * 0.8 and quiet(kept.stream):
                    left.append(kept)
                else:
                    kept.stream.close()
            if left:
                self.kept[place] = left
            else:
                del self.kept[place]

    async def open(
        self,
        address: str,
        life: str,
        method: str,
        path: str,
        headers: HTTPHeaders,
        body: bytes,
        matches: AnswerTest,
        part: float = 0.8,
        limit: timedelta = CONNECT_LIMIT,
        anonymous: AnswerTest = never,
        before_write: Callable[[], None] = lambda: None,
    ) -> Exchange:
        """Send one request, once: `exchange = await client.open('127.0.0.1:9000', 'i-1', 'GET', '/', ...)`.

        `life` names what lives at the address; `matches(status, headers)` says whether an answer is to this
        request, `anonymous(status, headers)` whether one that does not say so may be taken on a connection
        that carried no other; `part` is how much of a kept connection's time may have passed (0: always a
        new connection). `before_write` is called once there is a connection, which may take long; if it
        raises, nothing is sent and the connection is kept.
        Fault 'unreachable': nothing was sent.
        """
        place = (address, life)
        if body or method in ('POST', 'PUT', 'PATCH'):
            headers['Content-Length'] = str(len(body))
        start_line = RequestStartLine(method, path, 'HTTP/1.1')
        conn, first = None, False
        while conn is None:
            if first:
                raise Fault('unreachable', f'{address}: closed before anything was written')
            stream = self.take(place, part) if part > 0 else None
            first = stream is None
            if stream is None:
                stream = await connect(address, min(limit, CONNECT_LIMIT), self.source)
                self.count('back.connect')
            try:
                before_write()
            except Fault:
                self.keep(place, stream, None)
                raise
            conn = begin_request(stream, start_line, headers, body)
        exchange = Exchange(self, place, stream, matches, anonymous, first)
        self.exchanges.add(exchange)
        task = asyncio.ensure_future(exchange.read(conn))
        exchange.task = task
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)
        return exchange

    def cut_all(self, fault: Fault) -> None:
        """Break off all exchanges that are under way: `client.cut_all(Fault('late'))`."""
        for exchange in list(self.exchanges):
            exchange.cut(fault)

    def close(self) -> None:
        """Close what is kept: `client.close()`."""
        for row in self.kept.values():
            for kept in row:
                kept.stream.close()
        self.kept.clear()
