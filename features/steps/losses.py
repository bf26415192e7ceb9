"""Steps about a second loss: stores that leave, partitions with one copy, registers without a majority."""

from datetime import UTC, datetime, timedelta

from behave import given, then, when
from copies import kill_and_wipe, open_and_settle, simulated_town, wait_until_settled
from immutables import Map

from quillstall.controlplane import core, core_state, placement, status
from quillstall.controlplane import run as controlplane
from quillstall.dataplane.admission import admission_state
from quillstall.replication import group, register
from quillstall.replication.group import ReplicaSet
from quillstall.runtime.clock import of_ms
from quillstall.runtime.effect import Tick, Told, Write, Wrote
from quillstall.runtime.errors import Fault
from quillstall.testbed.sim import World

LOST_COPIES = 2
START = datetime(2026, 1, 1, tzinfo=UTC)


def machine_of(member):
    return member.rpartition('-')[0]


def member_of(status, machine):
    """The member that lives on a machine now."""
    return next(
        n for n, r in status['members'].items() if machine_of(n) == machine and r['state'] != 'replaced'
    )


def short(status, gone, up):
    """The partitions that have fewer than two copies on stores that are up, without the one that leaves."""
    return {
        part: seat
        for part, seat in status['parts'].items()
        if sum(1 for n in seat[2:] if n != gone and machine_of(n) in up) < LOST_COPIES
    }


async def retire(town, name):
    """Ask for the store of a machine to be emptied until it is accepted; the member's name."""
    for _ in range(40):
        code, body = await town.ask('POST', '/v1/retire', {'name': town.startups[name]['address']})
        if code == 200:
            return body['member']
        await town.sleep(0.25)
    raise AssertionError((code, body))


async def completed(town, member, seconds=30):
    for _ in range(seconds * 10):
        await town.sleep(0.1)
        status = await town.status()
        if status and status.get('members', {}).get(member, {}).get('off'):
            return status
    raise AssertionError(f'{member} is never completed: {status["members"].get(member)}')


# ---- the core's reducer alone


class LoneCore:
    """A core with the one copy of its table, whose other voters keep silent, driven event by event; its disk syncs at once."""

    def __init__(self, rows):
        seat = ReplicaSet(1, 0, 'c1')
        copy = group.Copy('core', seat, has_all_rows=True, rows=Map(rows), ready=True, last_heard=START)
        fleet = {
            'id': 'f',
            'witnesses': (('c1', '1:1'), ('c2', '2:1'), ('c3', '3:1')),
            'epoch': 1,
            'seat': list(seat),
        }
        self.now = START
        self.state = core_state.Core(
            'c1',
            '1:1',
            'z',
            ('1:1',),
            group.State('c1', Map({'core': copy})),
            fleet=fleet,
            seated=START,
            born=START,
        )
        self.calls = 0

    def step(self, event):
        self.state, effects = core.step(self.state, event, self.now)
        for effect in effects:
            if type(effect) is Write:
                self.step(Wrote(effect.tag))

    def poll(self, store, address, zone):
        self.calls += 1
        message = {'k': 'poll', 'node': store, 'role': 'store', 'address': address, 'zone': zone, 'inc': 1}
        number = core_state.register_of(self.state)['number']
        self.step(Told(self.calls, {**message, 'generation': 0, 'place': 0, 'number': number}))

    def run(self, seconds, stores):
        """Let time pass; the stores poll all the while."""
        for _ in range(int(seconds * 10)):
            self.now += timedelta(milliseconds=100)
            for store in stores:
                self.poll(*store)
            self.step(Tick())

    def grant(self, part, *members):
        seat = core_state.rows_of(self.state)[f'part/{part}']
        self.calls += 1
        seat = [seat[0] + 1, seat[0], *members]
        self.step(Told(self.calls, {'k': 'seat', 'part': part, 'seat': seat}))

    def off(self, store):
        return status.status(self.state, self.now)['members'][store]['off']


