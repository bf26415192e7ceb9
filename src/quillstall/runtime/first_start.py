"""A file in the data folder of a core that records its first start until the database does.

A core may found a fleet only in its first start. It may be killed before it has loaded all its modules and opened its
database, so this file is written first; the module imports little for that reason. With a lost disk it is lost too.
"""

import contextlib
import json
import os

FILE_NAME = 'first-start.json'


def record(folder: str, seeds: list[str]) -> None:
    """Record a first start and its seeds, synced: `record('run/core0', ['127.0.0.1:1'])`. Raises OSError."""
    os.makedirs(folder, exist_ok=True)
    temporary_path = os.path.join(folder, FILE_NAME + '.new')
    with open(temporary_path, 'w', encoding='utf-8') as file:
        json.dump(seeds, file)
        file.flush()
        os.fsync(file.fileno())
    os.replace(temporary_path, os.path.join(folder, FILE_NAME))
    descriptor = os.open(folder, os.O_RDONLY)
    try:
        os.fsync(descriptor)
    finally:
        os.close(descriptor)


def recorded_seeds(folder: str) -> list[str] | None:
    """Return the seeds of the first start, or None if none is recorded.

    >>> recorded_seeds('/nonexistent') is None
    True
    """
    try:
        with open(os.path.join(folder, FILE_NAME), encoding='utf-8') as file:
            return json.load(file)
    except (OSError, ValueError):
        return None


def remove(folder: str) -> None:
    """Remove the record once the database holds it: `remove('run/core0')`."""
    with contextlib.suppress(OSError):
        os.remove(os.path.join(folder, FILE_NAME))
