"""Ballots that decide the replica set of the core's own partition, by a majority of its voters as in Paxos.

Each voter is an acceptor. It stores, before it replies, the highest epoch it has promised, the last replica
set it has accepted, and the epoch of the round in which it accepted it. A candidate first asks for ballots
for a new epoch; the replies of a majority show the newest replica set that may have been granted. If that
is the candidate's own, and it holds all its data, it brings a joiner up (a reconfiguration, see group.py)
and then asks the majority to accept the new one. If it is a newer one, perhaps only a minority has accepted
it: it counts as granted only after the candidate has had a majority accept it in this round. Any two
majorities share an acceptor, so two rivals cannot both be granted, and no grant is missed.
"""

from collections.abc import Callable
from datetime import datetime, timedelta
from typing import Any, NamedTuple

from quillstall.replication.copies import CancelReconfiguration, Grant, ReplicaSet, StartReconfiguration
from quillstall.runtime.disk import Put
from quillstall.runtime.effect import Ask, Heard, Note, Return, Told, Write, Wrote

KINDS = ('ballot', 'accept')
ROUND_TIMEOUT = timedelta(milliseconds=2500)


class Acceptor(NamedTuple):
    """What one acceptor has stored.

    >>> Acceptor().promised
    0
    """

    promised: int = 0
    replica_set: tuple | None = None
    voters: tuple | None = None  # the voters that were accepted with it: (name, address)
    accepted_epoch: int = 0  # the epoch of the round in which it accepted them


class Campaign(NamedTuple):
    """A candidate's round of ballots.

    >>> Campaign().stage
    'idle'
    """

    stage: str = 'idle'
    epoch: int = 0
    highest_epoch: int = 0  # the highest epoch that a voter has promised, as far as is known
    granted_by: tuple = ()  # the voters that have agreed in this stage
    # of the replica sets that came with the ballots, the one accepted in the latest round
    newest_set: tuple | None = None
    newest_voters: tuple | None = None  # the voters accepted with it
    newest_round: int = 0  # the epoch of that round
    replica_set: tuple | None = None
    voters: tuple | None = None  # the new voters, if this round changes them
    members: tuple | None = None  # the new replica set, the primary first, if the caller has chosen it
    stage_started: datetime | None = None
    failed_at: datetime | None = None
    failed_rounds: int = 0


def load(rows: dict) -> Acceptor:
    """Return the acceptor from its stored row.

    >>> load({'witness': [4, [4, 3, 'a', 'b'], None]}).promised
    4
    """
    promised, replica_set, voters, *accepted = rows.get('witness') or (0, None, None)
    # rows of older versions don't hold the round: it was the replica set's own epoch
    accepted_epoch = accepted[0] if accepted else (replica_set or (0,))[0]
    return Acceptor(
        promised, tuple(replica_set) if replica_set else None, decode_voters(voters), accepted_epoch
    )


def acceptor_row(acceptor: Acceptor) -> Put:
    """Return the row that stores an acceptor: `acceptor_row(Acceptor(3))`."""
    replica_set = list(acceptor.replica_set) if acceptor.replica_set else None
    return Put('', 'witness', [acceptor.promised, replica_set, acceptor.voters, acceptor.accepted_epoch])


def decode_voters(voters: Any) -> tuple | None:
    """Return voters decoded from the wire or from the disk.

    >>> decode_voters([['a', '1:1']])
    (('a', '1:1'),)
    """
    return tuple((name, address) for name, address in voters) if voters else None


def is_majority(names: tuple, configurations: tuple) -> bool:
    """Return whether these names are a majority of each configuration: two of them while voters change.

    >>> old, new = (('a', ''), ('b', ''), ('c', '')), (('a', ''), ('b', ''), ('d', ''))
    >>> is_majority(('a', 'b'), (old, new)), is_majority(('a', 'c'), (old, new))
    (True, False)
    """
    return all(sum(1 for name, _ in voters if name in names) * 2 > len(voters) for voters in configurations)


def voter_names(configurations: tuple) -> tuple:
    """Return the names of all voters, each once.

    >>> voter_names(((('a', ''), ('b', '')), (('b', ''),)))
    ('a', 'b')
    """
    return tuple(dict.fromkeys(name for voters in configurations for name, _ in voters))


