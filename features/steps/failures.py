"""Steps that cause failures and overload in simulated deployments and check the history against the rules."""

import asyncio
from contextlib import ExitStack
from datetime import UTC, datetime, timedelta
from functools import lru_cache

from behave import given, then, when
from immutables import Map

from quillstall.controlplane import core_state
from quillstall.dataplane.admission import reducer
from quillstall.dataplane.admission.admission_state import Pool, ServiceTime, State, Task
from quillstall.dataplane.admission.messages import Arrive, Decision, Leave, News
from quillstall.runtime.effect import Tick
from quillstall.testbed.explore import Trouble, explore
from quillstall.testbed.rehearse import DEADLINE_MS, rehearse
from quillstall.testbed.sabotage import WAYS
from quillstall.testbed.town import play

FIFO = {'newest_first_at': 9999, 'fifo_at': 0.99}
SERVICE_S = 0.5
CEILING_PER_S = 60.0


@given('a fleet that breaks a rule: "{way}"')
def rule_broken(context, way):
    context.stack = ExitStack()
    context.stack.enter_context(WAYS[way]())
    context.add_cleanup(context.stack.close)


@when('"{kinds}" happens {count:d} times')
def failures_happen(context, kinds, count):
    context.result = explore(context.seed, context.deploy, count, kinds.split(','))


SEARCHED_KINDS = [  # the kinds from which the seeds were found: with more kinds a seed gives another history
    kind for kind in Trouble.kinds() if kind not in ('clock_step', 'leader_cuts')
]


@when('any failures happen {count:d} times')
def any_failures_happen(context, count):
    context.result = explore(context.seed, context.deploy, count, SEARCHED_KINDS)


@then('policies were acknowledged meanwhile')
def policies_acknowledged(context):
    assert context.result['acked'] >= 3, context.result['acked']


@then('the judge finds "{finding}"')
def judge_finds(context, finding):
    found = [text for text in context.result['wrong'] if f' {finding}:' in f' {text}']
    assert found, context.result['wrong'][:5]


@then('at most {count:d} pieces of work were refused for want of a lease')
def few_refused_without_lease(context, count):
    counts = context.result['report']['counts']
    refused = sum(n for k, n in counts.items() if k.endswith('refused.no_lease'))
    good = sum(n for k, n in counts.items() if k.endswith('.good'))
    assert refused <= count and good > 500, counts


@when("the backup's replies to the primary are lost, and the primary's messages to the third member")
def replies_lost(context):
    async def script(town):
        await town.open()
        status = await town.status()
        first, second = [status['seat'][n].rpartition('-')[0] for n in (2, 3)]
        third = next(n for n in town.named('core') if n not in (first, second))
        town.world.cut(second, first, False)
        town.world.cut(first, third, False)
        await town.world.sleep(5)
        after_5s = town.hosts[second].state
        await town.world.sleep(10)
        after_15s = town.hosts[second].state
        return (
            second,
            [core_state.is_primary(s) for s in (after_5s, after_15s)],
            [core_state.core_copy(s).replica_set for s in (after_5s, after_15s)],
        )

    context.observed = play(context.seed, context.deploy, script)


@then('the core answers again within 5 seconds, with the backup as primary, after one failover')
def backup_took_over(context):
    second, is_primary, seats = context.observed
    assert is_primary == [True, True], (is_primary, seats)
    assert seats[0] == seats[1] and seats[0].previous_epoch == 1 and seats[0].primary.startswith(second), (
        seats
    )


