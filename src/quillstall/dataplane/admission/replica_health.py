"""Outlier ejection: replicas that fail get no tasks for a while."""

from collections.abc import Iterable
from datetime import datetime, timedelta
from math import exp

from immutables import Map

from quillstall.dataplane.admission import admission_state
from quillstall.dataplane.admission.admission_state import Ejection, Outcomes, State
from quillstall.dataplane.admission.messages import Health, Report
from quillstall.runtime.clock import ms
from quillstall.runtime.effect import Note

EJECTION_STEP = timedelta(seconds=1)
MAX_COUNTED_FAILURES = 8
MAX_EJECTED_FRACTION = 1 / 3  # of a pool's replicas, for silence or on other nodes' reports
OUTCOME_DECAY = timedelta(seconds=3)  # time constant: after this long an outcome has 1/e of its weight
MIN_OUTCOME_WEIGHT = 0.1  # below this outcomes are not reported
FAILURE_REPORT_TIME = timedelta(seconds=3)  # a failure or success is reported to the core for this long
SOFT_FAILURES_TO_EJECT = 3  # in a row


def update(state: State, event: Health, now: datetime, effects: list) -> State:
    """Apply the result of an attempt. A failing replica is ejected, for longer after each failure; when the time
    is over it gets one task at a time until one succeeds."""
    state = count_outcome(state, event, now)
    ejection = state.ejections.get(event.replica)
    if event.succeeded:
        state = state._replace(last_success=state.last_success.set(event.replica, now))
        if event.replica in state.consecutive_failures:
            state = state._replace(consecutive_failures=state.consecutive_failures.delete(event.replica))
        if ejection:
            effects.append(Note('replica_well', {'replica': event.replica}))
            state = state._replace(ejections=state.ejections.delete(event.replica))
        return state
    if not event.soft:  # it may have restarted with an empty prefix cache
        state = state._replace(cached_prefixes=without_key(state.cached_prefixes, event.replica))
    if not admission_state.mechanism_enabled(state, 'set_aside'):
        return state
    if event.soft and not (event.stalled and may_eject(state, event.replica)):
        count = state.consecutive_failures.get(event.replica, 0) + 1
        state = state._replace(consecutive_failures=state.consecutive_failures.set(event.replica, count))
        if count < SOFT_FAILURES_TO_EJECT:
            return state
    failures = min(MAX_COUNTED_FAILURES, ejection.failures + 1 if ejection else 1)
    if not ejection:
        effects.append(Note('replica_down', {'replica': event.replica}))
    return state._replace(
        ejections=state.ejections.set(
            event.replica, Ejection(now + EJECTION_STEP * min(failures, 4), failures, now)
        )
    )


def count_outcome(state: State, event: Health, now: datetime) -> State:
    """Return the state with an attempt counted in the replica's outcomes; they are kept only from the
    replica's first failure on, whether on this node or on another.

    >>> from datetime import UTC
    >>> t = datetime(2026, 1, 1, tzinfo=UTC)
    >>> s = count_outcome(State(), Health('a', True), t)
    >>> s = count_outcome(count_outcome(s, Health('a', False, soft=True), t), Health('a', True), t)
    >>> s.outcomes['a'][:2]
    (1.0, 1.0)
    """
    failed = (not event.succeeded or event.error_response) and not event.at_capacity
    known = state.outcomes.get(event.replica)
    if event.at_capacity or (known is None and not failed and event.replica not in state.failing_elsewhere):
        return state
    old = decayed(known, now) if known else Outcomes(0.0, 0.0, now)
    new = Outcomes(old.failures + failed, old.successes + (not failed), now)
    return state._replace(outcomes=state.outcomes.set(event.replica, new))


def decayed(known: Outcomes, now: datetime) -> Outcomes:
    """Return the outcomes with their weights decayed to `now`.

    >>> from datetime import UTC
    >>> t = datetime(2026, 1, 1, tzinfo=UTC)
    >>> round(decayed(Outcomes(1.0, 2.0, t), t + OUTCOME_DECAY).successes, 2)
    0.74
    """
    factor = exp(-max(0.0, (now - known.updated_at) / OUTCOME_DECAY))
    return Outcomes(known.failures * factor, known.successes * factor, now)


