"""Net: one process's messages to and from the others, by IP number and port."""

import asyncio
import socket
import struct
from collections.abc import Awaitable, Callable
from datetime import timedelta
from typing import Any

import cbor2
from tornado.iostream import IOStream, StreamClosedError
from tornado.tcpserver import TCPServer
from zope.interface import Interface, implementer

from quillstall.runtime.errors import Fault

MAGIC = b'QST1'
MOST = 32 * 1024 * 1024
USER_TIMEOUT_MS = 1500  # what is sent and not confirmed for so long breaks the connection
CONNECT_LIMIT = timedelta(seconds=2)
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

    `stream = await connect('127.0.0.1:9000', of_ms(400))`
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
    return struct.pack('>I', len(body)) + body


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


async def read(stream: IOStream) -> tuple[int, dict]:
    """The next frame of a stream: `call, message = await read(stream)`."""
    (size,) = struct.unpack('>I', await stream.read_bytes(4))
    if size > MOST:
        raise Fault('garbled', f'a frame of {size} bytes')
    return unpack(await stream.read_bytes(size))


async def answer(handler: Handler, message: dict) -> dict:
    """What the handler returns, a Fault packed: `await answer(handler, {'k': 'hi'})`."""
    try:
        return await handler(message)
    except Fault as e:
        return e.pack()
    except (KeyError, TypeError, ValueError, AttributeError) as e:
        return Fault('garbled', f'{type(e).__name__}: {e}').pack()


class Listener(TCPServer):
    """Takes the links of others; one task for each link reads it, one for each call answers."""

    def __init__(self, handler: Handler, count: Callable[[str], None]):
        super().__init__()
        self.handler = handler
        self.count = count
        self.tasks: set = set()
        self.streams: set = set()

    async def handle_stream(self, stream: IOStream, address: Any) -> None:
        """One link from its greeting to its end."""
        self.streams.add(stream)
        quick(stream.socket)
        try:
            if await stream.read_bytes(4) != MAGIC:
                self.count('net.stranger')
                return
            while True:
                call, message = await read(stream)
                task = asyncio.ensure_future(self.one(stream, call, message))
                self.tasks.add(task)
                task.add_done_callback(self.tasks.discard)
        except StreamClosedError:
            pass
        except Fault:
            self.count('net.garbled')
        finally:
            self.streams.discard(stream)
            stream.close()

    async def one(self, stream: IOStream, call: int, message: dict) -> None:
        ret = await answer(self.handler, message)
        try:
            await stream.write(pack(call, ret))
        except StreamClosedError:
            pass


class Link:
    """One outgoing link: its socket, its calls in flight, and the task that reads it."""

    def __init__(self, stream: IOStream):
        self.stream = stream
        self.calls: dict[int, asyncio.Future] = {}
        self.last = 0
        self.heard = 0.0  # when anything last came back on it
        self.task = asyncio.ensure_future(self.run())

    async def run(self) -> None:
        try:
            while True:
                call, ret = await read(self.stream)
                self.heard = asyncio.get_running_loop().time()
                wait = self.calls.pop(call, None)
                if wait and not wait.done():
                    wait.set_result(ret)
        except (StreamClosedError, Fault):
            pass
        finally:
            self.stream.close()
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
        host, port = split(address)
        self.listener = Listener(handler, self.count)
        self.listener.listen(port, host, reuse_port=False)

    async def link(self, address: str) -> Link:
        lock = self.locks.setdefault(address, asyncio.Lock())
        async with lock:
            link = self.links.get(address)
            if link and not link.task.done() and not link.stream.closed():
                return link
            stream = await connect(address, CONNECT_LIMIT, self.source)
            stream.write(MAGIC)
            link = self.links[address] = Link(stream)
            return link

    async def ask(self, address: str, message: dict, limit: timedelta) -> dict:
        """Ask one process: `await net.ask('127.0.0.1:7000', {'k': 'hi'}, of_ms(500))`."""
        sent = None
        try:
            async with asyncio.timeout(max(0.0, limit.total_seconds())):
                link = await self.link(address)
                link.last += 1
                call = link.last
                wait = link.calls[call] = asyncio.get_running_loop().create_future()
                sent = asyncio.get_running_loop().time()
                try:
                    link.stream.write(pack(call, message))
                    ret = await wait
                finally:
                    link.calls.pop(call, None)
        except StreamClosedError as e:
            raise Fault('lost', f'{address}: the link broke') from e
        except TimeoutError as e:
            if sent is not None and link.heard < sent:  # nothing at all has come back since: the link may
                self.count('net.silent')  # be dead without knowing it; the next ask makes another
                link.stream.close()
            raise Fault(
                'slow' if sent is not None else 'unreachable', f'{address}: no return in {limit}'
            ) from e
        if 'fault' in ret:
            raise Fault.of(ret)
        return ret

    async def close(self) -> None:
        """Stop listening and drop all links: `await net.close()`."""
        if self.listener:
            self.listener.stop()
            for stream in list(self.listener.streams):
                stream.close()
        for link in self.links.values():
            link.stream.close()
