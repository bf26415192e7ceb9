"""Run: one soak run, from its seed to its findings."""

import asyncio
import json
import random
import re
import shutil
import tempfile
from collections.abc import Callable
from dataclasses import dataclass, field
from datetime import timedelta
from pathlib import Path

from quillstall.network.net import parse_address
from quillstall.runtime.journal import VIOLATED
from quillstall.testbed import endless
from quillstall.testbed.host import HostDisk
from quillstall.testbed.loop import finish
from quillstall.testbed.soak import deployment
from quillstall.testbed.soak.clients import Clients
from quillstall.testbed.soak.fleet import SoakFleet
from quillstall.testbed.soak.records import Records, RouteKind, Sent
from quillstall.testbed.soak.replicas import ENDLESS_PAUSE_S, Replica, answer_body
from quillstall.testbed.soak.troubles import (
    Act,
    Kind,
    Trouble,
    draw_act,
    draw_early_kill,
    with_endless_input,
    with_outside_troubles,
    with_series,
)

RECOVERY = timedelta(seconds=12)
CATCH_UP_S = 4.8
CALM_S = 4.0
SERVED_LEAST = 0.9  # of what is asked in a calm time
COUNTED_LEAST = 5
FINISH_S = 12.0
SWEEP_MOST = 40
DRAIN_MS = 7400
EVIDENCE = re.compile(rf'Traceback|{VIOLATED}|http\.fault|program_failed|drain_failed')


@dataclass
class Report:
    """What came of one run."""

    seed: int
    acts: list[str] = field(default_factory=list)
    outcomes: dict[str, int] = field(default_factory=dict)
    changes: int = 0
    wrong: list[str] = field(default_factory=list)  # the violations
    folder: str = ''  # where the logs are kept, if there are violations
    host_sync_ms: int = 0  # the longest that a sync of our own took on this machine's disk meanwhile


