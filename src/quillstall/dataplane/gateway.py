"""An HTTP gateway that routes requests by host and path and forwards headers and bodies unchanged.

`serve_stream` carries a turn of a program, `serve_plain` any other request. Both get a replica from
admission, record in the stores whatever may not run twice before it is sent, and distinguish failures
that may have run from those that did not: a 503 promises that the request has not run and will not run.
"""

import asyncio
import json
from datetime import datetime
from typing import Any
from zlib import crc32

from tornado.httputil import HTTPHeaders
from tornado.iostream import StreamClosedError

from quillstall.dataplane import dialect, stopping
from quillstall.dataplane.admission import admission_state, refusal, service_time
from quillstall.dataplane.admission.admission_state import ServiceTime, Task
from quillstall.dataplane.admission.messages import Credit, Drain, Health, Leave, Load
from quillstall.dataplane.conversations import Conversation, Conversations, is_retained
from quillstall.dataplane.dialect import Dialect, Request
from quillstall.dataplane.event_relay import EventRelay, most_events
from quillstall.dataplane.failures import Attempt, FailureLog
from quillstall.dataplane.keyed import CompleteResponse, KeyedOperations
from quillstall.dataplane.prefixes import PrefixIndex
from quillstall.dataplane.routetable import RouteTable
from quillstall.dataplane.stalls import StallWatch, stall_limit, usual_silence
from quillstall.dataplane.stopping import Stop
from quillstall.network.header_numbers import whole_number
from quillstall.network.httpclient import MAX_RESPONSE_BYTES, Exchange, HttpClient, ResponseTest
from quillstall.network.httpserver import NO_MEMORY_RETRY_MS, JsonRequest, JsonResponse, Listener, RawRequest
from quillstall.network.net import connect, parse_address
from quillstall.runtime.byte_budget import Reservation
from quillstall.runtime.clock import from_ms, ms
from quillstall.runtime.errors import Fault

PRIOR_FRACTION = 0.25  # of the time left: the service time that is assumed before one is known
MIN_PATIENCE = from_ms(60)  # the shortest wait for a response before another replica is tried
PATIENCE_FACTOR = 4  # times the expected service time: the wait before another replica is tried
IDLE_FRACTION_REPEATABLE = 0.8  # of the idle timeout: a connection that was idle for longer is not reused
IDLE_FRACTION_STREAM = 0.5
IDLE_FRACTION_ONCE = 0.4
STORE_WAIT_FRACTION = 0.45  # of the request's time: the longest wait for the store before a turn is sent
DRAIN_POLL_INTERVAL = from_ms(20)
CONNECT_CHECK_TIMEOUT = from_ms(150)  # for the check whether a replica still accepts connections
GOLDEN_RATIO_FRACTION = 0.618033988749895
NOT_RUN_STATUSES = (402, 408, 421, 429, 503)  # these promise that the request has not run and will not run
SMALL_BODY_BYTES = 64 * 1024  # a response of unknown length waits for no room while it is smaller
MAX_SENDS = 4  # replicas that a request is sent to, including those that rejected it


class ReplicaNotEligible(Fault):
    """This node may not send new work to the replica, by its own lease or by the replica's state."""

    def __init__(self) -> None:
        super().__init__('unreachable', 'the replica may not get new work', more={'ours': True})


