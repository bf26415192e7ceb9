"""Steps on the failure log, the metrics and the journal of slow syncs."""

import json
from datetime import UTC, datetime, timedelta

from behave import given, then, when
from copies import simulated_town
from gateway import make_request
from immutables import Map
from standin import send_request

from quillstall.controlplane import doctor, store
from quillstall.replication import group
from quillstall.replication.copies import ReplicaSet
from quillstall.testbed.sim import World
from quillstall.testbed.town import play


async def fetch_admin_page(cluster, path):
    response = await (await send_request(cluster.address(1, 'ready'), 'GET', path, {})).read_all()
    assert response.status == 200, response.status
    return response.body


def recorded_failures(cluster):
    return json.loads(cluster.run(fetch_admin_page(cluster, '/v1/failures')))['failures']


def logged_failures(cluster):
    return [line for line in cluster.nodes[0].ctx.journal.lines if line['kind'] == 'request_failed']


@then(
    'the failure log has it with status {status:d} and {count:d} attempts, each lost at a different replica'
)
def recorded_with_attempts(context, status, count):
    (failure,) = recorded_failures(context.cluster)
    assert (failure['request'], failure['status'], failure['path']) == (
        context.request_id,
        status,
        '/any/x',
    ), failure
    assert [attempt['code'] for attempt in failure['attempts']] == ['lost'] * count, failure
    assert len({attempt['replica'] for attempt in failure['attempts']}) == count, failure
    assert all(0 <= attempt['after_ms'] <= failure['took_ms'] for attempt in failure['attempts']), failure


@then('the log has a line "request_failed" with its id')
def logged_with_id(context):
    (line,) = logged_failures(context.cluster)
    assert line['request'] == context.request_id and len(line['attempts']) == 2, line


@then('the failure log has it with status {status:d} and {count:d} attempts, code "{code}"')
def recorded_with_code(context, status, count, code):
    (failure,) = recorded_failures(context.cluster)
    assert (failure['request'], failure['status'], failure['code']) == (context.request_id, status, code), (
        failure
    )
    assert len(failure['attempts']) == count and failure['text'], failure


@when('"{path}" is asked {count:d} times in sequence')
def request_in_sequence(context, path, count):
    for _ in range(count):
        make_request(context, path)


@then('{count:d} failures are recorded, and {lines:d} line "request_failed" is logged')
def recorded_and_logged(context, count, lines):
    failures = recorded_failures(context.cluster)
    assert len(failures) == count and len({failure['request'] for failure in failures}) == count, failures
    assert len(logged_failures(context.cluster)) == lines, logged_failures(context.cluster)


@then('its metrics show "{name}" at {count:d} and a lease of more than {seconds:d} seconds')
def shows_metrics(context, name, count, seconds):
    lines = context.cluster.run(fetch_admin_page(context.cluster, '/metrics')).decode().splitlines()
    assert f'quillstall_events_total{{event="{name}"}} {count}' in lines, lines
    lease = next(line for line in lines if line.startswith('quillstall_gauge{of="lease_s"}'))
    assert float(lease.rpartition(' ')[2]) > seconds, lease


@when("a store's disk stalls for {seconds:d} second in a deployment with traffic")
def stall_disk(context, seconds):
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

    context.journal_lines = play(5, 'cartalume', script)


@then('its journal has a line "sync_slow" of {minimum:d} ms or more, and no more than one a second')
def slow_sync_logged(context, minimum):
    lines = [line for line in context.journal_lines if line['kind'] == 'sync_slow']
    assert lines and max(line['ms'] for line in lines) >= minimum and len(lines) <= 4, lines


SETTLE_S = 8  # until a simulated fleet has formed and its primary no longer counts as new
NOW = datetime(2026, 1, 1, tzinfo=UTC)
CORE_STATUS = {'generation': 1, 'members': {}, 'nodes': {}, 'parts': {}, 'plans': [], 'guests': {}}


@given('a store that has waited for its backup "{backup}" for {seconds:d} seconds')
def waiting_store(context, backup, seconds):
    copy = group.Copy('p00', ReplicaSet(1, 0, 's1', backup), has_all_rows=True)
    copies = group.State('s1', Map({'p00': copy}))
    since = Map({'p00': (1, NOW - timedelta(seconds=seconds))})
    context.store = store.Store('s1', 'a:1', 'z', 1, ('c:1',), copies, unserved_since=since)


@when('doctor reads the status of a core to which it reported that')
def doctor_reads_status(context):
    row = {
        'role': 'store',
        'silent_ms': 1,
        'lease': False,
        'stuck': store.stalled_partitions(context.store, NOW),
    }
    context.findings = doctor.diagnose_primary({**CORE_STATUS, 'nodes': {'s1': row}}, None)


@then('doctor warns of "{where}": "{problem}"')
def doctor_warns(context, where, problem):
    found = [
        finding for finding in context.findings if (finding.subject, finding.problem) == (where, problem)
    ]
    assert found, context.findings


@when('doctor reads the status of a simulated fleet with {cores:d} cores that shall bear {losses:d} losses')
def doctor_reads_fleet(context, cores, losses):
    async def main(world):
        town, _ = simulated_town(world, 'hipotecalc', 6, cores, losses)
        await town.open()
        await town.sleep(SETTLE_S)
        return await town.status()

    context.findings = doctor.diagnose_primary(World.play(7, main), None)


@then('doctor {tells} that the core has too few voters')
def doctor_tells_of_voters(context, tells):
    found = [f.problem for f in context.findings if f.subject == 'core' and 'voters' in f.problem]
    expected = ['has 3 voters; the losses that it shall bear need 5'] if tells == 'warns' else []
    assert found == expected, context.findings
