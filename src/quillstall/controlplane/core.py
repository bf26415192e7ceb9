"""Core: the reducer of a core process: witness, member of the core's group, and, while it is
primary, keeper of the news, the leases, the allotments and the placement."""

from datetime import datetime, timedelta
from typing import Any, NamedTuple

from immutables import Map

from quillstall.controlplane import allot, book
from quillstall.network import listing
from quillstall.network.listing import Listing
from quillstall.replication import ballot, group, register
from quillstall.replication.group import Grant, Op, Seat
from quillstall.replication.register import GRANTED, LEASE
from quillstall.replication.rendezvous import apart, rank
from quillstall.runtime.clock import of_ms
from quillstall.runtime.disk import Put
from quillstall.runtime.effect import Ask, Done, Heard, Note, Propose, Return, Tick, Told, Write, Wrote
from quillstall.runtime.errors import Fault

HOLD_POLL = timedelta(milliseconds=250)
SILENT = timedelta(milliseconds=1200)  # between the core's two seated members
STORE_SILENT = timedelta(milliseconds=2000)
ALLOT_EVERY = timedelta(milliseconds=500)
MOVES_AT_ONCE = 4
REPAIRS_AT_ONCE = 6
PARTS = 24
REGISTERED = 3  # with so many live stores, no silent one stays registered
WATCHED = 3  # peers that each node watches
VOUCHED = timedelta(milliseconds=5000)  # how long watchers' word keeps a silent store
FRESH = timedelta(milliseconds=1500)
GONE_MOST = 50
FORGET = timedelta(seconds=60)  # so long silent and without a lease, a start of a routing node is forgotten
CORE_GONE = 4  # times as long silent as a store, a core is replaced by one that waits
GREET_EVERY = timedelta(seconds=1)
GREET_MOST = 16
DUTY_TERM = timedelta(milliseconds=3300)  # a little longer than the holder counts on


class Node(NamedTuple):
    """A routing node or a store, as its polls show it.

    >>> Node('n1', 'route', '127.0.0.1:1', 'z1', 1).generation
    0
    """

    name: str
    role: str
    address: str
    zone: str
    inc: int
    generation: int = 0
    place: int = 0
    heard: datetime | None = None
    lease: datetime | None = None
    pressure: dict = {}
    has: dict = {}
    stuck: tuple = ()
    facts: dict = {}
    suspects: tuple = ()
    peers: tuple = ()
    doubts: tuple = ()
    reports: dict = {}
    number: int = 0  # the register that it has
    renewed: tuple = ()  # a store's word on leases it renewed: (node, generation, their end)
    listing: dict = {}  # age and digest of the list of replicas that it has
    relayed: bool = False  # it reaches the core through a peer only


class Poll(NamedTuple):
    """A poll that waits for news.

    >>> Poll(1, 'n1', None).name
    'n1'
    """

    call: Any
    name: str
    since: datetime | None


class Swap(NamedTuple):
    """A witness and member on its way out, and the one that is to take its place.

    >>> Swap(None, 'c1', 'c4', '127.0.0.1:9', None).new
    'c4'
    """

    call: Any
    old: str | None  # None: the crew grows
    new: str
    address: str
    since: datetime | None
    tried: datetime | None = None


class Wait(NamedTuple):
    """An operator's command that waits until every routing node has its generation.

    >>> Wait(1, 2, {}).generation
    2
    """

    call: Any
    generation: int
    ret: dict


class Core(NamedTuple):
    """All that a core process knows.

    >>> Core('c1', '127.0.0.1:1', 'z1', ()).fleet is None
    True
    """

    me: str
    address: str
    zone: str
    seeds: tuple
    copies: group.State = group.State('')
    witness: ballot.Witness = ballot.Witness()
    run: ballot.Campaign = ballot.Campaign()
    fleet: dict | None = None
    forming: dict | None = None
    maybe: tuple | None = None  # a crew that may have been granted: (epoch, crew)
    guests: Map = Map()  # cores that wait to be let in: address -> (name, zone)
    alive: tuple = ()
    duties: Map = Map()  # duty -> (holder, until): the ballots this witness has cast
    born: datetime | None = None
    swap: Any = None  # the change of crew under way
    synced: datetime | None = None
    hails: Map = Map()
    next_hail: datetime | None = None
    nodes: Map = Map()
    polls: tuple = ()
    waits: tuple = ()
    seated: datetime | None = None
    held: Map = Map()
    targets: dict = {}
    wants: dict = {}
    allot_at: datetime | None = None
    dice: int = 1
    parts: int = PARTS
    settled: tuple = (0, None)  # the register that majorities have, and since when
    greeted: datetime | None = None
    listing: dict = {}  # the newest list of replicas, with the time when it was looked up
    founding: bool = True  # whether this may be the fleet's first start
    losses: int = 1  # how many machines with a disk may be lost at once
    lone: bool = False  # whether a part is served on by what is left while it is repaired
    heard: Map = Map()  # core -> when it last answered
    silent: timedelta = STORE_SILENT  # so long silent, a store is given up if those that watch it agree


def load(me: str, startup: dict, rows: dict, count: int, now: datetime) -> Core:
    """The state after a start, from the startup and what the disk held.

    >>> from datetime import UTC
    >>> s = {'address': '127.0.0.1:1', 'zone': 'z1', 'seeds': ['127.0.0.1:1']}
    >>> load('c1', s, {}, 1, datetime(2026, 1, 1, tzinfo=UTC)).fleet is None
    True
    """
    own = rows.get('', {})
    state = group.load(me, rows, count, beats=True)
    copy = state.parts.get('core')
    if copy:
        state = state._replace(parts=state.parts.set('core', copy._replace(heard=now)))
    witness = ballot.load(own)
    run = ballot.Campaign(seen=max(witness.promised, copy.seat.epoch if copy and copy.seat else 0))
    return Core(
        me,
        startup['address'],
        startup['zone'],
        tuple(startup['seeds']),
        state,
        witness,
        run,
        own.get('fleet'),
        own.get('forming'),
        dice=count * 2654435761 % 2**32 or 1,
        parts=startup.get('parts', PARTS),
        born=now,
        founding=startup.get('founding', True),
        losses=startup.get('losses', 1),
        lone=startup.get('lone', False),
        silent=of_ms(startup['silent_ms']) if 'silent_ms' in startup else STORE_SILENT,
    )


def where(state: Core, to: str) -> str | None:
    """The address of a member: `where(state, 'c1')`. An address stands for itself."""
    if ':' in to:
        return to
    for crew in crews(state):
        for name, address in crew:
            if name == to:
                return address
    return None


def crew_of(state: Core) -> tuple:
    """The witnesses that are in force: `crew_of(state)`."""
    return ballot.tuples((state.fleet or {}).get('witnesses')) or ()


