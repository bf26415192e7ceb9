"""Outlier detection over the failures that several routing nodes report.

A node sends few requests to any one replica, so on its own it would detect a failing replica late. Each node's poll
reports its recent failures and, for suspected replicas, its recent successes; replicas on which several nodes agree
are ejected on all nodes.
"""

from collections.abc import Iterable
from datetime import datetime, timedelta

from quillstall.controlplane.core_state import Node

MIN_NODES = 2  # a single node's report is not enough: that node may be cut off itself
MIN_ZONES = 2  # nor is a single zone's, where there are several
MIN_FAILURES = 2.5  # weighted by age; below this the failure rate is not considered
MIN_FAILURE_FRACTION = 0.3  # of its tasks that must have failed for a replica to be ejected


def times_of(ages_ms: dict[str, int], now: datetime) -> dict[str, datetime]:
    """Return the time of each replica's last event, from its age as a node reported it.

    >>> from datetime import UTC
    >>> times_of({'r': 250}, datetime(2026, 1, 1, tzinfo=UTC))['r'].microsecond
    750000
    """
    return {replica: now - timedelta(milliseconds=age) for replica, age in ages_ms.items()}


def failing(nodes: Iterable[Node]) -> tuple[str, ...]:
    """Return the replicas with recent failures on any node, on which all nodes are to report their outcomes.

    >>> failing([Node('a', 'route', '', 'x', 0, outcomes={'r': [1.0, 0.0], 's': [0.0, 2.0]})])
    ('r',)
    """
    return tuple(sorted({r for node in nodes for r, (failed, _) in node.outcomes.items() if failed > 0}))


def ejected(nodes: Iterable[Node]) -> tuple[str, ...]:
    """Return the replicas that all routing nodes should avoid for now."""
    routing = [node for node in nodes if node.role == 'route']
    return tuple(sorted({*unresponsive(routing), *failing_often(routing)}))


def agreed(reporting: list[Node], routing: list[Node]) -> bool:
    """Return whether enough routing nodes in enough zones report the same.

    >>> a, b = (Node(n, 'route', '', zone, 0) for n, zone in (('a', 'x'), ('b', 'y')))
    >>> agreed([a, b], [a, b]), agreed([a], [a, b]), agreed([a, a._replace(name='c')], [a, b])
    (True, False, False)
    """
    min_zones = min(MIN_ZONES, len({node.zone for node in routing}))
    return len(reporting) >= MIN_NODES and len({node.zone for node in reporting}) >= min_zones


def failing_often(routing: list[Node]) -> list[str]:
    """Return the replicas where a large fraction of all nodes' recent tasks failed.

    >>> a, b = (Node(n, 'route', '', zone, 0, outcomes={'r': [1.5, 2.0]}) for n, zone in (('a', 'x'), ('b', 'y')))
    >>> failing_often([a, b]), failing_often([a, b, b._replace(outcomes={'r': [0.0, 9.0]})])
    (['r'], [])
    """
    failures: dict[str, float] = {}
    ended: dict[str, float] = {}
    reports: dict[str, list[Node]] = {}
    for node in routing:
        for replica, (failed, succeeded) in node.outcomes.items():
            failures[replica] = failures.get(replica, 0.0) + failed
            ended[replica] = ended.get(replica, 0.0) + failed + succeeded
            if failed > 0:
                reports.setdefault(replica, []).append(node)
    return [
        replica
        for replica, reporting in reports.items()
        if failures[replica] >= MIN_FAILURES
        and failures[replica] >= MIN_FAILURE_FRACTION * ended[replica]
        and agreed(reporting, routing)
    ]


def unresponsive(routing: list[Node]) -> list[str]:
    """Return the replicas that failed on nodes of several zones after the last success on any node.

    >>> from datetime import UTC
    >>> t = datetime(2026, 1, 1, tzinfo=UTC)
    >>> a, b = (Node(n, 'route', '', zone, 0, last_failures={'r': t}) for n, zone in (('a', 'x'), ('b', 'y')))
    >>> unresponsive([a, b]), unresponsive([a]), unresponsive([a, b._replace(zone='x'), b._replace(name='c', last_failures={})])
    (['r'], [], [])
    >>> unresponsive([a, b._replace(last_successes={'r': t})])
    []
    """
    last_success: dict[str, datetime] = {}
    for node in routing:
        for replica, at in node.last_successes.items():
            last_success[replica] = max(at, last_success.get(replica, at))
    reports: dict[str, list[Node]] = {}
    for node in routing:
        for replica, at in node.last_failures.items():
            if replica not in last_success or at > last_success[replica]:
                reports.setdefault(replica, []).append(node)
    return [replica for replica, reporting in reports.items() if agreed(reporting, routing)]
