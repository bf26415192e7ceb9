"""Steps on classes, shares and entitlements in a simulated fleet."""

from datetime import timedelta

from behave import then, when

from quillstall.testbed.deploy import Deploy, Flow, machines, pools, replicas
from quillstall.testbed.rehearse import rehearse
from quillstall.testbed.sim import World
from quillstall.testbed.town import Town

CEILING_PER_S = 58.0


def play(deploy, seconds, seed=3):
    async def script(world):
        town = Town(world, deploy)
        await town.open()
        town.crowd.tries = -1
        await town.crowd.play(timedelta(seconds=seconds))
        await town.crowd.idle()
        assert town.judge() == [], town.judge()[:3]
        return town.crowd

    return World.play(seed, script)


def two_classes(first_per_s, second_per_s, shares=(75, 25), **class_settings):
    fleet_replicas = replicas('10.0', 7000, 3, 8, 1, 4, prefill_per_s=24_000, step_ms=20)
    classes = {
        n: {'share': s, 'deadline_ms': 3000, **class_settings}
        for n, s in zip(('one', 'two'), shares, strict=False)
    }
    routes = {n: {'class': n, 'pool': 'models', 'max_tokens': 16, 'service_ms': 500} for n in classes}
    flows = [Flow(n, 'turn', rate, n) for n, rate in (('one', first_per_s), ('two', second_per_s)) if rate]
    return Deploy(
        'two',
        machines('10.0', 7000, routes=3),
        fleet_replicas,
        {'classes': classes, 'routes': routes, 'services': {}, 'pools': pools(fleet_replicas)},
        flows,
    )


@when('only one of two classes with shares 75 and 25 sends requests, at twice the ceiling')
def one_class_sends(context):
    context.crowd = play(two_classes(0, 2 * CEILING_PER_S), 8)


@then('its goodput is at least 90 of 100 of the ceiling')
def borrows_capacity(context):
    assert context.crowd.counts['two.good'] / 8 >= 0.9 * CEILING_PER_S, context.crowd.counts


@when('both of two classes with shares 75 and 25 send requests, each at twice the ceiling')
def both_classes_send(context):
    context.crowd = play(two_classes(2 * CEILING_PER_S, 2 * CEILING_PER_S), 8)


@then('the first has between 2 and 4 times the goodput of the second')
def shares_kept(context):
    first, second = context.crowd.counts['one.good'], context.crowd.counts['two.good']
    assert 2 <= first / second <= 4, (first, second)


@when(
    'an urgent alert comes twice a second and other requests at 5 times the capacity of the application replicas'
)
def urgent_and_other(context):
    fleet_replicas = replicas('10.0', 7000, 1, 4, 2, 4)
    policy = {
        'classes': {
            'alerts': {'share': 5, 'deadline_ms': 1000, 'urgent': True},
            'desk': {'share': 90, 'deadline_ms': 1500},
        },
        'routes': {},
        'pools': pools(fleet_replicas),
        'services': {
            'clock': {
                'class': 'alerts',
                'pool': 'apps',
                'paths': {'/alert': {'repeat': False, 'service_ms': 80}},
            },
            'desk': {
                'class': 'desk',
                'pool': 'apps',
                'paths': {'/status': {'repeat': True, 'service_ms': 80}},
            },
        },
    }
    flows = [
        Flow('alert', 'call', 2, 'clock', '/alert', 1000, keyed=True),
        Flow('status', 'call', 5 * 8 / 0.06, 'desk', '/status', 1500),
    ]
    context.crowd = play(Deploy('alerts', machines('10.0', 7000, routes=3), fleet_replicas, policy, flows), 6)


def success_fraction(crowd, name):
    return crowd.counts[f'{name}.good'] / sum(n for k, n in crowd.counts.items() if k.startswith(f'{name}.'))


@then('at least 95 of 100 alerts succeed')
def alerts_succeed(context):
    assert success_fraction(context.crowd, 'alert') >= 0.95, {
        k: n for k, n in context.crowd.counts.items() if 'alert' in k
    }


@then('at most 50 of 100 of the other requests do')
def others_limited(context):
    assert success_fraction(context.crowd, 'status') <= 0.5


@when('a class with an entitlement of 10 turns a minute sends 40 to an idle fleet')
def entitled_class(context):
    deploy = two_classes(10, 0, tokens_per_minute=3 * 10 * 14_016)
    context.crowd = play(
        deploy._replace(
            machines=machines('10.0', 7000, routes=1),
            policy={
                **deploy.policy,
                'classes': {
                    **deploy.policy['classes'],
                    'one': {'share': 50, 'deadline_ms': 3000, 'tokens_per_minute': 10 * 14_016},
                },
            },
        ),
        4,
    )


@then('at most 10 are answered and the rest get 429 "entitlement" with a retry time')
def entitlement_limits(context):
    counts = context.crowd.counts
    assert 8 <= counts['one.good'] <= 10, counts
    assert counts['one.refused.entitlement'] >= 15, counts
    assert all(retry_ms >= 200 for retry_ms in context.crowd.told), context.crowd.told[:5]


@when('4 times the ceiling is offered for 3 seconds to one routing node')
def overloaded_node(context):
    context.result = rehearse(4, 4 * CEILING_PER_S, 3, routes=1)


@then('the retry times are spread over at least a second, none below the floor nor above the ceiling')
def retry_times_spread(context):
    retry_ms = context.result['told']
    assert len(retry_ms) > 100 and min(retry_ms) >= 200 and max(retry_ms) <= 30_000, (
        len(retry_ms),
        min(retry_ms),
        max(retry_ms),
    )
    assert max(retry_ms) - min(retry_ms) >= 1000 and len(set(retry_ms)) > len(retry_ms) / 3, (
        min(retry_ms),
        max(retry_ms),
        len(set(retry_ms)),
    )
