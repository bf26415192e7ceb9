"""Steps that ask real routing nodes on loopback, with stand-in replicas and stores around them."""

import asyncio
import socket
from datetime import timedelta

from behave import given, then, when
from standin import EVENT_TOKENS, PARTS, Story, event, of_ms, said, send, until

from quillstall.configuration.policy import check
from quillstall.dataplane.admission.messages import Arrive, News
from quillstall.network.net import split
from quillstall.replication.rendezvous import part_of

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


# ---- turns


@when('a turn of 3 events is taken, each sent only once the one before has come')
def paced_turn(context):
    story = context.story

    async def script():
        story.plan.append('paced 3')
        talk = await story.begin('/turn/a', ident='t1', body=b'[t1]', **story.heads())
        story.go.release()
        await talk.head()
        for n in (1, 2, 3):
            assert await talk.piece() == event('t1', n)
            assert story.runs[0].sent == n, 'the replica is ahead of the caller'
            story.go.release()
        context.got = await talk.rest()

    story.run(script())


@then('it is whole, and its events are those of the replica')
def whole_turn(context):
    got = context.got
    assert got.complete and got.body == b''.join(event('t1', n) for n in (1, 2, 3)), got.body
    assert got.headers['X-Sign'] == f'{context.story.runs[0].replica}-t1', dict(got.headers)


def continued(story, ident, previous, body, n, program='P'):
    """Take a turn after another and compare what its replica got."""
    got = story.run(story.turn(ident, previous, program, n))
    assert (got.status, got.complete) == (200, True), (got.status, got.body)
    (run,) = ran(story, ident)
    assert run.body == body, (run.body, body)


FIRST = b'[t1]' + said('t1', 3)


@then("the next turn's body is all that was said and its own input, at the node that took the first")
def next_turn(context):
    continued(context.story, 't2', 't1', FIRST + b'[t2]', 1)


@then('so it is at a node that has seen none of it')
def next_elsewhere(context):
    continued(context.story, 't3', 't2', FIRST + b'[t2]' + said('t2', 3) + b'[t3]', 2)
    continued(context.story, 't3b', 't1', FIRST + b'[t3b]', 2)


@then('so it is when another program goes on from there, and again from that')
def next_program(context):
    story = context.story
    home = part_of('P', len(PARTS))
    near = next(f'Q{n}' for n in range(99) if part_of(f'Q{n}', len(PARTS)) == home)
    far = next(f'Q{n}' for n in range(99) if part_of(f'Q{n}', len(PARTS)) != home)
    long = FIRST + b'[t2]' + said('t2', 3)
    for tag, program in (('n', near), ('f', far)):
        continued(story, f'{tag}1', 't2', long + f'[{tag}1]'.encode(), 1, program)
        more = long + f'[{tag}1]'.encode() + said(f'{tag}1', 3)
        story.run(story.start(len(story.nodes)))  # a node that knows nothing
        continued(story, f'{tag}2', f'{tag}1', more + f'[{tag}2]'.encode(), len(story.nodes), program)
        continued(story, f'{tag}3', 't2', long + f'[{tag}3]'.encode(), len(story.nodes), program)
        continued(
            story,
            f'{tag}4',
            f'{tag}3',
            long + f'[{tag}3]'.encode() + said(f'{tag}3', 3) + f'[{tag}4]'.encode(),
            2,
            program,
        )


@then('a turn that continues it is answered 404')
def not_kept(context):
    story = context.story
    got = story.run(story.turn('after', context.ident))
    assert got.status == 404 and not ran(story, 'after'), (got.status, got.body)


@then('the answer is 200 and whole, with the head of the first replica')
def one_head(context):
    got = context.got
    assert (got.status, got.complete) == (200, True), (got.status, got.body)
    first = next(r for r in ran(context.story, context.ident) if r.headed)
    assert got.headers.get_list('X-Sign') == [f'{first.replica}-{context.ident}'], dict(got.headers)


@then('its events are {first:d} to {last:d}, each once')
def events_are(context, first, last):
    want = b''.join(event(context.ident, n) for n in range(first, last + 1))
    assert context.got.body == want, context.got.body


@then('its events are the first of those of the replica, and only they have been charged')
def first_events(context):
    count = context.got.body.count(b'\n\n')
    assert context.got.body == b''.join(event(context.ident, n) for n in range(1, count + 1)), (
        context.got.body
    )
    assert settled(context.story) == count * EVENT_TOKENS


@then('it ran {count:d} times, each from where the one before broke off')
def resumed(context, count):
    runs = ran(context.story, context.ident)
    assert len(runs) == count, [(r.replica, r.sent) for r in runs]
    done = 0
    for run in runs:
        assert int(run.headers.get('Last-Event-Id') or 0) == done, (dict(run.headers), done)
        done += run.sent
    assert len({r.replica for r in runs}) == count, [r.replica for r in runs]


# ---- keyed


def keyed(story, n, key, ident=None):
    return story.run(story.ask('/keyed/x', n, ident=ident, Idempotency_Key=key))


