"""The clocks of a process: a steady (monotonic) clock for leases and deadlines, and the wall clock.

The steady clock cannot be set, and it includes time during which the machine was suspended. The wall clock
serves for times that people read, that machines compare or that are kept across a restart.
"""

import asyncio
import time
from collections.abc import Callable
from datetime import UTC, datetime, timedelta

from zope.interface import Interface, implementer

STEADY_CLOCK = getattr(time, 'CLOCK_BOOTTIME', time.CLOCK_MONOTONIC)


class IClock(Interface):
    """The steady clock, the wall clock and a delay."""

    def now():
        """Return the steady time as an aware datetime: never decreasing, unaffected by steps of the wall clock."""

    def wall():
        """Return the wall time as an aware datetime; it may be stepped in either direction."""

    async def sleep(span):
        """Return after `span` has elapsed."""


def ms(span: timedelta) -> int:
    """Return a duration in whole milliseconds.

    >>> ms(timedelta(seconds=1.5))
    1500
    """
    return round(span / timedelta(milliseconds=1))


def from_ms(count: float) -> timedelta:
    """Return the duration of `count` milliseconds.

    >>> from_ms(250)
    datetime.timedelta(microseconds=250000)
    """
    return timedelta(milliseconds=count)


def steady_seconds() -> float:
    """Return seconds on the boot-time clock, which cannot be set and includes suspension; where the system has
    none, on the monotonic clock.

    >>> a = steady_seconds(); steady_seconds() >= a
    True
    """
    return time.clock_gettime(STEADY_CLOCK)


@implementer(IClock)
class SystemClock:
    """The machine's clocks. The steady time is the wall time at the start plus the steady seconds since, so its
    readings look like times but do not follow later steps of the wall clock.

    >>> steady, wall = [100.0], [5000.0]
    >>> c = SystemClock(lambda: steady[0], lambda: wall[0]); a = c.now()
    >>> wall[0] += 3; (c.now() - a).total_seconds(), (c.wall() - a).total_seconds()
    (0.0, 3.0)
    >>> steady[0] += 10; (c.now() - a).total_seconds()          # suspended or waiting for 10 s
    10.0
    """

    def __init__(self, steady: Callable[[], float] = steady_seconds, wall: Callable[[], float] = time.time):
        self.read_steady = steady
        self.read_wall = wall
        self.wall_offset_s = wall() - steady()

    def now(self) -> datetime:
        """Return the steady time: `clock.now()`."""
        return datetime.fromtimestamp(self.read_steady() + self.wall_offset_s, UTC)

    def wall(self) -> datetime:
        """Return the wall time: `clock.wall()`."""
        return datetime.fromtimestamp(self.read_wall(), UTC)

    async def sleep(self, span: timedelta) -> None:
        """Wait for `span`: `await clock.sleep(from_ms(20))`."""
        await asyncio.sleep(max(0.0, span.total_seconds()))
