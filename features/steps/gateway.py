"""Steps that send requests to real routing nodes on loopback, with stand-in replicas and stores."""

import asyncio
import re
import socket
from datetime import timedelta

from behave import given, then, when
from standin import PARTITIONS, Cluster, send_request, wait_until

from quillstall.configuration.policy import check
from quillstall.network.net import parse_address

SOON_S = 2  # well before the deadline of any request here


@given('{count:d} nodes and the replicas "{names}"')
@given('{count:d} node and the replicas "{names}"')
def built(context, count, names):
    context.cluster = Cluster(count, names.split())
    context.add_cleanup(context.cluster.close)


@given('the replicas will in turn "{acts}"')
def set_plan(context, acts):
    context.cluster.plan.clear()
    context.cluster.plan.extend(a.strip() for a in acts.split(','))


@given('a node without a lease')
def node_without_lease(context):
    context.cluster.run(context.cluster.start_node(1, lease=timedelta(seconds=-1)))


@given('every partition is unreachable')
def partitions_unreachable(context):
    context.cluster.stores.unreachable.update(PARTITIONS)


@given('every partition is reachable again')
def partitions_reachable(context):
    context.cluster.stores.unreachable.clear()


@given('the store replies to "{ops}" are lost once')
def lost_replies(context, ops):
    context.cluster.stores.lost_replies.extend(o.strip() for o in ops.split(','))


@given('the store has an error of its own at "{ops}" once')
def failing_commands(context, ops):
    context.cluster.stores.failing_commands.extend(o.strip() for o in ops.split(','))


@given('every partition has moved to another primary')
def partitions_moved(context):
    context.cluster.stores.replica_sets = {partition: [2, 1, 's1', 's0'] for partition in PARTITIONS}


@given('the replica "{name}" is {how}')
def listed(context, name, how):
    cluster = context.cluster
    draining = {
        'address': cluster.replicas[name].address,
        'zone': 'z',
        'slots': 8,
        'ready': False,
        'cold': False,
    }
    for node in cluster.nodes:
        cluster.run(cluster.set_listing(node, **{name: draining if how == 'draining' else None}))


@given('the replica "{name}" does not listen')
def not_listening(context, name):
    replica = context.cluster.replicas[name]

    async def script():
        replica.stop()
        for stream in list(replica.streams):
            stream.close()

    context.cluster.run(script())
    holder = socket.socket()  # keeps other processes from listening there
    holder.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    holder.bind(parse_address(replica.address))
    context.add_cleanup(holder.close)


def expand_value(text):
    """Return the text of an example with its placeholders replaced."""
    text = re.sub(r'\\x([0-9a-f]{2})', lambda match: chr(int(match[1], 16)), text)
    return re.sub(r'\((\d+) digits\)', lambda match: '9' * int(match[1]), text)


@given('the replica "{name}" sends the header "{header}" with "{value}"')
def replica_sends_header(context, name, header, value):
    replica = context.cluster.replicas[name]
    original = replica.response_headers
    replica.response_headers = lambda run: {**original(run), header: expand_value(value)}


@given('the replica "{name}" numbers its events "{ids}"')
def replica_numbers_events(context, name, ids):
    async def write_stream(stream, run, act, count):
        head = ''.join(f'{n}: {v}\r\n' for n, v in replica.response_headers(run).items())
        await stream.write(f'HTTP/1.1 200 Said\r\n{head}Transfer-Encoding: chunked\r\n\r\n'.encode())
        for event_id in ids.split(', '):
            data = numbered_events(event_id)
            await stream.write(b'%x\r\n%s\r\n' % (len(data), data))
            await asyncio.sleep(0.05)  # so that each event is read by itself
        await stream.write(b'0\r\n\r\n')

    replica = context.cluster.replicas[name]
    replica.write_stream = write_stream


def numbered_events(ids):
    return b''.join(f'id: {expand_value(i)}\ndata: x\n\n'.encode('latin1') for i in ids.split(', '))


@then('its body has the events "{ids}"')
def body_has_events(context, ids):
    assert context.response.body == numbered_events(ids), context.response.body[:200]


@then('each was answered 200 and ran once')
def each_answered_once(context):
    for request_id, response in context.responses:
        assert (response.status, response.complete) == (200, True), (response.status, response.body)
        assert len(runs_of_request(context.cluster, request_id)) == 1


