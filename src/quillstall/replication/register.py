"""The lease quorum: the newest generation of the policy, kept by the stores for when no core is reachable.

Each registered store keeps a record on its disk: the newest generation, whole, and the register, which is
the list of stores that count. A routing node that the core does not answer asks the registered stores; the
replies of a majority renew its lease, and it takes the newest record among them. The core acknowledges a
generation only when a majority has it and every lease granted under an older one has expired. While the
register changes, majorities of the old and of the new one are needed.
"""

from collections.abc import Iterable
from datetime import timedelta
from typing import Any, NamedTuple

# used unless the settings name a shorter one; counted from the time when the holder asked for it
DEFAULT_LEASE = timedelta(milliseconds=2500)
GRANTED_LEASE_FACTOR = 1.02  # by which the grantor waits longer: clocks may differ in rate by one per cent
ANY_NODE = '*'  # any routing node whose lease a store may have renewed before its last start
EMPTY_REGISTER = {'number': 0, 'now': {}, 'old': {}}


class QuorumRecord(NamedTuple):
    """What one store keeps for the lease quorum: a generation of the policy, and the quorum's members.

    >>> QuorumRecord().version
    (0, 0)
    """

    generation: int = 0
    number: int = 0  # the version of the members
    epoch: int = 0
    policy: dict | None = None
    leaving: tuple = ()
    members: dict = {}  # the registered stores: name -> address
    previous_members: dict = {}  # those before the change that is under way; empty otherwise
    routing_nodes: int = 1  # how many routing nodes there were

    @property
    def version(self) -> tuple[int, int]:
        return self.generation, self.number


def decode_record(row: Any) -> QuorumRecord:
    """Return a record decoded from the disk or the wire.

    >>> decode_record(list(QuorumRecord(3, 1))) == QuorumRecord(3, 1), decode_record(None) == QuorumRecord()
    (True, True)
    """
    if not row:
        return QuorumRecord()
    record = QuorumRecord(*row)
    return record._replace(leaving=tuple(record.leaving))


def is_majority(names: Iterable[str], members: dict, previous: dict) -> bool:
    """Return whether these stores are a majority of the members, and of the previous ones while those count.

    >>> members, previous = {'a': '', 'b': '', 'd': ''}, {'a': '', 'b': '', 'c': ''}
    >>> is_majority(['a', 'b'], members, previous), is_majority(['a', 'd'], members, previous), is_majority([], {}, {})
    (True, False, True)
    """
    present = set(names)
    return all(len(present & set(each)) * 2 > len(each) for each in (members, previous) if each)


def intersects_majorities(names: Iterable[str], members: dict, previous: dict) -> bool:
    """Return whether every majority of the members, and of the previous ones while those count, includes one
    of these stores, so that whoever asks a majority finds what they all know. With an odd number of members
    that takes a majority; with an even number half is enough, so that one of two stores may be lost.

    >>> three, two = {'a': '', 'b': '', 'c': ''}, {'a': '', 'b': ''}
    >>> intersects_majorities(['a'], three, {}), intersects_majorities(['a', 'b'], three, {}), intersects_majorities(['a'], two, {}), intersects_majorities([], two, {})
    (False, True, True, False)
    """
    present = set(names)
    return all(len(set(each) - present) * 2 <= len(each) for each in (members, previous) if each)


def with_update(record: QuorumRecord, update: dict) -> QuorumRecord:
    """Return the record with an update from the core applied. Nothing in it goes back to an older version.

    >>> record = with_update(QuorumRecord(2, 1), {'generation': 3, 'epoch': 1, 'policy': {}, 'leaving': []}); record.version
    (3, 1)
    >>> with_update(record, {'generation': 2, 'epoch': 1, 'policy': {'x': 1}, 'leaving': []}) == record
    True
    """
    if update['epoch'] < record.epoch:
        return record
    if 'policy' in update and update['generation'] > record.generation:
        record = record._replace(
            generation=update['generation'],
            policy=update['policy'],
            leaving=tuple(update['leaving']),
            epoch=update['epoch'],
        )
    register = update.get('register')
    if register and register['number'] > record.number:
        record = record._replace(
            number=register['number'],
            members=register['now'],
            previous_members=register['old'],
            epoch=update['epoch'],
        )
    return record


def read_quorum(known: dict, records: dict[str, QuorumRecord]) -> tuple[dict, QuorumRecord | None]:
    """Return the newest register that the records of the answering stores show, and the newest record, or
    None if no majority of that register has answered. `known` is the register that the caller had.

    >>> known = {'number': 1, 'now': {'a': '', 'b': '', 'c': ''}, 'old': {}}
    >>> behind, newest = QuorumRecord(4, 1, members=known['now']), QuorumRecord(5, 1, members=known['now'])
    >>> read_quorum(known, {'a': behind})[1], read_quorum(known, {'a': behind, 'b': newest})[1].generation
    (None, 5)
    >>> ahead = QuorumRecord(5, 2, members={'a': '', 'd': '', 'e': ''}, previous_members=known['now'])
    >>> read_quorum(known, {'a': ahead, 'b': behind})[1] is None
    True
    """
    records = {name: record for name, record in records.items() if record.number}
    for record in records.values():
        if record.number > known['number']:
            known = {'number': record.number, 'now': record.members, 'old': record.previous_members}
    if not known['now'] or not is_majority(records, known['now'], known['old']):
        return known, None
    return known, max(records.values(), key=lambda record: record.version)
