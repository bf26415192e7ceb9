"""Steps about how soon a routing node that starts may serve."""

from behave import given, then, when

from quillstall.testbed.deploy import cartalume
from quillstall.testbed.sim import World
from quillstall.testbed.town import Town

SEED = 3
LOOK_S = 0.005
NODE = 'route2'


@given('a simulated fleet that has lost its power')
def all_down(context):
    async def open_and_kill(world):
        town = Town(world, cartalume())
        await town.open()
        await town.sleep(2)
        for name in town.startups:
            world.kill(town.machines[name])
        await town.sleep(0.5)
        return town

    context.prepare = open_and_kill


@when('a routing node is started, and the stores {wait:d} ms later')
def node_before_stores(context, wait):
    async def script(world):
        town = await context.prepare(world)
        town.start(NODE)
        await town.sleep(wait / 1000)
        for name in town.named('store'):
            town.start(name)
        start, node = world.now(), town.hosts[NODE]
        while (world.now() - start).total_seconds() < 2:
            if node.state.lease and node.state.policy:
                return (world.now() - start).total_seconds()
            await town.sleep(LOOK_S)
        return None

    context.took = World.play(SEED, script)


@then('it has a lease and a policy within {most:d} ms of the stores')
def leased_within(context, most):
    assert context.took is not None and context.took * 1000 <= most, context.took
