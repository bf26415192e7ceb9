"""What other nodes have at a replica, by its own word."""

from datetime import datetime, timedelta

from quillstall.dataplane.admission import admission_state
from quillstall.dataplane.admission.admission_state import State
from quillstall.dataplane.admission.messages import Load

LOAD_BLEND = 0.6  # how much the newest word on a replica's load counts
LOAD_OLD = timedelta(milliseconds=600)


def loaded(state: State, event: Load, now: datetime) -> State:
    """A replica's word on its load: what is not ours there is the other nodes'."""
    if not admission_state.uses(state, 'told_load'):
        return state
    told = max(0.0, float(event.running + event.waiting - state.used.get(event.replica, 0)))
    row = state.others.get(event.replica)
    mean = told if row is None else row[0] + LOAD_BLEND * (told - row[0])
    return state._replace(others=state.others.set(event.replica, (mean, now)))


def fade(state: State, now: datetime) -> State:
    """Old words on load count for less and less: without it a replica that was full once would never be
    asked again, and so never tell that it is free."""
    others = state.others
    for replica, (mean, at) in state.others.items():
        if at is not None and now - at > LOAD_OLD:
            others = (
                others.set(replica, (mean * 0.8, now - LOAD_OLD / 2))
                if mean > 0.3
                else others.delete(replica)
            )
    return state._replace(others=others)
