"""The events that admission handles, and its decisions."""

from datetime import datetime, timedelta
from typing import Any, NamedTuple


class Arrive(NamedTuple):
    """A task arrives. `retry`: its previous attempt failed before it produced anything.

    >>> Arrive(None).retry
    False
    """

    task: Any
    retry: bool = False


class Leave(NamedTuple):
    """A task has ended or was withdrawn; `took` is its service time if it succeeded.

    >>> Leave('t').used_tokens
    0
    """

    name: str
    used_tokens: int = 0
    took: timedelta | None = None


class Credit(NamedTuple):
    """Tokens of a running task have been processed, in the ledger's unit.

    >>> Credit('t', 10).tokens
    10
    """

    name: str
    tokens: int


class News(NamedTuple):
    """The core's reply to a poll; `lease` is when the lease expires, counted from the sending of the poll.

    >>> News({'generation': 1}, None).reply['generation']
    1
    """

    reply: dict
    lease: datetime | None


class Health(NamedTuple):
    """The result of an attempt at a replica.

    >>> Health('r1', False).succeeded
    False
    """

    replica: str
    succeeded: bool
    soft: bool = False  # the replica answered, but badly: only several in a row count
    stalled: bool = False  # a stream from it has been silent for far longer than usual
    error_response: bool = False  # it answered with an error that was passed on to the caller
    at_capacity: bool = False  # it refused for lack of a slot, which tells of its load and not of its health


class Load(NamedTuple):
    """The load that a replica reported with an answer: running, waiting and slots.

    >>> Load('r1', 3, 0, 8).slots
    8
    """

    replica: str
    running: int
    waiting: int
    slots: int


class Report(NamedTuple):
    """The probe leader's result for a suspected replica.

    >>> Report('r1', True).succeeded
    True
    """

    replica: str
    succeeded: bool


class Drain(NamedTuple):
    """Accept no new tasks from now on.

    >>> Drain()
    Drain()
    """


class Decision(NamedTuple):
    """The decision on one task: a replica, or a fault.

    >>> Decision('t', 'r1').fault is None
    True
    """

    name: str
    replica: str | None
    fault: dict | None = None