@when("the core's primary freezes, another takes over, and the first thaws and gets requests at once")
def primary_thaws(context):
    async def script(town):
        await town.open()
        status = await town.status()
        old = status['seat'][2].rpartition('-')[0]
        addresses = [town.startups[n]['http'] for n in town.named('core')]
        old_index = town.named('core').index(old)
        town.world.freeze(town.machines[old])
        await town.world.sleep(4)
        other = next(n for n in range(3) if n != old_index and addresses[n])
        generation = None
        for n in range(3):
            if n != old_index and generation is None:
                status, body = await town.ask('PATCH', '/v1/policy', {'keeping_s': 400}, at=n)
                generation = body['generation'] if status == 200 else generation
        town.world.thaw(town.machines[old])
        requests = [
            asyncio.ensure_future(
                town.ask('PATCH', '/v1/policy', {'keeping_s': 500}, {'If-Match': '"1"'}, at=old_index)
            ),
            asyncio.ensure_future(town.ask('GET', '/v1/policy', at=old_index)),
        ]
        answers = [await request for request in requests]
        await town.world.sleep(3)
        shown = await town.ask('GET', '/v1/policy', at=other)
        return generation, answers, shown

    context.observed = play(context.seed, context.deploy, script)


@then('it answers neither a write nor a read with success, and the policy of the other is in force')
def nothing_succeeds(context):
    generation, answers, shown = context.observed
    assert generation == 2, generation
    assert answers[0][0] >= 400, answers[0]
    read = answers[1][1]
    # the read may also be forwarded to the new primary
    assert answers[1][0] >= 400 or read['generation'] == generation, answers[1]
    assert shown[1]['generation'] == generation and shown[1]['policy']['keeping_s'] == 400


@then('two policies are acknowledged as one generation')
def acknowledged_twice(context):
    generation, answers, _ = context.observed
    assert generation == 2 and answers[0][0] == 200 and answers[0][1]['generation'] == generation, (
        generation,
        answers[0],
    )


# ---- overload


@lru_cache
def overload_run(seed, per_s, order, asked_ms=None):
    return rehearse(seed, per_s, rules=FIFO if order == 'fifo' else None, asked_ms=asked_ms)


@given('the ceiling under a steady load, seed {seed:d}')
def steady_load(context, seed):
    context.seed = seed
    context.ceiling = overload_run(seed, CEILING_PER_S, 'newest')['good_per_s']
    assert context.ceiling > 40


@when('{times:d} times the ceiling is offered for 8 seconds')
def overload_offered(context, times):
    context.result = overload_run(context.seed, CEILING_PER_S * times, 'newest')
    assert context.result['offered'] > context.ceiling * 8 * times * 0.8
    assert context.result['wrong'] == [], context.result['wrong'][:3]


@then(
    'refusals begin when the pending work and the wait of the oldest task together fill the deadline less the service time'
)
def refusals_begin(context):
    bound = DEADLINE_MS / 1000 - SERVICE_S
    assert 0.85 * bound <= context.result['first_refusal_span_s'] <= 1.15 * bound, context.result


@then('{percent:d} of 100 of all refusals come within {limit_ms:d} ms, and none after the deadline')
def refusals_come_early(context, percent, limit_ms):
    waits = sorted(context.result['waits'])
    assert len(waits) > 100 and len(waits) == context.result['refused'], len(waits)
    assert waits[int(len(waits) * percent / 100)] <= limit_ms, waits[::50]
    assert max(waits) <= DEADLINE_MS, max(waits)


@then('the pending work never exceeds what drains within the deadline')
def pending_bounded(context):
    assert context.result['most_depth_s'] <= DEADLINE_MS / 1000 * 1.1, context.result['most_depth_s']


@then('nothing is pending 3 s after the load ends')
def pending_drained(context):
    assert context.result['gone_after_s'] is not None and context.result['gone_after_s'] <= 3


@then('goodput is at least 90 of 100 of the ceiling')
def goodput_near_ceiling(context):
    assert context.result['good_per_s'] >= 0.9 * context.ceiling, (
        context.result['good_per_s'],
        context.ceiling,
    )


@then('no tokens are spent on abandoned work')
def no_tokens_abandoned(context):
    assert context.result['abandoned_tokens'] == 0, context.result['abandoned_tokens']


@then('less than 5 of 100 slots are idle meanwhile')
def few_slots_idle(context):
    assert context.result['idle_part'] < 0.05, context.result['idle_part']


@when('4 times the ceiling is offered with newest-first and with first-in-first-out')
def both_orders(context):
    context.newest, context.fifo = (
        overload_run(2, CEILING_PER_S * 4, 'newest'),
        overload_run(2, CEILING_PER_S * 4, 'fifo'),
    )