def crew_next(state: Core) -> tuple:
    """The crew that the next seat goes with: the newest that may have been granted."""
    since = (state.fleet or {}).get('epoch', 0)
    best = (since, crew_of(state))
    if state.witness.seat and state.witness.crew and state.witness.seat[0] > best[0]:
        best = (state.witness.seat[0], state.witness.crew)
    if state.maybe and state.maybe[0] > best[0]:
        best = state.maybe
    return best[1]


def crews(state: Core) -> tuple:
    """All crews of which a majority is needed now: `crews(state)`."""
    out = [crew_of(state)]
    for crew in (crew_next(state), state.run.crew if state.run.stage in ('ask', 'move', 'accept') else None):
        if crew and crew not in out:
            out.append(crew)
    return tuple(out)


def apply_part(part: str, rows: Map, command: dict, now: datetime) -> tuple[tuple, dict]:
    """The group's way to the book: `apply_part('core', rows, {'op': 'confirm'}, now)`."""
    return book.apply(rows, command, now)


def copy_of(state: Core) -> group.Copy | None:
    return state.copies.parts.get('core')


def rows_of(state: Core) -> Map:
    copy = copy_of(state)
    return copy.rows if copy else Map()


def primary(state: Core) -> bool:
    """Whether this process is the ready primary: `primary(state)`."""
    copy = copy_of(state)
    return bool(copy and copy.seat and copy.full and copy.ready and copy.seat.primary == state.me)


def step(state: Core, event: Any, now: datetime) -> tuple[Core, tuple]:
    """The next state and the effects of any event of a core process.

    >>> from datetime import UTC
    >>> t = datetime(2026, 1, 1, tzinfo=UTC)
    >>> s = Core('c1', '127.0.0.1:1', 'z1', ('127.0.0.1:1',))
    >>> s, e = step(s, Told(1, {'k': 'poll', 'node': 'n1'}), t); e[0].ret['fault']
    'core_away'
    """
    out: list = []
    state = _step(state, event, now, out)
    return state, tuple(out)


def _step(state: Core, event: Any, now: datetime, out: list) -> Core:
    kind = type(event)
    if kind is Told:
        return told(state, event, now, out)
    if kind is Tick:
        return tick(state, now, out)
    if kind is Listing:
        return flush(state._replace(listing=event.rows), now, out)
    if kind is Heard and event.tag[0] == 'b':
        return ballots(state, event, now, out)
    if kind is Heard and event.tag[0] == 'f':
        return formed(state, event, now, out)
    if kind is Wrote and event.tag[0] == 'w':
        out.extend(ballot.wrote(event))
        return state
    if kind is Wrote and event.tag[0] == 'f':
        return wrote(state, event, now, out)
    if kind in (Heard, Wrote) and event.tag[0] == 'g':
        return feed(state, event, now, out)
    return state


def feed(state: Core, event: Any, now: datetime, out: list) -> Core:
    """Give the group an event, and do here what concerns this process."""
    was = primary(state)
    inner, effects = group.step(state.copies, event, now, apply_part)
    state = state._replace(copies=inner)
    if primary(state) and not was:
        state = state._replace(
            seated=now,
            nodes=Map(),
            held=Map(),
            targets={},
            wants={},
            polls=(),
            guests=Map(),
            swap=None,
            alive=(),
            settled=(0, None),
        )
    if was and not primary(state):
        for poll in state.polls:
            out.append(Return(poll.call, Fault('moved', 'not the primary now').pack()))
        for wait in state.waits:
            out.append(Return(wait.call, Fault('moved', 'not the primary now', ran='unknown').pack()))
        state = state._replace(seated=None, polls=(), waits=())
    for effect in effects:
        if type(effect) is Done:
            state = done(state, effect, now, out)
        elif type(effect) is Propose:
            state = propose(state, effect, now, out)
        else:
            out.append(effect)
    return state


def propose(state: Core, effect: Propose, now: datetime, out: list) -> Core:
    run, more = ballot.propose(state.run, effect.seat, crews(state), state.run.crew or crew_next(state), now)
    out.extend(more)
    return state._replace(run=run)


def ballots(state: Core, event: Heard, now: datetime, out: list) -> Core:
    copy = copy_of(state)
    own = copy.seat if copy and copy.full else None
    ret = event.ret or {}
    if (
        ret.get('seat')
        and ret.get('crew')
        and ret['seat'][0] > max(state.fleet['epoch'], state.maybe[0] if state.maybe else 0)
    ):
        state = state._replace(maybe=(ret['seat'][0], ballot.tuples(ret['crew'])))
    run, effects, events = ballot.heard(
        state.run, event, state.me, crews(state), own, lambda yes: seated_next(state, yes), now
    )
    out.extend(effects)
    state = state._replace(run=run)
    if run.stage == 'won':
        state = won(state, now, out)
    for inner in events:
        state = feed(state, inner, now, out)
    return state


def won(state: Core, now: datetime, out: list) -> Core:
    """The witnesses have accepted: put the crew in force and tell everyone."""
    old = crew_of(state)
    seat = Seat(*state.run.seat)
    swap = state.swap
    gone = [list(w) for w in old if w[0] not in dict(state.run.crew)]
    fleet = {
        **state.fleet,
        'witnesses': state.run.crew,
        'epoch': seat.epoch,
        'seat': list(seat),
        'gone': (list(state.fleet.get('gone', ())) + gone)[-GONE_MOST:],
    }
    state = state._replace(fleet=fleet, maybe=None, run=ballot.Campaign(seen=state.run.seen))
    out.append(Write((Put('', 'fleet', fleet),), ('none',)))
    for name, address in {**dict(old), **dict(fleet['witnesses'])}.items():
        if name != state.me:
            out.append(Ask(address, {'k': 'fleet', 'fleet': fleet, 'seat': list(seat)}, ('none',)))
    if swap and swap.new in dict(fleet['witnesses']):
        out.append(Note('crew', {'out': swap.old, 'in': swap.new, 'epoch': seat.epoch}))
        if swap.call is not None:
            out.append(Return(swap.call, {'ok': True, 'crew': [list(w) for w in fleet['witnesses']]}))
        state = over(state)
    return state


def copies(state: Core) -> int:
    """How many copies there are of everything kept: one more than may be lost at once.

    >>> copies(Core('c1', '127.0.0.1:1', 'z1', ()))
    2
    """
    return state.losses + 1


def seated_next(state: Core, yes: tuple) -> tuple | None:
    """Whom a candidate would sit with, of those whose ballots came: the others of the old seat that are
    there, and one from outside it. After a loss the old partners alone are tried, by turns."""
    copy = copy_of(state)
    if copy is None or copy.seat is None:
        return None
    old = [n for n in copy.seat.others(state.me) if n in yes and n != copy.seat.primary]
    back = [n for n in copy.seat.others(state.me) if n in yes and n == copy.seat.primary]
    outside = [n for n, _ in crew_next(state) if not copy.seat.holds(n) and n in yes]
    if state.run.losses % 3 == 2 or not outside:
        members = (state.me, *(old + back)[: copies(state) - 1])
    else:
        members = (state.me, *old[: copies(state) - 2], outside[0])
    return members if len(members) > 1 else None


