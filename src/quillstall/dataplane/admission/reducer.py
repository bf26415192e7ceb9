"""Admission control: each task is sent at once, queued for a short time, or refused at once.

A pure reducer, after the paper that docs/design.md names. Each task reserves its prompt tokens and its largest
possible output in a ledger. One that cannot be sent at once is queued only if the pending tokens ahead of it,
divided by the drain rate, leave time for its own service before its deadline. The same check is made again when
it is dequeued. Under overload the newest task is served first.
"""

from datetime import datetime, timedelta
from typing import Any

from quillstall.dataplane import ledger
from quillstall.dataplane.admission import (
    admission_state,
    choice,
    refusal,
    replica_health,
    replica_load,
    service_time,
    throughput,
    waiting,
)
from quillstall.dataplane.admission.admission_state import (
    MAX_RETRY_BUDGET,
    SAMPLE_INTERVAL,
    Pool,
    RunningTask,
    State,
    Task,
)
from quillstall.dataplane.admission.messages import (
    Arrive,
    Credit,
    Decision,
    Drain,
    Health,
    Leave,
    Load,
    News,
    Report,
)
from quillstall.dataplane.admission.refusal import NOT_IN_POLICY
from quillstall.dataplane.ledger import Ledger
from quillstall.network.listing import Listing
from quillstall.runtime.clock import ms
from quillstall.runtime.effect import Count, Note, Tick
from quillstall.runtime.errors import Fault


def trial_allowed(state: State, task: Task, now: datetime) -> bool:
    """Return whether a task may be sent on trial although its route has recently been too slow: one at a time,
    if the declared service time fits its deadline. Without trials a route that was slow once would never be
    measured again."""
    return now + task.prior_service_time <= task.deadline and not any(
        running.task.route == task.route for running in state.running_tasks.values()
    )


def send(state: State, pool: Pool, task: Task, replica: str, now: datetime, effects: list) -> State:
    """Return the state with the task's tokens reserved and a slot taken; the decision goes into the effects."""
    pool = pool._replace(
        ledger=ledger.reserve(ledger.without_expired(pool.ledger, now), task.reserved_tokens, now),
        running=pool.running.set(task.class_name, pool.running.get(task.class_name, 0) + 1),
    )
    effects.append(Count('sent'))
    effects.append(Decision(task.name, replica))
    return state._replace(
        pools=state.pools.set(pool.name, pool),
        running_tasks=state.running_tasks.set(task.name, RunningTask(task, replica, now)),
        used_slots=state.used_slots.set(replica, state.used_slots.get(replica, 0) + 1),
    )


def serve(state: State, name: str, now: datetime, effects: list) -> State:
    """Send a pool's pending tasks while slots are free; drop those whose deadline can no longer be met."""
    skip: set = set()
    while admission_state.leased(state, now):
        pool = state.pools.get(name)
        class_name = waiting.next_class(state, pool, skip) if pool else None
        if class_name is None:
            break
        queue = pool.pending[class_name]
        task = queue[-1] if pool.newest_first.get(class_name) else queue[0]
        if now + service_time.expected(state, task) > task.deadline:
            state = waiting.drop(state, task, 'dequeue', 'dropped before it was sent', now, effects)
            continue
        replica = choice.assign(state, task, now)
        if replica is None or not throughput.fits(state, pool, task, now):
            skip.add(class_name)
            continue
        state = waiting.remove(state, pool, task)
        state = send(state, state.pools[name], task, replica, now, effects)
        state = waiting.order(state, state.pools[name], class_name, effects)
    return state


