"""Troubles of a soak run: which failures come when, drawn from a seed."""

import random
from enum import Enum
from typing import NamedTuple

TROUBLES_LEAST = 2
TROUBLES_MOST = 4
ACT_S = 7.0  # the troubles of one act begin within this time


class Kind(Enum):
    """What happens."""

    KILL = 'kill'  # SIGKILL, started again after a while
    WIPE = 'wipe'  # the same, and the data folder is lost
    PAUSE = 'pause'  # SIGSTOP, then SIGCONT
    CUT = 'cut'  # cut off from all other processes of the fleet
    SPLIT = 'split'  # the processes with a disk are cut into two halves; routing nodes reach both
    LOSE = 'lose'  # links to this process break now and then, so that answers are lost
    TERM = 'term'  # SIGTERM, started again once it has ended
    HUP = 'hup'  # SIGHUP
    KILL_ALL = 'kill_all'  # every process with a disk is killed at once
    REPLICAS = 'replicas'  # model servers fail, stall and babble
    CLIENTS = 'clients'  # clients leave early, send slowly, send garbage
    CHANGES = 'changes'  # the operator changes the policy as fast as it is taken
    FOREIGN = 'foreign'  # killed, and another program answers at its internal address for a while
    ADDRESS_HELD = 'address_held'  # killed, and started while another socket holds its internal address
    FOLDER_LOCKED = 'folder_locked'  # killed, and started while another process uses its data folder
    BODIES = 'bodies'  # clients send large bodies at once
    ENDLESS_REPLICAS = 'endless_replicas'  # model servers send bytes without end
    ENDLESS_LIST = 'endless_list'  # the list of replicas is sent without end
    ENDLESS_PEER = 'endless_peer'  # messages without end come to its internal address
    SERIES = 'series'  # signals to one process, one after another, while it still stops or starts


DISK_KINDS = (Kind.KILL, Kind.PAUSE, Kind.CUT, Kind.LOSE, Kind.TERM)
NODE_KINDS = (Kind.KILL, Kind.PAUSE, Kind.LOSE, Kind.TERM, Kind.HUP)
FLEET_KINDS = (Kind.REPLICAS, Kind.CLIENTS, Kind.CHANGES)
OUTSIDE_KINDS = (Kind.FOREIGN, Kind.ADDRESS_HELD, Kind.FOLDER_LOCKED)
OUTSIDE_SHARE = 0.5  # of the acts with failures have one of these
ENDLESS_KINDS = (Kind.ENDLESS_REPLICAS, Kind.ENDLESS_LIST, Kind.ENDLESS_PEER)
ENDLESS_SHARE = 0.6  # of the acts with failures have one of these
BODIES_SHARE = 0.35  # of the acts with failures
PLANNED = (Kind.TERM, Kind.HUP, Kind.CHANGES)
SERIES_KINDS = (Kind.KILL, Kind.TERM, Kind.HUP, Kind.PAUSE)
PLANNED_SERIES_KINDS = (Kind.TERM, Kind.HUP)
SERIES_SHARE = 0.6  # of the acts have a series
SERIES_STEPS_LEAST = 3
SERIES_STEPS_MOST = 7
SERIES_PAUSE_MOST_S = 1.5  # after a signal; a process takes about as long to start
EARLY_KILL_SHARE = 0.5  # of the runs begin with one
EARLY_KILL_MOST_S = 1.0  # after the first start
SPAN_LEAST_S = 0.4
SPAN_MOST_S = 5.0


class Step(NamedTuple):
    """One signal of a series, and the pause before the next one; a process is stopped for as long by PAUSE.

    >>> Step(Kind.HUP, 0.25).kind.value
    'hup'
    """

    kind: Kind
    pause_s: float


class Trouble(NamedTuple):
    """One failure: when it begins, after the start of its act, and how long it lasts.

    >>> Trouble(Kind.KILL, 'store0', 1.25, 2.0).describe()
    '1.25 s kill store0 for 2.00 s'
    >>> Trouble(Kind.SERIES, 'route0', 1.25, 0.5, (Step(Kind.HUP, 0.1), Step(Kind.TERM, 0.4))).describe()
    '1.25 s series route0 for 0.50 s: hup, 0.10 s, term, 0.40 s'
    """

    kind: Kind
    target: str
    at_s: float
    span_s: float
    steps: tuple[Step, ...] = ()  # of a series

    def describe(self) -> str:
        """The trouble as a line of a report."""
        steps = ', '.join(f'{step.kind.value}, {step.pause_s:.2f} s' for step in self.steps)
        text = f'{self.at_s:.2f} s {self.kind.value} {self.target or "fleet"} for {self.span_s:.2f} s'
        return f'{text}: {steps}' if steps else text


class Act(NamedTuple):
    """Some troubles that overlap, and then a calm time in which service must come back.

    >>> Act((), True).planned
    True
    """

    troubles: tuple[Trouble, ...]
    planned: bool  # stops, reloads and changes only: no request that was read may be lost


def draw_act(dice: random.Random, durable: list[str], routing: list[str]) -> Act:
    """The troubles of one act. One disk is lost at most; other losses may overlap with it.

    >>> act = draw_act(random.Random(4), ['core0', 'store0'], ['route0'])
    >>> act == draw_act(random.Random(4), ['core0', 'store0'], ['route0']), 2 <= len(act.troubles) <= 4
    (True, True)
    """
    planned = dice.random() < 0.25
    count = dice.randint(TROUBLES_LEAST, TROUBLES_MOST)
    troubles = [draw_planned(dice, durable, routing) for _ in range(count)] if planned else []
    may_wipe = not planned
    while len(troubles) < count:
        trouble = draw_trouble(dice, durable, routing, may_wipe)
        may_wipe = may_wipe and trouble.kind is not Kind.WIPE
        troubles.append(trouble)
    return Act(tuple(sorted(troubles, key=lambda trouble: trouble.at_s)), planned)


