"""The reducer of a core process. The process votes in elections, replicates the core table if it is a member
of the core's replica set, and as the primary serves configuration, leases, slot allocations and placement."""

from datetime import datetime, timedelta
from typing import Any

from immutables import Map

from quillstall.controlplane import (
    core_table,
    formation,
    leases,
    membership,
    placement,
    pooled_failures,
    status,
)
from quillstall.controlplane.core_state import (
    STORE_TIMEOUT,
    Core,
    Node,
    PendingChange,
    Poll,
    apply_command,
    confirmed_rows,
    core_copy,
    current_register,
    current_voters,
    is_primary,
    load,
    newest_replica_set,
    old_leases_may_run,
    replication_factor,
    voter_sets,
    where,
)
from quillstall.network import listing
from quillstall.network.listing import Listing
from quillstall.replication import ballot, group, register
from quillstall.replication.copies import Grant, Op, ReplicaSet
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

__all__ = ['load', 'step', 'where']  # the interface of a role to the process that runs it

POLL_HOLD_TIME = timedelta(milliseconds=250)
POLL_BATCH_WINDOW = timedelta(milliseconds=60)  # polls due within this time join a batch that is sent now
ALLOCATION_INTERVAL = timedelta(milliseconds=500)
NODE_EXPIRY = timedelta(seconds=60)  # of a routing node that is silent and holds no lease
HELLO_INTERVAL = timedelta(seconds=1)
MAX_HELLOS = 16
OPERATOR_KINDS = ('apply', 'leaving', 'retire', 'show', 'swap')  # of messages of the admin API
LEADERSHIP_TERM = timedelta(milliseconds=3300)  # a little longer than the holder assumes


def step(state: Core, event: Any, now: datetime) -> tuple[Core, tuple]:
    """Return the next state and the effects of an event of a core process.

    >>> from datetime import UTC
    >>> t = datetime(2026, 1, 1, tzinfo=UTC)
    >>> s = Core('c1', '127.0.0.1:1', 'z1', ('127.0.0.1:1',))
    >>> s, e = step(s, Told(1, {'k': 'poll', 'node': 'n1'}), t); e[0].reply['fault']
    'core_away'
    """
    effects: list = []
    state = _dispatch(state, event, now, effects)
    return state, tuple(effects)


def _dispatch(state: Core, event: Any, now: datetime, effects: list) -> Core:
    kind = type(event)
    if kind is Told:
        return handle_message(state, event, now, effects)
    if kind is Tick:
        return tick(state._replace(wall_ahead=event.wall_ahead), now, effects)
    if kind is Listing:
        return answer_due_polls(state._replace(listing=event.rows), now, effects)
    if kind is Heard and event.tag[0] == 'b':
        return handle_ballot_reply(state, event, now, effects)
    if kind is Heard and event.tag[0] == 'f':
        return handle_core_reply(state, event, now, effects)
    if kind is Wrote and event.tag[0] == 'w':
        effects.extend(ballot.reply_after_write(event))
        return state
    if kind is Wrote and event.tag[0] == 'f':
        return finish_fleet_write(state, event, now, effects)
    if kind in (Heard, Wrote) and event.tag[0] == 'g':
        return step_replication(state, event, now, effects)
    return state


def step_replication(state: Core, event: Any, now: datetime, effects: list) -> Core:
    """Step the core's replica group by an event and handle the effects that concern this process.

    A new primary starts with empty soft state; one that steps down fails the calls that wait for it."""
    was_primary = is_primary(state)
    copies, group_effects = group.step(state.copies, event, now, apply_command)
    state = state._replace(copies=copies)
    if is_primary(state) and not was_primary:
        state = state._replace(
            primary_since=now,
            nodes=Map(),
            held_slots=Map(),
            allocations={},
            allocated_demand={},
            pending_polls=(),
            waiting_cores=Map(),
            voter_change=None,
            last_live_stores=(),
            settled_register=(0, None),
        )
    if was_primary and not is_primary(state):
        for poll in state.pending_polls:
            effects.append(Return(poll.call, Fault('moved', 'not the primary now').pack()))
        for change in state.pending_changes:
            effects.append(Return(change.call, Fault('moved', 'not the primary now', ran='unknown').pack()))
        state = state._replace(primary_since=None, pending_polls=(), pending_changes=())
    for effect in group_effects:
        if type(effect) is Done:
            state = finish_command(state, effect, now, effects)
        elif type(effect) is Propose:
            state = membership.propose_replica_set(state, effect, now, effects)
        else:
            effects.append(effect)
    return state