class Gateway:
    """The HTTP gateway of one routing node."""

    def __init__(self, node: Any, dialect: Dialect):
        self.node = node
        self.ctx = node.ctx
        self.dialect = dialect
        count = self.ctx.journal.count
        source = parse_address(self.ctx.startup['address'])[0]
        self.client = HttpClient(count, source, self.ctx.budgets.responses)
        violated = self.ctx.journal.violated
        self.listener = Listener(
            self.serve, count, violated=violated, budgets=self.ctx.budgets, refuse=self.refuse_for_memory
        )
        self.readiness_listener: Listener | None = None
        self.keyed_operations = KeyedOperations(node, dialect)
        self.conversations = Conversations(node)
        self.prefixes = PrefixIndex()
        self.routes = RouteTable({})
        self.routes_generation = -1  # the policy generation of `routes`
        self.split_positions: dict[str, float] = {}  # route -> position of its next request without affinity
        self.failures = FailureLog(self.ctx.clock, self.ctx.journal)
        self.silences: dict[str, ServiceTime] = {}  # route -> longest silences of its streams
        self.stop: Stop | None = None  # set once this node has been told to stop

    # ---- listening, readiness, draining

    async def listen(self) -> None:
        """Listen for callers and for readiness checks."""
        await self.listener.listen(self.ctx.startup['gateway'])
        if self.ctx.startup.get('ready'):
            self.readiness_listener = Listener(self.serve_readiness, self.ctx.journal.count)
            await self.readiness_listener.listen(self.ctx.startup['ready'])

    def ready(self) -> bool:
        """Return whether the node has a lease, a policy, replicas and stores, and is not draining."""
        state = self.node.state
        return (
            self.stop is None
            and bool(state.policy.get('http_routes'))
            and bool(state.listing)
            and bool(self.node.replica_sets)
            and admission_state.leased(state, self.ctx.clock.now())
        )

    async def serve_readiness(self, call: RawRequest, response: Any) -> None:
        """Answer a readiness check, or a request to the node's admin API and metrics on the same address."""
        if call.path.startswith('/v1/') or call.path == '/metrics':
            await self.node.serve(JsonRequest(call.method, call.path, {}, call.body), JsonResponse(response))
            return
        await response.respond(200 if self.ready() else 503, HTTPHeaders(), b'')

    async def close_idle_connections(self) -> None:
        """Close idle connections to replicas once a second, until cancelled."""
        while True:
            await self.ctx.clock.sleep(from_ms(1000))
            self.client.close_expired()

    async def drain(self, end: datetime) -> None:
        """Report not ready, complete what is taken, and return when no request is open, or at `end`.

        Once callers have had time to leave, idle connections are closed and no new ones accepted. Requests that
        are still open shortly before `end` are answered with an error; they are not cut off.
        """
        clock = self.ctx.clock
        stop = self.stop = stopping.begin(clock.now(), end)
        self.listener.closing = True
        while clock.now() < stop.close_idle_at:
            await clock.sleep(DRAIN_POLL_INTERVAL)
        self.listener.server.stop()
        while clock.now() < stop.final_response_at and self.close_idle_callers():
            await clock.sleep(DRAIN_POLL_INTERVAL)
        self.node.post_event(Drain())
        self.client.abort_all(Fault('late', 'this node stops'))
        while clock.now() < end and self.listener.open_requests:
            await clock.sleep(DRAIN_POLL_INTERVAL)

    def close_idle_callers(self) -> int:
        """Close callers' connections that carry no request; return how many are left."""
        self.listener.close_idle_connections()
        return len(self.listener.connections)

    async def close(self) -> None:
        """Close all listeners and connections."""
        self.client.close()
        await self.listener.close()
        if self.readiness_listener:
            await self.readiness_listener.close()

    # ---- any request

    def match_route(self, request: Request) -> tuple[str, dict]:
        """Return the host's route with the longest matching prefix. Raises Fault 'no_route'."""
        state = self.node.state
        if self.routes_generation != state.generation:
            self.routes_generation = state.generation
            self.routes = RouteTable(state.policy['http_routes'])
            self.apply_limits(state.policy.get('limits', {}))
        path = request.path.partition('?')[0]
        found = self.routes.find(request.host, path)
        if found is None:
            raise Fault('no_route', f'{request.host}{path}')
        return found

    def apply_limits(self, limits: dict) -> None:
        """Apply the policy's limits to callers' connections."""
        self.listener.set_limits(
            limits.get('head_bytes', 65536) + 1024,
            limits.get('body_bytes', 8 * 2**20) + 1024,
            from_ms(limits.get('idle_ms', 60_000) + 2000),
        )

    def choose_pool(self, route_name: str, request: Request, route: dict) -> str:
        """Return the pool of a request, chosen by the route's weights.

        Requests with the same idempotency key, or of the same session on a route with affinity, go to
        the same pool; the others are spread as evenly as the weights allow.
        """
        rows = [(p, w) for p, w in sorted(route['pools'].items()) if w > 0]
        if len(rows) == 1:
            return rows[0][0]
        known = [(p, w) for p, w in rows if admission_state.replicas_of(self.node.state, p)]
        rows = known or rows
        affinity_key = request.idempotency_key or (request.session if route.get('affinity', True) else None)
        position = (
            crc32(affinity_key.encode()) / 2**32 if affinity_key else self.next_split_position(route_name)
        )
        remaining = position * sum(w for _, w in rows)
        for pool, weight in rows:
            remaining -= weight
            if remaining < 0:
                return pool
        return rows[-1][0]

    def next_split_position(self, route_name: str) -> float:
        """Return the next position of a route's low-discrepancy sequence in the range from 0 to 1.

        The sequences of different nodes start at different positions.
        """
        position = self.split_positions.get(route_name)
        if position is None:
            position = crc32(f'{self.node.name} {route_name}'.encode()) / 2**32
        self.split_positions[route_name] = (position + GOLDEN_RATIO_FRACTION) % 1.0
        return position

    async def serve(self, call: RawRequest, response: Any) -> None:
        """Serve one HTTP request; every fault is answered."""
        start = self.ctx.clock.now()
        self.ctx.journal.count('http.requests')
        try:
            state = self.node.state
            if not state.policy.get('http_routes') or not admission_state.leased(state, start):
                raise Fault('no_lease', 'this node has no policy or no lease', wait_ms=500)
            request = dialect.parse_request(self.dialect, call)
            route_name, route = self.match_route(request)
            timeout = from_ms(route['timeout_ms'])
            if request.deadline_ms is not None:
                timeout = min(timeout, from_ms(request.deadline_ms))
            deadline = start + timeout
            if self.stop is not None:
                if not self.stop.admits(start, deadline):
                    raise Fault(
                        'draining', 'it may not end before this node stops', wait_ms=stopping.RETRY_MS
                    )
                deadline = min(deadline, self.stop.final_response_at)
            if route.get('stream'):
                await self.serve_stream(route_name, route, request, start, deadline, response)
            else:
                await self.serve_plain(route_name, route, request, start, deadline, response)
        except StreamClosedError:
            self.ctx.journal.count('http.gone')
        except Fault as e:
            status = await self.respond_with_fault(response, e, call.path)
            if e.code != 'gone':
                request_id = call.headers.get(self.dialect.request_id) or ''
                self.failures.record(request_id, call.path, e, status, start, response.failed_attempts)

    async def refuse_for_memory(self, response: Any) -> None:
        """Refuse a request whose body this node has no memory for."""
        fault = Fault('no_memory', 'this node holds as much as it may', wait_ms=NO_MEMORY_RETRY_MS)
        await self.respond_with_fault(response, fault, response.start_line.path)

    async def respond_with_fault(self, response: Any, fault: Fault, path: str) -> int:
        """Answer with a fault and return its status, or cut a response that has begun and return 0."""
        self.ctx.journal.count(f'told.{fault.code}')
        if fault.code == 'gone' or response.headers_sent:
            response.abort()
            return 0
        if fault.code in ('unreachable', 'hopeless', 'moved'):
            fault = Fault('no_replica', fault.text, wait_ms=fault.wait_ms)
        if fault.code in ('lost', 'slow'):
            fault = Fault('replica_failed', fault.text)
        status = self.dialect.statuses.get(fault.code, fault.status)
        if status in NOT_RUN_STATUSES and getattr(response, 'may_have_run', False):
            self.ctx.journal.violated('refused_after_send', path=path, code=fault.code, status=status)
        headers = HTTPHeaders({'Content-Type': 'application/problem+json'})
        if status in (429, 503):
            wait_ms = fault.wait_ms if fault.wait_ms is not None else 500
            headers['Retry-After'] = (
                f'{wait_ms / 1000:.3f}'
                if self.dialect.fractional_retry_after
                else refusal.retry_after(wait_ms)
            )
        try:
            await response.respond(status, headers, json_bytes(fault.problem(path)))
        except StreamClosedError:
            self.ctx.journal.count('http.gone')
        return status

    def admission_task(
        self,
        run_id: str,
        route_name: str,
        route: dict,
        request: Request,
        pool: str,
        start: datetime,
        deadline: datetime,
    ) -> Task:
        """Return the admission task of a request."""
        state = self.node.state
        class_name = route['class']
        unread: dict = {}
        reserved_tokens = 1
        if route.get('stream'):
            reserved_tokens = max(2, request.prompt_tokens + request.max_tokens)
            unread = self.prefixes.uncached_tokens(
                list(admission_state.replicas_of(state, pool)), request.session or '', request.prompt_parts
            )
        return Task(
            run_id,
            route_name,
            class_name,
            pool,
            reserved_tokens,
            deadline,
            start,
            state.policy['classes'][class_name].get('urgent', False),
            prior_service_time=min(
                (deadline - start) * PRIOR_FRACTION, from_ms(int(route.get('target_ms') or 600_000))
            ),
            uncached_tokens=unread,
            zone=self.ctx.startup['zone'],
        )

    def other_replicas(self, task: Task, replica: str) -> list[str]:
        """Return the replicas that a request could move to.

        Without any, the gateway waits for this replica and forwards its error response.
        """
        state = self.node.state
        return [
            r
            for r in admission_state.replicas_of(state, task.pool)
            if r not in (replica, *task.excluded_replicas, *state.ejections)
        ]

    def response_matcher(self, request: Request) -> ResponseTest:
        """Return a test whether a response belongs to this request: it must repeat the request id."""
        name = self.dialect.request_id
        return lambda status, headers: headers.get(name) is not None and headers[name] == request.request_id

    def is_unidentified_error(self, status: int, headers: HTTPHeaders) -> bool:
        """Return whether a response is an error without a request id."""
        return status >= 400 and headers.get(self.dialect.request_id) is None

    async def send(
        self,
        task: Task,
        replica: str,
        request: Request,
        body: bytes,
        deadline: datetime,
        max_idle_fraction: float,
        last_event_id: str | None,
        disconnected: asyncio.Future,
        cut_if_disconnected: bool,
        watch: StallWatch | None = None,
    ) -> Exchange:
        """Send a request to one replica and return once the response headers are read.

        Raises Fault 'unreachable' if the request has not run.
        """
        clock, state, names = self.ctx.clock, self.node.state, self.dialect
        row = admission_state.replicas_of(state, task.pool).get(replica)
        if row is None:
            raise ReplicaNotEligible()
        headers = dialect.forwarded_headers(
            request.headers, (names.deadline.lower(), names.replica.lower(), names.last_event_id.lower())
        )
        headers[names.replica] = replica

        def before_write() -> None:
            """Check lease, replica and deadline again: opening a connection may have taken long."""
            if disconnected.done():
                raise Fault('gone')
            now, state = clock.now(), self.node.state
            if not admission_state.may_send(state, task.pool, replica, now):
                raise ReplicaNotEligible()
            if deadline - now < service_time.expected(state, task) * 0.3:
                raise Fault('hopeless', 'not enough time left to send the request', wait_ms=200)
            headers[names.deadline] = str(max(1, ms(deadline - now)))

        before_write()
        if last_event_id is not None:
            headers[names.last_event_id] = last_event_id
        self.ctx.journal.count('attempts')
        exchange = await self.client.open(
            row['address'],
            replica,
            request.method,
            request.path,
            headers,
            body,
            self.response_matcher(request),
            max_idle_fraction,
            deadline - clock.now(),
            self.is_unidentified_error,
            before_write,
            task.pool,
        )
        if cut_if_disconnected:

            def cut_exchange(_: Any) -> None:
                exchange.abort(Fault('gone'))

            disconnected.add_done_callback(cut_exchange)
        try:
            if watch:
                status, head = await watch.wait(exchange.read_headers)
            else:
                status, head = await exchange.read_headers(deadline - clock.now())
        except BaseException:
            exchange.abort()
            raise
        if status < 300 and head.get(names.request_id) != request.request_id:
            self.ctx.journal.violated(
                'answer_owner', request=request.request_id, answer=head.get(names.request_id)
            )
        load = [whole_number(text) for text in (head.get(names.load) or '').split(',')]
        if len(load) == 3 and None not in load:
            self.node.post_event(Load(replica, *load))
        return exchange

    async def refuses_connections(self, task: Task, replica: str) -> bool:
        """Return whether a replica that cut a stream accepts no connections: it stopped or is unreachable.

        Such an attempt does not count against the route's attempts; one at a draining replica does.
        """
        state = self.node.state
        listed = state.listing.get('pools', {}).get(task.pool, {})
        row = listed.get(replica) or admission_state.replicas_of(state, task.pool).get(replica)
        if row is None:
            return False
        try:
            stream = await connect(row['address'], CONNECT_CHECK_TIMEOUT, self.client.source)
        except Fault:
            return True
        stream.close()
        return False

    async def read_body(self, exchange: Exchange, deadline: datetime, response: Any) -> bytes:
        """Return the whole body of a replica's response. Room for it is reserved first, and kept until the caller
        has it. One of unknown length that is no small one has room for the largest: several that grew piece by piece
        could each hold what another one waits for."""
        reservation = response.response_bytes
        reservation.release()  # of an earlier attempt
        if exchange.fault is not None and not exchange.chunks:  # its length is past the limit, for example
            raise exchange.fault.fresh()
        declared = whole_number(exchange.headers.get('Content-Length')) or 0
        await self.reserve(reservation, min(declared, MAX_RESPONSE_BYTES), deadline)
        chunks: list[bytes] = []
        try:
            size = await self.read_chunks(exchange, deadline, reservation, chunks)
            reservation.shrink(reservation.size - size)
            return b''.join(chunks)
        finally:
            chunks.clear()  # the traceback of a fault would keep them

    async def read_chunks(
        self, exchange: Exchange, deadline: datetime, reservation: Reservation, chunks: list[bytes]
    ) -> int:
        """Read a body into chunks and return its size; what is reserved grows with it if its length was unknown."""
        size = 0
        while (data := await exchange.read_data(deadline - self.ctx.clock.now())) is not None:
            chunks.append(data)
            size += len(data)
            if size <= reservation.size:
                continue
            if size <= SMALL_BODY_BYTES:
                reservation.add(size - reservation.size)
            else:
                await self.reserve(reservation, MAX_RESPONSE_BYTES - reservation.size, deadline)
        return size

    async def reserve(self, reservation: Reservation, size: int, deadline: datetime) -> None:
        """Reserve memory, once there is some. Raises Fault 'late' if that takes until the deadline."""
        if reservation.try_grow(size):
            return
        self.ctx.journal.count('http.memory_awaited')
        try:
            async with asyncio.timeout(max(0.0, (deadline - self.ctx.clock.now()).total_seconds())):
                await reservation.grow(size)
        except TimeoutError as e:
            raise Fault('late', 'this node has no memory for the response', more={'ours': True}) from e

    def raise_if_not_run(self, exchange: Exchange) -> None:
        """Raise Fault 'unreachable' if the replica states that it did not run the request.

        Raises Fault 'replica_failed' for a status that would promise this without such a statement.
        """
        if exchange.status == 421 or self.dialect.not_run in exchange.headers:
            text = f'{exchange.endpoint[1]} rejected the request: {exchange.status}'
            raise Fault('unreachable', text, more={'full': True})
        if exchange.status in (408, 429, 503):
            raise Fault('replica_failed', f'{exchange.endpoint[1]} answered {exchange.status}')

    def final_fault(self, fault: Fault, may_have_run: bool, deadline: datetime) -> Fault:
        """Return the fault that the caller gets: no refusal once an attempt may have run."""
        if may_have_run and fault.ran == 'no':
            return Fault('replica_failed', f'an attempt was lost, and then: {fault.code}')
        if fault.code in ('slow', 'lost') and self.ctx.clock.now() >= deadline:
            return Fault('late', fault.text)
        return fault

    def attempt_deadline(self, task: Task, deadline: datetime) -> datetime:
        """Return when a repeatable request that another replica could take stops waiting for this attempt."""
        if not admission_state.mechanism_enabled(self.node.state, 'patience'):
            return deadline
        patience = max(MIN_PATIENCE, service_time.expected(self.node.state, task) * PATIENCE_FACTOR)
        return min(deadline, self.ctx.clock.now() + patience)

    def report_health(self, replica: str, fault: Fault | None, status: int = 200) -> None:
        """Report the outcome of an attempt to admission: its fault, or the status that was forwarded."""
        if fault is None:
            self.node.post_event(Health(replica, True, error_response=status >= 500))
        elif fault.code not in ('gone', 'hopeless') and not fault.more.get('ours'):
            full = fault.more.get('full', False)
            refused = fault.code == 'unreachable' and not full
            stalled = fault.more.get('stalled', False)
            self.node.post_event(Health(replica, False, not refused, stalled, at_capacity=full))

    def record_failed_attempt(
        self, replica: str, exchange: Exchange | None, fault: Fault, start: datetime, response: Any
    ) -> bool:
        """End a failed attempt and return whether it may have run. Raises Fault 'gone' if the caller left."""
        if exchange:
            exchange.abort()
        if fault.code == 'gone':
            raise fault
        self.report_health(replica, fault)
        response.failed_attempts.append(
            Attempt(replica, ms(self.ctx.clock.now() - start), fault.code, fault.text)
        )
        if fault.code in ('unreachable', 'hopeless'):
            return False
        response.may_have_run = True
        return True

    def stall_watch(
        self, route_name: str, task: Task, replica: str, deadline: datetime, can_move: bool
    ) -> StallWatch:
        """Return the stall detector of one stream; `can_move` tells whether it may be resumed elsewhere."""
        enabled = admission_state.mechanism_enabled(self.node.state, 'silence')
        return StallWatch(
            self.ctx.clock,
            stall_limit(self.silences.get(route_name)) if enabled else None,
            deadline,
            can_move and bool(self.other_replicas(task, replica)),
            lambda: self.report_stall(replica),
        )

    def report_stall(self, replica: str) -> None:
        """Report a stalled stream to admission; the gateway keeps waiting for it."""
        self.ctx.journal.count('stalls')
        self.node.post_event(Health(replica, False, True, True))

    def response_headers(self, headers: Any) -> HTTPHeaders:
        """Return a replica's response headers as the caller gets them."""
        return dialect.forwarded_headers(headers, tuple(n.lower() for n in self.dialect.internal_headers))

    # ---- plain requests

    async def serve_plain(
        self,
        route_name: str,
        route: dict,
        request: Request,
        start: datetime,
        deadline: datetime,
        response: Any,
    ) -> None:
        """Serve one plain request: claim its key, send it, retry it where the route allows, and respond."""
        clock, node = self.ctx.clock, self.node
        run_id = node.next_id()
        pool = self.choose_pool(route_name, request, route)
        task = self.admission_task(run_id, route_name, route, request, pool, start, deadline)
        response.response_bytes.assign(pool)
        record_key = (
            f'{request.host} {request.idempotency_key}'
            if route['repeat'] == 'keyed' and request.idempotency_key
            else None
        )
        if record_key:
            stored = await self.keyed_operations.claim(record_key, request, run_id, start, deadline)
            if stored is not None:
                await response.respond(*stored)
                return
        repeatable = route['repeat'] == 'any'
        attempt_limit = route.get('attempts') or (2 if repeatable else 1)
        may_have_run = done = False
        sends, sent_at, final_response, exchange = 0, clock.now(), None, None
        duration = None
        disconnected = response.disconnected if not record_key else asyncio.get_running_loop().create_future()
        replica = ''
        try:
            replica = await node.admit(task, disconnected)
            sent_at = clock.now()
            while True:
                if disconnected.done():
                    raise Fault('gone')
                sends += 1
                exchange = None
                if may_have_run and route['repeat'] != 'any':
                    self.ctx.journal.violated('sent_once', request=request.request_id, route=route_name)
                can_retry = repeatable and sends < attempt_limit
                wait_for_replica = not (can_retry and self.other_replicas(task, replica))
                attempt_end = deadline if wait_for_replica else self.attempt_deadline(task, deadline)
                try:
                    exchange = await self.send(
                        task,
                        replica,
                        request,
                        request.body,
                        attempt_end,
                        IDLE_FRACTION_REPEATABLE if repeatable else IDLE_FRACTION_ONCE,
                        None,
                        disconnected,
                        repeatable,
                    )
                    data = await self.read_body(exchange, attempt_end, response)
                    self.raise_if_not_run(exchange)
                    if exchange.status >= 500 and can_retry and self.other_replicas(task, replica):
                        raise Fault('replica_failed', f'{replica} answered {exchange.status}')
                    final_response = CompleteResponse(
                        exchange.status, self.response_headers(exchange.headers), data
                    )
                    self.report_health(replica, None, exchange.status)
                    break
                except Fault as e:
                    if self.record_failed_attempt(replica, exchange, e, start, response):
                        may_have_run = True
                        if not can_retry:
                            raise
                    if sends >= MAX_SENDS or e.code == 'hopeless':
                        raise
                    node.post_event(Leave(run_id))
                    task, replica = await node.readmit(task, replica, disconnected, e)
            duration = clock.now() - sent_at
            done = True
        except Fault as e:
            if record_key and not may_have_run:  # it has not run, so the next attempt may
                await self.keyed_operations.release(record_key, run_id)
            final = self.final_fault(e, may_have_run, deadline)
            if final is e:
                raise
            raise final from e
        finally:
            if exchange:
                exchange.abort()
            node.post_event(Leave(run_id, 1 if done else 0, duration))
        if record_key:
            await self.keyed_operations.save_response(record_key, run_id, final_response)
        self.ctx.journal.count('calls.done')
        await response.respond(*final_response)

    # ---- turns

    async def serve_stream(
        self,
        route_name: str,
        route: dict,
        request: Request,
        start: datetime,
        deadline: datetime,
        response: Any,
    ) -> None:
        """Serve one turn: reserve its tokens, forward its events, resume it where allowed, and retain it."""
        clock, node = self.ctx.clock, self.node
        run_id = node.next_id()
        pool = self.choose_pool(route_name, request, route)
        task = self.admission_task(run_id, route_name, route, request, pool, start, deadline)
        if (is_retained(route) or request.token_budget is not None) and not request.request_id:
            raise Fault(
                'bad_header',
                f'{self.dialect.request_id} is required',
                ((self.dialect.request_id, 'is missing'),),
            )
        if request.program is None:  # turns without a program are charged to one of their own
            request = request._replace(
                program=f'- {request.session or request.previous_turn or request.request_id}'
            )
        in_store = request.token_budget is not None or is_retained(route)
        event_tokens = node.state.policy['pools'][pool].get('event_tokens', 1)
        retain, can_resume = is_retained(route), bool(route.get('resume'))
        max_idle_fraction = IDLE_FRACTION_REPEATABLE if can_resume else IDLE_FRACTION_STREAM
        attempt_limit = route.get('attempts') or 1
        conversation = Conversation(b'')
        reserved, may_have_run, headers_sent, settled = False, False, False, False
        prompt_credited = False
        sends, runs = 0, 0
        duration, replica, exchange = None, '', None
        response.response_bytes.assign(pool)
        relay = EventRelay(
            response,
            clock,
            deadline,
            request.last_event_id,
            most_events(request.max_tokens, event_tokens),
            retain,
            lambda last: self.ctx.journal.violated('event_order', request=request.request_id, after=last),
        )

        def credit_events(count: int) -> None:
            """Report the tokens of some events to admission, with those of the prompt before a run's first event."""
            nonlocal prompt_credited
            prompt_tokens = 0 if prompt_credited else request.prompt_tokens
            prompt_credited = True
            node.post_event(Credit(run_id, prompt_tokens + event_tokens * count))

        try:
            replica = await node.admit(task, response.disconnected)
            if in_store:
                until = start + (deadline - start) * STORE_WAIT_FRACTION
                conversation = await self.conversations.begin(route, request, deadline - clock.now(), until)
                reserved = True
            sent_at = clock.now()
            if conversation.data:
                response.request_bytes.add(2 * len(conversation.data) + len(request.body))
            body = conversation.data + request.body
            while True:
                if response.disconnected.done():
                    raise Fault('gone')
                sends += 1
                exchange, prompt_credited = None, False
                if may_have_run and route['repeat'] != 'any':
                    self.ctx.journal.violated('sent_once', request=request.request_id, route=route_name)
                watch = self.stall_watch(
                    route_name, task, replica, deadline, can_resume and runs + 1 < attempt_limit
                )
                try:
                    exchange = await self.send(
                        task,
                        replica,
                        request,
                        body,
                        deadline,
                        max_idle_fraction,
                        relay.last_event_id,
                        response.disconnected,
                        True,
                        watch,
                    )
                    if exchange.status != 200:
                        data = await self.read_body(exchange, deadline, response)
                        self.raise_if_not_run(exchange)
                        if headers_sent:
                            raise Fault('replica_failed', f'{replica} answered {exchange.status}')
                        self.report_health(replica, None, exchange.status)
                        await response.respond(exchange.status, self.response_headers(exchange.headers), data)
                        return
                    self.prefixes.record_sent(replica, request.session or '', request.prompt_parts)
                    if not headers_sent:
                        headers_sent = True
                        await response.head(200, self.response_headers(exchange.headers))
                    await relay.relay(exchange, watch, credit_events)
                    self.report_health(replica, None)
                    self.silences[route_name] = usual_silence(
                        self.silences.get(route_name), watch.longest_silence
                    )
                    break
                except Fault as e:
                    if self.record_failed_attempt(replica, exchange, e, start, response):
                        may_have_run = True
                        runs += 1
                        if not can_resume or clock.now() >= deadline:
                            raise
                        if runs >= attempt_limit and not (
                            e.code == 'lost' and await self.refuses_connections(task, replica)
                        ):
                            raise
                    if sends >= MAX_SENDS or e.code == 'hopeless' or clock.now() >= deadline:
                        raise
                    node.post_event(Leave(run_id, relay.forwarded * event_tokens))
                    task, replica = await node.readmit(task, replica, response.disconnected, e)
            duration = clock.now() - sent_at
            if retain:
                await self.conversations.retain(
                    route,
                    request,
                    conversation,
                    b''.join(relay.output),
                    relay.forwarded * event_tokens,
                    deadline,
                )
                settled = True
            await response.end()
            self.ctx.journal.count('turns.done')
        except Fault as e:
            final = self.final_fault(e, may_have_run, deadline)
            if final is e:
                raise
            raise final from e
        finally:
            if exchange:
                exchange.abort()
            node.post_event(
                Leave(
                    run_id,
                    request.prompt_tokens + relay.forwarded * event_tokens if relay.forwarded else 0,
                    duration,
                )
            )
            if reserved and not settled:
                self.conversations.settle(request, relay.forwarded * event_tokens)


def json_bytes(body: dict) -> bytes:
    """Return a JSON body, encoded.

    >>> json_bytes({'a': 1})
    b'{"a": 1}'
    """
    return json.dumps(body).encode()
