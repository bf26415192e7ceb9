"""Hollow: many routing nodes without traffic in one process. Each polls, watches, renews, holds a lease
and takes news by the real node's own code, and keeps of the policy no more than its generation."""

import asyncio
import random
import time
from collections import Counter
from collections.abc import Callable
from typing import Any

from quillstall.dataplane.admission.messages import News
from quillstall.dataplane.node import Node
from quillstall.network.net import CONNECT_TIMEOUT, Connection, TcpNet, encode_frame, parse_address
from quillstall.runtime.clock import SystemClock
from quillstall.runtime.errors import Fault
from quillstall.runtime.journal import Journal
from quillstall.runtime.process import Context

KEPT = 4000  # round trips kept for the percentiles


class MeteredConnection(Connection):
    """A connection that adds what it carries to a meter: [bytes in, bytes out]."""

    meter: list

    async def read(self) -> bytes:
        data = await super().read()
        self.meter[0] += len(data)
        return data

    def send(self, call: int, message: dict) -> None:
        super().send(call, message)
        self.meter[1] += len(encode_frame(call, message))


class Book:
    """What one process of hollow nodes has counted.

    >>> Book().asks
    Counter()
    """

    def __init__(self) -> None:
        self.asks: Counter = Counter()  # kind of message -> how many had a return
        self.faults: Counter = Counter()  # kind.code -> how many had none
        self.bytes: dict[str, list] = {'core': [0, 0], 'store': [0, 0], 'peer': [0, 0]}
        self.polls: list[float] = []  # seconds of the last polls' round trips
        self.unleased_s = 0.0  # node-seconds without a lease, after the first

    def sample(self) -> dict[str, Any]:
        """All of it as one message: `book.sample()`."""
        return {
            'asks': dict(self.asks),
            'faults': dict(self.faults),
            'bytes': self.bytes,
            'unleased_s': self.unleased_s,
        }


class MeteredNet(TcpNet):
    """The net over TCP, with its outgoing links metered by whom they lead to."""

    def __init__(self, source: str, cores: list, stores: list, book: Book):
        super().__init__(source=source)
        self.roles = {**{a: 'core' for a in cores}, **{a: 'store' for a in stores}}
        self.book = book

    async def open(self, address: str) -> Connection:
        connection = await MeteredConnection.open(address, CONNECT_TIMEOUT, self.source)
        connection.meter = self.book.bytes[self.roles.get(address, 'peer')]
        return connection

    async def ask(self, address: str, message: dict, limit: Any) -> dict:
        began, kind = time.monotonic(), message['k']
        try:
            ret = await super().ask(address, message, limit)
        except Fault as e:
            self.book.faults[f'{kind}.{e.code}'] += 1
            raise
        self.book.asks[kind] += 1
        if kind == 'poll':
            self.book.polls.append(time.monotonic() - began)
            del self.book.polls[:-KEPT]
        return ret


class Hollow(Node):
    """A routing node that carries no traffic, and notes when it has heard what."""

    def __init__(self, ctx: Context, book: Book):
        super().__init__(ctx)
        self.counted = book
        self.pool_names: tuple = ()
        self.generations: list = []  # (generation, when, the end of the lease before): as taken
        self.epochs: list = []
        self.members: list = []  # (the stores that hold parts, when)

    def post_event(self, event: Any) -> None:
        """Take news as the table's owner would, without pools and policy."""
        if type(event) is not News:
            return
        ret, state = event.reply, self.state
        if ret['epoch'] < state.epoch or ret['generation'] < state.generation:
            return
        if ret['generation'] > state.generation:
            if 'policy' not in ret:
                return
            self.pool_names = tuple((ret['policy'] or {}).get('pools', ()))
            self.generations.append(
                (ret['generation'], time.time(), state.lease.timestamp() if state.lease else 0.0)
            )
        if ret['epoch'] > state.epoch:
            self.epochs.append((ret['epoch'], time.time()))
        lease = event.lease if state.lease is None else max(event.lease, state.lease)
        self.state = state._replace(
            generation=ret['generation'],
            epoch=ret['epoch'],
            lease=lease,
            allocation=ret.get('allot', state.allocation),
            live_nodes=max(1, ret['live']),
        )

    def apply_placement(self, ret: dict) -> None:
        super().apply_placement(ret)
        members = frozenset(n for seat in self.replica_sets.values() for n in seat[2:])
        if not self.members or self.members[-1][0] != members:
            self.members.append((members, time.time()))

    def poll_message(self) -> dict:
        return {**super().poll_message(), 'pressure': {p: 0 for p in self.pool_names}}

    def leased(self) -> bool:
        """Whether it might send now: `hollow.leased()`."""
        return self.state.lease is not None and self.state.lease > self.ctx.clock.now()

    async def lapse(self) -> None:
        """Add up the time without a lease: `await hollow.lapse()`."""
        while True:
            await asyncio.sleep(0.1)
            if self.state.lease is not None and not self.leased():
                self.counted.unleased_s += 0.1

    def when(self, message: dict) -> float | None:
        """When this node first had a generation or an epoch, or no part on a store any more:
        `hollow.when({'generation': 4})`."""
        if 'gone' in message:
            return next(
                (
                    at
                    for names, at in self.members
                    if at >= message['since'] and not any(n.startswith(message['gone']) for n in names)
                ),
                None,
            )
        kind = 'generation' if 'generation' in message else 'epoch'
        rows = self.generations if kind == 'generation' else self.epochs
        return next((at for n, at, *_ in rows if n >= message[kind]), None)

    def lease_before(self, generation: int) -> float:
        """Until when this node could send before it had a generation: `hollow.lease_before(4)`."""
        lease = self.state.lease.timestamp() if self.state.lease else 0.0
        return next((end for n, _, end in self.generations if n >= generation), lease)

    async def run(self, ready: Any = None) -> None:
        """Be a node until cancelled: `await hollow.run()`."""
        await self.ctx.net.serve(self.ctx.startup['address'], self.handle_message)
        try:
            await asyncio.gather(self.poll_core(), self.renew_lease(), self.watch_peers(), self.lapse())
        finally:
            for task in list(self.tasks):
                task.cancel()
            await self.ctx.net.close()


