"""Placement of the partitions: which stores are alive, and which reconfigurations should be under way."""

from datetime import datetime, timedelta

from quillstall.controlplane import core_table
from quillstall.controlplane.core_state import (
    PEER_REPORT_VALIDITY,
    RECENT_POLL,
    Core,
    Node,
    confirmed_rows,
    current_register,
    replication_factor,
)
from quillstall.replication.copies import ReplicaSet
from quillstall.replication.rendezvous import rank_across_zones
from quillstall.runtime.effect import Note, Violated

MAX_CONCURRENT_REBALANCES = 4
MAX_CONCURRENT_REPAIRS = 6
EARLY_TIMEOUT_FRACTION = 0.5  # of the store timeout, after which peers that agree can give a store up
MIN_SUSPECTING_STORES = 2  # that give a store up early, if none still reaches it
MIN_REGISTERED_STORES = 3  # with as many live stores, no silent one stays registered


def watchers_of(state: Core, name: str, now: datetime) -> tuple[list[str], list[str]]:
    """Return the watchers of a node that suspect it and those that do not: `watchers_of(state, 's1', now)`."""
    return all_watchers(state, now).get(name, ([], []))


def all_watchers(state: Core, now: datetime) -> dict[str, tuple[list[str], list[str]]]:
    """Return for each watched node the watchers that suspect it and those that do not.

    Reports of watchers that are silent themselves are too old to count."""
    watchers: dict[str, tuple[list[str], list[str]]] = {}
    for watcher in sorted(state.nodes):
        node = state.nodes[watcher]
        if now - node.last_heard > RECENT_POLL:
            continue
        for name in node.watched_peers:
            if name != watcher:
                watchers.setdefault(name, ([], []))[name not in node.suspected_peers].append(watcher)
    return watchers


def live_stores(state: Core, now: datetime) -> list[Node]:
    """Return the stores that count as alive: `live_stores(state, now)`.

    A silent store is given up when its watchers suspect it too, or when their reports are old. In degraded mode
    only other stores' reports keep it alive: a store that only routing nodes reach can confirm nothing."""
    known_stores = sorted((n for n in state.nodes.values() if n.role == 'store'), key=lambda n: n.name)
    # while every store polls in time, no reports are needed
    if all(now - n.last_heard <= state.store_timeout * EARLY_TIMEOUT_FRACTION for n in known_stores):
        return known_stores
    reports = all_watchers(state, now)
    return [
        node for node in known_stores if counts_as_alive(state, node, reports.get(node.name, ([], [])), now)
    ]


def counts_as_alive(state: Core, node: Node, reports: tuple[list[str], list[str]], now: datetime) -> bool:
    """Return whether a silent store counts as alive, from the watchers that suspect it and those that do not.

    Two stores that suspect it, with none that still reaches it, give it up before its timeout."""
    silence = now - node.last_heard
    suspecting, in_contact = ([n for n in names if state.nodes[n].role == 'store'] for names in reports)
    if silence <= state.store_timeout:
        given_up = (
            silence > state.store_timeout * EARLY_TIMEOUT_FRACTION
            and len(suspecting) >= MIN_SUSPECTING_STORES
            and not in_contact
        )
        return not given_up
    vouching = in_contact if state.degraded_mode else reports[1]
    return bool(silence <= PEER_REPORT_VALIDITY and vouching and not reports[0])


def stores_with_lost_disks(state: Core) -> set[str]:
    """Return the stores whose disks are certainly lost: an empty store has started at the address of each.

    A store that is only down, frozen or partitioned off comes back with its disk; meanwhile another may lose
    its own."""
    if not state.degraded_mode:
        return set()
    return {
        n
        for n, row in core_table.rows_with_prefix(confirmed_rows(state), 'member/')
        if row['state'] == 'replaced'
    }


def min_members(copies: int, missing: list[str], lost_disks: set[str]) -> int:
    """Return how many members a partition needs to go on without the missing ones.

    That is the replication factor less the disks among them that are certainly lost. With fewer, the loss of one
    more disk, which the fault tolerance may still allow, would lose acknowledged writes.

    >>> min_members(2, ['a'], set()), min_members(2, ['a'], {'a'}), min_members(3, ['a', 'b'], {'b'})
    (2, 1, 2)
    """
    return max(1, copies - len(lost_disks.intersection(missing)))


