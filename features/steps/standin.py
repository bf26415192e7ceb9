"""Test doubles around real routing nodes: replicas that misbehave on demand, in-memory stores, clients."""

import asyncio
import random
import socket
import struct
from collections import deque
from datetime import timedelta
from types import SimpleNamespace

import cbor2
from common import reserve_port
from immutables import Map
from tornado.httputil import HTTPHeaders, parse_request_start_line
from tornado.iostream import StreamClosedError
from tornado.netutil import bind_sockets
from tornado.tcpserver import TCPServer

from quillstall.configuration.policy import check
from quillstall.controlplane import store_table
from quillstall.dataplane.admission.messages import News
from quillstall.dataplane.node import Node
from quillstall.network.listing import Listing, digest
from quillstall.runtime.clock import SystemClock, from_ms
from quillstall.runtime.errors import Fault
from quillstall.runtime.journal import Journal
from quillstall.runtime.process import Context

TIMEOUT_S = 8
PARTITIONS = ('p00', 'p01', 'p02', 'p03')
EVENT_TOKENS = 10


async def wait_until(condition, timeout_s=TIMEOUT_S):
    """Wait until a condition holds; raise AssertionError at the timeout."""
    try:
        async with asyncio.timeout(timeout_s):
            while not condition():
                await asyncio.sleep(0.004)
    except TimeoutError as e:
        raise AssertionError('the condition was not met in time') from e


class StandInStores:
    """The network of a node, with one in-memory store table for each partition behind it."""

    def __init__(self):
        self.rows = dict.fromkeys(PARTITIONS, Map())
        self.unreachable = set()
        self.lost_replies = deque()  # operations whose next reply is lost
        self.failing_commands = deque()  # operations that next meet an error of the store
        self.clock_offset = timedelta(0)
        self.replica_sets = {partition: [1, 0, 's0', 's1'] for partition in PARTITIONS}
        self.addresses = {'s0': '127.0.0.1:2', 's1': '127.0.0.1:3'}
        self.applied = []
        self.clock = SystemClock()

    async def serve(self, address, handler):
        pass

    async def close(self):
        pass

    async def ask(self, address, message, limit):
        await asyncio.sleep(0)
        if message['k'] != 'op' or message['part'] in self.unreachable:
            raise Fault('unreachable', address)
        partition, command = message['part'], cbor2.loads(cbor2.dumps(message['command']))
        if address != self.addresses[self.replica_sets[partition][2]]:
            raise Fault('moved', partition, more={'seat': self.replica_sets[partition]})
        if self.failing_commands and self.failing_commands[0] == command['op']:
            self.failing_commands.popleft()
            raise Fault('internal', 'on purpose', ran='no')
        changes, reply = store_table.apply(
            self.rows[partition], command, self.clock.now() + self.clock_offset
        )
        for key, value in changes:
            self.rows[partition] = (
                self.rows[partition].delete(key) if value is None else self.rows[partition].set(key, value)
            )
        self.applied.append((command['op'], command.get('turn') or command.get('key')))
        if self.lost_replies and self.lost_replies[0] == command['op']:
            self.lost_replies.popleft()
            raise Fault('lost', 'the connection broke before the reply was received')
        return cbor2.loads(cbor2.dumps(reply))


