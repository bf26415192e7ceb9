"""Steps on the list of replicas: how soon each routing node learns of a change."""

from datetime import UTC, datetime, timedelta
from unittest.mock import patch

from behave import given, then, when

from quillstall.network import listing
from quillstall.runtime.errors import Fault
from quillstall.testbed.sim import World
from quillstall.testbed.town import play

EPOCH = datetime(2026, 1, 1, tzinfo=UTC)
MAX_DETECTION_TIME = timedelta(seconds=3)  # from the change of the platform's list


class SimPlatform:
    """A platform with one replica, or two, that answers each machine not partitioned from it."""

    def __init__(self):
        self.draining = False
        self.lists_second_replica = False
        self.unreachable_from: set[str] = set()  # names of machines

    def pools(self) -> dict:
        row = {'address': '10.8.0.1:1', 'zone': 'z0', 'slots': 4, 'ready': not self.draining, 'cold': False}
        return {'model': {'r1': row, **({'r2': {**row, 'ready': True}} if self.lists_second_replica else {})}}


class SimLister:
    """The client of the platform on one machine."""

    def __init__(self, platform: SimPlatform, world: World, machine, clock):
        self.platform, self.world, self.machine, self.clock = platform, world, machine, clock

    async def poll(self) -> dict:
        at = self.clock.now().timestamp()
        if self.machine.name in self.platform.unreachable_from:
            await self.world.sleep(0.5)
            raise Fault('slow', 'the platform does not answer')
        pools = self.platform.pools()
        await self.world.sleep(0.02)
        return {'at': at, 'pools': pools, 'digest': listing.digest(pools)}


def knows_of_drain(node) -> bool:
    row = node.state.listing.get('pools', {}).get('model', {}).get('r1')
    return row is not None and not row['ready']


def run_drain(context, faults, unaware=()):
    """Inject the faults, start the drain, and measure how long each node takes to learn of it."""
    platform, original_ctx = context.platform, World.ctx

    def with_lister(world, machine, startup):
        ctx = original_ctx(world, machine, startup)
        return ctx._replace(lister=SimLister(platform, world, machine, ctx.clock))

    async def script(town):
        for name in town.named('core'):
            town.machines[name].ahead = timedelta(seconds=context.core_clock_offset_s)
        await town.open()
        await faults(town)
        platform.draining, start = True, town.world.now()
        detection_times: dict[str, timedelta] = {}
        while town.world.now() - start < timedelta(seconds=10):
            await town.world.sleep(0.01)
            for node in town.nodes():
                if knows_of_drain(node):
                    detection_times.setdefault(node.name, town.world.now() - start)
        return {node.name: detection_times.get(node.name) for node in town.nodes()}

    with patch.object(World, 'ctx', with_lister):
        context.detection_times = play(context.seed, context.deploy, script)


@given('a platform that lists a replica as ready')
def given_platform(context):
    context.platform, context.core_clock_offset_s = SimPlatform(), 0


@given('the wall clocks of the core are {seconds:g} s off')
def given_core_clock_offset(context, seconds):
    context.core_clock_offset_s = seconds


@when('the primary of the core is partitioned from the platform, and the replica begins to drain 5 s later')
def partition_primary(context):
    async def faults(town):
        status = await town.status()
        context.platform.unreachable_from.add(status['me'].rpartition('-')[0])
        await town.world.sleep(5)

    run_drain(context, faults)


def isolate(town, name):
    """Partition a routing node from all processes of the fleet."""
    for other in town.startups:
        if other != name:
            town.world.cut(name, other)


@when(
    'a routing node that just received a list is partitioned from the core, and the replica begins to drain'
)
def partition_node(context):
    async def faults(town):
        context.platform.lists_second_replica = True
        await town.world.sleep(1.2)
        isolate(town, 'route3')

    run_drain(context, faults)


@when(
    'a routing node that fetched a list itself reaches only the core again, and the replica begins to drain'
)
def heal_node(context):
    async def faults(town):
        isolate(town, 'route3')
        await town.world.sleep(1)
        context.platform.lists_second_replica = True
        await town.world.sleep(3)
        town.world.heal()
        context.platform.unreachable_from.add('route3')
        await town.world.sleep(0.5)

    run_drain(context, faults)


@then('each routing node that reaches the platform knows of the drain within 3 s')
def detected_in_time(context):
    assert context.detection_times, 'no routing node'
    assert all(
        elapsed is not None and elapsed <= MAX_DETECTION_TIME for elapsed in context.detection_times.values()
    ), context.detection_times


@given('a list that was fetched 700 ms ago by a process whose clock is 5 s ahead')
def given_fetched_list(context):
    source_time = EPOCH + timedelta(seconds=5)
    pools = SimPlatform().pools()
    at = (source_time - timedelta(milliseconds=700)).timestamp()
    context.message = listing.to_wire(
        {'at': at, 'pools': pools, 'digest': listing.digest(pools)}, source_time
    )


@when('a routing node receives it in the reply to a poll that it sent 300 ms ago')
def receive_list(context):
    context.listing = listing.from_wire(context.message, EPOCH - timedelta(milliseconds=300))


@then('the node counts it as fetched 1000 ms ago')
def has_age(context):
    age = EPOCH - datetime.fromtimestamp(context.listing['at'], UTC)
    assert age == timedelta(milliseconds=1000), age