def reported_outcomes(state: State, now: datetime) -> dict[str, list[float]]:
    """Return, by replica, the recent failures and successes that this node reports to the core."""
    rows = {replica: decayed(known, now) for replica, known in sorted(state.outcomes.items())}
    return {
        replica: [round(row.failures, 1), round(row.successes, 1)]
        for replica, row in rows.items()
        if row.failures + row.successes >= MIN_OUTCOME_WEIGHT
    }


def without_old_outcomes(state: State, now: datetime) -> State:
    """Return the state without the outcomes of replicas that have had no recent failure on any node."""
    outcomes = state.outcomes
    for replica, known in state.outcomes.items():
        row = decayed(known, now)
        if row.failures < MIN_OUTCOME_WEIGHT and replica not in state.failing_elsewhere:
            outcomes = outcomes.delete(replica)
    return state if outcomes is state.outcomes else state._replace(outcomes=outcomes)


def may_eject(state: State, replica: str) -> bool:
    """Return whether one more replica of its pools may be ejected for silence. If many are silent at once, the
    network between them and this node has more likely failed.

    >>> rows = {r: {'slots': 1, 'ready': True} for r in 'abcd'}
    >>> s = State(policy={'pools': {'p': {'replicas': {}, 'listed': True}}}, listing={'pools': {'p': rows}})
    >>> may_eject(s, 'a'), may_eject(s._replace(ejections=Map({'b': Ejection(None, 1)})), 'a')
    (True, False)
    """
    for pool in state.policy.get('pools', {}):
        known = admission_state.replicas_of(state, pool)
        if (
            replica in known
            and len([r for r in known if r in state.ejections]) + 1 > len(known) * MAX_EJECTED_FRACTION
        ):
            return False
    return True


def failure_ages(state: State, now: datetime) -> dict[str, int]:
    """Return, by replica, how many milliseconds ago it last failed on this node, if recently.

    >>> from datetime import UTC
    >>> t = datetime(2026, 1, 1, tzinfo=UTC)
    >>> failure_ages(State(ejections=Map({'a': Ejection(t, 1, t), 'b': Ejection(t, 1, t - 9 * EJECTION_STEP)})), t + EJECTION_STEP)
    {'a': 1000}
    """
    return {
        r: ms(now - e.last_failure)
        for r, e in sorted(state.ejections.items())
        if e.last_failure and now - e.last_failure <= FAILURE_REPORT_TIME
    }


def success_ages(state: State, suspected: Iterable[str], now: datetime) -> dict[str, int]:
    """Return, by suspected replica, how many milliseconds ago a task of this node succeeded there, if recently.

    >>> from datetime import UTC
    >>> t = datetime(2026, 1, 1, tzinfo=UTC)
    >>> success_ages(State(last_success=Map({'a': t, 'b': t})), ['a', 'c'], t + EJECTION_STEP)
    {'a': 1000}
    """
    times = {r: state.last_success[r] for r in suspected if r in state.last_success}
    return {r: ms(now - at) for r, at in times.items() if now - at <= FAILURE_REPORT_TIME}


def apply_probe(state: State, event: Report, now: datetime) -> State:
    """Apply a probe of a suspected replica: a success ends its ejection, a failure extends it."""
    ejection = state.ejections.get(event.replica)
    if ejection is None:
        return state
    until = min(ejection.until, now) if event.succeeded else max(ejection.until, now + EJECTION_STEP / 2)
    return state._replace(ejections=state.ejections.set(event.replica, ejection._replace(until=until)))


def without_key(table: Map, key: str) -> Map:
    """Return a table without a key, which may be absent.

    >>> without_key(Map({'a': 1}), 'a') == without_key(Map(), 'a') == Map()
    True
    """
    return table.delete(key) if key in table else table
