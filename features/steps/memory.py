"""Steps about the memory of processes that run as the deploy file says."""

import asyncio
import contextlib
import json
import re
import shutil
import socket
import struct
import tempfile
import time
from collections import Counter
from datetime import timedelta
from types import SimpleNamespace

from behave import given, then, when
from deployed import Deployment, wait_until
from deployed_processes import address, serves
from stand_in_platform import HOST, StandInPlatform, configuration

from quillstall.controlplane import store_table
from quillstall.controlplane.table_limit import TableLimit
from quillstall.dataplane.event_relay import EventRelay
from quillstall.dataplane.stalls import StallWatch
from quillstall.network.net import MAGIC
from quillstall.network.pacing import Pace
from quillstall.runtime.byte_budget import ByteBudget, MemoryBudgets, Reservation
from quillstall.runtime.clock import SystemClock
from quillstall.runtime.disk import Put, SqliteDisk
from quillstall.runtime.errors import Fault
from quillstall.runtime.journal import Journal

READY_LIMIT_S = 30.0
DEADLINE_MS = 20_000
CALLER_LIMIT_S = 40.0
BODY_BYTES = 4 * 2**20
PIECES = 16
TRIES = 3
RETRY_S = 1.0
PIECE_PAUSE_S = 0.4
CHUNK_BYTES = 2**16
SLOW_READ_BYTES = 2**18
SLOW_READ_PAUSE_S = 0.1
HELD_S = 3.0
MIB = 2**20


def peak_memory_mb(machine):
    """Return the most memory that a process has had resident."""
    with open(f'/proc/{machine.process.pid}/status', encoding='utf-8') as file:
        return int(re.search(r'VmHWM:\s+(\d+) kB', file.read())[1]) / 1024


@given('a fleet whose routing node may have {limit:d} MB, and a replica with {slots:d} slots')
def fleet_with_replica(context, limit, slots):
    context.deployment = deployment = Deployment(cores=3, stores=3, edges=1)
    context.add_cleanup(deployment.close)
    platform = StandInPlatform(deployment.ports.internal, slots)
    context.add_cleanup(platform.close)
    platform.open()
    context.machine = deployment['edge-1']
    context.limits = {'edge-1': limit}
    context.machine.overrides = {'limits.memory_mb': limit}
    deployment.start()
    assert deployment.acknowledge_configuration(READY_LIMIT_S, configuration(DEADLINE_MS))
    assert wait_until(lambda: is_ready(context.machine), READY_LIMIT_S)


def is_ready(machine):
    """Return whether a routing node says that it is ready."""
    try:
        with socket.create_connection(address(machine, 'readiness'), timeout=1) as connection:
            connection.sendall(b'GET /readiness HTTP/1.1\r\nHost: h\r\n\r\n')
            return connection.recv(64).startswith(b'HTTP/1.1 200')
    except OSError:
        return False


@when('150 callers at once send it requests with {traffic}')
def callers_send(context, traffic):
    place = address(context.machine, 'control')

    callers = [Caller(place, number, traffic) for number in range(150)]

    async def all_callers():
        return await asyncio.gather(*[caller.call() for caller in callers])

    context.statuses = asyncio.run(all_callers())
    context.problems = Counter(caller.problem for caller in callers)


