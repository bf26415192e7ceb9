"""Steps for operators' orders: the record of what was taken, cores that are cut off, whole histories."""

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

from quillstall.controlplane import book, core
from quillstall.replication.group import Op, ReplicaSet, apply_changes
from quillstall.runtime.effect import Ask, Heard, Return, Tick, Told, Write, Wrote
from quillstall.runtime.errors import Fault
from quillstall.testbed.history import History
from quillstall.testbed.linearizability import Call, Kind, Outcome, Verdict, check, findings

NOW = datetime(2026, 1, 1, tzinfo=UTC)
ANSWERED_WITHIN = 0.8  # seconds; operators go on to another core after one
FINAL = (200, 400, 404, 409, 412)
CUT_S = 20
CORES = (0, 1, 2)


# ---- the judge of whole histories


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
    'an unknown change that shows later': [
        change(0, 5, 0, 1, Outcome.UNKNOWN),
        read(0, 2, 3),
        read(5, 8, 9),
    ],
    'an unknown change that never shows': [
        change(0, 5, 0, 1, Outcome.UNKNOWN),
        change(0, 6, 2, 3),
        read(6, 8, 9),
    ],
    'a read beside a change returns the old': [change(0, 5, 0, 4), read(5, 1, 2), read(5, 2.5, 3)],
    'a conflict beside the change that won': [
        change(0, 5, 0, 4, Outcome.CONFLICT),
        change(0, 6, 1, 5),
        read(6, 6, 7),
    ],
    'two unknown changes, the later one shows': [
        change(0, 5, 0, 1, Outcome.UNKNOWN),
        change(5, 7, 2, 3, Outcome.UNKNOWN),
        read(7, 4, 5),
    ],
    'an invalid change is refused': [change(0, 5, 0, 1), change(5, 4, 2, 3, Outcome.INVALID), read(5, 4, 5)],
    'two are acknowledged on one base': [change(0, 5, 0, 4), change(0, 6, 1, 5)],
    'a change is refused and shows': [
        change(0, 5, 0, 1),
        change(5, 7, 2, 3, Outcome.CONFLICT),
        read(7, 4, 5),
    ],
    'a read after a change returns the old': [change(0, 5, 0, 1), read(0, 2, 3)],
    'a read goes back': [change(0, 5, 0, 9), read(5, 1, 2), read(0, 3, 4)],
    'an acknowledged change is lost': [change(0, 5, 0, 1), change(0, 6, 2, 3)],
    'a conflict on the version that is current': [change(0, 5, 0, 1), change(5, 7, 2, 3, Outcome.CONFLICT)],
    'a change shows before it is sent': [read(5, 0, 1), change(0, 5, 2, 3)],
    'an unknown change shows and vanishes': [
        change(0, 5, 0, 1, Outcome.UNKNOWN),
        read(5, 2, 3),
        change(0, 6, 4, 5),
    ],
}


@given('the history "{name}"')
def named_history(context, name):
    context.calls = HISTORIES[name]


def judged(calls, verdict, **more):
    result = check(calls, **more)
    assert result.verdict.value == verdict, (result, calls[-3:])
    assert (not findings(calls, **more)) == (verdict == 'linearizable')


@then('it is found {verdict}')
def found(context, verdict):
    judged(context.calls, verdict)


@given('a history of {count:d} calls, every fifth of unknown outcome')
def long_history(context, count):
    dice = random.Random(3)
    calls, current = [], 0
    for n in range(count):
        start = n / 10
        base, version = current, current + dice.randint(1, 4)
        if n % 5 == 0:
            shows = dice.random() < 0.5
            calls.append(change(base, version, start, start + 0.3, Outcome.UNKNOWN))
            current = version if shows else current
        elif n % 5 == 1:
            calls.append(read(current, start, start + 0.04))
        elif n % 5 == 2:
            calls.append(change(base - 1, version, start, start + 0.2, Outcome.CONFLICT))
        else:
            calls.append(change(base, version, start, start + dice.uniform(0.05, 0.09)))
            current = version
    context.calls = calls


@then('with one stale read in it, it is found not linearizable')
def stale_read(context):
    place = len(context.calls) * 5 // 6 + 1
    while context.calls[place].kind is not Kind.READ:
        place += 1
    before = max(c.version for c in context.calls[: place - 10] if c.kind is Kind.READ)
    context.calls[place] = replace(context.calls[place], version=before)
    judged(context.calls, 'not linearizable')


