"""Steps about messages between our own processes, on real links of loopback."""

import asyncio
import socket
import struct
from datetime import UTC, datetime, timedelta
from types import SimpleNamespace

from behave import given, then, when
from common import reserve_port
from standin import wait_until

from quillstall.controlplane import store
from quillstall.network.net import MAGIC, TcpNet, pack, unpack
from quillstall.runtime.clock import from_ms
from quillstall.runtime.effect import Return, Told
from quillstall.runtime.errors import Fault
from quillstall.runtime.process import Context, ReducerRunner

GIVE_UP = from_ms(150)
PATIENT = from_ms(3000)
NOW = datetime(2026, 1, 1, tzinfo=UTC)


class HoldingProcess:
    """Takes links and keeps what it is asked; returns are sent by the scenario."""

    def __init__(self):
        self.asked = []  # (stream, number, message), in order
        self.address = f'127.0.0.1:{reserve_port()}'

    async def start(self):
        host, port = self.address.split(':')
        self.server = await asyncio.start_server(self.take, host, int(port))

    async def take(self, reader, writer):
        try:
            assert await reader.readexactly(4) == MAGIC
            while True:
                size = int.from_bytes(await reader.readexactly(4))
                number, message = unpack(await reader.readexactly(size))
                self.asked.append((writer, number, message))
        except (asyncio.IncompleteReadError, ConnectionError):
            writer.close()

    async def send(self, at, number=None, text=None):
        """The return to what was asked as the at-th, under its own number or another."""
        writer, own, message = self.asked[at]
        writer.write(pack(own if number is None else number, {'to': text or message['name']}))
        await writer.drain()


def run(context, work):
    return context.loop.run_until_complete(work)


def built(context):
    context.loop = asyncio.new_event_loop()
    context.net = TcpNet()

    def close():
        run(context, context.net.close())
        for task in asyncio.all_tasks(context.loop):
            task.cancel()
        run(context, asyncio.sleep(0))
        context.loop.close()

    context.add_cleanup(close)


@given('a process that holds back its returns')
def holding(context):
    built(context)
    context.other = HoldingProcess()
    run(context, context.other.start())


def ask(context, name, limit=PATIENT, process=None):
    """Ask under a name; the return, or the fault's code."""
    address = (process or context.other).address

    async def work():
        try:
            return (await context.net.ask(address, {'name': name}, limit))['to']
        except Fault as e:
            return e.code

    return asyncio.ensure_future(work(), loop=context.loop)


@when('one asks and gives up, and another asks on the same link')
def late_return(context):
    async def script():
        other = context.other
        keep = ask(context, 'keep')  # something comes back on the link, so that it counts as alive
        await wait_until(lambda: len(other.asked) == 1)
        first = ask(context, 'first', GIVE_UP)
        await wait_until(lambda: len(other.asked) == 2)
        await other.send(0)
        context.first = await first
        second = ask(context, 'second')
        await wait_until(lambda: len(other.asked) == 3)
        await other.send(1)
        await other.send(2)
        context.second, context.kept = await second, await keep

    run(context, script())


@then('the late return of the first reaches nobody, and the second gets its own')
def nobody(context):
    assert (context.kept, context.first, context.second) == ('keep', 'slow', 'second')
    assert len({id(writer) for writer, _, _ in context.other.asked}) == 1, 'not one link'


@when('{count:d} ask at once and are answered in the opposite order')
def crossed(context, count):
    async def script():
        names = [f'n{n}' for n in range(count)]
        asks = [ask(context, name) for name in names]
        await wait_until(lambda: len(context.other.asked) == count)
        for at in reversed(range(count)):
            await context.other.send(at)
        context.all = list(zip(names, await asyncio.gather(*asks), strict=True))

    run(context, script())


@then('each has its own return')
def own_return(context):
    assert context.all and all(name == got for name, got in context.all), context.all


@when("an asker's link breaks, it asks again on a new link under the same number, and both are answered")
def reconnect(context):
    async def script():
        other = context.other
        first = ask(context, 'first')
        await wait_until(lambda: len(other.asked) == 1)
        old = context.net.links[other.address]
        old.connection.close()
        context.first = await first
        second = ask(context, 'second')
        await wait_until(lambda: len(other.asked) == 2)
        assert other.asked[0][1] == other.asked[1][1], 'the numbers differ'
        try:
            await other.send(0)
        except ConnectionError:
            pass
        await other.send(1)
        context.second = await second

    run(context, script())


@then('the first hears that it is lost, and the second gets its own return')
def lost_and_own(context):
    assert (context.first, context.second) == ('lost', 'second')


@when('two processes are asked under the same number, and the one asked last answers first')
def two_links(context):
    async def script():
        one, two = context.other, HoldingProcess()
        await two.start()
        first, second = ask(context, 'first'), ask(context, 'second', process=two)
        await wait_until(lambda: one.asked and two.asked)
        assert one.asked[0][1] == two.asked[0][1], 'the numbers differ'
        await two.send(0)
        got = await second
        await one.send(0)
        context.all = [('first', await first), ('second', got)]

    run(context, script())


@when('a return is sent twice and under a number of the future')
def doubled(context):
    async def script():
        other = context.other
        first = ask(context, 'first')
        await wait_until(lambda: len(other.asked) == 1)
        await other.send(0, number=other.asked[0][1] + 1, text='of the future')
        await other.send(0)
        await other.send(0)
        got = [('first', await first)]
        second = ask(context, 'second')
        await wait_until(lambda: len(other.asked) == 2)
        await other.send(0)
        await other.send(1)
        got.append(('second', await second))
        context.all = got

    run(context, script())


