"""Steps on a second loss: stores that retire, partitions with one copy, registers without a majority."""

from datetime import UTC, datetime, timedelta

from behave import given, then, when
from copies import kill_and_wipe, open_and_settle, simulated_town, wait_until_settled
from immutables import Map

from quillstall.controlplane import core, core_state, placement, status
from quillstall.controlplane import run as controlplane
from quillstall.dataplane.admission import admission_state
from quillstall.replication import group, register
from quillstall.replication.copies import ReplicaSet
from quillstall.runtime.clock import from_ms
from quillstall.runtime.effect import Tick, Told, Write, Wrote
from quillstall.runtime.errors import Fault
from quillstall.testbed.sim import World

COPIES = 2
START = datetime(2026, 1, 1, tzinfo=UTC)


def machine_of(member):
    return member.rpartition('-')[0]


def member_of(status, machine):
    """Return the member that runs on a machine now."""
    return next(
        n for n, r in status['members'].items() if machine_of(n) == machine and r['state'] != 'replaced'
    )


def under_replicated(status, leaving, up):
    """Return the partitions with fewer than two copies on running stores, not counting the one that leaves."""
    return {
        partition: replica_set
        for partition, replica_set in status['parts'].items()
        if sum(1 for member in replica_set[2:] if member != leaving and machine_of(member) in up) < COPIES
    }


async def request_retirement(town, name):
    """Request the retirement of a machine's store until it is accepted; return the member's name."""
    for _ in range(40):
        code, body = await town.ask('POST', '/v1/retire', {'name': town.startups[name]['address']})
        if code == 200:
            return body['member']
        await town.sleep(0.25)
    raise AssertionError((code, body))


async def wait_for_retirement(town, member, seconds=30):
    for _ in range(seconds * 10):
        await town.sleep(0.1)
        status = await town.status()
        if status and status.get('members', {}).get(member, {}).get('off'):
            return status
    raise AssertionError(f'{member} never completes its retirement: {status["members"].get(member)}')


# ---- the core's reducer by itself


