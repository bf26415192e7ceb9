"""Steps about messages between processes, over TCP connections on loopback."""

import asyncio
import json
import socket
import struct
from datetime import UTC, datetime, timedelta
from types import SimpleNamespace

from behave import given, then, when
from common import reserve_port
from standin import wait_until

from quillstall.controlplane import store
from quillstall.network.net import MAGIC, TcpNet, decode_frame, encode_frame
from quillstall.runtime.clock import from_ms
from quillstall.runtime.effect import Return, Told
from quillstall.runtime.errors import Fault
from quillstall.runtime.process import Context, ReducerRunner

SHORT_TIMEOUT = from_ms(150)
LONG_TIMEOUT = from_ms(3000)
NOW = datetime(2026, 1, 1, tzinfo=UTC)


class HoldingProcess:
    """Accepts connections and records the calls; the scenario sends the replies."""

    def __init__(self):
        self.calls = []  # (writer, call number, message), in order
        self.address = f'127.0.0.1:{reserve_port()}'

    async def start(self):
        host, port = self.address.split(':')
        self.server = await asyncio.start_server(self.read_calls, host, int(port))

    async def read_calls(self, reader, writer):
        try:
            assert await reader.readexactly(4) == MAGIC
            while True:
                size = int.from_bytes(await reader.readexactly(4))
                call_number, message = decode_frame(await reader.readexactly(size))
                self.calls.append((writer, call_number, message))
        except (asyncio.IncompleteReadError, ConnectionError):
            writer.close()

    async def reply(self, index, call_number=None, text=None):
        """Reply to the call with this index, under its own call number or another."""
        writer, own_number, message = self.calls[index]
        writer.write(
            encode_frame(own_number if call_number is None else call_number, {'to': text or message['name']})
        )
        await writer.drain()


def run(context, coroutine):
    return context.loop.run_until_complete(coroutine)


def set_up_network(context):
    context.loop = asyncio.new_event_loop()
    context.net = TcpNet()

    def close():
        run(context, context.net.close())
        for task in asyncio.all_tasks(context.loop):
            task.cancel()
        run(context, asyncio.sleep(0))
        context.loop.close()

    context.add_cleanup(close)


@given('a process that holds back its replies')
def process_without_replies(context):
    set_up_network(context)
    context.process = HoldingProcess()
    run(context, context.process.start())


def call(context, name, timeout=LONG_TIMEOUT, process=None):
    """Return a task that calls the process and returns its reply, or the code of the fault."""
    address = (process or context.process).address

    async def call_process():
        try:
            return (await context.net.ask(address, {'name': name}, timeout))['to']
        except Fault as e:
            return e.code

    return asyncio.ensure_future(call_process(), loop=context.loop)


@when('one call times out, and another is made on the same link')
def late_reply(context):
    async def script():
        process = context.process
        earliest = call(context, 'keep')  # its reply shows that the link is alive
        await wait_until(lambda: len(process.calls) == 1)
        first = call(context, 'first', SHORT_TIMEOUT)
        await wait_until(lambda: len(process.calls) == 2)
        await process.reply(0)
        context.first = await first
        second = call(context, 'second')
        await wait_until(lambda: len(process.calls) == 3)
        await process.reply(1)
        await process.reply(2)
        context.second, context.earliest = await second, await earliest

    run(context, script())


@then('the late reply to the first is dropped, and the second gets its own')
def late_reply_dropped(context):
    assert (context.earliest, context.first, context.second) == ('keep', 'slow', 'second')
    assert len({id(writer) for writer, _, _ in context.process.calls}) == 1, 'more than one link'


@when('{count:d} calls are made at once and are answered in the opposite order')
def replies_out_of_order(context, count):
    async def script():
        names = [f'n{number}' for number in range(count)]
        calls = [call(context, name) for name in names]
        await wait_until(lambda: len(context.process.calls) == count)
        for index in reversed(range(count)):
            await context.process.reply(index)
        context.replies = list(zip(names, await asyncio.gather(*calls), strict=True))

    run(context, script())


