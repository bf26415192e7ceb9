"""How long a task's own service takes, learned by route, and apart where its shared prompt is new."""

from datetime import timedelta

from quillstall.dataplane.admission.admission_state import Run, Service, State, Task

SERVICE_BLEND = 0.1  # how much the newest service time counts
READ_MOST = 256  # shared prompts remembered as read, a replica


def expected(state: State, task: Task) -> timedelta:
    """How long the task's own service should take.

    >>> expected(State(), Task('t', 'r', 'c', 'p', 1, None, None, prior=timedelta(seconds=1))) == timedelta(seconds=1)
    True
    """
    known = state.service.get(task.route)
    return known.expected if known else task.prior


def is_cold(state: State, task: Task, replica: str) -> bool:
    """Whether a replica has yet to read the prompt that a task shares with others.

    >>> from immutables import Map
    >>> task = Task('t', 'r', 'c', 'p', 1, None, None, warm='shared')
    >>> is_cold(State(), task, 'a'), is_cold(State(read=Map({'a': frozenset({'shared'})})), task, 'a')
    (True, False)
    >>> is_cold(State(), task._replace(prefer='a'), 'a')
    False
    """
    return bool(task.warm) and replica != task.prefer and task.warm not in state.read.get(replica, ())


def expected_at(state: State, task: Task, replica: str) -> timedelta:
    """How long the task's own service should take at a replica: longer where its prompt is new.

    >>> from immutables import Map
    >>> task = Task('t', 'r', 'c', 'p', 1, None, None, warm='shared')
    >>> s = State(service=Map({'r': Service(0.2, 0.0)}), cold_service=Map({'r': Service(0.9, 0.0)}))
    >>> [span.total_seconds() for span in (expected(s, task), expected_at(s, task, 'a'))]
    [0.2, 0.9]
    """
    usual = expected(state, task)
    if not is_cold(state, task, replica):
        return usual
    known = state.cold_service.get(task.route)
    return max(usual, known.expected if known else task.prior)


def least_time(state: State, task: Task, replica: str) -> timedelta:
    """The time a task must have left to be sent to a replica: what it should take there. One that was let
    go on trial, since its route has lately been too slow for it, needs what its route is declared to take.

    >>> from immutables import Map
    >>> from datetime import UTC, datetime
    >>> t = datetime(2026, 1, 1, tzinfo=UTC)
    >>> task = Task('t', 'r', 'c', 'p', 1, t + 4 * timedelta(seconds=1), t, prior=timedelta(seconds=1))
    >>> [least_time(State(service=Map({'r': Service(n, 0.0)})), task, 'a').seconds for n in (3.0, 5.0)]
    [3, 1]
    """
    service = expected_at(state, task, replica)
    return service if service <= task.deadline - task.at else min(service, task.prior)


def learned(known: Service | None, task: Task, took: timedelta) -> Service:
    """What is known of a service time after one more task; the first is weighed against the prior.

    >>> learned(None, Task('t', 'r', 'c', 'p', 1, None, None, prior=timedelta(seconds=1)), 3 * timedelta(seconds=1))
    Service(mean=2.0, dev=1.0)
    """
    span = took.total_seconds()
    if known is None:
        prior = task.prior.total_seconds()
        return Service((span + prior) / 2, abs(span - prior) / 2)
    return blended(known, span)


def blended(known: Service, span: float) -> Service:
    """Mean and mean deviation after one more time, in seconds.

    >>> blended(Service(1.0, 0.0), 2.0)
    Service(mean=1.1, dev=0.1)
    """
    return Service(
        known.mean + SERVICE_BLEND * (span - known.mean),
        known.dev + SERVICE_BLEND * (abs(span - known.mean) - known.dev),
    )


def learn(state: State, run: Run, took: timedelta) -> State:
    """Take in how long a task's service took, and that its replica has read its shared prompt."""
    task, replica = run.task, run.replica
    state = state._replace(
        service=state.service.set(task.route, learned(state.service.get(task.route), task, took))
    )
    if not task.warm or task.warm in state.read.get(replica, ()):
        return state
    if is_cold(state, task, replica):
        cold = learned(state.cold_service.get(task.route), task, took)
        state = state._replace(cold_service=state.cold_service.set(task.route, cold))
    read = state.read.get(replica, frozenset())
    kept = read if len(read) < READ_MOST else frozenset()
    return state._replace(read=state.read.set(replica, kept | {task.warm}))
