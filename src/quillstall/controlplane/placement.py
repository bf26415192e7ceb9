"""Placement of the partitions: which stores are alive, and which moves should be under way."""

from datetime import datetime, timedelta

from quillstall.controlplane import book
from quillstall.controlplane.core_state import FRESH, VOUCHED, Core, Node, copies, register_of, rows_of
from quillstall.replication.group import ReplicaSet
from quillstall.replication.rendezvous import rank_across_zones
from quillstall.runtime.effect import Note, Violated

MOVES_AT_ONCE = 4
REPAIRS_AT_ONCE = 6
QUIET_PART = 0.5  # a store is given up after this part of its time of silence, if others find it silent too
SUSPECTING = 2  # so many of them, and none that hears it
REGISTERED = 3  # with so many live stores, no silent one stays registered


def watchers(state: Core, name: str, now: datetime) -> tuple[list[str], list[str]]:
    """Who watches a node and suspects it, and who watches it and does not: `watchers(state, 's1', now)`."""
    return all_watchers(state, now).get(name, ([], []))


def all_watchers(state: Core, now: datetime) -> dict[str, tuple[list[str], list[str]]]:
    """For each node that is watched, who suspects it and who does not; the silent ones' word is too old to
    count."""
    out: dict[str, tuple[list[str], list[str]]] = {}
    for n in sorted(state.nodes):
        node = state.nodes[n]
        if now - node.heard > FRESH:
            continue
        for name in node.peers:
            if name != n:
                out.setdefault(name, ([], []))[name not in node.suspects].append(n)
    return out


def stores(state: Core, now: datetime) -> list[Node]:
    """The stores that count as alive. One that is silent is given up when its watchers suspect it
    too, or when their word for it is old: `stores(state, now)`. With `lone` only other stores' word keeps
    it: one that routing nodes alone reach can confirm nothing."""
    found = sorted((n for n in state.nodes.values() if n.role == 'store'), key=lambda n: n.name)
    if all(now - n.heard <= state.silent * QUIET_PART for n in found):  # nobody's word is needed
        return found
    words = all_watchers(state, now)
    return [node for node in found if counts_as_alive(state, node, words.get(node.name, ([], [])), now)]


def counts_as_alive(state: Core, node: Node, words: tuple[list[str], list[str]], now: datetime) -> bool:
    """Whether a store that has been quiet for a while counts as alive, by the words of those that suspect it
    and of those that do not. Two stores that both find it silent, with none that hears it, are enough to give
    it up before its own time is over."""
    quiet = now - node.heard
    suspecting, hearing = ([n for n in names if state.nodes[n].role == 'store'] for names in words)
    if quiet <= state.silent:
        given_up = quiet > state.silent * QUIET_PART and len(suspecting) >= SUSPECTING and not hearing
        return not given_up
    vouched = hearing if state.lone else words[1]
    return bool(quiet <= VOUCHED and vouched and not words[0])


def disks_lost(state: Core) -> set[str]:
    """The stores whose disks are certainly lost: an empty one has come up at the address of each. Whoever is
    only down, frozen or cut off comes back with its disk; meanwhile another store may lose its own."""
    if not state.lone:
        return set()
    return {n for n, row in book.named(rows_of(state), 'member/') if row['state'] == 'replaced'}


def least_members(copies: int, missing: list[str], lost: set[str]) -> int:
    """How many members a partition must have to go on without some: as many copies as there should be, less
    the disks that are certainly lost among those that are missing. With fewer, the loss of one more disk,
    which the tolerance may still allow, takes what they have acknowledged.

    >>> least_members(2, ['a'], set()), least_members(2, ['a'], {'a'}), least_members(3, ['a', 'b'], {'b'})
    (2, 1, 2)
    """
    return max(1, copies - len(lost.intersection(missing)))


def check_members(state: Core, part: str, seat: list, out: list) -> None:
    """Whether a replica set that is asked for has as many members as it must have; those that went on being
    fewer before, where stores are few, may stay so."""
    have = rows_of(state).get(f'part/{part}')
    if have is None or seat[1] != have[0]:
        return
    missing = [n for n in have[2:] if n not in seat[2:]]
    least = least_members(min(copies(state), len(have) - 2), missing, disks_lost(state))
    if len(seat) - 2 < least:
        out.append(Violated('enough_members', {'part': part, 'seat': list(seat), 'before': list(have)}))


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


def is_settling(state: Core, now: datetime) -> bool:
    """Whether this primary is so new that a store it has not heard from may well be there."""
    return state.seated is not None and now - state.seated < state.silent


