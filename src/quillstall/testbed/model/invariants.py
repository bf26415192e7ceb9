"""What must hold in every state of the modelled cluster, and for every answer that a client gets."""

from immutables import Map

from quillstall.replication import group
from quillstall.replication.copies import ReplicaSet
from quillstall.testbed.model.members import Command, Observation, observed
from quillstall.testbed.model.state import Ledger, Operation, World, breach, host_of

BEGUN_KEY = 'once/k'  # the stores' row for the work that members.request_of begins


def judge(world: World, name: str, epoch: int, number: int, ret: dict) -> World:
    """Compare an answer with all answers before it, and remember it."""
    ledger = world.ledger
    operation = ledger.operations.get(number)
    if operation is None:
        return breach(world, f'once: command {number} was answered twice')
    ledger = ledger._replace(operations=ledger.operations.delete(number))
    world = world._replace(ledger=ledger)
    if 'fault' in ret:
        return world
    world = judge_leader(world, name, epoch)
    if operation.command.kind == 'begin':
        return judge_begin(world, ret)
    if operation.command.kind == 'read':
        return judge_read(world, operation, seen_by_read(ret))
    return judge_change(world, operation, Observation(ret['generation'], operation.command.label))


def judge_leader(world: World, name: str, epoch: int) -> World:
    """One member answers in an epoch."""
    leaders = world.ledger.leaders
    leader = leaders.get(epoch, name)
    if leader != name:
        return breach(world, f'leader: {leader} and {name} both answered in epoch {epoch}')
    return world._replace(ledger=world.ledger._replace(leaders=leaders.set(epoch, name)))


def judge_read(world: World, operation: Operation, seen: Observation) -> World:
    """A read shows nothing older than what had been answered before it was sent."""
    if seen.generation < operation.floor:
        text = f'back: a read gave generation {seen.generation} after {operation.floor} had been answered'
        return breach(world, text)
    return remember(world, seen)


def judge_change(world: World, operation: Operation, seen: Observation) -> World:
    """A change takes effect once, after all that had been answered before it was sent."""
    command, known = operation.command, world.ledger.generations.get(seen.label)
    if known is not None and known != seen.generation:
        return breach(world, f'once: write {seen.label} took effect as {known} and as {seen.generation}')
    if known is None and seen.generation <= operation.floor:
        text = f'back: a write became generation {seen.generation} after {operation.floor} had been answered'
        return breach(world, text)
    if command.kind == 'write':
        world = judge_winner(world, command)
    return remember(world, seen)


def judge_winner(world: World, command: Command) -> World:
    """Of the changes on one base only one is answered as made."""
    winners = world.ledger.winners
    winner = winners.get(command.base, command.label)
    if winner != command.label:
        return breach(world, f'winner: writes {winner} and {command.label} were both made on {command.base}')
    return world._replace(ledger=world.ledger._replace(winners=winners.set(command.base, command.label)))


def seen_by_read(ret: dict) -> Observation:
    """What a read shows: of a partition its own answer, of the core the operators' view.

    >>> seen_by_read({'generation': 2, 'policy': {'version': 4}}).label
    4
    """
    if 'label' in ret:
        return Observation(ret['generation'], ret['label'])
    return Observation(ret['generation'], (ret['policy'] or {}).get('version', 0))


def judge_begin(world: World, ret: dict) -> World:
    if ret.get('state') != 'fresh':
        return world
    if world.ledger.begun:
        return breach(world, 'begin: two were told to begin the unrepeatable work')
    return world._replace(ledger=world.ledger._replace(begun=1))


def remember(world: World, seen: Observation) -> World:
    """Keep what a client was told; one generation has one writer."""
    ledger: Ledger = world.ledger
    label = ledger.labels.get(seen.generation, seen.label)
    if label != seen.label:
        text = f'winner: generation {seen.generation} was answered as write {label} and as write {seen.label}'
        return breach(world, text)
    return world._replace(
        ledger=ledger._replace(
            labels=ledger.labels.set(seen.generation, seen.label),
            generations=ledger.generations.set(seen.label, seen.generation),
            top=max(ledger.top, seen),
        )
    )


def look(world: World) -> World:
    """The invariants of a state: who holds what clients were told."""
    if world.broken:
        return world
    if world.setup.core:
        world = world._replace(seat=granted(world))
    top = world.ledger.top
    if top.generation:
        need = world.setup.copies - world.spent
        have = [n for n in world.seat.members if n in world.members and holds(world, n, top)]
        if len(have) < need:
            text = f'copies: generation {top.generation} is on the disks of {have} of {list(world.seat)}'
            return breach(world, f'{text}, {need} are needed')
    if world.ledger.begun:
        return look_at_begun(world)
    return world


def look_at_begun(world: World) -> World:
    """Work that a client was told to begin is kept as begun."""
    need = world.setup.copies - world.spent
    have = [n for n in world.seat.members if n in world.members and BEGUN_KEY in rows_on_disk(world, n)]
    if len(have) >= need:
        return world
    return breach(world, f'copies: the begun work is on the disks of {have}, {need} are needed')


def rows_on_disk(world: World, name: str) -> Map:
    return world.members[name].disk.get(host_of(world.setup).part, Map())


def holds(world: World, name: str, top: Observation) -> bool:
    """Whether a member's disk alone would bring back what clients were told, in the replica set in force."""
    part = host_of(world.setup).part
    copy = group.load(name, world.members[name].disk, 0).partitions.get(part)
    if copy is None or not copy.has_all_rows:
        return False
    if copy.replica_set != world.seat and not group.is_eligible(name, copy, world.seat):
        return False
    seen = observed(copy.rows)
    return seen.generation > top.generation or seen == top


def granted(world: World) -> ReplicaSet:
    """The newest replica set that a majority of the voters' disks has accepted in one round."""
    names, count = world.setup.names, {}
    for name in world.members:
        row = world.members[name].disk.get('', Map()).get('witness')
        if row and row[1]:
            round_of = (tuple(row[1]), row[3])
            count[round_of] = count.get(round_of, 0) + 1
    best = world.seat
    for (seat, _), votes in count.items():
        if votes * 2 > len(names) and seat[0] > best.epoch:
            best = ReplicaSet(*seat)
    return best