@given('a history of {count:d} unknown changes without a base, and a read of what none wrote')
def hard_history(context, count):
    unknown = [change(None, n, n / 100, 9, Outcome.UNKNOWN) for n in range(1, count + 1)]
    context.calls = unknown + [read(10**6, 10, 11)]


@then('within {steps:d} steps it is found undecided, which counts as a finding')
def undecided(context, steps):
    judged(context.calls, Verdict.UNDECIDED.value, max_steps=steps)


# ---- the record of what was taken


BODY = {'classes': {}, 'routes': {}, 'pools': {}}


@dataclass(frozen=True)
class Order:
    """A numbered change as the core's table gets it."""

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


def taken(rows, order):
    """The table after an order, the answer, and what was written."""
    changes, ret = book.apply(rows, order.command(), NOW)
    return apply_changes(rows, changes), ret, changes


def numbers(count):
    """Rising numbers in uneven steps, each with the one before it."""
    out, base = [], 0
    for n in range(count):
        number = base + 2 + n % 3
        out.append(Order(number, base))
        base = number
    return out


@given('a table that has taken {count:d} changes')
def table(context, count):
    rows, context.orders, context.answers, context.written = Map(), numbers(count), {}, {}
    for n, order in enumerate(context.orders):
        rows, ret, changes = taken(rows, order)
        context.answers[order] = ret
        context.written[n] = len(cbor2.dumps([list(c) for c in changes]))
    context.rows = rows


@given('a table that has taken {count:d} changes under the older form of the record')
def older_table(context, count):
    context.execute_steps(f'Given a table that has taken {count + 60} changes')
    rows = Map({k: v for k, v in context.rows.items() if not k.startswith('request')})
    context.dropped, context.orders = context.orders[:60], context.orders[60:]
    asks = [[order.command()['id'], context.answers[order]] for order in context.orders]
    context.rows = rows.set('asks', asks)


def answer(rows, order):
    """What an order that is sent again gets, as ('taken', answer) or ('refused', code)."""
    try:
        after, ret, _ = taken(rows, order)
    except Fault as e:
        return 'refused', e.code
    assert after == rows, 'it changed the table'
    return 'taken', ret


@then('each of them sent again has its first answer and changes nothing')
def first_answers(context):
    for order in context.orders:
        assert answer(context.rows, order) == ('taken', context.answers[order]), order


@then('each of them sent again has its first answer or none that is clear, and changes nothing')
def first_or_unknown(context):
    unknown = 0
    for order in context.orders:
        kind, told = answer(context.rows, order)
        if kind == 'refused':
            unknown += 1
            assert told == 'outcome_unknown', (order, told)
        else:
            assert told == context.answers[order], (order, told)
    assert 0 < unknown <= len(context.orders) - 4000, unknown


@then('a change that was never taken is refused as a conflict')
def never_taken(context):
    last = context.orders[-1]
    assert answer(context.rows, Order(last.number + 5, last.base)) == ('refused', 'conflict')
    assert answer(context.rows, Order(last.number + 5, 0)) == ('refused', 'conflict')


@then('one more change writes as many bytes as the 10th did, give or take 20')
def same_bytes(context):
    last = len(context.orders) - 1
    assert abs(context.written[last] - context.written[9]) <= 20, (context.written[9], context.written[last])


@then('it keeps at most {count:d} records')
def bounded(context, count):
    kept = sum(1 for key in context.rows if key.startswith('request/'))
    assert 4000 < kept <= count, kept


@then('one that the older form had dropped is left without a clear answer')
def dropped(context):
    for order in context.dropped:
        assert answer(context.rows, order) == ('refused', 'outcome_unknown'), order


@then('after one more change the older form is gone and each still has its first answer')
def migrated(context):
    last = context.orders[-1]
    rows, _, _ = taken(context.rows, Order(last.number + 1, last.number))
    assert 'asks' not in rows
    for order in context.orders:
        assert answer(rows, order) == ('taken', context.answers[order]), order
    dropped(context)


# ---- operators that follow the platform's rules


@dataclass(frozen=True)
class Attempt:
    """One request of an order, and what came of it."""

    core: int
    method: str
    path: str
    start: float
    seconds: float
    status: int  # 0: silence or a broken connection


