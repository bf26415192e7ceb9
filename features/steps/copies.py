"""Steps that lose several machines at once, and check how many copies are left and are made anew."""

import asyncio
from datetime import timedelta

from behave import given, then, when

from quillstall.controlplane import core_state
from quillstall.runtime.clock import from_ms
from quillstall.runtime.errors import Fault
from quillstall.testbed.deploy import DEPLOYS, machines
from quillstall.testbed.sim import World
from quillstall.testbed.town import Town

PRIMARY_KNOWN_S = 4  # after an election, until every core has heard of it and old leases are over


def simulated_town(world, name, stores, cores, losses):
    """Return a simulated deployment that tolerates `losses`, and how many cores it shall have."""
    deploy = DEPLOYS[name]()
    deploy = deploy._replace(machines=machines('10.0', 7000, 4, stores))
    town = Town(world, deploy)
    for startup in town.startups.values():
        startup.update(losses=losses, lone=True, silent_ms=1000)
    return town, cores


async def open_and_settle(town, cores, losses):
    """Start the deployment with so many cores, and wait until everything has all its copies."""
    await town.open()
    for n in range(3, cores):
        town.add(f'core{n}', 'core', f'z{n % 3}', f'10.0.1.{n + 1}')
    for _ in range(60):
        await town.sleep(1)
        status = await town.status()
        if status and has_all_copies(status, losses):
            return
    raise AssertionError(f'never has all copies: {summary(status)}')


def summary(status):
    """Return what a status says of the copies."""
    return status and (status.get('seat'), status.get('core'), status.get('parts'))


def has_all_copies(status, losses):
    """Return whether the core has all its voters and copies, and each partition all its copies."""
    return (
        len(status['core']) == 2 * losses + 1
        and len(status['seat']) == losses + 3
        and status['parts']
        and all(len(replica_set) == losses + 3 for replica_set in status['parts'].values())
    )


async def wait_until_settled(town, losses, seconds=40):
    """Wait until everything has all its copies, at most so many seconds; return the last status."""
    status = None
    for _ in range(seconds):
        await town.sleep(1)
        status = await town.status() or status
        if status and has_all_copies(status, losses):
            break
    return status


def kill_and_wipe(town, name):
    """Take a machine's power and its disk."""
    town.world.kill(town.machines[name])
    town.world.wipe(town.machines[name])


@given(
    'the deployment "{name}" with {stores:d} stores and {cores:d} cores that tolerates {losses:d} losses, seed {seed:d}'
)
def given_town(context, name, stores, cores, losses, seed):
    context.losses = losses
    context.stores = stores

    def play(script):
        async def main(world):
            town, core_count = simulated_town(world, name, stores, cores, losses)
            await open_and_settle(town, core_count, losses)
            return await script(town)

        return World.play(seed, main)

    context.play = play


@when("callers send requests, and two stores lose their disks at once, later the core's primary and a backup")
def two_lost(context):
    async def script(town):
        callers = asyncio.ensure_future(town.crowd.play(timedelta(seconds=24)))
        await town.sleep(4)
        before = await town.status()
        replica_set = next(iter(before['parts'].values()))
        lost = [n.rpartition('-')[0] for n in replica_set[2:4]]
        for name in lost:
            kill_and_wipe(town, name)
        await town.sleep(2.5)
        for name in lost:
            town.start(name)
        await town.sleep(6)
        lost = [n.rpartition('-')[0] for n in (await town.status())['seat'][2:4]]
        answer = await town.ask('PATCH', '/v1/policy', {'keeping_s': 444})
        for name in lost:
            kill_and_wipe(town, name)
        await town.sleep(2.5)
        for name in lost:
            town.start(name)
        await callers
        await town.crowd.idle()
        status = await wait_until_settled(town, context.losses)
        shown = await town.ask('GET', '/v1/policy')
        return town.judge(), town.crowd.report(), status, (answer, shown)

    wrong, report, context.status, context.policies = context.play(script)
    context.result = {'wrong': wrong, 'report': report}


@then('the policy that was acknowledged before is shown')
def still_shown(context):
    before, shown = context.policies
    assert before[0] == 200 and shown[0] == 200, (before, shown[0])
    assert shown[1]['policy']['keeping_s'] == 444 and shown[1]['generation'] >= before[1]['generation']


