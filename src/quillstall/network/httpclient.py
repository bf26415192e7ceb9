"""An HTTP/1.1 client for replicas that sends each request at most once, over tornado's connections.

A client that resends a request by itself when a pooled connection turns out to be closed would run an
operation twice. This one checks a pooled connection just before the request is written, writes the request
once, and reports every failure to the caller.
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

from quillstall.network.header_numbers import whole_number
from quillstall.network.net import connect
from quillstall.network.pacing import PIECE_UNITS, Pace, PacedStream
from quillstall.runtime.byte_budget import ByteBudget, Reservation
from quillstall.runtime.errors import Fault

CONNECT_TIMEOUT = timedelta(milliseconds=400)
DEFAULT_IDLE_TIMEOUT = timedelta(seconds=4)  # where a server's Keep-Alive header names none
MAX_IDLE_CONNECTIONS = 8  # to one endpoint
LARGE_BODY_BYTES = 64 * 1024
MAX_BUFFERED_BYTES = 64 * 1024  # of a response that nobody has taken yet
MAX_HEAD_BYTES = 64 * 1024
MAX_RESPONSE_BYTES = 8 * 1024 * 1024  # of a response's body
MAX_SURPLUS_RESPONSES = 4  # that are skipped on one connection before the response that is due
UNITS_PER_S = 12_000  # of work for each group of endpoints
BURST_UNITS = 500
CONNECTION_PARAMETERS = HTTP1ConnectionParameters(
    max_header_size=MAX_HEAD_BYTES, max_body_size=MAX_RESPONSE_BYTES
)
ResponseTest = Callable[[int, HTTPHeaders], bool]


def never(status: int, headers: HTTPHeaders) -> bool:
    """Return False for every response: `never(200, HTTPHeaders())`."""
    return False


def is_reusable(stream: IOStream) -> bool:
    """Return whether an idle connection is open and has received nothing since its last response."""
    if stream.closed() or stream._read_buffer_size:
        return False
    try:
        stream.socket.recv(1, socket.MSG_PEEK | socket.MSG_DONTWAIT)
    except BlockingIOError:
        return True
    except OSError:
        return False
    return False  # end of file, or bytes that belong to no request


def begin_request(
    stream: IOStream, start_line: RequestStartLine, headers: HTTPHeaders, body: bytes
) -> HTTP1Connection | None:
    """Write a request; return None if the connection closed before the kernel took a byte of it.

    Only then may the request be written to another connection: `begin_request(stream, line, headers, b'')`.
    """
    written_before = stream._total_write_done_index
    stream.set_nodelay(True)
    conn = HTTP1Connection(stream, True, CONNECTION_PARAMETERS)
    large = len(body) > LARGE_BODY_BYTES  # written apart from the headers, and so not copied
    written = conn.write_headers(start_line, headers, None if large else body or None)
    written.add_done_callback(lambda f: f.cancelled() or f.exception())
    if large:
        conn.write(body).add_done_callback(lambda f: f.cancelled() or f.exception())
    conn.finish()
    nothing_written = stream._total_write_done_index == written_before
    return None if stream.closed() and nothing_written else conn


class IdleConnection:
    """A pooled connection, with the time since when it is idle and its idle timeout in seconds."""

    def __init__(self, stream: IOStream, idle_since: float, idle_timeout: float):
        self.stream = stream
        self.idle_since = idle_since
        self.idle_timeout = idle_timeout


class Exchange(HTTPMessageDelegate):
    """A request that is in progress: `status, headers = await exchange.read_headers(timeout)`, then
    `await exchange.read_data(timeout)` until it returns None.

    A response is accepted if it identifies itself as the response to this request (`matches`). One that does
    not say which request it belongs to (`accept_unidentified`) is accepted only on a connection that carried
    no request before: on a pooled connection it may be an extra response to an earlier request. All others
    are skipped, up to `MAX_SURPLUS_RESPONSES`. A body of more than `MAX_RESPONSE_BYTES` breaks the exchange off.
    """

    def __init__(
        self,
        client: 'HttpClient',
        endpoint: tuple,
        stream: IOStream,
        matches: ResponseTest,
        accept_unidentified: ResponseTest,
        first_on_connection: bool,
        group: str,
    ):
        self.client = client
        self.endpoint = endpoint
        self.stream = stream
        self.matches = matches
        self.accept_unidentified = accept_unidentified
        self.first_on_connection = first_on_connection
        self.identified = False  # whether the response identifies itself as the response to this request
        self.status = 0
        self.headers: Any = None
        self.chunks: deque = deque()
        self.buffered = Reservation(client.budget, group)  # the chunks
        self.pace = client.pace_of(group)
        self.buffer_taken: asyncio.Future | None = None  # done once a full buffer has been taken
        self.skipping = False
        self.has_headers = False
        self.complete = False
        self.fault: Fault | None = None
        self.progress: asyncio.Future | None = None
        self.task: Any = None

    # callbacks of tornado's HTTP1Connection

    def headers_received(self, start_line: Any, headers: Any) -> None:
        if 100 <= start_line.code < 200:
            return
        self.identified = self.matches(start_line.code, headers)
        if not self.identified and not (
            self.first_on_connection and self.accept_unidentified(start_line.code, headers)
        ):
            self.skipping = True  # an extra response to an earlier request
            return
        self.status, self.headers, self.has_headers = start_line.code, headers, True
        self.notify()

    def data_received(self, chunk: bytes) -> asyncio.Future | None:
        if self.skipping:
            return None
        self.chunks.append(chunk)
        self.buffered.add(len(chunk))
        self.pace.charge(PIECE_UNITS)
        self.notify()
        if self.buffered.size <= MAX_BUFFERED_BYTES:
            return None
        self.buffer_taken = asyncio.get_running_loop().create_future()
        return self.buffer_taken  # no more is read until then

    def finish(self) -> None:
        if not self.skipping and self.has_headers:
            self.complete = not self.ends_with_connection() or self.closed_by_server()

    def on_connection_close(self) -> None:
        pass

    # the task that reads the response

    async def read(self, conn: HTTP1Connection) -> None:
        try:
            await self.read_until_accepted(conn)
        except HTTPInputError as e:  # not HTTP, or past a limit
            self.client.count('back.malformed')
            self.fault = self.fault or Fault('lost', f'{self.endpoint[0]}: {e}')
        except (StreamClosedError, OSError, ValueError) as e:
            self.fault = self.fault or Fault('lost', f'{self.endpoint[0]}: {type(e).__name__}')
        except asyncio.CancelledError:
            self.fault = self.fault or Fault('lost', 'cut off')
            raise
        finally:
            if self.complete:
                self.release_connection()
            else:
                self.fault = self.fault or Fault('lost', f'{self.endpoint[0]}: the connection broke')
                self.stream.close()
            self.client.exchanges.discard(self)
            self.notify()

    async def read_until_accepted(self, conn: HTTP1Connection) -> None:
        """Read responses up to the first one that is accepted. Raises HTTPInputError if too many are skipped."""
        for _ in range(MAX_SURPLUS_RESPONSES + 1):
            await conn.read_response(self)
            if not self.skipping or self.stream.closed():
                return
            self.client.count('back.surplus')
            self.skipping = False
            conn = HTTP1Connection(self.stream, True, CONNECTION_PARAMETERS)
            conn.finish()
        raise HTTPInputError('too many responses that belong to no request')

    def ends_with_connection(self) -> bool:
        """Return whether only the end of the connection marks the end of the body."""
        return (
            self.status not in (204, 304)
            and 'Content-Length' not in self.headers
            and 'Transfer-Encoding' not in self.headers
        )

    def closed_by_server(self) -> bool:
        """Return whether the server closed the connection, without a reset."""
        return self.stream.closed() and self.stream.error is None and self.fault is None

    def release_connection(self) -> None:
        """Return the connection to the pool, or close it if it can't be reused."""
        closing = self.headers.get('Connection', '').lower() == 'close'
        if closing or not self.identified or not is_reusable(self.stream):
            self.stream.close()
            return
        self.client.release(self.endpoint, self.stream, self.headers.get('Keep-Alive'))

    def notify(self) -> None:
        if self.progress is not None and not self.progress.done():
            self.progress.set_result(None)

    async def wait_for_progress(self, timeout: timedelta) -> None:
        """Wait for headers, data, the end or a fault. Raises Fault 'slow' if nothing comes in time."""
        self.progress = asyncio.get_running_loop().create_future()
        try:
            async with asyncio.timeout(max(0.0, timeout.total_seconds())):
                await self.progress
        except TimeoutError as e:
            raise Fault('slow', f'{self.endpoint[0]} is silent') from e
        finally:
            self.progress = None

    async def read_headers(self, timeout: timedelta) -> tuple[int, Any]:
        """Return the status and headers: `status, headers = await exchange.read_headers(from_ms(500))`."""
        if not self.has_headers and self.fault is None:
            await self.wait_for_progress(timeout)
        if self.has_headers:
            return self.status, self.headers
        raise self.fault.fresh() if self.fault else Fault('lost', self.endpoint[0])

    async def read_data(self, timeout: timedelta) -> bytes | None:
        """Return more of the body, or None at its end: `await exchange.read_data(from_ms(500))`."""
        while True:
            if self.chunks:
                data = b''.join(self.chunks)
                self.clear_buffer()
                return data
            if self.complete:
                return None
            if self.fault is not None:
                raise self.fault.fresh()
            await self.wait_for_progress(timeout)

    def clear_buffer(self) -> None:
        """Drop what is buffered, and let more be read."""
        self.chunks.clear()
        self.buffered.release()
        if self.buffer_taken is not None and not self.buffer_taken.done():
            self.buffer_taken.set_result(None)

    def abort(self, fault: Fault | None = None) -> None:
        """Drop what nobody has taken, and close the connection unless the response is complete: `exchange.abort()`."""
        if not self.complete:
            self.fault = self.fault or fault or Fault('lost', 'cut off')
            self.stream.close()
            self.notify()
        self.clear_buffer()


