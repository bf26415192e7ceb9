"""The event loop of a real process: asyncio's, which asks the system for new events less often while it is busy."""

import asyncio
import selectors
from collections.abc import Coroutine
from typing import Any

MAX_SKIPPED_POLLS = 4  # turns of the loop in a row without a question to the system


class BusySelector(selectors.EpollSelector):
    """A selector that answers most questions without waiting by itself.

    asyncio asks its selector in each turn of the loop, also while callbacks are ready; one message takes five
    or so turns, as each task that waits for another wakes a turn later. A question that would not wait is
    answered with "nothing new" here, `MAX_SKIPPED_POLLS` times in a row at most. What has come in is seen some
    callbacks later; a question that waits always goes to the system.

    >>> a = BusySelector(); a.skipped_polls = MAX_SKIPPED_POLLS - 1; a.select(0), a.skipped_polls
    ([], 4)
    >>> a.select(0), a.skipped_polls
    ([], 0)
    >>> a.close()
    """

    def __init__(self) -> None:
        super().__init__()
        self.skipped_polls = 0

    def select(self, timeout: float | None = None) -> list:
        """The descriptors that are ready: see the class."""
        if timeout is not None and timeout <= 0 and self.skipped_polls < MAX_SKIPPED_POLLS:
            self.skipped_polls += 1
            return []
        self.skipped_polls = 0
        return super().select(timeout)


def new_loop() -> asyncio.AbstractEventLoop:
    """A loop for a real process: `loop = new_loop()`."""
    return asyncio.SelectorEventLoop(BusySelector())


def run(program: Coroutine[Any, Any, Any]) -> Any:
    """Run a program in a loop of its own to its end.

    >>> async def two(): return 2
    >>> run(two())
    2
    """
    with asyncio.Runner(loop_factory=new_loop) as runner:
        return runner.run(program)