@given('a process of ours that records what it is told')
def recording(context):
    built(context)
    context.told = []

    async def handler(message):
        context.told.append(message['name'])
        return {'ok': True}

    context.address = f'127.0.0.1:{reserve_port()}'
    run(context, context.net.serve(context.address, handler))


@when('a link ends in the middle of a message, and another link sends one whole')
def cut_message(context):
    async def script():
        host, port = context.address.split(':')
        _, writer = await asyncio.open_connection(host, int(port))
        frame = pack(1, {'name': 'cut', 'more': 'x' * 1000})
        writer.write(MAGIC + frame[: len(frame) // 2])
        await writer.drain()
        writer.close()
        await context.net.ask(context.address, {'name': 'whole'}, PATIENT)
        await wait_until(lambda: len(context.net.listener.connections) == 1)

    run(context, script())


@then('only the whole one was taken')
def whole_only(context):
    assert context.told == ['whole'], context.told


@given('a member that lives where another lived before')
def newcomer(context):
    context.loop = asyncio.new_event_loop()
    context.add_cleanup(context.loop.close)
    journal = SimpleNamespace(count=lambda *what: None, note=lambda *what, **facts: None)
    clock = SimpleNamespace(now=lambda: NOW)

    def step(state, event, now):
        if type(event) is not Told:
            return state, ()
        seen = state.seen + (event.message['name'],)
        return SimpleNamespace(me=state.me, seen=seen), (Return(event.call, {'ok': True}),)

    ctx = Context({'address': '127.0.0.1:1'}, clock, None, None, None, journal, None)
    context.host = ReducerRunner(ctx, SimpleNamespace(me='new', seen=()), step, None)


@when('it is told something for the one before, for itself, and for nobody by name')
def told_three(context):
    async def script():
        loop = asyncio.ensure_future(context.host.loop())
        context.all = [
            await context.host.handle({'name': 'for old', 'to': 'old'}),
            await context.host.handle({'name': 'for new', 'to': 'new'}),
            await context.host.handle({'name': 'for any'}),
        ]
        loop.cancel()

    run(context, script())


@then('the first is refused, and only the others reach its state')
def only_its_own(context):
    assert [ret.get('fault') for ret in context.all] == ['refused', None, None], context.all
    assert context.host.state.seen == ('for new', 'for any'), context.host.state.seen


@when('a store that holds no part is told a command for one')
def foreign_part(context):
    startup = {'address': '127.0.0.1:1', 'zone': 'z', 'seeds': ['127.0.0.1:2']}
    state = store.load('s9', startup, {}, 1, NOW)
    claim = {'op': 'once_begin', 'key': 'k', 'digest': '', 'run': 'n1', 'until': NOW.timestamp() + 120}
    context.store, context.effects = store.step(
        state, Told(1, {'k': 'op', 'part': 'p00', 'command': claim}), NOW
    )


@then('it says that the part is elsewhere, and keeps nothing')
def elsewhere(context):
    (effect,) = context.effects
    assert type(effect) is Return and effect.reply['fault'] == 'moved', context.effects


# ---- the first packet of a connection is lost

LOST_LIMIT_S = 3.0


class DarkAddress:
    """A listening socket whose queue is full: the system drops what else wants to connect, as if it were dark."""

    def __init__(self):
        self.listening = socket.socket()
        self.listening.bind(('127.0.0.1', 0))
        self.listening.listen(0)
        self.address = f'127.0.0.1:{self.listening.getsockname()[1]}'
        self.fillers = []
        for _ in range(4):
            filler = socket.socket()
            filler.setblocking(False)
            filler.connect_ex(self.listening.getsockname())
            self.fillers.append(filler)

    def take_connections(self):
        """From now on connections are taken; the server on the socket."""
        for filler in self.fillers:
            filler.close()
        self.listening.setblocking(False)
        return asyncio.start_server(self.serve, sock=self.listening, backlog=16)

    async def serve(self, reader, writer):
        try:
            if await reader.readexactly(len(MAGIC)) != MAGIC:
                return
            (size,) = struct.unpack('>I', await reader.readexactly(4))
            call, _ = unpack(await reader.readexactly(size))
            writer.write(pack(call, {'ok': True}))
            await writer.drain()
        except asyncio.IncompleteReadError:
            pass

    def close(self):
        self.listening.close()


@given('an address where connections are lost without a word')
def dark_address(context):
    context.dark = DarkAddress()
    context.add_cleanup(context.dark.close)


@when('it is asked, and takes connections {wait:d} ms later')
def asked_in_the_dark(context, wait):
    async def script():
        loop, net = asyncio.get_running_loop(), TcpNet()
        start = loop.time()
        asking = asyncio.ensure_future(
            net.ask(context.dark.address, {'k': 'who'}, timedelta(seconds=LOST_LIMIT_S))
        )
        await asyncio.sleep(wait / 1000)
        server = await context.dark.take_connections()
        try:
            return await asking, loop.time() - start
        finally:
            server.close()
            await net.close()

    context.ret, context.took = asyncio.run(script())


@then(
    'it answers within {most:d} ms of the asking, though the system alone repeats the first packet after a second'
)
def met_soon(context, most):
    assert context.ret == {'ok': True}, context.ret
    assert context.took * 1000 <= most, context.took
