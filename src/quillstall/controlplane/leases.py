"""Leases of the routing nodes: answers to polls, acknowledgement of configuration generations, slot allocation."""

from collections.abc import Iterable
from datetime import datetime, timedelta
from functools import lru_cache
from typing import NamedTuple

from immutables import Map

from quillstall.controlplane import core_table, placement, pooled_failures, slot_allocation
from quillstall.controlplane.core_state import (
    PEER_REPORT_VALIDITY,
    RECENT_POLL,
    Core,
    Node,
    PackedPolicy,
    Poll,
    confirmed_rows,
    core_copy,
    current_register,
    old_leases_may_run,
)
from quillstall.network import listing, packing
from quillstall.replication import register
from quillstall.replication.rendezvous import rank
from quillstall.runtime.effect import Return
from quillstall.runtime.errors import Fault

WATCHED_PEERS = 3  # peers that each node monitors
WATCHED_STORES = 2  # for a store, its successors in the ring: two monitor each


def is_behind(state: Core, node: Node) -> bool:
    """Return whether a node lacks the newest configuration, placement, register or list of replicas."""
    rows = confirmed_rows(state)
    return (
        lacks_generation(node, rows.get('gen', 0))
        or node.placement_version != rows.get('place', 0)
        or node.register_number < current_register(state)['number']
        or (node.role == 'route' and listing.is_newer(node.listing, state.listing))
    )


def lacks_generation(node: Node, generation: int) -> bool:
    """Return whether a node has an older generation of the configuration.

    >>> lacks_generation(Node('n1', 'route', '127.0.0.1:1', 'z1', 1, 3), 3)
    False
    """
    return node.generation < generation


def allocation_changed(state: Core, name: str, now: datetime) -> bool:
    """Return whether the node's slot allocation differs from the one that it has."""
    node = state.nodes[name]
    if node.role == 'store':
        return False
    allocation = allocation_of(state, name, now)
    return any(allocation.get(r) != node.reported_slots.get(r, [0, 0])[0] for r in allocation)


def reports_trouble(node: Node) -> bool:
    """Return whether a store reports a stalled partition or a silent store.

    >>> reports_trouble(Node('s', 'store', '1:1', 'z', 1)), reports_trouble(Node('s', 'store', '1:1', 'z', 1, stalled_partitions=(['p', 2, []],)))
    (False, True)
    """
    return node.role == 'store' and bool(node.stalled_partitions or node.suspected_peers)


def stores_with_new_plans(state: Core, now: datetime) -> set[str]:
    """Return the stores that lead a reconfiguration that they do not know yet, while a partition is stalled or a
    disk is lost: their polls are answered at once."""
    repairing = placement.in_startup_grace(state, now) and placement.stores_with_lost_disks(state)
    if not repairing and not any(reports_trouble(node) for node in state.nodes.values()):
        return set()
    plans = placement.plan_reconfigurations(state, now)
    return {
        plan[1]
        for plan in plans
        if plan[1] in state.nodes and plan not in state.nodes[plan[1]].assigned_plans
    }


def allocation_of(state: Core, name: str, now: datetime) -> dict:
    """Return the slots that a node may use now; soon after a failover, those that it reports."""
    if old_leases_may_run(state, now):
        return {replica: limit for replica, (limit, _) in state.nodes[name].reported_slots.items()}
    return {replica: shares[name] for replica, shares in state.allocations.items() if name in shares}


class SharedAnswer(NamedTuple):
    """The fields that the answers to one batch of polls have in common.

    >>> SharedAnswer().leased_nodes
    0
    """

    leased_nodes: int = 0  # number of routing nodes that hold a lease
    addresses: dict = {}  # of the processes that may be monitored, by name
    watchable: tuple = ()  # their names, sorted
    stores: frozenset = frozenset()  # the stores among them
    suspect_replicas: tuple = ()  # replicas that some node suspects
    failing_replicas: tuple = ()  # replicas with recent failures at some node
    ejected_replicas: tuple = ()  # replicas that are ejected temporarily
    probe_reports: dict = {}  # the probe leader's results for them
    plans: tuple = ()  # reconfigurations that should run; empty if no store polls


def collect_shared(state: Core, names: Iterable[str], now: datetime) -> SharedAnswer:
    """Return the fields that the answers to all these nodes share: `collect_shared(state, ['n1', 's1'], now)`."""
    polling = [state.nodes[name] for name in names if name in state.nodes]
    addresses: dict = {}
    stores, recent, leased = [], [], {node.name for node in polling if node.role == 'route'}
    for node in state.nodes.values():
        silence = now - node.last_heard
        if silence <= RECENT_POLL:
            recent.append(node)
        if silence <= PEER_REPORT_VALIDITY:
            addresses[node.name] = node.address
            if node.role == 'store':
                stores.append(node.name)
        if node.role == 'route' and node.lease_end and node.lease_end > now:
            leased.add(node.name)
    suspect_replicas = {replica for node in recent for replica in node.suspect_replicas}
    failing = pooled_failures.failing(recent)
    return SharedAnswer(
        len(leased),
        addresses,
        tuple(sorted(addresses)),
        frozenset(stores),
        tuple(sorted(suspect_replicas)),
        failing,
        pooled_failures.ejected(recent) if suspect_replicas or failing else (),
        {
            replica: report['well']
            for node in recent
            for replica, report in node.probe_reports.items()
            if replica in suspect_replicas
        },
        tuple(placement.plan_reconfigurations(state, now))
        if any(node.role == 'store' for node in polling)
        else (),
    )


