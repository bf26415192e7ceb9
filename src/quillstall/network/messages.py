"""The types of the messages between processes and of their replies, checked as they are decoded.

The field `k` names the kind of a message. At the address of a machine that is gone another program may answer, so a
reply that is not of the type that its message asks for counts as none, and a message of a wrong type is refused. Parts
that only the reducers read, such as rows of tables and policies, are checked for their container alone: a reducer that
cannot handle them changes nothing.
"""

import ipaddress
from functools import lru_cache
from typing import Annotated, Any, Literal, NotRequired, TypedDict

from quillstall.network.shapes import Check, compile_check
from quillstall.runtime.errors import CODES

MAX_DURATION_MS = 30 * 86_400_000
MAX_CACHED_ADDRESSES = 4096  # anybody may send texts that are no addresses
REPLICA_SET_MIN_ITEMS = 3  # the epoch, the previous epoch, the primary


@lru_cache(maxsize=MAX_CACHED_ADDRESSES)
def is_address(text: str) -> bool:
    """Return whether a text is an address: an IP number and a port.

    >>> is_address('127.0.0.1:7000'), is_address('nowhere'), is_address('127.0.0.1:99999')
    (True, False, False)
    """
    host, _, port = text.rpartition(':')
    try:
        ipaddress.ip_address(host)
    except ValueError:
        return False
    return port.isascii() and port.isdigit() and 0 < int(port) <= 65535


def is_duration(value: float) -> bool:
    """Return whether a number of milliseconds is a duration.

    >>> is_duration(5), is_duration(-1), is_duration(10**15)
    (True, False, False)
    """
    return 0 <= value <= MAX_DURATION_MS


def is_replica_set(row: list) -> bool:
    """Return whether a list is a replica set: epoch, previous epoch, primary, backups.

    >>> is_replica_set([2, 1, 'a', 'b']), is_replica_set([2, 1]), is_replica_set([2, 1, 'a', 5])
    (True, False, False)
    """
    epochs, names = row[:2], row[2:]
    return (
        len(row) >= REPLICA_SET_MIN_ITEMS
        and all(type(epoch) is int for epoch in epochs)
        and all(isinstance(name, str) for name in names)
    )


def is_voter(row: list) -> bool:
    """Return whether a list is a voter: its name and its address.

    >>> is_voter(['c1', '127.0.0.1:7000']), is_voter(['c1'])
    (True, False)
    """
    return len(row) == 2 and isinstance(row[1], str) and is_address(row[1])


def is_stalled_partition(row: list) -> bool:
    """Return whether a list is a stalled partition: its name, its epoch, the backups that it waits for.

    >>> is_stalled_partition(['p01', 3, ['s1']]), is_stalled_partition(['p01', 3])
    (True, False)
    """
    return (
        len(row) == 3 and isinstance(row[0], str) and type(row[1]) is int and isinstance(row[2], list | tuple)
    )


def is_numbered_change(row: list) -> bool:
    """Return whether a list is a numbered change of rows.

    >>> is_numbered_change([5, [['a', 2]]]), is_numbered_change([[], 5])
    (True, False)
    """
    return len(row) == 2 and type(row[0]) is int and isinstance(row[1], list | tuple)


def is_pair(row: list) -> bool:
    """Return whether a list has two items.

    >>> is_pair(['a', 1]), is_pair(['a'])
    (True, False)
    """
    return len(row) == 2


def is_plan(row: list) -> bool:
    """Return whether a list is a planned reconfiguration: the partition, its leader, the joiner, the replica set.

    >>> is_plan(['p01', 's1', 's2', [2, 1, 's1', 's2']]), is_plan(['p01'])
    (True, False)
    """
    return (
        len(row) == 4
        and isinstance(row[0], str)
        and isinstance(row[3], list | tuple)
        and is_replica_set(row[3])
    )


def is_quorum_record(row: list) -> bool:
    """Return whether a list holds the fields of a record of the lease quorum, as `register.QuorumRecord` has them.

    >>> is_quorum_record([4, 1, 2, None, [], {'s1': '127.0.0.1:1'}, {}, 1]), is_quorum_record([4])
    (True, False)
    """
    types = (int, int, int, dict | None, list | tuple, dict, dict, int)
    return len(row) == len(types) and all(map(isinstance, row, types))


