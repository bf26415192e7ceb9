"""A model of keyed operations: tries at routing nodes, their commands on the way, and the store's table.

Every order of events of a few tries with one key is played: commands are delivered late, twice, or after
their sender gave up; returns are lost; tries are refused after they began, or run.
"""

from collections import deque
from datetime import UTC, datetime
from typing import NamedTuple

from immutables import Map

from quillstall.controlplane import store_table
from quillstall.runtime.errors import Fault

NOW = datetime(2026, 1, 1, tzinfo=UTC)
SENDS = 2  # how often a try sends its claim
IDLE, WAITING, HOLDING, GAVE_UP, TOLD, RAN = 'idle', 'waiting', 'holding', 'gave up', 'told', 'ran'


class Try(NamedTuple):
    """One try: where it stands, and which of its commands are still on the way."""

    stands: str = IDLE
    sends: int = SENDS
    claim: bool = False
    void: bool = False
    answer: bool = False


class State(NamedTuple):
    """All tries, the store's rows as they lie on its disks, and how often the operation ran."""

    tries: tuple
    rows: tuple = ()
    runs: int = 0


class Counterexample(AssertionError):
    """A sequence of steps after which a promise does not hold."""


def claim_of(run):
    return {'op': 'once_begin', 'key': 'k', 'digest': '', 'run': run, 'until': NOW.timestamp() + 120}


def void_of(run):
    return {'op': 'once_end', 'key': 'k', 'run': run, 'void': True}


def answer_of(run):
    return {'op': 'once_end', 'key': 'k', 'run': run, 'ret': [200, [], run.encode()]}


def deliver(rows, command):
    """The rows after a command, and what the store returns: its word of the key, or the fault's code."""
    table = Map(dict(rows))
    try:
        changes, ret = store_table.apply(table, command, NOW)
    except Fault as e:
        return rows, e.code
    for key, value in changes:
        table = table.delete(key) if value is None else table.set(key, value)
    return tuple(sorted(table.items())), ret.get('state', 'ok')


def steps(state):
    """Every step that may follow: its name and the state after it."""
    for n, one in enumerate(state.tries):
        run = f'n{n}'

        def after(changed, n=n, rows=state.rows, runs=state.runs):
            tries = state.tries[:n] + (changed,) + state.tries[n + 1 :]
            return State(tries, rows, runs)

        if one.stands in (IDLE, WAITING) and one.sends:
            yield (
                f'{run} sends its claim',
                after(one._replace(stands=WAITING, sends=one.sends - 1, claim=True)),
            )
        if one.stands == WAITING:
            yield f'{run} gives up', after(one._replace(stands=GAVE_UP, void=True))
        if one.stands == HOLDING:
            yield f'{run} is refused', after(one._replace(stands=GAVE_UP, void=True))
            yield f'{run} runs', after(one._replace(stands=RAN, answer=True), runs=state.runs + 1)
        if one.claim:
            rows, said = deliver(state.rows, claim_of(run))
            for copy in (False, True):
                left = one._replace(claim=copy)
                yield f'the claim of {run} comes, return lost, copy left: {copy}', after(left, rows=rows)
                if one.stands == WAITING:
                    heard = (
                        left._replace(stands=HOLDING)
                        if said == 'fresh'
                        else left._replace(stands=TOLD, void=said == 'begun')
                    )
                    yield f'the claim of {run} comes: {said}, copy left: {copy}', after(heard, rows=rows)
        if one.void:
            rows, _ = deliver(state.rows, void_of(run))
            yield f'the void of {run} comes', after(one._replace(void=False), rows=rows)
        if one.answer:
            rows, _ = deliver(state.rows, answer_of(run))
            yield f'the answer of {run} comes', after(one._replace(answer=False), rows=rows)


def broken(state):
    """The promise that does not hold in a state, or None."""
    if state.runs > 1:
        return 'the operation ran twice'
    if any(t.stands in (WAITING, HOLDING) or t.claim or t.void or t.answer for t in state.tries):
        return None
    said = deliver(state.rows, claim_of('later'))[1]
    if state.runs == 0 and said != 'fresh':
        return f'nothing ran and nothing will, and a later try hears {said!r}'
    if state.runs == 1 and said != 'done':
        return f'it ran and was kept, and a later try hears {said!r}'
    return None


def explore(tries):
    """Play every order of events; the count of states. Counterexample: the shortest that breaks a promise."""
    first = State((Try(),) * tries)
    came: dict = {first: None}
    queue = deque([first])
    while queue:
        state = queue.popleft()
        why = broken(state)
        if why:
            path = []
            while came[state]:
                name, state = came[state]
                path.append(name)
            raise Counterexample(f'{why}, after: ' + '; '.join(reversed(path)))
        for name, nxt in steps(state):
            if nxt not in came:
                came[nxt] = (name, state)
                queue.append(nxt)
    return len(came)
