"""The data folder of one process. What `write` has returned for is synced.

Three things can go wrong with it, and each has its own answer:

- It takes nothing more (full, refuses writes, stalls). `write` and `open` wait and try again; they end once
  there is room. Batches go to the disk in the order in which they came and none is ever skipped, so what
  is on disk is always a prefix of what the process holds in memory.
- Its file is torn or corrupt. `open` raises `CorruptFile`; `set_aside` makes room for an empty one.
- It cannot be used at all (no folder, another process has it, another format): `Fault('disk')`.
"""

import asyncio
import errno
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
DATABASE_FILE = 'quillstall.db'
DATABASE_SUFFIXES = ('', '-wal')  # the files of one database; the main one first, see `set_aside`
CORRUPT_SUFFIX = '.corrupt'
RETRY_INTERVAL_S = 0.2  # between two tries on a disk that takes nothing
UNAVAILABLE_ERRNOS = (errno.ENOSPC, errno.EDQUOT, errno.EIO)
UNAVAILABLE_CODES = (sqlite3.SQLITE_FULL, sqlite3.SQLITE_IOERR, sqlite3.SQLITE_CANTOPEN)
CORRUPT_CODES = (sqlite3.SQLITE_CORRUPT, sqlite3.SQLITE_NOTADB)


class Put(NamedTuple):
    """One change of a row: a value of None takes the row out; a key of None empties the part.

    >>> Put('p01', 'turn/a', {'n': 1}).key
    'turn/a'
    """

    part: str
    key: str | None
    value: Any


class CorruptFile(Fault):
    """The file in the data folder is torn or corrupt: nothing in it can be trusted.

    >>> CorruptFile('quillstall.db: malformed').code
    'disk'
    """

    def __init__(self, text: str):
        super().__init__('disk', f'torn or corrupt: {text}')


class DiskUnavailable(Exception):
    """The disk takes nothing now: full, refusing, or failing. It may take it later."""


class IDisk(Interface):
    """Rows by part and key."""

    async def open():
        """All rows, as {part: {key: value}}. Waits while the disk takes nothing. `CorruptFile` if its file
        is torn, Fault 'disk' if the folder cannot be used."""

    async def write(puts):
        """Apply a batch whole; return once it is synced, however long that takes."""

    async def set_aside():
        """After `CorruptFile`: keep that file under another name, so that `open` begins an empty one."""

    async def close():
        """Let the folder go."""


def primary_code(error: sqlite3.Error) -> int:
    """SQLite's result code without its details: an error of sync is an error of input and output.

    >>> primary_code(sqlite3.Error())
    0
    """
    return getattr(error, 'sqlite_errorcode', 0) & 0xFF


def sync_folder(path: str) -> None:
    """Make the names in a folder durable: `sync_folder('/var/lib/quillstall')`."""
    try:
        handle = os.open(path, os.O_RDONLY)
    except PermissionError:  # the folder above is not ours: it was there before us
        return
    try:
        os.fsync(handle)
    finally:
        os.close(handle)


