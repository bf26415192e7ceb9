"""Steps on a small fleet of real processes, through its HTTP interfaces."""

import asyncio
import json
import os
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import time
from datetime import timedelta
from pathlib import Path
from types import SimpleNamespace

from behave import given, then, when
from common import lone_core_settings, reserve_port

from quillstall.network.web import CurlWeb, fetch
from quillstall.runtime.disk import Put, SqliteDisk
from quillstall.testbed.deploy import Deploy, hipotecalc, machines, pools, replicas
from quillstall.testbed.fleet import Fleet
from quillstall.testbed.loop import finish

LIMIT = timedelta(seconds=10)


def make_small_fleet():
    port = reserve_port()
    replica_specs = replicas('127.0', port, 1, 6, 1, 6, prefill_per_s=200_000, step_ms=10)
    base = hipotecalc('127.0', port)
    policy = {**base.policy, 'pools': pools(replica_specs)}
    return Fleet(Deploy('small', machines('127.0', port, routes=2, stores=2), replica_specs, policy, []))


class SmallFleet:
    """One small fleet for all scenarios of the feature, with an event loop and an HTTP client for it."""

    def __init__(self):
        self.loop = asyncio.new_event_loop()
        self.fleet = self.run(self.open())
        self.node_addresses = self.fleet.crowd.doors
        self.core_addresses = self.fleet.cores.split(',')
        self.last_key = 0

    async def open(self):
        fleet = make_small_fleet()
        self.web = CurlWeb(50)
        await fleet.open()
        return fleet

    def run(self, coroutine):
        return self.loop.run_until_complete(coroutine)

    def send(self, method, path, body=None, headers=None, address=None):
        return self.run(
            fetch(self.web, address or self.node_addresses[0], method, path, body, headers, LIMIT)
        )

    def replica_log(self, name):
        return self.send('GET', '/log', address=self.fleet.startups[name]['http'])[1]

    def set_mode(self, name, mode):
        self.send('POST', '/control', {'mode': mode}, address=self.fleet.startups[name]['http'])

    def admin_request(self, method, path, body=None, headers=None):
        for _ in range(40):
            for core in self.core_addresses:
                response = self.send(method, path, body, headers, core)
                if response[0] < 500:
                    return response
        return response

    def new_key(self):
        self.last_key += 1
        return f'key-{self.last_key}'

    def close(self):
        self.fleet.close()
        self.run(self.web.close())
        finish(self.loop)


@given('a small fleet of real processes')
def given_small_fleet(context):
    root = context._root  # lives as long as the run
    if 'small' not in root:
        root['small'] = SmallFleet()
        context.config.userdata['small'] = root['small']
    context.cluster = root['small']
    for name in ('model0', 'appli0'):
        context.cluster.set_mode(name, 'well')


@when('a turn is requested with only a route and a prompt')
def request_minimal_turn(context):
    context.response = context.cluster.send(
        'POST', '/v1/turns', {'route': 'quick-quote', 'prompt': 'how much?'}
    )


@then('the response is complete, with the id, the pieces and the usage')
def has_complete_turn(context):
    status, body, headers = context.response
    assert status == 200, body
    assert body['pieces'] == 12 and body['usage'] == {'prompt_tokens': 3, 'completion_tokens': 12}, body
    assert headers['x-turn-id'] == body['turn'] and body['text'].count(' ') == 12


@when('a streamed turn is requested')
def request_stream(context):
    context.response = context.cluster.send(
        'POST', '/v1/turns', {'route': 'quick-quote', 'prompt': 'x', 'stream': True}
    )


@then('its pieces are numbered from 0 without gaps and the last line is the end with totals')
def has_numbered_pieces(context):
    status, lines, headers = context.response
    assert status == 200 and headers['content-type'] == 'application/x-ndjson'
    assert [line['piece'] for line in lines[:-1]] == list(range(12))
    assert lines[-1]['end'] is True and lines[-1]['pieces'] == 12 and lines[-1]['turn']


@when('"{method}" "{path}" is sent with body {body}')
def send_body(context, method, path, body):
    context.response = context.cluster.send(method, path, None if body == '-' else body.encode())


