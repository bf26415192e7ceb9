"""Group: one member's copies of replicated parts, as a reducer.

A part has a seat: an epoch, a primary and backups, given by an authority. The primary takes
commands in flights: the commands of one flight are run against the rows, and the flight is done
when its changes are synced here and every backup has confirmed, under the same epoch, that it has
synced them too. Only then does any command of the flight, reads included, get its return. So a
primary of which one backup has moved on to another epoch can return nothing. A seat without backups
needs nobody's word: nobody else holds what it holds, so nobody can lead the part away from it.

Within an epoch one member orders all changes, and every other copy holds a prefix of that order.
A seat is changed by a move, led by either seated member:
  fill    an image of the rows goes to the joiner, piece by piece,
  follow  then the changes since,
  seal    the leader durably stops confirming its epoch,
  last    the joiner gets what is left, and the word that this was all: it may then take the seat, and
          no message of this or of another leader changes its rows for that epoch any more,
  propose the authority is asked for the new seat.
Hence each member of a granted seat holds all that was ever returned for.
"""

from collections.abc import Callable
from datetime import datetime, timedelta
from typing import Any, NamedTuple

from immutables import Map

from quillstall.runtime.disk import Put
from quillstall.runtime.effect import (
    Ask,
    Count,
    Done,
    Heard,
    Note,
    Propose,
    Return,
    Tick,
    Told,
    Violated,
    Write,
    Wrote,
)
from quillstall.runtime.errors import Fault

KINDS = ('frame', 'hello', 'fill', 'follow', 'pull', 'refill')
IN_SEAT = ('frame', 'hello', 'pull', 'refill')  # between the members of one seat, under its epoch
IN_SESSION = ('frame', 'pull', 'refill')  # what only the primary's newest session may say
FILL_ROWS = 1000
FILL_BYTES = 512 * 1024
TAIL = 64
TRANSFER_LIMIT_MS = 2000
QUIET_MS = 900
BEAT = timedelta(milliseconds=300)
AGAIN = timedelta(milliseconds=200)

Apply = Callable[[str, Map, dict, datetime], tuple[tuple, dict]]


class Seat(tuple):
    """Who holds a part: an epoch, the epoch that it follows, the primary, and its backups, none to many.

    >>> Seat(2, 1, 'a', 'b').others('a'), Seat(2, 1, 'a', 'b', 'c').backups, Seat(2, 1, 'a').members
    (('b',), ('b', 'c'), ('a',))
    >>> Seat(2, 1, 'a', 'b') == (2, 1, 'a', 'b')
    True
    """

    __slots__ = ()

    def __new__(cls, epoch: int, base: int, primary: str, *backups: str) -> 'Seat':
        return tuple.__new__(cls, (epoch, base, primary, *backups))

    @property
    def epoch(self) -> int:
        return self[0]

    @property
    def base(self) -> int:
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
        """The seat's other members: `seat.others('a')`."""
        return tuple(m for m in self[2:] if m != me)

    def holds(self, me: str) -> bool:
        """Whether `me` sits here.

        >>> Seat(1, 0, 'a', 'b').holds('c')
        False
        """
        return me in self[2:]


class Item(NamedTuple):
    """A command that waits or flies, and whom to tell.

    >>> Item(('t',), {'op': 'x'}, {}).ret
    {}
    """

    tag: tuple
    command: dict
    ret: dict | None = None


class Flight(NamedTuple):
    """The commands being confirmed now.

    >>> Flight(1, 0, (), ()).own
    False
    """

    number: int
    first: int
    changes: tuple
    items: tuple
    own: bool = False
    want: tuple = ()  # the backups that have not confirmed yet
    sent: datetime | None = None
    out: tuple = ()  # those of them that a message is under way to
    before: Map | None = None  # the rows without these changes, which are not confirmed yet


class Shift(NamedTuple):
    """A move that this member leads.

    >>> Shift('c', Seat(2, 1, 'a', 'c'), 'fill').stage
    'fill'
    """

    joiner: str
    seat: Seat
    stage: str
    keys: tuple = ()
    image: Map = Map()
    at: int = 0
    upto: int = 0
    sent: datetime | None = None
    out: bool = False
    source: tuple = ()  # the leader, and which of its fills this is


class Transfer(NamedTuple):
    """The rows of a whole copy on their way between two members of one seat, because the one that is behind
    cannot be brought up from the other's log. The side that takes them lays them over its own only when it
    has all, in one write.

    >>> len(Transfer('b', 7).image)
    0
    """

    peer: str
    seq: int  # where the order stands with these rows
    image: Map = Map()  # the rows: of the sender all, of the receiver those that have come
    keys: tuple = ()  # as the sender: all keys in order
    at: int = 0  # how many of them are over there


class Copy(NamedTuple):
    """One member's copy of one part.

    >>> Copy('p00').seq
    0
    """

    part: str
    seat: Seat | None = None
    seq: int = 0
    sealed: bool = False
    full: bool = False
    prep: int = 0
    rows: Map = Map()
    tail: tuple = ()
    ready: bool = False
    session: int = 0
    flight: Flight | None = None
    line: tuple = ()
    shift: Shift | None = None
    complete: bool = False  # as joiner: all that was ever returned for before epoch `prep` is here
    source: tuple = ()  # as joiner: whose fill this is
    taken: int = 0  # as joiner: how many rows of its image have come
    heard: datetime | None = None  # when the other members were last heard, the most silent one
    ears: Map = Map()  # as primary: backup -> when it last confirmed
    met: Map = Map()  # as primary, before the first flight: backup -> where it stands
    hello: datetime | None = None
    settling: int = 0  # as primary: the session whose write of all that this copy holds has been begun
    settled: int = 0  # as primary: the session in which all that this copy holds is synced here
    transfer: Transfer | None = None


