"""Operators: stand-ins for the people who change policies, of a simulated or a real deployment: now and
then one change, sometimes two at once from one base, sometimes one with faults in it."""

import random
from typing import Any


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
        self.marker = 0
        self.over = False

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
            await self.rest(0.3, 2.5)
            if self.dice.random() < 0.2:
                status, body = await self.place.ask('PATCH', '/v1/policy', {'keeping_s': -1})
                if status == 200:
                    self.say('invalid', 'a faulty policy was taken')
                continue
            status, shown = await self.place.ask('GET', '/v1/policy')
            if status != 200:
                continue
            gen = shown['policy_generation']
            await self.change(gen)
            if self.dice.random() < 0.4:
                await self.change(gen)  # a second operator with the same base

    async def change(self, gen: int) -> None:
        """One change from a base, asked again while its outcome is unknown: `await operators.change(3)`."""
        self.marker += 1
        mark = 1000 + self.marker
        rid = f'op-{mark}'
        for _ in range(4):
            status, body = await self.place.ask(
                'PATCH', '/v1/policy', {'once_keeping_s': mark}, {'If-Match': f'"{gen}"', 'X-Request-Id': rid}
            )
            if status == 200:
                self.acked.append((body['generation'], mark, self.place.clock.now()))
                self.told(body['generation'])
                return
            if status in (409, 422):
                self.refused.append(mark)
                return

    def kept(self, shown: dict) -> None:
        """Hold what the core shows in the end against what was acknowledged: `operators.kept(shown)`."""
        mark = (shown['policy'] or {}).get('once_keeping_s')
        if self.acked:
            gen, last, _ = max(self.acked)
            if shown['policy_generation'] < gen or (shown['policy_generation'] == gen and mark != last):
                self.say('acknowledged', f'generation {gen} is lost; {shown["policy_generation"]} is there')
        if mark in self.refused:
            self.say('refused_shows', 'the core has a refused policy')
        gens = sorted(g for g, _, _ in self.acked)
        if len(gens) != len(set(gens)):
            self.say('one_wins', f'two policies were acknowledged as one generation: {gens}')
