"""Runs a reducer: one loop takes events from a queue, applies the reducer and carries out its effects.

A process whose disk rejects writes (full, failing or stalled) is *blocked*. It keeps running, but it answers
messages with a fault, as it can confirm nothing, sends nothing except a store's poll that reports the blocked
disk, and gives its reducer no ticks. A store still answers pings, as it is not lost. Other members replace it
in its replica sets; to its reducer, the time until the disk accepts writes again is like a suspension.
"""

import asyncio
from collections import deque
from collections.abc import Callable
from datetime import timedelta
from typing import Any, NamedTuple

from tornado.queues import Queue

from quillstall.runtime.byte_budget import ByteBudget, MemoryBudgets
from quillstall.runtime.clock import from_ms
from quillstall.runtime.effect import Ask, Count, Heard, Note, Return, Tick, Told, Violated, Write, Wrote
from quillstall.runtime.errors import Fault

TICK_INTERVAL = timedelta(milliseconds=100)
DEFAULT_SILENT_MS = 2000  # of the startup: other members consider a member lost after it
BLOCKED_FRACTION = 0.6  # share of silent_ms that a write may wait for its sync before the process is blocked
SLOW_SYNC_S = 0.3  # threshold for logging a slow sync
SLOW_SYNC_NOTE_INTERVAL_S = 1.0
LATE_TICK_S = 0.3  # delay of a tick that is logged: the event loop was stalled
SLOW_STEP_S = 0.15  # threshold for logging a slow step of the reducer
MESSAGES_ANSWERED_WHEN_BLOCKED = {  # replies that confirm no write
    'core': ('status',),  # for operators
    # 'who' is the ping of other stores: a blocked store is not lost, so no partition may go on with one copy.
    'store': ('status', 'who'),
}
MESSAGES_SENT_WHEN_BLOCKED = ('poll',)  # a store's poll tells the core that its disk is blocked


class Context(NamedTuple):
    """All that a process has access to: its settings, clock, network, disk, HTTP, journal and randomness.

    >>> Context({'name': 'a'}, None, None, None, None, None, None).startup['name']
    'a'
    """

    startup: dict
    clock: Any
    net: Any
    disk: Any
    web: Any
    journal: Any
    rng: Any  # random number generator
    lister: Any = None  # returns the replicas of pools that an external service lists
    dialect: Any = None  # the header names and status codes of a gateway
    admin_api: Any = None  # a class that serves a further admin API
    budgets: MemoryBudgets = MemoryBudgets(ByteBudget(), ByteBudget(), ByteBudget())


def blocked_after_s(startup: dict) -> float:
    """Return how long a write may wait for its sync before the process is blocked. A backup that confirms
    nothing for that long is removed from its partition, too.

    >>> blocked_after_s({'silent_ms': 1000})
    0.6
    """
    return startup.get('silent_ms', DEFAULT_SILENT_MS) * BLOCKED_FRACTION / 1000


