"""Case 2: a kept turn loses what was said before it, and so is not known at any other node."""

import asyncio
import os
import sys
import time

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(os.path.dirname(HERE), 'common'))

import fleet as f  # noqa: E402

RETENTION_S, DOWN_S = 60.0, 3.5
PATH = '/lohu930/stream'


class Line:
    """One program with one line of turns."""

    def __init__(self, name, place, record):
        self.name, self.client, self.record = name, f.Client(place), record
        self.ended = {}

    async def turn(self, ident, previous, plan, deadline_ms, tries=1):
        """One turn: its answer. A failed one is sent again with an id of its own."""
        for attempt in range(tries):
            name = f'{self.name}{ident}{attempt or ""}'
            heads = {
                'X-Quillstall-Request-Id': name,
                'X-Quillstall-Program-Id': f'program{self.name}',
                'X-Quillstall-Session-Id': f'session{self.name}',
                'X-Quillstall-Program-Deadline-Ms': '300000',
                'X-Quillstall-Token-Budget': '4640',
                'X-Quillstall-Token-Usage': '1460,1000',
                'X-Quillstall-Model': 'm',
                'X-Quillstall-Deadline-Ms': str(deadline_ms),
                'X-Stand-In-Plan': plan,
            }
            if previous:
                heads['X-Quillstall-Previous-Turn'] = previous
            self.record.note(f'{name} sent to {self.client.place[0]}, continues {previous}')
            body = f'input of {name};'.encode()
            got = await self.client.ask('POST', PATH, heads, body, deadline_ms / 1000 + 1)
            self.record.note(f'{name} answered: {got}')
            if got.complete and got.status == 200:
                self.ended[name] = time.monotonic()
                return name, got
            if got.status in (400, 401, 402, 403, 404, 410, 413):
                break
            await asyncio.sleep(0.5)
        return name, got


async def long_turn(fleet, record, trouble, start):
    """Line A: each turn is sent while the one before it is kept; the second one takes long."""
    line = Line('a', (fleet['edge-1'].ip, f.HTTP), record)
    first, got = await line.turn('1', None, '4,20', 3000)
    if not got.complete:
        raise f.CannotRun('the first turn was not served')
    await asyncio.sleep(start + 56 - time.monotonic())
    since = time.monotonic() - line.ended[first]
    second, got = await line.turn('2', first, '40,500', 24000)
    if not (got.complete and got.status == 200):
        raise f.CannotRun('the second turn was not served')
    record.note(f'{second} was sent {since:.1f} s after the end of {first}')
    return line, second


async def late_turn(fleet, record, trouble, start):
    """Line B: the second turn is sent when the first one's time has passed, and is served all the same."""
    line = Line('b', (fleet['edge-1'].ip, f.HTTP), record)
    first, got = await line.turn('1', None, '4,20', 3000)
    if not got.complete:
        raise f.CannotRun('the first turn was not served')
    await asyncio.sleep(start + 80 - time.monotonic())
    second, got = await line.turn('2', first, '4,20', 3000)
    return (line, second) if got.complete and got.status == 200 else None


async def case(fleet, record, trouble):
    replicas = [f.Replica(fleet, fleet.replica('huvo11a', n), record) for n in (1, 2)]
    for replica in replicas:
        await replica.open()
    rules = [
        f.rule('r-1', '/lohu930/', 'streaming', 'huvo11a', 25000, retained=True, retention_s=RETENTION_S)
    ]
    await fleet.configure(f.document(7, rules, [f.backend('huvo11a', engine=True)]))
    await fleet.ready(['edge-1', 'edge-2'])
    start = time.monotonic()
    lines = [
        x
        for x in await asyncio.gather(
            long_turn(fleet, record, trouble, start), late_turn(fleet, record, trouble, start)
        )
        if x
    ]
    if trouble:
        fleet['edge-1'].kill()
        for line, _ in lines:
            line.client = f.Client((fleet['edge-2'].ip, f.HTTP))
    await asyncio.sleep(DOWN_S)
    if trouble:
        fleet['edge-1'].start()
    await asyncio.sleep(0.5)
    broken = []
    for line, second in lines:
        since = time.monotonic() - line.ended[second]
        third, got = await line.turn('3', second, '4,20', 3000, tries=3)
        if got.status in (404, 410) and since < RETENTION_S:
            broken.append(
                f'LOST: {third} was answered {got.status}, though {second} had been answered whole {since:.1f} s before'
            )
    return broken


if __name__ == '__main__':
    f.main(HERE, case)
