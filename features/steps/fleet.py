"""Steps that send signals to real processes."""

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
from quillstall.controlplane.main import ask
from quillstall.network.web import fetch
from quillstall.runtime.errors import Fault
from quillstall.testbed.deploy import DEPLOYS
from quillstall.testbed.fleet import Fleet
from quillstall.testbed.loop import finish

LIMIT = timedelta(seconds=4)
FEEL_S = 0.05  # how often this process looks whether it stood still
STALL_S = 0.15  # it did, if it comes so much too late


class Story:
    """A fleet, its loop, and the traffic that runs on it."""

    def __init__(self, name, wires=False):
        self.loop = asyncio.new_event_loop()
        self.run(self.open(name, wires))

    async def open(self, name, wires):
        self.fleet = Fleet(DEPLOYS[name]('127.0', reserve_port()), wires=wires)
        try:
            await self.fleet.open()
        except BaseException:
            self.fleet.close()  # else its processes would stay
            raise
        self.watch = asyncio.ensure_future(self.fleet.watch())
        self.stalls = []  # (when, for how many ms) this process stood still
        self.feeling = asyncio.ensure_future(self.feel_stalls())
        self.cores = self.fleet.cores.split(',')

    def run(self, work):
        return self.loop.run_until_complete(work)

    async def feel_stalls(self):
        """Notes when this process was held up itself, to tell that from a fault of the fleet."""
        while True:
            before = self.loop.time()
            await asyncio.sleep(FEEL_S)
            late = self.loop.time() - before - FEEL_S
            if late >= STALL_S:
                self.stalls.append((self.fleet.clock.now().isoformat(), round(late * 1000)))

    def held_up(self):
        """What held up this process and those of the fleet, for whoever reads a failure."""
        rows = [f'here: {at} {span} ms' for at, span in self.stalls]
        for name in sorted(self.fleet.startups):
            path = os.path.join(self.fleet.folder, f'{name}.log')
            with open(path, encoding='utf-8', errors='replace') as file:
                rows += [line.strip()[:160] for line in file if 'tick_late' in line or 'step_slow' in line]
        return rows

    async def primary(self):
        """The name of the core that is primary, once there is one: an election takes as long as it takes."""
        end = self.loop.time() + 60
        while self.loop.time() < end:
            for core in self.cores:
                try:
                    _, body, _ = await fetch(self.fleet.ctx.web, core, 'GET', '/v1/status', limit=LIMIT)
                except Exception:
                    continue
                if body.get('primary'):
                    return body['me'].rpartition('-')[0]
            await asyncio.sleep(0.1)
        raise AssertionError('no core is primary')

    async def traffic(self, seconds):
        await self.fleet.crowd.play(timedelta(seconds=seconds), 0.5)

    def close(self):
        self.fleet.close()
        finish(self.loop)


@given('the deployment "{deploy}" as a running fleet')
def running(context, deploy):
    context.story = Story(deploy)
    context.add_cleanup(context.story.close)
    context.story.run(context.story.traffic(2))


@given('the deployment "{deploy}" as a running fleet with links that can be cut')
def running_wired(context, deploy):
    context.story = Story(deploy, True)
    context.add_cleanup(context.story.close)
    context.story.run(context.story.traffic(2))


@when(
    "the core's primary is cut from the other cores and a store from another under traffic, then all is healed"
)
def cut_links(context):
    story, fleet = context.story, context.story.fleet

    async def script():
        context.old = await story.primary()
        fleet.crowd.spawn(story.traffic(10))
        for name in ('core0', 'core1', 'core2'):
            if name != context.old:
                fleet.cut(context.old, name)
        fleet.cut('store0', 'store1')
        await story.traffic(6)
        fleet.wires.heal()
        await story.traffic(3)
        await fleet.crowd.idle(timedelta(seconds=60))

    story.run(script())


@then('another core is primary')
def other_primary(context):
    assert context.story.run(context.story.primary()) != context.old


@when("the core's primary and a store are killed and their folders lost, and both come back under traffic")
def lose_two(context):
    story, fleet = context.story, context.story.fleet

    async def script():
        core = await story.primary()
        fleet.crowd.spawn(story.traffic(14))
        for name in (core, 'store1'):
            fleet.kill(name)
            fleet.wipe(name)
        await story.traffic(5)
        for name in (core, 'store1'):
            fleet.start(name)
        await fleet.crowd.idle(timedelta(seconds=60))

    story.run(script())


@when("the core's primary, a store and a routing node are frozen in turn under traffic and woken")
def freeze_three(context):
    story, fleet = context.story, context.story.fleet

    async def script():
        for name in (await story.primary(), 'store2', 'route3'):
            fleet.crowd.spawn(story.traffic(6))
            fleet.kill(name, signal.SIGSTOP)
            fleet.frozen.add(fleet.startups[name]['http'])
            await story.traffic(5)
            fleet.kill(name, signal.SIGCONT)
        await fleet.crowd.idle(timedelta(seconds=60))

    story.run(script())