def arrive(state: State, event: Arrive, now: datetime, effects: list) -> State:
    """Send, queue or refuse an arriving task."""
    task = event.task
    effects.append(Count('arrived'))
    if state.draining:
        return refusal.refuse(state, None, task, 'draining', now, effects)
    if not admission_state.leased(state, now):
        return refusal.refuse(state, None, task, 'no_lease', now, effects)
    if not admission_state.in_policy(state, task.pool, task.class_name):  # it was made under an older policy
        return refusal.refuse(state, None, task, 'no_replica', now, effects, NOT_IN_POLICY)
    pool = state.pools.get(task.pool) or Pool(task.pool)
    if event.retry:
        if state.retry_budget < 1:
            effects.append(Count('retries.denied'))
            return refusal.refuse(
                state, None, task, 'no_replica', now, effects, 'too many rounds are failing'
            )
        state = state._replace(retry_budget=state.retry_budget - 1)
        effects.append(Count('retries'))
    if not [r for r in admission_state.slots_of(state, task.pool) if r not in task.excluded_replicas]:
        return refusal.refuse(state, None, task, 'no_replica', now, effects, 'no replica is left to try')
    limit = state.policy['classes'][task.class_name].get('tokens_per_minute')
    if limit is not None and not event.retry:
        node_limit = limit / max(1, state.live_nodes)
        entitlement = ledger.without_expired(state.entitlements.get(task.class_name, Ledger()), now)
        if entitlement.total + task.reserved_tokens > node_limit:
            wait_ms = ms(ledger.time_until_room(entitlement, task.reserved_tokens, node_limit, now))
            effects.append(Count('refused.entitlement'))
            effects.append(
                Decision(
                    task.name,
                    None,
                    Fault(
                        'entitlement',
                        f'{limit} tokens a minute',
                        wait_ms=max(admission_state.settings(state)['retry_floor_ms'], wait_ms),
                    ).pack(),
                )
            )
            return state
        state = state._replace(
            entitlements=state.entitlements.set(
                task.class_name, ledger.reserve(entitlement, task.reserved_tokens, now)
            )
        )
    service = service_time.expected(state, task)
    if now + service > task.deadline and not event.retry and trial_allowed(state, task, now):
        replica = choice.assign(state, task, now)
        if replica:
            effects.append(Count('trials'))
            return send(state, pool, task, replica, now, effects)
    if now + service > task.deadline:
        state = refusal.release_entitlement(state, task, now)
        return refusal.refuse(
            state, pool, task, 'shed', now, effects, 'its service alone takes longer than it has'
        )
    queue = pool.pending.get(task.class_name, ())
    others_wait = pool.pending_tokens and not task.urgent
    if not queue and not others_wait:
        replica = choice.assign(state, task, now)
        if replica and throughput.fits(state, pool, task, now):
            return send(state, pool, task, replica, now, effects)
        if (
            replica
            and not throughput.has_declared_rate(state, pool)
            and (pool.rate_raised_at is None or now - pool.rate_raised_at >= SAMPLE_INTERVAL)
        ):
            # a slot is free and nothing waits: only the ledger blocks the task, so its rate is too low
            effects.append(Count('rate.raised'))
            return send(
                state,
                throughput.with_doubled_rate(state, pool, task)._replace(rate_raised_at=now),
                task,
                replica,
                now,
                effects,
            )
    wait = throughput.expected_wait(state, pool, task)
    if wait + service > task.deadline - now:
        state = refusal.release_entitlement(state, task, now)
        return refusal.refuse(
            state,
            pool,
            task,
            'shed',
            now,
            effects,
            f'{ms(wait)} ms of work wait before it and it has {ms(task.deadline - now)} ms',
        )
    queue = (task,) + queue if event.retry else queue + (task,)
    if not pool.pending_tokens:  # tokens that drained before anything waited do not show the drain rate
        pool = pool._replace(drain_time=timedelta(0), drained_tokens=0)
        state = (
            state if any(p.pending_tokens for p in state.pools.values()) else state._replace(last_tick=now)
        )
    pool = pool._replace(
        pending=pool.pending.set(task.class_name, queue),
        tokens_by_class=pool.tokens_by_class.set(
            task.class_name, pool.tokens_by_class.get(task.class_name, 0) + task.reserved_tokens
        ),
        pending_tokens=pool.pending_tokens + task.reserved_tokens,
    )
    effects.append(Count('pending'))
    state = waiting.order(state, pool, task.class_name, effects)
    state = serve(state, task.pool, now, effects)
    return waiting.drop_overtaken(state, task.pool, task.class_name, now, effects)


def leave(state: State, event: Leave, now: datetime, effects: list) -> State:
    """End a running task, or remove a pending one."""
    running = state.running_tasks.get(event.name)
    if running is None:
        for pool in state.pools.values():
            for queue in pool.pending.values():
                for task in queue:
                    if task.name == event.name:
                        effects.append(Count('withdrawn'))
                        state = waiting.remove(state, pool, task)
                        return waiting.order(state, state.pools[pool.name], task.class_name, effects)
        return state
    task = running.task
    pool = state.pools[task.pool]
    used = min(event.used_tokens, task.reserved_tokens) if event.took is None else event.used_tokens
    pool = pool._replace(
        ledger=ledger.settle(pool.ledger, task.reserved_tokens, used, running.started_at, now),
        running=pool.running.set(task.class_name, pool.running[task.class_name] - 1),
        drained_tokens=pool.drained_tokens + max(0, used - running.credited_tokens),
    )
    state = state._replace(
        pools=state.pools.set(pool.name, pool),
        running_tasks=state.running_tasks.delete(event.name),
        used_slots=state.used_slots.set(running.replica, state.used_slots[running.replica] - 1),
    )
    entitlement = state.entitlements.get(task.class_name)
    if entitlement is not None:
        state = state._replace(
            entitlements=state.entitlements.set(
                task.class_name,
                ledger.settle(entitlement, task.reserved_tokens, used, task.arrived_at, now),
            )
        )
    if event.took is not None:
        state = service_time.learn(state, running, event.took)
        state = state._replace(
            retry_budget=min(
                MAX_RETRY_BUDGET, state.retry_budget + admission_state.settings(state)['retry_share']
            )
        )
    return serve(state, task.pool, now, effects)


