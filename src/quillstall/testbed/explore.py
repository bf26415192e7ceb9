"""Explore: random failures on a simulated deployment, many seeds, and a judge at the end.

A seed decides which failures come, when, and in which order; the same seed plays the same history.
"""

import asyncio
import random
from collections.abc import Callable
from datetime import timedelta
from typing import Any

from quillstall.network.web import fetch
from quillstall.runtime.errors import Fault
from quillstall.testbed.caller import PROMPT_TOKENS
from quillstall.testbed.judge import outdated
from quillstall.testbed.operators import Operators
from quillstall.testbed.town import Town, play

BACK_S = 12.0
CUT_S = 20.0  # how long a leader is cut off
CLOCK_STEP = timedelta(seconds=2)
STEPPED_SHARE = 0.3  # of all machines
CLOCKS_S = 140.0  # any two clocks differ by less than controlplane/store_table.py's SKEW_S
DRIFT = 0.0005
PAIRS = (  # failures that may overlap: they strike different machines, one disk at most
    ('core_cut', 'store_swap'),
    ('crowd', 'core_swap'),
    ('flood', 'core_kill'),
    ('replica_leaves', 'crowd'),
    ('replica_leaves', 'route_freeze'),
    ('store_kill', 'core_kill'),
    ('store_swap', 'core_freeze'),
    ('core_empty', 'route_kill'),
    ('core_empty', 'store_freeze'),
    ('core_link', 'store_empty'),
    ('flood', 'store_freeze'),
    ('core_split', 'store_retire'),
    ('store_retire', 'route_kill'),
    ('core_kill', 'replicas_bad'),
    ('streams_cut', 'store_kill'),
    ('core_all', 'store_kill'),
    ('core_all', 'route_freeze'),
    ('disk_full', 'route_cut'),
    ('disk_stall', 'route_freeze'),
    ('disk_refuse', 'route_kill'),
)
BLOCKED_BY_S = 30  # by then a process has met a disk that takes nothing
SYNCED_BY_S = 5  # by then it has written what waited


class Inside(Operators):
    """Operators of a simulated town, who see inside its nodes.

    >>> Inside(None, random.Random(1)).refused
    []
    """

    def told(self, generation: int) -> None:
        """At the acknowledgement no routing node may send under an older generation: `operators.told(3)`."""
        for node in self.place.nodes():
            now = node.ctx.clock.now()  # a lease is counted by its holder's clock
            if node.state.generation < generation and node.state.lease and node.state.lease > now:
                self.say(
                    'in_force',
                    f'{node.name} may send under {node.state.generation}, {generation} is acknowledged',
                )


