"""Steps about signals and stops at awkward moments."""

import asyncio
import json
import os
import shutil
import signal
import subprocess
import sys
import tempfile
import time
from types import SimpleNamespace

from behave import given, then, when
from common import lone_core_settings

from quillstall.controlplane.desk import Desk
from quillstall.runtime.errors import Fault
from quillstall.runtime.process import Context

START_LIMIT_S = 30.0
PAUSE_S = 0.01
MEMBER = 'member'  # the testbed's command that runs a process of a fleet


def ignores_hangup(pid):
    """Whether a process ignores SIGHUP now; None if it has ended."""
    try:
        with open(f'/proc/{pid}/status', encoding='utf-8') as file:
            rows = dict(line.split(':', 1) for line in file)
    except OSError:
        return None
    return bool(int(rows['SigIgn'], 16) >> (signal.SIGHUP - 1) & 1) if 'SigIgn' in rows else None


@when('"{module}" is loaded as far as its first call')
def load_first(context, module):
    context.module = module
    code = f'import sys, {module}.__main__; print(" ".join(sys.modules))'
    run = subprocess.run([sys.executable, '-c', code], capture_output=True, text=True, check=True)
    context.loaded = {name.partition('.')[0] for name in run.stdout.split()}


@then('it has loaded none of "{names}"')
def none_loaded(context, names):
    assert 'quillstall' in context.loaded
    assert not context.loaded & set(names.split(',')), context.loaded & set(names.split(','))


def core_settings(folder, more):
    """A file with the settings of a core that serves alone."""
    body = lone_core_settings(os.path.join(folder, 'data'), **more)
    os.mkdir(body['data'])
    path = os.path.join(folder, 'settings.json')
    with open(path, 'w', encoding='utf-8') as file:
        json.dump(body, file)
    return path


def said(path):
    with open(path, encoding='utf-8') as file:
        return file.read()


@when(
    'it is started with settings that make it serve, and gets SIGHUP again and again as soon as it ignores it'
)
def hung_up(context):
    folder = tempfile.mkdtemp()
    context.add_cleanup(shutil.rmtree, folder)
    verb, more = ('serve', {}) if context.module == 'quillstall' else (MEMBER, {'list': '127.0.0.1:1'})
    command = [sys.executable, '-m', context.module, verb, core_settings(folder, more)]
    path = os.path.join(folder, 'log')
    end = time.monotonic() + START_LIMIT_S
    with open(path, 'w', encoding='utf-8') as log:
        process = subprocess.Popen(command, stdout=log, stderr=log, stdin=subprocess.DEVNULL)
        try:
            while time.monotonic() < end and process.poll() is None and not ignores_hangup(process.pid):
                time.sleep(PAUSE_S)
            while time.monotonic() < end and process.poll() is None and 'told_of_settings' not in said(path):
                process.send_signal(signal.SIGHUP)
                time.sleep(PAUSE_S)
            context.ended = process.poll()
            process.terminate()
            context.code = process.wait(START_LIMIT_S)
        finally:
            if process.poll() is None:
                process.kill()
    context.log = said(path)


@then('it comes to serve, notes a SIGHUP, and ends with code 0 when it is told to')
def served(context):
    assert context.ended is None and context.code == 0, (context.ended, context.code, context.log)
    assert 'told_of_settings' in context.log and 'Traceback' not in context.log, context.log


class SilentNet:
    """Takes what is asked and never returns."""

    def __init__(self):
        self.asked = []

    async def ask(self, address, message, limit):
        self.asked.append(address)
        await asyncio.get_running_loop().create_future()


@given('a core that forwards an order to a primary that does not answer')
def forwarding(context):
    async def elsewhere(message):
        return Fault('core_away', 'not the primary', more={'at': '127.0.0.1:2'}).pack()

    journal = SimpleNamespace(count=lambda *what: None)
    context.net = SilentNet()
    ctx = Context({'address': '127.0.0.1:1', 'role': 'core'}, None, context.net, None, None, journal, None)
    context.host = SimpleNamespace(handle=elsewhere, tasks=set())
    context.desk = Desk(ctx, context.host)


async def begun(context):
    """The caller's task, once its order is on the way."""
    caller = asyncio.ensure_future(context.desk.primary({'k': 'apply'}))
    while not context.net.asked:
        await asyncio.sleep(0)
    return caller


@when('the core ends its tasks while the caller still waits')
def core_ends(context):
    async def script():
        caller = await begun(context)
        for task in list(context.host.tasks):
            task.cancel()
        return (await asyncio.gather(caller, return_exceptions=True))[0]

    context.outcome = asyncio.run(script())


@then('the caller is told "{code}"')
def caller_told(context, code):
    assert isinstance(context.outcome, Fault) and context.outcome.code == code, repr(context.outcome)


@when("the caller's own task is cancelled")
def caller_cancelled(context):
    async def script():
        caller = await begun(context)
        caller.cancel()
        await asyncio.wait((caller,))
        return caller.cancelled(), [task.done() for task in context.host.tasks]

    context.outcome = asyncio.run(script())


@then('that task ends cancelled, and the order is still under way')
def order_goes_on(context):
    assert context.outcome == (True, [False]), context.outcome