def handle_ballot_reply(state: Core, event: Heard, now: datetime, effects: list) -> Core:
    """Handle an acceptor's reply in this process's campaign, and remember newer voters that it reports."""
    copy = core_copy(state)
    own_replica_set = copy.replica_set if copy and copy.has_all_rows else None
    reply = event.reply or {}
    if (
        reply.get('seat')
        and reply.get('crew')
        and reply['seat'][0]
        > max(state.fleet['epoch'], state.possible_voters[0] if state.possible_voters else 0)
    ):
        state = state._replace(possible_voters=(reply['seat'][0], ballot.decode_voters(reply['crew'])))
    campaign, ballot_effects, events = ballot.handle_reply(
        state.campaign,
        event,
        state.me,
        voter_sets(state),
        own_replica_set,
        lambda granted_by: membership.next_members(state, granted_by),
        now,
    )
    effects.extend(ballot_effects)
    state = state._replace(campaign=campaign)
    if campaign.stage == 'won':
        state = membership.finish_election(state, now, effects)
    for group_event in events:
        state = step_replication(state, group_event, now, effects)
    return state


def handle_message(state: Core, event: Told, now: datetime, effects: list) -> Core:
    """Handle a message from another process; polls and commands are for the primary alone."""
    message = event.message
    kind = message.get('k')
    if kind in formation.KINDS:
        return formation.handle_request(state, event, now, effects)
    if kind == 'who':
        effects.append(Return(event.call, status.describe_process(state)))
        return state
    if kind == 'greet':
        if state.fleet is None:  # its data folder is empty and its seeds do not answer
            membership.request_admission(
                state, message['core'][int(now.timestamp()) % len(message['core'])], effects
            )
        effects.append(Return(event.call, {'ok': True}))
        return state
    if kind == 'fleet':
        return learn_fleet(state, message['fleet'], message.get('seat'), event.call, now, effects)
    if state.fleet is None:
        at = formation.known_primary(state) if kind in OPERATOR_KINDS else None
        effects.append(
            Return(event.call, Fault('core_away', 'this core has no fleet yet', more={'at': at}).pack())
        )
        return state
    if kind in ballot.KINDS:
        campaign = state.campaign
        acceptor, ballot_effects = ballot.vote(state.acceptor, event)
        campaign = campaign._replace(highest_epoch=max(campaign.highest_epoch, acceptor.promised))
        effects.extend(ballot_effects)
        return state._replace(acceptor=acceptor, campaign=campaign)
    if kind in group.KINDS:
        return step_replication(state, event, now, effects)
    if kind == 'duty':
        return vote_on_leadership(state, event, now, effects)
    if kind == 'status':
        effects.append(Return(event.call, status.status(state, now)))
        return state
    if not is_primary(state):
        replica_set = newest_replica_set(state)
        at = where(state, replica_set.primary) if replica_set and replica_set.primary != state.me else None
        effects.append(Return(event.call, Fault('core_away', 'not the primary', more={'at': at}).pack()))
        return state
    if kind == 'poll':
        return handle_poll(state, event, now, effects)
    if kind == 'admit':
        if message['address'] not in state.waiting_cores and message['member'] not in dict(
            current_voters(state)
        ):
            effects.append(Note('guest', {'name': message['member'], 'address': message['address']}))
        if message['member'] not in dict(current_voters(state)):
            state = state._replace(
                waiting_cores=state.waiting_cores.set(
                    message['address'], (message['member'], message['zone'])
                )
            )
        effects.append(Return(event.call, {'ok': True}))
        return state
    if kind == 'swap':
        return membership.begin_voter_change(state, event, now, effects)
    if kind == 'hand_over':
        return membership.hand_over(state, event, now, effects)
    command = {k: v for k, v in message.items() if k not in ('k', 'at')}
    if kind in ('apply', 'leaving'):
        return step_replication(
            state, Op('core', ('c', 'gen', event.call), {**command, 'op': kind}), now, effects
        )
    if kind == 'retire':
        command['live'] = [n.name for n in placement.live_stores(state, now)]
        command['copies'] = replication_factor(state)
        return step_replication(
            state, Op('core', ('c', 'ret', event.call), {**command, 'op': 'retire'}), now, effects
        )
    if kind == 'seat':
        placement.check_members(state, message['part'], message['seat'], effects)
        return step_replication(
            state, Op('core', ('c', 'seat', event.call), {**command, 'op': 'seat'}), now, effects
        )
    if kind == 'show':
        return step_replication(
            state, Op('core', ('c', 'show', event.call, message.get('id')), {'op': 'confirm'}), now, effects
        )
    effects.append(Return(event.call, Fault('garbled', f'no message of kind {kind!r}').pack()))
    return state


