"""Steps about processes that run on, whatever others answer and whatever fails in their own program."""

import asyncio
import contextlib
import json
import os
import random
import signal
import socket
import subprocess
import sys
import tempfile
import time
from datetime import timedelta
from pathlib import Path
from types import SimpleNamespace
from typing import NamedTuple

from behave import given, then, when
from deployed import Deployment, wait_until
from deployed_processes import address, locked_folder, serves, start_without_settings
from loop_thread import LoopThread

from quillstall.controlplane import doctor
from quillstall.network.net import call_handler
from quillstall.network.web import fetch
from quillstall.replication import group
from quillstall.runtime.clock import SystemClock
from quillstall.runtime.effect import Ask, Heard, Tick, Told
from quillstall.runtime.journal import Journal
from quillstall.runtime.process import ReducerRunner
from quillstall.testbed.deploy import DEPLOYS
from quillstall.testbed.sim import World
from quillstall.testbed.soak.foreign import ForeignProgram
from quillstall.testbed.town import Town

FAILING_PROGRAM = Path(__file__).with_name('failing_program.py')
RESTART_DELAY_S = 0.3
ACKNOWLEDGED_LIMIT_S = 30.0
PROGRAM_LIMIT_S = 15.0
ERROR_PLACES = {'the program': 'program', 'a step of the reducer': 'step'}


@given('a deployment of three cores, three stores and two routing nodes, with a configuration')
def configured_deployment(context):
    context.deployment = deployment = Deployment(cores=3, stores=3, edges=2)
    context.add_cleanup(deployment.close)
    deployment.start()
    assert deployment.acknowledge_configuration(ACKNOWLEDGED_LIMIT_S)
    for machine in deployment.machines.values():
        assert serves(machine), machine.log()[-300:]


@when('{name} is killed, and another program answers at its internal address, seed {seed:d}')
def foreign_program_answers(context, name, seed):
    victim = context.deployment[name]
    victim.kill()
    context.killed = [name]
    host, port = address(victim, 'internal')
    context.foreign = ForeignProgram(f'{host}:{port}', random.Random(seed))
    servers = LoopThread()
    servers.open(context.foreign.open())
    context.add_cleanup(servers.close)


@when('core-2, storage-2 and edge-2 are killed and started again')
def one_of_each_anew(context):
    machines = [context.deployment[name] for name in ('core-2', 'storage-2', 'edge-2')]
    for machine in machines:
        machine.kill()
    time.sleep(RESTART_DELAY_S)
    for machine in machines:
        machine.start()


@then('it is asked, and all others run, {seconds:d} s later')
def others_run(context, seconds):
    time.sleep(seconds)
    assert context.foreign.answered, 'nobody asked it'
    ended = {
        machine.name: (machine.process.returncode, machine.log()[-300:])
        for machine in context.deployment.machines.values()
        if machine.name not in context.killed and not machine.running()
    }
    assert not ended, ended


@then('the configuration can be read and changed')
def configuration_lives(context):
    deployment = context.deployment
    cores = [core for core in deployment.of_class('core') if core.running()]

    def read():
        replies = [core.request('GET', '/config') for core in cores]
        return next((json.loads(body) for status, body in replies if status == 200), None)

    assert wait_until(lambda: read() is not None, ACKNOWLEDGED_LIMIT_S, 0.3)
    document = read()
    body = json.dumps({**document, 'revision': 2})
    headers = {'Content-Type': 'application/json', 'If-Match': '1'}
    assert wait_until(
        lambda: any(core.request('PUT', '/config', body, headers)[0] == 200 for core in cores),
        ACKNOWLEDGED_LIMIT_S,
        0.3,
    )


# ---- waits


@when('{name} is started and its {what} is not to be had for {seconds:d} s')
def start_without(context, name, what, seconds):
    context.machine = machine = context.deployment[name]
    with contextlib.ExitStack() as held:
        if what.endswith('address'):
            held.enter_context(socket.create_server(address(machine, what.split()[0])))
            machine.start()
        elif what == 'data folder':
            held.enter_context(locked_folder(machine))
            machine.start()
        elif what == 'settings file':
            start_without_settings(machine, 'missing')
        else:
            machine.overrides = {'bounds.contact_ms': 'soon'}
            machine.start()
            machine.overrides = {}
        time.sleep(seconds)
    machine.write_settings(machine.settings())


