"""Steps about whose answer an answer is, and how often work that may not repeat is sent."""

import random

from behave import then, when
from gateway import asked, ran
from standin import event, until

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
