"""Core: the reducer of a core process: voter, member of the core's replica set, and, while it is
primary, keeper of the news, the leases, the allotments and the placement."""

from datetime import datetime, timedelta
from typing import Any

from immutables import Map

from quillstall.controlplane import book, formation, leases, membership, placement, pooled_failures, status
from quillstall.controlplane.core_state import (
    STORE_SILENT,
    Core,
    Node,
    Poll,
    Wait,
    apply_part,
    copies,
    copy_of,
    crew_of,
    crews,
    early,
    load,
    newest,
    primary,
    register_of,
    rows_of,
    where,
)
from quillstall.network import listing
from quillstall.network.listing import Listing
from quillstall.replication import ballot, group, register
from quillstall.replication.group import Grant, Op, ReplicaSet
from quillstall.replication.rendezvous import rank_across_zones
from quillstall.runtime.disk import Put
from quillstall.runtime.effect import (
    Ask,
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

__all__ = ['load', 'step', 'where']  # what a role offers to the process that runs it

HOLD_POLL = timedelta(milliseconds=250)
HOLD_TOGETHER = timedelta(milliseconds=60)  # polls this close to their time are answered with one that is due
ALLOT_EVERY = timedelta(milliseconds=500)
FORGET = timedelta(seconds=60)  # so long silent and without a lease, a start of a routing node is forgotten
GREET_EVERY = timedelta(seconds=1)
GREET_MOST = 16
DUTY_TERM = timedelta(milliseconds=3300)  # a little longer than the holder counts on


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
        return tick(state._replace(wall_ahead=event.wall_ahead), now, out)
    if kind is Listing:
        return flush(state._replace(listing=event.rows), now, out)
    if kind is Heard and event.tag[0] == 'b':
        return ballots(state, event, now, out)
    if kind is Heard and event.tag[0] == 'f':
        return formed(state, event, now, out)
    if kind is Wrote and event.tag[0] == 'w':
        out.extend(ballot.reply_after_write(event))
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
            state = membership.propose(state, effect, now, out)
        else:
            out.append(effect)
    return state


def ballots(state: Core, event: Heard, now: datetime, out: list) -> Core:
    copy = copy_of(state)
    own = copy.replica_set if copy and copy.has_all_rows else None
    ret = event.ret or {}
    if (
        ret.get('seat')
        and ret.get('crew')
        and ret['seat'][0] > max(state.fleet['epoch'], state.maybe[0] if state.maybe else 0)
    ):
        state = state._replace(maybe=(ret['seat'][0], ballot.decode_voters(ret['crew'])))
    run, effects, events = ballot.handle_reply(
        state.run, event, state.me, crews(state), own, lambda yes: membership.seated_next(state, yes), now
    )
    out.extend(effects)
    state = state._replace(run=run)
    if run.stage == 'won':
        state = membership.won(state, now, out)
    for inner in events:
        state = feed(state, inner, now, out)
    return state


def told(state: Core, event: Told, now: datetime, out: list) -> Core:
    m = event.message
    kind = m.get('k')
    if kind in ('hail', 'form'):
        return formation.hail(state, event, now, out)
    if kind == 'who':
        out.append(Return(event.call, status.who(state)))
        return state
    if kind == 'greet':
        if state.fleet is None:  # an empty folder, and seeds that are gone
            membership.admit(state, m['core'][int(now.timestamp()) % len(m['core'])], out)
        out.append(Return(event.call, {'ok': True}))
        return state
    if kind == 'fleet':
        return learn(state, m['fleet'], m.get('seat'), event.call, now, out)
    if state.fleet is None:
        out.append(Return(event.call, Fault('core_away', 'this core has no fleet yet').pack()))
        return state
    if kind in ballot.KINDS:
        run = state.run
        witness, effects = ballot.vote(state.witness, event)
        run = run._replace(highest_epoch=max(run.highest_epoch, witness.promised))
        out.extend(effects)
        return state._replace(witness=witness, run=run)
    if kind in group.KINDS:
        return feed(state, event, now, out)
    if kind == 'duty':
        return cast_duty(state, event, now, out)
    if kind == 'status':
        out.append(Return(event.call, status.status(state, now)))
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
        return membership.swapping(state, event, now, out)
    if kind == 'hand_over':
        return membership.hand_over(state, event, now, out)
    command = {k: v for k, v in m.items() if k not in ('k', 'at')}
    if kind in ('apply', 'leaving'):
        return feed(state, Op('core', ('c', 'gen', event.call), {**command, 'op': kind}), now, out)
    if kind == 'retire':
        command['live'] = [n.name for n in placement.stores(state, now)]
        command['copies'] = copies(state)
        return feed(state, Op('core', ('c', 'ret', event.call), {**command, 'op': 'retire'}), now, out)
    if kind == 'seat':
        placement.check_members(state, m['part'], m['seat'], out)
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
        tuple((n, gen, now + timedelta(milliseconds=left)) for n, gen, left in m.get('renewed') or ()),
        listing.from_wire(m.get('listing') or {}, now),
        bool(m.get('by')),
        old.plans if old else (),
        bool(m.get('unpacks')),
        pooled_failures.times_of(m.get('failing') or {}, now),
        pooled_failures.times_of(m.get('serving') or {}, now),
        m.get('outcomes') or {},
    )
    if old is None or old.inc != node.inc:
        out.append(
            Note('node', {'name': node.name, 'role': node.role, 'address': node.address, 'inc': node.inc})
        )
    state = state._replace(nodes=state.nodes.set(node.name, node))
    state = leases.hold(state, node)
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
    poll = Poll(event.call, node.name, now)
    state = state._replace(polls=state.polls + (poll,))
    state = leases.release(state, now, out)
    return flush_from(state, poll, now, out)


