"""Refuses new work at a store whose tables have grown as large as the memory limit of its process allows.

All rows are held in memory. Work that has begun is brought to its end, and rows that expire make room again.
"""

from collections.abc import Awaitable, Callable
from typing import Any

from quillstall.runtime.errors import Fault
from quillstall.runtime.process import Context

GROWING_OPERATIONS = frozenset({'begin', 'turn_begin', 'once_begin'})
RETRY_MS = 1000


class TableLimit:
    """Passes messages on to the handler of a store, but for the commands that begin new work while there is no room."""

    def __init__(self, ctx: Context, handler: Callable[[dict], Awaitable[dict]]):
        self.ctx = ctx
        self.handler = handler
        self.reported_full = False

    def is_full(self) -> bool:
        """Return whether the tables take as much as they may, and log when that changes."""
        full = self.ctx.disk.table_bytes > self.ctx.budgets.table_bytes
        if full != self.reported_full:
            self.reported_full = full
            self.ctx.journal.note('table_full' if full else 'table_has_room', bytes=self.ctx.disk.table_bytes)
        return full

    async def handle(self, message: dict[str, Any]) -> dict:
        """Return the reply to a message. Raises Fault 'store_away' for new work that there is no room for."""
        command = message.get('command') or {}
        if command.get('op') in GROWING_OPERATIONS and self.is_full():
            self.ctx.journal.count('table.full')
            raise Fault('store_away', 'its tables are as large as its memory allows', wait_ms=RETRY_MS)
        return await self.handler(message)
