"""Ballots: who may take a vacant seat, decided by a majority of witnesses that keep only epochs.

A witness remembers, durably and before it says so, the highest epoch it has promised, the last seat
it has accepted, and the epoch of the round that it accepted it in. A candidate first asks for ballots
for a new epoch; from a majority's returns it learns the newest seat that may have been granted. If that
is the seat it sits in, and it holds all its data, it goes on: it brings a partner up (a move, see
group.py) and then asks the majority to accept. If it is a newer one, a minority may have accepted it
and no majority ever: it counts as granted only after the candidate has had a majority accept it in this
round. Any two majorities share a witness, so two rivals cannot both be granted, and no grant is missed.
"""

from collections.abc import Callable
from datetime import datetime, timedelta
from typing import Any, NamedTuple

from quillstall.replication.group import Grant, Halt, Move, Seat
from quillstall.runtime.disk import Put
from quillstall.runtime.effect import Ask, Heard, Note, Return, Told, Write, Wrote

KINDS = ('ballot', 'accept')
LIMIT = timedelta(milliseconds=2500)


class Witness(NamedTuple):
    """What one witness remembers, and the returns that wait for its disk.

    >>> Witness().promised
    0
    """

    promised: int = 0
    seat: tuple | None = None
    crew: tuple | None = None  # the witnesses that go with that seat: (name, address)
    accepted: int = 0  # the epoch of the round in which it accepted that seat


class Campaign(NamedTuple):
    """One candidate's round of ballots.

    >>> Campaign().stage
    'idle'
    """

    stage: str = 'idle'
    epoch: int = 0
    seen: int = 0
    yes: tuple = ()
    best: tuple | None = (
        None  # the seat that was accepted in the latest round, of those that came with ballots
    )
    best_crew: tuple | None = None
    best_epoch: int = 0  # the epoch of that round
    seat: tuple | None = None
    crew: tuple | None = None  # the witnesses to be, if this round changes them
    members: tuple | None = None  # who is to sit, the primary first, if the cause asks for them
    since: datetime | None = None
    rest: datetime | None = None
    losses: int = 0


def load(rows: dict) -> Witness:
    """What the disk held of a witness.

    >>> load({'witness': [4, [4, 3, 'a', 'b'], None]}).promised
    4
    """
    promised, seat, crew, *accepted = rows.get('witness') or (0, None, None)
    epoch = accepted[0] if accepted else (seat or (0,))[0]  # older files: each in its own seat's round
    return Witness(promised, tuple(seat) if seat else None, tuples(crew), epoch)


def save(witness: Witness) -> Put:
    """The row that keeps a witness: `save(Witness(3))`."""
    seat = list(witness.seat) if witness.seat else None
    return Put('', 'witness', [witness.promised, seat, witness.crew, witness.accepted])


def tuples(crew: Any) -> tuple | None:
    """A crew as it came over the wire.

    >>> tuples([['a', '1:1']])
    (('a', '1:1'),)
    """
    return tuple((n, a) for n, a in crew) if crew else None


def most(names: tuple, crews: tuple) -> bool:
    """Whether these are a majority of each crew: while witnesses change, both the old and the new.

    >>> old, new = (('a', ''), ('b', ''), ('c', '')), (('a', ''), ('b', ''), ('d', ''))
    >>> most(('a', 'b'), (old, new)), most(('a', 'c'), (old, new))
    (True, False)
    """
    return all(sum(1 for n, _ in crew if n in names) * 2 > len(crew) for crew in crews)


def everyone(crews: tuple) -> tuple:
    """The names of all crews, each once.

    >>> everyone(((('a', ''), ('b', '')), (('b', ''),)))
    ('a', 'b')
    """
    return tuple(dict.fromkeys(n for crew in crews for n, _ in crew))


