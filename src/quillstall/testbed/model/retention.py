"""A model of retained turns: the stores' table through every order of a few turns, ends, repeats, waits and sweeps.

The table's functions are the production code; the node is reduced to what it remembers and to what it does when a
store does not acknowledge a turn. The search is breadth-first over hashed states and complete within its limits.
"""

from collections import deque
from collections.abc import Callable, Iterator
from datetime import UTC, datetime, timedelta
from functools import partial
from typing import NamedTuple

from immutables import Map

from quillstall.controlplane import store_table
from quillstall.runtime.errors import Fault

TURN_RETENTION_S = 60
WAITS_S = (
    40,
    430,
)  # a turn outlives one, and with a second one expires; a reservation expires with the longer one
START = datetime(2026, 1, 1, tzinfo=UTC)
PROGRAM = 'p'
USED_TOKENS = 5
SWEEP = {'op': 'sweep', 'program_s': 86_400, 'from': 0}


class Turn(NamedTuple):
    """One turn, as its caller and its node know it.

    >>> Turn('a', 'root').conversation('a')
    ('root', 'a')
    """

    name: str
    previous: str | None
    before: tuple[str, ...] = ()  # the turns of its conversation, from the oldest
    remembered: bool = False  # whether its node had the conversation without a store
    acknowledged_at: datetime | None = None

    def conversation(self, name: str) -> tuple[str, ...]:
        """The conversation up to and including this turn."""
        return (*self.before, name) if self.before or not self.previous else (self.previous, name)


class State(NamedTuple):
    """The rows of one partition, the turns so far, and the time."""

    rows: Map = Map()
    turns: tuple[Turn, ...] = ()
    now: datetime = START

    def key(self) -> str:
        """What tells this state from others."""
        return repr((sorted(self.rows.items()), self.turns, self.now))


class Broken(Exception):
    """An order of steps in which a promise does not hold."""


class Limits(NamedTuple):
    """How far the search goes."""

    turns: int = 4
    waits: int = 3
    depth: int = 9


class Result(NamedTuple):
    """What the search found."""

    states: int
    copied: int  # turns that were stored whole since an older one was gone
    broken: str = ''


def apply(state: State, command: dict) -> tuple[State, dict]:
    """Apply a command to the rows."""
    changes, reply = store_table.apply(state.rows, command, state.now)
    rows = state.rows
    for key, value in changes:
        rows = rows.delete(key) if value is None else rows.set(key, value)
    return state._replace(rows=rows), reply


def is_promised(turn: Turn, now: datetime) -> bool:
    """Whether a turn was acknowledged less than its retention ago."""
    return turn.acknowledged_at is not None and now < turn.acknowledged_at + timedelta(
        seconds=TURN_RETENTION_S
    )


def data_of(turns: tuple[str, ...]) -> bytes:
    """The stored data of these turns."""
    return b''.join(f'<{turn}>'.encode() for turn in turns)


