"""Admission: for every task, send it now, let it wait briefly, or refuse it at once.

A pure reducer, after the paper (docs/design.md names it): each task reserves its prompt and its
most output in a ledger; one that cannot be sent is let wait only if the pending tokens before it,
divided by the rate at which tokens drain, leave time for its own service before its deadline;
the same is asked again when its turn comes; and under overload the newest goes first.
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
from quillstall.dataplane.admission.admission_state import RETRY_BURST, SAMPLE, Pool, Run, State, Task
from quillstall.dataplane.admission.messages import (
    Arrive,
    Credit,
    Drain,
    Health,
    Leave,
    Load,
    News,
    Report,
    Word,
)
from quillstall.dataplane.admission.refusal import NO_PLACE
from quillstall.dataplane.ledger import Ledger
from quillstall.network.listing import Listing
from quillstall.runtime.clock import ms
from quillstall.runtime.effect import Count, Note, Tick
from quillstall.runtime.errors import Fault


def trial(state: State, task: Task, now: datetime) -> bool:
    """Whether a task may go although its route has lately been too slow: one at a time, if it would do
    by what the route is declared to take. Without it a route that was slow once would never be seen
    to be fast again."""
    return now + task.prior <= task.deadline and not any(
        run.task.route == task.route for run in state.runs.values()
    )


def send(state: State, pool: Pool, task: Task, replica: str, now: datetime, out: list) -> State:
    """Reserve, take the slot, and say so."""
    pool = pool._replace(
        ledger=ledger.reserve(ledger.age(pool.ledger, now), task.hold, now),
        running=pool.running.set(task.cls, pool.running.get(task.cls, 0) + 1),
    )
    out.append(Count('sent'))
    out.append(Word(task.name, replica))
    return state._replace(
        pools=state.pools.set(pool.name, pool),
        runs=state.runs.set(task.name, Run(task, replica, now)),
        used=state.used.set(replica, state.used.get(replica, 0) + 1),
    )


def serve(state: State, name: str, now: datetime, out: list) -> State:
    """Send pending tasks while there are slots; each is asked again whether it is still worth it."""
    skip: set = set()
    while admission_state.leased(state, now):
        pool = state.pools.get(name)
        cls = waiting.next_class(state, pool, skip) if pool else None
        if cls is None:
            break
        line = pool.pending[cls]
        task = line[-1] if pool.newest.get(cls) else line[0]
        if now + service_time.expected(state, task) > task.deadline:
            state = waiting.drop(state, task, 'dequeue', 'dropped before it was sent', now, out)
            continue
        replica = choice.assign(state, task, now)
        if replica is None or not throughput.fits(state, pool, task, now):
            skip.add(cls)
            continue
        state = waiting.take(state, pool, task)
        state = send(state, state.pools[name], task, replica, now, out)
        state = waiting.order(state, state.pools[name], cls, out)
    return state


def arrive(state: State, event: Arrive, now: datetime, out: list) -> State:
    """Decide on one task."""
    task = event.task
    out.append(Count('arrived'))
    if state.draining:
        return refusal.refuse(state, None, task, 'draining', now, out)
    if not admission_state.leased(state, now):
        return refusal.refuse(state, None, task, 'no_lease', now, out)
    if not admission_state.has_place(state, task.pool, task.cls):  # it was made under an older policy
        return refusal.refuse(state, None, task, 'no_replica', now, out, NO_PLACE)
    pool = state.pools.get(task.pool) or Pool(task.pool)
    if event.again:
        if state.retry < 1:
            out.append(Count('retries.denied'))
            return refusal.refuse(state, None, task, 'no_replica', now, out, 'too many rounds are failing')
        state = state._replace(retry=state.retry - 1)
        out.append(Count('retries'))
    if not [r for r in admission_state.slots_of(state, task.pool) if r not in task.avoid]:
        return refusal.refuse(state, None, task, 'no_replica', now, out, 'no replica is left to try')
    limit = state.policy['classes'][task.cls].get('tokens_per_minute')
    if limit is not None and not event.again:
        mine = limit / max(1, state.live)
        led = ledger.age(state.limits.get(task.cls, Ledger()), now)
        if led.total + task.hold > mine:
            span = ms(ledger.room(led, task.hold, mine, now))
            out.append(Count('refused.entitlement'))
            out.append(
                Word(
                    task.name,
                    None,
                    Fault(
                        'entitlement',
                        f'{limit} tokens a minute',
                        wait_ms=max(admission_state.rules(state)['retry_floor_ms'], span),
                    ).pack(),
                )
            )
            return state
        state = state._replace(limits=state.limits.set(task.cls, ledger.reserve(led, task.hold, now)))
    service = service_time.expected(state, task)
    if now + service > task.deadline and not event.again and trial(state, task, now):
        replica = choice.assign(state, task, now)
        if replica:
            out.append(Count('trials'))
            return send(state, pool, task, replica, now, out)
    if now + service > task.deadline:
        state = refusal.unlimit(state, task, now)
        return refusal.refuse(
            state, pool, task, 'shed', now, out, 'its service alone takes longer than it has'
        )
    line = pool.pending.get(task.cls, ())
    others = pool.queued and not task.urgent
    if not line and not others:
        replica = choice.assign(state, task, now)
        if replica and throughput.fits(state, pool, task, now):
            return send(state, pool, task, replica, now, out)
        if (
            replica
            and not throughput.declared(state, pool)
            and (pool.raised is None or now - pool.raised >= SAMPLE)
        ):
            # a slot is free and nothing waits: only the ledger holds it back, so its rate is too low
            out.append(Count('rate.raised'))
            return send(
                state, throughput.doubled(state, pool, task)._replace(raised=now), task, replica, now, out
            )
    wait = throughput.wait_of(state, pool, task)
    if wait + service > task.deadline - now:
        state = refusal.unlimit(state, task, now)
        return refusal.refuse(
            state,
            pool,
            task,
            'shed',
            now,
            out,
            f'{ms(wait)} ms of work wait before it and it has {ms(task.deadline - now)} ms',
        )
    line = (task,) + line if event.again else line + (task,)
    if not pool.queued:  # what drained before anything waited tells nothing of the rate
        pool = pool._replace(span=timedelta(0), credit=0)
        state = state if any(p.queued for p in state.pools.values()) else state._replace(ticked=now)
    pool = pool._replace(
        pending=pool.pending.set(task.cls, line),
        tokens=pool.tokens.set(task.cls, pool.tokens.get(task.cls, 0) + task.hold),
        queued=pool.queued + task.hold,
    )
    out.append(Count('pending'))
    state = waiting.order(state, pool, task.cls, out)
    state = serve(state, task.pool, now, out)
    return waiting.give_up(state, task.pool, task.cls, now, out)


def leave(state: State, event: Leave, now: datetime, out: list) -> State:
    """A running task ends, or a pending one is taken out."""
    run = state.runs.get(event.name)
    if run is None:
        for pool in state.pools.values():
            for line in pool.pending.values():
                for task in line:
                    if task.name == event.name:
                        out.append(Count('withdrawn'))
                        state = waiting.take(state, pool, task)
                        return waiting.order(state, state.pools[pool.name], task.cls, out)
        return state
    task = run.task
    pool = state.pools[task.pool]
    used = min(event.used, task.hold) if event.took is None else event.used
    pool = pool._replace(
        ledger=ledger.settle(pool.ledger, task.hold, used, run.at, now),
        running=pool.running.set(task.cls, pool.running[task.cls] - 1),
        credit=pool.credit + max(0, used - run.credited),
    )
    state = state._replace(
        pools=state.pools.set(pool.name, pool),
        runs=state.runs.delete(event.name),
        used=state.used.set(run.replica, state.used[run.replica] - 1),
    )
    led = state.limits.get(task.cls)
    if led is not None:
        state = state._replace(
            limits=state.limits.set(task.cls, ledger.settle(led, task.hold, used, task.at, now))
        )
    if event.took is not None:
        state = service_time.learn(state, run, event.took)
        state = state._replace(
            retry=min(RETRY_BURST, state.retry + admission_state.rules(state)['retry_share'])
        )
    return serve(state, task.pool, now, out)


def credit(state: State, event: Credit) -> State:
    """Work done on a running task counts for the drain rate, up to what it holds."""
    run = state.runs.get(event.name)
    if run is None:
        return state
    pool = state.pools[run.task.pool]
    return state._replace(
        runs=state.runs.set(event.name, run._replace(credited=run.credited + event.tokens)),
        pools=state.pools.set(pool.name, pool._replace(credit=pool.credit + event.tokens)),
    )


def news(state: State, event: News, now: datetime, out: list) -> State:
    """Take the core's news whole; anything older than what is in force is left alone."""
    ret = event.ret
    if ret['epoch'] < state.epoch or ret['generation'] < state.generation:
        out.append(Count('news.old'))
        return state
    if ret['generation'] > state.generation:
        if 'policy' not in ret:
            out.append(Count('news.short'))
            return state
        out.append(Note('generation', {'generation': ret['generation'], 'leaving': sorted(ret['leaving'])}))
        state = state._replace(
            policy=ret['policy'] or {}, generation=ret['generation'], leaving=frozenset(ret['leaving'])
        )
        state = waiting.outlaw(state, now, out)
    lease = event.lease if state.lease is None else max(event.lease, state.lease)
    state = state._replace(epoch=ret['epoch'], lease=lease, live=max(1, ret['live']))
    failing = frozenset(ret.get('failing', ()))
    state = state._replace(failing_elsewhere=failing, shunned=frozenset(ret.get('shunned', ())))
    if state.outcomes:
        state = replica_health.without_old_outcomes(state, now)
    state = state._replace(
        allot=ret['allot'] if 'allot' in ret else state.allot or admission_state.even(state)
    )
    for name in sorted(state.pools):
        state = serve(state, name, now, out)
    return state


