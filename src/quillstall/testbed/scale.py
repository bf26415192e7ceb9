"""Scale: how the cost of control grows. A real core, real stores and a few real routing nodes on loopback
beside hollow ones; one thing is varied at a time, and what each process spends is read from the system."""

import asyncio
import json
import os
import subprocess
import sys
import time
from collections import Counter
from collections.abc import Callable
from datetime import UTC, datetime, timedelta
from typing import Any, NamedTuple

import cbor2
from immutables import Map

from quillstall.configuration.policy import check, merge_patch
from quillstall.controlplane import core_state, leases, slot_allocation, store_table
from quillstall.network.web import fetch
from quillstall.replication import group
from quillstall.runtime.clock import from_ms
from quillstall.runtime.errors import Fault
from quillstall.testbed.deploy import Deploy, machines, pools, replicas
from quillstall.testbed.fleet import Fleet, memory_mb

NODES_MOST = 410
REPLICAS_MOST = 3_700
PROCESSES_MOST = 60
NODES_EACH = 60  # hollow nodes in one process
MODELS = 28
CLASSES = 10
SETTLE = 30.0  # seconds that a point may take to come to rest, and a loss to be heard
ASK = timedelta(seconds=8)
TICKS = os.sysconf('SC_CLK_TCK')


class Point(NamedTuple):
    """One setting of everything that is varied.

    >>> Point(replicas=50).nodes
    24
    """

    series: str = 'nodes'
    x: float = 0
    nodes: int = 24  # hollow ones
    routes: int = 2  # real ones
    replicas: int = 100
    tenants: int = 10
    changes_s: float = 0.0  # changes of the policy a second
    restarts: int = 0  # of hollow nodes, before the measuring
    losses: bool = False  # whether a store and the core's primary are killed at the end
    turns_s: float = 0.0  # of real traffic
    pieces: int = 12  # of a turn
    zones: int = 0  # zones whose core, store and routing node are killed at once at the end


SERIES: dict[str, tuple[Callable[[float], dict], tuple]] = {
    'nodes': (lambda x: {'nodes': int(x), 'losses': True}, (25, 50, 75, 100, 150, 190)),
    'polls': (lambda x: {'nodes': int(x), 'replicas': 1}, (25, 50, 100, 190, 230, 300, 410)),
    'replicas': (lambda x: {'replicas': int(x)}, (50, 200, 800, 1600, REPLICAS_MOST)),
    'policy': (lambda x: {'tenants': int(x)}, (10, 275, 550, 1100)),
    'rate': (lambda x: {'changes_s': x, 'tenants': 275}, (0.08, 0.5, 1, 2, 4)),
    'restarts': (lambda x: {'restarts': int(x)}, (0, 50, 100, 200, 400)),
    'zones': (lambda x: {'zones': int(x), 'routes': 3}, (1, 2)),
    'turns': (lambda x: {'turns_s': x, 'nodes': 4, 'replicas': 0}, (5, 10, 20, 40)),
    'pieces': (lambda x: {'turns_s': 20, 'pieces': int(x), 'nodes': 4, 'replicas': 0}, (1, 4, 8, 12)),
}


def points(series: str, xs: tuple = ()) -> list[Point]:
    """The settings of one series.

    >>> [p.tenants for p in points('policy')], points('nodes', (30,))[0].nodes
    ([10, 275, 550, 1100], 30)
    """
    how, usual = SERIES[series]
    return [Point(series, x)._replace(**how(x)) for x in xs or usual]


