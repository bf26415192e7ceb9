"""Linearizability: judge a history of calls on one register that is changed by compare-and-set.

The register holds a version. A change names the version that it builds on and the version that it
writes; a read returns the version. Each call takes effect at one moment between its start and its
end, or, if its outcome is unknown, at one moment after its start or never. A history is linearizable
if such moments can be chosen for all of its calls at once.

The search follows Wing and Gong ("Testing and verifying concurrent objects", 1993), with the visited
configurations remembered as by Lowe ("Testing for linearizability", 2017).
"""

from collections.abc import Iterator, Sequence
from dataclasses import dataclass, field
from enum import Enum
from math import inf

MAX_STEPS = 200_000


class Kind(Enum):
    """What a call asks of the register."""

    READ = 'read'
    CHANGE = 'change'


class Outcome(Enum):
    """What the caller was told."""

    TAKEN = 'taken'  # a change took effect, or a read returned
    CONFLICT = 'conflict'  # a change did not take effect: another version was current
    INVALID = 'invalid'  # a change did not take effect for a fault of its own
    UNKNOWN = 'unknown'  # no clear answer came


@dataclass(frozen=True)
class Call:
    """One call from its first request to its clear answer, all repeats included.

    >>> Call(Kind.CHANGE, 5, 7, 0.0, 1.0, Outcome.TAKEN).describe()
    'change 5 -> 7, 0.000 to 1.000 s: taken'
    >>> Call(Kind.READ, None, 7, 0.5, 0.6, Outcome.TAKEN).describe()
    'read of 7, 0.500 to 0.600 s: taken'
    """

    kind: Kind
    base: int | None  # the version that a change builds on; None for whatever is current
    version: int  # the version that a change writes or a read returned
    start: float  # seconds
    end: float  # seconds; without meaning if the outcome is unknown
    outcome: Outcome

    def describe(self) -> str:
        """The call as a line of a report."""
        what = (
            f'change {self.base} -> {self.version}' if self.kind is Kind.CHANGE else f'read of {self.version}'
        )
        return f'{what}, {self.start:.3f} to {self.end:.3f} s: {self.outcome.value}'

    @property
    def latest(self) -> float:
        """The last moment at which the call can take effect."""
        return inf if self.outcome is Outcome.UNKNOWN else self.end

    def fits(self, current: int) -> bool:
        """Whether the call can take effect while the register holds `current`.

        >>> change = Call(Kind.CHANGE, 5, 7, 0.0, 1.0, Outcome.TAKEN)
        >>> change.fits(5), change.fits(6)
        (True, False)
        """
        if self.kind is Kind.READ:
            return self.version == current
        if self.outcome is Outcome.INVALID:
            return True
        if self.outcome is Outcome.CONFLICT:
            return self.base is None or self.base != current
        return self.base is None or self.base == current

    @property
    def writes(self) -> bool:
        """Whether the register holds the call's version once the call has taken effect."""
        return self.kind is Kind.CHANGE and self.outcome in (Outcome.TAKEN, Outcome.UNKNOWN)


class Verdict(Enum):
    """What the search found."""

    LINEARIZABLE = 'linearizable'
    NOT_LINEARIZABLE = 'not linearizable'
    UNDECIDED = 'undecided'  # the search was given up at its bound


@dataclass(frozen=True)
class Result:
    """A verdict, and for a bad history where the longest attempt came to a stand."""

    verdict: Verdict
    steps: int
    current: int | None = None  # the version held there
    stuck: tuple[Call, ...] = ()  # the calls that could have come next, none of which fits


@dataclass(frozen=True)
class _Configuration:
    """A point of the search: the calls that have taken effect, and what the register holds.

    All calls before `first` have taken effect, and those whose indexes are in `later`."""

    first: int
    later: frozenset[int]
    current: int


