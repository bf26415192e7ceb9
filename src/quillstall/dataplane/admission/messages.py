"""What admission is told, and what it decides."""

from datetime import datetime, timedelta
from typing import Any, NamedTuple


class Arrive(NamedTuple):
    """A task asks to be sent. `again`: its last round failed before anything came of it.

    >>> Arrive(None).again
    False
    """

    task: Any
    again: bool = False


class Leave(NamedTuple):
    """A task has ended or been given up; `used` tokens were spent.

    >>> Leave('t').used
    0
    """

    name: str
    used: int = 0
    took: timedelta | None = None


class Credit(NamedTuple):
    """Tokens of a running task have been worked off, in the ledger's unit.

    >>> Credit('t', 10).tokens
    10
    """

    name: str
    tokens: int


class News(NamedTuple):
    """What the core answered to a poll; `lease` counts from when the poll was sent.

    >>> News({'generation': 1}, None).ret['generation']
    1
    """

    ret: dict
    lease: datetime | None


class Health(NamedTuple):
    """A round on a replica failed, or went well.

    >>> Health('r1', False).well
    False
    """

    replica: str
    well: bool
    soft: bool = False  # it answered badly once; only several in a row count
    stalled: bool = False  # a stream from it is silent for far longer than usual
    erred: bool = False  # it answered, with an error of its own that was passed on
    full: bool = False  # it turned the task away: a word on its load, not on its health


class Load(NamedTuple):
    """What a replica has told of its load with an answer: running, waiting and slots.

    >>> Load('r1', 3, 0, 8).slots
    8
    """

    replica: str
    running: int
    waiting: int
    slots: int


class Report(NamedTuple):
    """What the holder of the probe duty learnt of a replica that is in doubt.

    >>> Report('r1', True).well
    True
    """

    replica: str
    well: bool


class Drain(NamedTuple):
    """Take nothing new any more.

    >>> Drain()
    Drain()
    """


class Word(NamedTuple):
    """The decision on one task: a replica, or a fault.

    >>> Word('t', 'r1').fault is None
    True
    """

    name: str
    replica: str | None
    fault: dict | None = None
