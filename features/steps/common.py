"""Steps shared by the features: examples, contracts."""

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

from quillstall.network.net import MAGIC, TcpNet, pack, unpack
from quillstall.network.web import CurlWeb, fetch
from quillstall.runtime.clock import from_ms
from quillstall.runtime.disk import Put, SqliteDisk
from quillstall.runtime.errors import Fault
from quillstall.testbed.sim import World

# ---- examples


@when('the examples of "{name}" are run')
def run_examples(context, name):
    context.example_count = context.example_bad = 0
    package = importlib.import_module(name)
    for info in pkgutil.iter_modules(package.__path__):
        if info.name == '__main__':
            continue
        found = doctest.testmod(importlib.import_module(f'{name}.{info.name}'))
        context.example_count += found.attempted
        context.example_bad += found.failed


@then('there are some and none fails')
def none_fails(context):
    assert context.example_count > 5, context.example_count
    assert context.example_bad == 0, f'{context.example_bad} of {context.example_count}'


# ---- two worlds: real sockets on loopback, and the simulator

BLOCK = 8  # ports of one block; the last holds it
USED = 4  # how many of them may be used: address, HTTP, and one or two more
HELD = []


def reserve_port():
    """The first of four ports on every IP number of loopback that are ours until this process ends.

    They lie outside the ports that the system gives to outgoing connections: one of those could else take a port
    before its listener starts, or while its listener is down. A bound socket on the block's last port keeps
    other test runs off.
    """
    with open('/proc/sys/net/ipv4/ip_local_port_range', encoding='ascii') as file:
        low, high = map(int, file.read().split())
    blocks = [*range(10_000, low - BLOCK, BLOCK), *range(high + 1, 65_536 - BLOCK, BLOCK)]
    random.shuffle(blocks)
    for first in blocks:
        hold = socket.socket()
        try:
            hold.bind(('0.0.0.0', first + BLOCK - 1))
            for port in range(first, first + USED):
                with socket.socket() as probe:
                    probe.bind(('0.0.0.0', port))
        except OSError:
            hold.close()
            continue
        HELD.append(hold)
        return first
    raise AssertionError(f'no free ports outside {low} to {high}')


class Pair:
    """Two processes that can talk, real or simulated, and a third address where nobody listens."""

    def __init__(self, kind):
        self.kind = kind
        self.counts = {}

    def count(self, what):
        self.counts[what] = self.counts.get(what, 0) + 1

    def run(self, script):
        if self.kind == 'sim':

            async def main(world):
                a, b = world.machine('a', '10.0.0.1:1'), world.machine('b', '10.0.0.2:1')
                a.up = b.up = True
                world.machine('c', '10.0.0.3:1')
                there = world.ctx(b, {})
                done = asyncio.get_running_loop().create_future()

                async def kill():
                    world.kill(b)
                    await world.sleep(0)

                await there.net.serve('10.0.0.2:1', self.handler)
                await there.web.serve('10.0.0.2:2', self.door)
                done.set_result(None)
                here = world.ctx(a, {})
                await script(here.net, here.web, '10.0.0.2:1', '10.0.0.2:2', '10.0.0.3:1', kill)

            World.play(1, main)
            return

        async def main():
            port = reserve_port()
            web_port, none = port + 1, port + 2
            there, here = TcpNet(self.count), TcpNet()
            server, client = CurlWeb(4), CurlWeb(300)
            await there.serve(f'127.0.0.1:{port}', self.handler)
            await server.serve(f'127.0.0.1:{web_port}', self.door)
            self.address = ('127.0.0.1', port)
            try:
                await script(
                    here,
                    client,
                    f'127.0.0.1:{port}',
                    f'127.0.0.1:{web_port}',
                    f'127.0.0.1:{none}',
                    there.close,
                )
            finally:
                await here.close()
                await there.close()
                await client.close()
                await server.close()

        asyncio.run(main())

    async def handler(self, message):
        if message['k'] == 'echo':
            return {'x': message['x']}
        if message['k'] == 'fault':
            raise Fault('shed', 'full', (('a.b', 'is bad'),), wait_ms=70)
        if message['k'] == 'hang':
            await asyncio.get_running_loop().create_future()
        return {'x': message['nothing']}

    async def door(self, call, out):
        if call.path == '/lines':
            await out.head(200, {'X-A': 'b'})
            for n in range(5):
                await out.line({'n': n})
            await out.end()
        elif call.path == '/break':
            await out.head(200, {})
            await out.line({'n': 0})
            out.cut()
        elif call.path == '/hang':
            await out.head(200, {})
            await out.line({'n': 0})
            await out.gone
            self.count('gone')
        else:
            await out.whole(200, {'gone': self.counts.get('gone', 0)})


@given('a pair of processes over "{kind}"')
@given('a web server over "{kind}"')
def pair(context, kind):
    context.pair = Pair('sim' if kind == 'sim' else 'real')