@when('all is killed at once after some traffic, and started again')
def close_all(context):
    story, fleet = context.story, context.story.fleet

    async def script():
        await fleet.crowd.idle(timedelta(seconds=60))
        for _ in range(3):
            status, body, _ = await fetch(
                fleet.ctx.web,
                story.cores[0],
                'PATCH',
                '/v1/policy',
                {'keeping_s': 345},
                limit=timedelta(seconds=12),
            )
            if status == 200:
                break
        assert status == 200, body
        ours = [s['name'] for s in fleet.deploy.machines]
        for name in ours:
            fleet.running[name].send_signal(signal.SIGKILL)
        for name in ours:
            fleet.running[name].wait()
        for name in ours:
            fleet.start(name)
        await fleet.until_served(timedelta(seconds=60))
        await story.traffic(3)
        await fleet.crowd.idle(timedelta(seconds=60))

    story.run(script())


@when('all cores are frozen under traffic, a routing node is started again meanwhile, and the cores wake')
def freeze_core(context):
    story, fleet = context.story, context.story.fleet

    async def script():
        for name in ('core0', 'core1', 'core2'):
            fleet.kill(name, signal.SIGSTOP)
        fleet.crowd.spawn(story.traffic(24))
        await asyncio.sleep(6)
        fleet.kill('route2')
        fleet.start('route2')
        await asyncio.sleep(9)
        context.alone = {}
        for door in fleet.crowd.doors:  # long after every lease that a core gave
            for _ in range(20):
                status, body, _ = await fetch(
                    fleet.ctx.web,
                    door,
                    'POST',
                    '/v1/turns',
                    {'route': 'ruling', 'prompt': f'alone {door}', 'max_tokens': 4, 'deadline_ms': 10_000},
                    limit=timedelta(seconds=12),
                )
                if status == 200:
                    break
            context.alone[door] = status, body.get('code')
        for name in ('core0', 'core1', 'core2'):
            fleet.kill(name, signal.SIGCONT)
        await fleet.crowd.idle(timedelta(seconds=60))

    story.run(script())


@then('every routing node answered well while no core could')
def alone(context):
    assert len(context.alone) == 7 and {s for s, _ in context.alone.values()} == {200}, context.alone


@when('operators change the policy while a core, a store and a replica are lost in turn under traffic')
def operators_work(context):
    story, fleet = context.story, context.story.fleet

    async def script():
        work = asyncio.ensure_future(fleet.operators.work())
        fleet.crowd.spawn(story.traffic(45))
        for name in (await story.primary(), 'store0', 'model1'):
            if name == 'model1':
                status, _ = await fleet.ask('POST', '/v1/leaving', {'replicas': [name]})
                assert status == 200, status
                await asyncio.sleep(3)
                context.left = (await fleet.logs())[name]['counts'].get('asked', 0)
                await asyncio.sleep(4)
                context.later = (await fleet.logs())[name]['counts'].get('asked', 0)
            fleet.kill(name)
            await asyncio.sleep(5)
            fleet.start(name)
            await asyncio.sleep(4)
        await fleet.ask('POST', '/v1/leaving', {'replicas': ['model1'], 'back': True})
        await fleet.crowd.idle(timedelta(seconds=60))
        fleet.operators.over = True
        await work
        status, shown = await fleet.ask('GET', '/v1/policy')
        assert status == 200, shown
        fleet.operators.kept(shown)

    story.run(script())


@then('the leaving replica got nothing new, and operators had their answers')
def left(context):
    assert context.left == context.later, (context.left, context.later)
    assert len(context.story.fleet.operators.acked) > 5, context.story.fleet.operators.acked


@when("a store's files may not grow under traffic")
def no_room(context):
    story, fleet = context.story, context.story.fleet
    proc = fleet.running['store1']
    context.room = resource.prlimit(proc.pid, resource.RLIMIT_FSIZE)
    resource.prlimit(proc.pid, resource.RLIMIT_FSIZE, (4096, context.room[1]))

    async def script():
        fleet.crowd.spawn(story.traffic(8))
        for _ in range(80):
            await asyncio.sleep(0.1)
            if 'disk_blocked' in await asyncio.to_thread(said_by, fleet, 'store1'):
                break
        await fleet.crowd.idle(timedelta(seconds=60))

    story.run(script())


def said_by(fleet, name):
    """The kinds of lines in a process's journal; its log is a file, too, and may not grow either."""
    door = next(s['http'] for s in fleet.deploy.machines if s['name'] == name)
    with urllib.request.urlopen(f'http://{door}/v1/journal', timeout=5) as answer:
        return [line['kind'] for line in json.load(answer)['lines']]


def of_disk(said):
    """What a process has said of its disk, in order."""
    return [kind for kind in said if kind.startswith('disk_')]


