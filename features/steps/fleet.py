"""Steps about fleets of real processes that get signals."""

import asyncio
import json
import os
import resource
import signal
import urllib.request
from datetime import timedelta

from behave import given, then, when
from common import reserve_port

from quillstall.controlplane import doctor
from quillstall.controlplane.cli import send_request
from quillstall.network.web import fetch
from quillstall.runtime.errors import Fault
from quillstall.testbed.deploy import DEPLOYS
from quillstall.testbed.fleet import Fleet
from quillstall.testbed.loop import finish

REQUEST_TIMEOUT = timedelta(seconds=4)
STALL_CHECK_INTERVAL_S = 0.05
MIN_STALL_S = 0.15  # the test process was stalled if a check is late by this much


class FleetRun:
    """A running fleet, its event loop, and the traffic that runs on it."""

    def __init__(self, deployment, cuttable_links=False):
        self.loop = asyncio.new_event_loop()
        self.run(self.open(deployment, cuttable_links))

    async def open(self, deployment, cuttable_links):
        """Start the processes of a deployment, and the checks that run beside its traffic."""
        self.fleet = Fleet(DEPLOYS[deployment]('127.0', reserve_port()), wires=cuttable_links)
        try:
            await self.fleet.open()
        except BaseException:
            self.fleet.close()  # otherwise its processes would keep running
            raise
        self.watch = asyncio.ensure_future(self.fleet.watch())
        self.stalls = []  # (time, duration in ms) of each stall of this process
        self.stall_watch = asyncio.ensure_future(self.watch_for_stalls())
        self.cores = self.fleet.cores.split(',')

    def run(self, awaitable):
        return self.loop.run_until_complete(awaitable)

    async def watch_for_stalls(self):
        """Record when this process was stalled itself, to tell that from a fault of the fleet."""
        while True:
            before = self.loop.time()
            await asyncio.sleep(STALL_CHECK_INTERVAL_S)
            late = self.loop.time() - before - STALL_CHECK_INTERVAL_S
            if late >= MIN_STALL_S:
                self.stalls.append((self.fleet.clock.now().isoformat(), round(late * 1000)))

    def stalls_report(self):
        """Return a line for each stall of this process and of the fleet's processes, to explain a failure."""
        lines = [f'here: {at} {duration} ms' for at, duration in self.stalls]
        for name in sorted(self.fleet.startups):
            path = os.path.join(self.fleet.folder, f'{name}.log')
            with open(path, encoding='utf-8', errors='replace') as file:
                lines += [line.strip()[:160] for line in file if 'tick_late' in line or 'step_slow' in line]
        return lines

    async def primary(self):
        """Return the name of the core that is primary, once there is one; the time of an election is not checked."""
        deadline = self.loop.time() + 60
        while self.loop.time() < deadline:
            for core in self.cores:
                try:
                    _, body, _ = await fetch(
                        self.fleet.ctx.web, core, 'GET', '/v1/status', limit=REQUEST_TIMEOUT
                    )
                except Exception:
                    continue
                if body.get('primary'):
                    return body['me'].rpartition('-')[0]
            await asyncio.sleep(0.1)
        raise AssertionError('no core is primary')

    async def run_traffic(self, seconds):
        """Run the deployment's traffic, at half its rate, for some seconds."""
        await self.fleet.crowd.play(timedelta(seconds=seconds), 0.5)

    def close(self):
        self.fleet.close()
        finish(self.loop)


@given('the deployment "{deployment}" as a running fleet')
def start_fleet(context, deployment):
    context.fleet_run = FleetRun(deployment)
    context.add_cleanup(context.fleet_run.close)
    context.fleet_run.run(context.fleet_run.run_traffic(2))


@given('the deployment "{deployment}" as a running fleet with links that can be cut')
def start_fleet_with_cuttable_links(context, deployment):
    context.fleet_run = FleetRun(deployment, True)
    context.add_cleanup(context.fleet_run.close)
    context.fleet_run.run(context.fleet_run.run_traffic(2))


