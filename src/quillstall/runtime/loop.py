"""The event loop of a real process: asyncio's, with fewer polls for I/O while callbacks are ready."""

import asyncio
import selectors
import time
from collections.abc import Coroutine
from typing import Any

RETRY_INTERVAL_S = 0.2  # between two attempts to create the event loop
MAX_SKIPPED_POLLS = 4  # iterations of the loop in a row without a poll of the system


class BusySelector(selectors.EpollSelector):
    """A selector that skips most polls with a timeout of zero.

    asyncio calls its selector in each iteration of the loop, also while callbacks are ready; one message takes
    about five iterations, as each task that awaits another wakes an iteration later. A poll that would not
    wait returns no events here, `MAX_SKIPPED_POLLS` times in a row at most, so I/O is seen some callbacks
    later. A poll that waits always calls the system.

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
        """Return the file objects that are ready; may skip a poll that would not wait, see the class."""
        if timeout is not None and timeout <= 0 and self.skipped_polls < MAX_SKIPPED_POLLS:
            self.skipped_polls += 1
            return []
        self.skipped_polls = 0
        return super().select(timeout)


def new_loop() -> asyncio.AbstractEventLoop:
    """Return an event loop for a real process, once there are descriptors for it: `loop = new_loop()`."""
    while True:
        try:
            return asyncio.SelectorEventLoop(BusySelector())
        except OSError:
            time.sleep(RETRY_INTERVAL_S)


def run(program: Coroutine[Any, Any, Any]) -> Any:
    """Run a program in a new event loop and return its result.

    >>> async def two(): return 2
    >>> run(two())
    2
    """
    with asyncio.Runner(loop_factory=new_loop) as runner:
        return runner.run(program)
