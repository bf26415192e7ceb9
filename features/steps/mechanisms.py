"""Steps on the admission mechanisms and their switches, run on the reducer of admission."""

import json
from datetime import UTC, datetime, timedelta
from types import SimpleNamespace

from behave import given, then
from immutables import Map

from quillstall.configuration.policy import MECHANISM_DEFAULTS, check
from quillstall.dataplane.admission import choice, reducer, waiting
from quillstall.dataplane.admission.admission_state import Pool, ServiceTime, State, Task
from quillstall.dataplane.admission.messages import Decision, Health, Load
from quillstall.dataplane.gateway import Gateway
from quillstall.runtime.clock import from_ms, ms
from quillstall.runtime.effect import Tick

NOW = datetime(2026, 1, 1, tzinfo=UTC)
POOL = 'p'
SLOTS = 8
PROMPT_TOKENS = 14_000


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
    """Return the state and the uncached tokens of a case."""
    uncached_tokens = {}
    if case.startswith('one task of this node'):
        state = state._replace(used_slots=Map({'a': 1, 'b': 1}))
        state = state._replace(other_load=Map({'b': (6.0, NOW), 'c': (6.0, NOW)}))
    elif case.startswith('a prompt'):
        uncached_tokens = {'a': PROMPT_TOKENS, 'b': PROMPT_TOKENS}
    elif case.startswith('a report that'):
        state, _ = reducer.step(state, Load('a', 5, 0, SLOTS), NOW)
    elif case.startswith('a failure'):
        state, _ = reducer.step(state, Health('a', False), NOW)
    elif case.endswith('just started'):
        state = state._replace(listing=listing(cold=('a',)))
    return state, uncached_tokens


@given('three replicas of a listed pool, "a" near, "b" and "c" in another zone, and {case}')
def three_replicas(context, case):
    context.case = case


def chosen(case, mechanism, on):
    """Return the replicas that 40 tasks would go to."""
    state = State(policy=policy(mechanism, on), listing=listing(), lease=NOW + timedelta(seconds=9))
    state, uncached_tokens = prepare(case, state)
    deadline = NOW + timedelta(seconds=4)
    tasks = [
        Task(
            f't{n}',
            'r',
            'c',
            POOL,
            PROMPT_TOKENS,
            deadline,
            NOW,
            uncached_tokens=uncached_tokens,
            zone='near',
        )
        for n in range(40)
    ]
    return sorted({choice.assign(state, task, NOW) for task in tasks})


@then('with "{mechanism}" on 40 tasks would go to "{on}", and off to "{off}"')
def tasks_go_to(context, mechanism, on, off):
    assert chosen(context.case, mechanism, True) == on.split(','), chosen(context.case, mechanism, True)
    assert chosen(context.case, mechanism, False) == off.split(','), chosen(context.case, mechanism, False)


@given('more pending work of one class than its deadline leaves time for, with "{mechanism}" {switch}')
def deep_queue(context, mechanism, switch):
    deadline = NOW + timedelta(seconds=30)
    queue = tuple(Task(f't{n}', 'r', 'c', POOL, 1000, deadline, NOW) for n in range(4))
    pool = Pool(
        POOL,
        pending=Map({'c': queue}),
        tokens_by_class=Map({'c': 4000}),
        pending_tokens=4000,
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
    sent = [e.name for e in context.effects if type(e) is Decision and e.replica]
    assert sent[0] == ('t3' if which == 'newest' else 't0'), sent


@given(
    'a gateway that expects an answer after {expected_ms:d} ms and has {left_ms:d} ms, with "{mechanism}" {switch}'
)
def patience(context, expected_ms, left_ms, mechanism, switch):
    state = State(
        policy=policy(mechanism, switch == 'on'),
        service_times=Map({'r': ServiceTime(expected_ms / 1000, 0.0)}),
    )
    gateway = SimpleNamespace(
        node=SimpleNamespace(state=state), ctx=SimpleNamespace(clock=SimpleNamespace(now=lambda: NOW))
    )
    task = Task('t', 'r', 'c', POOL, 1, None, NOW)
    context.wait = Gateway.attempt_deadline(gateway, task, NOW + from_ms(left_ms)) - NOW


@then('it tries another replica after {wait_ms:d} ms')
def tries_another_after(context, wait_ms):
    assert ms(context.wait) == wait_ms, context.wait


@given('a policy whose mechanisms are {value}')
def policy_with_mechanisms(context, value):
    context.policy = {'classes': {}, 'routes': {}, 'pools': {}, 'mechanisms': json.loads(value)}


@then('its one finding is "{finding}"')
def one_finding(context, finding):
    assert [f'{path} {text}' for path, text in check(context.policy)] == [finding], check(context.policy)


@then('a policy that switches off any one mechanism has no finding')
def each_mechanism_off(context):
    for mechanism in MECHANISM_DEFAULTS:
        switched = {'classes': {}, 'routes': {}, 'pools': {}, 'mechanisms': {mechanism: False}}
        assert check(switched) == [], (mechanism, check(switched))
