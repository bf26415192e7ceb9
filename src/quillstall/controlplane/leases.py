"""Leases of the routing nodes: polls, news, acknowledgement of generations, and allotment of slots."""

from collections.abc import Iterable
from datetime import datetime, timedelta
from functools import lru_cache
from typing import NamedTuple

from immutables import Map

from quillstall.controlplane import allot, book, placement, pooled_failures
from quillstall.controlplane.core_state import (
    FRESH,
    VOUCHED,
    Core,
    Node,
    PackedPolicy,
    Poll,
    copy_of,
    early,
    register_of,
    rows_of,
)
from quillstall.network import listing, packing
from quillstall.replication import register
from quillstall.replication.rendezvous import rank
from quillstall.runtime.effect import Return
from quillstall.runtime.errors import Fault

WATCHED = 3  # peers that each node watches
STORES_WATCHED = 2  # of them, those that follow it among the stores: so each store is watched by two


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


def news(state: Core, name: str, now: datetime) -> bool:
    """Whether the node's allotment has changed since it was told, or a plan waits for it."""
    node = state.nodes[name]
    if node.role == 'store':
        return False
    row = allotted(state, name, now)
    return any(row.get(r) != node.has.get(r, [0, 0])[0] for r in row)


def finds_trouble(node: Node) -> bool:
    """Whether a store says that a partition stands still, or that another store is silent.

    >>> finds_trouble(Node('s', 'store', '1:1', 'z', 1)), finds_trouble(Node('s', 'store', '1:1', 'z', 1, stuck=(['p', 2, []],)))
    (False, True)
    """
    return node.role == 'store' and bool(node.stuck or node.suspects)


def new_leaders(state: Core, now: datetime) -> set[str]:
    """The stores that are to lead a move they were not told of yet, while some partition stands still: their
    polls are not held."""
    repairing = placement.is_settling(state, now) and placement.disks_lost(state)
    if not repairing and not any(finds_trouble(node) for node in state.nodes.values()):
        return set()
    plans = placement.plans(state, now)
    return {plan[1] for plan in plans if plan[1] in state.nodes and plan not in state.nodes[plan[1]].plans}


def allotted(state: Core, name: str, now: datetime) -> dict:
    """What a node may use now; just after a take-over, what it says it has."""
    if early(state, now):
        return {r: limit for r, (limit, _) in state.nodes[name].has.items()}
    return {r: row[name] for r, row in state.targets.items() if name in row}


class Shared(NamedTuple):
    """What the answers to one batch of polls have in common.

    >>> Shared().live
    0
    """

    live: int = 0  # how many routing nodes have a lease
    addresses: dict = {}  # the processes that may be watched: name -> address
    watchable: tuple = ()  # their names, in order
    stores: frozenset = frozenset()  # those of them that are stores
    doubts: tuple = ()  # the replicas that some node doubts
    failing: tuple = ()  # the replicas that some node failed with lately
    shunned: tuple = ()  # the replicas that are to be left alone
    reports: dict = {}  # what the holder of the probe duty says of them
    plans: tuple = ()  # the moves that should be under way; filled in only if a store has asked


def share(state: Core, names: Iterable[str], now: datetime) -> Shared:
    """Work out once what the answers to all these nodes share: `share(state, ['n1', 's1'], now)`."""
    asking = [state.nodes[n] for n in names if n in state.nodes]
    addresses: dict = {}
    stores, alive, live = [], [], {n.name for n in asking if n.role == 'route'}
    for node in state.nodes.values():
        quiet = now - node.heard
        if quiet <= FRESH:
            alive.append(node)
        if quiet <= VOUCHED:
            addresses[node.name] = node.address
            if node.role == 'store':
                stores.append(node.name)
        if node.role == 'route' and node.lease and node.lease > now:
            live.add(node.name)
    doubts = {r for n in alive for r in n.doubts}
    failing = pooled_failures.failing(alive)
    return Shared(
        len(live),
        addresses,
        tuple(sorted(addresses)),
        frozenset(stores),
        tuple(sorted(doubts)),
        failing,
        pooled_failures.shunned(alive) if doubts or failing else (),
        {r: v['well'] for n in alive for r, v in n.reports.items() if r in doubts},
        tuple(placement.plans(state, now)) if any(n.role == 'store' for n in asking) else (),
    )


@lru_cache(maxsize=1024)
def watched(name: str, others: tuple, ring: tuple) -> tuple:
    """The few peers that a node watches, of all that may be: for a store, one of the ring of stores, first
    those that follow it there.

    >>> len(watched('n1', ('n1', 'n2', 'n3', 'n4', 'n5'), ())), 'n1' in watched('n1', ('n1', 'n2'), ())
    (3, False)
    >>> watched('s2', ('n1', 's1', 's2', 's3'), ('s1', 's2', 's3'))
    ('s3', 's1', 'n1')
    """
    ranked = rank(name, [n for n in others if n != name])
    if name not in ring:
        return tuple(ranked[:WATCHED])
    follow = [n for n in ring if n > name] + [n for n in ring if n < name]
    first = follow[:STORES_WATCHED]
    return tuple((first + [n for n in ranked if n not in first])[:WATCHED])


def answer(state: Core, polls: Iterable[Poll], rows: Map, now: datetime, out: list) -> Core:
    """The returns of a batch of polls from confirmed rows, and the leases that they give."""
    names = [poll.name for poll in polls]
    shared = share(state, names, now)
    state = pack_policy(state, names, rows)
    for poll in polls:
        state = answer_one(state, poll, rows, shared, now, out)
    return state