@given('another replica process has taken the address of "{name}"')
def address_reused(context, name):
    context.cluster.replicas[name].identity = 'another'


# ---- requests


def runs_of_request(cluster, request_id):
    return [r for r in cluster.runs if r.request_id == request_id]


def make_request(context, path, node_number=1, **options):
    """Send a request and return its response; add the headers that keyed routes and turns require."""
    cluster = context.cluster
    context.request_id = options.pop('request_id', None) or cluster.new_request_id()
    if path.startswith('/keyed/'):
        options.setdefault('Idempotency_Key', f'k-{context.request_id}')
    if path.startswith('/turn/'):
        options = {**cluster.turn_headers(), **options}
    return cluster.run(cluster.request(path, node_number, request_id=context.request_id, **options))


@when('"{path}" is requested')
def request_path(context, path):
    context.response = make_request(context, path)


@when('"{path}" is requested at node {n:d}')
def request_at_node(context, path, n):
    context.response = make_request(context, path, n)


@when('"{path}" is requested with {ms:d} ms')
def request_with_deadline(context, path, ms):
    context.response = make_request(context, path, X_Deadline_Ms=ms)


@when('"{path}" is requested after event {n:d}')
def request_after_event(context, path, n):
    context.response = make_request(context, path, Last_Event_Id=n)


@when('the only replica takes longer than usual for "{path}", and then answers')
def slow_only(context, path):
    cluster = context.cluster
    context.request_id = 'slow'

    async def script():
        cluster.plan.append('hold')
        exchange = await cluster.begin_request(path, request_id='slow')
        work = asyncio.ensure_future(exchange.read_head())
        await asyncio.wait((work,), timeout=SOON_S / 2)  # a response by now could only be the gateway's own
        cluster.proceed.release()
        await work
        context.response = await exchange.read_all()

    cluster.run(script())


@when('"{path}" is requested {count:d} times')
def request_repeatedly(context, path, count):
    context.responses = []
    for _ in range(count):
        response = make_request(context, path)
        context.responses.append((context.request_id, response))


@when('the turn "{request_id}" is run')
def run_turn(context, request_id):
    context.request_id = request_id
    context.response = context.cluster.run(context.cluster.run_turn(request_id))


@when('the turn "{request_id}" is run with a budget of {budget:d}')
def run_turn_with_budget(context, request_id, budget):
    context.request_id, context.budget = request_id, budget
    context.response = context.cluster.run(context.cluster.run_turn(request_id, budget=budget))


@then('the answer is {status:d}')
def status_is(context, status):
    response = context.response
    assert (response.status, response.complete) == (status, True), (
        response.status,
        response.complete,
        response.body,
    )


@then('the answer is {status:d} with a Retry-After header')
def status_retry(context, status):
    status_is(context, status)
    assert float(context.response.headers['Retry-After']) > 0, dict(context.response.headers)


@then('the answer is {status:d} and cut short')
def status_cut(context, status):
    response = context.response
    assert (response.status, response.complete) == (status, False), (
        response.status,
        response.complete,
        response.body,
    )


@then('nothing ran')
def nothing_ran(context):
    assert context.cluster.runs == [], context.cluster.runs


@then('it ran {count:d} times')
def ran_times(context, count):
    runs = runs_of_request(context.cluster, context.request_id)
    assert len(runs) == count, [(r.replica, r.path) for r in runs]


# ---- forwarding


