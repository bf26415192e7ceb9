"""Store: the reducer of a store process: its copies of the parts, and its talk with the core."""

from datetime import datetime, timedelta
from typing import Any, NamedTuple

from immutables import Map

from quillstall.controlplane import shelf
from quillstall.network.packing import with_unpacked_policy
from quillstall.replication import group, register, watch
from quillstall.replication.group import Grant, Move, Op, Seat
from quillstall.replication.register import LEASE, Word
from quillstall.replication.watch import SILENT, Watch
from quillstall.runtime.clock import of_ms
from quillstall.runtime.disk import Put
from quillstall.runtime.effect import Ask, Count, Done, Heard, Propose, Return, Tick, Told, Write, Wrote
from quillstall.runtime.errors import Fault

PEER_PART = 0.6  # a part that does not come to serve is reported after this part of that time
FLIGHT_PART = 0.25  # the same for one that serves and stands still: it is reported sooner
CONFIRM_LIMIT = timedelta(milliseconds=200)  # it stands still if no backup has confirmed for so long
SWEEP_EVERY = timedelta(seconds=5)
POLL_LIMIT_MS = 650
SHY = timedelta(milliseconds=400)
PROGRAM_S = 86_400
WATCH_PART = 0.65  # a watched store is suspected after this part of the time after which it is given up
AWAY = timedelta(milliseconds=1500)
GREET_EVERY = timedelta(seconds=1)


class Store(NamedTuple):
    """All that a store process knows.

    >>> Store('s1', '127.0.0.1:1', 'z1', 1, ('127.0.0.1:2',)).place
    0
    """

    me: str
    address: str
    zone: str
    inc: int
    seeds: tuple
    copies: group.State = group.State('')
    core: tuple = ()
    at: str | None = None
    place: int = 0
    seats: dict = {}  # who holds each part, by the core's last word
    book: dict = {}
    known: tuple = ()  # addresses of routing nodes
    news: datetime | None = None  # when the core last answered
    greeted: datetime | None = None
    word: Word = Word()  # what this store says to routing nodes without a core: it is synced
    next: Word | None = None  # the word that is being written
    renewed: Map = Map()  # (routing node, under which generation) -> when last
    fleet: str | None = None
    poll: int = 0
    polled: datetime | None = None
    reported: frozenset = frozenset()  # what the last poll said: parts that are stuck, stores that are silent
    out: bool = False
    asked: str | None = None
    turn: int = 0
    since: Map = Map()
    swept: datetime | None = None
    sweeps: Map = Map()  # part -> the row where its next sweep begins
    watch: Watch = Watch()
    fails: int = 0
    http: str | None = None
    shy: Map = Map()  # cores that were silent lately, and until when to believe it
    silent: timedelta = SILENT  # so long silent, a peer is given up
    blocked: bool = False  # its disk takes nothing: it has said so, and says nothing more
    wall_ahead: timedelta = timedelta(0)  # how far the wall clock is ahead of the steady one
    lease: timedelta = LEASE

    @property
    def granted(self) -> timedelta:
        """How long this process counts a lease that it gave."""
        return self.lease * register.GRANTED_PART


def load(me: str, startup: dict, rows: dict, count: int, now: datetime) -> Store:
    """The state after a start.

    >>> from datetime import UTC
    >>> s = {'address': '127.0.0.1:1', 'zone': 'z1', 'seeds': ['127.0.0.1:2']}
    >>> load('s1', s, {}, 1, datetime(2026, 1, 1, tzinfo=UTC)).inc
    1
    """
    own = rows.get('', {})
    place, seats, names, known = own.get('map') or (0, {}, {}, ())
    word = register.read(own.get('word'))
    # what it renewed before this start is forgotten: count any lease as renewed now
    renewed = Map({(register.ANY_NODE, 0): now}) if word.number else Map()
    silent = of_ms(startup['silent_ms']) if 'silent_ms' in startup else SILENT
    return Store(
        me,
        startup['address'],
        startup['zone'],
        count,
        tuple(startup['seeds']),
        group.load(me, rows, count),
        tuple(own.get('core') or startup['seeds']),
        fleet=own.get('fleet_id'),
        http=startup.get('http'),
        place=place,
        seats=seats,
        book=names,
        known=tuple(known),
        word=word,
        renewed=renewed,
        silent=silent,
        watch=Watch(silent=silent, patience=silent * WATCH_PART),
        lease=of_ms(startup['lease_ms']) if 'lease_ms' in startup else LEASE,
    )


