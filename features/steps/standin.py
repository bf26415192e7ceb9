"""Stand-ins around real routing nodes: replicas that misbehave on request, stores in memory, callers."""

import asyncio
import random
import socket
import struct
from collections import deque
from datetime import timedelta
from types import SimpleNamespace

import cbor2
from common import held_port
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
from quillstall.runtime.clock import SystemClock, of_ms
from quillstall.runtime.errors import Fault
from quillstall.runtime.journal import Journal
from quillstall.runtime.process import Ctx

LIMIT = 8
PARTS = ('p00', 'p01', 'p02', 'p03')
EVENT_TOKENS = 10


async def until(met, limit=LIMIT):
    """Wait until a condition holds; the bound is a failure."""
    try:
        async with asyncio.timeout(limit):
            while not met():
                await asyncio.sleep(0.004)
    except TimeoutError as e:
        raise AssertionError('what was waited for did not come') from e


class Stores:
    """The net of a node: behind it one table for each part, as a store would keep it."""

    def __init__(self):
        self.rows = dict.fromkeys(PARTS, Map())
        self.away = set()
        self.lose = deque()  # kinds of commands whose next return is lost
        self.ahead = timedelta(0)
        self.seats = {part: [1, 0, 's0', 's1'] for part in PARTS}
        self.book = {'s0': '127.0.0.1:2', 's1': '127.0.0.1:3'}
        self.done = []
        self.clock = SystemClock()

    async def serve(self, address, handler):
        pass

    async def close(self):
        pass

    async def ask(self, address, message, limit):
        await asyncio.sleep(0)
        if message['k'] != 'op' or message['part'] in self.away:
            raise Fault('unreachable', address)
        part, command = message['part'], cbor2.loads(cbor2.dumps(message['command']))
        if address != self.book[self.seats[part][2]]:
            raise Fault('moved', part, more={'seat': self.seats[part]})
        changes, ret = store_table.apply(self.rows[part], command, self.clock.now() + self.ahead)
        for key, value in changes:
            self.rows[part] = (
                self.rows[part].delete(key) if value is None else self.rows[part].set(key, value)
            )
        self.done.append((command['op'], command.get('turn') or command.get('key')))
        if self.lose and self.lose[0] == command['op']:
            self.lose.popleft()
            raise Fault('lost', 'the link broke before the return came')
        return cbor2.loads(cbor2.dumps(ret))


