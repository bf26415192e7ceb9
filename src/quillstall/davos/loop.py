"""Loop: an event loop whose time is virtual: it jumps to the next clock event instead of waiting."""

import asyncio
import selectors
from typing import Any, Coroutine


class Jump(selectors.SelectSelector):
    """Passes the time instead of waiting for it."""

    def __init__(self):
        super().__init__()
        self.owner: Any = None

    def select(self, timeout: float | None = None) -> list:
        """Nothing ever arrives from outside: `jump.select(1.0)` moves the clock on by a second."""
        if timeout is None:
            raise RuntimeError('every task waits and no clock event is set')
        if timeout > 0:
            self.owner.passed += timeout
        return []


class VirtualLoop(asyncio.SelectorEventLoop):
    """The loop.

    >>> async def nap():
    ...     await asyncio.sleep(3600)
    ...     return asyncio.get_running_loop().time()
    >>> run(nap()) >= 3600
    True
    """

    def __init__(self):
        self.passed = 0.0
        jump = Jump()
        jump.owner = self
        super().__init__(jump)

    def time(self) -> float:
        return self.passed


def run(work: Coroutine) -> Any:
    """Run work to its end on a new virtual loop: `run(nap())`."""
    loop = VirtualLoop()
    try:
        return loop.run_until_complete(work)
    finally:
        for task in asyncio.all_tasks(loop):
            task.cancel()
        loop.run_until_complete(asyncio.sleep(0))
        loop.close()
