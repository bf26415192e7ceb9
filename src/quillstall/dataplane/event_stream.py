"""Splits a stream of server-sent events into complete events, so that only complete ones are forwarded."""

from typing import NamedTuple


class Event(NamedTuple):
    """One server-sent event: its bytes as received, its id and its data.

    >>> Event(b'id: 1\\n\\n', '1', None).ident
    '1'
    """

    raw: bytes
    ident: str | None
    data: bytes | None


class EventStreamParser:
    """Incremental parser: takes chunks of bytes, returns the events that they complete.

    >>> e = EventStreamParser(); e.feed(b'id: 1\\ndata: a\\n\\nid: 2\\nda')
    [Event(raw=b'id: 1\\ndata: a\\n\\n', ident='1', data=b'a')]
    >>> e.feed(b'ta: b\\ndata: c\\n\\n')[0].data, e.remainder
    (b'b\\nc', b'')
    >>> e.feed(b'x-version: 3\\nid:4\\r\\ndata:z\\r\\n\\r\\n')
    [Event(raw=b'x-version: 3\\nid:4\\r\\ndata:z\\r\\n\\r\\n', ident='4', data=b'z')]
    """

    def __init__(self):
        self.remainder = b''

    def feed(self, chunk: bytes) -> list[Event]:
        """Return the events completed by a chunk: `parser.feed(b'...')`."""
        self.remainder += chunk
        events = []
        while True:
            end, separator_length = self.remainder.find(b'\n\n'), 2
            crlf_end = self.remainder.find(b'\r\n\r\n')
            if crlf_end >= 0 and (end < 0 or crlf_end < end):
                end, separator_length = crlf_end, 4
            if end < 0:
                return events
            raw, self.remainder = (
                self.remainder[: end + separator_length],
                self.remainder[end + separator_length :],
            )
            events.append(parse_event(raw))


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
