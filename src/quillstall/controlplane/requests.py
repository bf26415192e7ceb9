"""The durable record of the changes that the core's table has applied, by request id.

A change that is sent again is answered from this record. Each applied change has a row of its own, so that a change
writes the same amount however many came before it.

The record is bounded: the oldest rows are dropped, and the outcome of a request without a row is decided by numbers.
Generations rise with every change, and so do the versions of numbered changes. A change whose number is above the
highest dropped one was therefore never dropped, hence never applied, and can be refused. Any other request without
a row may have been applied, and its outcome is unknown.
"""

from typing import NamedTuple

from immutables import Map

from quillstall.runtime.errors import Fault

KEY_PREFIX = 'request/'
SUMMARY_KEY = 'requests'
LEGACY_KEY = 'asks'  # the former format: one row that held the newest requests, each with its answer
MAX_LEGACY_REQUESTS = 200  # that the former format held
MAX_RECORDS = 4096
DROP_BATCH = 256  # requests above the limit before the oldest are searched for and dropped

Changes = tuple[tuple, ...]


class Outcome(NamedTuple):
    """The outcome of an applied change: its generation, and its version if it is a numbered change.

    >>> Outcome(7, 12).answer()
    {'ok': True, 'generation': 7, 'version': 12}
    >>> Outcome(7).answer()
    {'ok': True, 'generation': 7}
    """

    generation: int
    version: int | None = None

    def answer(self) -> dict:
        """Return the answer to the change: `outcome.answer()`."""
        answer = {'ok': True, 'generation': self.generation}
        return answer if self.version is None else {**answer, 'version': self.version}


class Summary(NamedTuple):
    """The number of requests on record, and the highest generation and version among those dropped."""

    count: int = 0
    dropped_generation: int = 0
    dropped_version: int = 0


def summary(rows: Map) -> Summary:
    """Return the summary of the record; rows in the former format are supported.

    >>> summary(Map({LEGACY_KEY: [['a', {'generation': 9, 'version': 4}]] * MAX_LEGACY_REQUESTS}))
    Summary(count=0, dropped_generation=8, dropped_version=3)
    """
    if SUMMARY_KEY in rows:
        return Summary(*rows[SUMMARY_KEY])
    legacy = rows.get(LEGACY_KEY, ())
    if len(legacy) < MAX_LEGACY_REQUESTS:
        return Summary()
    oldest = _legacy_outcome(legacy[0][1])
    return Summary(0, oldest.generation - 1, (oldest.version or 1) - 1)


def find(rows: Map, request: str | None) -> Outcome | None:
    """Return the outcome of an applied request, or None if it is not on record.

    >>> rows = Map({'request/a': [3, None]})
    >>> find(rows, 'a'), find(rows, 'b'), find(rows, None)
    (Outcome(generation=3, version=None), None, None)
    """
    if not request:
        return None
    row = rows.get(KEY_PREFIX + request)
    if row is not None:
        return Outcome(*row)
    for name, answer in rows.get(LEGACY_KEY, ()):
        if name == request:
            return _legacy_outcome(answer)
    return None


def record(rows: Map, request: str | None, outcome: Outcome) -> Changes:
    """Return the changes of rows that record an applied request and drop the oldest above the limit.

    >>> dict(record(Map(), 'a', Outcome(3)))
    {'request/a': [3, None], 'requests': [1, 0, 0]}
    >>> record(Map(), None, Outcome(3))
    ()
    """
    if not request:
        return ()
    before = summary(rows)
    added = _rows_from_legacy(rows)
    added[KEY_PREFIX + request] = list(outcome)
    count = before.count + len(added)
    changes: Changes = tuple(added.items())
    if LEGACY_KEY in rows:
        changes += ((LEGACY_KEY, None),)
    after = before._replace(count=count)
    if count >= MAX_RECORDS + DROP_BATCH:
        after, dropped = _drop(rows, after)
        changes += dropped
    return changes + ((SUMMARY_KEY, list(after)),)


def check_never_dropped(rows: Map, request: str | None, generation: int | None, version: int | None) -> None:
    """Raise Fault 'outcome_unknown' if a request without a row may have been dropped from the record.

    `version` is the version of a numbered change; of any other, `generation` is the generation that it builds
    on. Without either the request counts as never dropped.

    >>> rows = Map({SUMMARY_KEY: [4096, 50, 120]})
    >>> check_never_dropped(rows, 'a', None, 121)
    >>> check_never_dropped(rows, 'a', None, 120)
    Traceback (most recent call last):
    quillstall.runtime.errors.Fault: outcome_unknown: so old a request is no longer on record
    """
    if not request:
        return
    totals = summary(rows)
    may_be_dropped = version is not None and version <= totals.dropped_version
    if version is None and generation is not None:  # if applied, it made a later generation than its base
        may_be_dropped = generation < totals.dropped_generation
    if may_be_dropped:
        raise Fault('outcome_unknown', 'so old a request is no longer on record')


def _legacy_outcome(answer: dict) -> Outcome:
    return Outcome(answer['generation'], answer.get('version'))


def _rows_from_legacy(rows: Map) -> dict[str, list]:
    """Return the rows of the present format for the requests in the former one."""
    return {KEY_PREFIX + name: list(_legacy_outcome(answer)) for name, answer in rows.get(LEGACY_KEY, ())}


def _drop(rows: Map, before: Summary) -> tuple[Summary, Changes]:
    """Return the summary and the changes of rows after the oldest requests are dropped, down to the limit."""
    recorded = [(Outcome(*row), key) for key, row in rows.items() if key.startswith(KEY_PREFIX)]
    recorded.sort(key=lambda item: item[0].generation)
    oldest = recorded[: before.count - MAX_RECORDS]
    generation = max(outcome.generation for outcome, _ in oldest)
    version = max((outcome.version or 0) for outcome, _ in oldest)
    after = Summary(
        before.count - len(oldest),
        max(before.dropped_generation, generation),
        max(before.dropped_version, version),
    )
    return after, tuple((key, None) for _, key in oldest)