@then('the answer is {status:d} "{code}" as a problem document that names "{places}"')
@then('the answer is {status:d} "{code}" as a problem document that names ""')
def is_problem_document(context, status, code, places=''):
    response_status, body, headers = context.response
    assert (response_status, body['code']) == (status, code), (response_status, body)
    assert headers['content-type'] == 'application/problem+json', headers
    assert body['status'] == status and body['ran'] in ('no', 'unknown', 'yes') and body['title']
    named = {finding['place'] for finding in body.get('findings', ())}
    assert set(places.split()) <= named, named


@when('a body of 3 MB is sent')
def send_large_body(context):
    context.response = context.cluster.send('POST', '/v1/turns', b'x' * 3_000_000)


@when('a service call is sent with the deadline "{text}"')
def send_deadline(context, text):
    context.response = context.cluster.send('POST', '/v1/services/desk/status', {}, {'X-Deadline-Ms': text})


@when('a service call is sent with a deadline of 5000 digits')
def send_long_deadline(context):
    send_deadline(context, '9' * 5000)


@when('a program with a budget of 20 tokens takes turns of 12')
def run_program(context):
    cluster = context.cluster
    body = {'route': 'refinance', 'program': 'prog-1', 'budget': 20, 'max_tokens': 12}
    context.turns = [
        cluster.send('POST', '/v1/turns', {**body, 'prompt': 'one'}, address=cluster.node_addresses[0])
    ]
    previous_turn = context.turns[0][1]['turn']
    context.turns.append(
        cluster.send(
            'POST',
            '/v1/turns',
            {**body, 'prompt': 'two', 'continues': previous_turn},
            address=cluster.node_addresses[1],
        )
    )
    context.runs_before = len(cluster.replica_log('model0')['runs'])
    context.turns.append(
        cluster.send(
            'POST',
            '/v1/turns',
            {**body, 'prompt': 'three', 'continues': context.turns[1][1]['turn']},
            address=cluster.node_addresses[0],
        )
    )


@then('the second continues the first through another routing node with its complete history')
def continues_history(context):
    from quillstall.testbed.replica import digest, memory

    first, second = context.turns[0][1], context.turns[1][1]
    history_digest = memory([['one', first['text']]])
    assert second['text'].startswith(f'{digest("two")}.{history_digest}.0 '), second


@then('the third is answered 429 "budget" and runs on no replica')
def budget_exhausted(context):
    status, body, _ = context.turns[2]
    assert (status, body['code'], body['ran']) == (429, 'budget', 'no'), body
    assert (body['spent'], body['budget']) == (24, 20), body
    assert len(context.cluster.replica_log('model0')['runs']) == context.runs_before


def request_document(context, key, body):
    return context.cluster.send('POST', '/v1/services/documents/amortisation', body, {'Idempotency-Key': key})


@when('a document is requested twice with one idempotency key')
def request_document_twice(context):
    context.key = context.cluster.new_key()
    context.responses = [request_document(context, context.key, {'a': 1}) for _ in range(2)]


def runs_of(context):
    return sum(1 for run in context.cluster.replica_log('appli0')['runs'] if run['key'] == context.key)


@then('both responses are the same, the second is marked as replayed, and it ran once')
def is_replayed(context):
    first, second = context.responses
    assert first[0] == second[0] == 200 and first[1] == second[1], context.responses
    assert 'idempotency-replayed' not in first[2] and second[2]['idempotency-replayed'] == 'true'
    assert runs_of(context) == 1


@when('the same key is sent with another body')
def reuse_key(context):
    context.response = request_document(context, context.key, {'a': 2})


@given('application replicas that lose their responses')
def given_lost_responses(context):
    context.cluster.set_mode('appli0', 'lose')


@when('a document is requested with an idempotency key')
def request_keyed_document(context):
    context.key = context.cluster.new_key()
    context.response = request_document(context, context.key, {'a': 1})


@when('it is requested again with the same key')
def repeat_request(context):
    context.response = request_document(context, context.key, {'a': 1})


@then('it ran once')
def ran_once(context):
    assert runs_of(context) == 1


@given('model replicas that stall')
def given_stalled_replicas(context):
    context.cluster.set_mode('model0', 'stall')


