"""Steps about turns at the gateway: chains of turns, budgets, kept state."""

import asyncio

from behave import then, when
from gateway import ran
from standin import EVENT_TOKENS, PARTS, event, said, until

from quillstall.replication.rendezvous import partition_of

# ---- turns


@when('a turn of 3 events is taken, each sent only once the one before has come')
def paced_turn(context):
    story = context.story

    async def script():
        story.plan.append('paced 3')
        talk = await story.begin('/turn/a', ident='t1', body=b'[t1]', **story.heads())
        story.go.release()
        await talk.head()
        for n in (1, 2, 3):
            assert await talk.piece() == event('t1', n)
            assert story.runs[0].sent == n, 'the replica is ahead of the caller'
            story.go.release()
        context.got = await talk.rest()

    story.run(script())


@then('it is whole, and its events are those of the replica')
def whole_turn(context):
    got = context.got
    assert got.complete and got.body == b''.join(event('t1', n) for n in (1, 2, 3)), got.body
    assert got.headers['X-Sign'] == f'{context.story.runs[0].replica}-t1', dict(got.headers)


def continued(story, ident, previous, body, n, program='P'):
    """Take a turn after another and compare what its replica got."""
    got = story.run(story.turn(ident, previous, program, n))
    assert (got.status, got.complete) == (200, True), (got.status, got.body)
    (run,) = ran(story, ident)
    assert run.body == body, (run.body, body)


FIRST = b'[t1]' + said('t1', 3)


@then("the next turn's body is all that was said and its own input, at the node that took the first")
def next_turn(context):
    continued(context.story, 't2', 't1', FIRST + b'[t2]', 1)


@then('so it is at a node that has seen none of it')
def next_elsewhere(context):
    continued(context.story, 't3', 't2', FIRST + b'[t2]' + said('t2', 3) + b'[t3]', 2)
    continued(context.story, 't3b', 't1', FIRST + b'[t3b]', 2)


@then('so it is when another program goes on from there, and again from that')
def next_program(context):
    story = context.story
    home = partition_of('P', len(PARTS))
    near = next(f'Q{n}' for n in range(99) if partition_of(f'Q{n}', len(PARTS)) == home)
    far = next(f'Q{n}' for n in range(99) if partition_of(f'Q{n}', len(PARTS)) != home)
    long = FIRST + b'[t2]' + said('t2', 3)
    for tag, program in (('n', near), ('f', far)):
        continued(story, f'{tag}1', 't2', long + f'[{tag}1]'.encode(), 1, program)
        more = long + f'[{tag}1]'.encode() + said(f'{tag}1', 3)
        story.run(story.start(len(story.nodes)))  # a node that knows nothing
        continued(story, f'{tag}2', f'{tag}1', more + f'[{tag}2]'.encode(), len(story.nodes), program)
        continued(story, f'{tag}3', 't2', long + f'[{tag}3]'.encode(), len(story.nodes), program)
        continued(
            story,
            f'{tag}4',
            f'{tag}3',
            long + f'[{tag}3]'.encode() + said(f'{tag}3', 3) + f'[{tag}4]'.encode(),
            2,
            program,
        )


@then('a turn that continues it is answered 404')
def not_kept(context):
    story = context.story
    got = story.run(story.turn('after', context.ident))
    assert got.status == 404 and not ran(story, 'after'), (got.status, got.body)


@then('the answer is 200 and whole, with the head of the first replica')
def one_head(context):
    got = context.got
    assert (got.status, got.complete) == (200, True), (got.status, got.body)
    first = next(r for r in ran(context.story, context.ident) if r.headed)
    assert got.headers.get_list('X-Sign') == [f'{first.replica}-{context.ident}'], dict(got.headers)


@then('its events are {first:d} to {last:d}, each once')
def events_are(context, first, last):
    want = b''.join(event(context.ident, n) for n in range(first, last + 1))
    assert context.got.body == want, context.got.body


