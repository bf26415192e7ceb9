"""Steps about disks that take nothing, files that are torn, and members that were away for long."""

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
from unittest.mock import patch

from behave import given, then, when
from common import lone_core_settings

from quillstall.controlplane import store
from quillstall.replication.register import QuorumRecord
from quillstall.runtime.disk import ASIDE, FILE, CorruptFile, Put, SqliteDisk
from quillstall.runtime.effect import Heard, Tick, Write, Wrote
from quillstall.testbed.town import play

TRIAL_WRITE = Write((Put('', 'trial', 1),), ('none',))
FIRST = {'p': {'first': 1}}


def error_of(code, text):
    """An error as SQLite's module raises it."""
    error = sqlite3.OperationalError(text)
    error.sqlite_errorcode = code
    return error


class FailingCommits:
    """A connection whose next commits fail as after a failed sync: nothing of them counts as written."""

    def __init__(self, base, fails):
        self.base = base
        self.fails = fails
        self.inserts = 0

    @property
    def in_transaction(self):
        return self.base.in_transaction

    def execute(self, text, *more):
        self.inserts += text.startswith('insert')
        if text == 'commit' and self.fails:
            self.fails -= 1
            raise error_of(sqlite3.SQLITE_IOERR | 4 << 8, 'disk I/O error')
        return self.base.execute(text, *more)

    def close(self):
        self.base.close()


def folder_of(context):
    context.folder = tempfile.mkdtemp()
    context.add_cleanup(shutil.rmtree, context.folder)
    return context.folder


async def rows_of(folder):
    disk = SqliteDisk(folder)
    rows = await disk.open()
    await disk.close()
    return rows


@given('a data folder with one synced row')
def one_row(context):
    async def script():
        disk = SqliteDisk(folder_of(context))
        await disk.open()
        await disk.write((Put('p', 'first', 1),))
        await disk.close()

    asyncio.run(script())


@when('its database may not grow and three batches are written, the first one too large')
def may_not_grow(context):
    context.loop = asyncio.new_event_loop()
    context.add_cleanup(context.loop.close)
    context.order = []

    async def script():
        disk = context.disk = SqliteDisk(context.folder)
        await disk.open()
        pages = disk.base.execute('pragma page_count').fetchone()[0]
        disk.base.execute(f'pragma max_page_count={pages}')

        async def write(number, *puts):
            await disk.write(puts)
            context.order.append(number)

        batches = ((Put('p', 'large', 'x' * 100_000),), (Put('p', 'k', 1),), (Put('p', 'k', 2),))
        context.writes = [asyncio.ensure_future(write(n, *puts)) for n, puts in enumerate(batches)]
        await asyncio.sleep(0)

    context.loop.run_until_complete(script())


@then('none of them is done within 1 second')
def none_done(context):
    context.loop.run_until_complete(asyncio.sleep(1))
    assert context.order == [] and context.disk.retries >= 2, (context.order, context.disk.retries)


@when('its database may grow again')
def may_grow(context):
    context.disk.base.execute('pragma max_page_count=1000000')


@then('they are done in the order in which they came, and a new start finds all of it')
def in_order(context):
    async def script():
        await asyncio.wait_for(asyncio.gather(*context.writes), 5)
        await context.disk.close()
        return await rows_of(context.folder)

    rows = context.loop.run_until_complete(script())
    assert context.order == [0, 1, 2], context.order
    assert rows == {'p': {'first': 1, 'large': 'x' * 100_000, 'k': 2}}


@when('the next {fails:d} commits fail as a failed sync does, and a batch of {count:d} rows is written')
def failing(context, fails, count):
    async def script():
        disk = SqliteDisk(context.folder)
        await disk.open()
        disk.base = context.failing = FailingCommits(disk.base, fails)
        await disk.write(tuple(Put('p', f'k{n}', n) for n in range(count)))
        await disk.close()
        context.rows = await rows_of(context.folder)

    asyncio.run(script())


@then('its {count:d} rows were written {times:d} times, and a new start finds all of it')
def written_again(context, count, times):
    assert context.failing.inserts == count * times, context.failing.inserts
    assert context.rows == {'p': {'first': 1, **{f'k{n}': n for n in range(count)}}}, context.rows