@then(
    'every partition has {copies:d} copies in {zones:d} zones, the core {core_copies:d} copies and {voters:d} voters'
)
def all_copies(context, copies, zones, core_copies, voters):
    status = context.status
    assert status, 'no status'
    zone_of = {name: member['zone'] for name, member in status['members'].items()}
    for partition, replica_set in status['parts'].items():
        assert len(replica_set) - 2 == copies and len({zone_of[n] for n in replica_set[2:]}) == zones, (
            partition,
            replica_set,
            zone_of,
        )
    assert len(status['seat']) - 2 == core_copies and len(status['core']) == voters, (
        status['seat'],
        status['core'],
    )


@when('every process of the fleet is killed while callers send requests, and started again')
def all_killed(context):
    async def script(town):
        callers = asyncio.ensure_future(town.crowd.play(timedelta(seconds=14)))
        await town.sleep(5)
        answer = await town.ask('PATCH', '/v1/policy', {'keeping_s': 444})
        for name in town.startups:
            town.world.kill(town.machines[name])
        await town.sleep(0.8)
        for name in town.startups:
            town.start(name)
        restarted_at = town.clock.now()
        served = None
        while served is None and town.clock.now() - restarted_at < timedelta(seconds=12):
            await town.sleep(0.2)
            copies = [
                c
                for n in town.named('store')
                if n in town.hosts
                for c in town.hosts[n].state.copies.partitions.values()
                if c.replica_set and c.replica_set.primary == town.hosts[n].state.me and c.ready
            ]
            if len(copies) == 8:
                served = town.clock.now() - restarted_at
        await callers
        await town.crowd.idle()
        status = await wait_until_settled(town, context.losses)
        shown = await town.ask('GET', '/v1/policy')
        return town.judge(), town.crowd.report(), status, served, (answer, shown)

    wrong, report, context.status, context.served, context.policies = context.play(script)
    context.result = {'wrong': wrong, 'report': report}


@then(
    '{core_copies:d} copies of the core and {copies:d} of every partition in {zones:d} zones serve within {seconds:d} seconds'
)
def all_served(context, core_copies, copies, zones, seconds):
    assert context.served is not None and context.served <= timedelta(seconds=seconds), context.served
    all_copies(context, copies, zones, core_copies, 5)


@when('a store {loss} while callers send requests')
def one_lost(context, loss):
    async def script(town):
        callers = asyncio.ensure_future(town.crowd.play(timedelta(seconds=14)))
        await town.sleep(4)
        name = next(iter((await town.status())['parts'].values()))[2].rpartition('-')[0]
        machine, change = town.machines[name], None
        if loss.startswith('is frozen'):
            town.world.freeze(machine)
        elif loss.startswith('is cut off'):
            for other in town.named('store') + town.named('core'):
                if other != name:
                    town.world.cut(name, other)
        elif loss.startswith('waits for its disk'):
            machine.hung = True
            if 'as a policy is changed' in loss:
                change = asyncio.ensure_future(town.ask('PATCH', '/v1/policy', {'keeping_s': 445}))
        elif loss == 'loses its disk':
            kill_and_wipe(town, name)
        else:
            town.world.kill(machine)
        lost_at, served = town.clock.now(), None
        while served is None and town.clock.now() - lost_at < timedelta(seconds=12):
            await town.sleep(0.05)
            hosts = [
                town.hosts[n].state.copies.partitions
                for n in town.named('store')
                if n != name and town.machines[n].up
            ]
            ready = {
                p: len(c.replica_set.members)
                for partitions in hosts
                for p, c in partitions.items()
                if c.ready
                and not c.sealed
                and c.replica_set
                and not any(m.startswith(name) for m in c.replica_set.members)
                and c.replica_set.primary
                in [h for h in [x.me for x in [town.hosts[n].state for n in town.named('store')]]]
            }
            if len(ready) == town.startups[name]['parts']:
                served = town.clock.now() - lost_at
        single_copy_count = sum(
            1
            for n in town.named('store')
            for line in town.machines[n].journal.lines
            if line['kind'] == 'seat' and line['backups'] == []
        )
        await town.sleep(2)
        if loss.startswith('is frozen'):
            town.world.thaw(machine)
        elif loss.startswith('is cut off'):
            town.world.heal()
        elif loss.startswith('waits for its disk'):
            machine.hung = False
        else:
            town.start(name)
        await callers
        if change:
            answer, _ = await change
            assert answer == 200, answer
        await town.crowd.idle()
        status = await wait_until_settled(town, context.losses)
        return town.judge(), town.crowd.report(), status, served, single_copy_count

    wrong, report, context.status, context.served, context.single_copy_count = context.play(script)
    context.result = {'wrong': wrong, 'report': report}