class ReducerRunner:
    """A running reducer: its state, its event queue and the calls that wait for its replies."""

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
        self.unsynced: deque[float] = deque()  # start times of the writes that are not synced yet, in order
        self.reported_blocked = False
        self.slow_sync_noted_at = -SLOW_SYNC_NOTE_INTERVAL_S
        self.blocked_after_s = blocked_after_s(ctx.startup)

    def spawn(self, coroutine: Any) -> None:
        """Run a coroutine as a task: `runner.spawn(work())`. If it raises, the process ends with its error:
        what waits for the task would otherwise wait for ever."""
        task = asyncio.ensure_future(coroutine)
        self.tasks.add(task)
        task.add_done_callback(self.finish_task)

    def finish_task(self, task: asyncio.Task) -> None:
        """Forget a task that is done, and let the runner fail with its error."""
        self.tasks.discard(task)
        if not task.cancelled() and task.exception() is not None:
            self.fail(task.exception())

    def fail(self, error: BaseException) -> None:
        """Make `run` raise an error, unless it already ends with another."""
        if self.failure and not self.failure.done():
            self.failure.set_exception(error)

    async def handle(self, message: dict) -> dict:
        """Return the reducer's reply to a message: `await runner.handle({'k': 'who'})`.

        A message for another member is refused: a machine that lost its disk returns to its address as a new
        member, which must not answer for the old one."""
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
        """Return whether the oldest write has waited too long for its sync, by the monotonic clock."""
        if not self.unsynced:
            return False
        return asyncio.get_running_loop().time() - self.unsynced[0] > self.blocked_after_s

    def note_blocked(self) -> None:
        """Log when the process becomes blocked or unblocked; give the reducer a blocked tick when it blocks."""
        blocked = self.blocked()
        if blocked != self.reported_blocked:
            self.reported_blocked = blocked
            if blocked:
                self.queue.put_nowait(Tick(self.wall_ahead(), blocked=True))
            self.ctx.journal.note('disk_blocked' if blocked else 'disk_serves', unsynced=len(self.unsynced))

    async def run(self) -> None:
        """Process events until the database is corrupt, the reducer fails on an event other than a message or a
        reply, or a task fails; then cancel all tasks and raise the error: `await runner.run()`."""
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
            except Exception as e:
                effects = self.handle_step_error(event, e)
            self.note_slow_step(event, started_at)
            for effect in effects:
                self.perform(effect)

    def handle_step_error(self, event: Any, error: Exception) -> tuple:
        """Return the effects in place of those of a step that failed; the state is as it was before it.

        A message that the reducer cannot handle is answered with a fault of ours, as it was checked when it was
        decoded, and a reply that it cannot handle counts as none. Raises the error if the event is neither."""
        text = f'{type(error).__name__}: {error}'
        self.ctx.journal.count('step.failed')
        if type(event) is Told:
            self.ctx.journal.note('step_failed', of=event.message.get('k'), error=text)
            return (Return(event.call, Fault('internal', text, ran='no').pack()),)
        if type(event) is not Heard or event.reply is None:
            raise error
        self.ctx.journal.count('garbled.reply')
        self.ctx.journal.note('reply_garbled', tag=event.tag, error=text)
        self.state, effects = self.step(self.state, Heard(event.tag, None), self.ctx.clock.now())
        return effects

    def note_slow_step(self, event: Any, started_at: float) -> None:
        """Log a step that took long, with its event and the kind or tag of it."""
        duration = asyncio.get_running_loop().time() - started_at
        if duration > SLOW_STEP_S:
            subject = event.message.get('k') if type(event) is Told else getattr(event, 'tag', None)
            self.ctx.journal.note(
                'step_slow', ms=round(duration * 1000), event=type(event).__name__, of=subject
            )

    def perform(self, effect: Any) -> None:
        """Carry out one effect; calls and writes run in a task of their own."""
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
        """Count a write whose sync took long, and log it unless one was logged in the last second."""
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
            due_at = asyncio.get_running_loop().time() + TICK_INTERVAL.total_seconds()
            await self.ctx.clock.sleep(TICK_INTERVAL)
            self.note_late_tick(due_at)

    def note_late_tick(self, due_at: float) -> None:
        """Log a late tick: the event loop was stalled by long work or the process was not scheduled."""
        delay = asyncio.get_running_loop().time() - due_at
        if delay > LATE_TICK_S:
            self.ctx.journal.count('tick.late')
            self.ctx.journal.note('tick_late', ms=round(delay * 1000), events=self.queue.qsize())

    def wall_ahead(self) -> timedelta:
        """Return how far the wall clock is ahead of the steady clock."""
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
        await self.ctx.disk.write(effect.puts)
        self.unsynced.popleft()
        self.note_slow_sync(started_at)
        self.queue.put_nowait(Wrote(effect.tag))