class State(NamedTuple):
    """All copies of one member.

    >>> len(State('a').parts)
    0
    """

    me: str
    parts: Map = Map()
    count: int = 1
    beats: bool = False


class Op(NamedTuple):
    """Run a command on a part that this member is primary of.

    >>> Op('p00', ('t',), {'op': 'read'}).part
    'p00'
    """

    part: str
    tag: tuple
    command: dict


class Move(NamedTuple):
    """Lead a move: bring `joiner` up and ask for `seat`.

    >>> Move('p00', 'c', Seat(2, 1, 'a', 'c')).joiner
    'c'
    """

    part: str
    joiner: str
    seat: Seat


class Grant(NamedTuple):
    """The authority's word: this is the seat of the part now.

    >>> Grant('p00', Seat(1, 0, 'a', 'b')).seat.epoch
    1
    """

    part: str
    seat: Seat


class Halt(NamedTuple):
    """Give up a move that this member leads, before its seal.

    >>> Halt('p00').part
    'p00'
    """

    part: str


def load(me: str, rows: dict[str, dict], count: int, beats: bool = False) -> State:
    """The state after a start, from what the disk held. `count` makes this run's sessions its own.

    >>> s = load('a', {'p00': {'#mark': [[3, 2, 'a', 'b'], 7, False, True, 0], 'x': 1}}, 5)
    >>> s.parts['p00'].seat.epoch, s.parts['p00'].rows['x'], s.parts['p00'].ready
    (3, 1, False)
    """
    parts = Map()
    for part, own in rows.items():
        mark = own.get('#mark')
        if mark is None:
            continue
        seat, seq, sealed, full, prep, *complete = mark
        last = tuples(own.get('#last') or ())
        kept = Map({k: v for k, v in own.items() if not k.startswith('#')})
        parts = parts.set(
            part,
            Copy(
                part,
                Seat(*seat) if seat else None,
                seq,
                sealed,
                full,
                prep,
                kept,
                last,
                complete=bool(complete and complete[0]),
            ),
        )
    return State(me, parts, count, beats)


def mark(copy: Copy) -> Put:
    """The row that keeps a copy's standing.

    >>> mark(Copy('p00', seq=2)).value
    [None, 2, False, False, 0, False]
    """
    seat = list(copy.seat) if copy.seat else None
    return Put(copy.part, '#mark', [seat, copy.seq, copy.sealed, copy.full, copy.prep, copy.complete])


def lay(rows: Map, changes: Any) -> Map:
    """Rows with changes laid over them.

    >>> sorted(lay(Map({'a': 1, 'b': 2}), (('a', None), ('c', 3))))
    ['b', 'c']
    """
    with rows.mutate() as draft:
        for key, value in changes:
            if value is not None:
                draft[key] = value
            elif key in draft:
                del draft[key]
        return draft.finish()


def lay_all(rows: Map, changes: tuple) -> Map:
    """Rows with numbered changes laid over them, one after another.

    >>> dict(lay_all(Map({'a': 1}), ((5, (('a', 2),)), (6, (('a', 3),)))))
    {'a': 3}
    """
    for _, more in changes:
        rows = lay(rows, more)
    return rows


def grown(tail: tuple, new: tuple) -> tuple:
    """A log with new changes, cut at its old end, and never inside of what is new: a member that lacks a
    batch lacks all of it.

    >>> len(grown(((1, ()),), tuple((n, ()) for n in range(2, 102)))), len(grown(((1, ()),), ((2, ()),)))
    (100, 2)
    """
    return (tail + new)[-max(TAIL, len(new)) :]


def tuples(changes: Any) -> tuple:
    """Numbered changes as they came over the wire or from the disk.

    >>> tuples([[5, [['a', 2]]]])
    ((5, (('a', 2),)),)
    """
    return tuple((n, tuple(tuple(c) for c in more)) for n, more in changes)


def fit(me: str, copy: Copy | None, seat: Seat) -> bool:
    """Whether this copy may take the seat: it must hold all that was returned for before it.

    A member of a granted seat sat in the one before, or was brought up for this one and told that it has all.
    So one that missed a seat, and was not brought up since, sat in that one too; nothing was returned there
    without its word, and it lacks nothing.

    >>> old = Copy('p', Seat(2, 1, 'a', 'b'), full=True)
    >>> fit('a', old, Seat(3, 2, 'a', 'c')), fit('a', old, Seat(4, 3, 'a', 'c')), fit('a', old, Seat(3, 1, 'a', 'c'))
    (True, True, False)
    >>> fit('c', Copy('p', full=True, prep=2, complete=True), Seat(3, 2, 'c', 'a'))
    True
    >>> fit('c', Copy('p', full=True, prep=2), Seat(2, 1, 'a', 'c'))
    False
    >>> fit('c', Copy('p', full=True, prep=2, complete=True), Seat(2, 1, 'a', 'c'))
    True
    >>> fit('a', None, Seat(1, 0, 'a', 'b'))
    True
    """
    if not seat.holds(me):
        return False
    if copy is None or (copy.seat is None and copy.prep == 0):
        return seat.base == 0
    if not copy.full:
        return False
    if copy.prep == seat.epoch:
        return copy.complete
    if copy.complete:
        return copy.prep <= seat.base
    return copy.prep == 0 and copy.seat is not None and copy.seat.epoch <= seat.base


