"""Clock: the time and the clock events of one process."""

import asyncio
import time
from datetime import datetime, timedelta, timezone

from zope.interface import Interface, implementer


class IClock(Interface):
    """Time that never runs backwards, and waiting on it."""

    def now():
        """The time, as an aware datetime."""

    async def sleep(span):
        """Return when `span` has passed."""


def ms(span: timedelta) -> int:
    """Whole milliseconds of a span.

    >>> ms(timedelta(seconds=1.5))
    1500
    """
    return round(span / timedelta(milliseconds=1))


def of_ms(count: float) -> timedelta:
    """A span of that many milliseconds.

    >>> of_ms(250)
    datetime.timedelta(microseconds=250000)
    """
    return timedelta(milliseconds=count)


@implementer(IClock)
class WallClock:
    """The machine's time at the start, moved on by the monotonic clock alone.

    >>> c = WallClock(); a = c.now(); c.now() >= a
    True
    """

    def __init__(self):
        self.base = datetime.now(timezone.utc)
        self.start = time.monotonic()

    def now(self) -> datetime:
        """The time now; a step of the machine's clock does not show.

        >>> WallClock().now().tzinfo is timezone.utc
        True
        """
        return self.base + timedelta(seconds=time.monotonic() - self.start)

    async def sleep(self, span: timedelta) -> None:
        """Wait for `span`: `await clock.sleep(of_ms(20))`."""
        await asyncio.sleep(max(0.0, span.total_seconds()))

