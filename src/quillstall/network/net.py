"""Request and reply messages between processes over TCP, addressed by IP number and port."""

import asyncio
import socket
import struct
from collections.abc import Awaitable, Callable, Iterator
from datetime import timedelta
from typing import Any

import cbor2
from tornado.iostream import IOStream, StreamClosedError
from zope.interface import Interface, implementer

from quillstall.network import listening, messages
from quillstall.network.pacing import READ_UNITS, UNIT_BYTES, Pace
from quillstall.runtime.byte_budget import ByteBudget, Reservation
from quillstall.runtime.errors import Fault

MAGIC = b'QST1'
MAX_FRAME_BYTES = 32 * 1024 * 1024
LARGE_FRAME_BYTES = 64 * 1024  # room is reserved for larger frames
FRAME_COPIES = 2  # of a frame's bytes while it is decoded
MAX_UNANSWERED_CALLS = 1024  # of one connection, before no more of it is read
MAX_UNANSWERED_BYTES = 1024 * 1024  # of their messages, without the large ones, for which room is reserved
UNITS_PER_S = 20_000  # of work for each connection
BURST_UNITS = 2000
FRAME_UNITS = 8
LISTEN_BACKLOG = 128
CONNECT_ATTEMPT_INTERVAL = timedelta(milliseconds=200)
TCP_USER_TIMEOUT_MS = 1500  # data that is not acknowledged for so long breaks the connection
CONNECT_TIMEOUT = timedelta(seconds=2)
MAX_READ_BYTES = 64 * 1024
LENGTH_PREFIX = struct.Struct('>I')
CBOR_PAIR = b'\x82'  # begins an array of two items
Handler = Callable[[dict], Awaitable[dict]]


class INet(Interface):
    """Sends and serves request messages. Each message and each reply is a dictionary."""

    async def serve(address, handler):
        """Listen at 'ip:port' and send back what `handler` returns for each message."""

    async def ask(address, message, limit):
        """Return the reply of the process at the address.

        Raises Fault 'unreachable' if nothing was sent, 'garbled' if the message cannot be encoded, 'lost' or
        'slow' if the message may have been handled, and any other code if the process replied with that fault.
        """

    async def close():
        """Stop listening and close all links."""


def parse_address(address: str) -> tuple[str, int]:
    """Return the IP number and the port of an address.

    >>> parse_address('127.0.0.1:7000')
    ('127.0.0.1', 7000)
    """
    host, _, port = address.rpartition(':')
    return host, int(port)


def set_socket_options(sock: socket.socket) -> None:
    """Turn off Nagle's algorithm, and limit how long sent data may stay unacknowledged."""
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, TCP_USER_TIMEOUT_MS)


async def connect(
    address: str,
    limit: timedelta,
    source: str | None = None,
    make_stream: Callable[[socket.socket], IOStream] = IOStream,
) -> IOStream:
    """Return a new connection, made without a name lookup. Raises Fault 'unreachable' if there is none in time.

    `stream = await connect('127.0.0.1:9000', from_ms(400))`
    """
    try:
        sock = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
    except OSError as e:  # no descriptor is left
        raise Fault('unreachable', f'{address}: {type(e).__name__} {e}') from e
    stream = make_stream(sock)
    try:
        set_socket_options(sock)
        if source:
            sock.bind((source, 0))
        async with asyncio.timeout(max(0.0, limit.total_seconds())):
            await stream.connect(parse_address(address))
    except (OSError, OverflowError, ValueError, StreamClosedError, TimeoutError) as e:
        stream.close()
        raise Fault('unreachable', f'{address}: {type(e).__name__} {e}') from e
    except BaseException:
        stream.close()
        raise
    return stream


def encode_frame(call_number: int, message: dict) -> bytes:
    """Return one frame: its length, then the call number and the message in CBOR.

    Raises Fault 'garbled' if CBOR cannot hold the message.

    >>> decode_frame(encode_frame(3, {'k': 'hi'})[4:])
    (3, {'k': 'hi'})
    """
    return frame_of(call_number, encode_message(message))


