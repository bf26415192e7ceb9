"""The command `quillstall-testbed check`: searches the modelled clusters, or looks for deliberate faults."""

from cleo.commands.command import Command
from cleo.helpers import option

from quillstall.testbed.model import report, retention
from quillstall.testbed.model.catalogue import BREAKS, Break
from quillstall.testbed.model.clusters import CLUSTERS, searched
from quillstall.testbed.model.explorer import Outcome, breadth_first, random_walks

BREAK_SEEDS = 8  # how many times the walks are taken with another seed before a fault counts as not found


class Check(Command):
    """Check the replication and election reducers."""

    name = 'check'
    description = (
        'Run the replication and election reducers through orders of events, and check their promises'
    )
    options = [
        option(
            'clusters', None, f'with commas: {", ".join(CLUSTERS)}', flag=False, default=','.join(CLUSTERS)
        ),
        option('depth', None, 'look at all runs of so many steps', flag=False, default='3'),
        option('states', None, 'but at no more states than this', flag=False, default='100000'),
        option('seconds', None, 'and for no longer than this', flag=False, default='60'),
        option('walks', None, 'random walks after that', flag=False, default='1000'),
        option('length', None, 'steps of each', flag=False, default='60'),
        option('seed', None, 'the walks of another seed are others', flag=False, default='1'),
        option('retention', None, 'take the model of retained turns instead', flag=True),
        option('breaks', None, 'take the written runs of the deliberate faults instead', flag=True),
        option('find', None, 'with --breaks, look for each by random walks', flag=True),
        option('only', None, 'these faults, with commas', flag=False, default=','.join(BREAKS)),
    ]

    def handle(self) -> int:
        if self.option('retention'):
            return self.search_retention()
        if self.option('breaks'):
            return self.look_for_breaks()
        broken = 0
        for name in self.option('clusters').split(','):
            broken += self.search(name)
        return 1 if broken else 0

    def search(self, name: str) -> bool:
        """Search one cluster, all short runs first; whether an invariant broke."""
        depth, states = int(self.option('depth')), int(self.option('states'))
        if depth:
            outcome = breadth_first(searched(name), depth, states, float(self.option('seconds')))
            self.show(f'{name}, breadth-first', outcome)
            if outcome.broken:
                return True
        walks, length = int(self.option('walks')), int(self.option('length'))
        if not walks:
            return False
        outcome = random_walks(CLUSTERS[name], walks, length, int(self.option('seed')))
        self.show(f'{name}, walks', outcome)
        return bool(outcome.broken)

    def search_retention(self) -> int:
        """Take every order of steps of the model of retained turns; how the command ends."""
        result = retention.search(retention.Limits())
        self.line(f'retained turns: {result.states} states, {result.copied} turns stored whole')
        self.line(result.broken or 'no promise broken')
        return 1 if result.broken else 0

    def look_for_breaks(self) -> int:
        """Take the written run of each deliberate fault, or walk until it is found; how the command ends."""
        missed = 0
        for name in self.option('only').split(','):
            if not self.option('find'):
                missed += not self.take_run(name)
                continue
            outcome = find_break(BREAKS[name], int(self.option('walks')), int(self.option('length')))
            self.show(name, outcome)
            missed += not outcome.broken
        return 1 if missed else 0

    def take_run(self, name: str) -> bool:
        """Whether the written run breaks an invariant with the fault, and none without it."""
        with BREAKS[name].patch():
            broken = BREAKS[name].play().broken
        sound = BREAKS[name].play().broken
        self.line(f'{name}: {broken or "NOT FOUND"}{", and without it " + sound if sound else ""}')
        return bool(broken and not sound)

    def show(self, title: str, outcome: Outcome) -> None:
        self.line(f'{title}: {report.line(outcome)}')
        for text in report.steps(outcome):
            self.line(f'   {text}')


def find_break(fault: Break, walks: int, length: int) -> Outcome:
    """Walk with a deliberate fault, with one seed after another, until an invariant breaks. Every other
    seed takes large steps only."""
    with fault.patch():
        for seed in range(1, BREAK_SEEDS + 1):
            setup = fault.setup._replace(single=seed % 2 == 0)
            outcome = random_walks(setup, walks, length, seed)
            if outcome.broken:
                break
    return outcome
