"""Wires: the links between a fleet's real processes, run through this process so that they can be cut.

Each process listens beside its address; here its address is served and its bytes are passed on. Where a link
comes from is known by its IP number, since processes start their links from their own.
"""

import asyncio
import random
from typing import Any

from quillstall.network.net import parse_address


def behind(address: str) -> str:
    """Where the process itself listens.

    >>> behind('127.0.1.1:7000')
    '127.0.1.1:7002'
    """
    host, port = parse_address(address)
    return f'{host}:{port + 2}'


class Wires:
    """All links of one fleet. A cut holds bytes; once healed they go on, as on a network that was slow."""

    def __init__(self, dice: random.Random | None = None):
        self.cuts: set[tuple[str, str]] = set()
        self.breaks: dict[str, float] = {}  # IP number -> how likely a message to or from it breaks its link
        self.dice = dice or random.Random()
        self.healed = asyncio.Event()
        self.servers: list = []
        self.tasks: set = set()

    async def open(self, addresses: list[str]) -> None:
        """Serve these addresses: `await wires.open(['127.0.1.1:7000'])`."""
        for address in addresses:
            self.servers.append(
                await asyncio.start_server(
                    lambda r, w, at=address: self.link(r, w, at), *parse_address(address)
                )
            )

    async def link(self, reader: Any, writer: Any, address: str) -> None:
        """One link, until either side ends it."""
        here, there = writer.get_extra_info('peername')[0], parse_address(address)[0]
        try:
            back_reader, back_writer = await asyncio.open_connection(*parse_address(behind(address)))
        except OSError:
            writer.close()
            return
        pumps = [
            asyncio.ensure_future(self.pump(reader, back_writer, (here, there))),
            asyncio.ensure_future(self.pump(back_reader, writer, (there, here))),
        ]
        self.tasks.update(pumps)
        await asyncio.wait(pumps, return_when=asyncio.FIRST_COMPLETED)
        for pump in pumps:
            pump.cancel()
            self.tasks.discard(pump)
        writer.close()
        back_writer.close()

    async def pump(self, reader: Any, writer: Any, way: tuple[str, str]) -> None:
        try:
            while data := await reader.read(65536):
                while way in self.cuts:
                    self.healed.clear()
                    await self.healed.wait()
                if self.dice.random() < max(self.breaks.get(host, 0.0) for host in way):
                    return  # whoever waits for an answer on this link does not get it
                writer.write(data)
                await writer.drain()
        except OSError:
            return

    def cut(self, one: str, two: str) -> None:
        """Hold what goes from one IP number to another: `wires.cut('127.0.1.1', '127.0.1.2')`."""
        self.cuts.add((one, two))

    def mend(self, ways: set[tuple[str, str]]) -> None:
        """These cuts end, others stay: `wires.mend({('127.0.1.1', '127.0.1.2')})`."""
        self.cuts -= ways
        self.healed.set()

    def heal(self) -> None:
        """All cuts end: `wires.heal()`."""
        self.cuts.clear()
        self.healed.set()

    def close(self) -> None:
        """Stop serving: `wires.close()`."""
        for server in self.servers:
            server.close()
        for pump in list(self.tasks):
            pump.cancel()