@then('a return comes back to the one that asked')
def echo(context):
    async def script(net, web, there, door, none, kill):
        assert await net.ask(there, {'k': 'echo', 'x': [1, 'a', b'b', None]}, from_ms(2000)) == {
            'x': [1, 'a', b'b', None]
        }

    context.pair.run(script)


@then('many asks at once each get their own return')
def many(context):
    async def script(net, web, there, door, none, kill):
        got = await asyncio.gather(
            *[net.ask(there, {'k': 'echo', 'x': n}, from_ms(5000)) for n in range(200)]
        )
        assert [g['x'] for g in got] == list(range(200))

    context.pair.run(script)


@then('a fault crosses with its code, text and findings')
def fault(context):
    async def script(net, web, there, door, none, kill):
        try:
            await net.ask(there, {'k': 'fault'}, from_ms(2000))
        except Fault as e:
            assert (e.code, e.text, e.findings, e.wait_ms) == ('shed', 'full', (('a.b', 'is bad'),), 70)
            return
        raise AssertionError('no fault came')

    context.pair.run(script)


async def code_of(work):
    try:
        await work
    except Fault as e:
        return e.code
    return None


@then('nobody listening is told as "unreachable"')
def unreachable(context):
    async def script(net, web, there, door, none, kill):
        assert await code_of(net.ask(none, {'k': 'echo', 'x': 1}, from_ms(2000))) == 'unreachable'

    context.pair.run(script)


@then('no return in time is told as "slow"')
def slow(context):
    async def script(net, web, there, door, none, kill):
        assert await code_of(net.ask(there, {'k': 'hang'}, from_ms(100))) == 'slow'

    context.pair.run(script)


@then('a peer that ends in the middle is told as "lost"')
def lost(context):
    async def script(net, web, there, door, none, kill):
        work = asyncio.ensure_future(code_of(net.ask(there, {'k': 'hang'}, from_ms(5000))))
        while not await net.ask(there, {'k': 'echo', 'x': 1}, from_ms(2000)):
            pass
        await kill()
        assert await work == 'lost'

    context.pair.run(script)


@then('a message the handler cannot read is told as "garbled"')
def garbled(context):
    async def script(net, web, there, door, none, kill):
        assert await code_of(net.ask(there, {'k': 'other'}, from_ms(2000))) == 'garbled'

    context.pair.run(script)


@when('a stranger sends bytes that are no greeting')
@when('a peer sends a frame that is no message')
def noted(context):
    context.strange = True


@then('both links are closed and counted')
def strangers(context):
    async def script(net, web, there, door, none, kill):
        host, _, port = there.partition(':')
        for data in (
            b'GET / HTTP/1.1\r\n\r\n',
            MAGIC + struct.pack('>I', 3) + b'\xff\xff\xff',
            MAGIC + struct.pack('>I', 2**31),
        ):
            reader, writer = await asyncio.open_connection(host, int(port))
            writer.write(data)
            assert await reader.read() == b''
            writer.close()
        assert await net.ask(there, {'k': 'echo', 'x': 1}, from_ms(2000)) == {'x': 1}

    context.pair.run(script)
    assert context.pair.counts == {'net.stranger': 1, 'net.garbled': 2}, context.pair.counts


# ---- web


async def drink(flow):
    out = []
    while not out or out[-1][0] != 'end':
        out.append(await flow.next())
    return out


@then('lines arrive in order and the end is told')
def lines(context):
    async def script(net, web, there, door, none, kill):
        got = await drink(web.open(door, 'GET', '/lines', limit=from_ms(3000)))
        assert got[0][:2] == ('head', 200) and got[0][2]['x-a'] == 'b', got
        assert [x[1]['n'] for x in got if x[0] == 'line'] == [0, 1, 2, 3, 4]
        assert got[-1] == ('end', None)

    context.pair.run(script)


@then('an answer that breaks off is told as "lost"')
def breaks(context):
    async def script(net, web, there, door, none, kill):
        got = await drink(web.open(door, 'GET', '/break', limit=from_ms(3000)))
        assert got[-1] == ('end', 'lost'), got

    context.pair.run(script)


@then('nobody serving is told as "unreachable"')
def unserved(context):
    async def script(net, web, there, door, none, kill):
        got = await drink(web.open(none, 'GET', '/', limit=from_ms(3000)))
        assert got == [('end', 'unreachable')], got

    context.pair.run(script)


@then('a caller that cuts is seen by the server at once')
def cuts(context):
    async def script(net, web, there, door, none, kill):
        flow = web.open(door, 'GET', '/hang', limit=from_ms(60_000))
        while (await flow.next())[0] != 'line':
            pass
        flow.cut()
        for _ in range(400):
            _, body, _ = await fetch(web, door, 'GET', '/asked', limit=from_ms(3000))
            if body['gone']:
                return
        raise AssertionError('the server did not see it')

    context.pair.run(script)


# ---- disks