def step(state: State, event: Any, now: datetime, apply: Apply) -> tuple[State, tuple]:
    """The next state and the effects, for any event of the group.

    A lone primary returns nothing before its backup has confirmed:

    >>> from datetime import UTC
    >>> t = datetime(2026, 1, 1, tzinfo=UTC)
    >>> put = lambda part, rows, c, now: (((c['key'], c['value']),), {'ok': True})
    >>> s, _ = step(State('a'), Grant('p', Seat(1, 0, 'a', 'b')), t, put)
    >>> s, e = step(s, Op('p', ('t',), {'key': 'x', 'value': 1}), t, put)
    >>> [type(x).__name__ for x in e], s.parts['p'].ready
    ([], False)
    """
    box = Box(state, now, apply)
    kind = type(event)
    if kind is Told:
        tell(box, event)
    elif kind is Heard:
        heard(box, event)
    elif kind is Wrote:
        wrote(box, event)
    elif kind is Op:
        copy = box.copy(event.part)
        if copy is None or copy.seat is None or copy.seat.primary != state.me:
            box.out.append(Done(event.tag, moved(copy)))
        else:
            box.put(copy._replace(line=copy.line + (Item(event.tag, event.command),)))
            fly(box, event.part)
    elif kind is Grant:
        grant(box, event.part, event.seat)
    elif kind is Move:
        move(box, event)
    elif kind is Halt:
        copy = box.copy(event.part)
        if copy and copy.shift and copy.shift.stage in ('fill', 'follow'):
            box.put(copy._replace(shift=None))
    elif kind is Tick:
        for part in sorted(state.parts):
            tick(box, part)
    return box.state, tuple(box.out)


class Box:
    """The state of one step while it is being worked out; never outlives the step."""

    def __init__(self, state: State, now: datetime, apply: Apply):
        self.state = state
        self.now = now
        self.apply = apply
        self.out: list = []

    def copy(self, part: str) -> Copy | None:
        return self.state.parts.get(part)

    def put(self, copy: Copy) -> Copy:
        before = self.state.parts.get(copy.part)
        if before is not None and before.seat is not None and goes_back(before, copy):
            facts = {'part': copy.part, 'from': [before.seat, before.seq], 'to': [copy.seat, copy.seq]}
            self.out.append(Violated('copy_forward', facts))
        self.state = self.state._replace(parts=self.state.parts.set(copy.part, copy))
        return copy

    def save(self, copy: Copy, puts: tuple = (), tag: tuple = ('g', '', 0, 'none', 0)) -> None:
        self.out.append(Write(puts + (mark(copy),), tag))

    def fresh(self) -> int:
        self.state = self.state._replace(count=self.state.count + 1)
        return self.state.count


def goes_back(before: Copy, after: Copy) -> bool:
    """Whether a copy loses an epoch, or changes that it had in one, or has two replica sets in one. One that is
    brought up for a later epoch takes rows in place of its own.

    >>> old = Copy('p', Seat(2, 1, 'a', 'b'), seq=7, full=True)
    >>> goes_back(old, old._replace(seq=8)), goes_back(old, old._replace(seq=6))
    (False, True)
    >>> goes_back(old, old._replace(seat=Seat(1, 0, 'a', 'b'))), goes_back(old, old._replace(seat=Seat(2, 1, 'a', 'c')))
    (True, True)
    >>> goes_back(old, old._replace(seq=6, prep=4))
    False
    """
    if after.seat is not before.seat and after.seat != before.seat:
        return after.seat is None or after.seat.epoch <= before.seat.epoch
    return after.prep == 0 and before.full and after.full and after.seq < before.seq


def moved(copy: Copy | None) -> dict:
    seat = list(copy.seat) if copy and copy.seat else None
    return Fault('moved', 'not the primary', more={'seat': seat}).pack()


def free(box: Box, copy: Copy) -> Copy:
    """Tell the owners of all commands on hand that this copy will not return for them."""
    items = (copy.flight.items if copy.flight else ()) + copy.line
    for item in items:
        box.out.append(Done(item.tag, moved(copy)))
    return copy._replace(flight=None, line=(), ready=False)


def grant(box: Box, part: str, seat: Seat) -> None:
    """Take a seat, or learn that the part sits elsewhere."""
    me = box.state.me
    copy = box.copy(part)
    if copy and copy.seat and copy.seat.epoch >= seat.epoch:
        return
    if fit(me, copy, seat):
        copy = copy or Copy(part)
        copy = free(box, copy) if seat.primary != me else copy._replace(ready=False)
        line = copy.line + ()
        if copy.flight:  # its changes are in our rows: they need a new flight
            line = tuple(Item(i.tag, {'op': '#again', 'ret': i.ret}) for i in copy.flight.items) + line
        copy = copy._replace(
            seat=seat,
            sealed=False,
            full=True,
            prep=0,
            complete=False,
            source=(),
            shift=None,
            flight=None,
            line=line,
            heard=box.now,
            session=0,
            hello=None,
            met=Map(),
            transfer=None,
            ears=Map({b: box.now for b in seat.backups}),
        )
        box.put(copy)
        box.save(copy)
        box.out.append(
            Note(
                'seat',
                {'part': part, 'epoch': seat.epoch, 'primary': seat.primary, 'backups': list(seat.backups)},
            )
        )
        if seat.primary == me:
            greet(box, part)
    elif copy and copy.full and copy.prep == 0 and copy.seat:
        copy = free(box, copy)
        copy = copy._replace(seat=seat, full=False, rows=Map(), tail=(), shift=None, sealed=True)
        box.put(copy)
        box.out.append(Write((Put(part, None, None), mark(copy)), ('g', part, 0, 'none', 0)))
        box.out.append(Note('unseated', {'part': part, 'epoch': seat.epoch}))