STORES = (('a', '1:2', 'x'), ('b', '1:3', 'y'), ('c', '1:4', 'z'))


@given('a core whose table holds a retiring store, two others, and a partition with one copy on one of these')
def one_copy_elsewhere(context):
    rows = {
        f'member/{name}': {'role': 'store', 'address': address, 'zone': zone, 'state': 'in'}
        for name, address, zone in STORES
    }
    rows['member/a']['state'] = 'retiring'
    rows['part/p00'] = (3, 2, 'b')
    rows['register'] = {'number': 4, 'now': {'b': '1:3', 'c': '1:4'}, 'old': {}}
    context.core = LoneCore(rows)


@then('the store is not completed')
def not_completed(context):
    context.core.run(6, STORES)
    assert not context.core.off('a')


@then('the store is completed')
def is_completed(context):
    context.core.run(2, STORES)
    assert context.core.off('a')


@when('the partition is given its second copy')
def second_copy(context):
    context.core.grant('p00', 'b', 'c')


@when('the partition is left with one copy again')
def one_copy_again(context):
    context.core.grant('p00', 'b')


PLACES = {name: (name, address, zone) for name, address, zone in (*STORES, ('d', '1:5', 'z'))}


@given(
    'a core that has just become primary, with a partition on "a", "b" and "c", of which {gone} was replaced by an empty store'
)
def just_primary(context, gone):
    rows = {
        f'member/{name}': {'role': 'store', 'address': address, 'zone': zone, 'state': 'in'}
        for name, address, zone in PLACES.values()
    }
    if gone == '"c"':
        rows['member/c']['state'] = 'replaced'
    rows['part/p00'] = (3, 2, 'a', 'b', 'c')
    context.core = LoneCore(rows)
    context.core.state = context.core.state._replace(lone=True, losses=2)


@when('"{name}" has polled')
def has_polled(context, name):
    context.core.poll(*PLACES[name])


@when('{seconds:d} seconds pass in which "a" and "b" poll')
def two_poll(context, seconds):
    context.core.run(seconds, [PLACES[name] for name in ('a', 'b', 'd')])


@then('no move is planned')
def no_move(context):
    assert placement.plans(context.core.state, context.core.now) == []


@then('the one move that is planned drops "c"')
def drops(context):
    (move,) = placement.plans(context.core.state, context.core.now)
    assert move == ('p00', 'a', 'a', (4, 3, 'a', 'b')), move


@then('the one move that is planned brings another store in place of "c"')
def brings(context):
    (move,) = placement.plans(context.core.state, context.core.now)
    assert move == ('p00', 'a', 'd', (4, 3, 'a', 'b', 'd')), move


# ---- whole deployments


@when('a store is to be retired, and another loses its power for 5 seconds {moment}')
def retire_beside_a_loss(context, moment):
    async def script(town):
        left, lost = town.named('store')[:2]
        member = await retire(town, left)
        while moment != 'at once' and (await town.status())['members'][member]['parts']:
            await town.sleep(0.02)
        town.world.kill(town.machines[lost])
        seen, status = [], None
        for step in range(300):
            await town.sleep(0.1)
            if step == 50:
                town.start(lost)
            status = await town.status() or status
            if not status or 'primary' not in status or not status['primary']:
                continue
            up = {n for n in town.named('store') if town.machines[n].up}
            off = status['members'][member]['off']
            seen.append((step, off, short(status, member, up) if off else {}))
        return member, seen, status

    context.member, context.seen, context.status = context.play(script)


@then('it is completed, and each time it was so, every partition had 2 copies on other live stores')
def completed_whole(context):
    assert any(off for _, off, _ in context.seen), 'never completed'
    first, lacking = next((step, lacking) for step, off, lacking in context.seen if off)
    assert not lacking, (first, lacking)


@then('once completed it stays completed')
def stays_completed(context):
    offs = [off for _, off, _ in context.seen]
    assert all(offs[offs.index(True) :]), offs