class Host:
    """The hollow nodes of one process, and what the scale run may ask of them."""

    def __init__(self, startup: dict):
        self.startup = startup
        self.book = Book()
        self.nodes: dict[str, Hollow] = {}
        self.work: dict[str, asyncio.Task] = {}

    def start(self, spec: dict) -> None:
        """Start one hollow node: `host.start({'name': 'h0', 'address': '127.0.100.1:1', 'zone': 'z0'})`."""
        s = {**spec, 'http': spec['address'], 'seeds': self.startup['seeds']}
        clock = SystemClock()
        net = MeteredNet(parse_address(s['address'])[0], s['seeds'], self.startup['stores'], self.book)
        ctx = Context(s, clock, net, None, None, Journal(s['name'], clock, 20), random.Random())
        self.nodes[s['name']] = node = Hollow(ctx, self.book)
        self.work[s['name']] = asyncio.ensure_future(node.run())

    async def again(self, name: str) -> None:
        """End one hollow node and start another in its place: `await host.again('h0')`."""
        node, work = self.nodes[name], self.work[name]
        work.cancel()
        await asyncio.wait((work,))
        for link in node.ctx.net.links.values():
            link.task.cancel()
        self.start(node.ctx.startup)

    async def told(self, message: dict) -> dict:
        """What the scale run asks: `await host.told({'k': 'sample'})`."""
        kind = message['k']
        if kind == 'sample':
            nodes = {
                n: {
                    'generation': h.state.generation,
                    'epoch': h.state.epoch,
                    'place': h.placement_version,
                    'leased': h.leased(),
                    'allotted': bool(h.state.allocation),
                    'slots': sum(h.state.allocation.values()),
                    'parts': len(h.replica_sets),
                }
                for n, h in self.nodes.items()
            }
            return {'ok': True, 'nodes': nodes, **self.book.sample(), 'polls': sorted(self.book.polls)}
        if kind == 'allot':
            total: Counter = Counter()
            for node in self.nodes.values():
                total.update(node.state.allocation)
            return {'ok': True, 'allot': dict(total)}
        if kind == 'when':
            return {
                'ok': True,
                'when': {n: h.when(message) for n, h in self.nodes.items()},
                'lease': {n: h.lease_before(message.get('generation', 0)) for n, h in self.nodes.items()},
            }
        if kind == 'again':
            await self.again(message['name'])
            return {'ok': True}
        raise Fault('garbled', f'no message of kind {kind!r}')


def program(startup: dict) -> Callable:
    """The program of one process of hollow nodes: `serve(startup, program(startup))`."""

    async def run(ctx: Context, ready: Any = None) -> None:
        host = Host(startup)
        await ctx.net.serve(startup['address'], host.told)
        for spec in startup['nodes']:
            host.start(spec)
        if ready:
            ready.set_result(host)
        while True:
            for _name, work in host.work.items():
                if work.done() and not work.cancelled():
                    work.result()
            await asyncio.sleep(1)

    return run