def draw_planned(dice: random.Random, durable: list[str], routing: list[str]) -> Trouble:
    """One piece of planned work: a stop or a reload of a routing node, or a burst of changes."""
    kind = dice.choice(PLANNED)
    target = '' if kind in FLEET_KINDS else dice.choice(routing)
    return Trouble(kind, target, round(dice.uniform(0, ACT_S), 2), draw_span(dice))


def draw_trouble(dice: random.Random, durable: list[str], routing: list[str], may_wipe: bool) -> Trouble:
    """One failure of any kind."""
    at_s, span_s, lot = round(dice.uniform(0, ACT_S), 2), draw_span(dice), dice.random()
    if lot < 0.15 and may_wipe:
        return Trouble(Kind.WIPE, dice.choice(durable), at_s, span_s)
    if lot < 0.22:
        return Trouble(Kind.SPLIT, '', at_s, span_s)
    if lot < 0.26:
        return Trouble(Kind.KILL_ALL, '', at_s, min(span_s, 2.0))
    if lot < 0.60:
        return Trouble(dice.choice(DISK_KINDS), dice.choice(durable), at_s, span_s)
    if lot < 0.80:
        return Trouble(dice.choice(NODE_KINDS), dice.choice(routing), at_s, span_s)
    return Trouble(dice.choice(FLEET_KINDS), '', at_s, span_s)


def with_series(act: Act, dice: random.Random, durable: list[str], routing: list[str]) -> Act:
    """An act, most often with a series on one process beside its other troubles.

    Beside planned work, a routing node is told to stop and to reload; else any process is killed and stopped as well.

    >>> act = with_series(Act((), True), random.Random(1), ['store0'], ['route0'])
    >>> act.troubles[0].target, {step.kind for step in act.troubles[0].steps} <= set(PLANNED_SERIES_KINDS)
    ('route0', True)
    """
    if dice.random() >= SERIES_SHARE:
        return act
    kinds = PLANNED_SERIES_KINDS if act.planned else SERIES_KINDS
    target = dice.choice(routing if act.planned or dice.random() < 0.5 else durable)
    steps = tuple(
        Step(dice.choice(kinds), round(dice.uniform(0, SERIES_PAUSE_MOST_S), 2))
        for _ in range(dice.randint(SERIES_STEPS_LEAST, SERIES_STEPS_MOST))
    )
    span_s = round(sum(step.pause_s for step in steps), 2)
    series = Trouble(Kind.SERIES, target, round(dice.uniform(0, ACT_S / 2), 2), span_s, steps)
    troubles = (*act.troubles, series)
    return act._replace(troubles=tuple(sorted(troubles, key=lambda trouble: trouble.at_s)))


def with_outside_troubles(act: Act, dice: random.Random, durable: list[str]) -> Act:
    """An act of failures, often with troubles that come from outside of the fleet.

    >>> act = with_outside_troubles(Act((), False), random.Random(3), ['store0'])
    >>> {trouble.kind for trouble in act.troubles} <= {*OUTSIDE_KINDS, Kind.BODIES}
    True
    >>> with_outside_troubles(Act((), True), random.Random(3), ['store0']).troubles
    ()
    """
    if act.planned:
        return act
    troubles = act.troubles
    if dice.random() < OUTSIDE_SHARE:
        at_s = round(dice.uniform(0, ACT_S), 2)
        troubles += (Trouble(dice.choice(OUTSIDE_KINDS), dice.choice(durable), at_s, draw_span(dice)),)
    if dice.random() < BODIES_SHARE:
        troubles += (Trouble(Kind.BODIES, '', round(dice.uniform(0, ACT_S), 2), draw_span(dice)),)
    return act._replace(troubles=tuple(sorted(troubles, key=lambda trouble: trouble.at_s)))


def with_endless_input(act: Act, dice: random.Random, names: list[str]) -> Act:
    """An act of failures, often with something that sends without end.

    >>> act = with_endless_input(Act((), False), random.Random(1), ['store0'])
    >>> [trouble.kind in ENDLESS_KINDS for trouble in act.troubles]
    [True]
    >>> with_endless_input(Act((), True), random.Random(1), ['store0']).troubles
    ()
    """
    if act.planned or dice.random() >= ENDLESS_SHARE:
        return act
    kind = dice.choice(ENDLESS_KINDS)
    target = dice.choice(names) if kind is Kind.ENDLESS_PEER else ''
    trouble = Trouble(kind, target, round(dice.uniform(0, ACT_S), 2), draw_span(dice))
    return act._replace(troubles=tuple(sorted((*act.troubles, trouble), key=lambda row: row.at_s)))


def draw_early_kill(dice: random.Random, durable: list[str]) -> Trouble | None:
    """The kill of a process in the first second of the whole fleet, in some of the runs.

    >>> trouble = draw_early_kill(random.Random(2), ['core0'])
    >>> trouble is None or (trouble.kind is Kind.KILL and trouble.at_s <= EARLY_KILL_MOST_S)
    True
    """
    if dice.random() >= EARLY_KILL_SHARE:
        return None
    at_s = round(dice.uniform(0, EARLY_KILL_MOST_S), 2)
    return Trouble(Kind.KILL, dice.choice(durable), at_s, draw_span(dice))


def draw_span(dice: random.Random) -> float:
    """How long a trouble lasts."""
    return round(dice.uniform(SPAN_LEAST_S, SPAN_MOST_S), 2)
