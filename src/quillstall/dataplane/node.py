"""Node: a routing node. One owner works the admission table; one function carries each request."""

import asyncio
import hashlib
from datetime import datetime, timedelta
from typing import Any

from tornado.iostream import StreamClosedError
from tornado.queues import Queue

from quillstall.configuration.policy import DEFAULT_KEY_RETENTION_S, DEFAULT_TURN_RETENTION_S
from quillstall.dataplane import duty, turnid
from quillstall.dataplane.admission import (
    admission_state,
    reducer,
    refusal,
    replica_health,
    service_time,
    waiting,
)
from quillstall.dataplane.admission.admission_state import State, Task
from quillstall.dataplane.admission.messages import Arrive, Credit, Drain, Health, Leave, News, Report, Word
from quillstall.dataplane.ask import Turn, read_key, read_span, read_turn
from quillstall.dataplane.dialect import Dialect
from quillstall.dataplane.gateway import Gateway
from quillstall.network import listing
from quillstall.network.listing import Listing
from quillstall.network.packing import with_policy
from quillstall.replication import register, watch
from quillstall.replication.register import LEASE
from quillstall.replication.rendezvous import part_of
from quillstall.replication.watch import Watch
from quillstall.runtime import metrics
from quillstall.runtime.clock import ms, of_ms
from quillstall.runtime.effect import Count, Note, Tick
from quillstall.runtime.errors import Fault
from quillstall.runtime.process import Ctx

TICK = of_ms(100)
REST = of_ms(1000)  # between clock events while nothing waits
POLL_LIMIT = of_ms(650)  # a poll is held for 250 ms at most
POLL_PAUSE = of_ms(60)
SHY = of_ms(400)
STORE_LIMIT = of_ms(700)
RENEW_EVERY = of_ms(250)
RENEW_FIRST = of_ms(
    40
)  # a node that has just started waits so long before it asks, then twice as long each time
RENEW_LIMIT = of_ms(400)
RENEW_PART = 0.6  # the core's answers keep more of a lease than this part
STORE_PAUSE = of_ms(60)
SERVICE_PART = 0.25  # the prior of a route's service time: this part of its deadline
MAX_TOKENS = 256
SETTLE_LIMIT = timedelta(seconds=30)
RUNNING_MOST = timedelta(seconds=30)
OWNER_FAULT_WAIT_MS = 500
SLOW_ASK = of_ms(1000)  # an ask that takes longer is told of
LIST_AGE_MOST = of_ms(1600)  # a node whose list is older, reckoned from its look-up, asks for it itself
LIST_AGE_CHECK = of_ms(300)
LOOK_JITTER_MOST = 1.2  # so that nodes do not ask all at once
LOOK_EVERY = of_ms(1600)


