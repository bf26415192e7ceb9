"""Foreign program: what somebody else runs at the internal address of a machine that is gone."""

import asyncio
import random
from typing import Any

from quillstall.network.net import MAGIC, FrameDecoder, encode_message, frame_of, parse_address

MAX_READ_BYTES = 65536
FOREIGN_REPLIES: tuple[dict, ...] = (
    {},
    {'k': 1},
    {'fault': 5},
    {'fault': None, 'wait_ms': 'x'},
    {'fault': 'core_away', 'more': 7},
    {'ok': True},
    {'ok': 'x', 'fleet': 3, 'core': [1]},
    {'term': None},
    {'generation': 'x', 'policy': 5},
    {'core': ['nowhere'], 'at': 5, 'me': None},
    {'ok': True, 'fleet': 'f', 'epoch': 1, 'core': 'x', 'lease_ms': float('nan'), 'place': []},
)
MESSAGES = frame_of(1, encode_message({'k': 'who'})) * 200
MESSAGES_PAUSE_S = 0.01
MESSAGE_LINKS = 3


class ForeignProgram:
    """A server that speaks the frames of the protocol and answers each with a reply of another type."""

    def __init__(self, address: str, dice: random.Random):
        self.address = address
        self.dice = dice
        self.answered = 0
        self.server: asyncio.Server | None = None

    async def open(self) -> None:
        """Listen: `await program.open()`."""
        self.server = await asyncio.start_server(self.serve, *parse_address(self.address))

    async def serve(self, reader: Any, writer: Any) -> None:
        """Answer each frame of one connection."""
        decoder, begun = FrameDecoder(), False
        try:
            while data := await reader.read(MAX_READ_BYTES):
                if not begun:
                    data, begun = data[len(MAGIC) :], True
                for call_number, _ in decoder.feed(data):
                    self.answered += 1
                    reply = self.dice.choice(FOREIGN_REPLIES)
                    writer.write(frame_of(call_number, encode_message(reply)))
                await writer.drain()
        except OSError:
            pass
        finally:
            writer.close()

    def close(self) -> None:
        """Stop listening: `program.close()`."""
        if self.server:
            self.server.close()


async def send_messages(address: str, span_s: float) -> None:
    """Send messages to a process on some connections, as fast as it reads them: `await send_messages(address, 2.0)`."""

    async def send() -> None:
        _, writer = await asyncio.open_connection(*parse_address(address))
        try:
            writer.write(MAGIC)
            while not writer.is_closing():
                writer.write(MESSAGES)
                await writer.drain()
                await asyncio.sleep(MESSAGES_PAUSE_S)
        finally:
            writer.close()

    try:
        async with asyncio.timeout(span_s):
            await asyncio.gather(*[send() for _ in range(MESSAGE_LINKS)])
    except (OSError, TimeoutError):
        pass
