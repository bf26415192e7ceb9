"""A ledger of the tokens of the last minute: reserved in advance, then settled to what was used."""

from datetime import datetime, timedelta
from typing import NamedTuple

from immutables import Map

MINUTE = 60


class Ledger(NamedTuple):
    """Tokens by the second in which they were reserved.

    >>> from datetime import UTC
    >>> t = datetime(2026, 1, 1, tzinfo=UTC)
    >>> ledger = reserve(Ledger(), 1200, t); ledger.total
    1200
    >>> ledger = settle(ledger, 1200, 900, t, t); ledger.total
    900
    >>> without_expired(ledger, t + timedelta(seconds=61)).total
    0
    """

    tokens_by_second: Map = Map()
    total: int = 0


def without_expired(ledger: Ledger, now: datetime) -> Ledger:
    """Return the ledger without reservations that are older than a minute."""
    limit = int(now.timestamp()) - MINUTE
    expired = [second for second in ledger.tokens_by_second if second <= limit]
    if not expired:
        return ledger
    tokens_by_second, total = ledger.tokens_by_second, ledger.total
    for second in expired:
        total -= tokens_by_second[second]
        tokens_by_second = tokens_by_second.delete(second)
    return Ledger(tokens_by_second, total)


def reserve(ledger: Ledger, tokens: int, now: datetime) -> Ledger:
    """Return the ledger with tokens reserved at `now`."""
    second = int(now.timestamp())
    return Ledger(
        ledger.tokens_by_second.set(second, ledger.tokens_by_second.get(second, 0) + tokens),
        ledger.total + tokens,
    )


def settle(ledger: Ledger, reserved: int, used: int, reserved_at: datetime, now: datetime) -> Ledger:
    """Return the ledger with a reservation replaced by what was used, unless it has expired."""
    second = int(reserved_at.timestamp())
    ledger = without_expired(ledger, now)
    if second not in ledger.tokens_by_second:
        return ledger
    return Ledger(
        ledger.tokens_by_second.set(second, ledger.tokens_by_second[second] - reserved + used),
        ledger.total - reserved + used,
    )


def time_until_room(ledger: Ledger, tokens: int, budget: float, now: datetime) -> timedelta:
    """Return how long it takes until that many tokens fit into the budget of a minute.

    >>> from datetime import UTC
    >>> t = datetime(2026, 1, 1, tzinfo=UTC)
    >>> ledger = reserve(Ledger(), 900, t)
    >>> time_until_room(ledger, 200, 1000, t + timedelta(seconds=10)) // timedelta(seconds=1)
    51
    """
    ledger = without_expired(ledger, now)
    excess = ledger.total + tokens - budget
    if excess <= 0:
        return timedelta(0)
    for second in sorted(ledger.tokens_by_second):
        excess -= ledger.tokens_by_second[second]
        if excess <= 0:
            return max(timedelta(0), timedelta(seconds=second + MINUTE + 1 - now.timestamp()))
    return timedelta(seconds=MINUTE)
