"""Steps that violate an invariant on purpose, to show that the check of it in the code reports the violation."""

from datetime import UTC, datetime

from behave import then, when
from immutables import Map
from standin import PARTITIONS, sse_event, wait_until

from quillstall.controlplane import core, core_state, placement
from quillstall.dataplane.admission import reducer
from quillstall.dataplane.admission.messages import Arrive, Leave
from quillstall.replication import group
from quillstall.replication.copies import Copy, ReplicaSet
from quillstall.replication.rendezvous import partition_of
from quillstall.runtime.effect import Done, Tick, Violated
from quillstall.runtime.errors import Fault

NOW = datetime(2026, 1, 1, tzinfo=UTC)


def break_next_step(context, event_class, change):
    """Replace the reducer's next step on an event of a class by `change`; later steps are unchanged."""
    step, remaining = reducer.step, [True]

    def broken(state, incoming, now):
        if type(incoming) is event_class and remaining:
            remaining.pop()
            return change(step, state, incoming, now)
        return step(state, incoming, now)

    reducer.step = broken
    context.add_cleanup(setattr, reducer, 'step', step)


@when('the admission table fails on the next task')
def admission_step_fails(context):
    context.meant_violations = ('owner_step',)

    def fail(step, state, incoming, now):
        raise KeyError('gone')

    break_next_step(context, Arrive, fail)
    context.response = context.cluster.run(context.cluster.request('/any/x'))


@when('the admission table goes back to an older generation')
def generation_goes_back(context):
    context.meant_violations = ('generation_forward',)

    def go_back(step, state, incoming, now):
        return state._replace(generation=state.generation - 1), ()

    break_next_step(context, Tick, go_back)
    cluster = context.cluster
    cluster.run(wait_until(lambda: context.violations))


@when('the admission table gives a slot back twice')
def slot_given_back_twice(context):
    context.meant_violations = ('slots_balance',)

    def give_back_twice(step, state, incoming, now):
        run = state.running_tasks[incoming.name]
        after, _ = step(state, incoming, now)
        return after._replace(used_slots=after.used_slots.set(run.replica, -1)), ()

    break_next_step(context, Leave, give_back_twice)
    cluster = context.cluster
    cluster.run(cluster.request('/any/x'))
    cluster.run(wait_until(lambda: context.violations))
    node = cluster.nodes[0]
    node.state = node.state._replace(used_slots=Map())


class MistakenRoute(dict):
    """A route of requests that run once, whose first two lookups of `repeat` say that they may be repeated."""

    reads = 0

    def __getitem__(self, key):
        if key != 'repeat':
            return super().__getitem__(key)
        self.reads += 1
        return 'any' if self.reads <= 2 else 'once'


@when('the gateway mistakes its route for a repeatable one, and the first answer is lost')
def sent_twice(context):
    context.meant_violations = ('sent_once',)
    cluster, gateway = context.cluster, context.cluster.nodes[0].gateway
    route = gateway.match_route

    def misrouted(request):
        name, settings = route(request)
        return name, MistakenRoute(settings, attempts=2)

    gateway.match_route = misrouted
    cluster.plan.extend(['close', 'answer'])
    cluster.run(cluster.request('/once/x'))
    gateway.match_route = route


@when('the gateway reports "shed" for a request that may have run')
def refused_after_run(context):
    context.meant_violations = ('refused_after_send',)
    cluster, gateway = context.cluster, context.cluster.nodes[0].gateway
    original = gateway.serve_plain

    async def refusing(name, route, request, start, deadline, out):
        out.may_have_run = True
        raise Fault('shed', 'a test')

    gateway.serve_plain = refusing
    cluster.run(cluster.request('/once/x'))
    gateway.serve_plain = original


@when('the gateway accepts every answer as its own, and a replica sends an old one')
def foreign_answer(context):
    context.meant_violations = ('answer_owner',)
    cluster, gateway = context.cluster, context.cluster.nodes[0].gateway
    matches = gateway.response_matcher
    gateway.response_matcher = lambda request: lambda status, headers: True
    cluster.plan.append('late')
    cluster.run(cluster.request('/any/x'))
    gateway.response_matcher = matches


@when('a replica sends one event of a stream twice')
def event_sent_twice(context):
    context.meant_violations = ('event_order',)
    cluster = context.cluster
    replica = cluster.replicas['a']
    original = replica.write_stream

    async def doubled(writer, run, act, count):
        headers = {
            **replica.response_headers(run),
            'Content-Type': 'text/event-stream',
            'Transfer-Encoding': 'chunked',
        }
        await writer.write(
            ('HTTP/1.1 200 Said\r\n' + ''.join(f'{n}: {v}\r\n' for n, v in headers.items()) + '\r\n').encode()
        )
        for number in (1, 1, 2):
            data = sse_event(run.request_id, number)
            await writer.write(b'%x\r\n%s\r\n' % (len(data), data))
            await wait_until(lambda: cluster.exchanges[run.request_id].body or writer.closed())
        await writer.write(b'0\r\n\r\n')

    replica.write_stream = doubled
    context.response = cluster.run(cluster.run_turn('t1'))
    replica.write_stream = original


