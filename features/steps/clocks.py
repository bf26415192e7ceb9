"""Steps on the clocks of a process: the steady clock of leases and the wall clock."""

import time
from datetime import UTC, datetime, timedelta

from behave import given, then, when
from immutables import Map

from quillstall.controlplane import leases, store
from quillstall.controlplane.core_state import Core, Node
from quillstall.replication.register import DEFAULT_LEASE, GRANTED_LEASE_FACTOR, QuorumRecord
from quillstall.runtime import clock as clocks
from quillstall.runtime.effect import Tick, Told

EPOCH = datetime(2026, 1, 1, tzinfo=UTC)
GRANTED_LEASE = DEFAULT_LEASE * GRANTED_LEASE_FACTOR


@given('a process clock whose wall clock can be set')
def settable_wall_clock(context):
    context.steady_s, context.wall_s = [100.0], [5000.0]
    context.process_clock = clocks.SystemClock(lambda: context.steady_s[0], lambda: context.wall_s[0])
    context.steady_before = context.process_clock.now()
    context.wall_before = context.process_clock.wall()


@when('the wall clock is stepped by {seconds:g} seconds and no time passes')
def step_wall_clock(context, seconds):
    context.wall_s[0] += seconds


@then('the clock of leases has not moved')
def lease_clock_unmoved(context):
    assert context.process_clock.now() == context.steady_before, context.process_clock.now()


@then('the wall time has moved by {seconds:g} seconds')
def wall_clock_moved(context, seconds):
    assert context.process_clock.wall() - context.wall_before == timedelta(seconds=seconds)


@then('the clock of leases reads the steady clock that counts suspension, where there is one')
def lease_clock_counts_suspension(context):
    clock = getattr(time, 'CLOCK_BOOTTIME', time.CLOCK_MONOTONIC)
    before = time.clock_gettime(clock)
    reading = clocks.steady_seconds()
    assert before <= reading <= time.clock_gettime(clock), (before, reading)


@given('a core that has granted a lease, on a process clock whose wall clock can be set')
def granted_lease(context):
    settable_wall_clock(context)
    now = context.process_clock.now()
    node = Node(
        'n1', 'route', '127.0.0.1:1', 'z1', 1, generation=3, last_heard=now, lease_end=now + GRANTED_LEASE
    )
    context.core = Core('c1', '127.0.0.1:2', 'z1', (), nodes=Map({'n1': node}))


@then('the routing node still counts as one that may send under the old generation')
def node_under_old_lease(context):
    assert leases.nodes_under_old_leases(context.core, 4, context.process_clock.now()) == ['n1']


@given('a store whose steady clock reads {seconds:g} s more than the wall clock')
def store_with_clock_offset(context, seconds):
    context.wall = EPOCH
    context.steady = EPOCH + timedelta(seconds=seconds)
    state = store.Store('s1', '127.0.0.1:1', 'z1', 1, ('127.0.0.1:2',), core_addresses=('127.0.0.1:2',))
    context.store, _ = store.step(state, Tick(context.wall - context.steady), context.steady)


@when('it retains a turn for 60 s')
def retain_turn(context):
    apply_command = store.apply_at_wall_time(context.store.wall_ahead)
    content = {'previous': None, 'data': b'said'}
    command = {'op': 'turn_end', 'program': 'p', 'turn': 't', 'used': 1, 'keeping_s': 60, 'keep': content}
    changes, _ = apply_command('p00', Map(), command, context.steady)
    context.retained = dict(changes)['kept/t']


@then('the turn is retained until the wall clock has moved by 60 s')
def retained_until(context):
    assert context.retained[1] == (context.wall + timedelta(seconds=60)).timestamp(), context.retained


def renew_lease(state, generation, now):
    message = {'k': 'renew', 'node': 'n1', 'generation': generation, 'number': 1, 'place': 0}
    return store.renew_lease(state, Told(1, message), now, [])


@given('a store that renewed a lease under generation 3')
def first_renewal(context):
    state = store.Store('s1', '127.0.0.1:1', 'z1', 1, (), record=QuorumRecord(3, 1))
    context.store = renew_lease(state, 3, EPOCH)


@when('it adopts generation 4 and renews the lease of the same node one second later')
def second_renewal(context):
    state = context.store._replace(record=QuorumRecord(4, 1))
    context.store = renew_lease(state, 3, EPOCH + timedelta(seconds=1))


@then('it reports both leases to the core until each has expired')
def both_leases_reported(context):
    one_second, state = timedelta(seconds=1), context.store
    assert store.running_leases(state, EPOCH + one_second) == [['n1', 3, 1550], ['n1', 4, 2550]]
    after_first = EPOCH + GRANTED_LEASE + timedelta(milliseconds=1)
    assert [row[:2] for row in store.running_leases(state, after_first)] == [['n1', 4]]
    assert store.running_leases(state, after_first + one_second) == []
