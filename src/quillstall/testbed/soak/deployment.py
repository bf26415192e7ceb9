"""Deployment of a soak run: a small fleet with gateways, its policy, and the operator who changes it."""

import random
from typing import Any, NamedTuple

from quillstall.testbed.deploy import Deploy, machines
from quillstall.testbed.linearizability import Call, Kind, Outcome
from quillstall.testbed.operators import MARK, Operators
from quillstall.testbed.soak.clients import HOST
from quillstall.testbed.soak.records import EVENT_TOKENS, RouteKind, Run, Sent

SILENT_MS = 1000
LEASE_MS = 2500
LISTED = {'all': 3, 'split0': 1, 'split1': 1, 'split2': 1}  # pool -> how many replicas
KEEPING_S = 60
MEMORY_MB = 260  # the limit of each process
APPLIED_S = 0.3  # so long after an acknowledgement no older policy may be followed


class Size(NamedTuple):
    """How many processes of each role a fleet has.

    >>> sum(SIZES['small'])
    10
    """

    cores: int
    stores: int
    routes: int


SIZES = {'small': Size(3, 3, 4), 'medium': Size(3, 5, 16), 'large': Size(5, 9, 86)}


def gateway_of(number: int, port: int) -> dict[str, str]:
    """Where a routing node takes requests, and where it says whether it is ready.

    >>> gateway_of(0, 7000)
    {'gateway': '127.0.8.1:7000', 'ready': '127.0.8.1:7001'}
    """
    return {'gateway': f'127.0.8.{number + 1}:{port}', 'ready': f'127.0.8.{number + 1}:{port + 1}'}


def list_address(port: int) -> str:
    """Where the list of replicas is to be had: `list_address(7000)`."""
    return f'127.0.7.1:{port}'


def policy_of(mark: int) -> dict[str, Any]:
    """The policy that an operator's change of this number leaves in force.

    Which pool serves the route `split` says which change a node follows; the class of `any` comes and goes.

    >>> policy_of(4)['http_routes']['split']['pools']
    {'split1': 1}
    """
    spare = mark % 2 == 1
    plain = {'class': 'usual', 'host': HOST, 'pools': {'all': 1}, 'timeout_ms': 5000, 'target_ms': 80}
    turn = {**plain, 'stream': True, 'target_ms': 200}
    kinds = {
        RouteKind.ANY: {**plain, 'class': 'spare' if spare else 'usual', 'repeat': 'any', 'attempts': 2},
        RouteKind.ONCE: {**plain, 'repeat': 'once'},
        RouteKind.KEYED: {**plain, 'repeat': 'keyed'},
        RouteKind.TURN: {**turn, 'repeat': 'once', 'attempts': 1, 'keep': True, 'keeping_s': KEEPING_S},
        RouteKind.LINE: {**turn, 'repeat': 'any', 'resume': True, 'attempts': 3},
        RouteKind.SPLIT: {**plain, 'repeat': 'any', 'attempts': 2, 'pools': {f'split{mark % 3}': 1}},
    }
    usual = {'share': 100, 'deadline_ms': 5000}
    return {
        'classes': {'usual': usual, **({'spare': usual} if spare else {})},
        'routes': {},
        'pools': {
            name: {'kind': 'model', 'replicas': {}, 'listed': True, 'event_tokens': EVENT_TOKENS}
            for name in LISTED
        },
        'http_routes': {kind.value: {**route, 'prefix': f'/{kind.value}/'} for kind, route in kinds.items()},
    }


def difference(mark: int) -> dict[str, Any]:
    """The change of a policy, whatever it was before, to that of a mark, as a merge patch: `difference(3)`."""
    policy = policy_of(mark)
    routes = policy['http_routes']
    pools = {f'split{n}': routes['split']['pools'].get(f'split{n}') for n in range(3)}
    return {
        MARK: mark,
        'classes': {'spare': policy['classes'].get('spare')},
        'http_routes': {'any': {'class': routes['any']['class']}, 'split': {'pools': pools}},
    }


class SoakOperators(Operators):
    """Operators whose changes can be told by how requests are routed."""

    def patch(self, mark: int) -> dict:
        return difference(mark)


def outdated_split(run: Run, sent: Sent, calls: list[Call]) -> str:
    """What is wrong with the pool that a request of the route `split` ran at; nothing if some policy that may
    have been in force has it there.

    >>> change = Call(Kind.CHANGE, 0, 1001, 1.0, 2.0, Outcome.TAKEN)
    >>> sent = Sent('x', RouteKind.SPLIT, '/split/1', b'', 2.5, 'n')
    >>> outdated_split(Run('x', '/split/1', b'', 'r', 'split2', 2.6, 1), sent, [change])
    ''
    >>> outdated_split(Run('x', '/split/1', b'', 'r', 'split0', 2.6, 1), sent, [change])
    'x ran at split0, sent at 2.500 when 1001 had been acknowledged at 2.000'
    """
    changes = [c for c in calls if c.kind is Kind.CHANGE]
    acked = [c for c in changes if c.outcome is Outcome.TAKEN and c.end + APPLIED_S < sent.at]
    last = max(acked, key=lambda c: c.version, default=None)
    least = last.version if last else 0
    never = (Outcome.CONFLICT, Outcome.INVALID)
    marks = {
        c.version for c in changes if c.start <= run.at and c.outcome not in never and c.version >= least
    }
    if last is None:
        marks.add(0)
    if run.pool in {f'split{mark % 3}' for mark in marks}:
        return ''
    known = (
        f'{last.version} had been acknowledged at {last.end:.3f}' if last else 'nothing had been acknowledged'
    )
    return f'{run.ident} ran at {run.pool}, sent at {sent.at:.3f} when {known}'


def deployment(port: int, drain_ms: int, size: Size = SIZES['small']) -> Deploy:
    """The fleet of a soak run; its routing nodes have gateways.

    >>> len(deployment(7000, 7000).machines), len(deployment(7000, 7000, SIZES['large']).machines)
    (10, 100)
    """
    made = machines('127.0', port, size.routes, size.stores, size.cores)
    for startup in made:
        startup |= {
            'losses': 1,
            'lone': True,
            'silent_ms': SILENT_MS,
            'lease_ms': LEASE_MS,
            'drain_ms': drain_ms,
            'list': list_address(port),
            'memory_mb': MEMORY_MB,
        }
        if startup['role'] == 'core':
            startup['founding'] = True
        if startup['role'] == 'route':
            startup |= gateway_of(int(startup['name'][len('route') :]), port)
    return Deploy('soak', made, [], policy_of(0), [])


def operators_of(place: Any, dice: random.Random) -> SoakOperators:
    """The operator of a fleet: `operators_of(fleet, dice)`."""
    return SoakOperators(place, dice)