class StandInReplica(TCPServer):
    """A replica that treats each request as the next entry of the plan says, and records what it ran."""

    def __init__(self, cluster, name):
        super().__init__()
        self.cluster = cluster
        self.name = self.identity = name
        sockets = bind_sockets(0, '127.0.0.1', family=socket.AF_INET)
        self.address = f'127.0.0.1:{sockets[0].getsockname()[1]}'
        self.add_sockets(sockets)
        self.streams = set()

    async def handle_stream(self, stream, address):
        self.streams.add(stream)
        self.cluster.connections += 1
        try:
            while True:
                lines, _, headers = (await stream.read_until(b'\r\n\r\n')).decode('latin1').partition('\r\n')
                start, headers = parse_request_start_line(lines), HTTPHeaders.parse(headers)
                if self.cluster.plan and self.cluster.plan[0].startswith('early '):
                    await self.answer_early(stream, headers)
                    continue
                body = await stream.read_bytes(int(headers.get('Content-Length') or 0))
                run = SimpleNamespace(
                    request_id=headers.get('X-Request-Id', ''),
                    method=start.method,
                    path=start.path,
                    body=body,
                    headers=headers,
                    replica=self.name,
                    cut=False,
                    sent=0,
                    headed=False,
                    at=asyncio.get_running_loop().time(),
                )
                await self.handle(stream, run)
        except StreamClosedError:
            pass
        finally:
            self.streams.discard(stream)

    async def answer_early(self, stream, headers):
        """Answer before the body is read, keep the connection, and read the body when told to proceed."""
        status = int(self.cluster.plan.popleft().partition(' ')[2])
        request_id = headers['X-Request-Id']
        extra = {'X-Not-Run': 'full'} if status == 503 else {'X-Sign': f'{self.name}-{request_id}'}
        await self.write_response(
            stream, status, {'X-Request-Id': request_id, **extra}, f'{self.name} ran {request_id}'.encode()
        )
        await self.cluster.proceed.acquire()
        try:
            body = await stream.read_bytes(int(headers['Content-Length']))
        except StreamClosedError:
            body = None
        self.cluster.late_bodies.append((request_id, body))
        if body is None:
            raise StreamClosedError()

    async def write_response(self, stream, status, headers, body):
        head = ''.join(f'{n}: {v}\r\n' for n, v in headers.items())
        await stream.write(
            f'HTTP/1.1 {status} Said\r\n{head}Content-Length: {len(body)}\r\n\r\n'.encode('latin1') + body
        )

    def response_headers(self, run):
        return {
            'X-Request-Id': run.request_id,
            'X-Sign': f'{self.name}-{run.request_id}',
            'Content-Type': 'text/x-said',
            'X-Replica-Load': '1,0,8',
        }

    async def handle(self, stream, run):
        cluster = self.cluster
        if run.headers.get('X-Replica') != self.identity:
            cluster.rejected.append(run)
            return await self.write_response(stream, 421, {'X-Request-Id': run.request_id}, b'not me')
        entry = (
            cluster.plan.popleft()
            if cluster.plan
            else ('stream 3' if run.path.startswith(('/turn/', '/line/')) else 'answer')
        )
        act, _, number = entry.partition(' ')
        count = int(number or 0)
        if act == 'full':
            cluster.rejected.append(run)
            return await self.write_response(
                stream, 503, {'X-Request-Id': run.request_id, 'X-Not-Run': 'full'}, b'full'
            )
        if act == 'noid':  # rejected without a request id
            cluster.rejected.append(run)
            not_run = {} if count == 400 else {'X-Not-Run': 'full'}
            return await self.write_response(stream, count, not_run, b'whose?')
        if act == 'drop':  # closes as if the connection had ended before the request was read
            cluster.dropped.append(run)
            return stream.close()
        cluster.runs.append(run)
        stream.set_close_callback(lambda: setattr(run, 'cut', True))
        body = f'{self.name} ran {run.request_id}'.encode()
        if act == 'answer':
            return await self.write_response(stream, 200, self.response_headers(run), body)
        if act == 'status':
            return await self.write_response(stream, count, self.response_headers(run), body)
        if act == 'reset':
            stream.socket.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack('ii', 1, 0))
            return stream.close()
        if act == 'close':
            return stream.close()
        if act == 'silent':
            return await wait_until(lambda: run.cut)
        if act == 'garbage':
            await stream.write(b'\x16\x03\x01 nothing that anyone speaks\r\n\r\n')
            return stream.close()
        if act == 'short':
            await stream.write(
                b'HTTP/1.1 200 Said\r\nX-Request-Id: %s\r\nContent-Length: 99\r\n\r\nhalf'
                % run.request_id.encode()
            )
            return stream.close()
        if act == 'hold':
            await cluster.proceed.acquire()
            return await self.write_response(stream, 200, self.response_headers(run), body)
        if act == 'surplus':  # a complete response, followed by an unsolicited one
            await self.write_response(stream, 200, self.response_headers(run), body)
            return await self.write_response(stream, 200, {'X-Request-Id': 'old'}, b'surplus')
        if act == 'late':  # the unsolicited response of an earlier request before this one
            await self.write_response(stream, 200, {'X-Request-Id': 'old'}, b'surplus')
            return await self.write_response(stream, 200, self.response_headers(run), body)
        if act == 'latenoid':  # the same, but it is an error without a request id that says "not run"
            await self.write_response(stream, count, {'X-Not-Run': 'full'}, b'surplus')
            return await self.write_response(stream, 200, self.response_headers(run), body)
        if act == 'bare':  # a response without a request id
            return await self.write_response(stream, 200, {'X-Sign': 'nobody'}, b'bare')
        if act in ('endless', 'broken'):  # a response that ends with its connection, closed or reset
            await self.write_without_length(
                stream, self.response_headers(run), body, count if act == 'broken' else None
            )
            return None
        if act in ('endlessstream', 'brokenstream'):
            events = b''.join(sse_event(run.request_id, n) for n in (1, 2, 3))
            headers = {**self.response_headers(run), 'Content-Type': 'text/event-stream'}
            await self.write_without_length(stream, headers, events, count if act == 'brokenstream' else None)
            return None
        if act == 'continue':  # interim responses, then the response
            await stream.write(b'HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 Early\r\nX-Sign: early\r\n\r\n')
            return await self.write_response(stream, 200, self.response_headers(run), body)
        if act == 'empty':
            return await stream.write(
                b'HTTP/1.1 %d Said\r\nX-Request-Id: %s\r\n\r\n' % (count, run.request_id.encode())
            )
        if act == 'latestream':  # the stream of an earlier request before this one
            await stream.write(
                b'HTTP/1.1 200 Said\r\nX-Request-Id: old\r\nTransfer-Encoding: chunked\r\n\r\n'
                b'13\r\nid: 1\ndata: old.1\n\n\r\n0\r\n\r\n'
            )
            act, count = 'stream', 3
        if act == 'more':  # a complete stream, followed by an unsolicited response
            await self.write_stream(stream, run, 'stream', 3)
            return await self.write_response(stream, 200, {'X-Request-Id': 'old'}, b'surplus')
        if act == 'leave':  # a complete response, then the connection is closed
            await self.write_response(stream, 200, self.response_headers(run), body)
            return stream.close()
        await self.write_stream(stream, run, act, count)

    async def write_without_length(self, stream, headers, body, reset_ms):
        """Write a response without a length; close the connection, or reset it after `reset_ms`."""
        head = ''.join(f'{n}: {v}\r\n' for n, v in headers.items())
        await stream.write(f'HTTP/1.1 200 Said\r\n{head}\r\n'.encode() + body)
        if reset_ms is not None:
            await asyncio.sleep(reset_ms / 1000)
            stream.socket.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack('ii', 1, 0))
        stream.close()

    async def write_stream(self, stream, run, act, count):
        """Write the events of a stream, and break it off as `act` says.

        `break` closes the connection after `count` events of this run, once the client has them; `tear` also
        sends a part of the next event; `burst` does not wait for the client.
        """
        cluster = self.cluster
        headers = {
            **self.response_headers(run),
            'Content-Type': 'text/event-stream',
            'Transfer-Encoding': 'chunked',
        }
        await stream.write(
            ('HTTP/1.1 200 Said\r\n' + ''.join(f'{n}: {v}\r\n' for n, v in headers.items()) + '\r\n').encode()
        )
        run.headed = True
        first = int(run.headers.get('Last-Event-Id') or 0) + 1
        last = count if act in ('stream', 'paced') else cluster.stream_length
        for n in range(first, last + 1):
            if act in ('break', 'tear', 'burst', 'die') and run.sent == count:
                if act == 'die':  # no more connections are accepted either
                    self.stop()
                if act != 'burst':
                    await wait_until(
                        lambda n=n: cluster.exchanges[run.request_id].body.count(b'\n\n') >= n - 1
                    )
                if act == 'tear':
                    await stream.write(b'8\r\nid: %d\nda\r\n' % n)
                return stream.close()
            if act == 'paced':
                work = asyncio.ensure_future(cluster.proceed.acquire())
                await wait_until(lambda work=work: work.done() or run.cut)
                if run.cut:
                    work.cancel()
                    raise StreamClosedError()
            data = sse_event(run.request_id, n)
            await stream.write(b'%x\r\n%s\r\n' % (len(data), data))
            run.sent += 1
            if act == 'half' and run.sent == count:  # the chunked body ends inside an event
                return await stream.write(b'8\r\nid: %d\nda\r\n0\r\n\r\n' % (n + 1))
        if act == 'break':  # all events, but not the end of the body
            await wait_until(lambda: cluster.exchanges[run.request_id].body.count(b'\n\n') >= last)
            return stream.close()
        await stream.write(b'0\r\n\r\n')


