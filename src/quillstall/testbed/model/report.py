"""Prints what a search found, a counterexample as a numbered list of steps."""

from quillstall.testbed.model.explorer import Outcome
from quillstall.testbed.model.script import line_of
from quillstall.testbed.model.state import AUTHORITY, Envelope, Step, World


def line(outcome: Outcome) -> str:
    """The figures of a search in one line.

    >>> line(Outcome(12, 3, 0.5))
    '12 states, depth 3, complete, 0.5 s: holds'
    """
    walks = f', {outcome.walks} walks' if outcome.walks else ''
    whole = 'complete' if outcome.whole and not outcome.broken else 'bounded'
    verdict = f'BROKEN {outcome.broken}' if outcome.broken else 'holds'
    depth = f'{outcome.states} states, depth {outcome.depth}, {whole}{walks}'
    return f'{depth}, {outcome.seconds:.1f} s: {verdict}'


def steps(outcome: Outcome) -> list[str]:
    """The counterexample, one numbered line a step."""
    out = [f'{n}. {describe(step, world)}' for n, (step, world) in enumerate(outcome.trace, 1)]
    return out + ['as a script: ' + '; '.join(line_of(step) for step, _ in outcome.trace)] if out else out


def describe(step: Step, world: World) -> str:
    """One step in words.

    >>> describe(Step('crash', 'a'), None)
    'a crashes, loses what it had not synced, and starts again from its disk'
    """
    if step.kind in ('deliver', 'duplicate', 'time_out', 'lose'):
        return f'{MESSAGE_STEPS[step.kind]}: {message(step.what)}'
    if step.kind == 'command':
        return f'a client sends a {step.what} to {step.name}'
    if step.kind == 'verdict':
        joiner, seat = step.what
        return f'the authority asks {step.name} to lead a move to {tuple(seat)}, joiner {joiner}'
    if step.kind == 'settle_among':
        return f'a cut leaves {", ".join(step.what)} in touch: what is under way among them is delivered and synced'
    return f'{step.name} {WORDS[step.kind]}'.strip()


def message(envelope: Envelope) -> str:
    if envelope.is_answer:
        return f'answer of {envelope.to} to {envelope.sender} ({envelope.tag[-2:]}): {envelope.answer}'
    if envelope.to == AUTHORITY:
        return f'{envelope.sender} proposes {envelope.message}'
    kind = envelope.message['k']
    shown = {k: v for k, v in envelope.message.items() if k in ('seat', 'epoch', 'changes', 'seq', 'rows')}
    return f'{kind} of {envelope.sender} to {envelope.to} {shown}'


MESSAGE_STEPS = {
    'deliver': 'delivered',
    'duplicate': 'delivered, and a copy stays under way',
    'time_out': 'its sender gives up, but it may still arrive',
    'lose': 'lost, and its sender gives up',
}
WORDS = {
    'sync': 'completes its oldest write',
    'crash': 'crashes, loses what it had not synced, and starts again from its disk',
    'lose_disk': 'is lost with its disk',
    'tick': 'has its clock advanced past every silence it bears, and ticks',
    'clock_back': 'has its clock set back',
    'told_seat': 'is told the replica set in force',
    'settle': 'everything under way is delivered and synced',
    'settle_stalled': 'has a disk that stalls: everything is delivered, and all else synced',
    'settle_without': 'is cut off: everything else under way is delivered and synced',
}
