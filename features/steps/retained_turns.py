"""Steps about retained turns whose predecessors expire and are swept."""

import random
from dataclasses import dataclass
from datetime import UTC, datetime, timedelta
from typing import Any

from behave import given, then, when
from gateway import runs_of_request
from immutables import Map
from standin import PARTITIONS, turn_output

from quillstall.controlplane import store_table
from quillstall.runtime.errors import Fault

RETENTION_S = 60  # of the stand-in's route
EXPIRED_S = RETENTION_S + 15  # with the margin for clocks that differ
RESERVATION_EXPIRED_S = (
    430  # past the deadline of a turn, the grace of its reservation and the margin for clocks
)
SWEEP = {'op': 'sweep', 'program_s': 86_400, 'from': 0}
NOW = datetime(2026, 1, 1, tzinfo=UTC)


def apply_to_rows(rows, command, now):
    """Apply a command to rows; return the rows and the reply."""
    changes, reply = store_table.apply(rows, command, now)
    for key, value in changes:
        rows = rows.delete(key) if value is None else rows.set(key, value)
    return rows, reply


def sweep_rows(rows, now):
    """Sweep rows from their beginning to their end."""
    position = 0
    while True:
        rows, reply = apply_to_rows(rows, {**SWEEP, 'from': position}, now)
        position = reply['at']
        if not position and not reply['swept']:
            return rows


def let_time_pass(stores, seconds):
    """Advance the clock of the stores and sweep all partitions."""
    stores.clock_offset += timedelta(seconds=seconds)
    for partition in PARTITIONS:
        stores.rows[partition] = sweep_rows(stores.rows[partition], stores.clock.now() + stores.clock_offset)


# ---- one turn in flight


def said(*request_ids):
    """Return the conversation of turns that continue each other, each with 3 events."""
    return b''.join(f'[{request_id}]'.encode() + turn_output(request_id, 3) for request_id in request_ids)


@given('the turns "t1" and "t2" of a program were run at node 1')
def earlier_turns(context):
    cluster = context.cluster
    for request_id, previous in (('t1', None), ('t2', 't1')):
        response = cluster.run(cluster.run_turn(request_id, previous))
        assert (response.status, response.complete) == (200, True), (response.status, response.body)


async def run_in_flight(cluster, request_id, previous, program, meanwhile):
    """Run a turn of 3 events; call `meanwhile` once its first event has arrived."""
    cluster.plan.append('paced 3')
    exchange = await cluster.begin_request(
        '/turn/a',
        request_id=request_id,
        body=f'[{request_id}]'.encode(),
        **cluster.turn_headers(program, previous),
    )
    cluster.proceed.release()
    await exchange.read_head()
    await exchange.read_chunk()
    meanwhile()
    cluster.proceed.release()
    cluster.proceed.release()
    return await exchange.read_all()


@when('the turn "t3" that continues them is run at node 1, and the turns before it are deleted: {moment}')
def turn_in_flight(context, moment):
    cluster, stores = context.cluster, context.cluster.stores
    program = 'Q' if moment.endswith('another program') else 'P'

    def meanwhile():
        let_time_pass(stores, RESERVATION_EXPIRED_S if 'reservation' in moment else EXPIRED_S)
        if 'reply to its end is lost' in moment:
            stores.lost_replies.append('turn_end')
        if 'partition moves' in moment:
            stores.replica_sets = {partition: [2, 1, 's1', 's0'] for partition in PARTITIONS}

    if moment == 'before it is sent':
        meanwhile()
        context.response = cluster.run(cluster.run_turn('t3', 't2'))
    else:
        context.response = cluster.run(run_in_flight(cluster, 't3', 't2', program, meanwhile))
    kept = [key for rows in stores.rows.values() for key in rows if key.startswith('kept/')]
    assert kept == ['kept/t3'], kept
    context.program = program


@then('"t3" is answered whole, and its replica got the whole conversation')
def answered_whole(context):
    assert (context.response.status, context.response.complete) == (200, True), context.response.body
    (run,) = runs_of_request(context.cluster, 't3')
    assert run.body == said('t1', 't2') + b'[t3]', run.body


@then('"t3" can be continued at node 2 with the whole conversation, and that at node 1')
def continued_elsewhere(context):
    cluster, conversation = context.cluster, said('t1', 't2', 't3')
    for request_id, previous, node_number in (('t4', 't3', 2), ('t5', 't4', 1)):
        response = cluster.run(cluster.run_turn(request_id, previous, context.program, node_number))
        assert (response.status, response.complete) == (200, True), (response.status, response.body)
        (run,) = runs_of_request(cluster, request_id)
        assert run.body == conversation + f'[{request_id}]'.encode(), run.body
        conversation += said(request_id)


# ---- random orders


@dataclass
class AnsweredTurn:
    """A turn that was answered whole, as its caller knows it."""

    conversation: bytes  # up to its end
    expires_at: datetime


@dataclass
class TurnInFlight:
    """A turn whose replica has sent one event."""

    request_id: str
    conversation: bytes  # before its input
    exchange: Any


