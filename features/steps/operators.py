"""Steps for operators' changes: the record of applied changes, isolated cores, linearizable histories."""

import asyncio
import random
from contextlib import ExitStack
from dataclasses import dataclass, replace
from datetime import UTC, datetime, timedelta
from unittest.mock import patch

import cbor2
from behave import given, then, when
from immutables import Map
from platform_folder import FIRST_CONFIG, document, rule

from quillstall.controlplane import core, core_table
from quillstall.replication.copies import Op, ReplicaSet
from quillstall.replication.group import apply_changes
from quillstall.runtime.effect import Ask, Heard, Return, Tick, Told, Write, Wrote
from quillstall.runtime.errors import Fault
from quillstall.testbed.history import History
from quillstall.testbed.linearizability import Call, Kind, Outcome, Verdict, check, findings

NOW = datetime(2026, 1, 1, tzinfo=UTC)
MAX_ANSWER_S = 0.8  # operators try another core after a second
FINAL_STATUSES = (200, 400, 404, 409, 412)
ISOLATION_S = 20
CORES = (0, 1, 2)


# ---- the checker of call histories


def change(base, version, start, end, outcome=Outcome.TAKEN):
    return Call(Kind.CHANGE, base, version, start, end, outcome)


def read(version, start, end):
    return Call(Kind.READ, None, version, start, end, Outcome.TAKEN)


HISTORIES = {
    'changes and reads one after another': [
        change(0, 5, 0, 1),
        read(5, 2, 3),
        change(5, 7, 4, 5),
        read(7, 6, 7),
    ],
    'a change of unknown outcome is seen later': [
        change(0, 5, 0, 1, Outcome.UNKNOWN),
        read(0, 2, 3),
        read(5, 8, 9),
    ],
    'a change of unknown outcome is never seen': [
        change(0, 5, 0, 1, Outcome.UNKNOWN),
        change(0, 6, 2, 3),
        read(6, 8, 9),
    ],
    'a read concurrent with a change is stale': [change(0, 5, 0, 4), read(5, 1, 2), read(5, 2.5, 3)],
    'a conflict concurrent with the winner': [
        change(0, 5, 0, 4, Outcome.CONFLICT),
        change(0, 6, 1, 5),
        read(6, 6, 7),
    ],
    'of two unknown outcomes the later is seen': [
        change(0, 5, 0, 1, Outcome.UNKNOWN),
        change(5, 7, 2, 3, Outcome.UNKNOWN),
        read(7, 4, 5),
    ],
    'an invalid change is refused': [change(0, 5, 0, 1), change(5, 4, 2, 3, Outcome.INVALID), read(5, 4, 5)],
    'two changes on one base are acknowledged': [change(0, 5, 0, 4), change(0, 6, 1, 5)],
    'a refused change is seen': [
        change(0, 5, 0, 1),
        change(5, 7, 2, 3, Outcome.CONFLICT),
        read(7, 4, 5),
    ],
    'a read after a change is stale': [change(0, 5, 0, 1), read(0, 2, 3)],
    'a later read returns an older version': [change(0, 5, 0, 9), read(5, 1, 2), read(0, 3, 4)],
    'an acknowledged change is lost': [change(0, 5, 0, 1), change(0, 6, 2, 3)],
    'a conflict on the current version': [change(0, 5, 0, 1), change(5, 7, 2, 3, Outcome.CONFLICT)],
    'a change is seen before it is sent': [read(5, 0, 1), change(0, 5, 2, 3)],
    'a change of unknown outcome vanishes again': [
        change(0, 5, 0, 1, Outcome.UNKNOWN),
        read(5, 2, 3),
        change(0, 6, 4, 5),
    ],
}


@given('the history "{name}"')
def named_history(context, name):
    context.calls = HISTORIES[name]


def assert_verdict(calls, verdict, **options):
    result = check(calls, **options)
    assert result.verdict.value == verdict, (result, calls[-3:])
    assert (not findings(calls, **options)) == (verdict == 'linearizable')


@then('it is found {verdict}')
def found(context, verdict):
    assert_verdict(context.calls, verdict)


