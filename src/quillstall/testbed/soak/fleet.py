"""Fleet of a soak run: its processes, and the troubles that are injected."""

import asyncio
import contextlib
import fcntl
import os
import random
import signal
import socket
import subprocess
from datetime import timedelta
from typing import Any

from quillstall.network.net import parse_address
from quillstall.network.web import fetch
from quillstall.runtime.errors import Fault
from quillstall.testbed.deploy import Deploy
from quillstall.testbed.fleet import Fleet
from quillstall.testbed.soak import deployment
from quillstall.testbed.soak.foreign import ForeignProgram, send_messages
from quillstall.testbed.soak.troubles import OUTSIDE_KINDS, Kind, Step, Trouble
from quillstall.testbed.wires import behind

KILLED_AFTER_S = 8.0
BREAK_SHARE = 0.03  # of the messages on a link that loses some
RESTART_S = 0.2
RESTART_LESS_S = 2.0  # a start takes about so long
STOP_PAUSE_S = 0.05
READY_PAUSE_S = 0.1
SIGNALS = {
    Kind.KILL: signal.SIGKILL,
    Kind.HUP: signal.SIGHUP,
    Kind.PAUSE: signal.SIGSTOP,
}
EXPECTED_ENDS = (0, -signal.SIGKILL)
ASK_LIMIT = timedelta(seconds=3)


def peak_memory_mb(process_id: int) -> float:
    """The most memory that a process has had resident.

    >>> peak_memory_mb(os.getpid()) > 1
    True
    """
    with open(f'/proc/{process_id}/status', encoding='utf-8') as file:
        fields = dict(line.split(':', 1) for line in file)
    return int(fields.get('VmHWM', '0 kB').split()[0]) / 1024


def handles(process_id: int, number: int) -> bool:
    """Whether a process has a handler for a signal, or ignores it. It has none before its first line runs.

    >>> handles(os.getpid(), signal.SIGINT), handles(0, signal.SIGTERM)
    (True, False)
    """
    try:
        with open(f'/proc/{process_id}/status', encoding='utf-8') as file:
            fields = dict(line.split(':', 1) for line in file)
    except OSError:
        return False
    mask = int(fields.get('SigIgn', '0'), 16) | int(fields.get('SigCgt', '0'), 16)
    return bool(mask >> (number - 1) & 1)


