"""Steps that ask real routing nodes on loopback, with stand-in replicas and stores around them."""

import asyncio
import socket
from datetime import timedelta

from behave import given, then, when
from standin import PARTS, Story, send, until

from quillstall.configuration.policy import check
from quillstall.network.net import split

AT_ONCE = 2  # seconds: well before the deadline of any request here


@given('{count:d} nodes and the replicas "{names}"')
@given('{count:d} node and the replicas "{names}"')
def built(context, count, names):
    context.story = Story(count, names.split())
    context.add_cleanup(context.story.close)


@given('the replicas will in turn "{acts}"')
def planned(context, acts):
    context.story.plan.clear()
    context.story.plan.extend(a.strip() for a in acts.split(','))


@given('a node without a lease')
def unleased(context):
    context.story.run(context.story.start(1, lease=timedelta(seconds=-1)))


@given('every part is away')
def away(context):
    context.story.stores.away.update(PARTS)


@given('every part is back')
def back(context):
    context.story.stores.away.clear()


@given('the returns of "{ops}" are lost once')
def lost_returns(context, ops):
    context.story.stores.lose.extend(o.strip() for o in ops.split(','))


@given('every part has moved')
def moved(context):
    context.story.stores.seats = {part: [2, 1, 's1', 's0'] for part in PARTS}


@given('the replica "{name}" is {how}')
def listed(context, name, how):
    story = context.story
    old = {'address': story.replicas[name].address, 'zone': 'z', 'slots': 8, 'ready': False, 'cold': False}
    for node in story.nodes:
        story.run(story.list(node, **{name: old if how == 'draining' else None}))


@given('the replica "{name}" does not listen')
def deaf(context, name):
    replica = context.story.replicas[name]

    async def script():
        replica.stop()
        for stream in list(replica.streams):
            stream.close()

    context.story.run(script())
    place = socket.socket()  # so that nobody else comes to listen there meanwhile
    place.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    place.bind(split(replica.address))
    context.add_cleanup(place.close)


@given('another life has taken the address of "{name}"')
def reused(context, name):
    context.story.replicas[name].life = 'another'


# ---- asking


def ran(story, ident):
    return [r for r in story.runs if r.ident == ident]


def asked(context, path, n=1, **more):
    """One request, with what a turn needs where the route is one of turns."""
    story = context.story
    context.ident = more.pop('ident', None) or story.ident()
    if path.startswith('/keyed/'):
        more.setdefault('Idempotency_Key', f'k-{context.ident}')
    if path.startswith('/turn/'):
        more = {**story.heads(), **more}
    return story.run(story.ask(path, n, ident=context.ident, **more))


@when('"{path}" is asked')
def ask_path(context, path):
    context.got = asked(context, path)


@when('"{path}" is asked at node {n:d}')
def ask_node(context, path, n):
    context.got = asked(context, path, n)


@when('"{path}" is asked with {ms:d} ms')
def ask_span(context, path, ms):
    context.got = asked(context, path, X_Deadline_Ms=ms)


@when('"{path}" is asked after event {n:d}')
def ask_after(context, path, n):
    context.got = asked(context, path, Last_Event_Id=n)


@when('the only replica takes longer than usual for "{path}", and then answers')
def slow_only(context, path):
    story = context.story
    context.ident = 'slow'

    async def script():
        story.plan.append('hold')
        talk = await story.begin(path, ident='slow')
        work = asyncio.ensure_future(talk.head())
        await asyncio.wait((work,), timeout=AT_ONCE / 2)  # an answer by now could only be one of ours
        story.go.release()
        await work
        context.got = await talk.rest()

    story.run(script())


@when('"{path}" is asked {count:d} times')
def ask_often(context, path, count):
    context.all = []
    for _ in range(count):
        got = asked(context, path)
        context.all.append((context.ident, got))


@when('the turn "{ident}" is taken')
def take_turn(context, ident):
    context.ident = ident
    context.got = context.story.run(context.story.turn(ident))


@when('the turn "{ident}" is taken with a budget of {budget:d}')
def take_budget(context, ident, budget):
    context.ident, context.budget = ident, budget
    context.got = context.story.run(context.story.turn(ident, budget=budget))


@then('the answer is {status:d}')
def status_is(context, status):
    got = context.got
    assert (got.status, got.complete) == (status, True), (got.status, got.complete, got.body)


@then('the answer is {status:d} with a time to come back')
def status_retry(context, status):
    status_is(context, status)
    assert float(context.got.headers['Retry-After']) > 0, dict(context.got.headers)


@then('the answer is {status:d} and cut short')
def status_cut(context, status):
    got = context.got
    assert (got.status, got.complete) == (status, False), (got.status, got.complete, got.body)


@then('nothing ran')
def nothing_ran(context):
    assert context.story.runs == [], context.story.runs


