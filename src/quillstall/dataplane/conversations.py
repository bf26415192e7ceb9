"""The conversations of programs: read from the stores before a turn runs, and continued in them after it.

A store retains a turn as its own input and output and the name of the turn before it. It acknowledges a turn only
if every turn before it is retained as well; otherwise the node sends it again with the whole conversation, which it
still holds. So whatever becomes of older turns while one runs, a turn that was acknowledged has its whole chain.
"""

import asyncio
from datetime import datetime, timedelta
from typing import Any, NamedTuple

from quillstall.dataplane.dialect import Request
from quillstall.dataplane.turn_cache import CachedTurn, TurnCache
from quillstall.runtime.clock import from_ms
from quillstall.runtime.errors import Fault

STORE_WRITE_GRACE = from_ms(400)  # past the deadline: the longest wait for the store to retain a turn


class Conversation(NamedTuple):
    """What was said before a turn.

    >>> Conversation(b'all of it').previous_turn is None
    True
    """

    data: bytes
    previous_turn: str | None = (
        None  # its last turn in the program's partition; None: to be stored with the turn
    )


def is_retained(route: dict) -> bool:
    """Return whether the turns of a route are retained.

    >>> is_retained({'keep': True}), is_retained({})
    (True, False)
    """
    return bool(route.get('keep'))


class Conversations:
    """Reads and continues conversations for the gateway of one routing node."""

    def __init__(self, node: Any):
        self.node = node
        self.cache = TurnCache()

    async def begin(
        self, route: dict, request: Request, time_left: timedelta, until: datetime
    ) -> Conversation:
        """Reserve a turn's tokens in the store; return the conversation before it.

        Raises Fault 'budget', 'turn_unknown' or 'store_away'.
        """
        previous_turn = request.previous_turn if is_retained(route) else None
        cached = self.cache.conversation(previous_turn)
        command = {
            'op': 'turn_begin',
            'program': request.program,
            'turn': request.request_id,
            'budget': request.token_budget,
            'hold': request.max_tokens,
            'previous': previous_turn,
            'has': cached is not None,
            'span_s': time_left.total_seconds(),
        }
        try:
            reply = await self.node.call_store(request.program, command, until)
        except Fault as e:
            if e.code == 'store_away':  # the tokens may be reserved: release them, nothing will be sent
                self.settle(request, 0)
            if e.code != 'turn_unknown':
                raise
            if e.more.get('broken'):
                self.node.ctx.journal.violated('whole_chain', turn=previous_turn)
            found = await self.find(previous_turn, until)
            await self.node.call_store(request.program, {**command, 'has': True}, until)
            return Conversation(found)
        data = cached if cached is not None else b''.join(reply['chain'])
        if previous_turn and self.cache.program_of(previous_turn) not in (None, request.program):
            return Conversation(data)
        return Conversation(data, previous_turn)

    async def find(self, turn_id: str, until: datetime) -> bytes:
        """Return the conversation up to a turn of any program, from whichever partition retains it.

        Raises Fault 'turn_unknown' if no partition retains it, 'store_away' if not all of them answered.
        """
        node = self.node
        node.ctx.journal.count('turns.sought')
        calls = [
            node.call_partition(partition, {'op': 'turn_find', 'previous': turn_id}, until)
            for partition in sorted(node.replica_sets)
        ]
        replies = await asyncio.gather(*calls, return_exceptions=True)
        for reply in replies:
            if isinstance(reply, dict):
                return b''.join(reply['chain'])
        if replies and all(isinstance(r, Fault) and r.code == 'turn_unknown' for r in replies):
            raise Fault('turn_unknown', turn_id)
        raise Fault('store_away', 'not every partition answered whether it retains this turn', wait_ms=500)

    async def retain(
        self,
        route: dict,
        request: Request,
        conversation: Conversation,
        output: bytes,
        used_tokens: int,
        deadline: datetime,
    ) -> None:
        """Charge a turn that has ended whole, and retain it with its conversation. Raises Fault 'not_kept'."""
        own_data = request.body + output
        whole = CachedTurn(request.program, None, conversation.data + own_data)
        turn = whole
        if conversation.previous_turn is not None:
            turn = CachedTurn(request.program, conversation.previous_turn, own_data)
        try:
            await self.store(route, request, turn, used_tokens, deadline)
        except Fault as e:
            if e.code != 'turn_unknown':
                raise
            self.node.ctx.journal.count('turns.copied')
            turn = whole
            await self.store(route, request, turn, used_tokens, deadline)
        self.cache.put(request.request_id, turn)

    async def store(
        self, route: dict, request: Request, turn: CachedTurn, used_tokens: int, deadline: datetime
    ) -> None:
        """Store a turn. Raises Fault 'turn_unknown' if the turns before it are not all retained, 'not_kept'."""
        node = self.node
        await node.call_store(
            request.program,
            {
                'op': 'turn_end',
                'program': request.program,
                'turn': request.request_id,
                'used': used_tokens,
                'keeping_s': route.get('keeping_s', 60),
                'keep': {'previous': turn.previous_turn, 'data': turn.data},
                'whole': True,
            },
            max(deadline, node.ctx.clock.now() + STORE_WRITE_GRACE),
            'not_kept',
        )

    def settle(self, request: Request, used_tokens: int) -> None:
        """Charge a turn that is not retained, and release its reservation, in the background."""
        command = {
            'op': 'turn_end',
            'program': request.program,
            'turn': request.request_id,
            'used': used_tokens,
        }
        self.node.spawn(self.node.call_store_in_background(request.program, command))
