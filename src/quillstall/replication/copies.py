"""The data types of replicated partitions: replica sets, one member's copies, and the events that group.step takes."""

from datetime import datetime
from typing import NamedTuple

from immutables import Map


class ReplicaSet(tuple):
    """The members of a partition: their epoch, the previous epoch, the primary, and any number of backups.

    >>> ReplicaSet(2, 1, 'a', 'b').others('a'), ReplicaSet(2, 1, 'a', 'b', 'c').backups, ReplicaSet(2, 1, 'a').members
    (('b',), ('b', 'c'), ('a',))
    >>> ReplicaSet(2, 1, 'a', 'b') == (2, 1, 'a', 'b')
    True
    """

    __slots__ = ()

    def __new__(cls, epoch: int, previous_epoch: int, primary: str, *backups: str) -> 'ReplicaSet':
        return tuple.__new__(cls, (epoch, previous_epoch, primary, *backups))

    @property
    def epoch(self) -> int:
        return self[0]

    @property
    def previous_epoch(self) -> int:
        return self[1]

    @property
    def primary(self) -> str:
        return self[2]

    @property
    def backups(self) -> tuple:
        return tuple(self[3:])

    @property
    def members(self) -> tuple:
        return tuple(self[2:])

    def others(self, me: str) -> tuple:
        """Return the other members: `replica_set.others('a')`."""
        return tuple(name for name in self[2:] if name != me)

    def includes(self, me: str) -> bool:
        """Return whether `me` is a member.

        >>> ReplicaSet(1, 0, 'a', 'b').includes('c')
        False
        """
        return me in self[2:]


class PendingCommand(NamedTuple):
    """A command that is queued or in a batch, the tag of its caller, and its reply once it has run.

    >>> PendingCommand(('t',), {'op': 'x'}, {}).reply
    {}
    """

    tag: tuple
    command: dict
    reply: dict | None = None


class Batch(NamedTuple):
    """The commands whose changes are being replicated now.

    >>> Batch(1, 0, (), ()).synced
    False
    """

    number: int
    base_seq: int  # the sequence number before its first change
    changes: tuple
    commands: tuple
    synced: bool = False  # whether its changes are synced on the primary's own disk
    awaiting: tuple = ()  # the backups that have not confirmed yet
    sent_at: datetime | None = None
    in_flight: tuple = ()  # those of them with a message that is not answered yet
    rows_before: Map | None = None  # the rows without its changes, which are not confirmed yet


class Reconfiguration(NamedTuple):
    """A change of the replica set that this member leads.

    >>> Reconfiguration('c', ReplicaSet(2, 1, 'a', 'c'), 'fill').stage
    'fill'
    """

    joiner: str
    replica_set: ReplicaSet
    stage: str
    keys: tuple = ()
    snapshot: Map = Map()
    position: int = 0  # how many of the keys have been sent
    sent_seq: int = 0  # the joiner has the changes up to this sequence number
    sent_at: datetime | None = None
    request_pending: bool = False
    fill_id: tuple = ()  # the leader, and the number of its fill


class Transfer(NamedTuple):
    """A transfer of all rows between two members of one replica set, used where the log of the one that is
    ahead no longer reaches back to the one that is behind. The receiver replaces its rows only once it has
    all of them, in one write.

    >>> len(Transfer('b', 7).snapshot)
    0
    """

    peer: str
    seq: int  # the sequence number of these rows
    snapshot: Map = Map()  # the sender's rows; at the receiver those that have arrived
    keys: tuple = ()  # at the sender: all keys in order
    position: int = 0  # how many rows the receiver has


class Copy(NamedTuple):
    """One member's copy of one partition.

    >>> Copy('p00').seq
    0
    """

    partition: str
    replica_set: ReplicaSet | None = None
    seq: int = 0  # the sequence number of the last change in its rows
    sealed: bool = False  # it confirms nothing under its epoch any more
    has_all_rows: bool = False  # it holds all rows up to `seq`, not a part of a snapshot
    joining_epoch: int = 0  # as joiner: the epoch that it is being brought up for
    rows: Map = Map()
    log: tuple = ()  # the latest changes, with their sequence numbers
    ready: bool = False  # as primary: it runs commands
    session: int = 0
    batch: Batch | None = None
    queue: tuple = ()
    reconfiguration: Reconfiguration | None = None
    caught_up: bool = False  # as joiner: it holds every change acknowledged before `joining_epoch`
    fill_id: tuple = ()  # as joiner: the fill that it accepts
    rows_received: int = 0  # as joiner: how many rows of the snapshot have arrived
    last_heard: datetime | None = None  # when the most silent other member was last heard from
    confirmed_at: Map = Map()  # as primary: backup -> when it last confirmed
    backup_positions: Map = Map()  # as primary, before it serves: backup -> (seq, log)
    hello_sent_at: datetime | None = None
    syncing_session: int = 0  # as primary: the session that has begun to sync all that this copy holds
    synced_session: int = 0  # as primary: the session in which all that this copy holds is synced
    transfer: Transfer | None = None


class State(NamedTuple):
    """All copies of one member.

    >>> len(State('a').partitions)
    0
    """

    me: str
    partitions: Map = Map()
    last_number: int = 1  # the last number given to a session, batch or fill
    heartbeats: bool = False


class Op(NamedTuple):
    """Run a command on a partition whose primary is this member.

    >>> Op('p00', ('t',), {'op': 'read'}).partition
    'p00'
    """

    partition: str
    tag: tuple
    command: dict


class StartReconfiguration(NamedTuple):
    """Lead a reconfiguration: bring `joiner` up and propose `replica_set`.

    >>> StartReconfiguration('p00', 'c', ReplicaSet(2, 1, 'a', 'c')).joiner
    'c'
    """

    partition: str
    joiner: str
    replica_set: ReplicaSet


class Grant(NamedTuple):
    """The authority has granted this replica set.

    >>> Grant('p00', ReplicaSet(1, 0, 'a', 'b')).replica_set.epoch
    1
    """

    partition: str
    replica_set: ReplicaSet


class CancelReconfiguration(NamedTuple):
    """Give up a reconfiguration that this member leads, unless it is sealed.

    >>> CancelReconfiguration('p00').partition
    'p00'
    """

    partition: str