@then('its events are the first of those of the replica, and only they have been charged')
def first_events(context):
    count = context.got.body.count(b'\n\n')
    assert context.got.body == b''.join(event(context.ident, n) for n in range(1, count + 1)), (
        context.got.body
    )
    assert settled(context.story) == count * EVENT_TOKENS


@then('it ran {count:d} times, each from where the one before broke off')
def resumed(context, count):
    runs = ran(context.story, context.ident)
    assert len(runs) == count, [(r.replica, r.sent) for r in runs]
    done = 0
    for run in runs:
        assert int(run.headers.get('Last-Event-Id') or 0) == done, (dict(run.headers), done)
        done += run.sent
    assert len({r.replica for r in runs}) == count, [r.replica for r in runs]


# ---- budgets


def settled(story, program='P'):
    """Wait until no turn of a program is open; what it has spent."""
    rows = story.stores.rows
    key, part = f'prog/{program}', partition_of(program, len(PARTS))
    story.run(until(lambda: key in rows[part] and not rows[part][key]['holds']))
    return rows[part][key]['spent']


@when('turns of 30 tokens are taken at both nodes until the budget of 60 is spent')
def spend(context):
    story = context.story
    context.budget = 60
    got = [story.run(story.turn(f't{n}', n=n, budget=60)) for n in (1, 2)]
    assert [g.status for g in got] == [200, 200]
    assert settled(story) == 60


@then('the next is 429 at both nodes, and did not run')
def spent(context):
    story = context.story
    got = [story.run(story.turn(f'next{n}', n=n, budget=context.budget)) for n in (1, 2)]
    assert [g.status for g in got] == [429, 429], [g.status for g in got]
    assert not [r for r in story.runs if r.ident.startswith('next')]


@when('10 turns of 50 tokens with a budget of 100 are taken at once at both nodes')
def at_once(context):
    story = context.story
    story.plan.extend(['stream 5'] * 10)

    async def script():
        return await asyncio.gather(*[story.turn(f't{n}', n=1 + n % 2, budget=100) for n in range(10)])

    context.all = story.run(script())


@then('no more than 150 tokens were given, and those refused did not run')
def within(context):
    given_out = sum(g.body.count(b'data: ') * EVENT_TOKENS for g in context.all if g.status == 200)
    assert 100 <= given_out <= 150, given_out
    served = sum(1 for g in context.all if g.status == 200)
    assert {g.status for g in context.all} == {200, 429} and len(context.story.runs) == served
    assert settled(context.story) == given_out


@then('the budget is whole again')
def whole_again(context):
    context.story.plan.clear()
    assert settled(context.story) == 0
    got = context.story.run(context.story.turn('again', budget=context.budget))
    assert got.status == 200, got.status


# ---- kept state


@when('a turn after an unknown one is asked')
def after_unknown(context):
    context.got = context.story.run(context.story.turn('t1', 'nobody'))


@then('with any one part away it is 503, and nothing ran')
def one_away(context):
    story = context.story
    for part in PARTS:
        story.stores.away = {part}
        got = story.run(story.turn(f'{part}-t', 'nobody', X_Deadline_Ms=1000))
        assert got.status == 503 and 'Retry-After' in got.headers, (part, got.status, got.body)
    assert story.runs == []


@then('the turn "{ident}" has cost {tokens:d} tokens and can be continued at node {n:d}')
def cost_once(context, ident, tokens, n):
    assert settled(context.story) == tokens
    continued(context.story, 'next', ident, f'[{ident}]'.encode() + said(ident, 3) + b'[next]', n)


@when('the store goes away while a turn runs')
def away_midway(context):
    story = context.story

    async def script():
        story.plan.append('paced 2')
        talk = await story.begin('/turn/a', ident='t1', X_Deadline_Ms=1500, **story.heads())
        story.go.release()
        await talk.head()
        await talk.piece()
        story.stores.away.update(PARTS)
        story.go.release()
        context.got = await talk.rest()

    story.run(script())


@then('its events came, but not its end')
def no_end(context):
    got = context.got
    assert got.body == event('t1', 1) + event('t1', 2) and not got.complete, (got.body, got.complete)
