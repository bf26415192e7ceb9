"""Effects and the events that answer them: what a reducer asks its process to do, as data."""

from datetime import timedelta
from typing import Any, NamedTuple


class Ask(NamedTuple):
    """Send `message` to the member `to`; its return comes as Heard(tag, return).

    >>> Ask('m1', {'k': 'hi'}, ('t',)).to
    'm1'
    """

    to: str
    message: dict
    tag: tuple
    timeout_ms: int = 1000


class Write(NamedTuple):
    """Write rows whole; Wrote(tag) comes once they are synced.

    >>> Write((), ('t',)).puts
    ()
    """

    puts: tuple
    tag: tuple


class Done(NamedTuple):
    """A command of the tag's owner has been confirmed on two disks, or has failed with a fault.

    >>> Done(('call', 1), {'ok': True}).reply
    {'ok': True}
    """

    tag: tuple
    reply: dict


class Return(NamedTuple):
    """The return of a message that was told to us.

    >>> Return(4, {'ok': True}).call
    4
    """

    call: Any
    reply: dict


class Propose(NamedTuple):
    """Ask the authority of a part to grant a seat.

    >>> Propose('p00', (2, 1, 'a', 'c')).replica_set[0]
    2
    """

    part: str
    replica_set: tuple


class Note(NamedTuple):
    """One line for the journal.

    >>> Note('epoch', {'part': 'core'}).kind
    'epoch'
    """

    kind: str
    facts: dict


class Count(NamedTuple):
    """Add to a counter.

    >>> Count('frames').amount
    1
    """

    name: str
    amount: float = 1


class Violated(NamedTuple):
    """A promise that the code checks does not hold; the process counts it and lives on.

    >>> Violated('epoch_forward', {'part': 'core'}).name
    'epoch_forward'
    """

    name: str
    facts: dict


class Heard(NamedTuple):
    """The return of an Ask; None if none came.

    >>> Heard(('t',), None).reply is None
    True
    """

    tag: tuple
    reply: dict | None


class Wrote(NamedTuple):
    """A Write has been synced.

    >>> Wrote(('t',)).tag
    ('t',)
    """

    tag: tuple


class Told(NamedTuple):
    """A message came; the reducer owes a Return with the same call.

    >>> Told(1, {'k': 'frame'}).message['k']
    'frame'
    """

    call: Any
    message: dict


class Tick(NamedTuple):
    """The clock event of the process, ten times a second; `wall_ahead` is how far the wall clock is ahead of
    the steady one. When the disk begins to take nothing there is one that says so, and none after it until
    the disk takes writes again.

    >>> Tick().wall_ahead, Tick().blocked
    (datetime.timedelta(0), False)
    """

    wall_ahead: timedelta = timedelta(0)
    blocked: bool = False