@then('it ran {count:d} times')
def ran_times(context, count):
    runs = ran(context.story, context.ident)
    assert len(runs) == count, [(r.replica, r.path) for r in runs]


# ---- as it came


@when('a request with a query, odd bytes and headers of its own is passed on')
def odd_request(context):
    story = context.story
    heads = {
        'X-Request-Id': 'odd',
        'X-Own': 'a, b',
        'Cookie': 'c=d',
        'X-Hop': '1',
        'Connection': 'X-Hop',
        'Te': 'x',
        'Accept-Encoding': 'identity',
        'X-Deadline-Ms': 4000,
    }
    context.sent = bytes(range(256)) * 300

    async def script():
        talk = await send(story.address(1), 'PUT', '/once/%41/..//b?q=1&q=%2f', heads, context.sent)
        context.got = await talk.rest()

    story.run(script())


@then('the replica ran it as it came, and its answer came back as it was')
def as_came(context):
    (run,) = context.story.runs
    assert (run.method, run.path, run.body) == ('PUT', '/once/%41/..//b?q=1&q=%2f', context.sent), run
    assert [run.headers[n] for n in ('X-Request-Id', 'X-Own', 'Cookie', 'Accept-Encoding', 'Host')] == [
        'odd',
        'a, b',
        'c=d',
        'identity',
        'h.example',
    ], dict(run.headers)
    assert run.headers['X-Replica'] == 'a' and 0 < int(run.headers['X-Deadline-Ms']) <= 4000, dict(
        run.headers
    )
    got = context.got
    assert (got.status, got.body, got.complete) == (200, b'a ran odd', True), got.body
    assert got.headers['X-Sign'] == 'a-odd' and got.headers['Content-Type'] == 'text/x-said', dict(
        got.headers
    )
    assert got.headers['X-Request-Id'] == 'odd', dict(got.headers)


@then('what concerns one connection only was not passed on')
def no_hop(context):
    (run,) = context.story.runs
    assert not {'x-hop', 'te', 'connection'} & {n.lower() for n in run.headers}, dict(run.headers)


@when('a caller sends requests of all these kinds on one connection')
def one_connection(context):
    story = context.story

    def text(ident, body=b'', chunks=False, method='POST'):
        head = f'{method} /once/x HTTP/1.1\r\nHost: h.example\r\nX-Request-Id: {ident}\r\n'.encode()
        if chunks:
            return (
                head
                + b'Transfer-Encoding: chunked\r\n\r\n'
                + b''.join(b'%x\r\n%s\r\n' % (len(c), c) for c in (body[:5], body[5:]))
                + b'0\r\n\r\n'
            )
        return head + (b'Content-Length: %d\r\n\r\n' % len(body) if method == 'POST' else b'\r\n') + body

    async def script():
        talk = await story.begin('/once/x', ident='c0')
        await talk.rest()
        context.all = [('c0', talk.status, talk.body)]
        for idents, data in (
            (['c1'], text('c1', b'chunked body', True)),
            (['c2'], text('c2', method='GET')),
            (
                ['c3', 'c4', 'c5'],
                text('c3', b'one') + text('c4', b'chunked too', True) + text('c5', b'GET /once/x'),
            ),
        ):
            talk.writer.write(data)
            for ident in idents:
                talk.headers, talk.complete = None, False
                await talk.rest()
                context.all.append((ident, talk.status, talk.body))
        talk.close()

    story.run(script())


@then('each is answered in its turn, and the replicas ran just these')
def in_turn(context):
    runs = context.story.runs
    assert context.all == [(r.ident, 200, f'{r.replica} ran {r.ident}'.encode()) for r in runs], context.all
    assert [(r.ident, r.method, r.body) for r in runs] == [
        ('c0', 'POST', b'in'),
        ('c1', 'POST', b'chunked body'),
        ('c2', 'GET', b''),
        ('c3', 'POST', b'one'),
        ('c4', 'POST', b'chunked too'),
        ('c5', 'POST', b'GET /once/x'),
    ], [(r.ident, r.method, r.body) for r in runs]


def split_by(context, weights, **more):
    story = context.story
    policy = {
        **story.policy,
        'pools': {
            n: {'kind': 'application', 'replicas': {n: {'address': r.address, 'slots': 8}}}
            for n, r in story.replicas.items()
        },
    }
    policy['http_routes'] = {n: {**r, 'pools': weights, **more} for n, r in policy['http_routes'].items()}
    assert check(policy) == [], check(policy)
    for node in story.nodes:
        story.run(story.change(node, policy))


@given('the routes go to "a" and "b" by the weights {one:d} and {two:d}')
def by_weights(context, one, two):
    split_by(context, {'a': one, 'b': two})


@given('the routes go to "a" and "b" by the weights {one:d} and {two:d} without affinity')
def by_weights_alone(context, one, two):
    split_by(context, {'a': one, 'b': two}, affinity=False)


