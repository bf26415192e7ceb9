"""Steps that break a promise on purpose, so that the check which the code makes of it is seen to find it."""

from datetime import UTC, datetime

from behave import then, when
from immutables import Map
from standin import event, until

from quillstall.controlplane import core, core_state, placement
from quillstall.dataplane.admission import reducer
from quillstall.dataplane.admission.messages import Arrive, Leave
from quillstall.replication import group
from quillstall.replication.group import Copy, ReplicaSet
from quillstall.runtime.effect import Done, Tick, Violated
from quillstall.runtime.errors import Fault

NOW = datetime(2026, 1, 1, tzinfo=UTC)


def break_step(context, kind, change):
    """The next step on an event of a kind gives what `change` makes of it; later ones are as they were."""
    step, left = reducer.step, [True]

    def broken(state, happening, now):
        if type(happening) is kind and left:
            left.pop()
            return change(step, state, happening, now)
        return step(state, happening, now)

    reducer.step = broken
    context.add_cleanup(setattr, reducer, 'step', step)


@when('the admission table fails on the next task')
def step_fails(context):
    context.meant_violations = ('owner_step',)

    def fail(step, state, happening, now):
        raise KeyError('gone')

    break_step(context, Arrive, fail)
    context.got = context.story.run(context.story.ask('/any/x'))


@when('the admission table goes back to an older generation')
def generation_back(context):
    context.meant_violations = ('generation_forward',)

    def back(step, state, happening, now):
        return state._replace(generation=state.generation - 1), ()

    break_step(context, Tick, back)
    story = context.story
    story.run(until(lambda: context.violations))


@when('the admission table gives a slot back twice')
def slot_twice(context):
    context.meant_violations = ('slots_balance',)

    def twice(step, state, happening, now):
        run = state.runs[happening.name]
        again, _ = step(state, happening, now)
        return again._replace(used=again.used.set(run.replica, -1)), ()

    break_step(context, Leave, twice)
    story = context.story
    story.run(story.ask('/any/x'))
    story.run(until(lambda: context.violations))
    node = story.nodes[0]
    node.state = node.state._replace(used=Map())


class MistakenRoute(dict):
    """A route of work that runs once, which is taken for one that may be repeated as its attempts begin."""

    reads = 0

    def __getitem__(self, key):
        if key != 'repeat':
            return super().__getitem__(key)
        self.reads += 1
        return 'any' if self.reads <= 2 else 'once'


@when('the gateway takes its route for one that may be repeated, and the first answer is lost')
def sent_again(context):
    context.meant_violations = ('sent_once',)
    story, gateway = context.story, context.story.nodes[0].gateway
    route = gateway.route

    def mistaken(request):
        name, row = route(request)
        return name, MistakenRoute(row, attempts=2)

    gateway.route = mistaken
    story.plan.extend(['close', 'answer'])
    story.run(story.ask('/once/x'))
    gateway.route = route


@when('the gateway tells "shed" of a request that may have run')
def refusal_after_run(context):
    context.meant_violations = ('refused_after_send',)
    story, gateway = context.story, context.story.nodes[0].gateway
    plain = gateway.plain

    async def refusing(name, route, request, start, deadline, out):
        out.may_have_run = True
        raise Fault('shed', 'a test')

    gateway.plain = refusing
    story.run(story.ask('/once/x'))
    gateway.plain = plain


@when('the gateway takes every answer for its own, and a replica sends an old one')
def foreign_answer(context):
    context.meant_violations = ('answer_owner',)
    story, gateway = context.story, context.story.nodes[0].gateway
    matches = gateway.matches
    gateway.matches = lambda request: lambda status, headers: True
    story.plan.append('late')
    story.run(story.ask('/any/x'))
    gateway.matches = matches


@when('a replica sends one event of a stream twice')
def event_twice(context):
    context.meant_violations = ('event_order',)
    story = context.story
    replica = story.replicas['a']
    stream = replica.stream

    async def doubled(writer, run, act, count):
        heads = {**replica.heads(run), 'Content-Type': 'text/event-stream', 'Transfer-Encoding': 'chunked'}
        await writer.write(
            ('HTTP/1.1 200 Said\r\n' + ''.join(f'{n}: {v}\r\n' for n, v in heads.items()) + '\r\n').encode()
        )
        for number in (1, 1, 2):
            data = event(run.ident, number)
            await writer.write(b'%x\r\n%s\r\n' % (len(data), data))
            await until(lambda: story.talks[run.ident].body or writer.closed())
        await writer.write(b'0\r\n\r\n')

    replica.stream = doubled
    context.got = story.run(story.turn('t1'))
    replica.stream = stream


