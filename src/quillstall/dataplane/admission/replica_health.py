"""Replicas that fail are left alone for a while."""

from collections.abc import Iterable
from datetime import datetime, timedelta
from math import exp

from immutables import Map

from quillstall.dataplane.admission import admission_state
from quillstall.dataplane.admission.admission_state import Down, Outcomes, State
from quillstall.dataplane.admission.messages import Health, Report
from quillstall.runtime.clock import ms
from quillstall.runtime.effect import Note

DOWN = timedelta(seconds=1)
DOWN_MOST = 8
ASIDE_MOST = 1 / 3  # no more of a pool's replicas are set aside for being silent, or on the word of others
OUTCOME_SPAN = timedelta(seconds=3)  # after so long an outcome counts for a third
OUTCOME_LEAST = 0.1  # less is not worth telling
FAILING_FOR = timedelta(seconds=3)  # a failure is told to the others for so long
FAILS_MOST = 3  # so many failures in a row, with others going well, put a replica aside


def health(state: State, event: Health, now: datetime, out: list) -> State:
    """A replica that fails is left alone for a while, longer each time, then tried with one task."""
    state = counted(state, event, now)
    known = state.down.get(event.replica)
    if event.well:
        state = state._replace(served=state.served.set(event.replica, now))
        if event.replica in state.faults:
            state = state._replace(faults=state.faults.delete(event.replica))
        if known:
            out.append(Note('replica_well', {'replica': event.replica}))
            state = state._replace(down=state.down.delete(event.replica))
        return state
    if not event.soft:  # it may have been started again, and have read nothing
        state = state._replace(read=without(state.read, event.replica))
    if not admission_state.uses(state, 'set_aside'):
        return state
    if event.soft and not (event.stalled and few_set_aside(state, event.replica)):
        count = state.faults.get(event.replica, 0) + 1
        state = state._replace(faults=state.faults.set(event.replica, count))
        if count < FAILS_MOST:
            return state
    fails = min(DOWN_MOST, known.fails + 1 if known else 1)
    if not known:
        out.append(Note('replica_down', {'replica': event.replica}))
    return state._replace(down=state.down.set(event.replica, Down(now + DOWN * min(fails, 4), fails, now)))


def counted(state: State, event: Health, now: datetime) -> State:
    """Count how a task went at a replica, from its first failure here or elsewhere on.

    >>> from datetime import UTC
    >>> t = datetime(2026, 1, 1, tzinfo=UTC)
    >>> s = counted(State(), Health('a', True), t)
    >>> s = counted(counted(s, Health('a', False, soft=True), t), Health('a', True), t)
    >>> s.outcomes['a'][:2]
    (1.0, 1.0)
    """
    failed = (not event.well or event.erred) and not event.full
    known = state.outcomes.get(event.replica)
    if event.full or (known is None and not failed and event.replica not in state.failing_elsewhere):
        return state
    old = faded(known, now) if known else Outcomes(0.0, 0.0, now)
    new = Outcomes(old.fails + failed, old.wells + (not failed), now)
    return state._replace(outcomes=state.outcomes.set(event.replica, new))


def faded(known: Outcomes, now: datetime) -> Outcomes:
    """Outcomes as they count by now.

    >>> from datetime import UTC
    >>> t = datetime(2026, 1, 1, tzinfo=UTC)
    >>> round(faded(Outcomes(1.0, 2.0, t), t + OUTCOME_SPAN).wells, 2)
    0.74
    """
    part = exp(-max(0.0, (now - known.at) / OUTCOME_SPAN))
    return Outcomes(known.fails * part, known.wells * part, now)


def told_outcomes(state: State, now: datetime) -> dict[str, list[float]]:
    """How tasks went lately at replicas that fail here or elsewhere: this node's word to the others."""
    rows = {replica: faded(known, now) for replica, known in sorted(state.outcomes.items())}
    return {
        replica: [round(row.fails, 1), round(row.wells, 1)]
        for replica, row in rows.items()
        if row.fails + row.wells >= OUTCOME_LEAST
    }


def without_old_outcomes(state: State, now: datetime) -> State:
    """The state without the outcomes of replicas that have not failed for long."""
    outcomes = state.outcomes
    for replica, known in state.outcomes.items():
        row = faded(known, now)
        if row.fails < OUTCOME_LEAST and replica not in state.failing_elsewhere:
            outcomes = outcomes.delete(replica)
    return state if outcomes is state.outcomes else state._replace(outcomes=outcomes)


def few_set_aside(state: State, replica: str) -> bool:
    """Whether few enough replicas of its pools are set aside that one more may be: many that are silent at once
    are more likely cut off together, or this node is.

    >>> rows = {r: {'slots': 1, 'ready': True} for r in 'abcd'}
    >>> s = State(policy={'pools': {'p': {'replicas': {}, 'listed': True}}}, listing={'pools': {'p': rows}})
    >>> few_set_aside(s, 'a'), few_set_aside(s._replace(down=Map({'b': Down(None, 1)})), 'a')
    (True, False)
    """
    for pool in state.policy.get('pools', {}):
        known = admission_state.replicas_of(state, pool)
        if replica in known and len([r for r in known if r in state.down]) + 1 > len(known) * ASIDE_MOST:
            return False
    return True


def failing(state: State, now: datetime) -> dict[str, int]:
    """The replicas that failed here lately, and how many milliseconds ago: this node's word to the others.

    >>> from datetime import UTC
    >>> t = datetime(2026, 1, 1, tzinfo=UTC)
    >>> failing(State(down=Map({'a': Down(t, 1, t), 'b': Down(t, 1, t - 9 * DOWN)})), t + DOWN)
    {'a': 1000}
    """
    return {r: ms(now - d.at) for r, d in sorted(state.down.items()) if d.at and now - d.at <= FAILING_FOR}


def serving(state: State, doubted: Iterable[str], now: datetime) -> dict[str, int]:
    """Of doubted replicas those that served this node lately, and how many milliseconds ago.

    >>> from datetime import UTC
    >>> t = datetime(2026, 1, 1, tzinfo=UTC)
    >>> serving(State(served=Map({'a': t, 'b': t})), ['a', 'c'], t + DOWN)
    {'a': 1000}
    """
    times = {r: state.served[r] for r in doubted if r in state.served}
    return {r: ms(now - at) for r, at in times.items() if now - at <= FAILING_FOR}


def reported(state: State, event: Report, now: datetime) -> State:
    """A replica in doubt that reports itself free may be tried at once; one that does not, waits on."""
    known = state.down.get(event.replica)
    if known is None:
        return state
    until = min(known.until, now) if event.well else max(known.until, now + DOWN / 2)
    return state._replace(down=state.down.set(event.replica, known._replace(until=until)))


def without(table: Map, key: str) -> Map:
    """A table without a key, whether or not it is there.

    >>> without(Map({'a': 1}), 'a') == without(Map(), 'a') == Map()
    True
    """
    return table.delete(key) if key in table else table
