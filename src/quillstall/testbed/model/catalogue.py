"""The deliberate faults of the model checker, each with a cluster and a scripted run that reveal it."""

from collections.abc import Callable
from contextlib import AbstractContextManager
from typing import NamedTuple

from quillstall.testbed.model import breaks, script
from quillstall.testbed.model.clusters import CLUSTERS
from quillstall.testbed.model.state import Limits, Setup, World

SCRIPT_LIMITS = Limits(commands=9, crashes=9, losses=2, verdicts=9, ticks=99, timeouts=99, duplicates=9)
COMMAND_KINDS = ('write', 'put', 'read', 'repeat', 'begin')


class Break(NamedTuple):
    """A deliberate fault, and the run that reveals it.

    >>> BREAKS['half_is_enough'].setup.core
    True
    """

    patch: Callable[[], AbstractContextManager]
    cluster: str
    steps: str  # separated by semicolons, in the syntax of script.py

    @property
    def setup(self) -> Setup:
        return CLUSTERS[self.cluster]

    def play(self) -> World:
        """Return the world after the scripted run, skipping steps that are impossible:
        `BREAKS['skip_seal'].play()`."""
        setup = self.setup._replace(limits=SCRIPT_LIMITS, kinds=COMMAND_KINDS, lone_verdicts=True)
        return script.play(setup, self.steps.split(';'), strict=False)