def check_members(state: Core, partition: str, replica_set: list, effects: list) -> None:
    """Report a violation if a requested replica set has fewer members than it needs.

    A set that had fewer before, where stores are few, may keep that number."""
    current = confirmed_rows(state).get(f'part/{partition}')
    if current is None or replica_set[1] != current[0]:
        return
    missing = [n for n in current[2:] if n not in replica_set[2:]]
    required = min_members(
        min(replication_factor(state), len(current) - 2), missing, stores_with_lost_disks(state)
    )
    if len(replica_set) - 2 < required:
        effects.append(
            Violated(
                'enough_members', {'part': partition, 'seat': list(replica_set), 'before': list(current)}
            )
        )


def note_store_changes(state: Core, now: datetime, effects: list) -> Core:
    """Write to the journal which stores were given up, with those that suspect them, and which are back."""
    live = tuple(n.name for n in live_stores(state, now))
    for name in sorted(set(state.last_live_stores) - set(live)):
        effects.append(
            Note(
                'store_given_up',
                {
                    'name': name,
                    'silent_ms': (now - state.nodes[name].last_heard) // timedelta(milliseconds=1)
                    if name in state.nodes
                    else None,
                    'suspected_by': watchers_of(state, name, now)[0],
                },
            )
        )
    for name in sorted(set(live) - set(state.last_live_stores)):
        effects.append(Note('store_alive', {'name': name}))
    return state._replace(last_live_stores=live)


def in_startup_grace(state: Core, now: datetime) -> bool:
    """Return whether this primary is so new that a store which it has not heard from may be alive."""
    return state.primary_since is not None and now - state.primary_since < state.store_timeout


def plan_reconfigurations(state: Core, now: datetime) -> list[tuple]:
    """Return the reconfigurations that should be under way: (partition, leader, joiner, replica set).

    Partitions that lost a member come first: it is dropped at once if enough members remain (`min_members`),
    else when its replacement has the data. Then come partitions that lack a copy, then those to rebalance. Until
    every store has had time to report, a new primary only drops disks that are certainly lost."""
    rows = confirmed_rows(state)
    if state.primary_since is None:
        return []
    in_grace = in_startup_grace(state, now)
    live = {n.name: n for n in live_stores(state, now)}
    known = dict(core_table.rows_with_prefix(rows, 'member/'))
    eligible = {n: r['zone'] for n, r in known.items() if r['state'] == 'in' and n in live}
    stalled = {
        n: {(name, epoch): set(waiting_for) for name, epoch, waiting_for in node.stalled_partitions}
        for n, node in live.items()
    }
    unresponsive = {
        name for rows in stalled.values() for waiting_for in rows.values() for name in waiting_for
    }
    copies = replication_factor(state)
    lost_disks = stores_with_lost_disks(state)
    urgent, repairs, rebalances = [], [], []
    for partition, row in core_table.rows_with_prefix(rows, 'part/'):
        replica_set = ReplicaSet(*row)
        failed = failed_members(
            replica_set, live, stalled.get(replica_set.primary, {}).get((partition, replica_set.epoch))
        )
        responsive = [n for n in replica_set.members if n in live and n not in failed]
        if not responsive:
            continue
        remaining = [n for n in responsive if n in eligible]
        missing = [n for n in replica_set.members if n not in responsive]
        if in_grace and not lost_disks.issuperset(missing):
            continue  # a store that is only silent may be alive
        required = min_members(copies, missing, lost_disks)
        leader = responsive[0]
        candidates = [
            n for n in rank_across_zones(partition, eligible, remaining) if n not in replica_set.members
        ]
        candidates.sort(key=lambda n: (n in unresponsive, live[n].relayed))  # may be down or cut off: last
        if len(responsive) < len(replica_set.members) and len(remaining) >= required:
            urgent.append((partition, leader, leader, (replica_set.epoch + 1, replica_set.epoch, *remaining)))
        elif len(responsive) < len(replica_set.members) or len(remaining) < len(responsive):
            candidates = candidates or [n for n in failed if n in eligible]
            if candidates:
                members = with_missing_members(
                    [*(remaining or [leader]), candidates[0]], missing, required, lost_disks
                )
                urgent.append(
                    (partition, leader, candidates[0], (replica_set.epoch + 1, replica_set.epoch, *members))
                )
        elif len(remaining) < copies:
            if candidates:
                repairs.append(
                    (
                        partition,
                        leader,
                        candidates[0],
                        (replica_set.epoch + 1, replica_set.epoch, *remaining, candidates[0]),
                    )
                )
        else:
            new_members = rebalancing_step(partition, replica_set, eligible, copies)
            if new_members:
                rebalances.append(
                    (
                        partition,
                        replica_set.primary,
                        new_members[-1],
                        (replica_set.epoch + 1, replica_set.epoch, *new_members),
                    )
                )
    if urgent or in_grace:
        return urgent
    # rotated, so that repairs which hang do not block the others
    offset = int(now.timestamp()) * MAX_CONCURRENT_REPAIRS % max(1, len(repairs))
    return (repairs[offset:] + repairs[:offset])[:MAX_CONCURRENT_REPAIRS] or rebalances[
        :MAX_CONCURRENT_REBALANCES
    ]