@then('the register has a settled majority without it')
def register_settled(context):
    book = context.status['register']
    have = [n for n, v in context.status['nodes'].items() if v['role'] == 'store' and n in book['now']]
    assert context.member not in {**book['now'], **book['old']}, book
    assert not book['old'] and register.is_majority(have, book['now'], {}), book


@when('a store is retired and taken away, and another loses its disk at once')
def wipe_after_leaving(context):
    async def script(town):
        left, lost = town.named('store')[:2]
        status = await completed(town, await retire(town, left))
        town.drop(left)
        kill_and_wipe(town, lost)
        await town.sleep(2)
        town.start(lost)
        await town.crowd.idle()
        status = await wait_until_settled(town, 1)
        return town.judge(), town.crowd.report(), status

    wrong, report, context.status = context.play(script)
    context.result = {'wrong': wrong, 'report': report}


@when('a store is to be retired, loses its disk at once and comes back empty')
def retire_then_wipe(context):
    async def script(town):
        name = town.named('store')[0]
        before = await retire(town, name)
        kill_and_wipe(town, name)
        await town.sleep(2)
        town.start(name)
        for _ in range(300):
            await town.sleep(0.1)
            status = await town.status()
            if not status or not status.get('members'):
                continue
            now = member_of(status, name)
            if now != before and status['members'][now]['off']:
                break
        return before, now, status

    context.before, context.now, context.status = context.play(script)


@then('the one that lives there now is emptied and completed')
def left_all_the_same(context):
    assert context.now != context.before, context.now
    row = context.status['members'][context.now]
    assert row['off'] and not row['parts'], row
    assert context.status['members'][context.before]['state'] == 'replaced'


@when('a store is retired and taken away, and of the two that are left one loses its disk and comes back')
def register_of_two(context):
    async def script(town):
        left, lost, _ = town.named('store')
        await completed(town, await retire(town, left))
        town.drop(left)
        await town.sleep(5)
        kill_and_wipe(town, lost)
        await town.sleep(3)
        away = await town.ask('PATCH', '/v1/policy', {'keeping_s': 444})
        town.start(lost)
        for _ in range(200):
            await town.sleep(0.1)
            status = await town.status()
            live = {n for n, v in (status or {}).get('nodes', {}).items() if v['silent_ms'] < 1000}
            book = (status or {}).get('register')
            if book and not book['old'] and set(book['now']) <= live and len(book['now']) == 2:
                break
        return away, status

    context.away, context.status = context.play(script)


@then('a change is acknowledged while one is away, and the register holds the two that live')
def register_of_the_living(context):
    assert context.away[0] == 200, context.away
    book, nodes = context.status['register'], context.status['nodes']
    assert not book['old'] and len(book['now']) == 2, book
    assert all(n in nodes and nodes[n]['silent_ms'] < 1000 for n in book['now']), (book, nodes.keys())


# ---- losses that overlap, with no more lost disks than may be lost


class Away:
    """A store that is away with its disk, and how it comes back."""

    def __init__(self, town, name, loss):
        self.town, self.name, self.loss = town, name, loss
        if loss == 'is frozen':
            town.world.freeze(town.machines[name])
        elif loss.startswith('is cut off'):
            for other in town.named('store') + town.named('core'):
                if other != name:
                    town.world.cut(name, other)
        else:
            town.world.kill(town.machines[name])

    def end(self):
        if self.loss == 'is frozen':
            self.town.world.thaw(self.town.machines[self.name])
        elif self.loss.startswith('is cut off'):
            self.town.world.heal()
        else:
            self.town.start(self.name)


async def claim(town, part, run, seconds):
    """Claim a key at a partition's primary; what is known of it, and the machine that said so."""
    end = town.clock.now() + timedelta(seconds=seconds)
    command = {'op': 'once_begin', 'key': 'k', 'digest': '', 'run': run, 'until': 9e9}
    while town.clock.now() < end:
        status = await town.status()
        member = status['parts'][part][2] if status else None
        machine = machine_of(member) if member else None
        if machine and town.machines[machine].up:
            message = {'k': 'op', 'part': part, 'command': command}
            try:
                ret = await town.hand.net.ask(town.startups[machine]['address'], message, of_ms(300))
                return ret['state'], machine
            except Fault:
                pass
        await town.sleep(0.01)
    return None, None