def listed(state: State, rows: dict, now: datetime, out: list) -> State:
    """Take a newer list of replicas; what waits may go to those that are new in it."""
    if rows['at'] <= state.listing.get('at', 0):
        return state
    if rows['digest'] == state.listing.get('digest'):  # the same list, seen again
        return state._replace(listing=rows)
    known = {r for p in rows['pools'].values() for r in p}
    if state.listing:
        down, served = (admission_state.only(table, known) for table in (state.down, state.served))
        state = state._replace(down=down, served=served)
    if rows['pools'] != state.listing.get('pools'):
        out.append(Note('listing', {p: len(v) for p, v in sorted(rows['pools'].items())}))
    state = state._replace(listing=rows, others=admission_state.only(state.others, known))
    for name in sorted(state.pools):
        state = serve(state, name, now, out)
    return state


def tick(state: State, now: datetime, out: list) -> State:
    """Refuse what has become hopeless, measure the drain, serve what waits."""
    span = now - state.ticked if state.ticked else timedelta(0)
    state = replica_load.fade(state._replace(ticked=now), now)
    for name in sorted(state.pools):
        for cls in sorted(state.pools[name].pending):
            for task in state.pools[name].pending.get(cls, ()):
                if now + service_time.expected(state, task) > task.deadline:
                    text = 'its deadline can no longer be met'
                    state = waiting.drop(state, task, 'hopeless', text, now, out)
            state = waiting.order(state, state.pools[name], cls, out)
            state = waiting.give_up(state, name, cls, now, out)
        state = throughput.measure(state, state.pools[name], span)
        state = serve(state, name, now, out)
    return state


