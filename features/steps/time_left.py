"""Steps about the time that a turn must have left to be sent, by what its replica has read."""

import asyncio
from datetime import UTC, datetime, timedelta

from behave import given, then, when
from immutables import Map

from quillstall.dataplane.admission import reducer, service_time
from quillstall.dataplane.admission.admission_state import Pool, Run, Service, State, Task
from quillstall.dataplane.admission.messages import Health, Leave
from quillstall.network.web import fetch
from quillstall.testbed.rehearse import small
from quillstall.testbed.sim import World
from quillstall.testbed.town import Town

SEED = 4
DEADLINE_MS = 2000
KNOWN, NEW = 'known', 'new'
LEARNT_TURNS = 25
T0 = datetime(2026, 1, 1, tzinfo=UTC)


class Turns:
    """Turns of one route at one routing node of a simulated fleet."""

    def __init__(self, world):
        self.town = Town(world, small(0.001, deadline_ms=DEADLINE_MS, routes=1))
        self.asked = 0

    async def ask(self, shared):
        """One turn: its status and body, and how long it took."""
        self.asked += 1
        body = {
            'route': 'ruling',
            'prompt': f'turn {self.asked}',
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

    async def learn(self):
        """The fleet started, and turns answered until the node knows what they take."""
        await self.town.open()
        for _ in range(LEARNT_TURNS):
            status, data, _ = await self.ask(KNOWN)
            assert status == 200, data

    async def ask_while_stores_stand(self, shared, left):
        """A turn whose store returns when it has so long left."""
        world, town = self.town.world, self.town
        stores = [town.machines[name] for name in town.named('store')]
        for machine in stores:
            world.freeze(machine)
        turn = asyncio.ensure_future(self.ask(shared))
        await world.sleep(DEADLINE_MS / 1000 - left)
        for machine in stores:
            world.thaw(machine)
        return await turn

    def runs(self):
        """How often replicas were sent a turn."""
        return sum(len(replica.runs) for replica in self.town.replicas.values())


def play(script):
    """What a script returns that is played with such turns in a new world."""

    async def main(world):
        turns = Turns(world)
        await turns.learn()
        return await script(turns)

    return World.play(SEED, main)


@given(
    'a simulated fleet whose routing node has seen turns of 0.9 s and of 0.3 s, by whether their shared prompt was new'
)
def learnt(context):
    context.play = play


@when('a turn with a {shared} shared prompt has {left:g} s left as its store returns')
def store_returns(context, shared, left):
    async def script(turns):
        before = turns.runs()
        got = await turns.ask_while_stores_stand(shared, left)
        return got, turns.runs() - before, turns.town.judge()

    context.got, context.runs, context.findings = context.play(script)


@when('its route has lately taken 10 s, and a turn with a known shared prompt comes')
def on_trial(context):
    async def script(turns):
        (node,) = turns.town.nodes()
        slow = Service(10.0, 0.0)
        node.state = node.state._replace(service=node.state.service.set('ruling', slow))
        return await turns.ask(KNOWN)

    context.got = context.play(script)


@then('it is refused as not run, and no replica has seen it')
def refused(context):
    status, data, _ = context.got
    assert status == 503 and data['ran'] == 'no', context.got
    assert context.runs == 0, context.runs


@then('it is answered in time')
def answered(context):
    status, data, took = context.got
    assert status == 200, data
    assert took <= timedelta(milliseconds=DEADLINE_MS), took


@then('the judge finds nothing')
def clean(context):
    assert context.findings == [], context.findings


# ---- admission alone


def turn(name):
    return Task(
        name,
        'ruling',
        'c',
        'p',
        100,
        T0 + timedelta(seconds=3),
        T0,
        warm=KNOWN,
        prior=timedelta(seconds=0.5),
    )


def step(context, event):
    context.state, effects = reducer.step(context.state, event, T0)
    return effects


def ends(context, replica, seconds):
    """A turn that runs at a replica and ends well after so many seconds."""
    task = turn(f'turn {context.ended}')
    context.ended += 1
    run = Run(task, replica, T0)
    pool = context.state.pools.get('p') or Pool('p')
    context.state = context.state._replace(
        runs=context.state.runs.set(task.name, run),
        used=context.state.used.set(replica, 1),
        pools=context.state.pools.set('p', pool._replace(running=Map({'c': 1}))),
    )
    step(context, Leave(task.name, 100, timedelta(seconds=seconds)))


@given(
    'a routing node that has learnt 0.3 s at "a", where the shared prompt was read, and 0.9 s where it was new'
)
def learnt_alone(context):
    replicas = {r: {'address': '1.1.1.1:1', 'slots': 8} for r in 'ab'}
    policy = {
        'classes': {'c': {'share': 100, 'deadline_ms': 3000}},
        'pools': {'p': {'kind': 'model', 'replicas': replicas}},
    }
    context.state = State(policy=policy, lease=T0 + timedelta(hours=1), allot={'a': 8, 'b': 8})
    context.ended = 0
    ends(context, 'a', 0.9)
    for _ in range(LEARNT_TURNS):
        ends(context, 'a', 0.3)


@then('a turn needs {least_a:d} to {most_a:d} ms at "a" and {least_b:d} to {most_b:d} ms at "b"')
def needs(context, least_a, most_a, least_b, most_b):
    for replica, least, most in (('a', least_a, most_a), ('b', least_b, most_b)):
        span = service_time.least_time(context.state, turn('t'), replica).total_seconds() * 1000
        assert least <= span <= most, (replica, span)


@when('"{replica}" answers badly once')
def answers_badly(context, replica):
    step(context, Health(replica, False, soft=True))


@when('"{replica}" cannot be reached')
def not_reached(context, replica):
    step(context, Health(replica, False))
