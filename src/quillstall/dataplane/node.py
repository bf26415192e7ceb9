"""A routing node: admits callers' requests and forwards them to inference replicas.

A single task applies all events to the admission state; each request runs in a task of its own.
"""

import asyncio
import hashlib
from datetime import datetime, timedelta
from typing import Any

from tornado.iostream import StreamClosedError
from tornado.queues import Queue

from quillstall.configuration.policy import DEFAULT_KEY_RETENTION_S, DEFAULT_TURN_RETENTION_S
from quillstall.dataplane import probe_leadership, turn_ids
from quillstall.dataplane.admission import (
    admission_state,
    reducer,
    refusal,
    replica_health,
    service_time,
    waiting,
)
from quillstall.dataplane.admission.admission_state import State, Task
from quillstall.dataplane.admission.messages import (
    Arrive,
    Credit,
    Decision,
    Drain,
    Health,
    Leave,
    News,
    Report,
)
from quillstall.dataplane.dialect import Dialect
from quillstall.dataplane.gateway import Gateway
from quillstall.dataplane.request_parser import TurnRequest, read_deadline_ms, read_key, read_turn
from quillstall.network import listing
from quillstall.network.listing import Listing
from quillstall.network.packing import with_unpacked_policy
from quillstall.replication import register, watch
from quillstall.replication.register import DEFAULT_LEASE
from quillstall.replication.rendezvous import partition_of
from quillstall.replication.watch import Watch
from quillstall.runtime import metrics
from quillstall.runtime.clock import from_ms, ms
from quillstall.runtime.effect import Count, Note, Tick
from quillstall.runtime.errors import Fault
from quillstall.runtime.process import Context

TICK_INTERVAL = from_ms(100)
IDLE_TICK_INTERVAL = from_ms(1000)  # between clock events while no task is pending
POLL_TIMEOUT = from_ms(650)  # the core holds a poll open for up to 250 ms
POLL_RETRY_DELAY = from_ms(60)
CORE_BACKOFF = from_ms(400)
STORE_TIMEOUT = from_ms(700)
RENEW_INTERVAL = from_ms(250)
RENEW_INITIAL_DELAY = from_ms(40)  # until the first renewal after a start; doubles up to RENEW_INTERVAL
RENEW_TIMEOUT = from_ms(400)
RENEW_LEASE_FRACTION = 0.6  # replies of the core renew a lease before less than this is left
RETRIED_FAULTS = ('moved', 'unreachable', 'lost', 'slow', 'internal')  # of a store, until the deadline
EXTRA_PIECES = 64  # of a turn beyond its tokens: some replicas send a piece without any
STORE_RETRY_DELAY = from_ms(60)
SERVICE_TIME_FRACTION = 0.25  # of a route's deadline: its expected service time before the first sample
DEFAULT_MAX_TOKENS = 256
BACKGROUND_CALL_LIMIT = timedelta(seconds=30)
MAX_RUN_TIME = timedelta(seconds=30)
STEP_FAULT_RETRY_MS = 500
SLOW_STORE_CALL = from_ms(1000)  # a call that takes longer is logged
MAX_LIST_AGE = from_ms(
    1600
)  # since the platform was asked; a node with an older list asks the platform itself
MIN_LIST_AGE_CHECK_INTERVAL = from_ms(300)
MAX_REFRESH_JITTER = 1.2  # spreads the requests of the nodes over time
MIN_REFRESH_INTERVAL = from_ms(1600)


