"""Steps that count what a fleet without traffic does."""

from collections import Counter
from unittest.mock import patch

from behave import given, then

from quillstall.controlplane import core, leases
from quillstall.testbed import sim
from quillstall.testbed.deploy import Deploy, machines, pools, replicas
from quillstall.testbed.sim import World
from quillstall.testbed.town import Town

PORT = 7000
SETTLE_S = 10


class Meter:
    """Counts calls by machine while it is open, and lets them through."""

    def __init__(self):
        self.asks, self.sleeps, self.calls = Counter(), Counter(), Counter()
        self.patches = [
            patch.object(sim.SimNet, 'ask', self.by_machine(sim.SimNet.ask, self.asks)),
            patch.object(sim.SimClock, 'sleep', self.by_machine(sim.SimClock.sleep, self.sleeps)),
            patch.object(leases, 'allocation_changed', self.counted(leases.allocation_changed, 'looks')),
            patch.object(leases, 'answer_poll', self.counted(leases.answer_poll, 'answers')),
            patch.object(leases, 'answer_polls', self.counted(leases.answer_polls, 'batches')),
            patch.object(core, 'tick', self.counted(core.tick, 'ticks')),
        ]

    def by_machine(self, inner, counter):
        async def call(owner, *args):
            counter[owner.machine.name] += 1
            return await inner(owner, *args)

        return call

    def counted(self, inner, name):
        def call(*args):
            self.calls[name] += 1
            return inner(*args)

        return call

    def __enter__(self):
        for each in self.patches:
            each.start()
        return self

    def __exit__(self, *_):
        for each in self.patches:
            each.stop()


def deployment(routes, stores):
    """A deployment of that many machines with a few replicas."""
    made = replicas('10.0', PORT, 6, 48, 0, 0)
    policy = {
        'classes': {'any': {'share': 100, 'deadline_ms': 3000}},
        'routes': {'talk': {'class': 'any', 'pool': 'models', 'max_tokens': 16, 'service_ms': 700}},
        'pools': {name: pool for name, pool in pools(made).items() if name == 'models'},
    }
    return Deploy('idle', machines('10.0', PORT, routes, stores), made, policy, [])


@given(
    'a simulated fleet of {routes:d} routing nodes and {stores:d} stores without traffic for {seconds:d} seconds'
)
def idle(context, routes, stores, seconds):
    async def script(world):
        town = Town(world, deployment(routes, stores), parts=24)
        await town.open()
        await world.sleep(SETTLE_S)
        with Meter() as meter:
            await world.sleep(seconds)
        return meter

    meter = World.play(1, script)
    context.seconds, context.calls = seconds, meter.calls
    context.rates = {
        kind: {name: count / seconds for name, count in counter.items()}
        for kind, counter in (('sleeps', meter.sleeps), ('asks', meter.asks))
    }


def mean(context, kind, role):
    rates = [rate for name, rate in context.rates[kind].items() if name.startswith(role)]
    assert rates, context.rates
    return sum(rates) / len(rates)


@then('a routing node set at most {sleeps:g} clock events and sent at most {asks:g} messages a second')
def of_route(context, sleeps, asks):
    check(context, 'route', sleeps, asks)


@then('a store set at most {sleeps:g} clock events and sent at most {asks:g} messages a second')
def of_store(context, sleeps, asks):
    check(context, 'store', sleeps, asks)


def check(context, role, sleeps, asks):
    seen = mean(context, 'sleeps', role), mean(context, 'asks', role)
    print(f'{role}: {seen[0]:.2f} clock events and {seen[1]:.2f} messages a second')
    assert seen[0] <= sleeps and seen[1] <= asks, seen


@then('the leading core looked for news at most {most:g} times for each poll that it answered')
def looks(context, most):
    seen = context.calls['looks'] / context.calls['answers']
    print(f'{seen:.2f} looks for each answer')
    assert seen <= most, context.calls


@then('the leading core had at most {most:g} batches of polls confirmed a second')
def batches(context, most):
    seen = context.calls['batches'] / context.seconds
    print(f'{seen:.1f} batches and {context.calls["answers"] / context.seconds:.1f} answers a second')
    assert seen <= most, context.calls