def facts(got):
    return got.status, got.body, got.headers.get('Content-Type'), got.headers.get('X-Sign')


def runs_of(story, key):
    return [r for r in story.runs if r.headers.get('Idempotency-Key') == key]


@when('a keyed request is asked at node 1 and again at node 2 and at node 1')
def keyed_thrice(context):
    context.key = 'k1'
    context.all = [keyed(context.story, n, 'k1') for n in (1, 2, 1)]


@then('all three have one status, body, type and signature, and it ran once')
def one_answer(context):
    first = facts(context.all[0])
    assert first[0] == 200 and first[2] == 'text/x-said' and first[3], first
    assert [facts(g) for g in context.all] == [first] * 3, [facts(g) for g in context.all]
    assert len(runs_of(context.story, context.key)) == 1


@then("the same for a replica's 500")
def one_500(context):
    context.story.plan.append('status 500')
    got = [facts(keyed(context.story, n, 'k500')) for n in (1, 2, 1)]
    assert got[0][0] == 500 and got == [got[0]] * 3, got
    assert len(runs_of(context.story, 'k500')) == 1


@when('a keyed request is held at its replica and repeated at both nodes')
def keyed_held(context):
    story = context.story

    async def script():
        story.plan.append('hold')
        context.talk = await story.begin('/keyed/x', Idempotency_Key='k1')
        await until(lambda: story.runs)
        context.all = [await story.ask('/keyed/x', n, Idempotency_Key='k1') for n in (1, 2)]
        context.other = await story.ask('/keyed/x', 2, Idempotency_Key='k2')

    story.run(script())


@then('the repeats are 409 and another key is 200')
def repeats_409(context):
    assert [g.status for g in context.all] == [409, 409] and context.other.status == 200
    assert len(runs_of(context.story, 'k1')) == 1


@then('the first is answered, and later repeats get that answer')
def first_answered(context):
    story = context.story
    story.go.release()
    first = story.run(context.talk.rest())
    assert first.status == 200, first.status
    assert [facts(keyed(story, n, 'k1')) for n in (2, 1)] == [facts(first)] * 2
    assert len(runs_of(story, 'k1')) == 1


@when('{count:d} tries with one key are sent at once to both nodes')
def keyed_at_once(context, count):
    story = context.story

    async def script():
        return await asyncio.gather(
            *[story.ask('/keyed/x', 1 + n % 2, Idempotency_Key='k1') for n in range(count)]
        )

    context.all = story.run(script())


@then('one ran, and each is answered with that run or 409')
def one_of_many(context):
    assert len(runs_of(context.story, 'k1')) == 1
    answers = [facts(g) for g in context.all if g.status != 409]
    assert answers and answers == [answers[0]] * len(answers) and answers[0][0] == 200, answers


@when('the caller of a keyed request leaves while it runs')
def keyed_leaves(context):
    story = context.story

    async def script():
        story.plan.append('hold')
        talk = await story.begin('/keyed/x', Idempotency_Key='k1')
        await until(lambda: story.runs)
        talk.close()
        assert (await story.ask('/keyed/x', 2, Idempotency_Key='k1')).status == 409
        story.go.release()
        async with asyncio.timeout(8):
            while (got := await story.ask('/keyed/x', 2, Idempotency_Key='k1')).status == 409:
                pass
        context.got = got

    story.run(script())


@then('its repeat gets the answer of that run')
def answer_of_run(context):
    (run,) = runs_of(context.story, 'k1')
    assert (context.got.status, context.got.body) == (200, f'{run.replica} ran {run.ident}'.encode()), (
        context.got.body
    )


@when('a keyed request is refused')
def keyed_refused(context):
    context.got = context.story.run(
        context.story.ask('/keyed/x', 1, Idempotency_Key='k1', X_Deadline_Ms=1000)
    )
    assert context.got.status == 503, (context.got.status, context.got.body)


@then('its next try at the other node runs, and runs once')
def next_runs(context):
    story = context.story
    story.plan.clear()

    async def script():
        async with asyncio.timeout(8):
            while (got := await story.ask('/keyed/x', 2, Idempotency_Key='k1')).status == 409:
                pass  # the word that it did not run is still under way
            return got, await story.ask('/keyed/x', 1, Idempotency_Key='k1')

    got, again = story.run(script())
    assert got.status == 200 and facts(got) == facts(again), (facts(got), facts(again))
    assert len(runs_of(story, 'k1')) == 1


@when('a keyed request is lost')
def keyed_lost(context):
    got = keyed(context.story, 1, 'k1')
    assert got.status == 502, got.status


@then('its repeats are 409 at first and 502 after half a minute, and it ran once')
def unknown_end(context):
    story = context.story
    assert [keyed(story, n, 'k1').status for n in (1, 2)] == [409, 409]
    story.stores.ahead = timedelta(seconds=31)
    assert [keyed(story, n, 'k1').status for n in (1, 2)] == [502, 502]
    assert len(runs_of(story, 'k1')) == 1


