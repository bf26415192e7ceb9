"""Steps about the first start and the end of processes that run as the deploy file says."""

import contextlib
import fcntl
import os
import resource
import signal
import socket
import time

from behave import given, then, when
from deployed import Deployment, wait_until

from quillstall.runtime import first_start
from quillstall.testbed.soak.fleet import handles as process_handles

START_LIMIT_S = 30.0
FORMATION_LIMIT_S = 30.0
RESTART_DELAY_S = 0.5
SIGNAL_INTERVAL_S = 0.002
FOLDER_POLL_INTERVAL_S = 0.001
LOG_LINES = 300  # a SIGHUP each; more than a pipe of the smallest size holds
SMALLEST_PIPE_BYTES = 4096
F_SETPIPE_SZ = 1031  # of fcntl, as in linux/fcntl.h
IDLE_BEFORE_MEASURING_S = 1.0
CPU_SHARE_MOST = 0.5
LOG_GROWTH_MOST_BYTES = 20_000


def begin(context, **counts):
    context.deployment = Deployment(**counts)
    context.add_cleanup(context.deployment.close)


def address(machine, port):
    """Return the address of one of a machine's ports."""
    return machine.ip, getattr(machine.deployment.ports, port)


def accepts(place):
    """Return whether something accepts a connection at an address."""
    try:
        with socket.create_connection(place, timeout=0.5):
            return True
    except OSError:
        return False


def serves(machine, port='internal'):
    """Wait until a machine's process accepts connections; return whether it does."""
    place = address(machine, port)
    return wait_until(lambda: not machine.running() or accepts(place), START_LIMIT_S) and machine.running()


@given('a deployment of three cores and three stores')
def three_and_three(context):
    begin(context, cores=3, stores=3)


@given('a deployment of one core, one store and one routing node')
def one_of_each(context):
    begin(context, cores=1, stores=1, edges=1)


@when('it is started, and {names} is killed after {delay:f} s and started again')
def kill_early(context, names, delay):
    context.deployment.start()
    time.sleep(delay)
    victims = [context.deployment[name] for name in names.split(',')]
    for victim in victims:
        victim.kill()
    time.sleep(RESTART_DELAY_S)
    for victim in victims:
        victim.start()


@when('it is started, and each core is killed as its data folder gets its first file, and started again')
def kill_at_first_file(context):
    cores = context.deployment.of_class('core')
    context.deployment.start()
    alive = list(cores)
    deadline = time.monotonic() + START_LIMIT_S
    while alive and time.monotonic() < deadline:
        for core in [c for c in alive if holds_a_file(c.data)]:
            core.kill()
            alive.remove(core)
        time.sleep(FOLDER_POLL_INTERVAL_S)
    assert not alive, alive
    time.sleep(RESTART_DELAY_S)
    for core in cores:
        core.start()


def holds_a_file(folder):
    """Return whether a folder holds a file other than one that is not complete yet."""
    return folder.is_dir() and any(not file.name.endswith('.new') for file in folder.iterdir())


@then('no core keeps a record of its first start beside its database')
def no_record_left(context):
    paths = [core.data / first_start.FILE_NAME for core in context.deployment.of_class('core')]
    assert not any(path.exists() for path in paths), paths


@when('it is started, and {name} is killed after {delay:f} s for good')
def kill_for_good(context, name, delay):
    context.deployment.start()
    time.sleep(delay)
    context.deployment[name].kill()


@then('a configuration is acknowledged')
def configuration_acknowledged(context):
    logs = {machine.name: machine.log()[-300:] for machine in context.deployment.of_class('core')}
    assert context.deployment.acknowledge_configuration(FORMATION_LIMIT_S), logs


@then('all its cores, as they run now, become the voters')
def become_voters(context):
    deployment = context.deployment

    def all_vote():
        views = deployment.core_views()
        running = sorted(view['me'] for view in views)
        return len(running) == len(deployment.of_class('core')) and all(
            sorted(name for name, _ in view['core']) == running for view in views
        )

    assert wait_until(all_vote, FORMATION_LIMIT_S, 0.2), [
        (view['me'], view['core']) for view in deployment.core_views()
    ]


