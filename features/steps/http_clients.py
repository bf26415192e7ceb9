"""Steps about what the HTTP clients read from servers that send bytes without end."""

import asyncio
import contextlib
import re
from datetime import timedelta
from pathlib import Path
from types import SimpleNamespace

import tornado
from behave import given, then, when
from common import reserve_port
from tornado.httputil import HTTPHeaders
from tornado.iostream import StreamClosedError

from quillstall.network.httpclient import HttpClient
from quillstall.network.httpserver import Listener, RawRequest, Response
from quillstall.network.web import CurlWeb
from quillstall.runtime.byte_budget import ByteBudget, MemoryBudgets
from quillstall.runtime.errors import Fault
from quillstall.testbed import endless

ROOT = Path(__file__).resolve().parents[2]
STEP_TIMEOUT = timedelta(seconds=10)
IDENTITY = {'X-Request-Id': 'x1'}
MIB = 2**20


class EndlessServer:
    """Sends an endless response to each request, and counts the bytes that it has sent."""

    def __init__(self, kind):
        self.kind = kind
        self.sent = 0

    async def open(self):
        """Listen, and return the address."""
        server = await asyncio.start_server(self.serve, '127.0.0.1', 0)
        host, port = server.sockets[0].getsockname()
        return f'{host}:{port}'

    async def serve(self, reader, writer):
        try:
            await reader.readuntil(b'\r\n\r\n')
            response = endless.KINDS[self.kind](IDENTITY)
            writer.write(response.head)
            for piece in response.pieces:
                writer.write(piece)
                await writer.drain()
                self.sent += len(piece)
        except (OSError, asyncio.IncompleteReadError):
            pass
        finally:
            writer.close()


async def read_as_replica(address, budget):
    """Return the code of the fault that ends an exchange with a replica."""
    client = HttpClient(lambda name: None, None, budget)
    exchange = await client.open(
        address,
        'i-1',
        'GET',
        '/',
        HTTPHeaders({'Host': address}),
        b'',
        lambda status, headers: headers.get('X-Request-Id') == 'x1',
    )
    try:
        await exchange.read_headers(STEP_TIMEOUT)
        while await exchange.read_data(STEP_TIMEOUT) is not None:
            pass
    except Fault as e:
        return e.code
    finally:
        exchange.abort()
        client.close()
    return None


async def read_as_json(address, budget, raw, taken=True):
    """Return the code that ends an exchange with a JSON server."""
    web = CurlWeb(4, budgets=MemoryBudgets(ByteBudget(), budget, ByteBudget()))
    exchange = web.open(address, 'GET', '/', limit=STEP_TIMEOUT * 2, raw=raw)
    try:
        if not taken:
            await asyncio.sleep(1)
        while True:
            kind, *rest = await exchange.next()
            if kind == 'end':
                return rest[0]
    finally:
        exchange.abort()
        await web.close()


@given('a server that sends "{kind}" without end')
def endless_server(context, kind):
    context.server = EndlessServer(kind)
    context.budget = ByteBudget(64 * MIB)


@given('a budget of {size:d} MB for what is read')
def budget_for_reading(context, size):
    context.budget = ByteBudget(size * MIB)


def run(context, read):
    """Run a client against the server; note the code of its end and the bytes that were sent until then."""

    async def script():
        address = await context.server.open()
        async with asyncio.timeout(STEP_TIMEOUT.total_seconds()):
            return await read(address)

    context.code = asyncio.run(script())


@when('the client of replicas asks it, and takes all that comes')
def ask_as_replica(context):
    run(context, lambda address: read_as_replica(address, context.budget))


@when('the client of JSON servers asks it, and takes all that comes as {form}')
def ask_as_json(context, form):
    run(context, lambda address: read_as_json(address, context.budget, form == 'bytes'))


@when('the client of JSON servers asks it, and nobody takes what comes')
def ask_and_take_nothing(context):
    run(context, lambda address: read_as_json(address, context.budget, True, taken=False))


@then('the exchange ends with "{code}" within 10 s')
def ends_with(context, code):
    assert context.code == code, context.code


@then('the server has sent less than {size:d} MB')
def sent_less(context, size):
    assert context.server.sent < size * MIB, context.server.sent