Address = Annotated[str, is_address]
Milliseconds = Annotated[float, is_duration]
ReplicaSetRow = Annotated[list, is_replica_set]
Voters = list[Annotated[list, is_voter]]
NumberedChanges = list[Annotated[list, is_numbered_change]]
TableRows = list[Annotated[list, is_pair]]


class Register(TypedDict):
    """The stores that renew leases."""

    number: int
    now: dict[str, Address]
    old: dict[str, Address]


class FleetRecord(TypedDict):
    """The record of a fleet: its id, its voters, and the replica set of the core."""

    id: str
    witnesses: Voters
    epoch: int
    seat: ReplicaSetRow


class MoreOfFault(TypedDict, total=False):
    """The further fields of a fault that name where to ask instead."""

    at: Address | None
    seat: ReplicaSetRow | None


class FaultReply(TypedDict):
    """A fault in place of a reply."""

    fault: Annotated[str, lambda code: code in CODES]
    text: NotRequired[str | None]
    findings: NotRequired[TableRows | None]
    ran: NotRequired[str | None]
    wait_ms: NotRequired[Milliseconds | None]
    more: NotRequired[MoreOfFault | None]


class Listing(TypedDict, total=False):
    """A list of replicas, or a summary of one, with its age."""

    age_ms: Milliseconds
    digest: str
    pools: dict[str, dict]


# ---- messages


class ReportedFacts(TypedDict, total=False):
    """What a process reports for operators."""

    clock: float
    http: str | None
    down: list[str]
    used: dict[str, int]
    program_failures: int


class ProbeReport(TypedDict):
    """The result of a probe."""

    well: bool


class PollMessage(TypedDict):
    """The poll of a routing node or a store."""

    node: str
    role: Literal['route', 'store']
    address: Address
    zone: str
    inc: int
    generation: int
    place: int
    number: NotRequired[int]
    pressure: NotRequired[dict[str, float] | None]
    has: NotRequired[dict[str, Annotated[list, is_pair]] | None]
    stuck: NotRequired[list[Annotated[list, is_stalled_partition]] | None]
    facts: NotRequired[ReportedFacts | None]
    suspects: NotRequired[list[str] | None]
    doubts: NotRequired[list[str] | None]
    reports: NotRequired[dict[str, ProbeReport] | None]
    renewed: NotRequired[list[list] | None]
    listing: NotRequired[Listing | None]
    failing: NotRequired[dict[str, Milliseconds] | None]
    serving: NotRequired[dict[str, Milliseconds] | None]
    outcomes: NotRequired[dict[str, Annotated[list[float], is_pair]] | None]


class GreetMessage(TypedDict):
    """Where the fleet is, told to a process that may have lost it."""

    fleet: str
    core: Annotated[list[Address], bool]
    register: Register


class FleetMessage(TypedDict):
    """A newer record of the fleet."""

    fleet: FleetRecord
    seat: NotRequired[ReplicaSetRow | None]


class FormMessage(TypedDict):
    """A founding record, sent to its voters."""

    fleet: FleetRecord


class RelayMessage(TypedDict):
    """A poll that is to be passed on to the core."""

    message: PollMessage


class RenewMessage(TypedDict):
    """A routing node asks for a renewal of its lease."""

    node: str
    generation: int
    number: int
    place: int


class OperationMessage(TypedDict):
    """A command for a partition."""

    part: str
    command: dict[str, Any]


class ReplicaSetMessage(TypedDict):
    """A message from a primary to a backup."""

    part: str
    seat: ReplicaSetRow
    session: int
    quiet: NotRequired[float]


class FrameMessage(ReplicaSetMessage):
    """A batch of changes."""

    first: int
    changes: NumberedChanges


class RefillMessage(ReplicaSetMessage):
    """A piece of the primary's rows."""

    at: int
    seq: int
    rows: TableRows
    last: bool


class JoinerMessage(TypedDict):
    """A message of a reconfiguration to its joiner."""

    part: str
    base: int
    epoch: int
    source: list


class FillMessage(JoinerMessage):
    """A piece of a snapshot."""

    at: int
    last: bool
    seq: int
    rows: TableRows


class FollowMessage(JoinerMessage):
    """The changes since the snapshot."""

    first: int
    changes: NumberedChanges
    complete: bool


class BallotMessage(TypedDict):
    """A candidate asks for a promise."""

    epoch: int


class AcceptMessage(TypedDict):
    """A candidate asks for the acceptance of a replica set and of voters."""

    epoch: int
    seat: ReplicaSetRow
    crew: Voters | None


