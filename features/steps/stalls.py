"""Steps on hanging replicas, and on failures that several nodes report."""

import asyncio
from datetime import UTC, datetime, timedelta
from types import SimpleNamespace

from behave import given, then, when
from gateway import make_request
from immutables import Map
from standin import wait_until

from quillstall.controlplane import pooled_failures
from quillstall.controlplane.core_state import Node as RoutingNode
from quillstall.dataplane.admission import choice, reducer, replica_health
from quillstall.dataplane.admission.admission_state import Ejection, State, Task
from quillstall.dataplane.admission.messages import Health
from quillstall.dataplane.stalls import StallWatch
from quillstall.runtime.clock import from_ms
from quillstall.runtime.errors import Fault
from quillstall.testbed.deploy import cartalume
from quillstall.testbed.sim import World
from quillstall.testbed.town import Town

T0 = datetime(2026, 1, 1, tzinfo=UTC)
SEED = 8
MEASURED_TURNS = 4


@given('streams of its routes are never silent for long')
def silences_measured(context):
    for path in ('/line/x', '/turn/x'):
        for _ in range(MEASURED_TURNS):
            assert make_request(context, path).status == 200
    context.cluster.runs.clear()


@given('"{mechanism}" is switched off')
def switched_off(context, mechanism):
    cluster = context.cluster
    policy = {**cluster.policy, 'mechanisms': {mechanism: False}}
    cluster.run(cluster.change_policy(cluster.nodes[0], policy))


@when('"{path}" is asked while the first replica stays silent')
def first_replica_silent(context, path):
    cluster = context.cluster
    cluster.plan.append('silent')
    start = cluster.clock.now()
    context.response = make_request(context, path)
    context.took = cluster.clock.now() - start


@when('"{path}" is asked with {deadline_ms:d} ms while its replica stays silent')
def its_replica_silent(context, path, deadline_ms):
    all_replicas_silent(context, path, 1, deadline_ms)


@when('"{path}" is asked {count:d} times at once with {deadline_ms:d} ms while all replicas stay silent')
def all_replicas_silent(context, path, count, deadline_ms):
    cluster = context.cluster
    cluster.plan.extend(['silent'] * count)
    context.request_id = 'silent-1'

    async def send_all():
        for n in range(count):
            request = await cluster.begin_request(
                path,
                request_id=f'silent-{n + 1}',
                **(
                    {**cluster.turn_headers(program=f'P{n}'), 'X_Deadline_Ms': deadline_ms}
                    if path.startswith('/turn/')
                    else {}
                ),
            )
            context.answers.append(asyncio.ensure_future(request.read_all()))

    context.answers = []
    cluster.run(send_all())


def ejected(context):
    return sorted(context.cluster.nodes[0].state.ejections)


@then('the answer is complete within {limit_ms:d} ms')
def complete_within(context, limit_ms):
    assert context.response.status == 200 and context.response.complete, context.response.status
    assert context.took <= from_ms(limit_ms), context.took


@then('one replica is ejected')
def one_ejected(context):
    assert len(ejected(context)) == 1, ejected(context)


@then('one replica is ejected within {limit_ms:d} ms')
def ejected_within(context, limit_ms):
    context.cluster.run(wait_until(lambda: ejected(context), limit_ms / 1000))
    context.cluster.run(asyncio.sleep(0.3))
    assert len(ejected(context)) == 1, ejected(context)
    finish(context)


@then('no replica is ejected within {limit_ms:d} ms')
def none_ejected(context, limit_ms):
    context.cluster.run(asyncio.sleep(limit_ms / 1000))
    assert not ejected(context), ejected(context)
    finish(context)


def finish(context):
    async def answers():
        return await asyncio.gather(*context.answers)

    context.response = context.cluster.run(answers())[0]


# ---- the stall watch without a node


class LateClock:
    def __init__(self):
        self.at = T0

    def now(self):
        return self.at


@given('a watch over a stream with a limit of {limit_ms:d} ms')
def watch_over(context, limit_ms):
    context.reports, context.clock = [], LateClock()
    context.watch = StallWatch(
        context.clock,
        from_ms(limit_ms),
        T0 + timedelta(seconds=9),
        False,
        lambda: context.reports.append(context.clock.now()),
    )


@when('nothing has been received at the limit and the clock is {late_ms:d} ms past it')
def nothing_received(context, late_ms):
    limits = []

    async def receive(limit):
        limits.append(limit)
        if len(limits) > 1:
            return b'data'
        context.clock.at += limit + from_ms(late_ms)
        raise Fault('slow', 'silent')

    assert asyncio.run(context.watch.wait(receive)) == b'data'


@then('the replica is {reported} as stalled')
def reported_as_stalled(context, reported):
    assert len(context.reports) == (reported == 'reported'), context.reports


# ---- several nodes, simulated


@given('a simulated fleet under load')
def simulated(context):
    context.deploy = cartalume()


def play(context, script):
    async def main(world):
        town = Town(world, context.deploy)
        await town.open()
        town.crowd.spawn(town.crowd.play(timedelta(seconds=30)))
        await town.sleep(3)
        return await script(town)

    return World.play(SEED, main)


