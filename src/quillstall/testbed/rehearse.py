"""Rehearse: several times the ceiling, simulated, with the numbers the paper says to assert.

The quota is scaled down, so that the ratio of offered load to ceiling is what counts.
"""

from datetime import timedelta
from typing import Any, NamedTuple

from quillstall.dataplane.admission import admission_state, throughput
from quillstall.testbed.deploy import Deploy, Flow, machines, pools, replicas
from quillstall.testbed.sim import World
from quillstall.testbed.town import Town

DEADLINE_MS = 3000
SAMPLE_S = 0.05


class Sample(NamedTuple):
    """The routing nodes at one moment: tasks and tokens pending, slots allotted and in use.

    >>> Sample(0.0, 0, 0, 0, 0, 0.0, 0, 0.0).pending
    0
    """

    at: float
    pending: int
    tokens: int
    slots: int
    used: int
    depth_s: float
    idle: int
    oldest_s: float  # the most, on any node, of: how long its oldest has waited, and its depth


def small(
    per_s: float,
    rules: dict | None = None,
    deadline_ms: int = DEADLINE_MS,
    routes: int = 3,
    models: int = 3,
    slots: int = 8,
) -> Deploy:
    """A deployment with a low ceiling and one kind of turn.

    >>> small(10).flows[0].per_s
    10
    """
    made = replicas('10.0', 7000, models, slots, 1, 4, prefill_per_s=24_000, step_ms=20)
    policy = {
        'classes': {'rulings': {'share': 100, 'deadline_ms': deadline_ms}},
        'routes': {'ruling': {'class': 'rulings', 'pool': 'models', 'max_tokens': 16, 'service_ms': 500}},
        'services': {},
        'pools': pools(made),
        'admission': rules or {},
    }
    flow = Flow('ruling', 'turn', per_s, 'ruling', deadline_ms=deadline_ms)
    return Deploy('small', machines('10.0', 7000, routes=routes), made, policy, [flow])


def look(town: Town) -> Sample:
    """The routing nodes as they are now: `look(town)`."""
    pending = tokens = slots = used = idle = 0
    depth = oldest = 0.0
    for node in town.nodes():
        state = node.state
        mine = admission_state.slots_of(state, 'models')
        busy = sum(state.used_slots.get(r, 0) for r in mine)
        slots += sum(mine.values())
        used += busy
        pool = state.pools.get('models')
        if pool is None:
            continue
        line = [t for tasks in pool.pending.values() for t in tasks]
        pending += len(line)
        tokens += pool.pending_tokens
        if line:
            rate = throughput.drain_rate(state, pool, line[0])
            depth = max(depth, pool.pending_tokens / rate if rate else 0.0)
            age = (town.world.now() - min(t.arrived_at for t in line)).total_seconds()
            oldest = max(oldest, age + (pool.pending_tokens / rate if rate else 0.0))
        else:
            idle += sum(mine.values()) - busy
    return Sample(
        round((town.world.now() - town.began).total_seconds(), 3),
        pending,
        tokens,
        slots,
        used,
        depth,
        idle,
        oldest,
    )


async def load(town: Town, seconds: float, patience_ms: int = DEADLINE_MS) -> dict:
    """Bring the load, look at the nodes all the while, and tell what came of it."""
    world, crowd = town.world, town.crowd
    await town.open()
    town.began = world.now()
    crowd.tries = -1  # what is refused does not come back
    crowd.spawn(crowd.play(timedelta(seconds=seconds)))
    samples = []
    first = None
    while (world.now() - town.began).total_seconds() < seconds:
        await world.sleep(SAMPLE_S)
        samples.append(look(town))
        if first is None and any(k.startswith('ruling.refused') for k in crowd.counts):
            first = samples[-2] if len(samples) > 1 else samples[-1]
    gone = None
    for _ in range(400):
        await world.sleep(SAMPLE_S)
        samples.append(look(town))
        if gone is None and samples[-1].pending == 0:
            gone = round(samples[-1].at - seconds, 2)
    await crowd.idle()
    counts = crowd.counts
    good = sum(1 for t in crowd.times.get('ruling', ()) if t <= patience_ms)
    half = [s for s in samples if seconds / 3 < s.at < seconds]
    routes = town.counters('route')
    return {
        'offered': sum(counts.values()),
        'good': good,
        'good_per_s': round(good / seconds, 1),
        'refused': sum(n for k, n in counts.items() if '.refused' in k),
        'dropped': int(routes.get('dropped.dequeue', 0) + routes.get('dropped.hopeless', 0)),
        'late': sum(n for k, n in counts.items() if k.endswith('.late')),
        'failed': sum(
            n for k, n in counts.items() if '.failed' in k or '.incomplete' in k or '.no_answer' in k
        ),
        'abandoned_tokens': int(routes.get('tokens.abandoned', 0)),
        'first_refusal_depth_s': round(first.depth_s, 2) if first else None,
        'first_refusal_span_s': round(first.oldest_s, 2) if first else None,
        'most_depth_s': round(max(s.depth_s for s in samples), 2),
        'most_pending': max(s.pending for s in samples),
        'gone_after_s': gone,
        'idle_part': round(sum(s.slots - s.used for s in half) / max(1, sum(s.slots for s in half)), 3),
        'stranded_part': round(
            sum(s.idle for s in half if s.pending) / max(1, sum(s.slots for s in half)), 3
        ),
        'waits': crowd.waits,
        'told': crowd.told,
        'newest': int(routes.get('order.newest', 0)),
        'refusal_ms': crowd.refusal_ms(),
        'good_ms': crowd.report()['ms'].get('ruling'),
        'wrong': town.judge(),
        'counts': dict(counts),
    }


def rehearse(
    seed: int,
    per_s: float,
    seconds: float = 8,
    rules: dict | None = None,
    asked_ms: int | None = None,
    **shape: Any,
) -> dict:
    """One rehearsal: `rehearse(1, 200)['good_per_s']`."""

    async def script(world: World) -> dict:
        deploy = small(per_s, rules, **shape)
        if asked_ms:
            deploy = deploy._replace(flows=[f._replace(deadline_ms=asked_ms) for f in deploy.flows])
        return await load(Town(world, deploy), seconds)

    return World.play(seed, script)