class SoakFleet(Fleet):
    """The processes of a soak run, and the injection of troubles."""

    def __init__(self, deploy: Deploy, folder: str, dice: random.Random):
        super().__init__(deploy, folder, wires=True)
        self.wires.dice = random.Random(dice.random())
        self.operators = deployment.operators_of(self, random.Random(dice.random()))
        self.expected_down: set[str] = set()
        self.troubled: dict[str, list[tuple[float, float]]] = {}  # process -> its troubles: (from, until)
        self.locks: dict[str, asyncio.Lock] = {}
        self.unhandled: set[tuple[int, int]] = (
            set()
        )  # process, signal: it was sent before there was a handler

    def program(self, startup: dict) -> list[str]:
        return ['-m', 'quillstall.testbed', 'member']

    def start(self, name: str) -> None:
        """Start one process; only its first start is that of the whole fleet: `fleet.start('core0')`."""
        super().start(name)
        if 'founding' in self.startups[name]:
            self.startups[name]['founding'] = False

    async def kill_while_forming(self, trouble: Trouble) -> None:
        """Kill a process soon after its first start, and start it again."""
        while trouble.target not in self.running:
            await asyncio.sleep(STOP_PAUSE_S)
        await asyncio.sleep(trouble.at_s)
        self.send(trouble.target, signal.SIGKILL)
        await asyncio.sleep(trouble.span_s)
        self.ensure_started(trouble.target)

    def now(self) -> float:
        return asyncio.get_running_loop().time()

    def named(self, *roles: str) -> list[str]:
        """The names of the processes of some roles: `fleet.named('core', 'store')`."""
        return [name for name, startup in self.startups.items() if startup['role'] in roles]

    def alive(self, name: str) -> bool:
        """Whether a process runs: `fleet.alive('core0')`."""
        return name in self.running and self.running[name].poll() is None

    def ensure_started(self, name: str) -> None:
        """Start a process unless it runs: `fleet.ensure_started('core0')`."""
        self.expected_down.discard(name)
        if not self.alive(name):
            self.start(name)

    def send(self, name: str, number: int) -> None:
        """Send a process a signal, if it runs: `fleet.send('core0', signal.SIGHUP)`."""
        if number in (signal.SIGKILL, signal.SIGTERM):
            self.expected_down.add(name)
        if self.alive(name):
            process_id = self.running[name].pid
            if number in (signal.SIGHUP, signal.SIGTERM) and not handles(process_id, number):
                self.unhandled.add((process_id, number))
            self.kill(name, number)

    def is_expected_end(self, process: subprocess.Popen) -> bool:
        """Whether a process ended in order, was killed, or got a signal before its first line had run."""
        code = process.poll()
        return code in EXPECTED_ENDS or (process.pid, -code) in self.unhandled

    async def ask(
        self, method: str, path: str, body: Any = None, headers: dict | None = None
    ) -> tuple[int, Any]:
        """One operator's request to one core, drawn by lot, as an operator with a list would send it."""
        address = self.operators.dice.choice(self.cores.split(','))
        try:
            status, data, _ = await fetch(self.ctx.web, address, method, path, body, headers, ASK_LIMIT)
        except Fault as e:
            return 0, e.code
        return status, data

    async def ready(self, name: str) -> bool:
        """Whether a routing node says that it is ready."""
        try:
            async with asyncio.timeout(1):
                reader, writer = await asyncio.open_connection(*parse_address(self.startups[name]['ready']))
                writer.write(b'GET /readiness HTTP/1.1\r\nHost: r\r\nConnection: close\r\n\r\n')
                line = await reader.readline()
                writer.close()
        except (OSError, TimeoutError):
            return False
        return b' 200 ' in line

    async def until_served(self, span: timedelta = timedelta(seconds=60)) -> None:
        """Wait until all routing nodes say that they are ready; TimeoutError if one does not in all that time."""
        async with asyncio.timeout(span.total_seconds()):
            for name in self.named('route'):
                while not await self.ready(name):
                    await asyncio.sleep(READY_PAUSE_S)

    # ---- troubles

    async def apply(self, trouble: Trouble) -> None:
        """Bring a trouble about and end it: `await fleet.apply(trouble)`."""
        await asyncio.sleep(trouble.at_s)
        name = trouble.target
        if not name:
            await self.apply_to_fleet(trouble)
            return
        async with self.locks.setdefault(name, asyncio.Lock()):
            began = self.now()
            self.troubled.setdefault(name, []).append((began, float('inf')))
            if trouble.kind is Kind.SERIES:
                await self.apply_series(trouble.steps, name)
            else:
                await self.apply_to_process(trouble, name)
            self.troubled[name].remove((began, float('inf')))
            self.troubled[name].append((began, self.now()))

    async def apply_to_fleet(self, trouble: Trouble) -> None:
        """A trouble of several processes at once."""
        durable = self.named('core', 'store')
        if trouble.kind is Kind.KILL_ALL:
            for name in durable:
                self.send(name, signal.SIGKILL)
            await asyncio.sleep(trouble.span_s)
            for name in durable:
                self.ensure_started(name)
        if trouble.kind is Kind.SPLIT:
            self.wires.dice.shuffle(durable)
            half = len(durable) // 2
            await self.cut_for({(a, b) for a in durable[:half] for b in durable[half:]}, trouble.span_s)

    async def apply_to_process(self, trouble: Trouble, name: str) -> None:
        """A trouble of one process."""
        if trouble.kind in (Kind.KILL, Kind.WIPE):
            self.send(name, signal.SIGKILL)
            if trouble.kind is Kind.WIPE and not self.alive(name):
                self.wipe(name)
            await asyncio.sleep(max(RESTART_S, trouble.span_s - RESTART_LESS_S))
            self.ensure_started(name)
        elif trouble.kind in OUTSIDE_KINDS:
            self.send(name, signal.SIGKILL)
            await self.keep_from_start(trouble, name)
        elif trouble.kind is Kind.PAUSE:
            self.send(name, signal.SIGSTOP)
            await asyncio.sleep(trouble.span_s)
            self.send(name, signal.SIGCONT)
        elif trouble.kind is Kind.CUT:
            others = [other for other in self.startups if other != name]
            await self.cut_for({(name, other) for other in others}, trouble.span_s)
        elif trouble.kind is Kind.LOSE:
            host = parse_address(self.startups[name]['address'])[0]
            self.wires.breaks[host] = BREAK_SHARE
            await asyncio.sleep(trouble.span_s)
            del self.wires.breaks[host]
        elif trouble.kind is Kind.TERM:
            await self.stop(name)
            await asyncio.sleep(RESTART_S)
            self.ensure_started(name)
        elif trouble.kind is Kind.HUP:
            self.send(name, signal.SIGHUP)
        elif trouble.kind is Kind.ENDLESS_PEER:
            await send_messages(behind(self.startups[name]['address']), trouble.span_s)

    async def keep_from_start(self, trouble: Trouble, name: str) -> None:
        """What somebody else does at the address or the folder of a process that has been killed; it is started
        meanwhile, and has to wait, but for a foreign program, which stands for a machine that is gone."""
        address = behind(self.startups[name]['address'])
        if trouble.kind is Kind.FOREIGN:
            program = ForeignProgram(address, random.Random(f'{name} {trouble.at_s}'))
            await program.open()
            await asyncio.sleep(trouble.span_s)
            program.close()
            await asyncio.sleep(RESTART_S)
            self.ensure_started(name)
            return
        with contextlib.ExitStack() as held:
            if trouble.kind is Kind.ADDRESS_HELD:
                held.enter_context(socket.create_server(parse_address(address)))
            else:
                lock = held.enter_context(
                    open(os.path.join(self.folder, name, 'lock'), 'w', encoding='utf-8')
                )
                fcntl.flock(lock, fcntl.LOCK_EX)
            self.ensure_started(name)
            await asyncio.sleep(trouble.span_s)

    async def apply_series(self, steps: tuple[Step, ...], name: str) -> None:
        """Signals to one process, which is started again whenever it has ended; none waits for the one before."""
        supervisor = asyncio.ensure_future(self.keep_started(name))
        stopping: list[asyncio.Task] = []
        for step in steps:
            if step.kind is Kind.TERM:
                stopping.append(asyncio.ensure_future(self.stop(name)))
            else:
                self.send(name, SIGNALS[step.kind])
            await asyncio.sleep(step.pause_s)
            if step.kind is Kind.PAUSE:
                self.send(name, signal.SIGCONT)
        if stopping:
            await asyncio.wait(stopping)
        supervisor.cancel()
        await asyncio.wait((supervisor,))
        self.ensure_started(name)

    async def keep_started(self, name: str) -> None:
        """Start a process again a moment after each of its ends, and record an end that no signal explains."""
        while True:
            process = self.running[name]
            while self.alive(name):
                await asyncio.sleep(STOP_PAUSE_S)
            if not self.is_expected_end(process):
                self.slips.append(f'ended: {name} with code {process.poll()} in a series')
            await asyncio.sleep(RESTART_S)
            self.ensure_started(name)

    async def stop(self, name: str) -> None:
        """SIGTERM, and SIGKILL after the time of grace; to the process that runs now, and no later one."""
        process, end = self.running[name], self.now() + KILLED_AFTER_S
        self.send(name, signal.SIGTERM)
        while process.poll() is None and self.now() < end:
            await asyncio.sleep(STOP_PAUSE_S)
        if process.poll() is None:
            self.send(name, signal.SIGKILL)
        if process.poll() is not None and not self.is_expected_end(process):
            self.slips.append(f'ended: {name} with code {process.poll()} after SIGTERM')

    async def cut_for(self, pairs: set[tuple[str, str]], span_s: float) -> None:
        """Hold all that goes between these pairs of processes for a while."""
        host = {name: parse_address(startup['address'])[0] for name, startup in self.startups.items()}
        ways = {(host[a], host[b]) for a, b in pairs} | {(host[b], host[a]) for a, b in pairs}
        new = ways - self.wires.cuts
        self.wires.cuts |= new
        await asyncio.sleep(span_s)
        self.wires.mend(new)

    def was_in_trouble(self, gateway: str, since: float) -> bool:
        """Whether the process behind a gateway was in trouble since a time."""
        name = next(n for n, s in self.startups.items() if s.get('gateway') == gateway)
        return any(until >= since for _, until in self.troubled.get(name, ()))

    def over_memory(self) -> list[str]:
        """The processes that have held more than their memory limit, of those that run now."""
        out = []
        for name, startup in self.startups.items():
            if 'memory_mb' in startup and self.alive(name):
                peak_mb = peak_memory_mb(self.running[name].pid)
                if peak_mb > startup['memory_mb']:
                    out.append(f'memory: {name} held {peak_mb:.0f} MB of {startup["memory_mb"]}')
        return out

    def ended_by_themselves(self) -> list[str]:
        """The processes that are down and should not be."""
        return [
            f'ended: {name} with code {process.poll()}'
            for name, process in self.running.items()
            if process.poll() is not None and name not in self.expected_down
        ]
