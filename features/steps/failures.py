"""Steps that cause failures in simulated deployments and hold the history against the rules."""

import asyncio
from contextlib import ExitStack
from datetime import UTC, datetime, timedelta
from functools import lru_cache

from behave import given, then, when
from immutables import Map

from quillstall.controlplane import core_state
from quillstall.dataplane.admission import reducer
from quillstall.dataplane.admission.admission_state import Pool, Service, State, Task
from quillstall.dataplane.admission.messages import Arrive, Leave, News, Word
from quillstall.runtime.effect import Tick
from quillstall.testbed.explore import Trouble, explore
from quillstall.testbed.rehearse import DEADLINE_MS, rehearse
from quillstall.testbed.sabotage import WAYS
from quillstall.testbed.town import play

FIFO = {'newest_first_at': 9999, 'fifo_at': 0.99}
SERVICE_S = 0.5
CEILING = 60.0


@given('a fleet that breaks a rule: "{way}"')
def breaks(context, way):
    context.stack = ExitStack()
    context.stack.enter_context(WAYS[way]())
    context.add_cleanup(context.stack.close)


@when('"{kinds}" happens {count:d} times')
def happens(context, kinds, count):
    context.result = explore(context.seed, context.deploy, count, kinds.split(','))


FOUND_AMONG = [  # the kinds there were when the seeds were found: with others a seed plays another history
    kind for kind in Trouble.kinds() if kind not in ('clock_step', 'leader_cuts')
]


@when('any failures happen {count:d} times')
def any_happen(context, count):
    context.result = explore(context.seed, context.deploy, count, FOUND_AMONG)


@then('policies were acknowledged meanwhile')
def acked(context):
    assert context.result['acked'] >= 3, context.result['acked']


@then('the judge finds "{finding}"')
def finds(context, finding):
    hits = [w for w in context.result['wrong'] if f' {finding}:' in f' {w}']
    assert hits, context.result['wrong'][:5]


@then('at most {count:d} pieces of work were refused for want of a lease')
def few_lease(context, count):
    counts = context.result['report']['counts']
    refused = sum(n for k, n in counts.items() if k.endswith('refused.no_lease'))
    good = sum(n for k, n in counts.items() if k.endswith('.good'))
    assert refused <= count and good > 500, counts


@when("the backup's returns to the primary are lost, and the primary's messages to the third")
def ring(context):
    async def script(town):
        await town.open()
        status = await town.status()
        first, second = [status['seat'][n].rpartition('-')[0] for n in (2, 3)]
        third = next(n for n in town.named('core') if n not in (first, second))
        town.world.cut(second, first, False)
        town.world.cut(first, third, False)
        await town.world.sleep(5)
        now = town.hosts[second].state
        await town.world.sleep(10)
        later = town.hosts[second].state
        return (
            second,
            [core_state.primary(s) for s in (now, later)],
            [core_state.copy_of(s).replica_set for s in (now, later)],
        )

    context.ring = play(context.seed, context.deploy, script)


@then('the core answers again within 5 seconds, with the backup as primary, after one take-over')
def took_over(context):
    second, led, seats = context.ring
    assert led == [True, True], (led, seats)
    assert seats[0] == seats[1] and seats[0].previous_epoch == 1 and seats[0].primary.startswith(second), (
        seats
    )


@when("the core's primary freezes, another takes over, and the first wakes and is asked at once")
def wakes(context):
    async def script(town):
        await town.open()
        status = await town.status()
        old = status['seat'][2].rpartition('-')[0]
        doors = [town.startups[n]['http'] for n in town.named('core')]
        at = town.named('core').index(old)
        town.world.freeze(town.machines[old])
        await town.world.sleep(4)
        other = next(n for n in range(3) if n != at and doors[n])
        won = None
        for n in range(3):
            if n != at and won is None:
                status, body = await town.ask('PATCH', '/v1/policy', {'keeping_s': 400}, at=n)
                won = body['generation'] if status == 200 else won
        town.world.thaw(town.machines[old])
        asked = [
            asyncio.ensure_future(
                town.ask('PATCH', '/v1/policy', {'keeping_s': 500}, {'If-Match': '"1"'}, at=at)
            ),
            asyncio.ensure_future(town.ask('GET', '/v1/policy', at=at)),
        ]
        answers = [await a for a in asked]
        await town.world.sleep(3)
        shown = await town.ask('GET', '/v1/policy', at=other)
        return won, answers, shown

    context.woke = play(context.seed, context.deploy, script)


@then('it answers neither a change nor a question with success, and the policy of the other stands')
def nothing(context):
    won, answers, shown = context.woke
    assert won == 2, won
    assert answers[0][0] >= 400, answers[0]
    seen = answers[1][1]
    assert answers[1][0] >= 400 or seen['generation'] == won, answers[1]  # or handed over to the new one
    assert shown[1]['generation'] == won and shown[1]['policy']['keeping_s'] == 400