def step(state: State, event: Any, now: datetime) -> tuple[State, tuple]:
    """The next state and the effects of any event.

    With no lease nothing is sent:

    >>> from datetime import UTC
    >>> t = datetime(2026, 1, 1, tzinfo=UTC)
    >>> task = Task('t', 'r', 'c', 'p', 10, t + SAMPLE, t)
    >>> s, e = step(State(), Arrive(task), t); e[-1].fault['fault']
    'no_lease'
    """
    out: list = []
    kind = type(event)
    if kind is Arrive:
        state = arrive(state, event, now, out)
    elif kind is Leave:
        state = leave(state, event, now, out)
    elif kind is Credit:
        state = credit(state, event)
    elif kind is News:
        state = news(state, event, now, out)
    elif kind is Health:
        state = replica_health.health(state, event, now, out)
    elif kind is Report:
        state = replica_health.reported(state, event, now)
    elif kind is Load:
        state = replica_load.loaded(state, event, now)
        for name in [n for n, p in state.pools.items() if p.queued]:
            state = serve(state, name, now, out)
    elif kind is Listing:
        state = listed(state, event.rows, now, out)
    elif kind is Tick:
        state = tick(state, now, out)
    elif kind is Drain:
        state = waiting.drain(state, now, out)
    return state, tuple(out)
