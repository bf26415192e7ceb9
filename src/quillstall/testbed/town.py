"""Town: a whole deployment inside the simulator, with its operators and callers."""

import asyncio
import json
from collections.abc import Callable, Coroutine
from datetime import timedelta
from typing import Any

from quillstall.controlplane import run as controlplane
from quillstall.dataplane import node
from quillstall.network.web import fetch
from quillstall.testbed import replica
from quillstall.testbed.caller import Crowd
from quillstall.testbed.deploy import DEPLOYS, Deploy
from quillstall.testbed.judge import crowded, verdict
from quillstall.testbed.sim import Machine, World

PROGRAMS: dict[str, Callable] = {
    'core': controlplane.run,
    'store': controlplane.run,
    'route': node.run,
    'model': replica.run,
    'application': replica.run,
}


class Town:
    """One simulated deployment.

    >>> async def script(world):
    ...     town = Town(world, DEPLOYS['cartalume']())
    ...     await town.open()
    ...     await town.crowd.play(timedelta(seconds=2))
    ...     await town.crowd.idle()
    ...     return town.judge(), town.crowd.report()['total'].get('good', 0) > 20
    >>> World.play(3, script)
    ([], True)
    """

    def __init__(self, world: World, deploy: Deploy, parts: int = 8):
        self.world = world
        self.deploy = deploy
        self.startups = {s['name']: {**s, 'parts': parts} for s in deploy.machines}
        self.backs = {s['name']: s for s in deploy.replicas}
        self.machines: dict[str, Machine] = {}
        self.replicas: dict[str, Any] = {}
        self.hosts: dict[str, Any] = {}
        for name, s in {**self.startups, **self.backs}.items():
            self.machines[name] = world.machine(name, s.get('address', s['http']))
        hand = world.machine('operator', '10.9.0.1:1')
        self.hand = world.ctx(hand, {})
        self.clock = self.hand.clock
        crowd = world.machine('crowd', '10.9.0.2:1')
        doors = [s['http'] for s in deploy.machines if s['role'] == 'route']
        self.crowd = Crowd(world.ctx(crowd, {}), deploy.flows, doors)
        self.doors = {s['http']: s['name'] for s in deploy.machines}
        self.crowd.stood = self.stood
        self.cores = [s['http'] for s in deploy.machines if s['role'] == 'core']

    def start(self, name: str) -> None:
        """Start a program of the deployment: `town.start('core0')`."""
        s = self.backs.get(name) or self.startups[name]
        ready = asyncio.get_running_loop().create_future()
        self.world.start(self.machines[name], s, lambda ctx: PROGRAMS[s.get('role') or s['kind']](ctx, ready))
        asyncio.ensure_future(self.know(name, ready))

    def add(self, name: str, role: str, zone: str, host: str) -> str:
        """A further machine of ours, started; its seeds are the cores that there are now:
        `town.add('core3', 'core', 'z0', '10.0.1.9')`."""
        like = next(s for s in self.startups.values() if s['role'] == role)
        seeds = [self.startups[n]['address'] for n in self.named('core')][:3]
        s = {
            **like,
            'seeds': seeds,
            'name': name,
            'zone': zone,
            'address': f'{host}:7000',
            'http': f'{host}:7001',
        }
        self.startups[name] = s
        self.machines[name] = self.world.machine(name, s['address'])
        self.doors[s['http']] = name
        if role == 'core':
            self.cores.append(s['http'])
        if role == 'route':
            self.crowd.doors.append(s['http'])
        self.start(name)
        return name

    def drop(self, name: str) -> None:
        """Switch a machine off for good: `town.drop('core0')`."""
        self.world.kill(self.machines[name])
        s = self.startups.pop(name)
        if s['http'] in self.cores:
            self.cores.remove(s['http'])
        if s['http'] in self.crowd.doors:
            self.crowd.doors.remove(s['http'])

    def named(self, role: str) -> list[str]:
        """The names of the machines of a role: `town.named('store')`."""
        return [n for n, s in self.startups.items() if s['role'] == role]

    async def know(self, name: str, ready: asyncio.Future) -> None:
        self.hosts[name] = await ready
        if name in self.backs:
            self.replicas[name] = self.hosts[name]

    def stood(self, door: str, start: Any) -> bool:
        """Whether the machine behind a door was frozen at any time since: `town.stood(door, start)`."""
        machine = self.machines[self.doors[door]]
        return any(until is None or until >= start for _, until in machine.stood)

    def nodes(self) -> list:
        """The routing nodes that are up, as they are inside: `town.nodes()`."""
        return [h for n, h in self.hosts.items() if n.startswith('route') and self.machines[n].up]

    async def open(self, policy: dict | None = None) -> None:
        """Start all, apply the policy, wait until every routing node has it: `await town.open()`."""
        for name in {**self.startups, **self.backs}:
            self.start(name)
        for _ in range(100):
            await self.world.sleep(0.3)
            status, _ = await self.ask(
                'PUT', '/v1/policy', policy or self.deploy.policy, {'X-Request-Id': 'open'}
            )
            if status == 200:
                break
        await self.world.sleep(4)

    async def ask(
        self,
        method: str,
        path: str,
        body: Any = None,
        headers: dict | None = None,
        at: int | None = None,
        limit: float = 9,
    ) -> tuple[int, Any]:
        """One operator's request to any core that answers: `await town.ask('GET', '/v1/policy')`."""
        last: tuple[int, Any] = (0, None)
        for door in list(self.cores) if at is None else [self.cores[at]]:
            try:
                status, data, _ = await fetch(
                    self.hand.web, door, method, path, body, headers, timedelta(seconds=limit)
                )
            except Exception as e:  # the door is down: the next one
                last = (0, str(e))
                continue
            last = (status, data)
            if status < 500 or at is not None:
                return last
        return last

    async def status(self) -> dict:
        """The primary's view: `await town.status()`."""
        for door in self.cores:
            try:
                _, data, _ = await fetch(self.hand.web, door, 'GET', '/v1/status', limit=timedelta(seconds=2))
            except Exception:
                continue
            if data and data.get('primary'):
                return data
        return {}

    async def sleep(self, seconds: float) -> None:
        """Let the world's time pass: `await town.sleep(1)`."""
        await self.world.sleep(seconds)

    def judge(self) -> list[str]:
        """What is wrong, by all rules: `town.judge()`."""
        logs = {n: {'runs': r.runs} for n, r in self.replicas.items()}
        peaks = {n: (r.peak, r.slots) for n, r in self.replicas.items()}
        return verdict(self.crowd, logs, self.deploy.policy) + crowded(peaks)

    def syncs(self) -> int:
        """Syncs of all disks since their processes started: `town.syncs()`."""
        return sum(h.ctx.disk.syncs for n, h in self.hosts.items() if n[:4] in ('core', 'stor'))

    def counters(self, names: str = 'route') -> dict:
        """Counters summed over machines whose name begins so: `town.counters('store')`."""
        out: dict = {}
        for name, machine in self.machines.items():
            if name.startswith(names) and machine.journal:
                for key, n in machine.journal.counts.items():
                    out[key] = out.get(key, 0) + n
        return out


def play(seed: int, deploy: str, script: Callable[[Town], Coroutine], parts: int = 8) -> Any:
    """Run a script in a new town: `play(1, 'hipotecalc', script)`."""

    async def main(world: World) -> Any:
        return await script(Town(world, DEPLOYS[deploy](), parts))

    return World.play(seed, main)


def show(report: Any) -> str:
    """A report as text: `show({'a': 1})`."""
    return json.dumps(report, indent=1, default=str)
