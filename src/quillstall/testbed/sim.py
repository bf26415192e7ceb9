"""Sim: a world of machines in one process, on virtual time, with an in-memory net, web and disk.

The programs run in it unchanged. Every delay and fault comes from one seeded source, so a seed
gives one history. A machine can be killed (what its disk had not synced is lost), frozen and
thawed, cut off in one direction or both, and can lose its disk.
"""

import asyncio
import contextvars
import json
import random
from collections.abc import Callable, Coroutine
from datetime import UTC, datetime, timedelta
from typing import Any

import cbor2
from tornado.iostream import StreamClosedError
from tornado.queues import Queue
from zope.interface import implementer

from quillstall.network.net import INet, call_handler, checked_reply, encode_message, encode_reply
from quillstall.network.web import IWeb, JsonRequest
from quillstall.runtime.clock import IClock
from quillstall.runtime.disk import CorruptFile, IDisk, Put, encode_row
from quillstall.runtime.errors import Fault
from quillstall.runtime.journal import Journal
from quillstall.runtime.process import Context
from quillstall.testbed.loop import VirtualLoop, finish

EPOCH = datetime(2026, 1, 1, tzinfo=UTC)
DISK_RETRY_S = 0.02
HERE: contextvars.ContextVar = contextvars.ContextVar('machine', default=None)


class Machine:
    """One simulated machine: what runs on it, and whether it runs at all."""

    def __init__(self, world: 'World', name: str, address: str):
        self.world = world
        self.name = name
        self.address = address
        self.disk_rows: dict = {}
        self.tasks: set = set()
        self.up = False
        self.thawed = asyncio.Event()
        self.thawed.set()
        self.doors: dict[str, Callable] = {}
        self.root: Any = None
        self.life = 0
        self.end = asyncio.get_running_loop().create_future()
        self.journal: Journal | None = None
        self.stood: list = []  # when it was frozen, and until when
        self.full = False  # whether its disk has no room for what is written
        self.refusing = False  # whether its disk fails all that is written
        self.hung = False  # whether its disk keeps whoever writes waiting
        self.torn = False  # whether what is on its disk cannot be trusted
        self.set_aside = False  # whether its disk was ever torn
        self.ahead = timedelta(0)  # how far its wall clock is off, and how fast its clocks go
        self.rate = 1.0

    async def gate(self) -> None:
        """Wait while the machine is frozen: `await machine.gate()`."""
        while not self.thawed.is_set():
            await self.thawed.wait()

    def spawn(self, work: Coroutine) -> asyncio.Task:
        """Run work as this machine's: `machine.spawn(run(ctx))`."""
        ctx = contextvars.copy_context()
        ctx.run(HERE.set, self)
        return ctx.run(asyncio.ensure_future, work)