async def time_until(town, condition, seconds):
    """Return the seconds until a condition holds, None if it does not hold in time."""
    for n in range(int(seconds * 20)):
        if condition():
            return n / 20
        await town.sleep(0.05)
    return None


def nodes_ejecting(town, replica):
    """Return the routing nodes on which a replica is ejected, and those of them on which it failed."""
    ejecting = [n for n in town.nodes() if replica in n.state.ejected_by_core]
    return ejecting, [n for n in ejecting if replica in n.state.ejections]


@when('a model replica is killed')
def replica_killed(context):
    replica = 'model3'

    async def script(town):
        town.world.kill(town.machines[replica])
        ejected_s = await time_until(
            town, lambda: len(nodes_ejecting(town, replica)[0]) == len(town.nodes()), 3
        )
        failed = len(nodes_ejecting(town, replica)[1])
        town.start(replica)
        recovered_s = await time_until(town, lambda: not nodes_ejecting(town, replica)[0], 12)
        return SimpleNamespace(
            ejected_s=ejected_s, failed=failed, nodes=len(town.nodes()), recovered_s=recovered_s
        )

    context.observed = play(context, script)


@then('within 3 s every routing node has ejected it, though it has not failed on every one')
def all_eject(context):
    assert context.observed.ejected_s is not None, context.observed
    assert 2 <= context.observed.failed < context.observed.nodes, context.observed


@when('it is started again')
def started_again(context):
    assert context.observed  # it was started again in the same simulation


@then('within 12 s no routing node has it ejected')
def recovered(context):
    assert context.observed.recovered_s is not None, context.observed


@when('a routing node is cut off from the replicas for 5 s')
def node_cut(context):
    async def script(town):
        cut_off = town.nodes()[0]
        name = cut_off.ctx.startup['name']
        for replica in town.backs:
            town.world.cut(name, replica)
        ejected_elsewhere, suspected = set(), set()
        for _ in range(100):
            suspected |= set(cut_off.state.ejections)
            ejected_elsewhere |= {
                r for n in town.nodes() if n is not cut_off for r in n.state.ejected_by_core
            }
            await town.sleep(0.05)
        return suspected, ejected_elsewhere

    context.observed = play(context, script)


@then('no other routing node ejected a replica on its report')
def none_ejected_elsewhere(context):
    suspected, ejected_elsewhere = context.observed
    assert suspected and not ejected_elsewhere, (suspected, ejected_elsewhere)


# ---- the choice of a replica


@given('a node on which the core has ejected "{replica}", of "{names}", with pooled_failures {switch}')
def ejected_on_node(context, replica, names, switch):
    rows = {r: {'slots': 8, 'ready': True, 'zone': 'z'} for r in names.split()}
    policy = {
        'classes': {'c': {'share': 1, 'deadline_ms': 4000}},
        'pools': {'p': {'replicas': {}, 'listed': True}},
        'mechanisms': {} if switch == 'on' else {'pooled_failures': False},
    }
    context.state = State(
        policy=policy, listing={'at': 1, 'pools': {'p': rows}}, ejected_by_core=frozenset({replica})
    )


@when('"{replica}" has failed on the node itself, and that ejection is over')
def failed_on_node(context, replica):
    context.state = context.state._replace(
        ejections=Map({replica: Ejection(T0 - from_ms(1), 1, T0 - from_ms(1001))})
    )


@then('40 tasks go to "{replicas}"')
def go_to(context, replicas):
    deadline = T0 + timedelta(seconds=4)
    tasks = [Task(f't{n}', 'r', 'c', 'p', 10, deadline, T0, zone='z') for n in range(40)]
    chosen = sorted({choice.assign(context.state, task, T0) for task in tasks})
    assert chosen == replicas.split(), chosen


# ---- the outcomes that nodes report, and what follows from them


@given('routing nodes that report of replica "{replica}": {reports}')
def nodes_report(context, replica, reports):
    context.replica, context.routing = replica, []
    for n, report in enumerate(reports.split(', ')):
        zone, failures, successes = report.split()
        outcomes = {replica: [float(failures), float(successes)]}
        context.routing.append(RoutingNode(f'n{n}', 'route', '', zone, 0, outcomes=outcomes))


@then('the core has "{replica}" {state}')
def core_has(context, replica, state):
    assert pooled_failures.ejected(context.routing) == ((replica,) if state == 'ejected' else ()), state


RESULTS = {
    'succeeds': Health('r', True),
    'breaks off': Health('r', False, soft=True),
    'is answered with an error': Health('r', True, error_response=True),
    'is refused for lack of a slot': Health('r', False, soft=True, at_capacity=True),
}


@given('a node where a task failed at "r" just now')
def failed_just_now(context):
    context.state, _ = reducer.step(State(), Health('r', False, soft=True), T0)


@when('another {ends}')
def another_ends(context, ends):
    context.state, _ = reducer.step(context.state, RESULTS[ends], T0)


@then('it reports {failures:d} failures and {successes:d} successes at "r"')
def it_reports(context, failures, successes):
    assert replica_health.reported_outcomes(context.state, T0) == {'r': [failures, successes]}, (
        context.state.outcomes
    )