def frame_of(call_number: int, encoded_message: bytes) -> bytes:
    """Return the frame of an encoded message.

    >>> decode_frame(frame_of(3, encode_message({'k': 'hi'}))[4:])
    (3, {'k': 'hi'})
    """
    pair_header = CBOR_PAIR + cbor2.dumps(call_number)
    length = LENGTH_PREFIX.pack(len(pair_header) + len(encoded_message))
    return length + pair_header + encoded_message


def encode_message(message: Any) -> bytes:
    """Return a message in CBOR. Raises Fault 'garbled' if CBOR cannot hold it.

    >>> cbor2.loads(encode_message({'k': 'hi'}))
    {'k': 'hi'}
    """
    try:
        return cbor2.dumps(message)
    except (ValueError, TypeError, cbor2.CBOREncodeError) as e:
        raise Fault('garbled', f'{type(e).__name__}: {e}') from e


def encode_reply(reply: dict) -> bytes:
    """Return a reply in CBOR, or Fault 'internal' in its place if CBOR cannot hold it.

    >>> cbor2.loads(encode_reply({'k': object()}))['fault']
    'internal'
    """
    try:
        return encode_message(reply)
    except Fault as e:
        return encode_message(Fault('internal', e.text).pack())


def decode_frame(body: bytes) -> tuple[int, dict]:
    """Return the call number and the message of a frame's body. Raises Fault 'garbled' if it is malformed.

    >>> decode_frame(b'zzz')
    Traceback (most recent call last):
    quillstall.runtime.errors.Fault: garbled: not a frame of ours
    """
    try:
        call_number, message = cbor2.loads(body)
    except Exception as e:
        raise Fault('garbled', 'not a frame of ours') from e
    if not isinstance(call_number, int) or not isinstance(message, dict):
        raise Fault('garbled', 'not a frame of ours')
    return call_number, message


class FrameDecoder:
    """Splits the bytes that are read from a connection into frames.

    >>> decoder, data = FrameDecoder(), encode_frame(1, {'k': 'a'}) + encode_frame(2, {'k': 'b'})
    >>> list(decoder.feed(data[:-1])), list(decoder.feed(data[-1:]))
    ([(1, {'k': 'a'})], [(2, {'k': 'b'})])
    """

    def __init__(self, budget: ByteBudget | None = None) -> None:
        self.buffer = bytearray()
        self.frame_bytes = 0  # of the frame that was yielded last
        self.reservation = Reservation(budget or ByteBudget())

    def take_reservation(self) -> Reservation:
        """Return what is reserved for the frame that was yielded last; whoever takes it releases it."""
        taken, self.reservation = self.reservation, Reservation(self.reservation.budget)
        return taken

    def reserve(self, size: int) -> None:
        """Reserve room for a large frame. Raises Fault 'no_memory' without it."""
        if size <= LARGE_FRAME_BYTES or self.reservation.size:
            return
        if not self.reservation.try_grow(size * FRAME_COPIES):
            raise Fault('no_memory', f'a frame of {size} bytes')

    def feed(self, data: bytes) -> Iterator[tuple[int, dict]]:
        """Yield the frames that are complete. Raises Fault 'garbled' at a malformed one, 'no_memory' at one that
        there is no room for."""
        self.buffer += data
        while len(self.buffer) >= LENGTH_PREFIX.size:
            (size,) = LENGTH_PREFIX.unpack_from(self.buffer)
            if size > MAX_FRAME_BYTES:
                raise Fault('garbled', f'a frame of {size} bytes is too long')
            self.reserve(size)
            end = LENGTH_PREFIX.size + size
            if len(self.buffer) < end:
                return
            with memoryview(self.buffer) as view:
                body = bytes(view[LENGTH_PREFIX.size : end])
            del self.buffer[:end]
            self.frame_bytes = size
            yield decode_frame(body)
            self.reservation.release()


async def connect_socket_once(address: str, source: str | None) -> socket.socket:
    """Return a connected socket after one attempt without a time limit. Raises OSError if it fails."""
    sock = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
    try:
        sock.setblocking(False)
        set_socket_options(sock)
        if source:
            sock.bind((source, 0))
        await asyncio.get_running_loop().sock_connect(sock, parse_address(address))
    except BaseException:
        sock.close()
        raise
    return sock


