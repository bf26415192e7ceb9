"""Steps on network partitions between the core, the stores and one routing node, for the lease quorum."""

from datetime import timedelta

from behave import given, then, when

from quillstall.dataplane.admission import admission_state
from quillstall.testbed.town import play

NODE = 'route3'


def isolate(town, name, allowed):
    """Cut a machine off from all others of the fleet but the allowed ones."""
    for other in town.startups:
        if other not in (name, *allowed):
            town.world.cut(name, other)


async def change(town):
    """Make a change as an operator. Return its outcome, how long it took, and the routing nodes that could
    still send under the old generation."""
    start = town.world.now()
    status, body = await town.ask(
        'PATCH', '/v1/policy', {'keeping_s': 321}, {'X-Request-Id': 'change'}, limit=13
    )
    now = town.world.now()
    outdated = (
        [
            n.name
            for n in town.nodes()
            if n.state.generation < 2 and admission_state.leased(n.state, n.ctx.clock.now())
        ]
        if status == 200
        else []
    )
    return {'status': status, 'body': body, 'took': now - start, 'old': outdated}


def change_during(context, seed, cuts, wait=5.0):
    """Play a change of the policy after links were cut; with a longer wait, just after a renewal."""

    async def script(town):
        for startup in town.startups.values():
            startup.update(getattr(context, 'settings', {}))
        await town.open()
        town.crowd.spawn(town.crowd.play(timedelta(hours=1), 0.3))
        await cuts(town)
        await town.world.sleep(wait)
        node = town.hosts[NODE]
        before = admission_state.leased(node.state, town.world.now())
        if wait > 5:
            renewed = node.state.lease
            while node.state.lease == renewed:  # until just after a renewal
                await town.world.sleep(0.005)
            isolate(town, NODE, ())
        outcome = await change(town)
        outcome['leased'] = [before, admission_state.leased(node.state, town.world.now())]
        town.crowd.over = True
        return outcome

    context.outcome = play(seed, context.deploy, script)


@when('a routing node and one store reach only each other, and the policy is changed then')
def with_one(context):
    async def cuts(town):
        isolate(town, NODE, ('store0',))
        isolate(town, 'store0', (NODE,))

    change_during(context, context.seed, cuts)


@when('a routing node and two stores reach only each other, and the policy is changed then')
def with_two(context):
    async def cuts(town):
        isolate(town, NODE, ('store0', 'store1'))
        isolate(town, 'store0', (NODE, 'store1'))
        isolate(town, 'store1', (NODE, 'store0'))

    change_during(context, context.seed, cuts)


@when('a routing node that renews its lease from the stores is cut off, and the policy is changed at once')
def cut_at_once(context):
    async def cuts(town):
        isolate(town, NODE, ('store0', 'store1', 'store2'))

    change_during(context, context.seed, cuts, 6.0)


async def just_renewed(town):
    """Return a routing node just after a renewal from the stores, and whether it had a lease before."""
    await town.open()
    isolate(town, NODE, ('store0', 'store1'))
    isolate(town, 'store1', (NODE,))
    await town.world.sleep(6)
    node = town.hosts[NODE]
    before, renewed = admission_state.leased(node.state, town.world.now()), node.state.lease
    while node.state.lease == renewed:
        await town.world.sleep(0.005)
    return node, before


@when(
    "a store's renewal under the new generation is lost on its way to a routing node that renews its lease from the stores"
)
def renewal_lost(context):
    async def script(town):
        node, before = await just_renewed(town)
        town.world.cut('store0', NODE, both=False)
        outcome = await change(town)
        return {**outcome, 'leased': [before, admission_state.leased(node.state, town.world.now())]}

    context.outcome = play(context.seed, context.deploy, script)


@when(
    'a store that renewed the lease of a routing node is killed and started twice, and the policy is changed'
)
def restarted(context):
    async def script(town):
        node, before = await just_renewed(town)
        town.world.cut('store0', NODE)
        for _ in range(2):
            town.world.kill(town.machines['store0'])
            await town.world.sleep(0.02)
            town.start('store0')
            await town.world.sleep(0.05)
        outcome = await change(town)
        return {**outcome, 'leased': [before, admission_state.leased(node.state, town.world.now())]}

    context.outcome = play(context.seed, context.deploy, script)


@when(
    "a routing node is cut off, the core's clocks are stepped by {seconds:g} s, and the policy is changed at once"
)
def clocks_stepped(context, seconds):
    async def script(town):
        await town.open()
        node = town.hosts[NODE]
        renewed = node.state.lease
        while node.state.lease == renewed:  # until just after a renewal
            await town.world.sleep(0.005)
        isolate(town, NODE, ())
        for name in town.named('core'):
            town.world.step_clock(town.machines[name], timedelta(seconds=seconds))
        outcome = await change(town)
        return {**outcome, 'leased': [True, admission_state.leased(node.state, town.world.now())]}

    context.outcome = play(context.seed, context.deploy, script)


@given('a lease of {lease:d} ms in the settings')
def lease_set(context, lease):
    context.settings = {'lease_ms': lease}


@then('the acknowledgement waited less than {most:d} ms')
def waited_less(context, most):
    outcome = context.outcome
    assert outcome['leased'][0] and outcome['took'] < timedelta(milliseconds=most), outcome


@then('the change is acknowledged, and nobody may send under the old generation')
def acknowledged(context):
    outcome = context.outcome
    assert outcome['status'] == 200 and outcome['old'] == [], outcome


@then('the routing node had no lease')
def no_lease(context):
    assert context.outcome['leased'] == [False, False], context.outcome


@then('the acknowledgement waited for the lease that the stores had renewed')
def waited_for_renewed(context):
    assert context.outcome['leased'][0] and context.outcome['took'] > timedelta(seconds=1.5), context.outcome


@then('the change is not acknowledged, and the routing node serves on')
def not_acknowledged(context):
    outcome = context.outcome
    assert outcome['status'] != 200 and outcome['leased'] == [True, True], outcome


@then('the change is acknowledged while the routing node may send under the old generation')
def sends_under_old(context):
    outcome = context.outcome
    assert outcome['status'] == 200 and any(n.startswith(NODE) for n in outcome['old']), outcome