@when('{count:d} sessions ask {times:d} times each')
def few_sessions_ask(context, count, times):
    story = context.story

    async def script():
        for n in range(count * times):
            got = await story.ask('/once/x', n=n % 2 + 1, X_Session_Id=f's{n % count}')
            assert got.status == 200, (got.status, got.body)

    story.run(script())


@then('the share of "{name}" lies within {most:g} of {share:g}')
def share_of_replica(context, name, most, share):
    runs = context.story.runs
    got = sum(1 for run in runs if run.replica == name) / len(runs)
    assert abs(got - share) <= most, got


@when('{count:d} sessions ask twice each')
def sessions_ask(context, count):
    story = context.story

    async def script():
        for n in range(count * 2):
            got = await story.ask('/once/x', X_Session_Id=f's{n % count}')
            assert got.status == 200, (got.status, got.body)

    story.run(script())


@then('each session kept to one replica, and about a quarter went to "b"')
def sides(context):
    where = {}
    for run in context.story.runs:
        where.setdefault(run.headers['X-Session-Id'], set()).add(run.replica)
    assert len(where) == 200 and all(len(names) == 1 for names in where.values())
    share = sum(1 for names in where.values() if names == {'b'}) / len(where)
    assert 0.15 < share < 0.35, share


@then('with a weight of 0 none goes to "b"')
def weightless(context):
    split_by(context, {'a': 1, 'b': 0})
    context.story.runs.clear()
    sessions_ask(context, 40)
    assert {r.replica for r in context.story.runs} == {'a'}


@when('a policy without the route comes while a request runs')
def policy_midway(context):
    story = context.story
    policy = {
        **story.policy,
        'http_routes': {n: r for n, r in story.policy['http_routes'].items() if n != 'once'},
    }

    async def script():
        story.plan.append('hold')
        talk = await story.begin('/once/x', ident='before')
        await until(lambda: story.runs)
        await story.change(story.nodes[0], policy)
        context.next = await story.ask('/once/x')
        story.go.release()
        context.got = await talk.rest()

    story.run(script())


@then('that request is answered, and the next is 404')
def before_and_next(context):
    assert (context.got.status, context.next.status) == (200, 404), (context.got.status, context.next.status)
    assert len(context.story.runs) == 1


INNER = b'POST /once/inner HTTP/1.1\r\nHost: h.example\r\nX-Request-Id: inner\r\nContent-Length: 0\r\n\r\n'
DOUBT = {
    'a length and chunks': b'Content-Length: 5\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n' + INNER,
    'two lengths': b'Content-Length: 5\r\nContent-Length: 0\r\n\r\n' + INNER,
    'a signed length': b'Content-Length: +0\r\n\r\n' + INNER,
    'chunked twice': b'Transfer-Encoding: chunked\r\nTransfer-Encoding: x\r\n\r\n0\r\n\r\n' + INNER,
    'a space before a colon': b'Content-Length : %d\r\n\r\n' % len(INNER) + INNER,
}


@when('a request is sent whose end is in doubt: {kind}')
def in_doubt(context, kind):
    story = context.story

    async def script():
        host, _, port = story.address(1).partition(':')
        reader, writer = await asyncio.open_connection(host, int(port))
        writer.write(b'POST /once/outer HTTP/1.1\r\nHost: h.example\r\nX-Request-Id: outer\r\n' + DOUBT[kind])
        writer.write_eof()
        async with asyncio.timeout(8):
            context.raw = await reader.read()
        writer.close()
        await story.ask('/any/after')  # whatever was to come of it has come by then

    story.run(script())


@then('it is refused or run as one request, and nothing else ran')
def not_smuggled(context):
    assert [r.ident for r in context.story.runs if r.ident == 'inner'] == [], context.raw
    assert b' 200 ' not in context.raw.partition(b'\r\n')[0], context.raw


@when('a request by {method} is asked')
def ask_method(context, method):
    story = context.story

    async def script():
        talk = await send(story.address(1), method, '/once/x', {'X-Request-Id': 'm1'}, b'')
        await talk.head()
        context.got = talk
        if 'Content-Length' in talk.headers and talk.status not in (204, 304):
            await talk.rest()
        else:
            talk.complete = True
        context.first = talk.status, dict(talk.headers), talk.body
        talk.writer.write(b'GET /once/x HTTP/1.1\r\nHost: h.example\r\nX-Request-Id: m2\r\n\r\n')
        talk.headers, talk.complete = None, False
        await talk.rest()
        context.second = talk.status, talk.body

    story.run(script())


@then('the answer is {status:d} without what is not its own')
def own_only(context, status):
    got, heads, body = context.first
    assert got == status and heads.get('X-Sign') != 'early', context.first
    assert body == (b'a ran m1' if status == 200 else b''), context.first


@then('the next request on the same connection gets its own answer')
def next_own(context):
    assert context.second == (200, b'a ran m2'), context.second