class Node:
    """One routing node: its context, its admission state and that state's queue of commands."""

    def __init__(self, ctx: Ctx):
        self.ctx = ctx
        self.name = f'{ctx.startup["name"]}-{ctx.dice.getrandbits(24):06x}'
        self.state = State()
        self.queue: Queue = Queue()
        self.words: dict[str, asyncio.Future] = {}
        self.tasks: set = set()
        self.seats: dict[str, list] = {}
        self.book: dict[str, str] = {}
        self.place = 0
        self.fleet: str | None = None
        self.core: list[str] = list(ctx.startup['seeds'])
        self.core_at: str | None = None
        self.register = register.NEVER
        self.lease = of_ms(ctx.startup['lease_ms']) if 'lease_ms' in ctx.startup else LEASE
        self.watch = Watch(silent=of_ms(ctx.startup['silent_ms'])) if 'silent_ms' in ctx.startup else Watch()
        self.moves: asyncio.Future | None = None  # done when parts have moved
        self.duty = duty.Duty(ctx, self.name)
        self.alarm = asyncio.Event()
        self.busy = 0
        self.settling = 0
        self.last = 0
        self.gateway: Any = None

    # ---- the owner of the admission table

    def spawn(self, work: Any) -> Any:
        """Run work beside the requests: `node.spawn(work())`."""
        task = asyncio.ensure_future(work)
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)
        return task

    def tell(self, event: Any) -> None:
        """Put an event to the table's owner: `node.tell(Tick())`."""
        self.queue.put_nowait(event)

    async def own(self) -> None:
        """Work through the table's commands, one after another; when none is left, see to the clock."""
        wake = None
        while True:
            self.work(await self.queue.get())
            while not self.queue.empty():
                self.work(self.queue.get_nowait())
            was, wake = wake, waiting.wake(self.state)
            if wake != was or (admission_state.fades(self.state) and not self.alarm.is_set()):
                self.alarm.set()

    def work(self, event: Any) -> None:
        """Step through one command and carry out its effects."""
        for effect in self.step(event):
            kind = type(effect)
            if kind is Word:
                self.give(effect)
            elif kind is Count:
                self.ctx.journal.count(effect.what, effect.more)
            elif kind is Note:
                self.ctx.journal.note(effect.kind, **effect.facts)

    def give(self, word: Word) -> None:
        """Tell a decision to the request that waits for it."""
        wait = self.words.pop(word.name, None)
        if wait and not wait.done():
            wait.set_result(word)
        elif word.replica:  # whoever asked has gone: give the slot back
            self.tell(Leave(word.name))

    def step(self, event: Any) -> tuple:
        """One step of the table. An event that it fails on is dropped, a task among them refused: the table
        stays as it was, and the node serves on."""
        before, violated = self.state, self.ctx.journal.violated
        run = before.runs.get(event.name) if type(event) is Leave else None
        try:
            self.state, effects = reducer.step(before, event, self.ctx.clock.now())
        except (KeyError, TypeError, ValueError, AttributeError, IndexError, ZeroDivisionError) as e:
            violated('owner_step', event=type(event).__name__, cause=f'{type(e).__name__}: {e}')
            if type(event) is not Arrive:
                return ()
            fault = Fault('no_replica', 'a fault of ours', wait_ms=OWNER_FAULT_WAIT_MS)
            return (Word(event.task.name, None, fault.pack()),)
        if self.state.generation < before.generation or self.state.epoch < before.epoch:
            violated('generation_forward', was=before.generation, now=self.state.generation)
        if run is not None and self.state.used.get(run.replica, 0) < 0:
            violated('slots_balance', replica=run.replica, used=self.state.used[run.replica])
        return effects

    async def ticks(self) -> None:
        """A clock event ten times a second, and one when a pending task becomes hopeless."""
        while True:
            self.tell(Tick())
            self.alarm.clear()
            at = waiting.wake(self.state)
            if at is None and not admission_state.fades(self.state):
                await self.rest()
                continue
            span = TICK if at is None else min(TICK, at - self.ctx.clock.now() + of_ms(1))
            await self.ctx.clock.sleep(max(of_ms(1), span))

    async def rest(self) -> None:
        """Nothing waits and nothing is to be forgotten: until something does, no clock event is needed."""
        slept = self.spawn(self.ctx.clock.sleep(REST))
        woken = self.spawn(self.alarm.wait())
        await first(slept, woken)
        slept.cancel()
        woken.cancel()

    async def admit(self, task: Task, gone: asyncio.Future, again: bool = False) -> str:
        """The replica that the task may go to, after at most a brief wait; or a Fault."""
        wait = self.words[task.name] = asyncio.get_running_loop().create_future()
        self.tell(Arrive(task, again))
        try:
            await first(wait, gone)
        finally:
            self.words.pop(task.name, None)
            if not wait.done():
                self.tell(Leave(task.name))
        if not wait.done():
            raise Fault('gone')
        word = wait.result()
        if word.fault and self.ctx.clock.now() > task.deadline:  # this node stood still meanwhile
            raise Fault('late', 'the node was held up until after the deadline', ran='no')
        if word.fault:
            raise Fault.of(word.fault)
        return word.replica

    # ---- news from the core

    async def follow(self) -> None:
        """Ask the core for news with what this node has, over and over; when the way there fails,
        through a peer."""
        clock, turn, fails = self.ctx.clock, 0, 0
        shy: dict[str, datetime] = {}  # cores that were silent lately, and until when to believe it
        while True:
            turn += 1
            if fails >= 2 and turn % 8 and self.watch.peers:
                ret, sent = await self.relay(turn)
                if ret is None:  # no way there either: try the cores again
                    fails = 0
                    await clock.sleep(POLL_PAUSE)
                else:
                    self.take(ret, sent)
                continue
            bold = [c for c in self.core if shy.get(c, clock.now()) <= clock.now()] or self.core
            to = self.core_at or bold[turn % len(bold)]
            sent = clock.now()
            try:
                ret = await self.ctx.net.ask(to, self.poll(), POLL_LIMIT)
            except Fault as e:
                self.ctx.journal.count(f'poll.{e.code}')
                at = e.more.get('at') if e.code == 'core_away' else None
                self.core_at = at if at and shy.get(at, clock.now()) <= clock.now() else None
                if e.code in ('unreachable', 'lost', 'slow'):
                    fails += 1
                    shy[to] = clock.now() + SHY
                elif e.code == 'garbled':  # a seed that is no core: it may know them
                    await self.learn(to)
                if not self.core_at:
                    await clock.sleep(POLL_PAUSE)
                continue
            fails = 0
            self.core_at = to
            self.take(ret, sent)

    async def renew(self) -> None:
        """While the core gives no news, live by the word of a majority of the registered stores."""
        first = RENEW_FIRST
        while True:
            needed = self.lease * RENEW_PART
            left = self.state.lease - self.ctx.clock.now() if self.state.lease else needed
            await self.ctx.clock.sleep(max(RENEW_EVERY, left - needed) if self.state.lease else first)
            lease, now = self.state.lease, self.ctx.clock.now()
            if (lease is None or lease - now < needed) and self.register['now']:
                await self.ask_stores()
                first = min(first * 2, RENEW_EVERY)

    async def ask_stores(self) -> None:
        """One round of renewal: every registered store is asked, and the newest word is taken if a
        majority has answered."""
        sent = self.ctx.clock.now()
        names = {**self.register['old'], **self.register['now']}
        rets = await asyncio.gather(*[self.ask_store(n, a) for n, a in sorted(names.items())])
        rets = {n: r for n, r in zip(sorted(names), rets, strict=False) if r is not None}
        words = {n: register.read(r['word']) for n, r in rets.items()}
        self.register, best = register.agreed(self.register, words)
        if best is None:
            self.ctx.journal.count('renew.short')
            return
        self.ctx.journal.count('renewed')
        for ret in rets.values():
            self.place_news(ret)
        first = next(iter(rets.values()))
        self.fleet = self.fleet or first['fleet']
        news = {
            'generation': best.generation,
            'epoch': max(self.state.epoch, best.epoch),
            'live': best.live if self.state.lease is None else self.state.live,
        }
        if best.policy is not None:
            news.update(policy=best.policy, leaving=best.leaving)
        lease = min(of_ms(ret['lease_ms']) for ret in rets.values())
        self.tell(News(news, sent + lease))

    async def ask_store(self, name: str, address: str) -> dict | None:
        message = {
            'k': 'renew',
            'to': name,
            'node': self.name,
            'generation': self.state.generation,
            'number': self.register['number'],
            'place': self.place,
        }
        try:
            ret = await self.ctx.net.ask(address, message, RENEW_LIMIT)
        except Fault as e:
            self.ctx.journal.count(f'renew.{e.code}')
            return None
        return ret if self.fleet in (None, ret['fleet']) else None

    async def learn(self, seed: str) -> None:
        """Ask any process of the fleet where the core is."""
        try:
            ret = await self.ctx.net.ask(seed, {'k': 'who'}, POLL_LIMIT)
        except Fault:
            return
        if ret.get('core'):
            self.core, self.core_at = ret['core'], ret.get('at')

    async def relay(self, turn: int) -> tuple[dict | None, datetime]:
        """The core's news by way of a peer, if one can reach it."""
        sent = self.ctx.clock.now()
        peers = sorted(self.watch.peers.values())
        if peers:
            try:
                ret = await self.ctx.net.ask(
                    peers[turn % len(peers)], {'k': 'relay', 'message': self.poll()}, POLL_LIMIT
                )
                self.ctx.journal.count('poll.relayed')
                return ret, sent
            except Fault as e:
                self.ctx.journal.count(f'relay.{e.code}')
        return None, sent

    async def look(self) -> None:
        """Watch the few peers that the core has named."""
        while True:
            self.watch, asks = watch.due(self.watch, self.ctx.clock.now())
            for name, address in asks:
                self.spawn(self.ping(name, address))
            await self.ctx.clock.sleep(self.watch.silent / 3)

    async def serve_duty(self) -> None:
        """While there are doubts, stand for the probe duty if it is vacant, and do it if it is ours."""
        while True:
            await self.duty.doubted.wait()
            await self.ctx.clock.sleep(duty.EVERY)
            mine = self.duty.holds()
            if (not mine and self.duty.holder is None) or (
                mine and self.duty.until - self.ctx.clock.now() < duty.TERM / 2
            ):
                await self.ctx.clock.sleep(duty.EVERY * self.ctx.dice.random())
                await self.duty.win(self.core)
            if self.duty.holds():
                known = {
                    r: v['address']
                    for p in self.state.policy.get('pools', {}).values()
                    for r, v in p['replicas'].items()
                }
                for replica in self.duty.due():
                    if replica in known:
                        self.spawn(self.duty.probe(replica, known[replica]))

    async def ping(self, name: str, address: str) -> None:
        try:
            ret = await self.ctx.net.ask(address, {'k': 'who'}, of_ms(watch.PING_LIMIT_MS))
        except Fault:
            return
        self.watch = watch.heard(self.watch, name, ret, self.ctx.clock.now())

    async def look_up(self) -> None:
        """While the list that this node has grows old, ask for it from here: the core may be away, or cut off
        from the platform itself."""
        clock, asked = self.ctx.clock, None
        wait = of_ms(150)  # just started: without a list nothing can be served
        while self.ctx.lister:
            await clock.sleep(
                wait * self.ctx.dice.random()
                if asked is None
                else wait * (LOOK_JITTER_MOST - 0.4 * self.ctx.dice.random())
            )
            now = clock.now()
            wait = max(LIST_AGE_CHECK, self.listing_lasts(now) / LOOK_JITTER_MOST)
            if asked is None and self.state.listing:
                asked = now
                continue
            rate = self.ctx.startup.get('list_per_s', 10)
            every = max(
                LOOK_EVERY, timedelta(seconds=2 * self.state.live / rate)
            )  # half of what all may ask together
            if self.listing_fresh(now) or asked and now - asked < every:
                continue
            asked = now
            try:
                self.tell(Listing(await self.ctx.lister.poll()))
            except Fault as e:
                self.ctx.journal.count(f'list.{e.code}')

    def poll(self) -> dict:
        state, now = self.state, self.ctx.clock.now()
        return {
            'k': 'poll',
            'node': self.name,
            'role': 'route',
            'unpacks': True,
            'address': self.ctx.startup['address'],
            'zone': self.ctx.startup['zone'],
            'inc': 1,
            'generation': state.generation,
            'number': self.register['number'],
            'place': self.place,
            'pressure': admission_state.pressure(state),
            'has': admission_state.holding(state),
            'doubts': sorted(self.state.down),
            'failing': replica_health.failing(state, now),
            'serving': replica_health.serving(state, self.duty.doubts, now),
            'outcomes': replica_health.told_outcomes(state, now),
            'reports': self.duty.reports if self.duty.holds() else {},
            'suspects': watch.suspects(self.watch, self.ctx.clock.now()),
            'listing': listing.to_wire(
                {k: state.listing[k] for k in ('at', 'digest') if k in state.listing}, self.ctx.clock.now()
            ),
            'facts': {
                'http': self.ctx.startup.get('http') or self.ctx.startup.get('gateway'),
                'clock': self.ctx.clock.wall().timestamp(),
                'draining': state.draining,
                'down': sorted(state.down),
                'used': {r: n for r, n in state.used.items() if n},
            },
        }

    def take(self, ret: dict, sent: datetime) -> None:
        """Take one answer of the core: `node.take(ret, sent)`."""
        if self.fleet is not None and ret['fleet'] != self.fleet:
            self.ctx.journal.count('news.stranger')
            return
        if ret['epoch'] < self.state.epoch:
            self.ctx.journal.count('news.old')
            return
        ret = with_policy(ret)
        self.fleet = ret['fleet']
        self.core = ret['core']
        self.watch = watch.take(self.watch, ret, self.ctx.clock.now())
        self.place_news(ret)
        if ret.get('register', self.register)['number'] > self.register['number']:
            self.register = ret['register']
        self.duty.take(ret)
        for replica, well in ret.get('reports', {}).items():
            self.tell(Report(replica, well))
        self.take_listing(ret, sent)
        self.tell(News(ret, sent + of_ms(ret['lease_ms'])))

    def take_listing(self, ret: dict, sent: datetime) -> None:
        """Take the core's list, or its word that this node's list was still the list at a later time. Its
        age counts from when the poll was sent: it is never taken for younger than it is."""
        if 'listing' in ret:
            self.tell(Listing(listing.from_wire(ret['listing'], sent)))
        seen = listing.from_wire(ret.get('listing_seen') or {}, sent)
        have = self.state.listing
        if seen and seen['digest'] == have.get('digest') and seen['at'] > have['at']:
            self.tell(Listing({**have, 'at': seen['at']}))

    def listing_fresh(self, now: datetime) -> bool:
        """Whether this node's list, wherever it came from, was looked up lately enough."""
        return self.listing_lasts(now) > timedelta(0)

    def listing_lasts(self, now: datetime) -> timedelta:
        """How much longer this node's list counts as fresh; zero or less if it is too old or missing."""
        have = self.state.listing
        return timedelta(seconds=have['at'] - now.timestamp()) + LIST_AGE_MOST if have else timedelta(0)

    def place_news(self, ret: dict) -> None:
        """Take who holds which part, if it is newer: `node.place_news(ret)`."""
        if 'seats' not in ret or ret['place'] <= self.place:
            return
        for part, seat in ret['seats'].items():
            if part not in self.seats or seat[0] >= self.seats[part][0]:
                self.seats[part] = seat
        self.book = ret['book']
        self.place = ret['place']
        if self.moves and not self.moves.done():
            self.moves.set_result(None)
        self.moves = None

    # ---- kept state

    async def shelf(self, key: str, command: dict, until: datetime, code: str = 'store_away') -> dict:
        """A command to the store that holds the key, tried until a time. Commands may repeat."""
        while not self.seats:
            left = until - self.ctx.clock.now()
            if left <= timedelta(0):
                raise Fault(code, 'no store is known', wait_ms=1000)
            await self.ctx.clock.sleep(min(STORE_PAUSE, left))
        return await self.ask_part(part_of(key, len(self.seats)), command, until, code)

    async def ask_part(self, part: str, command: dict, until: datetime, code: str = 'store_away') -> dict:
        """A command to whoever serves a part, tried until a time: `await node.ask_part('p00', {...}, until)`."""
        clock = self.ctx.clock
        start, said = clock.now(), []
        while True:
            left = until - clock.now()
            if clock.now() - start > SLOW_ASK and said is not None:
                self.ctx.journal.note(
                    'store_slow', part=part, op=command['op'], seat=self.seats.get(part), tries=said
                )
                said = None
            if left <= timedelta(0):
                raise Fault(code, 'no store returned in time', wait_ms=1000)
            seat = self.seats.get(part)
            address = self.book.get(seat[2]) if seat else None
            if address:
                try:
                    ret = await self.ask_seat(part, seat, address, command, min(left, STORE_LIMIT))
                    if ret is None:  # it has moved meanwhile: ask where it is now
                        self.ctx.journal.count('store.left')
                        continue
                    return ret
                except Fault as e:
                    if e.code not in ('moved', 'unreachable', 'lost', 'slow'):
                        raise
                    self.ctx.journal.count(f'store.{e.code}')
                    if said is not None:
                        said.append(f'{e.code} {address}')
                    newer = e.more.get('seat') if e.code == 'moved' else None
                    if newer and newer[0] > seat[0]:
                        self.seats[part] = newer
                        continue
            await clock.sleep(min(STORE_PAUSE, left))

    async def ask_seat(
        self, part: str, seat: list, address: str, command: dict, limit: timedelta
    ) -> dict | None:
        """What the part's primary returns; None if the part has moved before it did."""
        work = asyncio.ensure_future(
            self.ctx.net.ask(address, {'k': 'op', 'part': part, 'command': command}, limit)
        )
        try:
            while True:
                if self.moves is None:
                    self.moves = asyncio.get_running_loop().create_future()
                await asyncio.wait((work, self.moves), return_when=asyncio.FIRST_COMPLETED)
                if work.done():
                    return work.result()
                if self.seats[part] != seat:
                    return None
        finally:
            if not work.done():
                work.cancel()

    async def settle(self, key: str, command: dict) -> None:
        """A command whose outcome no caller waits for any more, tried for long."""
        self.settling += 1
        try:
            await self.shelf(key, command, self.ctx.clock.now() + SETTLE_LIMIT)
        except Fault as e:
            self.ctx.journal.count(f'settle.{e.code}')
        finally:
            self.settling -= 1

    def fresh(self) -> str:
        self.last += 1
        return f'{self.name}.{self.last}'

    # ---- the two kinds of request

    async def turn(self, data: bytes, out: Any) -> None:
        """One model turn, from its body to its last piece."""
        clock, start = self.ctx.clock, self.ctx.clock.now()
        ask = read_turn(data)
        policy = self.state.policy
        if not policy:
            raise Fault('no_lease', 'no policy has come yet', wait_ms=1500)
        route = policy['routes'].get(ask.route)
        if route is None:
            raise Fault('no_route', f'no route {ask.route!r}', (('route', 'is not in the policy'),))
        cls = ask.cls or route['class']
        if cls != route['class']:
            raise Fault(
                'invalid', '1 finding', (('class', f'route {ask.route!r} is of class {route["class"]!r}'),)
            )
        span = of_ms(ask.deadline_ms or route.get('deadline_ms') or policy['classes'][cls]['deadline_ms'])
        deadline = start + span
        most = ask.max_tokens or route.get('max_tokens') or MAX_TOKENS
        before = turnid.read(ask.continues) if ask.continues else None
        program = ask.program or (before.program if before else f'g-{self.fresh()}')
        if before and before.program != program:
            raise Fault('invalid', '1 finding', (('continues', 'is a turn of another program'),))
        keeping = policy.get('keeping_s', DEFAULT_TURN_RETENTION_S)
        prompt = ask.prompt_tokens + (before.tokens if before else 0)
        name = self.fresh()
        task = Task(
            name,
            ask.route,
            cls,
            route['pool'],
            prompt + most,
            deadline,
            start,
            policy['classes'][cls].get('urgent', False),
            ask.shared or ask.route,
            before.replica if before else '',
            prior=of_ms(route['service_ms']) if 'service_ms' in route else span * SERVICE_PART,
        )
        self.rule(
            policy,
            {
                'kind': 'turn',
                'route': ask.route,
                'class': cls,
                'pool': route['pool'],
                'program': program,
                'urgent': task.urgent,
                'continues': before is not None,
                'prompt_tokens': prompt,
                'max_tokens': most,
                'deadline_ms': ms(span),
            },
        )
        replica = await self.admit(task, out.gone)
        ident = turnid.write(
            turnid.TurnId(program, clock.wall(), prompt + most, replica, name.replace('~', '-'))
        )
        used, got, took, settled, began, error = 0, 0, None, False, clock.now(), None
        pieces: list[str] = []
        headed = held = tried = False
        try:
            history, conv = await self.begin(ask, program, ident, most, task, replica, keeping)
            held = True
            began = clock.now()
            rounds = 0
            while True:
                rounds += 1
                spare_time = rounds < admission_state.rules(self.state)['rounds'] and route.get(
                    'repeat', True
                )
                try:
                    async for kind, body in self.round(
                        replica, task, ask, history, prompt, most, deadline, out.gone, spare_time
                    ):
                        if kind == 'piece':
                            if not got:
                                self.tell(Credit(name, prompt))
                            used, got = used + body['tokens'], got + 1
                            self.tell(Credit(name, body['tokens']))
                            pieces.append(body['text'])
                            if ask.stream:
                                if not headed:
                                    headed = True
                                    await out.head(200, {'X-Turn-Id': ident})
                                await out.line(
                                    {'piece': got - 1, 'text': body['text'], 'tokens': body['tokens']}
                                )
                    break
                except Fault as e:
                    if (
                        headed
                        or not spare_time
                        or e.code not in ('unreachable', 'lost', 'slow', 'replica_failed')
                    ):
                        raise
                    tried = tried or e.code != 'unreachable'
                    self.tell(Leave(name, (prompt + used) if got else 0))
                    used, got, pieces = 0, 0, []
                    task, replica = await self.elsewhere(task, replica, out.gone, e)
            took = clock.now() - began
            keep = {
                'program': program,
                'prev': ask.continues,
                'conv': conv,
                'prompt': ask.prompt,
                'text': ''.join(pieces),
                'at': clock.wall().timestamp(),
            }
            await self.shelf(
                program,
                {
                    'op': 'end',
                    'program': program,
                    'turn': ident,
                    'used': used,
                    'keep': keep,
                    'keeping_s': keeping,
                },
                max(deadline, clock.now() + STORE_LIMIT),
                'not_kept',
            )
            settled = True
            totals = {
                'turn': ident,
                'program': program,
                'pieces': got,
                'usage': {'prompt_tokens': prompt, 'completion_tokens': used},
                'rounds': rounds,
            }
            if ask.stream:
                if not headed:
                    await out.head(200, {'X-Turn-Id': ident})
                await out.line({'end': True, **totals})
                await out.end()
            else:
                await out.whole(200, {'text': ''.join(pieces), **totals}, {'X-Turn-Id': ident})
            self.ctx.journal.count('turns.done' if clock.now() <= deadline else 'turns.late')
        except StreamClosedError:
            error = Fault('gone')
        except Fault as e:
            error = (
                e
                if not got or e.code in ('gone', 'late', 'not_kept')
                else Fault('replica_failed', f'the stream broke off: {e.code}', ran='yes')
            )
        finally:
            self.tell(Leave(name, (prompt + used) if got else 0, took))
            if held and not settled:
                self.spawn(
                    self.settle(
                        program,
                        {
                            'op': 'end',
                            'program': program,
                            'turn': ident,
                            'used': used if ask.stream or not error or error.code == 'gone' else 0,
                        },
                    )
                )
        if error is None:
            return
        if tried and error.ran == 'no':  # an earlier round may have run: this is no refusal
            error = Fault('replica_failed', f'a round was lost, and then: {error.code}')
        self.ctx.journal.count(f'failed.{error.code}')
        if used and error.code != 'not_kept':
            self.ctx.journal.count('tokens.abandoned', prompt + used)
        if headed:
            if error.code != 'gone':
                await out.line({'error': error.problem('/v1/turns'), 'pieces': got})
                await out.end()
            return
        raise error

    def rule(self, policy: dict, facts: dict) -> None:
        """Fault 'ruled_out' if a rule of the policy refuses such a task; asked when all else allows it."""
        if not policy.get('rules'):
            return
        from quillstall.configuration import rules  # its library is heavy: only where there are rules

        hit = rules.judge(policy['rules'], facts)
        if hit:
            self.ctx.journal.count(f'ruled_out.{hit[0]}')
            raise Fault('ruled_out', f'{hit[0]}: {hit[1]}')

    async def elsewhere(
        self, task: Task, replica: str, gone: asyncio.Future, fault: Fault
    ) -> tuple[Task, str]:
        """Another replica for a task whose round on this one failed; that round's fault if there is none."""
        task = task._replace(avoid=task.avoid + (replica,))
        try:
            return task, await self.admit(task, gone, again=True)
        except Fault as e:
            raise (e if e.code == 'gone' else fault) from fault

    async def begin(
        self, ask: Turn, program: str, ident: str, most: int, task: Task, replica: str, keeping: int
    ) -> tuple[list, str]:
        """Hold the turn's tokens of its program on two disks, and get the history it continues."""
        clock = self.ctx.clock
        command = {
            'op': 'begin',
            'program': program,
            'turn': ident,
            'budget': ask.budget,
            'hold': most,
            'continues': ask.continues,
            'span_s': (task.deadline - clock.now()).total_seconds(),
        }
        try:
            ret = await self.shelf(
                program, command, task.deadline - service_time.least_time(self.state, task, replica)
            )
            return ret['history'], ret['conv']
        except Fault as e:
            if e.code == 'turn_unknown':
                given = turnid.read(ask.continues).at
                if clock.wall() - given > timedelta(seconds=keeping):
                    raise Fault('turn_expired', f'kept for {keeping} s') from e
            if e.code == 'store_away':  # it may be held: let it go, nothing will be sent
                self.spawn(self.settle(program, {'op': 'end', 'program': program, 'turn': ident, 'used': 0}))
            raise

    async def round(
        self,
        replica: str,
        task: Task,
        ask: Turn,
        history: list,
        prompt: int,
        most: int,
        deadline: datetime,
        gone: asyncio.Future,
        spare_time: bool,
    ) -> Any:
        """One round of a turn on one replica: its pieces; a Fault if it does not end well."""
        clock, state = self.ctx.clock, self.state
        left = deadline - clock.now()
        if not admission_state.may_send(state, task.pool, replica, clock.now()):
            raise Fault('unreachable', 'the replica may not get new work')
        if left < service_time.least_time(state, task, replica):
            raise Fault(
                'hopeless',
                'dropped before it was sent',
                wait_ms=admission_state.rules(state)['retry_floor_ms'],
            )
        address = state.policy['pools'][task.pool]['replicas'][replica]['address']
        service = min(service_time.expected(state, task), max(task.prior, left / 2))
        patience = max(left - service, service * 2) if spare_time else left
        body = {
            'route': ask.route,
            'prompt': ask.prompt,
            'history': history,
            'prompt_tokens': prompt,
            'max_tokens': most,
            'shared': ask.shared,
            'program': task.name,
        }
        self.ctx.journal.count('rounds')
        flow = self.ctx.web.open(
            address,
            'POST',
            '/turn',
            body,
            {
                'X-Deadline-Ms': str(max(1, ms(left))),
                'X-Task': task.name,
                'X-Generation': str(state.generation),
            },
            left,
        )
        status, ended, seen = 0, False, 0
        try:
            while True:
                span = deadline - clock.now() if seen else min(patience, deadline - clock.now())
                item = await self.next(flow, span, gone)
                if item[0] == 'head':
                    status = item[1]
                elif item[0] == 'line' and status == 200 and not ended:
                    line = item[1]
                    if line.get('done'):
                        ended = True
                    elif line.get('piece') != seen:
                        raise Fault('replica_failed', 'pieces out of order')
                    else:
                        seen += 1
                        yield 'piece', line
                elif item[0] == 'end':
                    if status == 503:
                        raise Fault('unreachable', 'the replica refused')
                    if item[1] is not None or status != 200 or not ended:
                        raise Fault(item[1] or 'replica_failed', f'{replica}: status {status}, {seen} pieces')
                    self.tell(Health(replica, True))
                    return
        except Fault as e:
            late = clock.now() >= deadline
            if e.code != 'gone' and not (late and seen):
                self.tell(Health(replica, False))
            if e.code == 'slow' and late:
                raise Fault('late', f'{seen} pieces by the deadline') from e
            raise
        finally:
            flow.cut()

    async def next(self, flow: Any, span: timedelta, gone: asyncio.Future) -> tuple:
        """What a flow gives next, unless the time runs out or the caller goes away."""
        work = asyncio.ensure_future(flow.next())
        try:
            async with asyncio.timeout(max(0.0, span.total_seconds())):
                await first(work, gone)
        except TimeoutError as e:
            raise Fault('slow', 'the replica is silent') from e
        finally:
            if not work.done():
                work.cancel()
        if not work.done() or work.cancelled():
            raise Fault('gone')
        return work.result()

    async def plain(self, service: str, path: str, call: Any, out: Any) -> None:
        """One plain call, from its line to its answer. Work that may not repeat is sent once."""
        clock, start = self.ctx.clock, self.ctx.clock.now()
        policy = self.state.policy
        key = read_key(call.headers.get('idempotency-key'))
        if not policy and key:  # it may have run through another node: no refusal
            raise Fault('outcome_unknown', 'this node cannot look the key up yet', wait_ms=1500)
        if not policy:
            raise Fault('no_lease', 'no policy has come yet', wait_ms=1500)
        spec = policy.get('services', {}).get(service)
        rule = spec['paths'].get(path) if spec else None
        if rule is None:
            raise Fault('no_service', f'{service}{path} is not in the policy', ran='unknown' if key else '')
        span = of_ms(
            read_span(call.headers.get('x-deadline-ms'))
            or rule.get('deadline_ms')
            or policy['classes'][spec['class']]['deadline_ms']
        )
        deadline, once, name = start + span, not rule['repeat'], self.fresh()
        kept = f'{service}{path} {key}' if once and key else None
        if kept:
            digest = hashlib.blake2b(call.method.encode() + b' ' + call.body, digest_size=16).hexdigest()
            if await self.claim(kept, digest, name, start + span * (1 - SERVICE_PART), policy, out):
                return
        cls = spec['class']
        task = Task(
            name,
            f'{service}{path}',
            cls,
            spec['pool'],
            1,
            deadline,
            start,
            policy['classes'][cls].get('urgent', False),
            service,
            prior=of_ms(rule['service_ms']) if 'service_ms' in rule else span * SERVICE_PART,
        )
        sent = done = tried = False
        # once-work is seen through to its end, for its record, even if its caller leaves
        gone = asyncio.get_running_loop().create_future() if kept else out.gone
        took, began, ret = None, clock.now(), None
        rounds = 0
        try:
            self.rule(
                policy,
                {
                    'kind': 'call',
                    'service': service,
                    'path': path,
                    'class': cls,
                    'pool': spec['pool'],
                    'urgent': task.urgent,
                    'keyed': key is not None,
                    'deadline_ms': ms(span),
                },
            )
            replica = await self.admit(task, out.gone)
            began = clock.now()
            while True:
                rounds += 1
                try:
                    if not admission_state.may_send(self.state, task.pool, replica, clock.now()):
                        raise Fault('unreachable', 'the replica may not get new work')
                    sent = True
                    ret = await self.pass_on(replica, task, path, call, deadline, gone, once)
                    break
                except Fault as e:
                    if e.code == 'unreachable':
                        sent = False
                    if (
                        e.code == 'gone'
                        or (e.code != 'unreachable' and once)
                        or (rounds >= admission_state.rules(self.state)['rounds'])
                    ):
                        raise
                    tried = tried or e.code != 'unreachable'
                    self.tell(Leave(name))
                    task, replica = await self.elsewhere(task, replica, out.gone, e)
            took = clock.now() - began
            if kept:
                await self.shelf(
                    kept,
                    {'op': 'once_end', 'key': kept, 'run': name, 'ret': ret},
                    max(deadline, clock.now() + STORE_LIMIT),
                    'outcome_unknown',
                )
            done = True
        except Fault as e:
            if kept and not sent:  # it certainly never ran: say so durably before refusing
                try:
                    await self.shelf(
                        kept,
                        {'op': 'once_end', 'key': kept, 'run': name, 'void': True},
                        clock.now() + STORE_LIMIT,
                    )
                except Fault as away:
                    self.spawn(self.settle(kept, {'op': 'once_end', 'key': kept, 'run': name, 'void': True}))
                    raise Fault(
                        'outcome_unknown', 'it did not run, but that could not be kept', wait_ms=1000
                    ) from away
            elif kept and ret is not None:
                self.spawn(self.settle(kept, {'op': 'once_end', 'key': kept, 'run': name, 'ret': ret}))
            if tried and e.ran == 'no':  # an earlier round may have run: this is no refusal
                raise Fault('replica_failed', f'a round was lost, and then: {e.code}') from e
            if e.code == 'unreachable':
                raise Fault('no_replica', 'no replica could be reached', wait_ms=1000) from e
            if once and sent and e.code in ('lost', 'slow', 'late', 'replica_failed'):
                raise Fault('outcome_unknown', f'sent, and then: {e.code}') from e
            if e.code == 'slow' or e.code == 'lost':
                raise Fault('late' if clock.now() >= deadline else 'replica_failed', e.text) from e
            raise
        finally:
            self.tell(Leave(name, 1 if done else 0, took))
        self.ctx.journal.count('calls.done' if clock.now() <= deadline else 'calls.late')
        await give(out, ret)

    async def claim(
        self, kept: str, digest: str, name: str, deadline: datetime, policy: dict, out: Any
    ) -> bool:
        """Mark once-work as begun, on two disks. True if the caller has been answered from what is kept."""
        until = (
            self.ctx.clock.wall() + timedelta(seconds=policy.get('once_keeping_s', DEFAULT_KEY_RETENTION_S))
        ).timestamp()
        command = {'op': 'once_begin', 'key': kept, 'digest': digest, 'run': name, 'until': until}
        try:
            ret = await self.shelf(kept, command, deadline, 'outcome_unknown')
        except Fault as e:
            if e.code in ('outcome_unknown', 'store_away'):  # our mark may be there: it did not run by us
                self.spawn(self.settle(kept, {'op': 'once_end', 'key': kept, 'run': name, 'void': True}))
                raise Fault(
                    'outcome_unknown', 'what is kept under this key cannot be reached now', wait_ms=1000
                ) from e
            raise
        if ret['state'] == 'fresh':
            return False
        if ret['state'] == 'done':
            self.ctx.journal.count('once.replayed')
            await give(out, ret['ret'], {'Idempotency-Replayed': 'true'})
            return True
        self.ctx.journal.count('once.unknown')
        # a copy of our claim may still be on its way: it must not begin anything once that other run is over
        self.spawn(self.settle(kept, {'op': 'once_end', 'key': kept, 'run': name, 'void': True}))
        if ret['age_s'] < RUNNING_MOST.total_seconds():
            raise Fault('once_running', 'begun and not yet ended; ask again with the same key', wait_ms=1000)
        raise Fault('outcome_unknown', 'begun once, and how it ended is not known; it will not be run again')

    async def pass_on(
        self,
        replica: str,
        task: Task,
        path: str,
        call: Any,
        deadline: datetime,
        gone: asyncio.Future,
        once: bool,
    ) -> dict:
        """One round of a plain call: the replica's whole answer."""
        clock = self.ctx.clock
        address = self.state.policy['pools'][task.pool]['replicas'][replica]['address']
        left = deadline - clock.now()
        heads = {
            'X-Deadline-Ms': str(max(1, ms(left))),
            'X-Task': task.name,
            'X-Generation': str(self.state.generation),
            'Content-Type': call.headers.get('content-type', 'application/json'),
        }
        if 'idempotency-key' in call.headers:
            heads['Idempotency-Key'] = call.headers['idempotency-key']
        self.ctx.journal.count('rounds')
        body = call.body if call.method != 'GET' else None
        flow = self.ctx.web.open(address, call.method, path, body, heads, left, once, True)
        status, kind, data = 0, 'application/json', b''
        try:
            while True:
                item = await self.next(flow, deadline - clock.now(), gone)
                if item[0] == 'head':
                    status, kind = item[1], item[2].get('content-type', kind)
                elif item[0] == 'data':
                    data += item[1]
                elif item[1] is not None:
                    raise Fault(item[1], f'{replica} gave no whole answer')
                elif status == 503:
                    raise Fault('unreachable', 'the replica refused')
                elif status >= 500:
                    raise Fault('replica_failed', f'{replica} answered {status}')
                else:
                    self.tell(Health(replica, True))
                    return {'status': status, 'kind': kind, 'data': data}
        except Fault as e:
            if e.code != 'gone':
                self.tell(Health(replica, False))
            raise
        finally:
            flow.cut()

    # ---- what a caller sees

    async def serve(self, call: Any, out: Any) -> None:
        """One HTTP request: `await node.serve(call, out)`."""
        path = call.path.partition('?')[0]
        self.busy += 1
        try:
            if path == '/v1/turns':
                if call.method != 'POST':
                    raise Fault('wrong_method', 'a turn is POSTed')
                await self.turn(call.body, out)
            elif path.startswith('/v1/services/'):
                service, _, rest = path[len('/v1/services/') :].partition('/')
                await self.plain(service, '/' + rest, call, out)
            elif path == '/v1/counters':
                await out.whole(
                    200,
                    {
                        'counters': dict(sorted(self.ctx.journal.counts.items())),
                        'pressure': admission_state.pressure(self.state),
                    },
                )
            elif path == '/v1/journal':
                await out.whole(200, {'lines': list(self.ctx.journal.lines)})
            elif path == '/v1/status':
                await out.whole(200, self.status())
            elif path == '/v1/failures':
                await out.whole(200, {'failures': self.gateway.failures.shown() if self.gateway else []})
            elif path == '/metrics':
                data = metrics.exposition(self.ctx.journal.counts, self.gauges())
                await out.raw(200, data, metrics.CONTENT_TYPE)
            else:
                raise Fault('not_found', path)
        except Fault as e:
            if e.code == 'gone':
                return
            if e.code in ('unreachable', 'lost', 'slow'):
                e = Fault('no_replica' if e.code == 'unreachable' else 'replica_failed', e.text, wait_ms=1000)
            wait = e.wait_ms if e.wait_ms is not None else 1000 if e.status == 503 else None
            e.wait_ms = wait
            heads = {'Retry-After': refusal.retry_after(wait)} if wait is not None else {}
            try:
                await out.whole(e.status, e.problem(path), heads)
            except StreamClosedError:
                pass
        except StreamClosedError:
            pass
        finally:
            self.busy -= 1

    def status(self) -> dict:
        """What this node has in force: `node.status()`."""
        state, now = self.state, self.ctx.clock.now()
        return {
            'node': self.name,
            'zone': self.ctx.startup['zone'],
            'generation': state.generation,
            'leased': admission_state.leased(state, now),
            'epoch': state.epoch,
            'leaving': sorted(state.leaving),
            'allot': state.allot,
            'used': dict(state.used),
            'draining': state.draining,
            'down': sorted(state.down),
            'live': state.live,
            'parts': len(self.seats),
            'service_ms': {r: ms(s.expected) for r, s in state.service.items()},
            'rates': {p: v.slot_rate for p, v in state.pools.items()},
        }

    def gauges(self) -> dict[str, float]:
        """What this node has on hand now: `node.gauges()`."""
        state, now = self.state, self.ctx.clock.now()
        lease = (state.lease - now).total_seconds() if state.lease else 0.0
        return {
            'generation': state.generation,
            'lease_s': max(0.0, lease),
            'settling': self.settling,
            'replicas_down': len(state.down),
            **{f'pressure.{pool}': n for pool, n in admission_state.pressure(state).items()},
        }

    async def told(self, message: dict) -> dict:
        """What other processes may ask a routing node: `await node.told({'k': 'who'})`."""
        if message.get('k') == 'who':
            return {
                'ok': True,
                'me': self.name,
                'role': 'route',
                'fleet': self.fleet,
                'core': self.core,
                'at': self.core_at,
            }
        if message.get('k') == 'greet':
            return self.greeted(message)
        if message.get('k') == 'relay':
            self.ctx.journal.count('relayed')
            if not self.core_at:
                raise Fault('core_away', 'this node has no way to the core either')
            return await self.ctx.net.ask(self.core_at, message['message'], POLL_LIMIT)
        raise Fault('garbled', f'no message of kind {message.get("k")!r}')

    def greeted(self, message: dict) -> dict:
        """A member of the fleet says where the core and the stores are; taken while this node has no way
        to either: `node.greeted({'fleet': 'f', 'core': [], 'register': register.NEVER})`."""
        if self.fleet in (None, message['fleet']):
            if not admission_state.leased(self.state, self.ctx.clock.now()):
                self.core, self.core_at = message['core'], None
            if message['register']['number'] > self.register['number']:
                self.register = message['register']
        return {'ok': True}

    async def run(self, ready: Any = None) -> None:
        """Serve until cancelled: `await node.run()`."""
        await self.ctx.net.serve(self.ctx.startup.get('listen') or self.ctx.startup['address'], self.told)
        if self.ctx.startup.get('http'):
            await self.ctx.web.serve(self.ctx.startup['http'], self.serve)
        if self.ctx.startup.get('gateway'):
            self.gateway = Gateway(self, self.ctx.dialect or Dialect())
            self.gateway.listen()
        self.ctx.journal.note('start', role='route', id=self.name)
        if ready:
            ready.set_result(self)
        try:
            await asyncio.gather(
                self.own(),
                self.ticks(),
                self.follow(),
                self.renew(),
                self.look(),
                self.serve_duty(),
                self.look_up(),
                *self.gateway_tasks(),
            )
        finally:
            for task in list(self.tasks):
                task.cancel()
            if self.gateway:
                await self.gateway.close()
            await self.ctx.net.close()
            if self.ctx.web:
                await self.ctx.web.close()

    def gateway_tasks(self) -> list:
        return [self.gateway.close_idle_connections()] if self.gateway else []

    async def drain(self, limit: timedelta) -> None:
        """Take nothing new, refuse what waits, let what runs finish: `await node.drain(of_ms(5000))`."""
        end = self.ctx.clock.now() + limit
        if self.gateway:  # callers still come for a while: see them through
            await self.gateway.drain(end)
        self.tell(Drain())
        while (self.busy or self.settling) and self.ctx.clock.now() < end:
            await self.ctx.clock.sleep(of_ms(20))


async def give(out: Any, ret: dict, more: dict | None = None) -> None:
    """A replica's answer, as it was: `await give(out, {'status': 200, 'kind': '...', 'data': b''})`."""
    await out.raw(ret['status'], ret['data'], ret['kind'], {'X-Quillstall-Source': 'replica', **(more or {})})


async def first(wait: Any, gone: asyncio.Future) -> None:
    """Return when either is done, leaving both as they are: `await first(wait, out.gone)`."""
    await asyncio.wait((wait, gone), return_when=asyncio.FIRST_COMPLETED)


async def run(ctx: Ctx, ready: Any = None) -> None:
    """A routing node from its context to its end: `await run(ctx)`."""
    await Node(ctx).run(ready)
