"""Steps on classes, shares and entitlements, simulated."""

from datetime import timedelta

from behave import then, when

from quillstall.testbed.deploy import Deploy, Flow, machines, pools, replicas
from quillstall.testbed.rehearse import rehearse
from quillstall.testbed.sim import World
from quillstall.testbed.town import Town

CEILING = 58.0


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


def two(first, second, shares=(75, 25), **extra):
    made = replicas('10.0', 7000, 3, 8, 1, 4, prefill_per_s=24_000, step_ms=20)
    classes = {
        n: {'share': s, 'deadline_ms': 3000, **extra} for n, s in zip(('one', 'two'), shares, strict=False)
    }
    routes = {n: {'class': n, 'pool': 'models', 'max_tokens': 16, 'service_ms': 500} for n in classes}
    flows = [Flow(n, 'turn', rate, n) for n, rate in (('one', first), ('two', second)) if rate]
    return Deploy(
        'two',
        machines('10.0', 7000, routes=3),
        made,
        {'classes': classes, 'routes': routes, 'services': {}, 'pools': pools(made)},
        flows,
    )


@when('only "one" of two classes with shares 75 and 25 asks, at twice the ceiling')
def alone(context):
    context.crowd = play(two(0, 2 * CEILING), 8)


@then('its goodput is at least 90 of 100 of the ceiling')
def borrows(context):
    assert context.crowd.counts['two.good'] / 8 >= 0.9 * CEILING, context.crowd.counts


@when('both of two classes with shares 75 and 25 ask, each at twice the ceiling')
def both(context):
    context.crowd = play(two(2 * CEILING, 2 * CEILING), 8)


@then('the first has between 2 and 4 times the goodput of the second')
def shares(context):
    one, other = context.crowd.counts['one.good'], context.crowd.counts['two.good']
    assert 2 <= one / other <= 4, (one, other)


@when('an urgent alert comes twice a second into a crowd of 5 times what the application replicas take')
def crowded(context):
    made = replicas('10.0', 7000, 1, 4, 2, 4)
    policy = {
        'classes': {
            'alerts': {'share': 5, 'deadline_ms': 1000, 'urgent': True},
            'desk': {'share': 90, 'deadline_ms': 1500},
        },
        'routes': {},
        'pools': pools(made),
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
    context.crowd = play(Deploy('alerts', machines('10.0', 7000, routes=3), made, policy, flows), 6)


def part(crowd, name):
    return crowd.counts[f'{name}.good'] / sum(n for k, n in crowd.counts.items() if k.startswith(f'{name}.'))


@then('at least 95 of 100 alerts are answered well')
def alerts(context):
    assert part(context.crowd, 'alert') >= 0.95, {
        k: n for k, n in context.crowd.counts.items() if 'alert' in k
    }


@then('at most 50 of 100 of the crowd are')
def crowd(context):
    assert part(context.crowd, 'status') <= 0.5


@when('a class with an entitlement of 10 turns a minute asks for 40 on an idle fleet')
def entitled(context):
    deploy = two(10, 0, tokens_per_minute=3 * 10 * 14_016)
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


@then('at most 10 are answered and the rest get 429 "entitlement" with a time to come back')
def limited(context):
    counts = context.crowd.counts
    assert 8 <= counts['one.good'] <= 10, counts
    assert counts['one.refused.entitlement'] >= 15, counts
    assert all(w >= 200 for w in context.crowd.told), context.crowd.told[:5]


@when('4 times the ceiling is offered for 3 seconds to one routing node')
def spread(context):
    context.result = rehearse(4, 4 * CEILING, 3, routes=1)


@then('the times to come back are spread over at least a second, none below the floor nor above the ceiling')
def told(context):
    told = context.result['told']
    assert len(told) > 100 and min(told) >= 200 and max(told) <= 30_000, (len(told), min(told), max(told))
    assert max(told) - min(told) >= 1000 and len(set(told)) > len(told) / 3, (
        min(told),
        max(told),
        len(set(told)),
    )