class SingleCore:
    """A core with the only copy of the core table, driven event by event; its disk syncs at once, and no other voter answers."""

    def __init__(self, rows):
        replica_set = ReplicaSet(1, 0, 'c1')
        copy = group.Copy(
            'core', replica_set, has_all_rows=True, rows=Map(rows), ready=True, last_heard=START
        )
        fleet = {
            'id': 'f',
            'witnesses': (('c1', '1:1'), ('c2', '2:1'), ('c3', '3:1')),
            'epoch': 1,
            'seat': list(replica_set),
        }
        self.now = START
        self.state = core_state.Core(
            'c1',
            '1:1',
            'z',
            ('1:1',),
            group.State('c1', Map({'core': copy})),
            fleet=fleet,
            primary_since=START,
            started_at=START,
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
        number = core_state.current_register(self.state)['number']
        self.step(Told(self.calls, {**message, 'generation': 0, 'place': 0, 'number': number}))

    def run(self, seconds, stores):
        """Let time pass while the stores poll."""
        for _ in range(int(seconds * 10)):
            self.now += timedelta(milliseconds=100)
            for store in stores:
                self.poll(*store)
            self.step(Tick())

    def set_members(self, partition, *members):
        replica_set = core_state.confirmed_rows(self.state)[f'part/{partition}']
        self.calls += 1
        replica_set = [replica_set[0] + 1, replica_set[0], *members]
        self.step(Told(self.calls, {'k': 'seat', 'part': partition, 'seat': replica_set}))

    def retired(self, store):
        return status.status(self.state, self.now)['members'][store]['off']


STORES = (('a', '1:2', 'x'), ('b', '1:3', 'y'), ('c', '1:4', 'z'))


@given('a core whose table holds a retiring store, two others, and a partition with one copy on one of these')
def core_with_one_copy(context):
    rows = {
        f'member/{name}': {'role': 'store', 'address': address, 'zone': zone, 'state': 'in'}
        for name, address, zone in STORES
    }
    rows['member/a']['state'] = 'retiring'
    rows['part/p00'] = (3, 2, 'b')
    rows['register'] = {'number': 4, 'now': {'b': '1:3', 'c': '1:4'}, 'old': {}}
    context.core = SingleCore(rows)


@then('the store is not completed')
def not_completed(context):
    context.core.run(6, STORES)
    assert not context.core.retired('a')


@then('the store is completed')
def is_completed(context):
    context.core.run(2, STORES)
    assert context.core.retired('a')


@when('the partition is given its second copy')
def second_copy(context):
    context.core.set_members('p00', 'b', 'c')


@when('the partition is left with one copy again')
def one_copy_again(context):
    context.core.set_members('p00', 'b')


STORES_BY_NAME = {name: (name, address, zone) for name, address, zone in (*STORES, ('d', '1:5', 'z'))}


@given(
    'a core that has just become primary, with a partition on "a", "b" and "c", of which {replaced} was replaced by an empty store'
)
def new_primary(context, replaced):
    rows = {
        f'member/{name}': {'role': 'store', 'address': address, 'zone': zone, 'state': 'in'}
        for name, address, zone in STORES_BY_NAME.values()
    }
    if replaced == '"c"':
        rows['member/c']['state'] = 'replaced'
    rows['part/p00'] = (3, 2, 'a', 'b', 'c')
    context.core = SingleCore(rows)
    context.core.state = context.core.state._replace(degraded_mode=True, tolerated_losses=2)


@when('"{name}" has polled')
def has_polled(context, name):
    context.core.poll(*STORES_BY_NAME[name])


@when('{seconds:d} seconds pass in which "a" and "b" poll')
def two_stores_poll(context, seconds):
    context.core.run(seconds, [STORES_BY_NAME[name] for name in ('a', 'b', 'd')])


@then('no reconfiguration is planned')
def nothing_planned(context):
    assert placement.plan_reconfigurations(context.core.state, context.core.now) == []


@then('the only planned reconfiguration drops "c"')
def plan_drops_member(context):
    (move,) = placement.plan_reconfigurations(context.core.state, context.core.now)
    assert move == ('p00', 'a', 'a', (4, 3, 'a', 'b')), move


@then('the only planned reconfiguration adds another store in place of "c"')
def plan_replaces_member(context):
    (move,) = placement.plan_reconfigurations(context.core.state, context.core.now)
    assert move == ('p00', 'a', 'd', (4, 3, 'a', 'b', 'd')), move


# ---- whole deployments


@when('a store is to be retired, and another loses its power for 5 seconds {moment}')
def retire_with_loss(context, moment):
    async def script(town):
        leaving, lost = town.named('store')[:2]
        member = await request_retirement(town, leaving)
        while moment != 'at once' and (await town.status())['members'][member]['parts']:
            await town.sleep(0.02)
        town.world.kill(town.machines[lost])
        observations, status = [], None
        for step in range(300):
            await town.sleep(0.1)
            if step == 50:
                town.start(lost)
            status = await town.status() or status
            if not status or 'primary' not in status or not status['primary']:
                continue
            up = {n for n in town.named('store') if town.machines[n].up}
            retired = status['members'][member]['off']
            observations.append((step, retired, under_replicated(status, member, up) if retired else {}))
        return member, observations, status

    context.member, context.observations, context.status = context.play(script)


@then('it is completed, and whenever it was, every partition had 2 copies on other live stores')
def completed_with_all_copies(context):
    assert any(retired for _, retired, _ in context.observations), 'the retirement never completes'
    first, lacking_copies = next(
        (step, lacking_copies) for step, retired, lacking_copies in context.observations if retired
    )
    assert not lacking_copies, (first, lacking_copies)


@then('once completed it stays completed')
def stays_completed(context):
    retirements = [retired for _, retired, _ in context.observations]
    assert all(retirements[retirements.index(True) :]), retirements


@then('the register has a confirmed majority without it')
def register_confirmed(context):
    register_row = context.status['register']
    known_stores = [
        name
        for name, node in context.status['nodes'].items()
        if node['role'] == 'store' and name in register_row['now']
    ]
    assert context.member not in {**register_row['now'], **register_row['old']}, register_row
    assert not register_row['old'] and register.is_majority(known_stores, register_row['now'], {}), (
        register_row
    )


@when('a store is retired and taken away, and another loses its disk at once')
def wipe_after_retirement(context):
    async def script(town):
        leaving, failing = town.named('store')[:2]
        status = await wait_for_retirement(town, await request_retirement(town, leaving))
        town.drop(leaving)
        kill_and_wipe(town, failing)
        await town.sleep(2)
        town.start(failing)
        await town.crowd.idle()
        status = await wait_until_settled(town, 1)
        return town.judge(), town.crowd.report(), status

    violations, report, context.status = context.play(script)
    context.result = {'wrong': violations, 'report': report}


@when('a store is to be retired, loses its disk at once and comes back empty')
def retire_then_wipe(context):
    async def script(town):
        name = town.named('store')[0]
        previous = await request_retirement(town, name)
        kill_and_wipe(town, name)
        await town.sleep(2)
        town.start(name)
        for _ in range(300):
            await town.sleep(0.1)
            status = await town.status()
            if not status or not status.get('members'):
                continue
            current = member_of(status, name)
            if current != previous and status['members'][current]['off']:
                break
        return previous, current, status

    context.previous, context.current, context.status = context.play(script)


@then('the store that runs there now is emptied and its retirement completed')
def successor_retired(context):
    assert context.current != context.previous, context.current
    row = context.status['members'][context.current]
    assert row['off'] and not row['parts'], row
    assert context.status['members'][context.previous]['state'] == 'replaced'


@when('a store is retired and taken away, and of the two remaining ones one loses its disk and comes back')
def register_of_two(context):
    async def script(town):
        leaving, failing, _ = town.named('store')
        await wait_for_retirement(town, await request_retirement(town, leaving))
        town.drop(leaving)
        await town.sleep(5)
        kill_and_wipe(town, failing)
        await town.sleep(3)
        answer = await town.ask('PATCH', '/v1/policy', {'keeping_s': 444})
        town.start(failing)
        for _ in range(200):
            await town.sleep(0.1)
            status = await town.status()
            live = {n for n, v in (status or {}).get('nodes', {}).items() if v['silent_ms'] < 1000}
            register_row = (status or {}).get('register')
            if (
                register_row
                and not register_row['old']
                and set(register_row['now']) <= live
                and len(register_row['now']) == 2
            ):
                break
        return answer, status

    context.change_answer, context.status = context.play(script)


@then('a change is acknowledged while one is away, and the register holds the two live stores')
def register_of_live_stores(context):
    assert context.change_answer[0] == 200, context.change_answer
    register_row, nodes = context.status['register'], context.status['nodes']
    assert not register_row['old'] and len(register_row['now']) == 2, register_row
    assert all(n in nodes and nodes[n]['silent_ms'] < 1000 for n in register_row['now']), (
        register_row,
        nodes.keys(),
    )


# ---- overlapping losses, with no more lost disks than the fault tolerance allows


class UnavailableStore:
    """A store that is unavailable with its disk intact, and how it comes back."""

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


async def begin_keyed(town, partition, attempt, seconds):
    """Begin a keyed operation at a partition's primary; return the state of the key and the machine that replied."""
    deadline = town.clock.now() + timedelta(seconds=seconds)
    command = {'op': 'once_begin', 'key': 'k', 'digest': '', 'run': attempt, 'until': 9e9}
    while town.clock.now() < deadline:
        status = await town.status()
        member = status['parts'][partition][2] if status else None
        machine = machine_of(member) if member else None
        if machine and town.machines[machine].up:
            message = {'k': 'op', 'part': partition, 'command': command}
            try:
                reply = await town.hand.net.ask(town.startups[machine]['address'], message, from_ms(300))
                return reply['state'], machine
            except Fault:
                pass
        await town.sleep(0.01)
    return None, None


@when(
    'a store {loss}, the primary of its partitions accepts a keyed operation and loses its disk, and both come back'
)
def overlapping_losses(context, loss):
    async def script(town):
        partition, replica_set = next(iter((await town.status())['parts'].items()))
        absent = UnavailableStore(town, machine_of(replica_set[3]), loss)
        state, served_by = await begin_keyed(town, partition, 'first', 8)
        returned = False
        if served_by:
            kill_and_wipe(town, served_by)
            await town.sleep(0.1)
            absent.end()
            returned = True
            await town.sleep(1)
            town.start(served_by)
        await town.sleep(0 if returned else 1)
        if not returned:
            absent.end()
        second_begin, _ = await begin_keyed(town, partition, 'second', 30)
        return state, second_begin

    context.acknowledged, context.second_begin = context.play(script)


@then('the acknowledged keyed operation is known')
def operation_known(context):
    # without an acknowledgement the operation may be known or not, but the partition serves again
    if context.acknowledged is None:
        assert context.second_begin in ('fresh', 'begun'), context.second_begin
    else:
        assert (context.acknowledged, context.second_begin) == ('fresh', 'begun'), (
            context.acknowledged,
            context.second_begin,
        )


@when(
    "{losses:d} copies of the core's table are frozen, a change is acknowledged, and {more:d} others lose their disks"
)
def overlapping_core_losses(context, losses, more):
    async def script(town):
        replica_set = (await town.status())['seat']
        frozen = [machine_of(n) for n in replica_set[3 : 3 + losses]]
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
    answer, shown = context.policies
    assert answer[0] == 200 and shown[0] == 200, (answer, shown)
    assert shown[1]['policy']['keeping_s'] == 444, shown[1]['policy']['keeping_s']


# ---- disks that are lost while all other machines lose power


def machines_to_wipe(status, partition, losses, where):
    """Return the machines that lose their disks, primaries first."""
    stores = [machine_of(n) for n in status['parts'][partition][2:]]
    cores = [machine_of(n) for n in status['seat'][2:]]
    if where == 'one of each':
        return [stores[0], cores[0]]
    return (stores if where == 'of the partition' else cores)[:losses]


@when(
    'a change and a keyed operation are acknowledged, and at once {losses:d} machines lose their disks, {where}, and all others their power'
)
def lose_everything(context, losses, where):
    async def script(town):
        status = await town.status()
        partition = next(iter(status['parts']))
        answer = await town.ask('PATCH', '/v1/policy', {'keeping_s': 444}, limit=4)
        state, _ = await begin_keyed(town, partition, 'first', 8)
        wiped = machines_to_wipe(await town.status(), partition, losses, where)
        all_machines = town.named('core') + town.named('store') + town.named('route')
        for name in all_machines:
            if name in wiped:
                kill_and_wipe(town, name)
            else:
                town.world.kill(town.machines[name])
        await town.sleep(1)
        for name in all_machines:
            town.hosts.pop(name, None)
            town.start(name)
        serving = None
        started = town.clock.now()
        while serving is None and town.clock.now() - started < timedelta(seconds=30):
            await town.sleep(0.2)
            nodes = [town.hosts.get(name) for name in town.named('route')]
            if all(
                node and node.replica_sets and admission_state.leased(node.state, town.clock.now())
                for node in nodes
            ):
                serving = (town.clock.now() - started).total_seconds()
        second_begin, _ = await begin_keyed(town, partition, 'second', 30)
        shown = (0, None)
        for _ in range(60):
            shown = await town.ask('GET', '/v1/policy', limit=2)
            if shown[0] == 200:
                break
            await town.sleep(0.5)
        return (answer, shown), state, second_begin, serving

    context.policies, context.acknowledged, context.second_begin, context.serving = context.play(script)
    assert context.acknowledged == 'fresh', context.acknowledged


@then('every routing node serves again within {seconds:d} seconds')
def routing_resumed(context, seconds):
    assert context.serving is not None and context.serving <= seconds, context.serving


# ---- a core that is told to stop


async def stop_machine(town, name):
    """Stop a machine as a stop signal does; return how long that took."""
    started, machine = town.clock.now(), town.machines[name]
    hand_over = getattr(controlplane, 'hand_over', None)
    if hand_over:
        await machine.spawn(hand_over(town.hosts[name]))
    town.world.kill(machine)
    return town.clock.now() - started


def core_machine(town, replica_set, which):
    """Return the machine of the core's primary, of its backup, or of a voter without a copy."""
    holders = [machine_of(n) for n in replica_set[2:]]
    if which.startswith('idle'):
        return next(n for n in town.named('core') if n not in holders)
    return holders[0 if which.startswith('primary') else 1]


@when("the core's {which} is told to stop and ends")
def stop_core(context, which):
    async def script(town):
        name = core_machine(town, (await town.status())['seat'], which)
        took = await stop_machine(town, name)
        started = town.clock.now()
        code = None
        while code != 200 and town.clock.now() - started < timedelta(seconds=12):
            code, _ = await town.ask('PATCH', '/v1/policy', {'keeping_s': 444})
            await town.sleep(0.05)
        changed_after = town.clock.now() - started
        await town.sleep(1)
        return name, took, (code, changed_after), await town.status()

    context.which = which
    context.name, context.took, context.changed, context.status = context.play(script)


@then('it ended within {seconds:d} seconds, and a change sent as it ends is accepted within {most:d} seconds')
def change_accepted_soon(context, seconds, most):
    assert context.took <= timedelta(seconds=seconds), context.took
    code, took = context.changed
    assert code == 200 and took <= timedelta(seconds=most), (code, took)


@then('the core has {copies:d} copies and {voters:d} voters, and none of the copies is the one that ended')
def handed_over(context, copies, voters):
    replica_set = context.status['seat']
    assert len(replica_set) - 2 == copies and len(context.status['core']) == voters, context.status['core']
    assert context.name not in [machine_of(n) for n in replica_set[2:]], (context.name, replica_set)
    if 'another waits' in context.which:
        assert context.name not in [machine_of(n) for n, _ in context.status['core']], context.status['core']


@when("the core's {which} is gone for good while another core waits")
def voter_lost(context, which):
    async def script(town):
        status = await town.status()
        voters = [machine_of(n) for n, _ in status['core']]
        holders = [machine_of(n) for n in status['seat'][2:]]
        by_role = {'primary': holders[0], 'backup': holders[1]}
        name = by_role.get(which) or next(n for n in voters if n not in holders)
        town.drop(name)
        started = town.clock.now()
        while town.clock.now() - started < timedelta(seconds=12):
            await town.sleep(0.05)
            now = await town.status()
            if now and now['primary'] and name not in [machine_of(n) for n, _ in now['core']]:
                break
        return town.clock.now() - started, len(now['core'])

    context.took, context.voters = context.play(script)


@then('within {seconds:g} seconds the other is a voter in its place, before the next tolerated loss')
def voter_replaced(context, seconds):
    assert context.voters == 3 and context.took <= timedelta(seconds=seconds), (context.took, context.voters)


@when("the core's primary loses its power for 3 seconds, twice")
def primary_fails_twice(context):
    async def script(town):
        lost = set()
        for _ in range(2):
            name = machine_of((await town.status())['seat'][2])
            lost.add(name)
            town.world.kill(town.machines[name])
            await town.sleep(3)
            town.start(name)
            await town.sleep(6)
        lines = [line for n in town.named('core') for line in town.machines[n].journal.lines]
        return lost, {machine_of(line['out']) for line in lines if line['kind'] == 'swap' and line['out']}

    context.lost, context.replaced = context.play(script)


@then('no core that was up has been replaced')
def no_live_core_replaced(context):
    assert context.replaced <= context.lost, (context.replaced, context.lost)


@when('all other cores are down and the primary is told to stop')
def stop_alone(context):
    async def script(town):
        name = core_machine(town, (await town.status())['seat'], 'primary')
        for other in town.named('core'):
            if other != name:
                town.world.kill(town.machines[other])
        return await stop_machine(town, name)

    context.took = context.play(script)


@then('it ended within {seconds:d} seconds')
def ended_soon(context, seconds):
    assert context.took <= timedelta(seconds=seconds), context.took


# ---- how long repair takes

PARTITIONS = 24
TURNS_PER_PARTITION = 5
PROMPT_CHARACTERS = 50_000


async def store_turns(town):
    """Store retained turns in each partition, no two alike."""
    status = await town.status()
    addresses = {n: node['address'] for n, node in status['nodes'].items()}
    for partition, replica_set in status['parts'].items():
        for turn in range(TURNS_PER_PARTITION):
            prompt = ''.join(
                f'{town.world.dice.getrandbits(64):016x}' for _ in range(PROMPT_CHARACTERS // 16)
            )
            content = {'conv': f'{partition}.{turn}', 'prev': None, 'prompt': prompt, 'text': 'x'}
            operation = {'op': 'end', 'program': partition, 'turn': f'{partition}.{turn}', 'used': 1}
            command = {**operation, 'keep': content, 'keeping_s': 600}
            message = {'k': 'op', 'part': partition, 'to': replica_set[2], 'command': command}
            reply = await town.hand.net.ask(addresses[replica_set[2]], message, from_ms(3000))
            assert reply.get('ok'), reply


@given('a deployment with {stores:d} stores and 24 partitions that hold 6 MB')
def full_deployment(context, stores):
    def play(script):
        async def main(world):
            town, cores = simulated_town(world, 'cartalume', stores, 3, 1)
            for startup in town.startups.values():
                startup.update(parts=PARTITIONS)
            await open_and_settle(town, cores, 1)
            await store_turns(town)
            return await script(town)

        return World.play(51 + stores, main)

    context.play = play


@when('a store loses its power for good')
def lose_store_for_good(context):
    async def script(town):
        name = town.named('store')[0]
        town.drop(name)
        return await time_to_repair(town, name)

    context.took = context.play(script)


@when('a store loses its disk and starts again empty')
def lose_disk_and_return(context):
    async def script(town):
        name = town.named('store')[0]
        previous = member_of(await town.status(), name)
        kill_and_wipe(town, name)
        await town.sleep(3)
        town.start(name)
        return await time_to_repair(town, None, previous)

    context.took = context.play(script)


async def time_to_repair(town, machine, member=None):
    """Return the time from now until every partition has two copies on live stores."""
    started = town.clock.now()
    while town.clock.now() - started < timedelta(seconds=15):
        await town.sleep(0.05)
        status = await town.status()
        if status and len(status.get('parts', ())) == PARTITIONS:
            replica_sets = [replica_set[2:] for replica_set in status['parts'].values()]
            if all(len(members) == COPIES and member not in members for members in replica_sets) and not any(
                machine_of(n) == machine for members in replica_sets for n in members
            ):
                return town.clock.now() - started
    return town.clock.now() - started


@then('every partition has 2 copies on live stores within {seconds:g} seconds of {moment}')
def repaired_soon(context, seconds, moment):
    assert context.took <= timedelta(seconds=seconds), context.took