@then('every partition is served again within {seconds:d} seconds of the loss, by two copies at every moment')
def served_by_two(context, seconds):
    assert context.single_copy_count == 0, (
        f'{context.single_copy_count} times a partition was served by one copy'
    )
    assert context.served is not None and context.served <= timedelta(seconds=seconds), context.served


@when('a store is frozen, its partitions are changed without it, and it is asked as it wakes')
def asked_after_thaw(context):
    async def script(town):
        first = next((p, s) for p, s in (await town.status())['parts'].items())
        _partition, name = first[0], first[1][2].rpartition('-')[0]
        old = town.hosts[name].state
        led_before = [
            p
            for p, c in old.copies.partitions.items()
            if c.replica_set and c.replica_set.primary == old.me and c.ready
        ]
        town.world.freeze(town.machines[name])
        await town.sleep(4)
        newest = town.hosts[next(n for n in town.named('store') if n != name)].state.replica_sets
        assert all(newest[p][0] > old.copies.partitions[p].replica_set.epoch for p in led_before), (
            led_before,
            newest,
        )
        asks = [
            asyncio.ensure_future(
                town.hand.net.ask(
                    old.address,
                    {'k': 'op', 'part': p, 'to': old.me, 'command': {'op': 'confirm'}},
                    from_ms(3000),
                )
            )
            for p in led_before
        ]
        await town.sleep(0.2)
        town.world.thaw(town.machines[name])
        return led_before, await asyncio.gather(*asks, return_exceptions=True)

    context.thawed = context.play(script)


@then('it answers for none of the partitions that it had')
def none_answered(context):
    led_before, answers = context.thawed
    assert led_before and all(isinstance(a, Fault) for a in answers), answers


@when('a core machine is gone for good and an empty one starts at another address')
def core_replaced(context):
    async def script(town):
        answer = await town.ask('PATCH', '/v1/policy', {'keeping_s': 444})
        gone = (await town.status())['seat'][2].rpartition('-')[0]
        zone = town.startups[gone]['zone']
        town.drop(gone)
        await town.sleep(1)
        town.add('core9', 'core', zone, '10.0.1.9')
        for _ in range(12):
            await town.sleep(1)
            status = await town.status()
            if status and any(n.startswith('core9') for n, _ in status['core']):
                break
        return (
            gone,
            status,
            (answer, await town.ask('GET', '/v1/policy')),
            [core_state.is_primary(town.hosts[n].state) for n in town.named('core')],
        )

    context.gone, context.status, context.policies, context.led = context.play(script)


@then('the new one is a voter in its place within 12 seconds')
def in_its_place(context):
    names = [n for n, _ in context.status['core']]
    assert len(names) == 3 and any(n.startswith('core9') for n in names), names
    assert not any(n.startswith(f'{context.gone}-') for n in names) and sum(context.led) == 1, (
        names,
        context.led,
    )


async def change_and_read(town, doors, first_mark):
    """Change the policy and read it at each of these cores; return what came of it."""
    outcomes = []
    for mark, door in enumerate(doors, first_mark):
        changed, _ = await town.ask('PATCH', '/v1/policy', {'keeping_s': mark}, at=door)
        status, shown = await town.ask('GET', '/v1/policy', at=door)
        outcomes.append((door, changed, status, status == 200 and shown['policy']['keeping_s'] == mark))
    return outcomes


@when(
    "operators change and read the policy at each core that waits, also after the core's primary has lost its power"
)
def operators_at_waiting_cores(context):
    async def script(town):
        status = await town.status()
        voters = {name.rpartition('-')[0] for name, _ in status['core']}
        doors = [n for n, name in enumerate(town.named('core')) if name not in voters]
        outcomes = await change_and_read(town, doors, 400)
        primary = status['seat'][2].rpartition('-')[0]
        town.world.kill(town.machines[primary])
        await town.sleep(2.5)
        town.start(primary)
        await town.sleep(PRIMARY_KNOWN_S)
        return doors, outcomes + await change_and_read(town, doors, 500)

    context.doors, context.outcomes = context.play(script)


@then('each change was acknowledged and each read showed the newest policy')
def answered_as_by_primary(context):
    assert context.doors and len(context.outcomes) == 2 * len(context.doors), context.outcomes
    assert all(outcome[1:] == (200, 200, True) for outcome in context.outcomes), context.outcomes
