"""Status reports of a core process."""

from datetime import datetime, timedelta

from immutables import Map

from quillstall.controlplane import core_table, placement
from quillstall.controlplane.core_state import (
    Core,
    confirmed_rows,
    core_copy,
    current_voters,
    is_primary,
    newest_replica_set,
    voters_needed,
    where,
)
from quillstall.replication import register


def describe_process(state: Core) -> dict:
    """Return the fleet and the primary as this process knows them: `describe_process(state)`."""
    copy, replica_set = core_copy(state), newest_replica_set(state)
    return {
        'ok': True,
        'me': state.me,
        'role': 'core',
        'fleet': (state.fleet or {}).get('id'),
        'crew': state.fleet,
        'sure': list(copy.replica_set) if copy and copy.replica_set else None,
        'core': [a for _, a in (state.fleet or {}).get('witnesses', ())],
        'seat': list(replica_set) if replica_set else None,
        'at': where(state, replica_set.primary) if replica_set else None,
    }


def status(state: Core, now: datetime, rows: Map | None = None) -> dict:
    """Return this process's view of the fleet, from its own committed rows or those given: `status(state, now)`."""
    rows = confirmed_rows(state) if rows is None else rows
    registered = rows.get('register') or register.EMPTY_REGISTER
    copy = core_copy(state)
    nodes = {}
    generation = rows.get('gen', 0)
    for node in state.nodes.values():
        silence = now - node.last_heard
        cause = ''
        if node.role == 'route' and node.generation < generation:
            cause = (
                'its lease has run out'
                if not (node.lease_end and node.lease_end > now)
                else 'has not yet polled for it'
            )
        nodes[node.name] = {
            'role': node.role,
            'address': node.address,
            'zone': node.zone,
            'inc': node.incarnation,
            'generation': node.generation,
            'silent_ms': silence // timedelta(milliseconds=1),
            'lease': bool(node.lease_end and node.lease_end > now),
            'behind': cause,
            'watches': list(node.watched_peers),
            'suspects': list(node.suspected_peers),
            'stuck': list(node.stalled_partitions),
            'pressure': node.demand,
            'facts': node.diagnostics,
            'clock_ms': round(
                (node.diagnostics['clock'] - (node.last_heard + state.wall_ahead).timestamp()) * 1000
            )
            if 'clock' in node.diagnostics
            else None,
        }
    members = {
        n: {
            **row,
            'parts': core_table.partitions_on_store(rows, n),
            'off': bool(row.get('emptied')),
        }
        for n, row in core_table.rows_with_prefix(rows, 'member/')
    }
    primary_ms = (now - state.primary_since) // timedelta(milliseconds=1) if state.primary_since else None
    return {
        'ok': True,
        'me': state.me,
        'primary': is_primary(state),
        'seated_ms': primary_ms,
        'seat': list(copy.replica_set) if copy and copy.replica_set else None,
        'fleet': (state.fleet or {}).get('id'),
        'program_failures': state.program_failures,
        'generation': generation,
        'place': rows.get('place', 0),
        'nodes': nodes,
        'members': members,
        'parts': {p: list(s) for p, s in core_table.rows_with_prefix(rows, 'part/')},
        'plans': [list(p) for p in placement.plan_reconfigurations(state, now)] if is_primary(state) else [],
        'core': [list(w) for w in current_voters(state)],
        'voters_needed': voters_needed(state),
        'guests': {address: core[0] for address, core in sorted(state.waiting_cores.items())},
        'register': registered,
        'waits': [w.generation for w in state.pending_changes],
        'allot': state.allocations,
        'leaving': [n for n, _ in core_table.rows_with_prefix(rows, 'leaving/')],
    }
