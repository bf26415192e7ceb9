"""Runs the program of a process until the process is told to stop, and anew after each failure of the program.

Nobody starts a process again that has ended by itself. So an error that the program does not expect ends only the
program: what it holds in memory is dropped, its sockets are closed and its folder is released, and it begins again
from its disk, as after a restart of the process.
"""

import asyncio
import gc
import traceback
from collections.abc import Callable, Coroutine
from typing import Any

from quillstall.runtime.journal import Journal
from quillstall.runtime.process import Context

FIRST_RESTART_DELAY_S = 0.2
MAX_RESTART_DELAY_S = 5.0
STEADY_RUN_S = 60.0  # a program that has run for so long begins with the first delay again
END_TASKS_TIMEOUT_S = 2.0
SHOWN_FRAMES = 6  # of the stack of an error

Program = Callable[..., Coroutine]
Drain = Callable[[Any], Coroutine]


def describe_stack(error: BaseException) -> str:
    """Return the innermost frames of an error's stack in one line.

    >>> try:
    ...     1 / 0
    ... except ZeroDivisionError as e:
    ...     describe_stack(e).endswith(' in <module>')
    True
    """
    frames = traceback.extract_tb(error.__traceback__)[-SHOWN_FRAMES:]
    return ' > '.join(
        f'{frame.filename.rpartition("/")[2]}:{frame.lineno} in {frame.name}' for frame in frames
    )


class Supervisor:
    """Runs a program, each time with a new context. `make_context(failures)` returns it for a run after so many
    failures, `drain` ends the work of a program that is told to stop."""

    def __init__(
        self,
        journal: Journal,
        make_context: Callable[[int], Context],
        program: Program,
        drain: Drain | None = None,
    ):
        self.journal = journal
        self.make_context = make_context
        self.program = program
        self.drain = drain
        self.failures = 0
        self.delay_s = FIRST_RESTART_DELAY_S

    async def run(self, stop: asyncio.Event) -> None:
        """Return once the process has been told to stop and the program has ended: `await supervisor.run(stop)`."""
        loop = asyncio.get_running_loop()
        while not stop.is_set():
            started_at = loop.time()
            try:
                await self.run_program(stop)
                return
            except Exception as e:  # whatever it is, the process goes on
                if loop.time() - started_at >= STEADY_RUN_S:
                    self.delay_s = FIRST_RESTART_DELAY_S
                self.note_failure(e)
            await end_other_tasks()
            gc.collect()  # the error's stack held the state of the program
            await self.wait_before_restart(stop)

    def note_failure(self, error: Exception) -> None:
        """Count and log a failure of the program."""
        self.failures += 1
        self.journal.count('program.failed')
        self.journal.note(
            'program_failed',
            error=f'{type(error).__name__}: {error}',
            stack=describe_stack(error),
            failures=self.failures,
            again_in_ms=round(self.delay_s * 1000),
        )

    async def wait_before_restart(self, stop: asyncio.Event) -> None:
        """Wait before the next run, each time longer, but not once the process has been told to stop."""
        delay_s, self.delay_s = self.delay_s, min(self.delay_s * 2, MAX_RESTART_DELAY_S)
        try:
            async with asyncio.timeout(delay_s):
                await stop.wait()
        except TimeoutError:
            pass

    async def run_program(self, stop: asyncio.Event) -> None:
        """Run the program until it ends or the process is told to stop. Raises the program's error."""
        ready = asyncio.get_running_loop().create_future()
        program_task = asyncio.ensure_future(self.program(self.make_context(self.failures), ready))
        stop_task = asyncio.ensure_future(stop.wait())
        await asyncio.wait((program_task, stop_task), return_when=asyncio.FIRST_COMPLETED)
        if not stop.is_set():
            stop_task.cancel()
            program_task.result()
            return
        self.journal.note('stopping')
        if ready.done() and not program_task.done():
            await self.drain_program(ready.result())
        program_task.cancel()
        await asyncio.wait((program_task,))
        self.journal.note('stopped')

    async def drain_program(self, running: Any) -> None:
        """Let a running program end its work; an error of that does not keep the process from ending in order."""
        try:
            if self.drain:
                await self.drain(running)
        except Exception as e:
            self.journal.count('program.failed')
            self.journal.note('drain_failed', error=f'{type(e).__name__}: {e}', stack=describe_stack(e))


async def end_other_tasks() -> None:
    """Cancel all tasks but the running one, and wait a bounded time for their end: `await end_other_tasks()`."""
    tasks = asyncio.all_tasks() - {asyncio.current_task()}
    for task in tasks:
        task.cancel()
    if tasks:
        await asyncio.wait(tasks, timeout=END_TASKS_TIMEOUT_S)