class SoakRun:
    """One run: its fleet, its replicas, its clients, its operator."""

    def __init__(self, seed: int, port: int, folder: str, size: str):
        self.dice = random.Random(seed)
        self.series_dice = random.Random(f'series {seed}')  # apart, so that a seed keeps its other troubles
        self.early_dice = random.Random(f'first start {seed}')
        self.outside_dice = random.Random(f'outside {seed}')
        self.endless_dice = random.Random(f'endless {seed}')
        self.endless_list = ''  # the kind of response without end that the list sends, if any
        self.port = port
        self.report = Report(seed, folder=folder)
        self.records = Records()
        deploy = deployment.deployment(port, DRAIN_MS, deployment.SIZES[size])
        self.fleet = SoakFleet(deploy, folder, self.dice)
        self.replicas = self.make_replicas()
        self.clients = Clients(
            self.records,
            random.Random(self.dice.random()),
            self.fleet.now,
            self.gateway_addresses,
            self.fleet.was_in_trouble,
        )
        self.list_server: asyncio.Server | None = None

    def make_replicas(self) -> list[Replica]:
        out: list[Replica] = []
        for pool, count in deployment.LISTED.items():
            for number in range(count):
                address = f'127.0.6.{len(out) + 1}:{self.port}'
                dice = random.Random(self.dice.random())
                out.append(Replica(f'{pool}-{number}', pool, address, self.records, dice, self.fleet.now))
        return out

    def gateway_addresses(self) -> list[str]:
        """The gateways that clients are sent to: all but those whose process has ended."""
        names = self.fleet.named('route')
        up = [name for name in names if self.fleet.alive(name)]
        return [self.fleet.startups[name]['gateway'] for name in up or names]

    async def serve_list(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        """Answer whoever asks for the list of replicas."""
        rows: dict[str, dict] = {}
        for replica in self.replicas:
            row = {
                'address': replica.address,
                'zone': 'z0',
                'slots': replica.slots,
                'ready': True,
                'cold': False,
            }
            rows.setdefault(replica.pool, {})[replica.name] = row
        body = json.dumps(rows).encode()
        try:
            while True:
                await reader.readuntil(b'\r\n\r\n')
                if self.endless_list:
                    await endless.send(writer, endless.KINDS[self.endless_list]({}), ENDLESS_PAUSE_S)
                writer.write(b'HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n' % len(body) + body)
                await writer.drain()
        except (OSError, asyncio.IncompleteReadError):
            writer.close()

    async def play(self, acts: int) -> Report:
        """The whole run: `await run.play(3)`."""
        fleet = self.fleet
        work: list[asyncio.Task] = []
        try:
            for replica in self.replicas:
                await replica.open()
            self.list_server = await asyncio.start_server(
                self.serve_list, *parse_address(deployment.list_address(self.port))
            )
            await self.open_fleet()
            host_disk = HostDisk(self.report.folder)
            work = [
                asyncio.ensure_future(w)
                for w in (self.clients.play(), fleet.operators.work(), fleet.watch(), host_disk.watch())
            ]
            for _ in range(acts):
                durable, routing = fleet.named('core', 'store'), fleet.named('route')
                act = draw_act(self.dice, durable, routing)
                act = with_series(act, self.series_dice, durable, routing)
                act = with_outside_troubles(act, self.outside_dice, durable)
                await self.play_act(with_endless_input(act, self.endless_dice, durable + routing))
            await self.end(work)
            self.report.host_sync_ms = host_disk.longest_ms
        except TimeoutError as e:
            self.records.report('recover', f'the fleet did not come up: {e}')
        finally:
            for task in work:
                task.cancel()
            self.close()
        self.report.wrong = self.records.violations
        self.report.outcomes = dict(sorted(self.records.outcomes.items()))
        return self.report

    async def open_fleet(self) -> None:
        """Start all processes; in some of the runs one of them is killed while the fleet is formed."""
        early = draw_early_kill(self.early_dice, self.fleet.named('core', 'store'))
        if early is None:
            await self.fleet.open()
            return
        self.report.acts.append(f'first start: {early.describe()}')
        await asyncio.gather(self.fleet.open(), self.fleet.kill_while_forming(early))

    async def play_act(self, act: Act) -> None:
        """Troubles that overlap, then the time in which service must come back."""
        began = len(self.records.violations)
        fleet, clients = self.fleet, self.clients
        clients.strict = act.planned
        await asyncio.gather(*[self.inject(trouble) for trouble in act.troubles])
        calm_from = fleet.now()
        try:
            await fleet.until_served(RECOVERY)
        except TimeoutError:
            late = [n for n in fleet.named('route') if not await fleet.ready(n)]
            self.records.report('recover', f'not ready {RECOVERY} after the last trouble: {late}')
        clients.strict = False
        await asyncio.sleep(max(0.0, calm_from + CATCH_UP_S + 1 - fleet.now()))
        await self.judge_calm()
        self.records.violations += fleet.ended_by_themselves() + fleet.over_memory()
        heading = 'planned' if act.planned else 'troubles'
        lines = '; '.join(trouble.describe() for trouble in act.troubles)
        found = len(self.records.violations) - began
        self.report.acts.append(f'{heading}: {lines}' + (f' -> {found} findings' if found else ''))

    async def inject(self, trouble: Trouble) -> None:
        """One trouble, of the fleet or of those around it."""
        switch: dict[Kind, Callable[[bool], None]] = {
            Kind.REPLICAS: self.set_replicas_misbehaving,
            Kind.CLIENTS: self.set_clients_misbehaving,
            Kind.CHANGES: self.set_fast_changes,
            Kind.BODIES: self.clients.set_large_bodies,
            Kind.ENDLESS_REPLICAS: self.set_endless_replicas,
            Kind.ENDLESS_LIST: self.set_endless_list,
        }
        change = switch.get(trouble.kind)
        if change is None:
            await self.fleet.apply(trouble)
            return
        await asyncio.sleep(trouble.at_s)
        change(True)
        await asyncio.sleep(trouble.span_s)
        change(False)

    def set_replicas_misbehaving(self, on: bool) -> None:
        for replica in self.replicas:
            replica.misbehaving = on

    def set_endless_replicas(self, on: bool) -> None:
        pool = self.endless_dice.choice(list(deployment.LISTED))
        for replica in self.replicas:
            replica.endless = on and replica.pool == pool

    def set_endless_list(self, on: bool) -> None:
        self.endless_list = self.endless_dice.choice(endless.NEVER_WHOLE) if on else ''

    def set_clients_misbehaving(self, on: bool) -> None:
        self.clients.misbehaving = on

    def set_fast_changes(self, on: bool) -> None:
        self.fleet.operators.pause_s = (0.01, 0.1) if on else (0.3, 2.5)

    async def judge_calm(self) -> None:
        """With no trouble left, each kind of request is served."""
        clients = self.clients
        clients.calm, clients.calm_since, clients.calm_outcomes = True, self.fleet.now(), {}
        clients.strict = True
        await asyncio.sleep(CALM_S)
        clients.calm = clients.strict = False
        for kind in RouteKind:
            good, bad = (clients.calm_outcomes.get((kind, well), 0) for well in (True, False))
            if good + bad >= COUNTED_LEAST and good < SERVED_LEAST * (good + bad):
                self.records.report(
                    'recover', f'{kind.value}: {good} of {good + bad} were served in a calm time'
                )

    # ---- the end

    async def end(self, work: list[asyncio.Task]) -> None:
        """Ask for all that was acknowledged, and judge what can be judged only in the end."""
        fleet, operators = self.fleet, self.fleet.operators
        operators.over = True
        await asyncio.wait(work[1:2], timeout=FINISH_S)
        await self.ask_again()
        await self.clients.finish(FINISH_S)
        for _ in range(20):
            status, shown = await fleet.ask('GET', '/v1/policy')
            if status == 200:
                operators.kept(shown)
                break
            await asyncio.sleep(0.3)
        else:
            self.records.report('kept', f'no core shows the policy: {status} {shown}')
        self.report.changes = len(operators.acked)
        for watcher in work:
            if watcher.done() and not watcher.cancelled() and watcher.exception():
                raise watcher.exception()
        self.records.violations += (
            operators.wrong + fleet.slips + fleet.ended_by_themselves() + self.outdated()
        )
        self.records.violations += self.evidence()

    async def ask_again(self) -> None:
        """Keyed calls that were answered get the same answer again."""
        clients = self.clients
        keys = [key for key, runs in self.records.key_runs.items() if len(runs) == 1][-SWEEP_MOST:]
        for key in keys:
            run = self.records.key_runs[key][0]
            old = self.records.sent[run.ident]
            sent = Sent(clients.name('x'), RouteKind.KEYED, old.path, old.body, self.fleet.now(), '', key)
            sent.node = clients.dice.choice(clients.nodes())
            answer = await clients.try_once(sent, {'Idempotency-Key': key}, old.body)
            if answer.well and answer.body != answer_body(run):
                self.records.report('mixed', f'{key} was answered {answer.body!r}, its run was {run}')

    def outdated(self) -> list[str]:
        """Requests that followed a policy that had been replaced."""
        calls = self.fleet.operators.history.calls
        out = []
        for ident, runs in self.records.runs.items():
            sent = self.records.sent[ident]
            if sent.kind is RouteKind.SPLIT:
                found = [deployment.outdated_split(run, sent, calls) for run in runs]
                out += [f'config: {text}' for text in found if text]
        return out

    def evidence(self) -> list[str]:
        """Lines in the processes' logs that tell of faults of our own."""
        out = []
        for path in sorted(Path(self.report.folder).glob('*.log')):
            for line in path.read_text(encoding='utf-8', errors='replace').splitlines():
                if EVIDENCE.search(line):
                    out.append(f'log: {path.name}: {line[:300]}')
        return out[:40]

    def close(self) -> None:
        """End all that this run started."""
        self.fleet.close()
        for replica in self.replicas:
            replica.close()
        if self.list_server:
            self.list_server.close()


def soak(seed: int, acts: int, port: int, keep_in: str | None = None, size: str = 'small') -> Report:
    """One run on a loop of its own: `soak(1, 3, 7000)`."""
    loop = asyncio.new_event_loop()
    try:
        return loop.run_until_complete(play(seed, acts, port, keep_in, size))
    finally:
        loop.set_exception_handler(lambda *_: None)  # links that are cut off in the end
        finish(loop)


def write_evidence(folder: Path, run: SoakRun) -> None:
    """Keep the report and all that clients and replicas saw beside the processes' logs."""
    (folder / 'report.json').write_text(json.dumps(vars(run.report), indent=1), encoding='utf-8')
    lines = [json.dumps(answer) for answer in run.records.answers]
    (folder / 'answers.jsonl').write_text('\n'.join(lines), encoding='utf-8')
    runs = [run for row in run.records.runs.values() for run in row]
    lines = [json.dumps({**vars(run), 'body': run.body.decode('latin1')}) for run in runs]
    (folder / 'runs.jsonl').write_text('\n'.join(lines), encoding='utf-8')
    calls = [call.describe() for call in run.fleet.operators.history.calls]
    (folder / 'operators.txt').write_text('\n'.join(calls), encoding='utf-8')


async def play(seed: int, acts: int, port: int, keep_in: str | None = None, size: str = 'small') -> Report:
    """One run in a folder of its own, which is kept if there are violations: `await play(1, 3, 7000)`."""
    folder = tempfile.mkdtemp(prefix=f'soak-{seed}-', dir=keep_in)
    run = SoakRun(seed, port, folder, size)
    report = await run.play(acts)
    if report.wrong:
        write_evidence(Path(folder), run)
    else:
        shutil.rmtree(folder, ignore_errors=True)
        report.folder = ''
    return report
