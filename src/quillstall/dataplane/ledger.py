"""Ledger: the tokens of one rolling minute, reserved ahead and settled to what was used."""

from datetime import datetime, timedelta
from typing import NamedTuple

from immutables import Map

MINUTE = 60


class Ledger(NamedTuple):
    """Tokens by the second in which they were reserved.

    >>> from datetime import UTC
    >>> t = datetime(2026, 1, 1, tzinfo=UTC)
    >>> led = reserve(Ledger(), 1200, t); led.total
    1200
    >>> led = settle(led, 1200, 900, t, t); led.total
    900
    >>> age(led, t + timedelta(seconds=61)).total
    0
    """

    seconds: Map = Map()
    total: int = 0


def age(led: Ledger, now: datetime) -> Ledger:
    """The ledger without what is older than a minute: `age(led, now)`."""
    edge = int(now.timestamp()) - MINUTE
    old = [s for s in led.seconds if s <= edge]
    if not old:
        return led
    seconds, total = led.seconds, led.total
    for s in old:
        total -= seconds[s]
        seconds = seconds.delete(s)
    return Ledger(seconds, total)


def reserve(led: Ledger, tokens: int, now: datetime) -> Ledger:
    """The ledger with a hold taken now: `reserve(led, 1200, now)`."""
    s = int(now.timestamp())
    return Ledger(led.seconds.set(s, led.seconds.get(s, 0) + tokens), led.total + tokens)


def settle(led: Ledger, hold: int, used: int, at: datetime, now: datetime) -> Ledger:
    """The ledger with a hold of `at` turned into what was used: `settle(led, 1200, 900, at, now)`."""
    s = int(at.timestamp())
    led = age(led, now)
    if s not in led.seconds:
        return led
    return Ledger(led.seconds.set(s, led.seconds[s] - hold + used), led.total - hold + used)


def room(led: Ledger, tokens: int, budget: float, now: datetime) -> timedelta:
    """How long until the rolling minute has room for that many tokens.

    >>> from datetime import UTC
    >>> t = datetime(2026, 1, 1, tzinfo=UTC)
    >>> led = reserve(Ledger(), 900, t)
    >>> room(led, 200, 1000, t + timedelta(seconds=10)) // timedelta(seconds=1)
    51
    """
    led = age(led, now)
    left = led.total + tokens - budget
    if left <= 0:
        return timedelta(0)
    for s in sorted(led.seconds):
        left -= led.seconds[s]
        if left <= 0:
            return max(timedelta(0), timedelta(seconds=s + MINUTE + 1 - now.timestamp()))
    return timedelta(seconds=MINUTE)
