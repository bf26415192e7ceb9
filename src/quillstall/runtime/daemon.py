"""Daemon: makes the context of a real process and runs a program in it until a stop signal."""

import asyncio
import gc
import random
import signal
import sys
from collections.abc import Callable, Coroutine
from typing import Any

from logbook import StreamHandler

from quillstall.network.net import TcpNet, split
from quillstall.runtime import loop
from quillstall.runtime.clock import SystemClock
from quillstall.runtime.errors import Fault
from quillstall.runtime.journal import Journal
from quillstall.runtime.process import Context

COLLECTION_THRESHOLDS = (20_000, 20, 50)  # new objects, then collections of each younger generation


def context(startup: dict) -> Context:
    """The context of a real process: `context(startup)`."""
    clock = SystemClock()
    journal = Journal(startup['name'], clock)
    source = split(startup['address'])[0] if 'address' in startup else None
    disk = open_disk(startup['data']) if startup.get('data') else None
    return Context(
        startup, clock, TcpNet(journal.count, source), disk, http_client(startup), journal, random.Random()
    )


def open_disk(folder: str) -> Any:
    """The disk of a process that keeps state; its library is loaded only then: `open_disk('run/core0')`."""
    from quillstall.runtime.disk import SqliteDisk

    return SqliteDisk(folder)


def http_client(startup: dict) -> Any:
    """The JSON web, for those that have an interface in it; its client library is loaded only then.

    >>> http_client({'role': 'core'}) is None
    True
    """
    if 'role' in startup and not startup.get('http'):
        return None
    from quillstall.network.web import CurlWeb

    return CurlWeb()


async def until_stopped(
    ctx: Context, program: Callable[..., Coroutine], drain: Callable[[Any], Coroutine] | None = None
) -> None:
    """Run a program; on a stop signal drain it, then end it: `await until_stopped(ctx, run)`."""
    running = asyncio.get_running_loop()
    stop = asyncio.Event()
    for number in (signal.SIGTERM, signal.SIGINT):
        running.add_signal_handler(number, stop.set)
    running.add_signal_handler(signal.SIGHUP, ctx.journal.note, 'told_of_settings')
    ready = running.create_future()
    work = asyncio.ensure_future(program(ctx, ready))
    wait = asyncio.ensure_future(stop.wait())
    await asyncio.wait((work, wait), return_when=asyncio.FIRST_COMPLETED)
    if work.done():
        wait.cancel()
        work.result()
        return
    ctx.journal.note('stopping')
    if drain and ready.done():
        await drain(ready.result())
    work.cancel()
    await asyncio.wait((work,))
    ctx.journal.note('stopped')


def print_fault(fault: Fault, print_line: Callable[[str], None]) -> None:
    """A fault for a person's eyes, with its findings: `print_fault(fault, print)`."""
    print_line(f'{fault.code}: {fault.text or fault.title}')
    for place, text in fault.findings:
        print_line(f'  {place}: {text}')


def reduce_collections() -> None:
    """Look for garbage in cycles less often, and never among what was made until now: the modules. Nearly all
    that a request makes is freed when its last user lets go; what is kept is large and has few cycles."""
    gc.freeze()
    gc.set_threshold(*COLLECTION_THRESHOLDS)


def serve(
    startup: dict,
    program: Callable[..., Coroutine],
    drain: Callable[[Any], Coroutine] | None = None,
    more: Callable[[Context], Context] | None = None,
) -> int:
    """Run a real process to its end; the exit code: `serve(startup, run)`. `more` may put into its context
    what else it is to talk to."""
    reduce_collections()
    with StreamHandler(sys.stderr, level='INFO').applicationbound():
        try:
            loop.run(main(startup, program, drain, more))
        except Fault as e:
            print_fault(e, lambda text: print(text, file=sys.stderr))
            return 1
        except OSError as e:
            print(f'startup: {e}', file=sys.stderr)
            return 1
    return 0


async def main(startup: dict, program: Callable, drain: Callable | None, more: Callable | None) -> None:
    ctx = context(startup)
    await until_stopped(more(ctx) if more else ctx, program, drain)
