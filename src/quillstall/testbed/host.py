"""Host: how the machine that a fleet of real processes runs on does meanwhile, so that a finding can be told from it."""

import asyncio
import os
import time

PAUSE_S = 0.2
BLOCK = b'x' * 4096


class HostDisk:
    """Syncs a small file of its own now and then. All processes of a fleet share this machine's disk: where it stands
    still, all their disks do, which is more than any deployment promises to bear."""

    def __init__(self, folder: str):
        self.path = os.path.join(folder, 'host-sync')
        self.longest_ms = 0

    async def watch(self) -> None:
        """Sync over and over, and keep how long it took at most: `await disk.watch()`."""
        while True:
            took_s = await asyncio.to_thread(self.sync)
            self.longest_ms = max(self.longest_ms, round(took_s * 1000))
            await asyncio.sleep(PAUSE_S)

    def sync(self) -> float:
        """How long one sync takes, in seconds: `disk.sync()`."""
        with open(self.path, 'wb') as file:
            file.write(BLOCK)
            file.flush()
            began = time.monotonic()
            os.fsync(file.fileno())
            return time.monotonic() - began
