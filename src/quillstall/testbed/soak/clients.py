"""Clients of a soak run: programs and plain calls at the gateway, on real sockets, well behaved or not.

Each answer is judged as it comes; what can be judged only with the replicas' records is judged there too, since
they are kept in the same process.
"""

import asyncio
import random
from collections.abc import Callable
from dataclasses import dataclass, field, replace
from typing import Any

from quillstall.network.net import parse_address
from quillstall.testbed.soak.records import (
    EVENT_TOKENS,
    TURN_TOKENS_MOST,
    Records,
    RouteKind,
    Sent,
)
from quillstall.testbed.soak.replicas import answer_body, event_data, event_total

HOST = 'h.example'
DEADLINE_MS = {RouteKind.TURN: 4000, RouteKind.LINE: 4000}
DEADLINE_USUAL_MS = 2000
HUNG_S = 4.0  # so long past its deadline a request without any end counts as forgotten
CONNECT_S = 1.0
SLOW_BODY_S = 60.0  # the longest that a client takes to send a body in pieces, however busy this machine is
SLOW_PIECES_MOST = 500  # of a slow body
TRIES = 3
PROMISES = (402, 408, 421, 429, 503)  # it has not run and never will
NO_ANSWER = 0
BUDGET_LEAST, BUDGET_MOST = 60, 600
PROGRAM_TURNS_MOST = 6
CALLS_PER_S = 8.0
PROGRAMS_PER_S = 2.5
LARGE_BODY_CALLERS = 60
LARGE_BODY_BYTES = 3 * 2**20
STAYING_CLIENTS = 6  # each uses one connection until it is closed or the process is gone
STAYING_PAUSE_MOST_S = 0.4  # between two requests of theirs


@dataclass
class Answer:
    """What came back for one try."""

    status: int = NO_ANSWER
    headers: dict[str, str] = field(default_factory=dict)
    body: bytes = b''
    complete: bool = False
    kept: bool = False  # whether the request went over a connection that had carried others

    @property
    def budget_spent(self) -> bool:
        """Whether it says that the program's budget is spent."""
        return self.status in (402, 429) and b'"budget"' in self.body

    @property
    def well(self) -> bool:
        """Whether it is a whole success."""
        return self.status == 200 and self.complete


class Connection:
    """A client's connection to one routing node."""

    def __init__(self, node: str, reader: asyncio.StreamReader, writer: asyncio.StreamWriter):
        self.node = node
        self.reader = reader
        self.writer = writer
        self.used = 0

    async def head(self) -> tuple[int, dict[str, str]]:
        """Status and head of the next answer."""
        lines = (await self.reader.readuntil(b'\r\n\r\n')).decode('latin1').strip().split('\r\n')
        headers = {name.lower(): value.strip() for name, _, value in (x.partition(':') for x in lines[1:])}
        return int(lines[0].split(' ')[1]), headers

    async def body(self, answer: Answer) -> None:
        """The rest of an answer, as far as it comes."""
        if 'content-length' in answer.headers:
            answer.body = await self.reader.readexactly(int(answer.headers['content-length']))
            answer.complete = True
            return
        while not answer.complete:
            size = int(await self.reader.readuntil(b'\r\n'), 16)
            answer.body += (await self.reader.readexactly(size + 2))[:-2]
            answer.complete = size == 0

    def closed(self) -> bool:
        """Whether either side has closed it."""
        return self.writer.is_closing() or self.reader.at_eof()

    def close(self) -> None:
        self.writer.close()


def events_of(body: bytes) -> list[tuple[int, str]]:
    """The whole events of a stream: number and data.

    >>> events_of(b'id: 1\\ndata: a\\n\\nid: 2\\nda')
    [(1, 'a')]
    """
    out = []
    for block in body.split(b'\n\n')[:-1]:
        fields = dict(line.split(': ', 1) for line in block.decode().split('\n') if ': ' in line)
        out.append((int(fields['id']), fields['data']))
    return out