@then('the stream is cut after the first, "{name}" was violated once, and the node serves the next one')
def stream_cut(context, name):
    assert not context.response.complete and context.response.body == sse_event('t1', 1), (
        context.response.body
    )
    violated_once(context, name)


@when('a turn is continued whose predecessor the store has lost')
def predecessor_lost(context):
    context.meant_violations = ('whole_chain',)
    cluster = context.cluster
    partition = partition_of('P', len(PARTITIONS))
    expires_at = cluster.clock.now().timestamp() + 60
    cluster.stores.rows[partition] = Map({'kept/t2': ('t1', expires_at, b'two')})
    context.response = cluster.run(cluster.run_turn('t3', 't2'))


@when('the handler of a request {how}')
def request_without_end(context, how):
    context.meant_violations = ('request_ended',)
    cluster, gateway = context.cluster, context.cluster.nodes[0].gateway
    handler = gateway.listener.handler

    async def unfinished(call, out):
        if how.startswith('fails'):
            raise LookupError('a test')

    gateway.listener.handler = unfinished
    context.response = cluster.run(cluster.request('/any/x'))
    gateway.listener.handler = handler


@then('the connection is cut, "{name}" was violated once, and the node serves the next one')
def connection_cut(context, name):
    assert not context.response.complete and context.response.status == 0, context.response.status
    violated_once(context, name)


@then('the caller is told {status:d}, "{name}" was violated once, and the node serves the next one')
def refused_and_violated(context, status, name):
    assert context.response.status == status, context.response.status
    violated_once(context, name)


@then('"{name}" was violated once, and the node serves the next one')
def violated_once(context, name):
    assert [v[1] for v in context.violations].count(name) == 1, context.violations
    counts = context.cluster.nodes[0].ctx.journal.counts
    assert counts[f'invariant_violated.{name}'] == 1, counts
    got = context.cluster.run(context.cluster.request('/any/y'))
    assert got.status == 200, got.status


# ---- the reducers of replica groups and of the core


def violations_in(effects):
    return [effect.name for effect in effects if type(effect) is Violated]


@when('a copy of a partition is rolled back by two changes')
def copy_rolled_back(context):
    copy = Copy('p', ReplicaSet(2, 1, 'a', 'b'), seq=7, has_all_rows=True)
    box = group.StepContext(group.State('a', Map({'p': copy})), NOW, None)
    box.put(copy._replace(seq=5))
    context.effects = box.effects


@when(
    'the core is asked for a replica set of {members:d} in the place of {before:d}, with {lost:d} lost disks, {copies:d} copies'
)
def request_members(context, members, before, lost, copies):
    names = ['a', 'b', 'c'][:before]
    missing = names[members:]
    rows = {f'member/{n}': {'state': 'replaced' if n in missing[:lost] else 'in'} for n in names}
    rows['part/p00'] = (1, 0, *names)
    copy = Copy('core', ReplicaSet(1, 0, 'c1'), has_all_rows=True, ready=True, rows=Map(rows))
    state = core_state.Core(
        'c1',
        '1:1',
        'z',
        (),
        group.State('c1', Map({'core': copy})),
        tolerated_losses=copies - 1,
        degraded_mode=True,
    )
    context.effects = []
    placement.check_members(state, 'p00', [2, 1, *names[:members]], context.effects)


@then('the check of "{name}" finds it {verdict}')
def check_finds(context, name, verdict):
    assert violations_in(context.effects) == ([name] if verdict == 'violated' else []), context.effects


@when('a core that has acknowledged generation {acked:d} shows generation {shown:d}')
def show_older_generation(context, acked, shown):
    copy = Copy('core', ReplicaSet(1, 0, 'c1'), has_all_rows=True, ready=True, rows=Map({'gen': shown}))
    fleet = {'id': 'f', 'witnesses': (('c1', '1:1'),), 'epoch': 1, 'seat': [1, 0, 'c1']}
    state = core_state.Core(
        'c1',
        '1:1',
        'z',
        (),
        group.State('c1', Map({'core': copy})),
        fleet=fleet,
        acknowledged_generation=acked,
        primary_since=NOW,
    )
    context.effects = []
    reply = {'ok': True, 'rows': Map({'gen': shown})}
    core.finish_command(state, Done(('c', 'show', 1), reply), NOW, context.effects)


@then('"{name}" was found among the effects')
def found_in_effects(context, name):
    assert violations_in(context.effects) == [name], context.effects
