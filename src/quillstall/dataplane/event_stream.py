"""Splits a stream of server-sent events into complete events, so that only complete ones are forwarded."""

import re
from collections.abc import Iterator
from typing import NamedTuple

from quillstall.runtime.errors import Fault

MAX_EVENT_BYTES = 256 * 1024
MAX_BATCH = 64  # events that are returned at a time
EVENT_END = re.compile(rb'\n\n|\r\n\r\n')
MAX_SEPARATOR_BYTES = 4


class Event(NamedTuple):
    """One server-sent event: its bytes as received, its id and its data.

    >>> Event(b'id: 1\\n\\n', '1', None).ident
    '1'
    """

    raw: bytes
    ident: str | None
    data: bytes | None


class EventStreamParser:
    """Incremental parser: takes chunks of bytes, returns the events that they complete, some at a time.

    >>> e = EventStreamParser(); list(e.feed(b'id: 1\\ndata: a\\n\\nid: 2\\nda'))
    [[Event(raw=b'id: 1\\ndata: a\\n\\n', ident='1', data=b'a')]]
    >>> next(e.feed(b'ta: b\\ndata: c\\n\\n'))[0].data, e.remainder
    (b'b\\nc', bytearray(b''))
    >>> next(e.feed(b'x-version: 3\\nid:4\\r\\ndata:z\\r\\n\\r\\n'))
    [Event(raw=b'x-version: 3\\nid:4\\r\\ndata:z\\r\\n\\r\\n', ident='4', data=b'z')]
    """

    def __init__(self, max_event_bytes: int = MAX_EVENT_BYTES):
        self.max_event_bytes = max_event_bytes
        self.remainder = bytearray()  # of an event that is not complete
        self.searched = 0  # bytes of the remainder in which no event ends

    def feed(self, chunk: bytes) -> Iterator[list[Event]]:
        """Yield the events completed by a chunk, `MAX_BATCH` at a time. Raises Fault 'lost' at an event that is too
        long: `for events in parser.feed(b'...')`."""
        self.remainder += chunk
        start, events = 0, []
        while found := EVENT_END.search(self.remainder, max(start, self.searched)):
            events.append(parse_event(bytes(self.remainder[start : found.end()])))
            start = self.searched = found.end()
            if len(events) == MAX_BATCH:
                yield events
                events = []
        del self.remainder[:start]
        self.searched = max(0, len(self.remainder) - MAX_SEPARATOR_BYTES + 1)
        if events:
            yield events
        if len(self.remainder) > self.max_event_bytes:
            raise Fault('lost', f'an event of more than {self.max_event_bytes} bytes')


def parse_event(raw: bytes) -> Event:
    """Parse the id and the data of one event: `parse_event(b'id: 1\\ndata: a\\n\\n')`."""
    ident, data = None, []
    for line in raw.splitlines():
        name, _, value = line.partition(b':')
        value = value[1:] if value.startswith(b' ') else value
        if name == b'data':
            data.append(value)
        elif name == b'id':
            ident = value.decode('latin1')
    return Event(raw, ident, b'\n'.join(data) if data else None)