@then('it has said more than once that it waits for its {what}')
def said_that_it_waits(context, what):
    lines = [line for line in context.machine.log().splitlines() if 'waiting for it' in line]
    assert len(lines) > 1, context.machine.log()[-500:]


# ---- errors of the program


def run_failing_program(context, error, place, failures):
    context.folder = tempfile.mkdtemp(prefix='failing-')
    context.log_path = Path(context.folder, 'log')
    with context.log_path.open('wb') as log:
        context.process = subprocess.Popen(
            [sys.executable, str(FAILING_PROGRAM), error, place, str(failures), context.folder],
            stdin=subprocess.DEVNULL,
            stdout=log,
            stderr=log,
            env={**os.environ, 'PYTHONPATH': os.pathsep.join(sys.path)},
        )
    context.add_cleanup(end_process, context.process)
    context.machine = SimpleNamespace(
        send=context.process.send_signal,
        wait=lambda limit_s=PROGRAM_LIMIT_S: wait(context.process, limit_s),
        log=context.log_path.read_text,
    )


def end_process(process):
    if process.poll() is None:
        process.kill()
    process.wait()


def wait(process, limit_s):
    try:
        return process.wait(limit_s)
    except subprocess.TimeoutExpired:
        return None


def run_times(context):
    """Return when each run of the program began."""
    path = Path(context.folder, 'runs')
    return [float(line) for line in path.read_text().splitlines()] if path.exists() else []


@when('a process runs a program that fails twice with {error} in {place}')
def program_fails_twice(context, error, place):
    run_failing_program(context, error, ERROR_PLACES[place], 2)


@then('it runs the program a third time, after waits that grow')
def runs_a_third_time(context):
    assert wait_until(
        lambda: len(run_times(context)) == 3 or context.process.poll() is not None, PROGRAM_LIMIT_S
    )
    assert context.process.poll() is None, (context.process.poll(), context.log_path.read_text()[-500:])
    first, second, third = run_times(context)
    assert third - second > second - first, run_times(context)


@then('its log tells of two failures, with their causes')
def log_tells_of_failures(context):
    text = context.log_path.read_text()
    assert text.count('program_failed') == 2 and text.count('on purpose') >= 2, text[-800:]


@when('a process runs a program that fails {when}, and gets SIGTERM')
def failing_program_is_stopped(context, when):
    place, failures = ('program', 1000) if when == 'each time' else ('stop', 0)
    run_failing_program(context, 'ValueError', place, failures)
    assert wait_until(lambda: run_times(context), PROGRAM_LIMIT_S)
    time.sleep(random.Random(1).uniform(0.5, 1.0))
    context.process.send_signal(signal.SIGTERM)


# ---- errors of ours at a well-formed message

RAN = {'not run': 'no', 'perhaps run': 'unknown'}
STATUS_MESSAGE = {'k': 'who'}


async def reply_of_step():
    """Return the reply of a runner whose reducer fails on a message."""

    def failing_step(state, event, now):
        if type(event) is Told:
            raise ZeroDivisionError('on purpose')
        return state, ()

    clock = SystemClock()
    ctx = SimpleNamespace(
        startup={'role': 'store', 'address': '127.0.0.1:1'},
        clock=clock,
        journal=Journal('s1', clock),
        disk=SimpleNamespace(),
    )
    runner = ReducerRunner(ctx, SimpleNamespace(me='s1'), failing_step, lambda *_: None)
    running = asyncio.ensure_future(runner.run())
    reply = await runner.handle(STATUS_MESSAGE)
    assert not running.done()
    running.cancel()
    return reply


async def reply_of_table():
    """Return the reply to a command that the table of a copy fails to apply."""

    def failing_apply(*_):
        raise ZeroDivisionError('on purpose')

    return group.applied(failing_apply, 'p00', {}, {'op': 'once_begin'}, SystemClock().now()).reply