@then('two policies are acknowledged as one generation')
def doubled(context):
    won, answers, _ = context.woke
    assert won == 2 and answers[0][0] == 200 and answers[0][1]['generation'] == won, (won, answers[0])


# ---- overload


@lru_cache
def played(seed, per_s, order, asked_ms=None):
    return rehearse(seed, per_s, rules=FIFO if order == 'fifo' else None, asked_ms=asked_ms)


@given('the ceiling that a steady load finds, seed {seed:d}')
def ceiling(context, seed):
    context.seed = seed
    context.ceiling = played(seed, CEILING, 'newest')['good_per_s']
    assert context.ceiling > 40


@when('{times:d} times the ceiling is offered for 8 seconds')
def offered(context, times):
    context.result = played(context.seed, CEILING * times, 'newest')
    assert context.result['offered'] > context.ceiling * 8 * times * 0.8
    assert context.result['wrong'] == [], context.result['wrong'][:3]


@then(
    'refusing begins when the work before the oldest and the time it has waited fill its deadline less its service'
)
def begins(context):
    bound = DEADLINE_MS / 1000 - SERVICE_S
    assert 0.85 * bound <= context.result['first_refusal_span_s'] <= 1.15 * bound, context.result


@then('{part:d} of 100 of all refusals come within {most:d} ms, and none after the deadline')
def at_once(context, part, most):
    waits = sorted(context.result['waits'])
    assert len(waits) > 100 and len(waits) == context.result['refused'], len(waits)
    assert waits[int(len(waits) * part / 100)] <= most, waits[::50]
    assert max(waits) <= DEADLINE_MS, max(waits)


@then('the pending work is never deeper than the deadline')
def bounded(context):
    assert context.result['most_depth_s'] <= DEADLINE_MS / 1000 * 1.1, context.result['most_depth_s']


@then('nothing is pending 3 s after the load')
def gone(context):
    assert context.result['gone_after_s'] is not None and context.result['gone_after_s'] <= 3


@then('goodput is at least 90 of 100 of the ceiling')
def holds(context):
    assert context.result['good_per_s'] >= 0.9 * context.ceiling, (
        context.result['good_per_s'],
        context.ceiling,
    )


@then('no tokens are spent on abandoned work')
def none_spent(context):
    assert context.result['abandoned_tokens'] == 0, context.result['abandoned_tokens']


@then('less than 5 of 100 slots stand idle meanwhile')
def busy(context):
    assert context.result['idle_part'] < 0.05, context.result['idle_part']


@when('4 times the ceiling is offered with newest-first and with first-in-first-out')
def orders(context):
    context.newest, context.fifo = played(2, CEILING * 4, 'newest'), played(2, CEILING * 4, 'fifo')


@then('the median answer of newest-first is at least 2 times as fast')
def faster(context):
    assert context.newest['good_ms']['p50'] * 2 <= context.fifo['good_ms']['p50']


@then('both hold their goodput')
def both(context):
    assert min(context.newest['good_per_s'], context.fifo['good_per_s']) >= 0.85 * CEILING


@when('4 times the ceiling is offered with admission and, first-in-first-out, without')
def without(context):
    context.with_it = played(2, CEILING * 4, 'newest')
    context.without = played(2, CEILING * 4, 'fifo', 60_000)


@then('goodput without is at most half of goodput with')
def rots(context):
    assert context.without['good_per_s'] * 2 <= context.with_it['good_per_s'], (
        context.without['good_per_s'],
        context.with_it['good_per_s'],
    )


@then('the pending work without is at least 5 times as deep')
def deep(context):
    assert context.without['most_depth_s'] >= 5 * context.with_it['most_depth_s']


@when('4 times the ceiling is offered first-in-first-out')
def fifo_only(context):
    context.result = rehearse(2, CEILING * 4, rules=FIFO)


@then('tokens are spent on abandoned work, and the judge finds "{finding}"')
def spent(context, finding):
    assert context.result['abandoned_tokens'] > 0
    finds(context, finding)


# ---- a reducer by itself

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
        allot={'r': 8},
        service=Map({'q': Service(10.0, 1.0)}),
    )


def arrive(context, name, hold=100):
    task = Task(
        name, 'q', 'c', 'p', hold, context.at + timedelta(seconds=3), context.at, prior=timedelta(seconds=0.5)
    )
    context.state, effects = reducer.step(context.state, Arrive(task), context.at)
    return [e for e in effects if isinstance(e, Word)]


@given('a routing node whose route has lately taken 10 s of a deadline of 3 s')
def was_slow(context):
    context.state, context.at = slow_route(), T0