@given('a history of {count:d} calls, every fifth of unknown outcome')
def long_history(context, count):
    rng = random.Random(3)
    calls, current = [], 0
    for n in range(count):
        start = n / 10
        base, version = current, current + rng.randint(1, 4)
        if n % 5 == 0:
            takes_effect = rng.random() < 0.5
            calls.append(change(base, version, start, start + 0.3, Outcome.UNKNOWN))
            current = version if takes_effect else current
        elif n % 5 == 1:
            calls.append(read(current, start, start + 0.04))
        elif n % 5 == 2:
            calls.append(change(base - 1, version, start, start + 0.2, Outcome.CONFLICT))
        else:
            calls.append(change(base, version, start, start + rng.uniform(0.05, 0.09)))
            current = version
    context.calls = calls


@then('with one stale read in it, it is found not linearizable')
def stale_read(context):
    position = len(context.calls) * 5 // 6 + 1
    while context.calls[position].kind is not Kind.READ:
        position += 1
    stale = max(c.version for c in context.calls[: position - 10] if c.kind is Kind.READ)
    context.calls[position] = replace(context.calls[position], version=stale)
    assert_verdict(context.calls, 'not linearizable')


@given(
    'a history of {count:d} changes of unknown outcome without a base, and a read of a version that none wrote'
)
def hard_history(context, count):
    changes = [change(None, n, n / 100, 9, Outcome.UNKNOWN) for n in range(1, count + 1)]
    context.calls = changes + [read(10**6, 10, 11)]


@then('within {steps:d} steps it is found undecided, which counts as a finding')
def undecided(context, steps):
    assert_verdict(context.calls, Verdict.UNDECIDED.value, max_steps=steps)


# ---- the record of applied changes


BODY = {'classes': {}, 'routes': {}, 'pools': {}}


@dataclass(frozen=True)
class NumberedChange:
    """A numbered change, as it is sent to the core table."""

    number: int
    base: int

    def command(self):
        return {
            'op': 'apply',
            'numbered': True,
            'id': f'{self.number:032x}',
            'base': self.base,
            'body': {**BODY, 'version': self.number},
            'source': {'revision': self.number},
        }


def apply_change(rows, change):
    """Return the table after a change, the answer, and the changes of rows."""
    row_changes, answer = core_table.apply(rows, change.command(), NOW)
    return apply_changes(rows, row_changes), answer, row_changes


def numbered_changes(count):
    """Return changes whose numbers rise in uneven steps, each based on the one before it."""
    changes, base = [], 0
    for n in range(count):
        number = base + 2 + n % 3
        changes.append(NumberedChange(number, base))
        base = number
    return changes


@given('a table that has applied {count:d} changes')
def table(context, count):
    rows, context.changes, context.answers, context.written = Map(), numbered_changes(count), {}, {}
    for n, change in enumerate(context.changes):
        rows, answer, row_changes = apply_change(rows, change)
        context.answers[change] = answer
        context.written[n] = len(cbor2.dumps([list(c) for c in row_changes]))
    context.rows = rows


@given('a table that has applied {count:d} changes in the former format of the record')
def table_in_former_format(context, count):
    context.execute_steps(f'Given a table that has applied {count + 60} changes')
    rows = Map({k: v for k, v in context.rows.items() if not k.startswith('request')})
    context.dropped, context.changes = context.changes[:60], context.changes[60:]
    legacy_rows = [[change.command()['id'], context.answers[change]] for change in context.changes]
    context.rows = rows.set('asks', legacy_rows)


def retry(rows, change):
    """Return what a retried change gets: ('applied', answer) or ('refused', code)."""
    try:
        rows_after, answer, _ = apply_change(rows, change)
    except Fault as e:
        return 'refused', e.code
    assert rows_after == rows, 'it changed the table'
    return 'applied', answer


@then('each of them sent again gets its first answer and changes nothing')
def first_answers(context):
    for change in context.changes:
        assert retry(context.rows, change) == ('applied', context.answers[change]), change


@then('each of them sent again gets its first answer or an unknown outcome, and changes nothing')
def first_answers_or_unknown(context):
    unknown = 0
    for change in context.changes:
        kind, result = retry(context.rows, change)
        if kind == 'refused':
            unknown += 1
            assert result == 'outcome_unknown', (change, result)
        else:
            assert result == context.answers[change], (change, result)
    assert 0 < unknown <= len(context.changes) - 4000, unknown


