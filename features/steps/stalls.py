"""Steps about replicas that hang, and about failures that several nodes saw."""

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
from quillstall.dataplane.admission.admission_state import Down, State, Task
from quillstall.dataplane.admission.messages import Health
from quillstall.dataplane.stalls import StallWatch
from quillstall.runtime.clock import of_ms
from quillstall.runtime.errors import Fault
from quillstall.testbed.deploy import cartalume
from quillstall.testbed.sim import World
from quillstall.testbed.town import Town

T0 = datetime(2026, 1, 1, tzinfo=UTC)
SEED = 8
LEARNT_TURNS = 4


@given('streams of its routes are never silent for long')
def learnt(context):
    for path in ('/line/x', '/turn/x'):
        for _ in range(LEARNT_TURNS):
            assert make_request(context, path).status == 200
    context.cluster.runs.clear()


@given('"{mechanism}" is switched off')
def switched_off(context, mechanism):
    cluster = context.cluster
    policy = {**cluster.policy, 'mechanisms': {mechanism: False}}
    cluster.run(cluster.change_policy(cluster.nodes[0], policy))


@when('"{path}" is asked while the first replica stays silent')
def first_silent(context, path):
    cluster = context.cluster
    cluster.plan.append('silent')
    start = cluster.clock.now()
    context.response = make_request(context, path)
    context.took = cluster.clock.now() - start


@when('"{path}" is asked with {span:d} ms while its replica stays silent')
def its_silent(context, path, span):
    all_silent(context, path, 1, span)


@when('"{path}" is asked {count:d} times at once with {span:d} ms while all replicas stay silent')
def all_silent(context, path, count, span):
    cluster = context.cluster
    cluster.plan.extend(['silent'] * count)
    context.request_id = 'silent-1'

    async def begin():
        for n in range(count):
            talk = await cluster.begin_request(
                path,
                request_id=f'silent-{n + 1}',
                **(
                    {**cluster.turn_headers(program=f'P{n}'), 'X_Deadline_Ms': span}
                    if path.startswith('/turn/')
                    else {}
                ),
            )
            context.talks.append(asyncio.ensure_future(talk.read_all()))

    context.talks = []
    cluster.run(begin())


def down(context):
    return sorted(context.cluster.nodes[0].state.down)


@then('the answer is whole within {span:d} ms')
def whole_within(context, span):
    assert context.response.status == 200 and context.response.complete, context.response.status
    assert context.took <= of_ms(span), context.took


@then('one replica is set aside')
def one_aside(context):
    assert len(down(context)) == 1, down(context)


@then('one replica is set aside within {span:d} ms')
def aside_within(context, span):
    context.cluster.run(wait_until(lambda: down(context), span / 1000))
    context.cluster.run(asyncio.sleep(0.3))
    assert len(down(context)) == 1, down(context)
    finish(context)


@then('no replica is set aside within {span:d} ms')
def none_aside(context, span):
    context.cluster.run(asyncio.sleep(span / 1000))
    assert not down(context), down(context)
    finish(context)


def finish(context):
    async def ends():
        return await asyncio.gather(*context.talks)

    context.response = context.cluster.run(ends())[0]


# ---- the watch alone


class LateClock:
    def __init__(self):
        self.at = T0

    def now(self):
        return self.at


@given('a watch over a stream with a limit of {limit:d} ms')
def watch_over(context, limit):
    context.reports, context.clock = [], LateClock()
    context.watch = StallWatch(
        context.clock,
        of_ms(limit),
        T0 + timedelta(seconds=9),
        False,
        lambda: context.reports.append(context.clock.now()),
    )


@when('nothing has come at the limit and the clock is {late:d} ms past it')
def nothing_came(context, late):
    waits = []

    async def ask(span):
        waits.append(span)
        if len(waits) > 1:
            return b'data'
        context.clock.at += span + of_ms(late)
        raise Fault('slow', 'silent')

    assert asyncio.run(context.watch.wait(ask)) == b'data'


@then('the replica is {told} as stalled')
def told_as_stalled(context, told):
    assert len(context.reports) == (told == 'reported'), context.reports


# ---- several nodes together, simulated


@given('a simulated fleet whose callers come')
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


async def when_met(town, met, seconds):
    """How long it takes until a condition holds; None if it does not in time."""
    for n in range(int(seconds * 20)):
        if met():
            return n / 20
        await town.sleep(0.05)
    return None