@when('a request with a query, a binary body and custom headers is forwarded')
def forward_request(context):
    cluster = context.cluster
    headers = {
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
        exchange = await send_request(
            cluster.address(1), 'PUT', '/once/%41/..//b?q=1&q=%2f', headers, context.sent
        )
        context.response = await exchange.read_all()

    cluster.run(script())


@then('the replica got the request unchanged, and the caller got the answer unchanged')
def forwarded_unchanged(context):
    (run,) = context.cluster.runs
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
    response = context.response
    assert (response.status, response.body, response.complete) == (200, b'a ran odd', True), response.body
    assert response.headers['X-Sign'] == 'a-odd' and response.headers['Content-Type'] == 'text/x-said', dict(
        response.headers
    )
    assert response.headers['X-Request-Id'] == 'odd', dict(response.headers)


@then('hop-by-hop headers were not forwarded')
def no_hop(context):
    (run,) = context.cluster.runs
    assert not {'x-hop', 'te', 'connection'} & {n.lower() for n in run.headers}, dict(run.headers)


@when('a caller sends plain, chunked and pipelined requests on one connection')
def one_connection(context):
    cluster = context.cluster

    def request_bytes(request_id, body=b'', chunks=False, method='POST'):
        head = f'{method} /once/x HTTP/1.1\r\nHost: h.example\r\nX-Request-Id: {request_id}\r\n'.encode()
        if chunks:
            return (
                head
                + b'Transfer-Encoding: chunked\r\n\r\n'
                + b''.join(b'%x\r\n%s\r\n' % (len(c), c) for c in (body[:5], body[5:]))
                + b'0\r\n\r\n'
            )
        return head + (b'Content-Length: %d\r\n\r\n' % len(body) if method == 'POST' else b'\r\n') + body

    async def script():
        exchange = await cluster.begin_request('/once/x', request_id='c0')
        await exchange.read_all()
        context.responses = [('c0', exchange.status, exchange.body)]
        for request_ids, data in (
            (['c1'], request_bytes('c1', b'chunked body', True)),
            (['c2'], request_bytes('c2', method='GET')),
            (
                ['c3', 'c4', 'c5'],
                request_bytes('c3', b'one')
                + request_bytes('c4', b'chunked too', True)
                + request_bytes('c5', b'GET /once/x'),
            ),
        ):
            exchange.writer.write(data)
            for request_id in request_ids:
                exchange.headers, exchange.complete = None, False
                await exchange.read_all()
                context.responses.append((request_id, exchange.status, exchange.body))
        exchange.close()

    cluster.run(script())


@then('each is answered in order, and the replicas ran exactly these')
def answered_in_order(context):
    runs = context.cluster.runs
    assert context.responses == [
        (r.request_id, 200, f'{r.replica} ran {r.request_id}'.encode()) for r in runs
    ], context.responses
    assert [(r.request_id, r.method, r.body) for r in runs] == [
        ('c0', 'POST', b'in'),
        ('c1', 'POST', b'chunked body'),
        ('c2', 'GET', b''),
        ('c3', 'POST', b'one'),
        ('c4', 'POST', b'chunked too'),
        ('c5', 'POST', b'GET /once/x'),
    ], [(r.request_id, r.method, r.body) for r in runs]


def split_by(context, weights, **route_fields):
    cluster = context.cluster
    policy = {
        **cluster.policy,
        'pools': {
            n: {'kind': 'application', 'replicas': {n: {'address': r.address, 'slots': 8}}}
            for n, r in cluster.replicas.items()
        },
    }
    policy['http_routes'] = {
        n: {**r, 'pools': weights, **route_fields} for n, r in policy['http_routes'].items()
    }
    assert check(policy) == [], check(policy)
    for node in cluster.nodes:
        cluster.run(cluster.change_policy(node, policy))


@given('the routes go to "a" and "b" by the weights {one:d} and {two:d}')
def by_weights(context, one, two):
    split_by(context, {'a': one, 'b': two})


@given('the routes go to "a" and "b" by the weights {one:d} and {two:d} without affinity')
def by_weights_alone(context, one, two):
    split_by(context, {'a': one, 'b': two}, affinity=False)


@when('{count:d} sessions send {times:d} requests each')
def few_sessions_send(context, count, times):
    cluster = context.cluster

    async def script():
        for n in range(count * times):
            response = await cluster.request('/once/x', node_number=n % 2 + 1, X_Session_Id=f's{n % count}')
            assert response.status == 200, (response.status, response.body)

    cluster.run(script())


@then('the share of "{name}" is within {tolerance:g} of {share:g}')
def share_of_replica(context, name, tolerance, share):
    runs = context.cluster.runs
    actual = sum(1 for run in runs if run.replica == name) / len(runs)
    assert abs(actual - share) <= tolerance, actual


@when('{count:d} sessions send two requests each')
def sessions_send(context, count):
    cluster = context.cluster

    async def script():
        for n in range(count * 2):
            response = await cluster.request('/once/x', X_Session_Id=f's{n % count}')
            assert response.status == 200, (response.status, response.body)

    cluster.run(script())


@then('each session stayed with one replica, and about a quarter went to "b"')
def sessions_stayed(context):
    replicas_of_session = {}
    for run in context.cluster.runs:
        replicas_of_session.setdefault(run.headers['X-Session-Id'], set()).add(run.replica)
    assert len(replicas_of_session) == 200 and all(len(names) == 1 for names in replicas_of_session.values())
    share = sum(1 for names in replicas_of_session.values() if names == {'b'}) / len(replicas_of_session)
    assert 0.15 < share < 0.35, share


@then('with a weight of 0 none goes to "b"')
def weight_of_zero(context):
    split_by(context, {'a': 1, 'b': 0})
    context.cluster.runs.clear()
    sessions_send(context, 40)
    assert {r.replica for r in context.cluster.runs} == {'a'}


@when('a policy without the route is applied while a request runs')
def policy_while_running(context):
    cluster = context.cluster
    policy = {
        **cluster.policy,
        'http_routes': {n: r for n, r in cluster.policy['http_routes'].items() if n != 'once'},
    }

    async def script():
        cluster.plan.append('hold')
        exchange = await cluster.begin_request('/once/x', request_id='before')
        await wait_until(lambda: cluster.runs)
        await cluster.change_policy(cluster.nodes[0], policy)
        context.next = await cluster.request('/once/x')
        cluster.proceed.release()
        context.response = await exchange.read_all()

    cluster.run(script())


@then('that request is answered, and the next is 404')
def before_and_next(context):
    assert (context.response.status, context.next.status) == (200, 404), (
        context.response.status,
        context.next.status,
    )
    assert len(context.cluster.runs) == 1


SMUGGLED_REQUEST = (
    b'POST /once/inner HTTP/1.1\r\nHost: h.example\r\nX-Request-Id: inner\r\nContent-Length: 0\r\n\r\n'
)
AMBIGUOUS_FRAMING = {
    'a length and chunks': b'Content-Length: 5\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n'
    + SMUGGLED_REQUEST,
    'two lengths': b'Content-Length: 5\r\nContent-Length: 0\r\n\r\n' + SMUGGLED_REQUEST,
    'a signed length': b'Content-Length: +0\r\n\r\n' + SMUGGLED_REQUEST,
    'chunked twice': b'Transfer-Encoding: chunked\r\nTransfer-Encoding: x\r\n\r\n0\r\n\r\n'
    + SMUGGLED_REQUEST,
    'a space before a colon': b'Content-Length : %d\r\n\r\n' % len(SMUGGLED_REQUEST) + SMUGGLED_REQUEST,
}


@when('a request with ambiguous framing is sent: {kind}')
def ambiguous_framing(context, kind):
    cluster = context.cluster

    async def script():
        host, _, port = cluster.address(1).partition(':')
        reader, writer = await asyncio.open_connection(host, int(port))
        writer.write(
            b'POST /once/outer HTTP/1.1\r\nHost: h.example\r\nX-Request-Id: outer\r\n'
            + AMBIGUOUS_FRAMING[kind]
        )
        writer.write_eof()
        async with asyncio.timeout(8):
            context.raw = await reader.read()
        writer.close()
        await cluster.request('/any/after')  # by then the first request has had its effect

    cluster.run(script())


@then('it is refused or run as one request, and nothing else ran')
def not_smuggled(context):
    assert [r.request_id for r in context.cluster.runs if r.request_id == 'inner'] == [], context.raw
    assert b' 200 ' not in context.raw.partition(b'\r\n')[0], context.raw


@when('a {method} request is sent')
def request_by_method(context, method):
    cluster = context.cluster

    async def script():
        exchange = await send_request(cluster.address(1), method, '/once/x', {'X-Request-Id': 'm1'}, b'')
        await exchange.read_head()
        context.response = exchange
        if 'Content-Length' in exchange.headers and exchange.status not in (204, 304):
            await exchange.read_all()
        else:
            exchange.complete = True
        context.first = exchange.status, dict(exchange.headers), exchange.body
        exchange.writer.write(b'GET /once/x HTTP/1.1\r\nHost: h.example\r\nX-Request-Id: m2\r\n\r\n')
        exchange.headers, exchange.complete = None, False
        await exchange.read_all()
        context.second = exchange.status, exchange.body

    cluster.run(script())


@then('the answer is {status:d} with only its own headers and body')
def only_its_own(context, status):
    actual_status, headers, body = context.first
    assert actual_status == status and headers.get('X-Sign') != 'early', context.first
    assert body == (b'a ran m1' if status == 200 else b''), context.first


@then('the next request on the same connection gets its own answer')
def next_own(context):
    assert context.second == (200, b'a ran m2'), context.second