def told(state: Core, event: Told, now: datetime, out: list) -> Core:
    m = event.message
    kind = m.get('k')
    if kind in ('hail', 'form'):
        return hail(state, event, now, out)
    if kind == 'who':
        out.append(Return(event.call, who(state)))
        return state
    if kind == 'greet':
        if state.fleet is None:  # an empty folder, and seeds that are gone
            admit(state, m['core'][int(now.timestamp()) % len(m['core'])], out)
        out.append(Return(event.call, {'ok': True}))
        return state
    if kind == 'fleet':
        return learn(state, m['fleet'], m.get('seat'), event.call, now, out)
    if state.fleet is None:
        out.append(Return(event.call, Fault('core_away', 'this core has no fleet yet').pack()))
        return state
    if kind in ballot.KINDS:
        run = state.run
        witness, effects = ballot.cast(state.witness, event)
        run = run._replace(seen=max(run.seen, witness.promised))
        out.extend(effects)
        return state._replace(witness=witness, run=run)
    if kind in group.KINDS:
        return feed(state, event, now, out)
    if kind == 'duty':
        return cast_duty(state, event, now, out)
    if kind == 'status':
        out.append(Return(event.call, status(state, now)))
        return state
    if not primary(state):
        seat = newest(state)
        at = where(state, seat.primary) if seat and seat.primary != state.me else None
        out.append(Return(event.call, Fault('core_away', 'not the primary', more={'at': at}).pack()))
        return state
    if kind == 'poll':
        return polled(state, event, now, out)
    if kind == 'admit':
        if m['address'] not in state.guests and m['member'] not in dict(crew_of(state)):
            out.append(Note('guest', {'name': m['member'], 'address': m['address']}))
        if m['member'] not in dict(crew_of(state)):
            state = state._replace(guests=state.guests.set(m['address'], (m['member'], m['zone'])))
        out.append(Return(event.call, {'ok': True}))
        return state
    if kind == 'swap':
        return swapping(state, event, now, out)
    command = {k: v for k, v in m.items() if k not in ('k', 'at')}
    if kind in ('apply', 'leaving'):
        return feed(state, Op('core', ('c', 'gen', event.call), {**command, 'op': kind}), now, out)
    if kind == 'retire':
        command['live'] = [n.name for n in stores(state, now)]
        command['copies'] = copies(state)
        return feed(state, Op('core', ('c', 'ret', event.call), {**command, 'op': 'retire'}), now, out)
    if kind == 'seat':
        return feed(state, Op('core', ('c', 'seat', event.call), {**command, 'op': 'seat'}), now, out)
    if kind == 'show':
        return feed(state, Op('core', ('c', 'show', event.call, m.get('id')), {'op': 'confirm'}), now, out)
    out.append(Return(event.call, Fault('garbled', f'no message of kind {kind!r}').pack()))
    return state


def cast_duty(state: Core, event: Told, now: datetime, out: list) -> Core:
    """This witness's ballot for a duty: for one holder a term; none just after a start, when the
    ballots cast before it are forgotten."""
    name, by = event.message['name'], event.message['by']
    row = state.duties.get(name)
    yes = now - state.born >= DUTY_TERM and (row is None or row[1] <= now or row[0] == by)
    out.append(Return(event.call, {'ok': yes, 'holder': by if yes else row[0] if row else None}))
    return state._replace(duties=state.duties.set(name, (by, now + DUTY_TERM))) if yes else state


def newest(state: Core) -> Seat | None:
    """The newest seat that this process has heard of: `newest(state)`."""
    copy = copy_of(state)
    known = [copy.seat if copy else None, state.witness.seat, (state.fleet or {}).get('seat')]
    return max((Seat(*s) for s in known if s), key=lambda s: s.epoch, default=None)


def who(state: Core) -> dict:
    """What anyone may know: the fleet and who is thought to be primary: `who(state)`."""
    copy, best = copy_of(state), newest(state)
    return {
        'ok': True,
        'me': state.me,
        'role': 'core',
        'fleet': (state.fleet or {}).get('id'),
        'crew': state.fleet,
        'sure': list(copy.seat) if copy and copy.seat else None,
        'core': [a for _, a in (state.fleet or {}).get('witnesses', ())],
        'seat': list(best) if best else None,
        'at': where(state, best.primary) if best else None,
    }


# ---- polls, leases, news


def polled(state: Core, event: Told, now: datetime, out: list) -> Core:
    m = event.message
    old = state.nodes.get(m['node'])
    if old and m['inc'] < old.inc:
        out.append(Return(event.call, Fault('refused', 'a later start of this node is known').pack()))
        return state
    node = Node(
        m['node'],
        m['role'],
        m['address'],
        m['zone'],
        m['inc'],
        m['generation'],
        m['place'],
        now,
        old.lease if old else None,
        m.get('pressure') or {},
        m.get('has') or {},
        tuple(m.get('stuck') or ()),
        m.get('facts') or {},
        tuple(m.get('suspects') or ()),
        old.peers if old else (),
        tuple(m.get('doubts') or ()),
        m.get('reports') or {},
        m.get('number', 0),
        tuple(
            (n, gen, now - timedelta(milliseconds=age) + GRANTED) for n, gen, age in m.get('renewed') or ()
        ),
        m.get('listing') or {},
        bool(m.get('by')),
    )
    if old is None or old.inc != node.inc:
        out.append(
            Note('node', {'name': node.name, 'role': node.role, 'address': node.address, 'inc': node.inc})
        )
    state = state._replace(nodes=state.nodes.set(node.name, node))
    state = hold(state, node)
    if node.role == 'store':
        row = rows_of(state).get(f'member/{node.name}')
        if row is None or (row['address'], row['zone']) != (node.address, node.zone):
            state = feed(
                state,
                Op(
                    'core',
                    ('c', 'none'),
                    {
                        'op': 'join',
                        'member': node.name,
                        'role': 'store',
                        'address': node.address,
                        'zone': node.zone,
                    },
                ),
                now,
                out,
            )
    elif f'known/{node.address}' not in rows_of(state):
        state = feed(state, Op('core', ('c', 'none'), {'op': 'know', 'address': node.address}), now, out)
    state = state._replace(polls=state.polls + (Poll(event.call, node.name, now),))
    state = release(state, now, out)
    return flush(state, now, out)


