"""Steps about signals during a start, and about stops while a request is in flight."""

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

from quillstall.controlplane.admin_api import AdminApi
from quillstall.runtime.errors import Fault
from quillstall.runtime.process import Context

START_LIMIT_S = 30.0
POLL_INTERVAL_S = 0.01
TESTBED_SERVE_COMMAND = 'member'  # the testbed's command that runs a process of a fleet


def ignores_hangup(pid):
    """Return whether a process ignores SIGHUP now; None if it has ended."""
    try:
        with open(f'/proc/{pid}/status', encoding='utf-8') as file:
            fields = dict(line.split(':', 1) for line in file)
    except OSError:
        return None
    return bool(int(fields['SigIgn'], 16) >> (signal.SIGHUP - 1) & 1) if 'SigIgn' in fields else None


@when('the entry point of "{module}" is imported')
def import_entry_point(context, module):
    context.module = module
    code = f'import sys, {module}.__main__; print(" ".join(sys.modules))'
    run = subprocess.run([sys.executable, '-c', code], capture_output=True, text=True, check=True)
    context.imported = {name.partition('.')[0] for name in run.stdout.split()}


@then('it has imported none of "{names}"')
def none_imported(context, names):
    assert 'quillstall' in context.imported
    assert not context.imported & set(names.split(',')), context.imported & set(names.split(','))


def write_core_settings(folder, more):
    """Write the settings of a core that serves alone; return the path of the file."""
    settings = lone_core_settings(os.path.join(folder, 'data'), **more)
    os.mkdir(settings['data'])
    path = os.path.join(folder, 'settings.json')
    with open(path, 'w', encoding='utf-8') as file:
        json.dump(settings, file)
    return path


def read_text(path):
    with open(path, encoding='utf-8') as file:
        return file.read()


@when('it is started with valid settings, and gets SIGHUP repeatedly as soon as it ignores it')
def hang_up_during_start(context):
    folder = tempfile.mkdtemp()
    context.add_cleanup(shutil.rmtree, folder)
    command_name, more = (
        ('serve', {}) if context.module == 'quillstall' else (TESTBED_SERVE_COMMAND, {'list': '127.0.0.1:1'})
    )
    command = [sys.executable, '-m', context.module, command_name, write_core_settings(folder, more)]
    log_path = os.path.join(folder, 'log')
    deadline = time.monotonic() + START_LIMIT_S
    with open(log_path, 'w', encoding='utf-8') as log:
        process = subprocess.Popen(command, stdout=log, stderr=log, stdin=subprocess.DEVNULL)
        try:
            while time.monotonic() < deadline and process.poll() is None and not ignores_hangup(process.pid):
                time.sleep(POLL_INTERVAL_S)
            while (
                time.monotonic() < deadline
                and process.poll() is None
                and 'told_of_settings' not in read_text(log_path)
            ):
                process.send_signal(signal.SIGHUP)
                time.sleep(POLL_INTERVAL_S)
            context.early_exit_code = process.poll()
            process.terminate()
            context.exit_code = process.wait(START_LIMIT_S)
        finally:
            if process.poll() is None:
                process.kill()
    context.log = read_text(log_path)


@then('it serves, notes a SIGHUP, and ends with code 0 on SIGTERM')
def served(context):
    assert context.early_exit_code is None and context.exit_code == 0, (
        context.early_exit_code,
        context.exit_code,
        context.log,
    )
    assert 'told_of_settings' in context.log and 'Traceback' not in context.log, context.log


class SilentNet:
    """A transport that accepts calls and never gets a reply."""

    def __init__(self):
        self.called_addresses = []

    async def ask(self, address, message, limit):
        self.called_addresses.append(address)
        await asyncio.get_running_loop().create_future()


@given("a core that forwards an operator's request to a primary that does not answer")
def forwarding_core(context):
    async def redirect_to_primary(message):
        return Fault('core_away', 'not the primary', more={'at': '127.0.0.1:2'}).pack()

    journal = SimpleNamespace(count=lambda *args: None)
    context.net = SilentNet()
    ctx = Context({'address': '127.0.0.1:1', 'role': 'core'}, None, context.net, None, None, journal, None)
    context.host = SimpleNamespace(handle=redirect_to_primary, tasks=set())
    context.admin_api = AdminApi(ctx, context.host)


async def begin_request(context):
    """Return the caller's task, once its request has been forwarded."""
    caller = asyncio.ensure_future(context.admin_api.call_primary({'k': 'apply'}))
    while not context.net.called_addresses:
        await asyncio.sleep(0)
    return caller


@when('the core cancels its tasks while the caller still waits')
def core_cancels_tasks(context):
    async def script():
        caller = await begin_request(context)
        for task in list(context.host.tasks):
            task.cancel()
        return (await asyncio.gather(caller, return_exceptions=True))[0]

    context.outcome = asyncio.run(script())


@then('the caller gets the error "{code}"')
def caller_gets_error(context, code):
    assert isinstance(context.outcome, Fault) and context.outcome.code == code, repr(context.outcome)


@when("the caller's own task is cancelled")
def cancel_caller(context):
    async def script():
        caller = await begin_request(context)
        caller.cancel()
        await asyncio.wait((caller,))
        return caller.cancelled(), [task.done() for task in context.host.tasks]

    context.outcome = asyncio.run(script())


@then('that task ends cancelled, and the forwarded request is still in flight')
def request_goes_on(context):
    assert context.outcome == (True, [False]), context.outcome
