"""The data folder of a process. A batch is synced to disk when `write` returns.

Three kinds of failure are told apart:

- The disk rejects writes (it is full, fails or stalls). `write` and `open` retry until they succeed. Batches
  are written in the order of the calls and none is skipped, so the rows on disk are always a prefix of
  those that the process has in memory.
- The database is torn or corrupt. `open` raises `CorruptFile`; `set_aside` renames it, so that an empty one
  can be created.
- The folder cannot be used (it is missing, locked by another process, or of another format): `Fault('disk')`.
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
from logbook import Logger
from tornado.queues import Queue
from zope.interface import Interface, implementer

from quillstall.runtime.errors import Fault
from quillstall.runtime.wait_notice import WaitNotice

log = Logger('disk')
FORMAT = 1
DATABASE_FILE = 'quillstall.db'
DATABASE_SUFFIXES = ('', '-wal')  # the database, then its write-ahead log: the order matters to `set_aside`
CORRUPT_SUFFIX = '.corrupt'
RETRY_INTERVAL_S = 0.2  # between two attempts on a disk that rejects writes
TABLE_MEASURE_INTERVAL_S = 0.5
MEASURED_FRACTION = 0.005  # of the time goes into measuring the tables, at most
ROW_BYTES = 300  # that a row takes in memory beside its key and its value
UNAVAILABLE_ERRNOS = (errno.ENOSPC, errno.EDQUOT, errno.EIO)
UNAVAILABLE_CODES = (sqlite3.SQLITE_FULL, sqlite3.SQLITE_IOERR, sqlite3.SQLITE_CANTOPEN)
CORRUPT_CODES = (sqlite3.SQLITE_CORRUPT, sqlite3.SQLITE_NOTADB)


class Put(NamedTuple):
    """A change of one row: a value of None deletes the row, a key of None deletes all rows of the part.

    >>> Put('p01', 'turn/a', {'n': 1}).key
    'turn/a'
    """

    part: str
    key: str | None
    value: Any


class CorruptFile(Fault):
    """The database is torn or corrupt: none of its rows can be trusted.

    >>> CorruptFile('quillstall.db: malformed').code
    'disk'
    """

    def __init__(self, text: str):
        super().__init__('disk', f'torn or corrupt: {text}')


class UnwritableRow(Fault):
    """A row holds a value that the database's format cannot hold, so no attempt to write it will succeed.

    >>> UnwritableRow('p01', 'turn/a', 'surrogates not allowed').text
    "'p01' 'turn/a': surrogates not allowed"
    """

    def __init__(self, part: str, key: str, text: str):
        super().__init__('disk', f'{part!r} {key!r}: {text}')


class FolderInUse(Fault):
    """Another process has locked the data folder, perhaps one that is stopping.

    >>> FolderInUse('/data').code
    'disk'
    """

    def __init__(self, folder: str):
        super().__init__('disk', f'{folder}: another process uses it')


class DiskUnavailable(Exception):
    """The disk rejects writes (it is full or fails); a later attempt may succeed."""


def encode_row(put: Put) -> bytes:
    """Return the value of a row in CBOR. Raises `UnwritableRow` if CBOR cannot hold it.

    >>> cbor2.loads(encode_row(Put('p01', 'turn/a', {'n': 1})))
    {'n': 1}
    """
    try:
        return cbor2.dumps(put.value)
    except (ValueError, TypeError, cbor2.CBOREncodeError) as e:
        raise UnwritableRow(put.part, put.key, f'{type(e).__name__}: {e}') from e


class IDisk(Interface):
    """A store of rows by part and key."""

    async def open():
        """Return all rows as {part: {key: value}}, retrying while the disk rejects writes or another process stops
        using the folder. Raises `CorruptFile` if the database is corrupt and Fault 'disk' if the folder cannot
        be used."""

    async def write(puts):
        """Apply a batch atomically; return once it is synced, however long that takes.

        Raises Fault 'disk' if the batch or an earlier one can never be written: the process must end then."""

    async def set_aside():
        """After `CorruptFile`: rename the corrupt database, so that `open` creates an empty one."""

    async def close():
        """Release the folder."""


def primary_code(error: sqlite3.Error) -> int:
    """Return the primary result code of an error, without the extended bits: a failed fsync is an I/O error.

    >>> primary_code(sqlite3.Error())
    0
    """
    return getattr(error, 'sqlite_errorcode', 0) & 0xFF


def sync_folder(path: str) -> None:
    """Sync the directory entries of a folder: `sync_folder('/var/lib/quillstall')`."""
    try:
        descriptor = os.open(path, os.O_RDONLY)
    except PermissionError:  # the parent folder belongs to another user and existed before this process
        return
    try:
        os.fsync(descriptor)
    finally:
        os.close(descriptor)


@implementer(IDisk)
class SqliteDisk:
    """A data folder with one SQLite database. One thread writes it and combines all queued batches into one
    synced transaction (group commit)."""

    def __init__(self, folder: str):
        self.folder = folder
        self.path = os.path.join(folder, DATABASE_FILE)
        self.queue: Queue = Queue()  # (batch, future that completes once it is synced)
        self.executor = ThreadPoolExecutor(1)
        self.writer_task: asyncio.Task | None = None
        self.connection: sqlite3.Connection | None = None
        self.lock_file: Any = None
        self.syncs = 0
        self.retries = 0  # attempts that failed because the disk rejected writes
        self.table_bytes = 0  # that all rows take in memory
        self.table_measured_again_at = 0.0  # on the monotonic clock
        self.sync_ms = 0.0  # duration of a commit, as an exponential moving average

    async def open(self) -> dict[str, dict[str, Any]]:
        """Lock the folder and return its rows: `rows = await disk.open()`."""
        loop = asyncio.get_running_loop()
        notice = WaitNotice(log.warning)
        while True:
            try:
                rows = await loop.run_in_executor(self.executor, self._open)
                break
            except FolderInUse as e:
                notice.waiting(e.text)
                await asyncio.sleep(RETRY_INTERVAL_S)
            except DiskUnavailable as e:
                self.retries += 1
                notice.waiting(str(e))
                await asyncio.sleep(RETRY_INTERVAL_S)
        self.writer_task = asyncio.ensure_future(self._run())
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
        """Lock the folder against other processes; raise Fault 'disk' if one has it."""
        if self.lock_file:
            return
        if not os.path.isdir(self.folder):
            raise Fault('disk', f'{self.folder}: no such folder; make it first')
        try:
            lock_file = open(os.path.join(self.folder, 'lock'), 'w')
            fcntl.flock(lock_file, fcntl.LOCK_EX | fcntl.LOCK_NB)
        except BlockingIOError as e:
            raise FolderInUse(self.folder) from e
        except OSError as e:
            if e.errno in UNAVAILABLE_ERRNOS:
                raise DiskUnavailable(str(e)) from e
            raise Fault('disk', f'{self.folder}: cannot be written: {e}') from e
        self.lock_file = lock_file

    def _read(self) -> dict[str, dict[str, Any]]:
        """Open the database, check its integrity and format, and return all its rows."""
        connection = self.connection = sqlite3.connect(
            self.path, check_same_thread=False, isolation_level=None
        )
        connection.execute('pragma locking_mode=exclusive')  # a single process needs no shared-memory file
        connection.execute('pragma journal_mode=wal')
        connection.execute('pragma synchronous=full')
        check_result = connection.execute('pragma quick_check').fetchone()[0]
        if check_result != 'ok':
            raise CorruptFile(f'{self.path}: {check_result}')
        format_number = connection.execute('pragma user_version').fetchone()[0]
        if format_number not in (0, FORMAT):
            raise Fault('disk', f'{self.path}: format {format_number}, this program reads {FORMAT}')
        connection.execute(
            'create table if not exists rows (part text, key text, value blob, '
            'primary key (part, key)) without rowid'
        )
        if format_number != FORMAT:
            connection.execute(f'pragma user_version={FORMAT}')
        # A process that was killed after a failed sync may leave frames in the write-ahead log that are
        # readable from the page cache but not on disk. The checkpoint copies them into the database and syncs
        # it, so the rows read below are durable.
        connection.execute('pragma wal_checkpoint(truncate)')
        rows: dict[str, dict[str, Any]] = {}
        for part, key, value in connection.execute('select part, key, value from rows'):
            rows.setdefault(part, {})[key] = cbor2.loads(value)
        self._measure_table()
        return rows

    def _close_database(self) -> None:
        if self.connection:
            self.connection.close()
        self.connection = None

    async def set_aside(self) -> None:
        """Rename a corrupt database durably: `await disk.set_aside()`. Replaces one that was set aside before.

        The database is renamed first and the folder synced before its log follows: a database left without
        its log after a crash would seem intact yet lack confirmed rows. SQLite discards a log without a
        database."""
        await asyncio.get_running_loop().run_in_executor(self.executor, self._set_aside)

    def _set_aside(self) -> None:
        self._close_database()
        for suffix in DATABASE_SUFFIXES:
            if os.path.exists(self.path + suffix):
                os.replace(self.path + suffix, self.path + CORRUPT_SUFFIX + suffix)
            sync_folder(self.folder)

    def was_set_aside(self) -> bool:
        """Return whether a database of this folder was ever found corrupt: `disk.was_set_aside()`."""
        return os.path.exists(self.path + CORRUPT_SUFFIX)

    def _commit(self, batches: list) -> None:
        started_at = time.monotonic()
        self.connection.execute('begin immediate')
        for puts in batches:
            for put in puts:
                self._apply(put)
        self.connection.execute('commit')
        if started_at >= self.table_measured_again_at:
            self._measure_table()
        self.syncs += 1
        self.sync_ms = round(self.sync_ms * 0.9 + (time.monotonic() - started_at) * 100, 2)

    def _measure_table(self) -> None:
        """Update `table_bytes`, which takes longer the more rows there are."""
        started_at = time.monotonic()
        rows, size = self.connection.execute(
            'select count(*), total(length(key) + length(value)) from rows'
        ).fetchone()
        self.table_bytes = rows * ROW_BYTES + int(size)
        now = time.monotonic()
        interval_s = max(TABLE_MEASURE_INTERVAL_S, (now - started_at) / MEASURED_FRACTION)
        self.table_measured_again_at = now + interval_s

    def _apply(self, put: Put) -> None:
        if put.key is None:
            self.connection.execute('delete from rows where part=?', (put.part,))
        elif put.value is None:
            self.connection.execute('delete from rows where part=? and key=?', (put.part, put.key))
        else:
            self._insert(put)

    def _insert(self, put: Put) -> None:
        row = (put.part, put.key, encode_row(put))
        try:
            self.connection.execute('insert or replace into rows values (?,?,?)', row)
        except UnicodeEncodeError as e:  # of the key
            raise UnwritableRow(put.part, put.key, str(e)) from e

    def _try_commit(self, batches: list) -> None:
        """Commit the batches in one transaction, or raise `DiskUnavailable` with none of them written.

        A retry uses the same connection. After a failed sync SQLite does not count the frames of the
        transaction as written and writes them again, so a sync that succeeds after a failed one covers all of
        them. A new connection would find the frames in the page cache and take them for committed."""
        try:
            self._commit(batches)
        except UnwritableRow:
            self._roll_back()
            raise
        except sqlite3.Error as e:
            self._roll_back()
            if primary_code(e) in CORRUPT_CODES:
                raise CorruptFile(f'{self.path}: {e}') from e
            raise DiskUnavailable(str(e)) from e

    def _roll_back(self) -> None:
        if self.connection.in_transaction:
            try:
                self.connection.execute('rollback')
            except sqlite3.Error:
                pass  # SQLite has already rolled it back

    async def _run(self) -> None:
        """Write the queued batches; once one has failed, fail all later ones too: none may be skipped."""
        fault = None
        while True:
            requests = [await self.queue.get()]
            while not self.queue.empty():
                requests.append(self.queue.get_nowait())
            fault = fault or await self._write_until_synced([puts for puts, _ in requests])
            for _, future in requests:
                if future.done():
                    continue
                if fault:
                    future.set_exception(fault)
                else:
                    future.set_result(None)

    async def _write_until_synced(self, batches: list) -> Fault | None:
        """Retry until these batches are synced, before any later ones; return the fault if they never can be."""
        loop = asyncio.get_running_loop()
        while True:
            try:
                await loop.run_in_executor(self.executor, self._try_commit, batches)
                return None
            except (CorruptFile, UnwritableRow) as e:
                return e
            except DiskUnavailable:
                self.retries += 1
                await asyncio.sleep(RETRY_INTERVAL_S)

    async def write(self, puts: tuple) -> None:
        """Apply a batch and return once it is synced: `await disk.write((Put('p', 'k', 1),))`."""
        future = asyncio.get_running_loop().create_future()
        self.queue.put_nowait((puts, future))
        await future

    async def close(self) -> None:
        """Stop the writer, close the database and release the folder: `await disk.close()`."""
        if self.writer_task:
            self.writer_task.cancel()
        self.executor.shutdown(wait=True)
        self._close_database()
        if self.lock_file:
            self.lock_file.close()