def behind(state: Core, node: Node) -> bool:
    rows = rows_of(state)
    return (
        newer(node, rows.get('gen', 0))
        or node.place != rows.get('place', 0)
        or node.number < register_of(state)['number']
        or (node.role == 'route' and listing.newer(node.listing, state.listing))
    )


def newer(node: Node, gen: int) -> bool:
    """Whether a generation is news to a node.

    >>> newer(Node('n1', 'route', '127.0.0.1:1', 'z1', 1, 3), 3)
    False
    """
    return node.generation < gen


def register_of(state: Core) -> dict:
    """The stores of which majorities count now: `register_of(state)['now']`."""
    return rows_of(state).get('register') or register.NEVER


def flush(state: Core, now: datetime, out: list) -> Core:
    """Answer the polls that have news or have waited long, after the backup's confirmation."""
    due = tuple(
        p
        for p in state.polls
        if now - p.since >= HOLD_POLL or behind(state, state.nodes[p.name]) or news(state, p.name, now)
    )
    if not due:
        return state
    state = state._replace(polls=tuple(p for p in state.polls if p not in due))
    return feed(state, Op('core', ('c', 'polls', due), {'op': 'confirm'}), now, out)


def news(state: Core, name: str, now: datetime) -> bool:
    """Whether the node's allotment has changed since it was told, or a plan waits for it."""
    node = state.nodes[name]
    if node.role == 'store':
        return False
    row = allotted(state, name, now)
    return any(row.get(r) != node.has.get(r, [0, 0])[0] for r in row)


def early(state: Core, now: datetime) -> bool:
    """Whether leases that the last primary gave may still run: `early(state, now)`."""
    return state.seated is None or now - state.seated < GRANTED


def allotted(state: Core, name: str, now: datetime) -> dict:
    """What a node may use now; just after a take-over, what it says it has."""
    if early(state, now):
        return {r: limit for r, (limit, _) in state.nodes[name].has.items()}
    return {r: row[name] for r, row in state.targets.items() if name in row}


def answer(state: Core, poll: Poll, rows: Map, now: datetime, out: list) -> Core:
    """The return of one poll from confirmed rows, and the lease that it gives."""
    node = state.nodes.get(poll.name)
    if node is None:
        out.append(Return(poll.call, Fault('moved', 'not the primary now').pack()))
        return state
    gen, place = rows.get('gen', 0), rows.get('place', 0)
    seat = copy_of(state).seat
    ret = {
        'ok': True,
        'generation': gen,
        'place': place,
        'lease_ms': LEASE // timedelta(milliseconds=1),
        'epoch': seat.epoch,
        'fleet': state.fleet['id'],
        'core': [a for _, a in state.fleet['witnesses']],
        'live': sum(1 for n in state.nodes.values() if n.role == 'route' and n.lease and n.lease > now),
    }
    if newer(node, gen):
        ret['policy'] = rows.get('policy')
        ret['leaving'] = [n for n, _ in book.named(rows, 'leaving/')]
    book_now = rows.get('register') or register.NEVER
    if node.number < book_now['number']:
        ret['register'] = book_now
    if node.place != place:
        ret['seats'] = {p: list(s) for p, s in book.named(rows, 'part/')}
        ret['book'] = {n: r['address'] for n, r in book.named(rows, 'member/')}
        ret['known'] = [a for a, _ in book.named(rows, 'known/')]
    if node.role == 'route' and listing.newer(node.listing, state.listing):
        ret['listing'] = state.listing
    if node.role == 'route':
        ret['allot'] = allotted(state, node.name, now)
        alive = [n for n in state.nodes.values() if now - n.heard <= FRESH]
        doubts = sorted({r for n in alive for r in n.doubts})
        if doubts:
            duty = state.duties.get('probe')
            ret['doubts'], ret['duty'] = doubts, duty[0] if duty and duty[1] > now else None
            ret['reports'] = {r: v['well'] for n in alive for r, v in n.reports.items() if r in doubts}
        state = state._replace(nodes=state.nodes.set(node.name, node._replace(lease=now + GRANTED)))
    else:
        ret['plans'] = [list(p) for p in plans(state, now) if p[1] == node.name]
    names = {n.name: n.address for n in state.nodes.values() if now - n.heard <= VOUCHED}
    near = rank(node.name, [n for n in names if n != node.name])[:WATCHED]
    ret['peers'] = {n: names[n] for n in near}
    state = state._replace(
        nodes=state.nodes.set(node.name, state.nodes[node.name]._replace(peers=tuple(near)))
    )
    out.append(Return(poll.call, ret))
    return state


def release(state: Core, now: datetime, out: list) -> Core:
    """Acknowledge the generations that every routing node has, or can no longer be without: a majority
    of the registered stores has them, and no lease under an older one runs on."""
    left = []
    for wait in state.waits:
        if early(state, now) or not kept(state, wait.generation) or late(state, wait.generation, now):
            left.append(wait)
        else:
            out.append(Return(wait.call, wait.ret))
    return state._replace(waits=tuple(left))


def kept(state: Core, generation: int) -> bool:
    """Whether majorities of the registers that count have the generation on their disks."""
    book_now = register_of(state)
    have = [n.name for n in state.nodes.values() if n.role == 'store' and n.generation >= generation]
    return register.most(have, book_now['now'], book_now['old'])


def late(state: Core, generation: int, now: datetime) -> list[str]:
    """The routing nodes that may still send under an older generation, by a lease of ours or by one
    that stores have renewed: `late(state, 4, now)`."""
    well = {n.name for n in state.nodes.values() if n.role == 'route' and n.generation >= generation}
    out = [
        n.name
        for n in state.nodes.values()
        if n.role == 'route' and n.name not in well and n.lease and n.lease > now
    ]
    return out + [
        n
        for store in state.nodes.values()
        for n, gen, end in store.renewed
        if gen < generation and end > now and n not in well
    ]


def enrol(state: Core, now: datetime, out: list) -> Core:
    """Keep the register of stores in step with the stores there are: one change at a time, and the old
    register counts until majorities of both have the new one and the leases of before are over."""
    rows = rows_of(state)
    if not book.named(rows, 'part/'):
        return state
    have = register_of(state)
    if have['old']:
        know = [n.name for n in state.nodes.values() if n.role == 'store' and n.number >= have['number']]
        if not register.most(know, have['now'], have['old']):
            return state
        number, since = state.settled
        if number != have['number']:
            return state._replace(settled=(have['number'], now))
        if now - since <= GRANTED or early(state, now):
            return state
        want = have['now']
    else:
        want = enrolled(state, now)
        if want == have['now']:
            return state
    command = {'op': 'enrol', 'base': have['number'], 'now': want, 'old': {} if have['old'] else have['now']}
    return feed(state, Op('core', ('c', 'none'), command), now, out)