@lru_cache(maxsize=1024)
def peers_to_watch(name: str, others: tuple, store_ring: tuple) -> tuple:
    """Return the peers that a node monitors: for a store, first its successors in the ring of stores.

    >>> len(peers_to_watch('n1', ('n1', 'n2', 'n3', 'n4', 'n5'), ())), 'n1' in peers_to_watch('n1', ('n1', 'n2'), ())
    (3, False)
    >>> peers_to_watch('s2', ('n1', 's1', 's2', 's3'), ('s1', 's2', 's3'))
    ('s3', 's1', 'n1')
    """
    ranked = rank(name, [peer for peer in others if peer != name])
    if name not in store_ring:
        return tuple(ranked[:WATCHED_PEERS])
    successors = [peer for peer in store_ring if peer > name] + [peer for peer in store_ring if peer < name]
    first = successors[:WATCHED_STORES]
    return tuple((first + [peer for peer in ranked if peer not in first])[:WATCHED_PEERS])


def answer_polls(state: Core, polls: Iterable[Poll], rows: Map, now: datetime, effects: list) -> Core:
    """Answer a batch of polls from committed rows and grant the leases that go with the answers."""
    names = [poll.name for poll in polls]
    shared = collect_shared(state, names, now)
    state = pack_policy(state, names, rows)
    for poll in polls:
        state = answer_poll(state, poll, rows, shared, now, effects)
    return state


def pack_policy(state: Core, names: list[str], rows: Map) -> Core:
    """Return the state with the policy packed once for all, if one of these nodes needs it."""
    policy = rows.get('policy')
    polling = [state.nodes[name] for name in names if name in state.nodes]
    if state.packed_policy.policy is policy or not any(
        lacks_generation(node, rows.get('gen', 0)) for node in polling
    ):
        return state
    return state._replace(packed_policy=PackedPolicy(policy, packing.compress(policy)))


def policy_for(node: Node, policy: PackedPolicy) -> dict:
    """Return the policy in the form that a node can read.

    >>> node, policy = Node('n', 'route', '1:1', 'z', 1), PackedPolicy({'classes': {}}, b'...')
    >>> policy_for(node, policy), policy_for(node._replace(accepts_packed=True), policy)
    ({'policy': {'classes': {}}}, {'policy_packed': b'...'})
    >>> policy_for(node._replace(accepts_packed=True), PackedPolicy())          # there is none yet
    {'policy': None}
    """
    if node.accepts_packed and policy.data:
        return {packing.PACKED_POLICY_KEY: policy.data}
    return {packing.POLICY_KEY: policy.policy}


def answer_poll(
    state: Core, poll: Poll, rows: Map, shared: SharedAnswer, now: datetime, effects: list
) -> Core:
    """Answer one poll and grant the lease that goes with the answer."""
    node = state.nodes.get(poll.name)
    if node is None:
        effects.append(Return(poll.call, Fault('moved', 'not the primary now').pack()))
        return state
    generation, placement_version = rows.get('gen', 0), rows.get('place', 0)
    replica_set = core_copy(state).replica_set
    reply = {
        'ok': True,
        'generation': generation,
        'place': placement_version,
        'lease_ms': state.lease_duration // timedelta(milliseconds=1),
        'epoch': replica_set.epoch,
        'fleet': state.fleet['id'],
        'core': [a for _, a in state.fleet['witnesses']],
        'live': shared.leased_nodes,
    }
    if lacks_generation(node, generation):
        reply.update(policy_for(node, state.packed_policy))
        reply['leaving'] = [n for n, _ in core_table.rows_with_prefix(rows, 'leaving/')]
    store_register = rows.get('register') or register.EMPTY_REGISTER
    if node.register_number < store_register['number']:
        reply['register'] = store_register
    if node.placement_version != placement_version:
        reply['seats'] = {p: list(s) for p, s in core_table.rows_with_prefix(rows, 'part/')}
        reply['book'] = {n: r['address'] for n, r in core_table.rows_with_prefix(rows, 'member/')}
        reply['known'] = [a for a, _ in core_table.rows_with_prefix(rows, 'known/')]
    if node.role == 'route' and listing.is_newer(node.listing, state.listing):
        reply['listing'] = listing.to_wire(state.listing, now)
    elif node.role == 'route' and state.listing and node.listing.get('digest') == state.listing['digest']:
        seen = {key: state.listing[key] for key in ('at', 'digest')}
        reply['listing_seen'] = listing.to_wire(seen, now)  # confirms that the node's list is current
    peers = peers_to_watch(node.name, shared.watchable, tuple(sorted(shared.stores)))
    reply['peers'] = {n: shared.addresses[n] for n in peers}
    reply['watched'] = [n for n in peers if n in shared.stores]  # only the liveness of stores is checked
    lease_end = node.lease_end
    if node.role == 'route':
        reply['allot'] = allocation_of(state, node.name, now)
        if shared.suspect_replicas:
            vote = state.leadership_votes.get('probe')
            reply['doubts'] = list(shared.suspect_replicas)
            reply['duty'] = vote[0] if vote and vote[1] > now else None
            reply['reports'] = shared.probe_reports
        if shared.failing_replicas or shared.ejected_replicas:
            reply['failing'], reply['shunned'] = list(shared.failing_replicas), list(shared.ejected_replicas)
        lease_end = now + state.granted_lease
    else:
        node = node._replace(assigned_plans=tuple(p for p in shared.plans if p[1] == node.name))
        reply['plans'] = [list(p) for p in node.assigned_plans]
    effects.append(Return(poll.call, reply))
    return state._replace(
        nodes=state.nodes.set(node.name, node._replace(lease_end=lease_end, watched_peers=peers))
    )