# ---- starts that must wait


@when('{name} is started while its {port} address is held for {seconds:d} s')
def start_with_held_address(context, name, port, seconds):
    context.machine = machine = context.deployment[name]
    context.port = port
    with socket.create_server(address(machine, port)):
        machine.start()
        time.sleep(seconds)


@then('it runs and serves that address once it is free')
def serves_freed_address(context):
    assert serves(context.machine, context.port), (
        context.machine.process.poll(),
        context.machine.log()[-300:],
    )


@when('{name} is started while its data folder is locked for {seconds:d} s')
def start_with_locked_folder(context, name, seconds):
    context.machine = machine = context.deployment[name]
    with locked_folder(machine):
        machine.start()
        time.sleep(seconds)


@contextlib.contextmanager
def locked_folder(machine):
    """Hold the lock of a machine's data folder, as a process that uses it does."""
    machine.data.mkdir(parents=True, exist_ok=True)
    with open(machine.data / 'lock', 'w', encoding='utf-8') as file:
        fcntl.flock(file, fcntl.LOCK_EX)
        yield


@when('{name} is started while its settings file is {state} for {seconds:d} s')
def start_with_unusable_settings(context, name, state, seconds):
    context.machine = machine = context.deployment[name]
    start_without_settings(machine, state)
    time.sleep(seconds)
    machine.settings_path().write_text(machine.settings(), encoding='utf-8')