def cast(witness: Witness, told: Told) -> tuple[Witness, tuple]:
    """A witness's word on one message. A yes goes out only after its Write.

    >>> w, e = cast(Witness(), Told(1, {'k': 'ballot', 'epoch': 2}))
    >>> w.promised, type(e[0]).__name__
    (2, 'Write')
    >>> w, e = cast(w, Told(2, {'k': 'ballot', 'epoch': 2})); e[0].ret['ok']
    False
    >>> w, e = cast(w, Told(3, {'k': 'accept', 'epoch': 1, 'seat': [1, 0, 'a', 'b'], 'crew': None})); e[0].ret['ok']
    False
    >>> w, e = cast(w, Told(3, {'k': 'accept', 'epoch': 2, 'seat': [2, 0, 'a', 'b'], 'crew': None})); w.seat
    (2, 0, 'a', 'b')
    """
    m = told.message
    epoch = m['epoch']
    yes = epoch > witness.promised if m['k'] == 'ballot' else epoch >= witness.promised
    ret = {
        'ok': yes,
        'promised': max(witness.promised, epoch) if yes else witness.promised,
        'seat': list(witness.seat) if witness.seat else None,
        'crew': witness.crew,
        'accepted': witness.accepted,
    }
    if not yes:
        return witness, (Return(told.call, ret),)
    witness = witness._replace(promised=epoch)
    if m['k'] == 'accept':
        witness = witness._replace(seat=tuple(m['seat']), crew=tuples(m['crew']), accepted=epoch)
    return witness, (Write((save(witness),), ('w', told.call, ret)),)


def wrote(event: Wrote) -> tuple:
    """The yes that waited for the disk.

    >>> wrote(Wrote(('w', 7, {'ok': True})))[0].call
    7
    """
    return (Return(event.tag[1], event.tag[2]),)


def begin(
    run: Campaign,
    me: str,
    crews: tuple,
    now: datetime,
    cause: str,
    crew: tuple | None = None,
    members: tuple | None = None,
) -> tuple[Campaign, tuple]:
    """Ask every witness for its ballot for the next epoch. `crew` and `members` are what the round is to
    bring, if it is held to change the witnesses or the seat.

    >>> from datetime import UTC
    >>> t = datetime(2026, 1, 1, tzinfo=UTC)
    >>> crew = (('a', ''), ('b', ''), ('c', ''))
    >>> run, e = begin(Campaign(seen=4), 'a', (crew,), t, 'silent')
    >>> run.epoch, len([x for x in e if isinstance(x, Ask)])
    (5, 3)
    """
    epoch = run.seen + 1
    run = Campaign('ask', epoch, epoch, crew=crew, members=members, since=now, losses=run.losses)
    asks = tuple(
        Ask(w, {'k': 'ballot', 'epoch': epoch, 'by': me}, ('b', epoch, 'ask', w)) for w in everyone(crews)
    )
    return run, (Note('ballots', {'epoch': epoch, 'cause': cause}),) + asks


