"""Steps about a gateway's bounds: callers that leave, attempts, time, connections that rest."""

import asyncio

from behave import given, then, when
from gateway import AT_ONCE, asked, ran
from standin import until

from quillstall.network import httpclient

CUT_WITHIN = 0.5  # seconds after its caller has left
SLOTS = 8  # of each replica
SLACK_MS = 60  # a busy machine's time between a caller's clock and ours


def change(context, **fields):
    """Every route of every node gets other values."""
    story = context.story
    routes = {name: {**route, **fields} for name, route in story.policy['http_routes'].items()}
    story.policy = {**story.policy, 'http_routes': routes}
    for node in story.nodes:
        story.run(story.change(node, story.policy))


def heads_of(story, path):
    return story.heads() if path.startswith('/turn/') else {}


@given('every route allows {most:d} attempt')
@given('every route allows {most:d} attempts')
def allow_attempts(context, most):
    change(context, attempts=most)


@given('every route allows {ms:d} ms')
def allow_time(context, ms):
    context.route_ms = ms
    change(context, timeout_ms=ms)


# ---- callers that leave


@when('the caller of "{path}" leaves while its replica is at work')
def leaves_at_work(context, path):
    story = context.story

    async def script():
        talk = await story.begin(path, ident='left', **heads_of(story, path))
        await until(lambda: story.runs)
        talk.close()
        context.left_at = story.loop.time()

    story.run(script())


@then("the replica's work is cut within half a second")
def cut_soon(context):
    story = context.story
    story.run(until(lambda: story.runs[0].cut, AT_ONCE))
    assert story.loop.time() - context.left_at < CUT_WITHIN


@then('nothing of it reaches another replica')
def reaches_none(context):
    story = context.story
    story.run(asyncio.sleep(CUT_WITHIN))
    assert len(ran(story, 'left')) == 1, [(r.replica, r.path) for r in story.runs]


@given('every slot of the replicas is taken')
def all_taken(context):
    story = context.story
    count = SLOTS * len(story.replicas)

    async def script():
        story.plan.extend(['hold'] * count)
        context.held = [await story.begin('/once/held') for _ in range(count)]
        await until(lambda: len(story.runs) == count)

    story.run(script())


@when('the caller of "{path}" leaves while it waits, and the slots become free')
def leaves_waiting(context, path):
    story = context.story
    node = story.nodes[0]

    async def script():
        talk = await story.begin(path, ident='left', **heads_of(story, path))
        await until(lambda: node.pending_decisions)
        talk.close()
        await until(lambda: not node.pending_decisions)
        for _ in context.held:
            story.go.release()
        for held in context.held:
            assert (await held.rest()).status == 200

    story.run(script())


@when('the caller of "{path}" leaves while it waits, and the stores are back')
def leaves_asking(context, path):
    story = context.story

    async def script():
        talk = await story.begin(path, ident='left', **heads_of(story, path))
        await until(lambda: story.nodes[0].gateway.listener.busy)
        talk.close()
        await asyncio.sleep(0.1)
        story.stores.away.clear()
        await until(lambda: not story.nodes[0].gateway.listener.busy)

    story.run(script())


@then('nothing of it has run')
def none_ran(context):
    assert asked(context, '/once/after').status == 200
    assert not ran(context.story, 'left')


# ---- time


@then('each replica was handed at most what was left of {ms:d} ms')
def handed(context, ms):
    story = context.story
    runs = ran(story, context.ident) + [r for r in story.turned if r.ident == context.ident]
    assert runs
    first = min(r.at for r in runs)
    for run in runs:
        gone_ms = (run.at - first) * 1000
        assert int(run.headers['X-Deadline-Ms']) + gone_ms <= ms + SLACK_MS, (dict(run.headers), gone_ms)


@when('"{path}" is asked with {ms:d} ms and timed')
def ask_timed(context, path, ms):
    start = context.story.loop.time()
    context.got = asked(context, path, X_Deadline_Ms=ms)
    context.took_ms = (context.story.loop.time() - start) * 1000


