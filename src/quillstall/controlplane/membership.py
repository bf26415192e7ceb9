"""Membership of the core: elections, changes of the voters, and the size of the core's replica set."""

from datetime import datetime, timedelta

from quillstall.controlplane.core_state import (
    Core,
    VoterChange,
    core_copy,
    current_voters,
    is_primary,
    next_voters,
    replication_factor,
    voter_sets,
    voters_needed,
)
from quillstall.replication import ballot
from quillstall.replication.copies import ReplicaSet
from quillstall.runtime.disk import Put
from quillstall.runtime.effect import Ask, Note, Propose, Return, Told, Violated, Write
from quillstall.runtime.errors import Fault

MEMBER_TIMEOUT = timedelta(milliseconds=1200)  # of silence between members before one campaigns
MAX_REMOVED_VOTERS = 50  # remembered in the fleet record
RECENT_REPLY = timedelta(seconds=2)  # a core that replied within this time may get a copy
CORES_POLLED_WITHIN = timedelta(milliseconds=1500)  # of a new primary; live cores have replied by then
CORE_TIMEOUT_FACTOR = 3  # a core is replaced after this multiple of the store timeout


def next_members(state: Core, granted_by: tuple) -> tuple | None:
    """Return the members that a candidate would propose, itself first; None if no other has granted its ballot.

    They are members of the old replica set that granted their ballots, and one voter from outside it; every third
    campaign tries the old members alone. There are never fewer members than the replication factor: where two or
    more are silent, one of them stays a member until the next round, and nothing is acknowledged until then."""
    copy = core_copy(state)
    if copy is None or copy.replica_set is None:
        return None
    wanted = replication_factor(state)
    old_backups = [
        n for n in copy.replica_set.others(state.me) if n in granted_by and n != copy.replica_set.primary
    ]
    old_primary = [
        n for n in copy.replica_set.others(state.me) if n in granted_by and n == copy.replica_set.primary
    ]
    non_members = [n for n, _ in next_voters(state) if not copy.replica_set.includes(n) and n in granted_by]
    if state.campaign.failed_rounds % 3 == 2 or not non_members:
        others = (old_backups + old_primary)[: wanted - 1]
    else:
        others = [*old_backups[: wanted - 2], non_members[0]]
    if not others:
        return None
    silent = [n for n in copy.replica_set.others(state.me) if n not in others]
    return (state.me, *others, *silent[: wanted - 1 - len(others)])


def propose_replica_set(state: Core, effect: Propose, now: datetime, effects: list) -> Core:
    """Ask the acceptors to accept the replica set that the replica group proposes."""
    campaign, ballot_effects = ballot.propose(
        state.campaign,
        effect.replica_set,
        voter_sets(state),
        state.campaign.voters or next_voters(state),
        now,
    )
    effects.extend(ballot_effects)
    return state._replace(campaign=campaign)


def finish_election(state: Core, now: datetime, effects: list) -> Core:
    """Commit the voters and the replica set that the acceptors have accepted, and tell all voters."""
    old_voters = current_voters(state)
    replica_set = ReplicaSet(*state.campaign.replica_set)
    copy = core_copy(state)
    if (
        copy
        and copy.replica_set
        and len(replica_set.members) < min(replication_factor(state), len(copy.replica_set.members))
    ):
        facts = {'part': 'core', 'seat': list(replica_set), 'before': list(copy.replica_set)}
        effects.append(Violated('enough_members', facts))
    change = state.voter_change
    removed = [list(voter) for voter in old_voters if voter[0] not in dict(state.campaign.voters)]
    fleet = {
        **state.fleet,
        'witnesses': state.campaign.voters,
        'epoch': replica_set.epoch,
        'seat': list(replica_set),
        'gone': (list(state.fleet.get('gone', ())) + removed)[-MAX_REMOVED_VOTERS:],
    }
    state = state._replace(
        fleet=fleet,
        possible_voters=None,
        campaign=ballot.Campaign(highest_epoch=state.campaign.highest_epoch),
    )
    effects.append(Write((Put('', 'fleet', fleet),), ('none',)))
    for name, address in {**dict(old_voters), **dict(fleet['witnesses'])}.items():
        if name != state.me:
            effects.append(Ask(address, {'k': 'fleet', 'fleet': fleet, 'seat': list(replica_set)}, ('none',)))
    if change and change.added in dict(fleet['witnesses']):
        effects.append(Note('crew', {'out': change.removed, 'in': change.added, 'epoch': replica_set.epoch}))
        if change.call is not None:
            effects.append(
                Return(change.call, {'ok': True, 'crew': [list(voter) for voter in fleet['witnesses']]})
            )
        state = end_voter_change(state)
    return state