@implementer(IDisk)
class SqliteDisk:
    """A data folder with one sqlite3 file, written by one thread that joins waiting batches
    into one synced transaction."""

    def __init__(self, folder: str):
        self.folder = folder
        self.path = os.path.join(folder, DATABASE_FILE)
        self.queue: Queue = Queue()
        self.pool = ThreadPoolExecutor(1)
        self.task: asyncio.Task | None = None
        self.connection: sqlite3.Connection | None = None
        self.lock: Any = None
        self.syncs = 0
        self.retries = 0  # how often it took nothing
        self.sync_ms = 0.0  # how long a sync takes, blended

    async def open(self) -> dict[str, dict[str, Any]]:
        """Take the folder and read it: `rows = await disk.open()`."""
        loop = asyncio.get_running_loop()
        while True:
            try:
                rows = await loop.run_in_executor(self.pool, self._open)
                break
            except DiskUnavailable:
                self.retries += 1
                await asyncio.sleep(RETRY_INTERVAL_S)
        self.task = asyncio.ensure_future(self._run())
        return rows

    def _open(self) -> dict[str, dict[str, Any]]:
        self._take_lock()
        try:
            rows = self._read()
            for path in (self.folder, os.path.dirname(os.path.abspath(self.folder))):
                sync_folder(path)
        except sqlite3.Error as e:
            self._close_database()
            if primary_code(e) in UNAVAILABLE_CODES:
                raise DiskUnavailable(str(e)) from e
            if primary_code(e) in CORRUPT_CODES:
                raise CorruptFile(f'{self.path}: {e}') from e
            raise Fault('disk', f'{self.path}: cannot be opened for writing: {e}') from e
        except OSError as e:
            self._close_database()
            raise DiskUnavailable(str(e)) from e
        except cbor2.CBORDecodeError as e:
            self._close_database()
            raise CorruptFile(f'{self.path}: {e}') from e
        except Fault:
            self._close_database()
            raise
        return rows

    def _take_lock(self) -> None:
        """Keep other processes off the folder."""
        if self.lock:
            return
        if not os.path.isdir(self.folder):
            raise Fault('disk', f'{self.folder}: no such folder; make it first')
        try:
            lock = open(os.path.join(self.folder, 'lock'), 'w')
            fcntl.flock(lock, fcntl.LOCK_EX | fcntl.LOCK_NB)
        except BlockingIOError as e:
            raise Fault('disk', f'{self.folder}: another process uses it') from e
        except OSError as e:
            if e.errno in UNAVAILABLE_ERRNOS:
                raise DiskUnavailable(str(e)) from e
            raise Fault('disk', f'{self.folder}: cannot be written: {e}') from e
        self.lock = lock

    def _read(self) -> dict[str, dict[str, Any]]:
        """Open the database, make sure of it, and give all its rows."""
        connection = self.connection = sqlite3.connect(
            self.path, check_same_thread=False, isolation_level=None
        )
        connection.execute('pragma locking_mode=exclusive')  # one process: no file of shared memory
        connection.execute('pragma journal_mode=wal')
        connection.execute('pragma synchronous=full')
        seen = connection.execute('pragma quick_check').fetchone()[0]
        if seen != 'ok':
            raise CorruptFile(f'{self.path}: {seen}')
        format_number = connection.execute('pragma user_version').fetchone()[0]
        if format_number not in (0, FORMAT):
            raise Fault('disk', f'{self.path}: format {format_number}, this program reads {FORMAT}')
        connection.execute(
            'create table if not exists rows (part text, key text, value blob, '
            'primary key (part, key)) without rowid'
        )
        if format_number != FORMAT:
            connection.execute(f'pragma user_version={FORMAT}')
        # A process that was killed after a failed sync may have left frames in the log that can be read and
        # are on no disk. Copied into the database and synced there, what is read below is durable.
        connection.execute('pragma wal_checkpoint(truncate)')
        rows: dict[str, dict[str, Any]] = {}
        for part, key, value in connection.execute('select part, key, value from rows'):
            rows.setdefault(part, {})[key] = cbor2.loads(value)
        return rows

    def _close_database(self) -> None:
        if self.connection:
            self.connection.close()
        self.connection = None

    async def set_aside(self) -> None:
        """Rename a corrupt file, durably: `await disk.set_aside()`. One that was set aside before is lost.

        The database goes first, and the folder is synced before its log follows: a database that came back
        without its log would look whole and hold less than was confirmed. A log without its database is
        thrown away by SQLite."""
        await asyncio.get_running_loop().run_in_executor(self.pool, self._set_aside)

    def _set_aside(self) -> None:
        self._close_database()
        for suffix in DATABASE_SUFFIXES:
            if os.path.exists(self.path + suffix):
                os.replace(self.path + suffix, self.path + CORRUPT_SUFFIX + suffix)
            sync_folder(self.folder)

    def was_set_aside(self) -> bool:
        """Whether a file of this folder was ever found corrupt: `disk.was_set_aside()`."""
        return os.path.exists(self.path + CORRUPT_SUFFIX)

    def _commit(self, batches: list) -> None:
        start = time.monotonic()
        self.connection.execute('begin immediate')
        for puts in batches:
            for put in puts:
                self._apply(put)
        self.connection.execute('commit')
        self.syncs += 1
        self.sync_ms = round(self.sync_ms * 0.9 + (time.monotonic() - start) * 100, 2)

    def _apply(self, put: Put) -> None:
        if put.key is None:
            self.connection.execute('delete from rows where part=?', (put.part,))
        elif put.value is None:
            self.connection.execute('delete from rows where part=? and key=?', (put.part, put.key))
        else:
            self.connection.execute(
                'insert or replace into rows values (?,?,?)', (put.part, put.key, cbor2.dumps(put.value))
            )

    def _try_commit(self, batches: list) -> None:
        """Write the batches, or raise `DiskUnavailable` with nothing of them written.

        The connection is kept. After a failed sync SQLite does not count the frames of the transaction as
        written, and the next try writes them again, so no sync is trusted that another one failed before.
        A new connection would find those frames in the page cache and take them for committed."""
        try:
            self._commit(batches)
        except sqlite3.Error as e:
            if self.connection.in_transaction:
                try:
                    self.connection.execute('rollback')
                except sqlite3.Error:
                    pass  # SQLite has rolled it back by itself
            if primary_code(e) in CORRUPT_CODES:
                raise CorruptFile(f'{self.path}: {e}') from e
            raise DiskUnavailable(str(e)) from e

    async def _run(self) -> None:
        while True:
            batch = [await self.queue.get()]
            while not self.queue.empty():
                batch.append(self.queue.get_nowait())
            fault = await self._write_until_synced([puts for puts, _ in batch])
            for _, wait in batch:
                if wait.done():
                    continue
                if fault:
                    wait.set_exception(fault)
                else:
                    wait.set_result(None)

    async def _write_until_synced(self, batches: list) -> Fault | None:
        """Write these batches before any that came later; the fault if the file is corrupt."""
        loop = asyncio.get_running_loop()
        while True:
            try:
                await loop.run_in_executor(self.pool, self._try_commit, batches)
                return None
            except CorruptFile as e:
                return e
            except DiskUnavailable:
                self.retries += 1
                await asyncio.sleep(RETRY_INTERVAL_S)

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
        self._close_database()
        if self.lock:
            self.lock.close()
