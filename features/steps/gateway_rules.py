"""Steps about limits of the gateway: disconnected callers, attempts, timeouts, idle connections."""

import asyncio

from behave import given, then, when
from gateway import SOON_S, make_request, runs_of_request
from standin import wait_until

from quillstall.network import httpclient

CUT_WITHIN_S = 0.5  # after the caller has disconnected
SLOTS = 8  # of each replica
SLACK_MS = 60  # scheduling delay between the caller's clock and the node's on a busy machine


def change_routes(context, **fields):
    """Set fields of every route at every node."""
    cluster = context.cluster
    routes = {name: {**route, **fields} for name, route in cluster.policy['http_routes'].items()}
    cluster.policy = {**cluster.policy, 'http_routes': routes}
    for node in cluster.nodes:
        cluster.run(cluster.change_policy(node, cluster.policy))


def headers_for(cluster, path):
    return cluster.turn_headers() if path.startswith('/turn/') else {}


@given('every route allows {max_attempts:d} attempt')
@given('every route allows {max_attempts:d} attempts')
def allow_attempts(context, max_attempts):
    change_routes(context, attempts=max_attempts)


@given('every route allows {ms:d} ms')
def allow_time(context, ms):
    context.route_ms = ms
    change_routes(context, timeout_ms=ms)


# ---- disconnected callers


@when('the caller of "{path}" disconnects while its replica is at work')
def disconnects_at_work(context, path):
    cluster = context.cluster

    async def script():
        exchange = await cluster.begin_request(path, request_id='left', **headers_for(cluster, path))
        await wait_until(lambda: cluster.runs)
        exchange.close()
        context.disconnected_at = cluster.loop.time()

    cluster.run(script())


@then("the replica's work is cut within half a second")
def cut_soon(context):
    cluster = context.cluster
    cluster.run(wait_until(lambda: cluster.runs[0].cut, SOON_S))
    assert cluster.loop.time() - context.disconnected_at < CUT_WITHIN_S


@then('it reaches no other replica')
def reaches_no_other(context):
    cluster = context.cluster
    cluster.run(asyncio.sleep(CUT_WITHIN_S))
    assert len(runs_of_request(cluster, 'left')) == 1, [(r.replica, r.path) for r in cluster.runs]


@given('every slot of the replicas is taken')
def all_taken(context):
    cluster = context.cluster
    count = SLOTS * len(cluster.replicas)

    async def script():
        cluster.plan.extend(['hold'] * count)
        context.held = [await cluster.begin_request('/once/held') for _ in range(count)]
        await wait_until(lambda: len(cluster.runs) == count)

    cluster.run(script())


@when('the caller of "{path}" disconnects while it waits, and the slots become free')
def disconnects_while_queued(context, path):
    cluster = context.cluster
    node = cluster.nodes[0]

    async def script():
        exchange = await cluster.begin_request(path, request_id='left', **headers_for(cluster, path))
        await wait_until(lambda: node.pending_decisions)
        exchange.close()
        await wait_until(lambda: not node.pending_decisions)
        for _ in context.held:
            cluster.proceed.release()
        for held in context.held:
            assert (await held.read_all()).status == 200

    cluster.run(script())


@when('the caller of "{path}" disconnects while it waits, and the stores are reachable again')
def disconnects_while_stores_away(context, path):
    cluster = context.cluster

    async def script():
        exchange = await cluster.begin_request(path, request_id='left', **headers_for(cluster, path))
        await wait_until(lambda: cluster.nodes[0].gateway.listener.open_requests)
        exchange.close()
        await asyncio.sleep(0.1)
        cluster.stores.unreachable.clear()
        await wait_until(lambda: not cluster.nodes[0].gateway.listener.open_requests)

    cluster.run(script())


@then('it has not run')
def has_not_run(context):
    assert make_request(context, '/once/after').status == 200
    assert not runs_of_request(context.cluster, 'left')


# ---- timeouts


@then("each replica's deadline was at most what was left of {ms:d} ms")
def deadline_within(context, ms):
    cluster = context.cluster
    runs = runs_of_request(cluster, context.request_id) + [
        r for r in cluster.rejected if r.request_id == context.request_id
    ]
    assert runs
    first = min(r.at for r in runs)
    for run in runs:
        elapsed_ms = (run.at - first) * 1000
        assert int(run.headers['X-Deadline-Ms']) + elapsed_ms <= ms + SLACK_MS, (
            dict(run.headers),
            elapsed_ms,
        )


@when('"{path}" is requested with {ms:d} ms and timed')
def request_timed(context, path, ms):
    start = context.cluster.loop.time()
    context.response = make_request(context, path, X_Deadline_Ms=ms)
    context.took_ms = (context.cluster.loop.time() - start) * 1000


