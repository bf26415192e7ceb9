"""The tests that are known to fail: KNOWN-RED.txt at the root, read and checked for features/run.py.

Each line names one test, the command and seed that show its failure, what was seen, and the issue that will mend it:

    features/fleet.feature:a fleet starts | python3 features/run.py features/fleet.feature, no seed | failed in 2 of 2 runs: a node never reports ready | issue 7
    soak | quillstall-testbed soak --seed 31 --acts 3 | failed in 1 of 3 runs: a keyed call ran twice | issue 7

A test is a scenario, named by its file and its name or line, or a tool that is started by hand (TOOLS). A scenario that
failed in every run must fail again; one that failed in some of its runs may pass.
"""

import re
from collections.abc import Callable, Iterable, Mapping
from dataclasses import dataclass
from pathlib import Path

FILE_NAME = 'KNOWN-RED.txt'
FIELDS = 4  # of a line: the test, the command and seed, what was seen, the issue
SEPARATOR = ' | '
TOOLS = ('soak', 'explore', 'model')  # commands of quillstall-testbed that a tester runs by hand
SEED = re.compile(r'\bseed \d+\b|\bno seed\b')
RUNS = re.compile(r'\bfailed in (\d+) of (\d+) runs?\b')
ISSUE = re.compile(r'issue \d+')
FAILURES = frozenset(
    {'failed', 'error'}
)  # a scenario that never ran, was skipped or is undefined isn't passed over


@dataclass(frozen=True)
class KnownFailure:
    """One test that is known to fail."""

    place: str  # file:line of a scenario, empty for a tool
    name: str  # of the scenario or the tool
    command: str  # with the seed
    seen: str
    issue: str

    @property
    def may_pass(self) -> bool:
        """Whether it passed in some of the runs that were seen.

        >>> KnownFailure('', 'soak', '', 'failed in 1 of 3 runs', '').may_pass
        True
        """
        failed, runs = RUNS.search(self.seen).groups()
        return int(failed) < int(runs)

    def __str__(self) -> str:
        test = f'{self.name}  {self.place}' if self.place else self.name
        return SEPARATOR.join((test, self.command, self.seen, self.issue))


@dataclass(frozen=True)
class KnownFailures:
    """What the file names, and what is wrong with it."""

    entries: tuple[KnownFailure, ...] = ()
    findings: tuple[str, ...] = ()

    def covers(self, place: str, status: str | None) -> bool:
        """Whether a scenario that ended so is passed over."""
        return status in FAILURES and self.at(place) is not None

    def at(self, place: str) -> KnownFailure | None:
        """The entry for a scenario, if there is one."""
        return next((entry for entry in self.entries if entry.place == place), None)

    def of_tools(self) -> tuple[KnownFailure, ...]:
        """The entries for tools, which the run of the features does not start."""
        return tuple(entry for entry in self.entries if not entry.place)


class MalformedLine(ValueError):
    """A line that names no test, or not just one, or lacks a field."""


def read(root: Path, names: Callable[[], Mapping[str, str]]) -> KnownFailures:
    """The known failures under `root`, where `names` gives the name of each scenario by its place."""
    file = root / FILE_NAME
    if not file.exists():
        return KnownFailures()
    lines = [line for line in file.read_text(encoding='utf-8').splitlines() if line.strip()]
    return parse(lines, names())


def parse(lines: Iterable[str], names: Mapping[str, str]) -> KnownFailures:
    """The known failures that these lines name; none of them counts if there is any finding.

    >>> names = {'features/a.feature:3': 'one', 'features/a.feature:6': 'two'}
    >>> rest = 'run.py features/a.feature, no seed | failed in 1 of 1 runs: slow disk'
    >>> parse([f'features/a.feature:two | {rest} | issue 4'], names).entries[0].place
    'features/a.feature:6'
    >>> parse([f'features/a.feature:3 | {rest}'], names).findings
    ('malformed line: features/a.feature:3 | run.py features/a.feature, no seed | failed in 1 of 1 runs: slow disk',)
    >>> parse([f'features/a.feature:9 | {rest} | issue 4'], names).findings
    ('names no scenario: features/a.feature:9',)
    """
    entries: list[KnownFailure] = []
    findings: list[str] = []
    for line in lines:
        try:
            entry = parse_line(line, names)
        except MalformedLine as problem:
            findings.append(str(problem))
            continue
        if any((known.place or known.command) == (entry.place or entry.command) for known in entries):
            findings.append(f'named twice: {entry.place or entry.command}')
        entries.append(entry)
    return KnownFailures((), tuple(findings)) if findings else KnownFailures(tuple(entries))


def parse_line(line: str, names: Mapping[str, str]) -> KnownFailure:
    """The known failure that one line names."""
    fields = [part.strip() for part in line.split(SEPARATOR)]
    if len(fields) != FIELDS or not all(fields):
        raise MalformedLine(f'malformed line: {line}')
    test, command, seen, issue = fields
    check_fields(command, seen, issue)
    if test in TOOLS:
        if f'quillstall-testbed {test} ' not in command:
            raise MalformedLine(f'the command does not start the tool {test}: {command}')
        return KnownFailure('', test, command, seen, issue)
    place = place_of(test, names)
    file = place.rpartition(':')[0]
    if file not in command:
        raise MalformedLine(f'the command does not name {file}: {command}')
    return KnownFailure(place, names[place], command, seen, issue)


def check_fields(command: str, seen: str, issue: str) -> None:
    """Raise MalformedLine for a command without a seed, a sight without its runs, and an issue without a number."""
    if not SEED.search(command):
        raise MalformedLine(f'the command has no seed, write "no seed" if there is none: {command}')
    runs = RUNS.search(seen)
    if not runs or not 0 < int(runs[1]) <= int(runs[2]):
        raise MalformedLine(f'what was seen does not say "failed in N of M runs": {seen}')
    if not ISSUE.fullmatch(issue):
        raise MalformedLine(f'no issue: {issue}')


def place_of(scenario: str, names: Mapping[str, str]) -> str:
    """The place of the scenario that is given by its place, or by its file and its name."""
    if scenario in names:
        return scenario
    file, _, name = scenario.partition(':')
    places = [
        place
        for place, known in names.items()
        if known.strip() == name.strip() and place.rpartition(':')[0] == file
    ]
    if not places:
        raise MalformedLine(f'names no scenario: {scenario}')
    if len(places) > 1:
        raise MalformedLine(f'names {len(places)} scenarios, give the line: {scenario}')
    return places[0]