# ---- surplus


@then('each got its own answer')
def own_answers(context):
    for ident, got in context.all:
        (run,) = ran(context.story, ident)
        assert (got.status, got.body) == (200, f'{run.replica} ran {ident}'.encode()), (
            ident,
            got.status,
            got.body,
        )
        assert got.headers['X-Request-Id'] == ident and got.complete, dict(got.headers)


@then('each got its own stream')
def own_streams(context):
    for ident, got in context.all:
        (run,) = ran(context.story, ident)
        assert got.complete and got.body == b''.join(event(ident, n) for n in (1, 2, 3)), (
            ident,
            got.status,
            got.body,
        )
        assert got.headers['X-Request-Id'] == ident, dict(got.headers)


@then('the answer is no success')
def no_success(context):
    assert context.got.status in (502, 504) and context.got.complete, (context.got.status, context.got.body)


@then('the caller gets no whole answer')
def no_whole(context):
    assert context.got.status != 200 or not context.got.complete, (context.got.status, context.got.body)
    assert context.got.status not in (408, 421, 429, 503), context.got.status


@then("the replica's stream is cut")
def stream_cut(context):
    story = context.story
    story.run(until(lambda: story.runs and story.runs[0].cut, AT_ONCE))


@then('all ran at "{name}"')
def all_at(context, name):
    assert {r.replica for r in context.story.runs} == {name}


# ---- budgets


def settled(story, program='P'):
    """Wait until no turn of a program is open; what it has spent."""
    rows = story.stores.rows
    key, part = f'prog/{program}', part_of(program, len(PARTS))
    story.run(until(lambda: key in rows[part] and not rows[part][key]['holds']))
    return rows[part][key]['spent']


@when('turns of 30 tokens are taken at both nodes until the budget of 60 is spent')
def spend(context):
    story = context.story
    context.budget = 60
    got = [story.run(story.turn(f't{n}', n=n, budget=60)) for n in (1, 2)]
    assert [g.status for g in got] == [200, 200]
    assert settled(story) == 60


@then('the next is 429 at both nodes, and did not run')
def spent(context):
    story = context.story
    got = [story.run(story.turn(f'next{n}', n=n, budget=context.budget)) for n in (1, 2)]
    assert [g.status for g in got] == [429, 429], [g.status for g in got]
    assert not [r for r in story.runs if r.ident.startswith('next')]


@when('10 turns of 50 tokens with a budget of 100 are taken at once at both nodes')
def at_once(context):
    story = context.story
    story.plan.extend(['stream 5'] * 10)

    async def script():
        return await asyncio.gather(*[story.turn(f't{n}', n=1 + n % 2, budget=100) for n in range(10)])

    context.all = story.run(script())


@then('no more than 150 tokens were given, and those refused did not run')
def within(context):
    given_out = sum(g.body.count(b'data: ') * EVENT_TOKENS for g in context.all if g.status == 200)
    assert 100 <= given_out <= 150, given_out
    served = sum(1 for g in context.all if g.status == 200)
    assert {g.status for g in context.all} == {200, 429} and len(context.story.runs) == served
    assert settled(context.story) == given_out


@then('the budget is whole again')
def whole_again(context):
    context.story.plan.clear()
    assert settled(context.story) == 0
    got = context.story.run(context.story.turn('again', budget=context.budget))
    assert got.status == 200, got.status


# ---- kept state


@when('a turn after an unknown one is asked')
def after_unknown(context):
    context.got = context.story.run(context.story.turn('t1', 'nobody'))


@then('with any one part away it is 503, and nothing ran')
def one_away(context):
    story = context.story
    for part in PARTS:
        story.stores.away = {part}
        got = story.run(story.turn(f'{part}-t', 'nobody', X_Deadline_Ms=1000))
        assert got.status == 503 and 'Retry-After' in got.headers, (part, got.status, got.body)
    assert story.runs == []


@then('the turn "{ident}" has cost {tokens:d} tokens and can be continued at node {n:d}')
def cost_once(context, ident, tokens, n):
    assert settled(context.story) == tokens
    continued(context.story, 'next', ident, f'[{ident}]'.encode() + said(ident, 3) + b'[next]', n)


@when('the store goes away while a turn runs')
def away_midway(context):
    story = context.story

    async def script():
        story.plan.append('paced 2')
        talk = await story.begin('/turn/a', ident='t1', X_Deadline_Ms=1500, **story.heads())
        story.go.release()
        await talk.head()
        await talk.piece()
        story.stores.away.update(PARTS)
        story.go.release()
        context.got = await talk.rest()

    story.run(script())


@then('its events came, but not its end')
def no_end(context):
    got = context.got
    assert got.body == event('t1', 1) + event('t1', 2) and not got.complete, (got.body, got.complete)


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
        arrive = node.tell

        def tell(event):
            """The news stands in the queue before the task that was made under the older policy."""
            if type(event) is Arrive and not held.is_set():
                held.set()
                arrive(news)
            arrive(event)

        node.tell = tell
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
