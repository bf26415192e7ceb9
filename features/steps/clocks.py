"""Steps on the clocks of a process: the steady one of leases, and the wall clock."""

from datetime import UTC, datetime, timedelta

from behave import given, then, when

from quillstall.controlplane import store
from quillstall.replication.register import GRANTED, Word
from quillstall.runtime.effect import Told

EPOCH = datetime(2026, 1, 1, tzinfo=UTC)


def renewal(state, generation, now):
    message = {'k': 'renew', 'node': 'n1', 'generation': generation, 'number': 1, 'place': 0}
    return store.renew(state, Told(1, message), now, [])


@given('a store that renewed a lease under generation 3')
def renewed_once(context):
    state = store.Store('s1', '127.0.0.1:1', 'z1', 1, (), word=Word(3, 1))
    context.store = renewal(state, 3, EPOCH)


@when('it takes generation 4 and renews the lease of the same node one second later')
def renewed_again(context):
    state = context.store._replace(word=Word(4, 1))
    context.store = renewal(state, 3, EPOCH + timedelta(seconds=1))


@then('it tells the core of both leases until each has run out')
def both_told(context):
    one_second, state = timedelta(seconds=1), context.store
    assert store.leases(state, EPOCH + one_second) == [['n1', 3, 1000], ['n1', 4, 0]]
    after_first = EPOCH + GRANTED + timedelta(milliseconds=1)
    assert [row[:2] for row in store.leases(state, after_first)] == [['n1', 4]]
    assert store.leases(state, after_first + one_second) == []
