"""Limits how much work what one peer sends may cause, so that it cannot take the processor from all others."""

import asyncio
import socket
from collections.abc import Callable

from tornado.iostream import IOStream

READ_UNITS = 3  # for each read of a socket that brings data
UNIT_BYTES = 16 * 1024  # as many bytes cost one more unit
CHUNK_UNITS = 1  # for each chunk of a body in the chunked encoding
PIECE_UNITS = 3  # for each piece of a body that is handed on
PAUSE_S = 0.002  # times the streams that wait: a pause costs work as well
READ_CHUNK_BYTES = 64 * 1024
MAX_BUFFER_BYTES = 256 * 1024  # of what was read from a socket and not taken yet


class Pace:
    """A budget of work units that is refilled with time. Work is charged as it is done, so the budget may be overdrawn;
    no more is read until it is balanced again.

    >>> now = [0.0]; pace = Pace(100, 10, lambda: now[0]); pace.charge(30); pace.delay_s()
    0.2
    >>> now[0] = 0.2; pace.delay_s()
    0.0
    """

    def __init__(self, units_per_s: float, burst_units: float, now: Callable[[], float]):
        self.units_per_s = units_per_s
        self.burst_units = burst_units
        self.now = now
        self.units = burst_units
        self.refilled_at = now()
        self.waiting = 0  # streams that read nothing for now

    def refill(self) -> None:
        """Add the units of the time that has passed."""
        now = self.now()
        gained = (now - self.refilled_at) * self.units_per_s
        self.units = min(self.burst_units, self.units + gained)
        self.refilled_at = now

    def charge(self, units: float) -> None:
        """Take units for work that was done: `pace.charge(1)`."""
        self.refill()
        self.units -= units

    def delay_s(self) -> float:
        """Return how long to wait before more is read; 0 while the budget is not overdrawn."""
        self.refill()
        return max(0.0, -self.units / self.units_per_s)

    def pause_s(self) -> float:
        """Return how long one more stream should wait before it reads more; 0 while the budget is not overdrawn."""
        delay_s = self.delay_s()
        return max(delay_s, PAUSE_S * (self.waiting + 1)) if delay_s else 0.0

    async def wait(self) -> None:
        """Wait until more may be read: `await pace.wait()`."""
        while self.delay_s():
            await self.wait_once()

    async def wait_once(self) -> None:
        """Wait for one pause, after which more may be read: `await pace.wait_once()`."""
        pause_s = self.pause_s()
        self.waiting += 1
        try:
            await asyncio.sleep(pause_s)
        finally:
            self.waiting -= 1

    def idle(self) -> bool:
        """Return whether the budget is full: a new one would be the same."""
        self.refill()
        return self.units >= self.burst_units


class PacedStream(IOStream):
    """A stream that reads from its socket only while its pace allows it. It works on these of tornado's methods:
    `read_from_fd`, `read_until`, `_add_io_state` and `_handle_events`."""

    def __init__(self, sock: socket.socket, pace: Pace, max_buffer_bytes: int = MAX_BUFFER_BYTES):
        self.pace = pace
        self.resume_timer: asyncio.TimerHandle | None = None
        super().__init__(sock, max_buffer_size=max_buffer_bytes, read_chunk_size=READ_CHUNK_BYTES)

    def read_from_fd(self, buf: bytearray | memoryview) -> int | None:
        """Read what has arrived, or nothing while the pace does not allow it."""
        if self.pace.delay_s():
            self.pause_reading()
            return None
        size = super().read_from_fd(buf)
        if size:
            self.pace.charge(READ_UNITS + size // UNIT_BYTES)
        return size

    def read_until(self, delimiter: bytes, max_bytes: int | None = None) -> asyncio.Future:
        """Read up to a delimiter, such as the end of a chunk's size, once the pace allows it."""
        self.pace.charge(CHUNK_UNITS)
        if self.closed() or not self.pace.delay_s():
            return super().read_until(delimiter, max_bytes)
        return asyncio.ensure_future(self.read_until_later(delimiter, max_bytes))

    async def read_until_later(self, delimiter: bytes, max_bytes: int | None) -> bytes:
        """Wait until the pace allows it or the stream is closed, then read up to a delimiter."""
        while not self.closed() and self.pace.delay_s():
            await self.pace.wait_once()
        return await super().read_until(delimiter, max_bytes)

    def pause_reading(self) -> None:
        """Do not listen for data until the pace may allow it."""
        if self.resume_timer is None:
            loop = asyncio.get_running_loop()
            self.resume_timer = loop.call_later(self.pace.pause_s(), self.resume_reading)
            self.pace.waiting += 1

    def end_pause(self) -> None:
        """Forget the pause, if there is one."""
        if self.resume_timer is not None:
            self.resume_timer.cancel()
            self.resume_timer = None
            self.pace.waiting -= 1

    def resume_reading(self) -> None:
        """Listen for data again."""
        self.end_pause()
        if not self.closed():
            self._add_io_state(self.io_loop.READ)

    def _add_io_state(self, state: int) -> None:
        if self.resume_timer is not None:
            state &= ~self.io_loop.READ
            if not state:
                return
        super()._add_io_state(state)

    def _handle_events(self, fd: int, events: int) -> None:
        super()._handle_events(fd, events)
        listens = self._state is not None and self._state & self.io_loop.READ
        if self.resume_timer is not None and listens and not self.closed():
            self._state &= ~self.io_loop.READ
            self.io_loop.update_handler(self.fileno(), self._state)

    def close_fd(self) -> None:
        """Close the socket."""
        self.end_pause()
        super().close_fd()
