"""Formation of a fleet: the cores at the seeds find each other, and one of them proposes a founding record.

A core without a fleet asks all seeds whether they have one. If one has, it waits to be admitted. Otherwise the
first of the seeds that may found a fleet proposes a record; the others do so later, each after a delay of its own,
if nothing has come of that. How a record is chosen is told in `founding`. Seeds that have not answered are waited
for at first, and are admitted later if they come too late.
"""

from datetime import datetime, timedelta
from typing import Any, NamedTuple

from quillstall.controlplane import founding, membership
from quillstall.controlplane.core_state import Core, replication_factor
from quillstall.controlplane.founding import Promise, Round
from quillstall.replication.copies import ReplicaSet
from quillstall.replication.rendezvous import rank_across_zones
from quillstall.runtime.effect import Ask, Heard, Note, Return, Told, Write

KINDS = ('hail', 'form', 'formation_prepare', 'formation_accept')
HAIL_INTERVAL = timedelta(milliseconds=300)
ANSWER_VALIDITY = timedelta(milliseconds=1500)  # of a seed's answer that it has no fleet
SEED_WAIT = timedelta(seconds=4)  # from this core's start, for seeds that have not answered
RANK_DELAY = timedelta(milliseconds=600)  # between the proposers; more than a round takes
ROUND_TIMEOUT = timedelta(milliseconds=600)  # of the first round; each one that fails doubles it
MAX_TIMEOUT_DOUBLINGS = 3
NO_FLEET_NOTE_INTERVAL = timedelta(seconds=5)


class Answer(NamedTuple):
    """A seed's answer that it has no fleet.

    >>> Answer(True, True, None).may_found
    True
    """

    may_found: bool
    first_start: bool
    at: datetime | None


def tick(state: Core, now: datetime, effects: list) -> Core:
    """Ask the seeds at intervals whether they have a fleet, and propose one if it is this core's turn."""
    formation = state.formation
    if formation.next_hail is None or now >= formation.next_hail:
        state = with_formation(state, next_hail=now + HAIL_INTERVAL)
        for seed in dict.fromkeys((*state.formation.seeds, *state.seeds)):
            if seed != state.address:
                effects.append(Ask(seed, {'k': 'hail'}, ('f', 'hail', seed)))
    state = note_missing_fleet(state, now, effects)
    return propose_if_due(state, now, effects)


def with_formation(state: Core, **changes: Any) -> Core:
    """Return the state with some fields of its formation changed."""
    return state._replace(formation=state.formation._replace(**changes))


def note_missing_fleet(state: Core, now: datetime, effects: list) -> Core:
    """Log at intervals that this core has no fleet yet, and what it knows of the seeds."""
    formation = state.formation
    if now - (formation.noted_at or state.started_at or now) < NO_FLEET_NOTE_INTERVAL:
        return state
    answers = recent_answers(state, now)
    facts = {
        'may_found': formation.may_found,
        'first_start': formation.first_start,
        'without_fleet': sorted(answers),
        'in_first_start': sorted(seed for seed, answer in answers.items() if answer.first_start),
        'others_have_fleet': formation.others_have_fleet,
    }
    effects.append(Note('no_fleet', facts))
    return with_formation(state, noted_at=now)


def recent_answers(state: Core, now: datetime) -> dict[str, Answer]:
    """Return the seeds that lately said that they have no fleet, this core among them if it is one."""
    formation = state.formation
    answers = {
        seed: answer
        for seed, answer in formation.answers.items()
        if seed in formation.seeds and now - answer.at <= ANSWER_VALIDITY
    }
    if state.address in formation.seeds:
        answers[state.address] = Answer(formation.may_found, formation.first_start, now)
    return answers


def propose_if_due(state: Core, now: datetime, effects: list) -> Core:
    """Begin a round if this core may found a fleet, enough seeds have answered, and it is its turn."""
    formation = state.formation
    if (
        state.fleet is not None
        or not formation.may_found
        or formation.others_have_fleet
        or state.address not in formation.seeds
    ):
        return state
    answers = recent_answers(state, now)
    proposers = sorted(seed for seed, answer in answers.items() if answer.may_found)
    rank = proposers.index(state.address)
    timeout = ROUND_TIMEOUT * (1 + rank) * 2 ** min(formation.failed_rounds, MAX_TIMEOUT_DOUBLINGS)
    if formation.round is not None and now - formation.round.since < timeout:
        return state
    first_starts = {seed: answer.first_start for seed, answer in answers.items()}
    if not founding.is_quorum(formation.seeds, first_starts, state.tolerated_losses):
        return state
    wait = timedelta(0) if len(answers) == len(formation.seeds) else SEED_WAIT
    if now - state.started_at < wait + rank * RANK_DELAY:
        return state
    highest = max(formation.acceptor.promised, formation.highest_round)
    number = founding.next_round(formation.seeds, state.address, highest)
    current = Round(number, frozenset(answers), now)
    failed_rounds = formation.failed_rounds + (formation.round is not None)
    state = with_formation(state, round=current, highest_round=number, failed_rounds=failed_rounds)
    return send_to_seeds(state, {'k': 'formation_prepare', 'round': number}, now, effects)


