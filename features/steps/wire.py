"""Steps about what replicas receive: deadlines, and the order of bytes on a connection."""

import asyncio
import re
import socket
import time
from dataclasses import dataclass, field
from typing import Any

from behave import given, then, when
from standin import from_ms, wait_until
from tornado.httputil import HTTPHeaders

from quillstall.network.httpclient import HttpClient
from quillstall.runtime.errors import Fault

PAUSE_S = 0.4  # the delay of each replica before it acts
SLACK_MS = 150  # delay between node and replica on a busy machine; well under the pause
BODY_PART_BYTES = 100_000
READ_DELAY_S = 0.3  # the time for which the replica leaves the rest of a body unread
HEAD_END = b'\r\n\r\n'
LENGTH = re.compile(rb'content-length: *(\d+)', re.IGNORECASE)


# ---- deadlines


def record_deadlines(replica, deadlines: list, end: float) -> None:
    """Make a replica record the deadline that it gets and the time left, then wait before it acts."""
    handle = replica.handle

    async def recording_handle(stream, run):
        deadlines.append((int(run.headers['X-Deadline-Ms']), (end - time.monotonic()) * 1000))
        await asyncio.sleep(PAUSE_S)
        await handle(stream, run)

    replica.handle = recording_handle


@when('"{path}" is requested with {timeout:d} ms, and each replica records its deadline')
def request_with_deadline(context, path, timeout):
    cluster, context.deadlines = context.cluster, []
    end = time.monotonic() + timeout / 1000
    for replica in cluster.replicas.values():
        record_deadlines(replica, context.deadlines, end)
    context.response = cluster.run(cluster.request(path, 1, X_Deadline_Ms=timeout))


@then('{count:d} replicas got the request, and none got more time than was left')
def no_later_deadline(context, count):
    assert context.response.status == 200, context.response.status
    assert len(context.deadlines) == count, context.deadlines
    for deadline_ms, remaining_ms in context.deadlines:
        assert 0 < deadline_ms <= remaining_ms + SLACK_MS, context.deadlines


# ---- responses before the body is read


@dataclass
class EarlyReplica:
    """A replica that answers a request before it has read the body, and reads the rest later."""

    read_before_answer: int
    address: str = ''
    received: list[bytearray] = field(default_factory=list)  # bytes of each connection
    answered: int = 0
    server: Any = None

    async def start(self) -> None:
        sock = socket.socket()
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 65536)  # less than a long body
        sock.bind(('127.0.0.1', 0))
        self.address = f'127.0.0.1:{sock.getsockname()[1]}'
        self.server = await asyncio.start_server(self.serve, sock=sock, limit=65536)

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        received = bytearray()
        self.received.append(received)
        try:
            await self.answer_requests(reader, writer, received)
        except (ConnectionError, asyncio.IncompleteReadError):
            pass
        finally:
            writer.close()

    async def answer_requests(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter, received: bytearray
    ) -> None:
        while True:
            head = await reader.readuntil(HEAD_END)
            received += head
            length = int(LENGTH.search(head)[1])
            first = await reader.readexactly(min(self.read_before_answer, length))
            received += first
            request_id = re.search(rb'X-Request-Id: *(\S+)', head)[1]
            writer.write(b'HTTP/1.1 200 Said\r\nX-Request-Id: %s\r\nContent-Length: 2\r\n\r\nok' % request_id)
            self.answered += 1
            await asyncio.sleep(READ_DELAY_S)
            remaining = length - len(first)
            while remaining:
                data = await reader.read(min(remaining, 65536))
                if not data:
                    return
                received += data
                remaining -= len(data)


def body_of(request_id: str, size: int) -> bytes:
    """Return a body that differs from every header block and from other bodies at each position."""
    return (f'<{request_id}>'.encode() * (size // len(f'<{request_id}>') + 1))[:size]


@given('a replica that answers {when} and reads the rest later')
def early_replica(context, when):
    context.early = EarlyReplica(0 if when == 'after the head' else BODY_PART_BYTES)


@when('a body of {size:d} bytes is sent to it, and then another request')
def send_early(context, size):
    context.bodies = {'r1': body_of('r1', size), 'r2': body_of('r2', 10)}

    async def send(client, request_id):
        headers = HTTPHeaders({'X-Request-Id': request_id})

        def matches(status, headers):
            return headers.get('X-Request-Id') == request_id

        exchange = await client.open(
            context.early.address,
            'life',
            'POST',
            f'/{request_id}',
            headers,
            context.bodies[request_id],
            matches,
        )
        status, _ = await exchange.read_headers(from_ms(4000))
        while await exchange.read_data(from_ms(4000)) is not None:
            pass
        await exchange.task  # now the connection is pooled or closed
        return status

    async def script():
        await context.early.start()
        client = HttpClient(lambda name: None)
        try:
            assert await send(client, 'r1') == 200
            try:
                context.second = await send(client, 'r2')
            except Fault as fault:
                context.second = fault.code
            await wait_until(
                lambda: any(received.endswith(context.bodies['r2']) for received in context.early.received)
            )
        finally:
            client.close()
            context.early.server.close()

    asyncio.run(script())


@then('each of its connections has carried complete requests, one after the other, or ended inside one')
def in_order(context):
    assert context.early.received
    assert context.second == 200, context.second
    for received in context.early.received:
        rest = bytes(received)
        while rest:
            head, mark, rest = rest.partition(HEAD_END)
            assert mark and head.startswith((b'POST /r1 HTTP/1.1', b'POST /r2 HTTP/1.1')), head[:200]
            request_id = head.split()[1].decode().strip('/')
            body = context.bodies[request_id]
            assert int(LENGTH.search(head)[1]) == len(body), head
            assert body.startswith(rest[: len(body)]), f'other bytes inside the body of {request_id}'
            rest = rest[len(body) :]