@then('each call has its own reply')
def own_reply(context):
    assert context.replies and all(name == reply for name, reply in context.replies), context.replies


@when("a caller's link breaks, it calls again on a new link with the same call number, and both are answered")
def reconnect(context):
    async def script():
        process = context.process
        first = call(context, 'first')
        await wait_until(lambda: len(process.calls) == 1)
        old_link = context.net.links[process.address]
        old_link.connection.close()
        context.first = await first
        second = call(context, 'second')
        await wait_until(lambda: len(process.calls) == 2)
        assert process.calls[0][1] == process.calls[1][1], 'the call numbers differ'
        try:
            await process.reply(0)
        except ConnectionError:
            pass
        await process.reply(1)
        context.second = await second

    run(context, script())


@then('the first call fails as lost, and the second gets its own reply')
def lost_and_own(context):
    assert (context.first, context.second) == ('lost', 'second')


@when('two processes are called with the same call number, and the one called last answers first')
def calls_to_two_processes(context):
    async def script():
        first_process, second_process = context.process, HoldingProcess()
        await second_process.start()
        first, second = call(context, 'first'), call(context, 'second', process=second_process)
        await wait_until(lambda: first_process.calls and second_process.calls)
        assert first_process.calls[0][1] == second_process.calls[0][1], 'the call numbers differ'
        await second_process.reply(0)
        second_reply = await second
        await first_process.reply(0)
        context.replies = [('first', await first), ('second', second_reply)]

    run(context, script())


@when('a reply is sent twice and with a later call number')
def repeated_reply(context):
    async def script():
        process = context.process
        first = call(context, 'first')
        await wait_until(lambda: len(process.calls) == 1)
        await process.reply(0, call_number=process.calls[0][1] + 1, text='later call')
        await process.reply(0)
        await process.reply(0)
        replies = [('first', await first)]
        second = call(context, 'second')
        await wait_until(lambda: len(process.calls) == 2)
        await process.reply(0)
        await process.reply(1)
        replies.append(('second', await second))
        context.replies = replies

    run(context, script())


@given('a process that records its messages')
def recording_process(context):
    set_up_network(context)
    context.received = []

    async def handler(message):
        context.received.append(message['name'])
        return {'ok': True}

    context.address = f'127.0.0.1:{reserve_port()}'
    run(context, context.net.serve(context.address, handler))


