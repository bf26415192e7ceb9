"""The clusters that are checked by name."""

from quillstall.testbed.model.state import Limits, Setup

WALKED = Limits(
    commands=8, crashes=3, losses=1, verdicts=4, ticks=14, timeouts=5, duplicates=2, clock_steps=1
)
SEARCHED = Limits(commands=2, crashes=1, losses=1, verdicts=1, ticks=2, timeouts=1, duplicates=1)

PARTITION = Setup(('a', 'b', 'c'), 2, limits=WALKED, macros=True)
CORE = Setup(('a', 'b', 'c'), 2, core=True, limits=WALKED, macros=True)

CLUSTERS = {
    'partition': PARTITION,
    'partition-of-three': Setup(('a', 'b', 'c', 'd'), 3, limits=WALKED._replace(losses=2), macros=True),
    'partition-of-four-members': PARTITION._replace(names=('a', 'b', 'c', 'd')),
    'partition-work': PARTITION._replace(kinds=('begin',)),
    'partition-repeats': PARTITION._replace(kinds=('put', 'repeat', 'read')),
    'partition-lone': PARTITION._replace(lone_verdicts=True),
    'core-of-three': CORE,
    'core-of-four': CORE._replace(names=('a', 'b', 'c', 'd')),
    'core-of-five': CORE._replace(names=('a', 'b', 'c', 'd', 'e')),
}


def searched(name: str) -> Setup:
    """The cluster for a breadth-first search: with fewer troubles, and without the steps that settle all.

    >>> searched('core-of-five').macros
    False
    """
    return CLUSTERS[name]._replace(limits=SEARCHED, macros=False)