def send_to_seeds(state: Core, message: dict, now: datetime, effects: list) -> Core:
    """Send a message of the current round to the seeds that take part, and vote on it as one of them."""
    current = state.formation.round
    for seed in sorted(current.expected - {state.address}):
        effects.append(Ask(seed, message, ('f', message['k'], current.number, seed)))
    return vote(state, None, message, effects)


def vote(state: Core, call: Any, message: dict, effects: list) -> Core:
    """Vote on a proposer's message; the reply is sent, or counted if it is this core's own, once it is on disk."""
    acceptor, agrees = founding.vote(state.formation.acceptor, message)
    reply = {
        'ok': agrees,
        'id': state.me,
        'zone': state.zone,
        'first_start': state.formation.first_start,
        'promised': acceptor.promised,
        'accepted_round': acceptor.accepted_round,
        'fleet': acceptor.fleet,
    }
    state = with_formation(state, acceptor=acceptor)
    if agrees:
        tag = ('f', 'voted', call, message['k'], message['round'], reply)
        effects.append(Write((founding.acceptor_row(acceptor),), tag))
    elif call is not None:
        effects.append(Return(call, reply))
    return state


def finish_vote(state: Core, tag: tuple, now: datetime, effects: list) -> Core:
    """Send a vote that is now on disk, or count it if it is this core's own."""
    _, _, call, kind, number, reply = tag
    if call is not None:
        effects.append(Return(call, reply))
        return state
    return handle_vote(state, kind, number, state.address, reply, now, effects)


def handle_vote(
    state: Core, kind: str, number: int, seed: str, reply: dict, now: datetime, effects: list
) -> Core:
    """Count a seed's vote in this core's round; go on to the next stage once enough seeds have agreed."""
    current = state.formation.round
    if state.fleet is not None or current is None or current.number != number:
        return state
    if not reply['ok']:
        highest = max(state.formation.highest_round, reply.get('promised') or 0)
        return with_formation(state, highest_round=highest)
    if kind == 'formation_prepare' and current.fleet is None:
        promise = Promise(
            reply['id'], reply['zone'], reply['first_start'], reply['accepted_round'], reply['fleet']
        )
        state = with_formation(state, round=current._replace(promises=current.promises.set(seed, promise)))
        return propose_record(state, now, effects)
    if kind == 'formation_accept' and current.fleet is not None:
        accepted_by = current.accepted_by.set(seed, reply['first_start'])
        state = with_formation(state, round=current._replace(accepted_by=accepted_by))
        return finish_round(state, effects)
    return state


def propose_record(state: Core, now: datetime, effects: list) -> Core:
    """Propose a founding record once all seeds that were asked have promised, and they are a quorum."""
    formation = state.formation
    current = formation.round
    if set(current.promises) != current.expected or not founding.is_quorum(
        formation.seeds, current.replies, state.tolerated_losses
    ):
        return state
    fleet = founding.newest_accepted(current.promises) or new_record(state, current)
    state = with_formation(state, round=current._replace(fleet=fleet))
    message = {'k': 'formation_accept', 'round': current.number, 'fleet': fleet}
    return send_to_seeds(state, message, now, effects)


def new_record(state: Core, current: Round) -> dict:
    """Return a founding record with the seeds of a round as its voters, this core as the primary."""
    voters = sorted((promise.name, seed) for seed, promise in current.promises.items())
    zones = {promise.name: promise.zone for promise in current.promises.values()}
    members = rank_across_zones('core', zones, [state.me])[: replication_factor(state)]
    return {
        'id': f'f-{state.me}-{current.number}',
        'witnesses': voters,
        'epoch': 1,
        'seat': [1, 0, *members],
    }


