"""Listening sockets: waits for an address that is held."""

import asyncio
import errno
import socket
from collections.abc import Callable

from logbook import Logger

HELD_ERRNOS = (errno.EADDRINUSE, errno.EADDRNOTAVAIL)  # by another socket; not assigned to this machine yet
BIND_RETRY_INTERVAL_S = 0.1
log = Logger('listening')
BIND_TIMEOUT_S = 20.0  # longer than a forerunner takes to stop


def bind(host: str, port: int, backlog: int) -> socket.socket:
    """Return a socket that listens at an address. Raises OSError if the address cannot be used now.

    >>> listening_socket = bind('127.0.0.1', 0, 10); listening_socket.getsockname()[0]
    '127.0.0.1'
    >>> listening_socket.close()
    """
    listening_socket = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
    try:
        listening_socket.setblocking(False)
        listening_socket.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        listening_socket.bind((host, port))
        listening_socket.listen(backlog)
    except OSError:
        listening_socket.close()
        raise
    return listening_socket


async def listen(
    address: str,
    backlog: int,
    count: Callable[[str], None] = lambda name: None,
    timeout_s: float = BIND_TIMEOUT_S,
) -> socket.socket:
    """Return a socket that listens at 'ip:port', once the address is free. Raises OSError if it stays held.

    `listening_socket = await listen('127.0.0.1:7000', 128)`
    """
    host, _, port = address.rpartition(':')
    loop = asyncio.get_running_loop()
    deadline, waiting = loop.time() + timeout_s, False
    while True:
        try:
            return bind(host, int(port), backlog)
        except OSError as e:
            if e.errno not in HELD_ERRNOS or loop.time() > deadline:
                raise OSError(e.errno, f'{address}: {e.strerror}') from e
            if not waiting:
                log.warning('{}: {}; waiting for it', address, e.strerror)
        waiting = True
        count('listen.held')
        await asyncio.sleep(BIND_RETRY_INTERVAL_S)