class Plate:
    """A disk that can lose its power."""

    def __init__(self, kind):
        self.kind = kind
        self.folder = tempfile.mkdtemp() if kind == 'sqlite' else None
        self.rows = {}

    def run(self, first, second):
        """Run `first` on a disk, end its process, and `second` on what is left."""
        if self.kind == 'sim':

            async def main(world):
                m = world.machine('a', '10.0.0.1:1')
                box = {}

                async def program(ctx):
                    await ctx.disk.open()
                    await first(ctx.disk, box)

                world.start(m, {}, program)
                await world.sleep(1 if not box.get('fast') else 0)
                world.kill(m)
                await second(await world.ctx(m, {}).disk.open())

            World.play(random.randrange(1000), main)
            return

        async def main():
            disk = SqliteDisk(self.folder)
            await disk.open()
            await first(disk, {})
            await disk.close()
            again = SqliteDisk(self.folder)
            await second(await again.open())
            await again.close()

        try:
            asyncio.run(main())
        finally:
            shutil.rmtree(self.folder)
            os.mkdir(self.folder)


@given('a disk of "{kind}"')
def disk(context, kind):
    context.plate = Plate(kind)


@then('what was written is there after a kill')
def there_after(context):
    async def first(d, box):
        await d.write((Put('p', 'a', {'n': [1, 2]}), Put('q', 'b', 'x')))

    async def second(rows):
        assert rows == {'p': {'a': {'n': [1, 2]}}, 'q': {'b': 'x'}}, rows

    context.plate.run(first, second)


@then('what was not yet synced may be lost but is never half there')
def never_half(context):
    async def first(d, box):
        await d.write((Put('p', 'a', 1), Put('p', 'b', 1)))
        box['fast'] = True
        asyncio.ensure_future(d.write((Put('p', 'a', 2), Put('p', 'b', 2))))

    async def second(rows):
        assert rows['p']['a'] == rows['p']['b'] in (1, 2), rows

    context.plate.run(first, second)


@then('a part can be emptied and a row taken out')
def emptied(context):
    async def first(d, box):
        await d.write((Put('p', 'a', 1), Put('q', 'a', 1), Put('q', 'b', 2)))
        await d.write((Put('p', None, None), Put('p', 'c', 3), Put('q', 'a', None)))

    async def second(rows):
        assert rows == {'p': {'c': 3}, 'q': {'b': 2}}, rows

    context.plate.run(first, second)


@then('a second process on the folder is refused with "disk"')
def second_process(context):
    async def first(d, box):
        other = SqliteDisk(context.plate.folder)
        assert await code_of(other.open()) == 'disk'

    async def second(rows):
        assert rows == {}

    context.plate.run(first, second)


@then('a torn file is refused with "disk"')
def torn(context):
    async def main():
        path = os.path.join(context.plate.folder, 'quillstall.db')
        d = SqliteDisk(context.plate.folder)
        await d.open()
        await d.write(tuple(Put('p', f'k{n}', 'x' * 500) for n in range(200)))
        await d.close()
        size = os.path.getsize(path)
        with open(path, 'r+b') as file:
            file.seek(size // 2)
            file.write(os.urandom(4096))
            file.truncate(size * 3 // 4)
        assert await code_of(SqliteDisk(context.plate.folder).open()) == 'disk'

    asyncio.run(main())


@then('a missing folder is refused with "disk"')
def missing(context):
    shutil.rmtree(context.plate.folder)
    assert asyncio.run(code_of(SqliteDisk(context.plate.folder).open())) == 'disk'


# ---- a link that is dead without either end knowing it


@given('a process whose first link is dead without either end knowing it')
def dead_link(context):
    async def script():
        links = []

        async def serve(reader, writer):
            links.append(writer)
            if len(links) == 1:
                while await reader.read(4096):  # taken, and never answered
                    pass
                return
            await reader.readexactly(4)
            while True:
                (size,) = struct.unpack('>I', await reader.readexactly(4))
                call, message = unpack(await reader.readexactly(size))
                writer.write(pack(call, {'ok': message['k']}))

        port = reserve_port()
        server = await asyncio.start_server(serve, '127.0.0.1', port)
        net, out = TcpNet(lambda what: context.counts.update({what: context.counts.get(what, 0) + 1})), []
        for _ in range(4):
            try:
                out.append(await net.ask(f'127.0.0.1:{port}', {'k': 'hi'}, from_ms(200)))
            except Fault as e:
                out.append(e.code)
        await net.close()
        server.close()
        return out, len(links)

    context.counts = {}
    context.script = script


@when('it is asked again and again, 0.2 seconds each')
def asked_again(context):
    context.asked, context.links = asyncio.run(context.script())


@then('the first ask is slow, a later one is returned, and the process was reached over a second link')
def second_link(context):
    assert context.asked[0] == 'slow' and context.asked[-1] == {'ok': 'hi'}, context.asked
    assert context.links == 2 and context.counts['net.silent'] == 1, (context.links, context.counts)


def lone_core_settings(data, port=None, **more):
    """The settings of a core, the only one of three that is there."""
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
