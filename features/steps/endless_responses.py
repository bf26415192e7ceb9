"""Steps about back ends and a platform's list that send bytes without end."""

import json
import subprocess
import sys
import time
from pathlib import Path

from behave import given, then, when
from deployed import Deployment, wait_until
from deployed_processes import address, processor_seconds
from memory import READY_LIMIT_S, is_ready, limited_cores
from stand_in_platform import HOST, SERVICE, StandInPlatform, configuration

PROGRAM = Path(__file__).with_name('endless_program.py')
FAULTY_SERVICE = 'pour1a'
FAULTY_IPS = ('127.0.6.1', '127.0.6.2', '127.0.6.3')
SOUND_WORK_S = 0.02
DEADLINE_MS = 7000
SOUND_DEADLINE_MS = 3000
SOUND_AIM_S = 0.25
SOUND_SHARE = 0.95
DEADLINE_SLACK_S = 1.0
PROCESSOR_SHARE = 0.5
PROGRAM_LIMIT_S = 60.0
FAULTY_SLOTS = 16
ROUTES = {
    'streaming': {'route_type': 'streaming', 'target_gap_ms': 250},
    'resumable': {'route_type': 'streaming', 'target_gap_ms': 250, 'resumable': True, 'max_attempts': 3},
    'retained': {'route_type': 'streaming', 'target_gap_ms': 250, 'retained': True},
    'idempotent': {'route_type': 'idempotent', 'max_attempts': 2},
    'keyed': {'route_type': 'keyed'},
}


class PouringPlatform(StandInPlatform):
    """The platform's list, the sound service, and the rows of a faulty service that another process serves.

    `list_kind` names the endless response that the list sends, if any.
    """

    def __init__(self, port):
        super().__init__(port, slots=FAULTY_SLOTS, work_s=SOUND_WORK_S, replicas=2)
        self.list_kind = None

    def rows(self):
        """Return the entries of the list."""
        faulty = [
            self.row(FAULTY_SERVICE, f'i-{FAULTY_SERVICE}-{number}', f'{ip}:{self.port}')
            for number, ip in enumerate(FAULTY_IPS, 1)
        ]
        return super().rows() + faulty

    async def serve_list(self, reader, writer):
        """Answer one request for the list, or send bytes without end."""
        if self.list_kind is None:
            await super().serve_list(reader, writer)
        else:
            await self.send_endless_list(reader, writer, self.list_kind)


def start_program(context, *arguments):
    """Start the program of a stand-in in a process of its own."""
    process = subprocess.Popen(
        [sys.executable, str(PROGRAM), *arguments], stdout=subprocess.PIPE, text=True, bufsize=1
    )
    context.add_cleanup(process.wait)
    context.add_cleanup(process.kill)
    return process


@given('a routing node with {limit:d} MB, a sound service, and one whose replicas send "{kind}"')
def fleet_with_faulty_service(context, limit, kind):
    context.deployment = deployment = Deployment(cores=3, stores=3, edges=1)
    context.add_cleanup(deployment.close)
    context.platform = PouringPlatform(deployment.ports.internal)
    context.add_cleanup(context.platform.close)
    context.platform.open()
    places = ','.join(f'{ip}:{deployment.ports.internal}' for ip in FAULTY_IPS)
    replicas = start_program(context, 'replicas', kind, places)
    assert replicas.stdout.readline() == 'open\n'
    context.machine = deployment['edge-1']
    context.limits = {'edge-1': limit}
    context.machine.overrides = {'limits.memory_mb': limit}


@given('a limit of {limit:d} MB for each core of that fleet')
def limited_cores_too(context, limit):
    node_limits = context.limits
    limited_cores(context, limit)
    context.limits = {**node_limits, **context.limits}


