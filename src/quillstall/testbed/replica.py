"""Replica: stand-ins for the back ends, a model replica and an application replica.

Each keeps a log of what it ran, under the key it came with, so that double runs are seen. Each can
be told to misbehave: lose its answers, cut streams, stall, be slow, or refuse all.
"""

import asyncio
import json
from collections import Counter, OrderedDict
from datetime import timedelta
from hashlib import blake2b
from typing import Any

from quillstall.runtime.clock import from_ms, ms
from quillstall.runtime.process import Context

MODES = ('well', 'lose', 'cut', 'stall', 'slow', 'refuse')


def digest(*texts: str) -> str:
    """A short fingerprint, for callers to know their own answer by.

    >>> digest('a', 'b') == digest('a', 'b') != digest('ab')
    True
    """
    return blake2b('\0'.join(texts).encode(), digest_size=6).hexdigest()


def flat(prompt: Any) -> str:
    """A prompt or list of messages as one text.

    >>> flat([{'content': 'a'}, {'content': 'b'}])
    'a|b'
    """
    return prompt if isinstance(prompt, str) else '|'.join(m['content'] for m in prompt)


def memory(history: list) -> str:
    """The fingerprint of the turns that came before.

    >>> memory([]) == memory([['q', 'a']])
    False
    """
    return digest(*[flat(p) + '>' + t for p, t in history])