@when(
    "the core's primary is cut off from the other cores and a store from another under traffic, then the links are healed"
)
def cut_links(context):
    fleet_run, fleet = context.fleet_run, context.fleet_run.fleet

    async def script():
        context.old_primary = await fleet_run.primary()
        fleet.crowd.spawn(fleet_run.run_traffic(10))
        for name in ('core0', 'core1', 'core2'):
            if name != context.old_primary:
                fleet.cut(context.old_primary, name)
        fleet.cut('store0', 'store1')
        await fleet_run.run_traffic(6)
        fleet.wires.heal()
        await fleet_run.run_traffic(3)
        await fleet.crowd.idle(timedelta(seconds=60))

    fleet_run.run(script())


@then('another core is primary')
def another_core_is_primary(context):
    assert context.fleet_run.run(context.fleet_run.primary()) != context.old_primary


@when(
    "the core's primary and a store are killed and lose their data folders, and both start again under traffic"
)
def lose_primary_and_store(context):
    fleet_run, fleet = context.fleet_run, context.fleet_run.fleet

    async def script():
        core = await fleet_run.primary()
        fleet.crowd.spawn(fleet_run.run_traffic(14))
        for name in (core, 'store1'):
            fleet.kill(name)
            fleet.wipe(name)
        await fleet_run.run_traffic(5)
        for name in (core, 'store1'):
            fleet.start(name)
        await fleet.crowd.idle(timedelta(seconds=60))

    fleet_run.run(script())


@when(
    "the core's primary, a store and a routing node are stopped by SIGSTOP in turn under traffic and resumed"
)
def stop_three_in_turn(context):
    fleet_run, fleet = context.fleet_run, context.fleet_run.fleet

    async def script():
        for name in (await fleet_run.primary(), 'store2', 'route3'):
            fleet.crowd.spawn(fleet_run.run_traffic(6))
            fleet.kill(name, signal.SIGSTOP)
            fleet.frozen.add(fleet.startups[name]['http'])
            await fleet_run.run_traffic(5)
            fleet.kill(name, signal.SIGCONT)
        await fleet.crowd.idle(timedelta(seconds=60))

    fleet_run.run(script())


@when('all processes are killed at once after some traffic, and started again')
def kill_all(context):
    fleet_run, fleet = context.fleet_run, context.fleet_run.fleet

    async def script():
        await fleet.crowd.idle(timedelta(seconds=60))
        for _ in range(3):
            status, body, _ = await fetch(
                fleet.ctx.web,
                fleet_run.cores[0],
                'PATCH',
                '/v1/policy',
                {'keeping_s': 345},
                limit=timedelta(seconds=12),
            )
            if status == 200:
                break
        assert status == 200, body
        names = [s['name'] for s in fleet.deploy.machines]
        for name in names:
            fleet.running[name].send_signal(signal.SIGKILL)
        for name in names:
            fleet.running[name].wait()
        for name in names:
            fleet.start(name)
        await fleet.until_served(timedelta(seconds=60))
        await fleet_run.run_traffic(3)
        await fleet.crowd.idle(timedelta(seconds=60))

    fleet_run.run(script())


@when(
    'all cores are stopped by SIGSTOP under traffic, a routing node is restarted meanwhile, and the cores are resumed'
)
def stop_all_cores(context):
    fleet_run, fleet = context.fleet_run, context.fleet_run.fleet

    async def script():
        for name in ('core0', 'core1', 'core2'):
            fleet.kill(name, signal.SIGSTOP)
        fleet.crowd.spawn(fleet_run.run_traffic(24))
        await asyncio.sleep(6)
        fleet.kill('route2')
        fleet.start('route2')
        await asyncio.sleep(9)
        context.responses = {}
        for address in fleet.crowd.doors:  # every lease that a core granted has expired long ago
            for _ in range(20):
                status, body, _ = await fetch(
                    fleet.ctx.web,
                    address,
                    'POST',
                    '/v1/turns',
                    {'route': 'ruling', 'prompt': f'alone {address}', 'max_tokens': 4, 'deadline_ms': 10_000},
                    limit=timedelta(seconds=12),
                )
                if status == 200:
                    break
            context.responses[address] = status, body.get('code')
        for name in ('core0', 'core1', 'core2'):
            fleet.kill(name, signal.SIGCONT)
        await fleet.crowd.idle(timedelta(seconds=60))

    fleet_run.run(script())


@then('every routing node answered with status 200 while all cores were stopped')
def all_routing_nodes_answered(context):
    assert len(context.responses) == 7 and {s for s, _ in context.responses.values()} == {200}, (
        context.responses
    )