async def connect_socket(address: str, source: str | None) -> socket.socket:
    """Return the first socket that connects, of attempts that start 200 ms apart and run concurrently.

    The kernel retransmits a lost SYN only after a second. A machine that comes back meanwhile is reached
    sooner by the next attempt.
    """
    attempts: set[asyncio.Task] = set()
    try:
        while True:
            attempts.add(asyncio.ensure_future(connect_socket_once(address, source)))
            done, _ = await asyncio.wait(
                attempts,
                timeout=CONNECT_ATTEMPT_INTERVAL.total_seconds(),
                return_when=asyncio.FIRST_COMPLETED,
            )
            if done:
                first = done.pop()
                attempts.discard(first)
                return first.result()
    finally:
        for attempt in attempts:
            attempt.add_done_callback(close_unused_socket)
            attempt.cancel()


def close_unused_socket(attempt: asyncio.Task) -> None:
    """Close the socket of an attempt that connected after another one."""
    if not attempt.cancelled() and attempt.exception() is None:
        attempt.result().close()


WHO_MESSAGE = encode_message({'k': 'who'})


class Connection:
    """A connection between two processes, incoming or outgoing."""

    def __init__(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter, budget: ByteBudget | None = None
    ):
        self.reader = reader
        self.writer = writer
        self.decoder = FrameDecoder(budget)
        self.pace = Pace(UNITS_PER_S, BURST_UNITS, asyncio.get_running_loop().time)

    @classmethod
    async def open(
        cls, address: str, limit: timedelta, source: str | None = None, budget: ByteBudget | None = None
    ) -> 'Connection':
        """Connect, write the magic bytes and return the connection. Raises Fault 'unreachable'."""
        try:
            async with asyncio.timeout(max(0.0, limit.total_seconds())):
                sock = await connect_socket(address, source)
                reader, writer = await asyncio.open_connection(sock=sock)
        except (OSError, OverflowError, ValueError, TimeoutError) as e:  # no address, or none that answers
            raise Fault('unreachable', f'{address}: {type(e).__name__} {e}') from e
        writer.write(MAGIC)
        return cls(reader, writer, budget)

    async def read(self) -> bytes:
        """Wait for data and return it; empty if the connection was closed or reset."""
        await self.pace.wait()
        try:
            data = await self.reader.read(MAX_READ_BYTES)
        except OSError:
            return b''
        self.pace.charge(READ_UNITS + len(data) // UNIT_BYTES)
        return data

    async def receive_magic(self) -> bool:
        """Return whether the peer begins with the magic bytes of this protocol."""
        try:
            return await self.reader.readexactly(len(MAGIC)) == MAGIC
        except (OSError, asyncio.IncompleteReadError):
            return False

    def send(self, call_number: int, encoded_message: bytes) -> None:
        """Write one frame, unless the connection is closed: `connection.send(1, encode_message({'k': 'hi'}))`."""
        if not self.closed():
            self.writer.write(frame_of(call_number, encoded_message))

    async def drain(self) -> None:
        """Wait until the peer has read enough for more to be written."""
        try:
            await self.writer.drain()
        except OSError:
            self.close()

    def closed(self) -> bool:
        """Return whether either side has closed the connection."""
        return self.writer.is_closing()

    def close(self) -> None:
        """Close the connection at once and drop data that is not sent yet."""
        self.decoder.reservation.release()
        self.writer.transport.abort()


def checked_reply(message: dict, reply: dict, count: Callable[[str], None]) -> dict:
    """Return a reply to a message. Raises the Fault that came in its place; Fault 'lost', as if none had come, if
    it is not of the type that the message asks for.

    >>> checked_reply({'k': 'duty'}, {'ok': True}, print)
    {'ok': True}
    >>> checked_reply({'k': 'duty'}, {'k': 1}, print)
    Traceback (most recent call last):
    quillstall.runtime.errors.Fault: lost: the reply to 'duty' is of another type
    """
    if not messages.is_reply(message, reply):
        count('net.malformed')
        raise Fault('lost', f'the reply to {message.get("k")!r} is of another type')
    if 'fault' in reply:
        raise Fault.unpack(reply)
    return reply


async def call_handler(handler: Handler, message: dict) -> dict:
    """Return the handler's reply, or the packed Fault that it raised: `await call_handler(handler, {'k': 'hi'})`.

    A message that is not of the type of its kind is refused."""
    if not messages.is_message(message):
        return Fault('garbled', f'no message of kind {message.get("k")!r}').pack()
    try:
        return await handler(message)
    except Fault as e:
        return e.pack()
    except Exception as e:  # an error of ours: the message is of its type
        return Fault('internal', f'{type(e).__name__}: {e}').pack()


class UnansweredCalls:
    """The calls of one connection that are being handled, and the bytes of their messages."""

    def __init__(self) -> None:
        self.tasks: set[asyncio.Task] = set()
        self.size = 0

    def add(self, task: asyncio.Task, size: int) -> None:
        """Count a call until its task is done: `calls.add(task, 200)`."""
        self.tasks.add(task)
        self.size += size
        task.add_done_callback(lambda done: self.remove(done, size))

    def remove(self, task: asyncio.Task, size: int) -> None:
        self.tasks.discard(task)
        self.size -= size

    async def wait_for_room(self) -> None:
        """Return once no more calls are unanswered than may be: `await calls.wait_for_room()`."""
        while self.size > MAX_UNANSWERED_BYTES or len(self.tasks) > MAX_UNANSWERED_CALLS:
            await asyncio.wait(self.tasks, return_when=asyncio.FIRST_COMPLETED)


class Listener:
    """Accepts connections of other processes. One task reads each connection, one more handles each call."""

    def __init__(self, handler: Handler, count: Callable[[str], None], budget: ByteBudget | None = None):
        self.handler = handler
        self.count = count
        self.budget = budget or ByteBudget()
        self.tasks: set = set()
        self.connections: set[Connection] = set()
        self.server: asyncio.Server | None = None

    async def listen(self, address: str) -> None:
        """Accept connections at an address, once it is free: `await listener.listen('127.0.0.1:7000')`."""
        listening_socket = await listening.listen(address, LISTEN_BACKLOG, self.count)
        self.server = await asyncio.start_server(self.serve, sock=listening_socket, backlog=LISTEN_BACKLOG)

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        """Serve one connection until it ends, and count a peer that does not speak this protocol."""
        connection = Connection(reader, writer, self.budget)
        self.connections.add(connection)
        set_socket_options(writer.get_extra_info('socket'))
        try:
            if await connection.receive_magic():
                await self.read_calls(connection)
            else:
                self.count('net.stranger')
        except Fault as e:
            self.count(f'net.{e.code}')
        finally:
            self.connections.discard(connection)
            connection.close()

    async def read_calls(self, connection: Connection) -> None:
        """Start a task for each call until the connection ends, and read no more while it has many unanswered ones.
        Raises Fault 'garbled' at a malformed frame."""
        unanswered = UnansweredCalls()
        while data := await connection.read():
            for call_number, message in connection.decoder.feed(data):
                connection.pace.charge(FRAME_UNITS)
                size = connection.decoder.frame_bytes
                reservation = connection.decoder.take_reservation()
                call = self.handle_call(connection, call_number, message, reservation)
                task = asyncio.ensure_future(call)
                self.tasks.add(task)
                task.add_done_callback(self.tasks.discard)
                unanswered.add(task, 0 if reservation.size else size)
                await unanswered.wait_for_room()
                await connection.pace.wait()

    async def handle_call(
        self, connection: Connection, call_number: int, message: dict, reservation: Reservation
    ) -> None:
        """Handle one call and send its reply. Large replies wait for one another while peers are slow to read."""
        try:
            reply = encode_reply(await call_handler(self.handler, message))
            if len(reply) > LARGE_FRAME_BYTES:
                await reservation.grow(len(reply))
            connection.send(call_number, reply)
            await connection.drain()
        finally:
            reservation.release()

    def close(self) -> None:
        """Stop listening and close the connections."""
        if self.server:
            self.server.close()
        for connection in list(self.connections):
            connection.close()


class Link:
    """An outgoing connection, its calls that wait for replies, and the task that reads the replies."""

    def __init__(self, connection: Connection):
        self.connection = connection
        self.pending_calls: dict[int, asyncio.Future] = {}
        self.last_call = 0
        self.last_received_at = 0.0
        self.task = asyncio.ensure_future(self.read_replies())

    def closed(self) -> bool:
        """Return whether no more calls can be made on the link."""
        return self.task.done() or self.connection.closed()

    async def call(self, encoded_message: bytes) -> dict:
        """Send a message and return the reply to it, or the packed Fault 'lost' if the link breaks."""
        self.last_call += 1
        call_number = self.last_call
        reply_future = self.pending_calls[call_number] = asyncio.get_running_loop().create_future()
        try:
            self.connection.send(call_number, encoded_message)
            return await reply_future
        finally:
            self.pending_calls.pop(call_number, None)

    async def read_replies(self) -> None:
        """Resolve each pending call with its reply; when the connection ends, fail the others as 'lost'."""
        try:
            while data := await self.connection.read():
                self.last_received_at = asyncio.get_running_loop().time()
                for call_number, reply in self.connection.decoder.feed(data):
                    reply_future = self.pending_calls.pop(call_number, None)
                    if reply_future and not reply_future.done():
                        reply_future.set_result(reply)
        except Fault:
            pass
        finally:
            self.connection.close()
            for reply_future in self.pending_calls.values():
                if not reply_future.done():
                    reply_future.set_result(Fault('lost', 'the link broke').pack())
            self.pending_calls.clear()


@implementer(INet)
class TcpNet:
    """Messages over TCP, with one outgoing link to each address."""

    def __init__(
        self,
        count: Callable[[str], None] = lambda name: None,
        source: str | None = None,
        budget: ByteBudget | None = None,
        verifies_peers: bool = False,
    ):
        self.count = count
        self.verifies_peers = verifies_peers  # whether who answers is asked first on each new link
        self.source = source  # the IP number that outgoing connections are bound to
        self.budget = budget or ByteBudget()  # for large messages
        self.links: dict[str, Link] = {}
        self.locks: dict[str, asyncio.Lock] = {}
        self.listener: Listener | None = None

    async def serve(self, address: str, handler: Handler) -> None:
        """Listen: `await net.serve('127.0.0.1:7000', handler)`."""
        self.listener = Listener(handler, self.count, self.budget)
        await self.listener.listen(address)

    async def open(self, address: str) -> Connection:
        """Return a new connection to an address."""
        return await Connection.open(address, CONNECT_TIMEOUT, self.source, self.budget)

    async def link(self, address: str) -> Link:
        """Return the open link to an address, or connect a new one."""
        link = self.links.get(address)
        if link and not link.closed():
            return link
        lock = self.locks.setdefault(address, asyncio.Lock())
        async with lock:
            link = self.links.get(address)
            if link is None or link.closed():
                link = Link(await self.open(address))
                if self.verifies_peers:
                    await self.verify_peer(address, link)
                self.links[address] = link
            return link

    async def verify_peer(self, address: str, link: Link) -> None:
        """Ask who answers on a new link, before anything else is sent. Raises Fault 'unreachable' if it is no process
        of this protocol: what another program replies could pass for a confirmation."""
        verified = False
        try:
            reply = await link.call(WHO_MESSAGE)
            verified = messages.is_peer(reply) and reply.get('fault') != 'lost'
        finally:
            if not verified:
                link.connection.close()
        if not verified:
            self.count('net.foreign')
            raise Fault('unreachable', f'{address}: no process of this protocol answers there')

    async def ask(self, address: str, message: dict, limit: timedelta) -> dict:
        """Return a process's reply: `await net.ask('127.0.0.1:7000', {'k': 'hi'}, from_ms(500))`."""
        encoded_message, sent_at = encode_message(message), None
        try:
            async with asyncio.timeout(max(0.0, limit.total_seconds())):
                link = await self.link(address)
                sent_at = asyncio.get_running_loop().time()
                reply = await link.call(encoded_message)
        except TimeoutError as e:
            # A link on which nothing came back since the call may be dead without a sign of it: the next
            # call opens another.
            if sent_at is not None and link.last_received_at < sent_at:
                self.count('net.silent')
                link.connection.close()
            raise Fault(
                'slow' if sent_at is not None else 'unreachable', f'{address}: no reply in {limit}'
            ) from e
        return checked_reply(message, reply, self.count)

    async def close(self) -> None:
        """Stop listening and close all links: `await net.close()`."""
        if self.listener:
            self.listener.close()
        for link in self.links.values():
            link.connection.close()
