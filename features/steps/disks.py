"""Steps on disks that accept no writes, corrupt files, and members that were down for long."""

import asyncio
import json
import os
import shutil
import sqlite3
import subprocess
import sys
import tempfile
import time
from datetime import UTC, datetime, timedelta
from types import SimpleNamespace
from unittest.mock import patch

from behave import given, then, when
from common import fault_code, lone_core_settings

from quillstall.controlplane import store
from quillstall.replication.register import QuorumRecord
from quillstall.runtime.clock import SystemClock
from quillstall.runtime.disk import CORRUPT_SUFFIX, DATABASE_FILE, CorruptFile, Put, SqliteDisk
from quillstall.runtime.effect import Heard, Tick, Write, Wrote
from quillstall.runtime.errors import Fault
from quillstall.runtime.journal import Journal
from quillstall.runtime.process import Context, ReducerRunner
from quillstall.testbed.town import play

TRIAL_WRITE = Write((Put('', 'trial', 1),), ('none',))
FIRST_ROW = {'p': {'first': 1}}


def sqlite_error(code, text):
    """Return an error as the sqlite3 module raises it."""
    error = sqlite3.OperationalError(text)
    error.sqlite_errorcode = code
    return error


class FailingCommits:
    """A connection whose next commits fail as after a failed sync: none of their rows counts as written."""

    def __init__(self, base, failures):
        self.base = base
        self.failures = failures
        self.inserts = 0

    @property
    def in_transaction(self):
        return self.base.in_transaction

    def execute(self, statement, *parameters):
        self.inserts += statement.startswith('insert')
        if statement == 'commit' and self.failures:
            self.failures -= 1
            raise sqlite_error(sqlite3.SQLITE_IOERR | 4 << 8, 'disk I/O error')
        return self.base.execute(statement, *parameters)

    def close(self):
        self.base.close()


def make_data_folder(context):
    context.folder = tempfile.mkdtemp()
    context.add_cleanup(shutil.rmtree, context.folder)
    return context.folder


async def read_rows(folder):
    disk = SqliteDisk(folder)
    rows = await disk.open()
    await disk.close()
    return rows


@given('a data folder with one synced row')
def folder_with_one_row(context):
    async def script():
        disk = SqliteDisk(make_data_folder(context))
        await disk.open()
        await disk.write((Put('p', 'first', 1),))
        await disk.close()

    asyncio.run(script())


@when('its database may not grow and three batches are written, the first one too large')
def write_without_room(context):
    context.loop = asyncio.new_event_loop()
    context.add_cleanup(context.loop.close)
    context.completed = []

    async def script():
        disk = context.disk = SqliteDisk(context.folder)
        await disk.open()
        pages = disk.connection.execute('pragma page_count').fetchone()[0]
        disk.connection.execute(f'pragma max_page_count={pages}')

        async def write(number, *puts):
            await disk.write(puts)
            context.completed.append(number)

        batches = ((Put('p', 'large', 'x' * 100_000),), (Put('p', 'k', 1),), (Put('p', 'k', 2),))
        context.writes = [asyncio.ensure_future(write(n, *puts)) for n, puts in enumerate(batches)]
        await asyncio.sleep(0)

    context.loop.run_until_complete(script())


@then('none of them completes within 1 second')
def none_completed(context):
    context.loop.run_until_complete(asyncio.sleep(1))
    assert context.completed == [] and context.disk.retries >= 2, (context.completed, context.disk.retries)


@when('its database may grow again')
def allow_growth(context):
    context.disk.connection.execute('pragma max_page_count=1000000')


@then('they complete in the order in which they were issued, and a restart finds all of their rows')
def completed_in_order(context):
    async def script():
        await asyncio.wait_for(asyncio.gather(*context.writes), 5)
        await context.disk.close()
        return await read_rows(context.folder)

    rows = context.loop.run_until_complete(script())
    assert context.completed == [0, 1, 2], context.completed
    assert rows == {'p': {'first': 1, 'large': 'x' * 100_000, 'k': 2}}


@when('the next {failures:d} commits fail as after a failed sync, and a batch of {count:d} rows is written')
def write_with_failed_commits(context, failures, count):
    async def script():
        disk = SqliteDisk(context.folder)
        await disk.open()
        disk.connection = context.failing_commits = FailingCommits(disk.connection, failures)
        await disk.write(tuple(Put('p', f'k{n}', n) for n in range(count)))
        await disk.close()
        context.rows = await read_rows(context.folder)

    asyncio.run(script())