@when('a caller disconnects in the middle of a turn')
def disconnect_during_turn(context):
    cluster = context.cluster
    context.aborted_before = cluster.replica_log('model0')['counts'].get('aborted', 0)
    requests_before = cluster.replica_log('model0')['counts'].get('asked', 0)

    async def send_and_disconnect():
        exchange = cluster.web.open(
            cluster.node_addresses[0],
            'POST',
            '/v1/turns',
            {'route': 'quick-quote', 'prompt': 'x', 'deadline_ms': 60_000},
            limit=timedelta(seconds=60),
        )
        for _ in range(1000):
            _, log, _ = await fetch(
                cluster.web, cluster.fleet.startups['model0']['http'], 'GET', '/log', limit=LIMIT
            )
            if log['counts'].get('asked', 0) > requests_before:
                break
        exchange.abort()

    cluster.run(send_and_disconnect())


@then('the replica aborts the turn')
def turn_is_aborted(context):
    for _ in range(2000):
        if context.cluster.replica_log('model0')['counts'].get('aborted', 0) > context.aborted_before:
            return
    raise AssertionError('the replica is still running the turn')


@when('two operators change the policy from the same generation')
def change_policy_concurrently(context):
    cluster = context.cluster
    generation = cluster.admin_request('GET', '/v1/policy')[1]['policy_generation']
    headers = {'If-Match': f'"{generation}"'}

    async def change_both():
        return await asyncio.gather(
            *[
                fetch(cluster.web, core, 'PATCH', '/v1/policy', {'keeping_s': retention_s}, headers, LIMIT)
                for retention_s, core in zip((301, 302), cluster.core_addresses, strict=False)
            ]
        )

    context.changes = cluster.run(change_both())


@then('one is answered 200 and the other 409 "conflict"')
def one_change_succeeds(context):
    assert sorted(change[0] for change in context.changes) == [200, 409], context.changes
    lost = next(change[1] for change in context.changes if change[0] == 409)
    won = next(change[1] for change in context.changes if change[0] == 200)
    assert lost['code'] == 'conflict' and lost['generation'] == won['generation']
    policy_now = context.cluster.admin_request('GET', '/v1/policy')[1]
    assert policy_now['policy']['keeping_s'] == (301 if context.changes[0][0] == 200 else 302)


@then('an invalid policy is answered 422 with every finding and changes nothing')
def invalid_policy_is_refused(context):
    cluster = context.cluster
    before = cluster.admin_request('GET', '/v1/policy')[1]
    status, body, _ = cluster.admin_request(
        'PATCH',
        '/v1/policy',
        {'keeping_s': -1, 'classes': {'quotes': {'share': 900}}, 'routes': {'x': {'class': 'no', 'pool': 3}}},
    )
    assert status == 422 and {finding['place'] for finding in body['findings']} == {
        'keeping_s',
        'classes.quotes.share',
        'routes.x.pool',
    }, body
    after = cluster.admin_request('GET', '/v1/policy')[1]
    assert (after['generation'], after['policy']) == (before['generation'], before['policy'])


@then('a policy whose If-Match is no number, or 5000 digits long, is answered 400 "bad_header"')
def if_match_is_refused(context):
    for if_match in ('one', '\xb2', '9' * 5000):
        headers = {'If-Match': if_match}
        status, body, _ = context.cluster.admin_request('PATCH', '/v1/policy', {}, headers)
        assert (status, body['code']) == (400, 'bad_header'), (if_match[:9], status, body)


@then('a policy with a text that is cut inside a character is answered 400 "bad_json" and changes nothing')
def cut_policy_is_refused(context):
    cluster = context.cluster
    before = cluster.admin_request('GET', '/v1/policy')[1]
    status, body, _ = cluster.admin_request(
        'PATCH', '/v1/policy', {'rules': {'odd': {'when': 'false', 'refuse': 'no \ud83d'}}}
    )
    assert (status, body['code']) == (400, 'bad_json'), (status, body)
    after = cluster.admin_request('GET', '/v1/policy')[1]
    assert (after['generation'], after['policy']) == (before['generation'], before['policy'])


@then('a repeated request id gives the same generation')
def request_id_is_idempotent(context):
    headers = {'X-Request-Id': 'same-1'}
    first, second = [
        context.cluster.admin_request('PATCH', '/v1/policy', {'keeping_s': 333}, headers) for _ in range(2)
    ]
    assert first[0] == second[0] == 200 and first[1]['generation'] == second[1]['generation'], (first, second)