@when('a store {loss}, the primary of its partitions takes work and loses its disk, and both come back')
def overlap(context, loss):
    async def script(town):
        part, seat = next(iter((await town.status())['parts'].items()))
        away = Away(town, machine_of(seat[3]), loss)
        state, served_by = await claim(town, part, 'first', 8)
        back = False
        if served_by:
            kill_and_wipe(town, served_by)
            await town.sleep(0.1)
            away.end()
            back = True
            await town.sleep(1)
            town.start(served_by)
        await town.sleep(0 if back else 1)
        if not back:
            away.end()
        known, _ = await claim(town, part, 'second', 30)
        return state, known

    context.claimed, context.known = context.play(script)


@then('the work that was acknowledged is known')
def work_known(context):
    if (
        context.claimed is None
    ):  # nothing was acknowledged meanwhile: it may be known or not, and is served again
        assert context.known in ('fresh', 'begun'), context.known
    else:
        assert (context.claimed, context.known) == ('fresh', 'begun'), (context.claimed, context.known)


@when(
    "{losses:d} copies of the core's table are frozen, a change is acknowledged, and {more:d} others lose their disks"
)
def overlap_core(context, losses, more):
    async def script(town):
        seat = (await town.status())['seat']
        frozen = [machine_of(n) for n in seat[3 : 3 + losses]]
        for name in frozen:
            town.world.freeze(town.machines[name])
        answer = (0, None)
        for _ in range(60):
            answer = await town.ask('PATCH', '/v1/policy', {'keeping_s': 444}, limit=2)
            if answer[0] == 200:
                break
            await town.sleep(0.02)
        status = await town.status()
        lost = [machine_of(n) for n in status['seat'][2:] if machine_of(n) not in frozen][:more]
        for name in lost:
            kill_and_wipe(town, name)
        await town.sleep(0.2)
        for name in frozen:
            town.world.thaw(town.machines[name])
        await town.sleep(1)
        for name in lost:
            town.start(name)
        shown = (0, None)
        for _ in range(60):
            await town.sleep(0.5)
            shown = await town.ask('GET', '/v1/policy', limit=2)
            if shown[0] == 200:
                break
        return answer, shown

    context.policies = context.play(script)


@then('the change that was acknowledged is shown once all are back')
def change_shown(context):
    before, shown = context.policies
    assert before[0] == 200 and shown[0] == 200, (before, shown)
    assert shown[1]['policy']['keeping_s'] == 444, shown[1]['policy']['keeping_s']


# ---- disks that are lost as all other machines lose their power


def holders_of(status, part, losses, where):
    """The machines that lose their disks: primaries first."""
    stores = [machine_of(n) for n in status['parts'][part][2:]]
    cores = [machine_of(n) for n in status['seat'][2:]]
    if where == 'one of each':
        return [stores[0], cores[0]]
    return (stores if where == 'of the partition' else cores)[:losses]