class Replica(TCPServer):
    """A replica: does with each request what comes next in the story's plan, and records what it ran."""

    def __init__(self, story, name):
        super().__init__()
        self.story = story
        self.name = self.life = name
        socks = bind_sockets(0, '127.0.0.1', family=socket.AF_INET)
        self.address = f'127.0.0.1:{socks[0].getsockname()[1]}'
        self.add_sockets(socks)
        self.streams = set()

    async def handle_stream(self, stream, address):
        self.streams.add(stream)
        self.story.connects += 1
        try:
            while True:
                lines, _, heads = (await stream.read_until(b'\r\n\r\n')).decode('latin1').partition('\r\n')
                start, heads = parse_request_start_line(lines), HTTPHeaders.parse(heads)
                if self.story.plan and self.story.plan[0].startswith('early '):
                    await self.early(stream, heads)
                    continue
                body = await stream.read_bytes(int(heads.get('Content-Length') or 0))
                run = SimpleNamespace(
                    ident=heads.get('X-Request-Id', ''),
                    method=start.method,
                    path=start.path,
                    body=body,
                    headers=heads,
                    replica=self.name,
                    cut=False,
                    sent=0,
                    headed=False,
                    at=asyncio.get_running_loop().time(),
                )
                await self.one(stream, run)
        except StreamClosedError:
            pass
        finally:
            self.streams.discard(stream)

    async def early(self, stream, heads):
        """Answer before the body has been read, keep the connection, and read on when told to."""
        status = int(self.story.plan.popleft().partition(' ')[2])
        ident = heads['X-Request-Id']
        more = {'X-Not-Run': 'full'} if status == 503 else {'X-Sign': f'{self.name}-{ident}'}
        await self.write(stream, status, {'X-Request-Id': ident, **more}, f'{self.name} ran {ident}'.encode())
        await self.story.go.acquire()
        try:
            rest = await stream.read_bytes(int(heads['Content-Length']))
        except StreamClosedError:
            rest = None
        self.story.read_late.append((ident, rest))
        if rest is None:
            raise StreamClosedError()

    async def write(self, stream, status, heads, body):
        head = ''.join(f'{n}: {v}\r\n' for n, v in heads.items())
        await stream.write(
            f'HTTP/1.1 {status} Said\r\n{head}Content-Length: {len(body)}\r\n\r\n'.encode() + body
        )

    def heads(self, run):
        return {
            'X-Request-Id': run.ident,
            'X-Sign': f'{self.name}-{run.ident}',
            'Content-Type': 'text/x-said',
            'X-Replica-Load': '1,0,8',
        }

    async def one(self, stream, run):
        story = self.story
        if run.headers.get('X-Replica') != self.life:
            story.turned.append(run)
            return await self.write(stream, 421, {'X-Request-Id': run.ident}, b'not me')
        plan = (
            story.plan.popleft()
            if story.plan
            else ('stream 3' if run.path.startswith(('/turn/', '/line/')) else 'answer')
        )
        act, _, number = plan.partition(' ')
        count = int(number or 0)
        if act == 'full':
            story.turned.append(run)
            return await self.write(stream, 503, {'X-Request-Id': run.ident, 'X-Not-Run': 'full'}, b'full')
        if act == 'noid':  # turned away without a word of whose answer this is
            story.turned.append(run)
            not_run = {} if count == 400 else {'X-Not-Run': 'full'}
            return await self.write(stream, count, not_run, b'whose?')
        if act == 'drop':  # the connection had ended before the request came: it is never read
            story.dropped.append(run)
            return stream.close()
        story.runs.append(run)
        stream.set_close_callback(lambda: setattr(run, 'cut', True))
        body = f'{self.name} ran {run.ident}'.encode()
        if act == 'answer':
            return await self.write(stream, 200, self.heads(run), body)
        if act == 'status':
            return await self.write(stream, count, self.heads(run), body)
        if act == 'reset':
            stream.socket.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack('ii', 1, 0))
            return stream.close()
        if act == 'close':
            return stream.close()
        if act == 'silent':
            return await until(lambda: run.cut)
        if act == 'garbage':
            await stream.write(b'\x16\x03\x01 nothing that anyone speaks\r\n\r\n')
            return stream.close()
        if act == 'short':
            await stream.write(
                b'HTTP/1.1 200 Said\r\nX-Request-Id: %s\r\nContent-Length: 99\r\n\r\nhalf'
                % run.ident.encode()
            )
            return stream.close()
        if act == 'hold':
            await story.go.acquire()
            return await self.write(stream, 200, self.heads(run), body)
        if act == 'surplus':  # a whole answer, and at once another that nobody asked for
            await self.write(stream, 200, self.heads(run), body)
            return await self.write(stream, 200, {'X-Request-Id': 'old'}, b'surplus')
        if act == 'late':  # the surplus of an earlier request in the place of this answer
            await self.write(stream, 200, {'X-Request-Id': 'old'}, b'surplus')
            return await self.write(stream, 200, self.heads(run), body)
        if act == 'latenoid':  # the same, but the surplus is an error without an id, with its word "not run"
            await self.write(stream, count, {'X-Not-Run': 'full'}, b'surplus')
            return await self.write(stream, 200, self.heads(run), body)
        if act == 'bare':  # an answer that says nothing of whose it is
            return await self.write(stream, 200, {'X-Sign': 'nobody'}, b'bare')
        if act in ('endless', 'broken'):  # an answer whose end only the connection's end tells; or a reset
            await self.untold(stream, self.heads(run), body, count if act == 'broken' else None)
            return None
        if act in ('endlessstream', 'brokenstream'):
            events = b''.join(event(run.ident, n) for n in (1, 2, 3))
            heads = {**self.heads(run), 'Content-Type': 'text/event-stream'}
            await self.untold(stream, heads, events, count if act == 'brokenstream' else None)
            return None
        if act == 'continue':  # a word that the answer is to come, then the answer
            await stream.write(b'HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 Early\r\nX-Sign: early\r\n\r\n')
            return await self.write(stream, 200, self.heads(run), body)
        if act == 'empty':
            return await stream.write(
                b'HTTP/1.1 %d Said\r\nX-Request-Id: %s\r\n\r\n' % (count, run.ident.encode())
            )
        if act == 'latestream':  # an old stream in the place of this one
            await stream.write(
                b'HTTP/1.1 200 Said\r\nX-Request-Id: old\r\nTransfer-Encoding: chunked\r\n\r\n'
                b'13\r\nid: 1\ndata: old.1\n\n\r\n0\r\n\r\n'
            )
            act, count = 'stream', 3
        if act == 'more':  # a whole stream, and at once a surplus answer
            await self.stream(stream, run, 'stream', 3)
            return await self.write(stream, 200, {'X-Request-Id': 'old'}, b'surplus')
        if act == 'leave':  # a whole answer, then it closes the connection without a word
            await self.write(stream, 200, self.heads(run), body)
            return stream.close()
        await self.stream(stream, run, act, count)

    async def untold(self, stream, heads, body, reset_ms):
        """An answer without a length; its connection ends, or is reset after so many milliseconds."""
        head = ''.join(f'{n}: {v}\r\n' for n, v in heads.items())
        await stream.write(f'HTTP/1.1 200 Said\r\n{head}\r\n'.encode() + body)
        if reset_ms is not None:
            await asyncio.sleep(reset_ms / 1000)
            stream.socket.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack('ii', 1, 0))
        stream.close()

    async def stream(self, stream, run, act, count):
        """Events up to a total; broken off after `count` of this run, or torn inside the next one, once the
        caller has those before; or broken off with the last of them (`burst`)."""
        story = self.story
        heads = {**self.heads(run), 'Content-Type': 'text/event-stream', 'Transfer-Encoding': 'chunked'}
        await stream.write(
            ('HTTP/1.1 200 Said\r\n' + ''.join(f'{n}: {v}\r\n' for n, v in heads.items()) + '\r\n').encode()
        )
        run.headed = True
        first = int(run.headers.get('Last-Event-Id') or 0) + 1
        total = count if act in ('stream', 'paced') else story.total
        for n in range(first, total + 1):
            if act in ('break', 'tear', 'burst', 'die') and run.sent == count:
                if act == 'die':  # it takes no more connections either
                    self.stop()
                if act != 'burst':
                    await until(lambda n=n: story.talks[run.ident].body.count(b'\n\n') >= n - 1)
                if act == 'tear':
                    await stream.write(b'8\r\nid: %d\nda\r\n' % n)
                return stream.close()
            if act == 'paced':
                work = asyncio.ensure_future(story.go.acquire())
                await until(lambda work=work: work.done() or run.cut)
                if run.cut:
                    work.cancel()
                    raise StreamClosedError()
            data = event(run.ident, n)
            await stream.write(b'%x\r\n%s\r\n' % (len(data), data))
            run.sent += 1
            if act == 'half' and run.sent == count:  # a proper end in the middle of an event
                return await stream.write(b'8\r\nid: %d\nda\r\n0\r\n\r\n' % (n + 1))
        if act == 'break':  # all events, but not the end
            await until(lambda: story.talks[run.ident].body.count(b'\n\n') >= total)
            return stream.close()
        await stream.write(b'0\r\n\r\n')


