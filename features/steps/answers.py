"""Steps about responses that must match their request, and requests that may be sent only once."""

import asyncio
import random
import socket
import struct
from datetime import timedelta
from types import SimpleNamespace

import keyed_model
from behave import given, then, when
from gateway import make_request, runs_of_request
from gateway_keyed import keyed_request, runs_of_key
from standin import PARTITIONS, sse_event, wait_until

from quillstall.controlplane import deduplication, store_table
from quillstall.dataplane.node import Node
from quillstall.network import httpclient
from quillstall.replication.rendezvous import partition_of
from quillstall.runtime.clock import SystemClock
from quillstall.runtime.errors import Fault

LONG_BODY_BYTES = 7_000_000  # more than the socket buffers hold
REQUESTS = 6


@then('the caller has the answer of its own run')
def own_answer(context):
    (run,) = runs_of_request(context.cluster, context.request_id)
    response = context.response
    assert response.body == f'{run.replica} ran {context.request_id}'.encode(), response.body
    assert response.headers['X-Request-Id'] == context.request_id, dict(response.headers)


@then('the caller has the complete answer of its own run')
def complete_answer(context):
    own_answer(context)
    assert context.response.headers['Content-Length'] == str(len(context.response.body)), dict(
        context.response.headers
    )


@then('the caller has the complete stream of its own run')
def complete_stream(context):
    response = context.response
    assert response.complete and response.body == b''.join(
        sse_event(context.request_id, n) for n in (1, 2, 3)
    ), response.body


@then('the next request reaches the replica on another connection')
def another_connection(context):
    cluster = context.cluster
    cluster.plan.clear()
    before = cluster.connections
    assert make_request(context, '/once/x').status == 200
    assert cluster.connections == before + 1, (before, cluster.connections)


@when('"{path}" is requested with a long body')
def request_with_long_body(context, path):
    context.long_body = random.Random(7).randbytes(LONG_BODY_BYTES)
    context.response = make_request(context, path, body=context.long_body)
    context.long_body_request_id = context.request_id


@when('requests are sent before and after the replica reads the rest of the body')
def requests_around_late_read(context):
    cluster = context.cluster
    first, context.responses = context.response, []

    def send_some():
        for _ in range(REQUESTS):
            response = make_request(context, '/once/y')
            context.responses.append((context.request_id, response))

    send_some()
    cluster.proceed.release()
    cluster.run(wait_until(lambda: cluster.late_bodies))
    send_some()
    context.response = first


@then('what the replica then reads is the rest of the body or the end of the connection')
def late_read(context):
    ((request_id, body),) = context.cluster.late_bodies
    assert request_id == context.long_body_request_id
    assert body in (None, context.long_body), f'{len(body)} bytes, not those that were sent'


# ---- connections that end


@when('the idle connections will be reset between the check and the write')
def reset_after_check(context):
    cluster, check = context.cluster, httpclient.is_reusable
    context.resets = 0

    def check_then_reset(stream):
        if not check(stream):
            return False
        local_address = stream.socket.getsockname()
        for replica in cluster.replicas.values():
            for replica_stream in list(replica.streams):
                if not replica_stream.closed() and replica_stream.socket.getpeername() == local_address:
                    replica_stream.socket.setsockopt(
                        socket.SOL_SOCKET, socket.SO_LINGER, struct.pack('ii', 1, 0)
                    )
                    replica_stream.close()
                    context.resets += 1
        return True

    httpclient.is_reusable = check_then_reset
    context.add_cleanup(setattr, httpclient, 'is_reusable', check)


@then('at least one connection was reset')
def was_reset(context):
    assert context.resets >= 1, context.resets


@then('the request was dropped once and ran nowhere')
def dropped_once(context):
    assert [r.request_id for r in context.cluster.dropped] == [context.request_id], context.cluster.dropped
    assert runs_of_request(context.cluster, context.request_id) == []


@given('idle connections to both replicas are open')
def open_connections(context):
    cluster = context.cluster
    cluster.plan.clear()

    async def script():
        for n in range(1, len(cluster.nodes) + 1):
            for _ in range(4):
                await asyncio.gather(*[cluster.request('/once/warm', n) for _ in range(4)])

    cluster.run(script())
    assert {r.replica for r in cluster.runs} == set(cluster.replicas), 'not every replica was used'
    cluster.runs.clear()


@then('its repeats are 409 at first and 502 after half a minute, and it ran at most once')
def unknown_outcome(context):
    cluster = context.cluster
    assert [keyed_request(cluster, n, 'k1').status for n in (1, 2)] == [409, 409]
    cluster.stores.clock_offset = timedelta(seconds=31)
    assert [keyed_request(cluster, n, 'k1').status for n in (1, 2)] == [502, 502]
    assert len(runs_of_key(cluster, 'k1')) <= 1


# ---- keyed operations


@when('every order of events of {count:d} attempts with one key is explored')
def explore_all(context, count):
    context.states = keyed_model.explore(count)


@then('no invariant was violated in at least {minimum:d} states')
def no_violation(context, minimum):
    assert context.states >= minimum, context.states


@then('the store has recorded that the repeats will not run')
def repeats_released(context):
    cluster = context.cluster
    record_key = 'h.example k1'
    partition = partition_of(record_key, len(PARTITIONS))

    def row():
        return deduplication.unpack(cluster.stores.rows[partition][f'once/{record_key}'])

    cluster.run(wait_until(lambda: len(store_table.abandoned_attempts(row())) == 2))
    assert row()['state'] == 'begun' and row()['run'] not in store_table.abandoned_attempts(row()), row()


CAUSES = {
    'does not reply in time': Fault('outcome_unknown', 'no store replied in time'),
    'says that its disk takes no writes': Fault('store_away', 'the disk takes no writes now'),
}


@given('a routing node whose store {cause}')
def store_cannot(context, cause):
    context.given_up = []

    async def shelf(key, command, until, code):
        raise CAUSES[cause]

    async def settle(key, command):
        context.given_up.append((command['op'], command['run'], command['void']))

    context.node = SimpleNamespace(
        ctx=SimpleNamespace(clock=SystemClock()),
        call_store=shelf,
        call_store_in_background=settle,
        spawn=asyncio.ensure_future,
    )


@when('a keyed operation is claimed there')
def claim_operation(context):
    async def script():
        try:
            await Node.claim(context.node, 'k', 'd', 'n1', context.node.ctx.clock.now(), {}, None)
        except Fault as e:
            await asyncio.sleep(0)
            return e
        return None

    context.fault = asyncio.run(script())


@then('its caller gets "{code}", and the store records that this attempt does not run')
def reported_unknown(context, code):
    assert context.fault.code == code and context.fault.ran == 'unknown', context.fault
    assert context.given_up == [('once_end', 'n1', True)], context.given_up