class Model:
    """Takes steps; `whole` says whether the store is asked for the check of the chain."""

    def __init__(self, limits: Limits, whole: bool = True):
        self.limits = limits
        self.whole = whole
        self.copied = 0

    def begin(self, state: State, previous: Turn | None, remembered: bool) -> State:
        """A turn that continues another begins, at a node that remembers the conversation or asks the store."""
        name = f't{len(state.turns)}'
        before = previous.conversation(previous.name) if previous else ()
        command = {
            'op': 'turn_begin',
            'program': PROGRAM,
            'turn': name,
            'budget': None,
            'hold': USED_TOKENS,
            'previous': previous.name if previous else None,
            'has': remembered,
            'span_s': 3,
        }
        try:
            state, reply = apply(state, command)
        except Fault as e:
            if previous and is_promised(previous, state.now):
                raise Broken(f'{name} was refused with {e.code}, though {previous.name} is retained') from e
            return state
        if previous and not remembered and b''.join(reply['chain']) != data_of(before):
            raise Broken(f'{name} got {reply["chain"]}, said before it was {before}')
        turn = Turn(name, previous.name if previous else None, before, remembered)
        return state._replace(turns=(*state.turns, turn))

    def end(self, state: State, turn: Turn, repeated: bool) -> State:
        """A turn ends and is acknowledged; its end is repeated if the reply to the first one was lost."""
        own = {'previous': turn.previous, 'data': data_of((turn.name,))}
        try:
            state = self.send_end(state, turn, own, repeated)
        except Fault:
            self.copied += 1
            whole = {'previous': None, 'data': data_of((*turn.before, turn.name))}
            state = self.send_end(state, turn, whole, repeated)
        acknowledged = turn._replace(acknowledged_at=state.now)
        turns = tuple(acknowledged if other.name == turn.name else other for other in state.turns)
        return state._replace(turns=turns)

    def send_end(self, state: State, turn: Turn, keep: dict, repeated: bool) -> State:
        command = {
            'op': 'turn_end',
            'program': PROGRAM,
            'turn': turn.name,
            'used': USED_TOKENS,
            'keeping_s': TURN_RETENTION_S,
            'keep': keep,
            'whole': self.whole,
        }
        state, _ = apply(state, command)
        return apply(state, command)[0] if repeated else state

    def sweep(self, state: State) -> State:
        """The store sweeps all rows."""
        position = 0
        while True:
            state, reply = apply(state, {**SWEEP, 'from': position})
            position = reply['at']
            if not position and not reply['swept']:
                return state

    def next_steps(self, state: State) -> Iterator[tuple[str, Callable[[], State]]]:
        """Every step that may come next, and what takes it."""
        acknowledged = [turn for turn in state.turns if turn.acknowledged_at]
        if len(state.turns) < self.limits.turns:
            yield 'begin', partial(self.begin, state, None, False)
            for previous in acknowledged:
                for remembered in (False, True):
                    text = f'continue {previous.name}{", remembered" if remembered else ""}'
                    yield text, partial(self.begin, state, previous, remembered)
        for turn in state.turns:
            if not turn.acknowledged_at:
                yield f'end {turn.name}', partial(self.end, state, turn, False)
                yield f'end {turn.name} twice', partial(self.end, state, turn, True)
        if state.now - START < timedelta(seconds=self.limits.waits * max(WAITS_S)):
            for wait_s in WAITS_S:
                later = state.now + timedelta(seconds=wait_s)
                yield f'wait {wait_s} s', partial(state._replace, now=later)
        yield 'sweep', partial(self.sweep, state)

    def check(self, state: State) -> None:
        """Raise `Broken` if a promised turn lacks a part of its conversation, or a turn was charged twice."""
        for turn in state.turns:
            if not is_promised(turn, state.now):
                continue
            expected = data_of(turn.conversation(turn.name))
            try:
                history = store_table.turn_history(state.rows, turn.name, state.now)
            except Fault as e:
                raise Broken(f'{turn.name} is promised and unknown: {e}') from e
            if b''.join(history) != expected:
                raise Broken(f'{turn.name} has {history}, said was {expected}')
        program = state.rows.get(f'prog/{PROGRAM}')
        if program and program['spent'] > USED_TOKENS * len(state.turns):
            raise Broken(f'{program["spent"]} tokens were charged for {len(state.turns)} turns')


def search(limits: Limits, whole: bool = True) -> Result:
    """Take every order of steps within the limits.

    >>> search(Limits(turns=2, waits=1, depth=4)).broken
    ''
    """
    model = Model(limits, whole)
    first = State()
    seen = {first.key()}
    waiting: deque[tuple[State, tuple[str, ...]]] = deque([(first, ())])
    while waiting:
        state, steps = waiting.popleft()
        if len(steps) == limits.depth:
            continue
        for text, take in model.next_steps(state):
            steps_after = (*steps, text)
            try:
                after = take()
                model.check(after)
            except Broken as e:
                return Result(len(seen), model.copied, f'{e}; after: {", ".join(steps_after)}')
            key = after.key()
            if key not in seen:
                seen.add(key)
                waiting.append((after, steps_after))
    return Result(len(seen), model.copied)