@then('a change that was never applied is refused as a conflict')
def never_applied(context):
    last = context.changes[-1]
    assert retry(context.rows, NumberedChange(last.number + 5, last.base)) == ('refused', 'conflict')
    assert retry(context.rows, NumberedChange(last.number + 5, 0)) == ('refused', 'conflict')


@then('the last change wrote as many bytes as the 10th, give or take 20')
def same_bytes(context):
    last = len(context.changes) - 1
    assert abs(context.written[last] - context.written[9]) <= 20, (context.written[9], context.written[last])


@then('it keeps at most {count:d} records')
def record_bounded(context, count):
    recorded = sum(1 for key in context.rows if key.startswith('request/'))
    assert 4000 < recorded <= count, recorded


@then('one that the former format had dropped gets an unknown outcome')
def dropped(context):
    for change in context.dropped:
        assert retry(context.rows, change) == ('refused', 'outcome_unknown'), change


@then('after one more change the former format is gone and each still gets its first answer')
def migrated(context):
    last = context.changes[-1]
    rows, _, _ = apply_change(context.rows, NumberedChange(last.number + 1, last.number))
    assert 'asks' not in rows
    for change in context.changes:
        assert retry(rows, change) == ('applied', context.answers[change]), change
    dropped(context)


# ---- operators that retry as the platform requires


@dataclass(frozen=True)
class Attempt:
    """One attempt at a request, and its result."""

    core: int
    method: str
    path: str
    start: float
    seconds: float
    status: int  # 0: a timeout or a broken connection


class Client:
    """An operator that retries at another core after a 5xx or a timeout of a second, with exponential backoff."""

    def __init__(self, admin_api, history, rng):
        self.admin_api = admin_api
        self.history = history
        self.rng = rng
        self.attempts = []

    def seconds(self):
        return asyncio.get_running_loop().time()

    async def attempt(self, method, path, body=None, match=None, core=0, timeout=1.0):
        """Send a request once; return its status and body, or 0 after a timeout."""
        start = self.seconds()
        status, answer = 0, None
        if self.admin_api.town.machines[f'core{core}'].up:
            task = asyncio.ensure_future(self.admin_api.request(method, path, body, match, core))
            done, _ = await asyncio.wait((task,), timeout=timeout)
            if done and not task.cancelled():  # otherwise its core was killed
                status, answer = task.result().status, task.result().body
            task.cancel()
        self.attempts.append(Attempt(core, method, path, start, self.seconds() - start, status))
        return status, answer

    async def request(self, method, path, body=None, match=None, core=None, give_up_after=12.0):
        """Retry a request until it has a definite answer; return its status and body, 0 if it never had one."""
        core = self.rng.choice(CORES) if core is None else core
        until = self.seconds() + give_up_after
        pause = 0.05
        while self.seconds() < until:
            status, answer = await self.attempt(method, path, body, match, core)
            if status in FINAL_STATUSES:
                return status, answer
            await asyncio.sleep(pause)
            pause = min(1.0, pause * 1.7)
            core = self.rng.choice([c for c in CORES if c != core])
        return 0, None

    async def read(self):
        """Read the configuration and record the marker that it shows; return None if it never came."""
        ticket = self.history.begin_read()
        status, configuration = await self.request('GET', '/config')
        if status != 200:
            return None
        self.history.end_read(ticket, configuration['marker'])
        return configuration

    async def change(self, current, revision, marker, method='PUT', core=None):
        """Change a configuration that was read; return the status."""
        base = current['revision']
        body = (
            marked(revision, marker)
            if method == 'PUT'
            else {'revision': revision, 'marker': marker, 'upserts': {'routing_rules': [rule('r3', '/c/')]}}
        )
        ticket = self.history.begin_change(current['marker'], marker)
        status, _ = await self.request(method, '/config', body, base, core)
        if status:
            outcome = {200: Outcome.TAKEN, 412: Outcome.CONFLICT}.get(status, Outcome.INVALID)
            self.history.end(ticket, outcome)
        return status


def marked(revision, marker):
    """Return a configuration with a marker, which tells it from another one of the same revision."""
    return {**document(revision), 'marker': marker}


FIRST_MARKED = marked(5, 500)