def request_admission(state: Core, address: str, effects: list) -> None:
    """Ask a core to admit this process as a voter."""
    effects.append(
        Ask(
            address,
            {'k': 'admit', 'member': state.me, 'address': state.address, 'zone': state.zone},
            ('f', 'admit', address),
        )
    )


def poll_cores(state: Core, now: datetime, effects: list) -> Core:
    """Ask another core, in turn, which voters and replica set it knows; the primary asks all others."""
    if state.cores_polled_at is not None and now - state.cores_polled_at < timedelta(seconds=1):
        return state
    others = [(n, a) for n, a in next_voters(state) if n != state.me]
    offset = int(now.timestamp()) % len(others)
    for name, address in others if is_primary(state) else others[offset : offset + 1]:
        effects.append(Ask(address, {'k': 'who'}, ('f', 'sync', name)))
    address = others[offset][1]
    if state.me not in dict(current_voters(state)):
        request_admission(state, address, effects)
    return state._replace(cores_polled_at=now)


def start_campaign(state: Core, now: datetime, effects: list) -> Core:
    """Start a campaign if this member has not heard from the rest of the replica set for the election timeout."""
    copy = core_copy(state)
    if (
        copy is None
        or copy.replica_set is None
        or not copy.has_all_rows
        or not copy.replica_set.includes(state.me)
    ):
        return state
    if state.campaign.stage != 'idle' or copy.last_heard is None or state.me not in dict(next_voters(state)):
        return state
    rng_state = (state.rng_state * 1103515245 + 12345) % 2**31
    pause = timedelta(milliseconds=200 + rng_state % 600)
    state = state._replace(rng_state=rng_state)
    if now - copy.last_heard < max(MEMBER_TIMEOUT, state.store_timeout) or (
        state.campaign.failed_at and now - state.campaign.failed_at < pause
    ):
        return state
    campaign, ballot_effects = ballot.start_round(
        state.campaign,
        state.me,
        voter_sets(state),
        now,
        f'{", ".join(copy.replica_set.others(state.me))} silent since {copy.last_heard.isoformat()}',
    )
    effects.extend(ballot_effects)
    return state._replace(campaign=campaign)


def begin_voter_change(state: Core, event: Told, now: datetime, effects: list) -> Core:
    """Handle an operator's request to replace a core by another; it is answered when the change ends."""
    message, voters = event.message, current_voters(state)
    removed = next((n for n, a in voters if message['name'] in (n, a)), None)
    replacement = message.get('by')
    if replacement in [a for _, a in voters] and any(
        message['name'] in pair for pair in state.fleet.get('gone', ())
    ):
        effects.append(Return(event.call, {'ok': True, 'crew': [list(w) for w in voters]}))
        return state
    fault = None
    if removed is None:
        fault = Fault('unknown_name', f'no core {message["name"]!r}', (('name', 'is no member of the core'),))
    elif replacement not in state.waiting_cores:
        fault = Fault(
            'refused',
            f'no new core waits at {replacement}; start one there first',
            (('by', 'is not waiting'),),
        )
    elif state.voter_change is not None:
        fault = Fault('refused', 'another change of the core runs')
    if fault:
        effects.append(Return(event.call, fault.pack()))
        return state
    effects.append(
        Note('swap', {'out': removed, 'in': state.waiting_cores[replacement][0], 'cause': 'operator'})
    )
    return state._replace(
        voter_change=VoterChange(event.call, removed, state.waiting_cores[replacement][0], replacement, now)
    )