def pack_policy(state: Core, names: list[str], rows: Map) -> Core:
    """The state with the policy packed, if one of these nodes is to get it: it is the same for all."""
    policy = rows.get('policy')
    asking = [state.nodes[n] for n in names if n in state.nodes]
    if state.packed.policy is policy or not any(newer(node, rows.get('gen', 0)) for node in asking):
        return state
    return state._replace(packed=PackedPolicy(policy, packing.packed(policy)))


def policy_for(node: Node, policy: PackedPolicy) -> dict:
    """The policy as a node can take it.

    >>> node, policy = Node('n', 'route', '1:1', 'z', 1), PackedPolicy({'classes': {}}, b'...')
    >>> policy_for(node, policy), policy_for(node._replace(unpacks=True), policy)
    ({'policy': {'classes': {}}}, {'policy_packed': b'...'})
    >>> policy_for(node._replace(unpacks=True), PackedPolicy())          # there is none yet
    {'policy': None}
    """
    if node.unpacks and policy.data:
        return {packing.PACKED_POLICY: policy.data}
    return {packing.POLICY: policy.policy}


def answer_one(state: Core, poll: Poll, rows: Map, shared: Shared, now: datetime, out: list) -> Core:
    """The return of one poll, and the lease that it gives."""
    node = state.nodes.get(poll.name)
    if node is None:
        out.append(Return(poll.call, Fault('moved', 'not the primary now').pack()))
        return state
    gen, place = rows.get('gen', 0), rows.get('place', 0)
    seat = copy_of(state).replica_set
    ret = {
        'ok': True,
        'generation': gen,
        'place': place,
        'lease_ms': state.lease // timedelta(milliseconds=1),
        'epoch': seat.epoch,
        'fleet': state.fleet['id'],
        'core': [a for _, a in state.fleet['witnesses']],
        'live': shared.live,
    }
    if newer(node, gen):
        ret.update(policy_for(node, state.packed))
        ret['leaving'] = [n for n, _ in book.named(rows, 'leaving/')]
    book_now = rows.get('register') or register.EMPTY_REGISTER
    if node.number < book_now['number']:
        ret['register'] = book_now
    if node.place != place:
        ret['seats'] = {p: list(s) for p, s in book.named(rows, 'part/')}
        ret['book'] = {n: r['address'] for n, r in book.named(rows, 'member/')}
        ret['known'] = [a for a, _ in book.named(rows, 'known/')]
    if node.role == 'route' and listing.newer(node.listing, state.listing):
        ret['listing'] = listing.to_wire(state.listing, now)
    elif node.role == 'route' and state.listing and node.listing.get('digest') == state.listing['digest']:
        seen = {key: state.listing[key] for key in ('at', 'digest')}
        ret['listing_seen'] = listing.to_wire(seen, now)  # what it has is still what the list says
    near = watched(node.name, shared.watchable, tuple(sorted(shared.stores)))
    ret['peers'] = {n: shared.addresses[n] for n in near}
    ret['watched'] = [n for n in near if n in shared.stores]  # nobody asks whether a routing node is alive
    lease = node.lease
    if node.role == 'route':
        ret['allot'] = allotted(state, node.name, now)
        if shared.doubts:
            duty = state.duties.get('probe')
            ret['doubts'] = list(shared.doubts)
            ret['duty'] = duty[0] if duty and duty[1] > now else None
            ret['reports'] = shared.reports
        if shared.failing or shared.shunned:
            ret['failing'], ret['shunned'] = list(shared.failing), list(shared.shunned)
        lease = now + state.granted
    else:
        node = node._replace(plans=tuple(p for p in shared.plans if p[1] == node.name))
        ret['plans'] = [list(p) for p in node.plans]
    out.append(Return(poll.call, ret))
    return state._replace(nodes=state.nodes.set(node.name, node._replace(lease=lease, peers=near)))


def release(state: Core, now: datetime, out: list) -> Core:
    """Acknowledge the generations that every routing node has, or can no longer be without: a majority
    of the registered stores has them, and no lease under an older one runs on."""
    left = []
    for wait in state.waits:
        if early(state, now) or not kept(state, wait.generation) or late(state, wait.generation, now):
            left.append(wait)
        else:
            out.append(Return(wait.call, wait.ret))
            state = state._replace(acknowledged=max(state.acknowledged, wait.generation))
    return state._replace(waits=tuple(left))


def kept(state: Core, generation: int) -> bool:
    """Whether every majority of the registers that count has a store with the generation on its disk."""
    book_now = register_of(state)
    have = [n.name for n in state.nodes.values() if n.role == 'store' and n.generation >= generation]
    return register.intersects_majorities(have, book_now['now'], book_now['old'])


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


def hold(state: Core, node: Node) -> Core:
    """What a node says it may still be using, and nothing else, counts as held by it."""
    if node.role != 'route':
        return state
    held = {r: max(limit, used) for r, (limit, used) in node.has.items()}
    return state._replace(held=state.held.set(node.name, held))


def slots(state: Core, now: datetime) -> Core:
    """Work out the allotments anew."""
    policy = rows_of(state).get('policy')
    if not policy or early(state, now):
        return state._replace(allot_at=now)
    nodes = [n for n in state.nodes.values() if n.role == 'route' and n.lease and n.lease > now]
    names = sorted(n.name for n in nodes)
    held = {n: dict(state.held.get(n, {})) for n in names}
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
            have = {n: held[n].get(r, 0) for n in names}
            row = allot.trade(sizes[r], row, have)
            targets[r] = row
            for n in names:
                held[n][r] = max(have[n], row[n])
    return state._replace(held=Map(held), targets=targets, wants=wants, allot_at=now)