def greet(box: Box, part: str) -> None:
    """As primary, agree with the backups where the order stands, before any flight. Those that have not
    said it yet are asked again in the same session: one with a slow disk answers late."""
    copy = box.copy(part)
    if copy.hello and box.now - copy.hello < AGAIN:
        return
    if not copy.session:
        copy = copy._replace(session=box.fresh(), met=Map())
    copy = box.put(copy._replace(hello=box.now))
    for backup in copy.seat.backups:
        if backup not in copy.met:
            note = {'k': 'hello', **from_primary(copy), 'seq': copy.seq, 'quiet': quiet(box, copy)}
            box.out.append(Ask(backup, note, ('g', part, copy.session, 'hello', backup)))
    agree(box, part)


def from_primary(copy: Copy) -> dict:
    """What each message of a primary to its backups carries: `from_primary(copy)`."""
    return {'part': copy.part, 'seat': list(copy.seat), 'session': copy.session}


def new_session(box: Box, part: str) -> None:
    """As primary, begin anew to agree: a backup has started again or lacks something."""
    copy = box.copy(part)
    box.put(copy._replace(ready=False, session=0, transfer=None))
    greet(box, part)


def quiet(box: Box, copy: Copy) -> int:
    """For how many milliseconds this primary has had no confirmation. A backup that hears a primary
    which does not hear it back must not count it as alive."""
    return 0 if copy.heard is None else (box.now - copy.heard) // timedelta(milliseconds=1)


def heed(box: Box, copy: Copy, backup: str) -> Copy:
    """A backup has confirmed: the copy with that, and with how silent the most silent one is.

    >>> t = datetime(2026, 1, 1); box = Box(State('a'), t + AGAIN, None)
    >>> copy = Copy('p', Seat(1, 0, 'a', 'b', 'c'), ears=Map({'b': t, 'c': t}))
    >>> heed(box, copy, 'b').heard == t, heed(box, heed(box, copy, 'b'), 'c').heard == t + AGAIN
    (True, True)
    >>> heed(box, copy._replace(ears=Map()), 'b').heard == t + AGAIN      # just started
    True
    """
    ears = copy.ears.set(backup, box.now)
    since = copy.heard or box.now  # of those not heard since this process started
    return copy._replace(ears=ears, heard=min(ears.get(b, since) for b in copy.seat.backups))


def fly(box: Box, part: str) -> None:
    """Start the next flight, if the copy may and there is something to fly."""
    copy = box.copy(part)
    if not copy.ready or copy.sealed or copy.flight or not copy.line:
        return
    rows, seq, items, changes = copy.rows, copy.seq, [], []
    for item in copy.line:
        if item.command.get('op') == '#again':
            items.append(item._replace(ret=item.command['ret']))
            continue
        try:
            more, ret = box.apply(part, rows, item.command, box.now)
        except Fault as e:
            more, ret = (), e.pack()
        except (KeyError, TypeError, ValueError, AttributeError) as e:
            more, ret = (), Fault('garbled', f'{type(e).__name__}: {e}').pack()
        if more:
            rows = lay(rows, more)
            seq += 1
            changes.append((seq, tuple(more)))
        items.append(item._replace(ret=ret))
    flight = Flight(
        box.fresh(),
        copy.seq,
        tuple(changes),
        tuple(items),
        own=not changes,
        want=copy.seat.backups,
        before=copy.rows,
    )
    tail = copy.tail + flight.changes if copy.shift else grown(copy.tail, flight.changes)
    copy = box.put(copy._replace(rows=rows, seq=seq, line=(), tail=tail, flight=flight))
    if changes:
        box.save(copy, spread(part, flight.changes), ('g', part, copy.session, 'own', flight.number))
    box.out.append(Count('group.flights'))
    send(box, part)


def spread(part: str, changes: tuple) -> tuple:
    """The rows that a flight's changes write, and the flight itself, kept for the peer's sake."""
    puts = tuple(Put(part, key, value) for _, more in changes for key, value in more)
    return puts + (Put(part, '#last', [[n, [list(c) for c in more]] for n, more in changes]),)


def send(box: Box, part: str) -> None:
    """Send the flight to those backups that have not confirmed it and are not being asked."""
    copy = box.copy(part)
    flight = copy.flight
    to = tuple(b for b in flight.want if b not in flight.out)
    box.put(copy._replace(flight=flight._replace(sent=box.now, out=flight.out + to)))
    for backup in to:
        box.out.append(
            Ask(
                backup,
                {
                    'k': 'frame',
                    'part': part,
                    'seat': list(copy.seat),
                    'session': copy.session,
                    'first': flight.first,
                    'changes': flight.changes,
                    'quiet': quiet(box, copy),
                },
                ('g', part, copy.session, 'frame', (flight.number, backup)),
            )
        )
    if not flight.want:
        land(box, part)


def land(box: Box, part: str) -> None:
    """A flight that is synced here and confirmed by every backup has its returns sent."""
    copy = box.copy(part)
    flight = copy.flight
    if not flight or not flight.own or flight.want:
        return
    for item in flight.items:
        box.out.append(Done(item.tag, item.ret))
    box.put(copy._replace(flight=None))
    after(box, part)
    fly(box, part)