@dataclass
class _Search:
    """The calls in the order of their starts, and the configurations still to be looked at."""

    calls: list[Call]
    initial: int
    pending: list[_Configuration] = field(default_factory=list)
    seen: set[_Configuration] = field(default_factory=set)

    def run(self, max_steps: int) -> Result:
        self.push(_Configuration(0, frozenset(), self.initial))
        steps, deepest, best = 0, -1, None
        while self.pending:
            if steps >= max_steps:
                return Result(Verdict.UNDECIDED, steps)
            steps += 1
            here = self.pending.pop()
            if self.complete(here):
                return Result(Verdict.LINEARIZABLE, steps)
            depth = here.first + len(here.later)
            if depth > deepest:
                deepest, best = depth, here
            for following in self.successors(here):
                self.push(following)
        assert best is not None
        definite = tuple(
            call
            for call in (self.calls[index] for index in self.candidates(best))
            if call.outcome is not Outcome.UNKNOWN
        )
        return Result(Verdict.NOT_LINEARIZABLE, steps, best.current, definite)

    def push(self, configuration: _Configuration) -> None:
        if configuration not in self.seen:
            self.seen.add(configuration)
            self.pending.append(configuration)

    def remaining(self, here: _Configuration) -> Iterator[int]:
        return (n for n in range(here.first, len(self.calls)) if n not in here.later)

    def complete(self, here: _Configuration) -> bool:
        """Whether only calls of unknown outcome are left, which need never take effect."""
        return all(self.calls[n].outcome is Outcome.UNKNOWN for n in self.remaining(here))

    def candidates(self, here: _Configuration) -> list[int]:
        """The calls that may be the next to take effect: no other has ended before they start."""
        found: list[int] = []
        earliest_end = inf
        for index in self.remaining(here):
            if self.calls[index].start > earliest_end:
                break
            found.append(index)
            earliest_end = min(earliest_end, self.calls[index].latest)
        return [index for index in found if self.calls[index].start <= earliest_end]

    def successors(self, here: _Configuration) -> list[_Configuration]:
        """The next configurations, the most promising last."""
        fitting = [n for n in self.candidates(here) if self.calls[n].fits(here.current)]
        for index in fitting:
            if not self.calls[index].writes:  # it changes nothing: to take it now loses no other way
                return [self.after(here, index)]
        fitting.sort(key=lambda index: self.calls[index].latest, reverse=True)
        return [self.after(here, index) for index in fitting]

    def after(self, here: _Configuration, index: int) -> _Configuration:
        call = self.calls[index]
        current = call.version if call.writes else here.current
        first, later = here.first, here.later | {index}
        while first in later:
            later -= {first}
            first += 1
        return _Configuration(first, later, current)


def check(calls: Sequence[Call], initial: int = 0, max_steps: int = MAX_STEPS) -> Result:
    """Whether a history of calls is linearizable, beginning with the version `initial`.

    >>> first = Call(Kind.CHANGE, 0, 5, 0.0, 1.0, Outcome.TAKEN)
    >>> rival = Call(Kind.CHANGE, 0, 6, 0.0, 1.0, Outcome.TAKEN)
    >>> check([first]).verdict.value, check([first, rival]).verdict.value
    ('linearizable', 'not linearizable')
    """
    relevant = [c for c in calls if not (c.kind is Kind.READ and c.outcome is not Outcome.TAKEN)]
    return _Search(sorted(relevant, key=lambda call: call.start), initial).run(max_steps)


def findings(calls: Sequence[Call], initial: int = 0, max_steps: int = MAX_STEPS) -> list[str]:
    """What is wrong with a history, as lines of a report; empty if nothing is.

    >>> findings([Call(Kind.READ, None, 3, 0.0, 1.0, Outcome.TAKEN)])
    ['history: not linearizable: version 0 is held, and none of these can follow: read of 3, 0.000 to 1.000 s: taken']
    """
    result = check(calls, initial, max_steps)
    if result.verdict is Verdict.LINEARIZABLE:
        return []
    if result.verdict is Verdict.UNDECIDED:
        return [f'history: undecided after {result.steps} steps over {len(calls)} calls']
    stuck = '; '.join(call.describe() for call in result.stuck)
    return [
        f'history: not linearizable: version {result.current} is held, and none of these can follow: {stuck}'
    ]