@when('operators change the policy while a core, a store and a replica are lost in turn under traffic')
def operators_work(context):
    fleet_run, fleet = context.fleet_run, context.fleet_run.fleet

    async def script():
        operators = asyncio.ensure_future(fleet.operators.work())
        fleet.crowd.spawn(fleet_run.run_traffic(45))
        for name in (await fleet_run.primary(), 'store0', 'model1'):
            if name == 'model1':
                status, _ = await fleet.ask('POST', '/v1/leaving', {'replicas': [name]})
                assert status == 200, status
                await asyncio.sleep(3)
                context.requests_when_leaving = (await fleet.logs())[name]['counts'].get('asked', 0)
                await asyncio.sleep(4)
                context.requests_later = (await fleet.logs())[name]['counts'].get('asked', 0)
            fleet.kill(name)
            await asyncio.sleep(5)
            fleet.start(name)
            await asyncio.sleep(4)
        await fleet.ask('POST', '/v1/leaving', {'replicas': ['model1'], 'back': True})
        await fleet.crowd.idle(timedelta(seconds=60))
        fleet.operators.over = True
        await operators
        status, policy_reply = await fleet.ask('GET', '/v1/policy')
        assert status == 200, policy_reply
        fleet.operators.kept(policy_reply)

    fleet_run.run(script())


@then("the leaving replica got no new request, and operators' requests were acknowledged")
def leaving_replica_unused(context):
    assert context.requests_when_leaving == context.requests_later, (
        context.requests_when_leaving,
        context.requests_later,
    )
    assert len(context.fleet_run.fleet.operators.acked) > 5, context.fleet_run.fleet.operators.acked


@when("a store's files may not grow under traffic")
def limit_file_size(context):
    fleet_run, fleet = context.fleet_run, context.fleet_run.fleet
    process = fleet.running['store1']
    context.file_size_limits = resource.prlimit(process.pid, resource.RLIMIT_FSIZE)
    resource.prlimit(process.pid, resource.RLIMIT_FSIZE, (4096, context.file_size_limits[1]))

    async def script():
        fleet.crowd.spawn(fleet_run.run_traffic(8))
        for _ in range(80):
            await asyncio.sleep(0.1)
            if 'disk_blocked' in await asyncio.to_thread(journal_kinds, fleet, 'store1'):
                break
        await fleet.crowd.idle(timedelta(seconds=60))

    fleet_run.run(script())


def journal_kinds(fleet, name):
    """Return the kinds of the lines in a process's journal, over HTTP: its log file may not grow either."""
    address = next(s['http'] for s in fleet.deploy.machines if s['name'] == name)
    with urllib.request.urlopen(f'http://{address}/v1/journal', timeout=5) as response:
        return [line['kind'] for line in json.load(response)['lines']]


def disk_kinds(kinds):
    """Return the kinds of lines that are about the disk, in order."""
    return [kind for kind in kinds if kind.startswith('disk_')]


@then('its process runs on, and the last event about the disk in its journal is "{event}"')
def process_runs_on(context, event):
    fleet = context.fleet_run.fleet
    kinds = journal_kinds(fleet, 'store1')
    assert fleet.running['store1'].poll() is None, kinds[-9:]
    assert disk_kinds(kinds)[-1:] == [event], kinds[-9:]


@when('its files may grow again')
def lift_file_size_limit(context):
    fleet_run, fleet = context.fleet_run, context.fleet_run.fleet
    resource.prlimit(fleet.running['store1'].pid, resource.RLIMIT_FSIZE, context.file_size_limits)
    fleet_run.run(fleet_run.run_traffic(4))
    fleet_run.run(fleet.crowd.idle(timedelta(seconds=60)))


@then('the last event about the disk in its journal is "{event}", and its process is still the same')
def disk_serves_again(context, event):
    fleet = context.fleet_run.fleet
    assert (
        disk_kinds(journal_kinds(fleet, 'store1'))[-1:] == [event] and fleet.running['store1'].poll() is None
    )