def tell(box: Box, event: Told) -> None:
    """A message from another member."""
    m = event.message
    part, kind = m['part'], m['k']
    copy = box.copy(part)
    if kind in IN_SEAT:
        seat = Seat(*m['seat'])
        if copy is None or copy.seat is None or copy.seat.epoch < seat.epoch:
            grant(box, part, seat)
            copy = box.copy(part)
        no = ''
        if copy is None or copy.seat is None or not copy.full:
            no = 'absent'
        elif copy.seat.epoch > seat.epoch:
            no = 'epoch'
        elif copy.seat.epoch < seat.epoch or box.state.me not in seat.backups:
            no = 'absent'
        elif copy.sealed:
            no = 'sealed'
        elif kind in IN_SESSION and copy.session != m['session']:
            no = 'session'
        elif kind == 'frame' and copy.seq < m['first']:
            no = 'gap'
        if no:
            seat = list(copy.seat) if copy and copy.seat else None
            box.out.append(Return(event.call, {'ok': False, 'no': no, 'seat': seat}))
            return
        if m.get('quiet', 0) < QUIET_MS:
            copy = copy._replace(heard=box.now)
        if kind == 'hello':
            stand_by(box, copy, event)
            return
        if kind == 'pull':
            box.put(copy)
            box.out.append(Return(event.call, transfer_piece(copy, m['after'])))
            return
        if kind == 'refill':
            take_refill(box, copy, event)
            return
        changes = tuples(m['changes'])
        new = tuple(c for c in changes if c[0] > copy.seq)
        if not changes:
            box.put(copy)
            box.out.append(Return(event.call, {'ok': True}))
            return
        rows = lay_all(copy.rows, new)
        tail = grown(copy.tail, new) if not copy.shift else copy.tail + new
        copy = box.put(copy._replace(rows=rows, seq=max(copy.seq, changes[-1][0]), tail=tail))
        box.save(copy, spread(part, new) if new else (), ('g', part, 0, 'told', event.call))
        after(box, part)
    elif kind == 'fill':
        fill(box, event, copy)
    elif kind == 'follow':
        if completed(copy, m):
            box.save(copy, (), ('g', part, 0, 'told', event.call))
            return
        known = copy is not None and copy.prep == m['epoch'] and copy.source == tuple(m['source'])
        if not known or not copy.full or copy.seq < m['first']:
            box.out.append(Return(event.call, {'ok': False, 'no': 'absent'}))
            return
        copy = copy._replace(complete=m['complete'])
        changes = tuples(m['changes'])
        new = tuple(c for c in changes if c[0] > copy.seq)
        rows = lay_all(copy.rows, new)
        copy = box.put(
            copy._replace(rows=rows, seq=max([copy.seq] + [n for n, _ in new]), tail=grown(copy.tail, new))
        )
        box.save(copy, spread(part, new) if new else (), ('g', part, 0, 'told', event.call))


def completed(copy: Copy | None, m: dict) -> bool:
    """Whether this copy has all that it needs for the epoch of a move: nothing of that move changes it.

    >>> completed(Copy('p', full=True, prep=2, complete=True), {'epoch': 2})
    True
    """
    return copy is not None and copy.complete and copy.prep == m['epoch']


def fill(box: Box, event: Told, copy: Copy | None) -> None:
    """As joiner, take one piece of an image. The first piece of a new one empties the copy; a piece that
    has come before changes nothing."""
    m = event.message
    part, base, epoch, source = m['part'], m['base'], m['epoch'], tuple(m['source'])
    known = copy.seat.epoch if copy and copy.seat else 0
    seated = bool(copy and copy.seat and copy.seat.holds(box.state.me) and copy.full)
    if known > base or (known == base and seated) or (copy and copy.prep > epoch):
        seat = list(copy.seat) if copy.seat else None
        box.out.append(Return(event.call, {'ok': False, 'no': 'epoch', 'seat': seat}))
        return
    current = copy is not None and copy.prep == epoch and copy.source == source
    if completed(copy, m) or (current and m['at'] + len(m['rows']) <= copy.taken):
        box.save(copy, (), ('g', part, 0, 'told', event.call))
        return
    if m['at'] == 0:
        copy = free(box, copy) if copy else Copy(part)
        copy = copy._replace(
            rows=Map(),
            tail=(),
            full=False,
            prep=epoch,
            seq=0,
            sealed=False,
            shift=None,
            complete=False,
            source=source,
            taken=0,
        )
        wipe: tuple = (Put(part, None, None),)
    elif not current or m['at'] != copy.taken:
        box.out.append(Return(event.call, {'ok': False, 'no': 'absent'}))
        return
    else:
        wipe = ()
    copy = copy._replace(rows=lay(copy.rows, m['rows']), taken=m['at'] + len(m['rows']))
    if m['last']:
        copy = copy._replace(full=True, seq=m['seq'])
    box.put(copy)
    box.save(copy, wipe + tuple(Put(part, k, v) for k, v in m['rows']), ('g', part, 0, 'told', event.call))