async def client_with_first(admin_api, seed=1):
    """Return a client whose first configuration is in force."""
    history = History(asyncio.get_running_loop().time)
    client = Client(admin_api, history, random.Random(seed))
    ticket = history.begin_change(0, FIRST_MARKED['marker'])
    status, answer = await client.request('PUT', '/config', FIRST_MARKED, 0)
    assert status == 200, answer
    history.end(ticket, Outcome.TAKEN)
    return client


async def primary_core(deployment):
    """Return the name of the core that is primary now."""
    for _ in range(100):
        status = await deployment.status()
        if status.get('me'):
            return status['me'].rpartition('-')[0]
        await deployment.sleep(0.1)
    raise AssertionError('no core is primary')


@then('the whole history is linearizable')
def history_linearizable(context):
    assert context.history.findings() == [], context.history.findings()


@then('the whole history is not linearizable')
def history_not_linearizable(context):
    assert context.history.findings(), 'nothing was found'


# ---- the record, in a simulated deployment


@when('{count:d} changes follow the first, every core is killed, and later the primary loses its disk')
def many_changes(context, count):
    async def script(admin_api):
        deployment = admin_api.town
        context.retry_statuses = []
        assert (await admin_api.put(FIRST_CONFIG, 0)).status == 200
        bodies = [{'revision': 6 + n, 'marker': n} for n in range(count)]
        for body in bodies:
            response = await admin_api.patch(body, body['revision'] - 1)
            assert response.status == 200, (body, response.status, response.body)

        async def send_again():
            for index in CORES:
                context.retry_statuses.append((await admin_api.put(FIRST_CONFIG, 0, index)).status)
                context.retry_statuses.append(
                    (await admin_api.patch(bodies[9], bodies[9]['revision'] - 1, index)).status
                )
            context.shown = (await admin_api.show()).get('marker')

        await send_again()
        for index in CORES:
            deployment.world.kill(deployment.machines[f'core{index}'])
        await deployment.sleep(1)
        for index in CORES:
            deployment.start(f'core{index}')
        await deployment.sleep(8)
        await send_again()
        name = await primary_core(deployment)
        deployment.world.kill(deployment.machines[name])
        deployment.world.wipe(deployment.machines[name])
        await deployment.sleep(4)
        deployment.start(name)
        await deployment.sleep(12)
        await send_again()
        context.last = bodies[-1]['marker']

    context.play(script)


@then('the first and the tenth sent again are acknowledged at every core after each of these')
def acknowledged_everywhere(context):
    assert context.retry_statuses == [200] * 18, context.retry_statuses


@then('the last configuration stays in force')
def last_in_force(context):
    assert context.shown == context.last, (context.shown, context.last)


# ---- an isolated core


@when(
    "the core's primary is isolated for 20 seconds, {direction}, and every operator request is sent to every core"
)
def isolate(context, direction):
    async def script(admin_api):
        deployment = admin_api.town
        client = await client_with_first(admin_api)
        context.history = client.history
        name = await primary_core(deployment)
        for other in list(deployment.machines):
            if other not in (name, 'operator', 'crowd'):
                if direction in ('in both directions', 'outbound only'):
                    deployment.world.cut(name, other, False)
                if direction in ('in both directions', 'inbound only'):
                    deployment.world.cut(other, name, False)
        start = client.seconds()
        deployment.add('store10', 'store', deployment.startups['store0']['zone'], '10.0.2.110')
        if direction in ('in both directions', 'outbound only'):
            deployment.world.cut(name, 'store10', False)
        if direction in ('in both directions', 'inbound only'):
            deployment.world.cut('store10', name, False)
        requests = [
            ('GET', '/config', None, None),
            ('PUT', '/config', marked(9, 900), 3),
            ('PUT', '/config', FIRST_MARKED, 0),
            ('PATCH', '/config', {'revision': 4, 'marker': 1}, 5),
            ('GET', '/retire/store0', None, None),
            ('GET', '/retire/store10', None, None),
            ('POST', '/retire/store10', {'deadline_s': 10}, None),
        ]
        background = asyncio.ensure_future(change_until(client, start + ISOLATION_S))
        while client.seconds() < start + ISOLATION_S:
            await asyncio.gather(
                *(
                    client.attempt(*request, core=index, timeout=10.0)
                    for request in requests
                    for index in CORES
                )
            )
            await asyncio.sleep(0.3)
        await background
        context.isolation = (int(name[-1]), start, client.seconds())
        context.attempts = list(client.attempts)
        deployment.world.heal()
        await deployment.sleep(5)
        await client.read()
        await client.read()

    context.play(script)


