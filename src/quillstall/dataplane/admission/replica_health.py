"""Replicas that fail are left alone for a while."""

from datetime import datetime, timedelta

from immutables import Map

from quillstall.dataplane.admission import admission_state
from quillstall.dataplane.admission.admission_state import Down, State
from quillstall.dataplane.admission.messages import Health, Report
from quillstall.runtime.effect import Note

DOWN = timedelta(seconds=1)
DOWN_MOST = 8
FAILS_MOST = 3  # so many failures in a row, with others going well, put a replica aside


def health(state: State, event: Health, now: datetime, out: list) -> State:
    """A replica that fails is left alone for a while, longer each time, then tried with one task."""
    known = state.down.get(event.replica)
    if event.well:
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
    if event.soft:
        count = state.faults.get(event.replica, 0) + 1
        state = state._replace(faults=state.faults.set(event.replica, count))
        if count < FAILS_MOST:
            return state
    fails = min(DOWN_MOST, known.fails + 1 if known else 1)
    if not known:
        out.append(Note('replica_down', {'replica': event.replica}))
    return state._replace(down=state.down.set(event.replica, Down(now + DOWN * min(fails, 4), fails)))


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
