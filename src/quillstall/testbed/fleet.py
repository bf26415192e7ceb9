"""Fleet: a whole deployment as real processes on loopback, started as a user would start them."""

import asyncio
import json
import os
import shutil
import signal
import subprocess
import sys
import tempfile
from datetime import timedelta
from typing import Any

from quillstall.controlplane.cli import send_request
from quillstall.network.net import parse_address
from quillstall.network.web import fetch
from quillstall.runtime.daemon import context
from quillstall.runtime.errors import Fault
from quillstall.runtime.journal import VIOLATED
from quillstall.testbed.caller import Crowd
from quillstall.testbed.deploy import Deploy
from quillstall.testbed.judge import outdated, quiet, verdict
from quillstall.testbed.operators import Operators
from quillstall.testbed.wires import Wires, behind

WEIGHT = 54_000  # letters that a first turn's 14,000 tokens share with others: about 56 KB in all


class Fleet:
    """Processes of one deployment, known by name, ended by process id."""

    def __init__(self, deploy: Deploy, folder: str | None = None, wires: bool = False):
        self.deploy = deploy
        self.folder = folder or tempfile.mkdtemp(prefix='quillstall-')
        self.made = folder is None
        self.startups = {s['name']: s for s in deploy.machines + deploy.replicas}
        self.wires = Wires() if wires else None
        self.running: dict[str, subprocess.Popen] = {}
        self.past: list[subprocess.Popen] = []
        doors = [s['http'] for s in deploy.machines if s['role'] == 'route']
        self.ctx = context({'name': 'crowd'})
        self.crowd = Crowd(self.ctx, deploy.flows, doors)
        self.crowd.weight = WEIGHT
        self.frozen: set[str] = set()  # doors of processes that were frozen at some time
        self.crowd.stood = lambda door, start: door in self.frozen
        self.cores = ','.join(s['http'] for s in deploy.machines if s['role'] == 'core')
        self.clock = self.ctx.clock
        self.operators = Operators(self, self.ctx.rng)
        self.seen: dict[str, int] = {}  # routing node -> its generation when last asked
        self.slips: list[str] = []

    def start(self, name: str) -> None:
        """Start one process: `fleet.start('core0')`."""
        s = dict(self.startups[name])
        if s.get('role') in ('core', 'store'):
            s['data'] = os.path.join(self.folder, name)
            os.makedirs(s['data'], exist_ok=True)
        if self.wires and 'role' in s:
            s['listen'] = behind(s['address'])
        path = os.path.join(self.folder, f'{name}.json')
        with open(path, 'w', encoding='utf-8') as file:
            json.dump(s, file)
        line = [sys.executable, *self.program(s), path]
        log = open(os.path.join(self.folder, f'{name}.log'), 'a', encoding='utf-8')
        self.running[name] = subprocess.Popen(line, stdout=log, stderr=log, stdin=subprocess.DEVNULL)
        log.close()

    def program(self, startup: dict) -> list[str]:
        """The program that runs a process, and its verb: `fleet.program({'role': 'core'})`."""
        if 'role' in startup:
            return ['-m', 'quillstall', 'serve']
        return ['-m', 'quillstall.testbed', 'replica']

    def add(self, name: str, like: str, host: str) -> str:
        """One more process, of the role and zone of another and with its seeds, at a new IP number; its
        address: `fleet.add('core3', 'core0', '127.0.1.9')`."""
        old = self.startups[like]
        s = {**old, 'name': name, **{k: f'{host}:{parse_address(old[k])[1]}' for k in ('address', 'http')}}
        self.startups[name] = s
        self.start(name)
        if s['role'] == 'core':
            self.cores += f',{s["http"]}'
        return s['address']

    def drop(self, name: str) -> None:
        """Switch a process off for good: `fleet.drop('core0')`."""
        self.kill(name)
        s = self.startups.pop(name)
        self.cores = ','.join(c for c in self.cores.split(',') if c != s['http'])

    def kill(self, name: str, number: int = signal.SIGKILL) -> None:
        """Send one process a signal, by its id: `fleet.kill('core0')`."""
        self.running[name].send_signal(number)
        if number == signal.SIGKILL:
            self.running[name].wait()

    def wipe(self, name: str) -> None:
        """Lose the data folder of a process that is down: `fleet.wipe('store0')`."""
        shutil.rmtree(os.path.join(self.folder, name))

    async def open(self, policy: dict | None = None) -> None:
        """Start all, apply the policy, wait until the routing nodes serve: `await fleet.open()`."""
        if self.wires:
            await self.wires.open([s['address'] for s in self.deploy.machines])
        for name in self.startups:
            self.start(name)
        path = os.path.join(self.folder, 'policy.json')
        with open(path, 'w', encoding='utf-8') as file:
            json.dump(policy or self.deploy.policy, file)
        for _ in range(60):
            await asyncio.sleep(0.5)
            try:
                status, _, _ = await send_request(
                    self.cores, 'PUT', '/v1/policy', policy or self.deploy.policy, {'X-Request-Id': 'open'}
                )
                if status == 200:
                    break
            except Exception:
                continue
        else:
            raise TimeoutError('no core took the policy')
        await self.until_served()

    async def until_served(self, span: timedelta = timedelta(seconds=60)) -> None:
        """Wait until each routing node has a lease and slots; TimeoutError if one has not in all that time:
        `await fleet.until_served()`."""
        end = self.ctx.clock.now() + span
        for door in self.crowd.doors:
            while self.ctx.clock.now() < end:
                try:
                    _, data, _ = await fetch(
                        self.ctx.web, door, 'GET', '/v1/status', limit=timedelta(seconds=1)
                    )
                    if data['leased'] and sum(data['allot'].values()) and data['parts']:
                        break
                except Exception:
                    pass
                await asyncio.sleep(0.1)
            else:
                raise TimeoutError(f'{door} did not serve within {span}')

    async def logs(self) -> dict[str, dict]:
        """What the replicas ran: `await fleet.logs()`."""
        out = {}
        for s in self.deploy.replicas:
            try:
                _, out[s['name']], _ = await fetch(
                    self.ctx.web, s['http'], 'GET', '/log', limit=timedelta(seconds=5)
                )
            except Exception:
                out[s['name']] = {'runs': [], 'counts': {}, 'peak': 0}
        return out

    async def counters(self) -> dict[str, float]:
        """Counters of all routing nodes, summed: `await fleet.counters()`."""
        out: dict[str, float] = {}
        for door in self.crowd.doors:
            try:
                _, data, _ = await fetch(
                    self.ctx.web, door, 'GET', '/v1/counters', limit=timedelta(seconds=2)
                )
            except Exception:
                continue
            for key, n in data['counters'].items():
                out[key] = out.get(key, 0) + n
        return out

    async def sleep(self, seconds: float) -> None:
        """Wait: `await fleet.sleep(1)`."""
        await asyncio.sleep(seconds)

    async def ask(
        self, method: str, path: str, body: Any = None, headers: dict | None = None
    ) -> tuple[int, Any]:
        """One operator's request to the first core that answers: `await fleet.ask('GET', '/v1/policy')`."""
        last: tuple[int, Any] = (0, None)
        for door in self.cores.split(','):
            try:
                status, data, _ = await fetch(
                    self.ctx.web, door, method, path, body, headers, timedelta(seconds=9)
                )
            except Fault as e:
                last = (0, e.code)
                continue
            if status < 500:
                return status, data
            last = (status, data)
        return last

    async def watch(self) -> None:
        """See that no routing node's generation ever goes back: `await fleet.watch()`."""
        while not self.operators.over:
            await asyncio.sleep(0.3)
            for door in self.crowd.doors:
                try:
                    _, data, _ = await fetch(
                        self.ctx.web, door, 'GET', '/v1/status', limit=timedelta(seconds=1)
                    )
                except Fault:
                    continue
                name, gen = data['node'], data['generation']
                if gen < self.seen.get(name, 0):
                    self.slips.append(f'slip: {name} went from {self.seen[name]} to {gen}')
                self.seen[name] = gen

    async def judge(self) -> list[str]:
        """What is wrong, by all rules: `await fleet.judge()`."""
        logs = await self.logs()
        runs = [r for log in logs.values() for r in log['runs']]
        return (
            verdict(self.crowd, logs, self.deploy.policy)
            + self.slips
            + self.operators.wrong
            + outdated(runs, self.operators.acked, timedelta(seconds=2))[:5]
            + quiet(self.crowd.good, self.crowd.spans, timedelta(seconds=12))
            + self.violations()
        )

    def violations(self) -> list[str]:
        """The violations of invariants that the processes' logs tell of: `fleet.violations()`."""
        out = []
        for name in self.startups:
            path = os.path.join(self.folder, f'{name}.log')
            if os.path.exists(path):
                with open(path, encoding='utf-8', errors='replace') as file:
                    out += [f'invariant: {name}: {line.strip()[:300]}' for line in file if VIOLATED in line]
        return out

    def cut(self, a: str, b: str, both: bool = True) -> None:
        """Hold all that goes from process a to b: `fleet.cut('core0', 'core1')`."""
        one, two = [parse_address(self.startups[n]['address'])[0] for n in (a, b)]
        self.wires.cut(one, two)
        if both:
            self.wires.cut(two, one)

    def close(self) -> None:
        """End every process this fleet started: `fleet.close()`."""
        for proc in self.running.values():
            if proc.poll() is None:
                proc.send_signal(signal.SIGCONT)
                proc.kill()
        for proc in self.running.values():
            proc.wait()
        if self.wires:
            self.wires.close()
        if self.made:
            shutil.rmtree(self.folder, ignore_errors=True)


