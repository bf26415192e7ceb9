"""Steps that run whole deployments, simulated or as real processes."""

import asyncio
from datetime import timedelta

from behave import given, then, when
from common import reserve_port

from quillstall.testbed.deploy import DEPLOYS
from quillstall.testbed.fleet import play as play_fleet
from quillstall.testbed.town import play as play_town


@given('the deployment "{deploy}" in the simulator with seed {seed:d}')
def given_simulated_deployment(context, deploy, seed):
    context.deploy, context.seed = deploy, seed


@given('the deployment "{deploy}" as real processes')
def given_real_deployment(context, deploy):
    context.deploy, context.seed = deploy, None


async def run_traffic(town, seconds):
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


@when('its callers send requests for {seconds:d} seconds')
def send_requests(context, seconds):
    if context.seed is None:
        context.result = asyncio.run(play_fleet(DEPLOYS[context.deploy]('127.0', reserve_port()), seconds))
    else:
        context.result = play_town(context.seed, context.deploy, lambda town: run_traffic(town, seconds))


@then('no rule is broken')
def no_rule_broken(context):
    assert context.result['wrong'] == [], context.result['wrong'][:5]


@then('at least {percent:d} of 100 requests succeed')
def enough_succeed(context, percent):
    total = context.result['report']['total']
    requests = sum(total.values())
    assert requests > 40, total
    assert total.get('good', 0) * 100 >= percent * requests, context.result['report']['counts']


@then('every routing node has the policy in force')
def policy_in_force(context):
    status = context.result['status']
    routes = [node for node in status['nodes'].values() if node['role'] == 'route']
    assert len(routes) == 7
    assert all(node['generation'] == status['generation'] == 1 and node['lease'] for node in routes), routes


@then('two runs of "{deploy}" with seed {seed:d} have the same trace and the same report')
def runs_are_identical(context, deploy, seed):
    first, second = [play_town(seed, deploy, lambda town: run_traffic(town, 3)) for _ in range(2)]
    assert first == second
