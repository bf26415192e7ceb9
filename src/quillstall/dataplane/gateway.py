"""Gateway: carries requests that are routed by host and path, with heads and bodies as they came.

One function carries each request, read from top to bottom: `stream` a turn of a program, `plain` any
other. Both ask admission for a replica as all work does, tell the stores before anything is sent that
may not run twice, and say of each failure whether anything may have run: 503 is a promise that nothing
has and nothing will.
"""

import asyncio
import json
from datetime import datetime
from typing import Any
from zlib import crc32

from tornado.httputil import HTTPHeaders
from tornado.iostream import StreamClosedError

from quillstall.dataplane import dialect as words
from quillstall.dataplane.admission import admission_state, refusal, service_time
from quillstall.dataplane.admission.admission_state import ServiceTime, Task
from quillstall.dataplane.admission.messages import Credit, Drain, Health, Leave, Load
from quillstall.dataplane.chains import Chains, Link
from quillstall.dataplane.dialect import Dialect, Request
from quillstall.dataplane.events import Events
from quillstall.dataplane.failures import Attempt, Failures
from quillstall.dataplane.keyed import KeyedOperations, WholeAnswer
from quillstall.dataplane.prefixes import PrefixIndex
from quillstall.dataplane.routetable import RouteTable
from quillstall.dataplane.stalls import StallWatch, stall_limit, usual_silence
from quillstall.network.httpclient import AnswerTest, Exchange, HttpClient
from quillstall.network.httpserver import Call, Inbound, JsonOut, Listener
from quillstall.network.net import connect, split
from quillstall.runtime.clock import ms, of_ms
from quillstall.runtime.errors import Fault

PRIOR_PART = 0.25  # the prior of a service time: this part of the time there is
PATIENCE_LEAST = of_ms(60)  # an answer is waited for so long at least before another replica is asked
PATIENCE_TIMES = 4  # and so many times what is expected
KEPT_PART_REPEATABLE = 0.8  # a kept connection is used for this part of the time that it is kept at most
KEPT_PART_STREAM = 0.5
KEPT_PART_ONCE = 0.4
STORE_WAIT = 0.45  # a turn waits for its store for this part of its time at most
KEEP_LIMIT = of_ms(400)  # past its deadline a turn waits so long at most for its store
NOTICE = of_ms(3200)  # after a stop signal callers still come for a while
LAST_ANSWERS = of_ms(300)  # so long before a stop ends, what is under way is answered
DRAIN_PAUSE = of_ms(20)
ENDED_LIMIT = of_ms(150)  # so long a replica that broke off is given to take a connection
GOLDEN_PART = 0.618033988749895
PROMISES = (402, 408, 421, 429, 503)  # what says that a request has not run and never will
SENDS_MOST = 4  # replicas that a request is offered to, those that turned it away counted


class NoNewWork(Fault):
    """This node may not send the replica anything new: by its lease, or by the replica's standing."""

    def __init__(self) -> None:
        super().__init__('unreachable', 'the replica may not get new work', more={'ours': True})