@then(
    'marking an unknown replica as leaving is 404 "unknown_name", retiring an unknown store 404 "unknown_name"'
)
def unknown_names_are_refused(context):
    for path, body in (('/v1/leaving', {'replicas': ['nobody']}), ('/v1/retire', {'name': 'nobody'})):
        status, problem, _ = context.cluster.admin_request('POST', path, body)
        assert (status, problem['code']) == (404, 'unknown_name'), problem


@then('retiring a store where too few would be left is 409 "refused"')
def retiring_is_refused(context):
    address = context.cluster.fleet.startups['store0']['address']
    status, problem, _ = context.cluster.admin_request('POST', '/v1/retire', {'name': address})
    assert (status, problem['code']) == (409, 'refused') and 'would be left' in problem['detail'], problem


@then('swapping an unknown core is 404 "unknown_name", swapping in an unknown spare core 409 "refused"')
def swapping_is_refused(context):
    core = context.cluster.fleet.startups['core0']['address']
    for body, expected in (
        ({'name': 'nobody', 'by': core}, (404, 'unknown_name')),
        ({'name': core, 'by': '127.0.1.99:1'}, (409, 'refused')),
    ):
        status, problem, _ = context.cluster.admin_request('POST', '/v1/swap', body)
        assert (status, problem['code']) == expected, problem


@when('a routing node gets SIGTERM while a stream runs')
def stop_during_stream(context):
    cluster = context.cluster

    async def stop_after_first_line():
        exchange = cluster.web.open(
            cluster.node_addresses[1],
            'POST',
            '/v1/turns',
            {'route': 'quick-quote', 'prompt': 'x', 'stream': True},
            limit=LIMIT,
        )
        lines = []
        while True:
            kind, *item = await exchange.next()
            if kind == 'line':
                lines.append(item[0])
                if len(lines) == 1:
                    cluster.fleet.kill('route1', signal.SIGTERM)
            elif kind == 'end':
                return lines, item[0]

    context.stream_end = cluster.run(stop_after_first_line())


@then('the stream ends complete and the process exits with code 0')
def stream_and_process_end(context):
    lines, code = context.stream_end
    assert code is None and lines[-1].get('end') and len(lines) == 13, (code, lines[-1:])
    assert context.cluster.fleet.running['route1'].wait(30) == 0


# ---- startups


@when('a process is started with {what}')
def start_process(context, what):
    context.process = subprocess.run(
        serve_command(context, what),
        timeout=60,
        capture_output=True,
        text=True,
        stdin=subprocess.DEVNULL,
    )


@when('{seconds:d} s have passed since the start of a process with {what}')
def start_process_that_runs(context, seconds, what):
    context.output = tempfile.NamedTemporaryFile('w+')
    context.add_cleanup(context.output.close)
    process = context.process = subprocess.Popen(
        serve_command(context, what), stdin=subprocess.DEVNULL, stdout=context.output, stderr=context.output
    )
    context.add_cleanup(process.kill)
    context.machine = SimpleNamespace(
        send=process.send_signal,
        wait=lambda: process.wait(20),
        log=lambda: Path(context.output.name).read_text(),
    )
    time.sleep(seconds)


@then('it still runs, and has printed "{text}"')
def still_runs(context, text):
    assert context.process.poll() is None, (context.process.poll(), context.machine.log())
    assert text in context.machine.log(), context.machine.log()


def serve_command(context, what):
    """Return the command of a process whose settings, folder or address have something wrong."""
    folder = tempfile.mkdtemp()
    context.add_cleanup(shutil.rmtree, folder)
    port = reserve_port()
    data = os.path.join(folder, 'data')
    os.mkdir(data)
    settings = lone_core_settings(data, port)
    if what == 'a file with several errors':
        settings.update(seeds=['127.0.0.1:1'], zone='a b', role='king', address='here')
    elif what == 'no data folder':
        settings['data'] = os.path.join(folder, 'none')
    elif what == 'a folder that nobody can write':
        settings['data'] = '/proc'  # where not even root can create a file
    elif what == "a store's folder for a core":

        async def make_store_data():
            disk = SqliteDisk(data)
            await disk.open()
            await disk.write((Put('', 'role', 'store'),))
            await disk.close()

        asyncio.run(make_store_data())
    elif what == 'an address that is in use':
        context.add_cleanup(socket.create_server(('127.0.0.1', port)).close)
    path = os.path.join(folder, 'startup.json')
    with open(path, 'w', encoding='utf-8') as file:
        json.dump(settings, file)
    return [sys.executable, '-m', 'quillstall', 'serve', path]


