"""Disk: the data folder of one process. What `write` has returned for is synced."""

import asyncio
import fcntl
import os
import sqlite3
import time
from concurrent.futures import ThreadPoolExecutor
from typing import Any, NamedTuple

import cbor2
from tornado.queues import Queue
from zope.interface import Interface, implementer

from quillstall.runtime.errors import Fault

FORMAT = 1


class Put(NamedTuple):
    """One change of a row: a value of None takes the row out; a key of None empties the part.

    >>> Put('p01', 'turn/a', {'n': 1}).key
    'turn/a'
    """

    part: str
    key: str | None
    value: Any


class IDisk(Interface):
    """Rows by part and key."""

    async def open():
        """All rows, as {part: {key: value}}. Fault 'disk' if the folder cannot be trusted."""

    async def write(puts):
        """Apply a batch whole; return once it is synced."""

    async def close():
        """Let the folder go."""


@implementer(IDisk)
class SqliteDisk:
    """A data folder with one sqlite3 file, written by one thread that joins waiting batches
    into one synced transaction."""

    def __init__(self, folder: str):
        self.folder = folder
        self.queue: Queue = Queue()
        self.pool = ThreadPoolExecutor(1)
        self.task: asyncio.Task | None = None
        self.base: sqlite3.Connection | None = None
        self.lock: Any = None
        self.syncs = 0
        self.sync_ms = 0.0  # how long a sync takes, blended

    async def open(self) -> dict[str, dict[str, Any]]:
        """Take the folder and read it: `rows = await disk.open()`."""
        loop = asyncio.get_running_loop()
        rows = await loop.run_in_executor(self.pool, self._open)
        self.task = asyncio.ensure_future(self._run())
        return rows

    def _open(self) -> dict[str, dict[str, Any]]:
        if not os.path.isdir(self.folder):
            raise Fault('disk', f'{self.folder}: no such folder; make it first')
        path = os.path.join(self.folder, 'quillstall.db')
        try:
            self.lock = open(os.path.join(self.folder, 'lock'), 'w')
            fcntl.flock(self.lock, fcntl.LOCK_EX | fcntl.LOCK_NB)
        except BlockingIOError as e:
            raise Fault('disk', f'{self.folder}: another process uses it') from e
        except OSError as e:
            raise Fault('disk', f'{self.folder}: cannot be written: {e}') from e
        try:
            base = sqlite3.connect(path, check_same_thread=False, isolation_level=None)
            base.execute('pragma locking_mode=exclusive')  # one process: no file of shared memory
            base.execute('pragma journal_mode=wal')
            base.execute('pragma synchronous=full')
            seen = base.execute('pragma quick_check').fetchone()[0]
            if seen != 'ok':
                raise Fault('disk', f'{path}: torn or corrupt: {seen}')
            made = base.execute('pragma user_version').fetchone()[0]
            if made not in (0, FORMAT):
                raise Fault('disk', f'{path}: format {made}, this program reads {FORMAT}')
            base.execute(
                'create table if not exists rows (part text, key text, value blob, '
                'primary key (part, key)) without rowid'
            )
            base.execute(f'pragma user_version={FORMAT}')
            out: dict[str, dict[str, Any]] = {}
            for part, key, value in base.execute('select part, key, value from rows'):
                out.setdefault(part, {})[key] = cbor2.loads(value)
        except sqlite3.OperationalError as e:
            raise Fault('disk', f'{path}: cannot be opened for writing: {e}') from e
        except (sqlite3.DatabaseError, cbor2.CBORDecodeError) as e:
            raise Fault('disk', f'{path}: torn or corrupt: {e}') from e
        for place in (self.folder, os.path.dirname(os.path.abspath(self.folder))):
            try:
                handle = os.open(place, os.O_RDONLY)
            except PermissionError:  # the folder above is not ours: it was there before us
                continue
            os.fsync(handle)
            os.close(handle)
        self.base = base
        return out

    def _commit(self, batches: list) -> None:
        start = time.monotonic()
        self.base.execute('begin')
        for puts in batches:
            for put in puts:
                if put.key is None:
                    self.base.execute('delete from rows where part=?', (put.part,))
                elif put.value is None:
                    self.base.execute('delete from rows where part=? and key=?', (put.part, put.key))
                else:
                    self.base.execute(
                        'insert or replace into rows values (?,?,?)',
                        (put.part, put.key, cbor2.dumps(put.value)),
                    )
        self.base.execute('commit')
        self.syncs += 1
        self.sync_ms = round(self.sync_ms * 0.9 + (time.monotonic() - start) * 100, 2)

    async def _run(self) -> None:
        loop = asyncio.get_running_loop()
        while True:
            batch = [await self.queue.get()]
            while not self.queue.empty():
                batch.append(self.queue.get_nowait())
            fault = None
            try:
                await loop.run_in_executor(self.pool, self._commit, [puts for puts, _ in batch])
            except sqlite3.Error as e:
                fault = Fault('disk', f'{self.folder}: {e}')
            for _, wait in batch:
                if wait.done():
                    continue
                if fault:
                    wait.set_exception(fault)
                else:
                    wait.set_result(None)

    async def write(self, puts: tuple) -> None:
        """Write and sync: `await disk.write((Put('p', 'k', 1),))`."""
        wait = asyncio.get_running_loop().create_future()
        self.queue.put_nowait((puts, wait))
        await wait

    async def close(self) -> None:
        """Stop the thread and close the file: `await disk.close()`."""
        if self.task:
            self.task.cancel()
        self.pool.shutdown(wait=True)
        if self.base:
            self.base.close()
        if self.lock:
            self.lock.close()
