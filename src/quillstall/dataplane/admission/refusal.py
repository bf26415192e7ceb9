"""Refusals, each with the time after which a retry can succeed."""

from datetime import datetime, timedelta
from math import ceil

from quillstall.dataplane import ledger
from quillstall.dataplane.admission import admission_state, service_time, throughput
from quillstall.dataplane.admission.admission_state import Pool, State, Task
from quillstall.dataplane.admission.messages import Decision
from quillstall.runtime.clock import from_ms, ms
from quillstall.runtime.effect import Count
from quillstall.runtime.errors import Fault

NOT_IN_POLICY = 'a new policy has no place for it'


def refuse(
    state: State, pool: Pool | None, task: Task, code: str, now: datetime, effects: list, text: str = ''
) -> State:
    """Return the state after a refusal, which goes into the effects. Its retry time is when the pool should have
    room for the task; the times of several callers are spread so that they do not return at once."""
    settings = admission_state.settings(state)
    floor, ceiling = from_ms(settings['retry_floor_ms']), from_ms(settings['retry_ceiling_ms'])
    refusal_count = state.refusal_count + 1
    state = state._replace(refusal_count=refusal_count)
    spread = refusal_count * 0.618033988749895 % 1.0  # the golden ratio's fraction spaces them evenly
    if pool is None or code in ('no_lease', 'draining', 'no_replica'):
        wait = max(floor, min(ceiling, timedelta(seconds=1.5))) * (1 + spread)
    else:
        shortfall = (
            throughput.expected_wait(state, pool, task)
            + service_time.expected(state, task)
            - (task.deadline - task.arrived_at)
        )
        gap = timedelta(
            seconds=min(60.0, task.reserved_tokens / max(0.001, throughput.drain_rate(state, pool, task)))
        )
        retry_at = max(now + max(floor, shortfall), pool.next_retry.get(task.class_name, now))
        wait = retry_at - now
        if wait > ceiling:
            wait = ceiling * (0.5 + 0.5 * spread)
        else:
            pool = pool._replace(next_retry=pool.next_retry.set(task.class_name, retry_at + gap))
            state = state._replace(pools=state.pools.set(pool.name, pool))
    wait = max(floor, min(ceiling, wait))
    effects.append(Count(f'refused.{code}'))
    effects.append(Decision(task.name, None, Fault(code, text, wait_ms=ms(wait)).pack()))
    return state


def release_entitlement(state: State, task: Task, now: datetime) -> State:
    """Return the state without a refused task's reservation in its class's entitlement."""
    entitlement = state.entitlements.get(task.class_name)
    if entitlement is None:
        return state
    return state._replace(
        entitlements=state.entitlements.set(
            task.class_name, ledger.settle(entitlement, task.reserved_tokens, 0, now, now)
        )
    )


def retry_after(wait_ms: int) -> str:
    """Return the value of the Retry-After header: whole seconds, rounded up.

    >>> retry_after(1200)
    '2'
    """
    return str(max(1, ceil(wait_ms / 1000)))
