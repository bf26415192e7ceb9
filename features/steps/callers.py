"""Steps on a small fleet of real processes, through its HTTP interfaces."""

import asyncio
import json
import os
import shutil
import signal
import subprocess
import sys
import tempfile
from datetime import timedelta

from behave import given, then, when
from common import held_port, lone_core_settings

from quillstall.network.web import CurlWeb, fetch
from quillstall.runtime.disk import Put, SqliteDisk
from quillstall.testbed.deploy import Deploy, hipotecalc, machines, pools, replicas
from quillstall.testbed.fleet import Fleet
from quillstall.testbed.loop import finish

LIMIT = timedelta(seconds=10)


def small_fleet():
    port = held_port()
    made = replicas('127.0', port, 1, 6, 1, 6, prefill_per_s=200_000, step_ms=10)
    whole = hipotecalc('127.0', port)
    policy = {**whole.policy, 'pools': pools(made)}
    return Fleet(Deploy('small', machines('127.0', port, routes=2, stores=2), made, policy, []))


class Small:
    """One small fleet for all scenarios of the feature, and a loop to talk to it on."""

    def __init__(self):
        self.loop = asyncio.new_event_loop()
        self.fleet = self.run(self.open())
        self.doors = self.fleet.crowd.doors
        self.cores = self.fleet.cores.split(',')
        self.keys = 0

    async def open(self):
        fleet = small_fleet()
        self.web = CurlWeb(50)
        await fleet.open()
        return fleet

    def run(self, work):
        return self.loop.run_until_complete(work)

    def send(self, method, path, body=None, heads=None, door=None):
        return self.run(fetch(self.web, door or self.doors[0], method, path, body, heads, LIMIT))

    def log(self, name):
        return self.send('GET', '/log', door=self.fleet.startups[name]['http'])[1]

    def mode(self, name, mode):
        self.send('POST', '/control', {'mode': mode}, door=self.fleet.startups[name]['http'])

    def operate(self, method, path, body=None, heads=None):
        for _ in range(40):
            for core in self.cores:
                got = self.send(method, path, body, heads, core)
                if got[0] < 500:
                    return got
        return got

    def key(self):
        self.keys += 1
        return f'key-{self.keys}'

    def close(self):
        self.fleet.close()
        self.run(self.web.close())
        finish(self.loop)


@given('a small fleet of real processes')
def small(context):
    root = context._root  # lives as long as the run
    if 'small' not in root:
        root['small'] = Small()
        context.config.userdata['small'] = root['small']
    context.s = root['small']
    for name in ('model0', 'appli0'):
        context.s.mode(name, 'well')


@when('a turn is asked with only a route and a prompt')
def short(context):
    context.got = context.s.send('POST', '/v1/turns', {'route': 'quick-quote', 'prompt': 'how much?'})


@then('it is answered whole, with its id, its pieces and its usage')
def whole(context):
    status, body, heads = context.got
    assert status == 200, body
    assert body['pieces'] == 12 and body['usage'] == {'prompt_tokens': 3, 'completion_tokens': 12}, body
    assert heads['x-turn-id'] == body['turn'] and body['text'].count(' ') == 12


@when('a streamed turn is asked')
def streamed(context):
    context.got = context.s.send('POST', '/v1/turns', {'route': 'quick-quote', 'prompt': 'x', 'stream': True})


@then('its pieces are numbered from 0 without a gap and the last line is the end with totals')
def numbered(context):
    status, lines, heads = context.got
    assert status == 200 and heads['content-type'] == 'application/x-ndjson'
    assert [x['piece'] for x in lines[:-1]] == list(range(12))
    assert lines[-1]['end'] is True and lines[-1]['pieces'] == 12 and lines[-1]['turn']


@when('"{method}" "{path}" is sent with body {body}')
def sent(context, method, path, body):
    context.got = context.s.send(method, path, None if body == '-' else body.encode())


@then('the answer is {status:d} "{code}" as a problem that names "{places}"')
@then('the answer is {status:d} "{code}" as a problem that names ""')
def problem(context, status, code, places=''):
    got, body, heads = context.got
    assert (got, body['code']) == (status, code), (got, body)
    assert heads['content-type'] == 'application/problem+json', heads
    assert body['status'] == status and body['ran'] in ('no', 'unknown', 'yes') and body['title']
    named = {f['place'] for f in body.get('findings', ())}
    assert set(places.split()) <= named, named


@when('a body of 3 MB is sent')
def big(context):
    context.got = context.s.send('POST', '/v1/turns', b'x' * 3_000_000)


@when('a plain call is sent with the deadline "{text}"')
def bad_span(context, text):
    context.got = context.s.send('POST', '/v1/services/desk/status', {}, {'X-Deadline-Ms': text})


