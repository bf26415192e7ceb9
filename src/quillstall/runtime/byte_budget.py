"""Budgets in bytes for what a process holds, derived from its memory limit.

Whoever reads something large reserves its size first, and reads it only if there is room. What is of no known size is
reserved piece by piece.
"""

import asyncio
import math
from collections import deque
from typing import NamedTuple

MIB = 1024 * 1024
BASE_BYTES = 72 * MIB  # the program itself, its libraries and its smaller tables
REQUESTS_SHARE = 0.34
RESPONSES_SHARE = 0.22
MESSAGES_SHARE = 0.22
TABLE_SHARE = 0.25  # of rows, as they are stored; in memory they take up to twice as much
MIN_BUDGET_BYTES = 4 * MIB


class ByteBudget:
    """A number of bytes that may be held at the same time.

    Something larger than the whole budget is let in while nothing else is held, so that it is not refused for ever.

    >>> budget = ByteBudget(10); budget.try_reserve(8), budget.try_reserve(8), budget.held
    (True, False, 8)
    >>> budget.release(8); budget.try_reserve(20)
    True
    """

    def __init__(self, limit: float = math.inf):
        self.limit = limit
        self.held = 0
        self.waiting: deque[tuple[int, asyncio.Future]] = deque()

    def has_room(self, size: int) -> bool:
        """Return whether so many bytes may be reserved now: `budget.has_room(4096)`."""
        return self.held == 0 or self.held + size <= self.limit

    def try_reserve(self, size: int) -> bool:
        """Reserve bytes if there is room for them now; return whether that was so."""
        if self.waiting or not self.has_room(size):
            return False
        self.held += size
        return True

    def add(self, size: int) -> None:
        """Count bytes that are held already: `budget.add(4096)`."""
        self.held += size

    async def reserve(self, size: int) -> None:
        """Reserve bytes once there is room, in the order of the calls: `await budget.reserve(4096)`."""
        if self.try_reserve(size):
            return
        granted = asyncio.get_running_loop().create_future()
        self.waiting.append((size, granted))
        try:
            await granted
        except asyncio.CancelledError:
            if granted.done() and not granted.cancelled():
                self.release(size)
            else:
                self.waiting.remove((size, granted))
                self.grant_waiting()
            raise

    def release(self, size: int) -> None:
        """Give bytes back: `budget.release(4096)`."""
        self.held -= size
        self.grant_waiting()

    def grant_waiting(self) -> None:
        """Grant the first of those that wait what there is room for."""
        while self.waiting and self.has_room(self.waiting[0][0]):
            size, granted = self.waiting.popleft()
            self.held += size
            granted.set_result(None)


class Reservation:
    """The bytes of one budget that one piece of work holds.

    >>> budget = ByteBudget(10); reservation = Reservation(budget)
    >>> reservation.try_grow(6), reservation.try_grow(6), budget.held
    (True, False, 6)
    >>> reservation.release(); budget.held
    0
    """

    def __init__(self, budget: ByteBudget):
        self.budget = budget
        self.size = 0

    def try_grow(self, size: int) -> bool:
        """Reserve more bytes if there is room for them now; return whether that was so."""
        if not self.budget.try_reserve(size):
            return False
        self.size += size
        return True

    async def grow(self, size: int) -> None:
        """Reserve more bytes once there is room: `await reservation.grow(4096)`."""
        await self.budget.reserve(size)
        self.size += size

    def add(self, size: int) -> None:
        """Count more bytes that are held already: `reservation.add(4096)`."""
        self.budget.add(size)
        self.size += size

    def release(self) -> None:
        """Give all bytes back: `reservation.release()`."""
        size, self.size = self.size, 0
        if size:
            self.budget.release(size)


class MemoryBudgets(NamedTuple):
    """The budgets of a process. Requests and responses have one each, so that a response never waits for the
    requests that wait for it.

    >>> MemoryBudgets.of({'memory_mb': 260}).requests.limit < 100 * MIB
    True
    """

    requests: ByteBudget
    responses: ByteBudget
    messages: ByteBudget
    table_bytes: float = math.inf  # the most that the tables on disk may take

    @classmethod
    def of(cls, startup: dict) -> 'MemoryBudgets':
        """Return the budgets for startup settings; without a memory limit they are unbounded."""
        if 'memory_mb' not in startup:
            return cls(ByteBudget(), ByteBudget(), ByteBudget())
        free = startup['memory_mb'] * MIB - BASE_BYTES
        shares = (REQUESTS_SHARE, RESPONSES_SHARE, MESSAGES_SHARE)
        limits = [max(MIN_BUDGET_BYTES, round(free * share)) for share in shares]
        return cls(*[ByteBudget(limit) for limit in limits], max(MIN_BUDGET_BYTES, free * TABLE_SHARE))