def heard(
    run: Campaign,
    event: Heard,
    me: str,
    crews: tuple,
    own: Seat | None,
    choose: Callable[[tuple], tuple | None],
    now: datetime,
) -> tuple[Campaign, tuple, tuple]:
    """Count a ballot. Gives the campaign, the effects, and events for the group. `choose` names the members
    of the seat to be, the primary first, from those whose ballots came.

    >>> from datetime import UTC
    >>> t = datetime(2026, 1, 1, tzinfo=UTC)
    >>> own, crews = Seat(1, 0, 'p', 'a'), ((('p', ''), ('a', ''), ('c', '')),)
    >>> run, _ = begin(Campaign(seen=1), 'a', crews, t, 'silent')
    >>> yes = {'ok': True, 'promised': 2, 'seat': [1, 0, 'p', 'a'], 'crew': None, 'accepted': 1}
    >>> pick = lambda yes: ('a', 'c')
    >>> run, e, g = heard(run, Heard(('b', 2, 'ask', 'a'), yes), 'a', crews, own, pick, t)
    >>> run, e, g = heard(run, Heard(('b', 2, 'ask', 'c'), yes), 'a', crews, own, pick, t)
    >>> run.stage, g[0].joiner, g[0].seat
    ('move', 'c', (2, 1, 'a', 'c'))
    """
    _, epoch, kind, who = event.tag
    ret = event.ret
    if ret is None or 'fault' in ret or epoch != run.epoch or run.stage != kind:
        return run, (), ()
    run = run._replace(seen=max(run.seen, ret['promised']))
    if not ret['ok']:  # what this one witness has accepted need not have been granted
        return lose(run, now), (), ()
    if ret.get('seat') and ret['accepted'] > run.best_epoch:
        run = run._replace(best=tuple(ret['seat']), best_crew=tuples(ret['crew']), best_epoch=ret['accepted'])
    if who not in run.yes:
        run = run._replace(yes=run.yes + (who,))
    if not most(run.yes, crews):
        return run, (), ()
    if kind == 'ask':
        if run.best and (own is None or run.best[0] > own.epoch):
            return *ask_accept(run, run.best, run.best_crew, crews, now), ()
        if own is None:
            return lose(run, now), (), ()
        members = run.members or choose(run.yes)
        if not members:
            return lose(run, now), (), ()
        seat = Seat(run.epoch, own.epoch, *members)
        joiner = next((m for m in members if not own.holds(m)), members[-1])
        return (
            run._replace(stage='move', yes=(), seat=tuple(seat), since=now),
            (),
            (Move('core', joiner, seat),),
        )
    seat = Seat(*run.seat)
    return (
        Campaign('won', run.epoch, run.seen, seat=run.seat, crew=run.crew, since=now),
        (
            Note(
                'elected',
                {
                    'epoch': seat.epoch,
                    'primary': seat.primary,
                    'backups': list(seat.backups),
                    'ballots': list(run.yes),
                },
            ),
        ),
        (Grant('core', seat),),
    )


def propose(run: Campaign, seat: tuple, crews: tuple, crew: tuple, now: datetime) -> tuple[Campaign, tuple]:
    """The partner is up: ask the witnesses to accept the seat, and the crew that goes with it.

    >>> crew = (('a', ''), ('b', ''), ('c', ''))
    >>> run, e = propose(Campaign('move', 2), (2, 1, 'a', 'c'), (crew,), crew, None)
    >>> run.stage, e[0].message['k']
    ('accept', 'accept')
    """
    if run.stage != 'move' or run.epoch != seat[0]:
        return run, ()
    return ask_accept(run, seat, crew, crews, now)


def ask_accept(
    run: Campaign, seat: tuple, crew: tuple | None, crews: tuple, now: datetime
) -> tuple[Campaign, tuple]:
    """Ask every witness to accept a seat in this round: a new one, or one that an earlier round left open.

    >>> run, e = ask_accept(Campaign('ask', 4), (2, 1, 'a', 'c'), None, ((('a', ''),),), None)
    >>> e[0].message['epoch'], e[0].message['seat']
    (4, [2, 1, 'a', 'c'])
    """
    run = run._replace(stage='accept', yes=(), seat=seat, crew=crew, since=now)
    message = {'k': 'accept', 'epoch': run.epoch, 'seat': list(seat), 'crew': crew}
    return run, tuple(Ask(w, message, ('b', run.epoch, 'accept', w)) for w in everyone(crews))


def lose(run: Campaign, now: datetime) -> Campaign:
    """Rest before the next round; the caller adds a random part.

    >>> lose(Campaign('ask', 3, 5), None).stage
    'idle'
    """
    return Campaign(seen=run.seen, rest=now, losses=run.losses + 1)


def tick(run: Campaign, now: datetime) -> tuple[Campaign, tuple]:
    """Give up a round that takes too long.

    >>> tick(Campaign(), None)[0].stage
    'idle'
    """
    if run.stage != 'idle' and now - run.since > LIMIT:
        return lose(run, now), (Halt('core'),)
    return run, ()