def where(state: Store, to: str) -> str | None:
    """The address of a member: `where(state, 's2')`."""
    if ':' in to:
        return to
    return state.book.get(to)


def apply_at_wall_time(wall_ahead: timedelta) -> group.Apply:
    """The group's way to the shelf. The times kept there are compared with other stores' and outlast a
    restart: they are wall times, `apply_at_wall_time(state.wall_ahead)('p00', rows, command, now)`."""

    def apply_part(part: str, rows: Map, command: dict, now: datetime) -> tuple[tuple, dict]:
        return shelf.apply(rows, command, now + wall_ahead)

    return apply_part


def step(state: Store, event: Any, now: datetime) -> tuple[Store, tuple]:
    """The next state and the effects of any event of a store process.

    >>> from datetime import UTC
    >>> t = datetime(2026, 1, 1, tzinfo=UTC)
    >>> s = Store('s1', '127.0.0.1:1', 'z1', 1, ('127.0.0.1:2',), core=('127.0.0.1:2',))
    >>> s, e = step(s, Tick(), t); e[0].message['k']
    'poll'
    """
    out: list = []
    kind = type(event)
    if kind is Told:
        state = told(state, event, now, out)
    elif kind is Tick:
        state = state._replace(wall_ahead=event.wall_ahead)
        state = last_word(state, now, out) if event.blocked else tick(state, now, out)
    elif kind is Heard and event.tag[0] == 'poll':
        state = answered(state, event, now, out)
    elif kind is Heard and event.tag[0] == 'seat':
        if event.ret and 'fault' not in event.ret:
            state = feed(state, Grant(event.tag[1], Seat(*event.ret['seat'])), now, out)
        elif event.ret and event.ret['fault'] == 'core_away' and event.ret['more'].get('at'):
            state = state._replace(at=event.ret['more']['at'])
    elif kind is Heard and event.tag[0] == 'ping':
        state = state._replace(watch=watch.heard(state.watch, event.tag[1], event.ret, now))
    elif kind is Heard and event.tag[0] == 'relay':
        out.append(Return(event.tag[1], event.ret or Fault('slow', 'no core answered').pack()))
    elif kind is Heard and event.tag[0] == 'who':
        if event.ret and event.ret.get('core'):
            state = state._replace(core=tuple(event.ret['core']), at=event.ret.get('at'))
    elif kind is Wrote and event.tag[0] == 'word':
        state = word_synced(state, event.tag[1], now, out)
    elif event.tag[0] == 'g':
        state = feed(state, event, now, out)
    return state, tuple(out)


def feed(state: Store, event: Any, now: datetime, out: list) -> Store:
    inner, effects = group.step(state.copies, event, now, apply_at_wall_time(state.wall_ahead))
    state = state._replace(copies=inner)
    for effect in effects:
        if type(effect) is Done:
            if effect.tag[0] == 'call':
                out.append(Return(effect.tag[1], effect.ret))
            elif effect.tag[0] == 'sweep' and 'fault' not in effect.ret:
                state = state._replace(sweeps=state.sweeps.set(effect.tag[1], effect.ret['at']))
        elif type(effect) is Propose:
            out.append(
                Ask(
                    state.at or state.core[0],
                    {'k': 'seat', 'part': effect.part, 'seat': list(effect.seat)},
                    ('seat', effect.part),
                )
            )
        else:
            out.append(effect)
    return state


