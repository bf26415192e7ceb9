"""Steps that play the short form of the soak."""

from behave import then, when
from common import reserve_port

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
