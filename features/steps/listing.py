"""Steps on the list of replicas: who may still use an old one, and how long."""

from datetime import UTC, datetime, timedelta
from unittest.mock import patch

from behave import given, then, when

from quillstall.network import listing
from quillstall.runtime.errors import Fault
from quillstall.testbed.sim import World
from quillstall.testbed.town import play

EPOCH = datetime(2026, 1, 1, tzinfo=UTC)
BOUND = timedelta(seconds=3)  # so long after the platform's list shows it, a drain is known


class SimPlatform:
    """A platform with one replica, asked by each machine that is not cut off from it."""

    def __init__(self):
        self.draining = False
        self.second = False  # whether another replica is listed
        self.unreached: set[str] = set()

    def pools(self) -> dict:
        row = {'address': '10.8.0.1:1', 'zone': 'z0', 'slots': 4, 'ready': not self.draining, 'cold': False}
        return {'model': {'r1': row, **({'r2': {**row, 'ready': True}} if self.second else {})}}


class SimLister:
    """What one machine uses to ask the platform."""

    def __init__(self, platform: SimPlatform, world: World, machine, clock):
        self.platform, self.world, self.machine, self.clock = platform, world, machine, clock

    async def poll(self) -> dict:
        at = self.clock.now().timestamp()
        if self.machine.name in self.platform.unreached:
            await self.world.sleep(0.5)
            raise Fault('slow', 'the platform does not answer')
        pools = self.platform.pools()
        await self.world.sleep(0.02)
        return {'at': at, 'pools': pools, 'digest': listing.digest(pools)}


def knows(node) -> bool:
    row = node.state.listing.get('pools', {}).get('model', {}).get('r1')
    return row is not None and not row['ready']


def played(context, troubles, unaware=()):
    """Let trouble begin, then the drain; how long each node took to know of it."""
    platform, plain = context.platform, World.ctx

    def with_lister(world, machine, startup):
        ctx = plain(world, machine, startup)
        return ctx._replace(lister=SimLister(platform, world, machine, ctx.clock))

    async def script(town):
        for name in town.named('core'):
            town.machines[name].ahead = timedelta(seconds=context.core_ahead)
        await town.open()
        await troubles(town)
        platform.draining, start = True, town.world.now()
        took: dict[str, timedelta] = {}
        while town.world.now() - start < timedelta(seconds=10):
            await town.world.sleep(0.01)
            for node in town.nodes():
                if knows(node):
                    took.setdefault(node.name, town.world.now() - start)
        return {node.name: took.get(node.name) for node in town.nodes()}

    with patch.object(World, 'ctx', with_lister):
        context.took = play(context.seed, context.deploy, script)


@given('a platform that lists a replica as ready')
def listed(context):
    context.platform, context.core_ahead = SimPlatform(), 0


@given('the wall clocks of the core are {seconds:g} s off')
def core_off(context, seconds):
    context.core_ahead = seconds


@when('the primary of the core is cut off from the platform, and the replica begins to drain 5 s later')
def primary_cut(context):
    async def troubles(town):
        status = await town.status()
        context.platform.unreached.add(status['me'].rpartition('-')[0])
        await town.world.sleep(5)

    played(context, troubles)


def cut_off(town, name):
    """Cut a routing node off from all of ours."""
    for other in town.startups:
        if other != name:
            town.world.cut(name, other)


@when('a routing node with a list just given by the core is cut off from it, and the replica begins to drain')
def node_cut(context):
    async def troubles(town):
        context.platform.second = True
        await town.world.sleep(1.2)
        cut_off(town, 'route3')

    played(context, troubles)


@when('a routing node with a list of its own reaches only the core again, and the replica begins to drain')
def node_back(context):
    async def troubles(town):
        cut_off(town, 'route3')
        await town.world.sleep(1)
        context.platform.second = True
        await town.world.sleep(3)
        town.world.heal()
        context.platform.unreached.add('route3')
        await town.world.sleep(0.5)

    played(context, troubles)


@then('each routing node in touch with the platform knows it within 3 s')
def known(context):
    assert context.took, 'no routing node'
    assert all(t is not None and t <= BOUND for t in context.took.values()), context.took


@given('a list that was looked up 700 ms ago by a process whose clock is 5 s ahead')
def looked_up(context):
    source_now = EPOCH + timedelta(seconds=5)
    pools = SimPlatform().pools()
    at = (source_now - timedelta(milliseconds=700)).timestamp()
    context.message = listing.to_wire({'at': at, 'pools': pools, 'digest': listing.digest(pools)}, source_now)


@when('a routing node takes it in an answer to a poll that it sent 300 ms ago')
def taken(context):
    context.rows = listing.from_wire(context.message, EPOCH - timedelta(milliseconds=300))


@then('the node counts it as looked up 1000 ms ago')
def counted(context):
    age = EPOCH - datetime.fromtimestamp(context.rows['at'], UTC)
    assert age == timedelta(milliseconds=1000), age
