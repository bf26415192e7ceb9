"""Runs that are written down: one step a line, as the scenarios of the model give them."""

from quillstall.replication.copies import ReplicaSet
from quillstall.testbed.model.choices import choices
from quillstall.testbed.model.state import Envelope, Setup, Step, World
from quillstall.testbed.model.world import advance, begin

CLIENT_WORDS = ('write', 'put', 'read', 'repeat', 'begin')
MESSAGE_WORDS = {'deliver': 'deliver', 'give_up': 'time_out', 'lose': 'lose', 'duplicate': 'duplicate'}
SHORT = {'settle_without': 'cut', 'settle_stalled': 'stall'}


class ScriptError(Exception):
    """A line that is no step which may come next."""


def play(setup: Setup, lines: list[str], strict: bool = True) -> World:
    """The world after the steps of a script; it ends at the first broken invariant. A step that cannot come
    next is an error; if not `strict`, it is left out.

    >>> play(Setup(macros=True), ['write a', 'settle', 'read a', 'settle']).ledger.top.generation
    1
    """
    world = begin(setup)
    for line in filter(None, map(str.strip, lines)):
        if world.broken:
            break
        try:
            world = advance(world, possible(world, line))
        except ScriptError:
            if strict:
                raise
    return world


def possible(world: World, line: str) -> Step:
    """The step that a line names, if it may come next."""
    step = read(world, line.split())
    if step not in choices(world):
        raise ScriptError(f'{line!r} cannot come next')
    return step


def read(world: World, words: list[str]) -> Step:
    """The step that a line names: `deliver frame a b`, `deliver answer frame a b`, `write a`,
    `move b c 2 1 b c` (leader, joiner, replica set), `cut a`, `among a b c`, `stall a`, or any kind with its
    member.

    >>> read(None, ['crash', 'a'])
    Step(kind='crash', name='a', what=None)
    """
    kind, rest = words[0], words[1:]
    if kind in MESSAGE_WORDS:
        return Step(MESSAGE_WORDS[kind], what=message(world, rest))
    if kind in CLIENT_WORDS:
        return Step('command', rest[0], kind)
    if kind == 'move':
        leader, joiner, epoch, base, *names = rest
        return Step('verdict', leader, (joiner, ReplicaSet(int(epoch), int(base), *names)))
    if kind == 'cut':
        return Step('settle_without', rest[0])
    if kind == 'among':
        return Step('settle_among', what=tuple(rest))
    if kind == 'stall':
        return Step('settle_stalled', rest[0])
    return Step(kind, rest[0] if rest else '')


def message(world: World, words: list[str]) -> Envelope:
    """The oldest message under way of this kind, sender and receiver; an answer goes back to its asker.
    One that its sender has given up comes after the others."""
    answered = words[0] == 'answer'
    kind, sender, to = words[1:] if answered else words
    for envelope in sorted(world.messages, key=lambda e: not e.waited):
        found = (envelope.is_answer, envelope.sender, envelope.to) == (answered, sender, to)
        if found and kind in (kind_of(envelope), 'any'):
            return envelope
    raise ScriptError(f'no message {" ".join(words)!r} is under way')


def kind_of(envelope: Envelope) -> str:
    """What a message is about.

    >>> kind_of(Envelope('a', 1, 'b', {'k': 'hello'}, ('g', 'p', 1, 'hello', 'b')))
    'hello'
    """
    if envelope.tag[0] == 'b':
        return 'ballot' if envelope.tag[2] == 'ask' else 'accept'
    if envelope.tag[0] == 'g':
        return envelope.tag[3]
    return envelope.tag[0]


def line_of(step: Step) -> str:
    """A step as a line of a script, the other way round from `read`.

    >>> line_of(Step('command', 'a', 'write')), line_of(Step('settle_stalled', 'b'))
    ('write a', 'stall b')
    """
    if step.kind in MESSAGE_WORDS.values():
        word = next(w for w, kind in MESSAGE_WORDS.items() if kind == step.kind)
        envelope = step.what
        answer = 'answer ' if envelope.is_answer else ''
        return f'{word} {answer}{kind_of(envelope)} {envelope.sender} {envelope.to}'
    if step.kind == 'command':
        return f'{step.what} {step.name}'
    if step.kind == 'verdict':
        joiner, seat = step.what
        return f'move {step.name} {joiner} {" ".join(map(str, seat))}'
    if step.kind == 'settle_among':
        return f'among {" ".join(step.what)}'
    return f'{SHORT.get(step.kind, step.kind)} {step.name}'.strip()