@then('it exits with code {code:d} and prints "{text}"')
def exits_with_code_and_prints(context, code, text):
    output = context.process.stdout + context.process.stderr
    assert context.process.returncode == code, (context.process.returncode, output)
    assert text in output and 'Traceback' not in output, output


# ---- rules


@when('rules are put in force that refuse long quotes and divide by the deadline of documents minus 2500')
def apply_rules(context):
    status, body, _ = context.small.admin_request(
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
def long_quote_is_refused(context, name):
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
def failing_rule_refuses(context):
    small = context.small
    for deadline_ms, expected in ((2500, 403), (2400, 200)):
        key = small.new_key()
        status, body, _ = small.send(
            'POST',
            '/v1/services/documents/amortisation',
            {'n': 1},
            {'Idempotency-Key': key, 'X-Deadline-Ms': str(deadline_ms)},
        )
        assert status == expected, body
        ran = [run for run in small.replica_log('appli0')['runs'] if run['key'] == key]
        assert len(ran) == (expected == 200), ran


@then('a rule with an unknown name is 422 "invalid" at "{place}", and nothing changes')
def invalid_rule_is_refused(context, place):
    small = context.small
    before = small.admin_request('GET', '/v1/policy')[1]['generation']
    status, body, _ = small.admin_request('PATCH', '/v1/policy', {'rules': {'odd': {'when': 'colour == 1'}}})
    assert status == 422 and [finding['place'] for finding in body['findings']] == [place], body
    assert small.admin_request('GET', '/v1/policy')[1]['generation'] == before
    assert small.admin_request('PATCH', '/v1/policy', {'rules': None})[0] == 200


# ---- libcurl's own retry on a reused connection


class ClosingServer:
    """Answers the first request of a connection, and closes it at the second without a response."""

    def __init__(self):
        self.paths = []

    async def serve(self, reader, writer):
        first = True
        while True:
            head = b''
            while b'\r\n\r\n' not in head:
                chunk = await reader.read(4096)
                if not chunk:
                    writer.close()
                    return
                head += chunk
            self.paths.append(head.split(b' ')[1].decode())
            if not first or head.startswith(b'GET /only'):
                writer.close()
                return
            first = False
            writer.write(b'HTTP/1.1 200 OK\r\nContent-Length: 2\r\nContent-Type: application/json\r\n\r\n{}')


@given('a server that accepts a request on a kept-alive connection and closes it without a response')
def given_closing_server(context):
    context.server = ClosingServer()


async def send_second_request(context, path, at_most_once):
    server = await asyncio.start_server(context.server.serve, '127.0.0.1', 0)
    port = server.sockets[0].getsockname()[1]
    web = CurlWeb(2)
    try:
        await fetch(web, f'127.0.0.1:{port}', 'GET', '/first', limit=LIMIT)
        exchange = web.open(f'127.0.0.1:{port}', 'GET', path, limit=LIMIT, at_most_once=at_most_once)
        item = await exchange.next()
        while item[0] != 'end':
            item = await exchange.next()
        return item[1]
    finally:
        await web.close()
        server.close()


@when('a second request is sent on that connection')
def send_repeatable_request(context):
    context.outcome = asyncio.run(send_second_request(context, '/second', False))


@then('the server receives it more than once')
def receives_several_times(context):
    assert context.server.paths.count('/second') > 1, context.server.paths


@when('a request is sent that may not be repeated')
def send_once_only(context):
    context.outcome = asyncio.run(send_second_request(context, '/only', True))


@then('the server receives it exactly once and the outcome is "{code}"')
def receives_once(context, code):
    assert context.server.paths.count('/only') == 1 and context.outcome == code, (
        context.server.paths,
        context.outcome,
    )