def plans(state: Core, now: datetime) -> list[tuple]:
    """The moves that should be under way: (part, leader, joiner, seat). First the parts that lost a
    member: it is dropped at once where enough members are left (`least_members`), else as its replacement
    is filled; then those that lack a copy; then those that should sit elsewhere. A new primary plans nothing but
    the dropping of disks that are certainly lost until every store has had the time to be heard."""
    rows = rows_of(state)
    if state.seated is None:
        return []
    settling = is_settling(state, now)
    live = {n.name: n for n in stores(state, now)}
    known = dict(book.named(rows, 'member/'))
    good = {n: r['zone'] for n, r in known.items() if r['state'] == 'in' and n in live}
    stuck = {n: {(p, e): set(names) for p, e, names in node.stuck} for n, node in live.items()}
    mute = {name for rows in stuck.values() for names in rows.values() for name in names}
    most = copies(state)
    lost = disks_lost(state)
    urgent, repair, calm = [], [], []
    for part, raw in book.named(rows, 'part/'):
        seat = ReplicaSet(*raw)
        silent = silent_members(seat, live, stuck.get(seat.primary, {}).get((part, seat.epoch)))
        here = [n for n in seat.members if n in live and n not in silent]
        if not here:
            continue
        stay = [n for n in here if n in good]
        missing = [n for n in seat.members if n not in here]
        if settling and not lost.issuperset(missing):
            continue  # who is only silent may be there
        least = least_members(most, missing, lost)
        leader = here[0]
        order = [n for n in rank_across_zones(part, good, stay) if n not in seat.members]
        order.sort(key=lambda n: (n in mute, live[n].relayed))  # last: who may be gone, or cut off
        if len(here) < len(seat.members) and len(stay) >= least:
            urgent.append((part, leader, leader, (seat.epoch + 1, seat.epoch, *stay)))
        elif len(here) < len(seat.members) or len(stay) < len(here):
            order = order or [n for n in silent if n in good]
            if order:
                members = filled_up([*(stay or [leader]), order[0]], missing, least, lost)
                urgent.append((part, leader, order[0], (seat.epoch + 1, seat.epoch, *members)))
        elif len(stay) < most:
            if order:
                repair.append((part, leader, order[0], (seat.epoch + 1, seat.epoch, *stay, order[0])))
        else:
            move = better(part, seat, good, most)
            if move:
                calm.append((part, seat.primary, move[-1], (seat.epoch + 1, seat.epoch, *move)))
    if urgent or settling:
        return urgent
    turn = (
        int(now.timestamp()) * REPAIRS_AT_ONCE % max(1, len(repair))
    )  # one that hangs must not hold up the rest
    return (repair[turn:] + repair[:turn])[:REPAIRS_AT_ONCE] or calm[:MOVES_AT_ONCE]


def silent_members(seat: ReplicaSet, live: dict[str, Node], mute: set[str] | None) -> set[str]:
    """The members to do without, where the primary says that the partition stands still and for whose
    confirmation it waits (`mute`); nobody where it says nothing. Members that reach the core through a peer
    only are cut off, and the others' word counts: a partition that works is left as it is even then, as the
    core's own link may be what is full.

    >>> node = Node('a', 'store', '1:1', 'z', 1)
    >>> live, seat = {'a': node, 'b': node._replace(relayed=True)}, ReplicaSet(2, 1, 'a', 'b')
    >>> silent_members(seat, live, None), silent_members(seat, live, {'b'}), silent_members(seat, live, set())
    (set(), {'b'}, {'b'})
    >>> silent_members(ReplicaSet(2, 1, 'b', 'a'), live, {'a'}), silent_members(ReplicaSet(2, 1, 'a', 'c'), live, set())
    ({'b'}, {'a'})
    """
    if mute is None:
        return set()
    relayed = {n for n in seat.members if n in live and live[n].relayed}
    if relayed and any(n in live and n not in relayed for n in seat.members):
        return relayed
    if not mute and len(seat.members) > 1:
        return {seat.primary}  # all confirm and it stands still: its own disk
    return mute


def filled_up(members: list[str], missing: list[str], least: int, lost: set[str]) -> list[str]:
    """Members with as many missing ones kept among them as it takes to be enough: with those nothing is
    acknowledged until they are back or replaced one by one.

    >>> filled_up(['a', 'd'], ['b', 'c'], 3, set()), filled_up(['a', 'd'], ['b', 'c'], 2, {'b'})
    (['a', 'd', 'b'], ['a', 'd'])
    """
    back = [n for n in missing if n not in lost and n not in members]
    return members + back[: max(0, least - len(members))]


def better(part: str, seat: ReplicaSet, good: dict[str, str], most: int) -> list[str] | None:
    """The members of a part after one step towards where it should sit, the joiner last; None if it sits
    well, or the step would bring its copies into fewer zones.

    >>> zones = {'a': 'x', 'b': 'y', 'c': 'z'}
    >>> best = rank_across_zones('p00', zones)[:2]; other = next(n for n in zones if n not in best)
    >>> better('p00', ReplicaSet(1, 0, *best), zones, 2) is None
    True
    >>> better('p00', ReplicaSet(1, 0, best[0], other), zones, 2) == list(best)
    True
    """
    best = rank_across_zones(part, good)[:most]
    new = [n for n in best if not seat.includes(n)]
    gone = [n for n in seat.members if n not in best]
    extra = len(seat.members) - most
    if not new and extra <= 0:
        return None
    after = [n for n in seat.members if not gone or n != gone[-1]] + new[:1]
    if len({good[n] for n in after}) < min(len({good[n] for n in seat.members}), most):
        return None
    return after


def enrolled(state: Core, now: datetime) -> dict:
    """The stores that should be registered: those that live, and, where they are fewer than three,
    the registered ones that may come back."""
    known = {n: r['address'] for n, r in book.named(rows_of(state), 'member/') if r['state'] == 'in'}
    live = [n.name for n in stores(state, now) if n.name in known]
    away = [n for n in register_of(state)['now'] if n in known and n not in live]
    return {n: known[n] for n in sorted(live + away[: max(0, REGISTERED - len(live))])}