def told(state: Store, event: Told, now: datetime, out: list) -> Store:
    m = event.message
    kind = m.get('k')
    if kind in group.KINDS:
        return feed(state, event, now, out)
    if kind == 'relay':
        if state.at is None:
            out.append(
                Return(event.call, Fault('core_away', 'this store has no way to the core either').pack())
            )
            return state
        out.append(Ask(state.at, m['message'], ('relay', event.call), POLL_LIMIT_MS))
        out.append(Count('relayed'))
        return state
    if kind == 'greet':
        if away(state, now) and state.fleet in (None, m['fleet']):
            state = state._replace(core=tuple(m['core']), at=None)
        out.append(Return(event.call, {'ok': True}))
        return state
    if kind == 'renew':
        return renew(state, event, now, out)
    if kind == 'op':
        return feed(state, Op(m['part'], ('call', event.call), m['command']), now, out)
    if kind == 'who':
        out.append(
            Return(
                event.call,
                {
                    'ok': True,
                    'me': state.me,
                    'role': 'store',
                    'fleet': state.fleet,
                    'core': list(state.core),
                    'at': state.at,
                },
            )
        )
    elif kind == 'status':
        parts = {
            p: {
                'seat': list(c.seat) if c.seat else None,
                'seq': c.seq,
                'full': c.full,
                'sealed': c.sealed,
                'ready': c.ready,
                'rows': len(c.rows),
            }
            for p, c in sorted(state.copies.parts.items())
        }
        out.append(
            Return(
                event.call,
                {
                    'ok': True,
                    'me': state.me,
                    'role': 'store',
                    'zone': state.zone,
                    'place': state.place,
                    'generation': state.word.generation,
                    'register': [state.word.number, sorted(state.word.now), sorted(state.word.old)],
                    'renewed': leases(state, now),
                    'parts': parts,
                },
            )
        )
    else:
        out.append(Return(event.call, Fault('garbled', f'no message of kind {kind!r}').pack()))
    return state


def renew(state: Store, event: Told, now: datetime, out: list) -> Store:
    """This store's word for a routing node that the core does not answer; the lease that it may count
    on is kept in mind, to be told to the core.

    >>> from datetime import UTC
    >>> t, out = datetime(2026, 1, 1, tzinfo=UTC), []
    >>> s = Store('s1', 'a:1', 'z', 1, (), word=Word(4, 1))
    >>> s = renew(s, Told(1, {'node': 'n1', 'generation': 3, 'number': 1, 'place': 0}), t, out)
    >>> out[0].ret['word'][:2], list(s.renewed)
    ([4, 1], [('n1', 4)])
    """
    m, word = event.message, state.word
    if not word.number:
        out.append(Return(event.call, Fault('core_away', 'this store is not registered yet').pack()))
        return state
    if word.generation <= m['generation']:  # the register is enough
        word = word._replace(policy=None, leaving=())
    lease_ms = state.lease // timedelta(milliseconds=1)
    ret = {
        'ok': True,
        'word': list(word),
        'lease_ms': lease_ms,
        'fleet': state.fleet,
        'core': list(state.core),
    }
    if state.place > m['place']:
        ret.update(place=state.place, seats=state.seats, book=state.book)
    out.append(Return(event.call, ret))
    out.append(Count('renewed'))
    return state._replace(renewed=state.renewed.set((m['node'], state.word.generation), now))


def away(state: Store, now: datetime) -> bool:
    """Whether the core has not answered for long.

    >>> away(Store('s1', 'a:1', 'z', 1, ()), None)
    True
    """
    return state.news is None or now - state.news > AWAY


def greet(state: Store, now: datetime, out: list) -> Store:
    """While the core is away, tell the routing nodes' addresses what it would tell them: one that was
    started meanwhile finds the stores so, and serves."""
    if (
        not away(state, now)
        or not state.word.number
        or (state.greeted is not None and now - state.greeted < GREET_EVERY)
    ):
        return state
    book = {'number': state.word.number, 'now': state.word.now, 'old': state.word.old}
    message = {'k': 'greet', 'fleet': state.fleet, 'core': list(state.core), 'register': book}
    for address in state.known:
        out.append(Ask(address, message, ('greet', address)))
    return state._replace(greeted=now)


def stuck(state: Store, now: datetime) -> list[list]:
    """The parts, with their epochs, that this store should serve and cannot, and the backups that do not
    confirm.

    >>> stuck(Store('s1', 'a:1', 'z', 1, ()), None)
    []
    """
    return sorted(
        [p, epoch, list(mute(state.copies.parts[p]))]
        for p, (epoch, at) in state.since.items()
        if p in state.copies.parts and now - at > stands_still(state, state.copies.parts[p])
    )


def stands_still(state: Store, copy: group.Copy) -> timedelta:
    """How long a part is not served before that is reported: less if it served before, as then its backups
    were there and something has happened to one."""
    return state.silent * (FLIGHT_PART if copy.ready else PEER_PART)