@then("its final answer came between 0 and {slack:d} ms after the route's {ms:d} ms")
def final_in_time(context, slack, ms):
    assert ms - SLACK_MS <= context.took_ms <= ms + slack, context.took_ms
    assert context.got.status == 504 or not context.got.complete, context.got.status


@when('the store goes away when a turn ends shortly before its time')
def away_late(context):
    story = context.story

    async def script():
        story.plan.append('paced 2')
        start = story.loop.time()
        talk = await story.begin('/turn/a', ident='t1', **story.heads())
        story.go.release()
        await talk.head()
        await talk.piece()
        story.stores.away.update(story.stores.rows)
        await asyncio.sleep(start + context.route_ms / 1000 * 0.85 - story.loop.time())
        story.go.release()
        context.got = await talk.rest()
        context.took_ms = (story.loop.time() - start) * 1000

    story.run(script())


@then("its end came at most {slack:d} ms after the route's {ms:d} ms")
def end_in_time(context, slack, ms):
    assert not context.got.complete and context.got.body.count(b'\n\n') == 2, context.got.body
    assert context.took_ms <= ms + slack, context.took_ms


# ---- failures


@then('it bears no signature')
def unsigned(context):
    assert 'X-Sign' not in context.got.headers, dict(context.got.headers)


# ---- connections that rest


def rest_for(context, ms):
    story = context.story
    story.policy = {**story.policy, 'limits': {'idle_ms': ms}}
    for node in story.nodes:
        story.run(story.change(node, story.policy))


@given('callers may rest {ms:d} ms')
def may_rest(context, ms):
    rest_for(context, ms)
    assert asked(context, '/once/first').status == 200  # the limits are in force from the first request on


@when(
    'a connection is used, callers may then rest {idle:d} ms, and it is used again before and after '
    'resting {rest:d} ms'
)
def use_rested(context, idle, rest):
    story = context.story
    context.all = []

    async def again(talk, ident):
        talk.headers, talk.complete = None, False
        talk.writer.write(
            f'GET /once/x HTTP/1.1\r\nHost: h.example\r\nX-Request-Id: {ident}\r\n\r\n'.encode()
        )
        await talk.rest()
        context.all.append((ident, talk.status if talk.complete else None))

    talk = story.run(story.begin('/once/x', ident='r1'))
    story.run(talk.rest())
    rest_for(context, idle)
    story.run(again(talk, 'r2'))
    story.run(asyncio.sleep(rest / 1000))
    story.run(again(talk, 'r3'))


@then('each of its requests was answered on it')
def answered_on_it(context):
    assert context.all == [('r2', 200), ('r3', 200)], context.all


@when('"{path}" waits for a new connection while {event}')
def connection_takes_long(context, path, event):
    story = context.story
    node, replica = story.nodes[0], story.replicas['a']

    async def script():
        waiting, go, outs = asyncio.Event(), asyncio.Event(), []
        connect, listener = httpclient.connect, node.gateway.listener
        handler = listener.handler

        async def remembered(call, out):
            outs.append(out)
            await handler(call, out)

        listener.handler = remembered

        async def slow_connect(*arguments):
            stream = await connect(*arguments)
            waiting.set()
            await go.wait()
            return stream

        httpclient.connect = slow_connect
        try:
            heads = story.heads() if path.startswith('/turn/') else {}
            talk = await story.begin(path, ident='c1', **heads)
            await waiting.wait()
            if event == 'the lease ends':
                node.state = node.state._replace(lease=story.clock.now())
            elif event == 'the replica drains':
                row = {'address': replica.address, 'zone': 'z', 'slots': 8, 'ready': False, 'cold': False}
                await story.list(node, a=row)
            else:
                talk.close()
                await outs[0].gone
            go.set()
            context.got = await talk.rest()
            await until(lambda: not listener.busy)
        finally:
            httpclient.connect = connect

    story.run(script())


@then('nothing has run, and the answer is "{answer}"')
def nothing_ran(context, answer):
    assert not context.story.runs, context.story.runs
    assert str(context.got.status or 'none') == answer, context.got.status
