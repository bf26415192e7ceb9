"""Steps about the mechanisms of deciding and their switches, on the reducer of admission."""

import json
from datetime import UTC, datetime, timedelta
from types import SimpleNamespace

from behave import given, then
from immutables import Map

from quillstall.configuration.policy import MECHANISM_DEFAULTS, check
from quillstall.dataplane.admission import choice, reducer, waiting
from quillstall.dataplane.admission.admission_state import Pool, Service, State, Task
from quillstall.dataplane.admission.messages import Health, Load, Word
from quillstall.dataplane.gateway import Gateway
from quillstall.runtime.clock import ms, of_ms
from quillstall.runtime.effect import Tick

NOW = datetime(2026, 1, 1, tzinfo=UTC)
POOL = 'p'
SLOTS = 8
PROMPT = 14_000


def policy(mechanism, on):
    return {
        'classes': {'c': {'share': 1, 'deadline_ms': 4000}},
        'pools': {POOL: {'replicas': {}, 'listed': True}},
        'mechanisms': {} if on else {mechanism: False},
    }


def listing(cold=()):
    zones = {'a': 'near', 'b': 'far', 'c': 'far'}
    rows = {r: {'slots': SLOTS, 'ready': True, 'zone': z, 'cold': r in cold} for r, z in zones.items()}
    return {'at': 1, 'pools': {POOL: rows}}


def prepare(case, state):
    """The state and the unread tokens of a case."""
    unread = {}
    if case.startswith('one of our tasks'):
        state = state._replace(used=Map({'a': 1, 'b': 1}))
        state = state._replace(others=Map({'b': (6.0, NOW), 'c': (6.0, NOW)}))
    elif case.startswith('a prompt'):
        unread = {'a': PROMPT, 'b': PROMPT}
    elif case.startswith('word that'):
        state, _ = reducer.step(state, Load('a', 5, 0, SLOTS), NOW)
    elif case.startswith('a failure'):
        state, _ = reducer.step(state, Health('a', False), NOW)
    elif case.endswith('just started'):
        state = state._replace(listing=listing(cold=('a',)))
    return state, unread


@given('three replicas of a listed pool, "a" near, "b" and "c" in another zone, and {case}')
def three_replicas(context, case):
    context.case = case


def chosen(case, mechanism, on):
    """The replicas that 40 tasks would go to."""
    state = State(policy=policy(mechanism, on), listing=listing(), lease=NOW + timedelta(seconds=9))
    state, unread = prepare(case, state)
    deadline = NOW + timedelta(seconds=4)
    tasks = [
        Task(f't{n}', 'r', 'c', POOL, PROMPT, deadline, NOW, unread=unread, zone='near') for n in range(40)
    ]
    return sorted({choice.assign(state, task, NOW) for task in tasks})


@then('with "{mechanism}" on 40 tasks would go to "{on}", and off to "{off}"')
def goes_to(context, mechanism, on, off):
    assert chosen(context.case, mechanism, True) == on.split(','), chosen(context.case, mechanism, True)
    assert chosen(context.case, mechanism, False) == off.split(','), chosen(context.case, mechanism, False)


@given('more pending work of one class than its deadline leaves time for, with "{mechanism}" {switch}')
def deep(context, mechanism, switch):
    deadline = NOW + timedelta(seconds=30)
    line = tuple(Task(f't{n}', 'r', 'c', POOL, 1000, deadline, NOW) for n in range(4))
    pool = Pool(
        POOL,
        pending=Map({'c': line}),
        tokens=Map({'c': 4000}),
        queued=4000,
        slot_rate=1000.0 / SLOTS / 3,
    )
    state = State(
        policy=policy(mechanism, switch == 'on'),
        listing=listing(),
        lease=NOW + timedelta(seconds=9),
        pools=Map({POOL: pool}),
    )
    state = waiting.order(state, pool, 'c', [])
    _, context.effects = reducer.step(state, Tick(), NOW)


@then('the {which} of two that could still be served goes first')
def goes_first(context, which):
    sent = [e.name for e in context.effects if type(e) is Word and e.replica]
    assert sent[0] == ('t3' if which == 'newest' else 't0'), sent


@given(
    'a gateway that expects an answer after {expects:d} ms and has {has:d} ms, with "{mechanism}" {switch}'
)
def patient(context, expects, has, mechanism, switch):
    state = State(policy=policy(mechanism, switch == 'on'), service=Map({'r': Service(expects / 1000, 0.0)}))
    gateway = SimpleNamespace(
        node=SimpleNamespace(state=state), ctx=SimpleNamespace(clock=SimpleNamespace(now=lambda: NOW))
    )
    task = Task('t', 'r', 'c', POOL, 1, None, NOW)
    context.span = Gateway.attempt_deadline(gateway, task, NOW + of_ms(has)) - NOW


@then('it asks another replica after {span:d} ms')
def asks_after(context, span):
    assert ms(context.span) == span, context.span


@given('a policy whose mechanisms are {value}')
def odd_policy(context, value):
    context.policy = {'classes': {}, 'routes': {}, 'pools': {}, 'mechanisms': json.loads(value)}


@then('its one finding is "{finding}"')
def one_finding(context, finding):
    assert [f'{place} {text}' for place, text in check(context.policy)] == [finding], check(context.policy)


@then('a policy that switches off any one mechanism has no finding')
def any_one_off(context):
    for mechanism in MECHANISM_DEFAULTS:
        switched = {'classes': {}, 'routes': {}, 'pools': {}, 'mechanisms': {mechanism: False}}
        assert check(switched) == [], (mechanism, check(switched))