class HttpClient:
    """A client with a pool of idle connections by endpoint: an address and the id of the server at it.

    Endpoints belong to groups, such as a pool of replicas. What the endpoints of one group send is read at one pace,
    and what nobody has taken of it counts as the group's in `budget`.
    """

    def __init__(
        self, count: Callable[[str], None], source: str | None = None, budget: ByteBudget | None = None
    ):
        self.count = count
        self.source = source
        self.budget = budget or ByteBudget()
        self.paces: dict[str, Pace] = {}
        self.idle_connections: dict[tuple, list[IdleConnection]] = {}
        self.tasks: set = set()
        self.exchanges: set[Exchange] = set()  # those whose responses are not complete yet

    def now(self) -> float:
        return asyncio.get_running_loop().time()

    def pace_of(self, group: str) -> Pace:
        """Return the pace at which a group of endpoints is read: `client.pace_of('pool')`."""
        if group not in self.paces:
            self.paces[group] = Pace(UNITS_PER_S, BURST_UNITS, self.now)
        return self.paces[group]

    def release(self, endpoint: tuple, stream: IOStream, keep_alive: str | None) -> None:
        """Return a connection to the pool, with the timeout of a Keep-Alive header such as 'timeout=5'."""
        idle_timeout = DEFAULT_IDLE_TIMEOUT.total_seconds()
        for item in (keep_alive or '').replace(';', ',').split(','):
            name, _, value = item.strip().partition('=')
            timeout_s = whole_number(value)
            if name.lower() == 'timeout' and timeout_s is not None:
                idle_timeout = float(timeout_s)
        connections = self.idle_connections.setdefault(endpoint, [])
        connections.append(IdleConnection(stream, self.now(), idle_timeout))
        if len(connections) > MAX_IDLE_CONNECTIONS:
            connections.pop(0).stream.close()

    def acquire(self, endpoint: tuple, max_idle_fraction: float) -> IOStream | None:
        """Return a reusable connection that was idle for less than this fraction of its timeout, if any."""
        connections = self.idle_connections.get(endpoint, [])
        while connections:
            idle = connections.pop()
            if self.now() - idle.idle_since < idle.idle_timeout * max_idle_fraction and is_reusable(
                idle.stream
            ):
                return idle.stream
            idle.stream.close()
        return None

    def close_expired(self) -> None:
        """Close the idle connections that are near their timeout or no longer reusable, and forget idle paces."""
        self.paces = {group: pace for group, pace in self.paces.items() if not pace.idle()}
        for endpoint, connections in list(self.idle_connections.items()):
            remaining = []
            for idle in connections:
                if self.now() - idle.idle_since < idle.idle_timeout * 0.8 and is_reusable(idle.stream):
                    remaining.append(idle)
                else:
                    idle.stream.close()
            if remaining:
                self.idle_connections[endpoint] = remaining
            else:
                del self.idle_connections[endpoint]

    async def open(
        self,
        address: str,
        server_id: str,
        method: str,
        path: str,
        headers: HTTPHeaders,
        body: bytes,
        matches: ResponseTest,
        max_idle_fraction: float = 0.8,
        timeout: timedelta = CONNECT_TIMEOUT,
        accept_unidentified: ResponseTest = never,
        before_write: Callable[[], None] = lambda: None,
        group: str = '',
    ) -> Exchange:
        """Send a request once: `exchange = await client.open('127.0.0.1:9000', 'i-1', 'GET', '/', ...)`.

        `server_id` identifies the server at the address, so that no connection to an earlier one is reused.
        `matches(status, headers)` returns whether a response is to this request; `accept_unidentified` whether
        one that does not say so may be accepted on a connection that carried no other request. A pooled
        connection is used only if it was idle for less than `max_idle_fraction` of its timeout; 0 always opens
        a new one. `before_write` is called once there is a connection, which may take long; if it raises, nothing
        is sent and the connection is pooled. `group` is the group of the endpoint. Raises Fault 'unreachable' if
        nothing was sent.
        """
        endpoint = (address, server_id)
        if body or method in ('POST', 'PUT', 'PATCH'):
            headers['Content-Length'] = str(len(body))
        start_line = RequestStartLine(method, path, 'HTTP/1.1')
        conn, first_on_connection = None, False
        while conn is None:
            if first_on_connection:
                raise Fault('unreachable', f'{address}: closed before anything was written')
            stream = self.acquire(endpoint, max_idle_fraction) if max_idle_fraction > 0 else None
            first_on_connection = stream is None
            if stream is None:
                pace = self.pace_of(group)
                stream = await connect(
                    address,
                    min(timeout, CONNECT_TIMEOUT),
                    self.source,
                    lambda sock, pace=pace: PacedStream(sock, pace),
                )
                self.count('back.connect')
            try:
                before_write()
            except Fault:
                self.release(endpoint, stream, None)
                raise
            conn = begin_request(stream, start_line, headers, body)
        exchange = Exchange(self, endpoint, stream, matches, accept_unidentified, first_on_connection, group)
        self.exchanges.add(exchange)
        task = asyncio.ensure_future(exchange.read(conn))
        exchange.task = task
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)
        return exchange

    def abort_all(self, fault: Fault) -> None:
        """Abort all exchanges that are in progress: `client.abort_all(Fault('late'))`."""
        for exchange in list(self.exchanges):
            exchange.abort(fault)

    def close(self) -> None:
        """Close the idle connections."""
        for connections in self.idle_connections.values():
            for idle in connections:
                idle.stream.close()
        self.idle_connections.clear()