class Client:
    """An operator: goes on to another core after a 5xx or a second of silence, with a pause that grows."""

    def __init__(self, desks, history, dice):
        self.desks = desks
        self.history = history
        self.dice = dice
        self.attempts = []

    def seconds(self):
        return asyncio.get_running_loop().time()

    async def attempt(self, method, path, body=None, match=None, core=0, patience=1.0):
        """One request: its status and body."""
        start = self.seconds()
        status, told = 0, None
        if self.desks.town.machines[f'core{core}'].up:
            work = asyncio.ensure_future(self.desks.request(method, path, body, match, core))
            done, _ = await asyncio.wait((work,), timeout=patience)
            if done and not work.cancelled():  # else its core was killed
                status, told = work.result().status, work.result().body
            work.cancel()
        self.attempts.append(Attempt(core, method, path, start, self.seconds() - start, status))
        return status, told

    async def order(self, method, path, body=None, match=None, core=None, give_up=12.0):
        """An order until it has a clear answer: its status and body, 0 if it never had one."""
        core = self.dice.choice(CORES) if core is None else core
        until = self.seconds() + give_up
        pause = 0.05
        while self.seconds() < until:
            status, told = await self.attempt(method, path, body, match, core)
            if status in FINAL:
                return status, told
            await asyncio.sleep(pause)
            pause = min(1.0, pause * 1.7)
            core = self.dice.choice([c for c in CORES if c != core])
        return 0, None

    async def read(self):
        """The configuration, and its marker: None if none came."""
        ticket = self.history.begin_read()
        status, told = await self.order('GET', '/config')
        if status != 200:
            return None
        self.history.end_read(ticket, told['marker'])
        return told

    async def change(self, have, revision, marker, method='PUT', core=None):
        """A change on top of a configuration that was read: its status."""
        base = have['revision']
        body = (
            marked(revision, marker)
            if method == 'PUT'
            else {'revision': revision, 'marker': marker, 'upserts': {'routing_rules': [rule('r3', '/c/')]}}
        )
        ticket = self.history.begin_change(have['marker'], marker)
        status, _ = await self.order(method, '/config', body, base, core)
        if status:
            outcome = {200: Outcome.TAKEN, 412: Outcome.CONFLICT}.get(status, Outcome.INVALID)
            self.history.end(ticket, outcome)
        return status


def marked(revision, marker):
    """A configuration that says which operator's it is, also where two have one number."""
    return {**document(revision), 'marker': marker}


OPENING = marked(5, 500)


async def opened(desks, seed=1):
    """A client whose first configuration is in force."""
    history = History(asyncio.get_running_loop().time)
    client = Client(desks, history, random.Random(seed))
    ticket = history.begin_change(0, OPENING['marker'])
    status, told = await client.order('PUT', '/config', OPENING, 0)
    assert status == 200, told
    history.end(ticket, Outcome.TAKEN)
    return client


async def primary(town):
    """The name of the core that leads now."""
    for _ in range(100):
        status = await town.status()
        if status.get('me'):
            return status['me'].rpartition('-')[0]
        await town.sleep(0.1)
    raise AssertionError('no core leads')


@then('the whole history is linearizable')
def whole(context):
    assert context.history.findings() == [], context.history.findings()


@then('the whole history is not linearizable')
def broken(context):
    assert context.history.findings(), 'nothing was found'


# ---- the record, in a whole system


@when('{count:d} changes follow the first, every core is killed, and later the primary loses its disk')
def many(context, count):
    async def script(desks):
        town = desks.town
        context.again = []
        assert (await desks.put(FIRST_CONFIG, 0)).status == 200
        bodies = [{'revision': 6 + n, 'marker': n} for n in range(count)]
        for body in bodies:
            got = await desks.patch(body, body['revision'] - 1)
            assert got.status == 200, (body, got.status, got.body)

        async def again():
            for at in CORES:
                context.again.append((await desks.put(FIRST_CONFIG, 0, at)).status)
                context.again.append((await desks.patch(bodies[9], bodies[9]['revision'] - 1, at)).status)
            context.shown = (await desks.show()).get('marker')

        await again()
        for at in CORES:
            town.world.kill(town.machines[f'core{at}'])
        await town.sleep(1)
        for at in CORES:
            town.start(f'core{at}')
        await town.sleep(8)
        await again()
        name = await primary(town)
        town.world.kill(town.machines[name])
        town.world.wipe(town.machines[name])
        await town.sleep(4)
        town.start(name)
        await town.sleep(12)
        await again()
        context.last = bodies[-1]['marker']

    context.play(script)


@then('the first and the tenth sent again are acknowledged at every core after each of these')
def again_everywhere(context):
    assert context.again == [200] * 18, context.again