def event(ident, n):
    return f'id: {n}\ndata: {ident}.{n}\n\n'.encode()


def said(ident, count):
    """What a turn adds to its chain after its input."""
    return b''.join(f'{ident}.{n}\n'.encode() for n in range(1, count + 1))


class Talk:
    """One caller's request and its answer, read piece by piece."""

    def __init__(self, reader, writer):
        self.reader, self.writer = reader, writer
        self.status, self.headers, self.body, self.complete = 0, None, b'', False

    async def head(self):
        async with asyncio.timeout(LIMIT):
            lines, _, heads = (await self.reader.readuntil(b'\r\n\r\n')).decode('latin1').partition('\r\n')
        self.status, self.headers = int(lines.split()[1]), HTTPHeaders.parse(heads)
        return self

    async def piece(self):
        """The next chunk; None at the proper end."""
        async with asyncio.timeout(LIMIT):
            size = int(await self.reader.readuntil(b'\r\n'), 16)
            data = (await self.reader.readexactly(size + 2))[:-2]
        self.body += data
        self.complete = size == 0
        return data or None

    async def rest(self):
        """The whole answer, if it comes."""
        try:
            if self.headers is None:
                await self.head()
            if 'Content-Length' in self.headers:
                async with asyncio.timeout(LIMIT):
                    self.body = await self.reader.readexactly(int(self.headers['Content-Length']))
                self.complete = True
            while not self.complete and await self.piece():
                pass
        except (ConnectionError, asyncio.IncompleteReadError):
            pass
        return self

    def close(self):
        self.writer.close()


async def send(address, method, path, heads, body=b''):
    """A caller's request on a new connection."""
    host, _, port = address.partition(':')
    talk = Talk(*await asyncio.open_connection(host, int(port)))
    heads = {'Host': 'h.example', 'Content-Length': len(body), **heads}
    talk.writer.write(
        (
            f'{method} {path} HTTP/1.1\r\n'
            + ''.join(f'{n}: {v}\r\n' for n, v in heads.items() if v is not None)
            + '\r\n'
        ).encode()
        + body
    )
    return talk