@then("its final answer came between 0 and {slack:d} ms after the route's {ms:d} ms")
def final_in_time(context, slack, ms):
    assert ms - SLACK_MS <= context.took_ms <= ms + slack, context.took_ms
    assert context.response.status == 504 or not context.response.complete, context.response.status


@when('the store becomes unreachable before a turn ends shortly before its timeout')
def store_unreachable_late(context):
    cluster = context.cluster

    async def script():
        cluster.plan.append('paced 2')
        start = cluster.loop.time()
        exchange = await cluster.begin_request('/turn/a', request_id='t1', **cluster.turn_headers())
        cluster.proceed.release()
        await exchange.read_head()
        await exchange.read_chunk()
        cluster.stores.unreachable.update(cluster.stores.rows)
        await asyncio.sleep(start + context.route_ms / 1000 * 0.85 - cluster.loop.time())
        cluster.proceed.release()
        context.response = await exchange.read_all()
        context.took_ms = (cluster.loop.time() - start) * 1000

    cluster.run(script())


@then("its connection ended at most {slack:d} ms after the route's {ms:d} ms")
def end_in_time(context, slack, ms):
    assert not context.response.complete and context.response.body.count(b'\n\n') == 2, context.response.body
    assert context.took_ms <= ms + slack, context.took_ms


# ---- failures


@then("it does not have the replica's signature")
def unsigned(context):
    assert 'X-Sign' not in context.response.headers, dict(context.response.headers)


# ---- idle connections


def set_idle_limit(context, ms):
    cluster = context.cluster
    cluster.policy = {**cluster.policy, 'limits': {'idle_ms': ms}}
    for node in cluster.nodes:
        cluster.run(cluster.change_policy(node, cluster.policy))


@given("callers' connections may be idle for {ms:d} ms")
def allow_idle(context, ms):
    set_idle_limit(context, ms)
    assert make_request(context, '/once/first').status == 200  # the limits take effect with the first request


@when(
    'a connection is used, the idle limit is set to {limit:d} ms, and it is used again before and after '
    '{idle:d} idle ms'
)
def use_idle_connection(context, limit, idle):
    cluster = context.cluster
    context.responses = []

    async def reuse(exchange, request_id):
        exchange.headers, exchange.complete = None, False
        exchange.writer.write(
            f'GET /once/x HTTP/1.1\r\nHost: h.example\r\nX-Request-Id: {request_id}\r\n\r\n'.encode()
        )
        await exchange.read_all()
        context.responses.append((request_id, exchange.status if exchange.complete else None))

    exchange = cluster.run(cluster.begin_request('/once/x', request_id='r1'))
    cluster.run(exchange.read_all())
    set_idle_limit(context, limit)
    cluster.run(reuse(exchange, 'r2'))
    cluster.run(asyncio.sleep(idle / 1000))
    cluster.run(reuse(exchange, 'r3'))


@then('each request was answered on this connection')
def answered_on_it(context):
    assert context.responses == [('r2', 200), ('r3', 200)], context.responses


@when('"{path}" waits for a new connection while {event}')
def connection_takes_long(context, path, event):
    cluster = context.cluster
    node, replica = cluster.nodes[0], cluster.replicas['a']

    async def script():
        waiting, proceed, responses = asyncio.Event(), asyncio.Event(), []
        connect, listener = httpclient.connect, node.gateway.listener
        handler = listener.handler

        async def recording_handler(call, response):
            responses.append(response)
            await handler(call, response)

        listener.handler = recording_handler

        async def slow_connect(*arguments):
            stream = await connect(*arguments)
            waiting.set()
            await proceed.wait()
            return stream

        httpclient.connect = slow_connect
        try:
            headers = cluster.turn_headers() if path.startswith('/turn/') else {}
            exchange = await cluster.begin_request(path, request_id='c1', **headers)
            await waiting.wait()
            if event == 'the lease ends':
                node.state = node.state._replace(lease=cluster.clock.now())
            elif event == 'the replica drains':
                row = {'address': replica.address, 'zone': 'z', 'slots': 8, 'ready': False, 'cold': False}
                await cluster.set_listing(node, a=row)
            else:
                exchange.close()
                await responses[0].disconnected
            proceed.set()
            context.response = await exchange.read_all()
            await wait_until(lambda: not listener.open_requests)
        finally:
            httpclient.connect = connect

    cluster.run(script())


@then('nothing has run, and the answer is "{answer}"')
def nothing_ran(context, answer):
    assert not context.cluster.runs, context.cluster.runs
    assert str(context.response.status or 'none') == answer, context.response.status
