"""A refusal, with an honest time to come back."""

from datetime import datetime, timedelta
from math import ceil

from quillstall.dataplane import ledger
from quillstall.dataplane.admission import admission_state, service_time, throughput
from quillstall.dataplane.admission.admission_state import Pool, State, Task
from quillstall.dataplane.admission.messages import Word
from quillstall.runtime.clock import ms, of_ms
from quillstall.runtime.effect import Count
from quillstall.runtime.errors import Fault

NO_PLACE = 'a new policy has no place for it'


def refuse(
    state: State, pool: Pool | None, task: Task, code: str, now: datetime, out: list, text: str = ''
) -> State:
    """A refusal with an honest time to come back, spread over those who are refused."""
    rule = admission_state.rules(state)
    floor, most = of_ms(rule['retry_floor_ms']), of_ms(rule['retry_ceiling_ms'])
    dice = state.dice + 1
    state = state._replace(dice=dice)
    part = dice * 0.618033988749895 % 1.0
    if pool is None or code in ('no_lease', 'draining', 'no_replica'):
        span = max(floor, min(most, timedelta(seconds=1.5))) * (1 + part)
    else:
        room = (
            throughput.wait_of(state, pool, task)
            + service_time.expected(state, task)
            - (task.deadline - task.at)
        )
        gap = timedelta(seconds=min(60.0, task.hold / max(0.001, throughput.drain_rate(state, pool, task))))
        at = max(now + max(floor, room), pool.booked.get(task.cls, now))
        span = at - now
        if span > most:
            span = most * (0.5 + 0.5 * part)
        else:
            pool = pool._replace(booked=pool.booked.set(task.cls, at + gap))
            state = state._replace(pools=state.pools.set(pool.name, pool))
    span = max(floor, min(most, span))
    out.append(Count(f'refused.{code}'))
    out.append(Word(task.name, None, Fault(code, text, wait_ms=ms(span)).pack()))
    return state


def unlimit(state: State, task: Task, now: datetime) -> State:
    """What a refused task took of its class's entitlement goes back."""
    led = state.limits.get(task.cls)
    if led is None:
        return state
    return state._replace(limits=state.limits.set(task.cls, ledger.settle(led, task.hold, 0, now, now)))


def retry_after(wait_ms: int) -> str:
    """The header for a refusal: whole seconds, rounded up.

    >>> retry_after(1200)
    '2'
    """
    return str(max(1, ceil(wait_ms / 1000)))