class Caller:
    """One request on a connection of its own."""

    def __init__(self, place, number, traffic):
        self.place = place
        self.number = number
        self.traffic = traffic
        self.problem = None  # the code of a refusal
        self.body = bytes(BODY_BYTES) if 'bodies' in traffic else b'small'

    async def call(self):
        """Return the status of the last answer; a refusal is tried again some times, a second later."""
        for _ in range(TRIES - 1):
            status = await self.try_once()
            if status != 503:
                return status
            await asyncio.sleep(RETRY_S)
        return await self.try_once()

    async def try_once(self):
        """Return the status of a whole answer, or what came in its place."""
        try:
            async with asyncio.timeout(CALLER_LIMIT_S):
                reader, writer = await asyncio.open_connection(*self.place, limit=2**16)
                sending = asyncio.ensure_future(self.send(writer))
                try:
                    return await self.read(reader)
                finally:
                    sending.cancel()
                    writer.close()
                    with contextlib.suppress(OSError):
                        await writer.wait_closed()
        except (OSError, asyncio.IncompleteReadError, TimeoutError) as e:
            return repr(e)

    async def send(self, writer):
        """Send the request as the traffic wants it; a connection that breaks is seen by who reads the answer."""
        chunked = 'chunks' in self.traffic
        headers = {
            'Host': HOST,
            'X-Quillstall-Request-Id': f'x{self.number}',
            'X-Quillstall-Deadline-Ms': DEADLINE_MS,
            'X-Answer-Bytes': BODY_BYTES if 'answers' in self.traffic else 2,
            **({'Transfer-Encoding': 'chunked'} if chunked else {'Content-Length': len(self.body)}),
        }
        lines = ''.join(f'{name}: {value}\r\n' for name, value in headers.items())
        try:
            writer.write(f'POST /work/x HTTP/1.1\r\n{lines}\r\n'.encode())
            for piece in self.pieces():
                writer.write(b'%x\r\n%s\r\n' % (len(piece), piece) if chunked else piece)
                await writer.drain()
                if 'pieces' in self.traffic:
                    await asyncio.sleep(PIECE_PAUSE_S)
            if chunked:
                writer.write(b'0\r\n\r\n')
        except OSError:
            pass

    def pieces(self):
        """Return the body in the pieces in which it is sent."""
        size = CHUNK_BYTES if 'chunks' in self.traffic else len(self.body)
        size = len(self.body) // PIECES if 'pieces' in self.traffic else size
        return [self.body[at : at + size] for at in range(0, len(self.body), size)]

    async def read(self, reader):
        """Return the status of the answer once it is whole."""
        head = (await reader.readuntil(b'\r\n\r\n')).decode('latin1')
        body = b''
        left = int(re.search(r'(?i)content-length: (\d+)', head)[1])
        while left:
            if 'slowly' in self.traffic:
                await asyncio.sleep(SLOW_READ_PAUSE_S)
            body = await reader.readexactly(min(left, SLOW_READ_BYTES))
            left -= len(body)
        status = int(head.split()[1])
        if status != 200:
            self.problem = json.loads(body)['code']
        return status if status != 503 or 'retry-after:' in head.lower() else '503 without Retry-After'


@then('each has a whole answer, 200 or 503, and some have 200')
def whole_answers(context):
    counts = {status: context.statuses.count(status) for status in set(context.statuses)}
    assert set(counts) <= {200, 503} and counts.get(200), (counts, context.problems)


@then('the routing node has never held more than its limit')
@then('no core has ever held more than its limit')
@then('it has never held more than its limit')
def within_limits(context):
    peaks = {name: round(peak_memory_mb(context.deployment[name])) for name in context.limits}
    print(f'peaks: {peaks} of {context.limits}')
    assert all(peak <= context.limits[name] for name, peak in peaks.items()), (peaks, context.limits)


@then('a small request is answered 200 after that')
def small_request(context):
    place = address(context.machine, 'control')

    def answered():
        return asyncio.run(Caller(place, time.monotonic_ns(), 'no body').call()) == 200

    assert wait_until(answered, READY_LIMIT_S, 0.2)


# ---- configurations


@given('a limit of {limit:d} MB for each core')
def limited_cores(context, limit):
    cores = context.deployment.of_class('core')
    for core in cores:
        core.overrides = {'limits.memory_mb': limit}
    context.limits = {core.name: limit for core in cores}


@when('a configuration with {count:d} routes is changed {changes:d} times')
def change_large_configuration(context, count, changes):
    deployment = context.deployment
    deployment.start()
    document = configuration(4000)
    rule = document['routing_rules'][0]
    document['routing_rules'] = [
        {**rule, 'name': f'r-{n}', 'path_prefix': f'/work/{n}/'} for n in range(count)
    ]
    assert deployment.acknowledge_configuration(READY_LIMIT_S, document)
    for change in range(1, changes + 1):
        document['revision'] = change + 1
        document['routing_rules'][0]['timeout_ms'] = 4000 + change
        body = json.dumps(document)
        headers = {'Content-Type': 'application/json', 'If-Match': str(change)}
        assert wait_until(lambda: put(deployment, body, headers), READY_LIMIT_S, 0.2), change  # noqa: B023


def put(deployment, body, headers):
    """Return whether a core acknowledges a configuration."""
    return any(
        core.request('PUT', '/config', body, headers)[0] == 200 for core in deployment.of_class('core')
    )


# ---- tables


