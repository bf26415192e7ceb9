"""Steps about turns at the gateway: conversations, token budgets, retained turns."""

import asyncio

from behave import then, when
from gateway import runs_of_request
from standin import EVENT_TOKENS, PARTITIONS, sse_event, turn_output, wait_until

from quillstall.replication.rendezvous import partition_of

# ---- turns


@when('a turn of 3 events is run, each sent only after the caller has the one before')
def paced_turn(context):
    cluster = context.cluster

    async def script():
        cluster.plan.append('paced 3')
        exchange = await cluster.begin_request(
            '/turn/a', request_id='t1', body=b'[t1]', **cluster.turn_headers()
        )
        cluster.proceed.release()
        await exchange.read_head()
        for n in (1, 2, 3):
            assert await exchange.read_chunk() == sse_event('t1', n)
            assert cluster.runs[0].sent == n, 'the replica is ahead of the caller'
            cluster.proceed.release()
        context.response = await exchange.read_all()

    cluster.run(script())


@then('it is complete, and its events are those of the replica')
def complete_turn(context):
    response = context.response
    assert response.complete and response.body == b''.join(sse_event('t1', n) for n in (1, 2, 3)), (
        response.body
    )
    assert response.headers['X-Sign'] == f'{context.cluster.runs[0].replica}-t1', dict(response.headers)


def continued(cluster, request_id, previous_turn, body, node_number, program='P'):
    """Run a turn that continues another and check the body that its replica got."""
    response = cluster.run(cluster.run_turn(request_id, previous_turn, program, node_number))
    assert (response.status, response.complete) == (200, True), (response.status, response.body)
    (run,) = runs_of_request(cluster, request_id)
    assert run.body == body, (run.body, body)


FIRST = b'[t1]' + turn_output('t1', 3)


@then("the next turn's body is the conversation and its own input, at the node that ran the first")
def next_turn(context):
    continued(context.cluster, 't2', 't1', FIRST + b'[t2]', 1)


@then('the same holds at a node that has seen none of it')
def next_elsewhere(context):
    continued(context.cluster, 't3', 't2', FIRST + b'[t2]' + turn_output('t2', 3) + b'[t3]', 2)
    continued(context.cluster, 't3b', 't1', FIRST + b'[t3b]', 2)


@then('the same holds when another program continues it, and continues that again')
def next_program(context):
    cluster = context.cluster
    first_partition = partition_of('P', len(PARTITIONS))
    same_partition_program = next(
        f'Q{n}' for n in range(99) if partition_of(f'Q{n}', len(PARTITIONS)) == first_partition
    )
    other_partition_program = next(
        f'Q{n}' for n in range(99) if partition_of(f'Q{n}', len(PARTITIONS)) != first_partition
    )
    conversation = FIRST + b'[t2]' + turn_output('t2', 3)
    for prefix, program in (('n', same_partition_program), ('f', other_partition_program)):
        continued(cluster, f'{prefix}1', 't2', conversation + f'[{prefix}1]'.encode(), 1, program)
        continuation = conversation + f'[{prefix}1]'.encode() + turn_output(f'{prefix}1', 3)
        cluster.run(cluster.start_node(len(cluster.nodes)))  # a node with an empty turn cache
        continued(
            cluster,
            f'{prefix}2',
            f'{prefix}1',
            continuation + f'[{prefix}2]'.encode(),
            len(cluster.nodes),
            program,
        )
        continued(
            cluster, f'{prefix}3', 't2', conversation + f'[{prefix}3]'.encode(), len(cluster.nodes), program
        )
        continued(
            cluster,
            f'{prefix}4',
            f'{prefix}3',
            conversation + f'[{prefix}3]'.encode() + turn_output(f'{prefix}3', 3) + f'[{prefix}4]'.encode(),
            2,
            program,
        )


@then('a turn that continues it is answered 404')
def not_retained(context):
    cluster = context.cluster
    response = cluster.run(cluster.run_turn('after', context.request_id))
    assert response.status == 404 and not runs_of_request(cluster, 'after'), (response.status, response.body)


@then('the answer is 200 and complete, with the headers of the first replica')
def one_set_of_headers(context):
    response = context.response
    assert (response.status, response.complete) == (200, True), (response.status, response.body)
    first = next(r for r in runs_of_request(context.cluster, context.request_id) if r.headed)
    assert response.headers.get_list('X-Sign') == [f'{first.replica}-{context.request_id}'], dict(
        response.headers
    )


@then('its events are {first:d} to {last:d}, each once')
def events_are(context, first, last):
    expected = b''.join(sse_event(context.request_id, n) for n in range(first, last + 1))
    assert context.response.body == expected, context.response.body


