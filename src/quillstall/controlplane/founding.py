"""Ballots among the seeds that choose the founding record of a fleet, as in single-decree Paxos.

Each seed is an acceptor; it stores what it has promised and accepted before it says so. A round needs a quorum of
the seeds that never had a fleet: either a majority of seeds that are in their first start, or all seeds. A seed
that has lost its disk is no longer in its first start, so two majorities share an acceptor that remembers. All
seeds at once can have forgotten a fleet only if more disks were lost than the fleet had to bear.
"""

from collections.abc import Mapping
from typing import Any, NamedTuple

from immutables import Map

from quillstall.runtime.disk import Put

MEMBERS_LEAST = 2  # a fleet of one core could lose all it has with one disk
SEEDS_ROW = 'founding'  # the seeds of a first start
ACCEPTOR_ROW = 'formation'


class Acceptor(NamedTuple):
    """What one seed has promised and accepted.

    >>> Acceptor().promised
    0
    """

    promised: int = 0
    accepted_round: int = 0
    fleet: dict | None = None  # the founding record that was accepted in that round


class Promise(NamedTuple):
    """What a seed has said in a round.

    >>> Promise('c1', 'z1', True).fleet is None
    True
    """

    name: str
    zone: str
    first_start: bool
    accepted_round: int = 0
    fleet: dict | None = None


class Round(NamedTuple):
    """A proposer's round.

    >>> Round(4).replies
    immutables.Map({})
    """

    number: int
    expected: frozenset = frozenset()  # seeds that were asked
    since: Any = None
    promises: Map = Map()  # address of a seed -> Promise
    fleet: dict | None = None  # proposed once enough seeds have promised
    accepted_by: Map = Map()  # address of a seed -> whether it is in its first start

    @property
    def replies(self) -> Map:
        """Which seeds have agreed in the current stage, and whether each is in its first start."""
        if self.fleet is not None:
            return self.accepted_by
        return Map({address: promise.first_start for address, promise in self.promises.items()})


def load_acceptor(rows: Mapping[str, Any]) -> Acceptor:
    """Return the acceptor from its stored row.

    >>> load_acceptor({'formation': [4, 3, {'id': 'f'}]}).accepted_round
    3
    """
    return Acceptor(*(rows.get(ACCEPTOR_ROW) or ()))


def first_start_rows(startup: Mapping[str, Any]) -> tuple[Put, ...]:
    """Return the rows that keep the right to found a fleet over a restart; none unless this is a first start.

    >>> first_start_rows({'founding': True, 'role': 'core', 'seeds': ['127.0.0.1:1']})[0].value
    ['127.0.0.1:1']
    >>> first_start_rows({'role': 'core', 'seeds': ['127.0.0.1:1']})
    ()
    >>> first_start_rows({'role': 'core', 'seeds': ['127.0.0.1:1'], 'recorded_seeds': ['127.0.0.1:2']})[0].value
    ['127.0.0.1:2']
    """
    if startup['role'] != 'core':
        return ()
    seeds = startup.get('recorded_seeds') or (startup['seeds'] if startup.get('founding') else None)
    return (Put('', SEEDS_ROW, list(seeds)),) if seeds else ()


def fleet_rows(fleet: dict) -> tuple[Put, ...]:
    """Return the rows that make a process a member of a fleet; what belongs to its formation is deleted."""
    return (Put('', 'fleet', fleet), Put('', ACCEPTOR_ROW, None), Put('', SEEDS_ROW, None))


def vote(acceptor: Acceptor, message: Mapping[str, Any]) -> tuple[Acceptor, bool]:
    """Return the acceptor after a message of a proposer, and whether it agrees.

    >>> acceptor, agrees = vote(Acceptor(), {'k': 'formation_prepare', 'round': 3}); acceptor.promised, agrees
    (3, True)
    >>> vote(acceptor, {'k': 'formation_prepare', 'round': 3})[1]
    False
    >>> vote(acceptor, {'k': 'formation_accept', 'round': 3, 'fleet': {'id': 'f'}})[0].fleet
    {'id': 'f'}
    >>> vote(acceptor, {'k': 'formation_accept', 'round': 2, 'fleet': {'id': 'g'}})[1]
    False
    """
    number = message['round']
    if message['k'] == 'formation_prepare':
        return (acceptor._replace(promised=number), True) if number > acceptor.promised else (acceptor, False)
    if number < acceptor.promised:
        return acceptor, False
    return Acceptor(number, number, message['fleet']), True


def acceptor_row(acceptor: Acceptor) -> Put:
    """Return the row that stores an acceptor: `acceptor_row(Acceptor(3))`."""
    return Put('', ACCEPTOR_ROW, list(acceptor))


def is_quorum(seeds: tuple, replies: Mapping[str, bool], tolerated_losses: int) -> bool:
    """Return whether these seeds may decide, given which of them are in their first start.

    >>> seeds = ('a', 'b', 'c')
    >>> is_quorum(seeds, {'a': True, 'b': True}, 1), is_quorum(seeds, {'a': True, 'b': False}, 1)
    (True, False)
    >>> is_quorum(seeds, {'a': True, 'b': False, 'c': False}, 1), is_quorum(seeds, dict.fromkeys(seeds, False), 3)
    (True, False)
    """
    if len(replies) < MEMBERS_LEAST:
        return False
    in_first_start = sum(1 for first_start in replies.values() if first_start)
    return in_first_start * 2 > len(seeds) or (len(replies) == len(seeds) and tolerated_losses < len(seeds))


def next_round(seeds: tuple, address: str, highest: int) -> int:
    """Return a round above `highest` that no seed at another address begins.

    >>> next_round(('a', 'b', 'c'), 'b', 0), next_round(('a', 'b', 'c'), 'b', 4), next_round(('a', 'b', 'c'), 'c', 4)
    (4, 7, 8)
    """
    return (highest // len(seeds) + 1) * len(seeds) + sorted(seeds).index(address)


def newest_accepted(promises: Map) -> dict | None:
    """Return the founding record that was accepted in the latest round, as far as these seeds know.

    >>> old, new = Promise('a', 'z', True, 3, {'id': 'f'}), Promise('b', 'z', True, 4, {'id': 'g'})
    >>> newest_accepted(Map({'1': old, '2': new, '3': Promise('c', 'z', True)}))['id']
    'g'
    """
    accepted = [promise for promise in promises.values() if promise.fleet is not None]
    return max(accepted, key=lambda promise: promise.accepted_round).fleet if accepted else None
