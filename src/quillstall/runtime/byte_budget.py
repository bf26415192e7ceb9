"""Budgets in bytes for what a process holds, derived from its memory limit.

Whoever reads something large reserves its size first, and reads it only if there is room. What is of no known size is
reserved piece by piece.
"""

import asyncio
import math
from collections import Counter, deque
from typing import NamedTuple

MIB = 1024 * 1024
BASE_BYTES = 48 * MIB  # the program itself, its libraries and its smaller tables
REQUESTS_SHARE = 0.34
RESPONSES_SHARE = 0.22
MESSAGES_SHARE = 0.22
TABLE_SHARE = 0.5  # of the rows of a store
MIN_BUDGET_BYTES = 4 * MIB


class ByteBudget:
    """A number of bytes that may be held at the same time.

    Something larger than the whole budget is let in while nothing else is held, so that it is not refused for ever.

    Bytes may be held for an owner, such as a pool of replicas. An owner that holds some may hold no more than is then
    left free: one owner gets half of the budget, two get a third each, and others always find room.
    Owners wait for room apart from one another.

    >>> budget = ByteBudget(10); budget.try_reserve(8), budget.try_reserve(8), budget.held
    (True, False, 8)
    >>> budget.release(8); budget.try_reserve(20)
    True
    >>> budget = ByteBudget(10); [budget.try_reserve(2, 'a') for _ in range(4)], budget.try_reserve(3, 'b')
    ([True, True, False, False], True)
    """

    def __init__(self, limit: float = math.inf):
        self.limit = limit
        self.held = 0
        self.held_by: Counter[str] = Counter()
        self.waiting: dict[str | None, deque[tuple[int, asyncio.Future]]] = {}

    def has_room(self, size: int, owner: str | None = None) -> bool:
        """Return whether so many bytes may be reserved now: `budget.has_room(4096)`."""
        if self.held == 0:
            return True
        free = self.limit - self.held
        held_by_owner = 0 if owner is None else self.held_by[owner]
        return held_by_owner + size <= free - size if held_by_owner else size <= free

    def try_reserve(self, size: int, owner: str | None = None) -> bool:
        """Reserve bytes if there is room for them now; return whether that was so."""
        if self.waiting.get(owner) or not self.has_room(size, owner):
            return False
        self.add(size, owner)
        return True

    def add(self, size: int, owner: str | None = None) -> None:
        """Count bytes that are held already: `budget.add(4096)`."""
        self.held += size
        if owner is not None:
            self.held_by[owner] += size

    async def reserve(self, size: int, owner: str | None = None) -> None:
        """Reserve bytes once there is room, in the order of an owner's calls: `await budget.reserve(4096)`."""
        if self.try_reserve(size, owner):
            return
        granted = asyncio.get_running_loop().create_future()
        self.waiting.setdefault(owner, deque()).append((size, granted))
        try:
            await granted
        except asyncio.CancelledError:
            if granted.done() and not granted.cancelled():
                self.release(size, owner)
            else:
                self.waiting[owner].remove((size, granted))
                self.grant_waiting()
            raise

    def release(self, size: int, owner: str | None = None) -> None:
        """Give bytes back: `budget.release(4096)`."""
        self.held -= size
        if owner is not None:
            self.held_by[owner] -= size
            if not self.held_by[owner]:
                del self.held_by[owner]
        self.grant_waiting()

    def grant_waiting(self) -> None:
        """Grant what there is room for, to each owner in the order of its calls."""
        for owner in list(self.waiting):
            queue = self.waiting[owner]
            while queue and self.has_room(queue[0][0], owner):
                size, granted = queue.popleft()
                self.add(size, owner)
                granted.set_result(None)
            if not queue:
                del self.waiting[owner]


class Reservation:
    """The bytes of one budget that one piece of work holds, for an owner if one is given.

    >>> budget = ByteBudget(10); reservation = Reservation(budget)
    >>> reservation.try_grow(6), reservation.try_grow(6), budget.held
    (True, False, 6)
    >>> reservation.shrink(2); reservation.size, budget.held
    (4, 4)
    >>> reservation.release(); budget.held
    0
    """

    def __init__(self, budget: ByteBudget, owner: str | None = None):
        self.budget = budget
        self.owner = owner
        self.size = 0

    def assign(self, owner: str) -> None:
        """Give all bytes back, and hold those to come for an owner: `reservation.assign('p')`."""
        self.release()
        self.owner = owner

    def try_grow(self, size: int) -> bool:
        """Reserve more bytes if there is room for them now; return whether that was so."""
        if not self.budget.try_reserve(size, self.owner):
            return False
        self.size += size
        return True

    async def grow(self, size: int) -> None:
        """Reserve more bytes once there is room: `await reservation.grow(4096)`."""
        await self.budget.reserve(size, self.owner)
        self.size += size

    def add(self, size: int) -> None:
        """Count more bytes that are held already: `reservation.add(4096)`."""
        self.budget.add(size, self.owner)
        self.size += size

    def shrink(self, size: int) -> None:
        """Give some bytes back: `reservation.shrink(4096)`."""
        self.size -= size
        self.budget.release(size, self.owner)

    def release(self) -> None:
        """Give all bytes back: `reservation.release()`."""
        size, self.size = self.size, 0
        if size:
            self.budget.release(size, self.owner)


class MemoryBudgets(NamedTuple):
    """The budgets of a process. Requests and responses have one each, so that a response never waits for the
    requests that wait for it.

    >>> MemoryBudgets.of({'memory_mb': 260}).requests.limit < 100 * MIB
    True
    """

    requests: ByteBudget
    responses: ByteBudget
    messages: ByteBudget
    table_bytes: float = math.inf  # the most that the rows of a store may take

    @classmethod
    def of(cls, startup: dict) -> 'MemoryBudgets':
        """Return the budgets for startup settings; without a memory limit they are unbounded."""
        if 'memory_mb' not in startup:
            return cls(ByteBudget(), ByteBudget(), ByteBudget())
        free = startup['memory_mb'] * MIB - BASE_BYTES
        shares = (REQUESTS_SHARE, RESPONSES_SHARE, MESSAGES_SHARE)
        limits = [max(MIN_BUDGET_BYTES, round(free * share)) for share in shares]
        return cls(*[ByteBudget(limit) for limit in limits], max(MIN_BUDGET_BYTES, free * TABLE_SHARE))