def policy(count: int, tenants: int, made: list | None = None) -> dict:
    """A policy with that many replicas, in a pool for each model, and a route for each tenant.

    >>> p = policy(56, 3); len(p['pools']), len(p['routes']), sum(len(v['replicas']) for v in p['pools'].values())
    (28, 3, 56)
    """
    models = min(MODELS, max(1, count))
    groups: dict = {f'm{n:02d}': {'kind': 'model', 'replicas': {}} for n in range(models)}
    for n in range(count):
        groups[f'm{n % models:02d}']['replicas'][f'r{n:04d}'] = {
            'address': f'10.200.{n // 250}.{n % 250 + 1}:9000',
            'slots': 4,
        }
    if made:
        groups = {**pools(made), 'apps': {'kind': 'application', 'replicas': {}}}
    names = [n for n, g in groups.items() if g['kind'] == 'model']
    routes = {
        f't{n:04d}': {
            'class': f'c{n % CLASSES}',
            'pool': names[n % len(names)],
            'max_tokens': 16,
            'service_ms': 700,
        }
        for n in range(max(1, tenants))
    }
    return {
        'classes': {f'c{n}': {'share': 100 // CLASSES, 'deadline_ms': 3000} for n in range(CLASSES)},
        'routes': routes,
        'pools': groups,
        'keeping_s': 300,
    }


def processor_s(pid: int) -> float:
    """The processor time that a process has used: `processor_s(os.getpid())`."""
    with open(f'/proc/{pid}/stat', encoding='ascii') as file:
        fields = file.read().rpartition(')')[2].split()
    return (int(fields[11]) + int(fields[12])) / TICKS


def written(pid: int) -> int:
    """The bytes that a process has sent to a disk: `written(os.getpid())`."""
    with open(f'/proc/{pid}/io', encoding='ascii') as file:
        return int(file.read().partition('\nwrite_bytes: ')[2].split()[0])


def memory_half_mb() -> int:
    """Half of the machine's memory: `memory_half_mb()`."""
    return os.sysconf('SC_PHYS_PAGES') * os.sysconf('SC_PAGESIZE') // 2**21


class Scale:
    """One setting as processes: a fleet, and hollow nodes beside it."""

    def __init__(self, point: Point, port: int):
        self.point = point
        self.port = port
        self.made = (
            replicas('127.0', port, 2, 200, 0, 0, prefill_per_s=10**7, step_ms=5) if point.turns_s else []
        )
        self.policy = policy(point.replicas, point.tenants, self.made)
        machine = machines('127.0', port, routes=point.routes, stores=3)
        self.fleet = Fleet(Deploy('scale', machine, self.made, self.policy, []))
        self.seeds = machine[0]['seeds']
        self.stores = [s['address'] for s in machine if s['role'] == 'store']
        self.hosts: dict[str, str] = {}  # process of hollow nodes -> its address
        self.home: dict[str, str] = {}  # hollow node -> the address of its process
        self.work: list[subprocess.Popen] = []
        self.generation = 0
        self.good = 0

    @property
    def net(self) -> Any:
        return self.fleet.ctx.net

    def start_hollow(self) -> None:
        """Start the processes of hollow nodes: `scale.start_hollow()`."""
        nodes = [
            {
                'name': f'hollow{n}',
                'address': f'127.0.{100 + n // 200}.{n % 200 + 1}:{self.port}',
                'zone': f'z{n % 6}',
            }
            for n in range(self.point.nodes)
        ]
        for k in range(0, len(nodes), NODES_EACH):
            name = f'host{k // NODES_EACH}'
            address = f'127.0.9.{k // NODES_EACH + 1}:{self.port}'
            s = {
                'name': name,
                'address': address,
                'seeds': self.seeds,
                'stores': self.stores,
                'nodes': nodes[k : k + NODES_EACH],
            }
            path = os.path.join(self.fleet.folder, f'{name}.json')
            with open(path, 'w', encoding='utf-8') as file:
                json.dump(s, file)
            with open(os.path.join(self.fleet.folder, f'{name}.log'), 'a', encoding='utf-8') as log:
                self.work.append(
                    subprocess.Popen(
                        [sys.executable, '-m', 'quillstall.testbed', 'hollow', path],
                        stdout=log,
                        stderr=log,
                        stdin=subprocess.DEVNULL,
                    )
                )
            self.hosts[name] = address
            self.home.update({n['name']: address for n in s['nodes']})

    async def open(self) -> None:
        """Start all and wait until the real nodes serve: `await scale.open()`."""
        count = len(self.fleet.startups) + self.point.nodes // NODES_EACH + 1
        if count > PROCESSES_MOST:
            raise Fault('refused', f'{count} processes; {PROCESSES_MOST} at most')
        await self.fleet.open(self.policy)
        self.generation = 1
        self.start_hollow()

    async def told(self, message: dict) -> list[dict]:
        """What each process of hollow nodes returns: `await scale.told({'k': 'sample'})`."""
        return await asyncio.gather(*[self.net.ask(a, message, ASK) for a in self.hosts.values()])

    async def settle(self) -> float | None:
        """Wait until each hollow node has a lease, an allotment, parts and the newest generation; how long it
        took, or None: `await scale.settle()`."""
        began = time.monotonic()
        while time.monotonic() - began < SETTLE:
            await asyncio.sleep(0.25)
            try:
                nodes = [n for ret in await self.told({'k': 'sample'}) for n in ret['nodes'].values()]
            except Fault:
                continue
            if len(nodes) == self.point.nodes and all(
                n['leased'] and n['parts'] and n['generation'] >= self.generation and n['allotted']
                for n in nodes
            ):
                return round(time.monotonic() - began, 2)
        return None

    async def primary(self) -> str:
        """The core that is primary, by the word of most: `await scale.primary()`."""
        while True:
            seen: Counter = Counter()
            for seed in self.seeds:
                try:
                    seen[(await self.net.ask(seed, {'k': 'who'}, ASK))['at']] += 1
                except Fault:
                    continue
            at = seen.most_common(1)[0][0] if seen else None
            if at and seen[at] >= 2:
                return next(n for n, s in self.fleet.startups.items() if s.get('address') == at)
            await asyncio.sleep(0.2)

    async def syncs(self, role: str) -> int:
        """The disk syncs of all processes of a role: `await scale.syncs('store')`."""
        out = 0
        for name, s in self.fleet.startups.items():
            if s.get('role') == role and self.fleet.running[name].poll() is None:
                _, data, _ = await fetch(self.fleet.ctx.web, s['http'], 'GET', '/v1/counters', limit=ASK)
                out += data['syncs']
        return out

    async def gauge(self) -> dict[str, Any]:
        """All counts that only grow: `await scale.gauge()`."""
        rets = await self.told({'k': 'sample'})
        pids = {
            **{n: p.pid for n, p in self.fleet.running.items() if p.poll() is None},
            **{f'host{k}': p.pid for k, p in enumerate(self.work)},
        }
        out: dict[str, Any] = {
            'at': time.monotonic(),
            'cpu': {n: processor_s(p) for n, p in pids.items()},
            'disk': {n: written(p) for n, p in pids.items()},
            'mb': {n: memory_mb(p) for n, p in pids.items()},
            'syncs': {r: await self.syncs(r) for r in ('core', 'store')},
            'asks': Counter(),
            'faults': Counter(),
            'unleased_s': 0.0,
            'bytes': {k: [0, 0] for k in ('core', 'store', 'peer')},
        }
        for ret in rets:
            out['asks'].update(ret['asks'])
            out['faults'].update(ret['faults'])
            out['unleased_s'] += ret['unleased_s']
            for kind, (a, b) in ret['bytes'].items():
                out['bytes'][kind] = [out['bytes'][kind][0] + a, out['bytes'][kind][1] + b]
        out['polls'] = sorted(p for ret in rets for p in ret['polls'])
        return out

    async def change(self, number: int) -> dict[str, Any]:
        """One small change of the policy: the milliseconds from when it was sent until it was acknowledged,
        and until the last hollow node had it: `await scale.change(1)`."""
        sent = time.time()
        status, data = await self.fleet.ask(
            'PATCH',
            '/v1/policy',
            {'routes': {'t0000': {'max_tokens': 17 + number % 100}}},
            {'X-Request-Id': f'change{number}'},
        )
        acked = time.time()
        if status != 200:
            return {'status': status, 'code': str(data)[:80]}
        self.generation = max(self.generation, data['generation'])
        for _ in range(100):
            rets = await self.told({'k': 'when', 'generation': data['generation']})
            when = [at for ret in rets for at in ret['when'].values()]
            if None not in when:
                break
            await asyncio.sleep(0.1)
        have = [at for at in when if at is not None]
        ends = [end for ret in rets for end in ret['lease'].values()]
        return {
            'status': status,
            'generation': data['generation'],
            'acked_ms': round((acked - sent) * 1000),
            'first_ms': round((min(have) - sent) * 1000),
            'everywhere_ms': round((max(have) - sent) * 1000),
            'after_ack_ms': round((max(have) - acked) * 1000),
            'missing': len(when) - len(have),
            'behind_at_ack': sum(1 for at in when if at is None or at > acked),
            'broken': sum(
                1 for at, end in zip(when, ends, strict=False) if (at is None or at > acked) and end > acked
            ),
        }

    async def changes(self, seconds: float) -> list[dict]:
        """Changes at the setting's rate, or two one after the other: `await scale.changes(5)`."""
        if not self.point.changes_s:
            return [await self.change(n) for n in range(2)]
        work, end, n = [], time.monotonic() + seconds, 0
        while time.monotonic() < end:
            work.append(asyncio.ensure_future(self.change(n)))
            n += 1
            await asyncio.sleep(1 / self.point.changes_s)
        return list(await asyncio.gather(*work))

    async def heard(self, message: dict, since: float) -> dict[str, Any]:
        """When the first and the last hollow node had heard of something, in seconds: `await
        scale.heard({'k': 'when', 'epoch': 2}, time.time())`."""
        when: list = [None]
        while time.time() - since < SETTLE:
            await asyncio.sleep(0.1)
            when = [at for ret in await self.told(message) for at in ret['when'].values()]
            if None not in when:
                break
        have = [at for at in when if at is not None]
        return {
            'first_s': round(min(have) - since, 2) if have else None,
            'last_s': round(max(have) - since, 2) if have else None,
            'not_heard': len(when) - len(have),
        }

    async def lose(self, name: str) -> dict[str, Any]:
        """Kill a process, time until all hollow nodes have heard, and start it again: `await scale.lose('store0')`."""
        before, since = await self.gauge(), time.time()
        epoch = max(n['epoch'] for ret in await self.told({'k': 'sample'}) for n in ret['nodes'].values())
        self.fleet.kill(name)
        ask = {'gone': f'{name}-', 'since': since} if name.startswith('store') else {'epoch': epoch + 1}
        out = {'name': name, **await self.heard({'k': 'when', **ask}, since)}
        after = await self.gauge()
        out['unleased_s'] = round(after['unleased_s'] - before['unleased_s'], 1)
        out['messages'] = sum(after['asks'].values()) - sum(before['asks'].values())
        out['failed_asks'] = sum(after['faults'].values()) - sum(before['faults'].values())
        self.fleet.start(name)
        await asyncio.sleep(3)
        out['settled_s'] = await self.settle()
        return out

    async def lose_zones(self, count: int) -> dict[str, Any]:
        """Kill the core, store and routing node of that many zones at once, look for 10 s, and start them
        again: `await scale.lose_zones(1)`."""
        before, since = await self.gauge(), time.time()
        epoch = max(n['epoch'] for ret in await self.told({'k': 'sample'}) for n in ret['nodes'].values())
        names = [f'{role}{k}' for k in range(count) for role in ('core', 'store', 'route')]
        for name in names:
            self.fleet.kill(name)
        await asyncio.sleep(10)
        nodes = [n for ret in await self.told({'k': 'sample'}) for n in ret['nodes'].values()]
        after = await self.gauge()
        new = [
            at
            for ret in await self.told({'k': 'when', 'epoch': epoch + 1})
            for at in ret['when'].values()
            if at is not None
        ]
        gone = [
            at
            for ret in await self.told({'k': 'when', 'gone': 'store0-', 'since': since})
            for at in ret['when'].values()
            if at is not None
        ]
        for name in names:
            self.fleet.start(name)
        back = time.time()
        await asyncio.sleep(1)
        settled = await self.settle()
        return {
            'name': f'{count} zones',
            'killed': names,
            'leased_after_10s': sum(1 for n in nodes if n['leased']),
            'heard_of_core': len(new),
            'core_last_s': round(max(new) - since, 2) if new else None,
            'heard_of_store': len(gone),
            'store_last_s': round(max(gone) - since, 2) if gone else None,
            'unleased_s': round(after['unleased_s'] - before['unleased_s'], 1),
            'messages': sum(after['asks'].values()) - sum(before['asks'].values()),
            'failed_asks': sum(after['faults'].values()) - sum(before['faults'].values()),
            'back_s': None if settled is None else round(time.time() - back, 2),
        }

    async def turn(self, door: str, number: int) -> None:
        body = {
            'route': 't0000',
            'program': f'p{number}',
            'prompt': f'{number} ' + 'x' * 4000,
            'prompt_tokens': 1000,
            'max_tokens': self.point.pieces,
            'budget': 10**6,
            'stream': True,
        }
        flow = self.fleet.ctx.web.open(door, 'POST', '/v1/turns', body, {}, from_ms(6000))
        try:
            while True:
                kind, *rest = await flow.next()
                if kind == 'line' and 'end' in rest[0]:
                    self.good += 1
                elif kind == 'end':
                    return
        finally:
            flow.abort()

    async def traffic(self, seconds: float) -> int:
        """Turns at the setting's rate for a while; how many were sent: `await scale.traffic(5)`."""
        work, began, n = [], time.monotonic(), 0
        doors = self.fleet.crowd.doors
        while time.monotonic() - began < seconds:
            work.append(asyncio.ensure_future(self.turn(doors[n % len(doors)], n + int(began * 1000))))
            n += 1
            await asyncio.sleep(max(0.0, began + n / self.point.turns_s - time.monotonic()))
        await asyncio.gather(*work)
        return n

    async def measure(self, seconds: float) -> dict[str, Any]:
        """Everything of one setting: `await scale.measure(5)`."""
        point = self.point
        out: dict[str, Any] = {
            **point._asdict(),
            'policy_kb': round(len(cbor2.dumps(self.policy)) / 1024, 1),
            'settled_s': await self.settle(),
        }
        for n in range(point.restarts):
            name = f'hollow{n % point.nodes}'
            await self.net.ask(self.home[name], {'k': 'again', 'name': name}, ASK)
            await asyncio.sleep(0.02)
        if point.restarts:
            out['settled_s'] = await self.settle()
            await asyncio.sleep(5)  # until the last leases of the ended ones are over
        await asyncio.sleep(1)
        first = await self.primary()
        before, good = await self.gauge(), self.good
        if point.turns_s:
            out['sent'] = await self.traffic(seconds)
            out['good'] = self.good - good
        elif point.changes_s:
            out['changes'] = await self.changes(seconds)
        else:
            await asyncio.sleep(seconds)
        after = await self.gauge()
        out.update(self.sums(first, before, after))
        nodes = [n for ret in await self.told({'k': 'sample'}) for n in ret['nodes'].values()]
        out['without_slots'] = sum(1 for n in nodes if not n['slots'])
        total: Counter = Counter()
        for ret in await self.told({'k': 'allot'}):
            total.update(ret['allot'])
        sizes = {r: v['slots'] for g in self.policy['pools'].values() for r, v in g['replicas'].items()}
        out['over_slots'] = sum(1 for r, n in total.items() if n > sizes[r])
        if 'changes' not in out and not point.turns_s:
            out['changes'] = await self.changes(seconds)
        if point.losses:
            out['losses'] = [await self.lose('store2'), await self.lose(await self.primary())]
        if point.zones:
            out['losses'] = [await self.lose_zones(point.zones)]
        return out

    def sums(self, first: str, before: dict, after: dict) -> dict[str, Any]:
        """What was spent between two gauges, a second: `scale.sums('core0', a, b)`."""
        span, nodes = after['at'] - before['at'], self.point.nodes
        cpu = {
            n: (after['cpu'][n] - before['cpu'][n]) / span * 100 for n in after['cpu'] if n in before['cpu']
        }

        def each(start: str, values: dict) -> list[float]:
            return [round(v, 2) for n, v in sorted(values.items()) if n.startswith(start)]

        asks = after['asks'] - before['asks']
        moved = {k: sum(after['bytes'][k]) - sum(before['bytes'][k]) for k in after['bytes']}
        news = after['bytes']['core'][0] - before['bytes']['core'][0]
        polls = after['polls']
        return {
            'span_s': round(span, 2),
            'core_cpu': round(cpu[first], 1),
            'core_mb': after['mb'][first],
            'other_cores_cpu': [round(v, 1) for n, v in cpu.items() if n.startswith('core') and n != first],
            'store_cpu': each('store', cpu),
            'store_mb': each('store', after['mb']),
            'route_cpu': each('route', cpu),
            'route_mb': each('route', after['mb']),
            'hollow_cpu_node': round(sum(each('host', cpu)) / nodes, 3),
            'polls_s': round(asks['poll'] / span, 1),
            'poll_ms': round(1000 * polls[len(polls) // 2], 1) if polls else None,
            'poll_p95_ms': round(1000 * polls[int(len(polls) * 0.95)], 1) if polls else None,
            'node_messages_s': round(sum(asks.values()) / span / nodes, 2),
            'pings_s': round(asks['who'] / span, 1),
            'node_core_kb_s': round(moved['core'] / span / nodes / 1024, 2),
            'node_store_kb_s': round(moved['store'] / span / nodes / 1024, 2),
            'node_peer_kb_s': round(moved['peer'] / span / nodes / 1024, 2),
            'news_kb': round(news / 1024 / asks['poll'], 2) if asks['poll'] else None,
            'core_mb_s': round(moved['core'] / span / 2**20, 2),
            'unleased_s': round(after['unleased_s'] - before['unleased_s'], 1),
            'faults': dict(after['faults'] - before['faults']),
            'core_syncs_s': round((after['syncs']['core'] - before['syncs']['core']) / span, 1),
            'store_syncs_s': round((after['syncs']['store'] - before['syncs']['store']) / span, 1),
            'store_disk_kb_s': round(
                sum(after['disk'][n] - before['disk'][n] for n in after['disk'] if n.startswith('store'))
                / span
                / 1024,
                1,
            ),
        }

    def memory_mb(self) -> int:
        """What all processes of this setting hold: `scale.memory_mb()`."""
        alive = [p for p in [*self.fleet.running.values(), *self.work] if p.poll() is None]
        return sum(memory_mb(p.pid) for p in alive)

    def close(self) -> None:
        """End every process that this setting started: `scale.close()`."""
        for proc in self.work:
            if proc.poll() is None:
                proc.kill()
        for proc in self.work:
            proc.wait()
        self.fleet.close()


async def one(point: Point, seconds: float, port: int) -> dict[str, Any]:
    """One setting from its start to its end: `await one(Point(), 5, 7000)`."""
    scale = Scale(point, port)
    try:
        await scale.open()
        work = asyncio.ensure_future(scale.measure(seconds))
        while not work.done():
            await asyncio.wait((work,), timeout=1)
            if not work.done() and scale.memory_mb() > memory_half_mb():
                work.cancel()
                return {**point._asdict(), 'stopped': f'{scale.memory_mb()} MB, more than half of the memory'}
        return work.result()
    except Fault as e:
        return {**point._asdict(), 'stopped': str(e)}
    finally:
        scale.close()


def history(turns: int, letters: int = 6_000) -> dict[str, Any]:
    """What one more turn of a long program costs a store, in this process: `history(580)`."""
    now, rows, last = datetime(2026, 1, 1, tzinfo=UTC), Map(), None
    begun, ended, sent, kept = 0.0, 0.0, 0, 0
    for n in range(turns + 1):
        turn = f'p~{n:06d}'
        at = time.process_time()
        changes, ret = store_table.apply(
            rows,
            {'op': 'begin', 'program': 'p', 'turn': turn, 'budget': None, 'hold': 16, 'continues': last},
            now,
        )
        begun = time.process_time() - at
        sent = len(cbor2.dumps(ret)) if n == turns else 0
        rows = group.apply_changes(rows, changes)
        at = time.process_time()
        changes, _ = store_table.apply(
            rows,
            {
                'op': 'end',
                'program': 'p',
                'turn': turn,
                'used': 12,
                'keeping_s': 300,
                'keep': {
                    'program': 'p',
                    'prev': last,
                    'conv': 'p~000000',
                    'prompt': f'{n:06d}' * (letters // 6),
                    'text': 'x' * 60,
                    'at': now.timestamp(),
                },
            },
            now,
        )
        ended = time.process_time() - at
        rows, last = group.apply_changes(rows, changes), turn
    kept = sum(len(cbor2.dumps(v)) for v in rows.values())
    return {
        'series': 'history',
        'x': turns,
        'begin_ms': round(begun * 1000, 2),
        'end_ms': round(ended * 1000, 2),
        'answer_kb': round(sent / 1024, 1),
        'kept_kb': round(kept / 1024, 1),
        'rows': len(rows),
    }


def table(nodes: int, replicas: int, tenants: int = 1_100, slots: int = 4) -> dict[str, Any]:
    """What the core's own functions spend at a size, in this process: the table of slots worked out once,
    what a node holds noted once (each poll does), one look for news, one check of a changed policy, and the
    kilobytes of a poll, of its answer and of the policy: `table(410, 3700)`."""
    now = datetime(2026, 1, 1, tzinfo=UTC)
    whole, names = policy(replicas, tenants), [f'hollow{n}-{n:06x}' for n in range(nodes)]
    began, targets, held = time.process_time(), {}, {}
    for spec in whole['pools'].values():
        sizes = {r: v['slots'] for r, v in spec['replicas'].items()}
        rows = slot_allocation.allocate_replicas(
            sizes, slot_allocation.node_totals(sum(sizes.values()), {n: 0.0 for n in names})
        )
        for r, cells in rows.items():
            targets[r] = slot_allocation.grantable(sizes[r], cells, {n: 0 for n in names})
            for n, count in targets[r].items():
                held.setdefault(n, {})[r] = count
    laid = time.process_time() - began
    has = {r: [cells[names[0]], 0] for r, cells in targets.items()}
    node = core_state.Node(
        names[0], 'route', '127.0.0.1:1', 'z0', 1, last_heard=now, lease_end=now, reported_slots=has
    )
    state = core_state.Core(
        'c0',
        '127.0.0.1:1',
        'z0',
        (),
        nodes=Map({node.name: node}),
        held_slots=Map(held),
        allocations=targets,
        primary_since=now - timedelta(minutes=1),
    )
    out = {}
    for key, work in (
        ('hold', lambda: leases.record_held_slots(state, node)),
        ('look', lambda: leases.allocation_changed(state, node.name, now)),
        ('check', lambda: check(merge_patch(whole, {'routes': {'t0000': {'max_tokens': 18}}}))),
    ):
        began = time.process_time()
        work()
        out[f'{key}_ms'] = round((time.process_time() - began) * 1000, 2)
    return {
        'nodes': nodes,
        'replicas': replicas,
        'tenants': tenants,
        'cells': sum(len(row) for row in held.values()),
        'lay_ms': round(laid * 1000, 1),
        **out,
        'poll_kb': round(len(cbor2.dumps({'has': has})) / 1024, 1),
        'status_mb': round(len(cbor2.dumps(targets)) / 2**20, 1),
        'answer_kb': round(len(cbor2.dumps({'allot': {r: n for r, (n, _) in has.items()}})) / 1024, 1),
        'policy_kb': round(len(cbor2.dumps(whole)) / 1024, 1),
    }


INSIDE: dict[str, tuple[Callable[[int], dict], tuple]] = {
    'history': (history, (10, 100, 290, 580)),
    'table_nodes': (
        lambda x: {'series': 'table_nodes', 'x': x, **table(x, REPLICAS_MOST)},
        (51, 102, 205, NODES_MOST),
    ),
    'table_replicas': (
        lambda x: {'series': 'table_replicas', 'x': x, **table(NODES_MOST, x)},
        (462, 925, 1850, REPLICAS_MOST),
    ),
    'table_tenants': (
        lambda x: {'series': 'table_tenants', 'x': x, **table(10, REPLICAS_MOST, x)},
        (10, 275, 550, 1100),
    ),
}


def run(
    wanted: list[Point], seconds: float, port: int, limit_s: float, line: Callable[[str], None]
) -> list[dict]:
    """All settings, one after another, within a time: `run(points('policy'), 5, 7000, 900, print)`."""
    end, out = time.monotonic() + limit_s, []
    for point in wanted:
        if time.monotonic() > end:
            out.append({**point._asdict(), 'stopped': 'the time is over'})
        elif point.nodes > NODES_MOST or point.replicas > REPLICAS_MOST:
            out.append(
                {**point._asdict(), 'stopped': f'{NODES_MOST} nodes and {REPLICAS_MOST} replicas at most'}
            )
        else:
            out.append(asyncio.run(one(point, seconds, port)))
        line(row(out[-1]))
    return out


COLUMNS = (
    'series',
    'x',
    'settled_s',
    'core_cpu',
    'core_mb',
    'polls_s',
    'poll_p95_ms',
    'node_messages_s',
    'node_core_kb_s',
    'node_store_kb_s',
    'node_peer_kb_s',
    'news_kb',
    'policy_kb',
    'hollow_cpu_node',
    'acked_ms',
    'everywhere_ms',
    'behind_at_ack',
    'store_gone_s',
    'core_gone_s',
    'unleased_s',
    'over_slots',
    'without_slots',
)


def facts(result: dict) -> dict[str, Any]:
    """A result with its changes and losses as plain numbers, the worst of each.

    >>> facts({'x': 1, 'changes': [{'status': 200, 'acked_ms': 5}, {'status': 503}]})['acked_ms']
    5
    """
    out = dict(result)
    good = [c for c in result.get('changes', ()) if c['status'] == 200]
    for key in ('acked_ms', 'everywhere_ms', 'behind_at_ack'):
        out[key] = max((c[key] for c in good if key in c), default=None)
    for loss in result.get('losses') or ():
        if 'last_s' in loss:
            out['store_gone_s' if loss['name'].startswith('store') else 'core_gone_s'] = loss['last_s']
    return out


def row(result: dict) -> str:
    """One line of the table: `row({'series': 'nodes', 'x': 25})`."""
    if 'stopped' in result:
        return f'{result["series"]:>9} {result["x"]:>7} stopped: {result["stopped"]}'
    if result['series'] in INSIDE:
        return ' '.join(f'{k}={v}' for k, v in result.items())
    if result.get('zones'):
        return f'zones {result["x"]} {result["losses"][0]}'
    if result.get('turns_s'):
        return ' '.join(
            f'{k}={result[k]}'
            for k in (
                'series',
                'x',
                'sent',
                'good',
                'route_cpu',
                'store_cpu',
                'core_cpu',
                'route_mb',
                'store_mb',
                'store_syncs_s',
                'store_disk_kb_s',
            )
        )
    values = facts(result)
    return ' '.join(f'{"-" if values.get(c) is None else values[c]:>{max(len(c), 6)}}' for c in COLUMNS)


def head() -> str:
    """The table's first line.

    >>> head().split()[:2]
    ['series', 'x']
    """
    return ' '.join(f'{c:>{max(len(c), 6)}}' for c in COLUMNS)