@when('a task of it arrives, and another while the first runs')
def two_arrive(context):
    context.words = arrive(context, 'one') + arrive(context, 'two')


@then('the first is sent on trial and the other refused at once')
def trial(context):
    first, second = context.words
    assert first.replica == 'r' and second.fault and second.fault['fault'] == 'shed', context.words


@when('such trials take 0.4 s, one after another')
def trials(context):
    context.trials = 0
    name = 'one'
    while context.trials < 100:
        context.at += timedelta(seconds=0.4)
        context.state, _ = reducer.step(context.state, Leave(name, 100, timedelta(seconds=0.4)), context.at)
        context.trials += 1
        name = f't{context.trials}'
        sent = [bool(w.replica) for w in arrive(context, name) + arrive(context, f'{name}b')]
        if sent == [True, True]:
            return


@then('after at most {count:d} of them two tasks are sent at once again')
def recovered(context, count):
    assert context.trials <= count, context.trials


def news(generation):
    policy = {'classes': {}, 'pools': {}, 'routes': {}, 'services': {}}
    return News(
        {'epoch': 1, 'generation': generation, 'policy': policy, 'leaving': [], 'live': 1, 'allot': {}},
        T0 + timedelta(seconds=2),
    )


@given('a routing node that has generation 5 in force')
def has_five(context):
    context.state, _ = reducer.step(State(), news(5), T0)


@when('generation 4 arrives late')
def four_late(context):
    context.state, _ = reducer.step(context.state, news(4), T0)


@then('generation {generation:d} is in force')
def this_in_force(context, generation):
    assert context.state.generation == generation, context.state.generation


@given('a routing node that has measured a hundredth of its true rate')
def low_rate(context):
    state = slow_route()._replace(service=Map())
    context.state = state._replace(pools=Map({'p': Pool('p', slot_rate=100 / 0.4 / 100)}))


@when('tasks of 0.4 s come twice as fast as its slots take them, for 20 s')
def twice_as_fast(context):
    context.at, context.busy, ends = T0, [], []
    for n in range(400):  # 50 ms each; 8 slots of 0.4 s take one in each
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
                    if isinstance(e, Word) and e.replica
                ]
        for part in 'ab':
            ends += [
                (w.name, context.at + timedelta(seconds=0.4))
                for w in arrive(context, f'{n}{part}')
                if w.replica
            ]
        context.state, effects = reducer.step(context.state, Tick(), context.at)
        ends += [
            (e.name, context.at + timedelta(seconds=0.4))
            for e in effects
            if isinstance(e, Word) and e.replica
        ]
        context.busy.append(context.state.used.get('r', 0))


@then('in the last 5 s every slot is busy')
def all_busy(context):
    assert min(context.busy[-100:]) >= 7, context.busy[::20]


@given('a routing node whose slots drain {rate:d} tokens a second')
def drains(context, rate):
    context.state, context.at = (
        slow_route()._replace(service=Map(), pools=Map({'p': Pool('p', slot_rate=rate / 8)})),
        T0,
    )


@when('tasks of {hold:d} tokens, a deadline of 3 s and a service of 0.5 s come all at once')
def all_at_once(context, hold):
    context.hold, context.words = hold, [arrive(context, f'{n}', hold) for n in range(200)]


@then('8 are sent, those whose wait and service fit the deadline wait, and each one more is refused at once')
def bound_holds(context):
    sent = [w for words in context.words for w in words if w.replica]
    first = next(n for n, words in enumerate(context.words) if words and words[0].fault)
    rate = context.state.pools['p'].slot_rate * 8
    fit = int((3 - 0.5) * rate / context.hold)
    assert len(sent) == 8 and first == 8 + fit, (len(sent), first, fit)
    later = [words[-1].fault for words in context.words[first:]]
    assert all(f and f['fault'] == 'shed' and f['wait_ms'] > 0 for f in later), later[:2]


@given('a routing node whose slots are full and whose line holds two tasks')
def full_node(context):
    context.state, context.at = slow_route()._replace(service=Map()), T0
    words = [w for n in range(10) for w in arrive(context, f'{n}')]
    assert [bool(w.replica) for w in words] == [True] * 8, words


@when('the caller of the first leaves')
def first_leaves(context):
    context.state, _ = reducer.step(context.state, Leave('8'), context.at)


@then('only the second waits, and it is sent when a slot comes free')
def second_sent(context):
    pool = context.state.pools['p']
    assert [t.name for t in pool.pending['c']] == ['9'] and pool.queued == pool.tokens['c'] == 100, pool
    context.state, effects = reducer.step(context.state, Leave('0', 100, timedelta(seconds=0.4)), context.at)
    assert [(w.name, w.replica) for w in effects if isinstance(w, Word)] == [('9', 'r')], effects