def enrolled(state: Core, now: datetime) -> dict:
    """The stores that should be registered: those that live, and, where they are fewer than three,
    the registered ones that may come back."""
    known = {n: r['address'] for n, r in book.named(rows_of(state), 'member/') if r['state'] == 'in'}
    live = [n.name for n in stores(state, now) if n.name in known]
    away = [n for n in register_of(state)['now'] if n in known and n not in live]
    return {n: known[n] for n in sorted(live + away[: max(0, REGISTERED - len(live))])}


def done(state: Core, effect: Done, now: datetime, out: list) -> Core:
    """A command of ours is on two disks, or has failed."""
    tag, ret = effect.tag, effect.ret
    if tag[0] == 'beat' or tag[1] == 'none':
        return state
    kind, call = tag[1], tag[2]
    if kind == 'polls':
        for poll in call:
            if 'fault' in ret:
                out.append(Return(poll.call, ret))
            else:
                state = answer(state, poll, ret['rows'], now, out)
        return state
    if 'fault' in ret:
        out.append(Return(call, ret))
        out.append(Note('refused', {'cause': ret['fault'], 'text': ret.get('text', '')}))
        return state
    if kind == 'gen':
        out.append(Note('generation', {'generation': ret['generation']}))
        state = state._replace(waits=state.waits + (Wait(call, ret['generation'], ret),))
        state = release(state, now, out)
        return flush(state, now, out)
    if kind == 'show':
        rows = ret['rows']
        ret = {
            'ok': True,
            'generation': rows.get('gen', 0),
            'policy_generation': rows.get('policy_gen', 0),
            'policy': rows.get('policy'),
            'source': rows.get('source'),
            'asked': book.repeated(rows, {'id': tag[3]}) if len(tag) > 3 else None,
            'leaving': [n for n, _ in book.named(rows, 'leaving/')],
            'status': status(state, now, rows),
        }
    out.append(Return(call, ret))
    return flush(state, now, out)


# ---- slots


def hold(state: Core, node: Node) -> Core:
    """What a node says it may still be using counts as held by it."""
    if node.role != 'route':
        return state
    held = state.held
    for r, (limit, used) in sorted(node.has.items()):
        held = held.set((r, node.name), max(limit, used))
    for r, name in list(held):
        if name == node.name and r not in node.has:
            held = held.delete((r, name))
    return state._replace(held=held)


def slots(state: Core, now: datetime) -> Core:
    """Work out the allotments anew."""
    policy = rows_of(state).get('policy')
    if not policy or early(state, now):
        return state._replace(allot_at=now)
    nodes = [n for n in state.nodes.values() if n.role == 'route' and n.lease and n.lease > now]
    names = sorted(n.name for n in nodes)
    held = Map({k: v for k, v in state.held.items() if k[1] in names})
    targets: dict = {}
    wants = dict(state.wants)
    for pool, spec in sorted(policy['pools'].items()):
        if spec.get('listed'):  # shared by what the replicas themselves tell
            continue
        sizes = {r: v['slots'] for r, v in spec['replicas'].items()}
        want = {n.name: float(n.pressure.get(pool, 0)) for n in nodes}
        old = wants.get(pool)
        if (
            old
            and set(old) == set(want)
            and all(abs(want[n] - old[n]) <= 0.25 * max(8.0, old[n]) for n in want)
        ):
            want = old
        wants[pool] = want
        rows = allot.lay(sizes, allot.totals(sum(sizes.values()), want))
        for r, row in rows.items():
            have = {n: held.get((r, n), 0) for n in names}
            row = allot.trade(sizes[r], row, have)
            targets[r] = row
            for n in names:
                held = held.set((r, n), max(have[n], row[n]))
    return state._replace(held=held, targets=targets, wants=wants, allot_at=now)


# ---- stores and their parts


def watchers(state: Core, name: str, now: datetime) -> tuple[list[str], list[str]]:
    """Who watches a node and suspects it, and who watches it and does not: `watchers(state, 's1', now)`."""
    yes, no = [], []
    for n in sorted(state.nodes):
        node = state.nodes[n]
        if name in node.peers and n != name and now - node.heard <= FRESH:
            (yes if name in node.suspects else no).append(n)
    return yes, no


def stores(state: Core, now: datetime) -> list[Node]:
    """The stores that count as alive. One that is silent is given up when its watchers suspect it
    too, or when their word for it is old: `stores(state, now)`. Where parts are served on by what is left,
    only other stores' word keeps it: one that routing nodes alone reach can confirm nothing."""
    out = []
    for name in sorted(state.nodes):
        node = state.nodes[name]
        if node.role != 'store':
            continue
        quiet = now - node.heard
        yes, no = watchers(state, name, now)
        vouched = [n for n in no if not state.lone or state.nodes[n].role == 'store']
        if quiet <= state.silent or (quiet <= VOUCHED and vouched and not yes):
            out.append(node)
    return out


def mourn(state: Core, now: datetime, out: list) -> Core:
    """Note which stores have been given up, or are back, and on whose word."""
    live = tuple(n.name for n in stores(state, now))
    for name in sorted(set(state.alive) - set(live)):
        out.append(
            Note(
                'store_given_up',
                {
                    'name': name,
                    'silent_ms': (now - state.nodes[name].heard) // timedelta(milliseconds=1)
                    if name in state.nodes
                    else None,
                    'suspected_by': watchers(state, name, now)[0],
                },
            )
        )
    for name in sorted(set(live) - set(state.alive)):
        out.append(Note('store_alive', {'name': name}))
    return state._replace(alive=live)


def plans(state: Core, now: datetime) -> list[tuple]:
    """The moves that should be under way: (part, leader, joiner, seat). First the parts that lost a
    member: it is dropped at once where enough is left to serve; then those that lack a copy; then those
    that should sit elsewhere."""
    rows = rows_of(state)
    if state.seated is None or now - state.seated < state.silent:
        return []
    live = {n.name: n for n in stores(state, now)}
    known = dict(book.named(rows, 'member/'))
    good = {n: r['zone'] for n, r in known.items() if r['state'] == 'in' and n in live}
    stuck = {n: {(p, e): set(names) for p, e, names in node.stuck} for n, node in live.items()}
    most, least = copies(state), 1 if state.lone else 2
    urgent, repair, calm = [], [], []
    for part, raw in book.named(rows, 'part/'):
        seat = Seat(*raw)
        silent = stuck.get(seat.primary, {}).get((part, seat.epoch), set())
        alone = {n for n in seat.members if n in live and live[n].relayed}
        if alone and any(n in live and n not in alone for n in seat.members):
            silent = silent & alone | alone  # cut off with its word on the others: theirs counts
        elif (part, seat.epoch) in stuck.get(seat.primary, {}) and not silent and len(seat.members) > 1:
            silent = {seat.primary}  # all confirm and it stands still: its own disk
        here = [n for n in seat.members if n in live and n not in silent]
        if not here:
            continue
        stay = [n for n in here if n in good]
        leader = here[0]
        order = [n for n in apart(part, good, stay) if n not in seat.members]
        if len(here) < len(seat.members) and len(stay) >= least:
            urgent.append((part, leader, leader, (seat.epoch + 1, seat.epoch, *stay)))
        elif len(here) < len(seat.members) or len(stay) < len(here):
            order = order or [n for n in silent if n in good]
            if order:
                keep = stay or [leader]
                urgent.append((part, leader, order[0], (seat.epoch + 1, seat.epoch, *keep, order[0])))
        elif len(stay) < most:
            if order:
                repair.append((part, leader, order[0], (seat.epoch + 1, seat.epoch, *stay, order[0])))
        else:
            move = better(part, seat, good, most)
            if move:
                calm.append((part, seat.primary, move[-1], (seat.epoch + 1, seat.epoch, *move)))
    if urgent:
        return urgent
    turn = (
        int(now.timestamp()) * REPAIRS_AT_ONCE % max(1, len(repair))
    )  # one that hangs must not hold up the rest
    return (repair[turn:] + repair[:turn])[:REPAIRS_AT_ONCE] or calm[:MOVES_AT_ONCE]


