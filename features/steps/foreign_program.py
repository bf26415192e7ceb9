"""A program of somebody else that answers at the internal address of a machine that is gone."""

import asyncio
import random

from loop_thread import LoopThread

from quillstall.network.net import MAGIC, FrameDecoder, encode_message, frame_of

MAX_READ_BYTES = 65536
FOREIGN_REPLIES = (
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


class ForeignProgram:
    """A server in a thread of its own that speaks the frames of the protocol and answers each with another shape."""

    def __init__(self, address, seed):
        self.address = address
        self.dice = random.Random(seed)
        self.answered = 0
        self.servers = LoopThread()

    def open(self):
        """Start to listen."""
        self.servers.open(self.listen())

    async def listen(self):
        """Open the listening socket."""
        await asyncio.start_server(self.serve, *self.address)

    async def serve(self, reader, writer):
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

    def close(self):
        """Stop listening."""
        self.servers.close()