@then('the median answer time of newest-first is at most half of first-in-first-out')
def newest_first_faster(context):
    assert context.newest['good_ms']['p50'] * 2 <= context.fifo['good_ms']['p50']


@then('both keep their goodput')
def both_keep_goodput(context):
    assert min(context.newest['good_per_s'], context.fifo['good_per_s']) >= 0.85 * CEILING_PER_S


@when('4 times the ceiling is offered with admission, and without it first-in-first-out')
def with_and_without_admission(context):
    context.with_admission = overload_run(2, CEILING_PER_S * 4, 'newest')
    context.without_admission = overload_run(2, CEILING_PER_S * 4, 'fifo', 60_000)


@then('goodput without admission is at most half of goodput with it')
def goodput_collapses(context):
    assert context.without_admission['good_per_s'] * 2 <= context.with_admission['good_per_s'], (
        context.without_admission['good_per_s'],
        context.with_admission['good_per_s'],
    )


@then('the pending work without admission is at least 5 times as deep')
def pending_grows(context):
    assert context.without_admission['most_depth_s'] >= 5 * context.with_admission['most_depth_s']


@when('4 times the ceiling is offered first-in-first-out')
def fifo_only(context):
    context.result = rehearse(2, CEILING_PER_S * 4, rules=FIFO)


@then('tokens are spent on abandoned work, and the judge finds "{finding}"')
def tokens_abandoned(context, finding):
    assert context.result['abandoned_tokens'] > 0
    judge_finds(context, finding)


# ---- the reducer of admission without a fleet

T0 = datetime(2026, 1, 1, tzinfo=UTC)


def slow_route():
    policy = {
        'classes': {'c': {'share': 100, 'deadline_ms': 3000}},
        'routes': {},
        'services': {},
        'pools': {'p': {'kind': 'model', 'replicas': {'r': {'address': '1.1.1.1:1', 'slots': 8}}}},
    }
    return State(
        policy=policy,
        generation=1,
        lease=T0 + timedelta(hours=1),
        allocation={'r': 8},
        service_times=Map({'q': ServiceTime(10.0, 1.0)}),
    )


def arrive(context, name, reserved_tokens=100):
    task = Task(
        name,
        'q',
        'c',
        'p',
        reserved_tokens,
        context.at + timedelta(seconds=3),
        context.at,
        prior_service_time=timedelta(seconds=0.5),
    )
    context.state, effects = reducer.step(context.state, Arrive(task), context.at)
    return [e for e in effects if isinstance(e, Decision)]


@given('a routing node whose route has recently taken 10 s, with a deadline of 3 s')
def slow_route_node(context):
    context.state, context.at = slow_route(), T0


@when('a task of it arrives, and another while the first runs')
def two_tasks_arrive(context):
    context.decisions = arrive(context, 'one') + arrive(context, 'two')


@then('the first is sent on trial and the other refused at once')
def first_on_trial(context):
    first, second = context.decisions
    assert first.replica == 'r' and second.fault and second.fault['fault'] == 'shed', context.decisions


@when('such trials take 0.4 s, one after another')
def trials_succeed(context):
    context.trials = 0
    name = 'one'
    while context.trials < 100:
        context.at += timedelta(seconds=0.4)
        context.state, _ = reducer.step(context.state, Leave(name, 100, timedelta(seconds=0.4)), context.at)
        context.trials += 1
        name = f't{context.trials}'
        sent = [bool(d.replica) for d in arrive(context, name) + arrive(context, f'{name}b')]
        if sent == [True, True]:
            return


@then('after at most {count:d} of them two tasks are sent at once again')
def route_recovered(context, count):
    assert context.trials <= count, context.trials


def core_update(generation):
    policy = {'classes': {}, 'pools': {}, 'routes': {}, 'services': {}}
    return News(
        {'epoch': 1, 'generation': generation, 'policy': policy, 'leaving': [], 'live': 1, 'allot': {}},
        T0 + timedelta(seconds=2),
    )


@given('a routing node that has generation 5 in force')
def generation_five(context):
    context.state, _ = reducer.step(State(), core_update(5), T0)


