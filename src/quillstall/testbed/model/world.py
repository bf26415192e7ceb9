"""Runs a modelled cluster: members with the real reducers, a network, disks, clients and an authority.

A world is an immutable value; `advance` takes one step.
"""

from typing import Any

from immutables import Map

from quillstall.controlplane import core_table
from quillstall.replication.copies import Grant, ReplicaSet, StartReconfiguration
from quillstall.runtime.effect import Ask, Done, Heard, Note, Propose, Return, Tick, Told, Write, Wrote
from quillstall.testbed.model import members
from quillstall.testbed.model.invariants import judge, look
from quillstall.testbed.model.members import Command
from quillstall.testbed.model.state import (
    AUTHORITY,
    Envelope,
    Member,
    Operation,
    Setup,
    Step,
    World,
    breach,
    host_of,
)

TICK_MS = 1300  # longer than silences are borne, so that one tick without an answer is suspicious
SETTLE_MOST = 400


def begin(setup: Setup) -> World:
    """A cluster that has just been formed, with everything delivered and synced.

    >>> world = begin(Setup()); len(world.messages), host_of(world.setup).copy(world.members['a'].state).ready
    (0, True)
    """
    host = host_of(setup)
    everyone = Map()
    for name in setup.names:
        everyone = everyone.set(name, Member(host.start(name, Map(), 1, members.time_of(0))))
    seat = host.seat(setup.names, setup.copies)
    world = World(setup, everyone, seat, limits=setup.limits)
    for name in setup.names:
        world = feed(world, name, host.formed(setup.names, setup.copies))
    return settle(world)


def feed(world: World, name: str, event: Any) -> World:
    """Give one member an event and carry out the effects."""
    member = world.members[name]
    host = host_of(world.setup)
    state, effects = host.step(member.state, event, members.time_of(member.clock))
    return perform(world, name, state, effects)


def perform(world: World, name: str, state: Any, effects: tuple) -> World:
    """Carry out the effects of one member's step, in their order."""
    host = host_of(world.setup)
    member = world.members[name]._replace(state=state)
    world = world._replace(members=world.members.set(name, member))
    for effect in effects:
        kind = type(effect)
        member = world.members[name]
        if kind is Write:
            member = member._replace(writes=member.writes + (effect,))
            world = world._replace(members=world.members.set(name, member))
        elif kind is Ask and host.sends(effect.message):
            to = effect.to.split(':')[0]
            world = post(world, Envelope(name, member.starts, to, effect.message, effect.tag))
        elif kind is Propose:
            world = post(world, Envelope(name, member.starts, AUTHORITY, effect.replica_set, ('seat',)))
        elif kind is Done:
            world = returned(world, name, effect.tag, effect.reply)
        elif kind is Return:
            world = answer(world, name, effect)
        elif kind is Note and effect.kind == 'apart':
            world = breach(world, f'apart: {name} cannot agree with a backup: {effect.facts}')
    return world


def post(world: World, envelope: Envelope) -> World:
    return world._replace(messages=world.messages + (envelope,))


def answer(world: World, name: str, effect: Return) -> World:
    """An answer of a member: to a client, or to another member's request."""
    if isinstance(effect.call, tuple):
        return returned(world, name, effect.call, effect.reply)
    member = world.members[name]
    request = member.calls.get(effect.call)
    if request is None:
        return world
    member = member._replace(calls=member.calls.delete(effect.call))
    world = world._replace(members=world.members.set(name, member))
    if not request.waited:
        return world
    return post(world, request._replace(message=None, answer=effect.reply, is_answer=True))


def returned(world: World, name: str, tag: tuple, ret: dict) -> World:
    """A client has its answer: compare it with everything that clients were told before."""
    if tag[0] != 'client':
        return world
    copy = host_of(world.setup).copy(world.members[name].state)
    epoch = copy.replica_set.epoch if copy and copy.replica_set else 0
    return judge(world, name, epoch, tag[1], ret)


def advance(world: World, step: Step) -> World:
    """The world after one step, with every invariant looked at."""
    return look(ACTIONS[step.kind](world, step))


def spend(world: World, what: str) -> World:
    limits = world.limits
    return world._replace(limits=limits._replace(**{what: getattr(limits, what) - 1}))


def without(world: World, envelope: Envelope) -> World:
    index = world.messages.index(envelope)
    return world._replace(messages=world.messages[:index] + world.messages[index + 1 :])


def deliver(world: World, step: Step) -> World:
    return arrive(without(world, step.what), step.what)


def arrive(world: World, envelope: Envelope) -> World:
    """A message reaches whom it is for."""
    if envelope.is_answer:
        member = world.members.get(envelope.sender)
        if member is None or member.starts != envelope.run:
            return world
        return feed(world, envelope.sender, Heard(envelope.tag, envelope.answer))
    if envelope.to == AUTHORITY:
        return decide(world, envelope)
    member = world.members.get(envelope.to)
    if member is None:
        return world
    call = next(n for n in range(len(member.calls) + 1) if n not in member.calls)
    member = member._replace(calls=member.calls.set(call, envelope))
    world = world._replace(members=world.members.set(envelope.to, member))
    return feed(world, envelope.to, Told(call, envelope.message))


def decide(world: World, envelope: Envelope) -> World:
    """The authority's compare-and-set of the replica set, and its word to who asked."""
    part = host_of(world.setup).part
    rows = Map({f'part/{part}': tuple(world.seat)})
    _, ret = core_table.grant_replica_set(rows, {'part': part, 'seat': list(envelope.message)}, None)
    world = world._replace(seat=ReplicaSet(*ret['seat']))
    sender = world.members.get(envelope.sender)
    if sender is None or sender.starts != envelope.run:
        return world
    return feed(world, envelope.sender, Grant(part, world.seat))