@when('every core machine is swapped under traffic, one by one')
def swap_all_cores(context):
    fleet_run, fleet = context.fleet_run, context.fleet_run.fleet

    async def script():
        for n in range(3):
            fleet.crowd.spawn(fleet_run.run_traffic(5))
            old_address = fleet.startups[f'core{n}']['address']
            new_address = fleet.add(f'core{n + 3}', f'core{n}', f'127.0.1.{101 + n}')
            for _ in range(30):
                await asyncio.sleep(0.5)
                try:
                    status, body, _ = await send_request(
                        fleet.cores, 'POST', '/v1/swap', {'name': old_address, 'by': new_address}
                    )
                except Fault as e:
                    status, body = 0, e.code
                if status == 200:
                    break
            assert status == 200, (status, body)
            fleet.drop(f'core{n}')
            await fleet.crowd.idle(timedelta(seconds=30))
        fleet_run.cores = fleet.cores.split(',')

    fleet_run.run(script())


@when('a routing node and a store are restarted with their first settings files, and then all processes are')
def restart_with_first_settings(context):
    fleet_run, fleet = context.fleet_run, context.fleet_run.fleet

    async def script():
        for name in ('route1', 'store1'):
            fleet.kill(name)
            fleet.start(name)
        await fleet.until_served(timedelta(seconds=60))
        await fleet_run.run_traffic(4)
        await fleet.crowd.idle(timedelta(seconds=60))
        names = [n for n, s in fleet.startups.items() if 'role' in s]
        for name in names:
            fleet.running[name].send_signal(signal.SIGKILL)
        for name in names:
            fleet.running[name].wait()
            fleet.start(name)
        await fleet.until_served(timedelta(seconds=60))
        await fleet_run.run_traffic(4)
        await fleet.crowd.idle(timedelta(seconds=60))

    fleet_run.run(script())


@then('no invariant is violated by the fleet')
def no_invariant_violated(context):
    if context.fleet_run.watch.done():
        context.fleet_run.watch.result()  # raises the error that ended it early, which is no violation
    violations = context.fleet_run.run(context.fleet_run.fleet.judge())
    assert violations == [], '\n'.join([*violations[:5], 'stalls:', *context.fleet_run.stalls_report()[-60:]])
    assert context.fleet_run.fleet.crowd.report()['total']['good'] > 50


@then('doctor finds nothing broken within a minute')
def doctor_finds_nothing(context):
    async def script():
        for _ in range(60):
            findings = doctor.diagnose(*await doctor.query_cores(context.fleet_run.cores))
            if not [f for f in findings if f.level in ('fault', 'warn')]:
                return findings
            await context.fleet_run.run_traffic(1)
        return findings

    findings = context.fleet_run.run(script())
    assert not [f for f in findings if f.level in ('fault', 'warn')], findings


@then('the policy that was acknowledged is in force')
def policy_in_force(context):
    fleet_run = context.fleet_run
    _, body, _ = fleet_run.run(
        fetch(fleet_run.fleet.ctx.web, fleet_run.cores[1], 'GET', '/v1/policy', limit=REQUEST_TIMEOUT)
    )
    assert body['policy']['keeping_s'] == 345 and body['generation'] == 2, body['generation']
    routes = [n for n in body['status']['nodes'].values() if n['role'] == 'route']
    assert len(routes) == 7 and all(n['generation'] == 2 for n in routes), routes


@then('the turns that were retained before can be continued')
def retained_turns_continue(context):
    fleet = context.fleet_run.fleet
    crowd = fleet.crowd

    async def script():
        continued = 0
        for turn_id, _, history, flow, program in crowd.kept[:25]:
            body = {
                'route': flow.route,
                'prompt': f'{program} once more',
                'prompt_tokens': 100,
                'max_tokens': 16,
                'program': program,
                'budget': 100_000,
                'continues': turn_id,
                'deadline_ms': 20_000,
                'stream': False,
            }
            for _ in range(6):
                answered, _, retry_after_ms = await crowd.turn(
                    flow._replace(name='after', deadline_ms=20_000), body, history
                )
                if answered:
                    continued += 1
                    break
                # on a busy machine the nodes have learned long turn times, and ask for a long wait
                await asyncio.sleep((retry_after_ms or 300) / 1000)
        return continued

    expected = len(crowd.kept[:25])
    assert expected > 10, expected
    continued = context.fleet_run.run(script())
    assert continued == expected, (
        continued,
        expected,
        {k: n for k, n in crowd.counts.items() if 'after' in k},
    )
    assert not crowd.wrong, crowd.wrong[:3]