def advance_voter_change(state: Core, now: datetime, effects: list) -> Core:
    """Continue a change of the voters, or begin one that is needed.

    The new core is invited first; then ballots are held under both the old and the new voters. A change begins
    if a voter came back with an empty disk, if there are too few voters for the fault tolerance, or if a voter
    has long been silent while another core waits. With no change to make, a missing copy is added."""
    change = state.voter_change
    if change is None:
        voters = current_voters(state)
        for name, address in voters:
            candidate = state.waiting_cores.get(address)
            if candidate and candidate[0] != name:  # the same address with an empty folder: the disk was lost
                effects.append(
                    Note('swap', {'out': name, 'in': candidate[0], 'cause': 'its data folder is new'})
                )
                return state._replace(voter_change=VoterChange(None, name, candidate[0], address, now))
        available = [
            (address, core)
            for address, core in sorted(state.waiting_cores.items())
            if address not in dict(voters).values() and core[0] not in dict(voters)
        ]
        if available and len(voters) < voters_needed(state):
            address, candidate = available[0]
            effects.append(
                Note(
                    'swap',
                    {
                        'out': None,
                        'in': candidate[0],
                        'cause': 'too few witnesses for the losses to be borne',
                    },
                )
            )
            return state._replace(voter_change=VoterChange(None, None, candidate[0], address, now))
        silent = [
            n
            for n, _ in voters
            if n != state.me
            and now - state.last_replies.get(n, state.primary_since)
            > state.store_timeout * CORE_TIMEOUT_FACTOR
        ]
        if available and silent and state.degraded_mode and now - state.primary_since > CORES_POLLED_WITHIN:
            address, candidate = available[0]
            effects.append(
                Note(
                    'swap',
                    {
                        'out': silent[0],
                        'in': candidate[0],
                        'cause': 'it has been silent for long, and another waits',
                    },
                )
            )
            return state._replace(voter_change=VoterChange(None, silent[0], candidate[0], address, now))
        return restore_copy_count(state, now, effects)
    if now - change.since > timedelta(seconds=6):
        if change.call is not None:
            effects.append(
                Return(
                    change.call, Fault('refused', 'no majority of the old and the new core in time').pack()
                )
            )
        return end_voter_change(state)
    if state.campaign.stage != 'idle' or (
        change.last_attempt and now - change.last_attempt < timedelta(milliseconds=800)
    ):
        return state
    fleet = {**state.fleet, 'witnesses': changed_voters(state, change)}
    effects.append(Ask(change.address, {'k': 'form', 'fleet': fleet}, ('f', 'invite', change.added)))
    return state._replace(voter_change=change._replace(last_attempt=now))


def restore_copy_count(state: Core, now: datetime, effects: list) -> Core:
    """Propose one more member for the core's replica set if it has fewer than the replication factor."""
    copy = core_copy(state)
    if (
        len(copy.replica_set.members) >= replication_factor(state)
        or state.campaign.stage != 'idle'
        or (state.campaign.failed_at and now - state.campaign.failed_at < timedelta(milliseconds=800))
    ):
        return state
    candidates = [
        n
        for n, _ in current_voters(state)
        if not copy.replica_set.includes(n)
        and n in state.last_replies
        and now - state.last_replies[n] < 2 * len(current_voters(state)) * timedelta(seconds=1)
    ]
    if not candidates or now - state.primary_since < MEMBER_TIMEOUT:
        return state
    campaign, ballot_effects = ballot.start_round(
        state.campaign,
        state.me,
        voter_sets(state),
        now,
        f'{len(copy.replica_set.members)} copies of the core',
        None,
        (*copy.replica_set.members, candidates[0]),
    )
    effects.extend(ballot_effects)
    return state._replace(campaign=campaign)


