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
from quillstall.runtime.effect import Ask, Count, Done, Heard, Note, Propose, Return, Tick, Told, Write, Wrote
from quillstall.runtime.errors import Fault

KINDS = ('frame', 'hello', 'fill', 'follow')
FILL_ROWS = 1000
FILL_BYTES = 512 * 1024
TAIL = 64
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
        self.state = self.state._replace(parts=self.state.parts.set(copy.part, copy))
        return copy

    def save(self, copy: Copy, puts: tuple = (), tag: tuple = ('g', '', 0, 'none', 0)) -> None:
        self.out.append(Write(puts + (mark(copy),), tag))

    def fresh(self) -> int:
        self.state = self.state._replace(count=self.state.count + 1)
        return self.state.count


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
    """As primary, agree with the backups where the order stands, before any flight."""
    copy = box.copy(part)
    if copy.hello and box.now - copy.hello < AGAIN:
        return
    session = box.fresh()
    copy = box.put(copy._replace(session=session, hello=box.now, met=Map()))
    for backup in copy.seat.backups:
        box.out.append(
            Ask(
                backup,
                {
                    'k': 'hello',
                    'part': part,
                    'seat': list(copy.seat),
                    'session': session,
                    'seq': copy.seq,
                    'quiet': quiet(box, copy),
                },
                ('g', part, session, 'hello', backup),
            )
        )
    if not copy.seat.backups:
        agree(box, part)


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
    tail = copy.tail + flight.changes
    if not copy.shift:
        tail = tail[-max(TAIL, len(changes)) :]
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
    if kind in ('frame', 'hello'):
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
        elif kind == 'frame' and copy.session != m['session']:
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
            box.put(copy._replace(session=m['session']))
            more = [[n, c] for n, c in copy.tail if n > m['seq']]
            box.out.append(Return(event.call, {'ok': True, 'seq': copy.seq, 'tail': more}))
            return
        changes = tuples(m['changes'])
        new = tuple(c for c in changes if c[0] > copy.seq)
        if not changes:
            box.put(copy)
            box.out.append(Return(event.call, {'ok': True}))
            return
        rows = lay_all(copy.rows, new)
        tail = (copy.tail + new)[-max(TAIL, len(new)) :] if not copy.shift else copy.tail + new
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
            copy._replace(
                rows=rows, seq=max([copy.seq] + [n for n, _ in new]), tail=(copy.tail + new)[-TAIL:]
            )
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
    backup = number if kind == 'hello' else number[1]
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
            box.put(copy._replace(ready=False))
            greet(box, part)
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
    """Every backup has said where it stands: take what any of them has more, send what one has less."""
    copy = box.copy(part)
    if copy.ready or any(b not in copy.met for b in copy.seat.backups):
        return
    best, tail = max(copy.met.values(), key=lambda m: m[0], default=(copy.seq, ()))
    least = min((seq for seq, _ in copy.met.values()), default=copy.seq)
    if best > copy.seq:
        new = tuple(c for c in tail if c[0] > copy.seq)
        if not new or new[0][0] != copy.seq + 1:
            box.out.append(Note('apart', {'part': part, 'mine': copy.seq, 'theirs': best}))
            return
        rows = lay_all(copy.rows, new)
        copy = box.put(copy._replace(rows=rows, seq=best, tail=(copy.tail + new)[-TAIL:]))
        box.save(copy, spread(part, new), ('g', part, copy.session, 'met', 0))
        return
    if least < copy.seq and not copy.flight:
        new = tuple(c for c in copy.tail if c[0] > least)
        if not new or new[0][0] != least + 1:
            box.out.append(Note('apart', {'part': part, 'mine': copy.seq, 'theirs': least}))
            return
        copy = copy._replace(flight=Flight(box.fresh(), least, new, (), own=True, want=copy.seat.backups))
    copy = box.put(copy._replace(ready=True))
    if copy.flight:  # what was under way is of an older session
        box.put(copy._replace(flight=copy.flight._replace(out=())))
        send(box, part)
    else:
        fly(box, part)


def wrote(box: Box, event: Wrote) -> None:
    """Something this member wrote is synced."""
    _, part, session, kind, number = event.tag
    copy = box.copy(part)
    if kind == 'told':
        box.out.append(Return(number, {'ok': True}))
    elif kind == 'own' and copy and copy.flight and copy.flight.number == number:
        box.put(copy._replace(flight=copy.flight._replace(own=True)))
        land(box, part)
    elif kind == 'met' and copy and copy.session == session and copy.seat.primary == box.state.me:
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
        greet(box, part)
    elif copy.flight:
        if any(b not in copy.flight.out for b in copy.flight.want) and box.now - copy.flight.sent >= AGAIN:
            send(box, part)
    elif box.state.beats and copy.seat.backups and (copy.heard is None or box.now - copy.heard >= BEAT):
        box.put(copy._replace(line=copy.line + (Item(('beat',), {'op': '#again', 'ret': {}}),)))
        fly(box, part)
