"""Steps about nodes that leave, and policies that change under way."""

import asyncio
from datetime import timedelta

from behave import then, when
from gateway import AT_ONCE, ran
from gateway_turns import not_kept, settled
from standin import EVENT_TOKENS, event, of_ms, send, until

from quillstall.dataplane.admission.messages import Arrive, News

# ---- leaving


@when('the node drains while a stream runs')
def drains(context):
    story = context.story

    async def script():
        ready = await (await send(story.address(1, 'ready'), 'GET', '/', {})).rest()
        assert ready.status == 200, ready.status
        story.plan.append('paced 2')
        context.talk = await story.begin('/turn/a', ident='t1', **story.heads())
        story.go.release()
        await context.talk.head()
        await context.talk.piece()
        context.drained = asyncio.ensure_future(story.nodes[0].drain(of_ms(8000)))
        await asyncio.sleep(0)
        context.ready = await (await send(story.address(1, 'ready'), 'GET', '/', {})).rest()

    story.run(script())


@then('it is not ready at once')
def unready(context):
    assert context.ready.status == 503, context.ready.status


@then('a new request is served, and its connection closed')
def still_served(context):
    got = context.story.run(context.story.ask('/once/x'))
    assert got.status == 200 and got.headers['Connection'] == 'close', (got.status, dict(got.headers))
    got = context.story.run(context.story.turn('t2', program='R'))
    assert (got.status, got.complete, got.headers['Connection']) == (200, True, 'close'), (
        got.status,
        dict(got.headers),
    )


@then('the stream ends whole, and then the node is drained')
def ends_whole(context):
    story = context.story

    async def script():
        assert not context.drained.done()
        story.go.release()
        got = await context.talk.rest()
        assert got.complete and got.body == event('t1', 1) + event('t1', 2), got.body
        await until(context.drained.done)

    story.run(script())


@when('the node stops within {ms:d} ms while "{path}" waits for a silent replica')
def stops(context, ms, path):
    story = context.story

    async def script():
        story.plan.append('silent')
        more = story.heads() if path.startswith('/turn/') else {}
        more |= {'Idempotency_Key': 'k'} if path.startswith('/keyed/') else {}
        talk = await story.begin(path, ident='s1', **more)
        await until(lambda: ran(story, 's1'))
        drained = asyncio.ensure_future(story.nodes[0].drain(of_ms(ms)))
        context.got = await talk.rest()
        context.stopped_before = drained.done()
        await drained

    story.run(script())


@when(
    '"{path}" comes {after:d} ms after a node with a silent request under way was told to stop within {ms:d} ms'
)
def comes_late(context, path, after, ms):
    story = context.story

    async def script():
        story.plan.extend(['silent', 'silent'])
        first = await story.begin('/once/y', ident='s1')
        await until(lambda: ran(story, 's1'))
        drained = asyncio.ensure_future(story.nodes[0].drain(of_ms(ms)))
        await asyncio.sleep(after / 1000)
        context.got = await story.ask(path, ident='s2')
        context.stopped_before = drained.done()
        assert (await first.rest()).status == 504
        await drained

    story.run(script())


@then('the request has a whole answer of status {status:d} before the node has stopped')
def answered_before_stop(context, status):
    got = context.got
    assert (got.status, got.complete) == (status, True), (got.status, got.complete)
    assert not context.stopped_before


def without_class(policy):
    """A policy with another class in the place of "c"."""
    other = {'d': policy['classes']['c']}
    routes = {name: {**route, 'class': 'd'} for name, route in policy['http_routes'].items()}
    return {**policy, 'classes': other, 'http_routes': routes}


@when('a policy without the class of its routes comes while its request waits at a replica')
def class_goes_meanwhile(context):
    story = context.story

    async def script():
        story.plan.extend(['hold', 'answer'])
        talk = await story.begin('/any/x', ident='c1')
        await until(lambda: ran(story, 'c1'))
        await story.change(story.nodes[0], without_class(story.policy))
        for stream in list(story.replicas[ran(story, 'c1')[0].replica].streams):
            stream.close()
        context.got = await talk.rest()

    story.run(script())


@when('a policy without the class of its routes comes as its request arrives')
def class_goes_at_once(context):
    story = context.story

    async def script():
        node = story.nodes[0]
        held = asyncio.Event()
        news = News(
            {
                'generation': 2,
                'epoch': 1,
                'policy': without_class(story.policy),
                'leaving': [],
                'live': 1,
                'allot': {},
            },
            story.clock.now() + timedelta(seconds=100),
        )
        arrive = node.post_event

        def tell(event):
            """The news stands in the queue before the task that was made under the older policy."""
            if type(event) is Arrive and not held.is_set():
                held.set()
                arrive(news)
            arrive(event)

        node.post_event = tell
        context.got = await story.ask('/any/x', ident='c1')

    story.run(script())


@when('a policy without the class of its routes comes while its key is claimed')
def class_goes_during_claim(context):
    story = context.story

    async def script():
        ask, node = story.stores.ask, story.nodes[0]

        async def ask_and_change(address, message, limit):
            ret = await ask(address, message, limit)
            if node.state.generation == 1:
                await story.change(node, without_class(story.policy))
            return ret

        story.stores.ask = ask_and_change
        context.got = await story.ask('/keyed/x', ident='c1', Idempotency_Key='k')

    story.run(script())


@then('the request has an answer, and the node serves the next one')
def serves_on(context):
    assert context.got.complete, (context.got.status, context.got.complete)
    assert context.got.status in (200, 502, 503), context.got.status
    got = context.story.run(context.story.ask('/any/y'))
    assert got.status == 200, got.status


@when('a caller leaves in the middle of a stream')
def leaves(context):
    story = context.story

    async def script():
        story.plan.append('paced 9')
        talk = await story.begin('/turn/a', ident='t1', **story.heads())
        story.go.release()
        await talk.head()
        await talk.piece()
        talk.close()

    story.run(script())


@when('a caller leaves before the first event')
def leaves_early(context):
    story = context.story

    async def script():
        story.plan.append('paced 9')
        talk = await story.begin('/turn/a', ident='t1', **story.heads())
        await until(lambda: story.runs)
        talk.close()

    story.run(script())


@then("the replica's stream is cut, and the turn is not kept")
def cut_there(context):
    story = context.story
    story.run(until(lambda: story.runs[0].cut, AT_ONCE))
    assert settled(story) == EVENT_TOKENS
    context.ident = 't1'
    not_kept(context)


@then('the replica has turned it away')
def turned(context):
    assert context.story.turned, 'it was not asked'
