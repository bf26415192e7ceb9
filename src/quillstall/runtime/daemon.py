"""Creates the context of a real process and runs its program until a stop signal, anew after each failure."""

import asyncio
import gc
import random
import signal
from collections.abc import Callable
from typing import Any

from logbook import StreamHandler

from quillstall.network.net import TcpNet, parse_address
from quillstall.runtime import loop, signals, standard_streams
from quillstall.runtime.byte_budget import MemoryBudgets
from quillstall.runtime.clock import SystemClock
from quillstall.runtime.errors import Fault
from quillstall.runtime.journal import Journal
from quillstall.runtime.process import Context
from quillstall.runtime.supervisor import Drain, Program, Supervisor

COLLECTION_THRESHOLDS = (
    20_000,
    20,
    50,
)  # new objects, then collections of each younger generation; see gc.set_threshold

ExtendContext = Callable[[Context], Context]


def context(startup: dict, journal: Journal | None = None) -> Context:
    """Return the context of a real process, with a journal of its own unless one is given: `context(startup)`."""
    clock = SystemClock()
    journal = journal or Journal(startup['name'], clock)
    source = parse_address(startup['address'])[0] if 'address' in startup else None
    disk = create_disk(startup['data']) if startup.get('data') else None
    budgets = MemoryBudgets.of(startup)
    return Context(
        startup,
        clock,
        TcpNet(journal.count, source, budgets.messages, verifies_peers='role' in startup),
        disk,
        create_web(startup, journal.count, budgets),
        journal,
        random.Random(),
        budgets=budgets,
    )


def create_disk(folder: str) -> Any:
    """Return the disk of a process that keeps state: `create_disk('run/core0')`. Its library is imported here."""
    from quillstall.runtime.disk import SqliteDisk

    return SqliteDisk(folder)


def create_web(
    startup: dict, count: Callable[[str], None] = lambda name: None, budgets: MemoryBudgets | None = None
) -> Any:
    """Return the HTTP client and server of a process, or None for one without an HTTP interface. Its library is
    imported only here.

    >>> create_web({'role': 'core'}) is None
    True
    """
    if 'role' in startup and not startup.get('http'):
        return None
    from quillstall.network.web import CurlWeb

    return CurlWeb(count=count, budgets=budgets)


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
    program: Program,
    drain: Drain | None = None,
    extend_context: ExtendContext | None = None,
) -> int:
    """Run a real process until it is told to stop, and return its exit code: `serve(startup, run)`.

    `extend_context` may add further interfaces to its context."""
    standard_streams.secure()
    reduce_garbage_collection()
    with StreamHandler(standard_streams.LogStream(), level='INFO').applicationbound():
        try:
            loop.run(main(startup, program, drain, extend_context))
        finally:
            signals.ignore_until_exit()
    return 0


async def main(
    startup: dict, program: Program, drain: Drain | None, extend_context: ExtendContext | None
) -> None:
    """Run the program under a supervisor until a stop signal."""
    journal = Journal(startup['name'], SystemClock())

    def make_context(failures: int) -> Context:
        ctx = context({**startup, 'program_failures': failures} if failures else startup, journal)
        return extend_context(ctx) if extend_context else ctx

    stop = asyncio.Event()
    event_loop = asyncio.get_running_loop()
    for number in signals.STOP_SIGNALS:
        event_loop.add_signal_handler(number, stop.set)
    event_loop.add_signal_handler(signal.SIGHUP, journal.note, 'told_of_settings')
    try:
        await Supervisor(journal, make_context, program, drain).run(stop)
    finally:
        signals.block_until_exit()