def heard(box: Box, event: Heard) -> None:
    """A return, or its absence, to something this member asked."""
    _, part, session, kind, number = event.tag
    copy = box.copy(part)
    ret = event.ret
    if copy is None:
        return
    if kind in ('fill', 'follow'):
        shifted(box, part, session, ret, number)
        return
    if copy.session != session or copy.seat is None or copy.seat.primary != box.state.me:
        return
    backup = number[1] if kind == 'frame' else number
    if kind in ('pull', 'refill'):
        transferred(box, part, kind, backup, ret)
        return
    flown = kind == 'frame' and copy.flight is not None and copy.flight.number == number[0]
    if flown:  # whatever it says, nothing is under way to it now
        left = tuple(b for b in copy.flight.out if b != backup)
        copy = box.put(copy._replace(flight=copy.flight._replace(out=left)))
    if ret is None or 'fault' in ret:
        return
    if not ret['ok']:
        if ret['no'] == 'epoch' and ret.get('seat'):
            grant(box, part, Seat(*ret['seat']))
        elif ret['no'] in ('session', 'gap'):
            new_session(box, part)
        return
    copy = box.put(heed(box, copy, backup))
    if kind == 'hello':
        box.put(copy._replace(met=copy.met.set(backup, (ret['seq'], tuples(ret['tail'])))))
        agree(box, part)
    elif flown:
        want = tuple(b for b in copy.flight.want if b != backup)
        box.put(copy._replace(flight=copy.flight._replace(want=want)))
        land(box, part)


def agree(box: Box, part: str) -> None:
    """Every backup has said where it stands, on its disk: take what any of them has more, sync all that is
    held here, send what one has less. What a log no longer holds comes as rows."""
    copy = box.copy(part)
    if copy.ready or copy.transfer or any(b not in copy.met for b in copy.seat.backups):
        return
    ahead = max(copy.met, key=lambda b: copy.met[b][0], default=None)
    if ahead is not None and copy.met[ahead][0] > copy.seq:
        seq, tail = copy.met[ahead]
        new = tuple(c for c in tail if c[0] > copy.seq)
        if not joins(copy.seq, new):
            pull(box, copy, ahead, seq)
            return
        rows = lay_all(copy.rows, new)
        copy = copy._replace(rows=rows, seq=seq, tail=grown(copy.tail, new))
        settle(box, copy, spread(part, new))
        return
    if copy.settled != copy.session:
        if copy.settling != copy.session:
            settle(box, copy)
        return
    behind = min(copy.met, key=lambda b: copy.met[b][0], default=None)
    least = copy.met[behind][0] if behind is not None else copy.seq
    if least < (copy.flight.first if copy.flight else copy.seq):
        new = tuple(c for c in copy.tail if c[0] > least)
        if copy.flight or not joins(least, new):
            refill(box, copy, behind)
            return
        copy = copy._replace(flight=Flight(box.fresh(), least, new, (), own=True, want=copy.seat.backups))
    copy = box.put(copy._replace(ready=True))
    if copy.flight:  # what was under way is of an older session
        box.put(copy._replace(flight=copy.flight._replace(out=())))
        send(box, part)
    else:
        fly(box, part)


def joins(seq: int, changes: tuple) -> bool:
    """Whether these changes go on where a copy stands, with none missing between.

    >>> joins(4, ((5, ()), (6, ()))), joins(4, ((6, ()),)), joins(4, ())
    (True, False, False)
    """
    return bool(changes) and changes[0][0] == seq + 1


def settle(box: Box, copy: Copy, puts: tuple = ()) -> None:
    """Sync what this primary holds before it serves: a flight that changes nothing returns with its backups'
    word alone, and may show what an earlier write, still on its way to the disk here, has changed."""
    copy = box.put(copy._replace(settling=copy.session))
    box.save(copy, puts, ('g', copy.part, copy.session, 'met', 0))


def stand_by(box: Box, copy: Copy, event: Told) -> None:
    """As backup, tell a primary where this copy stands, once it stands there on disk."""
    m = event.message
    copy = box.put(copy._replace(session=m['session'], transfer=None))
    more = [[n, c] for n, c in copy.tail if n > m['seq']]
    ret = {'ok': True, 'seq': copy.seq, 'tail': more}
    box.save(copy, (), ('g', copy.part, 0, 'stands', (event.call, ret)))


def pull(box: Box, copy: Copy, ahead: str, seq: int) -> None:
    """As primary, ask a backup that is ahead, and has no log of that, for its rows."""
    box.out.append(Note('pull', {'part': copy.part, 'mine': copy.seq, 'theirs': seq, 'of': ahead}))
    box.put(copy._replace(transfer=Transfer(ahead, seq)))
    ask_piece(box, copy.part, '')


def ask_piece(box: Box, part: str, after: str) -> None:
    copy = box.copy(part)
    ask = {'k': 'pull', **from_primary(copy), 'after': after}
    tag = ('g', part, copy.session, 'pull', copy.transfer.peer)
    box.out.append(Ask(copy.transfer.peer, ask, tag, TRANSFER_LIMIT_MS))


def transfer_piece(copy: Copy, after: str) -> dict:
    """The rows that come after a key, as much as a message should have. They stand still meanwhile: this
    copy's primary waits for them.

    >>> copy = Copy('p', seq=9, rows=Map({'a': 1, 'b': 2}))
    >>> transfer_piece(copy, 'a') == {'ok': True, 'seq': 9, 'rows': [['b', 2]], 'last': True}
    True
    """
    left = Transfer('', copy.seq, copy.rows, tuple(sorted(k for k in copy.rows if k > after)))
    keys = piece(left)
    rows = [[k, copy.rows[k]] for k in keys]
    return {'ok': True, 'seq': copy.seq, 'rows': rows, 'last': len(keys) == len(left.keys)}


def refill(box: Box, copy: Copy, behind: str) -> None:
    """As primary, send all rows to a backup that this copy's log no longer brings up."""
    box.out.append(Note('refill', {'part': copy.part, 'mine': copy.seq, 'to': behind}))
    keys = tuple(sorted(copy.rows))
    box.put(copy._replace(transfer=Transfer(behind, copy.seq, copy.rows, keys)))
    send_piece(box, copy.part)


