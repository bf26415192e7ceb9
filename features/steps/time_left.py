"""Steps on the time that a turn must have left to be sent, depending on the prefix cache of its replica."""

import asyncio
from datetime import UTC, datetime, timedelta

from behave import given, then, when
from immutables import Map

from quillstall.dataplane.admission import reducer, service_time
from quillstall.dataplane.admission.admission_state import Pool, RunningTask, ServiceTime, State, Task
from quillstall.dataplane.admission.messages import Health, Leave
from quillstall.network.web import fetch
from quillstall.testbed.rehearse import small
from quillstall.testbed.sim import World
from quillstall.testbed.town import Town

SEED = 4
DEADLINE_MS = 2000
KNOWN, NEW = 'known', 'new'
MEASURED_TURNS = 25
T0 = datetime(2026, 1, 1, tzinfo=UTC)


class Turns:
    """Turns of one route at one routing node of a simulated fleet."""

    def __init__(self, world):
        self.town = Town(world, small(0.001, deadline_ms=DEADLINE_MS, routes=1))
        self.sent = 0

    async def send(self, shared):
        """Send one turn; return its status, its body and how long it took."""
        self.sent += 1
        body = {
            'route': 'ruling',
            'prompt': f'turn {self.sent}',
            'prompt_tokens': 14_000,
            'max_tokens': 16,
            'deadline_ms': DEADLINE_MS,
            'shared': shared,
        }
        start, town = self.town.clock.now(), self.town
        limit = timedelta(milliseconds=2 * DEADLINE_MS)
        status, data, _ = await fetch(
            town.hand.web, town.crowd.doors[0], 'POST', '/v1/turns', body, limit=limit
        )
        return status, data, town.clock.now() - start

    async def measure(self):
        """Start the fleet and send turns until the node has measured their service time."""
        await self.town.open()
        for _ in range(MEASURED_TURNS):
            status, data, _ = await self.send(KNOWN)
            assert status == 200, data

    async def send_while_stores_are_frozen(self, shared, left):
        """Send a turn whose store answers only when the turn has `left` seconds left."""
        world, town = self.town.world, self.town
        stores = [town.machines[name] for name in town.named('store')]
        for machine in stores:
            world.freeze(machine)
        turn = asyncio.ensure_future(self.send(shared))
        await world.sleep(DEADLINE_MS / 1000 - left)
        for machine in stores:
            world.thaw(machine)
        return await turn

    def sent_to_replicas(self):
        """Return how many turns have been sent to replicas."""
        return sum(len(replica.runs) for replica in self.town.replicas.values())


def play(script):
    """Return the result of a script that is run on measured turns in a new simulation."""

    async def main(world):
        turns = Turns(world)
        await turns.measure()
        return await script(turns)

    return World.play(SEED, main)


@given(
    'a simulated fleet whose routing node has measured turns of 0.9 s with a new shared prompt and of 0.3 s with a known one'
)
def measured_fleet(context):
    context.play = play


@when('a turn with a {shared} shared prompt has {left:g} s left when its store answers')
def store_returns(context, shared, left):
    async def script(turns):
        before = turns.sent_to_replicas()
        result = await turns.send_while_stores_are_frozen(shared, left)
        return result, turns.sent_to_replicas() - before, turns.town.judge()

    context.result, context.sent_to_replicas, context.findings = context.play(script)


@when('its route has recently taken 10 s, and a turn with a known shared prompt arrives')
def on_trial(context):
    async def script(turns):
        (node,) = turns.town.nodes()
        slow = ServiceTime(10.0, 0.0)
        node.state = node.state._replace(service_times=node.state.service_times.set('ruling', slow))
        return await turns.send(KNOWN)

    context.result = context.play(script)


@then('it is refused as not run, and no replica has received it')
def refused_unsent(context):
    status, data, _ = context.result
    assert status == 503 and data['ran'] == 'no', context.result
    assert context.sent_to_replicas == 0, context.sent_to_replicas


@then('it is answered in time')
def answered(context):
    status, data, took = context.result
    assert status == 200, data
    assert took <= timedelta(milliseconds=DEADLINE_MS), took


@then('the judge finds nothing')
def no_findings(context):
    assert context.findings == [], context.findings


# ---- admission without a fleet


def turn(name):
    return Task(
        name,
        'ruling',
        'c',
        'p',
        100,
        T0 + timedelta(seconds=3),
        T0,
        shared_prefix=KNOWN,
        prior_service_time=timedelta(seconds=0.5),
    )


def step(context, event):
    context.state, effects = reducer.step(context.state, event, T0)
    return effects


def end_task(context, replica, seconds):
    """Run a turn at a replica, where it succeeds after `seconds`."""
    task = turn(f'turn {context.ended}')
    context.ended += 1
    running = RunningTask(task, replica, T0)
    pool = context.state.pools.get('p') or Pool('p')
    context.state = context.state._replace(
        running_tasks=context.state.running_tasks.set(task.name, running),
        used_slots=context.state.used_slots.set(replica, 1),
        pools=context.state.pools.set('p', pool._replace(running=Map({'c': 1}))),
    )
    step(context, Leave(task.name, 100, timedelta(seconds=seconds)))


@given(
    'a routing node that has measured 0.3 s at "a", where the shared prompt is cached, and 0.9 s where it is new'
)
def measured_without_fleet(context):
    replicas = {r: {'address': '1.1.1.1:1', 'slots': 8} for r in 'ab'}
    policy = {
        'classes': {'c': {'share': 100, 'deadline_ms': 3000}},
        'pools': {'p': {'kind': 'model', 'replicas': replicas}},
    }
    context.state = State(policy=policy, lease=T0 + timedelta(hours=1), allocation={'a': 8, 'b': 8})
    context.ended = 0
    end_task(context, 'a', 0.9)
    for _ in range(MEASURED_TURNS):
        end_task(context, 'a', 0.3)


@then('a turn needs {min_a:d} to {max_a:d} ms at "a" and {min_b:d} to {max_b:d} ms at "b"')
def required_time_is(context, min_a, max_a, min_b, max_b):
    for replica, minimum, maximum in (('a', min_a, max_a), ('b', min_b, max_b)):
        required_ms = service_time.required_time(context.state, turn('t'), replica).total_seconds() * 1000
        assert minimum <= required_ms <= maximum, (replica, required_ms)


@when('"{replica}" answers badly once')
def answers_badly(context, replica):
    step(context, Health(replica, False, soft=True))


@when('"{replica}" cannot be reached')
def unreachable(context, replica):
    step(context, Health(replica, False))