@when('it is opened while its disk has no room for the next {fails:d} tries')
def opened_full(context, fails):
    real, tries = SqliteDisk._read, []

    def read(self):
        tries.append(self)
        if len(tries) <= fails:
            raise error_of(sqlite3.SQLITE_FULL, 'database or disk is full')
        return real(self)

    with patch.object(SqliteDisk, '_read', read):
        context.rows = asyncio.run(rows_of(context.folder))
    context.tries = len(tries)


@then('it opens at the fourth and finds its row')
def opens_fourth(context):
    assert (context.tries, context.rows) == (4, FIRST), (context.tries, context.rows)


@given('a data folder with a torn file')
def torn_file(context):
    async def script():
        disk = SqliteDisk(folder_of(context))
        await disk.open()
        await disk.write(tuple(Put('p', f'k{n}', 'x' * 500) for n in range(200)))
        await disk.close()

    asyncio.run(script())
    path = os.path.join(context.folder, FILE)
    size = os.path.getsize(path)
    with open(path, 'r+b') as file:
        file.seek(size // 2)
        file.write(os.urandom(4096))
        file.truncate(size * 3 // 4)


@then('opening it finds it corrupt, and after it is set aside it opens empty and knows of it')
def set_aside(context):
    async def script():
        disk = SqliteDisk(context.folder)
        try:
            await disk.open()
        except CorruptFile:
            pass
        else:
            raise AssertionError('a torn file was read')
        assert not disk.was_set_aside()
        await disk.set_aside()
        rows = await disk.open()
        await disk.write((Put('p', 'new', 1),))
        known = disk.was_set_aside()
        await disk.close()
        return rows, known, await rows_of(context.folder)

    assert asyncio.run(script()) == ({}, True, {'p': {'new': 1}})


@given('a data folder whose log holds a row and whose database was already renamed')
def half_renamed(context):
    folder, other = folder_of(context), tempfile.mkdtemp()
    context.add_cleanup(shutil.rmtree, other)

    async def script():
        disk = SqliteDisk(other)
        await disk.open()
        await disk.write((Put('p', 'first', 1),))
        shutil.copy(os.path.join(other, FILE), os.path.join(folder, FILE + ASIDE))
        shutil.copy(os.path.join(other, FILE + '-wal'), folder)
        await disk.close()

    asyncio.run(script())
    assert os.path.getsize(os.path.join(folder, FILE + '-wal')) > 0


@then('it opens empty')
def opens_empty(context):
    assert asyncio.run(rows_of(context.folder)) == {}


# ---- as a process of its own


def run_core(folder, settings):
    """Start a core, wait for its first line, stop it; what it said and its exit code."""
    path = os.path.join(folder, 'core.log')
    with open(path, 'w', encoding='utf-8') as log:
        command = [sys.executable, '-m', 'quillstall', 'serve', settings]
        process = subprocess.Popen(command, stdout=log, stderr=log, stdin=subprocess.DEVNULL)
        try:
            for _ in range(200):
                time.sleep(0.1)
                with open(path, encoding='utf-8') as file:
                    said = file.read()
                if process.poll() is not None or ' start ' in said:
                    break
            time.sleep(1)
            ended = process.poll()
            process.terminate()
            code = process.wait(20)
        finally:
            if process.poll() is None:
                process.kill()
    with open(path, encoding='utf-8') as file:
        return ended, code, file.read()


@when('a core is started with a corrupt data folder, stopped, and started again')
def started_corrupt(context):
    folder = folder_of(context)
    data = os.path.join(folder, 'data')
    os.mkdir(data)
    context.bytes = os.urandom(5000)
    with open(os.path.join(data, FILE), 'wb') as file:
        file.write(context.bytes)
    settings = os.path.join(folder, 'settings.json')
    body = lone_core_settings(data)
    with open(settings, 'w', encoding='utf-8') as file:
        json.dump(body, file)
    context.first = run_core(folder, settings)
    context.second = run_core(folder, settings)
    with open(os.path.join(data, FILE + ASIDE), 'rb') as file:
        context.kept = file.read()


@then('the first start said "{text}" and kept the file whole under another name')
def said_and_kept(context, text):
    _, _, said = context.first
    assert text in said and said.count('disk_set_aside') == 1 and 'Traceback' not in said, said
    assert context.kept == context.bytes


@then('the second start found the folder of the first, and neither ended by itself')
def found_again(context):
    for ended, code, said in (context.first, context.second):
        assert (ended, code) == (None, 0), (ended, code, said)
    _, _, said = context.second
    assert 'count=2' in said and 'empty=False' in said and 'disk_set_aside' not in said, said


# ---- in the simulator


def one_of(town, role, status):
    """The core's primary, or the primary of a part."""
    member = status['seat'][2] if role == 'core' else next(iter(status['parts'].values()))[2]
    return member.rpartition('-')[0]


async def true_within(town, seconds, test):
    """How long until a test is true; None if it is not in time."""
    start = town.world.now()
    while town.world.now() - start < timedelta(seconds=seconds):
        if await test():
            return (town.world.now() - start).total_seconds()
        await town.sleep(0.05)
    return None


@when('the disk of a {role} stalls for {seconds:d} seconds while it is asked {rate:d} times a second')
def stalls(context, role, seconds, rate):
    async def script(town):
        await town.open()
        status = await town.status()
        name = one_of(town, role, status)
        machine, host = town.machines[name], town.hosts[name]
        message = {'k': 'apply', 'body': {'keeping_s': 444}, 'partial': True, 'base': None}
        if role == 'store':
            part = next(p for p, seat in status['parts'].items() if seat[2].startswith(name))
            message = {'k': 'op', 'part': part, 'command': {'op': 'sweep', 'program_s': 1, 'from': 0}}
        answers, most = [], 0

        async def ask():
            start = town.world.now()
            ret = await host.told(message)
            answers.append((start, ret.get('fault')))

        machine.hung = True
        began = town.world.now()
        if role == 'store':  # something that has to be written
            host.spawn(host.write(TRIAL_WRITE))
        for _ in range(seconds * rate):
            host.spawn(ask())
            await town.sleep(1 / rate)
            most = max(most, len(host.unsynced))
        late = [fault for at, fault in answers if at - began > timedelta(seconds=1.5)]
        ended = machine.root.done()
        machine.hung = False

        async def serves():
            return not host.unsynced and not host.blocked()

        back = await true_within(town, 5, serves)

        async def whole():
            status = await town.status()
            return bool(status) and all(len(s) == 4 for s in status['parts'].values())

        return {
            'late': late,
            'most': most,
            'ended': ended,
            'back': back,
            'whole': await true_within(town, 20, whole),
        }

    context.stall = play(context.seed, context.deploy, script)


@then('it answered "{fault}" within 1.5 seconds and to the end, and at most {most:d} writes waited')
def answered(context, fault, most):
    got = context.stall
    assert not got['ended'] and len(got['late']) > 100 and set(got['late']) == {fault}, (
        got['ended'],
        set(got['late']),
    )
    assert 0 < got['most'] <= most, got['most']


@then('after the stall it has written all of them and serves within {seconds:d} seconds')
def written_after(context, seconds):
    got = context.stall
    assert got['back'] is not None and got['back'] <= seconds and got['whole'] is not None, got


@when('the file of a {role} is torn and its process starts again')
def torn_member(context, role):
    async def script(town):
        await town.open()
        answer = await town.ask('PATCH', '/v1/policy', {'keeping_s': 444})
        assert answer[0] == 200
        name = one_of(town, role, await town.status())
        old = town.hosts[name].state.me
        town.world.kill(town.machines[name])
        await town.sleep(2)
        town.machines[name].torn = True
        town.start(name)

        async def member():
            new = town.hosts[name].state.me
            status = await town.status()
            names = [n for n, _ in status.get('core', ())] if role == 'core' else status.get('members', ())
            return new != old and new in names

        took = await true_within(town, 12, member)
        shown = await town.ask('GET', '/v1/policy')
        return took, town.machines[name].root.done(), shown

    context.torn = play(context.seed, context.deploy, script)


@then('it lives in one process under a new name and is a member within 12 seconds')
def new_name(context):
    took, ended, _ = context.torn
    assert took is not None and not ended, (took, ended)


@then('what was acknowledged before is shown')
def shown_before(context):
    status, body = context.torn[2]
    assert status == 200 and body['policy']['keeping_s'] == 444, (status, body)


@when('the files of all cores are torn and their processes start again')
def all_torn(context):
    async def script(town):
        await town.open()
        for name in town.named('core'):
            town.world.kill(town.machines[name])
            town.machines[name].torn = True
            town.start(name)
        await town.sleep(15)
        return [town.hosts[n].state.fleet for n in town.named('core')]

    context.fleets = play(context.seed, context.deploy, script)


@then('after 15 seconds none of them has a fleet')
def no_fleet(context):
    assert context.fleets == [None, None, None], context.fleets


@when('a core and a store are away during {changes:d} changes and come back while changes go on')
def away(context, changes):
    async def script(town):
        for startup in town.startups.values():
            startup.update(lone=True, silent_ms=1000)
        await town.open()
        before = await town.status()
        core = before['seat'][3].rpartition('-')[0]  # the backup in the core's replica set
        store = one_of(town, 'store', before)
        for name in (core, store):
            town.world.kill(town.machines[name])
        await town.sleep(3)
        acked = 0
        for n in range(changes):
            status, body = await town.ask('PATCH', '/v1/policy', {'keeping_s': 400 + n % 50})
            if status == 200:
                acked = body['generation']
        assert acked > changes * 0.98, (acked, changes)
        for name in (core, store):
            town.start(name)
        box = {'acked': acked, 'value': None, 'on': True}

        async def go_on():
            n = 0
            while box['on']:
                n += 1
                status, body = await town.ask('PATCH', '/v1/policy', {'keeping_s': 500 + n})
                if status == 200:
                    box.update(acked=body['generation'], value=500 + n)

        changing = asyncio.ensure_future(go_on())

        async def full_members():
            status = await town.status()
            if not status or not town.machines[store].up:
                return False
            copies = all(len(seat) == 4 for seat in status['parts'].values())
            word = town.hosts[store].state.word.generation
            witness = town.hosts[core].state
            epoch = (witness.fleet or {}).get('epoch', 0)
            me = town.hosts[store].state.me
            registered = me in status['register']['now']
            sits = any(me in seat for seat in status['parts'].values()) and not status['plans']
            return copies and registered and sits and word >= acked and epoch >= status['seat'][0]

        took = await true_within(town, 12, full_members)
        box['on'] = False
        await changing
        primary = one_of(town, 'core', await town.status())
        town.world.kill(town.machines[primary])
        town.world.wipe(town.machines[primary])

        async def shown():
            status, body = await town.ask('GET', '/v1/policy', limit=2)
            box['shown'] = (body['generation'], body['policy']['keeping_s']) if status == 200 else None
            return status == 200

        led = await true_within(town, 12, shown)
        return took, led, box

    context.away = play(context.seed, context.deploy, script)


@then('they are full members within {seconds:d} seconds of their return')
def full_again(context, seconds):
    took = context.away[0]
    assert took is not None and took <= seconds, took


@then("when the core's primary is lost then, the one that leads shows what was acknowledged last")
def leads_with_all(context):
    _, led, box = context.away
    assert led is not None and box['shown'] == (box['acked'], box['value']), (led, box)


# ---- the store's state machine alone


def news_of(generation):
    """A core's answer to a poll of a store."""
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


class AloneStore:
    """One store's reducer, with the effects that it has asked for."""

    def __init__(self):
        word = QuorumRecord(4, 1, 1, members={'s1': 'a:1'})
        self.now = datetime(2026, 1, 1, tzinfo=UTC)
        self.state = store.Store('s1', 'a:1', 'z', 1, ('c:1',), core=('c:1',), fleet='f', word=word)
        self.writes = []

    def feed(self, event):
        self.now += timedelta(milliseconds=200)
        self.state, effects = store.step(self.state, event, self.now)
        self.writes += [e for e in effects if type(e) is Write and e.tag[0] == 'word']

    def hear(self, generation):
        self.feed(Heard(('poll', self.state.poll), news_of(generation)))


@given('a store with generation 4 on disk, whose disk takes nothing while it writes generation 5')
def alone(context):
    context.alone = AloneStore()
    context.alone.feed(Tick())
    context.alone.hear(5)
    assert len(context.alone.writes) == 1 and context.alone.state.word.generation == 4
    context.alone.feed(Tick(blocked=True))


@when("the answer to its last word brings generation 6, and an older core's brings generation 5")
def more_news(context):
    context.alone.hear(6)
    context.alone.hear(5)


@when('its disk takes what waits, one write after another')
def takes_one_by_one(context):
    context.said = []
    for write in list(context.alone.writes):
        context.alone.feed(Wrote(write.tag))
        context.said.append(context.alone.state.word.generation)
        context.alone.feed(Tick())
        context.said.append(context.alone.state.word.generation)


@then('it says generations 5 and 6 in this order, each once it is on disk, and none after that')
def said_in_order(context):
    assert sorted(context.said) == context.said and set(context.said) == {5, 6}, context.said
