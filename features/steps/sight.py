"""Steps that look at what is to be had of a failed request afterwards."""

import json
from datetime import timedelta

from behave import then, when
from gateway import make_request
from standin import send_request

from quillstall.testbed.town import play


async def read(cluster, path):
    got = await (await send_request(cluster.address(1, 'ready'), 'GET', path, {})).read_all()
    assert got.status == 200, got.status
    return got.body


def failures(cluster):
    return json.loads(cluster.run(read(cluster, '/v1/failures')))['failures']


def logged(cluster):
    return [line for line in cluster.nodes[0].ctx.journal.lines if line['kind'] == 'request_failed']


@then(
    'the failures tell of it with status {status:d} and {count:d} attempts, each lost at a replica of its own'
)
def told_of(context, status, count):
    (row,) = failures(context.cluster)
    assert (row['request'], row['status'], row['path']) == (context.request_id, status, '/any/x'), row
    assert [a['code'] for a in row['attempts']] == ['lost'] * count, row
    assert len({a['replica'] for a in row['attempts']}) == count, row
    assert all(0 <= a['after_ms'] <= row['took_ms'] for a in row['attempts']), row


@then('the log has a line "request_failed" with its id')
def line_of_it(context):
    (line,) = logged(context.cluster)
    assert line['request'] == context.request_id and len(line['attempts']) == 2, line


@then('the failures tell of it with status {status:d} and {count:d} attempts, code "{code}"')
def told_with_code(context, status, count, code):
    (row,) = failures(context.cluster)
    assert (row['request'], row['status'], row['code']) == (context.request_id, status, code), row
    assert len(row['attempts']) == count and row['text'], row


@when('"{path}" is asked {count:d} times in a row')
def ask_in_a_row(context, path, count):
    for _ in range(count):
        make_request(context, path)


@then('{count:d} failures are kept, and {lines:d} line "request_failed" is logged')
def kept_and_logged(context, count, lines):
    rows = failures(context.cluster)
    assert len(rows) == count and len({row['request'] for row in rows}) == count, rows
    assert len(logged(context.cluster)) == lines, logged(context.cluster)


@then('its metrics have "{name}" at {count:d} and a lease of more than {seconds:d} seconds')
def has_metrics(context, name, count, seconds):
    lines = context.cluster.run(read(context.cluster, '/metrics')).decode().splitlines()
    assert f'quillstall_events_total{{event="{name}"}} {count}' in lines, lines
    lease = next(line for line in lines if line.startswith('quillstall_gauge{of="lease_s"}'))
    assert float(lease.rpartition(' ')[2]) > seconds, lease


@when("a store's disk stands still for {seconds:d} second in a deployment with traffic")
def disk_stands_still(context, seconds):
    async def script(town):
        await town.open()
        town.crowd.spawn(town.crowd.play(timedelta(seconds=4)))
        await town.sleep(1)
        machine = town.machines['store0']
        machine.hung = True
        await town.sleep(seconds)
        machine.hung = False
        await town.sleep(2)
        await town.crowd.idle()
        return list(machine.journal.lines)

    context.lines = play(5, 'cartalume', script)


@then('its journal has a line "sync_slow" of {least:d} ms or more, and no more than one a second')
def slow_sync_told(context, least):
    lines = [line for line in context.lines if line['kind'] == 'sync_slow']
    assert lines and max(line['ms'] for line in lines) >= least and len(lines) <= 4, lines