class Clients:
    """All clients of one run. `nodes()` returns the addresses of the gateways that may be called now,
    `was_in_trouble(gateway, since)` whether the node behind one was in trouble since a time."""

    def __init__(
        self,
        records: Records,
        dice: random.Random,
        now: Callable[[], float],
        nodes: Callable[[], list[str]],
        was_in_trouble: Callable[[str, float], bool],
    ):
        self.records = records
        self.dice = dice
        self.now = now
        self.nodes = nodes
        self.was_in_trouble = was_in_trouble
        self.idle: dict[str, list[Connection]] = {}
        self.tasks: set[asyncio.Task] = set()
        self.over = False
        self.misbehaving = False  # some leave early, send slowly, or send garbage
        self.last = 0
        self.spent: dict[str, int] = {}  # program -> tokens that its client was given
        self.strict = False  # planned work only: what was read must be answered
        self.calm = False  # no trouble at all: what is asked must be served
        self.calm_since = float('inf')
        self.calm_outcomes: dict[tuple[RouteKind, bool], int] = {}

    def spawn(self, work: Any) -> None:
        task = asyncio.ensure_future(work)
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)

    def name(self, prefix: str) -> str:
        self.last += 1
        return f'{prefix}{self.last}'

    async def play(self) -> None:
        """Start programs and calls until it is over: `await clients.play()`."""
        staying = [self.stay_connected() for _ in range(STAYING_CLIENTS)]
        await asyncio.gather(self.start_calls(), self.start_programs(), *staying)

    async def start_calls(self) -> None:
        while not self.over:
            await asyncio.sleep(self.dice.expovariate(CALLS_PER_S))
            kind = self.dice.choice((RouteKind.ANY, RouteKind.ONCE, RouteKind.KEYED, RouteKind.SPLIT))
            self.spawn(self.call(kind))
            if self.misbehaving and self.dice.random() < 0.5:
                self.spawn(self.send_garbage())

    def set_large_bodies(self, on: bool) -> None:
        """Let many callers send large bodies at once; they end by themselves."""
        if on:
            for _ in range(LARGE_BODY_CALLERS):
                self.spawn(self.send_large_body())

    async def send_large_body(self) -> None:
        """One request with a large body, which is served whole or refused whole."""
        ident, node = self.name('b'), self.dice.choice(self.nodes())
        body = ident.encode().ljust(LARGE_BODY_BYTES, b'.')
        await self.try_once(Sent(ident, RouteKind.ANY, '/any/large', body, self.now(), node), {}, body)

    async def start_programs(self) -> None:
        while not self.over:
            await asyncio.sleep(self.dice.expovariate(PROGRAMS_PER_S))
            self.spawn(self.program() if self.dice.random() < 0.75 else self.call(RouteKind.LINE))

    async def stay_connected(self) -> None:
        """Send one request after another on one connection, until its node closes it or is gone; then on another."""
        while not self.over:
            node = self.dice.choice(self.nodes())
            try:
                connection = await self.new_connection(node)
            except (OSError, TimeoutError):
                await asyncio.sleep(STAYING_PAUSE_MOST_S)
                continue
            while not self.over and not connection.closed():
                kind = self.dice.choice((RouteKind.ANY, RouteKind.ONCE, RouteKind.LINE))
                ident = self.name('s')
                body = f'{ident} stays'.encode()
                sent = Sent(ident, kind, f'/{kind.value}/s', body, self.now(), node)
                await self.try_once(sent, {}, body, connection)
                await asyncio.sleep(self.dice.uniform(0, STAYING_PAUSE_MOST_S))
            connection.close()

    async def finish(self, limit_s: float) -> None:
        """Wait for what is under way: `await clients.finish(10)`."""
        self.over = True
        if self.tasks:
            await asyncio.wait(set(self.tasks), timeout=limit_s)
        for task in list(self.tasks):
            task.cancel()
        for row in self.idle.values():
            for connection in row:
                connection.close()

    # ---- one try

    async def connect(self, node: str) -> Connection:
        """A connection to a node, often one that has carried requests before."""
        row = self.idle.setdefault(node, [])
        while row and self.dice.random() < 0.8:
            connection = row.pop()
            if not connection.reader.at_eof():
                return connection
            connection.close()
        return await self.new_connection(node)

    async def new_connection(self, node: str) -> Connection:
        async with asyncio.timeout(CONNECT_S):
            return Connection(node, *await asyncio.open_connection(*parse_address(node)))

    async def try_once(
        self, sent: Sent, headers: dict[str, str], body: bytes, staying: Connection | None = None
    ) -> Answer:
        """Send one try and read what comes of it; on the connection of a staying client if one is given."""
        self.records.sent[sent.ident] = sent
        answer = Answer()
        try:
            connection = staying or await self.connect(sent.node)
        except (OSError, TimeoutError):
            return answer
        answer.kept = connection.used > 0
        deadline_ms = DEADLINE_MS.get(sent.kind, DEADLINE_USUAL_MS)
        leave_s = self.dice.uniform(0, 0.3) if self.misbehaving and self.dice.random() < 0.2 else None
        limit_s = leave_s if leave_s is not None else deadline_ms / 1000 + HUNG_S
        slow = self.misbehaving and self.dice.random() < 0.3
        method = 'GET' if sent.kind is RouteKind.SPLIT else 'POST'
        lines = {
            'Host': HOST,
            'X-Request-Id': sent.ident,
            'X-Deadline-Ms': str(deadline_ms),
            'Content-Length': str(len(body)),
            **headers,
        }
        head = ''.join(f'{name}: {value}\r\n' for name, value in lines.items())
        try:
            async with asyncio.timeout(SLOW_BODY_S if slow and leave_s is None else limit_s) as limit:
                connection.writer.write(f'{method} {sent.path} HTTP/1.1\r\n{head}\r\n'.encode())
                await self.write_body(connection, body, slow)
                if leave_s is None:  # a slow body is this client's own: the node's time begins at its end
                    limit.reschedule(asyncio.get_running_loop().time() + limit_s)
                answer.status, answer.headers = await connection.head()
                await connection.body(answer)
        except TimeoutError:
            if leave_s is None and not self.was_in_trouble(sent.node, sent.at):
                self.records.report(
                    'hung', f'{sent.ident} {sent.path} at {sent.node}: no end after {limit_s} s'
                )
        except (OSError, asyncio.IncompleteReadError, ValueError):
            pass
        connection.used += 1
        if not answer.complete or answer.headers.get('connection', '').lower() == 'close':
            connection.close()
        elif staying is None:
            self.idle[sent.node].append(connection)
        self.judge(sent, answer, leave_s is not None)
        return answer

    async def write_body(self, connection: Connection, body: bytes, slow: bool) -> None:
        """The body at once, or in pieces."""
        if slow:
            piece_bytes = max(7, len(body) // SLOW_PIECES_MOST)
            for at in range(0, len(body), piece_bytes):
                connection.writer.write(body[at : at + piece_bytes])
                await asyncio.sleep(0.01)
            return
        connection.writer.write(body)
        await connection.writer.drain()

    async def send_garbage(self) -> None:
        """A client that is no client: garbage, a head without an end, or a connection that says nothing."""
        node = self.dice.choice(self.nodes())
        data = self.dice.choice(
            (
                b'\x16\x03\x01\x02\r\n\r\n',
                b'POST /any/x HTTP/1.1\r\nHost: h.exam',
                b'',
                b'GET / HTTP/9.9\r\n\r\n',
            )
        )
        try:
            async with asyncio.timeout(CONNECT_S):
                _, writer = await asyncio.open_connection(*parse_address(node))
            writer.write(data)
            await asyncio.sleep(self.dice.uniform(0, 1))
            writer.close()
        except (OSError, TimeoutError):
            pass

    # ---- what came back

    def judge(self, sent: Sent, answer: Answer, left: bool) -> None:
        """Hold one answer against the rules that it may break by itself."""
        report, runs = self.records.report, self.records.runs.get(sent.ident, [])
        self.records.answers.append(
            (
                round(sent.at, 3),
                round(self.now(), 3),
                sent.ident,
                sent.node,
                answer.status,
                answer.complete,
                left,
            )
        )
        self.records.outcomes[f'{sent.kind.value} {answer.status if answer.complete else "cut"}'] += 1
        if answer.status in PROMISES and sent.kind is not RouteKind.KEYED and runs:
            report('refused', f'{sent.ident} {sent.path} was told {answer.status} and ran {len(runs)} times')
        if answer.complete and answer.status in (400, 403, 404, 405, 410, 413, 422):
            report(
                'denied', f'{sent.ident} {sent.path} at {sent.node}: {answer.status} {answer.body[:200]!r}'
            )
        if answer.status == 200 and sent.kind in (RouteKind.TURN, RouteKind.LINE):
            self.judge_stream(sent, answer)
        elif answer.well:
            every = self.records.key_runs[sent.key] if sent.key else runs
            if answer.body not in [answer_body(run) for run in every]:
                report('mixed', f'{sent.ident} {sent.path}: {answer.body[:80]!r} of runs {every}')
        if self.strict and not left and not answer.complete and self.read_whole(sent, answer):
            report(
                'lost',
                f'{sent.ident} {sent.path} at {sent.node} was cut at {answer.status} beside planned work',
            )
        if self.calm and not left and sent.at > self.calm_since:
            good = answer.well or answer.budget_spent or answer.status == 409
            key = (sent.kind, good)
            self.calm_outcomes[key] = self.calm_outcomes.get(key, 0) + 1

    def read_whole(self, sent: Sent, answer: Answer) -> bool:
        """Whether the node had read the request: a replica began it, or an answer began."""
        return answer.status != NO_ANSWER or self.records.ran(sent)

    def judge_stream(self, sent: Sent, answer: Answer) -> None:
        """The events of a stream come once each, in order, of one run if it may not be resumed."""
        events = events_of(answer.body)
        want = [(n, event_data(sent.ident, n)) for n in range(1, len(events) + 1)]
        if events != want:
            self.records.report('order', f'{sent.ident}: {events}')
        if answer.complete and len(events) != event_total(sent.ident):
            self.records.report('order', f'{sent.ident} ended as whole after {len(events)} events')

    # ---- plain calls

    async def call(self, kind: RouteKind) -> None:
        """One call with its further tries, as its route allows them."""
        key = self.name('k') if kind is RouteKind.KEYED else ''
        again = self.dice.random() < 0.2  # a keyed call is sent again after a good answer
        for _ in range(TRIES):
            ident = self.name('x')
            path = f'/{kind.value}/{self.dice.randrange(50)}'
            body = (
                f'{ident} asks'.encode() * self.dice.choice((1, 4, 400))
                if kind is not RouteKind.SPLIT
                else b''
            )
            node = self.dice.choice(self.nodes())
            sent = Sent(ident, kind, path, body, self.now(), node, key)
            answer = await self.try_once(sent, {'Idempotency-Key': key} if key else {}, body)
            if answer.complete and answer.status in (200, 500) and not (key and again):
                return
            if kind is RouteKind.ONCE and answer.status not in PROMISES:
                return
            again = False
            await asyncio.sleep(min(1.0, float(answer.headers.get('retry-after') or 0.2)))

    # ---- programs

    async def program(self) -> None:
        """A line of turns; sometimes a helper takes a line of its own from one of them."""
        name = self.name('p')
        budget = self.dice.randint(BUDGET_LEAST, BUDGET_MOST)
        await self.line_of_turns(name, budget, None, b'', self.dice.randint(1, PROGRAM_TURNS_MOST))

    async def line_of_turns(
        self, program: str, budget: int, previous: str | None, chain: bytes, turns: int
    ) -> None:
        tries = 0
        while turns and tries < TRIES:
            ident = self.name('t')
            body = f'[{ident} says]'.encode()
            sent = Sent(
                ident, RouteKind.TURN, '/turn/a', chain + body, self.now(), self.dice.choice(self.nodes())
            )
            sent = replace(sent, program=program)
            headers = {
                'X-Program-Id': program,
                'X-Token-Budget': str(budget),
                'X-Tokens': f'40,{TURN_TOKENS_MOST}',
                **({'X-Previous-Turn': previous} if previous else {}),
            }
            answer = await self.try_once(sent, headers, body)
            events = events_of(answer.body) if answer.status == 200 else []
            self.spend(program, budget, len(events) * EVENT_TOKENS)
            if answer.budget_spent:
                return
            if not answer.well:
                tries += 1
                await asyncio.sleep(self.dice.uniform(0.1, 0.4))
                continue
            tries, turns, previous = 0, turns - 1, ident
            chain += body + b''.join(data.encode() + b'\n' for _, data in events)
            if self.dice.random() < 0.15:
                self.spawn(self.line_of_turns(program, budget, previous, chain, 2))
            await asyncio.sleep(self.dice.uniform(0.02, 0.2))

    def spend(self, program: str, budget: int, tokens: int) -> None:
        """A program's client was given so many tokens more."""
        spent = self.spent[program] = self.spent.get(program, 0) + tokens
        if spent > budget + TURN_TOKENS_MOST:
            self.records.report('budget', f'{program} was given {spent} of {budget}')