@then('the stream is cut after the first, "{name}" was violated once, and the node serves the next one')
def stream_cut(context, name):
    assert not context.got.complete and context.got.body == event('t1', 1), context.got.body
    violated_once(context, name)


@when('the function of a request {how}')
def no_end(context, how):
    context.meant_violations = ('request_ended',)
    story, gateway = context.story, context.story.nodes[0].gateway
    handler = gateway.listener.handler

    async def odd(call, out):
        if how.startswith('fails'):
            raise LookupError('a test')

    gateway.listener.handler = odd
    context.got = story.run(story.ask('/any/x'))
    gateway.listener.handler = handler


@then('the connection is cut, "{name}" was violated once, and the node serves the next one')
def connection_cut(context, name):
    assert not context.got.complete and context.got.status == 0, context.got.status
    violated_once(context, name)


@then('the caller is told {status:d}, "{name}" was violated once, and the node serves the next one')
def told_and_violated(context, status, name):
    assert context.got.status == status, context.got.status
    violated_once(context, name)


@then('"{name}" was violated once, and the node serves the next one')
def violated_once(context, name):
    assert [v[1] for v in context.violations].count(name) == 1, context.violations
    counts = context.story.nodes[0].ctx.journal.counts
    assert counts[f'invariant_violated.{name}'] == 1, counts
    got = context.story.run(context.story.ask('/any/y'))
    assert got.status == 200, got.status


# ---- reducers


def names_of(effects):
    return [effect.name for effect in effects if type(effect) is Violated]


@when('a copy of a partition is put back by two changes')
def copy_back(context):
    copy = Copy('p', ReplicaSet(2, 1, 'a', 'b'), seq=7, has_all_rows=True)
    box = group.StepContext(group.State('a', Map({'p': copy})), NOW, None)
    box.put(copy._replace(seq=5))
    context.effects = box.effects


@when(
    'the core is asked for a replica set of {members:d} in the place of {before:d}, with {lost:d} lost disks, {copies:d} copies'
)
def ask_members(context, members, before, lost, copies):
    names = ['a', 'b', 'c'][:before]
    missing = names[members:]
    rows = {f'member/{n}': {'state': 'replaced' if n in missing[:lost] else 'in'} for n in names}
    rows['part/p00'] = (1, 0, *names)
    copy = Copy('core', ReplicaSet(1, 0, 'c1'), has_all_rows=True, ready=True, rows=Map(rows))
    state = core_state.Core(
        'c1', '1:1', 'z', (), group.State('c1', Map({'core': copy})), losses=copies - 1, lone=True
    )
    context.effects = []
    placement.check_members(state, 'p00', [2, 1, *names[:members]], context.effects)


@then('the check of "{name}" finds it {verdict}')
def is_violated(context, name, verdict):
    assert names_of(context.effects) == ([name] if verdict == 'violated' else []), context.effects


@when('a core that has acknowledged generation {acked:d} shows generation {shown:d}')
def shows_older(context, acked, shown):
    copy = Copy('core', ReplicaSet(1, 0, 'c1'), has_all_rows=True, ready=True, rows=Map({'gen': shown}))
    fleet = {'id': 'f', 'witnesses': (('c1', '1:1'),), 'epoch': 1, 'seat': [1, 0, 'c1']}
    state = core_state.Core(
        'c1',
        '1:1',
        'z',
        (),
        group.State('c1', Map({'core': copy})),
        fleet=fleet,
        acknowledged=acked,
        seated=NOW,
    )
    context.effects = []
    ret = {'ok': True, 'rows': Map({'gen': shown})}
    core.done(state, Done(('c', 'show', 1), ret), NOW, context.effects)


@then('"{name}" was found among the effects')
def among(context, name):
    assert names_of(context.effects) == [name], context.effects