class AdmitMessage(TypedDict):
    """A core asks to be let in as a voter."""

    member: str
    address: Address
    zone: str


class FormationPrepareMessage(TypedDict):
    """A proposer asks for a promise."""

    round: int


class FormationAcceptMessage(TypedDict):
    """A proposer asks for the acceptance of a founding record."""

    round: int
    fleet: FleetRecord


class SeatMessage(TypedDict):
    """A store asks for the grant of a replica set."""

    part: str
    seat: ReplicaSetRow


class DutyMessage(TypedDict):
    """A candidate asks for a vote on the leadership of a task."""

    name: str
    by: str


# ---- replies


class Reply(TypedDict):
    """A reply that only says whether it was done."""

    ok: bool


class CoreUpdate(TypedDict):
    """The core's reply to a poll."""

    fleet: str
    epoch: int
    generation: int
    place: int
    lease_ms: Milliseconds
    core: Annotated[list[Address], bool]
    live: int
    policy: NotRequired[dict | None]
    policy_packed: NotRequired[bytes]
    leaving: NotRequired[list[str]]
    register: NotRequired[Register]
    seats: NotRequired[dict[str, ReplicaSetRow]]
    book: NotRequired[dict[str, Address]]
    known: NotRequired[list[Address]]
    listing: NotRequired[Listing]
    listing_seen: NotRequired[Listing]
    peers: NotRequired[dict[str, Address]]
    watched: NotRequired[list[str]]
    allot: NotRequired[dict[str, int]]
    doubts: NotRequired[list[str]]
    duty: NotRequired[str | None]
    reports: NotRequired[dict[str, bool]]
    failing: NotRequired[list[str]]
    shunned: NotRequired[list[str]]
    plans: NotRequired[list[Annotated[list, is_plan]]]


class Identity(TypedDict):
    """What a process says of itself and of the core."""

    me: str
    role: Literal['core', 'store', 'route']
    fleet: NotRequired[str | None]
    core: list[Address]
    at: NotRequired[Address | None]
    crew: NotRequired[FleetRecord | None]
    sure: NotRequired[ReplicaSetRow | None]


class Renewal(TypedDict):
    """A store's record, as a vote to renew a lease."""

    word: Annotated[list, is_quorum_record]
    lease_ms: Milliseconds
    fleet: str | None
    place: NotRequired[int]
    seats: NotRequired[dict[str, ReplicaSetRow]]
    book: NotRequired[dict[str, Address]]


class MemberReply(TypedDict):
    """The reply of a member of a partition; `no` says why not."""

    ok: bool
    no: NotRequired[str]
    seat: NotRequired[ReplicaSetRow | None]
    seq: NotRequired[int]
    tail: NotRequired[NumberedChanges]
    rows: NotRequired[TableRows]
    last: NotRequired[bool]


class BallotReply(TypedDict):
    """An acceptor's reply."""

    ok: bool
    promised: int
    seat: ReplicaSetRow | None
    crew: Voters | None
    accepted: NotRequired[int]


class FormationVote(TypedDict):
    """A seed's vote on a founding record; a seed that has a fleet says only that it does not agree."""

    ok: bool
    id: NotRequired[str]
    zone: NotRequired[str]
    first_start: NotRequired[bool]
    promised: NotRequired[int]
    accepted_round: NotRequired[int]
    fleet: NotRequired[FleetRecord | None]


class SeedAnswer(TypedDict):
    """A seed's answer to a core that looks for a fleet."""

    fleet: str | None
    record: NotRequired[FleetRecord | None]
    may_found: NotRequired[bool]
    first_start: NotRequired[bool]


class SeatReply(TypedDict):
    """The replica set that is in force."""

    ok: bool
    seat: ReplicaSetRow


class HandOverReply(TypedDict):
    """Whether a core that is to stop should wait."""

    wait: bool


class ChangeReply(TypedDict):
    """The generation that a change made."""

    generation: int
    version: NotRequired[int | None]


class Configuration(TypedDict):
    """The configuration as the primary has it."""

    generation: int
    policy_generation: int
    policy: dict | None
    source: Any
    status: dict


class ClaimReply(TypedDict):
    """The recorded state of a keyed operation."""

    state: Literal['fresh', 'begun', 'done', 'void']
    ret: NotRequired[Any]
    age_s: NotRequired[float]