def memory_mb(pid: int) -> int:
    """A process's memory: `memory_mb(os.getpid())`."""
    with open(f'/proc/{pid}/statm', encoding='ascii') as file:
        return int(file.read().split()[1]) * os.sysconf('SC_PAGESIZE') // 2**20


async def play(deploy: Deploy, seconds: float, rate: float = 1.0, weight: int = WEIGHT) -> dict[str, Any]:
    """A fleet under its own traffic for a while, and what came of it: `await play(hipotecalc(), 10)`."""
    fleet = Fleet(deploy)
    fleet.crowd.weight = weight
    try:
        await fleet.open()
        await fleet.crowd.play(timedelta(seconds=seconds), rate)
        await fleet.crowd.idle()
        return {
            'deploy': deploy.name,
            'processes': len(fleet.running),
            'report': fleet.crowd.report(),
            'wrong': await fleet.judge(),
            'counters': await fleet.counters(),
            'memory_mb': {
                n: memory_mb(p.pid) for n, p in fleet.running.items() if n[:5] in ('core0', 'store', 'route')
            },
            'disk_kb': {
                n: sum(os.path.getsize(os.path.join(at, f)) for f in os.listdir(at)) // 1024
                for n in fleet.running
                if n.startswith('store')
                for at in [os.path.join(fleet.folder, n)]
            },
        }
    finally:
        fleet.close()
