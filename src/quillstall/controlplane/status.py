"""What a core process tells of the fleet."""

from datetime import datetime, timedelta

from immutables import Map

from quillstall.controlplane import book, placement
from quillstall.controlplane.core_state import (
    Core,
    copy_of,
    crew_of,
    newest,
    primary,
    rows_of,
    where,
)
from quillstall.replication import register


def who(state: Core) -> dict:
    """What anyone may know: the fleet and who is thought to be primary: `who(state)`."""
    copy, best = copy_of(state), newest(state)
    return {
        'ok': True,
        'me': state.me,
        'role': 'core',
        'fleet': (state.fleet or {}).get('id'),
        'crew': state.fleet,
        'sure': list(copy.replica_set) if copy and copy.replica_set else None,
        'core': [a for _, a in (state.fleet or {}).get('witnesses', ())],
        'seat': list(best) if best else None,
        'at': where(state, best.primary) if best else None,
    }


def status(state: Core, now: datetime, rows: Map | None = None) -> dict:
    """What this process knows of the fleet, its rows by themselves or as they were confirmed:
    `status(state, now)`."""
    rows = rows_of(state) if rows is None else rows
    registered = rows.get('register') or register.EMPTY_REGISTER
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
            'clock_ms': round((n.facts['clock'] - (n.heard + state.wall_ahead).timestamp()) * 1000)
            if 'clock' in n.facts
            else None,
        }
    members = {
        n: {
            **r,
            'parts': book.sits(rows, n),
            'off': bool(r.get('emptied')),
        }
        for n, r in book.named(rows, 'member/')
    }
    since = (now - state.seated) // timedelta(milliseconds=1) if state.seated else None
    return {
        'ok': True,
        'me': state.me,
        'primary': primary(state),
        'seated_ms': since,
        'seat': list(copy.replica_set) if copy and copy.replica_set else None,
        'fleet': (state.fleet or {}).get('id'),
        'generation': gen,
        'place': rows.get('place', 0),
        'nodes': nodes,
        'members': members,
        'parts': {p: list(s) for p, s in book.named(rows, 'part/')},
        'plans': [list(p) for p in placement.plans(state, now)] if primary(state) else [],
        'core': [list(w) for w in crew_of(state)],
        'guests': {a: g[0] for a, g in sorted(state.guests.items())},
        'register': registered,
        'waits': [w.generation for w in state.waits],
        'allot': state.targets,
        'leaving': [n for n, _ in book.named(rows, 'leaving/')],
    }