def send_piece(box: Box, part: str) -> None:
    copy = box.copy(part)
    sent = copy.transfer
    keys = piece(sent)
    ask = {
        'k': 'refill',
        **from_primary(copy),
        'at': sent.at,
        'seq': sent.seq,
        'rows': [[k, sent.image[k]] for k in keys],
        'last': sent.at + len(keys) == len(sent.keys),
    }
    box.out.append(Ask(sent.peer, ask, ('g', part, copy.session, 'refill', sent.peer), TRANSFER_LIMIT_MS))


def take_refill(box: Box, copy: Copy, event: Told) -> None:
    """As backup, take a piece of the primary's rows; with the last one they replace the own ones."""
    m = event.message
    taken = copy.transfer if m['at'] else Transfer(copy.seat.primary, m['seq'])
    if taken is None or taken.at != m['at'] or copy.seq > m['seq']:
        box.put(copy._replace(transfer=None))
        box.out.append(Return(event.call, {'ok': False, 'no': 'gap', 'seat': None}))
        return
    taken = taken._replace(image=lay(taken.image, m['rows']), at=taken.at + len(m['rows']))
    if not m['last']:
        box.put(copy._replace(transfer=taken))
        box.out.append(Return(event.call, {'ok': True}))
        return
    copy, puts = replaced(copy, taken)
    box.put(copy)
    box.save(copy, puts, ('g', copy.part, 0, 'told', event.call))


def replaced(copy: Copy, taken: Transfer) -> tuple[Copy, tuple]:
    """A copy with other rows in place of its own, and the one write that does it on disk."""
    puts = (Put(copy.part, None, None),) + tuple(Put(copy.part, k, v) for k, v in taken.image.items())
    return copy._replace(rows=taken.image, seq=taken.seq, tail=(), transfer=None), puts


def transferred(box: Box, part: str, kind: str, backup: str, ret: dict | None) -> None:
    """As primary, go on with a transfer; begin anew to agree if it broke off."""
    copy = box.copy(part)
    transfer = copy.transfer
    if transfer is None or transfer.peer != backup:
        return
    if ret is None or not ret.get('ok') or (kind == 'pull' and ret['seq'] != transfer.seq):
        seat = (ret or {}).get('seat')
        box.put(copy._replace(session=0, transfer=None, hello=box.now))
        if seat and seat[0] > copy.seat.epoch:
            grant(box, part, Seat(*seat))
        return
    copy = box.put(heed(box, copy, backup))
    if kind == 'pull':
        transfer = transfer._replace(image=lay(transfer.image, ret['rows']))
        box.put(copy._replace(transfer=transfer))
        if not ret['last']:
            ask_piece(box, part, ret['rows'][-1][0])
            return
        copy, puts = replaced(copy, transfer)
        settle(box, copy, puts)
        return
    at = transfer.at + len(piece(transfer))
    if at < len(transfer.keys):
        box.put(copy._replace(transfer=transfer._replace(at=at)))
        send_piece(box, part)
        return
    met = copy.met.set(backup, (transfer.seq, ()))
    box.put(copy._replace(met=met, transfer=None))
    agree(box, part)


def wrote(box: Box, event: Wrote) -> None:
    """Something this member wrote is synced."""
    _, part, session, kind, number = event.tag
    copy = box.copy(part)
    if kind == 'told':
        box.out.append(Return(number, {'ok': True}))
    elif kind == 'own' and copy and copy.flight and copy.flight.number == number:
        box.put(copy._replace(flight=copy.flight._replace(own=True)))
        land(box, part)
    elif kind == 'stands':
        call, ret = number
        box.out.append(Return(call, ret))
    elif kind == 'met' and copy and copy.session == session and copy.seat.primary == box.state.me:
        box.put(copy._replace(settled=session))
        agree(box, part)
    elif kind == 'seal' and copy and copy.shift and copy.shift.stage == 'seal':
        box.put(copy._replace(shift=copy.shift._replace(stage='last', out=False)))
        after(box, part)


def move(box: Box, event: Move) -> None:
    """Begin to lead a move, unless one for the same seat is under way."""
    copy = box.copy(event.part)
    if copy is None or copy.seat is None or not copy.full or copy.seat.epoch != event.seat.base:
        return
    if not copy.seat.holds(box.state.me):
        return
    if any(not copy.seat.holds(m) for m in event.seat.members if m != event.joiner):
        return  # nobody would bring that one up
    if copy.shift and (copy.shift.seat == event.seat or copy.shift.seat.epoch > event.seat.epoch):
        return
    shift = Shift(event.joiner, event.seat, 'fill', tuple(sorted(copy.rows)), copy.rows, 0, copy.seq)
    shift = shift._replace(source=(box.state.me, box.fresh()))
    if copy.seat.holds(event.joiner):
        shift = shift._replace(stage='follow')
    copy = box.put(copy._replace(shift=shift))
    box.out.append(Note('move', {'part': event.part, 'joiner': event.joiner, 'epoch': event.seat.epoch}))
    after(box, event.part)