async def change_until(client, until):
    """Send one change after another until a time."""
    marker = 1000
    while client.seconds() < until:
        current = await client.read()
        if current:
            marker += 1
            await client.change(current, current['revision'] + 2, marker)
        await asyncio.sleep(0.2)


@then('every request got an answer or an unknown outcome within {limit:g} seconds')
def answered_in_time(context, limit):
    slow = [a for a in context.attempts if a.seconds > limit]
    assert not slow, (len(slow), len(context.attempts), slow[:6])


@then('the isolated core answered none from its last known state')
def no_stale_answers(context):
    core, start, end = context.isolation
    sent = [a for a in context.attempts if a.core == core and start <= a.start < end]
    assert len(sent) > 100, len(sent)
    definite = [a for a in sent if 0 < a.status < 500]
    assert not definite, (len(definite), len(sent), definite[:6])


@when("the core's primary is killed, and the retirement of a store is requested throughout")
def retire_at_takeover(context):
    async def script(admin_api):
        deployment = admin_api.town
        client = await client_with_first(admin_api)
        name = await primary_core(deployment)
        deployment.world.kill(deployment.machines[name])
        until = client.seconds() + 12
        while client.seconds() < until:
            for index in CORES:
                await client.attempt('POST', '/retire/store0', {'deadline_s': 10}, core=index)
            await asyncio.sleep(0.05)
        context.attempts = [a for a in client.attempts if a.method == 'POST']

    context.play(script)


@then('the retirement was never refused')
def never_refused(context):
    refused = [a for a in context.attempts if 400 <= a.status < 500]
    assert not refused, (len(refused), refused[:4])
    assert any(a.status == 200 for a in context.attempts), 'it was never accepted either'


@when('a routing node freezes, and a change is retried until it has a definite answer')
def slow_change(context):
    async def script(admin_api):
        deployment = admin_api.town
        client = await client_with_first(admin_api)
        current = await client.read()
        deployment.world.freeze(deployment.machines[deployment.named('route')[0]])
        client.attempts.clear()
        start = client.seconds()
        status = await client.change(current, 7, 700)
        context.slow_result = (status, client.seconds() - start, list(client.attempts))

    context.play(script)


@then('it was acknowledged within {max_total:g} seconds, with no attempt longer than {limit:g} seconds')
def acknowledged_in_time(context, max_total, limit):
    status, seconds, attempts = context.slow_result
    assert status == 200 and seconds <= max_total, (status, seconds, attempts)
    assert len(attempts) > 1, 'it did not take long'
    assert all(a.seconds <= limit for a in attempts), attempts


# ---- concurrent changes, and primaries that fail


async def kill_primary(deployment, rng):
    """Kill the primary within milliseconds of a change's arrival, and restart it."""
    name = await primary_core(deployment)
    await deployment.sleep(rng.uniform(0.0, 0.012))
    deployment.world.kill(deployment.machines[name])
    await deployment.sleep(rng.uniform(0.3, 3))
    deployment.start(name)


async def isolate_primary(deployment, rng):
    """Isolate the primary for some seconds, in one direction or both."""
    name = await primary_core(deployment)
    await deployment.sleep(rng.uniform(0.0, 0.012))
    direction = rng.choice(('out', 'in', 'both'))
    for other in list(deployment.machines):
        if other not in (name, 'operator', 'crowd'):
            if direction != 'in':
                deployment.world.cut(name, other, False)
            if direction != 'out':
                deployment.world.cut(other, name, False)
    await deployment.sleep(rng.uniform(1, 6))
    deployment.world.heal()


async def freeze_primary(deployment, rng):
    """Freeze the primary for some seconds."""
    name = await primary_core(deployment)
    await deployment.sleep(rng.uniform(0.0, 0.012))
    deployment.world.freeze(deployment.machines[name])
    await deployment.sleep(rng.uniform(0.5, 5))
    deployment.world.thaw(deployment.machines[name])


FAULTS = {
    'is killed between write and answer': kill_primary,
    'is isolated': isolate_primary,
    'freezes': freeze_primary,
}
ROUNDS = 14