def duplicate(world: World, step: Step) -> World:
    """A request arrives twice: once now, and once whenever its copy is delivered."""
    return arrive(spend(world, 'duplicates'), step.what._replace(waited=False))


def time_out(world: World, step: Step) -> World:
    """The sender gives up; the request may still arrive, its answer goes nowhere."""
    world = without(spend(world, 'timeouts'), step.what)
    if not step.what.is_answer:
        world = post(world, step.what._replace(waited=False))
    return give_up(world, step.what)


def lose(world: World, step: Step) -> World:
    return give_up(without(spend(world, 'timeouts'), step.what), step.what)


def give_up(world: World, envelope: Envelope) -> World:
    sender = world.members.get(envelope.sender)
    if sender is None or sender.starts != envelope.run or not envelope.waited:
        return world
    return feed(world, envelope.sender, Heard(envelope.tag, None))


def sync(world: World, step: Step) -> World:
    """The oldest write of a member reaches its disk."""
    member = world.members[step.name]
    write = member.writes[0]
    member = member._replace(writes=member.writes[1:], disk=members.written(member.disk, write.puts))
    world = world._replace(members=world.members.set(step.name, member))
    return feed(world, step.name, Wrote(write.tag))


def crash(world: World, step: Step) -> World:
    """A process loses its memory and its unsynced writes, and starts again from its disk."""
    member = world.members[step.name]
    starts = member.starts + 1
    host = host_of(world.setup)
    state = host.start(step.name, member.disk, starts, members.time_of(member.clock))
    member = member._replace(state=state, writes=(), calls=Map(), starts=starts)
    world = spend(world, 'crashes')
    world = world._replace(members=world.members.set(step.name, member))
    return world._replace(
        messages=tuple(stale(e, step.name) for e in world.messages if not gone(e, step.name))
    )


def stale(envelope: Envelope, name: str) -> Envelope:
    return envelope._replace(waited=False) if envelope.sender == name else envelope


def gone(envelope: Envelope, name: str) -> bool:
    """Answers that nobody waits for any more."""
    return envelope.is_answer and envelope.sender == name


def lose_disk(world: World, step: Step) -> World:
    """A machine is lost with its disk; whoever comes in its place is another member."""
    world = spend(world, 'losses')
    kept = tuple(e for e in world.messages if not gone(e, step.name))
    return world._replace(members=world.members.delete(step.name), messages=kept, spent=world.spent + 1)


def tick(world: World, step: Step) -> World:
    member = world.members[step.name]
    member = member._replace(clock=member.clock + TICK_MS)
    world = spend(world, 'ticks')._replace(members=world.members.set(step.name, member))
    return feed(world, step.name, Tick())


def clock_back(world: World, step: Step) -> World:
    """A member's clock is set back."""
    member = world.members[step.name]
    member = member._replace(clock=member.clock - 4 * TICK_MS)
    return spend(world, 'clock_steps')._replace(members=world.members.set(step.name, member))


def command(world: World, step: Step) -> World:
    """A client sends a command to a member; a `repeat` is the last write, sent again."""
    world = spend(world, 'commands')
    ledger = world.ledger
    number, kind, base = ledger.asked + 1, step.what, ledger.top.generation
    given = Command(kind, number, base)
    if kind == 'repeat':
        given = ledger.last or Command('put', number, base)
    floor = ledger.floors.get(given.label, base)
    ledger = ledger._replace(
        asked=number,
        last=given if kind != 'read' else ledger.last,
        operations=ledger.operations.set(number, Operation(given, floor)),
        floors=ledger.floors.set(given.label, floor),
    )
    world = world._replace(ledger=ledger)
    member = world.members[step.name]
    host = host_of(world.setup)
    state, effects = host.command(member.state, ('client', number), given, members.time_of(member.clock))
    return perform(world, step.name, state, effects)


def verdict(world: World, step: Step) -> World:
    joiner, seat = step.what
    return feed(
        spend(world, 'verdicts'), step.name, StartReconfiguration(host_of(world.setup).part, joiner, seat)
    )


def told_seat(world: World, step: Step) -> World:
    return feed(world, step.name, Grant(host_of(world.setup).part, world.seat))


def settle_all(world: World, step: Step) -> World:
    return settle(world)


def settle_without(world: World, step: Step) -> World:
    return settle(world, away=(step.name,))


def settle_among(world: World, step: Step) -> World:
    return settle(world, away=tuple(n for n in world.setup.names if n not in step.what))


def settle_stalled(world: World, step: Step) -> World:
    return settle(world, stalled=step.name)


def settle(world: World, away: tuple = (), stalled: str = '') -> World:
    """Deliver and sync everything, the oldest first, but what those away send or are sent, and what a
    stalled disk is to sync."""
    for _ in range(SETTLE_MOST):
        ready = [e for e in world.messages if e.sender not in away and e.to not in away]
        dirty = [n for n, m in sorted(world.members.items()) if m.writes and n not in (*away, stalled)]
        if dirty:
            world = sync(world, Step('sync', dirty[0]))
        elif ready:
            world = deliver(world, Step('deliver', what=ready[0]))
        else:
            break
        world = look(world)
        if world.broken:
            break
    return world


ACTIONS = {
    'deliver': deliver,
    'duplicate': duplicate,
    'time_out': time_out,
    'lose': lose,
    'sync': sync,
    'crash': crash,
    'lose_disk': lose_disk,
    'tick': tick,
    'clock_back': clock_back,
    'command': command,
    'verdict': verdict,
    'told_seat': told_seat,
    'settle': settle_all,
    'settle_without': settle_without,
    'settle_among': settle_among,
    'settle_stalled': settle_stalled,
}
