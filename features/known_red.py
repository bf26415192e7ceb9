"""The tests that are known to fail: KNOWN-RED.txt at the root, read and checked for features/run.py.

Each line names one scenario, the cause of its failure and the issue that will mend it:

    features/fleet.feature:a fleet starts | the second node never reports ready | issue 7

A scenario is named by its file and its name, or by its file and line.
"""

from collections.abc import Callable, Iterable, Mapping
from dataclasses import dataclass
from pathlib import Path

FILE_NAME = 'KNOWN-RED.txt'
LIMIT = 3  # more than this many are not passed over: they are to be mended first
FIELDS = 3  # of a line: the scenario, the cause, the issue
SEPARATOR = ' | '
FAILURES = frozenset(
    {'failed', 'error'}
)  # a scenario that never ran, was skipped or is undefined isn't passed over


@dataclass(frozen=True)
class KnownFailure:
    """One scenario that is known to fail."""

    place: str  # file:line
    name: str
    cause: str
    issue: str

    def __str__(self) -> str:
        return SEPARATOR.join((f'{self.name}  {self.place}', self.cause, self.issue))


@dataclass(frozen=True)
class KnownFailures:
    """What the file names, and what is wrong with it."""

    entries: tuple[KnownFailure, ...] = ()
    findings: tuple[str, ...] = ()

    def covers(self, place: str, status: str | None) -> bool:
        """Whether a scenario that ended so is passed over."""
        return status in FAILURES and any(entry.place == place for entry in self.entries)

    def at(self, place: str) -> KnownFailure | None:
        """The entry for a scenario, if there is one."""
        return next((entry for entry in self.entries if entry.place == place), None)


class MalformedLine(ValueError):
    """A line that names no scenario, or not just one, or lacks a field."""


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
    >>> parse(['features/a.feature:two | slow disk | issue 4'], names).entries[0].place
    'features/a.feature:6'
    >>> parse(['features/a.feature:3 | slow disk'], names).findings
    ('malformed line: features/a.feature:3 | slow disk',)
    >>> parse(['features/a.feature:9 | slow disk | issue 4'], names).findings
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
        if any(known.place == entry.place for known in entries):
            findings.append(f'named twice: {entry.place}')
        entries.append(entry)
    if len(entries) > LIMIT:
        findings.append(f'{len(entries)} are named, {LIMIT} at most may be')
    return KnownFailures((), tuple(findings)) if findings else KnownFailures(tuple(entries))


def parse_line(line: str, names: Mapping[str, str]) -> KnownFailure:
    """The known failure that one line names."""
    fields = [part.strip() for part in line.rsplit(SEPARATOR, FIELDS - 1)]
    if len(fields) != FIELDS or not all(fields):
        raise MalformedLine(f'malformed line: {line}')
    scenario, cause, issue = fields
    place = place_of(scenario, names)
    return KnownFailure(place, names[place], cause, issue)


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
