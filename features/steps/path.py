"""Steps that run whole deployments."""

import asyncio
from datetime import timedelta

from behave import given, then, when
from common import held_port

from quillstall.testbed.deploy import DEPLOYS
from quillstall.testbed.fleet import play as play_fleet
from quillstall.testbed.town import play as play_town


@given('the deployment "{deploy}" in the simulator with seed {seed:d}')
def town(context, deploy, seed):
    context.deploy, context.seed = deploy, seed


@given('the deployment "{deploy}" as real processes')
def fleet(context, deploy):
    context.deploy, context.seed = deploy, None


async def traffic(town, seconds):
    await town.open()
    await town.crowd.play(timedelta(seconds=seconds))
    await town.crowd.idle()
    status = await town.status()
    return {
        'report': town.crowd.report(),
        'wrong': town.judge(),
        'status': status,
        'trace': list(town.world.trace),
        'messages': town.world.messages,
    }


@when('its callers come for {seconds:d} seconds')
def callers(context, seconds):
    if context.seed is None:
        context.result = asyncio.run(play_fleet(DEPLOYS[context.deploy]('127.0', held_port()), seconds))
    else:
        context.result = play_town(context.seed, context.deploy, lambda t: traffic(t, seconds))


@then('no rule is broken')
def none_broken(context):
    assert context.result['wrong'] == [], context.result['wrong'][:5]


@then('at least {part:d} of 100 pieces of work are answered well')
def answered(context, part):
    total = context.result['report']['total']
    whole = sum(total.values())
    assert whole > 40, total
    assert total.get('good', 0) * 100 >= part * whole, context.result['report']['counts']


@then('every routing node has the policy in force')
def in_force(context):
    status = context.result['status']
    routes = [n for n in status['nodes'].values() if n['role'] == 'route']
    assert len(routes) == 7
    assert all(n['generation'] == status['generation'] == 1 and n['lease'] for n in routes), routes


@then('two runs of "{deploy}" with seed {seed:d} have the same trace and the same report')
def same(context, deploy, seed):
    one, two = [play_town(seed, deploy, lambda t: traffic(t, 3)) for _ in range(2)]
    assert one == two