@given('a core that records no requests')
def recording_nothing(context):
    context.stack = ExitStack()
    context.add_cleanup(context.stack.close)
    context.stack.enter_context(
        patch.object(core_table.requests, 'record', lambda rows, request, outcome: ())
    )


@when('operators send 8 changes at a time while the primary {fault}, seed {seed:d}')
def concurrent_changes(context, fault, seed):
    async def script(admin_api):
        deployment = admin_api.town
        client = await client_with_first(admin_api, seed)
        context.history = client.history
        marker = 1000
        for _ in range(ROUNDS):
            current = await client.read()
            if current is None:
                continue
            changes = []
            for n in range(8):
                marker += 1
                revision = current['revision'] + 1 + n // 2  # each revision is used by two of them
                method = 'PATCH' if n % 3 == 0 else 'PUT'
                changes.append(client.change(current, revision, marker, method, n % 3))
            failure = asyncio.ensure_future(FAULTS[fault](deployment, client.rng))
            await asyncio.gather(client.read(), *changes)
            await failure
        await deployment.sleep(6)
        for _ in CORES:
            await client.read()
        context.fault = fault

    context.play(script)


@then('at least {count:d} changes were acknowledged')
def enough_acknowledged(context, count):
    acknowledged = [c for c in context.history.calls if c.kind is Kind.CHANGE and c.outcome is Outcome.TAKEN]
    assert len(acknowledged) >= count, len(acknowledged)


@when('20 times two operators send one revision with different bodies at two cores at once, and retry both')
def one_revision(context):
    async def script(admin_api):
        client = await client_with_first(admin_api)
        context.pairs = []
        for n in range(20):
            base = 5 + 2 * n
            bodies = [marked(base + 2, 1000 + 2 * n + i) for i in (0, 1)]
            first = await asyncio.gather(
                *(client.request('PUT', '/config', body, base, index) for index, body in enumerate(bodies))
            )
            retried = await asyncio.gather(
                *(
                    client.request('PUT', '/config', body, base, 2 - index)
                    for index, body in enumerate(bodies)
                )
            )
            context.pairs.append([[status for status, _ in attempts] for attempts in (first, retried)])

    context.play(script)


@then('each time one is acknowledged at both attempts, and the other is refused at both')
def one_of_two(context):
    for first, retried in context.pairs:
        assert sorted(first) == [200, 412] and first == retried, context.pairs


@when('a patch whose answer is lost is retried after two more changes')
def retry_patch(context):
    async def script(admin_api):
        deployment = admin_api.town
        await client_with_first(admin_api)
        body = {'revision': 6, 'marker': 600, 'removals': {'routing_rules': ['r2']}}
        lost = asyncio.ensure_future(admin_api.patch(body, 5, 1))
        for _ in range(400):  # until it has been applied; its answer is never read
            if (await admin_api.show()).get('marker') == 600:
                break
            await deployment.sleep(0.02)
        assert (await admin_api.put(marked(8, 800), 6)).status == 200
        assert (await admin_api.patch({'revision': 9, 'marker': 900}, 8)).status == 200
        never_sent = {**body, 'marker': 601}
        context.patch_statuses = [
            (await admin_api.patch(b, 5, index)).status for b in (body, never_sent) for index in CORES
        ]
        lost.cancel()

    context.play(script)


@then('it is acknowledged, and a patch that was never applied is refused')
def applied_patch_acknowledged(context):
    assert context.patch_statuses == [200] * 3 + [412] * 3, context.patch_statuses


# ---- reads concurrent with uncommitted changes


