"""Stalls: from when on a silent stream counts against its replica, before its deadline shows it.

The longest silence of each turn that ended well is learned by route. A stream that is silent for several times
that is stalled: its replica is doubted at once, and a turn that may be resumed goes on at another.
"""

from collections.abc import Awaitable, Callable
from datetime import datetime, timedelta
from typing import Any, TypeVar

from quillstall.dataplane.admission.admission_state import Service
from quillstall.dataplane.admission.service_time import blended
from quillstall.runtime.clock import of_ms
from quillstall.runtime.errors import Fault

SILENCE_LEAST = of_ms(250)  # no shorter silence is a stall
SILENCE_TIMES = 4  # nor one that is not so many times the usual longest
STOOD_STILL = of_ms(100)  # a timer as late as this tells of this process, not of the replica

Answer = TypeVar('Answer')


def stall_limit(usual: Service | None) -> timedelta | None:
    """The silence from which on a stream is stalled; None while nothing is known.

    >>> stall_limit(None), stall_limit(Service(0.1, 0.05)).total_seconds(), stall_limit(Service(0.01, 0.0)).total_seconds()
    (None, 0.6, 0.25)
    """
    return max(SILENCE_LEAST, usual.expected * SILENCE_TIMES) if usual else None


def usual_silence(known: Service | None, longest: timedelta) -> Service:
    """What is known of a route's longest silences after one more turn that ended well.

    >>> usual_silence(None, of_ms(200))
    Service(mean=0.2, dev=0.1)
    """
    span = longest.total_seconds()
    return blended(known, span) if known else Service(span, span / 2)


class StallWatch:
    """Waits for the parts of one stream from one replica."""

    def __init__(
        self,
        clock: Any,
        limit: timedelta | None,
        deadline: datetime,
        may_move: bool,
        report: Callable[[], None],
    ):
        self.clock = clock
        self.limit = limit
        self.deadline = deadline
        self.may_move = may_move  # the turn may go on elsewhere
        self.report = report  # says that the replica is stalled
        self.reported = False
        self.longest = timedelta(0)

    async def wait(self, ask: Callable[[timedelta], Awaitable[Answer]]) -> Answer:
        """What `ask(limit)` gives: `await watch.wait(exchange.data)`. A stall is reported once, and raised as
        Fault 'slow' where the turn may move; else it is waited on until the deadline."""
        start = self.clock.now()
        while True:
            asked = self.clock.now()
            span = self.deadline - asked
            if self.limit is not None and not self.reported:
                span = min(span, self.limit)
            try:
                answer = await ask(span)
            except Fault as e:
                self.judge(e, self.clock.now() - asked > span + STOOD_STILL)
                continue
            self.longest = max(self.longest, self.clock.now() - start)
            return answer

    def judge(self, fault: Fault, stood_still: bool) -> None:
        """Take a fault of one wait: raise it, or let the stream be waited for on."""
        if fault.code != 'slow' or self.clock.now() >= self.deadline:
            raise fault
        if stood_still:
            return
        if self.may_move:
            raise Fault('slow', fault.text, more={'stalled': True}) from fault
        self.reported = True
        self.report()