def vote_on_leadership(state: Core, event: Told, now: datetime, effects: list) -> Core:
    """Vote on the leadership of a fleet-wide task, such as probing: for one holder a term.

    Votes are kept in memory only, so none is granted during the first term after a start."""
    name, candidate = event.message['name'], event.message['by']
    vote = state.leadership_votes.get(name)
    granted = now - state.started_at >= LEADERSHIP_TERM and (
        vote is None or vote[1] <= now or vote[0] == candidate
    )
    effects.append(
        Return(event.call, {'ok': granted, 'holder': candidate if granted else vote[0] if vote else None})
    )
    return (
        state._replace(leadership_votes=state.leadership_votes.set(name, (candidate, now + LEADERSHIP_TERM)))
        if granted
        else state
    )


def handle_poll(state: Core, event: Told, now: datetime, effects: list) -> Core:
    """Record what a routing node or a store reports with its poll, and hold the poll until it is answered."""
    message = event.message
    previous = state.nodes.get(message['node'])
    if previous and message['inc'] < previous.incarnation:
        effects.append(Return(event.call, Fault('refused', 'a later start of this node is known').pack()))
        return state
    node = Node(
        message['node'],
        message['role'],
        message['address'],
        message['zone'],
        message['inc'],
        message['generation'],
        message['place'],
        now,
        previous.lease_end if previous else None,
        message.get('pressure') or {},
        message.get('has') or {},
        tuple(message.get('stuck') or ()),
        message.get('facts') or {},
        tuple(message.get('suspects') or ()),
        previous.watched_peers if previous else (),
        tuple(message.get('doubts') or ()),
        message.get('reports') or {},
        message.get('number', 0),
        tuple(
            (name, generation, now + timedelta(milliseconds=remaining_ms))
            for name, generation, remaining_ms in message.get('renewed') or ()
        ),
        listing.from_wire(message.get('listing') or {}, now),
        bool(message.get('by')),
        previous.assigned_plans if previous else (),
        bool(message.get('unpacks')),
        pooled_failures.times_of(message.get('failing') or {}, now),
        pooled_failures.times_of(message.get('serving') or {}, now),
        message.get('outcomes') or {},
    )
    if previous is None or previous.incarnation != node.incarnation:
        effects.append(
            Note(
                'node',
                {'name': node.name, 'role': node.role, 'address': node.address, 'inc': node.incarnation},
            )
        )
    state = state._replace(nodes=state.nodes.set(node.name, node))
    state = leases.record_held_slots(state, node)
    if node.role == 'store':
        row = confirmed_rows(state).get(f'member/{node.name}')
        if row is None or (row['address'], row['zone']) != (node.address, node.zone):
            state = step_replication(
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
                effects,
            )
    elif f'known/{node.address}' not in confirmed_rows(state):
        state = step_replication(
            state, Op('core', ('c', 'none'), {'op': 'know', 'address': node.address}), now, effects
        )
    poll = Poll(event.call, node.name, now)
    state = state._replace(pending_polls=state.pending_polls + (poll,))
    state = leases.acknowledge_changes(state, now, effects)
    return answer_new_poll(state, poll, now, effects)


