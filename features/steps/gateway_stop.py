"""Steps that send requests to a routing node after it was told to stop."""

import asyncio

from behave import then, when
from gateway import runs_of_request
from standin import from_ms, send_on, wait_until

BUSY_ID, LATE_ID = 'busy', 'late'
IDLE_CONNECTIONS = 3


async def stop_while_busy(cluster, stop_ms):
    """Tell a node with an unanswered request to stop; return the request's exchange and the stop's task."""
    cluster.plan.append('hold')
    busy = await cluster.begin_request('/any/busy', request_id=BUSY_ID)
    await wait_until(lambda: runs_of_request(cluster, BUSY_ID))
    return busy, asyncio.ensure_future(cluster.nodes[0].drain(from_ms(stop_ms)))


async def keep_connection(cluster):
    """Return the exchange of a request that was answered, with its connection kept open."""
    exchange = await cluster.begin_request('/any/first')
    assert (await exchange.read_all()).status == 200, exchange.status
    return exchange


def request_headers(cluster, path, time_ms):
    headers = {'X-Request-Id': LATE_ID}
    if path.startswith(('/turn/', '/line/')):
        headers |= {name.replace('_', '-'): value for name, value in cluster.turn_headers().items()}
    if path.startswith('/keyed/'):
        headers['Idempotency-Key'] = 'k'
    if time_ms is not None:
        headers['X-Deadline-Ms'] = str(time_ms)
    return headers


def send_late(context, path, after, stop, time_ms=None):
    """Send a request on a kept connection so many ms after a busy node was told to stop."""
    cluster = context.cluster

    async def script():
        kept = await keep_connection(cluster)
        context.busy, context.stopped = await stop_while_busy(cluster, stop)
        await asyncio.sleep(after / 1000)
        headers = request_headers(cluster, path, time_ms)
        context.late = cluster.exchanges[LATE_ID] = send_on(kept, 'POST', path, headers, b'in')
        await context.late.read_all()

    cluster.run(script())


@when(
    '"{path}" is sent on a kept connection {after:d} ms after a busy node was told to stop within {stop:d} ms'
)
def send_late_request(context, path, after, stop):
    send_late(context, path, after, stop)


@when(
    '"{path}" with {time_ms:d} ms to run is sent on a kept connection {after:d} ms after a busy node was told to stop within {stop:d} ms'
)
def send_late_request_with_deadline(context, path, time_ms, after, stop):
    send_late(context, path, after, stop, time_ms)


@then('it is refused with status {status:d} and has not run')
def refused(context, status):
    late = context.late
    assert (late.status, late.complete) == (status, True), (late.status, late.complete, late.body)
    assert late.headers['Connection'] == 'close' and float(late.headers['Retry-After']) >= 0, late.headers
    assert not runs_of_request(context.cluster, LATE_ID)


@then('it is served, and its connection closed')
def served(context):
    late = context.late
    assert (late.status, late.complete) == (200, True), (late.status, late.complete, late.body)
    assert late.headers['Connection'] == 'close', late.headers


@then('the node answers its earlier request before it has stopped')
def busy_request_answered(context):
    cluster = context.cluster

    async def script():
        assert not context.stopped.done()
        cluster.proceed.release()
        assert (await context.busy.read_all()).status == 200, context.busy.status
        await context.stopped

    cluster.run(script())


@when('a busy node with idle connections was told to stop within {stop:d} ms, {after:d} ms ago')
def stop_with_idle_connections(context, stop, after):
    cluster = context.cluster

    async def script():
        context.kept = [await keep_connection(cluster) for _ in range(IDLE_CONNECTIONS)]
        context.busy, context.stopped = await stop_while_busy(cluster, stop)
        await asyncio.sleep(after / 1000)

    cluster.run(script())


@then('its idle connections are closed, and it takes no new ones')
def idle_connections_closed(context):
    cluster = context.cluster

    async def script():
        for exchange in context.kept:
            async with asyncio.timeout(1):
                assert await exchange.reader.read() == b'', 'an idle connection got bytes'
        try:
            await cluster.begin_request('/any/new')
        except ConnectionRefusedError:
            return
        raise AssertionError('a new connection was accepted')

    cluster.run(script())
