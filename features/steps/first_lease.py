"""Steps on how soon a routing node may serve after its start."""

from behave import given, then, when

from quillstall.testbed.deploy import cartalume
from quillstall.testbed.sim import World
from quillstall.testbed.town import Town

SEED = 3
POLL_INTERVAL_S = 0.005
NODE = 'route2'


@given('a simulated fleet whose machines have all lost power')
def given_power_loss(context):
    async def open_and_kill_all(world):
        town = Town(world, cartalume())
        await town.open()
        await town.sleep(2)
        for name in town.startups:
            world.kill(town.machines[name])
        await town.sleep(0.5)
        return town

    context.open_fleet = open_and_kill_all


@when('a routing node is started, and the stores {delay_ms:d} ms later')
def start_node_before_stores(context, delay_ms):
    async def script(world):
        town = await context.open_fleet(world)
        town.start(NODE)
        await town.sleep(delay_ms / 1000)
        for name in town.named('store'):
            town.start(name)
        stores_started, node = world.now(), town.hosts[NODE]
        while (world.now() - stores_started).total_seconds() < 2:
            if node.state.lease and node.state.policy:
                return (world.now() - stores_started).total_seconds()
            await town.sleep(POLL_INTERVAL_S)
        return None

    context.lease_delay_s = World.play(SEED, script)


@then('it has a lease and a policy within {max_ms:d} ms of the stores')
def leased_within(context, max_ms):
    assert context.lease_delay_s is not None and context.lease_delay_s * 1000 <= max_ms, context.lease_delay_s