def answer_due_polls(state: Core, now: datetime, effects: list) -> Core:
    """Answer polls with an update and those whose hold time is over, once the backup has confirmed."""
    overdue = [poll for poll in state.pending_polls if now - poll.since >= POLL_HOLD_TIME]
    min_wait = POLL_HOLD_TIME - POLL_BATCH_WINDOW if overdue else POLL_HOLD_TIME
    leaders = leases.stores_with_new_plans(state, now)
    due = tuple(
        poll
        for poll in state.pending_polls
        if now - poll.since >= min_wait or poll.name in leaders or has_update(state, poll.name, now)
    )
    return confirm_polls(state, due, now, effects)


def has_update(state: Core, name: str, now: datetime) -> bool:
    """Return whether there is an update for a node that polls."""
    return leases.is_behind(state, state.nodes[name]) or leases.allocation_changed(state, name, now)


def answer_new_poll(state: Core, poll: Poll, now: datetime, effects: list) -> Core:
    """Answer due polls where nothing has changed but for the node that has just polled.

    The other nodes need not be checked for updates, so the cost of a poll does not grow with their number."""
    if now - state.pending_polls[0].since >= POLL_HOLD_TIME or leases.reports_trouble(state.nodes[poll.name]):
        return answer_due_polls(state, now, effects)
    if has_update(state, poll.name, now):
        return confirm_polls(state, (poll,), now, effects)
    return state


def confirm_polls(state: Core, due: tuple, now: datetime, effects: list) -> Core:
    """Have the backup confirm once for a batch of polls; they are answered after that."""
    if not due:
        return state
    calls = {poll.call for poll in due}
    state = state._replace(
        pending_polls=tuple(poll for poll in state.pending_polls if poll.call not in calls)
    )
    return step_replication(state, Op('core', ('c', 'polls', due), {'op': 'confirm'}), now, effects)


def update_register(state: Core, now: datetime, effects: list) -> Core:
    """Bring the lease quorum (the register of stores) in line with the live stores, one change at a time.

    As in joint consensus, majorities of both the old and the new register count until both have majorities that
    know the new one and the leases granted before that have expired."""
    rows = confirmed_rows(state)
    if not core_table.rows_with_prefix(rows, 'part/'):
        return state
    current = current_register(state)
    if current['old']:
        informed = [
            n.name
            for n in state.nodes.values()
            if n.role == 'store' and n.register_number >= current['number']
        ]
        if not register.intersects_majorities(informed, current['now'], current['old']):
            return state
        number, since = state.settled_register
        if number != current['number']:
            return state._replace(settled_register=(current['number'], now))
        if now - since <= state.granted_lease or old_leases_may_run(state, now):
            return state
        wanted = current['now']
    else:
        wanted = placement.desired_register(state, now)
        if wanted == current['now']:
            return state
    command = {
        'op': 'enrol',
        'base': current['number'],
        'now': wanted,
        'old': {} if current['old'] else current['now'],
    }
    return step_replication(state, Op('core', ('c', 'none'), command), now, effects)


def complete_retirement(state: Core, now: datetime, effects: list) -> Core:
    """Record the retirement of a store as completed once no partition and no register needs it.

    The command checks partitions and register again as it is applied; whether a majority of the stores knows
    the register is checked here."""
    rows, current = confirmed_rows(state), current_register(state)
    retiring = [
        n
        for n, r in core_table.rows_with_prefix(rows, 'member/')
        if r['state'] == 'retiring' and not r.get('emptied')
    ]
    live = [n.name for n in placement.live_stores(state, now)]
    if (
        not retiring
        or not core_table.fully_replicated(rows, live, replication_factor(state))
        or old_leases_may_run(state, now)
    ):
        return state
    informed = [n for n in live if state.nodes[n].register_number >= current['number']]
    if current['old'] or not register.is_majority(informed, current['now'], {}):
        return state
    command = {'op': 'emptied', 'name': retiring[0], 'live': live, 'copies': replication_factor(state)}
    return step_replication(state, Op('core', ('c', 'none'), command), now, effects)


