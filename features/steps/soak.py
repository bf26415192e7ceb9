"""Steps that play the short form of the soak."""

import signal
import subprocess
import sys
import time

from behave import given, then, when
from common import reserve_port

from quillstall.testbed.soak.fleet import SoakFleet
from quillstall.testbed.soak.records import RouteKind
from quillstall.testbed.soak.run import soak

HOST_STALL_MS = 300  # a sync of ours that took longer: the one disk of all processes stood still
PLAYS_MOST = 3
SERVICE = (
    'recover:',
    'lost:',
    'hung:',
)  # what a disk that stands still for all may bring about; nothing else


def stalled(report):
    """Whether service alone suffered, in a run during which this machine's disk stood still."""
    return report.host_sync_ms > HOST_STALL_MS and all(text.startswith(SERVICE) for text in report.wrong)


def play_until_disk_moved(seed, acts, size):
    """Play a seed, and again if this machine's disk stood still meanwhile."""
    report = soak(seed, acts, reserve_port(), size=size)
    for _ in range(PLAYS_MOST - 1):
        if not (report.wrong and stalled(report)):
            break
        print(f'host sync {report.host_sync_ms} ms, played again after {report.wrong}')
        report = soak(seed, acts, reserve_port(), size=size)
    return report


@when('the soak plays seed {seed:d} with {acts:d} act')
def play_soak(context, seed, acts):
    context.report = play_until_disk_moved(seed, acts, 'small')


@when('the soak plays seed {seed:d} with {acts:d} act in a {size} fleet')
def play_soak_of_size(context, seed, acts, size):
    context.report = play_until_disk_moved(seed, acts, size)


@then('the soak found nothing, and every kind of request was served')
def found_nothing(context):
    report = context.report
    assert not report.wrong, (report.acts, report.wrong[:5], report.host_sync_ms, report.folder)
    served = {name.split()[0] for name in report.outcomes if name.endswith(' 200')}
    assert served == {kind.value for kind in RouteKind}, report.outcomes


# ---- ends by a signal

STOPPED_S = 1.5
END_LIMIT_S = 20.0
UNORDERLY = """
import signal, sys
signal.signal(signal.SIGTERM, lambda *_: (signal.signal(signal.SIGTERM, signal.SIG_DFL), signal.raise_signal(signal.SIGTERM)))
print('runs', flush=True)
signal.pause()
"""


@given('a process of the soak that is {state}')
def process_of_soak(context, state):
    if state.startswith('stopped'):
        context.process = subprocess.Popen([sys.executable, '-c', 'import signal; signal.pause()'])
        context.process.send_signal(signal.SIGSTOP)
        time.sleep(STOPPED_S)
    else:
        context.process = subprocess.Popen([sys.executable, '-c', UNORDERLY], stdout=subprocess.PIPE)
        assert context.process.stdout.readline() == b'runs\n'
    context.add_cleanup(context.process.kill)


@when('the soak sends it SIGTERM and lets it run')
def soak_sends_sigterm(context):
    context.soak_fleet = fleet = SoakFleet.__new__(SoakFleet)
    fleet.running, fleet.expected_down, fleet.unhandled = {'p': context.process}, set(), set()
    fleet.send('p', signal.SIGTERM)
    context.process.send_signal(signal.SIGCONT)
    context.process.wait(END_LIMIT_S)


@then('its end by that signal is {verdict}')
def end_is_judged(context, verdict):
    assert context.process.returncode == -signal.SIGTERM
    assert context.soak_fleet.is_expected_end(context.process) == (verdict == 'expected')
