"""Responses without end, as a faulty back end sends them until its caller closes the connection.

Each kind is a head and an endless series of pieces. The names are used by features and by the soak.
"""

import asyncio
import itertools
from collections.abc import Callable, Iterator
from typing import NamedTuple

PIECE_BYTES = 16 * 1024
DECLARED_BODY_BYTES = 60 * 1024 * 1024
IMPOSSIBLE_LENGTH = 10**15
IMPOSSIBLE_CHUNK = 2**60
EVENT_TEXT = b'0123456789' * 4


class EndlessResponse(NamedTuple):
    """The bytes of a response: its head, then pieces for as long as the caller reads.

    >>> response = KINDS['header lines']('x1')
    >>> response.head, next(response.pieces)[:11]
    (b'HTTP/1.1 200 OK\\r\\n', b'X-More: 1\\r\\n')
    """

    head: bytes
    pieces: Iterator[bytes]
    pause_s: float = 0.0  # between pieces


def head_of(request_id: str, *lines: str) -> bytes:
    """Return a head that identifies itself as the response to a request.

    >>> head_of('x1', 'Content-Length: 0').count(b'\\r\\n')
    5
    """
    rows = [
        'HTTP/1.1 200 OK',
        f'X-Quillstall-Request-Id: {request_id}',
        'X-Quillstall-Response-Signature: endless',
        *lines,
    ]
    return ('\r\n'.join(rows) + '\r\n\r\n').encode()


def chunked(pieces: Iterator[bytes]) -> Iterator[bytes]:
    """Return pieces in the chunked encoding, without the last chunk."""
    return (b'%x\r\n%s\r\n' % (len(piece), piece) for piece in pieces)


def of_bytes(piece: bytes) -> Iterator[bytes]:
    """Return one piece again and again."""
    return itertools.repeat(piece)


def event(number: int) -> bytes:
    """Return one whole event of a stream."""
    return b'id: %d\ndata: %s\n\n' % (number, EVENT_TEXT)


def whole_events() -> Iterator[bytes]:
    """Return whole events, many in a piece."""
    numbers = itertools.count(1)
    while True:
        yield b''.join(event(next(numbers)) for _ in range(200))


def surplus_responses() -> Iterator[bytes]:
    """Return whole responses to requests that nobody sent."""
    for number in itertools.count(1):
        yield head_of(f'surplus{number}', 'Content-Length: 10') + bytes(10)


def single_bytes(data: bytes) -> Iterator[bytes]:
    """Return the bytes of a text one by one, again and again."""
    return itertools.cycle([data[at : at + 1] for at in range(len(data))])


STREAM = 'Content-Type: text/event-stream'
CHUNKED = 'Transfer-Encoding: chunked'
LINE = b'x' * PIECE_BYTES

# kind: the response to a request of this id
KINDS: dict[str, Callable[[str], EndlessResponse]] = {
    'event in one line': lambda ident: EndlessResponse(
        head_of(ident, STREAM, CHUNKED), chunked(itertools.chain([b'id: 1\ndata: '], of_bytes(LINE)))
    ),
    'event in many lines': lambda ident: EndlessResponse(
        head_of(ident, STREAM, CHUNKED), chunked(of_bytes(b'data: ' + EVENT_TEXT + b'\n'))
    ),
    'event until the connection ends': lambda ident: EndlessResponse(head_of(ident, STREAM), of_bytes(LINE)),
    'whole events': lambda ident: EndlessResponse(head_of(ident, STREAM, CHUNKED), chunked(whole_events())),
    'body in chunks': lambda ident: EndlessResponse(head_of(ident, CHUNKED), chunked(of_bytes(LINE))),
    'body until the connection ends': lambda ident: EndlessResponse(head_of(ident), of_bytes(LINE)),
    'body with a length of 60 MB': lambda ident: EndlessResponse(
        head_of(ident, f'Content-Length: {DECLARED_BODY_BYTES}'), of_bytes(LINE)
    ),
    'body in chunks of a byte': lambda ident: EndlessResponse(
        head_of(ident, CHUNKED), of_bytes(b'1\r\nx\r\n' * 2000)
    ),
    'surplus answers': lambda ident: EndlessResponse(b'', surplus_responses()),
    'noise after a sound answer': lambda ident: EndlessResponse(
        head_of(ident, 'Content-Length: 2') + b'ok', of_bytes(LINE)
    ),
    'noise': lambda ident: EndlessResponse(b'', of_bytes(LINE)),
    'header line': lambda ident: EndlessResponse(b'HTTP/1.1 200 OK\r\nX-Long: ', of_bytes(LINE)),
    'header lines': lambda ident: EndlessResponse(b'HTTP/1.1 200 OK\r\n', of_bytes(b'X-More: 1\r\n' * 1000)),
    'interim answers': lambda ident: EndlessResponse(b'', of_bytes(b'HTTP/1.1 100 Continue\r\n\r\n' * 500)),
    'impossible length': lambda ident: EndlessResponse(
        head_of(ident, f'Content-Length: {IMPOSSIBLE_LENGTH}'), of_bytes(LINE)
    ),
    'impossible chunk': lambda ident: EndlessResponse(
        head_of(ident, CHUNKED), itertools.chain([b'%x\r\n' % IMPOSSIBLE_CHUNK], of_bytes(LINE))
    ),
    'chunk extension': lambda ident: EndlessResponse(
        head_of(ident, CHUNKED), itertools.chain([b'1;'], of_bytes(LINE))
    ),
    'head byte by byte': lambda ident: EndlessResponse(
        b'HTTP/1.1 200 OK\r\nX-Long: ', single_bytes(b'abc'), 0.001
    ),
    'event byte by byte': lambda ident: EndlessResponse(
        head_of(ident, STREAM), single_bytes(b'data: a\n'), 0.001
    ),
    'body byte by byte': lambda ident: EndlessResponse(head_of(ident), single_bytes(b'abc'), 0.001),
}


async def send(writer: asyncio.StreamWriter, response: EndlessResponse) -> None:
    """Send a response until the connection is closed. Raises OSError then."""
    writer.write(response.head)
    for piece in response.pieces:
        writer.write(piece)
        await writer.drain()
        if response.pause_s:
            await asyncio.sleep(response.pause_s)
