"""Process: runs a reducer. One loop takes events from one queue, steps, and performs the effects.

A process whose disk takes nothing (full, refusing, stalled) is *blocked*: it keeps running, answers every
message with the fault that it cannot confirm, and sends nothing but a store's last word that it is blocked;
its reducer gets no clock events. A store still answers pings: it is not lost. Its place is given to
somebody else, and for its reducer the moment when the disk takes writes again is like waking up.
"""

import asyncio
from collections import deque
from collections.abc import Callable
from datetime import timedelta
from typing import Any, NamedTuple

from tornado.queues import Queue

from quillstall.runtime.clock import from_ms
from quillstall.runtime.effect import Ask, Count, Heard, Note, Return, Tick, Told, Violated, Write, Wrote
from quillstall.runtime.errors import Fault

TICK_INTERVAL = timedelta(milliseconds=100)
DEFAULT_SILENT_MS = (
    2000  # where the startup does not say so: so long silent, a member is given up by the others
)
BLOCKED_FRACTION = 0.6  # of that time a write waits for its sync before the process counts as blocked
SLOW_SYNC_S = 0.3  # a write that waits for its sync for longer is told of
SLOW_SYNC_NOTE_INTERVAL_S = 1.0
LATE_TICK_S = 0.3  # a clock event that comes so much later than it should is told of: the loop stood still
SLOW_STEP_S = 0.15  # a step of the reducer that takes longer is told of
MESSAGES_ANSWERED_WHEN_BLOCKED = {  # they confirm nothing
    'core': ('status',),  # for people who look
    'store': (
        'status',
        'who',
    ),  # other stores' pings: it is not lost, so no partition may go on with one copy
}
MESSAGES_SENT_WHEN_BLOCKED = ('poll',)  # a store's last word to the core


class Context(NamedTuple):
    """The one context object of a process: everything it may touch.

    >>> Context({'name': 'a'}, None, None, None, None, None, None).startup['name']
    'a'
    """

    startup: dict
    clock: Any
    net: Any
    disk: Any
    web: Any
    journal: Any
    rng: Any
    lister: Any = None  # whom to ask for the replicas of listed pools
    dialect: Any = None  # the names of a gateway's headers
    admin_api: Any = None  # another interface for operators, beside our own


def blocked_after_s(startup: dict) -> float:
    """How long a write waits for its sync before a process counts as blocked. A replica that does not confirm
    for so long is taken off its partition, too.

    >>> blocked_after_s({'silent_ms': 1000})
    0.6
    """
    return startup.get('silent_ms', DEFAULT_SILENT_MS) * BLOCKED_FRACTION / 1000