def vote(acceptor: Acceptor, told: Told) -> tuple[Acceptor, tuple]:
    """Return the acceptor and the effects after a message. It agrees only once its row is written.

    >>> acceptor, effects = vote(Acceptor(), Told(1, {'k': 'ballot', 'epoch': 2}))
    >>> acceptor.promised, type(effects[0]).__name__
    (2, 'Write')
    >>> acceptor, effects = vote(acceptor, Told(2, {'k': 'ballot', 'epoch': 2})); effects[0].reply['ok']
    False
    >>> acceptor, effects = vote(acceptor, Told(3, {'k': 'accept', 'epoch': 1, 'seat': [1, 0, 'a', 'b'], 'crew': None})); effects[0].reply['ok']
    False
    >>> acceptor, effects = vote(acceptor, Told(3, {'k': 'accept', 'epoch': 2, 'seat': [2, 0, 'a', 'b'], 'crew': None})); acceptor.replica_set
    (2, 0, 'a', 'b')
    """
    message = told.message
    epoch = message['epoch']
    granted = epoch > acceptor.promised if message['k'] == 'ballot' else epoch >= acceptor.promised
    reply = {
        'ok': granted,
        'promised': max(acceptor.promised, epoch) if granted else acceptor.promised,
        'seat': list(acceptor.replica_set) if acceptor.replica_set else None,
        'crew': acceptor.voters,
        'accepted': acceptor.accepted_epoch,
    }
    if not granted:
        return acceptor, (Return(told.call, reply),)
    acceptor = acceptor._replace(promised=epoch)
    if message['k'] == 'accept':
        acceptor = acceptor._replace(
            replica_set=tuple(message['seat']), voters=decode_voters(message['crew']), accepted_epoch=epoch
        )
    return acceptor, (Write((acceptor_row(acceptor),), ('w', told.call, reply)),)


def reply_after_write(event: Wrote) -> tuple:
    """Return the reply that waited for the write.

    >>> reply_after_write(Wrote(('w', 7, {'ok': True})))[0].call
    7
    """
    return (Return(event.tag[1], event.tag[2]),)


def start_round(
    campaign: Campaign,
    me: str,
    configurations: tuple,
    now: datetime,
    cause: str,
    voters: tuple | None = None,
    members: tuple | None = None,
) -> tuple[Campaign, tuple]:
    """Ask every voter to promise the next epoch. `voters` and `members` are the outcome that the round
    shall have, if it is held to change the voters or the replica set.

    >>> from datetime import UTC
    >>> t = datetime(2026, 1, 1, tzinfo=UTC)
    >>> voters = (('a', ''), ('b', ''), ('c', ''))
    >>> campaign, effects = start_round(Campaign(highest_epoch=4), 'a', (voters,), t, 'silent')
    >>> campaign.epoch, len([x for x in effects if isinstance(x, Ask)])
    (5, 3)
    """
    epoch = campaign.highest_epoch + 1
    campaign = Campaign(
        'ask',
        epoch,
        epoch,
        voters=voters,
        members=members,
        stage_started=now,
        failed_rounds=campaign.failed_rounds,
    )
    requests = tuple(
        Ask(name, {'k': 'ballot', 'epoch': epoch, 'by': me}, ('b', epoch, 'ask', name))
        for name in voter_names(configurations)
    )
    return campaign, (Note('ballots', {'epoch': epoch, 'cause': cause}),) + requests