async def reply_of_handler():
    """Return the reply of a process whose handler fails."""

    async def failing_handler(_):
        raise ZeroDivisionError('on purpose')

    return await call_handler(failing_handler, STATUS_MESSAGE)


FAILING = {
    'in the step of its reducer': reply_of_step,
    'as it applies a command to its table': reply_of_table,
    'in the handler of its messages': reply_of_handler,
}


@given('a process that has an error of its own {place}')
def process_with_error(context, place):
    context.reply_of = FAILING[place]


@when('it gets a well-formed message')
def gets_message(context):
    context.reply = asyncio.run(context.reply_of())


@then('it replies with the fault "{code}", which has {ran}')
def replies_with_fault(context, code, ran):
    assert (context.reply['fault'], context.reply['ran']) == (code, RAN[ran]), context.reply


# ---- failures that doctor shows

FAILED_PROGRAMS = ('core1', 'store0', 'route0')


@given(
    'a simulated fleet in which the program of a core, a store and a routing node has failed {failures:d} times'
)
def fleet_with_failures(context, failures):
    async def script(world):
        town = Town(world, DEPLOYS['cartalume']())
        for name in FAILED_PROGRAMS:
            town.startups[name]['program_failures'] = failures
        await town.open()
        await town.crowd.play(timedelta(seconds=6))
        replies = []
        for place in town.cores:
            _, status, _ = await fetch(town.hand.web, place, 'GET', '/v1/status')
            replies.append(doctor.StatusReply(place, status))
        context.core_address = town.startups['core1']['http']
        return replies

    context.status_replies = World.play(5, script)


@when('doctor looks at the fleet')
def doctor_looks(context):
    context.findings = doctor.diagnose(context.status_replies, None)


@then('it warns of these three processes and of no other, {count:d} times each')
def doctor_warns_of_failures(context, count):
    warned = [f for f in context.findings if f.problem.startswith('its program has failed')]
    subjects = sorted(f.subject.rpartition('-')[0] or f.subject for f in warned)
    assert subjects == sorted([context.core_address, 'store0', 'route0']), warned
    assert all(f'{count} times' in f.problem for f in warned), warned


# ---- replies that the reducer cannot handle


class CountingState(NamedTuple):
    """What a reducer that asks another process has heard."""

    me: str = 'a'
    asked: bool = False
    heard: tuple = ()


def step_that_fails_on_replies(state, event, now):
    """Ask once, and fail on whatever is replied."""
    if type(event) is Heard:
        if event.reply is not None:
            raise event.reply['error']
        return state._replace(heard=state.heard + (event,)), ()
    if type(event) is Tick and not state.asked:
        return state._replace(asked=True), (Ask('127.0.0.1:9', {'k': 'odd'}, ('t',)),)
    return state, ()


@given('a runner whose reducer fails on each reply, and asks another process')
def runner_that_fails_on_replies(context):
    async def ask(place, message, limit):
        return {'ok': True, 'error': ArithmeticError('on purpose')}

    clock = SystemClock()
    ctx = SimpleNamespace(
        startup={'role': 'core', 'address': '127.0.0.1:1'},
        clock=clock,
        net=SimpleNamespace(ask=ask),
        journal=Journal('a', clock),
    )
    context.runner = ReducerRunner(ctx, CountingState(), step_that_fails_on_replies, lambda state, name: name)


@when('the other process replies')
def other_process_replies(context):
    async def run_for_a_while():
        running = asyncio.ensure_future(context.runner.run())
        await asyncio.sleep(timedelta(milliseconds=500).total_seconds())
        context.still_running = not running.done()
        running.cancel()
        await asyncio.wait((running,))

    asyncio.run(run_for_a_while())


@then('the reducer is told that no reply came, the runner goes on, and counts it')
def reply_counts_as_none(context):
    assert context.still_running
    assert [event.reply for event in context.runner.state.heard] == [None], context.runner.state
    assert context.runner.ctx.journal.counts['garbled.reply'] == 1, context.runner.ctx.journal.counts