@then('its {count:d} rows were written {times:d} times, and a restart finds all of them')
def rows_written_repeatedly(context, count, times):
    assert context.failing_commits.inserts == count * times, context.failing_commits.inserts
    assert context.rows == {'p': {'first': 1, **{f'k{n}': n for n in range(count)}}}, context.rows


@when('a batch that cannot be encoded is written between two others')
def write_unencodable_batch(context):
    async def script():
        disk = SqliteDisk(context.folder)
        await disk.open()
        context.codes = [
            await fault_code(asyncio.wait_for(disk.write((Put('p', key, value),)), 5))
            for key, value in (('before', 1), ('cut', '\ud83d'), ('after', 1), ('later', 2))
        ]
        await disk.close()
        context.rows = await read_rows(context.folder)

    asyncio.run(script())


@then('the batches fail from that one on, and a restart finds the rows before it')
def failed_from_there(context):
    assert context.codes == [None, 'disk', 'disk', 'disk'], context.codes
    assert context.rows == {'p': {'first': 1, 'before': 1}}, context.rows


@given('a control-plane process with a data folder')
def process_with_data_folder(context):
    make_data_folder(context)


def run_process(context, act):
    """Run a process whose reducer returns the effects of the message that it is given, and perform `act` on it."""

    async def script():
        settings = {'name': 'c', 'role': 'core', 'address': '127.0.0.1:1'}
        clock, disk = SystemClock(), SqliteDisk(context.folder)
        await disk.open()
        ctx = Context(settings, clock, None, disk, None, Journal('c', clock), None)
        runner = ReducerRunner(
            ctx,
            SimpleNamespace(me='c'),
            lambda state, event, now: (state, getattr(event, 'effects', ())),
            None,
        )
        run = asyncio.ensure_future(runner.run())
        await asyncio.sleep(0)
        act(runner)
        try:
            await asyncio.wait_for(run, 5)
        except Exception as e:
            context.error = e
        await disk.close()

    asyncio.run(script())


@when('it writes a row that cannot be encoded')
def process_writes_unencodable_row(context):
    context.expected_error = Fault
    effects = (Write((Put('p', 'cut', '\ud83d'),), ('none',)),)
    run_process(context, lambda runner: runner.queue.put_nowait(SimpleNamespace(effects=effects)))


@when('one of its tasks fails')
def process_task_fails(context):
    context.expected_error = RuntimeError

    async def fail():
        raise RuntimeError('trial')

    run_process(context, lambda runner: runner.spawn(fail()))


@then('the process ends with the error')
def process_ended(context):
    assert isinstance(context.error, context.expected_error), context.error


@when('it is opened while its disk has no room for the first {failures:d} attempts')
def open_without_room(context, failures):
    read_database, attempts = SqliteDisk._read, []

    def read(self):
        attempts.append(self)
        if len(attempts) <= failures:
            raise sqlite_error(sqlite3.SQLITE_FULL, 'database or disk is full')
        return read_database(self)

    with patch.object(SqliteDisk, '_read', read):
        context.rows = asyncio.run(read_rows(context.folder))
    context.attempts = len(attempts)


@then('it opens at the fourth attempt and its row is there')
def opened_at_fourth_attempt(context):
    assert (context.attempts, context.rows) == (4, FIRST_ROW), (context.attempts, context.rows)


