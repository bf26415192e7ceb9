"""Steps about keyed work at the gateway, and answers that nobody asked for."""

import asyncio
from datetime import timedelta

from behave import then, when
from gateway import AT_ONCE, ran
from standin import event, until

# ---- keyed


def keyed(story, n, key, ident=None):
    return story.run(story.ask('/keyed/x', n, ident=ident, Idempotency_Key=key))


def facts(got):
    return got.status, got.body, got.headers.get('Content-Type'), got.headers.get('X-Sign')


def runs_of(story, key):
    return [r for r in story.runs if r.headers.get('Idempotency-Key') == key]


@when('a keyed request is asked at node 1 and again at node 2 and at node 1')
def keyed_thrice(context):
    context.key = 'k1'
    context.all = [keyed(context.story, n, 'k1') for n in (1, 2, 1)]


@then('all three have one status, body, type and signature, and it ran once')
def one_answer(context):
    first = facts(context.all[0])
    assert first[0] == 200 and first[2] == 'text/x-said' and first[3], first
    assert [facts(g) for g in context.all] == [first] * 3, [facts(g) for g in context.all]
    assert len(runs_of(context.story, context.key)) == 1


@then("the same for a replica's 500")
def one_500(context):
    context.story.plan.append('status 500')
    got = [facts(keyed(context.story, n, 'k500')) for n in (1, 2, 1)]
    assert got[0][0] == 500 and got == [got[0]] * 3, got
    assert len(runs_of(context.story, 'k500')) == 1


@when('a keyed request is held at its replica and repeated at both nodes')
def keyed_held(context):
    story = context.story

    async def script():
        story.plan.append('hold')
        context.talk = await story.begin('/keyed/x', Idempotency_Key='k1')
        await until(lambda: story.runs)
        context.all = [await story.ask('/keyed/x', n, Idempotency_Key='k1') for n in (1, 2)]
        context.other = await story.ask('/keyed/x', 2, Idempotency_Key='k2')

    story.run(script())


@then('the repeats are 409 and another key is 200')
def repeats_409(context):
    assert [g.status for g in context.all] == [409, 409] and context.other.status == 200
    assert len(runs_of(context.story, 'k1')) == 1


@then('the first is answered, and later repeats get that answer')
def first_answered(context):
    story = context.story
    story.go.release()
    first = story.run(context.talk.rest())
    assert first.status == 200, first.status
    assert [facts(keyed(story, n, 'k1')) for n in (2, 1)] == [facts(first)] * 2
    assert len(runs_of(story, 'k1')) == 1


@when('{count:d} tries with one key are sent at once to both nodes')
def keyed_at_once(context, count):
    story = context.story

    async def script():
        return await asyncio.gather(
            *[story.ask('/keyed/x', 1 + n % 2, Idempotency_Key='k1') for n in range(count)]
        )

    context.all = story.run(script())


@then('one ran, and each is answered with that run or 409')
def one_of_many(context):
    assert len(runs_of(context.story, 'k1')) == 1
    answers = [facts(g) for g in context.all if g.status != 409]
    assert answers and answers == [answers[0]] * len(answers) and answers[0][0] == 200, answers


@when('the caller of a keyed request leaves while it runs')
def keyed_leaves(context):
    story = context.story

    async def script():
        story.plan.append('hold')
        talk = await story.begin('/keyed/x', Idempotency_Key='k1')
        await until(lambda: story.runs)
        talk.close()
        assert (await story.ask('/keyed/x', 2, Idempotency_Key='k1')).status == 409
        story.go.release()
        async with asyncio.timeout(8):
            while (got := await story.ask('/keyed/x', 2, Idempotency_Key='k1')).status == 409:
                pass
        context.got = got

    story.run(script())


@then('its repeat gets the answer of that run')
def answer_of_run(context):
    (run,) = runs_of(context.story, 'k1')
    assert (context.got.status, context.got.body) == (200, f'{run.replica} ran {run.ident}'.encode()), (
        context.got.body
    )


@when('a keyed request is refused')
def keyed_refused(context):
    context.got = context.story.run(
        context.story.ask('/keyed/x', 1, Idempotency_Key='k1', X_Deadline_Ms=1000)
    )
    assert context.got.status == 503, (context.got.status, context.got.body)


@then('its next try at the other node runs, and runs once')
def next_runs(context):
    story = context.story
    story.plan.clear()

    async def script():
        async with asyncio.timeout(8):
            while (got := await story.ask('/keyed/x', 2, Idempotency_Key='k1')).status == 409:
                pass  # the word that it did not run is still under way
            return got, await story.ask('/keyed/x', 1, Idempotency_Key='k1')

    got, again = story.run(script())
    assert got.status == 200 and facts(got) == facts(again), (facts(got), facts(again))
    assert len(runs_of(story, 'k1')) == 1


@when('a keyed request is lost')
def keyed_lost(context):
    got = keyed(context.story, 1, 'k1')
    assert got.status == 502, got.status


@then('its repeats are 409 at first and 502 after half a minute, and it ran once')
def unknown_end(context):
    story = context.story
    assert [keyed(story, n, 'k1').status for n in (1, 2)] == [409, 409]
    story.stores.ahead = timedelta(seconds=31)
    assert [keyed(story, n, 'k1').status for n in (1, 2)] == [502, 502]
    assert len(runs_of(story, 'k1')) == 1


# ---- surplus


@then('each got its own answer')
def own_answers(context):
    for ident, got in context.all:
        (run,) = ran(context.story, ident)
        assert (got.status, got.body) == (200, f'{run.replica} ran {ident}'.encode()), (
            ident,
            got.status,
            got.body,
        )
        assert got.headers['X-Request-Id'] == ident and got.complete, dict(got.headers)


@then('each got its own stream')
def own_streams(context):
    for ident, got in context.all:
        (run,) = ran(context.story, ident)
        assert got.complete and got.body == b''.join(event(ident, n) for n in (1, 2, 3)), (
            ident,
            got.status,
            got.body,
        )
        assert got.headers['X-Request-Id'] == ident, dict(got.headers)


@then('the answer is no success')
def no_success(context):
    assert context.got.status in (502, 504) and context.got.complete, (context.got.status, context.got.body)


@then('the caller gets no whole answer')
def no_whole(context):
    assert context.got.status != 200 or not context.got.complete, (context.got.status, context.got.body)
    assert context.got.status not in (408, 421, 429, 503), context.got.status


@then("the replica's stream is cut")
def stream_cut(context):
    story = context.story
    story.run(until(lambda: story.runs and story.runs[0].cut, AT_ONCE))


@then('all ran at "{name}"')
def all_at(context, name):
    assert {r.replica for r in context.story.runs} == {name}
