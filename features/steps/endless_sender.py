"""Sends messages or requests without end for some seconds: `endless_sender.py KIND HOST PORT COUNT SECONDS`."""

import asyncio
import sys

import cbor2

from quillstall.network.net import MAGIC, frame_of

DRIP_PAUSE_S = 0.001
REQUEST = b'POST /none HTTP/1.1\r\nHost: h\r\n'
SMALL = frame_of(1, cbor2.dumps({'k': 'who'}))
LARGE = frame_of(1, cbor2.dumps({'k': 'who', 'more': bytes(60_000)}))

# kind: what begins a connection, what is sent again and again, the pause after each
KINDS = {
    'small messages': (MAGIC, SMALL * 500, 0),
    'messages of 60 KB': (MAGIC, LARGE, 0),
    'messages byte by byte': (MAGIC + b'\x01\x00\x00\x00', b'x', DRIP_PAUSE_S),
    'a body in chunks of a byte': (
        REQUEST + b'Transfer-Encoding: chunked\r\n\r\n',
        b'1\r\nx\r\n' * 2000,
        0,
    ),
    'a head byte by byte': (REQUEST + b'X-Long: ', b'x', DRIP_PAUSE_S),
    'header lines': (REQUEST, b'X-More: 1\r\n' * 500, 0),
}


async def send(kind, host, port):
    """Send on one connection after another."""
    beginning, piece, pause_s = KINDS[kind]
    while True:
        try:
            reader, writer = await asyncio.open_connection(host, port)
        except OSError:
            await asyncio.sleep(0.1)
            continue
        dropping = asyncio.ensure_future(drop(reader))
        try:
            writer.write(beginning)
            while not writer.is_closing():
                writer.write(piece)
                await writer.drain()
                await asyncio.sleep(pause_s)
        except OSError:
            pass
        finally:
            dropping.cancel()
            writer.close()
        await asyncio.sleep(0.1)


async def drop(reader):
    """Read what is answered, and keep nothing of it."""
    try:
        while await reader.read(2**16):
            pass
    except OSError:
        pass


async def main(kind, host, port, count, seconds):
    try:
        async with asyncio.timeout(float(seconds)):
            await asyncio.gather(*[send(kind, host, int(port)) for _ in range(int(count))])
    except TimeoutError:
        pass


if __name__ == '__main__':
    asyncio.run(main(*sys.argv[1:]))
