"""Events: cuts a stream of events into whole ones, so that only whole ones are passed on."""

from typing import NamedTuple


class Event(NamedTuple):
    """One event: its bytes as they came, its id, its data.

    >>> Event(b'id: 1\\n\\n', '1', None).ident
    '1'
    """

    raw: bytes
    ident: str | None
    data: bytes | None


class Events:
    """Takes bytes, gives whole events.

    >>> e = Events(); e.take(b'id: 1\\ndata: a\\n\\nid: 2\\nda')
    [Event(raw=b'id: 1\\ndata: a\\n\\n', ident='1', data=b'a')]
    >>> e.take(b'ta: b\\ndata: c\\n\\n')[0].data, e.left
    (b'b\\nc', b'')
    >>> e.take(b'x-version: 3\\nid:4\\r\\ndata:z\\r\\n\\r\\n')
    [Event(raw=b'x-version: 3\\nid:4\\r\\ndata:z\\r\\n\\r\\n', ident='4', data=b'z')]
    """

    def __init__(self):
        self.left = b''

    def take(self, more: bytes) -> list[Event]:
        """The events that are whole now: `events.take(b'...')`."""
        self.left += more
        out = []
        while True:
            end, size = self.left.find(b'\n\n'), 2
            other = self.left.find(b'\r\n\r\n')
            if other >= 0 and (end < 0 or other < end):
                end, size = other, 4
            if end < 0:
                return out
            raw, self.left = self.left[: end + size], self.left[end + size :]
            out.append(read(raw))


def read(raw: bytes) -> Event:
    """One event's id and data: `read(b'id: 1\\ndata: a\\n\\n')`."""
    ident, data = None, []
    for line in raw.splitlines():
        name, _, value = line.partition(b':')
        value = value[1:] if value.startswith(b' ') else value
        if name == b'data':
            data.append(value)
        elif name == b'id':
            ident = value.decode('latin1')
    return Event(raw, ident, b'\n'.join(data) if data else None)