def document(route):
    """Return a configuration with a route to the sound service and one to the faulty one."""
    sound = configuration(SOUND_DEADLINE_MS)
    rule, backend = sound['routing_rules'][0], sound['backends'][0]
    faulty_rule = {
        **rule,
        'name': 'r-2',
        'path_prefix': '/pour/',
        'backend': FAULTY_SERVICE,
        'timeout_ms': DEADLINE_MS,
        **ROUTES[route],
    }
    faulty_backend = {**backend, 'name': FAULTY_SERVICE}
    return {**sound, 'routing_rules': [rule, faulty_rule], 'backends': [backend, faulty_backend]}


def start_fleet(context, route):
    """Start the fleet, and return once its routing node is ready and serves the sound route."""
    deployment = context.deployment
    deployment.start()
    assert deployment.acknowledge_configuration(READY_LIMIT_S, document(route))
    assert wait_until(lambda: is_ready(context.machine), READY_LIMIT_S)
    run_callers(context, 'sound', 1.0).wait(PROGRAM_LIMIT_S)


def run_callers(context, kind, seconds):
    """Start the callers of one service for some seconds."""
    host, port = address(context.machine, 'control')
    count = 1 if kind == 'sound' else 24
    deadline_ms = SOUND_DEADLINE_MS if kind == 'sound' else DEADLINE_MS
    path = '/work/x' if kind == 'sound' else '/pour/x'
    options = {'place': [host, port], 'host': HOST, 'path': path, 'route': kind, 'count': count}
    options |= {'seconds': seconds, 'deadline_ms': deadline_ms}
    return start_program(context, 'callers', json.dumps(options))


def measure(context, callers, seconds):
    """Run a sound caller beside other troubles, and note what it got and what the routing node used."""
    before, since = processor_seconds(context.machine), time.monotonic()
    sound = run_callers(context, 'sound', seconds)
    context.sound = json.loads(sound.communicate(timeout=PROGRAM_LIMIT_S)[0])
    context.cpu_share = (processor_seconds(context.machine) - before) / (time.monotonic() - since)
    context.callers = json.loads(callers.communicate(timeout=PROGRAM_LIMIT_S)[0]) if callers else []


@when('24 callers ask the faulty service for {seconds:d} s, on a route that is {route}')
def ask_faulty_service(context, seconds, route):
    start_fleet(context, route)
    callers = run_callers(context, route, float(seconds))
    measure(context, callers, float(seconds))


@when('the platform\'s list sends "{kind}" for {seconds:d} s')
def list_without_end(context, kind, seconds):
    start_fleet(context, 'idempotent')
    context.platform.list_kind = kind
    measure(context, None, float(seconds))


@then('every sound caller had its answer within the aim of 250 ms, but for one in twenty')
def sound_callers_served(context):
    sound = context.sound
    took = sorted(row['took_s'] for row in sound)
    statuses = {row['status'] for row in sound}
    p95 = took[int(len(took) * SOUND_SHARE)]
    print(f'{SERVICE}: {len(sound)} calls, p95 {p95:.3f} s, longest {took[-1]:.3f} s, {statuses}')
    assert statuses == {200} and p95 <= SOUND_AIM_S, (len(sound), statuses, p95, took[-1])


@then('every caller of the faulty service had an end within its deadline and a second')
def faulty_callers_answered(context):
    late = [row for row in context.callers if row['took_s'] > DEADLINE_MS / 1000 + DEADLINE_SLACK_S]
    statuses = {}
    for row in context.callers:
        statuses[str(row['status'])] = statuses.get(str(row['status']), 0) + 1
    print(f'{FAULTY_SERVICE}: {len(context.callers)} calls, {statuses}')
    assert context.callers and not late, late


@then('the routing node used less than half of a core')
def processor_used(context):
    print(f'{context.cpu_share:.2f} of a core')
    assert context.cpu_share < PROCESSOR_SHARE, context.cpu_share


@then('the routing node runs, and has not failed')
def still_running(context):
    log = context.machine.log()
    assert context.machine.running() and 'program_failed' not in log, log[-500:]