def better(part: str, seat: Seat, good: dict[str, str], most: int) -> list[str] | None:
    """The members of a part after one step towards where it should sit, the joiner last; None if it sits
    well, or the step would bring its copies into fewer zones.

    >>> zones = {'a': 'x', 'b': 'y', 'c': 'z'}
    >>> best = apart('p00', zones)[:2]; other = next(n for n in zones if n not in best)
    >>> better('p00', Seat(1, 0, *best), zones, 2) is None
    True
    >>> better('p00', Seat(1, 0, best[0], other), zones, 2) == list(best)
    True
    """
    best = apart(part, good)[:most]
    new = [n for n in best if not seat.holds(n)]
    gone = [n for n in seat.members if n not in best]
    extra = len(seat.members) - most
    if not new and extra <= 0:
        return None
    after = [n for n in seat.members if not gone or n != gone[-1]] + new[:1]
    if len({good[n] for n in after}) < min(len({good[n] for n in seat.members}), most):
        return None
    return after


def place(state: Core, now: datetime, out: list) -> Core:
    """Lay the parts out once enough stores are there."""
    rows = rows_of(state)
    if book.named(rows, 'part/') or state.seated is None:
        return state
    zones = {n.name: n.zone for n in stores(state, now)}
    if (
        len(set(zones.values())) < 2
        or len(zones) < copies(state)
        or (len(zones) < copies(state) + 1 and now - state.seated < 2 * LEASE)
    ):
        return state
    return feed(
        state,
        Op(
            'core',
            ('c', 'none'),
            {'op': 'found', 'parts': state.parts, 'zones': zones, 'copies': copies(state)},
        ),
        now,
        out,
    )


# ---- the clock event


def tick(state: Core, now: datetime, out: list) -> Core:
    if state.fleet is None:
        return first(state, now, out)
    state = feed(state, Tick(), now, out)
    run, events = ballot.tick(state.run, now)
    state = state._replace(run=run)
    for inner in events:
        state = feed(state, inner, now, out)
    state = stand(state, now, out)
    state = sync(state, now, out)
    if not primary(state):
        return state
    state = change(state, now, out)
    if state.allot_at is None or now - state.allot_at >= ALLOT_EVERY:
        state = slots(state, now)
    state = mourn(forget(state, now), now, out)
    state = place(state, now, out)
    state = enrol(state, now, out)
    state = greet(state, now, out)
    state = release(state, now, out)
    return flush(state, now, out)


def forget(state: Core, now: datetime) -> Core:
    """Routing nodes that have been silent for long, with no lease left: each start is a node of its own,
    and what it was is of no more use."""
    old = [
        n
        for n in state.nodes.values()
        if n.role == 'route' and now - n.heard > FORGET and not (n.lease and n.lease > now)
    ]
    nodes, held = state.nodes, state.held
    for node in old:
        nodes = nodes.delete(node.name)
    if old:
        gone = {n.name for n in old}
        for key in [k for k in held if k[1] in gone]:
            held = held.delete(key)
    return state._replace(nodes=nodes, held=held) if old else state


def greet(state: Core, now: datetime, out: list) -> Core:
    """Tell the addresses that are known and silent where the core is: a process that was started again
    with the seeds of its first day may have no other way to learn it."""
    if state.greeted is not None and now - state.greeted < GREET_EVERY:
        return state
    rows = rows_of(state)
    near = {n.address for n in state.nodes.values() if now - n.heard <= STORE_SILENT}
    places = {a for a, _ in book.named(rows, 'known/')} | {a for _, a in crew_of(state) if a != state.address}
    places |= {r['address'] for _, r in book.named(rows, 'member/') if r['state'] != 'replaced'}
    line = sorted(places - near)
    turn = int(now.timestamp()) * GREET_MOST % max(1, len(line))
    message = {
        'k': 'greet',
        'fleet': state.fleet['id'],
        'core': [a for _, a in crew_of(state)],
        'register': register_of(state),
    }
    for address in (line[turn:] + line[:turn])[:GREET_MOST]:
        out.append(Ask(address, message, ('f', 'greet', address)))
    return state._replace(greeted=now)


def stand(state: Core, now: datetime, out: list) -> Core:
    """Stand for the primacy if the other seated member has been silent."""
    copy = copy_of(state)
    if copy is None or copy.seat is None or not copy.full or not copy.seat.holds(state.me):
        return state
    if state.run.stage != 'idle' or copy.heard is None or state.me not in dict(crew_next(state)):
        return state
    dice = (state.dice * 1103515245 + 12345) % 2**31
    rest = timedelta(milliseconds=200 + dice % 600)
    state = state._replace(dice=dice)
    if now - copy.heard < max(SILENT, state.silent) or (state.run.rest and now - state.run.rest < rest):
        return state
    run, effects = ballot.begin(
        state.run,
        state.me,
        crews(state),
        now,
        f'{", ".join(copy.seat.others(state.me))} silent since {copy.heard.isoformat()}',
    )
    out.extend(effects)
    return state._replace(run=run)


# ---- changes of the crew: a disk that was lost, or an operator's swap


def learn(state: Core, fleet: dict, seat: Any, call: Any, now: datetime, out: list) -> Core:
    """Take a newer crew, and a newer seat, that are known to be in force."""
    if state.fleet is not None and fleet['id'] == state.fleet['id']:
        if fleet['epoch'] > state.fleet['epoch']:
            out.append(Write((Put('', 'fleet', fleet),), ('none',)))
            if state.me in dict(crew_of(state)) and state.me not in dict(ballot.tuples(fleet['witnesses'])):
                out.append(
                    Note('swapped_out', {'epoch': fleet['epoch'], 'cause': "another took this one's place"})
                )
            state = state._replace(fleet=fleet, maybe=None)
        if seat:
            state = feed(state, Grant('core', Seat(*seat)), now, out)
    if call is not None:
        out.append(Return(call, {'ok': True}))
    return state