def hand_over(state: Core, event: Told, now: datetime, effects: list) -> Core:
    """Move the copy of a core that is about to stop, and its vote if another core waits, to other cores.

    The reply says whether waiting is worthwhile; the core asks again until it holds neither."""
    name, copy = event.message['name'], core_copy(state)
    voter, waiting = name in dict(current_voters(state)), sorted(state.waiting_cores.items())
    change_running = state.campaign.stage != 'idle' or state.voter_change is not None
    if voter and waiting and not change_running:
        address, candidate = waiting[0]
        effects.append(Note('swap', {'out': name, 'in': candidate[0], 'cause': 'it was told to stop'}))
        state = state._replace(voter_change=VoterChange(None, name, candidate[0], address, now))
    elif voter and copy.replica_set.includes(name) and not change_running:
        members = members_without(state, name, now)
        if members is None:
            effects.append(Return(event.call, {'ok': True, 'wait': False}))
            return state
        campaign, ballot_effects = ballot.start_round(
            state.campaign, state.me, voter_sets(state), now, f'{name} was told to stop', None, members
        )
        effects.extend(ballot_effects)
        state = state._replace(campaign=campaign)
    wait = voter and (bool(waiting) or copy.replica_set.includes(name))
    effects.append(Return(event.call, {'ok': True, 'wait': wait}))
    return state


def members_without(state: Core, name: str, now: datetime) -> tuple | None:
    """Return as many members as now without one of them, the primary first; None if too few others respond."""
    copy = core_copy(state)
    responsive = [n for n in state.last_replies if now - state.last_replies[n] < RECENT_REPLY and n != name]
    remaining = [n for n in copy.replica_set.members if n != name and (n == state.me or n in responsive)]
    others = [n for n, _ in current_voters(state) if n in responsive and not copy.replica_set.includes(n)]
    members = (*remaining, *others)[: len(copy.replica_set.members)]
    return members if remaining and len(members) == len(copy.replica_set.members) else None


def end_voter_change(state: Core) -> Core:
    """Forget a change of the voters that has succeeded or failed; a core that still waits asks again."""
    address = state.voter_change.address
    return state._replace(
        voter_change=None,
        waiting_cores=state.waiting_cores.delete(address)
        if address in state.waiting_cores
        else state.waiting_cores,
    )


def changed_voters(state: Core, change: VoterChange) -> tuple:
    """Return the voters as they are after a change."""
    if change.removed is None:
        return current_voters(state) + ((change.added, change.address),)
    return tuple(
        (change.added, change.address) if n == change.removed else (n, a) for n, a in current_voters(state)
    )


def start_change_election(state: Core, now: datetime, effects: list) -> Core:
    """Start the campaign for a change of the voters, once the new core has the fleet's record."""
    change, copy = state.voter_change, core_copy(state)
    if change is None or state.campaign.stage != 'idle' or not is_primary(state):
        return state
    voters = changed_voters(state, change)
    others = [n for n, _ in voters if n != change.removed and not copy.replica_set.includes(n)]
    members = tuple(n for n in copy.replica_set.members if n != change.removed)
    if len(members) < len(copy.replica_set.members):
        members += (
            next(
                (
                    n
                    for n in others
                    if n != change.added
                    and now - state.last_replies.get(n, state.primary_since)
                    < state.store_timeout * CORE_TIMEOUT_FACTOR
                ),
                others[0],
            ),
        )
    campaign, ballot_effects = ballot.start_round(
        state.campaign,
        state.me,
        voter_sets(state) + (voters,),
        now,
        f'{change.added} for {change.removed}',
        voters,
        members,
    )
    effects.extend(ballot_effects)
    return state._replace(campaign=campaign)
