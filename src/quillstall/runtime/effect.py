"""Effects and events of a reducer, as data.

A reducer is a pure function of its state and one event; it returns the next state and the effects that its
process is to carry out. Some effects are answered by a later event with the same tag.
"""

from datetime import timedelta
from typing import Any, NamedTuple


class Ask(NamedTuple):
    """Effect: send `message` to the member `to`; the reply, or its absence, comes as Heard(tag, reply).

    >>> Ask('m1', {'k': 'hi'}, ('t',)).to
    'm1'
    """

    to: str
    message: dict
    tag: tuple
    timeout_ms: int = 1000


class Write(NamedTuple):
    """Effect: write a batch of rows atomically; Wrote(tag) comes once the batch is synced.

    >>> Write((), ('t',)).puts
    ()
    """

    puts: tuple
    tag: tuple


class Done(NamedTuple):
    """Effect: the command with this tag is committed (synced on two disks) or has failed with a fault.

    >>> Done(('call', 1), {'ok': True}).reply
    {'ok': True}
    """

    tag: tuple
    reply: dict


class Return(NamedTuple):
    """Effect: reply to the message that came as Told with the same call.

    >>> Return(4, {'ok': True}).call
    4
    """

    call: Any
    reply: dict


class Propose(NamedTuple):
    """Effect: ask the authority that grants replica sets to grant this one to a partition.

    >>> Propose('p00', (2, 1, 'a', 'c')).replica_set[0]
    2
    """

    part: str
    replica_set: tuple


class Note(NamedTuple):
    """Effect: log one line in the journal.

    >>> Note('epoch', {'part': 'core'}).kind
    'epoch'
    """

    kind: str
    facts: dict


class Count(NamedTuple):
    """Effect: add to a counter.

    >>> Count('frames').amount
    1
    """

    name: str
    amount: float = 1


class Violated(NamedTuple):
    """Effect: report that an invariant does not hold; the process counts it and continues.

    >>> Violated('epoch_forward', {'part': 'core'}).name
    'epoch_forward'
    """

    name: str
    facts: dict


class Heard(NamedTuple):
    """Event: the reply to an Ask; None if none came.

    >>> Heard(('t',), None).reply is None
    True
    """

    tag: tuple
    reply: dict | None


class Wrote(NamedTuple):
    """Event: a Write has been synced.

    >>> Wrote(('t',)).tag
    ('t',)
    """

    tag: tuple


class Told(NamedTuple):
    """Event: a message arrived; the reducer must answer it with a Return of the same call.

    >>> Told(1, {'k': 'frame'}).message['k']
    'frame'
    """

    call: Any
    message: dict


class Tick(NamedTuple):
    """Event: the periodic clock tick, ten times a second. `wall_ahead` is the wall clock's lead over the steady
    clock. One tick with `blocked` is sent when writes to the disk become blocked, and none after it until
    the disk accepts writes again.

    >>> Tick().wall_ahead, Tick().blocked
    (datetime.timedelta(0), False)
    """

    wall_ahead: timedelta = timedelta(0)
    blocked: bool = False