def failed_members(replica_set: ReplicaSet, live: dict[str, Node], unresponsive: set[str] | None) -> set[str]:
    """Return the members to drop from a partition that its primary reports as stalled; none without a report.

    `unresponsive` are the members whose confirmation the primary waits for. Members that reach the core only
    through a peer are cut off, and the reports of the others count. A partition that works is left as it is even
    then, since the core's own link may be the congested one.

    >>> node = Node('a', 'store', '1:1', 'z', 1)
    >>> live, replica_set = {'a': node, 'b': node._replace(relayed=True)}, ReplicaSet(2, 1, 'a', 'b')
    >>> failed_members(replica_set, live, None), failed_members(replica_set, live, {'b'}), failed_members(replica_set, live, set())
    (set(), {'b'}, {'b'})
    >>> failed_members(ReplicaSet(2, 1, 'b', 'a'), live, {'a'}), failed_members(ReplicaSet(2, 1, 'a', 'c'), live, set())
    ({'b'}, {'a'})
    """
    if unresponsive is None:
        return set()
    relayed = {n for n in replica_set.members if n in live and live[n].relayed}
    if relayed and any(n in live and n not in relayed for n in replica_set.members):
        return relayed
    if not unresponsive and len(replica_set.members) > 1:
        return {replica_set.primary}  # all others confirm, so its own disk is stalled
    return unresponsive


def with_missing_members(
    members: list[str], missing: list[str], required: int, lost_disks: set[str]
) -> list[str]:
    """Return the members with as many missing ones kept as are required.

    With those nothing is acknowledged until they are back or have been replaced one by one.

    >>> with_missing_members(['a', 'd'], ['b', 'c'], 3, set()), with_missing_members(['a', 'd'], ['b', 'c'], 2, {'b'})
    (['a', 'd', 'b'], ['a', 'd'])
    """
    kept = [n for n in missing if n not in lost_disks and n not in members]
    return members + kept[: max(0, required - len(members))]


def rebalancing_step(
    partition: str, replica_set: ReplicaSet, eligible: dict[str, str], copies: int
) -> list[str] | None:
    """Return a partition's members after one step towards its preferred stores, the joiner last.

    None if it is on its preferred stores, or if the step would leave its copies in fewer zones.

    >>> zones = {'a': 'x', 'b': 'y', 'c': 'z'}
    >>> preferred = rank_across_zones('p00', zones)[:2]; other = next(n for n in zones if n not in preferred)
    >>> rebalancing_step('p00', ReplicaSet(1, 0, *preferred), zones, 2) is None
    True
    >>> rebalancing_step('p00', ReplicaSet(1, 0, preferred[0], other), zones, 2) == list(preferred)
    True
    """
    preferred = rank_across_zones(partition, eligible)[:copies]
    added = [n for n in preferred if not replica_set.includes(n)]
    removed = [n for n in replica_set.members if n not in preferred]
    excess = len(replica_set.members) - copies
    if not added and excess <= 0:
        return None
    members = [n for n in replica_set.members if not removed or n != removed[-1]] + added[:1]
    if len({eligible[n] for n in members}) < min(len({eligible[n] for n in replica_set.members}), copies):
        return None
    return members


def desired_register(state: Core, now: datetime) -> dict:
    """Return the stores that the register should hold, with their addresses: the live ones and, if they are fewer
    than three, registered ones that may come back."""
    known = {
        n: r['address']
        for n, r in core_table.rows_with_prefix(confirmed_rows(state), 'member/')
        if r['state'] == 'in'
    }
    live = [n.name for n in live_stores(state, now) if n.name in known]
    absent = [n for n in current_register(state)['now'] if n in known and n not in live]
    return {n: known[n] for n in sorted(live + absent[: max(0, MIN_REGISTERED_STORES - len(live))])}
