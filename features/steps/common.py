"""Steps for doctests and for the contracts of transports, HTTP and disks, with helpers for other steps."""

import asyncio
import doctest
import importlib
import os
import pkgutil
import random
import shutil
import socket
import struct
import tempfile

from behave import given, then, when

from quillstall.network.net import MAGIC, TcpNet, decode_frame, encode_frame
from quillstall.network.web import CurlWeb, fetch
from quillstall.runtime.clock import from_ms
from quillstall.runtime.disk import Put, SqliteDisk
from quillstall.runtime.errors import Fault
from quillstall.testbed.sim import World

# ---- examples


@when('the examples of "{name}" are run')
def run_examples(context, name):
    context.example_count = context.failed_examples = 0
    package = importlib.import_module(name)
    for info in pkgutil.iter_modules(package.__path__):
        if info.name == '__main__':
            continue
        result = doctest.testmod(importlib.import_module(f'{name}.{info.name}'))
        context.example_count += result.attempted
        context.failed_examples += result.failed


@then('there are examples and none fails')
def none_fails(context):
    assert context.example_count > 5, context.example_count
    assert context.failed_examples == 0, f'{context.failed_examples} of {context.example_count}'


# ---- processes over real sockets on loopback or in the simulator

PORTS_PER_BLOCK = 8  # the last port of a block is bound as a lock
HELD_FOLDER_S = 1.0  # for which one process keeps another from a folder; then the other one's time to open it
USABLE_PORTS = 4  # ports of a block for listeners: address, HTTP, and one or two more
LOCK_SOCKETS = []


def reserve_port():
    """Return the first of four consecutive ports, reserved on all loopback addresses until this process ends.

    They lie outside the system's range of ephemeral ports: otherwise an outgoing connection could take a port
    before its listener starts or while the listener is down. The socket that stays bound to the last port of
    the block keeps other test runs from using the block.
    """
    with open('/proc/sys/net/ipv4/ip_local_port_range', encoding='ascii') as file:
        low, high = map(int, file.read().split())
    first_ports = [
        *range(10_000, low - PORTS_PER_BLOCK, PORTS_PER_BLOCK),
        *range(high + 1, 65_536 - PORTS_PER_BLOCK, PORTS_PER_BLOCK),
    ]
    random.shuffle(first_ports)
    for first_port in first_ports:
        lock = socket.socket()
        try:
            lock.bind(('0.0.0.0', first_port + PORTS_PER_BLOCK - 1))
            for port in range(first_port, first_port + USABLE_PORTS):
                with socket.socket() as probe:
                    probe.bind(('0.0.0.0', port))
        except OSError:
            lock.close()
            continue
        LOCK_SOCKETS.append(lock)
        return first_port
    raise AssertionError(f'no free ports outside {low} to {high}')


class ProcessPair:
    """Two processes, real or simulated, that can call each other, and an address without a listener."""

    def __init__(self, kind):
        self.kind = kind
        self.counts = {}

    def count(self, name):
        self.counts[name] = self.counts.get(name, 0) + 1

    def run(self, script):
        if self.kind == 'sim':

            async def main(world):
                a, b = world.machine('a', '10.0.0.1:1'), world.machine('b', '10.0.0.2:1')
                a.up = b.up = True
                world.machine('c', '10.0.0.3:1')
                called = world.ctx(b, {})
                done = asyncio.get_running_loop().create_future()

                async def kill():
                    world.kill(b)
                    await world.sleep(0)

                await called.net.serve('10.0.0.2:1', self.handle_message)
                await called.web.serve('10.0.0.2:2', self.serve_http)
                done.set_result(None)
                caller = world.ctx(a, {})
                await script(caller.net, caller.web, '10.0.0.2:1', '10.0.0.2:2', '10.0.0.3:1', kill)

            World.play(1, main)
            return

        async def main():
            port = reserve_port()
            web_port, unused_port = port + 1, port + 2
            called, caller = TcpNet(self.count), TcpNet()
            http_server, http_client = CurlWeb(4), CurlWeb(300)
            await called.serve(f'127.0.0.1:{port}', self.handle_message)
            await http_server.serve(f'127.0.0.1:{web_port}', self.serve_http)
            self.address = ('127.0.0.1', port)
            try:
                await script(
                    caller,
                    http_client,
                    f'127.0.0.1:{port}',
                    f'127.0.0.1:{web_port}',
                    f'127.0.0.1:{unused_port}',
                    called.close,
                )
            finally:
                await caller.close()
                await called.close()
                await http_client.close()
                await http_server.close()

        asyncio.run(main())

    async def handle_message(self, message):
        if message['k'] == 'echo':
            return {'x': message['x']}
        if message['k'] == 'fault':
            raise Fault('shed', 'full', (('a.b', 'is bad'),), wait_ms=70)
        if message['k'] == 'hang':
            await asyncio.get_running_loop().create_future()
        if message['k'] == 'unsendable':
            return {'x': '\ud83d'}
        return {'x': message['nothing']}

    async def serve_http(self, request, response):
        if request.path == '/lines':
            await response.head(200, {'X-A': 'b'})
            for n in range(5):
                await response.send_line({'n': n})
            await response.end()
        elif request.path == '/break':
            await response.head(200, {})
            await response.send_line({'n': 0})
            response.abort()
        elif request.path == '/hang':
            await response.head(200, {})
            await response.send_line({'n': 0})
            await response.disconnected
            self.count('gone')
        else:
            await response.respond(200, {'gone': self.counts.get('gone', 0)})