@when(
    'a change and work are acknowledged, and at once {losses:d} machines lose their disks, {where}, and all others their power'
)
def all_off(context, losses, where):
    async def script(town):
        status = await town.status()
        part = next(iter(status['parts']))
        answer = await town.ask('PATCH', '/v1/policy', {'keeping_s': 444}, limit=4)
        state, _ = await claim(town, part, 'first', 8)
        wiped = holders_of(await town.status(), part, losses, where)
        everyone = town.named('core') + town.named('store') + town.named('route')
        for name in everyone:
            if name in wiped:
                kill_and_wipe(town, name)
            else:
                town.world.kill(town.machines[name])
        await town.sleep(1)
        for name in everyone:
            town.hosts.pop(name, None)
            town.start(name)
        serving = None
        began = town.clock.now()
        while serving is None and town.clock.now() - began < timedelta(seconds=30):
            await town.sleep(0.2)
            nodes = [town.hosts.get(name) for name in town.named('route')]
            if all(
                node and node.seats and admission_state.leased(node.state, town.clock.now()) for node in nodes
            ):
                serving = (town.clock.now() - began).total_seconds()
        known, _ = await claim(town, part, 'second', 30)
        shown = (0, None)
        for _ in range(60):
            shown = await town.ask('GET', '/v1/policy', limit=2)
            if shown[0] == 200:
                break
            await town.sleep(0.5)
        return (answer, shown), state, known, serving

    context.policies, context.claimed, context.known, context.serving = context.play(script)
    assert context.claimed == 'fresh', context.claimed


@then('every machine that routes serves again within {seconds:d} seconds')
def routes_again(context, seconds):
    assert context.serving is not None and context.serving <= seconds, context.serving


# ---- a core that is told to stop


async def stop(town, name):
    """What a stop signal does on a machine; how long it took."""
    at, machine = town.clock.now(), town.machines[name]
    hand_over = getattr(controlplane, 'hand_over', None)
    if hand_over:
        await machine.spawn(hand_over(town.hosts[name]))
    town.world.kill(machine)
    return town.clock.now() - at


def core_machine(town, seat, which):
    """The machine of the core's primary, of its backup, or of a voter without a copy."""
    holders = [machine_of(n) for n in seat[2:]]
    if which.startswith('idle'):
        return next(n for n in town.named('core') if n not in holders)
    return holders[0 if which.startswith('primary') else 1]


@when("the core's {which} is told to stop and ends")
def stop_core(context, which):
    async def script(town):
        name = core_machine(town, (await town.status())['seat'], which)
        took = await stop(town, name)
        at = town.clock.now()
        code = None
        while code != 200 and town.clock.now() - at < timedelta(seconds=12):
            code, _ = await town.ask('PATCH', '/v1/policy', {'keeping_s': 444})
            await town.sleep(0.05)
        changed = town.clock.now() - at
        await town.sleep(1)
        return name, took, (code, changed), await town.status()

    context.which = which
    context.name, context.took, context.changed, context.status = context.play(script)


@then('it ended within {seconds:d} seconds, and a change sent as it ends is taken within {most:d} seconds')
def taken_soon(context, seconds, most):
    assert context.took <= timedelta(seconds=seconds), context.took
    code, took = context.changed
    assert code == 200 and took <= timedelta(seconds=most), (code, took)


@then('the core has {copies:d} copies and {voters:d} voters, and none of the copies is the one that ended')
def handed_over(context, copies, voters):
    seat = context.status['seat']
    assert len(seat) - 2 == copies and len(context.status['core']) == voters, context.status['core']
    assert context.name not in [machine_of(n) for n in seat[2:]], (context.name, seat)
    if 'another waits' in context.which:
        assert context.name not in [machine_of(n) for n, _ in context.status['core']], context.status['core']


@when("the core's {which} is gone for good while another core waits")
def voter_gone(context, which):
    async def script(town):
        before = await town.status()
        voters = [machine_of(n) for n, _ in before['core']]
        holders = [machine_of(n) for n in before['seat'][2:]]
        places = {'primary': holders[0], 'backup': holders[1]}
        name = places.get(which) or next(n for n in voters if n not in holders)
        town.drop(name)
        at = town.clock.now()
        while town.clock.now() - at < timedelta(seconds=12):
            await town.sleep(0.05)
            now = await town.status()
            if now and now['primary'] and name not in [machine_of(n) for n, _ in now['core']]:
                break
        return town.clock.now() - at, len(now['core'])

    context.took, context.voters = context.play(script)


@then('within {seconds:g} seconds the other is a voter in its place, before the next loss may come')
def voter_replaced(context, seconds):
    assert context.voters == 3 and context.took <= timedelta(seconds=seconds), (context.took, context.voters)


