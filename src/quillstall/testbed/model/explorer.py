"""Search: breadth-first with states hashed, and random walks with shrinking."""

import time
from collections.abc import Callable
from datetime import datetime, timedelta
from random import Random
from typing import Any, NamedTuple

from immutables import Map

from quillstall.testbed.model.choices import choices
from quillstall.testbed.model.members import START, time_of
from quillstall.testbed.model.state import Member, Setup, Step, World
from quillstall.testbed.model.world import advance, begin

OLD = 30  # tenths of a second after which all times are the same
TENTH = timedelta(milliseconds=100)
PLAIN = frozenset((str, int, bool, type(None), float))
PICK_BYTES = 2
KNOWN_MOST = 200_000  # values whose numbers are kept
WEIGHTS = {  # how often walks take each kind of step beside one of any other kind
    'deliver': 6,
    'sync': 4,
    'command': 4,
    'settle': 3,
    'settle_without': 3,
    'settle_among': 3,
    'settle_stalled': 2,
    'verdict': 2,
    'told_seat': 2,
    'tick': 2,
}


class Outcome(NamedTuple):
    """What a search found.

    >>> Outcome(10, 2, 0.1).trace
    ()
    """

    states: int
    depth: int
    seconds: float
    broken: str = ''
    trace: tuple = ()  # the steps that lead there, each with the world before it
    whole: bool = True  # whether everything up to that depth was seen
    walks: int = 0