@then('the last stays in force')
def last_stays(context):
    assert context.shown == context.last, (context.shown, context.last)


# ---- a core that is cut off


@when("the core's primary is cut off for 20 seconds, {way}, and every order is sent to every core")
def cut_off(context, way):
    async def script(desks):
        town = desks.town
        client = await opened(desks)
        context.history = client.history
        name = await primary(town)
        for other in list(town.machines):
            if other not in (name, 'operator', 'crowd'):
                if way in ('both ways', 'from what it sends'):
                    town.world.cut(name, other, False)
                if way in ('both ways', 'from what it should hear'):
                    town.world.cut(other, name, False)
        start = client.seconds()
        town.add('store10', 'store', town.startups['store0']['zone'], '10.0.2.110')
        if way in ('both ways', 'from what it sends'):
            town.world.cut(name, 'store10', False)
        if way in ('both ways', 'from what it should hear'):
            town.world.cut('store10', name, False)
        orders = [
            ('GET', '/config', None, None),
            ('PUT', '/config', marked(9, 900), 3),
            ('PUT', '/config', OPENING, 0),
            ('PATCH', '/config', {'revision': 4, 'marker': 1}, 5),
            ('GET', '/retire/store0', None, None),
            ('GET', '/retire/store10', None, None),
            ('POST', '/retire/store10', {'deadline_s': 10}, None),
        ]
        changing = asyncio.ensure_future(changes(client, start + CUT_S))
        while client.seconds() < start + CUT_S:
            await asyncio.gather(
                *(client.attempt(*order, core=at, patience=10.0) for order in orders for at in CORES)
            )
            await asyncio.sleep(0.3)
        await changing
        context.cut = (int(name[-1]), start, client.seconds())
        context.attempts = list(client.attempts)
        town.world.heal()
        await town.sleep(5)
        await client.read()
        await client.read()

    context.play(script)


async def changes(client, until):
    """Change after change until a moment."""
    marker = 1000
    while client.seconds() < until:
        have = await client.read()
        if have:
            marker += 1
            await client.change(have, have['revision'] + 2, marker)
        await asyncio.sleep(0.2)


@then('every order was answered or left without a clear answer within {limit:g} seconds')
def soon(context, limit):
    slow = [a for a in context.attempts if a.seconds > limit]
    assert not slow, (len(slow), len(context.attempts), slow[:6])


@then('the one that was cut off answered none from what it last knew')
def from_no_memory(context):
    core, start, end = context.cut
    told = [a for a in context.attempts if a.core == core and start <= a.start < end]
    assert len(told) > 100, len(told)
    wrong = [a for a in told if 0 < a.status < 500]
    assert not wrong, (len(wrong), len(told), wrong[:6])


@when("the core's primary is killed, and a store is to be retired all the while")
def retire_at_takeover(context):
    async def script(desks):
        town = desks.town
        client = await opened(desks)
        name = await primary(town)
        town.world.kill(town.machines[name])
        until = client.seconds() + 12
        while client.seconds() < until:
            for at in CORES:
                await client.attempt('POST', '/retire/store0', {'deadline_s': 10}, core=at)
            await asyncio.sleep(0.05)
        context.attempts = [a for a in client.attempts if a.method == 'POST']

    context.play(script)


@then('the order was never refused')
def never_refused(context):
    refused = [a for a in context.attempts if 400 <= a.status < 500]
    assert not refused, (len(refused), refused[:4])
    assert any(a.status == 200 for a in context.attempts), 'it was never taken either'


@when('a routing node freezes, and a change is sent again and again until it has a clear answer')
def long_order(context):
    async def script(desks):
        town = desks.town
        client = await opened(desks)
        have = await client.read()
        town.world.freeze(town.machines[town.named('route')[0]])
        client.attempts.clear()
        start = client.seconds()
        status = await client.change(have, 7, 700)
        context.long = (status, client.seconds() - start, list(client.attempts))

    context.play(script)


@then('it was acknowledged within {most:g} seconds, at no try later than {limit:g} seconds')
def in_time(context, most, limit):
    status, seconds, attempts = context.long
    assert status == 200 and seconds <= most, (status, seconds, attempts)
    assert len(attempts) > 1, 'it did not take long'
    assert all(a.seconds <= limit for a in attempts), attempts


# ---- many orders, and primaries that die


async def dies(town, dice):
    """The primary ends within milliseconds of an order's arrival, and starts again."""
    name = await primary(town)
    await town.sleep(dice.uniform(0.0, 0.012))
    town.world.kill(town.machines[name])
    await town.sleep(dice.uniform(0.3, 3))
    town.start(name)


