"""The load of other nodes on a replica, from the replica's own reports."""

from datetime import datetime, timedelta

from quillstall.dataplane.admission import admission_state
from quillstall.dataplane.admission.admission_state import State
from quillstall.dataplane.admission.messages import Load

LOAD_SMOOTHING = 0.6  # weight of the newest report in the moving average
STALE_AFTER = timedelta(milliseconds=600)


def update(state: State, event: Load, now: datetime) -> State:
    """Apply a replica's load report: what exceeds this node's own tasks there belongs to other nodes."""
    if not admission_state.mechanism_enabled(state, 'told_load'):
        return state
    reported = max(0.0, float(event.running + event.waiting - state.used_slots.get(event.replica, 0)))
    row = state.other_load.get(event.replica)
    mean = reported if row is None else row[0] + LOAD_SMOOTHING * (reported - row[0])
    return state._replace(other_load=state.other_load.set(event.replica, (mean, now)))


def decay(state: State, now: datetime) -> State:
    """Reduce stale load reports step by step. Otherwise a replica that was full once would never be tried
    again, and could not report that it is free."""
    other_load = state.other_load
    for replica, (mean, at) in state.other_load.items():
        if at is not None and now - at > STALE_AFTER:
            other_load = (
                other_load.set(replica, (mean * 0.8, now - STALE_AFTER / 2))
                if mean > 0.3
                else other_load.delete(replica)
            )
    return state._replace(other_load=other_load)