class World:
    """All machines, and what lies between them.

    >>> async def two(world):
    ...     a, b = world.machine('a', '10.0.0.1:1'), world.machine('b', '10.0.0.2:1')
    ...     async def echo(message): return {'said': message['x']}
    ...     net = world.ctx(b, {}).net
    ...     await net.serve('10.0.0.2:1', echo)
    ...     return await world.ctx(a, {}).net.ask('10.0.0.2:1', {'x': 1}, timedelta(seconds=1))
    >>> World.play(7, two)
    {'said': 1}
    """

    def __init__(self, seed: int):
        self.dice = random.Random(seed)
        self.machines: dict[str, Machine] = {}
        self.nets: dict[str, tuple[Machine, Callable]] = {}
        self.webs: dict[str, tuple[Machine, Callable]] = {}
        self.cuts: set[tuple[str, str]] = set()
        self.trace: list = []
        self.slow = 0.0  # the share of messages that take long
        self.sync_ms = (0.5, 4.0)
        self.links: dict = {}
        self.messages = 0

    @staticmethod
    def play(seed: int, script: Callable[['World'], Coroutine], limit_s: float = 3600) -> Any:
        """Run a script in a new world: `World.play(1, script)`."""
        loop = VirtualLoop()

        def factory(owner: Any, work: Any, **more: Any) -> asyncio.Task:
            task = asyncio.Task(work, loop=owner, **more)
            machine = HERE.get()
            if machine is not None:
                machine.tasks.add(task)
                task.add_done_callback(machine.tasks.discard)
            return task

        loop.set_task_factory(factory)

        async def main() -> Any:
            async with asyncio.timeout(limit_s):
                return await script(World(seed))

        try:
            return loop.run_until_complete(main())
        finally:
            finish(loop)

    def now(self) -> datetime:
        """The world's time: `world.now()`."""
        return EPOCH + timedelta(seconds=asyncio.get_running_loop().time())

    async def sleep(self, seconds: float) -> None:
        """Let the world's time pass: `await world.sleep(3)`."""
        await asyncio.sleep(seconds)

    def machine(self, name: str, address: str) -> Machine:
        """A new machine: `world.machine('core1', '10.0.0.1:7000')`."""
        made = self.machines[name] = Machine(self, name, address)
        return made

    def ctx(self, machine: Machine, startup: dict) -> Context:
        """The context of a program on a machine: `world.ctx(machine, startup)`."""
        clock = SimClock(self, machine)
        journal = Journal(machine.name, clock)
        journal.log.disabled = True
        machine.journal = journal
        return Context(
            startup,
            clock,
            SimNet(self, machine),
            SimDisk(self, machine),
            SimWeb(self, machine),
            journal,
            random.Random(self.dice.random()),
        )

    def start(self, machine: Machine, startup: dict, program: Callable[[Context], Coroutine]) -> None:
        """Start a program on a machine: `world.start(m, startup, run)`."""
        machine.up = True
        machine.life += 1
        self.note('start', machine.name)
        machine.root = machine.spawn(program(self.ctx(machine, startup)))

    def kill(self, machine: Machine) -> None:
        """End what runs there at once; the disk keeps what was synced: `world.kill(m)`."""
        self.note('kill', machine.name)
        machine.up = False
        machine.life += 1
        machine.end.set_result(None)
        machine.end = asyncio.get_running_loop().create_future()
        machine.thawed.set()
        for table in (self.nets, self.webs):
            for address in [a for a, (m, _) in table.items() if m is machine]:
                del table[address]
        for task in list(machine.tasks):
            task.cancel()

    def wipe(self, machine: Machine) -> None:
        """The machine's disk is lost: `world.wipe(m)`."""
        self.note('wipe', machine.name)
        machine.disk_rows = {}
        machine.set_aside = False

    def freeze(self, machine: Machine) -> None:
        """Stop it where it stands: `world.freeze(m)`."""
        self.note('freeze', machine.name)
        machine.thawed.clear()
        machine.stood.append([self.now(), None])

    def thaw(self, machine: Machine) -> None:
        """Let it go on: `world.thaw(m)`."""
        self.note('thaw', machine.name)
        machine.thawed.set()
        machine.stood[-1][1] = self.now()

    def step_clock(self, machine: Machine, span: timedelta) -> None:
        """Set a running machine's wall clock ahead or back: `world.step_clock(m, timedelta(seconds=2))`."""
        self.note('step_clock', machine.name, span.total_seconds())
        machine.ahead += span

    def cut(self, a: str, b: str, both: bool = True) -> None:
        """Messages from machine a to b are lost: `world.cut('core1', 'core2')`."""
        self.note('cut', a, b, both)
        self.cuts.add((a, b))
        if both:
            self.cuts.add((b, a))

    def heal(self) -> None:
        """All cuts end: `world.heal()`."""
        self.note('heal')
        self.cuts.clear()

    def note(self, *what: Any) -> None:
        """One line of the world's history: `world.note('kill', 'core1')`."""
        self.trace.append((round(asyncio.get_running_loop().time(), 6),) + what)

    async def travel(self, a: Machine, b: Machine) -> bool:
        """One message's way; False if it is lost: `await world.travel(a, b)`."""
        self.messages += 1
        delay = self.dice.uniform(0.1, 1.5)
        if self.dice.random() < self.slow:
            delay += self.dice.uniform(5, 250)
        await asyncio.sleep(delay / 1000)
        return (a.name, b.name) not in self.cuts


@implementer(IClock)
class SimClock:
    """The world's time as one machine sees it. A later step of the machine's wall clock is not in `now`."""

    def __init__(self, world: World, machine: Machine):
        self.world = world
        self.machine = machine
        self.anchor = EPOCH + machine.ahead

    def now(self) -> datetime:
        return self.anchor + self.passed()

    def wall(self) -> datetime:
        return EPOCH + self.machine.ahead + self.passed()

    def passed(self) -> timedelta:
        return timedelta(seconds=asyncio.get_running_loop().time() * self.machine.rate)

    async def sleep(self, span: timedelta) -> None:
        await asyncio.sleep(max(0.0, span.total_seconds() / self.machine.rate))
        await self.machine.gate()