def mute(copy: group.Copy) -> tuple:
    """The backups that a primary waits for.

    >>> mute(group.Copy('p', Seat(1, 0, 'a', 'b', 'c'), met=Map({'b': (1, ())})))
    ('c',)
    """
    if copy.ready and copy.flight:
        return copy.flight.want
    return tuple(b for b in copy.seat.backups if b not in copy.met) if copy.seat else ()


def waits(state: Store, now: datetime) -> Store:
    """Note since when a part has not been served."""
    since = state.since
    for part, copy in state.copies.parts.items():
        mine = copy.seat is not None and copy.seat.primary == state.me and copy.full
        well = (
            copy.ready
            and not copy.sealed
            and (copy.flight is None or now - (copy.heard or now) < CONFIRM_LIMIT)
        )
        if mine and not well and not (copy.sealed and copy.shift):
            if part not in since or since[part][0] != copy.seat.epoch:
                since = since.set(part, (copy.seat.epoch, now))
        elif part in since:
            since = since.delete(part)
    return state._replace(since=since)


def leases(state: Store, now: datetime) -> list[list]:
    """The leases renewed here that may still run: (node, under which generation, how much longer). One under
    an older generation stays beside a later one: the node may never have had the later answer."""
    return sorted(
        [node, generation, (at + state.granted - now) // timedelta(milliseconds=1)]
        for (node, generation), at in state.renewed.items()
        if now - at <= state.granted
    )


def poll(state: Store, now: datetime, out: list, unserved: list | None = None) -> Store:
    """Ask the core for news, with what this store has; when the direct way fails, through a peer. `unserved`:
    the parts that it says are stuck, if not those that it has found so."""
    if state.blocked:
        return state
    number = state.poll + 1
    unserved = stuck(state, now) if unserved is None else unserved
    bold = [c for c in state.core if state.shy.get(c, now) <= now] or state.core
    to = state.at or bold[state.turn % len(bold)]
    message = {
        'k': 'poll',
        'node': state.me,
        'role': 'store',
        'address': state.address,
        'zone': state.zone,
        'inc': state.inc,
        'generation': state.word.generation,
        'number': state.word.number,
        'place': state.place,
        'renewed': leases(state, now),
        'stuck': unserved,
        'unpacks': True,
        'suspects': watch.suspects(state.watch, now),
        'facts': {
            'parts': len(state.copies.parts),
            'http': state.http,
            'clock': (now + state.wall_ahead).timestamp(),
        },
    }
    peers = sorted(state.watch.peers.values())
    by = bool(state.fails >= 2 and number % 8 and peers)
    message['by'] = by  # through a peer: it does not reach the core itself
    if by:
        out.append(
            Ask(
                peers[number % len(peers)],
                {'k': 'relay', 'message': message},
                ('poll', number),
                POLL_LIMIT_MS,
            )
        )
    else:
        out.append(Ask(to, message, ('poll', number), POLL_LIMIT_MS))
    return state._replace(
        poll=number,
        polled=now,
        out=True,
        asked=None if by else to,
        reported=findings(unserved, message['suspects']),
    )


def findings(unserved: list[list], suspects: list[str]) -> frozenset:
    """What of a poll the core should hear at once.

    >>> sorted(findings([['p', 2, ['s2']]], ['s3']))
    [('p', 2), ('s3', 0)]
    """
    return frozenset((part, epoch) for part, epoch, _ in unserved) | frozenset((n, 0) for n in suspects)


def answered(state: Store, event: Heard, now: datetime, out: list) -> Store:
    """The core's news: seats, addresses, and the moves this store is to lead."""
    if event.tag[1] != state.poll:
        return state
    state = state._replace(out=False)
    ret = event.ret
    if ret is None or 'fault' in ret:
        if state.asked is None:  # no way through a peer either: try the cores again
            return state._replace(fails=0, turn=state.turn + 1)
        at = (ret or {}).get('more', {}).get('at')
        if ret is None:
            state = state._replace(shy=state.shy.set(state.asked, now + SHY))
        if at and state.shy.get(at, now) > now:
            at = None
        if ret and ret['fault'] == 'garbled':  # a seed that is no core: it may know them
            out.append(Ask(state.asked or state.core[0], {'k': 'who'}, ('who',)))
        return state._replace(at=at, turn=state.turn + 1, fails=state.fails + (ret is None))
    if state.fleet is not None and ret['fleet'] != state.fleet:
        return state._replace(turn=state.turn + 1)
    ret = with_unpacked_policy(ret)
    core = tuple(ret['core'])
    if core != state.core or ret['fleet'] != state.fleet:
        out.append(Write((Put('', 'core', list(core)), Put('', 'fleet_id', ret['fleet'])), ('none',)))
    state = state._replace(
        at=state.asked or state.at,
        fleet=ret['fleet'],
        core=core,
        news=now,
        fails=0 if state.asked else state.fails,
        watch=watch.take(state.watch, ret, now),
    )
    if 'seats' in ret:
        state = state._replace(
            place=ret['place'], seats=ret['seats'], book=ret['book'], known=tuple(ret['known'])
        )
        out.append(
            Write((Put('', 'map', [ret['place'], ret['seats'], ret['book'], ret['known']]),), ('none',))
        )
        for part, raw in sorted(ret['seats'].items()):
            state = feed(state, Grant(part, Seat(*raw)), now, out)
    for part, _, joiner, raw in ret.get('plans', ()):
        state = feed(state, Move(part, joiner, Seat(*raw)), now, out)
    newest = state.next or state.word
    word = register.taken(newest, ret)
    if word != newest:  # said, and polled with, only once it is synced
        word = word._replace(live=ret['live'])
        out.append(Write((Put('', 'word', list(word)),), ('word', word)))
        return state._replace(next=word)
    return poll(state, now, out) if state.next is None else state


def word_synced(state: Store, word: Word, now: datetime, out: list) -> Store:
    """A word is on disk; a newer one may still be on its way there, if a blocked store's last poll brought it."""
    state = state._replace(word=word, next=None if state.next == word else state.next)
    return state if state.out or state.next is not None else poll(state, now, out)


def last_word(state: Store, now: datetime, out: list) -> Store:
    """Tell the core that no part can be served here, since the disk takes nothing; then be silent, so that
    no part is given to this store meanwhile.

    >>> from datetime import UTC
    >>> t, out = datetime(2026, 1, 1, tzinfo=UTC), []
    >>> copies = group.State('s1', Map({'p': group.Copy('p', Seat(1, 0, 's1'), full=True)}))
    >>> s = last_word(Store('s1', 'a:1', 'z', 1, ('c:1',), copies, core=('c:1',)), t, out)
    >>> out[0].message['stuck'], len(out), poll(s, t, out).poll == s.poll
    ([['p', 1, []]], 1, True)
    """
    seats = {p: c.seat for p, c in state.copies.parts.items() if c.seat}
    own = sorted([p, seat.epoch, []] for p, seat in seats.items() if seat.primary == state.me)
    return poll(state, now, out, own)._replace(blocked=True)


def tick(state: Store, now: datetime, out: list) -> Store:
    state = feed(state._replace(blocked=False), Tick(), now, out)
    state = waits(state, now)
    seen, asks = watch.due(state.watch, now)
    state = state._replace(watch=seen)
    for name, address in asks:
        out.append(Ask(address, {'k': 'who'}, ('ping', name), watch.PING_LIMIT_MS))
    state = greet(state, now, out)
    if state.renewed:
        running = {lease: at for lease, at in state.renewed.items() if now - at <= state.granted}
        state = state._replace(renewed=Map(running))
    unserved = stuck(state, now)
    if not state.out and (state.polled is None or now - state.polled > timedelta(milliseconds=150)):
        state = poll(state, now, out, unserved)
    elif findings(unserved, watch.suspects(state.watch, now)) - state.reported:
        state = poll(state, now, out, unserved)  # at once, beside the one that the core may hold for a while
    if state.swept is None or now - state.swept > SWEEP_EVERY:
        state = state._replace(swept=now)
        for part, copy in sorted(state.copies.parts.items()):
            if copy.ready and copy.seat.primary == state.me:
                state = feed(
                    state,
                    Op(
                        part,
                        ('sweep', part),
                        {'op': 'sweep', 'program_s': PROGRAM_S, 'from': state.sweeps.get(part, 0)},
                    ),
                    now,
                    out,
                )
    return state
