"""Failures of replicas as several routing nodes saw them, weighed together.

A node sees few requests of any one replica, so each would have to fail with it by itself. Each says with its polls
where it failed lately, and of replicas in doubt when it was last served; what several agree on goes to all.
"""

from collections.abc import Iterable
from datetime import datetime, timedelta

from quillstall.controlplane.core_state import Node

NODES_LEAST = 2  # one node's word is never enough: it may be cut off itself
ZONES_LEAST = 2  # nor one zone's, where there are several


def times_of(ages_ms: dict[str, int], now: datetime) -> dict[str, datetime]:
    """When something last happened at each replica, from how long ago a node said it was.

    >>> from datetime import UTC
    >>> times_of({'r': 250}, datetime(2026, 1, 1, tzinfo=UTC))['r'].microsecond
    750000
    """
    return {replica: now - timedelta(milliseconds=age) for replica, age in ages_ms.items()}


def shunned(nodes: Iterable[Node]) -> tuple[str, ...]:
    """The replicas that nodes of several zones have failed with since any node was last served by them.

    >>> from datetime import UTC
    >>> t = datetime(2026, 1, 1, tzinfo=UTC)
    >>> a, b = (Node(n, 'route', '', zone, 0, failing={'r': t}) for n, zone in (('a', 'x'), ('b', 'y')))
    >>> shunned([a, b]), shunned([a]), shunned([a, b._replace(zone='x'), b._replace(name='c', failing={})])
    (('r',), (), ())
    >>> shunned([a, b._replace(serving={'r': t})])
    ()
    """
    routing = [node for node in nodes if node.role == 'route']
    zones_least = min(ZONES_LEAST, len({node.zone for node in routing}))
    served: dict[str, datetime] = {}
    for node in routing:
        for replica, at in node.serving.items():
            served[replica] = max(at, served.get(replica, at))
    witnesses: dict[str, list[Node]] = {}
    for node in routing:
        for replica, at in node.failing.items():
            if replica not in served or at > served[replica]:
                witnesses.setdefault(replica, []).append(node)
    return tuple(
        sorted(
            replica
            for replica, seen_by in witnesses.items()
            if len(seen_by) >= NODES_LEAST and len({node.zone for node in seen_by}) >= zones_least
        )
    )