BREAKS = {
    'return_before_backups': Break(
        breaks.return_before_backups,
        'partition',
        'write a; cut b',
    ),
    'return_before_own_disk': Break(
        breaks.return_before_own_disk,
        'partition',
        'write a; stall a',
    ),
    'confirm_before_sync': Break(
        breaks.confirm_before_sync,
        'partition',
        'write a; stall b',
    ),
    'accept_old_session': Break(
        breaks.accept_old_session,
        'partition',
        'write a; crash a; tick a; deliver hello a b; stall c; sync b; deliver answer hello a b; deliver '
        'frame a b; sync b; write a; settle',
    ),
    'accept_old_epoch': Break(
        breaks.accept_old_epoch,
        'partition',
        'move b c 2 1 b c; cut a; write b; cut a; read a; settle',
    ),
    'read_without_backups': Break(
        breaks.read_without_backups,
        'partition',
        'move b c 2 1 b c; cut a; write b; cut a; read a; settle',
    ),
    'skip_seal': Break(
        breaks.skip_seal,
        'partition',
        'move b c 2 1 b c; deliver fill b c; sync c; deliver answer fill b c; sync b; deliver follow b c; '
        'sync c; deliver answer follow b c; write a; deliver frame a b; sync b; deliver answer frame a b; '
        'sync a; settle',
    ),
    'forget_seal': Break(
        breaks.forget_seal,
        'partition',
        'move b c 2 1 b c; deliver fill b c; sync c; deliver answer fill b c; sync b; deliver follow b c; '
        'sync c; deliver answer follow b c; crash b; write a; cut c; tick a; cut c; settle',
    ),
    'forget_seat': Break(
        breaks.forget_seat,
        'partition',
        'move b c 2 1 b c; cut a; write b; cut a; crash b; write a; cut c; tick a; cut c; write a; cut c',
    ),
    'propose_early': Break(
        breaks.propose_early,
        'partition',
        'move b c 2 1 b c; deliver fill b c; write a; deliver frame a b; sync b; sync a; deliver answer frame '
        'a b; settle',
    ),
    'joiner_drops_changes': Break(
        breaks.joiner_drops_changes,
        'partition',
        'move b c 2 1 b c; deliver fill b c; write a; deliver frame a b; sync b; sync a; deliver answer frame '
        'a b; settle',
    ),
    'always_fit': Break(
        breaks.always_fit,
        'partition',
        'write a; settle; move b c 2 1 b c; settle; write b; settle; move c a 3 2 c a; move b a 3 2 b a; '
        'settle',
    ),
    'fill_again': Break(
        breaks.fill_again,
        'partition',
        'move b c 2 1 b c; give_up fill b c; move a c 2 1 a c; deliver fill a c; sync c; write a; deliver '
        'frame a b; sync b; deliver answer frame a b; sync a; deliver answer fill a c; deliver follow a c; '
        'sync c; deliver answer follow a c; sync a; deliver follow a c; sync c; deliver answer follow a c; '
        'deliver seat a authority; deliver fill b c; sync c',
    ),
    'skip_fill': Break(
        breaks.skip_fill,
        'partition',
        'write a; settle; move b c 2 1 b c; settle',
    ),
    'joiner_keeps_rows': Break(
        breaks.joiner_keeps_rows,
        'partition',
        'write a; settle; move b c 2 1 b c; cut a; write b; cut a; move b a 3 2 b a; settle',
    ),
    'return_on_grant': Break(
        breaks.return_on_grant,
        'partition-of-three',
        'write a; stall a; move c c 2 1 a c; stall a; told_seat a',
    ),
    'ignore_longer_tail': Break(
        breaks.ignore_longer_tail,
        'partition',
        'write a; deliver frame a b; sync b; crash a; tick a; settle; write a; settle',
    ),
    'forget_repeats': Break(
        breaks.forget_repeats,
        'partition-repeats',
        'put a; settle; repeat a; settle',
    ),
    'ignore_base': Break(
        breaks.ignore_base,
        'partition',
        'write a; write a; settle',
    ),
    'begin_again': Break(
        breaks.begin_again,
        'partition-work',
        'begin a; settle; begin a; settle',
    ),
    'grant_any_base': Break(
        breaks.grant_any_base,
        'partition-of-four-members',
        'move a c 2 1 a c; move b d 2 1 b d; settle; write a; settle; write b; settle',
    ),
    'promise_before_sync': Break(
        breaks.promise_before_sync,
        'core-of-five',
        'tick b; deliver ballot b b; deliver ballot b c; deliver ballot b d; sync b; sync c; deliver answer '
        'ballot b b; deliver answer ballot b c; deliver answer ballot b d; crash d; tick a; among a d e; '
        'write a; among a d e; among b c d; read b; among b c d',
    ),
    'forget_promise': Break(
        breaks.forget_promise,
        'core-of-five',
        'tick b; deliver ballot b b; deliver ballot b c; deliver ballot b d; sync b; sync c; sync d; deliver '
        'answer ballot b b; deliver answer ballot b c; deliver answer ballot b d; crash d; tick a; among a d '
        'e; write a; among a d e; among b c d; read b; among b c d',
    ),
    'vote_twice': Break(
        breaks.vote_twice,
        'core-of-five',
        'tick b; deliver ballot b b; deliver ballot b c; deliver ballot b d; sync b; sync c; sync d; deliver '
        'answer ballot b b; deliver answer ballot b c; deliver answer ballot b d; tick a; among a d e; write '
        'a; among a d e; among b c d; read b; among b c d',
    ),
    'accept_lower': Break(
        breaks.accept_lower,
        'core-of-five',
        'tick b; deliver ballot b b; deliver ballot b c; deliver ballot b d; sync b; sync c; sync d; deliver '
        'answer ballot b b; deliver answer ballot b c; deliver answer ballot b d; deliver fill b c; sync c; '
        'deliver answer fill b c; sync b; deliver follow b c; sync c; deliver answer follow b c; tick a; '
        'among a d e; tick a; among a d e; tick a; among a d e; tick a; among a d e; among b c d; write a; '
        'among a d e; read b; among b c d',
    ),
    'ignore_newest': Break(
        breaks.ignore_newest,
        'core-of-five',
        'tick b; among b c d; write b; among b c d; tick a; among a d e; tick a; among a d e; tick a; among a '
        'd e; write a; among a d e; read b; among b c d',
    ),
    'grant_what_one_accepted': Break(
        breaks.grant_what_one_accepted,
        'core-of-five',
        'tick b; deliver ballot b b; deliver ballot b c; deliver ballot b d; sync b; sync c; sync d; deliver '
        'answer ballot b b; deliver answer ballot b c; deliver answer ballot b d; deliver fill b c; sync c; '
        'deliver answer fill b c; sync b; deliver follow b c; sync c; deliver answer follow b c; deliver '
        'accept b b; sync b; deliver answer accept b b; lose accept b c; lose accept b d; lose accept b e; '
        'lose accept b a; lose ballot b e; lose ballot b a; tick b; tick b; tick b; among b c d; read b; '
        'among b c d; tick a; among a d e; tick a; among a d e; tick a; among a d e; write a; among a d e; '
        'read b; among b c d',
    ),
    'show_unconfirmed': Break(
        breaks.show_unconfirmed,
        'core-of-three',
        'read a; write a; deliver frame a b; deliver answer frame a b',
    ),
    'half_is_enough': Break(
        breaks.half_is_enough,
        'core-of-four',
        'tick b; among b c; write b; among b c; tick a; among a d; tick a; among a d; tick a; among a d; '
        'write a; among a d; read b; among b c',
    ),
}
