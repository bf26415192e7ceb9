"""Steps of the small scale run."""

import os

from behave import given, then, when
from common import reserve_port

from quillstall.testbed import scale
from quillstall.testbed.scale import Point

SECONDS = 2
STARTED = []


class Noted(scale.Scale):
    """A setting whose processes are known after its end."""

    def close(self):
        STARTED.extend([*self.fleet.running.values(), *self.fleet.past, *self.work])
        super().close()


@given(
    'a scale run of {nodes:d} hollow nodes, {routes:d} real ones and {replicas:d} replicas that kills a store '
    "and the core's primary"
)
def small(context, nodes, routes, replicas):
    context.point = Point(
        'nodes', nodes, nodes=nodes, routes=routes, replicas=replicas, tenants=5, losses=True
    )
    usual, scale.Scale = scale.Scale, Noted
    try:
        context.results = scale.run([context.point], SECONDS, reserve_port(), 60, lambda text: None)
    finally:
        scale.Scale = usual
    context.result = context.results[0]
    assert 'stopped' not in context.result, context.result


@then('every hollow node had a lease, an allotment and all parts')
def settled(context):
    assert context.result['settled_s'] is not None, context.result


@then("no replica's slots were given out more than once")
def slots(context):
    assert context.result['over_slots'] == 0, context.result['over_slots']


@then('each change was acknowledged, and in force at every node that could send by then')
def changes(context):
    assert len(context.result['changes']) == 2
    for change in context.result['changes']:
        assert change['status'] == 200 and change['missing'] == 0 and change['broken'] == 0, change


@then('every hollow node heard of each loss')
def losses(context):
    names = [loss['name'] for loss in context.result['losses']]
    assert names[0] == 'store2' and names[1].startswith('core'), names
    for loss in context.result['losses']:
        assert loss['not_heard'] == 0 and loss['messages'] > 0, loss


@then('polls, pings and bytes were counted for every hollow node')
def counted(context):
    result = context.result
    for key in (
        'polls_s',
        'node_messages_s',
        'node_core_kb_s',
        'pings_s',
        'node_store_kb_s',  # measured before any loss: pings alone
        'news_kb',
        'core_mb',
        'policy_kb',
    ):
        assert result[key] > 0, (key, result[key])
    assert result['node_peer_kb_s'] == 0, 'a routing node has no reason to ask another while the core answers'
    assert len(result['store_mb']) == 3 and len(result['route_mb']) == context.point.routes


@then("the table and the picture's numbers have the run in them")
def told(context):
    words = scale.row(context.result).split()
    assert len(words) == len(scale.COLUMNS) == len(scale.head().split()), words
    facts = scale.facts(context.result)
    assert facts['store_gone_s'] is not None and facts['core_gone_s'] is not None


@then('nothing that it started still runs')
def ended(context):
    assert len(STARTED) >= 3 + 3 + context.point.routes + 1
    assert all(proc.poll() is not None for proc in STARTED)


@when('a scale run is asked for more nodes, more replicas, or after its time')
def bounds(context):
    before = set(os.listdir('/proc'))
    wanted = [Point(nodes=scale.NODES_MOST + 1), Point(replicas=scale.REPLICAS_MOST + 1)]
    context.results = scale.run(wanted, 1, reserve_port(), 60, lambda text: None) + scale.run(
        [Point()], 1, reserve_port(), -1, lambda text: None
    )
    context.children = [
        p for p in set(os.listdir('/proc')) - before if p.isdigit() and parent(p) == os.getpid()
    ]


def parent(pid):
    try:
        with open(f'/proc/{pid}/stat', encoding='ascii') as file:
            return int(file.read().rpartition(')')[2].split()[1])
    except OSError:
        return 0


@then('it says why it stopped and has started nothing')
def stopped(context):
    assert ['at most' in r['stopped'] or 'time' in r['stopped'] for r in context.results] == [True] * 3, (
        context.results
    )
    assert not context.children, context.children
