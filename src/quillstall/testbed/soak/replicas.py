"""Replicas of a soak run: model servers behind the gateway, on real sockets, that misbehave on request."""

import asyncio
import random
import socket
import struct
from hashlib import blake2b
from typing import Any

from quillstall.network.net import parse_address
from quillstall.testbed import endless
from quillstall.testbed.soak.records import Records, Run

EVENTS_LEAST = 3
EVENT_PAUSE_S = 0.015
WORK_S = 0.02
SLOW_S = 0.6
STALL_S = 6.0
ENDLESS_SHARE = 0.5
ENDLESS_PAUSE_S = 0.003  # between pieces: this process plays the clients as well
MISBEHAVIOURS = (
    'lose',
    'reset',
    'slow',
    'refuse',
    'stall',
    'surplus',
    'garbage',
    'tear',
    'unframed',
    'error',
)


def event_total(ident: str) -> int:
    """How many events the stream of a request has, the same at every replica.

    >>> 3 <= event_total('x1') <= 7
    True
    """
    return EVENTS_LEAST + blake2b(ident.encode(), digest_size=1).digest()[0] % 5


def event_data(ident: str, number: int) -> str:
    """The data of one event.

    >>> event_data('x1', 2)
    'x1.2'
    """
    return f'{ident}.{number}'


def answer_body(run: Run) -> bytes:
    """The body of a plain answer: it names the run."""
    return f'run {run.number} of {run.ident} at {run.replica}'.encode()


class Replica:
    """One model server. `share` of its requests meet a misbehaviour while it is `misbehaving`."""

    def __init__(self, name: str, pool: str, address: str, records: Records, dice: random.Random, now: Any):
        self.name = name
        self.pool = pool
        self.address = address
        self.records = records
        self.dice = dice
        self.now = now
        self.misbehaving = False
        self.share = 0.5
        self.endless_dice = random.Random(f'endless {name}')
        self.endless = False  # whether half of its answers have no end
        self.active = 0
        self.slots = 16
        self.server: asyncio.Server | None = None
        self.writers: set[asyncio.StreamWriter] = set()

    async def open(self) -> None:
        """Listen: `await replica.open()`."""
        host, port = parse_address(self.address)
        self.server = await asyncio.start_server(self.serve, host, port)

    def close(self) -> None:
        """Stop listening and drop all connections: `replica.close()`."""
        if self.server:
            self.server.close()
        for writer in list(self.writers):
            writer.close()

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        """One connection, from its first request to its end."""
        self.writers.add(writer)
        try:
            while True:
                head = (await reader.readuntil(b'\r\n\r\n')).decode('latin1')
                start, *lines = head.strip().split('\r\n')
                headers = {k.lower(): v.strip() for k, _, v in (line.partition(':') for line in lines)}
                body = await reader.readexactly(int(headers.get('content-length') or 0))
                if not await self.answer(writer, start.split(' ')[1], headers, body):
                    return
        except (ConnectionError, asyncio.IncompleteReadError, OSError):
            pass
        finally:
            self.writers.discard(writer)
            writer.close()

    async def answer(
        self, writer: asyncio.StreamWriter, path: str, headers: dict[str, str], body: bytes
    ) -> bool:
        """One request; whether its connection is kept."""
        ident = headers.get('x-request-id', '')
        if headers.get('x-replica') != self.name:
            await self.write(writer, 421, {'X-Request-Id': ident}, b'another replica lives here')
            return True
        mood = (
            self.dice.choice(MISBEHAVIOURS)
            if self.misbehaving and self.dice.random() < self.share
            else 'well'
        )
        if mood == 'refuse' or self.active >= self.slots:
            await self.write(writer, 503, {'X-Request-Id': ident, 'X-Not-Run': 'full'}, b'full')
            return True
        run = Run(ident, path, body, self.name, self.pool, self.now(), 0)
        run.first_event = int(headers.get('last-event-id') or 0) + 1
        self.records.begin_run(run)
        self.active += 1
        try:
            if self.endless and self.endless_dice.random() < ENDLESS_SHARE:
                await self.send_endless(writer, run)
                return False
            return await self.work(writer, run, mood, path.startswith(('/turn/', '/line/')))
        finally:
            self.active -= 1

    async def work(self, writer: asyncio.StreamWriter, run: Run, mood: str, stream: bool) -> bool:
        """Run a request and answer it, well or otherwise; whether its connection is kept."""
        if mood == 'lose':
            return False
        if mood == 'reset':
            sock = writer.get_extra_info('socket')
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack('ii', 1, 0))
            return False
        if mood == 'garbage':
            writer.write(b'\x16\x03\x01 no answer\r\n\r\n')
            await writer.drain()
            return False
        if mood == 'error':
            await self.write(writer, 500, self.head(run), b'failed')
            return True
        await asyncio.sleep({'slow': SLOW_S, 'stall': STALL_S}.get(mood, WORK_S))
        if stream:
            return await self.stream(writer, run, mood)
        if mood == 'unframed':
            head = ''.join(f'{name}: {value}\r\n' for name, value in self.head(run).items())
            writer.write(f'HTTP/1.1 200 OK\r\n{head}\r\n'.encode() + answer_body(run))
            await writer.drain()
            return False
        await self.write(writer, 200, self.head(run), answer_body(run))
        if mood == 'surplus':
            await self.write(writer, 200, {'X-Request-Id': 'old'}, b'an answer that nobody asked for')
        return True

    async def send_endless(self, writer: asyncio.StreamWriter, run: Run) -> None:
        """Send bytes that are no answer until the connection is closed."""
        kind = self.endless_dice.choice(endless.NEVER_WHOLE)
        await endless.send(writer, endless.KINDS[kind](self.head(run)), ENDLESS_PAUSE_S)

    async def stream(self, writer: asyncio.StreamWriter, run: Run, mood: str) -> bool:
        """A stream of events; with 'tear' it breaks off in the middle of one."""
        head = {**self.head(run), 'Content-Type': 'text/event-stream', 'Transfer-Encoding': 'chunked'}
        lines = ''.join(f'{name}: {value}\r\n' for name, value in head.items())
        writer.write(f'HTTP/1.1 200 OK\r\n{lines}\r\n'.encode())
        total = event_total(run.ident)
        for number in range(run.first_event, total + 1):
            data = f'id: {number}\ndata: {event_data(run.ident, number)}\n\n'.encode()
            if mood == 'tear' and number == (run.first_event + total) // 2:
                writer.write(b'%x\r\n%s\r\n' % (len(data) // 2, data[: len(data) // 2]))
                await writer.drain()
                return False
            writer.write(b'%x\r\n%s\r\n' % (len(data), data))
            await writer.drain()
            await asyncio.sleep(EVENT_PAUSE_S)
        writer.write(b'0\r\n\r\n')
        await writer.drain()
        return True

    def head(self, run: Run) -> dict[str, str]:
        """What each answer of a run says of it."""
        return {
            'X-Request-Id': run.ident,
            'X-Sign': f'{self.name}.{run.number}',
            'X-Replica-Load': f'{self.active},0,{self.slots}',
        }

    async def write(
        self, writer: asyncio.StreamWriter, status: int, headers: dict[str, str], body: bytes
    ) -> None:
        lines = ''.join(f'{name}: {value}\r\n' for name, value in headers.items())
        writer.write(f'HTTP/1.1 {status} Said\r\n{lines}Content-Length: {len(body)}\r\n\r\n'.encode() + body)
        await writer.drain()
