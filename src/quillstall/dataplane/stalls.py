"""Detection of stalled streams, so that a hanging replica is found before the deadline of its requests.

The longest silence of each turn that succeeded is recorded by route. A stream that stays silent for several times
as long is stalled: its replica is reported at once, and a turn that may be resumed continues on another replica.
"""

from collections.abc import Awaitable, Callable
from datetime import datetime, timedelta
from typing import Any, TypeVar

from quillstall.dataplane.admission.admission_state import ServiceTime
from quillstall.dataplane.admission.service_time import smoothed
from quillstall.runtime.clock import from_ms
from quillstall.runtime.errors import Fault

MIN_STALL_SILENCE = from_ms(250)  # a shorter silence is no stall
STALL_FACTOR = 4  # nor is one below this multiple of the usual longest silence
MAX_TIMER_DELAY = from_ms(
    100
)  # if a timer fires later than this, the delay is in this process, not in the replica

Answer = TypeVar('Answer')


def stall_limit(usual: ServiceTime | None) -> timedelta | None:
    """Return the silence after which a stream counts as stalled, None if nothing has been recorded yet.

    >>> stall_limit(None), stall_limit(ServiceTime(0.1, 0.05)).total_seconds(), stall_limit(ServiceTime(0.01, 0.0)).total_seconds()
    (None, 0.6, 0.25)
    """
    return max(MIN_STALL_SILENCE, usual.expected * STALL_FACTOR) if usual else None


def usual_silence(known: ServiceTime | None, longest: timedelta) -> ServiceTime:
    """Return a route's estimate of the longest silence after one more turn that succeeded.

    >>> usual_silence(None, from_ms(200))
    ServiceTime(mean=0.2, deviation=0.1)
    """
    seconds = longest.total_seconds()
    return smoothed(known, seconds) if known else ServiceTime(seconds, seconds / 2)


class StallWatch:
    """Waits for the data of one stream from one replica, and detects when it stalls."""

    def __init__(
        self,
        clock: Any,
        limit: timedelta | None,
        deadline: datetime,
        may_resume: bool,
        report: Callable[[], None],
    ):
        self.clock = clock
        self.limit = limit
        self.deadline = deadline
        self.may_resume = may_resume  # the turn may continue on another replica
        self.report = report  # reports the replica as stalled
        self.reported = False
        self.longest_silence = timedelta(0)

    async def wait(self, receive: Callable[[timedelta], Awaitable[Answer]]) -> Answer:
        """Return the result of `receive(limit)`, as in `await watch.wait(exchange.read_data)`. On a stall raise Fault
        'slow' if the turn may resume; else report it once and wait on until the deadline."""
        start = self.clock.now()
        while True:
            attempt_start = self.clock.now()
            limit = self.deadline - attempt_start
            if self.limit is not None and not self.reported:
                limit = min(limit, self.limit)
            try:
                answer = await receive(limit)
            except Fault as e:
                self.handle(e, self.clock.now() - attempt_start > limit + MAX_TIMER_DELAY)
                continue
            self.longest_silence = max(self.longest_silence, self.clock.now() - start)
            return answer

    def handle(self, fault: Fault, timer_delayed: bool) -> None:
        """Handle a fault while waiting: raise it, or return to wait on."""
        if fault.code != 'slow' or self.clock.now() >= self.deadline:
            raise fault
        if timer_delayed:
            return
        if self.may_resume:
            raise Fault('slow', fault.text, more={'stalled': True}) from fault
        self.reported = True
        self.report()
