"""Steps about peers and callers that send without end."""

import asyncio
import subprocess
import sys
import time
from pathlib import Path

import cbor2
from behave import given, then, when
from deployed import Deployment
from deployed_processes import address, processor_seconds, serves
from stand_in_platform import configuration

from quillstall.network.net import MAGIC, frame_of

PROGRAM = Path(__file__).with_name('endless_sender.py')
ANSWER_LIMIT_S = 0.25
ANSWER_SHARE = 0.95
ASK_PAUSE_S = 0.05
ASK_TIMEOUT_S = 5.0
PROGRAM_LIMIT_S = 30.0
READY_LIMIT_S = 30.0
SERVED_MS = 4000
WHO = cbor2.dumps({'k': 'who'})


@given('a fleet whose {name} may have {limit:d} MB, and runs')
def fleet_with_limit(context, name, limit):
    context.deployment = deployment = Deployment(cores=3, stores=3, edges=1)
    context.add_cleanup(deployment.close)
    context.machine = machine = deployment[name]
    machine.overrides = {'limits.memory_mb': limit}
    context.limits = {name: limit}
    deployment.start()
    for port in ('internal', 'control') if name == 'edge-1' else ('internal',):
        assert serves(machine, port), machine.log()[-300:]
    assert deployment.acknowledge_configuration(READY_LIMIT_S, configuration(SERVED_MS))
    assert deployment['edge-1'].logged('generation', READY_LIMIT_S), machine.log()[-300:]
    if name == 'edge-1':  # its first request brings the limits of the configuration into force
        asyncio.run(ask_request(*address(machine, 'control')))


@when('{count:d} connections send {kind} to its {port} address for {seconds:d} s')
def send_without_end(context, count, kind, port, seconds):
    host, number = address(context.machine, port)
    senders = subprocess.Popen(
        [sys.executable, str(PROGRAM), kind, host, str(number), str(count), str(seconds)]
    )
    context.add_cleanup(senders.wait)
    context.add_cleanup(senders.kill)
    before, since = processor_seconds(context.machine), time.monotonic()
    context.took_s = asyncio.run(ask_again_and_again(host, number, port, seconds))
    context.cpu_share = (processor_seconds(context.machine) - before) / (time.monotonic() - since)
    senders.wait(PROGRAM_LIMIT_S)


async def ask_again_and_again(host, port, form, seconds):
    """Return how long each answer took, each on a connection of its own."""
    took_s, end = [], time.monotonic() + seconds
    while time.monotonic() < end:
        since = time.monotonic()
        async with asyncio.timeout(ASK_TIMEOUT_S):
            await (ask_message(host, port) if form == 'internal' else ask_request(host, port))
        took_s.append(time.monotonic() - since)
        await asyncio.sleep(ASK_PAUSE_S)
    return took_s


async def ask_message(host, port):
    """Send one message and wait for the reply."""
    reader, writer = await asyncio.open_connection(host, port)
    writer.write(MAGIC + frame_of(1, WHO))
    size = int.from_bytes(await reader.readexactly(4), 'big')
    await reader.readexactly(size)
    writer.close()


async def ask_request(host, port):
    """Send one request, which no route takes, and wait for the answer."""
    reader, writer = await asyncio.open_connection(host, port)
    writer.write(b'GET /none HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n')
    assert (await reader.read()).startswith(b'HTTP/1.1 ')
    writer.close()


@then('its other peer had every answer within 250 ms, but for one in twenty')
def other_peer_served(context):
    took = sorted(context.took_s)
    p95 = took[int(len(took) * ANSWER_SHARE)]
    print(f'{len(took)} answers, p95 {p95:.3f} s, longest {took[-1]:.3f} s')
    assert p95 <= ANSWER_LIMIT_S, (len(took), p95, took[-1])


@then('it used less than {share:f} of a core')
def used_less(context, share):
    print(f'{context.cpu_share:.2f} of a core')
    assert context.cpu_share < share, context.cpu_share
