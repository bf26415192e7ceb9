"""Steps that count the timers, messages and lookups of a fleet without traffic."""

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


class CallCounter:
    """Counts calls of the patched functions, some by machine, while it is entered; the calls go through."""

    def __init__(self):
        self.messages, self.timers, self.calls = Counter(), Counter(), Counter()
        self.patches = [
            patch.object(sim.SimNet, 'ask', self.counted_by_machine(sim.SimNet.ask, self.messages)),
            patch.object(sim.SimClock, 'sleep', self.counted_by_machine(sim.SimClock.sleep, self.timers)),
            patch.object(
                leases, 'allocation_changed', self.counted(leases.allocation_changed, 'allocation_checks')
            ),
            patch.object(leases, 'answer_poll', self.counted(leases.answer_poll, 'replies')),
            patch.object(leases, 'answer_polls', self.counted(leases.answer_polls, 'batches')),
            patch.object(core, 'tick', self.counted(core.tick, 'ticks')),
        ]

    def counted_by_machine(self, function, counts):
        async def call(owner, *args):
            counts[owner.machine.name] += 1
            return await function(owner, *args)

        return call

    def counted(self, function, name):
        def call(*args):
            self.calls[name] += 1
            return function(*args)

        return call

    def __enter__(self):
        for patcher in self.patches:
            patcher.start()
        return self

    def __exit__(self, *_):
        for patcher in self.patches:
            patcher.stop()


def deployment(routes, stores):
    """Return a deployment of this many routing nodes and stores with a few replicas."""
    replica_list = replicas('10.0', PORT, 6, 48, 0, 0)
    policy = {
        'classes': {'any': {'share': 100, 'deadline_ms': 3000}},
        'routes': {'talk': {'class': 'any', 'pool': 'models', 'max_tokens': 16, 'service_ms': 700}},
        'pools': {name: pool for name, pool in pools(replica_list).items() if name == 'models'},
    }
    return Deploy('idle', machines('10.0', PORT, routes, stores), replica_list, policy, [])


@given(
    'a simulated fleet of {routes:d} routing nodes and {stores:d} stores without traffic for {seconds:d} seconds'
)
def idle_fleet(context, routes, stores, seconds):
    async def script(world):
        town = Town(world, deployment(routes, stores), parts=24)
        await town.open()
        await world.sleep(SETTLE_S)
        with CallCounter() as counter:
            await world.sleep(seconds)
        return counter

    counter = World.play(1, script)
    context.seconds, context.calls = seconds, counter.calls
    context.rates = {
        kind: {name: count / seconds for name, count in counts.items()}
        for kind, counts in (('timers', counter.timers), ('messages', counter.messages))
    }


def mean_rate(context, kind, role):
    rates = [rate for name, rate in context.rates[kind].items() if name.startswith(role)]
    assert rates, context.rates
    return sum(rates) / len(rates)


@then('a routing node started at most {timers:g} timers and sent at most {messages:g} messages a second')
def check_routing_node(context, timers, messages):
    check_rates(context, 'route', timers, messages)


@then('a store started at most {timers:g} timers and sent at most {messages:g} messages a second')
def check_store(context, timers, messages):
    check_rates(context, 'store', timers, messages)


def check_rates(context, role, timers, messages):
    measured = mean_rate(context, 'timers', role), mean_rate(context, 'messages', role)
    print(f'{role}: {measured[0]:.2f} timers and {measured[1]:.2f} messages a second')
    assert measured[0] <= timers and measured[1] <= messages, measured


@then('the leading core checked for a new allocation at most {limit:g} times for each poll that it answered')
def allocation_checks(context, limit):
    measured = context.calls['allocation_checks'] / context.calls['replies']
    print(f'{measured:.2f} checks for each reply')
    assert measured <= limit, context.calls


@then('the leading core committed at most {limit:g} batches of polls a second')
def poll_batches(context, limit):
    measured = context.calls['batches'] / context.seconds
    print(f'{measured:.1f} batches and {context.calls["replies"] / context.seconds:.1f} replies a second')
    assert measured <= limit, context.calls