@given('a store with {limit:d} MB whose disk holds {size:d} MB of rows of {row:d} bytes')
def store_with_rows(context, limit, size, row):
    context.folder = tempfile.mkdtemp()
    context.add_cleanup(shutil.rmtree, context.folder)
    context.store_mb = limit
    context.budgets = MemoryBudgets.of({'memory_mb': limit})
    context.puts = tuple(Put('p00', f'kept/{n}', bytes(row)) for n in range(size * MIB // row))


@when('it gets a command of each kind')
@when('half of its rows are deleted')
def commands_of_each_kind(context):
    deleting = hasattr(context, 'outcomes')

    async def script():
        disk = SqliteDisk(context.folder)
        rows = await disk.open()
        if not rows:
            await disk.write(context.puts)
        if deleting:
            await disk.write(tuple(put._replace(value=None) for put in context.puts[::2]))
        await disk.close()
        disk = SqliteDisk(context.folder)
        await disk.open()
        clock = SystemClock()
        ctx = SimpleNamespace(disk=disk, budgets=context.budgets, journal=Journal('s1', clock))

        async def pass_on(message):
            return {'ok': True}

        limit = TableLimit(ctx, pass_on)
        outcomes = {}
        for operation in store_table.OPS:
            try:
                await limit.handle({'k': 'op', 'part': 'p00', 'command': {'op': operation}})
                outcomes[operation] = 'passed on'
            except Fault as e:
                outcomes[operation] = e.code
        await limit.handle({'k': 'who'})
        await disk.close()
        return outcomes

    context.outcomes = asyncio.run(script())


@then('those that begin new work are refused with "{code}", and all others are passed on')
def new_work_refused(context, code):
    refused = {operation for operation, outcome in context.outcomes.items() if outcome != 'passed on'}
    assert refused == {'begin', 'turn_begin', 'once_begin'}, context.outcomes
    assert {context.outcomes[operation] for operation in refused} == {code}, context.outcomes


@then('all commands are passed on')
def all_passed_on(context):
    assert set(context.outcomes.values()) == {'passed on'}, context.outcomes


@then('a store process with that limit that starts with those rows has never held more')
def store_process_bears_rows(context):
    deployment = Deployment(cores=0, stores=1)
    context.add_cleanup(deployment.close)
    machine = deployment['storage-1']
    machine.overrides = {'limits.memory_mb': context.store_mb, 'data_path': context.folder}
    machine.start()
    assert serves(machine), machine.log()[-500:]
    peak = peak_memory_mb(machine)
    print(f'peak: {peak:.0f} of {context.store_mb}')
    assert peak <= context.store_mb, peak


# ---- events

KB = 1000


class PartedStream:
    """A stream whose parts are handed to a relay one by one, and the budget that the relay reserves from."""

    def __init__(self):
        self.loop = asyncio.new_event_loop()
        self.budget = ByteBudget(MIB)
        self.parts = None
        self.pace = Pace(1e6, 1e6, self.loop.time)
        self.response_bytes = Reservation(self.budget, 'p')
        self.written = []

    async def write(self, data):
        self.written.append(data)

    async def read_data(self, timeout):
        part = await self.parts.get()
        if part is None:
            raise Fault('lost', 'broken off')
        return part

    async def begin(self):
        self.parts = asyncio.Queue()
        clock = SystemClock()
        deadline = clock.now() + timedelta(seconds=30)
        relay = EventRelay(self, clock, deadline, None, None, False, print)
        watch = StallWatch(clock, None, deadline, False, lambda: None)
        self.task = asyncio.ensure_future(relay.relay(self, watch, lambda count: None))

    async def send(self, part):
        self.parts.put_nowait(part)
        await asyncio.sleep(0.05)


@given('a stream of which {size:d} KB of one event have come')
def part_of_event(context, size):
    context.stream = stream = PartedStream()
    context.add_cleanup(stream.loop.close)
    stream.loop.run_until_complete(stream.begin())
    stream.loop.run_until_complete(stream.send(b'data: ' + bytes(size * KB - 6)))


@when('the event is complete')
def event_complete(context):
    context.stream.loop.run_until_complete(context.stream.send(b'\n\n'))
    assert len(context.stream.written) == 1


@when('{size:d} KB of another event have come and the stream breaks')
def stream_breaks(context, size):
    stream = context.stream
    stream.loop.run_until_complete(stream.send(bytes(size * KB)))
    assert stream.budget.held == size * KB
    stream.loop.run_until_complete(stream.send(None))
    assert stream.task.exception().code == 'lost'


@then('{size:d} KB are reserved for its pool')
def reserved_for_pool(context, size):
    assert context.stream.budget.held_by['p'] == size * KB, context.stream.budget.held_by


# ---- messages


@given('a limit of {limit:d} MB for {name}, which has started')
def limited_machine(context, name, limit):
    context.machine = machine = context.deployment[name]
    machine.overrides = {'limits.memory_mb': limit}
    context.limits = {name: limit}
    machine.start()
    assert serves(machine), machine.log()[-300:]


@when('{count:d} links each send it a message of {size:d} MB, all but its last byte')
def links_send(context, count, size):
    place = address(context.machine, 'internal')
    message = MAGIC + struct.pack('>I', size * MIB) + bytes(size * MIB - 1)

    async def send():
        try:
            async with asyncio.timeout(CALLER_LIMIT_S):
                _, writer = await asyncio.open_connection(*place)
                writer.write(message)
                await writer.drain()
                await asyncio.sleep(HELD_S)
                writer.close()
        except (OSError, TimeoutError):
            pass

    async def all_links():
        await asyncio.gather(*[send() for _ in range(count)])

    asyncio.run(all_links())
