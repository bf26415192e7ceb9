"""Loop: an event loop whose time is virtual: it jumps to the next clock event instead of waiting."""

import asyncio
import selectors
from collections.abc import Coroutine
from typing import Any


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


def finish(loop: asyncio.AbstractEventLoop) -> None:
    """End every task of a loop and close it. A task that is cancelled may start others on its way out, as a
    turn does that settles its budget; those end too.

    >>> loop, started = VirtualLoop(), []
    >>> async def outer():
    ...     try:
    ...         await asyncio.sleep(9)
    ...     finally:
    ...         started.append(asyncio.ensure_future(asyncio.sleep(9)))
    >>> task = loop.create_task(outer())
    >>> loop.run_until_complete(asyncio.sleep(1))
    >>> finish(loop)
    >>> task.cancelled(), started[0].cancelled()
    (True, True)
    """
    for _ in range(100):
        tasks = asyncio.all_tasks(loop)
        if not tasks:
            break
        for task in tasks:
            task.cancel()
        loop.run_until_complete(asyncio.sleep(0))
    loop.run_until_complete(loop.shutdown_asyncgens())
    loop.close()


def run(work: Coroutine) -> Any:
    """Run work to its end on a new virtual loop: `run(nap())`."""
    loop = VirtualLoop()
    try:
        return loop.run_until_complete(work)
    finally:
        finish(loop)