def sse_event(request_id, n):
    return f'id: {n}\ndata: {request_id}.{n}\n\n'.encode()


def turn_output(request_id, count):
    """The text that a turn adds to its conversation after its input."""
    return b''.join(f'{request_id}.{n}\n'.encode() for n in range(1, count + 1))


class ClientExchange:
    """One request of a client and its response, read chunk by chunk."""

    def __init__(self, reader, writer):
        self.reader, self.writer = reader, writer
        self.status, self.headers, self.body, self.complete = 0, None, b'', False

    async def read_head(self):
        async with asyncio.timeout(TIMEOUT_S):
            lines, _, headers = (await self.reader.readuntil(b'\r\n\r\n')).decode('latin1').partition('\r\n')
        self.status, self.headers = int(lines.split()[1]), HTTPHeaders.parse(headers)
        return self

    async def read_chunk(self):
        """Return the next chunk, or None at the end of the body."""
        async with asyncio.timeout(TIMEOUT_S):
            size = int(await self.reader.readuntil(b'\r\n'), 16)
            data = (await self.reader.readexactly(size + 2))[:-2]
        self.body += data
        self.complete = size == 0
        return data or None

    async def read_all(self):
        """Read the rest of the response, or as much of it as arrives."""
        try:
            if self.headers is None:
                await self.read_head()
            if 'Content-Length' in self.headers:
                async with asyncio.timeout(TIMEOUT_S):
                    self.body = await self.reader.readexactly(int(self.headers['Content-Length']))
                self.complete = True
            while not self.complete and await self.read_chunk():
                pass
        except (ConnectionError, asyncio.IncompleteReadError):
            pass
        return self

    def close(self):
        self.writer.close()