def handle_reply(
    campaign: Campaign,
    event: Heard,
    me: str,
    configurations: tuple,
    own_set: ReplicaSet | None,
    choose: Callable[[tuple], tuple | None],
    now: datetime,
) -> tuple[Campaign, tuple, tuple]:
    """Count a voter's reply. Return the campaign, the effects, and events for group.step. `choose` returns
    the members of the new replica set, the primary first, from the voters that have granted their ballots;
    None if it cannot.

    >>> from datetime import UTC
    >>> t = datetime(2026, 1, 1, tzinfo=UTC)
    >>> own_set, configurations = ReplicaSet(1, 0, 'p', 'a'), ((('p', ''), ('a', ''), ('c', '')),)
    >>> campaign, _ = start_round(Campaign(highest_epoch=1), 'a', configurations, t, 'silent')
    >>> yes = {'ok': True, 'promised': 2, 'seat': [1, 0, 'p', 'a'], 'crew': None, 'accepted': 1}
    >>> pick = lambda granted_by: ('a', 'c')
    >>> campaign, effects, events = handle_reply(campaign, Heard(('b', 2, 'ask', 'a'), yes), 'a', configurations, own_set, pick, t)
    >>> campaign, effects, events = handle_reply(campaign, Heard(('b', 2, 'ask', 'c'), yes), 'a', configurations, own_set, pick, t)
    >>> campaign.stage, events[0].joiner, events[0].replica_set
    ('move', 'c', (2, 1, 'a', 'c'))
    """
    _, epoch, stage, voter = event.tag
    reply = event.reply
    if reply is None or 'fault' in reply or epoch != campaign.epoch or campaign.stage != stage:
        return campaign, (), ()
    campaign = campaign._replace(highest_epoch=max(campaign.highest_epoch, reply['promised']))
    if not reply['ok']:  # what a single acceptor has accepted need not have been granted
        return fail_round(campaign, now), (), ()
    if reply.get('seat') and reply['accepted'] > campaign.newest_round:
        campaign = campaign._replace(
            newest_set=tuple(reply['seat']),
            newest_voters=decode_voters(reply['crew']),
            newest_round=reply['accepted'],
        )
    if voter not in campaign.granted_by:
        campaign = campaign._replace(granted_by=campaign.granted_by + (voter,))
    if not is_majority(campaign.granted_by, configurations):
        return campaign, (), ()
    if stage == 'ask':
        if campaign.newest_set and (own_set is None or campaign.newest_set[0] > own_set.epoch):
            return *request_accept(
                campaign, campaign.newest_set, campaign.newest_voters, configurations, now
            ), ()
        if own_set is None:
            return fail_round(campaign, now), (), ()
        members = campaign.members or choose(campaign.granted_by)
        if not members:
            return fail_round(campaign, now), (), ()
        replica_set = ReplicaSet(campaign.epoch, own_set.epoch, *members)
        joiner = next((name for name in members if not own_set.includes(name)), members[-1])
        return (
            campaign._replace(stage='move', granted_by=(), replica_set=tuple(replica_set), stage_started=now),
            (),
            (StartReconfiguration('core', joiner, replica_set),),
        )
    replica_set = ReplicaSet(*campaign.replica_set)
    return (
        Campaign(
            'won',
            campaign.epoch,
            campaign.highest_epoch,
            replica_set=campaign.replica_set,
            voters=campaign.voters,
            stage_started=now,
        ),
        (
            Note(
                'elected',
                {
                    'epoch': replica_set.epoch,
                    'primary': replica_set.primary,
                    'backups': list(replica_set.backups),
                    'ballots': list(campaign.granted_by),
                },
            ),
        ),
        (Grant('core', replica_set),),
    )


def propose(
    campaign: Campaign, replica_set: tuple, configurations: tuple, voters: tuple, now: datetime
) -> tuple[Campaign, tuple]:
    """The joiner is brought up: ask the voters to accept the replica set, and the voters that go with it.

    >>> voters = (('a', ''), ('b', ''), ('c', ''))
    >>> campaign, effects = propose(Campaign('move', 2), (2, 1, 'a', 'c'), (voters,), voters, None)
    >>> campaign.stage, effects[0].message['k']
    ('accept', 'accept')
    """
    if campaign.stage != 'move' or campaign.epoch != replica_set[0]:
        return campaign, ()
    return request_accept(campaign, replica_set, voters, configurations, now)


def request_accept(
    campaign: Campaign, replica_set: tuple, voters: tuple | None, configurations: tuple, now: datetime
) -> tuple[Campaign, tuple]:
    """Ask every voter to accept a new replica set, or one that an earlier round left undecided.

    >>> campaign, effects = request_accept(Campaign('ask', 4), (2, 1, 'a', 'c'), None, ((('a', ''),),), None)
    >>> effects[0].message['epoch'], effects[0].message['seat']
    (4, [2, 1, 'a', 'c'])
    """
    campaign = campaign._replace(
        stage='accept', granted_by=(), replica_set=replica_set, voters=voters, stage_started=now
    )
    message = {'k': 'accept', 'epoch': campaign.epoch, 'seat': list(replica_set), 'crew': voters}
    return campaign, tuple(
        Ask(name, message, ('b', campaign.epoch, 'accept', name)) for name in voter_names(configurations)
    )


def fail_round(campaign: Campaign, now: datetime) -> Campaign:
    """End the round without a result. The caller waits before the next one, with random jitter.

    >>> fail_round(Campaign('ask', 3, 5), None).stage
    'idle'
    """
    return Campaign(
        highest_epoch=campaign.highest_epoch, failed_at=now, failed_rounds=campaign.failed_rounds + 1
    )


def tick(campaign: Campaign, now: datetime) -> tuple[Campaign, tuple]:
    """Give up a round that has timed out.

    >>> tick(Campaign(), None)[0].stage
    'idle'
    """
    if campaign.stage != 'idle' and now - campaign.stage_started > ROUND_TIMEOUT:
        return fail_round(campaign, now), (CancelReconfiguration('core'),)
    return campaign, ()