@when('a link ends in the middle of a message, and another link sends a complete one')
def cut_message(context):
    async def script():
        host, port = context.address.split(':')
        _, writer = await asyncio.open_connection(host, int(port))
        frame = encode_frame(1, {'name': 'cut', 'more': 'x' * 1000})
        writer.write(MAGIC + frame[: len(frame) // 2])
        await writer.drain()
        writer.close()
        await context.net.ask(context.address, {'name': 'whole'}, LONG_TIMEOUT)
        await wait_until(lambda: len(context.net.listener.connections) == 1)

    run(context, script())


@then('only the complete message was handled')
def complete_message_only(context):
    assert context.received == ['whole'], context.received


@given('a member with the address that another had before')
def member_at_reused_address(context):
    context.loop = asyncio.new_event_loop()
    context.add_cleanup(context.loop.close)
    journal = SimpleNamespace(count=lambda *arguments: None, note=lambda *arguments, **facts: None)
    clock = SimpleNamespace(now=lambda: NOW)

    def step(state, event, now):
        if type(event) is not Told:
            return state, ()
        received = state.received + (event.message['name'],)
        return SimpleNamespace(me=state.me, received=received), (Return(event.call, {'ok': True}),)

    ctx = Context({'address': '127.0.0.1:1'}, clock, None, None, None, journal, None)
    context.host = ReducerRunner(ctx, SimpleNamespace(me='new', received=()), step, None)


@when('it receives a message for the earlier member, one for itself, and one that names no member')
def three_messages(context):
    async def script():
        host_task = asyncio.ensure_future(context.host.loop())
        context.replies = [
            await context.host.handle({'name': 'for old', 'to': 'old'}),
            await context.host.handle({'name': 'for new', 'to': 'new'}),
            await context.host.handle({'name': 'for any'}),
        ]
        host_task.cancel()

    run(context, script())


@then('the first is refused, and only the others reach its state')
def only_own_messages(context):
    assert [reply.get('fault') for reply in context.replies] == ['refused', None, None], context.replies
    assert context.host.state.received == ('for new', 'for any'), context.host.state.received


@when('a store that holds no partition receives a command for one')
def foreign_partition(context):
    startup = {'address': '127.0.0.1:1', 'zone': 'z', 'seeds': ['127.0.0.1:2']}
    state = store.load('s9', startup, {}, 1, NOW)
    command = {'op': 'once_begin', 'key': 'k', 'digest': '', 'run': 'n1', 'until': NOW.timestamp() + 120}
    context.store, context.effects = store.step(
        state, Told(1, {'k': 'op', 'part': 'p00', 'command': command}), NOW
    )


@then('it replies that the partition is elsewhere, and stores nothing')
def elsewhere(context):
    (effect,) = context.effects
    assert type(effect) is Return and effect.reply['fault'] == 'moved', context.effects


# ---- the first packet of a connection (SYN) is lost

REQUEST_TIMEOUT_S = 3.0


class UnreachableAddress:
    """A listening socket whose accept queue is full: the kernel drops the packets of further connections."""

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

    def accept_connections(self):
        """Empty the accept queue and return a server on the socket."""
        for filler in self.fillers:
            filler.close()
        self.listening.setblocking(False)
        return asyncio.start_server(self.serve, sock=self.listening, backlog=16)

    async def serve(self, reader, writer):
        try:
            if await reader.readexactly(len(MAGIC)) != MAGIC:
                return
            (size,) = struct.unpack('>I', await reader.readexactly(4))
            call_number, _ = decode_frame(await reader.readexactly(size))
            writer.write(encode_frame(call_number, {'ok': True}))
            await writer.drain()
        except asyncio.IncompleteReadError:
            pass

    def close(self):
        self.listening.close()


@given('an address that drops connection packets')
def unreachable_address(context):
    context.unreachable = UnreachableAddress()
    context.add_cleanup(context.unreachable.close)


@when('it is called, and accepts connections {wait_ms:d} ms later')
def call_unreachable(context, wait_ms):
    async def script():
        loop, net = asyncio.get_running_loop(), TcpNet()
        start = loop.time()
        request = asyncio.ensure_future(
            net.ask(context.unreachable.address, {'k': 'hi'}, timedelta(seconds=REQUEST_TIMEOUT_S))
        )
        await asyncio.sleep(wait_ms / 1000)
        server = await context.unreachable.accept_connections()
        try:
            return await request, loop.time() - start
        finally:
            server.close()
            await net.close()

    context.reply, context.took_s = asyncio.run(script())


@then(
    'it answers within {limit_ms:d} ms of the call, though the kernel alone repeats the first packet after a second'
)
def reached_soon(context, limit_ms):
    assert context.reply == {'ok': True}, context.reply
    assert context.took_s * 1000 <= limit_ms, context.took_s


# ---- programs that are no processes of ours


@given('a program that answers every message with {reply}')
def program_with_one_reply(context, reply):
    context.reply = json.loads(reply)
    context.asked = []


@when('a process that verifies its peers sends it a message')
def send_to_foreign_program(context):
    async def handle(message):
        context.asked.append(message['k'])
        return context.reply

    async def script():
        address = f'127.0.0.1:{reserve_port()}'
        program, net = TcpNet(), TcpNet(verifies_peers=True)
        await program.serve(address, handle)
        try:
            await net.ask(address, {'k': 'frame', 'changes': []}, timedelta(seconds=REQUEST_TIMEOUT_S))
        except Fault as e:
            return e.code
        finally:
            await net.close()
            await program.close()

    context.code = asyncio.run(script())


@then('the message fails as "{code}", and the program has been asked "who" alone')
def failed_and_asked_who(context, code):
    assert context.code == code and context.asked == ['who'], (context.code, context.asked)
