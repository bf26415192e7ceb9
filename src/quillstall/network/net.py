"""Net: one process's messages to and from the others, by IP number and port."""

import asyncio
import socket
import struct
from collections.abc import Awaitable, Callable, Iterator
from datetime import timedelta

import cbor2
from tornado.iostream import IOStream, StreamClosedError
from zope.interface import Interface, implementer

from quillstall.runtime.errors import Fault

MAGIC = b'QST1'
MOST = 32 * 1024 * 1024
BACKLOG = 128
REDIAL = timedelta(milliseconds=200)  # an attempt to connect is joined by another after so long
USER_TIMEOUT_MS = 1500  # what is sent and not confirmed for so long breaks the connection
CONNECT_LIMIT = timedelta(seconds=2)
READ_BYTES = 64 * 1024  # taken from a connection at once, at most
LENGTH = struct.Struct('>I')
Handler = Callable[[dict], Awaitable[dict]]


class INet(Interface):
    """Asking and being asked. Each message is a dictionary; so is each return."""

    async def serve(address, handler):
        """Listen at 'ip:port'; each message is handed to `handler` and its return sent back."""

    async def ask(address, message, limit):
        """The return of the process there. Fault 'unreachable': nothing was sent;
        'lost' or 'slow': it may have been taken; any other code: its own refusal."""

    async def close():
        """Stop listening and drop all links."""


def split(address: str) -> tuple[str, int]:
    """The IP number and the port of an address.

    >>> split('127.0.0.1:7000')
    ('127.0.0.1', 7000)
    """
    host, _, port = address.rpartition(':')
    return host, int(port)


def quick(sock: socket.socket) -> None:
    """Make a socket send at once and notice a silent peer soon."""
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, USER_TIMEOUT_MS)


async def connect(address: str, limit: timedelta, source: str | None = None) -> IOStream:
    """A new connection, without a look-up of names; Fault 'unreachable' if none comes in time.

    `stream = await connect('127.0.0.1:9000', from_ms(400))`
    """
    sock = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
    quick(sock)
    stream = IOStream(sock, max_buffer_size=104857600)
    try:
        if source:
            sock.bind((source, 0))
        async with asyncio.timeout(max(0.0, limit.total_seconds())):
            await stream.connect(split(address))
    except (OSError, StreamClosedError, TimeoutError) as e:
        stream.close()
        raise Fault('unreachable', f'{address}: {type(e).__name__} {e}') from e
    except BaseException:
        stream.close()
        raise
    return stream


def pack(call: int, message: dict) -> bytes:
    """One frame: its length, then the call's number and the message in CBOR.

    >>> unpack(pack(3, {'k': 'hi'})[4:])
    (3, {'k': 'hi'})
    """
    body = cbor2.dumps([call, message])
    return LENGTH.pack(len(body)) + body


def unpack(body: bytes) -> tuple[int, dict]:
    """The call's number and the message of a frame's body; Fault 'garbled' if it is none.

    >>> unpack(b'zzz')
    Traceback (most recent call last):
    quillstall.runtime.errors.Fault: garbled: not a frame of ours
    """
    try:
        call, message = cbor2.loads(body)
    except Exception as e:
        raise Fault('garbled', 'not a frame of ours') from e
    if not isinstance(call, int) or not isinstance(message, dict):
        raise Fault('garbled', 'not a frame of ours')
    return call, message


class FrameCutter:
    """Cuts the bytes that a connection brings into frames.

    >>> cutter, data = FrameCutter(), pack(1, {'k': 'a'}) + pack(2, {'k': 'b'})
    >>> list(cutter.take(data[:-1])), list(cutter.take(data[-1:]))
    ([(1, {'k': 'a'})], [(2, {'k': 'b'})])
    """

    def __init__(self) -> None:
        self.left = bytearray()

    def take(self, data: bytes) -> Iterator[tuple[int, dict]]:
        """The frames that are whole now, each removed as it is given; Fault 'garbled' at one that is none."""
        self.left += data
        while len(self.left) >= LENGTH.size:
            (size,) = LENGTH.unpack_from(self.left)
            if size > MOST:
                raise Fault('garbled', f'a frame of {size} bytes')
            end = LENGTH.size + size
            if len(self.left) < end:
                return
            body = bytes(self.left[LENGTH.size : end])
            del self.left[:end]
            yield unpack(body)


