"""Listening sockets: waits for an address that is held, and stays calm when the process has no descriptors left."""

import asyncio
import errno
import os
import socket
from collections.abc import Callable
from typing import Any

from logbook import Logger

from quillstall.runtime.wait_notice import WaitNotice

HELD_ERRNOS = (errno.EADDRINUSE, errno.EADDRNOTAVAIL)  # by another socket; not assigned to this machine yet
BIND_RETRY_INTERVAL_S = 0.1
log = Logger('listening')
OUT_OF_DESCRIPTORS_ERRNOS = (errno.EMFILE, errno.ENFILE)


class ListeningSocket(socket.socket):
    """A socket whose `accept` drops a new connection if the process has no descriptor left for it.

    Otherwise the connection would stay in the queue, and the socket would count as readable all the time. One
    descriptor is kept in reserve for this.
    """

    def __init__(self, count: Callable[[str], None] = lambda name: None):
        super().__init__(socket.AF_INET, socket.SOCK_STREAM)
        self.count = count
        self.reserve: int | None = None

    def keep_reserve(self) -> None:
        """Open the descriptor that is kept in reserve: `listening_socket.keep_reserve()`."""
        try:
            self.reserve = os.open(os.devnull, os.O_RDONLY | os.O_CLOEXEC)
        except OSError:
            self.reserve = None

    def accept(self) -> tuple[socket.socket, Any]:
        """Return the next connection and its address. Raises BlockingIOError if there is none, or it was dropped."""
        if self.reserve is None:
            self.keep_reserve()
        try:
            return super().accept()
        except OSError as e:
            if e.errno not in OUT_OF_DESCRIPTORS_ERRNOS:
                raise
        self.drop_connection()
        raise BlockingIOError(errno.EAGAIN, 'no descriptor left')

    def drop_connection(self) -> None:
        """Accept and close one connection with the descriptor that is kept in reserve."""
        self.count('listen.dropped')
        if self.reserve is not None:
            os.close(self.reserve)
            self.reserve = None
        try:
            connection, _ = super().accept()
        except OSError:
            pass
        else:
            connection.close()
        self.keep_reserve()

    def close(self) -> None:
        """Stop listening."""
        super().close()
        if self.reserve is not None:
            os.close(self.reserve)
            self.reserve = None


def bind(host: str, port: int, backlog: int, count: Callable[[str], None]) -> ListeningSocket:
    """Return a socket that listens at an address. Raises OSError if the address cannot be used now.

    >>> listening_socket = bind('127.0.0.1', 0, 10, lambda name: None); listening_socket.getsockname()[0]
    '127.0.0.1'
    >>> listening_socket.close()
    """
    listening_socket = ListeningSocket(count)
    try:
        listening_socket.setblocking(False)
        listening_socket.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        listening_socket.bind((host, port))
        listening_socket.listen(backlog)
    except OSError:
        listening_socket.close()
        raise
    listening_socket.keep_reserve()
    return listening_socket


async def listen(
    address: str,
    backlog: int,
    count: Callable[[str], None] = lambda name: None,
) -> ListeningSocket:
    """Return a socket that listens at 'ip:port', once the address is free, however long that takes.

    `listening_socket = await listen('127.0.0.1:7000', 128)`
    """
    host, _, port = address.rpartition(':')
    notice = WaitNotice(log.warning)
    while True:
        try:
            return bind(host, int(port), backlog, count)
        except OSError as e:
            if e.errno not in HELD_ERRNOS:
                raise OSError(e.errno, f'{address}: {e.strerror}') from e
            notice.waiting(f'{address}: {e.strerror}')
        count('listen.held')
        await asyncio.sleep(BIND_RETRY_INTERVAL_S)
