"""Creates the context of a real process and runs its program until a stop signal."""

import asyncio
import gc
import random
import signal
import sys
from collections.abc import Callable, Coroutine
from typing import Any

from logbook import StreamHandler

from quillstall.network.net import TcpNet, parse_address
from quillstall.runtime import loop, signals, standard_streams
from quillstall.runtime.clock import SystemClock
from quillstall.runtime.errors import Fault
from quillstall.runtime.journal import Journal
from quillstall.runtime.process import Context

COLLECTION_THRESHOLDS = (
    20_000,
    20,
    50,
)  # new objects, then collections of each younger generation; see gc.set_threshold


def context(startup: dict) -> Context:
    """Return the context of a real process: `context(startup)`."""
    clock = SystemClock()
    journal = Journal(startup['name'], clock)
    source = parse_address(startup['address'])[0] if 'address' in startup else None
    disk = create_disk(startup['data']) if startup.get('data') else None
    return Context(
        startup,
        clock,
        TcpNet(journal.count, source),
        disk,
        create_web(startup, journal.count),
        journal,
        random.Random(),
    )


def create_disk(folder: str) -> Any:
    """Return the disk of a process that keeps state: `create_disk('run/core0')`. Its library is imported here."""
    from quillstall.runtime.disk import SqliteDisk

    return SqliteDisk(folder)


def create_web(startup: dict, count: Callable[[str], None] = lambda name: None) -> Any:
    """Return the HTTP client and server of a process, or None for one without an HTTP interface. Its library is
    imported only here.

    >>> create_web({'role': 'core'}) is None
    True
    """
    if 'role' in startup and not startup.get('http'):
        return None
    from quillstall.network.web import CurlWeb

    return CurlWeb(count=count)


async def run_until_stopped(
    ctx: Context, program: Callable[..., Coroutine], drain: Callable[[Any], Coroutine] | None = None
) -> None:
    """Run a program; on SIGTERM or SIGINT drain it, then cancel it: `await run_until_stopped(ctx, run)`."""
    event_loop = asyncio.get_running_loop()
    stop = asyncio.Event()
    for number in signals.STOP_SIGNALS:
        event_loop.add_signal_handler(number, stop.set)
    event_loop.add_signal_handler(signal.SIGHUP, ctx.journal.note, 'told_of_settings')
    ready = event_loop.create_future()
    program_task = asyncio.ensure_future(program(ctx, ready))
    stop_task = asyncio.ensure_future(stop.wait())
    await asyncio.wait((program_task, stop_task), return_when=asyncio.FIRST_COMPLETED)
    if program_task.done():
        stop_task.cancel()
        program_task.result()
        return
    ctx.journal.note('stopping')
    if drain and ready.done():
        await drain(ready.result())
    program_task.cancel()
    await asyncio.wait((program_task,))
    ctx.journal.note('stopped')


def print_fault(fault: Fault, print_line: Callable[[str], None]) -> None:
    """Print a fault and its findings for a person to read: `print_fault(fault, print)`."""
    print_line(f'{fault.code}: {fault.text or fault.title}')
    for place, text in fault.findings:
        print_line(f'  {place}: {text}')


def reduce_garbage_collection() -> None:
    """Make the cyclic garbage collector run less often, and never over the objects made so far: the modules.
    Reference counting frees nearly all that a request allocates; the state that is kept is large and has few
    cycles."""
    gc.freeze()
    gc.set_threshold(*COLLECTION_THRESHOLDS)


def serve(
    startup: dict,
    program: Callable[..., Coroutine],
    drain: Callable[[Any], Coroutine] | None = None,
    extend_context: Callable[[Context], Context] | None = None,
) -> int:
    """Run a real process to its end and return its exit code: `serve(startup, run)`. `extend_context` may add
    further interfaces to its context."""
    standard_streams.secure()
    reduce_garbage_collection()
    with StreamHandler(standard_streams.LogStream(), level='INFO').applicationbound():
        try:
            loop.run(main(startup, program, drain, extend_context))
        except Fault as e:
            print_fault(e, lambda text: print(text, file=sys.stderr))
            return 1
        except OSError as e:
            print(f'startup: {e}', file=sys.stderr)
            return 1
        finally:
            signals.ignore_until_exit()
    return 0


async def main(
    startup: dict, program: Callable, drain: Callable | None, extend_context: Callable | None
) -> None:
    ctx = context(startup)
    try:
        await run_until_stopped(extend_context(ctx) if extend_context else ctx, program, drain)
    finally:
        signals.block_until_exit()