def sync(state: Core, now: datetime, out: list) -> Core:
    """Ask another core, in turn, what it knows of the crew and the seat."""
    if state.synced is not None and now - state.synced < timedelta(seconds=1):
        return state
    others = [(n, a) for n, a in crew_next(state) if n != state.me]
    turn = int(now.timestamp()) % len(others)
    for name, address in others if primary(state) else others[turn : turn + 1]:
        out.append(Ask(address, {'k': 'who'}, ('f', 'sync', name)))
    address = others[turn][1]
    if state.me not in dict(crew_of(state)):
        admit(state, address, out)
    return state._replace(synced=now)


def admit(state: Core, address: str, out: list) -> None:
    out.append(
        Ask(
            address,
            {'k': 'admit', 'member': state.me, 'address': state.address, 'zone': state.zone},
            ('f', 'admit', address),
        )
    )


def swapping(state: Core, event: Told, now: datetime, out: list) -> Core:
    """An operator's word that a core machine is to be swapped for another."""
    m, crew = event.message, crew_of(state)
    old = next((n for n, a in crew if m['name'] in (n, a)), None)
    by = m.get('by')
    if by in [a for _, a in crew] and any(m['name'] in pair for pair in state.fleet.get('gone', ())):
        out.append(Return(event.call, {'ok': True, 'crew': [list(w) for w in crew]}))
        return state
    fault = None
    if old is None:
        fault = Fault('unknown_name', f'no core {m["name"]!r}', (('name', 'is no member of the core'),))
    elif by not in state.guests:
        fault = Fault(
            'refused', f'no new core waits at {by}; start one there first', (('by', 'is not waiting'),)
        )
    elif state.swap is not None:
        fault = Fault('refused', 'another change of the core runs')
    if fault:
        out.append(Return(event.call, fault.pack()))
        return state
    out.append(Note('swap', {'out': old, 'in': state.guests[by][0], 'cause': 'operator'}))
    return state._replace(swap=Swap(event.call, old, state.guests[by][0], by, now))


def change(state: Core, now: datetime, out: list) -> Core:
    """Move a change of the crew on: invite the new one, then hold ballots under both crews."""
    swap = state.swap
    if swap is None:
        crew = crew_of(state)
        for name, address in crew:
            guest = state.guests.get(address)
            if guest and guest[0] != name:  # the same address with an empty folder: its disk was lost
                out.append(Note('swap', {'out': name, 'in': guest[0], 'cause': 'its data folder is new'}))
                return state._replace(swap=Swap(None, name, guest[0], address, now))
        free = [
            (a, g)
            for a, g in sorted(state.guests.items())
            if a not in dict(crew).values() and g[0] not in dict(crew)
        ]
        if free and len(crew) < 2 * state.losses + 1:
            address, guest = free[0]
            out.append(
                Note(
                    'swap',
                    {'out': None, 'in': guest[0], 'cause': 'too few witnesses for the losses to be borne'},
                )
            )
            return state._replace(swap=Swap(None, None, guest[0], address, now))
        gone = [
            n
            for n, _ in crew
            if n != state.me and now - state.heard.get(n, state.seated) > state.silent * CORE_GONE
        ]
        if free and gone and state.lone:
            address, guest = free[0]
            out.append(
                Note(
                    'swap',
                    {
                        'out': gone[0],
                        'in': guest[0],
                        'cause': 'it has been silent for long, and another waits',
                    },
                )
            )
            return state._replace(swap=Swap(None, gone[0], guest[0], address, now))
        return widen(state, now, out)
    if now - swap.since > timedelta(seconds=6):
        if swap.call is not None:
            out.append(
                Return(swap.call, Fault('refused', 'no majority of the old and the new core in time').pack())
            )
        return over(state)
    if state.run.stage != 'idle' or (swap.tried and now - swap.tried < timedelta(milliseconds=800)):
        return state
    fleet = {**state.fleet, 'witnesses': crew_to(state, swap)}
    out.append(Ask(swap.address, {'k': 'form', 'fleet': fleet}, ('f', 'invite', swap.new)))
    return state._replace(swap=swap._replace(tried=now))


def widen(state: Core, now: datetime, out: list) -> Core:
    """Bring another copy into the core's seat where it has fewer than it should."""
    copy = copy_of(state)
    if (
        len(copy.seat.members) >= copies(state)
        or state.run.stage != 'idle'
        or (state.run.rest and now - state.run.rest < timedelta(milliseconds=800))
    ):
        return state
    order = [
        n
        for n, _ in crew_of(state)
        if not copy.seat.holds(n)
        and n in state.heard
        and now - state.heard[n] < 2 * len(crew_of(state)) * timedelta(seconds=1)
    ]
    if not order or now - state.seated < SILENT:
        return state
    run, effects = ballot.begin(
        state.run,
        state.me,
        crews(state),
        now,
        f'{len(copy.seat.members)} copies of the core',
        None,
        (*copy.seat.members, order[0]),
    )
    out.extend(effects)
    return state._replace(run=run)


def over(state: Core) -> Core:
    """The change of the crew has ended, well or not; its guest asks again if it has to."""
    address = state.swap.address
    return state._replace(
        swap=None, guests=state.guests.delete(address) if address in state.guests else state.guests
    )


def crew_to(state: Core, swap: Swap) -> tuple:
    if swap.old is None:
        return crew_of(state) + ((swap.new, swap.address),)
    return tuple((swap.new, swap.address) if n == swap.old else (n, a) for n, a in crew_of(state))


def invited(state: Core, now: datetime, out: list) -> Core:
    """The new one knows the fleet: hold the ballots."""
    swap, copy = state.swap, copy_of(state)
    if swap is None or state.run.stage != 'idle' or not primary(state):
        return state
    crew = crew_to(state, swap)
    rest = [n for n, _ in crew if n != swap.old and not copy.seat.holds(n)]
    members = tuple(n for n in copy.seat.members if n != swap.old)
    if len(members) < len(copy.seat.members):
        members += (
            next(
                (
                    n
                    for n in rest
                    if n != swap.new and now - state.heard.get(n, state.seated) < state.silent * CORE_GONE
                ),
                rest[0],
            ),
        )
    run, effects = ballot.begin(
        state.run, state.me, crews(state) + (crew,), now, f'{swap.new} for {swap.old}', crew, members
    )
    out.extend(effects)
    return state._replace(run=run)


# ---- first formation: only when all three seeds are cores that have never had a fleet


