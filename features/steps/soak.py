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


@when('the soak plays seed {seed:d} with {acts:d} act')
def play_soak(context, seed, acts):
    context.report = soak(seed, acts, reserve_port())
    for _ in range(PLAYS_MOST - 1):
        if not (context.report.wrong and stalled(context.report)):
            break
        print(f'host sync {context.report.host_sync_ms} ms, played again after {context.report.wrong}')
        context.report = soak(seed, acts, reserve_port())


@then('the soak found nothing, and every kind of request was served')
def found_nothing(context):
    report = context.report
    assert not report.wrong, (report.acts, report.wrong[:5], report.host_sync_ms, report.folder)
    served = {name.split()[0] for name in report.outcomes if name.endswith(' 200')}
    assert served == {kind.value for kind in RouteKind}, report.outcomes
