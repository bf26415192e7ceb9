"""Run the features side by side: each scenario, and each row of an outline, as a behave process of its own.

    python3 features/run.py                            everything
    python3 features/run.py features/fleet.feature     some of it; file:line for one scenario
    python3 features/run.py --jobs 2                   fewer at once

A tag says what else a scenario wants. `@together`: its feature runs in one process, since its scenarios share
what is costly to make. `@processes`: it starts a whole fleet of real processes, so few of these run at once.
The last line counts the scenarios: `N passed, N failed`. Whatever did not pass has failed: an error, an undefined
step, a skipped scenario, one that behave never came to.

A scenario that fails for a real fault which could not be mended yet may be named in KNOWN-RED.txt at the root, one a
line: `file:scenario name | command and seed | failed in N of M runs: what was seen | issue N`, or the scenario's line in
place of its name. It still runs, and its failure is printed and counts neither as passed nor as failed. The run fails,
with one failure counted for each finding, if the file has a malformed line, names no scenario or several, or names one
that passed though it had failed in every run. A tool that is run by hand may be named too; such an entry is printed.
"""

import argparse
import asyncio
import json
import os
import signal
import sys
import tempfile
import time
from pathlib import Path
from typing import NamedTuple

import known_red
from behave.parser import parse_file

ROOT = Path(__file__).resolve().parents[1]
FLEET_JOBS = 3  # what a fleet of real processes counts for among the jobs: its rules have bounds in time
LIMIT_S = 900  # a unit that has not ended by then hangs


class Unit(NamedTuple):
    """What one behave process runs, and the scenarios that it must pass, by file:line."""

    place: str
    names: dict
    fleet: bool


def units_of(path: str) -> list[Unit]:
    """The units of a feature file, or the one of file:line."""
    file, _, line = path.partition(':')
    file = os.path.relpath(file, ROOT)
    out: list[Unit] = []
    feature = parse_file(str(ROOT / file))
    scenarios = list(feature.walk_scenarios())
    if not line and 'together' in feature.tags:
        return [Unit(file, {f'{file}:{s.line}': s.name for s in scenarios}, 'processes' in feature.tags)]
    for scenario in scenarios:
        if not line or scenario.line == int(line):
            place = f'{file}:{scenario.line}'
            tags = set(feature.tags) | set(scenario.tags)
            out.append(Unit(place, {place: scenario.name}, 'processes' in tags))
    if not out:
        raise SystemExit(f'{path}: no scenario is there')
    return out


def statuses(path: str) -> dict[str, str]:
    """What behave reports of each scenario, by file:line, and of each feature, by file; nothing without a whole report."""
    try:
        with open(path, encoding='utf-8') as file:
            features = json.load(file)
    except (OSError, ValueError):
        return {}
    out = {}
    for feature in features:
        out[os.path.normpath(feature['location'].rpartition(':')[0])] = feature['status']
        for element in (e for e in feature['elements'] if e['type'] != 'background'):
            place, _, line = element['location'].rpartition(':')
            out[f'{os.path.normpath(place)}:{line}'] = status_of(element)
    return out


def status_of(element: dict) -> str:
    """The status of a scenario; behave calls one with an undefined step an error, here it is undefined."""
    steps = {step.get('result', {}).get('status') for step in element['steps']}
    return 'undefined' if element['status'] == 'error' and 'undefined' in steps else element['status']


class Outcome(NamedTuple):
    """How one behave process ended."""

    code: int
    statuses: dict[str, str]
    said: str
    warned: str


async def run_behave(place: str) -> Outcome:
    """Run behave for one place, in a process group of its own that is gone afterwards."""
    with tempfile.TemporaryDirectory() as folder:
        report, out, err = (Path(folder, name) for name in ('report.json', 'out', 'err'))
        command = [sys.executable, '-m', 'behave', '--no-color', '--format', 'json', '--outfile', str(report)]
        with out.open('wb') as out_file, err.open('wb') as err_file:
            process = await asyncio.create_subprocess_exec(
                *command,
                '--format',
                'plain',
                place,
                cwd=ROOT,
                stdin=asyncio.subprocess.DEVNULL,
                stdout=out_file,
                stderr=err_file,
                start_new_session=True,
            )
            code = await end_of(process)
        said, warned = (path.read_text(encoding='utf-8', errors='replace') for path in (out, err))
        return Outcome(code, statuses(str(report)), said, warned)


async def end_of(process: asyncio.subprocess.Process) -> int:
    """The exit code of a process; it, and whatever it left behind, is ended if it hangs or this is broken off."""
    try:
        async with asyncio.timeout(LIMIT_S):
            return await process.wait()
    except TimeoutError:
        return -signal.SIGKILL
    finally:
        try:
            os.killpg(process.pid, signal.SIGKILL)
        except ProcessLookupError:
            pass
        await process.wait()