@when("the core's primary loses its power for 3 seconds, twice")
def primary_twice(context):
    async def script(town):
        lost = set()
        for _ in range(2):
            name = machine_of((await town.status())['seat'][2])
            lost.add(name)
            town.world.kill(town.machines[name])
            await town.sleep(3)
            town.start(name)
            await town.sleep(6)
        lines = [x for n in town.named('core') for x in town.machines[n].journal.lines]
        return lost, {machine_of(x['out']) for x in lines if x['kind'] == 'swap' and x['out']}

    context.lost, context.replaced = context.play(script)


@then('no core that was up has been replaced')
def none_that_was_up(context):
    assert context.replaced <= context.lost, (context.replaced, context.lost)


@when('all other cores are down and the primary is told to stop')
def stop_alone(context):
    async def script(town):
        name = core_machine(town, (await town.status())['seat'], 'primary')
        for other in town.named('core'):
            if other != name:
                town.world.kill(town.machines[other])
        return await stop(town, name)

    context.took = context.play(script)


@then('it ended within {seconds:d} seconds')
def ended_soon(context, seconds):
    assert context.took <= timedelta(seconds=seconds), context.took


# ---- how long repair takes

PARTITIONS = 24
TURNS = 5  # in each partition
PROMPT = 50_000  # characters of a turn


async def keep_turns(town):
    """Give each partition its share of kept turns, no two alike."""
    status = await town.status()
    address = {n: v['address'] for n, v in status['nodes'].items()}
    for part, seat in status['parts'].items():
        for turn in range(TURNS):
            prompt = ''.join(f'{town.world.dice.getrandbits(64):016x}' for _ in range(PROMPT // 16))
            keep = {'conv': f'{part}.{turn}', 'prev': None, 'prompt': prompt, 'text': 'x'}
            ask = {'op': 'end', 'program': part, 'turn': f'{part}.{turn}', 'used': 1}
            command = {**ask, 'keep': keep, 'keeping_s': 600}
            message = {'k': 'op', 'part': part, 'to': seat[2], 'command': command}
            ret = await town.hand.net.ask(address[seat[2]], message, of_ms(3000))
            assert ret.get('ok'), ret


@given('a deployment with {stores:d} stores and 24 partitions that hold 6 MB')
def full_deployment(context, stores):
    def play(script):
        async def main(world):
            town, cores = simulated_town(world, 'cartalume', stores, 3, 1)
            for startup in town.startups.values():
                startup.update(parts=PARTITIONS)
            await open_and_settle(town, cores, 1)
            await keep_turns(town)
            return await script(town)

        return World.play(51 + stores, main)

    context.play = play


@when('a store loses its power for good')
def power_for_good(context):
    async def script(town):
        name = town.named('store')[0]
        town.drop(name)
        return await repaired(town, name)

    context.took = context.play(script)


@when('a store loses its disk and starts again empty')
def disk_and_back(context):
    async def script(town):
        name = town.named('store')[0]
        before = member_of(await town.status(), name)
        kill_and_wipe(town, name)
        await town.sleep(3)
        town.start(name)
        return await repaired(town, None, before)

    context.took = context.play(script)


async def repaired(town, machine, member=None):
    """How long from now until every partition has two copies on live stores."""
    at = town.clock.now()
    while town.clock.now() - at < timedelta(seconds=15):
        await town.sleep(0.05)
        status = await town.status()
        if status and len(status.get('parts', ())) == PARTITIONS:
            seats = [seat[2:] for seat in status['parts'].values()]
            if all(len(s) == LOST_COPIES and member not in s for s in seats) and not any(
                machine_of(n) == machine for s in seats for n in s
            ):
                return town.clock.now() - at
    return town.clock.now() - at


@then('every partition has 2 copies on live stores within {seconds:g} seconds of {moment}')
def repaired_soon(context, seconds, moment):
    assert context.took <= timedelta(seconds=seconds), context.took