def after(box: Box, part: str) -> None:
    """Take a led move on by one message, if none is out."""
    copy = box.copy(part)
    shift = copy.shift
    if not shift or shift.out:
        return
    me, held = box.state.me, copy.seat.holds(shift.joiner)
    note = {'part': part, 'base': copy.seat.epoch, 'epoch': shift.seat.epoch, 'source': shift.source}
    if shift.stage == 'fill':
        keys = piece(shift)
        last = shift.at + len(keys) >= len(shift.keys)
        ask = {
            'k': 'fill',
            **note,
            'at': shift.at,
            'last': last,
            'seq': shift.upto,
            'rows': [[k, shift.image[k]] for k in keys],
        }
        put(box, copy, shift, ask, 'fill', shift.at)
    elif shift.stage in ('follow', 'last'):
        new = tuple(c for c in copy.tail if c[0] > shift.upto)
        if not held and (new or shift.stage == 'last'):
            batch = new[:FILL_ROWS]
            complete = shift.stage == 'last' and len(batch) == len(new)
            ask = {'k': 'follow', **note, 'first': shift.upto, 'changes': batch, 'complete': complete}
            put(box, copy, shift, ask, 'follow', (batch[-1][0] if batch else shift.upto, complete))
        elif shift.stage == 'follow':
            stays = copy.flight and all(b in shift.seat.members for b in copy.flight.want)
            if stays and copy.seat.primary == me and not stuck(box, copy):
                return  # let the flight land first
            copy = box.put(copy._replace(sealed=True, shift=shift._replace(stage='seal', out=True)))
            box.save(copy, (), ('g', part, 0, 'seal', 0))
        else:
            box.put(copy._replace(shift=shift._replace(stage='propose')))
            box.out.append(Propose(part, tuple(shift.seat)))


def piece(shift: Shift) -> tuple:
    """The keys of the image's next piece: some rows, and no more bytes than a message should have.

    >>> keys = tuple(f'k{n}' for n in range(3))
    >>> piece(Shift('c', None, 'fill', keys, Map({k: 'x' * FILL_BYTES for k in keys}), 1))
    ('k1',)
    """
    size, out = 0, []
    for key in shift.keys[shift.at : shift.at + FILL_ROWS]:
        size += heft(shift.image[key])
        if out and size > FILL_BYTES:
            break
        out.append(key)
    return tuple(out)


def heft(value: Any) -> int:
    """About how many bytes a row takes on the wire.

    >>> heft('abc'), heft(['ab', 1]), heft({'a': b'12'})
    (3, 11, 11)
    """
    if isinstance(value, (str, bytes)):
        return len(value)
    if isinstance(value, (list, tuple)):
        return sum(heft(v) for v in value)
    if isinstance(value, dict):
        return sum(heft(v) + 9 for v in value.values())
    return 9


def stuck(box: Box, copy: Copy) -> bool:
    """Whether the flight cannot land: the backup has been silent since long before."""
    return copy.heard is None or box.now - copy.heard > timedelta(milliseconds=900)


def put(box: Box, copy: Copy, shift: Shift, ask: dict, kind: str, number: Any) -> None:
    box.put(copy._replace(shift=shift._replace(out=True, sent=box.now)))
    box.out.append(Ask(shift.joiner, ask, ('g', copy.part, shift.source, kind, number), 2000))


def shifted(box: Box, part: str, source: tuple, ret: dict | None, number: Any) -> None:
    """The joiner has returned to a piece of the move."""
    copy = box.copy(part)
    shift = copy.shift
    if not shift or not shift.out or shift.source != source:
        return
    if ret is None or 'fault' in ret:
        box.put(copy._replace(shift=shift._replace(out=False)))  # the tick sends it again
        return
    if not ret['ok']:
        box.out.append(Note('move_off', {'part': part, 'joiner': shift.joiner, 'cause': ret['no']}))
        if shift.stage in ('fill', 'follow'):
            box.put(copy._replace(shift=None))
        else:  # sealed: begin again with the same joiner
            box.put(
                copy._replace(
                    shift=shift._replace(
                        stage='fill',
                        at=0,
                        keys=tuple(sorted(copy.rows)),
                        image=copy.rows,
                        upto=copy.seq,
                        out=False,
                        source=(box.state.me, box.fresh()),
                    )
                )
            )
        if ret.get('seat'):
            grant(box, part, Seat(*ret['seat']))
        return
    if shift.stage == 'fill':
        at = shift.at + len(piece(shift))
        shift = shift._replace(at=at, stage='fill' if at < len(shift.keys) else 'follow')
    else:
        upto, complete = number
        shift = shift._replace(upto=upto, stage='propose' if complete else shift.stage)
    box.put(copy._replace(shift=shift._replace(out=False)))
    if shift.stage == 'propose':
        box.out.append(Propose(part, tuple(shift.seat)))
    else:
        after(box, part)


def tick(box: Box, part: str) -> None:
    """Send again what got no return; beat when idle."""
    copy = box.copy(part)
    if copy.shift and not copy.shift.out:
        if copy.shift.stage == 'propose':
            box.out.append(Propose(part, tuple(copy.shift.seat)))
        else:
            after(box, part)
        copy = box.copy(part)
    if copy.seat is None or copy.seat.primary != box.state.me or not copy.full or copy.sealed:
        return
    if not copy.seat.backups:  # nobody to listen for
        copy = box.put(copy._replace(heard=box.now))
    if not copy.ready:
        if copy.transfer is None:
            greet(box, part)
    elif copy.flight:
        if any(b not in copy.flight.out for b in copy.flight.want) and box.now - copy.flight.sent >= AGAIN:
            send(box, part)
    elif box.state.beats and copy.seat.backups and (copy.heard is None or box.now - copy.heard >= BEAT):
        box.put(copy._replace(line=copy.line + (Item(('beat',), {'op': '#again', 'ret': {}}),)))
        fly(box, part)
