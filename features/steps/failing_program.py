"""Runs a process whose program fails on purpose: `python failing_program.py ERROR PLACE FAILURES FOLDER`."""

import asyncio
import builtins
import sys
from pathlib import Path
from typing import NamedTuple

from quillstall.runtime.daemon import serve
from quillstall.runtime.process import ReducerRunner


class LoneState(NamedTuple):
    """The state of a reducer that does nothing."""

    me: str = 'lone'


def count_run(folder):
    """Record one more run of the program, and return how many there were."""
    path = Path(folder, 'runs')
    number = len(path.read_text().splitlines()) + 1 if path.exists() else 1
    with path.open('a', encoding='utf-8') as file:
        file.write(f'{asyncio.get_running_loop().time()}\n')
    return number


def main(error_name, place, failures, folder):
    """Run the process and return its exit code."""
    error = getattr(builtins, error_name)('on purpose')

    def failing_step(state, event, now):
        raise error

    def steady_step(state, event, now):
        return state, ()

    async def program(ctx, ready=None):
        failing = count_run(folder) <= failures
        if ready:
            ready.set_result(None)
        if place == 'program' and failing:
            raise error
        runner = ReducerRunner(ctx, LoneState(), failing_step if failing else steady_step, lambda *_: None)
        await runner.run()

    async def hand_over(_):
        if place == 'stop':
            raise error

    startup = {'name': 'lone', 'role': 'core', 'address': '127.0.0.1:1'}
    return serve(startup, program, hand_over)


if __name__ == '__main__':
    sys.exit(main(sys.argv[1], sys.argv[2], int(sys.argv[3]), sys.argv[4]))