@then('its process runs on, and the last that it says of its disk is "{text}"')
def runs_on(context, text):
    fleet = context.story.fleet
    said = said_by(fleet, 'store1')
    assert fleet.running['store1'].poll() is None, said[-9:]
    assert of_disk(said)[-1:] == [text], said[-9:]


@when('its files may grow again')
def room_again(context):
    story, fleet = context.story, context.story.fleet
    resource.prlimit(fleet.running['store1'].pid, resource.RLIMIT_FSIZE, context.room)
    story.run(story.traffic(4))
    story.run(fleet.crowd.idle(timedelta(seconds=60)))


@then('the last that it says of its disk is "{text}", in the process that it was')
def serves_again(context, text):
    fleet = context.story.fleet
    assert of_disk(said_by(fleet, 'store1'))[-1:] == [text] and fleet.running['store1'].poll() is None


@when('every core machine is swapped under traffic, one by one')
def swap_all(context):
    story, fleet = context.story, context.story.fleet

    async def script():
        for n in range(3):
            fleet.crowd.spawn(story.traffic(5))
            old = fleet.startups[f'core{n}']['address']
            new = fleet.add(f'core{n + 3}', f'core{n}', f'127.0.1.{101 + n}')
            for _ in range(30):
                await asyncio.sleep(0.5)
                try:
                    status, body, _ = await ask(fleet.cores, 'POST', '/v1/swap', {'name': old, 'by': new})
                except Fault as e:
                    status, body = 0, e.code
                if status == 200:
                    break
            assert status == 200, (status, body)
            fleet.drop(f'core{n}')
            await fleet.crowd.idle(timedelta(seconds=30))
        story.cores = fleet.cores.split(',')

    story.run(script())


@when('a routing node and a store are started again with their first files, and then everything is')
def old_files(context):
    story, fleet = context.story, context.story.fleet

    async def script():
        for name in ('route1', 'store1'):
            fleet.kill(name)
            fleet.start(name)
        await fleet.until_served(timedelta(seconds=60))
        await story.traffic(4)
        await fleet.crowd.idle(timedelta(seconds=60))
        ours = [n for n, s in fleet.startups.items() if 'role' in s]
        for name in ours:
            fleet.running[name].send_signal(signal.SIGKILL)
        for name in ours:
            fleet.running[name].wait()
            fleet.start(name)
        await fleet.until_served(timedelta(seconds=60))
        await story.traffic(4)
        await fleet.crowd.idle(timedelta(seconds=60))

    story.run(script())


@then('no rule is broken by the fleet')
def none_broken(context):
    if context.story.watch.done():
        context.story.watch.result()  # what ended it early is no verdict
    wrong = context.story.run(context.story.fleet.judge())
    assert wrong == [], '\n'.join([*wrong[:5], 'held up:', *context.story.held_up()[-60:]])
    assert context.story.fleet.crowd.report()['total']['good'] > 50


@then('doctor finds nothing broken within a minute')
def well(context):
    async def script():
        for _ in range(60):
            findings = doctor.diagnose(*await doctor.visit(context.story.cores))
            if not [f for f in findings if f.level in ('fault', 'warn')]:
                return findings
            await context.story.traffic(1)
        return findings

    findings = context.story.run(script())
    assert not [f for f in findings if f.level in ('fault', 'warn')], findings


@then('the policy that was acknowledged is in force')
def in_force(context):
    story = context.story
    _, body, _ = story.run(fetch(story.fleet.ctx.web, story.cores[1], 'GET', '/v1/policy', limit=LIMIT))
    assert body['policy']['keeping_s'] == 345 and body['generation'] == 2, body['generation']
    routes = [n for n in body['status']['nodes'].values() if n['role'] == 'route']
    assert len(routes) == 7 and all(n['generation'] == 2 for n in routes), routes


@then('what was kept before can be continued')
def continued(context):
    fleet = context.story.fleet
    crowd = fleet.crowd

    async def script():
        done = 0
        for ident, _, history, flow, program in crowd.kept[:25]:
            body = {
                'route': flow.route,
                'prompt': f'{program} once more',
                'prompt_tokens': 100,
                'max_tokens': 16,
                'program': program,
                'budget': 100_000,
                'continues': ident,
                'deadline_ms': 20_000,
                'stream': False,
            }
            for _ in range(6):
                got, _, wait = await crowd.turn(
                    flow._replace(name='after', deadline_ms=20_000), body, history
                )
                if got:
                    done += 1
                    break
                await asyncio.sleep(
                    (wait or 300) / 1000
                )  # as it was told; a busy machine has taught long turns
        return done

    wanted = len(crowd.kept[:25])
    assert wanted > 10, wanted
    done = context.story.run(script())
    assert done == wanted, (done, wanted, {k: n for k, n in crowd.counts.items() if 'after' in k})
    assert not crowd.wrong, crowd.wrong[:3]