@then('the client holds nothing after that')
def holds_nothing(context):
    assert context.budget.held == 0, context.budget.held


@then('pyproject.toml and deploy/requirements.txt allow no tornado before 6.6, and 6.6 or newer is installed')
def tornado_versions(context):
    for path in ('pyproject.toml', 'deploy/requirements.txt'):
        asked = re.findall(r'tornado([^"\n]*)', (ROOT / path).read_text(encoding='utf-8'))
        assert asked == ['>=6.6,<7'], (path, asked)
    assert tornado.version_info[:2] >= (6, 6), tornado.version


# ---- the JSON interface


class SlowJsonServer:
    """A JSON interface whose handler takes some time."""

    def __init__(self, budget, work_s):
        self.budget = budget
        self.work_s = work_s

    async def open(self):
        """Listen, and return the address."""
        address = f'127.0.0.1:{reserve_port()}'
        budgets = MemoryBudgets(self.budget, ByteBudget(), ByteBudget())
        self.web = CurlWeb(4, budgets=budgets)
        await self.web.serve(address, self.handle)
        return address

    async def handle(self, request, response):
        await asyncio.sleep(self.work_s)
        await response.respond(200, {'bytes': len(request.body)})


@given('a JSON interface with {size:d} MB for bodies, whose handler takes {work_s:f} s')
def slow_json_interface(context, size, work_s):
    context.budget = ByteBudget(size * MIB)
    context.server = SlowJsonServer(context.budget, work_s)


async def post(address, size):
    """Return the status of a request with such a body, and whether the answer has Retry-After."""
    host, port = address.split(':')
    reader, writer = await asyncio.open_connection(host, int(port))
    writer.write(b'POST /x HTTP/1.1\r\nHost: h\r\nConnection: close\r\nContent-Length: %d\r\n\r\n' % size)
    writer.write(bytes(size))
    head = (await reader.readuntil(b'\r\n\r\n')).lower()
    writer.close()
    return int(head.split()[1]), b'retry-after' in head


@when('{count:d} callers at once send it bodies of {size:d} KB')
def send_bodies(context, count, size):
    async def script():
        address = await context.server.open()
        async with asyncio.timeout(STEP_TIMEOUT.total_seconds()):
            context.answers = await asyncio.gather(*[post(address, size * 1000) for _ in range(count)])
        await context.server.web.close()

    asyncio.run(script())


@then('each is answered 200 or 503 with Retry-After, and {count:d} of them 200')
def some_refused(context, count):
    assert set(context.answers) == {(200, False), (503, True)}, context.answers
    assert context.answers.count((200, False)) == count, context.answers


@then('it holds nothing after that')
def interface_holds_nothing(context):
    assert context.budget.held == 0, context.budget.held


# ---- callers that leave


class BrokenConnection:
    """A connection on which each write fails, as tornado reports it before it calls the callback of its end."""

    def __init__(self):
        self.stream = SimpleNamespace(set_nodelay=lambda on: None, close=lambda: None)

    def write_headers(self, *_):
        return self.write(b'')

    def write(self, _):
        failed = asyncio.get_running_loop().create_future()
        failed.set_exception(StreamClosedError())
        return failed


WRITES = {
    'a head': lambda response: response.head(200, HTTPHeaders()),
    'an event': lambda response: response.write(b'data: a\n\n'),
    'a whole answer': lambda response: response.respond(200, HTTPHeaders(), b'ok'),
}


@given('a request whose connection breaks before anything is written')
def request_of_broken_connection(context):
    context.writes = WRITES


@when('{what} is written to it')
def write_to_broken_connection(context, what):
    async def handler(request, response):
        with contextlib.suppress(StreamClosedError):  # as the gateway does
            await context.writes[what](response)

    async def script():
        listener = Listener(
            handler, lambda name: None, violated=lambda name, **facts: violations.append(name)
        )
        response = Response(listener, BrokenConnection())
        response.start_line = SimpleNamespace(method='GET', path='/')
        await listener.handle(RawRequest('GET', '/', HTTPHeaders(), b''), response)
        context.left = response.disconnected.done()

    violations = context.request_violations = []
    asyncio.run(script())


@then('its caller is known to have left, and it is no violation that it has no answer')
def caller_has_left(context):
    assert context.left and not context.request_violations, (context.left, context.request_violations)