@implementer(INet)
class SimNet:
    """The net between simulated machines. Messages go through CBOR, as on the wire."""

    def __init__(self, world: World, machine: Machine):
        self.world = world
        self.machine = machine

    async def serve(self, address: str, handler: Callable) -> None:
        queue: Queue = Queue()
        self.world.nets[address] = (self.machine, queue.put_nowait)
        self.machine.spawn(self.take(queue, handler))

    async def take(self, queue: Queue, handler: Callable) -> None:
        while True:
            body, back = await queue.get()
            await self.machine.gate()
            asyncio.ensure_future(self.one(handler, body, back))

    async def one(self, handler: Callable, body: bytes, back: Callable) -> None:
        ret = await call_handler(handler, cbor2.loads(body))
        await self.machine.gate()
        back(encode_reply(ret))

    async def ask(self, address: str, message: dict, limit: timedelta) -> dict:
        me = self.machine
        await me.gate()
        body = encode_message(message)
        wait = asyncio.get_running_loop().create_future()
        task = asyncio.ensure_future(self.way(address, body, wait))
        done, _ = await asyncio.wait((wait,), timeout=max(0.0, limit.total_seconds()))
        task.cancel()
        await me.gate()
        if not done:
            wait.cancel()
            raise Fault('slow', f'{address}: no return in {limit}')
        ret = wait.result()
        if isinstance(ret, str):
            raise Fault(ret, address)
        return checked_reply(message, cbor2.loads(ret), me.journal.count)

    async def way(self, address: str, body: bytes, wait: asyncio.Future) -> None:
        world, me = self.world, self.machine
        there = world.machines.get(self.owner(address))
        if there is None or not await world.travel(me, there):
            return
        if address not in world.nets:
            if await world.travel(there, me) and not wait.done():
                wait.set_result('unreachable')
            return
        life = there.life
        ret = asyncio.get_running_loop().create_future()
        world.nets[address][1]((body, lambda data: ret.done() or ret.set_result(data)))
        await asyncio.wait((ret, there.end), return_when=asyncio.FIRST_COMPLETED)
        if there.life != life:  # it died: the link breaks
            if await world.travel(there, me) and not wait.done():
                wait.set_result('lost')
            return
        if await world.travel(there, me) and not wait.done():
            wait.set_result(ret.result())

    def owner(self, address: str) -> str:
        for name, machine in self.world.machines.items():
            if machine.address == address:
                return name
        return ''

    async def close(self) -> None:
        pass


@implementer(IDisk)
class SimDisk:
    """A machine's disk. What `write` has returned for survives a kill; what it has not may be lost."""

    def __init__(self, world: World, machine: Machine):
        self.world = world
        self.machine = machine
        self.line = asyncio.Lock()
        self.syncs = 0
        self.sync_ms = 2.0
        self.table_bytes = 0

    async def open(self) -> dict:
        await self.taken()
        if self.machine.torn:
            raise CorruptFile(f'{self.machine.name}: torn')
        return {
            part: {k: cbor2.loads(v) for k, v in rows.items()}
            for part, rows in self.machine.disk_rows.items()
        }

    async def write(self, puts: tuple) -> None:
        data = [Put(p.part, p.key, None if p.value is None else encode_row(p)) for p in puts]
        async with self.line:
            await asyncio.sleep(self.world.dice.uniform(*self.world.sync_ms) / 1000)
            await self.taken()
            await self.machine.gate()
            self.syncs += 1
            rows = self.machine.disk_rows
            for put in data:
                if put.key is None:
                    rows.pop(put.part, None)
                elif put.value is None:
                    rows.get(put.part, {}).pop(put.key, None)
                else:
                    rows.setdefault(put.part, {})[put.key] = put.value

    async def taken(self) -> None:
        """Wait until the disk takes writes, as `SqliteDisk` does by trying again."""
        while self.machine.hung or self.machine.full or self.machine.refusing:
            await asyncio.sleep(DISK_RETRY_S)

    async def set_aside(self) -> None:
        self.machine.disk_rows = {}
        self.machine.torn = False
        self.machine.set_aside = True

    def was_set_aside(self) -> bool:
        return self.machine.set_aside

    async def close(self) -> None:
        pass


