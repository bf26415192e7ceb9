"""Measure: what failures cost, simulated: for each kind, over several seeds, how long until service is back."""

from datetime import timedelta
from typing import Any

from quillstall.testbed.town import Town, play

LASTS_S = 16.0
CALM_S = 4.0

KINDS = {
    'core primary killed': ('kill', 'primary'),
    'core primary frozen': ('freeze', 'primary'),
    'core primary cut off': ('split', 'primary'),
    'core backup killed': ('kill', 'backup'),
    'store killed': ('kill', 'store0'),
    'store frozen': ('freeze', 'store0'),
    'store cut off': ('split', 'store0'),
    'store lost with its disk': ('empty', 'store0'),
    'routing node killed': ('kill', 'route0'),
    'routing node frozen': ('freeze', 'route0'),
    'a zone lost': ('zone', 'z0'),
    'everything lost at once': ('close', ''),
}


async def seated(town: Town, which: str) -> str:
    """The machine that holds the core's primary or backup seat: `await seated(town, 'primary')`."""
    status = await town.status()
    name = status['seat'][2 if which == 'primary' else 3]
    return name.rpartition('-')[0]


async def hit(town: Town, how: str, whom: str) -> list[str]:
    """Bring the failure about; the machines that are down by it: `await hit(town, 'kill', 'store0')`."""
    world = town.world
    if whom in ('primary', 'backup'):
        whom = await seated(town, whom)
    names = [whom]
    if how == 'zone':
        names = [s['name'] for s in town.startups.values() if s['zone'] == whom]
    if how == 'close':
        names = list(town.startups)
    for name in names:
        if how == 'freeze':
            world.freeze(town.machines[name])
        elif how == 'split':
            for other in town.machines:
                if other != name:
                    world.cut(name, other)
        else:
            world.kill(town.machines[name])
        if how == 'empty':
            world.wipe(town.machines[name])
    if how == 'close':
        await world.sleep(1)
        for name in names:
            town.start(name)
        return []
    return names


async def outage(town: Town, how: str, whom: str) -> dict:
    """One failure under full traffic: `await outage(town, 'kill', 'store0')`."""
    world, crowd = town.world, town.crowd
    await town.open()
    crowd.spawn(crowd.play(timedelta(seconds=CALM_S + LASTS_S)))
    await world.sleep(CALM_S)
    before = dict(crowd.counts)
    start = world.now()
    down = await hit(town, how, whom)
    crowd.doors = [d for d in crowd.doors if town.doors[d] not in down]  # callers drop a dead door
    await world.sleep(LASTS_S)
    await crowd.idle()
    back = max(((at - start).total_seconds() for at in crowd.ill), default=0.0)
    ended = {k: n - before.get(k, 0) for k, n in crowd.counts.items()}
    total = sum(ended.values())

    def part(*words: str) -> int:
        return sum(n for k, n in ended.items() if any(w in k for w in words))

    return {
        'back_s': round(back, 2),
        'pieces': total,
        'good': part('.good'),
        'refused': part('.refused'),
        'unknown': part('.failed', '.incomplete', '.no_answer'),
        'late': part('.late'),
        'wrong': len(town.judge()),
    }


def measure(name: str, seeds: list[int], deploy: str = 'cartalume') -> dict:
    """One kind of failure over seeds: `measure('store killed', [1, 2, 3])`."""
    how, whom = KINDS[name]
    got = [play(seed, deploy, lambda town: outage(town, how, whom), parts=24) for seed in seeds]

    def span(key: str) -> tuple[Any, Any]:
        values = sorted(g[key] for g in got)
        return values[len(values) // 2], values[-1]

    return {
        'name': name,
        'runs': len(got),
        'back_s': span('back_s'),
        'refused': span('refused'),
        'unknown': span('unknown'),
        'late': span('late'),
        'good_part': round(sum(g['good'] for g in got) / sum(g['pieces'] for g in got), 3),
        'wrong': sum(g['wrong'] for g in got),
    }


def cost(routes: int, stores: int, seed: int = 1, seconds: float = 10, deploy: str = 'cartalume') -> dict:
    """What a turn costs in messages and syncs at a size of fleet: `cost(7, 3)`."""

    async def script(town: Town) -> dict:
        await town.open()
        for n in range(stores - 3):
            town.add(f'store{3 + n}', 'store', f'z{n % 3}', f'10.0.2.{50 + n}')
        for n in range(routes - 7):
            town.add(f'route{7 + n}', 'route', f'z{n % 3}', f'10.0.3.{50 + n}')
        await town.world.sleep(12)
        world = town.world
        at, flights, syncs = world.messages, town.counters('store').get('group.flights', 0), town.syncs()
        idle_from = world.now()
        await world.sleep(10)
        idle = (world.messages - at) / (world.now() - idle_from).total_seconds()
        at, mark, done = world.messages, world.now(), town.counters('route').get('turns.done', 0)
        flights, syncs = town.counters('store').get('group.flights', 0), town.syncs()
        await town.crowd.play(timedelta(seconds=seconds))
        await town.crowd.idle()
        turns = town.counters('route').get('turns.done', 0) - done
        span = (world.now() - mark).total_seconds()
        return {
            'routes': routes,
            'stores': stores,
            'idle_messages_s': round(idle, 1),
            'turns': turns,
            'messages_turn': round((world.messages - at - idle * span) / turns, 1),
            'flights_turn': round((town.counters('store')['group.flights'] - flights) / turns, 2),
            'syncs_turn': round((town.syncs() - syncs) / turns, 2),
            'good': town.crowd.report()['total'],
            'wrong': len(town.judge()),
        }

    return play(seed, deploy, script, parts=24)