def acknowledge_changes(state: Core, now: datetime, effects: list) -> Core:
    """Acknowledge changes whose generation no routing node can fall behind: a majority of the registered
    stores has it on disk, and no lease under an older generation is valid."""
    still_pending = []
    for change in state.pending_changes:
        if (
            old_leases_may_run(state, now)
            or not on_store_majority(state, change.generation)
            or nodes_under_old_leases(state, change.generation, now)
        ):
            still_pending.append(change)
        else:
            effects.append(Return(change.call, change.reply))
            state = state._replace(
                acknowledged_generation=max(state.acknowledged_generation, change.generation)
            )
    return state._replace(pending_changes=tuple(still_pending))


def on_store_majority(state: Core, generation: int) -> bool:
    """Return whether every majority of the valid registers includes a store that has the generation on disk."""
    store_register = current_register(state)
    up_to_date = [n.name for n in state.nodes.values() if n.role == 'store' and n.generation >= generation]
    return register.intersects_majorities(up_to_date, store_register['now'], store_register['old'])


def nodes_under_old_leases(state: Core, generation: int, now: datetime) -> list[str]:
    """Return the routing nodes that may still send under an older generation, by a lease from this process or by
    one that stores have renewed: `nodes_under_old_leases(state, 4, now)`."""
    up_to_date = {n.name for n in state.nodes.values() if n.role == 'route' and n.generation >= generation}
    leased_here = [
        n.name
        for n in state.nodes.values()
        if n.role == 'route' and n.name not in up_to_date and n.lease_end and n.lease_end > now
    ]
    return leased_here + [
        n
        for store in state.nodes.values()
        for n, renewed_generation, end in store.renewed_leases
        if renewed_generation < generation and end > now and n not in up_to_date
    ]


def record_held_slots(state: Core, node: Node) -> Core:
    """Record the slots that a routing node may still be using: exactly those that it reports."""
    if node.role != 'route':
        return state
    held = {replica: max(limit, used) for replica, (limit, used) in node.reported_slots.items()}
    return state._replace(held_slots=state.held_slots.set(node.name, held))


def reallocate_slots(state: Core, now: datetime) -> Core:
    """Recompute the slot allocation of all pools.

    The demand of the last allocation is kept while it has changed little, so allocations do not oscillate."""
    policy = confirmed_rows(state).get('policy')
    if not policy or old_leases_may_run(state, now):
        return state._replace(allocated_at=now)
    nodes = [n for n in state.nodes.values() if n.role == 'route' and n.lease_end and n.lease_end > now]
    names = sorted(n.name for n in nodes)
    held = {n: dict(state.held_slots.get(n, {})) for n in names}
    allocations: dict = {}
    demands = dict(state.allocated_demand)
    for pool, spec in sorted(policy['pools'].items()):
        if spec.get('listed'):  # its slots are shared by the load that the replicas report
            continue
        sizes = {replica: settings['slots'] for replica, settings in spec['replicas'].items()}
        demand = {n.name: float(n.demand.get(pool, 0)) for n in nodes}
        previous = demands.get(pool)
        if (
            previous
            and set(previous) == set(demand)
            and all(abs(demand[n] - previous[n]) <= 0.25 * max(8.0, previous[n]) for n in demand)
        ):
            demand = previous
        demands[pool] = demand
        slots_by_replica = slot_allocation.allocate_replicas(
            sizes, slot_allocation.node_totals(sum(sizes.values()), demand)
        )
        for replica, shares in slots_by_replica.items():
            current = {n: held[n].get(replica, 0) for n in names}
            shares = slot_allocation.grantable(sizes[replica], shares, current)
            allocations[replica] = shares
            for n in names:
                held[n][replica] = max(current[n], shares[n])
    return state._replace(
        held_slots=Map(held), allocations=allocations, allocated_demand=demands, allocated_at=now
    )