async def send_request(address, method, path, headers, body=b''):
    """Send a request on a new connection and return its exchange."""
    host, _, port = address.partition(':')
    connection = ClientExchange(*await asyncio.open_connection(host, int(port)))
    return send_on(connection, method, path, headers, body)


def send_on(connection, method, path, headers, body=b''):
    """Send a request on the connection of an earlier exchange and return its own exchange."""
    exchange = ClientExchange(connection.reader, connection.writer)
    headers = {'Host': 'h.example', 'Content-Length': len(body), **headers}
    exchange.writer.write(
        (
            f'{method} {path} HTTP/1.1\r\n'
            + ''.join(f'{n}: {v}\r\n' for n, v in headers.items() if v is not None)
            + '\r\n'
        ).encode()
        + body
    )
    return exchange


def policy():
    """Return a policy with one pool and one route of each kind."""
    plain = {'class': 'c', 'host': 'h.example', 'pools': {'all': 1}, 'timeout_ms': 5000, 'target_ms': 50}
    turn = {**plain, 'stream': True, 'attempts': 1, 'target_ms': 200}
    fields = {
        'classes': {'c': {'share': 100, 'deadline_ms': 5000}},
        'routes': {},
        'pools': {'all': {'kind': 'model', 'replicas': {}, 'listed': True, 'event_tokens': EVENT_TOKENS}},
        'http_routes': {
            'any': {**plain, 'prefix': '/any/', 'repeat': 'any', 'attempts': 2},
            'once': {**plain, 'prefix': '/once/', 'repeat': 'once'},
            'keyed': {**plain, 'prefix': '/keyed/', 'repeat': 'keyed'},
            'turn': {**turn, 'prefix': '/turn/', 'repeat': 'once', 'keep': True, 'keeping_s': 60},
            'line': {**turn, 'prefix': '/line/', 'repeat': 'any', 'resume': True, 'attempts': 3},
        },
    }
    assert check(fields) == [], check(fields)
    return fields


