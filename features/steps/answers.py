"""Steps about whose answer an answer is, and how often work that may not repeat is sent."""

from behave import then
from gateway import asked, ran
from standin import event


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
