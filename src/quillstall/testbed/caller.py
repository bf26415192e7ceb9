"""Caller: stand-ins for the clients. They start work by a seeded clock whether or not the last was
answered, follow Retry-After, repeat keyed calls after unknown outcomes, and check every answer."""

import asyncio
import json
from collections import Counter
from datetime import timedelta
from typing import Any

from quillstall.network.web import fetch
from quillstall.runtime.clock import from_ms, ms
from quillstall.runtime.errors import Fault
from quillstall.runtime.process import Context
from quillstall.testbed.deploy import Flow
from quillstall.testbed.replica import digest, memory

PROMPT_TOKENS = 14_000
TALK_TOKENS = 300
SLACK = from_ms(250)
AWAY = ('store_away', 'no_lease', 'not_kept', 'outcome_unknown')


def shared_text(route: str, count: int) -> str:
    """The part of a prompt that all turns of a route share, of so many letters.

    >>> shared_text('quote', 12)
    'quote 0 quot'
    """
    step = len(route) + 8
    return ''.join(f'{route} {n} ' for n in range(count // (step - 6) + 1))[:count]


class Crowd:
    """All callers of one deployment, and what they have seen."""

    def __init__(self, ctx: Context, flows: list[Flow], doors: list[str], name: str = 'crowd'):
        self.ctx = ctx
        self.flows = flows
        self.doors = doors
        self.name = name
        self.counts: Counter = Counter()
        self.wrong: list[str] = []  # rules broken, as callers see them
        self.times: dict[str, list[int]] = {}
        self.keys: dict[str, dict] = {}  # keyed calls: how each ended
        self.kept: list[tuple] = []  # (turn id, when, history) that can be continued
        self.last = 0
        self.tasks: set = set()
        self.budget = 2000
        self.tries = 2  # how often a refused turn comes back
        self.received: Counter = Counter()  # program -> tokens
        self.budgets: dict[str, tuple[int, int]] = {}
        self.stood: Any = lambda door, start: False  # whether a door was frozen since then
        self.over = False
        self.weight = 0  # letters of a first turn's prompt that its whole route shares
        self.ill: list = []  # when work ended otherwise than well
        self.denied: dict[str, str] = {}  # turns that were refused, by the fingerprint of their prompt
        self.told: list[int] = []  # the times to come back
        self.waits: list[int] = []  # how long each refusal took to come
        self.away: list = []  # when part of the fleet was out of reach, by its own word
        self.spans: list = []  # when traffic was brought: (from, until)
        self.good: list = []  # when each good answer came, for time until service is back

    def spawn(self, work: Any) -> None:
        """Start work beside: `crowd.spawn(crowd.talk(flow))`."""
        task = asyncio.ensure_future(work)
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)

    async def play(self, span: timedelta, rate: float = 1.0) -> None:
        """Bring the traffic for a while, `rate` times as dense: `await crowd.play(from_ms(5000))`."""
        start = self.ctx.clock.now()
        end = start + span
        self.spans.append((start, end))
        await asyncio.gather(*[self.stream(flow, end, rate) for flow in self.flows])

    async def stream(self, flow: Flow, end: Any, rate: float) -> None:
        clock, dice = self.ctx.clock, self.ctx.rng
        while True:
            await clock.sleep(timedelta(seconds=dice.expovariate(flow.per_s * rate)))
            if clock.now() >= end or self.over:
                return
            self.last += 1
            self.spawn(
                self.talk(flow, f'{self.name}-{flow.name}-{self.last}')
                if flow.kind == 'turn'
                else self.call(flow.name, flow.route, flow.path, flow.deadline_ms, flow.keyed)
            )

    async def idle(self, most: timedelta = timedelta(seconds=20)) -> None:
        """Wait for what is under way: `await crowd.idle()`."""
        end = self.ctx.clock.now() + most
        while self.tasks and self.ctx.clock.now() < end:
            left = (end - self.ctx.clock.now()).total_seconds()
            await asyncio.wait(set(self.tasks), timeout=max(0.0, left))

    def door(self) -> str:
        """A routing node, as a client's list of addresses would give it: `crowd.door()`."""
        return self.ctx.rng.choice(self.doors)

    def broken(self, rule: str, text: str) -> None:
        """A rule was broken: `crowd.broken('own_answer', '...')`."""
        self.wrong.append(f'{self.ctx.clock.now().isoformat()} {rule}: {text}')

    def done(self, kind: str, how: str, start: Any, deadline_ms: int, door: str = '') -> None:
        """Count how one piece of work ended: `crowd.done('quote', 'good', start, 3000)`."""
        took = self.ctx.clock.now() - start
        if how == 'good' and took > from_ms(deadline_ms):
            how = 'late'
        self.counts[f'{kind}.{how}'] += 1
        if how != 'good' and not how.endswith('.budget'):
            self.ill.append(self.ctx.clock.now())
        if how.rpartition('.')[2] in AWAY and not self.stood(door, start):
            self.away.append((self.ctx.clock.now(), f'{kind}.{how} at {door}'))
        if how.startswith('refused'):
            self.waits.append(ms(took))
        if how == 'good':
            self.good.append(self.ctx.clock.now())
            self.times.setdefault(kind, []).append(ms(took))
        elif (
            how.startswith('refused') and took > from_ms(deadline_ms) + SLACK and not self.stood(door, start)
        ):
            self.broken('refusal_in_time', f'{kind} {how} after {ms(took)} ms of {deadline_ms}')

    async def talk(self, flow: Flow, program: str, helper: bool = False) -> None:
        """One conversation of a program: its turns, plain calls between, sometimes a helper beside."""
        clock, dice = self.ctx.clock, self.ctx.rng
        history: list = []
        goes, tries = None, 0
        n = 0
        if not helper:
            self.budgets[program] = (self.budget, 16)
        while n < flow.turns:
            common = shared_text(flow.route, self.weight) if n == 0 else ''
            body = {
                'route': flow.route,
                'prompt': f'{common}{program} {"h" if helper else "m"} {n} {dice.random()}',
                'prompt_tokens': PROMPT_TOKENS if n == 0 else TALK_TOKENS,
                'max_tokens': 16,
                'program': program,
                'budget': self.budget,
                'deadline_ms': flow.deadline_ms,
                'stream': dice.random() < 0.7,
                'shared': flow.route,
            }
            if goes:
                body['continues'] = goes
            ident, text, wait = await self.turn(flow, body, history)
            if ident is None:
                tries += 1
                if wait is None or tries > self.tries:
                    return
                await clock.sleep(from_ms(wait))
                continue
            history.append([body['prompt'], text])
            goes = ident
            self.kept.append((ident, clock.now(), list(history), flow, program))
            n += 1
            if n < flow.turns:
                if flow.calls and dice.random() < 0.5:
                    service, _, path = flow.calls[dice.randrange(len(flow.calls))].partition('/')
                    await self.call(
                        'between', service, '/' + path, 2500, path != 'status' and path != 'round'
                    )
                if not helper and dice.random() < flow.helper:
                    self.spawn(self.talk(flow._replace(turns=2, helper=0.0), program, True))
                await clock.sleep(from_ms(flow.think_ms * (0.5 + dice.random())))

    async def turn(self, flow: Flow, body: dict, history: list) -> tuple:
        """One turn: its id, text, and how long to wait if it was refused."""
        start = self.ctx.clock.now()
        door = self.door()
        web = self.ctx.web.open(door, 'POST', '/v1/turns', body, {}, from_ms(flow.deadline_ms + 3000))
        status, heads, lines, code = 0, {}, [], None
        ended = False
        try:
            while True:
                kind, *rest = await web.next()
                if kind == 'head':
                    status, heads = rest
                elif kind == 'line':
                    line = rest[0]
                    lines.append(line)
                    if 'piece' in line:
                        self.received[body['program']] += line['tokens']
                        if ended:
                            self.broken('stream_whole', 'a piece after the end')
                    ended = ended or 'end' in line
                else:
                    code = rest[0]
                    break
        finally:
            web.abort()
        if status == 0:
            self.done(flow.name, f'no_answer.{code}', start, flow.deadline_ms)
            return None, '', 300
        if status != 200:
            return self.refused(flow.name, status, heads, lines, start, flow.deadline_ms, door, body)
        if not body['stream']:
            if code is not None or not lines or 'text' not in lines[0]:
                self.done(flow.name, 'broken', start, flow.deadline_ms)
                return None, '', None
            text, totals = lines[0]['text'], lines[0]
            self.received[body['program']] += totals['usage']['completion_tokens']
        else:
            pieces = [x for x in lines if 'piece' in x]
            if [p['piece'] for p in pieces] != list(range(len(pieces))):
                self.broken('stream_whole', f'pieces {[p["piece"] for p in pieces]}')
            if not lines or 'end' not in lines[-1]:
                how = lines[-1]['error']['code'] if lines and 'error' in lines[-1] else f'cut.{code}'
                self.done(flow.name, f'incomplete.{how}', start, flow.deadline_ms, door)
                return None, '', None
            text, totals = ''.join(p['text'] for p in pieces), lines[-1]
            if totals['pieces'] != len(pieces):
                self.broken('stream_whole', f'{len(pieces)} pieces, {totals["pieces"]} told')
        tag, mem = digest(body['prompt']), memory(history)
        want = ''.join(f'{tag}.{mem}.{n} ' for n in range(min(12, body['max_tokens'])))
        if text != want:
            parts = text.split()
            if not all(p.startswith(tag) for p in parts):
                self.broken('own_answer', f'{body["program"]}: not its own answer')
            elif not all(p.split('.')[1] == mem for p in parts):
                self.broken('history_whole', f'{body["program"]}: another history of {len(history)} turns')
            else:
                self.broken('stream_whole', f'{body["program"]}: {len(parts)} parts')
        spent = self.received[body['program']]
        if spent > body['budget'] + 16:
            self.broken('budget', f'{body["program"]} received {spent} of {body["budget"]}')
        self.done(flow.name, 'good', start, flow.deadline_ms)
        return totals['turn'], text, None

    def refused(
        self,
        name: str,
        status: int,
        heads: dict,
        lines: list,
        start: Any,
        deadline_ms: int,
        door: str,
        body: Any = None,
    ) -> tuple:
        """Count an answer that is no success; how long to wait, if it says so."""
        problem = lines[0] if lines and isinstance(lines[0], dict) else {}
        code = problem.get('code', str(status))
        wait = problem.get('retry_after_ms')
        if wait is not None:
            self.told.append(wait)
        if problem.get('ran') == 'no' and code != 'late':
            self.done(name, f'refused.{code}', start, deadline_ms, door)
            if body is not None:
                self.denied[digest(body['prompt'])] = code
            if status == 503 and (wait is None or 'retry-after' not in heads):
                self.broken('retry_after', f'{name} {code} without a time to come back')
        else:
            self.done(name, f'failed.{code}', start, deadline_ms, door)
        if code in ('turn_unknown', 'turn_expired') and body is not None:
            self.broken('history_kept', f'{body["program"]}: {code} within the keeping time')
        return None, '', wait

    async def call(self, name: str, service: str, path: str, deadline_ms: int, keyed: bool) -> None:
        """One plain call; a keyed one is repeated with its key until its outcome is known."""
        clock = self.ctx.clock
        self.last += 1
        body = {'n': self.last, 'x': self.ctx.rng.random()}
        key = f'{self.name}-{service}-{self.last}'
        heads = {'X-Deadline-Ms': str(deadline_ms), **({'Idempotency-Key': key} if keyed else {})}
        told = (
            self.keys.setdefault(key, {'path': path, 'refused': False, 'ok': False, 'seen': []})
            if keyed
            else {'seen': []}
        )
        for _n in range(3):
            start, door = clock.now(), self.door()
            try:
                status, data, got = await fetch(
                    self.ctx.web,
                    door,
                    'POST',
                    f'/v1/services/{service}{path}',
                    body,
                    heads,
                    from_ms(deadline_ms + 2000),
                )
            except Fault as e:
                self.done(name, f'no_answer.{e.code}', start, deadline_ms)
                told['seen'].append(f'{clock.now().isoformat()} none: {e.code}')
                told['refused'] = False
                await clock.sleep(from_ms(500))
                continue
            if status == 200 and got.get('x-quillstall-source') == 'replica':
                if data['echo'] != digest(json.dumps(body)):
                    self.broken('own_answer', f'{service}{path}: not its own answer')
                told['ok'] = True
                told['refused'] = False
                self.done(name, 'good', start, deadline_ms)
                return
            _, _, wait = self.refused(name, status, got, [data], start, deadline_ms, door)
            told['refused'] = bool(isinstance(data, dict) and data.get('ran') == 'no')
            told['seen'].append(f'{clock.now().isoformat()} {door} {data}')
            if wait is None and not (
                keyed and told['seen'] and not told['refused'] and status >= 409 and status != 422
            ):
                return
            await clock.sleep(from_ms(min(wait or 900, 5000)))

    def refusal_ms(self) -> dict:
        """How soon refusals came: `crowd.refusal_ms()`."""
        v = sorted(self.waits)
        return {'n': len(v), 'p50': v[len(v) // 2], 'p95': v[int(len(v) * 0.95)]} if v else {'n': 0}

    def report(self) -> dict:
        """Counts and times: `crowd.report()['good']`."""
        total = Counter()
        for key, n in self.counts.items():
            total[key.partition('.')[2].partition('.')[0]] += n
        times = {
            k: {'n': len(v), 'p50': sorted(v)[len(v) // 2], 'p95': sorted(v)[int(len(v) * 0.95)]}
            for k, v in self.times.items()
        }
        return {
            'total': dict(total),
            'counts': dict(sorted(self.counts.items())),
            'ms': times,
            'wrong': self.wrong[:20],
            'wrongs': len(self.wrong),
        }
