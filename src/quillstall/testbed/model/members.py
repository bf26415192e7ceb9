"""Adapters that let the modelled cluster run the real reducers: a partition's copies, or a whole core process."""

from datetime import UTC, datetime, timedelta
from typing import Any, NamedTuple

from immutables import Map

from quillstall.controlplane import core, core_state, core_table, store_table
from quillstall.replication import ballot, group
from quillstall.replication.copies import Grant, Op, ReplicaSet
from quillstall.runtime.effect import Told

START = datetime(2026, 1, 1, tzinfo=UTC)
PART = 'p00'
CORE_PART = 'core'
SENT_BY_CORE = (*group.KINDS, *ballot.KINDS, 'fleet')  # the messages of a core process that are modelled
FOUNDING = -1  # the call of the message that founds a cluster
EMPTY_POLICY = {'classes': {}, 'routes': {}, 'pools': {}}


class Command(NamedTuple):
    """What a client asks for: a compare-and-set `write`, a `put` on any base, a `read`, or a `begin` that may be
    granted once.

    >>> Command('write', 3, 0).label
    3
    """

    kind: str
    label: int = 0
    base: int = 0


class Observation(NamedTuple):
    """The register as a copy or a client sees it: its generation, and the label of the write that made it.

    >>> Observation(2, 7) > Observation(1, 9)
    True
    """

    generation: int = 0
    label: int = 0


def observed(rows: Any) -> Observation:
    """The register in a table's rows.

    >>> observed({'gen': 2, 'policy': {'version': 5}})
    Observation(generation=2, label=5)
    """
    return Observation(rows.get('gen', 0), (rows.get('policy') or {}).get('version', 0))


def request_of(command: Command) -> dict:
    """The command as the tables take it.

    >>> request_of(Command('begin', 4))['run']
    'run4'
    """
    if command.kind in ('write', 'put'):
        body = {**EMPTY_POLICY, 'version': command.label}
        base = command.base if command.kind == 'write' else None
        return {'op': 'apply', 'body': body, 'base': base, 'id': f'id{command.label}'}
    if command.kind == 'begin':
        run = f'run{command.label}'
        return {'op': 'once_begin', 'key': 'k', 'digest': 'd', 'run': run, 'until': 9e9}
    return {'op': 'read'}


def apply_table(part: str, rows: Map, command: dict, now: datetime) -> tuple[tuple, dict]:
    """The partition's table: the core's own for writes, the stores' own for unrepeatable work.

    >>> apply_table('p', Map({'gen': 3}), {'op': 'read'}, START)[1]['generation']
    3
    """
    if command['op'] == 'read':
        return (), {'ok': True, **observed(rows)._asdict()}
    if command['op'] == 'once_begin':
        return store_table.apply(rows, command, now)
    return core_table.apply(rows, command, now)


class PartitionMember:
    """A store's copies of one partition; the authority is the core's compare-and-set of its replica set."""

    part = PART
    elects = False

    def seat(self, names: tuple, copies: int) -> ReplicaSet:
        return ReplicaSet(1, 0, *names[:copies])

    def formed(self, names: tuple, copies: int) -> Any:
        """The event that makes a member part of a new cluster."""
        return Grant(PART, self.seat(names, copies))

    def start(self, name: str, disk: Map, starts: int, now: datetime) -> group.State:
        return group.load(name, disk, starts * 1000)

    def step(self, state: group.State, event: Any, now: datetime) -> tuple:
        return group.step(state, event, now, apply_table)

    def command(self, state: group.State, tag: tuple, command: Command, now: datetime) -> tuple:
        return self.step(state, Op(PART, tag, request_of(command)), now)

    def copy(self, state: group.State) -> group.Copy | None:
        return state.partitions.get(PART)

    def sends(self, message: dict) -> bool:
        return True


class CoreMember:
    """A whole core process: voter, copy of the core's table, and candidate."""

    part = CORE_PART
    elects = True

    def seat(self, names: tuple, copies: int) -> ReplicaSet:
        return ReplicaSet(1, 0, *names[:copies])

    def formed(self, names: tuple, copies: int) -> Any:
        """The word of the core that founds a deployment."""
        voters = [[name, f'{name}:1'] for name in names]
        fleet = {'id': 'f', 'witnesses': voters, 'epoch': 1, 'seat': list(self.seat(names, copies))}
        return Told(FOUNDING, {'k': 'form', 'fleet': fleet})

    def start(self, name: str, disk: Map, starts: int, now: datetime) -> core_state.Core:
        settings = {
            'address': f'{name}:1',
            'zone': name,
            'seeds': [f'{name}:1'],
            'founding': False,
            'lone': True,
        }
        return core_state.load(name, {**settings, 'silent_ms': 1000}, disk, starts * 1000, now)

    def step(self, state: core_state.Core, event: Any, now: datetime) -> tuple:
        return core.step(state, event, now)

    def command(self, state: core_state.Core, tag: tuple, command: Command, now: datetime) -> tuple:
        if command.kind == 'read':
            return core.step(state, Told(tag, {'k': 'show'}), now)
        out: list = []
        operation = Op(CORE_PART, ('c', 'model', tag), request_of(command))
        return core.step_replication(state, operation, now, out), tuple(out)

    def copy(self, state: core_state.Core) -> group.Copy | None:
        return core_state.core_copy(state)

    def sends(self, message: dict) -> bool:
        return message['k'] in SENT_BY_CORE


def written(disk: Map, puts: tuple) -> Map:
    """A disk after one batch of rows has been synced whole.

    >>> written(Map(), (("p", "x", 1),))['p']['x']
    1
    """
    for part, key, value in puts:
        rows = disk.get(part, Map())
        if key is None:
            rows = Map()
        elif value is None:
            rows = rows.delete(key) if key in rows else rows
        else:
            rows = rows.set(key, value)
        disk = disk.set(part, rows)
    return disk


def time_of(clock: int) -> datetime:
    """The wall time of a member whose clock shows so many milliseconds.

    >>> time_of(1000) - START
    datetime.timedelta(seconds=1)
    """
    return START + timedelta(milliseconds=clock)