@given('a pair of processes over "{kind}"')
@given('a web server over "{kind}"')
def pair(context, kind):
    context.pair = ProcessPair('sim' if kind == 'sim' else 'real')


@then('a reply reaches the caller')
def echo(context):
    async def script(net, web, address, web_address, unused_address, kill):
        assert await net.ask(address, {'k': 'echo', 'x': [1, 'a', b'b', None]}, from_ms(2000)) == {
            'x': [1, 'a', b'b', None]
        }

    context.pair.run(script)


@then('each of many concurrent calls gets its own reply')
def concurrent_calls(context):
    async def script(net, web, address, web_address, unused_address, kill):
        received = await asyncio.gather(
            *[net.ask(address, {'k': 'echo', 'x': n}, from_ms(5000)) for n in range(200)]
        )
        assert [reply['x'] for reply in received] == list(range(200))

    context.pair.run(script)


@then('a fault reaches the caller with its code, text and findings')
def fault(context):
    async def script(net, web, address, web_address, unused_address, kill):
        try:
            await net.ask(address, {'k': 'fault'}, from_ms(2000))
        except Fault as e:
            assert (e.code, e.text, e.findings, e.wait_ms) == ('shed', 'full', (('a.b', 'is bad'),), 70)
            return
        raise AssertionError('the call did not fail')

    context.pair.run(script)


async def fault_code(call):
    try:
        await call
    except Fault as e:
        return e.code
    return None


@then('a call to an address without a listener fails with "unreachable"')
def unreachable(context):
    async def script(net, web, address, web_address, unused_address, kill):
        assert (
            await fault_code(net.ask(unused_address, {'k': 'echo', 'x': 1}, from_ms(2000))) == 'unreachable'
        )

    context.pair.run(script)


@then('a call without a reply in time fails with "slow"')
def slow(context):
    async def script(net, web, address, web_address, unused_address, kill):
        assert await fault_code(net.ask(address, {'k': 'hang'}, from_ms(100))) == 'slow'

    context.pair.run(script)


@then('a call whose peer is killed before the reply fails with "lost"')
def lost(context):
    async def script(net, web, address, web_address, unused_address, kill):
        code = asyncio.ensure_future(fault_code(net.ask(address, {'k': 'hang'}, from_ms(5000))))
        while not await net.ask(address, {'k': 'echo', 'x': 1}, from_ms(2000)):
            pass
        await kill()
        assert await code == 'lost'

    context.pair.run(script)


@then('a message that is not of the type of its kind fails with "garbled"')
def garbled(context):
    async def script(net, web, address, web_address, unused_address, kill):
        assert await fault_code(net.ask(address, {'k': 'ballot'}, from_ms(2000))) == 'garbled'

    context.pair.run(script)


@then('a message that the handler fails on fails with "internal"')
def failing_handler(context):
    async def script(net, web, address, web_address, unused_address, kill):
        assert await fault_code(net.ask(address, {'k': 'other'}, from_ms(2000))) == 'internal'

    context.pair.run(script)


@then('a message that cannot be encoded fails with "garbled", and the next call gets its reply')
def unsendable_message(context):
    async def script(net, web, address, web_address, unused_address, kill):
        for value in ('\ud83d', {'\udc00': 1}, object()):
            code = await fault_code(net.ask(address, {'k': 'echo', 'x': value}, from_ms(2000)))
            assert code == 'garbled', (value, code)
        assert await net.ask(address, {'k': 'echo', 'x': 1}, from_ms(2000)) == {'x': 1}

    context.pair.run(script)


@then('a reply that cannot be encoded reaches the caller as the fault "internal"')
def unsendable_reply(context):
    async def script(net, web, address, web_address, unused_address, kill):
        assert await fault_code(net.ask(address, {'k': 'unsendable'}, from_ms(2000))) == 'internal'

    context.pair.run(script)


@when("a client sends bytes that do not begin with the protocol's magic number")
@when('a peer sends a frame that holds no message')
def invalid_bytes(context):
    context.invalid_bytes = True


