"""Steps that look at what replicas are handed: how much time, and which bytes in which order."""

import asyncio
import re
import socket
import time
from dataclasses import dataclass, field
from typing import Any

from behave import given, then, when
from standin import of_ms, until
from tornado.httputil import HTTPHeaders

from quillstall.network.httpclient import HttpClient
from quillstall.runtime.errors import Fault

PAUSE_S = 0.4  # each replica waits so long before it does what comes next
SLACK_MS = 150  # for the way from the node's reckoning to the replica's reading, on a busy machine; well under the pause
PART_OF_BODY = 100_000
LATER_S = 0.3  # how long the replica leaves the rest of a body unread
HEAD_END = b'\r\n\r\n'
LENGTH = re.compile(rb'content-length: *(\d+)', re.IGNORECASE)


# ---- time


def note_time(replica, handed: list, end: float) -> None:
    """Let a replica note how much time it is handed and how much is left, then wait before it acts."""
    act = replica.one

    async def one(stream, run):
        handed.append((int(run.headers['X-Deadline-Ms']), (end - time.monotonic()) * 1000))
        await asyncio.sleep(PAUSE_S)
        await act(stream, run)

    replica.one = one


@when('"{path}" is asked with {span:d} ms, and each replica notes its time')
def ask_timed(context, path, span):
    story, context.handed = context.story, []
    end = time.monotonic() + span / 1000
    for replica in story.replicas.values():
        note_time(replica, context.handed, end)
    context.got = story.run(story.ask(path, 1, X_Deadline_Ms=span))


@then('{count:d} replicas were asked, and each was handed no more than was left')
def handed(context, count):
    assert context.got.status == 200, context.got.status
    assert len(context.handed) == count, context.handed
    for told_ms, left_ms in context.handed:
        assert 0 < told_ms <= left_ms + SLACK_MS, context.handed


# ---- an answer before the body has been read


@dataclass
class EarlyReplica:
    """A replica that answers a request before it has read its body, and reads on later on the same connection."""

    reads_first: int
    address: str = ''
    received: list[bytearray] = field(default_factory=list)  # what came on each connection
    answered: int = 0
    server: Any = None

    async def start(self) -> None:
        sock = socket.socket()
        sock.setsockopt(
            socket.SOL_SOCKET, socket.SO_RCVBUF, 65536
        )  # so that a long body does not fit the buffers
        sock.bind(('127.0.0.1', 0))
        self.address = f'127.0.0.1:{sock.getsockname()[1]}'
        self.server = await asyncio.start_server(self.serve, sock=sock, limit=65536)

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        got = bytearray()
        self.received.append(got)
        try:
            await self.talk(reader, writer, got)
        except (ConnectionError, asyncio.IncompleteReadError):
            pass
        finally:
            writer.close()

    async def talk(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter, got: bytearray) -> None:
        while True:
            head = await reader.readuntil(HEAD_END)
            got += head
            length = int(LENGTH.search(head)[1])
            first = await reader.readexactly(min(self.reads_first, length))
            got += first
            ident = re.search(rb'X-Request-Id: *(\S+)', head)[1]
            writer.write(b'HTTP/1.1 200 Said\r\nX-Request-Id: %s\r\nContent-Length: 2\r\n\r\nok' % ident)
            self.answered += 1
            await asyncio.sleep(LATER_S)
            left = length - len(first)
            while left:
                data = await reader.read(min(left, 65536))
                if not data:
                    return
                got += data
                left -= len(data)


def body_of(ident: str, size: int) -> bytes:
    """A body that differs from every head and from other bodies at each place."""
    return (f'<{ident}>'.encode() * (size // len(f'<{ident}>') + 1))[:size]


@given('a replica that answers {when} and reads on later')
def early_replica(context, when):
    context.early = EarlyReplica(0 if when == 'after the head' else PART_OF_BODY)


@when('a body of {size:d} bytes is sent to it, and then another request')
def send_early(context, size):
    context.bodies = {'r1': body_of('r1', size), 'r2': body_of('r2', 10)}

    async def ask(client, ident):
        heads = HTTPHeaders({'X-Request-Id': ident})

        def fits(status, headers):
            return headers.get('X-Request-Id') == ident

        exchange = await client.open(
            context.early.address, 'life', 'POST', f'/{ident}', heads, context.bodies[ident], fits
        )
        status, _ = await exchange.head(of_ms(4000))
        while await exchange.data(of_ms(4000)) is not None:
            pass
        await exchange.task  # by now its connection is kept for the next request, or closed
        return status

    async def script():
        await context.early.start()
        client = HttpClient(lambda name: None)
        try:
            assert await ask(client, 'r1') == 200
            try:
                context.second = await ask(client, 'r2')
            except Fault as problem:
                context.second = problem.code
            await until(lambda: any(got.endswith(context.bodies['r2']) for got in context.early.received))
        finally:
            client.close()
            context.early.server.close()

    asyncio.run(script())


@then('each of its connections has carried whole requests, one after the other, or ended inside one')
def in_order(context):
    assert context.early.received
    assert context.second == 200, context.second
    for got in context.early.received:
        rest = bytes(got)
        while rest:
            head, mark, rest = rest.partition(HEAD_END)
            assert mark and head.startswith((b'POST /r1 HTTP/1.1', b'POST /r2 HTTP/1.1')), head[:200]
            ident = head.split()[1].decode().strip('/')
            body = context.bodies[ident]
            assert int(LENGTH.search(head)[1]) == len(body), head
            assert body.startswith(rest[: len(body)]), f'other bytes inside the body of {ident}'
            rest = rest[len(body) :]