def flush(state: Core, now: datetime, out: list) -> Core:
    """Answer the polls that have news or have waited long, after the backup's confirmation."""
    waited = [p for p in state.polls if now - p.since >= HOLD_POLL]
    least = HOLD_POLL - HOLD_TOGETHER if waited else HOLD_POLL
    leaders = leases.new_leaders(state, now)
    due = tuple(
        p for p in state.polls if now - p.since >= least or p.name in leaders or has_news(state, p.name, now)
    )
    return confirm_polls(state, due, now, out)


def has_news(state: Core, name: str, now: datetime) -> bool:
    """Whether there is something to tell a node that polls."""
    return leases.behind(state, state.nodes[name]) or leases.news(state, name, now)


def flush_from(state: Core, poll: Poll, now: datetime, out: list) -> Core:
    """As `flush`, where nothing has changed for any node but the one that has just polled: there is news
    for that one, or a poll has waited long, or nothing is to be done."""
    if now - state.polls[0].since >= HOLD_POLL or leases.finds_trouble(state.nodes[poll.name]):
        return flush(state, now, out)
    if has_news(state, poll.name, now):
        return confirm_polls(state, (poll,), now, out)
    return state


def confirm_polls(state: Core, due: tuple, now: datetime, out: list) -> Core:
    """One confirmation by the backup for a batch of polls; their answers follow it."""
    if not due:
        return state
    calls = {p.call for p in due}
    state = state._replace(polls=tuple(p for p in state.polls if p.call not in calls))
    return feed(state, Op('core', ('c', 'polls', due), {'op': 'confirm'}), now, out)


def enrol(state: Core, now: datetime, out: list) -> Core:
    """Keep the register of stores in step with the stores there are: one change at a time, and the old
    register counts until every majority of both has the new one and the leases of before are over."""
    rows = rows_of(state)
    if not book.named(rows, 'part/'):
        return state
    have = register_of(state)
    if have['old']:
        know = [n.name for n in state.nodes.values() if n.role == 'store' and n.number >= have['number']]
        if not register.intersects_majorities(know, have['now'], have['old']):
            return state
        number, since = state.settled
        if number != have['number']:
            return state._replace(settled=(have['number'], now))
        if now - since <= state.granted or early(state, now):
            return state
        want = have['now']
    else:
        want = placement.enrolled(state, now)
        if want == have['now']:
            return state
    command = {'op': 'enrol', 'base': have['number'], 'now': want, 'old': {} if have['old'] else have['now']}
    return feed(state, Op('core', ('c', 'none'), command), now, out)


def complete(state: Core, now: datetime, out: list) -> Core:
    """Record the retirement of a store as completed once nothing needs it any more. The partitions and the
    register are looked at again as the command runs; that its stores know the register is seen here."""
    rows, have = rows_of(state), register_of(state)
    waits = [n for n, r in book.named(rows, 'member/') if r['state'] == 'retiring' and not r.get('emptied')]
    live = [n.name for n in placement.stores(state, now)]
    if not waits or not book.whole(rows, live, copies(state)) or early(state, now):
        return state
    know = [n for n in live if state.nodes[n].number >= have['number']]
    if have['old'] or not register.is_majority(know, have['now'], {}):
        return state
    command = {'op': 'emptied', 'name': waits[0], 'live': live, 'copies': copies(state)}
    return feed(state, Op('core', ('c', 'none'), command), now, out)