class Trouble:
    """One failure at a time of the major kinds, each healed before the next; crowds and replica
    trouble beside them.

    >>> Trouble.kinds()[:3]
    ['clock_step', 'clocks', 'close']
    """

    def __init__(self, town: Town, dice: random.Random):
        self.town = town
        self.dice = dice
        self.operators = Inside(town, dice)
        self.wrong: list[str] = []
        self.over = False
        self.made = 0
        self.gaps: list[tuple] = []

    @staticmethod
    def kinds() -> list[str]:
        """The names of all failures: `Trouble.kinds()`."""
        return sorted(n[3:] for n in dir(Trouble) if n.startswith('do_'))

    def fresh(self, role: str) -> tuple[str, str]:
        """A name and an IP number for one more machine of a role."""
        self.made += 1
        return (
            f'{role}{10 + self.made}',
            f'10.0.{ {"core": 1, "store": 2, "route": 3}[role] }.{100 + self.made}',
        )

    def say(self, rule: str, text: str) -> None:
        """A rule was broken: `trouble.say('generation', '...')`."""
        self.wrong.append(f'{self.town.world.now().isoformat()} {rule}: {text}')

    async def rest(self, least: float, most: float) -> None:
        await self.town.world.sleep(self.dice.uniform(least, most))

    async def primary(self) -> str:
        """The name of the core that is primary now, by what the processes say."""
        status = await self.town.status()
        name = status.get('me', '').rpartition('-')[0]
        return name if name in self.town.startups else self.town.named('core')[0]

    async def spell(self) -> None:
        """How long a failure lasts: mostly short, sometimes longer than repair may take."""
        await (self.rest(1, 7) if self.dice.random() < 0.7 else self.rest(16, 20))

    # ---- failures

    async def do_core_kill(self) -> None:
        name = await self.primary() if self.dice.random() < 0.7 else self.dice.choice(self.town.named('core'))
        self.town.world.kill(self.town.machines[name])
        await self.spell()
        self.town.start(name)

    async def do_core_freeze(self) -> None:
        name = await self.primary() if self.dice.random() < 0.7 else self.dice.choice(self.town.named('core'))
        self.town.world.freeze(self.town.machines[name])
        await self.spell()
        self.town.world.thaw(self.town.machines[name])

    async def do_core_cut(self) -> None:
        """One core is cut from the other two, in one direction or both."""
        name, both = self.dice.choice(self.town.named('core')), self.dice.random() < 0.6
        for other in self.town.named('core'):
            if other != name:
                if both or self.dice.random() < 0.5:
                    self.town.world.cut(name, other, both)
                else:
                    self.town.world.cut(other, name, False)
        await self.spell()
        self.town.world.heal()

    async def do_core_link(self) -> None:
        """Two cores cannot reach each other; the third reaches both."""
        one, two = self.dice.sample(self.town.named('core'), 2)
        self.town.world.cut(one, two)
        await self.spell()
        self.town.world.heal()

    async def do_core_split(self) -> None:
        """One core is cut off from everything else."""
        name = await self.primary() if self.dice.random() < 0.7 else self.dice.choice(self.town.named('core'))
        for other in list(self.town.machines):
            if other != name:
                self.town.world.cut(name, other)
        await self.spell()
        self.town.world.heal()

    async def do_store_kill(self) -> None:
        name = self.dice.choice(self.town.named('store'))
        self.town.world.kill(self.town.machines[name])
        await self.spell()
        self.town.start(name)

    async def do_store_freeze(self) -> None:
        name = self.dice.choice(self.town.named('store'))
        self.town.world.freeze(self.town.machines[name])
        await self.spell()
        self.town.world.thaw(self.town.machines[name])

    async def do_store_cut(self) -> None:
        """A store is cut from another store, or from everything."""
        name = self.dice.choice(self.town.named('store'))
        others = (
            [self.dice.choice([s for s in self.town.named('store') if s != name])]
            if self.dice.random() < 0.5
            else [n for n in self.town.machines if n != name]
        )
        for other in others:
            self.town.world.cut(name, other)
        await self.spell()
        self.town.world.heal()

    async def do_store_empty(self) -> None:
        """A store's machine is lost and comes back with an empty disk."""
        name = self.dice.choice(self.town.named('store'))
        self.town.world.kill(self.town.machines[name])
        self.town.world.wipe(self.town.machines[name])
        await self.spell()
        self.town.start(name)

    async def do_disk_full(self) -> None:
        """A core's or a store's disk has no room for a while."""
        await self.block_disk('full')

    async def do_disk_stall(self) -> None:
        """A core's or a store's disk answers nothing for a while."""
        await self.block_disk('hung')

    async def do_disk_refuse(self) -> None:
        """A core's or a store's disk fails each write for a while."""
        await self.block_disk('refusing')

    async def block_disk(self, how: str) -> None:
        """A disk takes nothing: from its first write on the process confirms nothing, it does not end, and it
        serves again when the disk takes writes: `await trouble.block_disk('full')`."""
        town = self.town
        name = self.dice.choice(town.named('store') + [await self.primary()])
        machine, host = town.machines[name], town.hosts[name]
        setattr(machine, how, True)
        written = host.ctx.disk.syncs
        if not await self.becomes(host.blocked, BLOCKED_BY_S):
            self.say('disk_blocked', f'{name} goes on without a disk')
        await self.spell()
        if host.ctx.disk.syncs > written + 1:  # one may have been under way
            self.say('disk_blocked', f'{name} wrote to a disk that takes nothing')
        setattr(machine, how, False)
        if not await self.becomes(lambda: not host.unsynced, SYNCED_BY_S):
            self.say('disk_blocked', f'{name} has still not written what it held')
        if machine.root.done():
            self.say('disk_blocked', f'{name} has ended: {machine.root.exception()!r}')

    async def becomes(self, test: Callable[[], bool], seconds: float) -> bool:
        """Whether something comes true in time: `await trouble.becomes(host.blocked, 3)`."""
        for _ in range(int(seconds * 10)):
            await self.town.world.sleep(0.1)
            if test():
                return True
        return False

    async def do_core_empty(self) -> None:
        """A core machine loses its disk and comes back empty at its address."""
        name = await self.primary() if self.dice.random() < 0.5 else self.dice.choice(self.town.named('core'))
        self.town.world.kill(self.town.machines[name])
        self.town.world.wipe(self.town.machines[name])
        await self.spell()
        self.town.start(name)
        await self.town.world.sleep(6)
        status = await self.town.status()
        mine = [n for n, _ in status.get('core', ()) if n == self.town.hosts[name].state.me]
        if not mine:
            self.say('core_back', f'{name} came back empty and is no member: {status.get("core")}')

    async def do_core_swap(self) -> None:
        """An operator swaps one core machine for a new one at another address."""
        await self.swap(
            await self.primary() if self.dice.random() < 0.4 else self.dice.choice(self.town.named('core'))
        )

    async def swap(self, old: str) -> None:
        """Swap one core machine for a new one: `await trouble.swap('core0')`."""
        town = self.town
        name, host = self.fresh('core')
        town.add(name, 'core', town.startups[old]['zone'], host)
        for _ in range(12):
            status, body = await town.ask(
                'POST', '/v1/swap', {'name': town.startups[old]['address'], 'by': f'{host}:7000'}
            )
            if status == 200:
                break
            await town.world.sleep(1)
        if status != 200:
            self.say('swap', f'{old} could not be swapped: {status} {body}')
            town.drop(name)
            return
        town.drop(old)

    async def do_old_settings(self) -> None:
        """Every core machine is swapped and a store replaced; then processes start again with the files
        they were born with, whose seeds are all gone: one by one, a core with its disk lost, and at last
        everything at once."""
        town = self.town
        await self.do_store_swap()
        for old in list(town.named('core')):
            start = town.world.now()
            await self.swap(old)
            self.gaps.append(('core_swap', start, town.world.now()))
            await self.rest(1, 3)
        for role in ('route', 'store', 'core'):
            name, start = self.dice.choice(town.named(role)), town.world.now()
            town.world.kill(town.machines[name])
            if role == 'core':
                town.world.wipe(town.machines[name])
            await self.rest(0.5, 2)
            town.start(name)
            self.gaps.append((f'{role}_kill', start, town.world.now()))
            await self.rest(BACK_S, BACK_S + 2)
        status = await town.status()
        for name in town.named('route') + town.named('core'):
            at = town.startups[name]['address']
            live = [n['address'] for n in status.get('nodes', {}).values() if n['lease']]
            if at not in live + [a for _, a in status.get('core', ())]:
                self.say('found', f'{name} has not found the fleet again')
        start = town.world.now()
        await self.do_close()
        self.gaps.append(('close', start, town.world.now()))

    async def do_store_swap(self) -> None:
        """A store machine is lost for good and replaced, empty, at a new address."""
        town = self.town
        old = self.dice.choice(town.named('store'))
        name, host = self.fresh('store')
        zone = town.startups[old]['zone']
        town.drop(old)
        await self.rest(0.5, 6)
        town.add(name, 'store', zone, host)
        await town.world.sleep(BACK_S)
        await self.twice_apart()

    async def do_store_retire(self) -> None:
        """A fourth store is added; another is retired and switched off when status says so."""
        town = self.town
        old = self.dice.choice(town.named('store'))
        name, host = self.fresh('store')
        town.add(name, 'store', town.startups[old]['zone'], host)
        await self.rest(3, 5)
        status, body = await town.ask('POST', '/v1/retire', {'name': town.startups[old]['address']})
        if status != 200:
            self.say('retire', f'{old}: {status} {body}')
            return
        for _ in range(60):
            await town.world.sleep(0.5)
            now = await town.status()
            row = now.get('members', {}).get(body['member'], {})
            if row.get('off'):
                break
        else:
            self.say('retire', f'{old} never gets free: {row}')
            return
        town.drop(old)
        await self.twice_apart()

    async def twice_apart(self) -> None:
        """Each part has two copies, on live stores in different zones; just the live stores are registered."""
        status = await self.town.status()
        book = status.get('register', {'now': {}, 'old': {}})
        mine = {self.town.startups[n]['address'] for n in self.town.named('store')}
        if set(book['now'].values()) != mine or book['old']:
            self.say('registered', f'{sorted(mine)} live, registered are {book}')
        zones = {n: v['zone'] for n, v in status.get('members', {}).items()}
        live = {
            n for n, v in status.get('nodes', {}).items() if v['role'] == 'store' and v['silent_ms'] < 2000
        }
        for part, seat in status.get('parts', {}).items():
            if not set(seat[2:]) <= live or zones[seat[2]] == zones[seat[3]]:
                self.say('two_copies', f'{part} sits at {seat[2:]}, live are {sorted(live)}')

    async def do_route_add(self) -> None:
        """A routing node is added in the middle of a crowd, and takes its share."""
        town = self.town
        name, host = self.fresh('route')
        town.crowd.spawn(town.crowd.play(timedelta(seconds=3), 3))
        town.add(name, 'route', self.dice.choice(('z0', 'z1', 'z2')), host)
        await town.world.sleep(6)
        if not town.hosts[name].state.allocation or not sum(town.hosts[name].state.allocation.values()):
            self.say('takes_share', f'{name} got no slots: {town.hosts[name].state.allocation}')

    async def do_route_kill(self) -> None:
        name = self.dice.choice(self.town.named('route'))
        self.town.world.kill(self.town.machines[name])
        await self.rest(0.5, 4)
        self.town.start(name)

    async def do_route_freeze(self) -> None:
        name = self.dice.choice(self.town.named('route'))
        self.town.world.freeze(self.town.machines[name])
        await self.rest(0.5, 5)
        self.town.world.thaw(self.town.machines[name])

    async def do_route_cut(self) -> None:
        """A routing node is cut from the cores, and still reaches replicas, stores and callers."""
        name = self.dice.choice(self.town.named('route'))
        for core in self.town.named('core'):
            self.town.world.cut(name, core)
        await self.spell()
        self.town.world.heal()

    async def do_route_alone(self) -> None:
        """A routing node reaches callers and replicas, and none of our other machines."""
        name = self.dice.choice(self.town.named('route'))
        for other in self.town.startups:
            if other != name:
                self.town.world.cut(name, other)
        alone = [self.town.world.now(), None]
        self.town.machines[name].stood.append(alone)  # alone, it can only refuse
        await self.spell()
        self.town.world.heal()
        alone[1] = self.town.world.now() + timedelta(seconds=BACK_S)

    async def do_replica(self) -> None:
        """A replica loses answers, cuts streams, stalls, is slow or refuses."""
        name = self.dice.choice(sorted(self.town.replicas))
        back = self.town.replicas[name]
        back.mode, back.share = (
            self.dice.choice(('lose', 'cut', 'stall', 'slow', 'refuse')),
            self.dice.choice((0.3, 1.0)),
        )
        await self.rest(1, 4)
        back.mode = 'well'

    async def do_replicas_bad(self) -> None:
        """Half of the replicas lose their answers while the other half refuses."""
        backs = [self.town.replicas[n] for n in sorted(self.town.replicas)]
        self.dice.shuffle(backs)
        for n, back in enumerate(backs):
            back.mode, back.share = ('lose', 'refuse')[n % 2], 1.0
        await self.rest(1, 4)
        for back in backs:
            back.mode = 'well'

    async def do_streams_cut(self) -> None:
        """Half of the model replicas cut each stream in the middle."""
        backs = [self.town.replicas[n] for n in sorted(self.town.replicas) if n.startswith('model')]
        for back in backs[::2]:
            back.mode, back.share = 'cut', 1.0
        await self.rest(1, 4)
        for back in backs:
            back.mode = 'well'

    async def do_replica_leaves(self) -> None:
        """A replica is announced as leaving, later ends, comes back, and is taken back."""
        name = self.dice.choice(sorted(self.town.replicas))
        status, _ = await self.town.ask('POST', '/v1/leaving', {'replicas': [name]})
        if status != 200:
            return
        at = self.town.world.now()
        await self.town.world.sleep(3)
        mark = self.town.replicas[name].counts['asked']
        await self.rest(1, 3)
        if self.town.replicas[name].counts['asked'] != mark:
            self.say('leaving', f'{name} got new work after {at.isoformat()} + 3 s')
        self.town.world.kill(self.town.machines[name])
        await self.rest(0.2, 2)
        before = self.town.replicas[name]
        self.town.start(name)
        await self.town.world.sleep(0.1)
        self.town.replicas[name].runs[:0] = before.runs
        await self.town.ask('POST', '/v1/leaving', {'replicas': [name], 'back': True})

    async def do_crowd(self) -> None:
        """Five times the traffic at once."""
        await self.town.crowd.play(timedelta(seconds=2), 5)

    async def do_flood(self) -> None:
        """Twelve times the traffic at once: far more than the replicas can take."""
        await self.town.crowd.play(timedelta(seconds=2.5), 12)

    async def do_close(self) -> None:
        """Every process of ours is lost at once and started again from its data folder."""
        names = list(self.town.startups)
        for name in names:
            self.town.world.kill(self.town.machines[name])
        await self.rest(0.5, 2)
        self.dice.shuffle(names)
        for name in names:
            self.town.start(name)
            await self.rest(0, 0.2)

    async def do_core_all(self) -> None:
        """The whole core is lost at once and started again from its data folders."""
        names = self.town.named('core')
        for name in names:
            self.town.world.kill(self.town.machines[name])
        await self.rest(0.5, 3)
        for name in names:
            self.town.start(name)
            await self.rest(0, 0.5)

    async def do_core_away(self) -> None:
        """For a minute no core serves: all are dead, frozen, split from each other, or cut off from
        everyone. Service goes on; a store or a routing node may be lost and started meanwhile."""
        town, world = self.town, self.town.world
        cores = town.named('core')
        how = self.dice.choice(('kill', 'freeze', 'split', 'cut'))
        world.note('core_away', how)
        for name in cores:
            if how == 'kill':
                world.kill(town.machines[name])
            elif how == 'freeze':
                world.freeze(town.machines[name])
            else:
                for other in cores if how == 'split' else town.startups:
                    if other != name:
                        world.cut(name, other)
        end = world.now() + timedelta(seconds=60)
        for role in ('route', 'store'):
            await self.rest(5, 20)
            name, start = self.dice.choice(town.named(role)), world.now()
            world.kill(town.machines[name])
            await self.rest(0.5, 2)
            town.start(name)
            self.gaps.append((f'{role}_kill', start, world.now()))
        await world.sleep((end - world.now()).total_seconds())
        world.heal()
        for name in cores:
            if how == 'kill':
                town.start(name)
            elif how == 'freeze':
                world.thaw(town.machines[name])

    def wind(self, name: str, part: float) -> None:
        """Give a machine another time, off by a part of the most that is promised, and a drift."""
        machine = self.town.machines[name]
        machine.ahead = timedelta(seconds=part * CLOCKS_S)
        machine.rate = 1 + self.dice.uniform(-1, 1) * DRIFT

    async def do_together(self) -> None:
        """Two failures of different machines overlap, the second in the middle of the first or of its repair;
        sometimes everything closes down after them."""
        one, two = self.dice.choice(PAIRS)
        self.town.world.note('together', one, two)
        await asyncio.gather(self.begun(one, 0.0), self.begun(two, self.dice.uniform(0, 5)))
        if self.dice.random() < 0.3:
            await self.begun('close', 0.0)

    async def begun(self, kind: str, after: float) -> None:
        """One failure of two that overlap: `await trouble.begun('crowd', 1.5)`."""
        await self.town.world.sleep(after)
        start = self.town.world.now()
        await getattr(self, f'do_{kind}')()
        self.gaps.append((kind, start, self.town.world.now()))

    async def do_clocks(self) -> None:
        """Each of our machines starts anew with a clock that is minutes off and drifts, by turns far ahead
        and far behind; then a core, a store and a routing node start with yet another time, the store
        so late that others have its parts by then."""
        town = self.town
        for n, name in enumerate(town.startups):
            town.world.kill(town.machines[name])
            self.wind(name, self.dice.uniform(0.97, 1) * (-1) ** n)
            town.start(name)
        for role, away in (('core', 1), ('store', 6), ('route', 1)):
            await self.rest(6, 9)
            behind = [n for n in town.named(role) if town.machines[n].ahead < timedelta(0)]
            name, start = self.dice.choice(behind), town.world.now()
            town.world.kill(town.machines[name])
            await self.rest(away, away + 1)
            self.wind(name, self.dice.uniform(-1, 1))
            town.start(name)
            self.gaps.append((f'{role}_kill', start, town.world.now()))
        await self.rest(6, 9)

    async def do_clock_step(self) -> None:
        """The wall clocks of some running machines jump ahead or back, and after a while the other way."""
        town = self.town
        names = self.dice.sample(sorted(town.startups), round(len(town.startups) * STEPPED_SHARE))
        names += [name for name in [await self.primary()] if name not in names]
        span = CLOCK_STEP * self.dice.choice((-1, 1))
        for name in names:
            town.world.step_clock(town.machines[name], span)
        await self.rest(4, 8)
        for name in names:
            town.world.step_clock(town.machines[name], -span)

    async def do_leader_cuts(self) -> None:
        """Three times whoever is primary of the core is cut off for long, from the other cores or from all
        machines; at the end of each the one that was cut off, or the others of the core, start again.
        Sometimes clocks are stepped meanwhile."""
        town = self.town
        for _ in range(3):
            leader = await self.primary()
            others = [n for n in town.named('core') if n != leader]
            away = others if self.dice.random() < 0.5 else [n for n in town.machines if n != leader]
            town.world.note('leader_cut', leader, len(away))
            for other in away:
                town.world.cut(leader, other)
            start = town.world.now()
            if self.dice.random() < 0.5:
                await self.do_clock_step()
            await town.world.sleep(CUT_S - (town.world.now() - start).total_seconds())
            restarted = [leader] if self.dice.random() < 0.5 else others
            for name in restarted:
                town.world.kill(town.machines[name])
            town.world.heal()
            for name in restarted:
                town.start(name)
            self.gaps.append(('leader_cut', start, town.world.now()))
            await self.rest(3, 6)

    async def do_zone(self) -> None:
        """Everything in one zone is lost at once, and comes back later."""
        zone = self.dice.choice(('z0', 'z1', 'z2'))
        names = [s['name'] for s in self.town.startups.values() if s['zone'] == zone]
        for name in names:
            self.town.world.kill(self.town.machines[name])
        await self.spell()
        for name in names:
            self.town.start(name)

    # ---- callers who stray, and a look inside the nodes

    async def strays(self, end: Any) -> None:
        """Callers ask for services and paths that no policy allows; each is told so, and nothing runs."""
        town = self.town
        while town.world.now() < end and not self.over:
            await self.rest(1, 3)
            name = self.dice.choice(sorted(town.deploy.policy['services']))
            path = self.dice.choice((f'{name}/nowhere', f'{name}x/status', f'{name}/'))
            try:
                status, body, _ = await fetch(
                    town.crowd.ctx.web,
                    town.crowd.door(),
                    'POST',
                    f'/v1/services/{path}',
                    {'n': 1},
                    limit=timedelta(seconds=3),
                )
            except Fault:
                continue
            if status == 200:
                self.say('service', f'{path} was answered well: {body}')

    async def watch(self, end: Any) -> None:
        """No node's generation ever goes back, nor does a refused policy show."""
        seen: dict[str, int] = {}
        while self.town.world.now() < end and not self.over:
            await self.town.world.sleep(0.05)
            for node in self.town.nodes():
                gen = node.state.generation
                if gen < seen.get(node.name, 0):
                    self.say('slip', f'{node.name} went from {seen[node.name]} to {gen}')
                seen[node.name] = gen
                if node.state.policy.get('once_keeping_s') in self.operators.refused:
                    self.say('refused_shows', f'{node.name} has a refused policy')

    # ---- afterwards

    async def after(self) -> None:
        """With all healed: service, kept conversations, and the last acknowledged policy are there."""
        town = self.town
        status, shown = 0, None
        for _ in range(20):
            status, shown = await town.ask('GET', '/v1/policy')
            if status == 200:
                break
            await town.world.sleep(0.5)
        if status != 200:
            self.say('back', 'the core does not answer')
            return
        self.operators.kept(shown)
        await self.continued()

    async def continued(self) -> None:
        """Every kept conversation can be continued now, from any routing node."""
        crowd, clock = self.town.crowd, self.town.world
        kept = [k for k in crowd.kept if clock.now() - k[1] < timedelta(seconds=280)]
        picks = self.dice.sample(kept, min(40, len(kept)))
        for ident, _, history, flow, program in picks:
            body = {
                'route': flow.route,
                'prompt': f'{program} again {self.dice.random()}',
                'prompt_tokens': 100,
                'max_tokens': 16,
                'program': program,
                'budget': 100_000,
                'continues': ident,
                'deadline_ms': 4000,
                'stream': False,
                'shared': flow.route,
            }
            for _n in range(4):
                before = crowd.counts['after.good']
                _, _, wait = await crowd.turn(flow._replace(name='after', deadline_ms=4000), body, history)
                if crowd.counts['after.good'] > before or crowd.counts['after.refused.budget']:
                    break
                await clock.sleep((wait or 500) / 1000)
            else:
                self.say('history_back', f'{ident} cannot be continued: {dict(crowd.counts)}')
                return

    def service(self, last: Any) -> None:
        """How long no good answer came, around each failure."""
        good = self.town.crowd.good
        span = timedelta(seconds=BACK_S)
        for kind, start, end in self.gaps:
            until = min(last, end + span)
            times = [start] + [t for t in good if start <= t <= until] + [until]
            worst = max((b - a for a, b in zip(times, times[1:], strict=False)))
            if worst > span:
                self.say('back', f'after {kind} no good answer for {worst}')
        for at, what in self.town.crowd.away:
            if not any(s <= at <= s + span or e <= at <= e + span for _, s, e in self.gaps):
                self.say('back', f'{at.isoformat()}: {what}, long after {self.gaps}')
                return