class Node:
    """One routing node: its context, its admission state and the queue of events for that state."""

    def __init__(self, ctx: Context):
        self.ctx = ctx
        self.name = f'{ctx.startup["name"]}-{ctx.rng.getrandbits(24):06x}'
        self.state = State()
        self.queue: Queue = Queue()
        self.pending_decisions: dict[str, asyncio.Future] = {}
        self.tasks: set = set()
        self.replica_sets: dict[str, list] = {}
        self.store_addresses: dict[str, str] = {}
        self.placement_version = 0
        self.fleet_id: str | None = None
        self.core_addresses: list[str] = list(ctx.startup['seeds'])
        self.core_primary: str | None = None
        self.register = register.EMPTY_REGISTER
        self.lease_duration = from_ms(ctx.startup['lease_ms']) if 'lease_ms' in ctx.startup else DEFAULT_LEASE
        self.watch = (
            Watch(silence_limit=from_ms(ctx.startup['silent_ms'])) if 'silent_ms' in ctx.startup else Watch()
        )
        self.placement_changed: asyncio.Future | None = None  # done when the placement has changed
        self.probe_leadership = probe_leadership.ProbeLeadership(ctx, self.name)
        self.ticks_needed = asyncio.Event()
        self.active_requests = 0
        self.background_calls = 0
        self.last_id = 0
        self.gateway: Any = None

    # ---- the admission state and its event loop

    def spawn(self, work: Any) -> Any:
        """Run a coroutine as a task that is cancelled when the node stops: `node.spawn(work())`."""
        task = asyncio.ensure_future(work)
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)
        return task

    def post_event(self, event: Any) -> None:
        """Queue an event for the admission state: `node.post_event(Tick())`."""
        self.queue.put_nowait(event)

    async def process_events(self) -> None:
        """Apply queued events in order; wake the clock when its next event has changed."""
        wake = None
        while True:
            self.handle_event(await self.queue.get())
            while not self.queue.empty():
                self.handle_event(self.queue.get_nowait())
            previous, wake = wake, waiting.next_expiry(self.state)
            if wake != previous or (
                admission_state.has_reported_load(self.state) and not self.ticks_needed.is_set()
            ):
                self.ticks_needed.set()

    def handle_event(self, event: Any) -> None:
        """Apply one event and carry out its effects."""
        for effect in self.step(event):
            kind = type(effect)
            if kind is Decision:
                self.deliver_decision(effect)
            elif kind is Count:
                self.ctx.journal.count(effect.name, effect.amount)
            elif kind is Note:
                self.ctx.journal.note(effect.kind, **effect.facts)

    def deliver_decision(self, decision: Decision) -> None:
        """Hand an admission decision to the request that waits for it."""
        future = self.pending_decisions.pop(decision.name, None)
        if future and not future.done():
            future.set_result(decision)
        elif decision.replica:  # the caller has disconnected: release the slot
            self.post_event(Leave(decision.name))

    def step(self, event: Any) -> tuple:
        """Return the effects of applying one event to the admission state.

        If that raises, the state stays as it was, so that the node goes on serving: the event is dropped, and
        the task of an `Arrive` is refused.
        """
        before, violated = self.state, self.ctx.journal.violated
        run = before.running_tasks.get(event.name) if type(event) is Leave else None
        try:
            self.state, effects = reducer.step(before, event, self.ctx.clock.now())
        except Exception as e:
            violated('owner_step', event=type(event).__name__, cause=f'{type(e).__name__}: {e}')
            if type(event) is not Arrive:
                return ()
            fault = Fault('no_replica', 'a fault of ours', wait_ms=STEP_FAULT_RETRY_MS)
            return (Decision(event.task.name, None, fault.pack()),)
        if self.state.generation < before.generation or self.state.epoch < before.epoch:
            violated('generation_forward', was=before.generation, now=self.state.generation)
        if run is not None and self.state.used_slots.get(run.replica, 0) < 0:
            violated('slots_balance', replica=run.replica, used=self.state.used_slots[run.replica])
        return effects

    async def run_clock(self) -> None:
        """Post a clock event every `TICK_INTERVAL`, and when a pending task can no longer end in time."""
        while True:
            self.post_event(Tick())
            self.ticks_needed.clear()
            wake_at = waiting.next_expiry(self.state)
            if wake_at is None and not admission_state.has_reported_load(self.state):
                await self.wait_until_needed()
                continue
            delay = (
                TICK_INTERVAL
                if wake_at is None
                else min(TICK_INTERVAL, wake_at - self.ctx.clock.now() + from_ms(1))
            )
            await self.ctx.clock.sleep(max(from_ms(1), delay))

    async def wait_until_needed(self) -> None:
        """Wait up to `IDLE_TICK_INTERVAL` until a task is pending or some state is due to expire."""
        timer = self.spawn(self.ctx.clock.sleep(IDLE_TICK_INTERVAL))
        wake_up = self.spawn(self.ticks_needed.wait())
        await wait_either(timer, wake_up)
        timer.cancel()
        wake_up.cancel()

    async def admit(self, task: Task, disconnected: asyncio.Future, retry: bool = False) -> str:
        """Return the replica that the task may be sent to; raises a Fault if refused, 'late' or 'gone'."""
        decided = self.pending_decisions[task.name] = asyncio.get_running_loop().create_future()
        self.post_event(Arrive(task, retry))
        try:
            await wait_either(decided, disconnected)
        finally:
            self.pending_decisions.pop(task.name, None)
            if not decided.done():
                self.post_event(Leave(task.name))
        if not decided.done():
            raise Fault('gone')
        decision = decided.result()
        if decision.fault and self.ctx.clock.now() > task.deadline:  # this process stalled meanwhile
            raise Fault('late', 'the node stalled until after the deadline', ran='no')
        if decision.fault:
            raise Fault.unpack(decision.fault)
        return decision.replica

    # ---- updates from the core

    async def poll_core(self) -> None:
        """Poll the core for updates, through a peer while the core cannot be reached directly."""
        clock, iteration, failures = self.ctx.clock, 0, 0
        avoided_until: dict[str, datetime] = {}  # core process -> end of its back-off after a failed poll
        while True:
            iteration += 1
            if failures >= 2 and iteration % 8 and self.watch.peers:
                if not await self.poll_through_peer(iteration):
                    # not reachable through a peer either: try the cores again
                    failures = 0
                    await clock.sleep(POLL_RETRY_DELAY)
                continue
            candidates = [
                c for c in self.core_addresses if avoided_until.get(c, clock.now()) <= clock.now()
            ] or self.core_addresses
            target = self.core_primary or candidates[iteration % len(candidates)]
            sent_at = clock.now()
            try:
                reply = await self.ctx.net.ask(target, self.poll_message(), POLL_TIMEOUT)
                self.apply_core_update(reply, sent_at)
            except Fault as e:
                self.ctx.journal.count(f'poll.{e.code}')
                primary = e.more.get('at') if e.code == 'core_away' else None
                self.core_primary = (
                    primary if primary and avoided_until.get(primary, clock.now()) <= clock.now() else None
                )
                if e.code in ('unreachable', 'lost', 'slow'):
                    failures += 1
                    avoided_until[target] = clock.now() + CORE_BACKOFF
                elif e.code == 'garbled':  # a seed of another role: it may know the core
                    await self.discover_core(target)
                if not self.core_primary:
                    await clock.sleep(POLL_RETRY_DELAY)
                continue
            failures = 0
            self.core_primary = target

    async def renew_lease(self) -> None:
        """While the core does not renew the lease, renew it from a majority of the registered stores."""
        delay = RENEW_INITIAL_DELAY
        while True:
            min_remaining = self.lease_duration * RENEW_LEASE_FRACTION
            remaining = self.state.lease - self.ctx.clock.now() if self.state.lease else min_remaining
            await self.ctx.clock.sleep(
                max(RENEW_INTERVAL, remaining - min_remaining) if self.state.lease else delay
            )
            lease, now = self.state.lease, self.ctx.clock.now()
            if (lease is None or lease - now < min_remaining) and self.register['now']:
                await self.renew_from_stores()
                delay = min(delay * 2, RENEW_INTERVAL)

    async def renew_from_stores(self) -> None:
        """Ask every registered store for a renewal, and apply the newest record if a majority has replied."""
        sent_at = self.ctx.clock.now()
        stores = {**self.register['old'], **self.register['now']}
        replies = await asyncio.gather(*[self.request_renewal(n, a) for n, a in sorted(stores.items())])
        replies = {n: r for n, r in zip(sorted(stores), replies, strict=False) if r is not None}
        records = {n: register.decode_record(r['word']) for n, r in replies.items()}
        self.register, newest = register.read_quorum(self.register, records)
        if newest is None:
            self.ctx.journal.count('renew.short')
            return
        self.ctx.journal.count('renewed')
        for reply in replies.values():
            self.apply_placement(reply)
        any_reply = next(iter(replies.values()))
        self.fleet_id = self.fleet_id or any_reply['fleet']
        update = {
            'generation': newest.generation,
            'epoch': max(self.state.epoch, newest.epoch),
            'live': newest.routing_nodes if self.state.lease is None else self.state.live_nodes,
        }
        if newest.policy is not None:
            update.update(policy=newest.policy, leaving=newest.leaving)
        lease = min(from_ms(reply['lease_ms']) for reply in replies.values())
        self.post_event(News(update, sent_at + lease))

    async def request_renewal(self, name: str, address: str) -> dict | None:
        """Return one store's reply; None if it did not reply or belongs to another fleet."""
        message = {
            'k': 'renew',
            'to': name,
            'node': self.name,
            'generation': self.state.generation,
            'number': self.register['number'],
            'place': self.placement_version,
        }
        try:
            reply = await self.ctx.net.ask(address, message, RENEW_TIMEOUT)
        except Fault as e:
            self.ctx.journal.count(f'renew.{e.code}')
            return None
        return reply if self.fleet_id in (None, reply['fleet']) else None

    async def discover_core(self, seed: str) -> None:
        """Ask a process of the fleet for the addresses of the core."""
        try:
            reply = await self.ctx.net.ask(seed, {'k': 'who'}, POLL_TIMEOUT)
        except Fault:
            return
        if reply.get('core'):
            self.core_addresses, self.core_primary = reply['core'], reply.get('at')

    async def poll_through_peer(self, iteration: int) -> bool:
        """Poll the core through a peer and apply its update; return whether one came."""
        sent_at = self.ctx.clock.now()
        peers = sorted(self.watch.peers.values())
        if peers:
            try:
                reply = await self.ctx.net.ask(
                    peers[iteration % len(peers)],
                    {'k': 'relay', 'message': self.poll_message()},
                    POLL_TIMEOUT,
                )
                self.apply_core_update(reply, sent_at)
                self.ctx.journal.count('poll.relayed')
                return True
            except Fault as e:
                self.ctx.journal.count(f'relay.{e.code}')
        return False

    async def watch_peers(self) -> None:
        """Ping the peers that the core has assigned to this node, to detect their failure."""
        while True:
            self.watch, pings = watch.due_pings(self.watch, self.ctx.clock.now())
            for name, address in pings:
                self.spawn(self.ping_peer(name, address))
            await self.ctx.clock.sleep(self.watch.silence_limit / 3)

    async def run_probe_leadership(self) -> None:
        """While replicas are suspected, campaign for a vacant probe leadership, and probe them as leader."""
        while True:
            await self.probe_leadership.has_suspects.wait()
            await self.ctx.clock.sleep(probe_leadership.CHECK_INTERVAL)
            leading = self.probe_leadership.is_leader()
            if (not leading and self.probe_leadership.leader is None) or (
                leading and self.probe_leadership.term_end - self.ctx.clock.now() < probe_leadership.TERM / 2
            ):
                await self.ctx.clock.sleep(probe_leadership.CHECK_INTERVAL * self.ctx.rng.random())
                await self.probe_leadership.campaign(self.core_addresses)
            if self.probe_leadership.is_leader():
                addresses = {
                    r: v['address']
                    for p in self.state.policy.get('pools', {}).values()
                    for r, v in p['replicas'].items()
                }
                for replica in self.probe_leadership.replicas_to_probe():
                    if replica in addresses:
                        self.spawn(self.probe_leadership.probe(replica, addresses[replica]))

    async def ping_peer(self, name: str, address: str) -> None:
        """Ping one peer and record its reply."""
        try:
            reply = await self.ctx.net.ask(address, {'k': 'who'}, from_ms(watch.PING_TIMEOUT_MS))
        except Fault:
            return
        self.watch = watch.record_ping(self.watch, name, reply, self.ctx.clock.now())

    async def refresh_replica_list(self) -> None:
        """Ask the platform for the list of replicas while this node's list is too old.

        The core may be down, or partitioned from the platform.
        """
        clock, refreshed_at = self.ctx.clock, None
        interval = from_ms(150)  # after a start nothing can be served until there is a list
        while self.ctx.lister:
            await clock.sleep(
                interval * self.ctx.rng.random()
                if refreshed_at is None
                else interval * (MAX_REFRESH_JITTER - 0.4 * self.ctx.rng.random())
            )
            now = clock.now()
            interval = max(MIN_LIST_AGE_CHECK_INTERVAL, self.listing_time_left(now) / MAX_REFRESH_JITTER)
            if refreshed_at is None and self.state.listing:
                refreshed_at = now
                continue
            max_rate = self.ctx.startup.get('list_per_s', 10)
            # all nodes together use at most half of the permitted rate
            min_interval = max(MIN_REFRESH_INTERVAL, timedelta(seconds=2 * self.state.live_nodes / max_rate))
            if self.is_listing_fresh(now) or refreshed_at and now - refreshed_at < min_interval:
                continue
            refreshed_at = now
            try:
                self.post_event(Listing(await self.ctx.lister.poll()))
            except Fault as e:
                self.ctx.journal.count(f'list.{e.code}')

    def poll_message(self) -> dict:
        """Return the message that polls the core: what this node has and what it reports."""
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
            'place': self.placement_version,
            'pressure': admission_state.demand(state),
            'has': admission_state.slot_usage(state),
            'doubts': sorted(self.state.ejections),
            'failing': replica_health.failure_ages(state, now),
            'serving': replica_health.success_ages(state, self.probe_leadership.suspected_replicas, now),
            'outcomes': replica_health.reported_outcomes(state, now),
            'reports': self.probe_leadership.reports if self.probe_leadership.is_leader() else {},
            'suspects': watch.suspects(self.watch, self.ctx.clock.now()),
            'listing': listing.to_wire(
                {k: state.listing[k] for k in ('at', 'digest') if k in state.listing}, self.ctx.clock.now()
            ),
            'facts': {
                'http': self.ctx.startup.get('http') or self.ctx.startup.get('gateway'),
                'clock': self.ctx.clock.wall().timestamp(),
                'draining': state.draining,
                'down': sorted(state.ejections),
                'used': {r: n for r, n in state.used_slots.items() if n},
                'program_failures': self.ctx.startup.get('program_failures', 0),
            },
        }

    def apply_core_update(self, reply: dict, sent_at: datetime) -> None:
        """Apply the core's reply to a poll: `node.apply_core_update(reply, sent_at)`."""
        if self.fleet_id is not None and reply['fleet'] != self.fleet_id:
            self.ctx.journal.count('news.stranger')
            return
        if reply['epoch'] < self.state.epoch:
            self.ctx.journal.count('news.old')
            return
        reply = with_unpacked_policy(reply)
        self.fleet_id = reply['fleet']
        self.core_addresses = reply['core']
        self.watch = watch.with_peers(self.watch, reply, self.ctx.clock.now())
        self.apply_placement(reply)
        if reply.get('register', self.register)['number'] > self.register['number']:
            self.register = reply['register']
        self.probe_leadership.apply_core_update(reply)
        for replica, succeeded in reply.get('reports', {}).items():
            self.post_event(Report(replica, succeeded))
        self.apply_listing(reply, sent_at)
        self.post_event(News(reply, sent_at + from_ms(reply['lease_ms'])))

    def apply_listing(self, reply: dict, sent_at: datetime) -> None:
        """Apply the core's list of replicas, or its confirmation that this node's list is still current.

        Its age counts from when the poll was sent, so it is never underestimated.
        """
        if 'listing' in reply:
            self.post_event(Listing(listing.from_wire(reply['listing'], sent_at)))
        confirmed = listing.from_wire(reply.get('listing_seen') or {}, sent_at)
        current = self.state.listing
        if confirmed and confirmed['digest'] == current.get('digest') and confirmed['at'] > current['at']:
            self.post_event(Listing({**current, 'at': confirmed['at']}))

    def is_listing_fresh(self, now: datetime) -> bool:
        """Return True if this node's list, whatever its source, is not older than `MAX_LIST_AGE`."""
        return self.listing_time_left(now) > timedelta(0)

    def listing_time_left(self, now: datetime) -> timedelta:
        """Return for how long this node's list is still fresh; zero or less if it is too old or missing."""
        current = self.state.listing
        return timedelta(seconds=current['at'] - now.timestamp()) + MAX_LIST_AGE if current else timedelta(0)

    def apply_placement(self, reply: dict) -> None:
        """Apply the placement of the partitions, if it is newer: `node.apply_placement(reply)`."""
        if 'seats' not in reply or reply['place'] <= self.placement_version:
            return
        for partition, replica_set in reply['seats'].items():
            if partition not in self.replica_sets or replica_set[0] >= self.replica_sets[partition][0]:
                self.replica_sets[partition] = replica_set
        self.store_addresses = reply['book']
        self.placement_version = reply['place']
        if self.placement_changed and not self.placement_changed.done():
            self.placement_changed.set_result(None)
        self.placement_changed = None

    # ---- calls to the stores

    async def call_store(self, key: str, command: dict, deadline: datetime, code: str = 'store_away') -> dict:
        """Return the reply of the store that holds the key; raises Fault `code` if none came by the deadline.

        The command is retried, so it must be idempotent.
        """
        while not self.replica_sets:
            remaining = deadline - self.ctx.clock.now()
            if remaining <= timedelta(0):
                raise Fault(code, 'no store is known', wait_ms=1000)
            await self.ctx.clock.sleep(min(STORE_RETRY_DELAY, remaining))
        return await self.call_partition(partition_of(key, len(self.replica_sets)), command, deadline, code)

    async def call_partition(
        self, partition: str, command: dict, deadline: datetime, code: str = 'store_away'
    ) -> dict:
        """Return the reply of a partition's primary; raises Fault `code` if none came by the deadline:
        `await node.call_partition('p00', {...}, deadline)`."""
        clock = self.ctx.clock
        start, failed_attempts = clock.now(), []
        while True:
            remaining = deadline - clock.now()
            if clock.now() - start > SLOW_STORE_CALL and failed_attempts is not None:
                self.ctx.journal.note(
                    'store_slow',
                    part=partition,
                    op=command['op'],
                    seat=self.replica_sets.get(partition),
                    tries=failed_attempts,
                )
                failed_attempts = None
            if remaining <= timedelta(0):
                raise Fault(code, 'no store returned in time', wait_ms=1000)
            replica_set = self.replica_sets.get(partition)
            address = self.store_addresses.get(replica_set[2]) if replica_set else None
            if address:
                try:
                    reply = await self.call_primary(
                        partition, replica_set, address, command, min(remaining, STORE_TIMEOUT)
                    )
                    if reply is None:  # the partition has moved meanwhile: ask its new primary
                        self.ctx.journal.count('store.left')
                        continue
                    return reply
                except Fault as e:
                    if e.code not in RETRIED_FAULTS:
                        raise
                    self.ctx.journal.count(f'store.{e.code}')
                    if failed_attempts is not None:
                        failed_attempts.append(f'{e.code} {address}')
                    newer_set = e.more.get('seat') if e.code == 'moved' else None
                    if newer_set and newer_set[0] > replica_set[0]:
                        self.replica_sets[partition] = newer_set
                        continue
            await clock.sleep(min(STORE_RETRY_DELAY, remaining))

    async def call_primary(
        self, partition: str, replica_set: list, address: str, command: dict, timeout: timedelta
    ) -> dict | None:
        """Return the reply of a partition's primary; None if the partition has moved before a reply came."""
        call = asyncio.ensure_future(
            self.ctx.net.ask(address, {'k': 'op', 'part': partition, 'command': command}, timeout)
        )
        try:
            while True:
                if self.placement_changed is None:
                    self.placement_changed = asyncio.get_running_loop().create_future()
                await asyncio.wait((call, self.placement_changed), return_when=asyncio.FIRST_COMPLETED)
                if call.done():
                    return call.result()
                if self.replica_sets[partition] != replica_set:
                    return None
        finally:
            if not call.done():
                call.cancel()

    async def call_store_in_background(self, key: str, command: dict) -> None:
        """Retry a command whose outcome no caller waits for any more, for up to `BACKGROUND_CALL_LIMIT`."""
        self.background_calls += 1
        try:
            await self.call_store(key, command, self.ctx.clock.now() + BACKGROUND_CALL_LIMIT)
        except Fault as e:
            self.ctx.journal.count(f'settle.{e.code}')
        finally:
            self.background_calls -= 1

    def next_id(self) -> str:
        """Return an id that is unique in the fleet."""
        self.last_id += 1
        return f'{self.name}.{self.last_id}'

    # ---- model turns and service calls

    async def serve_turn(self, data: bytes, response: Any) -> None:
        """Serve one model turn, from the request body to the end of the response."""
        clock, received_at = self.ctx.clock, self.ctx.clock.now()
        request = read_turn(data)
        policy = self.state.policy
        if not policy:
            raise Fault('no_lease', 'no policy has been received yet', wait_ms=1500)
        route = policy['routes'].get(request.route)
        if route is None:
            raise Fault('no_route', f'no route {request.route!r}', (('route', 'is not in the policy'),))
        class_name = request.class_name or route['class']
        if class_name != route['class']:
            raise Fault(
                'invalid',
                '1 finding',
                (('class', f'route {request.route!r} is of class {route["class"]!r}'),),
            )
        time_limit = from_ms(
            request.deadline_ms or route.get('deadline_ms') or policy['classes'][class_name]['deadline_ms']
        )
        deadline = received_at + time_limit
        max_tokens = request.max_tokens or route.get('max_tokens') or DEFAULT_MAX_TOKENS
        previous = turn_ids.decode(request.continues) if request.continues else None
        program = request.program or (previous.program if previous else f'g-{self.next_id()}')
        if previous and previous.program != program:
            raise Fault('invalid', '1 finding', (('continues', 'is a turn of another program'),))
        turn_retention_s = policy.get('keeping_s', DEFAULT_TURN_RETENTION_S)
        prompt_tokens = request.prompt_tokens + (previous.tokens if previous else 0)
        task_id = self.next_id()
        task = Task(
            task_id,
            request.route,
            class_name,
            route['pool'],
            prompt_tokens + max_tokens,
            deadline,
            received_at,
            policy['classes'][class_name].get('urgent', False),
            request.shared_prefix or request.route,
            previous.replica if previous else '',
            prior_service_time=from_ms(route['service_ms'])
            if 'service_ms' in route
            else time_limit * SERVICE_TIME_FRACTION,
        )
        self.check_rules(
            policy,
            {
                'kind': 'turn',
                'route': request.route,
                'class': class_name,
                'pool': route['pool'],
                'program': program,
                'urgent': task.urgent,
                'continues': previous is not None,
                'prompt_tokens': prompt_tokens,
                'max_tokens': max_tokens,
                'deadline_ms': ms(time_limit),
            },
        )
        replica = await self.admit(task, response.disconnected)
        turn_id = turn_ids.encode(
            turn_ids.TurnId(
                program, clock.wall(), prompt_tokens + max_tokens, replica, task_id.replace('~', '-')
            )
        )
        used_tokens, piece_count, duration, recorded, started_at, error = 0, 0, None, False, clock.now(), None
        pieces: list[str] = []
        headers_sent = tokens_reserved = may_have_run = False
        try:
            history, conversation = await self.begin_turn(
                request, program, turn_id, max_tokens, task, replica, turn_retention_s
            )
            tokens_reserved = True
            started_at = clock.now()
            attempts = 0
            while True:
                attempts += 1
                may_retry = attempts < admission_state.settings(self.state)['rounds'] and route.get(
                    'repeat', True
                )
                try:
                    async for kind, piece in self.attempt_turn(
                        replica,
                        task,
                        request,
                        history,
                        prompt_tokens,
                        max_tokens,
                        deadline,
                        response.disconnected,
                        may_retry,
                    ):
                        if kind == 'piece':
                            if not piece_count:
                                self.post_event(Credit(task_id, prompt_tokens))
                            used_tokens, piece_count = used_tokens + piece['tokens'], piece_count + 1
                            self.post_event(Credit(task_id, piece['tokens']))
                            pieces.append(piece['text'])
                            if request.stream:
                                if not headers_sent:
                                    headers_sent = True
                                    await response.head(200, {'X-Turn-Id': turn_id})
                                await response.send_line(
                                    {
                                        'piece': piece_count - 1,
                                        'text': piece['text'],
                                        'tokens': piece['tokens'],
                                    }
                                )
                    break
                except Fault as e:
                    if (
                        headers_sent
                        or not may_retry
                        or e.code not in ('unreachable', 'lost', 'slow', 'replica_failed')
                    ):
                        raise
                    may_have_run = may_have_run or e.code != 'unreachable'
                    self.post_event(Leave(task_id, (prompt_tokens + used_tokens) if piece_count else 0))
                    used_tokens, piece_count, pieces = 0, 0, []
                    task, replica = await self.readmit(task, replica, response.disconnected, e)
            duration = clock.now() - started_at
            record = {
                'program': program,
                'prev': request.continues,
                'conv': conversation,
                'prompt': request.prompt,
                'text': ''.join(pieces),
                'at': clock.wall().timestamp(),
            }
            await self.call_store(
                program,
                {
                    'op': 'end',
                    'program': program,
                    'turn': turn_id,
                    'used': used_tokens,
                    'keep': record,
                    'keeping_s': turn_retention_s,
                },
                max(deadline, clock.now() + STORE_TIMEOUT),
                'not_kept',
            )
            recorded = True
            totals = {
                'turn': turn_id,
                'program': program,
                'pieces': piece_count,
                'usage': {'prompt_tokens': prompt_tokens, 'completion_tokens': used_tokens},
                'rounds': attempts,
            }
            if request.stream:
                if not headers_sent:
                    await response.head(200, {'X-Turn-Id': turn_id})
                await response.send_line({'end': True, **totals})
                await response.end()
            else:
                await response.respond(200, {'text': ''.join(pieces), **totals}, {'X-Turn-Id': turn_id})
            self.ctx.journal.count('turns.done' if clock.now() <= deadline else 'turns.late')
        except StreamClosedError:
            error = Fault('gone')
        except Fault as e:
            error = (
                e
                if not piece_count or e.code in ('gone', 'late', 'not_kept')
                else Fault('replica_failed', f'the stream broke off: {e.code}', ran='yes')
            )
        finally:
            self.post_event(Leave(task_id, (prompt_tokens + used_tokens) if piece_count else 0, duration))
            if tokens_reserved and not recorded:
                self.spawn(
                    self.call_store_in_background(
                        program,
                        {
                            'op': 'end',
                            'program': program,
                            'turn': turn_id,
                            'used': used_tokens if request.stream or not error or error.code == 'gone' else 0,
                        },
                    )
                )
        if error is None:
            return
        if may_have_run and error.ran == 'no':  # an earlier attempt may have run, so this is no refusal
            error = Fault('replica_failed', f'a round was lost, and then: {error.code}')
        self.ctx.journal.count(f'failed.{error.code}')
        if used_tokens and error.code != 'not_kept':
            self.ctx.journal.count('tokens.abandoned', prompt_tokens + used_tokens)
        if headers_sent:
            if error.code != 'gone':
                await response.send_line({'error': error.problem('/v1/turns'), 'pieces': piece_count})
                await response.end()
            return
        raise error

    def check_rules(self, policy: dict, facts: dict) -> None:
        """Raise Fault 'ruled_out' if a rule of the policy refuses the request; called after other checks."""
        if not policy.get('rules'):
            return
        from quillstall.configuration import rules  # imported late: its library is slow to load

        matched = rules.evaluate(policy['rules'], facts)
        if matched:
            self.ctx.journal.count(f'ruled_out.{matched[0]}')
            raise Fault('ruled_out', f'{matched[0]}: {matched[1]}')

    async def readmit(
        self, task: Task, replica: str, disconnected: asyncio.Future, fault: Fault
    ) -> tuple[Task, str]:
        """Admit a task to another replica after a failed attempt; raises `fault` if there is none."""
        task = task._replace(excluded_replicas=task.excluded_replicas + (replica,))
        try:
            return task, await self.admit(task, disconnected, retry=True)
        except Fault as e:
            raise (e if e.code == 'gone' else fault) from fault

    async def begin_turn(
        self,
        request: TurnRequest,
        program: str,
        turn_id: str,
        max_tokens: int,
        task: Task,
        replica: str,
        turn_retention_s: int,
    ) -> tuple[list, str]:
        """Reserve the turn's tokens, durably on two stores; return its history and its conversation.

        Raises Fault 'turn_expired' if the turn that it continues is no longer retained.
        """
        clock = self.ctx.clock
        command = {
            'op': 'begin',
            'program': program,
            'turn': turn_id,
            'budget': request.budget,
            'hold': max_tokens,
            'continues': request.continues,
            'span_s': (task.deadline - clock.now()).total_seconds(),
        }
        try:
            reply = await self.call_store(
                program, command, task.deadline - service_time.required_time(self.state, task, replica)
            )
            return reply['history'], reply['conv']
        except Fault as e:
            if e.code == 'turn_unknown':
                issued_at = turn_ids.decode(request.continues).issued_at
                if clock.wall() - issued_at > timedelta(seconds=turn_retention_s):
                    raise Fault('turn_expired', f'turns are retained for {turn_retention_s} s') from e
            if e.code == 'store_away':  # the tokens may be reserved: release them, the turn is not sent
                self.spawn(
                    self.call_store_in_background(
                        program, {'op': 'end', 'program': program, 'turn': turn_id, 'used': 0}
                    )
                )
            raise

    async def attempt_turn(
        self,
        replica: str,
        task: Task,
        request: TurnRequest,
        history: list,
        prompt_tokens: int,
        max_tokens: int,
        deadline: datetime,
        disconnected: asyncio.Future,
        may_retry: bool,
    ) -> Any:
        """Yield the pieces of one attempt of a turn on one replica; raises a Fault if the attempt fails."""
        clock, state = self.ctx.clock, self.state
        remaining = deadline - clock.now()
        if not admission_state.may_send(state, task.pool, replica, clock.now()):
            raise Fault('unreachable', 'the replica may not get new work')
        if remaining < service_time.required_time(state, task, replica):
            raise Fault(
                'hopeless',
                'dropped before it was sent',
                wait_ms=admission_state.settings(state)['retry_floor_ms'],
            )
        address = state.policy['pools'][task.pool]['replicas'][replica]['address']
        expected = min(service_time.expected(state, task), max(task.prior_service_time, remaining / 2))
        first_piece_limit = max(remaining - expected, expected * 2) if may_retry else remaining
        body = {
            'route': request.route,
            'prompt': request.prompt,
            'history': history,
            'prompt_tokens': prompt_tokens,
            'max_tokens': max_tokens,
            'shared': request.shared_prefix,
            'program': task.name,
        }
        self.ctx.journal.count('rounds')
        exchange = self.ctx.web.open(
            address,
            'POST',
            '/turn',
            body,
            {
                'X-Deadline-Ms': str(max(1, ms(remaining))),
                'X-Task': task.name,
                'X-Generation': str(state.generation),
            },
            remaining,
        )
        status, ended, piece_count = 0, False, 0
        max_pieces = max_tokens + EXTRA_PIECES
        try:
            while True:
                timeout = (
                    deadline - clock.now() if piece_count else min(first_piece_limit, deadline - clock.now())
                )
                item = await self.next_item(exchange, timeout, disconnected)
                if item[0] == 'head':
                    status = item[1]
                elif item[0] == 'line' and status == 200:
                    line = item[1]
                    if ended or not isinstance(line, dict):
                        raise Fault('replica_failed', 'a line that is no piece')
                    if line.get('done'):
                        ended = True
                    elif line.get('piece') != piece_count or piece_count >= max_pieces:
                        raise Fault('replica_failed', 'pieces out of order, or too many')
                    else:
                        piece_count += 1
                        yield 'piece', line
                elif item[0] == 'end':
                    if status == 503:
                        raise Fault('unreachable', 'the replica refused the request')
                    if item[1] is not None or status != 200 or not ended:
                        raise Fault(
                            item[1] or 'replica_failed', f'{replica}: status {status}, {piece_count} pieces'
                        )
                    self.post_event(Health(replica, True))
                    return
        except Fault as e:
            past_deadline = clock.now() >= deadline
            if e.code != 'gone' and not (past_deadline and piece_count):
                self.post_event(Health(replica, False))
            if e.code == 'slow' and past_deadline:
                raise Fault('late', f'{piece_count} pieces by the deadline') from e
            raise
        finally:
            exchange.abort()

    async def next_item(self, exchange: Any, timeout: timedelta, disconnected: asyncio.Future) -> tuple:
        """Return the next item of an exchange; raises Fault 'slow' on a timeout, 'gone' on a disconnect."""
        read = asyncio.ensure_future(exchange.next())
        try:
            async with asyncio.timeout(max(0.0, timeout.total_seconds())):
                await wait_either(read, disconnected)
        except TimeoutError as e:
            raise Fault('slow', 'the replica sent nothing in time') from e
        finally:
            if not read.done():
                read.cancel()
        if not read.done() or read.cancelled():
            raise Fault('gone')
        return read.result()

    async def serve_call(self, service: str, path: str, request: Any, response: Any) -> None:
        """Serve one call to a service. A call that may not be repeated is sent at most once."""
        clock, received_at = self.ctx.clock, self.ctx.clock.now()
        policy = self.state.policy
        idempotency_key = read_key(request.headers.get('idempotency-key'))
        if not policy and idempotency_key:  # it may have run through another node, so this is no refusal
            raise Fault('outcome_unknown', 'this node cannot look up the key yet', wait_ms=1500)
        if not policy:
            raise Fault('no_lease', 'no policy has been received yet', wait_ms=1500)
        service_policy = policy.get('services', {}).get(service)
        path_policy = service_policy['paths'].get(path) if service_policy else None
        if path_policy is None:
            raise Fault(
                'no_service',
                f'{service}{path} is not in the policy',
                ran='unknown' if idempotency_key else '',
            )
        time_limit = from_ms(
            read_deadline_ms(request.headers.get('x-deadline-ms'))
            or path_policy.get('deadline_ms')
            or policy['classes'][service_policy['class']]['deadline_ms']
        )
        deadline, at_most_once, task_id = received_at + time_limit, not path_policy['repeat'], self.next_id()
        record_key = f'{service}{path} {idempotency_key}' if at_most_once and idempotency_key else None
        if record_key:
            digest = hashlib.blake2b(
                request.method.encode() + b' ' + request.body, digest_size=16
            ).hexdigest()
            if await self.claim(
                record_key,
                digest,
                task_id,
                received_at + time_limit * (1 - SERVICE_TIME_FRACTION),
                policy,
                response,
            ):
                return
        class_name = service_policy['class']
        task = Task(
            task_id,
            f'{service}{path}',
            class_name,
            service_policy['pool'],
            1,
            deadline,
            received_at,
            policy['classes'][class_name].get('urgent', False),
            service,
            prior_service_time=from_ms(path_policy['service_ms'])
            if 'service_ms' in path_policy
            else time_limit * SERVICE_TIME_FRACTION,
        )
        sent = completed = may_have_run = False
        # a keyed operation runs to its end for its record, even if its caller disconnects
        disconnected = asyncio.get_running_loop().create_future() if record_key else response.disconnected
        duration, started_at, reply = None, clock.now(), None
        attempts = 0
        try:
            self.check_rules(
                policy,
                {
                    'kind': 'call',
                    'service': service,
                    'path': path,
                    'class': class_name,
                    'pool': service_policy['pool'],
                    'urgent': task.urgent,
                    'keyed': idempotency_key is not None,
                    'deadline_ms': ms(time_limit),
                },
            )
            replica = await self.admit(task, response.disconnected)
            started_at = clock.now()
            while True:
                attempts += 1
                try:
                    if not admission_state.may_send(self.state, task.pool, replica, clock.now()):
                        raise Fault('unreachable', 'the replica may not get new work')
                    sent = True
                    reply = await self.attempt_call(
                        replica, task, path, request, deadline, disconnected, at_most_once
                    )
                    break
                except Fault as e:
                    if e.code == 'unreachable':
                        sent = False
                    if (
                        e.code == 'gone'
                        or (e.code != 'unreachable' and at_most_once)
                        or (attempts >= admission_state.settings(self.state)['rounds'])
                    ):
                        raise
                    may_have_run = may_have_run or e.code != 'unreachable'
                    self.post_event(Leave(task_id))
                    task, replica = await self.readmit(task, replica, response.disconnected, e)
            duration = clock.now() - started_at
            if record_key:
                await self.call_store(
                    record_key,
                    {'op': 'once_end', 'key': record_key, 'run': task_id, 'ret': reply},
                    max(deadline, clock.now() + STORE_TIMEOUT),
                    'outcome_unknown',
                )
            completed = True
        except Fault as e:
            if record_key and not sent:  # it certainly never ran: record that before refusing
                try:
                    await self.call_store(
                        record_key,
                        {'op': 'once_end', 'key': record_key, 'run': task_id, 'void': True},
                        clock.now() + STORE_TIMEOUT,
                    )
                except Fault as store_fault:
                    self.spawn(
                        self.call_store_in_background(
                            record_key, {'op': 'once_end', 'key': record_key, 'run': task_id, 'void': True}
                        )
                    )
                    raise Fault(
                        'outcome_unknown', 'it did not run, but that could not be recorded', wait_ms=1000
                    ) from store_fault
            elif record_key and reply is not None:
                self.spawn(
                    self.call_store_in_background(
                        record_key, {'op': 'once_end', 'key': record_key, 'run': task_id, 'ret': reply}
                    )
                )
            if may_have_run and e.ran == 'no':  # an earlier attempt may have run, so this is no refusal
                raise Fault('replica_failed', f'an attempt was lost, and then: {e.code}') from e
            if e.code == 'unreachable':
                raise Fault('no_replica', 'no replica could be reached', wait_ms=1000) from e
            if at_most_once and sent and e.code in ('lost', 'slow', 'late', 'replica_failed'):
                raise Fault('outcome_unknown', f'sent, and then: {e.code}') from e
            if e.code == 'slow' or e.code == 'lost':
                raise Fault('late' if clock.now() >= deadline else 'replica_failed', e.text) from e
            raise
        finally:
            self.post_event(Leave(task_id, 1 if completed else 0, duration))
        self.ctx.journal.count('calls.done' if clock.now() <= deadline else 'calls.late')
        await write_reply(response, reply)

    async def claim(
        self, record_key: str, digest: str, run: str, deadline: datetime, policy: dict, response: Any
    ) -> bool:
        """Record a keyed operation as begun, durably on two stores.

        Returns True if the caller was sent the response of an earlier run; raises a Fault if an earlier run
        has not ended or its outcome is unknown.
        """
        kept_until = (
            self.ctx.clock.wall() + timedelta(seconds=policy.get('once_keeping_s', DEFAULT_KEY_RETENTION_S))
        ).timestamp()
        command = {'op': 'once_begin', 'key': record_key, 'digest': digest, 'run': run, 'until': kept_until}
        try:
            reply = await self.call_store(record_key, command, deadline, 'outcome_unknown')
        except Fault as e:
            if e.code in ('outcome_unknown', 'store_away'):  # the claim may be recorded: this run is void
                self.spawn(
                    self.call_store_in_background(
                        record_key, {'op': 'once_end', 'key': record_key, 'run': run, 'void': True}
                    )
                )
                raise Fault(
                    'outcome_unknown', 'the record of this key cannot be read now', wait_ms=1000
                ) from e
            raise
        if reply['state'] == 'fresh':
            return False
        if reply['state'] == 'done':
            self.ctx.journal.count('once.replayed')
            await write_reply(response, reply['ret'], {'Idempotency-Replayed': 'true'})
            return True
        self.ctx.journal.count('once.unknown')
        # a delayed copy of this claim must not claim the key once the other run is over
        self.spawn(
            self.call_store_in_background(
                record_key, {'op': 'once_end', 'key': record_key, 'run': run, 'void': True}
            )
        )
        if reply['age_s'] < MAX_RUN_TIME.total_seconds():
            raise Fault('once_running', 'started and not yet ended; retry with the same key', wait_ms=1000)
        raise Fault('outcome_unknown', 'started before, with an unknown outcome; it will not be run again')

    async def attempt_call(
        self,
        replica: str,
        task: Task,
        path: str,
        request: Any,
        deadline: datetime,
        disconnected: asyncio.Future,
        at_most_once: bool,
    ) -> dict:
        """Return the complete response of one attempt on one replica; raises a Fault if the attempt fails."""
        clock = self.ctx.clock
        address = self.state.policy['pools'][task.pool]['replicas'][replica]['address']
        remaining = deadline - clock.now()
        headers = {
            'X-Deadline-Ms': str(max(1, ms(remaining))),
            'X-Task': task.name,
            'X-Generation': str(self.state.generation),
            'Content-Type': request.headers.get('content-type', 'application/json'),
        }
        if 'idempotency-key' in request.headers:
            headers['Idempotency-Key'] = request.headers['idempotency-key']
        self.ctx.journal.count('rounds')
        body = request.body if request.method != 'GET' else None
        exchange = self.ctx.web.open(
            address, request.method, path, body, headers, remaining, at_most_once, True
        )
        status, content_type, response_body = 0, 'application/json', b''
        try:
            while True:
                item = await self.next_item(exchange, deadline - clock.now(), disconnected)
                if item[0] == 'head':
                    status, content_type = item[1], item[2].get('content-type', content_type)
                elif item[0] == 'data':
                    response_body += item[1]
                elif item[1] is not None:
                    raise Fault(item[1], f'{replica} sent an incomplete response')
                elif status == 503:
                    raise Fault('unreachable', 'the replica refused the request')
                elif status >= 500:
                    raise Fault('replica_failed', f'{replica} answered {status}')
                else:
                    self.post_event(Health(replica, True))
                    return {'status': status, 'kind': content_type, 'data': response_body}
        except Fault as e:
            if e.code != 'gone':
                self.post_event(Health(replica, False))
            raise
        finally:
            exchange.abort()

    # ---- the HTTP API, messages of other processes, start and stop

    async def serve(self, request: Any, response: Any) -> None:
        """Serve one HTTP request: `await node.serve(request, response)`."""
        path = request.path.partition('?')[0]
        self.active_requests += 1
        try:
            if path == '/v1/turns':
                if request.method != 'POST':
                    raise Fault('wrong_method', 'turns accept only POST')
                await self.serve_turn(request.body, response)
            elif path.startswith('/v1/services/'):
                service, _, rest = path[len('/v1/services/') :].partition('/')
                await self.serve_call(service, '/' + rest, request, response)
            elif path == '/v1/counters':
                await response.respond(
                    200,
                    {
                        'counters': dict(sorted(self.ctx.journal.counts.items())),
                        'pressure': admission_state.demand(self.state),
                    },
                )
            elif path == '/v1/journal':
                await response.respond(200, {'lines': list(self.ctx.journal.lines)})
            elif path == '/v1/status':
                await response.respond(200, self.status())
            elif path == '/v1/failures':
                await response.respond(
                    200, {'failures': self.gateway.failures.as_json() if self.gateway else []}
                )
            elif path == '/metrics':
                data = metrics.exposition(self.ctx.journal.counts, self.gauges())
                await response.respond_bytes(200, data, metrics.CONTENT_TYPE)
            else:
                raise Fault('not_found', path)
        except Fault as e:
            if e.code == 'gone':
                return
            if e.code in ('unreachable', 'lost', 'slow'):
                e = Fault('no_replica' if e.code == 'unreachable' else 'replica_failed', e.text, wait_ms=1000)
            wait_ms = e.wait_ms if e.wait_ms is not None else 1000 if e.status == 503 else None
            e.wait_ms = wait_ms
            headers = {'Retry-After': refusal.retry_after(wait_ms)} if wait_ms is not None else {}
            try:
                await response.respond(e.status, e.problem(path), headers)
            except StreamClosedError:
                pass
        except StreamClosedError:
            pass
        finally:
            self.active_requests -= 1

    def status(self) -> dict:
        """Return the node's status as JSON shows it: `node.status()`."""
        state, now = self.state, self.ctx.clock.now()
        return {
            'node': self.name,
            'zone': self.ctx.startup['zone'],
            'generation': state.generation,
            'leased': admission_state.leased(state, now),
            'epoch': state.epoch,
            'leaving': sorted(state.leaving),
            'allot': state.allocation,
            'used': dict(state.used_slots),
            'draining': state.draining,
            'down': sorted(state.ejections),
            'live': state.live_nodes,
            'parts': len(self.replica_sets),
            'service_ms': {r: ms(s.expected) for r, s in state.service_times.items()},
            'rates': {p: v.slot_rate for p, v in state.pools.items()},
        }

    def gauges(self) -> dict[str, float]:
        """Return the current values of the node's gauges: `node.gauges()`."""
        state, now = self.state, self.ctx.clock.now()
        lease = (state.lease - now).total_seconds() if state.lease else 0.0
        return {
            'generation': state.generation,
            'lease_s': max(0.0, lease),
            'settling': self.background_calls,
            'replicas_down': len(state.ejections),
            **{f'pressure.{pool}': n for pool, n in admission_state.demand(state).items()},
        }

    async def handle_message(self, message: dict) -> dict:
        """Return the reply to a message of another process: `await node.handle_message({'k': 'who'})`."""
        if message.get('k') == 'who':
            return {
                'ok': True,
                'me': self.name,
                'role': 'route',
                'fleet': self.fleet_id,
                'core': self.core_addresses,
                'at': self.core_primary,
            }
        if message.get('k') == 'greet':
            return self.handle_greeting(message)
        if message.get('k') == 'relay':
            self.ctx.journal.count('relayed')
            if not self.core_primary:
                raise Fault('core_away', 'this node cannot reach the core either')
            return await self.ctx.net.ask(self.core_primary, message['message'], POLL_TIMEOUT)
        raise Fault('garbled', f'no message of kind {message.get("k")!r}')

    def handle_greeting(self, message: dict) -> dict:
        """Apply the addresses that a member of the fleet sends; the core's only while this node has no lease:
        `node.handle_greeting({'fleet': 'f', 'core': [], 'register': register.EMPTY_REGISTER})`."""
        if self.fleet_id in (None, message['fleet']):
            if not admission_state.leased(self.state, self.ctx.clock.now()):
                self.core_addresses, self.core_primary = message['core'], None
            if message['register']['number'] > self.register['number']:
                self.register = message['register']
        return {'ok': True}

    async def run(self, ready: Any = None) -> None:
        """Serve until cancelled: `await node.run()`."""
        try:
            await self.listen()
            self.ctx.journal.note('start', role='route', id=self.name)
            if ready:
                ready.set_result(self)
            await asyncio.gather(
                self.process_events(),
                self.run_clock(),
                self.poll_core(),
                self.renew_lease(),
                self.watch_peers(),
                self.run_probe_leadership(),
                self.refresh_replica_list(),
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

    async def listen(self) -> None:
        """Listen at all addresses of this node."""
        startup = self.ctx.startup
        await self.ctx.net.serve(startup.get('listen') or startup['address'], self.handle_message)
        if startup.get('http'):
            await self.ctx.web.serve(startup['http'], self.serve)
        if startup.get('gateway'):
            self.gateway = Gateway(self, self.ctx.dialect or Dialect())
            await self.gateway.listen()

    def gateway_tasks(self) -> list:
        """Return the gateway's background coroutines, if there is a gateway."""
        return [self.gateway.close_idle_connections()] if self.gateway else []

    async def drain(self, timeout: timedelta) -> None:
        """Refuse new and pending tasks, and wait until running ones have ended or the timeout is over:
        `await node.drain(from_ms(5000))`."""
        deadline = self.ctx.clock.now() + timeout
        if self.gateway:  # callers still send requests for a while: serve them
            await self.gateway.drain(deadline)
        self.post_event(Drain())
        while (self.active_requests or self.background_calls) and self.ctx.clock.now() < deadline:
            await self.ctx.clock.sleep(from_ms(20))


async def write_reply(response: Any, reply: dict, headers: dict | None = None) -> None:
    """Write a replica's response unchanged:
    `await write_reply(response, {'status': 200, 'kind': '...', 'data': b''})`."""
    await response.respond_bytes(
        reply['status'], reply['data'], reply['kind'], {'X-Quillstall-Source': 'replica', **(headers or {})}
    )


async def wait_either(first: Any, second: asyncio.Future) -> None:
    """Return when either is done, and cancel neither: `await wait_either(decided, response.disconnected)`."""
    await asyncio.wait((first, second), return_when=asyncio.FIRST_COMPLETED)


async def run(ctx: Context, ready: Any = None) -> None:
    """Run a routing node until cancelled: `await run(ctx)`."""
    await Node(ctx).run(ready)