@then('the connections are closed and counted')
def connections_closed(context):
    async def script(net, web, address, web_address, unused_address, kill):
        host, _, port = address.partition(':')
        for data in (
            b'GET / HTTP/1.1\r\n\r\n',
            MAGIC + struct.pack('>I', 3) + b'\xff\xff\xff',
            MAGIC + struct.pack('>I', 2**31),
        ):
            reader, writer = await asyncio.open_connection(host, int(port))
            writer.write(data)
            assert await reader.read() == b''
            writer.close()
        assert await net.ask(address, {'k': 'echo', 'x': 1}, from_ms(2000)) == {'x': 1}

    context.pair.run(script)
    assert context.pair.counts == {'net.stranger': 1, 'net.garbled': 2}, context.pair.counts


# ---- web


async def read_events(response):
    """Return all events of a response, to its end."""
    events = []
    while not events or events[-1][0] != 'end':
        events.append(await response.next())
    return events


@then('lines arrive in order, then the end of the response')
def lines(context):
    async def script(net, web, address, web_address, unused_address, kill):
        received = await read_events(web.open(web_address, 'GET', '/lines', limit=from_ms(3000)))
        assert received[0][:2] == ('head', 200) and received[0][2]['x-a'] == 'b', received
        assert [event[1]['n'] for event in received if event[0] == 'line'] == [0, 1, 2, 3, 4]
        assert received[-1] == ('end', None)

    context.pair.run(script)


@then('a response that breaks off ends with "lost"')
def response_breaks_off(context):
    async def script(net, web, address, web_address, unused_address, kill):
        received = await read_events(web.open(web_address, 'GET', '/break', limit=from_ms(3000)))
        assert received[-1] == ('end', 'lost'), received

    context.pair.run(script)


@then('a request to an address without a server ends with "unreachable"')
def no_server(context):
    async def script(net, web, address, web_address, unused_address, kill):
        received = await read_events(web.open(unused_address, 'GET', '/', limit=from_ms(3000)))
        assert received == [('end', 'unreachable')], received

    context.pair.run(script)


@then('the server sees at once that a client disconnected')
def disconnect_seen(context):
    async def script(net, web, address, web_address, unused_address, kill):
        response = web.open(web_address, 'GET', '/hang', limit=from_ms(60_000))
        while (await response.next())[0] != 'line':
            pass
        response.abort()
        for _ in range(400):
            _, body, _ = await fetch(web, web_address, 'GET', '/asked', limit=from_ms(3000))
            if body['gone']:
                return
        raise AssertionError('the server did not see the disconnect')

    context.pair.run(script)


# ---- disks


class CrashingDisk:
    """A disk whose process is killed between two runs."""

    def __init__(self, kind):
        self.kind = kind
        self.folder = tempfile.mkdtemp() if kind == 'sqlite' else None
        self.rows = {}

    def run(self, write, check):
        """Run `write` on a disk, end its process, then run `check` on the rows that are read back."""
        if self.kind == 'sim':

            async def main(world):
                machine = world.machine('a', '10.0.0.1:1')
                options = {}

                async def program(ctx):
                    await ctx.disk.open()
                    await write(ctx.disk, options)

                world.start(machine, {}, program)
                await world.sleep(1 if not options.get('kill_at_once') else 0)
                world.kill(machine)
                await check(await world.ctx(machine, {}).disk.open())

            World.play(random.randrange(1000), main)
            return

        async def main():
            disk = SqliteDisk(self.folder)
            await disk.open()
            await write(disk, {})
            await disk.close()
            reopened = SqliteDisk(self.folder)
            await check(await reopened.open())
            await reopened.close()

        try:
            asyncio.run(main())
        finally:
            shutil.rmtree(self.folder)
            os.mkdir(self.folder)


@given('a disk of "{kind}"')
def disk_of_kind(context, kind):
    context.crashing_disk = CrashingDisk(kind)


@then('synced writes survive a kill')
def synced_writes_survive(context):
    async def write(disk, options):
        await disk.write((Put('p', 'a', {'n': [1, 2]}), Put('q', 'b', 'x')))

    async def check(rows):
        assert rows == {'p': {'a': {'n': [1, 2]}}, 'q': {'b': 'x'}}, rows

    context.crashing_disk.run(write, check)


@then('a write that is not synced yet survives a kill whole or not at all')
def whole_or_not_at_all(context):
    async def write(disk, options):
        await disk.write((Put('p', 'a', 1), Put('p', 'b', 1)))
        options['kill_at_once'] = True
        asyncio.ensure_future(disk.write((Put('p', 'a', 2), Put('p', 'b', 2))))

    async def check(rows):
        assert rows['p']['a'] == rows['p']['b'] in (1, 2), rows

    context.crashing_disk.run(write, check)


