"""Clocks of one process: the steady clock, on which leases and deadlines are counted, and the wall clock.

The steady clock cannot be set and counts the time that the machine was suspended. The wall clock is
for what people read, and for times that are compared between machines or kept over a restart.
"""

import asyncio
import time
from collections.abc import Callable
from datetime import UTC, datetime, timedelta

from zope.interface import Interface, implementer

STEADY_CLOCK = getattr(time, 'CLOCK_BOOTTIME', time.CLOCK_MONOTONIC)


class IClock(Interface):
    """A steady time, the wall time, and waiting."""

    def now():
        """The steady time, as an aware datetime: it never runs backwards, nor follows a step of the wall clock."""

    def wall():
        """The wall time, as an aware datetime: it may be set, in both directions."""

    async def sleep(span):
        """Return when `span` has passed."""


def ms(span: timedelta) -> int:
    """Whole milliseconds of a span.

    >>> ms(timedelta(seconds=1.5))
    1500
    """
    return round(span / timedelta(milliseconds=1))


def from_ms(count: float) -> timedelta:
    """A span of that many milliseconds.

    >>> from_ms(250)
    datetime.timedelta(microseconds=250000)
    """
    return timedelta(milliseconds=count)


def steady_seconds() -> float:
    """Seconds on the clock that nobody can set and that counts suspension; where there is none, on the
    monotonic clock.

    >>> a = steady_seconds(); steady_seconds() >= a
    True
    """
    return time.clock_gettime(STEADY_CLOCK)


@implementer(IClock)
class SystemClock:
    """The machine's clocks. The steady time is the wall time at the start plus what the steady clock has
    counted since, so its readings look like times, but a later step of the wall clock is not in them.

    >>> steady, wall = [100.0], [5000.0]
    >>> c = SystemClock(lambda: steady[0], lambda: wall[0]); a = c.now()
    >>> wall[0] += 3; (c.now() - a).total_seconds(), (c.wall() - a).total_seconds()
    (0.0, 3.0)
    >>> steady[0] += 10; (c.now() - a).total_seconds()          # suspended for 10 s, or just waiting
    10.0
    """

    def __init__(self, steady: Callable[[], float] = steady_seconds, wall: Callable[[], float] = time.time):
        self.read_steady = steady
        self.read_wall = wall
        self.anchor = wall() - steady()

    def now(self) -> datetime:
        """The steady time: `clock.now()`."""
        return datetime.fromtimestamp(self.read_steady() + self.anchor, UTC)

    def wall(self) -> datetime:
        """The wall time: `clock.wall()`."""
        return datetime.fromtimestamp(self.read_wall(), UTC)

    async def sleep(self, span: timedelta) -> None:
        """Wait for `span`: `await clock.sleep(from_ms(20))`."""
        await asyncio.sleep(max(0.0, span.total_seconds()))
