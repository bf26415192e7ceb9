"""Steps about whose answer an answer is, and how often work that may not repeat is sent."""

import asyncio
import random
import socket
import struct
from datetime import timedelta
from types import SimpleNamespace

import keyed_model
from behave import given, then, when
from gateway import asked, ran
from gateway_keyed import keyed, runs_of
from standin import PARTS, event, until

from quillstall.controlplane import deduplication, store_table
from quillstall.dataplane.node import Node
from quillstall.network import httpclient
from quillstall.replication.rendezvous import part_of
from quillstall.runtime.clock import SystemClock
from quillstall.runtime.errors import Fault

LONG = 7_000_000  # bytes: more than the socket buffers take
REQUESTS = 6


@then('the caller has the answer of its own run')
def own_answer(context):
    (run,) = ran(context.story, context.ident)
    got = context.got
    assert got.body == f'{run.replica} ran {context.ident}'.encode(), got.body
    assert got.headers['X-Request-Id'] == context.ident, dict(got.headers)


@then('the caller has the whole answer of its own run')
def whole_answer(context):
    own_answer(context)
    assert context.got.headers['Content-Length'] == str(len(context.got.body)), dict(context.got.headers)


@then('the caller has the whole stream of its own run')
def whole_stream(context):
    got = context.got
    assert got.complete and got.body == b''.join(event(context.ident, n) for n in (1, 2, 3)), got.body


@then('the next request of the replica comes on another connection')
def another_connection(context):
    story = context.story
    story.plan.clear()
    before = story.connects
    assert asked(context, '/once/x').status == 200
    assert story.connects == before + 1, (before, story.connects)


@when('"{path}" is asked with a long body')
def ask_long(context, path):
    context.long_body = random.Random(7).randbytes(LONG)
    context.got = asked(context, path, body=context.long_body)
    context.long_ident = context.ident


@when('requests are asked before the replica has read on, and after it')
def ask_around(context):
    story = context.story
    first, context.all = context.got, []

    def ask_some():
        for _ in range(REQUESTS):
            got = asked(context, '/once/y')
            context.all.append((context.ident, got))

    ask_some()
    story.go.release()
    story.run(until(lambda: story.read_late))
    ask_some()
    context.got = first


@then('what the replica read on is the rest of the body or the end of the connection')
def read_on(context):
    ((ident, body),) = context.story.read_late
    assert ident == context.long_ident
    assert body in (None, context.long_body), f'{len(body)} bytes, not those that were sent'


# ---- connections that end


@when('the kept connections will be reset between the look at them and the write')
def reset_after_look(context):
    story, look = context.story, httpclient.quiet
    context.resets = 0

    def look_then_reset(stream):
        if not look(stream):
            return False
        near = stream.socket.getsockname()
        for replica in story.replicas.values():
            for other in list(replica.streams):
                if not other.closed() and other.socket.getpeername() == near:
                    other.socket.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack('ii', 1, 0))
                    other.close()
                    context.resets += 1
        return True

    httpclient.quiet = look_then_reset
    context.add_cleanup(setattr, httpclient, 'quiet', look)


@then('a connection was reset in time')
def was_reset(context):
    assert context.resets >= 1, context.resets


@then('the request was dropped once and ran nowhere')
def dropped_once(context):
    assert [r.ident for r in context.story.dropped] == [context.ident], context.story.dropped
    assert ran(context.story, context.ident) == []


@given('both replicas have kept connections')
def warmed(context):
    story = context.story
    story.plan.clear()

    async def script():
        for n in range(1, len(story.nodes) + 1):
            for _ in range(4):
                await asyncio.gather(*[story.ask('/once/warm', n) for _ in range(4)])

    story.run(script())
    assert {r.replica for r in story.runs} == set(story.replicas), 'not every replica was used'
    story.runs.clear()


@then('its repeats are 409 at first and 502 after half a minute, and it ran at most once')
def unknown_end(context):
    story = context.story
    assert [keyed(story, n, 'k1').status for n in (1, 2)] == [409, 409]
    story.stores.ahead = timedelta(seconds=31)
    assert [keyed(story, n, 'k1').status for n in (1, 2)] == [502, 502]
    assert len(runs_of(story, 'k1')) <= 1


# ---- keyed work


@when('every order of events of {count:d} tries with one key is played')
def play_all(context, count):
    context.states = keyed_model.explore(count)


@then('no promise was broken, over at least {least:d} states')
def no_break(context, least):
    assert context.states >= least, context.states


@then('the store knows that the repeats will not run')
def repeats_given_up(context):
    story = context.story
    record = 'h.example k1'
    part = part_of(record, len(PARTS))

    def row():
        return deduplication.unpack(story.stores.rows[part][f'once/{record}'])

    story.run(until(lambda: len(store_table.abandoned_attempts(row())) == 2))
    assert row()['state'] == 'begun' and row()['run'] not in store_table.abandoned_attempts(row()), row()


CAUSES = {
    'does not return in time': Fault('outcome_unknown', 'no store returned in time'),
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
        ctx=SimpleNamespace(clock=SystemClock()), shelf=shelf, settle=settle, spawn=asyncio.ensure_future
    )


@when('once-work is claimed there')
def claimed(context):
    async def script():
        try:
            await Node.claim(context.node, 'k', 'd', 'n1', context.node.ctx.clock.now(), {}, None)
        except Fault as e:
            await asyncio.sleep(0)
            return e
        return None

    context.fault = asyncio.run(script())


@then('its caller is told "{code}", and this try is given up in the store')
def told_unknown(context, code):
    assert context.fault.code == code and context.fault.ran == 'unknown', context.fault
    assert context.given_up == [('once_end', 'n1', True)], context.given_up