def finish_command(state: Core, effect: Done, now: datetime, effects: list) -> Core:
    """Handle the result of a command: it is on the disks of the replica set, or has failed."""
    tag, reply = effect.tag, effect.reply
    if tag[0] == 'beat':
        return state
    if tag[1] == 'none':  # it may have changed members, replica sets or the register
        return answer_due_polls(state, now, effects)
    kind, call = tag[1], tag[2]
    if kind == 'polls':
        if 'fault' not in reply:
            return leases.answer_polls(state, call, reply['rows'], now, effects)
        effects.extend(Return(poll.call, reply) for poll in call)
        return state
    if 'fault' in reply:
        effects.append(Return(call, reply))
        effects.append(Note('refused', {'cause': reply['fault'], 'text': reply.get('text', '')}))
        return state
    if kind == 'gen':
        effects.append(Note('generation', {'generation': reply['generation']}))
        state = state._replace(
            pending_changes=state.pending_changes + (PendingChange(call, reply['generation'], reply),)
        )
        state = leases.acknowledge_changes(state, now, effects)
        return answer_due_polls(state, now, effects)
    if kind == 'show':
        rows = reply['rows']
        if rows.get('gen', 0) < state.acknowledged_generation:
            facts = {'shown': rows.get('gen', 0), 'acknowledged': state.acknowledged_generation}
            effects.append(Violated('acknowledged_shown', facts))
        reply = {
            'ok': True,
            'generation': rows.get('gen', 0),
            'policy_generation': rows.get('policy_gen', 0),
            'policy': rows.get('policy'),
            'source': rows.get('source'),
            'asked': core_table.recorded_answer(rows, {'id': tag[3]}) if len(tag) > 3 else None,
            'leaving': [n for n, _ in core_table.rows_with_prefix(rows, 'leaving/')],
            'status': status.status(state, now, rows),
        }
    effects.append(Return(call, reply))
    return answer_due_polls(state, now, effects)


def create_partitions(state: Core, now: datetime, effects: list) -> Core:
    """Create the partitions once enough stores in two zones are live.

    Enough is one more than there are copies or, after two lease times, as many as there are copies."""
    rows = confirmed_rows(state)
    if core_table.rows_with_prefix(rows, 'part/') or state.primary_since is None:
        return state
    zones = {n.name: n.zone for n in placement.live_stores(state, now)}
    if (
        len(set(zones.values())) < 2
        or len(zones) < replication_factor(state)
        or (
            len(zones) < replication_factor(state) + 1
            and now - state.primary_since < 2 * state.lease_duration
        )
    ):
        return state
    return step_replication(
        state,
        Op(
            'core',
            ('c', 'none'),
            {
                'op': 'found',
                'parts': state.partition_count,
                'zones': zones,
                'copies': replication_factor(state),
            },
        ),
        now,
        effects,
    )


def tick(state: Core, now: datetime, effects: list) -> Core:
    """Run the periodic work: elections on every core, all else on the primary."""
    if state.fleet is None:
        return formation.tick(state, now, effects)
    state = step_replication(state, Tick(), now, effects)
    campaign, events = ballot.tick(state.campaign, now)
    state = state._replace(campaign=campaign)
    for group_event in events:
        state = step_replication(state, group_event, now, effects)
    state = membership.start_campaign(state, now, effects)
    state = membership.poll_cores(state, now, effects)
    if not is_primary(state):
        return state
    state = membership.advance_voter_change(state, now, effects)
    if state.allocated_at is None or now - state.allocated_at >= ALLOCATION_INTERVAL:
        state = leases.reallocate_slots(state, now)
    state = placement.note_store_changes(remove_expired_nodes(state, now), now, effects)
    state = create_partitions(state, now, effects)
    state = update_register(state, now, effects)
    state = complete_retirement(state, now, effects)
    state = send_hello(state, now, effects)
    state = leases.acknowledge_changes(state, now, effects)
    return answer_due_polls(state, now, effects)


def remove_expired_nodes(state: Core, now: datetime) -> Core:
    """Return the state without routing nodes that have long been silent and hold no lease.

    A restarted process has a new name, so the old entry would never be used again."""
    expired = [
        n
        for n in state.nodes.values()
        if n.role == 'route' and now - n.last_heard > NODE_EXPIRY and not (n.lease_end and n.lease_end > now)
    ]
    nodes, held = state.nodes, state.held_slots
    for node in expired:
        nodes = nodes.delete(node.name)
        if node.name in held:
            held = held.delete(node.name)
    return state._replace(nodes=nodes, held_slots=held) if expired else state


