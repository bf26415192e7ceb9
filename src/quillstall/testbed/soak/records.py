"""Records of a soak run: every request that clients sent, and every run that replicas began."""

from collections import defaultdict
from dataclasses import dataclass, field
from enum import Enum


class RouteKind(Enum):
    """The kinds of routes that clients use, named by their path."""

    ANY = 'any'  # may be repeated
    ONCE = 'once'  # at most once for each try
    KEYED = 'keyed'  # at most once for each key
    TURN = 'turn'  # a kept turn of a program: a stream that may not be resumed
    LINE = 'line'  # a stream that may be resumed
    SPLIT = 'split'  # may be repeated; which pool serves it depends on the policy in force


EVENT_TOKENS = 10
TURN_TOKENS_MOST = 80


@dataclass
class Sent:
    """One try of a client."""

    ident: str
    kind: RouteKind
    path: str
    body: bytes  # what a replica must receive: of a turn with what was said before it
    at: float
    node: str
    key: str = ''
    program: str = ''


@dataclass
class Run:
    """One run that a replica began."""

    ident: str
    path: str
    body: bytes
    replica: str
    pool: str
    at: float
    number: int
    first_event: int = 1


@dataclass
class Records:
    """All that clients sent and replicas ran, and the violations of rules that were found."""

    sent: dict[str, Sent] = field(default_factory=dict)
    runs: dict[str, list[Run]] = field(default_factory=lambda: defaultdict(list))
    key_runs: dict[str, list[Run]] = field(default_factory=lambda: defaultdict(list))
    violations: list[str] = field(default_factory=list)
    outcomes: dict[str, int] = field(default_factory=lambda: defaultdict(int))
    last_run: int = 0
    answers: list[tuple] = field(default_factory=list)  # (sent at, ended at, id, node, status, whole, left)

    def report(self, rule: str, text: str) -> None:
        """Record the violation of a rule: `records.report('twice', 'x1 ran 2 times')`."""
        self.violations.append(f'{rule}: {text}')

    def begin_run(self, run: Run) -> Run:
        """Record a run and judge at once whether it may be: `records.begin_run(run)`."""
        self.last_run += 1
        run.number = self.last_run
        sent = self.sent.get(run.ident)
        if sent is None:
            self.report('unasked', f'{run.replica} ran {run.ident!r}, which no client sent')
            return run
        if (run.path, run.body) != (sent.path, sent.body):
            self.report(
                'unasked',
                f'{run.replica} ran {run.ident} {run.path} with {len(run.body)} bytes,'
                f' sent were {sent.path} and {len(sent.body)}',
            )
        self.runs[run.ident].append(run)
        if sent.key:
            self.key_runs[sent.key].append(run)
            self.at_most_one(self.key_runs[sent.key], f'key {sent.key}')
        elif sent.kind in (RouteKind.ONCE, RouteKind.TURN):
            self.at_most_one(self.runs[run.ident], sent.ident)
        return run

    def at_most_one(self, runs: list[Run], name: str) -> None:
        """Work that may not repeat has begun once."""
        if len(runs) > 1:
            self.report('twice', f'{name} ran at {", ".join(run.replica for run in runs)}')

    def ran(self, sent: Sent) -> bool:
        """Whether any replica began this try."""
        return bool(self.runs.get(sent.ident))
