"""Requests: the durable record of the changes that the core's table has taken, by their request ids.

A change that is sent again has its first answer from here. Each taken change has one row, so that a
change writes as much at the end of a long day as at its start. The record is bounded: the oldest rows
are dropped, and what is then no longer known is decided by numbers. Generations rise with every change
and the numbers of numbered changes rise too, so a change whose number is above the highest dropped one
was never among the dropped: it can be refused. Any other that is not on record may have been taken, and
its outcome is unknown.
"""

from typing import NamedTuple

from immutables import Map

from quillstall.runtime.errors import Fault

PREFIX = 'request/'
SUMMARY = 'requests'
OLD_FORM = 'asks'  # one row that held the newest requests, each with its answer
OLD_FORM_MOST = 200  # so many requests the old form kept
KEPT = 4096
DROPPED_AT_ONCE = 256  # the oldest are looked for once in so many changes

Changes = tuple[tuple, ...]


class Outcome(NamedTuple):
    """What a taken change became: a generation, and its own number if it carried one.

    >>> Outcome(7, 12).answer()
    {'ok': True, 'generation': 7, 'version': 12}
    >>> Outcome(7).answer()
    {'ok': True, 'generation': 7}
    """

    generation: int
    version: int | None = None

    def answer(self) -> dict:
        """The answer to the change: `outcome.answer()`."""
        out = {'ok': True, 'generation': self.generation}
        return out if self.version is None else {**out, 'version': self.version}


class Summary(NamedTuple):
    """How many requests are on record, and the highest numbers among those that were dropped."""

    count: int = 0
    dropped_generation: int = 0
    dropped_version: int = 0


def summary(rows: Map) -> Summary:
    """The record's summary, also where the rows are still of the old form.

    >>> summary(Map({OLD_FORM: [['a', {'generation': 9, 'version': 4}]] * OLD_FORM_MOST}))
    Summary(count=0, dropped_generation=8, dropped_version=3)
    """
    if SUMMARY in rows:
        return Summary(*rows[SUMMARY])
    old = rows.get(OLD_FORM, ())
    if len(old) < OLD_FORM_MOST:
        return Summary()
    oldest = _old_outcome(old[0][1])
    return Summary(0, oldest.generation - 1, (oldest.version or 1) - 1)


def find(rows: Map, request: str | None) -> Outcome | None:
    """The outcome of a request that was taken, if it is on record.

    >>> rows = Map({'request/a': [3, None]})
    >>> find(rows, 'a'), find(rows, 'b'), find(rows, None)
    (Outcome(generation=3, version=None), None, None)
    """
    if not request:
        return None
    row = rows.get(PREFIX + request)
    if row is not None:
        return Outcome(*row)
    for name, answer in rows.get(OLD_FORM, ()):
        if name == request:
            return _old_outcome(answer)
    return None


def record(rows: Map, request: str | None, outcome: Outcome) -> Changes:
    """The changes of rows that put a taken request on record, and drop the oldest where there are too many.

    >>> dict(record(Map(), 'a', Outcome(3)))
    {'request/a': [3, None], 'requests': [1, 0, 0]}
    >>> record(Map(), None, Outcome(3))
    ()
    """
    if not request:
        return ()
    before = summary(rows)
    added = _from_old_form(rows)
    added[PREFIX + request] = list(outcome)
    count = before.count + len(added)
    changes: Changes = tuple(added.items())
    if OLD_FORM in rows:
        changes += ((OLD_FORM, None),)
    after = before._replace(count=count)
    if count >= KEPT + DROPPED_AT_ONCE:
        after, dropped = _drop(rows, after)
        changes += dropped
    return changes + ((SUMMARY, list(after)),)


def refuse_only_if_never_taken(
    rows: Map, request: str | None, generation: int | None, version: int | None
) -> None:
    """Raise Fault 'outcome_unknown' for a request that is not on record and may have been dropped from it.

    `version` is the number that the change carries; for one without, `generation` is the one that it
    builds on. Without either nothing can be said, and nothing is raised.

    >>> rows = Map({SUMMARY: [4096, 50, 120]})
    >>> refuse_only_if_never_taken(rows, 'a', None, 121)
    >>> refuse_only_if_never_taken(rows, 'a', None, 120)
    Traceback (most recent call last):
    quillstall.runtime.errors.Fault: outcome_unknown: so old a request is no longer on record
    """
    if not request:
        return
    dropped = summary(rows)
    forgotten = version is not None and version <= dropped.dropped_version
    if version is None and generation is not None:  # taken, it would have made the next generation or a later
        forgotten = generation < dropped.dropped_generation
    if forgotten:
        raise Fault('outcome_unknown', 'so old a request is no longer on record')


def _old_outcome(answer: dict) -> Outcome:
    return Outcome(answer['generation'], answer.get('version'))


def _from_old_form(rows: Map) -> dict[str, list]:
    """The rows for the requests that the old form holds."""
    return {PREFIX + name: list(_old_outcome(answer)) for name, answer in rows.get(OLD_FORM, ())}


def _drop(rows: Map, before: Summary) -> tuple[Summary, Changes]:
    """Drop the oldest requests, down to `KEPT`."""
    known = [(Outcome(*row), key) for key, row in rows.items() if key.startswith(PREFIX)]
    known.sort(key=lambda item: item[0].generation)
    oldest = known[: before.count - KEPT]
    generation = max(outcome.generation for outcome, _ in oldest)
    version = max((outcome.version or 0) for outcome, _ in oldest)
    after = Summary(
        before.count - len(oldest),
        max(before.dropped_generation, generation),
        max(before.dropped_version, version),
    )
    return after, tuple((key, None) for _, key in oldest)