def credit(state: State, event: Credit) -> State:
    """Count tokens that a running task has processed towards the drain rate."""
    running = state.running_tasks.get(event.name)
    if running is None:
        return state
    pool = state.pools[running.task.pool]
    return state._replace(
        running_tasks=state.running_tasks.set(
            event.name, running._replace(credited_tokens=running.credited_tokens + event.tokens)
        ),
        pools=state.pools.set(pool.name, pool._replace(drained_tokens=pool.drained_tokens + event.tokens)),
    )


def core_update(state: State, event: News, now: datetime, effects: list) -> State:
    """Apply the core's reply as a whole; one of an older epoch or generation is ignored."""
    reply = event.reply
    if reply['epoch'] < state.epoch or reply['generation'] < state.generation:
        effects.append(Count('news.old'))
        return state
    if reply['generation'] > state.generation:
        if 'policy' not in reply:
            effects.append(Count('news.short'))
            return state
        effects.append(
            Note('generation', {'generation': reply['generation'], 'leaving': sorted(reply['leaving'])})
        )
        state = state._replace(
            policy=reply['policy'] or {},
            generation=reply['generation'],
            leaving=frozenset(reply['leaving']),
        )
        state = waiting.refuse_removed(state, now, effects)
    lease = event.lease if state.lease is None else max(event.lease, state.lease)
    state = state._replace(epoch=reply['epoch'], lease=lease, live_nodes=max(1, reply['live']))
    failing = frozenset(reply.get('failing', ()))
    state = state._replace(failing_elsewhere=failing, ejected_by_core=frozenset(reply.get('shunned', ())))
    if state.outcomes:
        state = replica_health.without_old_outcomes(state, now)
    state = state._replace(
        allocation=reply['allot']
        if 'allot' in reply
        else state.allocation or admission_state.default_allocation(state)
    )
    for name in sorted(state.pools):
        state = serve(state, name, now, effects)
    return state


def update_listing(state: State, listing: dict, now: datetime, effects: list) -> State:
    """Apply a newer list of replicas; pending tasks may go to those that it adds."""
    if listing['at'] <= state.listing.get('at', 0):
        return state
    if listing['digest'] == state.listing.get('digest'):  # the same list, looked up again
        return state._replace(listing=listing)
    known = {r for p in listing['pools'].values() for r in p}
    if state.listing:
        ejections, last_success = (
            admission_state.restricted_to(table, known) for table in (state.ejections, state.last_success)
        )
        state = state._replace(ejections=ejections, last_success=last_success)
    if listing['pools'] != state.listing.get('pools'):
        effects.append(Note('listing', {p: len(v) for p, v in sorted(listing['pools'].items())}))
    state = state._replace(listing=listing, other_load=admission_state.restricted_to(state.other_load, known))
    for name in sorted(state.pools):
        state = serve(state, name, now, effects)
    return state


def tick(state: State, now: datetime, effects: list) -> State:
    """Drop pending tasks whose deadline can no longer be met, measure the drain rates, serve what waits."""
    elapsed = now - state.last_tick if state.last_tick else timedelta(0)
    state = replica_load.decay(state._replace(last_tick=now), now)
    for name in sorted(state.pools):
        for class_name in sorted(state.pools[name].pending):
            for task in state.pools[name].pending.get(class_name, ()):
                if now + service_time.expected(state, task) > task.deadline:
                    text = 'its deadline can no longer be met'
                    state = waiting.drop(state, task, 'hopeless', text, now, effects)
            state = waiting.order(state, state.pools[name], class_name, effects)
            state = waiting.drop_overtaken(state, name, class_name, now, effects)
        state = throughput.measure(state, state.pools[name], elapsed)
        state = serve(state, name, now, effects)
    return state


def step(state: State, event: Any, now: datetime) -> tuple[State, tuple]:
    """Return the next state and the effects of an event.

    Without a lease nothing is sent:

    >>> from datetime import UTC
    >>> t = datetime(2026, 1, 1, tzinfo=UTC)
    >>> task = Task('t', 'r', 'c', 'p', 10, t + SAMPLE_INTERVAL, t)
    >>> s, e = step(State(), Arrive(task), t); e[-1].fault['fault']
    'no_lease'
    """
    effects: list = []
    kind = type(event)
    if kind is Arrive:
        state = arrive(state, event, now, effects)
    elif kind is Leave:
        state = leave(state, event, now, effects)
    elif kind is Credit:
        state = credit(state, event)
    elif kind is News:
        state = core_update(state, event, now, effects)
    elif kind is Health:
        state = replica_health.update(state, event, now, effects)
    elif kind is Report:
        state = replica_health.apply_probe(state, event, now)
    elif kind is Load:
        state = replica_load.update(state, event, now)
        for name in [n for n, p in state.pools.items() if p.pending_tokens]:
            state = serve(state, name, now, effects)
    elif kind is Listing:
        state = update_listing(state, event.rows, now, effects)
    elif kind is Tick:
        state = tick(state, now, effects)
    elif kind is Drain:
        state = waiting.drain(state, now, effects)
    return state, tuple(effects)