@given('a data folder with a torn file')
def folder_with_torn_file(context):
    async def script():
        disk = SqliteDisk(make_data_folder(context))
        await disk.open()
        await disk.write(tuple(Put('p', f'k{n}', 'x' * 500) for n in range(200)))
        await disk.close()

    asyncio.run(script())
    path = os.path.join(context.folder, DATABASE_FILE)
    size = os.path.getsize(path)
    with open(path, 'r+b') as file:
        file.seek(size // 2)
        file.write(os.urandom(4096))
        file.truncate(size * 3 // 4)


@then('opening it fails as corrupt, and after the file is set aside it opens empty and reports that')
def set_aside_and_reopen(context):
    async def script():
        disk = SqliteDisk(context.folder)
        try:
            await disk.open()
        except CorruptFile:
            pass
        else:
            raise AssertionError('a torn file was opened without an error')
        assert not disk.was_set_aside()
        await disk.set_aside()
        rows = await disk.open()
        await disk.write((Put('p', 'new', 1),))
        was_set_aside = disk.was_set_aside()
        await disk.close()
        return rows, was_set_aside, await read_rows(context.folder)

    assert asyncio.run(script()) == ({}, True, {'p': {'new': 1}})


@given('a data folder whose log holds a row and whose database was already renamed')
def folder_half_renamed(context):
    folder, source_folder = make_data_folder(context), tempfile.mkdtemp()
    context.add_cleanup(shutil.rmtree, source_folder)

    async def script():
        disk = SqliteDisk(source_folder)
        await disk.open()
        await disk.write((Put('p', 'first', 1),))
        shutil.copy(
            os.path.join(source_folder, DATABASE_FILE), os.path.join(folder, DATABASE_FILE + CORRUPT_SUFFIX)
        )
        shutil.copy(os.path.join(source_folder, DATABASE_FILE + '-wal'), folder)
        await disk.close()

    asyncio.run(script())
    assert os.path.getsize(os.path.join(folder, DATABASE_FILE + '-wal')) > 0


@then('it opens empty')
def opened_empty(context):
    assert asyncio.run(read_rows(context.folder)) == {}


# ---- as a separate process


def run_core(folder, settings_path):
    """Start a core, wait until it logs its start, and terminate it.

    Return its exit code before that (None if it was running), its last exit code and its output."""
    path = os.path.join(folder, 'core.log')
    with open(path, 'w', encoding='utf-8') as log:
        command = [sys.executable, '-m', 'quillstall', 'serve', settings_path]
        process = subprocess.Popen(command, stdout=log, stderr=log, stdin=subprocess.DEVNULL)
        try:
            for _ in range(200):
                time.sleep(0.1)
                with open(path, encoding='utf-8') as file:
                    output = file.read()
                if process.poll() is not None or ' start ' in output:
                    break
            time.sleep(1)
            early_exit_code = process.poll()
            process.terminate()
            exit_code = process.wait(20)
        finally:
            if process.poll() is None:
                process.kill()
    with open(path, encoding='utf-8') as file:
        return early_exit_code, exit_code, file.read()


@when('a core is started with a corrupt data folder, stopped, and started again')
def start_twice_on_corrupt_folder(context):
    folder = make_data_folder(context)
    data = os.path.join(folder, 'data')
    os.mkdir(data)
    context.corrupt_bytes = os.urandom(5000)
    with open(os.path.join(data, DATABASE_FILE), 'wb') as file:
        file.write(context.corrupt_bytes)
    settings_path = os.path.join(folder, 'settings.json')
    settings = lone_core_settings(data)
    with open(settings_path, 'w', encoding='utf-8') as file:
        json.dump(settings, file)
    context.first_run = run_core(folder, settings_path)
    context.second_run = run_core(folder, settings_path)
    with open(os.path.join(data, DATABASE_FILE + CORRUPT_SUFFIX), 'rb') as file:
        context.set_aside_bytes = file.read()


@then('the first start logged "{text}" and kept the file whole under another name')
def logged_and_kept(context, text):
    _, _, output = context.first_run
    assert text in output and output.count('disk_set_aside') == 1 and 'Traceback' not in output, output
    assert context.set_aside_bytes == context.corrupt_bytes


@then('the second start found the folder of the first, and neither ended by itself')
def second_start_found_folder(context):
    for early_exit_code, exit_code, output in (context.first_run, context.second_run):
        assert (early_exit_code, exit_code) == (None, 0), (early_exit_code, exit_code, output)
    _, _, output = context.second_run
    assert 'count=2' in output and 'empty=False' in output and 'disk_set_aside' not in output, output


# ---- in the simulator


def machine_of_primary(town, role, status):
    """Return the machine of the core's primary, or of the primary of a partition."""
    member = status['seat'][2] if role == 'core' else next(iter(status['parts'].values()))[2]
    return member.rpartition('-')[0]


async def seconds_until(town, limit_s, condition):
    """Return the seconds until a condition holds; None if it does not in time."""
    start = town.world.now()
    while town.world.now() - start < timedelta(seconds=limit_s):
        if await condition():
            return (town.world.now() - start).total_seconds()
        await town.sleep(0.05)
    return None


@when('the disk of a {role} stalls for {seconds:d} seconds while it is sent {rate:d} requests a second')
def stall_disk(context, role, seconds, rate):
    async def script(town):
        await town.open()
        status = await town.status()
        name = machine_of_primary(town, role, status)
        machine, host = town.machines[name], town.hosts[name]
        message = {'k': 'apply', 'body': {'keeping_s': 444}, 'partial': True, 'base': None}
        if role == 'store':
            partition = next(p for p, members in status['parts'].items() if members[2].startswith(name))
            message = {'k': 'op', 'part': partition, 'command': {'op': 'sweep', 'program_s': 1, 'from': 0}}
        replies, max_unsynced = [], 0

        async def send_message():
            start = town.world.now()
            reply = await host.handle(message)
            replies.append((start, reply.get('fault')))

        machine.hung = True
        stall_start = town.world.now()
        if role == 'store':  # a write that has to wait for the disk
            host.spawn(host.write(TRIAL_WRITE))
        for _ in range(seconds * rate):
            host.spawn(send_message())
            await town.sleep(1 / rate)
            max_unsynced = max(max_unsynced, len(host.unsynced))
        late_faults = [fault for sent_at, fault in replies if sent_at - stall_start > timedelta(seconds=1.5)]
        process_ended = machine.root.done()
        machine.hung = False

        async def serves():
            return not host.unsynced and not host.blocked()

        recovery_s = await seconds_until(town, 5, serves)

        async def all_copies_present():
            status = await town.status()
            return bool(status) and all(len(replica_set) == 4 for replica_set in status['parts'].values())

        return {
            'late': late_faults,
            'most': max_unsynced,
            'ended': process_ended,
            'back': recovery_s,
            'whole': await seconds_until(town, 20, all_copies_present),
        }

    context.stall_result = play(context.seed, context.deploy, script)


@then(
    'it answered "{fault}" from 1.5 seconds on until the stall ended, with at most {max_queued:d} writes queued'
)
def refused_while_stalled(context, fault, max_queued):
    result = context.stall_result
    assert not result['ended'] and len(result['late']) > 100 and set(result['late']) == {fault}, (
        result['ended'],
        set(result['late']),
    )
    assert 0 < result['most'] <= max_queued, result['most']


@then('after the stall it has written all of them and serves within {seconds:d} seconds')
def wrote_all_and_serves(context, seconds):
    result = context.stall_result
    assert result['back'] is not None and result['back'] <= seconds and result['whole'] is not None, result


@when('the file of a {role} is torn and its process restarts')
def restart_with_torn_file(context, role):
    async def script(town):
        await town.open()
        response = await town.ask('PATCH', '/v1/policy', {'keeping_s': 444})
        assert response[0] == 200
        name = machine_of_primary(town, role, await town.status())
        old_name = town.hosts[name].state.me
        town.world.kill(town.machines[name])
        await town.sleep(2)
        town.machines[name].torn = True
        town.start(name)

        async def is_member():
            new_name = town.hosts[name].state.me
            status = await town.status()
            members = [n for n, _ in status.get('core', ())] if role == 'core' else status.get('members', ())
            return new_name != old_name and new_name in members

        rejoined_after_s = await seconds_until(town, 12, is_member)
        policy = await town.ask('GET', '/v1/policy')
        return rejoined_after_s, town.machines[name].root.done(), policy

    context.restart_result = play(context.seed, context.deploy, script)


@then('the same process runs under a new name and is a member within 12 seconds')
def member_under_new_name(context):
    rejoined_after_s, process_ended, _ = context.restart_result
    assert rejoined_after_s is not None and not process_ended, (rejoined_after_s, process_ended)


@then('the change acknowledged before is read')
def acknowledged_change_read(context):
    status, body = context.restart_result[2]
    assert status == 200 and body['policy']['keeping_s'] == 444, (status, body)


@when('the files of all cores are torn and their processes restart')
def restart_all_cores_torn(context):
    async def script(town):
        await town.open()
        for name in town.named('core'):
            town.world.kill(town.machines[name])
            town.machines[name].torn = True
            town.start(name)
        await town.sleep(15)
        return [town.hosts[n].state.fleet for n in town.named('core')]

    context.core_fleets = play(context.seed, context.deploy, script)


@then('after 15 seconds none of them has a fleet')
def no_fleet_formed(context):
    assert context.core_fleets == [None, None, None], context.core_fleets


@when('a core and a store are down during {changes:d} changes and restart while changes continue')
def members_down_during_changes(context, changes):
    async def script(town):
        for startup in town.startups.values():
            startup.update(lone=True, silent_ms=1000)
        await town.open()
        before = await town.status()
        core = before['seat'][3].rpartition('-')[0]  # the backup in the core's replica set
        store = machine_of_primary(town, 'store', before)
        for name in (core, store):
            town.world.kill(town.machines[name])
        await town.sleep(3)
        acknowledged = 0
        for n in range(changes):
            status, body = await town.ask('PATCH', '/v1/policy', {'keeping_s': 400 + n % 50})
            if status == 200:
                acknowledged = body['generation']
        assert acknowledged > changes * 0.98, (acknowledged, changes)
        for name in (core, store):
            town.start(name)
        progress = {'acked': acknowledged, 'value': None, 'on': True}

        async def continue_changes():
            n = 0
            while progress['on']:
                n += 1
                status, body = await town.ask('PATCH', '/v1/policy', {'keeping_s': 500 + n})
                if status == 200:
                    progress.update(acked=body['generation'], value=500 + n)

        changing = asyncio.ensure_future(continue_changes())

        async def full_members():
            status = await town.status()
            if not status or not town.machines[store].up:
                return False
            all_copies = all(len(replica_set) == 4 for replica_set in status['parts'].values())
            generation = town.hosts[store].state.record.generation
            core_state = town.hosts[core].state
            epoch = (core_state.fleet or {}).get('epoch', 0)
            store_name = town.hosts[store].state.me
            registered = store_name in status['register']['now']
            has_copies = (
                any(store_name in replica_set for replica_set in status['parts'].values())
                and not status['plans']
            )
            return (
                all_copies
                and registered
                and has_copies
                and generation >= acknowledged
                and epoch >= status['seat'][0]
            )

        recovered_after_s = await seconds_until(town, 12, full_members)
        progress['on'] = False
        await changing
        primary = machine_of_primary(town, 'core', await town.status())
        town.world.kill(town.machines[primary])
        town.world.wipe(town.machines[primary])

        async def policy_shown():
            status, body = await town.ask('GET', '/v1/policy', limit=2)
            progress['shown'] = (body['generation'], body['policy']['keeping_s']) if status == 200 else None
            return status == 200

        shown_after_s = await seconds_until(town, 12, policy_shown)
        return recovered_after_s, shown_after_s, progress

    context.downtime_result = play(context.seed, context.deploy, script)


@then('they are full members within {seconds:d} seconds of their restart')
def full_members_in_time(context, seconds):
    recovered_after_s = context.downtime_result[0]
    assert recovered_after_s is not None and recovered_after_s <= seconds, recovered_after_s


@then("when the core's primary is then lost, the new primary shows the change acknowledged last")
def new_primary_has_all(context):
    _, shown_after_s, progress = context.downtime_result
    assert shown_after_s is not None and progress['shown'] == (progress['acked'], progress['value']), (
        shown_after_s,
        progress,
    )


# ---- the store's reducer alone


def core_update(generation):
    """Return a core's reply to a poll of a store."""
    return {
        'fleet': 'f',
        'core': ['c:1'],
        'generation': generation,
        'epoch': 1,
        'place': 0,
        'live': 1,
        'policy': {'version': generation},
        'leaving': [],
        'register': {'number': 1, 'now': {'s1': 'a:1'}, 'old': {}},
    }


class StoreHarness:
    """The reducer of one store, and the writes of its quorum record."""

    def __init__(self):
        record = QuorumRecord(4, 1, 1, members={'s1': 'a:1'})
        self.now = datetime(2026, 1, 1, tzinfo=UTC)
        self.state = store.Store(
            's1', 'a:1', 'z', 1, ('c:1',), core_addresses=('c:1',), fleet_id='f', record=record
        )
        self.writes = []

    def step(self, event):
        self.now += timedelta(milliseconds=200)
        self.state, effects = store.step(self.state, event, self.now)
        self.writes += [e for e in effects if type(e) is Write and e.tag[0] == 'word']

    def receive_update(self, generation):
        self.step(Heard(('poll', self.state.poll_number), core_update(generation)))


@given('a store with generation 4 on disk, whose disk accepts no writes while it writes generation 5')
def store_with_pending_write(context):
    context.harness = StoreHarness()
    context.harness.step(Tick())
    context.harness.receive_update(5)
    assert len(context.harness.writes) == 1 and context.harness.state.record.generation == 4
    context.harness.step(Tick(blocked=True))


@when('the reply to its last poll brings generation 6, and one of an outdated core generation 5')
def newer_and_outdated_updates(context):
    context.harness.receive_update(6)
    context.harness.receive_update(5)


@when('its disk accepts the waiting writes, one after another')
def complete_writes_one_by_one(context):
    context.reported = []
    for write in list(context.harness.writes):
        context.harness.step(Wrote(write.tag))
        context.reported.append(context.harness.state.record.generation)
        context.harness.step(Tick())
        context.reported.append(context.harness.state.record.generation)


@then('it reports generations 5 and 6 in this order, each once it is on disk, and no other after that')
def reported_in_order(context):
    assert sorted(context.reported) == context.reported and set(context.reported) == {5, 6}, context.reported