class SimOut:
    """The way back over the simulated web."""

    def __init__(self, world: World, there: Machine, here: Machine, queue: Queue):
        self.world = world
        self.there = there
        self.here = here
        self.queue = queue
        self.disconnected = asyncio.get_running_loop().create_future()
        self.ended = asyncio.get_running_loop().create_future()
        self.over = False

    def close(self) -> None:
        self.over = True
        if not self.ended.done():
            self.ended.set_result(None)

    async def send(self, *item: Any) -> None:
        await self.there.gate()
        if self.over or self.disconnected.done():
            raise StreamClosedError()
        if await self.world.travel(self.there, self.here):
            self.queue.put_nowait(item)

    async def respond(self, status: int, body: Any, headers: dict | None = None) -> None:
        if self.disconnected.done():
            return
        heads = {k.lower(): str(v) for k, v in (headers or {}).items()}
        await self.send('head', status, heads)
        await self.send('line', json.loads(json.dumps(body)))
        await self.end()

    async def respond_bytes(self, status: int, data: bytes, kind: str, headers: dict | None = None) -> None:
        await self.respond(
            status, json.loads(data) if data else None, {'content-type': kind, **(headers or {})}
        )

    async def head(self, status: int, headers: dict | None = None) -> None:
        await self.send('head', status, {k.lower(): str(v) for k, v in (headers or {}).items()})

    async def send_line(self, body: Any) -> None:
        await self.send('line', json.loads(json.dumps(body)))

    async def end(self) -> None:
        if not self.disconnected.done() and not self.over:
            await self.send('end', None)
            self.close()

    def abort(self) -> None:
        self.close()
        self.queue.put_nowait(('end', 'lost'))


class SimFlow:
    """One simulated request under way."""

    def __init__(self, world: World, me: Machine, limit: timedelta):
        self.world = world
        self.me = me
        self.queue: Queue = Queue()
        self.limit = asyncio.get_running_loop().time() + max(0.0, limit.total_seconds())
        self.out: SimOut | None = None
        self.task: asyncio.Task | None = None
        self.over = False
        self.raw = False

    async def next(self) -> tuple:
        left = self.limit - asyncio.get_running_loop().time()
        item: tuple = ('end', 'slow')
        if not self.over and left > 0:
            try:
                async with asyncio.timeout(left):
                    item = await self.queue.get()
            except TimeoutError:
                pass
        await self.me.gate()
        if item[0] == 'end':
            if item[1] == 'slow':
                self.abort()
            self.over = True
        if item[0] == 'line' and self.raw:
            return 'data', json.dumps(item[1]).encode() + b'\n'
        return item

    def abort(self) -> None:
        if self.over:
            return
        self.over = True
        if self.out and not self.out.disconnected.done():
            self.out.disconnected.set_result(None)


@implementer(IWeb)
class SimWeb:
    """The web between simulated machines."""

    def __init__(self, world: World, machine: Machine):
        self.world = world
        self.machine = machine

    async def serve(self, address: str, handler: Callable) -> None:
        queue: Queue = Queue()
        self.world.webs[address] = (self.machine, queue.put_nowait)
        self.machine.spawn(self.take(queue, handler))

    async def take(self, queue: Queue, handler: Callable) -> None:
        while True:
            call, out = await queue.get()
            await self.machine.gate()
            asyncio.ensure_future(self.one(handler, call, out))

    async def one(self, handler: Callable, call: JsonRequest, out: SimOut) -> None:
        try:
            await handler(call, out)
        except StreamClosedError:
            pass

    def open(
        self,
        address: str,
        method: str,
        path: str,
        body: Any = None,
        headers: dict | None = None,
        limit: timedelta = timedelta(seconds=10),
        at_most_once: bool = False,
        raw: bool = False,
    ) -> SimFlow:
        flow = SimFlow(self.world, self.machine, limit)
        flow.raw = raw
        data = b'' if body is None else body if isinstance(body, bytes) else json.dumps(body).encode()
        heads = {k.lower(): str(v) for k, v in (headers or {}).items()}
        flow.task = asyncio.ensure_future(self.way(flow, address, JsonRequest(method, path, heads, data)))
        return flow

    async def way(self, flow: SimFlow, address: str, call: JsonRequest) -> None:
        world, me = self.world, self.machine
        await me.gate()
        entry = world.webs.get(address)
        there = entry[0] if entry else None
        if there is None:
            await asyncio.sleep(0.001)
            flow.queue.put_nowait(('end', 'unreachable'))
            return
        if not await world.travel(me, there):
            await asyncio.sleep(0.4)
            flow.queue.put_nowait(('end', 'unreachable'))
            return
        if address not in world.webs:
            flow.queue.put_nowait(('end', 'unreachable'))
            return
        flow.out = SimOut(world, there, me, flow.queue)
        if flow.over:
            flow.out.disconnected.set_result(None)
        life = there.life
        world.webs[address][1]((call, flow.out))
        await asyncio.wait(
            (flow.out.disconnected, flow.out.ended, there.end), return_when=asyncio.FIRST_COMPLETED
        )
        if there.life != life:
            flow.queue.put_nowait(('end', 'lost'))

    async def close(self) -> None:
        pass