async def script(town: Town, seed: int, troubles: int = 4, kinds: list[str] | None = None) -> dict:
    """One history: traffic, operators, failures, and what was found wrong.

    `play(7, 'cartalume', lambda town: script(town, 7))`
    """
    dice = random.Random(seed * 7919)
    trouble = Trouble(town, dice)
    town.world.slow = dice.choice((0.0, 0.01, 0.05))
    town.crowd.budget = dice.choice((30, 60, 2000))
    await town.open()
    world = town.world
    end = world.now() + timedelta(hours=1)  # traffic and operators go on until all is over
    names = kinds or Trouble.kinds()
    town.crowd.spawn(town.crowd.play(end - world.now(), 0.5))
    town.crowd.spawn(trouble.operators.work())
    town.crowd.spawn(trouble.watch(end))
    town.crowd.spawn(trouble.strays(end))
    done = []
    for _ in range(troubles):
        await world.sleep(dice.uniform(1, 3))
        kind = dice.choice(names)
        start = world.now()
        await getattr(trouble, f'do_{kind}')()
        done.append(kind)
        trouble.gaps.append((kind, start, world.now()))
        await world.sleep(dice.uniform(2, 5))
    await world.sleep(BACK_S + 1)
    trouble.over = trouble.operators.over = town.crowd.over = True
    last = world.now()
    await town.crowd.idle()
    await trouble.after()
    trouble.service(last)
    runs = [r for back in town.replicas.values() for r in back.runs]
    trouble.wrong += (
        trouble.operators.wrong + outdated(runs, trouble.operators.acked, timedelta(seconds=2))[:5]
    )
    return {
        'seed': seed,
        'kinds': done,
        'wrong': trouble.wrong + town.judge(),
        'report': town.crowd.report(),
        'acked': len(trouble.operators.acked),
        'trace': len(world.trace),
        'tokens': PROMPT_TOKENS,
        'counters': town.counters('route'),
    }


def rule_of(text: str) -> str:
    """The rule that a finding is about.

    >>> rule_of('2026-01-01T00:00:09+00:00 back: no good answer'), rule_of('once: /a k ran 2 times')
    ('back', 'once')
    """
    words = text.split(' ')
    return next(w for w in words if w.endswith(':')).rstrip(':')


def explore(
    seed: int, deploy: str = 'cartalume', troubles: int = 4, kinds: list[str] | None = None, parts: int = 8
) -> dict:
    """One seed's history: `explore(7)['wrong']`."""
    got = play(seed, deploy, lambda town: script(town, seed, troubles, kinds), parts)
    return {**got, 'broken': sorted({rule_of(text) for text in got['wrong']})}
