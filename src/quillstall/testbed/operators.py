"""Operators: stand-ins for the people who change policies, of a simulated or a real deployment: now and
then one change, sometimes two at once from one base, sometimes one with faults in it."""

import asyncio
import random
from typing import Any

from quillstall.testbed.history import History
from quillstall.testbed.judge import not_linearizable
from quillstall.testbed.linearizability import Outcome

MARK = 'once_keeping_s'  # the field of a policy that says which operator's change it is
OUTCOMES = {200: Outcome.TAKEN, 409: Outcome.CONFLICT, 422: Outcome.INVALID}


class Operators:
    """The operators of one place: it has `ask` for requests to its cores, and `clock`.

    >>> Operators(None, random.Random(1)).acked
    []
    """

    def __init__(self, place: Any, dice: random.Random):
        self.place = place
        self.dice = dice
        self.acked: list[tuple] = []  # acknowledged policies: (generation, marker, when)
        self.refused: list[int] = []  # markers of policies that were refused
        self.wrong: list[str] = []
        self.history = History(lambda: asyncio.get_running_loop().time())
        self.marker = 0
        self.over = False
        self.pause_s = (0.3, 2.5)  # between changes, at least and at most

    def say(self, rule: str, text: str) -> None:
        """A rule was broken: `operators.say('invalid', '...')`."""
        self.wrong.append(f'{self.place.clock.now().isoformat()} {rule}: {text}')

    def told(self, generation: int) -> None:
        """A change was acknowledged this moment; who can see inside the nodes looks now: `operators.told(3)`."""

    async def rest(self, least: float, most: float) -> None:
        """Wait for some seconds: `await operators.rest(1, 2)`."""
        await self.place.sleep(self.dice.uniform(least, most))

    async def work(self) -> None:
        """Change the policy until it is over: `await operators.work()`."""
        while not self.over:
            await self.rest(*self.pause_s)
            if self.dice.random() < 0.2:
                status, body = await self.place.ask('PATCH', '/v1/policy', {'keeping_s': -1})
                if status == 200:
                    self.say('invalid', 'a faulty policy was taken')
                continue
            ticket = self.history.begin_read()
            status, shown = await self.place.ask('GET', '/v1/policy')
            if status != 200:
                continue
            self.history.end_read(ticket, mark_of(shown['policy']))
            await self.change(shown)
            if self.dice.random() < 0.4:
                await self.change(shown)  # a second operator with the same base

    def patch(self, mark: int) -> dict:
        """The change that leaves a mark: `operators.patch(1001)`."""
        return {MARK: mark}

    async def change(self, shown: dict) -> None:
        """One change on top of what a core has shown, asked again while its outcome is unknown:
        `await operators.change(shown)`."""
        self.marker += 1
        gen, mark = shown['policy_generation'], 1000 + self.marker
        rid = f'op-{mark}'
        ticket = self.history.begin_change(mark_of(shown['policy']), mark)
        for _ in range(4):
            status, body = await self.place.ask(
                'PATCH', '/v1/policy', self.patch(mark), {'If-Match': f'"{gen}"', 'X-Request-Id': rid}
            )
            if status in OUTCOMES:
                self.history.end(ticket, OUTCOMES[status])
            if status == 200:
                self.acked.append((body['generation'], mark, self.place.clock.now()))
                self.told(body['generation'])
                return
            if status in (409, 422):
                self.refused.append(mark)
                return

    def kept(self, shown: dict) -> None:
        """Hold what the core shows in the end against what was acknowledged: `operators.kept(shown)`."""
        mark = mark_of(shown['policy'])
        self.history.end_read(self.history.begin_read(), mark)
        self.wrong += not_linearizable(self.history.calls, mark_of(self.place.deploy.policy))
        if self.acked:
            gen, last, _ = max(self.acked)
            if shown['policy_generation'] < gen or (shown['policy_generation'] == gen and mark != last):
                self.say('acknowledged', f'generation {gen} is lost; {shown["policy_generation"]} is there')
        if mark in self.refused:
            self.say('refused_shows', 'the core has a refused policy')
        gens = sorted(g for g, _, _ in self.acked)
        if len(gens) != len(set(gens)):
            self.say('one_wins', f'two policies were acknowledged as one generation: {gens}')


def mark_of(policy: dict | None) -> int:
    """Which operator's change a policy is; 0 for none of theirs.

    >>> mark_of({'once_keeping_s': 1002}), mark_of({})
    (1002, 0)
    """
    return (policy or {}).get(MARK, 0)