def done(state: Core, effect: Done, now: datetime, out: list) -> Core:
    """A command of ours is on two disks, or has failed."""
    tag, ret = effect.tag, effect.ret
    if tag[0] == 'beat':
        return state
    if tag[1] == 'none':  # it may have been a change of members, of seats or of the register
        return flush(state, now, out)
    kind, call = tag[1], tag[2]
    if kind == 'polls':
        if 'fault' not in ret:
            return leases.answer(state, call, ret['rows'], now, out)
        out.extend(Return(poll.call, ret) for poll in call)
        return state
    if 'fault' in ret:
        out.append(Return(call, ret))
        out.append(Note('refused', {'cause': ret['fault'], 'text': ret.get('text', '')}))
        return state
    if kind == 'gen':
        out.append(Note('generation', {'generation': ret['generation']}))
        state = state._replace(waits=state.waits + (Wait(call, ret['generation'], ret),))
        state = leases.release(state, now, out)
        return flush(state, now, out)
    if kind == 'show':
        rows = ret['rows']
        if rows.get('gen', 0) < state.acknowledged:
            facts = {'shown': rows.get('gen', 0), 'acknowledged': state.acknowledged}
            out.append(Violated('acknowledged_shown', facts))
        ret = {
            'ok': True,
            'generation': rows.get('gen', 0),
            'policy_generation': rows.get('policy_gen', 0),
            'policy': rows.get('policy'),
            'source': rows.get('source'),
            'asked': book.repeated(rows, {'id': tag[3]}) if len(tag) > 3 else None,
            'leaving': [n for n, _ in book.named(rows, 'leaving/')],
            'status': status.status(state, now, rows),
        }
    out.append(Return(call, ret))
    return flush(state, now, out)


def place(state: Core, now: datetime, out: list) -> Core:
    """Lay the parts out once enough stores are there."""
    rows = rows_of(state)
    if book.named(rows, 'part/') or state.seated is None:
        return state
    zones = {n.name: n.zone for n in placement.stores(state, now)}
    if (
        len(set(zones.values())) < 2
        or len(zones) < copies(state)
        or (len(zones) < copies(state) + 1 and now - state.seated < 2 * state.lease)
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


def tick(state: Core, now: datetime, out: list) -> Core:
    if state.fleet is None:
        return formation.first(state, now, out)
    state = feed(state, Tick(), now, out)
    run, events = ballot.tick(state.run, now)
    state = state._replace(run=run)
    for inner in events:
        state = feed(state, inner, now, out)
    state = membership.stand(state, now, out)
    state = membership.sync(state, now, out)
    if not primary(state):
        return state
    state = membership.change(state, now, out)
    if state.allot_at is None or now - state.allot_at >= ALLOT_EVERY:
        state = leases.slots(state, now)
    state = placement.mourn(forget(state, now), now, out)
    state = place(state, now, out)
    state = enrol(state, now, out)
    state = complete(state, now, out)
    state = greet(state, now, out)
    state = leases.release(state, now, out)
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
        if node.name in held:
            held = held.delete(node.name)
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


def learn(state: Core, fleet: dict, seat: Any, call: Any, now: datetime, out: list) -> Core:
    """Take a newer crew, and a newer seat, that are known to be in force."""
    if state.fleet is not None and fleet['id'] == state.fleet['id']:
        if fleet['epoch'] > state.fleet['epoch']:
            out.append(Write((Put('', 'fleet', fleet),), ('none',)))
            if state.me in dict(crew_of(state)) and state.me not in dict(
                ballot.decode_voters(fleet['witnesses'])
            ):
                out.append(
                    Note('swapped_out', {'epoch': fleet['epoch'], 'cause': "another took this one's place"})
                )
            state = state._replace(fleet=fleet, maybe=None)
        if seat:
            state = feed(state, Grant('core', ReplicaSet(*seat)), now, out)
    if call is not None:
        out.append(Return(call, {'ok': True}))
    return state


def formed(state: Core, event: Heard, now: datetime, out: list) -> Core:
    """The returns of hails and of the word that a fleet is formed."""
    ret = event.ret
    if ret is None or 'fault' in ret:
        if event.tag[1] == 'admit' and ret and ret['more'].get('at'):
            membership.admit(state, ret['more']['at'], out)
        return state
    if event.tag[1] == 'sync':
        if ret.get('me') == event.tag[2]:
            state = state._replace(heard=state.heard.set(event.tag[2], now))
        return learn(state, ret['crew'], ret['sure'], None, now, out) if ret.get('crew') else state
    if event.tag[1] == 'invite':
        return membership.invited(state, now, out) if ret['ok'] else state
    if state.fleet is not None or event.tag[1] == 'admit':
        return state
    if event.tag[1] == 'hail':
        if ret['fleet']:
            membership.admit(state, event.tag[2], out)
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
        seat = [1, 0, *rank_across_zones('core', zones, [state.me])[: copies(state)]]
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
    seat = ReplicaSet(*fleet['seat'])
    state = state._replace(fleet=fleet, forming=None, run=ballot.Campaign(highest_epoch=1))
    if seat.includes(state.me) and seat.epoch == 1:
        state = feed(state, Grant('core', seat), now, out)
    return state