async def dial_once(address: str, source: str | None) -> socket.socket:
    """One attempt to connect, for as long as it takes; OSError if it is refused."""
    sock = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
    try:
        sock.setblocking(False)
        quick(sock)
        if source:
            sock.bind((source, 0))
        await asyncio.get_running_loop().sock_connect(sock, split(address))
    except BaseException:
        sock.close()
        raise
    return sock


async def dial(address: str, source: str | None) -> socket.socket:
    """A connected socket. The system repeats a lost first packet only after a second, so a machine that comes
    back meanwhile would be met late: a further attempt is made beside the earlier ones each 200 ms."""
    attempts: set[asyncio.Task] = set()
    try:
        while True:
            attempts.add(asyncio.ensure_future(dial_once(address, source)))
            done, _ = await asyncio.wait(
                attempts, timeout=REDIAL.total_seconds(), return_when=asyncio.FIRST_COMPLETED
            )
            if done:
                first = done.pop()
                attempts.discard(first)
                return first.result()
    finally:
        for attempt in attempts:
            attempt.add_done_callback(close_unused)
            attempt.cancel()


def close_unused(attempt: asyncio.Task) -> None:
    """Close the socket of an attempt that came second."""
    if not attempt.cancelled() and attempt.exception() is None:
        attempt.result().close()


class Connection:
    """One connection between two processes, in either direction."""

    def __init__(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter):
        self.reader = reader
        self.writer = writer
        self.cutter = FrameCutter()

    @classmethod
    async def open(cls, address: str, limit: timedelta, source: str | None = None) -> 'Connection':
        """A new connection, greeted; Fault 'unreachable' if none comes in time."""
        try:
            async with asyncio.timeout(max(0.0, limit.total_seconds())):
                sock = await dial(address, source)
                reader, writer = await asyncio.open_connection(sock=sock)
        except (OSError, TimeoutError) as e:
            raise Fault('unreachable', f'{address}: {type(e).__name__} {e}') from e
        writer.write(MAGIC)
        return cls(reader, writer)

    async def read(self) -> bytes:
        """What has come since; empty at the end of the connection, however it ended."""
        try:
            return await self.reader.read(READ_BYTES)
        except OSError:
            return b''

    async def greeted(self) -> bool:
        """Whether the other side says that it is one of ours: `await connection.greeted()`."""
        try:
            return await self.reader.readexactly(len(MAGIC)) == MAGIC
        except (OSError, asyncio.IncompleteReadError):
            return False

    def send(self, call: int, message: dict) -> None:
        """Write one frame: `connection.send(1, {'k': 'hi'})`. On a closed connection nothing is written."""
        if not self.closed():
            self.writer.write(pack(call, message))

    async def drain(self) -> None:
        """Wait while the other side reads too slowly."""
        try:
            await self.writer.drain()
        except OSError:
            self.close()

    def closed(self) -> bool:
        """Whether either side has closed it."""
        return self.writer.is_closing()

    def close(self) -> None:
        """Close it at once; what is not sent yet is dropped."""
        self.writer.transport.abort()


async def answer(handler: Handler, message: dict) -> dict:
    """What the handler returns, a Fault packed: `await answer(handler, {'k': 'hi'})`."""
    try:
        return await handler(message)
    except Fault as e:
        return e.pack()
    except (KeyError, TypeError, ValueError, AttributeError) as e:
        return Fault('garbled', f'{type(e).__name__}: {e}').pack()