@when('a program with a budget of 20 tokens takes turns of 12')
def program(context):
    s = context.s
    body = {'route': 'refinance', 'program': 'prog-1', 'budget': 20, 'max_tokens': 12}
    context.turns = [s.send('POST', '/v1/turns', {**body, 'prompt': 'one'}, door=s.doors[0])]
    goes = context.turns[0][1]['turn']
    context.turns.append(
        s.send('POST', '/v1/turns', {**body, 'prompt': 'two', 'continues': goes}, door=s.doors[1])
    )
    context.ran = len(s.log('model0')['runs'])
    context.turns.append(
        s.send(
            'POST',
            '/v1/turns',
            {**body, 'prompt': 'three', 'continues': context.turns[1][1]['turn']},
            door=s.doors[0],
        )
    )


@then('the second continues the first through another routing node with its history whole')
def continued(context):
    from quillstall.testbed.replica import digest, memory

    first, second = context.turns[0][1], context.turns[1][1]
    mem = memory([['one', first['text']]])
    assert second['text'].startswith(f'{digest("two")}.{mem}.0 '), second


@then('the third is answered 429 "budget" and runs nowhere')
def spent(context):
    status, body, _ = context.turns[2]
    assert (status, body['code'], body['ran']) == (429, 'budget', 'no'), body
    assert (body['spent'], body['budget']) == (24, 20), body
    assert len(context.s.log('model0')['runs']) == context.ran


def document(context, key, body):
    return context.s.send('POST', '/v1/services/documents/amortisation', body, {'Idempotency-Key': key})


@when('a keyed document is asked for twice')
def keyed(context):
    context.key = context.s.key()
    context.twice = [document(context, context.key, {'a': 1}) for _ in range(2)]


def runs_of(context):
    return sum(1 for r in context.s.log('appli0')['runs'] if r['key'] == context.key)


@then('both answers are the same, the second is marked as replayed, and it ran once')
def replayed(context):
    one, two = context.twice
    assert one[0] == two[0] == 200 and one[1] == two[1], context.twice
    assert 'idempotency-replayed' not in one[2] and two[2]['idempotency-replayed'] == 'true'
    assert runs_of(context) == 1


@when('the same key comes with another body')
def other_body(context):
    context.got = document(context, context.key, {'a': 2})


@given('application replicas that lose their answers')
def losing(context):
    context.s.mode('appli0', 'lose')


@when('a keyed document is asked for')
def keyed_once(context):
    context.key = context.s.key()
    context.got = document(context, context.key, {'a': 1})


@when('it is asked for again with its key')
def again(context):
    context.got = document(context, context.key, {'a': 1})


@then('it ran once')
def once(context):
    assert runs_of(context) == 1


@given('model replicas that stall')
def stalling(context):
    context.s.mode('model0', 'stall')


@when('a caller leaves in the middle of a turn')
def leaves(context):
    s = context.s
    context.before = s.log('model0')['counts'].get('aborted', 0)
    asked = s.log('model0')['counts'].get('asked', 0)

    async def leave():
        flow = s.web.open(
            s.doors[0],
            'POST',
            '/v1/turns',
            {'route': 'quick-quote', 'prompt': 'x', 'deadline_ms': 60_000},
            limit=timedelta(seconds=60),
        )
        for _ in range(1000):
            _, log, _ = await fetch(s.web, s.fleet.startups['model0']['http'], 'GET', '/log', limit=LIMIT)
            if log['counts'].get('asked', 0) > asked:
                break
        flow.cut()

    s.run(leave())


@then('the replica sees the turn broken off')
def broken_off(context):
    for _ in range(2000):
        if context.s.log('model0')['counts'].get('aborted', 0) > context.before:
            return
    raise AssertionError('the replica still works on it')


@when('two operators change the policy from one generation')
def race(context):
    s = context.s
    gen = s.operate('GET', '/v1/policy')[1]['policy_generation']
    heads = {'If-Match': f'"{gen}"'}

    async def both():
        return await asyncio.gather(
            *[
                fetch(s.web, core, 'PATCH', '/v1/policy', {'keeping_s': n}, heads, LIMIT)
                for n, core in zip((301, 302), s.cores, strict=False)
            ]
        )

    context.race = s.run(both())


@then('one is answered 200 and the other 409 "conflict"')
def one_wins(context):
    assert sorted(g[0] for g in context.race) == [200, 409], context.race
    lost = next(g[1] for g in context.race if g[0] == 409)
    won = next(g[1] for g in context.race if g[0] == 200)
    assert lost['code'] == 'conflict' and lost['generation'] == won['generation']
    shown = context.s.operate('GET', '/v1/policy')[1]
    assert shown['policy']['keeping_s'] == (301 if context.race[0][0] == 200 else 302)


