"""Names every step that may come next in a modelled cluster."""

from itertools import combinations

from quillstall.replication.copies import ReplicaSet
from quillstall.testbed.model.state import AUTHORITY, Step, World, host_of


def choices(world: World) -> list[Step]:
    """Every step that may come next, in a fixed order."""
    limits, out = world.limits, message_steps(world) if world.setup.single else []
    for name, member in sorted(world.members.items()):
        if member.writes and world.setup.single:
            out.append(Step('sync', name))
        if limits.ticks:
            out.append(Step('tick', name))
        if limits.clock_steps:
            out.append(Step('clock_back', name))
        if limits.crashes:
            out.append(Step('crash', name))
        if limits.commands:
            out.extend(Step('command', name, kind) for kind in world.setup.kinds)
        if limits.losses and spendable(world):
            out.append(Step('lose_disk', name))
        copy = host_of(world.setup).copy(member.state)
        if not world.setup.core and (
            copy is None or copy.replica_set is None or copy.replica_set.epoch < world.seat.epoch
        ):
            out.append(Step('told_seat', name))
    if limits.verdicts and not world.setup.core:
        out.extend(verdicts(world))
    if world.setup.macros:
        out.append(Step('settle'))
        out.extend(Step('settle_without', name) for name in sorted(world.members))
        out.extend(Step('settle_stalled', name) for name in sorted(world.members))
        out.extend(Step('settle_among', what=side) for side in sides(world))
    return out


def message_steps(world: World) -> list[Step]:
    """What may happen to each message under way; of two that are the same, either will do."""
    limits, out = world.limits, []
    for index, envelope in enumerate(world.messages):
        if envelope in world.messages[:index]:
            continue
        if envelope.to in world.members or envelope.to == AUTHORITY or envelope.is_answer:
            out.append(Step('deliver', what=envelope))
        if limits.timeouts and envelope.waited and envelope.to != AUTHORITY:
            out.append(Step('time_out', what=envelope))
            out.append(Step('lose', what=envelope))
        if limits.duplicates and not envelope.is_answer and envelope.to != AUTHORITY:
            out.append(Step('duplicate', what=envelope))
    return out


def sides(world: World) -> list[tuple]:
    """The halves and the smallest majorities that a network cut in two may leave in touch; of three members
    these are the same as one cut off."""
    names = world.setup.names
    sizes = {(len(names) + 1) // 2, len(names) // 2 + 1} if len(names) > 3 else set()
    return [side for size in sorted(sizes) for side in combinations(names, size)]


def spendable(world: World) -> bool:
    """Whether one more disk may be lost with every rule kept."""
    return world.spent < world.setup.copies - 1


def verdicts(world: World) -> list[Step]:
    """The changes of the replica set that the authority may ask for. It may be wrong about who lives."""
    seat, out = world.seat, []
    spare = [name for name in sorted(world.members) if not seat.includes(name)]
    for leader in [m for m in seat.members if m in world.members]:
        for gone in [m for m in seat.members if m != leader]:
            rest = tuple(m for m in seat.members if m != gone)
            enough = len(rest) >= world.setup.copies or gone not in world.members
            if enough or world.setup.lone_verdicts:
                out.append(Step('verdict', leader, (leader, ReplicaSet(seat.epoch + 1, seat.epoch, *rest))))
            for joiner in spare:
                out.append(
                    Step('verdict', leader, (joiner, ReplicaSet(seat.epoch + 1, seat.epoch, *rest, joiner)))
                )
        if len(seat.members) < world.setup.copies:
            for joiner in spare:
                wider = ReplicaSet(seat.epoch + 1, seat.epoch, *seat.members, joiner)
                out.append(Step('verdict', leader, (joiner, wider)))
    return out
