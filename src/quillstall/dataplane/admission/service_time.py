"""Estimates of the service time by route, with a separate estimate for tasks whose shared prefix is not cached."""

from datetime import timedelta

from quillstall.dataplane.admission.admission_state import RunningTask, ServiceTime, State, Task

SERVICE_TIME_SMOOTHING = 0.1  # weight of the newest service time in the moving average
MAX_CACHED_PREFIXES = 256  # remembered for one replica


def expected(state: State, task: Task) -> timedelta:
    """Return the task's expected service time.

    >>> expected(State(), Task('t', 'r', 'c', 'p', 1, None, None, prior_service_time=timedelta(seconds=1))) == timedelta(seconds=1)
    True
    """
    known = state.service_times.get(task.route)
    return known.expected if known else task.prior_service_time


def is_cold(state: State, task: Task, replica: str) -> bool:
    """Return whether the replica does not have the task's shared prefix cached.

    >>> from immutables import Map
    >>> task = Task('t', 'r', 'c', 'p', 1, None, None, shared_prefix='shared')
    >>> is_cold(State(), task, 'a'), is_cold(State(cached_prefixes=Map({'a': frozenset({'shared'})})), task, 'a')
    (True, False)
    >>> is_cold(State(), task._replace(preferred_replica='a'), 'a')
    False
    """
    return (
        bool(task.shared_prefix)
        and replica != task.preferred_replica
        and task.shared_prefix not in state.cached_prefixes.get(replica, ())
    )


def expected_at(state: State, task: Task, replica: str) -> timedelta:
    """Return the task's expected service time at a replica: longer where its shared prefix is not cached.

    >>> from immutables import Map
    >>> task = Task('t', 'r', 'c', 'p', 1, None, None, shared_prefix='shared')
    >>> s = State(service_times=Map({'r': ServiceTime(0.2, 0.0)}), cold_service_times=Map({'r': ServiceTime(0.9, 0.0)}))
    >>> [span.total_seconds() for span in (expected(s, task), expected_at(s, task, 'a'))]
    [0.2, 0.9]
    """
    usual = expected(state, task)
    if not is_cold(state, task, replica):
        return usual
    known = state.cold_service_times.get(task.route)
    return max(usual, known.expected if known else task.prior_service_time)


def required_time(state: State, task: Task, replica: str) -> timedelta:
    """Return the time that a task must have left to be sent to a replica: its expected service time there, or
    the declared one for a task that is sent on trial, since its route has recently been too slow for it.

    >>> from immutables import Map
    >>> from datetime import UTC, datetime
    >>> t = datetime(2026, 1, 1, tzinfo=UTC)
    >>> task = Task('t', 'r', 'c', 'p', 1, t + 4 * timedelta(seconds=1), t, prior_service_time=timedelta(seconds=1))
    >>> [required_time(State(service_times=Map({'r': ServiceTime(n, 0.0)})), task, 'a').seconds for n in (3.0, 5.0)]
    [3, 1]
    """
    service = expected_at(state, task, replica)
    return service if service <= task.deadline - task.arrived_at else min(service, task.prior_service_time)


def with_task(known: ServiceTime | None, task: Task, took: timedelta) -> ServiceTime:
    """Return an estimate updated by one more task; the first is averaged with the prior.

    >>> with_task(None, Task('t', 'r', 'c', 'p', 1, None, None, prior_service_time=timedelta(seconds=1)), 3 * timedelta(seconds=1))
    ServiceTime(mean=2.0, deviation=1.0)
    """
    seconds = took.total_seconds()
    if known is None:
        prior = task.prior_service_time.total_seconds()
        return ServiceTime((seconds + prior) / 2, abs(seconds - prior) / 2)
    return smoothed(known, seconds)


def smoothed(known: ServiceTime, seconds: float) -> ServiceTime:
    """Return the moving averages of mean and mean deviation after one more time.

    >>> smoothed(ServiceTime(1.0, 0.0), 2.0)
    ServiceTime(mean=1.1, deviation=0.1)
    """
    return ServiceTime(
        known.mean + SERVICE_TIME_SMOOTHING * (seconds - known.mean),
        known.deviation + SERVICE_TIME_SMOOTHING * (abs(seconds - known.mean) - known.deviation),
    )


def learn(state: State, running: RunningTask, took: timedelta) -> State:
    """Return the state with a task's service time recorded, and its shared prefix as cached at its replica."""
    task, replica = running.task, running.replica
    state = state._replace(
        service_times=state.service_times.set(
            task.route, with_task(state.service_times.get(task.route), task, took)
        )
    )
    if not task.shared_prefix or task.shared_prefix in state.cached_prefixes.get(replica, ()):
        return state
    if is_cold(state, task, replica):
        cold = with_task(state.cold_service_times.get(task.route), task, took)
        state = state._replace(cold_service_times=state.cold_service_times.set(task.route, cold))
    cached = state.cached_prefixes.get(replica, frozenset())
    kept = cached if len(cached) < MAX_CACHED_PREFIXES else frozenset()
    return state._replace(cached_prefixes=state.cached_prefixes.set(replica, kept | {task.shared_prefix}))
