"""Steps that play the short form of the soak."""

from behave import then, when
from common import held_port

from quillstall.testbed.soak.records import RouteKind
from quillstall.testbed.soak.run import soak


@when('the soak plays seed {seed:d} with {acts:d} act')
def play_soak(context, seed, acts):
    context.report = soak(seed, acts, held_port())


@then('the soak found nothing, and every kind of request was served')
def found_nothing(context):
    report = context.report
    assert not report.wrong, (report.acts, report.wrong[:5], report.folder)
    served = {name.split()[0] for name in report.outcomes if name.endswith(' 200')}
    assert served == {kind.value for kind in RouteKind}, report.outcomes
