"""History: record the calls that operators make on the configuration, with their times and answers."""

from collections.abc import Callable
from dataclasses import dataclass, replace

from quillstall.testbed.linearizability import Call, Kind, Outcome, findings


@dataclass(frozen=True)
class Ticket:
    """Names a call that was begun, until its outcome is told."""

    index: int


class History:
    """The calls of one run. One that is never ended counts as of unknown outcome.

    >>> seconds = iter([0.0, 1.0, 2.0, 3.0])
    >>> history = History(lambda: next(seconds))
    >>> history.end(history.begin_change(0, 5), Outcome.TAKEN)
    >>> history.end_read(history.begin_read(), 4)
    >>> [call.version for call in history.calls], len(history.findings())
    ([5, 4], 1)
    """

    def __init__(self, seconds: Callable[[], float]):
        self.seconds = seconds
        self.calls: list[Call] = []

    def begin_change(self, base: int | None, version: int) -> Ticket:
        """A change is sent for the first time: `ticket = history.begin_change(5, 7)`."""
        return self._begin(Call(Kind.CHANGE, base, version, self.seconds(), 0.0, Outcome.UNKNOWN))

    def begin_read(self) -> Ticket:
        """A read is sent: `ticket = history.begin_read()`."""
        return self._begin(Call(Kind.READ, None, 0, self.seconds(), 0.0, Outcome.UNKNOWN))

    def _begin(self, call: Call) -> Ticket:
        self.calls.append(call)
        return Ticket(len(self.calls) - 1)

    def end(self, ticket: Ticket, outcome: Outcome) -> None:
        """A change has a clear answer: `history.end(ticket, Outcome.CONFLICT)`."""
        call = self.calls[ticket.index]
        self.calls[ticket.index] = replace(call, end=self.seconds(), outcome=outcome)

    def end_read(self, ticket: Ticket, version: int) -> None:
        """A read has returned a version: `history.end_read(ticket, 7)`."""
        call = self.calls[ticket.index]
        self.calls[ticket.index] = replace(call, version=version, end=self.seconds(), outcome=Outcome.TAKEN)

    def findings(self, initial: int = 0) -> list[str]:
        """What is wrong with the calls so far: `history.findings()`."""
        return findings(self.calls, initial)
