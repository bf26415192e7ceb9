"""Growth: what hundreds of changes of the configuration leave in a core's replica: rows, memory, files, and
the time of a start and of a snapshot. The core's own state machine writes to a real disk."""

import asyncio
import os
import random
import tempfile
import time
import tracemalloc
from collections.abc import Iterator
from copy import deepcopy
from datetime import UTC, datetime
from typing import Any, NamedTuple

import cbor2
from immutables import Map

from quillstall.controlplane import core
from quillstall.replication import group
from quillstall.replication.copies import Grant, Op, Reconfiguration, ReplicaSet
from quillstall.runtime.disk import DATABASE_FILE, SqliteDisk
from quillstall.runtime.effect import Done, Write, Wrote
from quillstall.testbed.deploy import DEPLOYS

PART = 'core'
MEMBER = 'a'
START = datetime(2026, 1, 1, tzinfo=UTC)


class Growth(NamedTuple):
    """What a replica weighs after so many changes.

    >>> Growth(changes=3).changes
    3
    """

    changes: int
    rows: int = 0
    rows_kib: float = 0  # as they go over the wire
    largest_row: str = ''
    largest_kib: float = 0
    memory_kib: float = 0  # read anew from the disk
    file_kib: float = 0
    log_kib: float = 0  # the write-ahead file, at its largest since the last line
    change_ms: float = 0  # a change with its sync, the median since the last line
    start_ms: float = 0  # open, check and read
    snapshot_messages: int = 0
    snapshot_ms: float = 0  # pack, unpack and lay all of them


class Replica:
    """The core's table in a seat of one, on a real disk."""

    def __init__(self, folder: str, policy: dict):
        self.folder = folder
        self.policy = deepcopy(policy)
        self.disk = SqliteDisk(folder)
        self.state = group.State(MEMBER)
        self.dice = random.Random(1)

    async def open(self) -> None:
        """Take the folder and the seat: `await replica.open()`."""
        await self.disk.open()
        await self.feed(Grant(PART, ReplicaSet(1, 0, MEMBER)))

    async def feed(self, event: Any) -> list:
        """Give the state machine an event and write what it asks for; what it returned for."""
        returned, events = [], [event]
        while events:
            self.state, effects = group.step(self.state, events.pop(0), START, core.apply_command)
            for effect in effects:
                if type(effect) is Write:
                    await self.disk.write(effect.puts)
                    events.append(Wrote(effect.tag))
                elif type(effect) is Done:
                    returned.append(effect.reply)
        return returned

    async def change(self, number: int) -> None:
        """One change of the configuration, as an operator sends it: `await replica.change(3)`."""
        self.policy['keeping_s'] = 300 + number % 600
        name = f'{self.dice.getrandbits(128):032x}'
        command = {'op': 'apply', 'body': self.policy, 'base': None, 'id': name}
        (ret,) = await self.feed(Op(PART, ('change', number), command))
        if 'fault' in ret:
            raise RuntimeError(f'change {number} was refused: {ret}')

    @property
    def rows(self) -> Map:
        return self.state.partitions[PART].rows

    def size(self, suffix: str = '') -> float:
        """The KiB of one of its files: `replica.size('-wal')`."""
        path = os.path.join(self.folder, DATABASE_FILE + suffix)
        return os.path.getsize(path) / 1024 if os.path.exists(path) else 0.0


def pieces(rows: Map) -> Iterator[list]:
    """The messages of a snapshot of these rows.

    >>> list(pieces(Map({'a': 1})))
    [[['a', 1]]]
    """
    reconfiguration = Reconfiguration('b', ReplicaSet(2, 1, MEMBER, 'b'), 'fill', tuple(sorted(rows)), rows)
    while reconfiguration.position < len(reconfiguration.keys):
        keys = group.next_piece(reconfiguration)
        yield [[k, rows[k]] for k in keys]
        reconfiguration = reconfiguration._replace(position=reconfiguration.position + len(keys))


def snapshot(rows: Map) -> tuple[int, float]:
    """How many messages a snapshot takes, and how many milliseconds of work on both sides.

    >>> snapshot(Map({'a': 1}))[0]
    1
    """
    start, count, taken = time.perf_counter(), 0, Map()
    for piece in pieces(rows):
        taken = group.apply_changes(taken, cbor2.loads(cbor2.dumps(piece)))
        count += 1
    return count, (time.perf_counter() - start) * 1000


async def restart(replica: Replica) -> tuple[float, float]:
    """Close the disk and read it as a start does: the milliseconds, and the KiB that the rows take."""
    await replica.disk.close()
    replica.disk = SqliteDisk(replica.folder)
    start = time.perf_counter()
    await replica.disk.open()
    passed = (time.perf_counter() - start) * 1000
    await replica.disk.close()
    replica.disk = SqliteDisk(replica.folder)
    tracemalloc.start()
    held = await replica.disk.open()
    state = group.load(MEMBER, {PART: held[PART]}, 2)
    memory = tracemalloc.get_traced_memory()[0] / 1024
    tracemalloc.stop()
    del held, state
    return passed, memory


async def grow(deploy: str, marks: list[int]) -> list[Growth]:
    """One line for each number of changes: `await grow('cartalume', [0, 300])`."""
    lines = []
    with tempfile.TemporaryDirectory() as folder:
        replica = Replica(folder, DEPLOYS[deploy]().policy)
        await replica.open()
        made = 0
        for mark in sorted(marks):
            times, log = [0.0], replica.size('-wal')
            while made < mark:
                start = time.perf_counter()
                await replica.change(made)
                times.append((time.perf_counter() - start) * 1000)
                log = max(log, replica.size('-wal'))
                made += 1
            lines.append(await measure(replica, mark, sorted(times)[len(times) // 2], log))
        await replica.disk.close()
    return lines


async def measure(replica: Replica, changes: int, change_ms: float, log_kib: float) -> Growth:
    """The line of one moment: `await measure(replica, 300, 1.2, 400)`."""
    rows = replica.rows
    sizes = {key: len(cbor2.dumps(value)) / 1024 for key, value in rows.items()}
    largest = max(sizes, key=lambda key: sizes[key], default='')
    messages, snapshot_ms = snapshot(rows)
    start_ms, memory = await restart(replica)
    return Growth(
        changes,
        len(rows),
        round(sum(sizes.values()), 1),
        largest,
        round(sizes.get(largest, 0), 1),
        round(memory, 1),
        round(replica.size(), 1),
        round(log_kib, 1),
        round(change_ms, 2),
        round(start_ms, 1),
        messages,
        round(snapshot_ms, 2),
    )


def run(deploy: str, marks: list[int]) -> list[dict]:
    """The lines as records, for a table: `run('cartalume', [0, 300])`."""
    return [line._asdict() for line in asyncio.run(grow(deploy, marks))]
