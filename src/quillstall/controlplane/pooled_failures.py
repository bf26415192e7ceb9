"""Failures of replicas as several routing nodes saw them, weighed together.

A node sees few requests of any one replica, so each would have to fail with it by itself. Each says with its polls
where it failed lately, and of replicas in doubt when it was last served; what several agree on goes to all.
"""

from collections.abc import Iterable
from datetime import datetime, timedelta

from quillstall.controlplane.core_state import Node

NODES_LEAST = 2  # one node's word is never enough: it may be cut off itself
ZONES_LEAST = 2  # nor one zone's, where there are several
FAILS_LEAST = 2.5  # failed tasks, the older counting for less, before their part is looked at
FAILS_PART = 0.3  # a replica that fails so large a part of its tasks is left alone


def times_of(ages_ms: dict[str, int], now: datetime) -> dict[str, datetime]:
    """When something last happened at each replica, from how long ago a node said it was.

    >>> from datetime import UTC
    >>> times_of({'r': 250}, datetime(2026, 1, 1, tzinfo=UTC))['r'].microsecond
    750000
    """
    return {replica: now - timedelta(milliseconds=age) for replica, age in ages_ms.items()}


def failing(nodes: Iterable[Node]) -> tuple[str, ...]:
    """The replicas that some node failed with lately: of these all say how their own tasks went.

    >>> failing([Node('a', 'route', '', 'x', 0, outcomes={'r': [1.0, 0.0], 's': [0.0, 2.0]})])
    ('r',)
    """
    return tuple(sorted({r for node in nodes for r, (fails, _) in node.outcomes.items() if fails > 0}))


def shunned(nodes: Iterable[Node]) -> tuple[str, ...]:
    """The replicas that all should leave alone for now."""
    routing = [node for node in nodes if node.role == 'route']
    return tuple(sorted({*lost(routing), *failing_often(routing)}))


def agreed(seen_by: list[Node], routing: list[Node]) -> bool:
    """Whether enough nodes, of enough zones, saw the same.

    >>> a, b = (Node(n, 'route', '', zone, 0) for n, zone in (('a', 'x'), ('b', 'y')))
    >>> agreed([a, b], [a, b]), agreed([a], [a, b]), agreed([a, a._replace(name='c')], [a, b])
    (True, False, False)
    """
    zones_least = min(ZONES_LEAST, len({node.zone for node in routing}))
    return len(seen_by) >= NODES_LEAST and len({node.zone for node in seen_by}) >= zones_least


def failing_often(routing: list[Node]) -> list[str]:
    """The replicas where, of all nodes' tasks that ended lately, a large part failed.

    >>> a, b = (Node(n, 'route', '', zone, 0, outcomes={'r': [1.5, 2.0]}) for n, zone in (('a', 'x'), ('b', 'y')))
    >>> failing_often([a, b]), failing_often([a, b, b._replace(outcomes={'r': [0.0, 9.0]})])
    (['r'], [])
    """
    fails: dict[str, float] = {}
    ended: dict[str, float] = {}
    witnesses: dict[str, list[Node]] = {}
    for node in routing:
        for replica, (failed, well) in node.outcomes.items():
            fails[replica] = fails.get(replica, 0.0) + failed
            ended[replica] = ended.get(replica, 0.0) + failed + well
            if failed > 0:
                witnesses.setdefault(replica, []).append(node)
    return [
        replica
        for replica, seen_by in witnesses.items()
        if fails[replica] >= FAILS_LEAST
        and fails[replica] >= FAILS_PART * ended[replica]
        and agreed(seen_by, routing)
    ]


def lost(routing: list[Node]) -> list[str]:
    """The replicas that nodes of several zones have failed with since any node was last served by them.

    >>> from datetime import UTC
    >>> t = datetime(2026, 1, 1, tzinfo=UTC)
    >>> a, b = (Node(n, 'route', '', zone, 0, last_failures={'r': t}) for n, zone in (('a', 'x'), ('b', 'y')))
    >>> lost([a, b]), lost([a]), lost([a, b._replace(zone='x'), b._replace(name='c', last_failures={})])
    (['r'], [], [])
    >>> lost([a, b._replace(last_successes={'r': t})])
    []
    """
    served: dict[str, datetime] = {}
    for node in routing:
        for replica, at in node.last_successes.items():
            served[replica] = max(at, served.get(replica, at))
    witnesses: dict[str, list[Node]] = {}
    for node in routing:
        for replica, at in node.last_failures.items():
            if replica not in served or at > served[replica]:
                witnesses.setdefault(replica, []).append(node)
    return [replica for replica, seen_by in witnesses.items() if agreed(seen_by, routing)]