def policy():
    """One pool behind one route of each kind."""
    plain = {'class': 'c', 'host': 'h.example', 'pools': {'all': 1}, 'timeout_ms': 5000, 'target_ms': 50}
    turn = {**plain, 'stream': True, 'attempts': 1, 'target_ms': 200}
    out = {
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
    assert check(out) == [], check(out)
    return out


class Story:
    """Routing nodes on loopback with their stand-ins, and a loop of their own."""

    def __init__(self, nodes, names):
        self.loop = asyncio.new_event_loop()
        self.plan = deque()
        self.runs, self.turned, self.connects, self.total, self.talks = [], [], 0, 5, {}
        self.dropped = []
        self.read_late = []  # (request id, body) of those answered before their body was read; None: it ended
        self.stores = Stores()
        self.last, self.generation = 0, 1
        self.run(self.open(nodes, names))

    def run(self, work):
        return self.loop.run_until_complete(work)

    async def open(self, nodes, names):
        self.go = asyncio.Semaphore(0)
        self.replicas = {name: Replica(self, name) for name in names}
        self.clock = SystemClock()
        self.nodes, self.tasks = [], []
        for n in range(nodes):
            await self.start(n)

    async def start(self, n, lease=timedelta(seconds=100)):
        startup = {
            'name': f'n{n}',
            'role': 'route',
            'zone': 'z',
            'address': f'127.0.0.1:{held_port()}',
            'seeds': ['127.0.0.1:4', '127.0.0.1:5', '127.0.0.1:6'],
            'gateway': f'127.0.0.1:{held_port()}',
            'ready': f'127.0.0.1:{held_port()}',
        }
        journal = Journal(startup['name'], self.clock)
        journal.log.disabled = True
        node = Node(Ctx(startup, self.clock, self.stores, None, None, journal, random.Random(n)))
        self.nodes.append(node)
        self.tasks.append(asyncio.ensure_future(node.run()))
        node.place_news(
            {
                'seats': {p: list(s) for p, s in self.stores.seats.items()},
                'book': self.stores.book,
                'place': 1,
            }
        )
        self.policy = policy()
        self.lease(node, lease)
        await self.list(node)
        if lease > timedelta(0):
            await until(lambda: node.gateway and node.gateway.ready())

    def lease(self, node, span):
        node.tell(
            News(
                {'generation': 1, 'epoch': 1, 'policy': self.policy, 'leaving': [], 'live': 1, 'allot': {}},
                self.clock.now() + span,
            )
        )

    async def change(self, node, policy):
        """A later policy is in force at a node."""
        self.generation += 1
        node.tell(
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
        await until(lambda: node.state.generation == self.generation)

    async def list(self, node, **more):
        """Give a node a newer list; `more` overrides the rows by name, None takes one out."""
        rows = {
            name: {'address': r.address, 'zone': 'z', 'slots': 8, 'ready': True, 'cold': False}
            for name, r in self.replicas.items()
        }
        rows.update(more)
        pools = {'all': {k: v for k, v in rows.items() if v is not None}}
        listing = {'at': self.clock.now().timestamp(), 'pools': pools, 'digest': digest(pools)}
        node.tell(Listing(listing))
        await until(lambda: node.state.listing.get('at') == listing['at'])

    def address(self, n, door='gateway'):
        return self.nodes[n - 1].ctx.startup[door]

    def ident(self):
        self.last += 1
        return f'x{self.last}'

    async def begin(self, path, n=1, body=b'in', ident=None, **heads):
        """Send a request to a node: its answer is read by whoever asks."""
        heads = {name.replace('_', '-'): value for name, value in heads.items()}
        ident = ident or self.ident()
        talk = self.talks[ident] = await send(
            self.address(n), 'POST', path, {'X-Request-Id': ident, **heads}, body
        )
        return talk

    async def ask(self, path, n=1, **more):
        """Send a request to a node and read the whole answer."""
        got = await (await self.begin(path, n, **more)).rest()
        got.close()
        return got

    async def turn(self, ident, previous=None, program='P', n=1, budget=10_000, most=50, **more):
        """One turn of a program, from its input to its end."""
        return await self.ask(
            '/turn/a',
            n,
            ident=ident,
            body=f'[{ident}]'.encode(),
            **self.heads(program, previous, budget, most),
            **more,
        )

    def heads(self, program='P', previous=None, budget=10_000, most=50):
        return {
            'X-Program-Id': program,
            'X-Previous-Turn': previous,
            'X-Token-Budget': budget,
            'X-Tokens': f'10,{most}',
        }

    def close(self):
        async def end():
            for task in self.tasks:
                task.cancel()
            await asyncio.wait(self.tasks, timeout=LIMIT)
            for replica in self.replicas.values():
                replica.stop()
                for stream in list(replica.streams):
                    stream.close()
            others = asyncio.all_tasks() - {asyncio.current_task()}
            for task in others:
                task.cancel()
            if others:
                await asyncio.wait(others, timeout=LIMIT)

        self.run(end())
        self.loop.close()


__all__ = ['Story', 'until', 'event', 'said', 'send', 'of_ms', 'EVENT_TOKENS', 'PARTS']