def start_without_settings(machine, state):
    """Start a process whose settings file is missing, empty, or cut in the middle of a line."""
    text = machine.settings()
    with open(machine.log_path, 'ab') as log:
        machine.write_settings('' if state == 'empty' else text[: len(text) // 2])
        if state == 'missing':
            machine.settings_path().unlink()
        machine.launch(log)


@then('it runs and serves its internal address once the folder is free')
@then('it runs and serves its internal address')
def serves_internal(context):
    assert serves(context.machine), (context.machine.process.poll(), context.machine.log()[-300:])


@when('core-1 is started while its {what} is not to be had')
def start_while_lacking(context, what):
    context.machine = machine = context.deployment['core-1']
    context.held = contextlib.ExitStack()
    context.add_cleanup(context.held.close)
    if what == 'settings file':
        start_without_settings(machine, 'missing')
    else:
        if what == 'data folder':
            context.held.enter_context(locked_folder(machine))
        else:
            context.held.enter_context(socket.create_server(address(machine, 'internal')))
        machine.start()
    assert wait_until(lambda: handles(machine, signal.SIGTERM), START_LIMIT_S)
    time.sleep(1)


@when('it gets SIGTERM')
def gets_sigterm(context):
    context.machine.send(signal.SIGTERM)


# ---- ends


@then('it ends with code 0 on SIGTERM')
def ends_on_sigterm(context):
    context.machine.send(signal.SIGTERM)
    code = context.machine.wait()
    assert code == 0, (code, context.machine.log()[-500:])


@then('it ends with code 0 within {limit:d} s')
def ends_within(context, limit):
    code = context.machine.wait(limit)
    assert code == 0, (code, context.machine.log()[-500:])


@then('its exit code is 0')
def exit_code_is_0(context):
    assert context.exit_code == 0, (context.exit_code, context.machine.log()[-500:])


@given('{name} serves')
def machine_serves(context, name):
    context.machine = context.deployment[name]
    context.machine.start()
    assert serves(context.machine), context.machine.log()[-500:]


@when('it gets SIGTERM, and then {name} until it has ended')
def signals_until_end(context, name):
    machine, number = context.machine, signal.Signals[name]
    machine.send(signal.SIGTERM)

    def ended():
        if machine.running():
            machine.send(number)
        return not machine.running()

    assert wait_until(ended, START_LIMIT_S, SIGNAL_INTERVAL_S)
    context.exit_code = machine.process.returncode


def handles(machine, number):
    """Return whether a machine's process has a handler for a signal or ignores it."""
    return process_handles(machine.process.pid, number)


@when('{name} is started, and gets {signal_name} as soon as it handles or ignores SIGHUP')
def signal_during_start(context, name, signal_name):
    context.machine = machine = context.deployment[name]
    machine.start()
    assert wait_until(lambda: handles(machine, signal.SIGHUP), START_LIMIT_S, SIGNAL_INTERVAL_S)
    machine.send(signal.Signals[signal_name])
    context.exit_code = machine.wait()


# ---- standard error


@when('{name} is started with a standard error that is {state}')
def start_with_standard_error(context, name, state):
    context.machine = machine = context.deployment[name]
    if state == 'closed':
        machine.start(preexec_fn=lambda: os.close(2))
    elif state == 'closed like input and output':
        machine.start(preexec_fn=lambda: os.closerange(0, 3))
    elif state == 'a full device':
        with open('/dev/full', 'wb') as device:
            machine.start(stderr=device)
    else:
        reader, writer = os.pipe()
        fcntl.fcntl(writer, F_SETPIPE_SZ, SMALLEST_PIPE_BYTES)
        machine.start(stderr=writer)
        os.close(writer)
        if state == 'a pipe without a reader':
            os.close(reader)
        else:
            context.add_cleanup(os.close, reader)


@then('it still serves after many log lines')
def serves_after_many_lines(context):
    machine = context.machine
    assert serves(machine), (machine.process.poll(), machine.log()[-300:])
    for _ in range(LOG_LINES):
        machine.send(signal.SIGHUP)
        time.sleep(SIGNAL_INTERVAL_S)
    assert answers(machine), (machine.process.poll(), machine.log()[-300:])


def answers(machine):
    """Return whether a process closes a connection whose peer does not speak its protocol: its loop runs."""
    try:
        with socket.create_connection(address(machine, 'internal'), timeout=5) as connection:
            connection.sendall(b'none')
            return connection.recv(1) == b''
    except OSError:
        return False


# ---- descriptors


def processor_seconds(machine):
    """Return the processor time that a process has used."""
    with open(f'/proc/{machine.process.pid}/stat', encoding='utf-8') as file:
        fields = file.read().rpartition(')')[2].split()
    return (int(fields[11]) + int(fields[12])) / os.sysconf('SC_CLK_TCK')


@when(
    '{name} may have {limit:d} descriptors, and clients open {count:d} connections to its {port} address for {seconds:d} s'
)
def exhaust_descriptors(context, name, limit, count, port, seconds):
    context.machine = machine = context.deployment[name]
    machine.start(preexec_fn=lambda: resource.setrlimit(resource.RLIMIT_NOFILE, (limit, limit)))
    assert serves(machine, port), machine.log()[-300:]
    log_size = machine.log_path.stat().st_size
    with contextlib.ExitStack() as connections:
        for _ in range(count):
            connection = connections.enter_context(socket.socket())
            connection.setblocking(False)
            connection.connect_ex(address(machine, port))
        time.sleep(IDLE_BEFORE_MEASURING_S)
        before, since = processor_seconds(machine), time.monotonic()
        time.sleep(seconds - IDLE_BEFORE_MEASURING_S)
        context.cpu_share = (processor_seconds(machine) - before) / (time.monotonic() - since)
    context.log_growth = machine.log_path.stat().st_size - log_size


@then('it used less than half of a core meanwhile, and logged less than 20 KB')
def stayed_idle(context):
    assert context.cpu_share < CPU_SHARE_MOST, context.cpu_share
    assert context.log_growth < LOG_GROWTH_MOST_BYTES, context.log_growth


@then('it serves its {port} address after that')
def serves_after_that(context, port):
    assert serves(context.machine, port) and answers(context.machine), context.machine.log()[-500:]