class RandomTurns:
    """Takes random steps on a cluster and records every broken promise."""

    def __init__(self, cluster, seed):
        self.cluster = cluster
        self.stores = cluster.stores
        self.dice = random.Random(seed)
        self.answered: dict[str, AnsweredTurn] = {}
        self.in_flight: list[TurnInFlight] = []
        self.broken: list[str] = []
        self.without_predecessor = 0  # turns that ended after their predecessor had been deleted
        self.count = 0

    def now(self):
        return self.stores.clock.now() + self.stores.clock_offset

    def step(self):
        """Take one step."""
        act = self.dice.choices((self.begin, self.end, self.pass_time), (5, 3, 3))[0]
        return act()

    async def begin(self):
        """Begin a turn that continues a random one, or none, at a random node."""
        if len(self.in_flight) == 3:
            return
        self.count += 1
        request_id = f't{self.count}'
        previous = self.dice.choice([None, *list(self.answered)[-6:]])
        earlier = self.answered[previous] if previous else None
        promised = earlier is not None and self.now() < earlier.expires_at
        conversation = earlier.conversation if earlier else b''
        self.cluster.plan.append('paced 3')
        exchange = await self.cluster.begin_request(
            '/turn/a',
            self.dice.randint(1, 3),
            request_id=request_id,
            body=f'[{request_id}]'.encode(),
            **self.cluster.turn_headers(self.dice.choice('PPQ'), previous, 10**6),
        )
        await exchange.read_head()
        if exchange.status != 200:
            self.cluster.plan.pop()
            if promised or exchange.status != 404:
                self.broken.append(f'{request_id}: {exchange.status} for a turn that is retained')
            return
        (run,) = runs_of_request(self.cluster, request_id)
        if run.body != conversation + f'[{request_id}]'.encode():
            self.broken.append(f'{request_id}: not the whole conversation')
        self.in_flight.append(TurnInFlight(request_id, conversation, exchange))

    async def end(self):
        """Let all turns in flight end."""
        for _ in range(3 * len(self.in_flight)):
            self.cluster.proceed.release()
        for turn in self.in_flight:
            await turn.exchange.read_all()
            if not turn.exchange.complete:
                self.broken.append(f'{turn.request_id}: not answered whole')
                continue
            expires_at = self.now() + timedelta(seconds=RETENTION_S)
            self.answered[turn.request_id] = AnsweredTurn(
                turn.conversation + said(turn.request_id), expires_at
            )
            self.without_predecessor += bool(turn.conversation) and self.copied(turn.request_id)
        self.in_flight.clear()

    def copied(self, request_id):
        """Return whether the stores hold a turn as the first of its chain, with what was said before it."""
        rows = [rows.get(f'kept/{request_id}') for rows in self.stores.rows.values()]
        return any(row is not None and row[0] is None for row in rows)

    async def pass_time(self):
        let_time_pass(self.stores, self.dice.choice((5, 20, 40, 75)))


@when(
    '{count:d} random steps are taken with seed {seed:d}: turns begin, end and continue others, time passes, stores sweep'
)
def random_steps(context, count, seed):
    cluster = context.cluster
    context.turns = RandomTurns(cluster, seed)

    async def script():
        for _ in range(count):
            await context.turns.step()
        await context.turns.end()

    cluster.run(script())


@then(
    'no turn that was answered whole within its retention was refused, and each replica got the whole conversation'
)
def nothing_broken(context):
    assert context.turns.broken == [], context.turns.broken
    assert len(context.turns.answered) > 10, len(context.turns.answered)


@then('turns were continued after their predecessors had been deleted')
def some_copied(context):
    assert context.turns.without_predecessor > 0


# ---- the JSON interface


def begin_command(turn, continues, span_s):
    return {
        'op': 'begin',
        'program': 'p',
        'turn': turn,
        'budget': None,
        'hold': 5,
        'continues': continues,
        'span_s': span_s,
    }


def end_command(turn, previous):
    keep = {'prev': previous, 'conv': 'c1', 'prompt': f'prompt of {turn} ' * 400, 'text': f'text of {turn}'}
    return {'op': 'end', 'program': 'p', 'turn': turn, 'used': 5, 'keep': keep, 'keeping_s': 60}


@given('a store with a conversation of 2 turns that expires in 1 second')
def stored_conversation(context):
    rows = Map()
    for turn, previous in (('c1', None), ('c2', 'c1')):
        rows, _ = apply_to_rows(rows, begin_command(turn, previous, 3), NOW - timedelta(seconds=59))
        rows, _ = apply_to_rows(rows, end_command(turn, previous), NOW - timedelta(seconds=59))
    context.rows = rows


@when('a turn with 600 seconds left continues it, and ends after 590 seconds and several sweeps')
def long_turn(context):
    rows, _ = apply_to_rows(context.rows, begin_command('c3', 'c2', 600), NOW)
    for seconds in range(0, 590, 5):
        rows = sweep_rows(rows, NOW + timedelta(seconds=seconds))
    context.now = NOW + timedelta(seconds=590)
    context.rows, _ = apply_to_rows(rows, end_command('c3', 'c2'), context.now)


@then('the next turn gets the history of 3 turns')
def history_of_three(context):
    _, reply = apply_to_rows(context.rows, begin_command('c4', 'c3', 3), context.now)
    assert [text for _, text in reply['history']] == [f'text of c{n}' for n in (1, 2, 3)], len(
        reply['history']
    )
    assert [prompt for prompt, _ in reply['history']] == [f'prompt of c{n} ' * 400 for n in (1, 2, 3)]


@when('the row of its first turn is lost')
def row_lost(context):
    context.rows = context.rows.delete('turn/c1')


@then('a turn that continues it is refused as "{code}"')
def refused_as(context, code):
    try:
        apply_to_rows(context.rows, begin_command('c3', 'c2', 3), NOW)
    except Fault as e:
        assert e.code == code, e
        return
    raise AssertionError('the history was shortened')
