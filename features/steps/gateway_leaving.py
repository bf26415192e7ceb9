"""Steps about draining nodes, policy changes during requests, and disconnected callers."""

import asyncio
from datetime import timedelta

from behave import then, when
from gateway import SOON_S, runs_of_request
from gateway_turns import not_retained, settled
from standin import EVENT_TOKENS, from_ms, send_request, sse_event, wait_until

from quillstall.dataplane.admission.messages import Arrive, News

# ---- draining


@when('the node drains while a stream runs')
def drain_with_stream(context):
    cluster = context.cluster

    async def script():
        ready = await (await send_request(cluster.address(1, 'ready'), 'GET', '/', {})).read_all()
        assert ready.status == 200, ready.status
        cluster.plan.append('paced 2')
        context.exchange = await cluster.begin_request('/turn/a', request_id='t1', **cluster.turn_headers())
        cluster.proceed.release()
        await context.exchange.read_head()
        await context.exchange.read_chunk()
        context.drained = asyncio.ensure_future(cluster.nodes[0].drain(from_ms(8000)))
        await asyncio.sleep(0)
        context.ready = await (await send_request(cluster.address(1, 'ready'), 'GET', '/', {})).read_all()

    cluster.run(script())


@then('it reports at once that it is not ready')
def not_ready(context):
    assert context.ready.status == 503, context.ready.status


@then('a new request is served, and its connection closed')
def still_served(context):
    response = context.cluster.run(context.cluster.request('/once/x'))
    assert response.status == 200 and response.headers['Connection'] == 'close', (
        response.status,
        dict(response.headers),
    )
    response = context.cluster.run(context.cluster.run_turn('t2', program='R'))
    assert (response.status, response.complete, response.headers['Connection']) == (200, True, 'close'), (
        response.status,
        dict(response.headers),
    )


@then('the stream is completed, and then the node is drained')
def stream_completed(context):
    cluster = context.cluster

    async def script():
        assert not context.drained.done()
        cluster.proceed.release()
        response = await context.exchange.read_all()
        assert response.complete and response.body == sse_event('t1', 1) + sse_event('t1', 2), response.body
        await wait_until(context.drained.done)

    cluster.run(script())


@when('the node stops within {ms:d} ms while "{path}" waits for a silent replica')
def stop_with_request(context, ms, path):
    cluster = context.cluster

    async def script():
        cluster.plan.append('silent')
        headers = cluster.turn_headers() if path.startswith('/turn/') else {}
        headers |= {'Idempotency_Key': 'k'} if path.startswith('/keyed/') else {}
        exchange = await cluster.begin_request(path, request_id='s1', **headers)
        await wait_until(lambda: runs_of_request(cluster, 's1'))
        drained = asyncio.ensure_future(cluster.nodes[0].drain(from_ms(ms)))
        context.response = await exchange.read_all()
        context.stopped_before = drained.done()
        await drained

    cluster.run(script())


@when(
    '"{path}" is requested {after:d} ms after a node with an unanswered request was told to stop within {ms:d} ms'
)
def request_during_stop(context, path, after, ms):
    cluster = context.cluster

    async def script():
        cluster.plan.extend(['silent', 'silent'])
        first = await cluster.begin_request('/once/y', request_id='s1')
        await wait_until(lambda: runs_of_request(cluster, 's1'))
        drained = asyncio.ensure_future(cluster.nodes[0].drain(from_ms(ms)))
        await asyncio.sleep(after / 1000)
        context.response = await cluster.request(path, request_id='s2')
        context.stopped_before = drained.done()
        assert (await first.read_all()).status == 504
        await drained

    cluster.run(script())


@then('the request has a complete answer of status {status:d} before the node has stopped')
def answered_before_stop(context, status):
    response = context.response
    assert (response.status, response.complete) == (status, True), (response.status, response.complete)
    assert not context.stopped_before


@then('it was sent to {count:d} replicas')
def sent_to(context, count):
    assert len(runs_of_request(context.cluster, 's2')) == count


def without_class(policy):
    """Return the policy with another class instead of "c"."""
    classes = {'d': policy['classes']['c']}
    routes = {name: {**route, 'class': 'd'} for name, route in policy['http_routes'].items()}
    return {**policy, 'classes': classes, 'http_routes': routes}


@when('a policy without the class of its routes is applied while its request waits at a replica')
def class_removed_while_sent(context):
    cluster = context.cluster

    async def script():
        cluster.plan.extend(['hold', 'answer'])
        exchange = await cluster.begin_request('/any/x', request_id='c1')
        await wait_until(lambda: runs_of_request(cluster, 'c1'))
        await cluster.change_policy(cluster.nodes[0], without_class(cluster.policy))
        for stream in list(cluster.replicas[runs_of_request(cluster, 'c1')[0].replica].streams):
            stream.close()
        context.response = await exchange.read_all()

    cluster.run(script())


@when('a policy without the class of its routes is applied as its request arrives')
def class_removed_on_arrival(context):
    cluster = context.cluster

    async def script():
        node = cluster.nodes[0]
        sent = asyncio.Event()
        update = News(
            {
                'generation': 2,
                'epoch': 1,
                'policy': without_class(cluster.policy),
                'leaving': [],
                'live': 1,
                'allot': {},
            },
            cluster.clock.now() + timedelta(seconds=100),
        )
        forward = node.post_event

        def tell(event):
            """Queue the core update before the task, which was created under the older policy."""
            if type(event) is Arrive and not sent.is_set():
                sent.set()
                forward(update)
            forward(event)

        node.post_event = tell
        context.response = await cluster.request('/any/x', request_id='c1')

    cluster.run(script())


@when('a policy without the class of its routes is applied while its key is claimed')
def class_removed_during_claim(context):
    cluster = context.cluster

    async def script():
        call, node = cluster.stores.ask, cluster.nodes[0]

        async def call_and_change(address, message, limit):
            reply = await call(address, message, limit)
            if node.state.generation == 1:
                await cluster.change_policy(node, without_class(cluster.policy))
            return reply

        cluster.stores.ask = call_and_change
        context.response = await cluster.request('/keyed/x', request_id='c1', Idempotency_Key='k')

    cluster.run(script())


@then('the request has an answer, and the node serves the next one')
def node_still_serves(context):
    assert context.response.complete, (context.response.status, context.response.complete)
    assert context.response.status in (200, 502, 503), context.response.status
    response = context.cluster.run(context.cluster.request('/any/y'))
    assert response.status == 200, response.status


@when('a caller disconnects in the middle of a stream')
def disconnects_midstream(context):
    cluster = context.cluster

    async def script():
        cluster.plan.append('paced 9')
        exchange = await cluster.begin_request('/turn/a', request_id='t1', **cluster.turn_headers())
        cluster.proceed.release()
        await exchange.read_head()
        await exchange.read_chunk()
        exchange.close()

    cluster.run(script())


@when('a caller disconnects before the first event')
def disconnects_early(context):
    cluster = context.cluster

    async def script():
        cluster.plan.append('paced 9')
        exchange = await cluster.begin_request('/turn/a', request_id='t1', **cluster.turn_headers())
        await wait_until(lambda: cluster.runs)
        exchange.close()

    cluster.run(script())


@then("the replica's stream is cut, and the turn is not retained")
def cut_and_not_retained(context):
    cluster = context.cluster
    cluster.run(wait_until(lambda: cluster.runs[0].cut, SOON_S))
    assert settled(cluster) == EVENT_TOKENS
    context.request_id = 't1'
    not_retained(context)


@then('the replica has rejected it')
def rejected_it(context):
    assert context.cluster.rejected, 'the replica got no request'
