"""Steps about keyed operations at the gateway, and unsolicited responses."""

import asyncio
from datetime import timedelta

from behave import then, when
from gateway import SOON_S, runs_of_request
from standin import sse_event, wait_until

# ---- keyed operations


def keyed_request(cluster, node_number, key, request_id=None):
    return cluster.run(cluster.request('/keyed/x', node_number, request_id=request_id, Idempotency_Key=key))


def summary(response):
    return (
        response.status,
        response.body,
        response.headers.get('Content-Type'),
        response.headers.get('X-Sign'),
    )


def runs_of_key(cluster, key):
    return [r for r in cluster.runs if r.headers.get('Idempotency-Key') == key]


@when('a keyed request is sent to node 1, then to node 2 and to node 1 again')
def keyed_thrice(context):
    context.key = 'k1'
    context.responses = [keyed_request(context.cluster, n, 'k1') for n in (1, 2, 1)]


@then('all three have one status, body, type and signature, and it ran once')
def one_answer(context):
    first = summary(context.responses[0])
    assert first[0] == 200 and first[2] == 'text/x-said' and first[3], first
    assert [summary(r) for r in context.responses] == [first] * 3, [summary(r) for r in context.responses]
    assert len(runs_of_key(context.cluster, context.key)) == 1


@then("the same for a replica's 500")
def one_500(context):
    context.cluster.plan.append('status 500')
    summaries = [summary(keyed_request(context.cluster, n, 'k500')) for n in (1, 2, 1)]
    assert summaries[0][0] == 500 and summaries == [summaries[0]] * 3, summaries
    assert len(runs_of_key(context.cluster, 'k500')) == 1


@when('a keyed request is held at its replica and repeated at both nodes')
def keyed_held(context):
    cluster = context.cluster

    async def script():
        cluster.plan.append('hold')
        context.exchange = await cluster.begin_request('/keyed/x', Idempotency_Key='k1')
        await wait_until(lambda: cluster.runs)
        context.responses = [await cluster.request('/keyed/x', n, Idempotency_Key='k1') for n in (1, 2)]
        context.other = await cluster.request('/keyed/x', 2, Idempotency_Key='k2')

    cluster.run(script())


@then('the repeats are 409 and another key is 200')
def repeats_409(context):
    assert [r.status for r in context.responses] == [409, 409] and context.other.status == 200
    assert len(runs_of_key(context.cluster, 'k1')) == 1


@then('the first is answered, and later repeats get that answer')
def first_answered(context):
    cluster = context.cluster
    cluster.proceed.release()
    first = cluster.run(context.exchange.read_all())
    assert first.status == 200, first.status
    assert [summary(keyed_request(cluster, n, 'k1')) for n in (2, 1)] == [summary(first)] * 2
    assert len(runs_of_key(cluster, 'k1')) == 1


@when('{count:d} attempts with one key are sent to both nodes at once')
def keyed_at_once(context, count):
    cluster = context.cluster

    async def script():
        return await asyncio.gather(
            *[cluster.request('/keyed/x', 1 + n % 2, Idempotency_Key='k1') for n in range(count)]
        )

    context.responses = cluster.run(script())


@then('one ran, and each is answered with that run or 409')
def one_run_of_many(context):
    assert len(runs_of_key(context.cluster, 'k1')) == 1
    answers = [summary(r) for r in context.responses if r.status != 409]
    assert answers and answers == [answers[0]] * len(answers) and answers[0][0] == 200, answers


@when('the caller of a keyed request disconnects while it runs')
def keyed_disconnects(context):
    cluster = context.cluster

    async def script():
        cluster.plan.append('hold')
        exchange = await cluster.begin_request('/keyed/x', Idempotency_Key='k1')
        await wait_until(lambda: cluster.runs)
        exchange.close()
        assert (await cluster.request('/keyed/x', 2, Idempotency_Key='k1')).status == 409
        cluster.proceed.release()
        async with asyncio.timeout(8):
            while (response := await cluster.request('/keyed/x', 2, Idempotency_Key='k1')).status == 409:
                pass
        context.response = response

    cluster.run(script())


@then('its repeat gets the answer of that run')
def answer_of_run(context):
    (run,) = runs_of_key(context.cluster, 'k1')
    assert (context.response.status, context.response.body) == (
        200,
        f'{run.replica} ran {run.request_id}'.encode(),
    ), context.response.body


@when('a keyed request is refused')
def keyed_refused(context):
    context.response = context.cluster.run(
        context.cluster.request('/keyed/x', 1, Idempotency_Key='k1', X_Deadline_Ms=1000)
    )
    assert context.response.status == 503, (context.response.status, context.response.body)


@then('its next attempt at the other node runs, and runs once')
def next_runs(context):
    cluster = context.cluster
    cluster.plan.clear()

    async def script():
        async with asyncio.timeout(8):
            while (response := await cluster.request('/keyed/x', 2, Idempotency_Key='k1')).status == 409:
                pass  # the store has not recorded yet that the first attempt did not run
            return response, await cluster.request('/keyed/x', 1, Idempotency_Key='k1')

    response, again = cluster.run(script())
    assert response.status == 200 and summary(response) == summary(again), (summary(response), summary(again))
    assert len(runs_of_key(cluster, 'k1')) == 1


@when('a keyed request is answered 502')
def keyed_502(context):
    response = keyed_request(context.cluster, 1, 'k1')
    assert response.status == 502, response.status


@then('its repeats are 409 at first and 502 after half a minute, and it ran once')
def unknown_outcome(context):
    cluster = context.cluster
    assert [keyed_request(cluster, n, 'k1').status for n in (1, 2)] == [409, 409]
    cluster.stores.clock_offset = timedelta(seconds=31)
    assert [keyed_request(cluster, n, 'k1').status for n in (1, 2)] == [502, 502]
    assert len(runs_of_key(cluster, 'k1')) == 1


# ---- unsolicited responses


@then('each got its own answer')
def own_answers(context):
    for request_id, response in context.responses:
        (run,) = runs_of_request(context.cluster, request_id)
        assert (response.status, response.body) == (200, f'{run.replica} ran {request_id}'.encode()), (
            request_id,
            response.status,
            response.body,
        )
        assert response.headers['X-Request-Id'] == request_id and response.complete, dict(response.headers)


@then('each got its own stream')
def own_streams(context):
    for request_id, response in context.responses:
        (run,) = runs_of_request(context.cluster, request_id)
        assert response.complete and response.body == b''.join(sse_event(request_id, n) for n in (1, 2, 3)), (
            request_id,
            response.status,
            response.body,
        )
        assert response.headers['X-Request-Id'] == request_id, dict(response.headers)


@then('the answer is no success')
def no_success(context):
    assert context.response.status in (502, 504) and context.response.complete, (
        context.response.status,
        context.response.body,
    )


@then('the caller gets no complete answer')
def no_complete(context):
    assert context.response.status != 200 or not context.response.complete, (
        context.response.status,
        context.response.body,
    )
    assert context.response.status not in (408, 421, 429, 503), context.response.status


@then("the replica's stream is cut")
def stream_cut(context):
    cluster = context.cluster
    cluster.run(wait_until(lambda: cluster.runs and cluster.runs[0].cut, SOON_S))


@then('all ran at "{name}"')
def all_at(context, name):
    assert {r.replica for r in context.cluster.runs} == {name}
