"""Weigh: what a store's share of the state weighs, built by the shelf's own commands and kept on a real disk:
a keeping time of long conversations and a day of once-records, as one store of three holds them."""

import asyncio
import os
import random
import resource
import tempfile
import time
from datetime import UTC, datetime, timedelta
from typing import Any

from immutables import Map

from quillstall.controlplane import store_table
from quillstall.replication import group
from quillstall.replication.copies import Reconfiguration, ReplicaSet
from quillstall.runtime.disk import Put, SqliteDisk

T0 = datetime(2026, 1, 1, tzinfo=UTC)
SHARED = 54_000  # of the 56 KB of a 14,000-token prompt
OWN = 2_000
PART_OF = 2 / 3  # two copies on three stores


def letters(dice: random.Random, count: int) -> str:
    """Some text: `letters(random.Random(1), 10)`."""
    return ''.join(dice.choices('abcdefghijklmnopqrstuvwxyz ', k=count))


def fill(part: int, parts: int, turns: int, onces: int) -> Map:
    """One part's rows after its share of turns and once-work.

    >>> sorted({k.partition('/')[0] for k in fill(0, 2, 4, 2)})
    ['block', 'conv', 'done', 'once', 'prog', 'turn']
    """
    dice = random.Random(part)
    shared = [letters(random.Random(f's{n}'), SHARED) for n in range(4)]
    rows: Map = Map()

    def run(command: dict) -> None:
        nonlocal rows
        changes, _ = store_table.apply(rows, command, T0)
        rows = group.apply_changes(rows, changes)

    for n in range(turns // parts):
        program, turn = f'desk-{part}-{n}', f'desk-{part}-{n}~k0000000~abc~model1~route1-123456.{n}'
        run({'op': 'begin', 'program': program, 'turn': turn, 'budget': 2000, 'hold': 16, 'continues': None})
        run(
            {
                'op': 'end',
                'program': program,
                'turn': turn,
                'used': 12,
                'keeping_s': 300,
                'keep': {
                    'program': program,
                    'prev': None,
                    'conv': turn,
                    'prompt': dice.choice(shared) + letters(dice, OWN),
                    'text': letters(dice, 60),
                    'at': T0.timestamp(),
                },
            }
        )
    for n in range(onces // parts):
        key = f'documents/amortisation desk-{part}-{n}-{dice.random()}'
        run(
            {
                'op': 'once_begin',
                'key': key,
                'digest': f'{dice.getrandbits(128):032x}',
                'run': f'route1-123456.{n}',
                'until': T0.timestamp() + 86_400,
            }
        )
        run(
            {
                'op': 'once_end',
                'key': key,
                'run': f'route1-123456.{n}',
                'ret': {'status': 200, 'kind': 'application/json', 'data': letters(dice, 60).encode()},
            }
        )
    return rows


def memory() -> int:
    """This process's memory in MB: `memory()`."""
    with open('/proc/self/statm', encoding='ascii') as file:
        return int(file.read().split()[1]) * resource.getpagesize() // 2**20


async def weigh(turns: int = 7_800, onces: int = 500_000, parts: int = 24) -> dict[str, Any]:
    """All of it: `await weigh(780, 5_000)`."""
    with tempfile.TemporaryDirectory(prefix='quillstall-') as folder:
        disk = SqliteDisk(folder)
        await disk.open()
        at, bare = time.monotonic(), memory()
        all_rows = {f'p{n:02d}': fill(n, parts, turns, onces) for n in range(round(parts * PART_OF))}
        built = time.monotonic() - at
        weight = memory() - bare
        for part, rows in all_rows.items():
            mark = Put(part, '#mark', [[1, 0, 'a', 'b'], 1, False, True, 0])
            await disk.write((mark, *[Put(part, k, v) for k, v in rows.items()]))
        await disk.close()
        size = sum(os.path.getsize(os.path.join(folder, f)) for f in os.listdir(folder)) // 2**20
        at = time.monotonic()
        again = SqliteDisk(folder)
        state = group.load('a', await again.open(), 1)
        start = time.monotonic() - at
        await again.close()
        rows = next(iter(all_rows.values()))
        pauses, place = [], 0
        late = T0 + timedelta(seconds=250)
        for _ in range(40):
            at = time.monotonic()
            _, ret = store_table.sweep(rows, {'program_s': 86_400, 'from': place}, late)
            place = ret.get('at', 0)
            pauses.append(time.monotonic() - at)
        reconfiguration = Reconfiguration('c', ReplicaSet(2, 1, 'a', 'c'), 'fill', tuple(sorted(rows)), rows)
        pieces, heaviest = 0, 0
        while reconfiguration.position < len(reconfiguration.keys):
            keys = group.next_piece(reconfiguration)
            heaviest = max(heaviest, sum(group.encoded_size(rows[k]) for k in keys))
            pieces, reconfiguration = (
                pieces + 1,
                reconfiguration._replace(position=reconfiguration.position + len(keys)),
            )
        return {
            'rows': sum(len(r) for r in all_rows.values()),
            'rows_of_a_part': len(rows),
            'memory_mb': weight,
            'disk_mb': size,
            'start_s': round(start, 2),
            'build_s': round(built, 1),
            'sweep_ms_most': round(max(pauses) * 1000, 2),
            'pieces_of_a_part': pieces,
            'piece_kb_most': heaviest // 1024,
            'loaded': len(state.partitions),
        }


def run(turns: int, onces: int) -> dict[str, Any]:
    """`run(7_800, 500_000)`: the whole weight, in this process."""
    return asyncio.run(weigh(turns, onces))