@when('generation 4 arrives late')
def generation_four_late(context):
    context.state, _ = reducer.step(context.state, core_update(4), T0)


@then('generation {generation:d} is in force')
def generation_in_force(context, generation):
    assert context.state.generation == generation, context.state.generation


@given('a routing node that has measured a hundredth of its true rate')
def rate_too_low(context):
    state = slow_route()._replace(service_times=Map())
    context.state = state._replace(pools=Map({'p': Pool('p', slot_rate=100 / 0.4 / 100)}))


@when('tasks of 0.4 s arrive at twice the capacity of its slots, for 20 s')
def twice_the_capacity(context):
    context.at, context.busy_slots, ends = T0, [], []
    for n in range(400):  # steps of 50 ms; 8 slots of 0.4 s take one task in each
        context.at += timedelta(milliseconds=50)
        for name, end in list(ends):
            if end <= context.at:
                ends.remove((name, end))
                context.state, effects = reducer.step(
                    context.state, Leave(name, 100, timedelta(seconds=0.4)), context.at
                )
                ends += [
                    (e.name, context.at + timedelta(seconds=0.4))
                    for e in effects
                    if isinstance(e, Decision) and e.replica
                ]
        for suffix in 'ab':
            ends += [
                (d.name, context.at + timedelta(seconds=0.4))
                for d in arrive(context, f'{n}{suffix}')
                if d.replica
            ]
        context.state, effects = reducer.step(context.state, Tick(), context.at)
        ends += [
            (e.name, context.at + timedelta(seconds=0.4))
            for e in effects
            if isinstance(e, Decision) and e.replica
        ]
        context.busy_slots.append(context.state.used_slots.get('r', 0))


@then('in the last 5 s every slot is busy')
def all_slots_busy(context):
    assert min(context.busy_slots[-100:]) >= 7, context.busy_slots[::20]


@given('a routing node whose slots drain {rate:d} tokens a second')
def known_rate(context, rate):
    context.state, context.at = (
        slow_route()._replace(service_times=Map(), pools=Map({'p': Pool('p', slot_rate=rate / 8)})),
        T0,
    )


@when('tasks of {tokens:d} tokens, a deadline of 3 s and a service time of 0.5 s arrive all at once')
def all_arrive_at_once(context, tokens):
    context.task_tokens, context.decisions = tokens, [arrive(context, f'{n}', tokens) for n in range(200)]


@then(
    '8 are sent, those whose wait and service fit into the deadline wait, and all others are refused at once'
)
def queue_bound_holds(context):
    sent = [d for decisions in context.decisions for d in decisions if d.replica]
    first = next(n for n, decisions in enumerate(context.decisions) if decisions and decisions[0].fault)
    rate = context.state.pools['p'].slot_rate * 8
    queued = int((3 - 0.5) * rate / context.task_tokens)
    assert len(sent) == 8 and first == 8 + queued, (len(sent), first, queued)
    faults = [decisions[-1].fault for decisions in context.decisions[first:]]
    assert all(f and f['fault'] == 'shed' and f['wait_ms'] > 0 for f in faults), faults[:2]


@given('a routing node with all slots in use and two pending tasks')
def full_node(context):
    context.state, context.at = slow_route()._replace(service_times=Map()), T0
    decisions = [d for n in range(10) for d in arrive(context, f'{n}')]
    assert [bool(d.replica) for d in decisions] == [True] * 8, decisions


@when('the caller of the first disconnects')
def first_disconnects(context):
    context.state, _ = reducer.step(context.state, Leave('8'), context.at)


@then('only the second waits, and it is sent when a slot becomes free')
def second_is_sent(context):
    pool = context.state.pools['p']
    assert [t.name for t in pool.pending['c']] == ['9'] and pool.pending_tokens == pool.tokens_by_class[
        'c'
    ] == 100, pool
    context.state, effects = reducer.step(context.state, Leave('0', 100, timedelta(seconds=0.4)), context.at)
    assert [(e.name, e.replica) for e in effects if isinstance(e, Decision)] == [('9', 'r')], effects