def first(state: Core, now: datetime, out: list) -> Core:
    if state.next_hail and now < state.next_hail:
        return state
    if not state.founding and not state.hails.get('told'):
        state = state._replace(hails=state.hails.set('told', True))  # wait to be let in, never begin anew
    state = state._replace(next_hail=now + timedelta(milliseconds=300))
    if state.forming:
        for name, address in state.forming['witnesses']:
            if name != state.me:
                out.append(Ask(address, {'k': 'form', 'fleet': state.forming}, ('f', 'form', name)))
        return state
    for seed in state.seeds:
        if seed != state.address:
            out.append(Ask(seed, {'k': 'hail'}, ('f', 'hail', seed)))
    return state


def hail(state: Core, event: Told, now: datetime, out: list) -> Core:
    m = event.message
    if m['k'] == 'hail':
        out.append(
            Return(
                event.call,
                {
                    'ok': True,
                    'id': state.me,
                    'address': state.address,
                    'zone': state.zone,
                    'fleet': (state.fleet or {}).get('id'),
                },
            )
        )
        return state
    fleet = m['fleet']
    names = [n for n, _ in fleet['witnesses']]
    if state.fleet is not None or state.me not in names:
        same = state.fleet is not None and state.fleet['id'] == fleet['id']
        out.append(Return(event.call, {'ok': same}))
        return state
    out.append(Write((Put('', 'fleet', fleet),), ('f', 'formed', fleet, event.call)))
    return state


def formed(state: Core, event: Heard, now: datetime, out: list) -> Core:
    """The returns of hails and of the word that a fleet is formed."""
    ret = event.ret
    if ret is None or 'fault' in ret:
        if event.tag[1] == 'admit' and ret and ret['more'].get('at'):
            admit(state, ret['more']['at'], out)
        return state
    if event.tag[1] == 'sync':
        if ret.get('me') == event.tag[2]:
            state = state._replace(heard=state.heard.set(event.tag[2], now))
        return learn(state, ret['crew'], ret['sure'], None, now, out) if ret.get('crew') else state
    if event.tag[1] == 'invite':
        return invited(state, now, out) if ret['ok'] else state
    if state.fleet is not None or event.tag[1] == 'admit':
        return state
    if event.tag[1] == 'hail':
        if ret['fleet']:
            admit(state, event.tag[2], out)
            if not state.hails.get('told'):
                out.append(
                    Note(
                        'newcomer',
                        {'fleet': ret['fleet'], 'cause': 'others have a fleet, this folder has none'},
                    )
                )
            return state._replace(hails=state.hails.set('told', True))
        state = state._replace(hails=state.hails.set(event.tag[2], (ret['id'], ret['zone'])))
        others = [s for s in state.seeds if s != state.address]
        if state.hails.get('told') or state.address != min(state.seeds) or state.forming:
            return state
        if not all(s in state.hails for s in others):
            return state
        names = [(state.me, state.address)] + [(state.hails[s][0], s) for s in others]
        zones = {state.me: state.zone, **{state.hails[s][0]: state.hails[s][1] for s in others}}
        seat = [1, 0, *apart('core', zones, [state.me])[: copies(state)]]
        fleet = {'id': f'f-{state.me}', 'witnesses': names, 'epoch': 1, 'seat': seat}
        out.append(Write((Put('', 'forming', fleet),), ('f', 'forming', fleet)))
        return state._replace(forming=fleet)
    if ret['ok'] and state.forming:
        state = state._replace(hails=state.hails.set(('ok', event.tag[2]), True))
        if all(('ok', n) in state.hails for n, _ in state.forming['witnesses'] if n != state.me):
            out.append(
                Write(
                    (Put('', 'fleet', state.forming), Put('', 'forming', None)),
                    ('f', 'formed', state.forming, None),
                )
            )
    return state


def wrote(state: Core, event: Wrote, now: datetime, out: list) -> Core:
    if event.tag[1] == 'forming':
        return state
    fleet, call = event.tag[2], event.tag[3]
    if call is not None:
        out.append(Return(call, {'ok': True}))
    if state.fleet is not None:
        return state
    out.append(Note('formed', {'fleet': fleet['id']}))
    seat = Seat(*fleet['seat'])
    state = state._replace(fleet=fleet, forming=None, run=ballot.Campaign(seen=1))
    if seat.holds(state.me) and seat.epoch == 1:
        state = feed(state, Grant('core', seat), now, out)
    return state


# ---- what it tells


def status(state: Core, now: datetime, rows: Map | None = None) -> dict:
    """What this process knows of the fleet, its rows by themselves or as they were confirmed:
    `status(state, now)`."""
    rows = rows_of(state) if rows is None else rows
    registered = rows.get('register') or register.NEVER
    copy = copy_of(state)
    nodes = {}
    gen = rows.get('gen', 0)
    for n in state.nodes.values():
        quiet = now - n.heard
        cause = ''
        if n.role == 'route' and n.generation < gen:
            cause = (
                'its lease has run out' if not (n.lease and n.lease > now) else 'has not yet polled for it'
            )
        nodes[n.name] = {
            'role': n.role,
            'address': n.address,
            'zone': n.zone,
            'inc': n.inc,
            'generation': n.generation,
            'silent_ms': quiet // timedelta(milliseconds=1),
            'lease': bool(n.lease and n.lease > now),
            'behind': cause,
            'watches': list(n.peers),
            'suspects': list(n.suspects),
            'stuck': list(n.stuck),
            'pressure': n.pressure,
            'facts': n.facts,
            'clock_ms': round((n.facts['clock'] - n.heard.timestamp()) * 1000)
            if 'clock' in n.facts
            else None,
        }
    members = {
        n: {
            **r,
            'parts': book.sits(rows, n),
            'off': r['state'] == 'retiring'
            and not book.sits(rows, n)
            and n not in {**registered['now'], **registered['old']},
        }
        for n, r in book.named(rows, 'member/')
    }
    since = (now - state.seated) // timedelta(milliseconds=1) if state.seated else None
    return {
        'ok': True,
        'me': state.me,
        'primary': primary(state),
        'seated_ms': since,
        'seat': list(copy.seat) if copy and copy.seat else None,
        'fleet': (state.fleet or {}).get('id'),
        'generation': gen,
        'place': rows.get('place', 0),
        'nodes': nodes,
        'members': members,
        'parts': {p: list(s) for p, s in book.named(rows, 'part/')},
        'plans': [list(p) for p in plans(state, now)] if primary(state) else [],
        'core': [list(w) for w in crew_of(state)],
        'guests': {a: g[0] for a, g in sorted(state.guests.items())},
        'register': registered,
        'waits': [w.generation for w in state.waits],
        'allot': state.targets,
        'leaving': [n for n, _ in book.named(rows, 'leaving/')],
    }
