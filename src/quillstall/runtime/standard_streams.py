"""The standard streams of a process that serves: whatever becomes of them, it goes on and its exit code is its own."""

import io
import os
import select
import socket
import stat
import sys
from collections.abc import Callable

STANDARD_DESCRIPTORS = (0, 1, 2)
STANDARD_ERROR = 2
LINE_BYTES_MOST = 4096  # a pipe takes so much at once, or nothing


def open_missing() -> None:
    """Open the null device in place of standard streams that are closed: `open_missing()`.

    Otherwise the next file or socket gets the number of one of them, and receives what is meant for the log.
    """
    for descriptor in STANDARD_DESCRIPTORS:
        try:
            os.fstat(descriptor)
        except OSError:
            os.open(os.devnull, os.O_RDWR)


def writer_of(descriptor: int) -> Callable[[bytes], int]:
    """Return a function that writes to a descriptor and raises OSError where it would have to wait.

    The flags of the descriptor are not changed: other processes may share them.
    """
    mode = os.fstat(descriptor).st_mode
    if stat.S_ISSOCK(mode):
        connection = socket.socket(fileno=os.dup(descriptor))
        return lambda data: connection.send(data, socket.MSG_DONTWAIT)
    if stat.S_ISFIFO(mode):
        try:
            own = os.open(f'/proc/self/fd/{descriptor}', os.O_WRONLY | os.O_NONBLOCK | os.O_CLOEXEC)
        except OSError:
            return lambda data: write_if_ready(descriptor, data)
        return lambda data: os.write(own, data)
    return lambda data: write_if_ready(descriptor, data)


def write_if_ready(descriptor: int, data: bytes) -> int:
    """Write to a descriptor, or raise BlockingIOError if it takes nothing now."""
    poll = select.poll()
    poll.register(descriptor, select.POLLOUT)
    if not poll.poll(0):
        raise BlockingIOError(f'descriptor {descriptor} takes nothing now')
    return os.write(descriptor, data)


class LogStream(io.TextIOBase):
    """A text stream for a log: each write reaches the descriptor at once, or raises OSError and is lost.

    >>> reader, writer = os.pipe(); stream = LogStream(writer); stream.write('a line\\n'); os.read(reader, 9)
    7
    b'a line\\n'
    >>> os.close(reader); stream.write('another')
    Traceback (most recent call last):
    BrokenPipeError: [Errno 32] Broken pipe
    >>> os.close(writer)
    """

    def __init__(self, descriptor: int = STANDARD_ERROR):
        super().__init__()
        self.write_bytes = writer_of(descriptor)

    def writable(self) -> bool:
        """Return that the stream can be written."""
        return True

    def write(self, text: str) -> int:
        """Write a text, cut to what a pipe takes at once; return its length."""
        self.write_bytes(text.encode(errors='replace')[:LINE_BYTES_MOST])
        return len(text)


class StandardError(LogStream):
    """Standard error for what is no log line, such as a traceback: what cannot be written is lost without an error."""

    def write(self, text: str) -> int:
        """Write a text if that is possible now; return its length."""
        try:
            return super().write(text)
        except OSError:
            return len(text)


def secure() -> None:
    """Let nothing that becomes of the standard streams end, hang or fail this process: `secure()`."""
    open_missing()
    sys.stderr = StandardError()
    if sys.stdout is None:
        sys.stdout = StandardError(1)
