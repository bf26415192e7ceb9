"""A model of keyed operations: attempts at routing nodes, their commands in flight, and the store table.

It explores every order of events of a few attempts with one key: commands are delivered late, twice, or after their
sender gave up; replies are lost; attempts are refused after they began, or run.
"""

from collections import deque
from datetime import UTC, datetime
from typing import NamedTuple

from immutables import Map

from quillstall.controlplane import store_table
from quillstall.runtime.errors import Fault

NOW = datetime(2026, 1, 1, tzinfo=UTC)
MAX_SENDS = 2  # of the claim of one attempt
IDLE, WAITING, CLAIMED, GAVE_UP, DENIED, RAN = 'idle', 'waiting', 'claimed', 'gave up', 'denied', 'ran'


class Attempt(NamedTuple):
    """One attempt: its phase, the sends of its claim that are left, and which of its commands are in flight."""

    phase: str = IDLE
    sends_left: int = MAX_SENDS
    claim_in_flight: bool = False
    void_in_flight: bool = False
    answer_in_flight: bool = False


class State(NamedTuple):
    """All attempts, the rows that the store has written, and how often the operation ran."""

    attempts: tuple
    rows: tuple = ()
    runs: int = 0


class Counterexample(AssertionError):
    """A sequence of steps after which an invariant is violated."""


def claim_of(run):
    return {'op': 'once_begin', 'key': 'k', 'digest': '', 'run': run, 'until': NOW.timestamp() + 120}


def void_of(run):
    return {'op': 'once_end', 'key': 'k', 'run': run, 'void': True}


def answer_of(run):
    return {'op': 'once_end', 'key': 'k', 'run': run, 'ret': [200, [], run.encode()]}


def deliver(rows, command):
    """Return the rows after a command, and the store's reply: the state of the key, or the code of the fault."""
    table = Map(dict(rows))
    try:
        changes, reply = store_table.apply(table, command, NOW)
    except Fault as e:
        return rows, e.code
    for key, value in changes:
        table = table.delete(key) if value is None else table.set(key, value)
    return tuple(sorted(table.items())), reply.get('state', 'ok')


def steps(state):
    """Yield every possible next step: its name and the state after it."""
    for n, attempt in enumerate(state.attempts):
        run = f'n{n}'

        def after(changed, n=n, rows=state.rows, runs=state.runs):
            attempts = state.attempts[:n] + (changed,) + state.attempts[n + 1 :]
            return State(attempts, rows, runs)

        if attempt.phase in (IDLE, WAITING) and attempt.sends_left:
            yield (
                f'{run} sends its claim',
                after(
                    attempt._replace(phase=WAITING, sends_left=attempt.sends_left - 1, claim_in_flight=True)
                ),
            )
        if attempt.phase == WAITING:
            yield f'{run} gives up', after(attempt._replace(phase=GAVE_UP, void_in_flight=True))
        if attempt.phase == CLAIMED:
            yield f'{run} is refused', after(attempt._replace(phase=GAVE_UP, void_in_flight=True))
            yield (
                f'{run} runs',
                after(attempt._replace(phase=RAN, answer_in_flight=True), runs=state.runs + 1),
            )
        if attempt.claim_in_flight:
            rows, reply = deliver(state.rows, claim_of(run))
            for duplicated in (False, True):
                delivered = attempt._replace(claim_in_flight=duplicated)
                yield (
                    f'the claim of {run} arrives, reply lost, a copy in flight: {duplicated}',
                    after(delivered, rows=rows),
                )
                if attempt.phase == WAITING:
                    replied = (
                        delivered._replace(phase=CLAIMED)
                        if reply == 'fresh'
                        else delivered._replace(phase=DENIED, void_in_flight=reply == 'begun')
                    )
                    yield (
                        f'the claim of {run} arrives: {reply}, a copy in flight: {duplicated}',
                        after(replied, rows=rows),
                    )
        if attempt.void_in_flight:
            rows, _ = deliver(state.rows, void_of(run))
            yield f'the void of {run} arrives', after(attempt._replace(void_in_flight=False), rows=rows)
        if attempt.answer_in_flight:
            rows, _ = deliver(state.rows, answer_of(run))
            yield f'the answer of {run} arrives', after(attempt._replace(answer_in_flight=False), rows=rows)


def violated_invariant(state):
    """Return the invariant that a state violates, or None."""
    if state.runs > 1:
        return 'the operation ran twice'
    if any(
        a.phase in (WAITING, CLAIMED) or a.claim_in_flight or a.void_in_flight or a.answer_in_flight
        for a in state.attempts
    ):
        return None
    reply = deliver(state.rows, claim_of('later'))[1]
    if state.runs == 0 and reply != 'fresh':
        return f'it did not run and will not, but a later attempt is told {reply!r}'
    if state.runs == 1 and reply != 'done':
        return f'it ran and its answer was recorded, but a later attempt is told {reply!r}'
    return None


def explore(attempts):
    """Explore every order of events; return the number of states. Counterexample: the shortest violation."""
    first = State((Attempt(),) * attempts)
    predecessors: dict = {first: None}
    queue = deque([first])
    while queue:
        state = queue.popleft()
        violation = violated_invariant(state)
        if violation:
            path = []
            while predecessors[state]:
                name, state = predecessors[state]
                path.append(name)
            raise Counterexample(f'{violation}, after: ' + '; '.join(reversed(path)))
        for name, following in steps(state):
            if following not in predecessors:
                predecessors[following] = (name, state)
                queue.append(following)
    return len(predecessors)