class Replica:
    """One stand-in back end."""

    def __init__(self, ctx: Context):
        s = ctx.startup
        self.ctx = ctx
        self.kind = s['kind']
        self.slots = s['slots']
        self.prefill = s.get('prefill_per_s', 20_000)
        self.step = from_ms(s.get('step_ms', 20))
        self.work = from_ms(s.get('work_ms', 60))
        self.kv_most = s.get('kv_tokens', 400_000)
        self.mode, self.share = 'well', 1.0
        self.active = 0
        self.peak = 0
        self.line: list[asyncio.Future] = []
        self.warm: OrderedDict = OrderedDict()
        self.counts: Counter = Counter()
        self.runs: list = []
        self.last_new: str | None = None

    async def slot(self, gone: asyncio.Future) -> bool:
        """Wait for one of the slots; False if the caller left first."""
        if self.active >= self.slots:
            wait = asyncio.get_running_loop().create_future()
            self.line.append(wait)
            self.counts['queued'] += 1
            await asyncio.wait((wait, gone), return_when=asyncio.FIRST_COMPLETED)
            if not wait.done():
                self.line.remove(wait)
                return False
        else:
            self.active += 1
        self.peak = max(self.peak, self.active)
        return True

    def free(self) -> None:
        """Give the slot to the next, or back: `replica.free()`."""
        while self.line:
            wait = self.line.pop(0)
            if not wait.done():
                wait.set_result(None)
                return
        self.active -= 1

    def uncached(self, body: dict) -> int:
        """How many prompt tokens must be worked off; the rest is warm."""
        shared, total = body.get('shared') or '', body['prompt_tokens']
        talk = body['history'][0][0] if body['history'] else None
        keys = [k for k in (shared and f's/{shared}', talk and f't/{digest(flat(talk))}') if k]
        warm = max([min(self.warm.get(k, 0), int(total * 0.97)) for k in keys] or [0])
        keys.append(f't/{digest(flat(body["prompt"]))}' if not body['history'] else keys[-1])
        for k in keys:
            self.warm[k] = int(total * 0.9) if k.startswith('s/') else total
            self.warm.move_to_end(k)
        while sum(self.warm.values()) > self.kv_most and len(self.warm) > 1:
            self.warm.popitem(last=False)
        return total - warm

    async def serve(self, call: Any, out: Any) -> None:
        """One request: `await replica.serve(call, out)`."""
        path = call.path.partition('?')[0]
        if path == '/report':
            self.counts['probes'] += 1
            await out.respond(
                200, {'queued': len(self.line), 'active': self.active, 'kv_used': sum(self.warm.values())}
            )
            return
        if path == '/control':
            body = json.loads(call.body)
            self.mode, self.share = body['mode'], body.get('share', 1.0)
            await out.respond(200, {'ok': True})
            return
        if path == '/log':
            await out.respond(200, {'runs': self.runs, 'counts': dict(self.counts), 'peak': self.peak})
            return
        mode = self.mode if self.ctx.rng.random() < self.share else 'well'
        if mode == 'refuse':
            await out.respond(503, {'code': 'replica_full'})
            return
        self.counts['asked'] += 1
        self.last_new = self.ctx.clock.now().isoformat()
        if not await self.slot(out.disconnected):
            return
        try:
            if path == '/turn':
                await self.turn(json.loads(call.body), call, out, mode)
            else:
                await self.app(path, call, out, mode)
        finally:
            self.free()

    async def rest(self, span: timedelta, gone: asyncio.Future) -> bool:
        """Work for a while; True if the caller left meanwhile."""
        work = asyncio.ensure_future(self.ctx.clock.sleep(span))
        await asyncio.wait((work, gone), return_when=asyncio.FIRST_COMPLETED)
        work.cancel()
        return gone.done()

    def record(self, key: str, path: str, call: Any, need: int = 0) -> None:
        self.runs.append(
            {
                'at': self.ctx.clock.now().isoformat(),
                'key': key,
                'path': path,
                'task': call.headers.get('x-task'),
                'left': int(call.headers.get('x-deadline-ms', 0)),
                'need': need,
                'generation': int(call.headers.get('x-generation', 0)),
            }
        )

    async def turn(self, body: dict, call: Any, out: Any, mode: str) -> None:
        """A model turn: prefill by uncached tokens, then pieces, then the usage."""
        tag, mem = digest(flat(body['prompt'])), memory(body['history'])
        fresh = self.uncached(body)
        load = 1 + 0.5 * self.active / self.slots
        slow = 10 if mode == 'slow' else 1
        need = (timedelta(seconds=fresh / self.prefill) + self.step * min(body['max_tokens'], 12)) * load
        self.record(tag, '/turn', call, ms(need))
        if mode == 'stall':
            await out.disconnected
            self.counts['aborted'] += 1
            return
        if await self.rest(timedelta(seconds=fresh / self.prefill) * load * slow, out.disconnected):
            self.counts['aborted'] += 1
            return
        self.counts['prefilled'] += body['prompt_tokens']
        count = min(body['max_tokens'], 12)
        await out.head(200, {})
        for n in range(count):
            if await self.rest(self.step * load * slow, out.disconnected):
                self.counts['aborted'] += 1
                return
            if mode == 'cut' and n == count // 2:
                out.abort()
                return
            await out.send_line({'piece': n, 'text': f'{tag}.{mem}.{n} ', 'tokens': 1})
            self.counts['tokens'] += 1
        if mode == 'lose':
            out.abort()
            return
        await out.send_line(
            {'done': True, 'usage': {'prompt_tokens': body['prompt_tokens'], 'completion_tokens': count}}
        )
        await out.end()
        self.counts['done'] += 1

    async def app(self, path: str, call: Any, out: Any, mode: str) -> None:
        """A plain call: a little work, then an answer that shows whose it is."""
        key = call.headers.get('idempotency-key', '')
        self.record(key, path, call)
        if mode == 'stall':
            await out.disconnected
            return
        await self.ctx.clock.sleep(self.work * (10 if mode == 'slow' else 1))
        self.counts['done'] += 1
        if mode in ('lose', 'cut'):
            out.abort()
            return
        await out.respond(200, {'path': path, 'echo': digest(call.body.decode()), 'key': key})


async def run(ctx: Context, ready: Any = None) -> None:
    """A replica from its context to its end: `await run(ctx)`."""
    replica = Replica(ctx)
    await ctx.web.serve(ctx.startup['http'], replica.serve)
    if ready:
        ready.set_result(replica)
    await asyncio.get_running_loop().create_future()