class Gateway:
    """What one routing node needs to carry such requests."""

    def __init__(self, node: Any, dialect: Dialect):
        self.node = node
        self.ctx = node.ctx
        self.dialect = dialect
        count = self.ctx.journal.count
        self.client = HttpClient(count, split(self.ctx.startup['address'])[0])
        violated = self.ctx.journal.violated
        self.listener = Listener(self.serve, count, violated=violated)
        self.door: Listener | None = None
        self.keyed = KeyedOperations(node, dialect)
        self.chains = Chains()
        self.prefixes = PrefixIndex()
        self.routes = RouteTable({})
        self.routes_of = -1  # the generation that they are of
        self.parts: dict[str, float] = {}  # route -> where its next request without a home stands in a split
        self.failures = Failures(self.ctx.clock, self.ctx.journal)
        self.silences: dict[str, ServiceTime] = {}  # route -> the longest silences of its turns
        self.leaving = False
        self.last_answers: datetime | None = None  # while it stops: when requests get their last answers

    # ---- listening, readiness, leaving

    def listen(self) -> None:
        """Take callers, and whoever asks whether this node is ready: `gateway.listen()`."""
        self.listener.listen(self.ctx.startup['gateway'])
        if self.ctx.startup.get('ready'):
            self.door = Listener(self.tell_ready, self.ctx.journal.count)
            self.door.listen(self.ctx.startup['ready'])

    def ready(self) -> bool:
        """Whether this node can serve: it knows its policy, its replicas and its stores, and is not leaving."""
        state = self.node.state
        return (
            not self.leaving
            and bool(state.policy.get('http_routes'))
            and bool(state.listing)
            and bool(self.node.seats)
            and admission_state.leased(state, self.ctx.clock.now())
        )

    async def tell_ready(self, call: Inbound, out: Any) -> None:
        """The answer to whoever asks: `await gateway.tell_ready(call, out)`. What the node tells operators
        of itself is to be had here too."""
        if call.path.startswith('/v1/') or call.path == '/metrics':
            await self.node.serve(Call(call.method, call.path, {}, call.body), JsonOut(out))
            return
        await out.whole(200 if self.ready() else 503, HTTPHeaders(), b'')

    async def tidy(self) -> None:
        """Let go of connections that have rested too long."""
        while True:
            await self.ctx.clock.sleep(of_ms(1000))
            self.client.tidy()

    async def drain(self, end: datetime) -> None:
        """Say that this node is not ready, serve those that come nevertheless, then see all through. What is
        under way shortly before the end gets its last answer then, and is not broken off."""
        self.leaving = self.listener.closing = True
        self.last_answers = end - LAST_ANSWERS
        clock, start = self.ctx.clock, self.ctx.clock.now()
        while clock.now() < self.last_answers and (self.listener.busy or clock.now() - start < NOTICE):
            await clock.sleep(DRAIN_PAUSE)
        self.listener.server.stop()
        self.node.tell(Drain())
        self.client.cut_all(Fault('late', 'this node stops'))
        while clock.now() < end and self.listener.busy:
            await clock.sleep(DRAIN_PAUSE)

    async def close(self) -> None:
        """Stop all of it: `await gateway.close()`."""
        self.client.close()
        await self.listener.close()
        if self.door:
            await self.door.close()

    # ---- one request

    def route(self, request: Request) -> tuple[str, dict]:
        """The route of a request: of its host's, the one with the longest prefix. Fault 'no_route'."""
        state = self.node.state
        if self.routes_of != state.generation:
            self.routes_of = state.generation
            self.routes = RouteTable(state.policy['http_routes'])
            self.take_limits(state.policy.get('limits', {}))
        path = request.path.partition('?')[0]
        found = self.routes.find(request.host, path)
        if found is None:
            raise Fault('no_route', f'{request.host}{path}')
        return found

    def take_limits(self, limits: dict) -> None:
        """Bound what callers may send by the limits in force."""
        self.listener.limit(
            limits.get('head_bytes', 65536) + 1024,
            limits.get('body_bytes', 8 * 2**20) + 1024,
            of_ms(limits.get('idle_ms', 60_000) + 2000),
        )

    def pool(self, name: str, request: Request, route: dict) -> str:
        """The pool of a request, by the route's weights. All requests of a key go the same way, and those of a
        session where the route has affinity; the others are spread as evenly as the weights allow."""
        rows = [(p, w) for p, w in sorted(route['pools'].items()) if w > 0]
        if len(rows) == 1:
            return rows[0][0]
        known = [(p, w) for p, w in rows if admission_state.replicas_of(self.node.state, p)]
        rows = known or rows
        home = request.key or (request.session if route.get('affinity', True) else None)
        part = crc32(home.encode()) / 2**32 if home else self.next_part(name)
        at = part * sum(w for _, w in rows)
        for pool, weight in rows:
            at -= weight
            if at < 0:
                return pool
        return rows[-1][0]

    def next_part(self, name: str) -> float:
        """The next point of a sequence that covers the range from 0 to 1 evenly, one sequence a route; those of
        different nodes begin at different points."""
        part = self.parts.get(name)
        if part is None:
            part = crc32(f'{self.node.name} {name}'.encode()) / 2**32
        self.parts[name] = (part + GOLDEN_PART) % 1.0
        return part

    async def serve(self, call: Inbound, out: Any) -> None:
        """One HTTP request: `await gateway.serve(call, out)`."""
        start = self.ctx.clock.now()
        self.ctx.journal.count('http.requests')
        try:
            state = self.node.state
            if not state.policy.get('http_routes') or not admission_state.leased(state, start):
                raise Fault('no_lease', 'this node has no policy in force now', wait_ms=500)
            request = words.read(self.dialect, call)
            name, route = self.route(request)
            span = of_ms(route['timeout_ms'])
            if request.deadline_ms is not None:
                span = min(span, of_ms(request.deadline_ms))
            deadline = start + span
            if self.last_answers is not None:
                deadline = min(deadline, self.last_answers)
            if route.get('stream'):
                await self.stream(name, route, request, start, deadline, out)
            else:
                await self.plain(name, route, request, start, deadline, out)
        except StreamClosedError:
            self.ctx.journal.count('http.gone')
        except Fault as e:
            status = await self.tell(out, e, call.path)
            if e.code != 'gone':
                ident = call.headers.get(self.dialect.request) or ''
                self.failures.keep(ident, call.path, e, status, start, out.trail)

    async def tell(self, out: Any, fault: Fault, path: str) -> int:
        """Answer with a fault, or break off what has begun; the status told, 0 if none."""
        self.ctx.journal.count(f'told.{fault.code}')
        if fault.code == 'gone' or out.headed:
            out.cut()
            return 0
        if fault.code in ('unreachable', 'hopeless', 'moved'):
            fault = Fault('no_replica', fault.text, wait_ms=fault.wait_ms)
        if fault.code in ('lost', 'slow'):
            fault = Fault('replica_failed', fault.text)
        status = self.dialect.statuses.get(fault.code, fault.status)
        if status in PROMISES and getattr(out, 'may_have_run', False):
            self.ctx.journal.violated('refused_after_send', path=path, code=fault.code, status=status)
        heads = HTTPHeaders({'Content-Type': 'application/problem+json'})
        if status in (429, 503):
            wait = fault.wait_ms if fault.wait_ms is not None else 500
            heads['Retry-After'] = (
                f'{wait / 1000:.3f}' if self.dialect.fractions else refusal.retry_after(wait)
            )
        try:
            await out.whole(status, heads, json_of(fault.problem(path)))
        except StreamClosedError:
            self.ctx.journal.count('http.gone')
        return status

    def task(
        self,
        name: str,
        route_name: str,
        route: dict,
        request: Request,
        pool: str,
        start: datetime,
        deadline: datetime,
    ) -> Task:
        """What admission is asked with."""
        state = self.node.state
        cls = route['class']
        unread: dict = {}
        hold = 1
        if route.get('stream'):
            hold = max(2, request.prompt_tokens + request.max_tokens)
            unread = self.prefixes.uncached_tokens(
                list(admission_state.replicas_of(state, pool)), request.session or '', request.parts
            )
        return Task(
            name,
            route_name,
            cls,
            pool,
            hold,
            deadline,
            start,
            state.policy['classes'][cls].get('urgent', False),
            prior_service_time=min(
                (deadline - start) * PRIOR_PART, of_ms(int(route.get('target_ms') or 600_000))
            ),
            uncached_tokens=unread,
            zone=self.ctx.startup['zone'],
        )

    def others(self, task: Task, replica: str) -> list[str]:
        """The replicas that could take a request over from this one; without any, it is waited for, and its
        own failure is the answer."""
        state = self.node.state
        return [
            r
            for r in admission_state.replicas_of(state, task.pool)
            if r not in (replica, *task.excluded_replicas, *state.ejections)
        ]

    def matches(self, request: Request) -> AnswerTest:
        """The test whether an answer is to this request: it repeats the request's id."""
        name = self.dialect.request
        return lambda status, headers: headers.get(name) is not None and headers[name] == request.ident

    def anonymous(self, status: int, headers: HTTPHeaders) -> bool:
        """Whether an answer is an error that does not say to which request it is."""
        return status >= 400 and headers.get(self.dialect.request) is None

    async def send(
        self,
        task: Task,
        replica: str,
        request: Request,
        body: bytes,
        deadline: datetime,
        part: float,
        after: str | None,
        gone: asyncio.Future,
        cut_if_gone: bool,
        watch: StallWatch | None = None,
    ) -> Exchange:
        """Offer a request to one replica; its answer's head has come. Fault 'unreachable': it has not run."""
        clock, state, d = self.ctx.clock, self.node.state, self.dialect
        row = admission_state.replicas_of(state, task.pool).get(replica)
        if row is None:
            raise NoNewWork()
        heads = words.passed(request.headers, (d.deadline.lower(), d.replica.lower(), d.resume.lower()))
        heads[d.replica] = replica

        def before_write() -> None:
            """The last look before the request is written; a new connection may have taken long."""
            if gone.done():
                raise Fault('gone')
            now, state = clock.now(), self.node.state
            if not admission_state.may_send(state, task.pool, replica, now):
                raise NoNewWork()
            if deadline - now < service_time.expected(state, task) * 0.3:
                raise Fault('hopeless', 'dropped before it was sent', wait_ms=200)
            heads[d.deadline] = str(max(1, ms(deadline - now)))

        before_write()
        if after is not None:
            heads[d.resume] = after
        self.ctx.journal.count('attempts')
        exchange = await self.client.open(
            row['address'],
            replica,
            request.method,
            request.path,
            heads,
            body,
            self.matches(request),
            part,
            deadline - clock.now(),
            self.anonymous,
            before_write,
        )
        if cut_if_gone:

            def leave(_: Any) -> None:
                exchange.cut(Fault('gone'))

            gone.add_done_callback(leave)
        try:
            if watch:
                status, head = await watch.wait(exchange.head)
            else:
                status, head = await exchange.head(deadline - clock.now())
        except BaseException:
            exchange.cut()
            raise
        if status < 300 and head.get(d.request) != request.ident:
            self.ctx.journal.violated('answer_owner', request=request.ident, answer=head.get(d.request))
        load = (head.get(d.load) or '').split(',')
        if len(load) == 3 and all(x.strip().isdigit() for x in load):
            self.node.tell(Load(replica, *(int(x) for x in load)))
        return exchange

    async def ended(self, task: Task, replica: str) -> bool:
        """Whether a replica that broke off has ended, or is cut off: it takes no connection any more. It
        then doesn't count among the replicas that a request may go to. One that is only draining does."""
        state = self.node.state
        listed = state.listing.get('pools', {}).get(task.pool, {})
        row = listed.get(replica) or admission_state.replicas_of(state, task.pool).get(replica)
        if row is None:
            return False
        try:
            stream = await connect(row['address'], ENDED_LIMIT, self.client.source)
        except Fault:
            return True
        stream.close()
        return False

    async def rest(self, exchange: Exchange, deadline: datetime) -> bytes:
        """The whole body of an answer: `await gateway.rest(exchange, deadline)`."""
        out = []
        while True:
            data = await exchange.data(deadline - self.ctx.clock.now())
            if data is None:
                return b''.join(out)
            out.append(data)

    def verdict(self, exchange: Exchange) -> None:
        """Fault 'unreachable' if the replica says that it did not run the request, 'replica_failed' if its
        answer would promise that and it does not say so."""
        if exchange.status == 421 or self.dialect.not_run in exchange.headers:
            text = f'{exchange.place[1]} turned it away: {exchange.status}'
            raise Fault('unreachable', text, more={'full': True})
        if exchange.status in (408, 429, 503):
            raise Fault('replica_failed', f'{exchange.place[1]} answered {exchange.status}')

    def told_as(self, fault: Fault, may_have_run: bool, deadline: datetime) -> Fault:
        """What the caller hears of a request's last fault: no refusal once an attempt may have run."""
        if may_have_run and fault.ran == 'no':
            return Fault('replica_failed', f'an attempt was lost, and then: {fault.code}')
        if fault.code in ('slow', 'lost') and self.ctx.clock.now() >= deadline:
            return Fault('late', fault.text)
        return fault

    def patience(self, task: Task, deadline: datetime) -> datetime:
        """How long an answer of work that may be repeated is waited for where another replica could take it."""
        if not admission_state.mechanism_enabled(self.node.state, 'patience'):
            return deadline
        span = max(PATIENCE_LEAST, service_time.expected(self.node.state, task) * PATIENCE_TIMES)
        return min(deadline, self.ctx.clock.now() + span)

    def health(self, replica: str, fault: Fault | None, status: int = 200) -> None:
        """What an attempt says of a replica: its fault, or the status that was passed on."""
        if fault is None:
            self.node.tell(Health(replica, True, error_response=status >= 500))
        elif fault.code not in ('gone', 'hopeless') and not fault.more.get('ours'):
            full = fault.more.get('full', False)
            refused = fault.code == 'unreachable' and not full
            stalled = fault.more.get('stalled', False)
            self.node.tell(Health(replica, False, not refused, stalled, at_capacity=full))

    def attempt_failed(
        self, replica: str, exchange: Exchange | None, fault: Fault, start: datetime, out: Any
    ) -> bool:
        """End an attempt that failed; whether it may have run. A fault 'gone', of a caller, is raised on."""
        if exchange:
            exchange.cut()
        if fault.code == 'gone':
            raise fault
        self.health(replica, fault)
        out.trail.append(Attempt(replica, ms(self.ctx.clock.now() - start), fault.code, fault.text))
        if fault.code in ('unreachable', 'hopeless'):
            return False
        out.may_have_run = True
        return True

    def stall_watch(self, name: str, task: Task, replica: str, deadline: datetime, moves: bool) -> StallWatch:
        """The watch over one stream of a route; `moves`: it may go on at another replica."""
        on = admission_state.mechanism_enabled(self.node.state, 'silence')
        return StallWatch(
            self.ctx.clock,
            stall_limit(self.silences.get(name)) if on else None,
            deadline,
            moves and bool(self.others(task, replica)),
            lambda: self.stalled(replica),
        )

    def stalled(self, replica: str) -> None:
        """A stream from a replica is stalled, and is waited for on."""
        self.ctx.journal.count('stalls')
        self.node.tell(Health(replica, False, True, True))

    def head_of(self, headers: Any) -> HTTPHeaders:
        """A replica's head as its caller gets it."""
        return words.passed(headers, tuple(n.lower() for n in self.dialect.own))

    # ---- a plain request

    async def plain(
        self, name: str, route: dict, request: Request, start: datetime, deadline: datetime, out: Any
    ) -> None:
        """One plain request, from its route to its answer."""
        clock, node = self.ctx.clock, self.node
        run = node.fresh()
        task = self.task(run, name, route, request, self.pool(name, request, route), start, deadline)
        record = f'{request.host} {request.key}' if route['repeat'] == 'keyed' and request.key else None
        if record:
            kept = await self.keyed.claim(record, request, run, start, deadline)
            if kept is not None:
                await out.whole(*kept)
                return
        any_time = route['repeat'] == 'any'
        most = route.get('attempts') or (2 if any_time else 1)
        tried = done = False
        attempts, began, answer = 0, clock.now(), None
        took = None
        gone = out.gone if not record else asyncio.get_running_loop().create_future()
        replica = ''
        try:
            replica = await node.admit(task, gone)
            began = clock.now()
            while True:
                if gone.done():
                    raise Fault('gone')
                attempts += 1
                exchange = None
                if tried and route['repeat'] != 'any':
                    self.ctx.journal.violated('sent_once', request=request.ident, route=name)
                again = any_time and attempts < most  # whether it may be sent once more
                patient = not (again and self.others(task, replica))
                until = deadline if patient else self.patience(task, deadline)
                try:
                    exchange = await self.send(
                        task,
                        replica,
                        request,
                        request.body,
                        until,
                        KEPT_PART_REPEATABLE if any_time else KEPT_PART_ONCE,
                        None,
                        gone,
                        any_time,
                    )
                    data = await self.rest(exchange, until)
                    self.verdict(exchange)
                    if exchange.status >= 500 and again and self.others(task, replica):
                        raise Fault('replica_failed', f'{replica} answered {exchange.status}')
                    answer = WholeAnswer(exchange.status, self.head_of(exchange.headers), data)
                    self.health(replica, None, exchange.status)
                    break
                except Fault as e:
                    if self.attempt_failed(replica, exchange, e, start, out):
                        tried = True
                        if not again:
                            raise
                    if attempts >= SENDS_MOST or e.code == 'hopeless':
                        raise
                    node.tell(Leave(run))
                    task, replica = await node.elsewhere(task, replica, gone, e)
            took = clock.now() - began
            done = True
        except Fault as e:
            if record and not tried:  # it certainly never ran: the next try may
                await self.keyed.void(record, run)
            told = self.told_as(e, tried, deadline)
            if told is e:
                raise
            raise told from e
        finally:
            node.tell(Leave(run, 1 if done else 0, took))
        if record:
            await self.keyed.keep(record, run, answer)
        self.ctx.journal.count('calls.done')
        await out.whole(*answer)

    # ---- a turn

    async def history(
        self, route: dict, request: Request, run: str, deadline: datetime, start: datetime
    ) -> tuple[bytes, bool]:
        """Hold the turn's tokens on two disks and get what was said before it; whether that was said in
        another program. Faults: 'budget', 'turn_unknown', 'store_away'."""
        node, clock = self.node, self.ctx.clock
        chain = self.chains.whole(request.previous) if route.get('keep') else b''
        other = request.previous is not None and self.chains.program(request.previous) not in (
            None,
            request.program,
        )
        command = {
            'op': 'turn_begin',
            'program': request.program,
            'turn': request.ident,
            'budget': request.budget,
            'hold': request.max_tokens,
            'previous': request.previous if route.get('keep') else None,
            'has': chain is not None,
            'span_s': (deadline - clock.now()).total_seconds(),
        }
        until = start + (deadline - start) * STORE_WAIT
        try:
            ret = await node.shelf(request.program, command, until)
        except Fault as e:
            if e.code != 'turn_unknown':
                if e.code == 'store_away':  # it may be held: let it go, nothing will be sent
                    self.settle(request, 0)
                raise
            chain, other = await self.find(request.previous, until), True
            ret = await node.shelf(request.program, {**command, 'has': True}, until)
        if chain is None:
            chain = b''.join(ret['chain'])
        return chain, other

    async def find(self, turn: str, until: datetime) -> bytes:
        """What was said up to a turn of whichever program: every part is asked. 'turn_unknown' only if each
        says so."""
        node = self.node
        self.ctx.journal.count('turns.sought')
        work = [
            node.ask_part(part, {'op': 'turn_find', 'previous': turn}, until) for part in sorted(node.seats)
        ]
        rets = await asyncio.gather(*work, return_exceptions=True)
        for ret in rets:
            if isinstance(ret, dict):
                return b''.join(ret['chain'])
        if rets and all(isinstance(r, Fault) and r.code == 'turn_unknown' for r in rets):
            raise Fault('turn_unknown', turn)
        raise Fault('store_away', 'not every store could say whether it keeps this turn', wait_ms=500)

    def settle(self, request: Request, used: int) -> None:
        """Settle a turn that is not kept, without anyone waiting for it."""
        self.node.spawn(
            self.node.settle(
                request.program,
                {'op': 'turn_end', 'program': request.program, 'turn': request.ident, 'used': used},
            )
        )

    async def stream(
        self, name: str, route: dict, request: Request, start: datetime, deadline: datetime, out: Any
    ) -> None:
        """One turn, from its route to its last event."""
        clock, node = self.ctx.clock, self.node
        run = node.fresh()
        pool = self.pool(name, request, route)
        task = self.task(run, name, route, request, pool, start, deadline)
        if (route.get('keep') or request.budget is not None) and not request.ident:
            raise Fault(
                'bad_header', f'{self.dialect.request} is needed', ((self.dialect.request, 'is missing'),)
            )
        if request.program is None:  # a line of turns without a program is one of its own
            request = request._replace(program=f'- {request.session or request.previous or request.ident}')
        counted = request.budget is not None or bool(route.get('keep'))
        each = node.state.policy['pools'][pool].get('event_tokens', 1)
        keep, resume = bool(route.get('keep')) and counted, bool(route.get('resume'))
        kept_part = KEPT_PART_REPEATABLE if resume else KEPT_PART_STREAM
        most = route.get('attempts') or 1
        chain, other, held, tried, headed, settled = b'', False, False, False, False, False
        offers, ran, sent_on, last, said = 0, 0, 0, request.after, []
        took, replica, exchange = None, '', None
        try:
            replica = await node.admit(task, out.gone)
            if counted:
                chain, other = await self.history(route, request, run, deadline, start)
                held = True
            began = clock.now()
            body = chain + request.body
            while True:
                if out.gone.done():
                    raise Fault('gone')
                offers += 1
                exchange = None
                if tried and route['repeat'] != 'any':
                    self.ctx.journal.violated('sent_once', request=request.ident, route=name)
                watch = self.stall_watch(name, task, replica, deadline, resume and ran + 1 < most)
                try:
                    exchange = await self.send(
                        task, replica, request, body, deadline, kept_part, last, out.gone, True, watch
                    )
                    if exchange.status != 200:
                        data = await self.rest(exchange, deadline)
                        self.verdict(exchange)
                        if headed:
                            raise Fault('replica_failed', f'{replica} answered {exchange.status}')
                        self.health(replica, None, exchange.status)
                        await out.whole(exchange.status, self.head_of(exchange.headers), data)
                        return
                    self.prefixes.record_sent(replica, request.session or '', request.parts)
                    if not headed:
                        headed = True
                        await out.head(200, self.head_of(exchange.headers))
                    cutter, first = Events(), True
                    while True:
                        data = await watch.wait(exchange.data)
                        if data is None:
                            break
                        events = cutter.take(data)
                        if not events:
                            continue
                        read = request.prompt_tokens if first else 0
                        first = False
                        node.tell(Credit(run, read + each * len(events)))
                        for event in events:
                            if not follows(last, event.ident):
                                self.ctx.journal.violated('event_order', request=request.ident, after=last)
                                raise Fault('lost', f'event {event.ident} came after {last}')
                        sent_on += len(events)
                        for event in events:
                            last = event.ident or last
                            if keep:
                                said.append((event.data or b'') + b'\n')
                        await out.write(b''.join(e.raw for e in events))
                    if cutter.left.strip():
                        raise Fault('lost', 'the stream ended in the middle of an event')
                    self.health(replica, None)
                    self.silences[name] = usual_silence(self.silences.get(name), watch.longest_silence)
                    break
                except Fault as e:
                    if self.attempt_failed(replica, exchange, e, start, out):
                        tried = True
                        ran += 1
                        if not resume or clock.now() >= deadline:
                            raise
                        if ran >= most and not (e.code == 'lost' and await self.ended(task, replica)):
                            raise
                    if offers >= SENDS_MOST or e.code == 'hopeless' or clock.now() >= deadline:
                        raise
                    node.tell(Leave(run, sent_on * each))
                    task, replica = await node.elsewhere(task, replica, out.gone, e)
            took = clock.now() - began
            if keep:
                data = (chain if other else b'') + request.body + b''.join(said)
                previous = None if other else request.previous
                await node.shelf(
                    request.program,
                    {
                        'op': 'turn_end',
                        'program': request.program,
                        'turn': request.ident,
                        'used': sent_on * each,
                        'keeping_s': route.get('keeping_s', 60),
                        'keep': {'previous': previous, 'data': data},
                    },
                    max(deadline, clock.now() + KEEP_LIMIT),
                    'not_kept',
                )
                settled = True
                self.chains.put(request.ident, Link(request.program, previous, data))
            await out.end()
            self.ctx.journal.count('turns.done')
        except Fault as e:
            told = self.told_as(e, tried, deadline)
            if told is e:
                raise
            raise told from e
        finally:
            if exchange and not exchange.whole:
                exchange.cut()
            node.tell(Leave(run, request.prompt_tokens + sent_on * each if sent_on else 0, took))
            if held and not settled:
                self.settle(request, sent_on * each)


def follows(last: str | None, ident: str | None) -> bool:
    """Whether an event may come after another in one stream: numbers rise; what has no number may come.

    >>> follows('2', '3'), follows(None, '1'), follows('3', '3'), follows('3', None), follows('a', 'b')
    (True, True, False, True, True)
    """
    if last is None or ident is None or not (last.isdigit() and ident.isdigit()):
        return True
    return int(ident) > int(last)


def json_of(body: dict) -> bytes:
    """A body as bytes.

    >>> json_of({'a': 1})
    b'{"a": 1}'
    """
    return json.dumps(body).encode()