@then('a part can be emptied and a row deleted')
def emptied(context):
    async def write(disk, options):
        await disk.write((Put('p', 'a', 1), Put('q', 'a', 1), Put('q', 'b', 2)))
        await disk.write((Put('p', None, None), Put('p', 'c', 3), Put('q', 'a', None)))

    async def check(rows):
        assert rows == {'p': {'c': 3}, 'q': {'b': 2}}, rows

    context.crashing_disk.run(write, check)


@then('a row that cannot be encoded fails its write with "disk"')
def unwritable_row(context):
    codes = []

    async def write(disk, options):
        await disk.write((Put('p', 'a', 1),))
        for value in ('\ud83d', {'\udc00': 1}, object()):
            batch = (Put('p', 'a', 2), Put('p', 'b', value))
            codes.append(await fault_code(asyncio.wait_for(disk.write(batch), 0.3)))

    async def check(rows):
        assert rows == {'p': {'a': 1}}, rows

    context.crashing_disk.run(write, check)
    assert codes == ['disk'] * 3, codes


@then(
    'a second process that opens the folder gets no rows while the first has it, and all of them after that'
)
def second_process(context):
    async def script():
        with tempfile.TemporaryDirectory() as folder:
            first, second = SqliteDisk(folder), SqliteDisk(folder)
            await first.open()
            await first.write((Put('p', 'first', 1),))
            opening = asyncio.ensure_future(second.open())
            await asyncio.sleep(HELD_FOLDER_S)
            assert not opening.done(), opening
            await first.write((Put('p', 'last', 2),))
            await first.close()
            rows = await asyncio.wait_for(opening, HELD_FOLDER_S)
            await second.close()
            assert rows == {'p': {'first': 1, 'last': 2}}, rows

    asyncio.run(script())


@then('a corrupt database is refused with "disk"')
def corrupt_database(context):
    async def main():
        path = os.path.join(context.crashing_disk.folder, 'quillstall.db')
        disk = SqliteDisk(context.crashing_disk.folder)
        await disk.open()
        await disk.write(tuple(Put('p', f'k{n}', 'x' * 500) for n in range(200)))
        await disk.close()
        size = os.path.getsize(path)
        with open(path, 'r+b') as file:
            file.seek(size // 2)
            file.write(os.urandom(4096))
            file.truncate(size * 3 // 4)
        assert await fault_code(SqliteDisk(context.crashing_disk.folder).open()) == 'disk'

    asyncio.run(main())


@then('a missing folder is refused with "disk"')
def missing_folder(context):
    shutil.rmtree(context.crashing_disk.folder)
    assert asyncio.run(fault_code(SqliteDisk(context.crashing_disk.folder).open())) == 'disk'


# ---- a connection that is dead without either end knowing it


@given('a process whose first connection is dead without either end knowing it')
def dead_connection(context):
    async def script():
        connections = []

        async def serve(reader, writer):
            connections.append(writer)
            if len(connections) == 1:
                while await reader.read(4096):  # reads requests and never replies
                    pass
                return
            await reader.readexactly(4)
            while True:
                (size,) = struct.unpack('>I', await reader.readexactly(4))
                call_id, message = decode_frame(await reader.readexactly(size))
                writer.write(encode_frame(call_id, {'ok': message['k']}))

        port = reserve_port()
        server = await asyncio.start_server(serve, '127.0.0.1', port)
        net, outcomes = (
            TcpNet(lambda name: context.counts.update({name: context.counts.get(name, 0) + 1})),
            [],
        )
        for _ in range(4):
            try:
                outcomes.append(await net.ask(f'127.0.0.1:{port}', {'k': 'hi'}, from_ms(200)))
            except Fault as e:
                outcomes.append(e.code)
        await net.close()
        server.close()
        return outcomes, len(connections)

    context.counts = {}
    context.script = script


@when('it is called repeatedly with a timeout of 0.2 seconds')
def call_repeatedly(context):
    context.outcomes, context.connections = asyncio.run(context.script())


@then(
    'the first call times out, a later one gets a reply, and the process was reached over a second connection'
)
def second_connection(context):
    assert context.outcomes[0] == 'slow' and context.outcomes[-1] == {'ok': 'hi'}, context.outcomes
    assert context.connections == 2 and context.counts['net.silent'] == 1, (
        context.connections,
        context.counts,
    )


def lone_core_settings(data, port=None, **more):
    """Return the settings of the only running core of three."""
    port = port or reserve_port()
    return {
        'name': 'c',
        'role': 'core',
        'address': f'127.0.0.1:{port}',
        'http': f'127.0.0.1:{port + 1}',
        'zone': 'z',
        'seeds': [f'127.0.0.1:{port}', '127.0.0.2:1', '127.0.0.3:1'],
        'data': data,
        **more,
    }