def send_hello(state: Core, now: datetime, effects: list) -> Core:
    """Tell known but silent addresses where the core is, some at a time.

    A process that restarts with outdated seeds may have no other way to find it."""
    if state.hello_sent_at is not None and now - state.hello_sent_at < HELLO_INTERVAL:
        return state
    rows = confirmed_rows(state)
    reachable = {n.address for n in state.nodes.values() if now - n.last_heard <= STORE_TIMEOUT}
    addresses = {a for a, _ in core_table.rows_with_prefix(rows, 'known/')} | {
        a for _, a in current_voters(state) if a != state.address
    }
    addresses |= {
        r['address'] for _, r in core_table.rows_with_prefix(rows, 'member/') if r['state'] != 'replaced'
    }
    silent = sorted(addresses - reachable)
    offset = int(now.timestamp()) * MAX_HELLOS % max(1, len(silent))
    message = {
        'k': 'greet',
        'fleet': state.fleet['id'],
        'core': [a for _, a in current_voters(state)],
        'register': current_register(state),
    }
    for address in (silent[offset:] + silent[:offset])[:MAX_HELLOS]:
        effects.append(Ask(address, message, ('f', 'greet', address)))
    return state._replace(hello_sent_at=now)


def learn_fleet(state: Core, fleet: dict, replica_set: Any, call: Any, now: datetime, effects: list) -> Core:
    """Adopt newer voters and a newer replica set that are known to be chosen."""
    if state.fleet is not None and fleet['id'] == state.fleet['id']:
        if fleet['epoch'] > state.fleet['epoch']:
            effects.append(Write((Put('', 'fleet', fleet),), ('none',)))
            if state.me in dict(current_voters(state)) and state.me not in dict(
                ballot.decode_voters(fleet['witnesses'])
            ):
                effects.append(
                    Note('swapped_out', {'epoch': fleet['epoch'], 'cause': "another took this one's place"})
                )
            state = state._replace(fleet=fleet, possible_voters=None)
        if replica_set:
            state = step_replication(state, Grant('core', ReplicaSet(*replica_set)), now, effects)
    if call is not None:
        effects.append(Return(call, {'ok': True}))
    return state


def handle_core_reply(state: Core, event: Heard, now: datetime, effects: list) -> Core:
    """Handle another core's reply to a join request, an admission request, an invitation or a status poll."""
    reply = event.reply
    if reply is None or 'fault' in reply:
        if event.tag[1] == 'admit' and reply and reply['more'].get('at'):
            membership.request_admission(state, reply['more']['at'], effects)
        return state
    if event.tag[1] == 'sync':
        if reply.get('me') == event.tag[2]:
            state = state._replace(last_replies=state.last_replies.set(event.tag[2], now))
        return (
            learn_fleet(state, reply['crew'], reply['sure'], None, now, effects)
            if reply.get('crew')
            else state
        )
    if event.tag[1] == 'invite':
        return membership.start_change_election(state, now, effects) if reply['ok'] else state
    if state.fleet is not None:
        return state
    return formation.handle_reply(state, event, now, effects)


def finish_fleet_write(state: Core, event: Wrote, now: datetime, effects: list) -> Core:
    """Finish a vote on a founding record, or join a fleet whose record is now on this process's disk."""
    if event.tag[1] == 'voted':
        return formation.finish_vote(state, event.tag, now, effects)
    fleet, call = event.tag[2], event.tag[3]
    if call is not None:
        effects.append(Return(call, {'ok': True}))
    if state.fleet is not None:
        return state
    effects.append(Note('formed', {'fleet': fleet['id'], 'voters': [name for name, _ in fleet['witnesses']]}))
    if call is None:
        formation.tell_voters(state, fleet, effects)
    replica_set = ReplicaSet(*fleet['seat'])
    state = state._replace(fleet=fleet, campaign=ballot.Campaign(highest_epoch=1))
    if replica_set.includes(state.me) and replica_set.epoch == 1:
        state = step_replication(state, Grant('core', replica_set), now, effects)
    return state