@then('its events are the first of those of the replica, and only they have been charged')
def first_events(context):
    count = context.response.body.count(b'\n\n')
    assert context.response.body == b''.join(sse_event(context.request_id, n) for n in range(1, count + 1)), (
        context.response.body
    )
    assert settled(context.cluster) == count * EVENT_TOKENS


@then('it ran {count:d} times, each from where the one before broke off')
def resumed(context, count):
    runs = runs_of_request(context.cluster, context.request_id)
    assert len(runs) == count, [(r.replica, r.sent) for r in runs]
    last_event_id = 0
    for run in runs:
        assert int(run.headers.get('Last-Event-Id') or 0) == last_event_id, (
            dict(run.headers),
            last_event_id,
        )
        last_event_id += run.sent
    assert len({r.replica for r in runs}) == count, [r.replica for r in runs]


# ---- budgets


def settled(cluster, program='P'):
    """Wait until no turn of a program is open, and return the tokens that it has spent."""
    rows = cluster.stores.rows
    key, partition = f'prog/{program}', partition_of(program, len(PARTITIONS))
    cluster.run(wait_until(lambda: key in rows[partition] and not rows[partition][key]['holds']))
    return rows[partition][key]['spent']


@when('turns of 30 tokens are run at both nodes until the budget of 60 is spent')
def spend(context):
    cluster = context.cluster
    context.budget = 60
    responses = [cluster.run(cluster.run_turn(f't{n}', node_number=n, budget=60)) for n in (1, 2)]
    assert [r.status for r in responses] == [200, 200]
    assert settled(cluster) == 60


@then('the next is 429 at both nodes, and did not run')
def spent(context):
    cluster = context.cluster
    responses = [
        cluster.run(cluster.run_turn(f'next{n}', node_number=n, budget=context.budget)) for n in (1, 2)
    ]
    assert [r.status for r in responses] == [429, 429], [r.status for r in responses]
    assert not [r for r in cluster.runs if r.request_id.startswith('next')]


@when('10 turns of 50 tokens with a budget of 100 are run at once at both nodes')
def turns_at_once(context):
    cluster = context.cluster
    cluster.plan.extend(['stream 5'] * 10)

    async def script():
        return await asyncio.gather(
            *[cluster.run_turn(f't{n}', node_number=1 + n % 2, budget=100) for n in range(10)]
        )

    context.responses = cluster.run(script())


@then('no more than 150 tokens were delivered, and the refused turns did not run')
def within_budget(context):
    delivered = sum(r.body.count(b'data: ') * EVENT_TOKENS for r in context.responses if r.status == 200)
    assert 100 <= delivered <= 150, delivered
    served = sum(1 for r in context.responses if r.status == 200)
    assert {r.status for r in context.responses} == {200, 429} and len(context.cluster.runs) == served
    assert settled(context.cluster) == delivered


@then('the whole budget is available again')
def whole_budget_available(context):
    context.cluster.plan.clear()
    assert settled(context.cluster) == 0
    response = context.cluster.run(context.cluster.run_turn('again', budget=context.budget))
    assert response.status == 200, response.status


# ---- retained turns


@when('a turn that continues an unknown one is requested')
def after_unknown(context):
    context.response = context.cluster.run(context.cluster.run_turn('t1', 'nobody'))


@then('with any one partition unreachable it is 503, and nothing ran')
def one_unreachable(context):
    cluster = context.cluster
    for partition in PARTITIONS:
        cluster.stores.unreachable = {partition}
        response = cluster.run(cluster.run_turn(f'{partition}-t', 'nobody', X_Deadline_Ms=1000))
        assert response.status == 503 and 'Retry-After' in response.headers, (
            partition,
            response.status,
            response.body,
        )
    assert cluster.runs == []


@then('the turn "{request_id}" has cost {tokens:d} tokens and can be continued at node {node_number:d}')
def cost_once(context, request_id, tokens, node_number):
    assert settled(context.cluster) == tokens
    continued(
        context.cluster,
        'next',
        request_id,
        f'[{request_id}]'.encode() + turn_output(request_id, 3) + b'[next]',
        node_number,
    )


@when('the store becomes unreachable while a turn runs')
def store_unreachable_midway(context):
    cluster = context.cluster

    async def script():
        cluster.plan.append('paced 2')
        exchange = await cluster.begin_request(
            '/turn/a', request_id='t1', X_Deadline_Ms=1500, **cluster.turn_headers()
        )
        cluster.proceed.release()
        await exchange.read_head()
        await exchange.read_chunk()
        cluster.stores.unreachable.update(PARTITIONS)
        cluster.proceed.release()
        context.response = await exchange.read_all()

    cluster.run(script())


@then('its events arrived, but not the end of the stream')
def no_end(context):
    response = context.response
    assert response.body == sse_event('t1', 1) + sse_event('t1', 2) and not response.complete, (
        response.body,
        response.complete,
    )