class Listener:
    """Takes the links of others; one task for each link reads it, one for each call answers."""

    def __init__(self, handler: Handler, count: Callable[[str], None]):
        self.handler = handler
        self.count = count
        self.tasks: set = set()
        self.connections: set[Connection] = set()
        self.server: asyncio.Server | None = None

    async def listen(self, address: str) -> None:
        """Take connections at an address: `await listener.listen('127.0.0.1:7000')`."""
        host, port = split(address)
        self.server = await asyncio.start_server(self.serve, host, port, backlog=BACKLOG)

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        """One link from its greeting to its end."""
        connection = Connection(reader, writer)
        self.connections.add(connection)
        quick(writer.get_extra_info('socket'))
        try:
            if await connection.greeted():
                await self.read(connection)
            else:
                self.count('net.stranger')
        except Fault:
            self.count('net.garbled')
        finally:
            self.connections.discard(connection)
            connection.close()

    async def read(self, connection: Connection) -> None:
        """Answer each call of a link until its end; Fault 'garbled' at what is no frame."""
        while data := await connection.read():
            for call, message in connection.cutter.take(data):
                task = asyncio.ensure_future(self.one(connection, call, message))
                self.tasks.add(task)
                task.add_done_callback(self.tasks.discard)

    async def one(self, connection: Connection, call: int, message: dict) -> None:
        """Answer one call."""
        connection.send(call, await answer(self.handler, message))
        await connection.drain()

    def close(self) -> None:
        """Stop listening and drop the links."""
        if self.server:
            self.server.close()
        for connection in list(self.connections):
            connection.close()


class Link:
    """One outgoing link: its connection, its calls in flight, and the task that reads it."""

    def __init__(self, connection: Connection):
        self.connection = connection
        self.calls: dict[int, asyncio.Future] = {}
        self.last = 0
        self.heard = 0.0  # when anything last came back on it
        self.task = asyncio.ensure_future(self.run())

    def closed(self) -> bool:
        """Whether nothing can be asked on it any more."""
        return self.task.done() or self.connection.closed()

    async def run(self) -> None:
        """Hand each return to whoever asked, until the link ends."""
        try:
            while data := await self.connection.read():
                self.heard = asyncio.get_running_loop().time()
                for call, ret in self.connection.cutter.take(data):
                    wait = self.calls.pop(call, None)
                    if wait and not wait.done():
                        wait.set_result(ret)
        except Fault:
            pass
        finally:
            self.connection.close()
            for wait in self.calls.values():
                if not wait.done():
                    wait.set_result(Fault('lost', 'the link broke').pack())
            self.calls.clear()


@implementer(INet)
class TcpNet:
    """The net over TCP."""

    def __init__(self, count: Callable[[str], None] = lambda what: None, source: str | None = None):
        self.count = count
        self.source = source  # the IP number that our own links start from
        self.links: dict[str, Link] = {}
        self.locks: dict[str, asyncio.Lock] = {}
        self.listener: Listener | None = None

    async def serve(self, address: str, handler: Handler) -> None:
        """Listen: `await net.serve('127.0.0.1:7000', handler)`."""
        self.listener = Listener(handler, self.count)
        await self.listener.listen(address)

    async def open(self, address: str) -> Connection:
        """A new connection for a link to an address."""
        return await Connection.open(address, CONNECT_LIMIT, self.source)

    async def link(self, address: str) -> Link:
        """The link to an address; a new one where there is none that works."""
        link = self.links.get(address)
        if link and not link.closed():
            return link
        lock = self.locks.setdefault(address, asyncio.Lock())
        async with lock:
            link = self.links.get(address)
            if link is None or link.closed():
                link = self.links[address] = Link(await self.open(address))
            return link

    async def ask(self, address: str, message: dict, limit: timedelta) -> dict:
        """Ask one process: `await net.ask('127.0.0.1:7000', {'k': 'hi'}, from_ms(500))`."""
        sent = None
        try:
            async with asyncio.timeout(max(0.0, limit.total_seconds())):
                link = await self.link(address)
                link.last += 1
                call = link.last
                wait = link.calls[call] = asyncio.get_running_loop().create_future()
                sent = asyncio.get_running_loop().time()
                try:
                    link.connection.send(call, message)
                    ret = await wait
                finally:
                    link.calls.pop(call, None)
        except TimeoutError as e:
            if sent is not None and link.heard < sent:  # nothing at all has come back since: the link may
                self.count('net.silent')  # be dead without knowing it; the next ask makes another
                link.connection.close()
            raise Fault(
                'slow' if sent is not None else 'unreachable', f'{address}: no return in {limit}'
            ) from e
        if 'fault' in ret:
            raise Fault.unpack(ret)
        return ret

    async def close(self) -> None:
        """Stop listening and drop all links: `await net.close()`."""
        if self.listener:
            self.listener.close()
        for link in self.links.values():
            link.connection.close()