class HistoryReply(TypedDict):
    """The data of the turns before a turn."""

    chain: list[bytes]


class ConversationReply(TypedDict):
    """The turns of a conversation."""

    history: list[list]
    conv: str


MESSAGES = {
    'poll': PollMessage,
    'greet': GreetMessage,
    'fleet': FleetMessage,
    'form': FormMessage,
    'relay': RelayMessage,
    'renew': RenewMessage,
    'op': OperationMessage,
    'hello': ReplicaSetMessage,
    'pull': ReplicaSetMessage,
    'frame': FrameMessage,
    'refill': RefillMessage,
    'fill': FillMessage,
    'follow': FollowMessage,
    'ballot': BallotMessage,
    'accept': AcceptMessage,
    'admit': AdmitMessage,
    'formation_prepare': FormationPrepareMessage,
    'formation_accept': FormationAcceptMessage,
    'seat': SeatMessage,
    'duty': DutyMessage,
}
REPLIES = {
    'poll': CoreUpdate,
    'who': Identity,
    'greet': Reply,
    'fleet': Reply,
    'form': Reply,
    'renew': Renewal,
    'hello': MemberReply,
    'pull': MemberReply,
    'frame': MemberReply,
    'refill': MemberReply,
    'fill': MemberReply,
    'follow': MemberReply,
    'ballot': BallotReply,
    'accept': BallotReply,
    'admit': Reply,
    'hail': SeedAnswer,
    'formation_prepare': FormationVote,
    'formation_accept': FormationVote,
    'seat': SeatReply,
    'duty': Reply,
    'hand_over': HandOverReply,
    'apply': ChangeReply,
    'leaving': ChangeReply,
    'show': Configuration,
}
REPLIES_BY_OPERATION = {
    'once_begin': ClaimReply,
    'turn_begin': HistoryReply,
    'turn_find': HistoryReply,
    'begin': ConversationReply,
}
MESSAGE_CHECKS: dict[str, Check] = {kind: compile_check(shape) for kind, shape in MESSAGES.items()}
REPLY_CHECKS: dict[str, Check] = {kind: compile_check(shape) for kind, shape in REPLIES.items()}
OPERATION_REPLY_CHECKS: dict[str, Check] = {
    operation: compile_check(shape) for operation, shape in REPLIES_BY_OPERATION.items()
}
is_fault = compile_check(FaultReply)
is_plain_reply = compile_check(Reply)


def is_message(message: dict) -> bool:
    """Return whether a message is of the type of its kind. Kinds without a type are left to their handlers.

    >>> is_message({'k': 'ballot', 'epoch': 3}), is_message({'k': 'ballot'}), is_message({'k': 'who'})
    (True, False, True)
    """
    kind = message.get('k')
    check = MESSAGE_CHECKS.get(kind) if isinstance(kind, str) else None
    return check is None or check(message)


def is_reply(message: dict, reply: dict) -> bool:
    """Return whether a reply is of the type that its message asks for, or a fault.

    >>> is_reply({'k': 'duty'}, {'ok': True}), is_reply({'k': 'duty'}, {}), is_reply({'k': 'duty'}, {'fault': 5})
    (True, False, False)
    >>> is_reply({'k': 'op', 'command': {'op': 'turn_find'}}, {'ok': True, 'chain': [b'hi']})
    True
    """
    if 'fault' in reply:
        return is_fault(reply)
    return reply_check(message)(reply)


def is_peer(reply: dict) -> bool:
    """Return whether a reply to 'who' comes from a process of this protocol: it says who it is, or sends a fault with
    all of its fields, as a process does that cannot answer now.

    >>> is_peer({'ok': True, 'me': 'c1', 'role': 'core', 'core': []}), is_peer({'ok': True}), is_peer({'fault': 'slow'})
    (True, False, False)
    """
    if 'fault' in reply:
        return is_fault(reply) and FaultReply.__annotations__.keys() <= reply.keys()
    return REPLY_CHECKS['who'](reply)


def reply_check(message: dict) -> Check:
    """Return the check of the replies to a message: `reply_check({'k': 'poll'})`."""
    kind = message.get('k')
    if kind == 'relay':
        return reply_check(message['message'])
    if kind == 'op':
        return OPERATION_REPLY_CHECKS.get(message['command'].get('op'), is_plain_reply)
    return REPLY_CHECKS.get(kind, lambda reply: True)