class ReducerRunner:
    """A running reducer: its queue, its state, its calls in flight."""

    def __init__(self, ctx: Context, state: Any, step: Callable, address_of: Callable):
        self.ctx = ctx
        self.state = state
        self.step = step
        self.address_of = address_of
        self.queue: Queue = Queue()
        self.calls: dict[int, asyncio.Future] = {}
        self.last_call = 0
        self.tasks: set = set()
        self.failure: asyncio.Future | None = None
        self.unsynced: deque[float] = deque()  # when each write that is not synced was begun, in order
        self.reported_blocked = False
        self.slow_sync_noted_at = -SLOW_SYNC_NOTE_INTERVAL_S
        self.blocked_after_s = blocked_after_s(ctx.startup)

    def spawn(self, work: Any) -> None:
        """Run work beside the loop, kept from being collected: `host.spawn(work())`."""
        task = asyncio.ensure_future(work)
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)

    async def handle(self, message: dict) -> dict:
        """The reducer's return to a message: `await host.handle({'k': 'who'})`.

        A message names whom it is meant for: at the address of a machine that lost its disk lives
        another member now, which must not speak for the old one."""
        if message.get('to') not in (None, self.state.me):
            return Fault('refused', f'{message["to"]} does not live here now').pack()
        if (
            self.blocked()
            and message.get('k') not in MESSAGES_ANSWERED_WHEN_BLOCKED[self.ctx.startup['role']]
        ):
            self.ctx.journal.count('blocked')
            return Fault(f'{self.ctx.startup["role"]}_away', 'the disk takes no writes now').pack()
        self.last_call += 1
        call = self.last_call
        future = self.calls[call] = asyncio.get_running_loop().create_future()
        self.queue.put_nowait(Told(call, message))
        try:
            return await future
        finally:
            self.calls.pop(call, None)

    def blocked(self) -> bool:
        """Whether the disk has taken nothing for long: `host.blocked()`. Counted by a clock that no one can
        set."""
        if not self.unsynced:
            return False
        return asyncio.get_running_loop().time() - self.unsynced[0] > self.blocked_after_s

    def note_blocked(self) -> None:
        """Tell the reducer when the process becomes blocked, and the journal of that and of its end."""
        blocked = self.blocked()
        if blocked != self.reported_blocked:
            self.reported_blocked = blocked
            if blocked:
                self.queue.put_nowait(Tick(self.wall_ahead(), blocked=True))
            self.ctx.journal.note('disk_blocked' if blocked else 'disk_serves', unsynced=len(self.unsynced))

    async def run(self) -> None:
        """Step through events until the disk's file is found corrupt; then stop at once: `await host.run()`."""
        self.failure = asyncio.get_running_loop().create_future()
        self.spawn(self.send_ticks())
        self.spawn(self.loop())
        try:
            await self.failure
        finally:
            for task in list(self.tasks):
                task.cancel()

    async def loop(self) -> None:
        while True:
            event = await self.queue.get()
            started_at = asyncio.get_running_loop().time()
            try:
                self.state, effects = self.step(self.state, event, self.ctx.clock.now())
            except (KeyError, TypeError, ValueError, AttributeError, IndexError) as e:
                self.ctx.journal.count('garbled')
                if type(event) is not Told:
                    self.failure.set_exception(e)
                    return
                self.send_reply(event.call, Fault('garbled', f'{type(e).__name__}: {e}').pack())
                continue
            self.note_slow_step(event, started_at)
            for effect in effects:
                self.perform(effect)

    def note_slow_step(self, event: Any, started_at: float) -> None:
        """Note a step that took long, with what it was about."""
        duration = asyncio.get_running_loop().time() - started_at
        if duration > SLOW_STEP_S:
            about = event.message.get('k') if type(event) is Told else getattr(event, 'tag', None)
            self.ctx.journal.note(
                'step_slow', ms=round(duration * 1000), event=type(event).__name__, of=about
            )

    def perform(self, effect: Any) -> None:
        """Carry out one effect; what takes time goes on in a task of its own."""
        kind = type(effect)
        if kind is Return:
            self.send_reply(effect.call, effect.reply)
        elif kind is Ask:
            self.spawn(self.ask(effect))
        elif kind is Write:
            self.spawn(self.write(effect))
        elif kind is Note:
            self.ctx.journal.note(effect.kind, **effect.facts)
        elif kind is Count:
            self.ctx.journal.count(effect.name, effect.amount)
        elif kind is Violated:
            self.ctx.journal.violated(effect.name, **effect.facts)

    def note_slow_sync(self, started_at: float) -> None:
        """Count a write whose sync took long, and note it unless one was noted in the last second."""
        now = asyncio.get_running_loop().time()
        if now - started_at <= SLOW_SYNC_S:
            return
        self.ctx.journal.count('sync.slow')
        if now - self.slow_sync_noted_at >= SLOW_SYNC_NOTE_INTERVAL_S:
            self.slow_sync_noted_at = now
            self.ctx.journal.note('sync_slow', ms=round((now - started_at) * 1000), behind=len(self.unsynced))

    def send_reply(self, call: int, reply: dict) -> None:
        future = self.calls.get(call)
        if future and not future.done():
            future.set_result(reply)

    async def send_ticks(self) -> None:
        while True:
            self.note_blocked()
            if not self.blocked():
                self.queue.put_nowait(Tick(self.wall_ahead()))
            due = asyncio.get_running_loop().time() + TICK_INTERVAL.total_seconds()
            await self.ctx.clock.sleep(TICK_INTERVAL)
            self.note_late_tick(due)

    def note_late_tick(self, due: float) -> None:
        """Note that the loop stood still: the processor was busy with something else, or taken away."""
        late = asyncio.get_running_loop().time() - due
        if late > LATE_TICK_S:
            self.ctx.journal.count('tick.late')
            self.ctx.journal.note('tick_late', ms=round(late * 1000), events=self.queue.qsize())

    def wall_ahead(self) -> timedelta:
        """How far the wall clock is ahead of the steady one."""
        return self.ctx.clock.wall() - self.ctx.clock.now()

    async def ask(self, effect: Ask) -> None:
        reply = None
        if self.blocked() and effect.message['k'] not in MESSAGES_SENT_WHEN_BLOCKED:
            self.queue.put_nowait(Heard(effect.tag, None))
            return
        address = self.address_of(self.state, effect.to)
        self.ctx.journal.count('asked.' + effect.message['k'])
        message = effect.message if ':' in effect.to else {**effect.message, 'to': effect.to}
        if address == self.ctx.startup['address']:
            reply = await self.handle(message)
        elif address:
            try:
                reply = await self.ctx.net.ask(address, message, from_ms(effect.timeout_ms))
            except Fault as e:
                reply = None if e.code in ('unreachable', 'lost', 'slow') else e.pack()
        self.queue.put_nowait(Heard(effect.tag, reply))

    async def write(self, effect: Write) -> None:
        started_at = asyncio.get_running_loop().time()
        self.unsynced.append(started_at)
        try:
            await self.ctx.disk.write(effect.puts)
        except Fault as e:
            if not self.failure.done():
                self.failure.set_exception(e)
            return
        self.unsynced.popleft()
        self.note_slow_sync(started_at)
        self.queue.put_nowait(Wrote(effect.tag))