@then('a faulty policy is answered 422 with every finding and changes nothing')
def faulty(context):
    s = context.s
    before = s.operate('GET', '/v1/policy')[1]
    status, body, _ = s.operate(
        'PATCH',
        '/v1/policy',
        {'keeping_s': -1, 'classes': {'quotes': {'share': 900}}, 'routes': {'x': {'class': 'no', 'pool': 3}}},
    )
    assert status == 422 and {f['place'] for f in body['findings']} == {
        'keeping_s',
        'classes.quotes.share',
        'routes.x.pool',
    }, body
    after = s.operate('GET', '/v1/policy')[1]
    assert (after['generation'], after['policy']) == (before['generation'], before['policy'])


@then('a repeated request id gives the same generation')
def same_id(context):
    heads = {'X-Request-Id': 'same-1'}
    one, two = [context.s.operate('PATCH', '/v1/policy', {'keeping_s': 333}, heads) for _ in range(2)]
    assert one[0] == two[0] == 200 and one[1]['generation'] == two[1]['generation'], (one, two)


@then('an unknown replica as leaving is 404 "unknown_name", an unknown store to retire 404 "unknown_name"')
def unknown(context):
    for path, body in (('/v1/leaving', {'replicas': ['nobody']}), ('/v1/retire', {'name': 'nobody'})):
        status, got, _ = context.s.operate('POST', path, body)
        assert (status, got['code']) == (404, 'unknown_name'), got


@then('retiring where too few would be left is 409 "refused"')
def too_few(context):
    address = context.s.fleet.startups['store0']['address']
    status, got, _ = context.s.operate('POST', '/v1/retire', {'name': address})
    assert (status, got['code']) == (409, 'refused') and 'would be left' in got['detail'], got


@then('swapping an unknown core is 404 "unknown_name", for one that waits nowhere 409 "refused"')
def no_swap(context):
    core = context.s.fleet.startups['core0']['address']
    for body, want in (
        ({'name': 'nobody', 'by': core}, (404, 'unknown_name')),
        ({'name': core, 'by': '127.0.1.99:1'}, (409, 'refused')),
    ):
        status, got, _ = context.s.operate('POST', '/v1/swap', body)
        assert (status, got['code']) == want, got


@when('a routing node is told to stop while a stream runs')
def stop(context):
    s = context.s

    async def script():
        flow = s.web.open(
            s.doors[1],
            'POST',
            '/v1/turns',
            {'route': 'quick-quote', 'prompt': 'x', 'stream': True},
            limit=LIMIT,
        )
        lines = []
        while True:
            kind, *rest = await flow.next()
            if kind == 'line':
                lines.append(rest[0])
                if len(lines) == 1:
                    s.fleet.kill('route1', signal.SIGTERM)
            elif kind == 'end':
                return lines, rest[0]

    context.lines = s.run(script())


@then('the stream ends whole and the process ends with code 0')
def ended(context):
    lines, code = context.lines
    assert code is None and lines[-1].get('end') and len(lines) == 13, (code, lines[-1:])
    assert context.s.fleet.running['route1'].wait(30) == 0


# ---- startups


@when('a process is started with {what}')
def started(context, what):
    folder = tempfile.mkdtemp()
    port = held_port()
    data = os.path.join(folder, 'data')
    os.mkdir(data)
    body = lone_core_settings(data, port)
    context.other = None
    if what == 'a file with several errors':
        body.update(seeds=['127.0.0.1:1'], zone='a b', role='king', address='here')
    elif what == 'no data folder':
        body['data'] = os.path.join(folder, 'none')
    elif what == 'a folder that nobody can write':
        body['data'] = '/proc'  # not even root may make a file there
    elif what == "a store's folder for a core":

        async def make():
            disk = SqliteDisk(data)
            await disk.open()
            await disk.write((Put('', 'role', 'store'),))
            await disk.close()

        asyncio.run(make())
    elif what == 'an address that is in use':
        import socket

        context.other = socket.create_server(('127.0.0.1', port))
    path = os.path.join(folder, 'startup.json')
    with open(path, 'w', encoding='utf-8') as file:
        json.dump(body, file)
    context.ended = subprocess.run(
        [sys.executable, '-m', 'quillstall', 'serve', path],
        timeout=60,
        capture_output=True,
        text=True,
        stdin=subprocess.DEVNULL,
    )
    if context.other:
        context.other.close()
    shutil.rmtree(folder)


