"""Membership of the core: candidacies, changes of the voters, and the width of the core's replica set."""

from datetime import datetime, timedelta

from quillstall.controlplane.core_state import (
    Core,
    Swap,
    copies,
    copy_of,
    crew_next,
    crew_of,
    crews,
    primary,
)
from quillstall.replication import ballot
from quillstall.replication.group import ReplicaSet
from quillstall.runtime.disk import Put
from quillstall.runtime.effect import Ask, Note, Propose, Return, Told, Violated, Write
from quillstall.runtime.errors import Fault

SILENT = timedelta(milliseconds=1200)  # between the core's two seated members
GONE_MOST = 50
HEARD_LATELY = timedelta(seconds=2)  # a core that answered so lately may be given a copy
ALL_ASKED = timedelta(milliseconds=1500)  # by then a new primary has asked every core, and those up answered
CORE_GONE = 3  # times as long silent as a store, a core is replaced by one that waits


def seated_next(state: Core, yes: tuple) -> tuple | None:
    """Whom a candidate would sit with, of those whose ballots came: the others of the old seat that are
    there, and one from outside it. After a loss the old partners alone are tried, by turns.

    There are never fewer members than copies are needed: where two or more are silent, one of them stays a
    member until the next round, and nothing is acknowledged until then."""
    copy = copy_of(state)
    if copy is None or copy.replica_set is None:
        return None
    wanted = copies(state)
    old = [n for n in copy.replica_set.others(state.me) if n in yes and n != copy.replica_set.primary]
    back = [n for n in copy.replica_set.others(state.me) if n in yes and n == copy.replica_set.primary]
    outside = [n for n, _ in crew_next(state) if not copy.replica_set.includes(n) and n in yes]
    if state.run.failed_rounds % 3 == 2 or not outside:
        others = (old + back)[: wanted - 1]
    else:
        others = [*old[: wanted - 2], outside[0]]
    if not others:
        return None
    silent = [n for n in copy.replica_set.others(state.me) if n not in others]
    return (state.me, *others, *silent[: wanted - 1 - len(others)])


def propose(state: Core, effect: Propose, now: datetime, out: list) -> Core:
    run, more = ballot.propose(
        state.run, effect.seat, crews(state), state.run.voters or crew_next(state), now
    )
    out.extend(more)
    return state._replace(run=run)


def won(state: Core, now: datetime, out: list) -> Core:
    """The witnesses have accepted: put the crew in force and tell everyone."""
    old = crew_of(state)
    seat = ReplicaSet(*state.run.replica_set)
    before = copy_of(state)
    if (
        before
        and before.replica_set
        and len(seat.members) < min(copies(state), len(before.replica_set.members))
    ):
        facts = {'part': 'core', 'seat': list(seat), 'before': list(before.replica_set)}
        out.append(Violated('enough_members', facts))
    swap = state.swap
    gone = [list(w) for w in old if w[0] not in dict(state.run.voters)]
    fleet = {
        **state.fleet,
        'witnesses': state.run.voters,
        'epoch': seat.epoch,
        'seat': list(seat),
        'gone': (list(state.fleet.get('gone', ())) + gone)[-GONE_MOST:],
    }
    state = state._replace(
        fleet=fleet, maybe=None, run=ballot.Campaign(highest_epoch=state.run.highest_epoch)
    )
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


def admit(state: Core, address: str, out: list) -> None:
    out.append(
        Ask(
            address,
            {'k': 'admit', 'member': state.me, 'address': state.address, 'zone': state.zone},
            ('f', 'admit', address),
        )
    )


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


def stand(state: Core, now: datetime, out: list) -> Core:
    """Stand for the primacy if the other seated member has been silent."""
    copy = copy_of(state)
    if (
        copy is None
        or copy.replica_set is None
        or not copy.has_all_rows
        or not copy.replica_set.includes(state.me)
    ):
        return state
    if state.run.stage != 'idle' or copy.last_heard is None or state.me not in dict(crew_next(state)):
        return state
    dice = (state.dice * 1103515245 + 12345) % 2**31
    rest = timedelta(milliseconds=200 + dice % 600)
    state = state._replace(dice=dice)
    if now - copy.last_heard < max(SILENT, state.silent) or (
        state.run.failed_at and now - state.run.failed_at < rest
    ):
        return state
    run, effects = ballot.start_round(
        state.run,
        state.me,
        crews(state),
        now,
        f'{", ".join(copy.replica_set.others(state.me))} silent since {copy.last_heard.isoformat()}',
    )
    out.extend(effects)
    return state._replace(run=run)


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
        if free and gone and state.lone and now - state.seated > ALL_ASKED:
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
        len(copy.replica_set.members) >= copies(state)
        or state.run.stage != 'idle'
        or (state.run.failed_at and now - state.run.failed_at < timedelta(milliseconds=800))
    ):
        return state
    order = [
        n
        for n, _ in crew_of(state)
        if not copy.replica_set.includes(n)
        and n in state.heard
        and now - state.heard[n] < 2 * len(crew_of(state)) * timedelta(seconds=1)
    ]
    if not order or now - state.seated < SILENT:
        return state
    run, effects = ballot.start_round(
        state.run,
        state.me,
        crews(state),
        now,
        f'{len(copy.replica_set.members)} copies of the core',
        None,
        (*copy.replica_set.members, order[0]),
    )
    out.extend(effects)
    return state._replace(run=run)


def hand_over(state: Core, event: Told, now: datetime, out: list) -> Core:
    """A core is about to stop: bring its copy, and its vote if another core waits for one, to others first.
    The return says whether it is worth waiting for; it asks again until it holds nothing."""
    name, copy = event.message['name'], copy_of(state)
    voter, waits = name in dict(crew_of(state)), sorted(state.guests.items())
    busy = state.run.stage != 'idle' or state.swap is not None
    if voter and waits and not busy:
        address, guest = waits[0]
        out.append(Note('swap', {'out': name, 'in': guest[0], 'cause': 'it was told to stop'}))
        state = state._replace(swap=Swap(None, name, guest[0], address, now))
    elif voter and copy.replica_set.includes(name) and not busy:
        members = members_without(state, name, now)
        if members is None:
            out.append(Return(event.call, {'ok': True, 'wait': False}))
            return state
        run, effects = ballot.start_round(
            state.run, state.me, crews(state), now, f'{name} was told to stop', None, members
        )
        out.extend(effects)
        state = state._replace(run=run)
    wait = voter and (bool(waits) or copy.replica_set.includes(name))
    out.append(Return(event.call, {'ok': True, 'wait': wait}))
    return state


def members_without(state: Core, name: str, now: datetime) -> tuple | None:
    """As many members as now without one of them, the primary first; None if too few others are there."""
    copy = copy_of(state)
    here = [n for n in state.heard if now - state.heard[n] < HEARD_LATELY and n != name]
    stay = [n for n in copy.replica_set.members if n != name and (n == state.me or n in here)]
    others = [n for n, _ in crew_of(state) if n in here and not copy.replica_set.includes(n)]
    members = (*stay, *others)[: len(copy.replica_set.members)]
    return members if stay and len(members) == len(copy.replica_set.members) else None


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
    rest = [n for n, _ in crew if n != swap.old and not copy.replica_set.includes(n)]
    members = tuple(n for n in copy.replica_set.members if n != swap.old)
    if len(members) < len(copy.replica_set.members):
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
    run, effects = ballot.start_round(
        state.run, state.me, crews(state) + (crew,), now, f'{swap.new} for {swap.old}', crew, members
    )
    out.extend(effects)
    return state._replace(run=run)