def finish_round(state: Core, effects: list) -> Core:
    """Store the founding record once it is chosen, or tell its voters if this core is not one of them."""
    formation = state.formation
    current = formation.round
    if not founding.is_quorum(formation.seeds, current.replies, state.tolerated_losses):
        return state
    if state.me in [name for name, _ in current.fleet['witnesses']]:
        effects.append(Write(founding.fleet_rows(current.fleet), ('f', 'formed', current.fleet, None)))
    else:
        tell_voters(state, current.fleet, effects)
    return with_formation(state, round=current._replace(number=0))


def tell_voters(state: Core, fleet: dict, effects: list) -> None:
    """Send the founding record to its other voters."""
    for name, address in fleet['witnesses']:
        if name != state.me:
            effects.append(Ask(address, {'k': 'form', 'fleet': fleet}, ('f', 'form', name)))


def handle_request(state: Core, event: Told, now: datetime, effects: list) -> Core:
    """Answer a message of another core that forms or has a fleet."""
    message = event.message
    if message['k'] == 'hail':
        effects.append(Return(event.call, describe(state)))
        return state
    if message['k'] == 'form':
        return accept_record(state, event, effects)
    if state.fleet is not None:
        effects.append(Return(event.call, {'ok': False}))
        return state
    return vote(state, event.call, message, effects)


def describe(state: Core) -> dict:
    """Return the answer to a core that asks for a fleet."""
    return {
        'ok': True,
        'id': state.me,
        'address': state.address,
        'zone': state.zone,
        'fleet': (state.fleet or {}).get('id'),
        'record': state.fleet,
        'may_found': state.formation.may_found,
        'first_start': state.formation.first_start,
    }


def accept_record(state: Core, event: Told, effects: list) -> Core:
    """Join the fleet whose record names this core as a voter, unless it has another."""
    fleet = event.message['fleet']
    names = [name for name, _ in fleet['witnesses']]
    if state.fleet is not None or state.me not in names:
        same = state.fleet is not None and state.fleet['id'] == fleet['id']
        effects.append(Return(event.call, {'ok': same}))
        return state
    effects.append(Write(founding.fleet_rows(fleet), ('f', 'formed', fleet, event.call)))
    return state


def handle_reply(state: Core, event: Heard, now: datetime, effects: list) -> Core:
    """Handle a seed's reply while this core has no fleet."""
    kind, reply = event.tag[1], event.reply
    if kind == 'hail':
        return handle_answer(state, event.tag[2], reply, now, effects)
    if kind in ('formation_prepare', 'formation_accept'):
        _, _, number, seed = event.tag
        return handle_vote(state, kind, number, seed, reply, now, effects)
    return state


def handle_answer(state: Core, seed: str, reply: dict, now: datetime, effects: list) -> Core:
    """Ask for admission if a seed has a fleet, join it if this core is one of its voters; else remember the answer."""
    if not reply['fleet']:
        answer = Answer(reply.get('may_found', True), reply.get('first_start', False), now)
        state = with_formation(state, answers=state.formation.answers.set(seed, answer))
        return propose_if_due(state, now, effects)
    record = reply.get('record')
    if record and state.me in [name for name, _ in record['witnesses']]:
        effects.append(Write(founding.fleet_rows(record), ('f', 'formed', record, None)))
        return state
    membership.request_admission(state, seed, effects)
    if not state.formation.others_have_fleet:
        facts = {'fleet': reply['fleet'], 'cause': 'others have a fleet, this folder has none'}
        effects.append(Note('newcomer', facts))
    return with_formation(state, others_have_fleet=True, others_record=newer_record(state, record))


def newer_record(state: Core, record: dict | None) -> dict | None:
    """Return the newer of a fleet's record and the one that this core knows."""
    known = state.formation.others_record
    if record is None or (known is not None and known['epoch'] > record['epoch']):
        return known
    return record


def known_primary(state: Core) -> str | None:
    """Return the address of the primary of the fleet that this core waits to join, if it knows one other than itself.

    A primary that has lost its disk waits at the address that the record names.

    >>> record = {'epoch': 2, 'witnesses': [['a', '1:1'], ['b', '2:1']], 'seat': [2, 1, 'b', 'a']}
    >>> state = with_formation(Core('c', '3:1', 'z', ()), others_record=record)
    >>> known_primary(state), known_primary(Core('c', '3:1', 'z', ()))
    ('2:1', None)
    >>> known_primary(state._replace(address='2:1')) is None
    True
    """
    record = state.formation.others_record
    if record is None or not record.get('seat'):
        return None
    address = dict(record['witnesses']).get(ReplicaSet(*record['seat']).primary)
    return address if address != state.address else None
