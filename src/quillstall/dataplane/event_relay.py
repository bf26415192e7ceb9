"""Passes the events of one turn on to its caller, from one replica after another."""

from collections.abc import Callable
from datetime import datetime
from typing import Any

from quillstall.dataplane.event_stream import Event, EventStreamParser
from quillstall.dataplane.stalls import StallWatch
from quillstall.network.httpclient import Exchange
from quillstall.runtime.errors import Fault

EVENT_UNITS = 1  # of work at the pace of the replica's pool
EXPECTED_EVENTS_FACTOR = 2  # times the events that a turn's tokens need, as an event may carry fewer tokens
EXPECTED_EVENTS_SLACK = 64


def most_events(max_tokens: int, event_tokens: int) -> int | None:
    """Return the most events that a turn may have; None if it does not say how many tokens it puts out.

    >>> most_events(100, 20), most_events(0, 20)
    (74, None)
    """
    if not max_tokens:
        return None
    return -(-max_tokens // event_tokens) * EXPECTED_EVENTS_FACTOR + EXPECTED_EVENTS_SLACK


class EventRelay:
    """What has been passed on of one turn.

    The bytes that it holds, and the output if that is retained, are reserved as the response's. An event that is too
    long or out of order, or one event too many, breaks the attempt off.
    """

    def __init__(
        self,
        response: Any,
        clock: Any,
        deadline: datetime,
        last_event_id: str | None,
        max_events: int | None,
        retain: bool,
        note_disorder: Callable[[str], None],
    ):
        self.response = response
        self.clock = clock
        self.deadline = deadline
        self.last_event_id = last_event_id
        self.max_events = max_events
        self.retain = retain
        self.note_disorder = note_disorder
        self.output: list[bytes] = []
        self.forwarded = 0  # events

    async def relay(self, exchange: Exchange, watch: StallWatch, on_events: Callable[[int], None]) -> None:
        """Pass on the events of one replica's response until it ends. Raises Fault if it does not end in order.

        `on_events` is called with the number of events before they are passed on.
        """
        parser = EventStreamParser()
        passing, held = self.response.response_bytes, 0
        try:
            while (data := await watch.wait(exchange.read_data)) is not None:
                if self.clock.now() >= self.deadline:
                    raise Fault('slow', 'the stream goes on at its deadline')
                self.reserve(len(data))
                held += len(data)
                for events in parser.feed(data):
                    await self.pass_on(events, on_events)
                    exchange.pace.charge(len(events) * EVENT_UNITS)
                    await exchange.pace.wait()
                passing.shrink(held - len(parser.remainder))
                held = len(parser.remainder)
        finally:
            passing.shrink(held)
        if parser.remainder.strip():
            raise Fault('lost', 'the stream ended in the middle of an event')

    async def pass_on(self, events: list[Event], on_events: Callable[[int], None]) -> None:
        """Check some events and pass them on."""
        on_events(len(events))
        last_event_id = self.checked(events)
        if self.retain:
            data = b''.join((event.data or b'') + b'\n' for event in events)
            self.reserve(len(data))
            self.output.append(data)
        self.last_event_id = last_event_id
        self.forwarded += len(events)
        await self.response.write(b''.join(event.raw for event in events))

    def checked(self, events: list[Event]) -> str | None:
        """Return the last id of some events. Raises Fault 'lost' if they may not follow those before them."""
        if self.max_events is not None and self.forwarded + len(events) > self.max_events:
            raise Fault('lost', f'more than {self.max_events} events')
        last = self.last_event_id
        for event in events:
            if not may_follow(last, event.ident):
                self.note_disorder(last or '')
                raise Fault('lost', f'event {event.ident} came after {last}')
            last = event.ident or last
        return last

    def reserve(self, size: int) -> None:
        """Reserve room for what is held. Raises Fault 'lost' if the pool's responses hold as much as they may."""
        if not self.response.response_bytes.try_grow(size):
            raise Fault('lost', 'this node has no memory for the stream', more={'ours': True})


def may_follow(last_event_id: str | None, event_id: str | None) -> bool:
    """Return whether an event may follow another in one stream: numeric ids must increase.

    >>> may_follow('2', '3'), may_follow(None, '1'), may_follow('3', '3'), may_follow('3', None), may_follow('a', 'b')
    (True, True, False, True, True)
    """
    last_rank, rank = numeric_rank(last_event_id), numeric_rank(event_id)
    return last_rank is None or rank is None or rank > last_rank


def numeric_rank(event_id: str | None) -> tuple[int, str] | None:
    """Return what orders numeric ids of any length by their numbers, None for other ids.

    >>> numeric_rank('12') > numeric_rank('9'), numeric_rank('012') == numeric_rank('12'), numeric_rank('\\u00b2')
    (True, True, None)
    """
    if event_id is None or not (event_id.isascii() and event_id.isdigit()):
        return None
    digits = event_id.lstrip('0')
    return len(digits), digits