async def parted(town, dice):
    """The primary is cut off, one way or both, for a while."""
    name = await primary(town)
    await town.sleep(dice.uniform(0.0, 0.012))
    way = dice.choice(('out', 'in', 'both'))
    for other in list(town.machines):
        if other not in (name, 'operator', 'crowd'):
            if way != 'in':
                town.world.cut(name, other, False)
            if way != 'out':
                town.world.cut(other, name, False)
    await town.sleep(dice.uniform(1, 6))
    town.world.heal()


async def stands(town, dice):
    """The primary stands still for a while."""
    name = await primary(town)
    await town.sleep(dice.uniform(0.0, 0.012))
    town.world.freeze(town.machines[name])
    await town.sleep(dice.uniform(0.5, 5))
    town.world.thaw(town.machines[name])


TROUBLES = {'is killed between disk and answer': dies, 'is cut off': parted, 'freezes': stands}
ROUNDS = 14


@given('a core that records no order')
def forgetful(context):
    context.stack = ExitStack()
    context.add_cleanup(context.stack.close)
    context.stack.enter_context(patch.object(book.requests, 'record', lambda rows, request, outcome: ()))


@when('operators send 8 orders at a time while the primary {trouble}, seed {seed:d}')
def storm(context, trouble, seed):
    async def script(desks):
        town = desks.town
        client = await opened(desks, seed)
        context.history = client.history
        marker = 1000
        for _ in range(ROUNDS):
            have = await client.read()
            if have is None:
                continue
            orders = []
            for n in range(8):
                marker += 1
                revision = have['revision'] + 1 + n // 2  # two of them have each number
                method = 'PATCH' if n % 3 == 0 else 'PUT'
                orders.append(client.change(have, revision, marker, method, n % 3))
            hurt = asyncio.ensure_future(TROUBLES[trouble](town, client.dice))
            await asyncio.gather(client.read(), *orders)
            await hurt
        await town.sleep(6)
        for _ in CORES:
            await client.read()
        context.trouble = trouble

    context.play(script)


@then('at least {count:d} changes were acknowledged')
def enough(context, count):
    done = [c for c in context.history.calls if c.kind is Kind.CHANGE and c.outcome is Outcome.TAKEN]
    assert len(done) >= count, len(done)


@when('20 times two operators send one number with different bodies at two cores at once, and both again')
def one_number(context):
    async def script(desks):
        client = await opened(desks)
        context.pairs = []
        for n in range(20):
            base = 5 + 2 * n
            bodies = [marked(base + 2, 1000 + 2 * n + k) for k in (0, 1)]
            first = await asyncio.gather(
                *(client.order('PUT', '/config', body, base, at) for at, body in enumerate(bodies))
            )
            again = await asyncio.gather(
                *(client.order('PUT', '/config', body, base, 2 - at) for at, body in enumerate(bodies))
            )
            context.pairs.append([[status for status, _ in tries] for tries in (first, again)])

    context.play(script)


@then('each time one is acknowledged, both times, and the other is refused, both times')
def one_of_two(context):
    for first, again in context.pairs:
        assert sorted(first) == [200, 412] and first == again, context.pairs


@when('a patch whose answer is lost is sent again after two more changes')
def patch_again(context):
    async def script(desks):
        town = desks.town
        await opened(desks)
        body = {'revision': 6, 'marker': 600, 'removals': {'routing_rules': ['r2']}}
        lost = asyncio.ensure_future(desks.patch(body, 5, 1))
        for _ in range(400):  # until it is in the table; its answer is never read
            if (await desks.show()).get('marker') == 600:
                break
            await town.sleep(0.02)
        assert (await desks.put(marked(8, 800), 6)).status == 200
        assert (await desks.patch({'revision': 9, 'marker': 900}, 8)).status == 200
        never = {**body, 'marker': 601}
        context.all = [(await desks.patch(b, 5, at)).status for b in (body, never) for at in CORES]
        lost.cancel()

    context.play(script)


@then('it is acknowledged, and a patch that was never taken is refused')
def patch_known(context):
    assert context.all == [200] * 3 + [412] * 3, context.all


# ---- reads beside changes that are under way