class Run:
    """All units, as many at once as there are jobs."""

    def __init__(self, units: list[Unit], jobs: int, fleets: int, known: known_red.KnownFailures):
        self.waiting = sorted(units, key=lambda u: (not u.fleet, len(u.names) == 1))  # the long ones first
        self.jobs = jobs
        self.fleets = fleets
        self.running: dict[asyncio.Task, Unit] = {}
        self.known = known
        self.passed_over: list[known_red.KnownFailure] = []
        self.passed = self.failed = 0

    def weight(self, unit: Unit) -> float:
        return min(FLEET_JOBS, self.jobs) if unit.fleet else 1

    def next(self) -> Unit | None:
        """The first unit that there is room for."""
        free = self.jobs - sum(self.weight(u) for u in self.running.values())
        fleets = sum(u.fleet for u in self.running.values())
        for unit in self.waiting:
            if self.weight(unit) <= free and not (unit.fleet and fleets >= self.fleets):
                self.waiting.remove(unit)
                return unit
        return None

    async def play(self) -> None:
        """Run them all."""
        try:
            while self.waiting or self.running:
                while unit := self.next():
                    self.running[asyncio.ensure_future(self.one(unit))] = unit
                done, _ = await asyncio.wait(self.running, return_when=asyncio.FIRST_COMPLETED)
                for task in done:
                    del self.running[task]
                    task.result()
        finally:
            for task in self.running:
                task.cancel()
            await asyncio.gather(*self.running, return_exceptions=True)

    async def one(self, unit: Unit) -> None:
        """Run one unit and tell how it went; in full if it went wrong."""
        start = time.monotonic()
        outcome = await run_behave(unit.place)
        bad, over = self.judge(unit, outcome.statuses)
        if outcome.code and not bad and not over:
            bad = [f'behave ended with {outcome.code}']
        self.failed += len(bad)
        self.passed += max(0, len(unit.names) - len(bad) - len(over))
        self.passed_over += over
        name = next(iter(unit.names.values())) if len(unit.names) == 1 else f'{len(unit.names)} scenarios'
        verdict = 'FAILED' if bad else 'known ' if over else 'passed'
        print(f'{verdict} {time.monotonic() - start:6.1f} s  {unit.place}  {name}')
        if bad or over:
            print('\n'.join(f'  {line}' for line in bad), outcome.said, outcome.warned, sep='\n')
        elif outcome.warned.strip():
            print(outcome.warned)
        sys.stdout.flush()

    def judge(self, unit: Unit, seen: dict[str, str]) -> tuple[list[str], list[known_red.KnownFailure]]:
        """What failed in a unit, and the known failures in it."""
        bad: list[str] = []
        over: list[known_red.KnownFailure] = []
        for place, name in unit.names.items():
            status = seen.get(place)
            entry = self.known.at(place)
            if entry and self.known.covers(place, status):
                over.append(entry)
            elif entry and status == 'passed' and not entry.may_pass:
                bad.append(f'passed, though {known_red.FILE_NAME} names it: {name}  {place}')
            elif status != 'passed':
                bad.append(f'{status or "never run"}: {name}  {place}')
        file = unit.place.partition(':')[0]
        if over and not bad and seen.get(file) not in known_red.FAILURES:
            bad.append(f'{seen.get(file)}: its feature {file}')  # a fault outside the scenarios
        return bad, over


def all_names() -> dict[str, str]:
    """The name of each scenario there is, by file:line."""
    files = sorted((ROOT / 'features').glob('*.feature'))
    return {
        place: name for file in files for unit in units_of(str(file)) for place, name in unit.names.items()
    }


def report_known(known: known_red.KnownFailures, passed_over: list[known_red.KnownFailure]) -> None:
    """Print the known failures that were passed over, and what is wrong with their file."""
    for entry in passed_over:
        print(f'known failure, passed over: {entry}')
    for entry in known.of_tools():
        print(f'known failure, not run here: {entry}')
    for entry in known.entries:
        if entry.may_pass and entry.place and entry not in passed_over:
            print(f'known failure, did not fail this time or was not run: {entry}')
    for finding in known.findings:
        print(f'{known_red.FILE_NAME}: {finding}')


def main() -> int:
    """Run what the command line asks for; the exit code."""
    parser = argparse.ArgumentParser(
        description=__doc__, formatter_class=argparse.RawDescriptionHelpFormatter
    )
    parser.add_argument('paths', nargs='*', help='feature files, or file:line; all if none')
    parser.add_argument(
        '--jobs',
        type=int,
        default=max(1, len(os.sched_getaffinity(0)) - 2),
        help='how many run at once; a fleet of real processes counts for 3 (default: two less than cores)',
    )
    parser.add_argument(
        '--fleets', type=int, default=1, help='how many fleets of real processes at once (default: 1)'
    )
    given = parser.parse_args()
    if min(given.jobs, given.fleets) < 1:
        parser.error('at least one at a time')
    paths = given.paths or sorted(str(p) for p in (ROOT / 'features').glob('*.feature'))
    known = known_red.read(ROOT, all_names)
    run = Run([u for p in paths for u in units_of(os.path.abspath(p))], given.jobs, given.fleets, known)
    start = time.monotonic()
    signal.signal(signal.SIGTERM, signal.default_int_handler)
    try:
        asyncio.run(run.play())
    except KeyboardInterrupt:  # the units have been ended
        print('broken off')
        run.failed += sum(len(u.names) for u in (*run.waiting, *run.running.values()))
    run.failed += len(known.findings)
    report_known(known, run.passed_over)
    minutes, seconds = divmod(round(time.monotonic() - start), 60)
    print(f'took {minutes} min {seconds} s')
    print(f'{run.passed} passed, {run.failed} failed')
    return 1 if run.failed or not run.passed else 0


if __name__ == '__main__':
    sys.exit(main())