def freeze(value: Any, now: datetime) -> Any:
    """A value in canonical, hashable form; times count from now, and long ago is long ago.

    >>> freeze({'b': [1]}, time_of(0))
    frozenset({('b', (1,))})
    """
    kind = type(value)
    if kind in PLAIN:
        return value
    if kind is dict or kind is Map:
        return frozenset([(k, freeze(v, now)) for k, v in value.items()])
    if kind is datetime:
        return max(-OLD, min(OLD, (now - value) // TENTH))
    if isinstance(value, (tuple, list)):
        return tuple([v if type(v) in PLAIN else freeze(v, now) for v in value])
    return value


class Canon:
    """Canonical forms of worlds; members are kept, since most steps change one."""

    def __init__(self) -> None:
        self.known: dict[int, tuple[Any, int]] = {}

    def of(self, world: World) -> int:
        """A number that stands for the world: `canon.of(world)`."""
        everyone = tuple(self.member(name, world.members[name]) for name in sorted(world.members))
        messages = tuple(sorted(self.plain(e) for e in world.messages))
        ledger = self.plain(world.ledger)
        return hash((everyone, messages, ledger, world.seat, world.limits, world.spent))

    def member(self, name: str, member: Member) -> int:
        """The number of a member; what its clock shows does not count, only how long ago things were."""
        known = self.known.get(id(member))
        if known is not None and known[0] is member:
            return known[1]
        number = hash((name, freeze(member._replace(clock=0), time_of(member.clock))))
        return self.keep(member, number)

    def plain(self, value: Any) -> int:
        """The number of a value without times."""
        known = self.known.get(id(value))
        if known is not None and known[0] is value:
            return known[1]
        return self.keep(value, hash(freeze(value, START)))

    def keep(self, value: Any, number: int) -> int:
        if len(self.known) > KNOWN_MOST:
            self.known.clear()
        self.known[id(value)] = (value, number)
        return number


def breadth_first(setup: Setup, depth: int, most: int, seconds: float) -> Outcome:
    """Every run of up to `depth` steps, until something breaks or a bound is reached."""
    start = time.monotonic()
    canon, first = Canon(), begin(setup)
    parents: dict[int, tuple[int, Step] | None] = {canon.of(first): None}
    layer, reached = [(canon.of(first), first)], 0
    while layer and reached < depth:
        after = []
        for key, world in layer:
            for step in choices(world):
                then = advance(world, step)
                mark = canon.of(then)
                if mark in parents and not then.broken:
                    continue
                parents[mark] = (key, step)
                if then.broken:
                    trace = replay(first, path(parents, mark))
                    took = time.monotonic() - start
                    return Outcome(len(parents), reached + 1, took, then.broken, trace)
                after.append((mark, then))
                if len(parents) >= most or time.monotonic() - start > seconds:
                    took = time.monotonic() - start
                    return Outcome(len(parents), reached, took, whole=False)
        layer, reached = after, reached + 1
    return Outcome(len(parents), reached, time.monotonic() - start)


def path(parents: dict, mark: int) -> list[Step]:
    """The steps from the first world to this one."""
    out = []
    while parents[mark] is not None:
        mark, step = parents[mark]
        out.append(step)
    return out[::-1]


def replay(world: World, steps: list[Step]) -> tuple:
    """The same steps once more, each with the world before it."""
    out = []
    for step in steps:
        out.append((step, world))
        world = advance(world, step)
    return tuple(out)


def chosen(world: World, pick: int) -> Step:
    """The step that a number stands for: its kind by weight, then one of that kind.

    >>> chosen(begin(Setup()), 0).kind
    'tick'
    """
    kinds: dict[str, list[Step]] = {}
    for step in choices(world):
        kinds.setdefault(step.kind, []).append(step)
    often = [kind for kind in kinds for _ in range(WEIGHTS.get(kind, 1))]
    which, kind = divmod(pick, len(often))
    steps = kinds[often[kind]]
    return steps[which % len(steps)]


def walk(world: World, picks: bytes, seen: Callable[[World], None]) -> tuple[World, list[Step]]:
    """Take one step for each pair of bytes; a pair of 0 takes none, which is what shrinking aims at."""
    steps = []
    for at in range(0, len(picks), PICK_BYTES):
        pick = int.from_bytes(picks[at : at + PICK_BYTES], 'big')
        if not pick:
            continue
        step = chosen(world, pick - 1)
        steps.append(step)
        world = advance(world, step)
        seen(world)
        if world.broken:
            break
    return world, steps


def random_walks(setup: Setup, walks: int, length: int, seed: int) -> Outcome:
    """Walks of random steps; one that breaks an invariant is shrunk to a short one."""
    from hypothesis import HealthCheck, Phase, find, settings, strategies  # not there at run time
    from hypothesis.errors import NoSuchExample

    start = time.monotonic()
    first, canon, marks, count = begin(setup), Canon(), set(), [0]

    def seen(world: World) -> None:
        marks.add(canon.of(world))

    def breaks(picks: bytes) -> bool:
        count[0] += 1
        return bool(walk(first, picks, seen)[0].broken)

    how = settings(
        max_examples=walks,
        database=None,
        deadline=None,
        suppress_health_check=list(HealthCheck),
        phases=(Phase.generate, Phase.shrink),
    )
    size = length * PICK_BYTES
    picks = strategies.binary(min_size=size, max_size=size)
    try:
        found = find(picks, breaks, settings=how, random=Random(seed))
    except NoSuchExample:
        return Outcome(len(marks), length, time.monotonic() - start, whole=False, walks=count[0])
    world, steps = walk(first, found, lambda world: None)
    steps, broken = shorten(first, steps)
    trace = replay(first, steps)
    took = time.monotonic() - start
    return Outcome(len(marks), len(steps), took, broken, trace, False, count[0])


def shorten(first: World, steps: list[Step]) -> tuple[list[Step], str]:
    """Leave out every step without which the run still breaks."""
    broken = run(first, steps)
    at = len(steps) - 1
    while at >= 0:
        less = steps[:at] + steps[at + 1 :]
        text = run(first, less)
        if text:
            steps, broken = less, text
        at -= 1
        at = min(at, len(steps) - 1)
    return steps, broken


def run(world: World, steps: list[Step]) -> str:
    """What a run of these steps breaks; nothing if it is no run."""
    for step in steps:
        if world.broken:
            return ''
        if step not in choices(world):
            return ''
        world = advance(world, step)
    return world.broken