class PrimaryCore:
    """The reducer of a primary core, with a backup that confirms a batch only when told to."""

    def __init__(self):
        startup = {'address': '10.0.0.1:1', 'zone': 'z1', 'seeds': ['10.0.0.1:1']}
        self.now = NOW
        self.state = core.load('c1', startup, {}, 1, NOW)
        voters = (('c1', '10.0.0.1:1'), ('c2', '10.0.0.2:1'), ('c3', '10.0.0.3:1'))
        replica_set = ReplicaSet(1, 0, 'c1', 'c2')
        fleet = {'id': 'f', 'witnesses': voters, 'epoch': 1, 'seat': list(replica_set)}
        self.state = self.state._replace(fleet=fleet)
        self.replies, self.batches, self.hello = {}, [], None
        self.event(Told('learn', {'k': 'fleet', 'fleet': {**fleet, 'epoch': 2}, 'seat': list(replica_set)}))
        self.send_read('a routing node', 'known')  # its address is written to the table first
        while self.batches:
            self.confirm()

    def event(self, event):
        """Handle an event, sync its writes at once, and collect the batches that are sent to the backup."""
        self.now += timedelta(milliseconds=10)
        self.state, effects = core.step(self.state, event, self.now)
        for effect in effects:
            if type(effect) is Return:
                self.replies[effect.call] = effect.reply
            elif type(effect) is Write:
                self.event(Wrote(effect.tag))
            elif type(effect) is Ask and effect.message['k'] == 'hello':
                self.event(Heard(effect.tag, {'ok': True, 'seq': effect.message['seq'], 'tail': []}))
            elif type(effect) is Ask and effect.message['k'] == 'frame':
                self.batches.append(effect)
            elif type(effect) is Ask and effect.message['k'] == 'greet':
                self.hello = effect.message

    def confirm(self):
        """Let the backup confirm the oldest batch."""
        self.event(Heard(self.batches.pop(0).tag, {'ok': True}))

    def send_read(self, reader, call):
        """Send the request of an operator or a routing node; `call` names its reply."""
        self.event(Told(call, READS[reader]))


REGISTER_UPDATE = {'op': 'enrol', 'base': 0, 'now': {'s1': '10.0.4.1:1'}, 'old': {}}
POLL = {'k': 'poll', 'node': 'n1', 'role': 'route', 'address': '10.0.3.1:1', 'zone': 'z1', 'inc': 1}
READS = {
    'an operator': {'k': 'show'},
    'a routing node': {**POLL, 'generation': 0, 'place': -1},
}
CHANGE = {'k': 'apply', 'id': 'x', 'numbered': True, 'base': 0, 'body': {**BODY, 'version': 5}, 'source': {}}


@given('a primary core whose backup confirms one batch at a time')
def primary_with_backup(context):
    context.primary = PrimaryCore()


@when('{reader} sends a read, a change follows it, and the backup confirms the first batch only')
def change_follows(context, reader):
    context.reader = reader
    context.primary.send_read(reader, 'first')
    assert len(context.primary.batches) == 1, context.primary.batches
    context.primary.event(Told('change', CHANGE))
    context.primary.confirm()


@then('the answer contains nothing of the change')
def change_not_in_answer(context):
    answer = context.primary.replies['first']
    assert answer['ok'] and answer['generation'] == 0 and not answer.get('policy'), answer
    assert 'change' not in context.primary.replies


@then('once the backup has confirmed the second batch, another answer contains it')
def change_in_next_answer(context):
    context.primary.send_read(context.reader, 'second')
    while context.primary.batches:
        context.primary.confirm()
    answer = context.primary.replies['second']
    assert answer['generation'] == 1 and answer['policy']['version'] == 5, answer


@when(
    'a routing node sends a poll, an update of the register follows it, and the backup confirms the first batch only'
)
def register_update_follows(context):
    primary = context.primary
    primary.send_read('a routing node', 'first')
    primary.state, effects = step_command(primary, REGISTER_UPDATE)
    assert not effects, effects
    primary.confirm()


def step_command(primary, command):
    """Submit a command of the core itself to its replica set; return the state and the effects."""
    effects = []
    state = core.step_replication(primary.state, Op('core', ('c', 'none'), command), primary.now, effects)
    return state, effects


def next_hello(primary):
    """Return the hello that the core sends to a silent process now."""
    primary.now += timedelta(seconds=3)
    primary.event(Tick())
    return primary.hello


@then('a hello names no register of stores')
def register_not_in_hello(context):
    assert context.primary.batches, 'the register update is already committed'
    assert next_hello(context.primary)['register']['number'] == 0, context.primary.hello


@then('once the backup has confirmed the second batch, a hello after another poll names it')
def register_in_next_hello(context):
    primary = context.primary
    primary.send_read('a routing node', 'second')
    while primary.batches:
        primary.confirm()
    assert next_hello(primary)['register']['now'] == REGISTER_UPDATE['now'], primary.hello
