"""Clock: the time and the clock events of one process."""

import asyncio
import time
from collections.abc import Callable
from datetime import UTC, datetime, timedelta

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
    """The machine's time, never backwards. It goes with the monotonic clock; where the wall clock has
    gone further than that, the machine was suspended (or set right), and the time catches up with it:
    a lease that ran out meanwhile is seen to have run out.

    >>> spent, wall = [100.0], [5000.0]
    >>> c = WallClock(lambda: spent[0], lambda: wall[0]); a = c.now()
    >>> wall[0] += 10; (c.now() - a).total_seconds()          # suspended: the monotonic clock stood still
    10.0
    >>> wall[0] -= 60; spent[0] += 1; (c.now() - a).total_seconds()    # set back: not seen
    11.0
    """

    def __init__(self, spent: Callable[[], float] = time.monotonic, wall: Callable[[], float] = time.time):
        self.spent = spent
        self.wall = wall
        self.ahead = wall() - spent()

    def now(self) -> datetime:
        """The time now.

        >>> c = WallClock(); a = c.now(); c.now() >= a
        True
        """
        spent = self.spent()
        self.ahead = max(self.ahead, self.wall() - spent)
        return datetime.fromtimestamp(spent + self.ahead, UTC)

    async def sleep(self, span: timedelta) -> None:
        """Wait for `span`: `await clock.sleep(of_ms(20))`."""
        await asyncio.sleep(max(0.0, span.total_seconds()))
