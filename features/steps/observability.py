"""Steps that look at what is to be had of a failed request afterwards."""

import json
from datetime import timedelta

from behave import then, when
from gateway import asked
from standin import send

from quillstall.testbed.town import play


async def read(story, path):
    got = await (await send(story.address(1, 'ready'), 'GET', path, {})).rest()
    assert got.status == 200, got.status
    return got.body


def failures(story):
    return json.loads(story.run(read(story, '/v1/failures')))['failures']


def logged(story):
    return [line for line in story.nodes[0].ctx.journal.lines if line['kind'] == 'request_failed']


@then(
    'the failures tell of it with status {status:d} and {count:d} attempts, each lost at a replica of its own'
)
def told_of(context, status, count):
    (row,) = failures(context.story)
    assert (row['request'], row['status'], row['path']) == (context.ident, status, '/any/x'), row
    assert [a['code'] for a in row['attempts']] == ['lost'] * count, row
    assert len({a['replica'] for a in row['attempts']}) == count, row
    assert all(0 <= a['after_ms'] <= row['took_ms'] for a in row['attempts']), row


@then('the log has a line "request_failed" with its id')
def line_of_it(context):
    (line,) = logged(context.story)
    assert line['request'] == context.ident and len(line['attempts']) == 2, line


@then('the failures tell of it with status {status:d} and {count:d} attempts, code "{code}"')
def told_with_code(context, status, count, code):
    (row,) = failures(context.story)
    assert (row['request'], row['status'], row['code']) == (context.ident, status, code), row
    assert len(row['attempts']) == count and row['text'], row


@when('"{path}" is asked {count:d} times in a row')
def ask_in_a_row(context, path, count):
    for _ in range(count):
        asked(context, path)


@then('{count:d} failures are kept, and {lines:d} line "request_failed" is logged')
def kept_and_logged(context, count, lines):
    rows = failures(context.story)
    assert len(rows) == count and len({row['request'] for row in rows}) == count, rows
    assert len(logged(context.story)) == lines, logged(context.story)


@then('its metrics have "{name}" at {count:d} and a lease of more than {seconds:d} seconds')
def has_metrics(context, name, count, seconds):
    lines = context.story.run(read(context.story, '/metrics')).decode().splitlines()
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