class Pair:
    """A core's reducer as primary, with a backup that confirms what it is told to."""

    def __init__(self):
        startup = {'address': '10.0.0.1:1', 'zone': 'z1', 'seeds': ['10.0.0.1:1']}
        self.now = NOW
        self.state = core.load('c1', startup, {}, 1, NOW)
        crew = (('c1', '10.0.0.1:1'), ('c2', '10.0.0.2:1'), ('c3', '10.0.0.3:1'))
        seat = ReplicaSet(1, 0, 'c1', 'c2')
        fleet = {'id': 'f', 'witnesses': crew, 'epoch': 1, 'seat': list(seat)}
        self.state = self.state._replace(fleet=fleet)
        self.returns, self.frames, self.greeting = {}, [], None
        self.event(Told('learn', {'k': 'fleet', 'fleet': {**fleet, 'epoch': 2}, 'seat': list(seat)}))
        self.ask('a routing node', 'known')  # its address goes into the table first
        while self.frames:
            self.confirm()

    def event(self, event):
        """One event, its writes synced at once; what the backup is sent is kept."""
        self.now += timedelta(milliseconds=10)
        self.state, effects = core.step(self.state, event, self.now)
        for effect in effects:
            if type(effect) is Return:
                self.returns[effect.call] = effect.reply
            elif type(effect) is Write:
                self.event(Wrote(effect.tag))
            elif type(effect) is Ask and effect.message['k'] == 'hello':
                self.event(Heard(effect.tag, {'ok': True, 'seq': effect.message['seq'], 'tail': []}))
            elif type(effect) is Ask and effect.message['k'] == 'frame':
                self.frames.append(effect)
            elif type(effect) is Ask and effect.message['k'] == 'greet':
                self.greeting = effect.message

    def confirm(self):
        """The backup confirms the batch that was sent first."""
        self.event(Heard(self.frames.pop(0).tag, {'ok': True}))

    def ask(self, reader, call):
        """An operator's or a routing node's question, by its call's name."""
        self.event(Told(call, READERS[reader]))


ENROL = {'op': 'enrol', 'base': 0, 'now': {'s1': '10.0.4.1:1'}, 'old': {}}
POLL = {'k': 'poll', 'node': 'n1', 'role': 'route', 'address': '10.0.3.1:1', 'zone': 'z1', 'inc': 1}
READERS = {
    'an operator': {'k': 'show'},
    'a routing node': {**POLL, 'generation': 0, 'place': -1},
}
CHANGE = {'k': 'apply', 'id': 'x', 'numbered': True, 'base': 0, 'body': {**BODY, 'version': 5}, 'source': {}}


@given('a primary core whose backup confirms one batch at a time')
def pair(context):
    context.pair = Pair()


@when('{reader} asks, a change comes behind it, and the backup confirms the first batch only')
def behind_it(context, reader):
    context.reader = reader
    context.pair.ask(reader, 'first')
    assert len(context.pair.frames) == 1, context.pair.frames
    context.pair.event(Told('change', CHANGE))
    context.pair.confirm()


@then('the answer holds nothing of the change')
def nothing_of_it(context):
    told = context.pair.returns['first']
    assert told['ok'] and told['generation'] == 0 and not told.get('policy'), told
    assert 'change' not in context.pair.returns


@then('once the backup has confirmed the second batch, another answer holds it')
def then_it_holds(context):
    context.pair.ask(context.reader, 'second')
    while context.pair.frames:
        context.pair.confirm()
    told = context.pair.returns['second']
    assert told['generation'] == 1 and told['policy']['version'] == 5, told


@when(
    'a routing node asks, a register of stores comes behind it, and the backup confirms the first batch only'
)
def register_behind_it(context):
    pair = context.pair
    pair.ask('a routing node', 'first')
    pair.state, out = feed_command(pair, ENROL)
    assert not out, out
    pair.confirm()


def feed_command(pair, command):
    """A command of the core's own, put to its replica set."""
    out = []
    state = core.step_replication(pair.state, Op('core', ('c', 'none'), command), pair.now, out)
    return state, out


def greeting(pair):
    """What the core tells a silent process now."""
    pair.now += timedelta(seconds=3)
    pair.event(Tick())
    return pair.greeting


@then('a greeting names no register of stores')
def unnamed(context):
    assert context.pair.frames, 'the register is not under way'
    assert greeting(context.pair)['register']['number'] == 0, context.pair.greeting


@then('once the backup has confirmed the second batch, a greeting after another poll names it')
def named_now(context):
    pair = context.pair
    pair.ask('a routing node', 'second')
    while pair.frames:
        pair.confirm()
    assert greeting(pair)['register']['now'] == ENROL['now'], pair.greeting