class Cluster:
    """Routing nodes on loopback with their test doubles, on an event loop of their own."""

    def __init__(self, nodes, names):
        self.loop = asyncio.new_event_loop()
        self.plan = deque()
        self.runs, self.rejected, self.connections, self.stream_length, self.exchanges = [], [], 0, 5, {}
        self.dropped = []
        self.late_bodies = []  # (request id, body) of requests answered early; body None: the connection ended
        self.stores = StandInStores()
        self.last_request_number, self.generation = 0, 1
        self.run(self.start_all(nodes, names))

    def run(self, work):
        return self.loop.run_until_complete(work)

    async def start_all(self, nodes, names):
        self.proceed = asyncio.Semaphore(0)
        self.replicas = {name: StandInReplica(self, name) for name in names}
        self.clock = SystemClock()
        self.nodes, self.tasks = [], []
        for n in range(nodes):
            await self.start_node(n)

    async def start_node(self, index, lease=timedelta(seconds=100)):
        startup = {
            'name': f'n{index}',
            'role': 'route',
            'zone': 'z',
            'address': f'127.0.0.1:{reserve_port()}',
            'seeds': ['127.0.0.1:4', '127.0.0.1:5', '127.0.0.1:6'],
            'gateway': f'127.0.0.1:{reserve_port()}',
            'ready': f'127.0.0.1:{reserve_port()}',
        }
        journal = Journal(startup['name'], self.clock)
        journal.log.disabled = True
        node = Node(Context(startup, self.clock, self.stores, None, None, journal, random.Random(index)))
        self.nodes.append(node)
        self.tasks.append(asyncio.ensure_future(node.run()))
        node.apply_placement(
            {
                'seats': {p: list(s) for p, s in self.stores.replica_sets.items()},
                'book': self.stores.addresses,
                'place': 1,
            }
        )
        self.policy = policy()
        self.grant_lease(node, lease)
        await self.set_listing(node)
        if lease > timedelta(0):
            await wait_until(lambda: node.gateway and node.gateway.ready())

    def grant_lease(self, node, span):
        node.post_event(
            News(
                {'generation': 1, 'epoch': 1, 'policy': self.policy, 'leaving': [], 'live': 1, 'allot': {}},
                self.clock.now() + span,
            )
        )

    async def change_policy(self, node, policy):
        """Give a node a newer policy and wait until it is in force."""
        self.generation += 1
        node.post_event(
            News(
                {
                    'generation': self.generation,
                    'epoch': 1,
                    'policy': policy,
                    'leaving': [],
                    'live': 1,
                    'allot': dict.fromkeys(self.replicas, 8),
                },
                self.clock.now() + timedelta(seconds=100),
            )
        )
        await wait_until(lambda: node.state.generation == self.generation)

    async def set_listing(self, node, **overrides):
        """Give a node a newer listing; `overrides` replaces rows by replica name, None removes one."""
        rows = {
            name: {'address': r.address, 'zone': 'z', 'slots': 8, 'ready': True, 'cold': False}
            for name, r in self.replicas.items()
        }
        rows.update(overrides)
        pools = {'all': {k: v for k, v in rows.items() if v is not None}}
        listing = {'at': self.clock.now().timestamp(), 'pools': pools, 'digest': digest(pools)}
        node.post_event(Listing(listing))
        await wait_until(lambda: node.state.listing.get('at') == listing['at'])

    def address(self, node_number, listener='gateway'):
        return self.nodes[node_number - 1].ctx.startup[listener]

    def new_request_id(self):
        self.last_request_number += 1
        return f'x{self.last_request_number}'

    async def begin_request(self, path, node_number=1, body=b'in', request_id=None, **headers):
        """Send a request to a node and return its exchange, of which nothing is read yet."""
        headers = {name.replace('_', '-'): value for name, value in headers.items()}
        request_id = request_id or self.new_request_id()
        exchange = self.exchanges[request_id] = await send_request(
            self.address(node_number), 'POST', path, {'X-Request-Id': request_id, **headers}, body
        )
        return exchange

    async def request(self, path, node_number=1, **options):
        """Send a request to a node and read the whole response."""
        response = await (await self.begin_request(path, node_number, **options)).read_all()
        response.close()
        return response

    async def run_turn(
        self, request_id, previous=None, program='P', node_number=1, budget=10_000, max_tokens=50, **options
    ):
        """Run one turn of a program and return its response."""
        return await self.request(
            '/turn/a',
            node_number,
            request_id=request_id,
            body=f'[{request_id}]'.encode(),
            **self.turn_headers(program, previous, budget, max_tokens),
            **options,
        )

    def turn_headers(self, program='P', previous=None, budget=10_000, max_tokens=50):
        return {
            'X-Program-Id': program,
            'X-Previous-Turn': previous,
            'X-Token-Budget': budget,
            'X-Tokens': f'10,{max_tokens}',
        }

    def close(self):
        async def end():
            for task in self.tasks:
                task.cancel()
            await asyncio.wait(self.tasks, timeout=TIMEOUT_S)
            for replica in self.replicas.values():
                replica.stop()
                for stream in list(replica.streams):
                    stream.close()
            others = asyncio.all_tasks() - {asyncio.current_task()}
            for task in others:
                task.cancel()
            if others:
                await asyncio.wait(others, timeout=TIMEOUT_S)

        self.run(end())
        self.loop.close()


__all__ = [
    'Cluster',
    'wait_until',
    'sse_event',
    'turn_output',
    'send_request',
    'from_ms',
    'EVENT_TOKENS',
    'PARTITIONS',
]