def leave_alone(town, replica):
    """The routing nodes that leave a replica alone, and of these the ones that failed with it themselves."""
    alone = [n for n in town.nodes() if replica in n.state.shunned]
    return alone, [n for n in alone if replica in n.state.down]


@when('a model replica is killed')
def replica_killed(context):
    replica = 'model3'

    async def script(town):
        town.world.kill(town.machines[replica])
        took = await when_met(town, lambda: len(leave_alone(town, replica)[0]) == len(town.nodes()), 3)
        failed = len(leave_alone(town, replica)[1])
        town.start(replica)
        back = await when_met(town, lambda: not leave_alone(town, replica)[0], 12)
        return SimpleNamespace(took=took, failed=failed, nodes=len(town.nodes()), back=back)

    context.seen = play(context, script)


@then('within 3 s every routing node leaves it alone, though not every one has failed with it')
def all_leave(context):
    assert context.seen.took is not None, context.seen
    assert 2 <= context.seen.failed < context.seen.nodes, context.seen


@when('it is started again')
def started_again(context):
    assert context.seen  # the same play


@then('within 12 s no routing node leaves it alone')
def back_again(context):
    assert context.seen.back is not None, context.seen


@when('a routing node is cut off from the replicas for 5 s')
def node_cut(context):
    async def script(town):
        cut_off = town.nodes()[0]
        name = cut_off.ctx.startup['name']
        for replica in town.backs:
            town.world.cut(name, replica)
        convinced, doubted = set(), set()
        for _ in range(100):
            doubted |= set(cut_off.state.down)
            convinced |= {r for n in town.nodes() if n is not cut_off for r in n.state.shunned}
            await town.sleep(0.05)
        return doubted, convinced

    context.seen = play(context, script)


@then('no other routing node left a replica alone on its word')
def nobody_convinced(context):
    doubted, convinced = context.seen
    assert doubted and not convinced, (doubted, convinced)


# ---- the choice


@given('a node that is told to leave "{shunned}" alone, of "{names}", with pooled_failures {switch}')
def told_to_leave(context, shunned, names, switch):
    rows = {r: {'slots': 8, 'ready': True, 'zone': 'z'} for r in names.split()}
    policy = {
        'classes': {'c': {'share': 1, 'deadline_ms': 4000}},
        'pools': {'p': {'replicas': {}, 'listed': True}},
        'mechanisms': {} if switch == 'on' else {'pooled_failures': False},
    }
    context.state = State(
        policy=policy, listing={'at': 1, 'pools': {'p': rows}}, shunned=frozenset({shunned})
    )


@when('it has failed with "{replica}" itself, longer ago than that sets it aside')
def failed_itself(context, replica):
    context.state = context.state._replace(down=Map({replica: Down(T0 - of_ms(1), 1, T0 - of_ms(1001))}))


@then('40 tasks go to "{where}"')
def go_to(context, where):
    deadline = T0 + timedelta(seconds=4)
    tasks = [Task(f't{n}', 'r', 'c', 'p', 10, deadline, T0, zone='z') for n in range(40)]
    chosen = sorted({choice.assign(context.state, task, T0) for task in tasks})
    assert chosen == where.split(), chosen


# ---- what is counted, and what it amounts to


@given('routing nodes that say of replica "{replica}": {words}')
def nodes_say(context, replica, words):
    context.replica, context.routing = replica, []
    for n, word in enumerate(words.split(', ')):
        zone, fails, wells = word.split()
        outcomes = {replica: [float(fails), float(wells)]}
        context.routing.append(RoutingNode(f'n{n}', 'route', '', zone, 0, outcomes=outcomes))


@then('the core has "{replica}" {left}')
def core_has(context, replica, left):
    assert pooled_failures.shunned(context.routing) == ((replica,) if left == 'left alone' else ()), left


ENDS = {
    'ends well': Health('r', True),
    'breaks off': Health('r', False, soft=True),
    'is answered with an error of its own': Health('r', True, erred=True),
    'is turned away for want of room': Health('r', False, soft=True, full=True),
}


@given('a node where a task failed at "r" just now')
def failed_just_now(context):
    context.state, _ = reducer.step(State(), Health('r', False, soft=True), T0)


@when('another {ends}')
def another_ends(context, ends):
    context.state, _ = reducer.step(context.state, ENDS[ends], T0)


@then('it says that {fails:d} failed and {wells:d} went well at "r"')
def it_says(context, fails, wells):
    assert replica_health.told_outcomes(context.state, T0) == {'r': [fails, wells]}, context.state.outcomes
