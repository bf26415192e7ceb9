"""The stop of a routing node: which requests it still takes, and when it closes callers' connections."""

from datetime import datetime
from typing import NamedTuple

from quillstall.runtime.clock import from_ms

UNCONDITIONAL_ADMISSION = from_ms(2800)  # after a stop signal; later, a request must end before the stop does
MIN_DRAIN_TIME = from_ms(3200)  # callers need this long after a stop signal to find other nodes
FINAL_RESPONSE_MARGIN = from_ms(300)  # before the end of a stop: open requests are answered then
RETRY_MS = 50  # for a request refused by a node that stops: the other nodes can serve it now


class Stop(NamedTuple):
    """The times of a stop that has begun."""

    admit_until: datetime  # until then every request is taken
    close_idle_at: datetime  # from then on no connection may stay idle, and none is accepted
    final_response_at: datetime  # requests that are still open then are answered with an error

    def admits(self, now: datetime, deadline: datetime) -> bool:
        """Return whether a request that arrives now is taken: late in the stop only if it ends in time.

        >>> t = datetime(2026, 1, 1)
        >>> stop = Stop(t + from_ms(2800), t + from_ms(3200), t + from_ms(7000))
        >>> stop.admits(t, t + from_ms(9000)), stop.admits(t + from_ms(3000), t + from_ms(7000))
        (True, True)
        >>> stop.admits(t + from_ms(3000), t + from_ms(7001))
        False
        """
        return now <= self.admit_until or deadline <= self.final_response_at


def begin(now: datetime, end: datetime) -> Stop:
    """Return the times of a stop that begins now and may last until `end`.

    >>> t = datetime(2026, 1, 1)
    >>> begin(t, t + from_ms(7400)) == Stop(t + from_ms(2800), t + from_ms(3200), t + from_ms(7100))
    True
    >>> begin(t, t + from_ms(1000)).close_idle_at == t + from_ms(700)
    True
    """
    final_response_at = end - FINAL_RESPONSE_MARGIN
    return Stop(
        now + UNCONDITIONAL_ADMISSION, min(now + MIN_DRAIN_TIME, final_response_at), final_response_at
    )