@then('it ends and says "{text}"')
def ends_with(context, text):
    assert context.ended.returncode in (1, 2), context.ended.returncode
    says(context, context.ended.returncode, text)


@then('it ends with code {code:d} and says "{text}"')
def says(context, code, text):
    said = context.ended.stdout + context.ended.stderr
    assert context.ended.returncode == code, (context.ended.returncode, said)
    assert text in said and 'Traceback' not in said, said


# ---- rules


@when('rules are put in force that refuse long quotes and divide by the deadline of documents less 2500')
def put_rules(context):
    status, body, _ = context.small.operate(
        'PATCH',
        '/v1/policy',
        {
            'rules': {
                'long-quotes': {
                    'when': "route == 'quick-quote' && prompt_tokens > 500",
                    'refuse': 'quotes are short',
                },
                'odd-documents': {'when': "service == 'documents' && 1 / (deadline_ms - 2500) > 5"},
            }
        },
    )
    assert status == 200, body


@then('a short quote is answered, and a long one is 403 "ruled_out" by "{name}"')
def short_and_long(context, name):
    small = context.small
    status, body, _ = small.send(
        'POST', '/v1/turns', {'route': 'quick-quote', 'prompt': 'a', 'prompt_tokens': 500}
    )
    assert status == 200, body
    status, body, _ = small.send(
        'POST', '/v1/turns', {'route': 'quick-quote', 'prompt': 'a', 'prompt_tokens': 501}
    )
    assert (status, body['code'], body['ran']) == (403, 'ruled_out', 'no') and name in body['detail'], body


@then(
    'a document with a deadline of 2500 ms is 403 "ruled_out" and did not run, one with another is answered'
)
def odd_document(context):
    small = context.small
    for span, want in ((2500, 403), (2400, 200)):
        key = small.key()
        status, body, _ = small.send(
            'POST',
            '/v1/services/documents/amortisation',
            {'n': 1},
            {'Idempotency-Key': key, 'X-Deadline-Ms': str(span)},
        )
        assert status == want, body
        ran = [r for r in small.log('appli0')['runs'] if r['key'] == key]
        assert len(ran) == (want == 200), ran


@then('a rule with an unknown name is 422 "invalid" at "{place}", and nothing changes')
def odd_rule(context, place):
    small = context.small
    before = small.operate('GET', '/v1/policy')[1]['generation']
    status, body, _ = small.operate('PATCH', '/v1/policy', {'rules': {'odd': {'when': 'colour == 1'}}})
    assert status == 422 and [f['place'] for f in body['findings']] == [place], body
    assert small.operate('GET', '/v1/policy')[1]['generation'] == before
    assert small.operate('PATCH', '/v1/policy', {'rules': None})[0] == 200


# ---- libcurl's second sending


class Dead:
    """Answers the first request of a connection and ends it at the second, unanswered."""

    def __init__(self):
        self.seen = []

    async def serve(self, reader, writer):
        first = True
        while True:
            head = b''
            while b'\r\n\r\n' not in head:
                more = await reader.read(4096)
                if not more:
                    writer.close()
                    return
                head += more
            self.seen.append(head.split(b' ')[1].decode())
            if not first or head.startswith(b'GET /only'):
                writer.close()
                return
            first = False
            writer.write(b'HTTP/1.1 200 OK\r\nContent-Length: 2\r\nContent-Type: application/json\r\n\r\n{}')


@given('a server that reads a request on a kept-alive connection and closes it without a response')
def dead(context):
    context.dead = Dead()


async def on_dead(context, path, once):
    server = await asyncio.start_server(context.dead.serve, '127.0.0.1', 0)
    port = server.sockets[0].getsockname()[1]
    web = CurlWeb(2)
    try:
        await fetch(web, f'127.0.0.1:{port}', 'GET', '/first', limit=LIMIT)
        flow = web.open(f'127.0.0.1:{port}', 'GET', path, limit=LIMIT, once=once)
        item = await flow.next()
        while item[0] != 'end':
            item = await flow.next()
        return item[1]
    finally:
        await web.close()
        server.close()


@when('a request follows another on that connection')
def follows(context):
    context.outcome = asyncio.run(on_dead(context, '/second', False))


@then('the server receives it more than once')
def more(context):
    assert context.dead.seen.count('/second') > 1, context.dead.seen


@when('a request that may be sent at most once is sent')
def sent_once(context):
    context.outcome = asyncio.run(on_dead(context, '/only', True))


@then('the server receives it exactly once and the outcome is "{code}"')
def exactly_once(context, code):
    assert context.dead.seen.count('/only') == 1 and context.outcome == code, (
        context.dead.seen,
        context.outcome,
    )
