"""Steps on the modelled cluster: written runs, searches, and deliberate faults."""

from behave import given, then, when

from quillstall.testbed.model import report, retention, script
from quillstall.testbed.model.catalogue import BREAKS
from quillstall.testbed.model.clusters import CLUSTERS, searched
from quillstall.testbed.model.explorer import breadth_first, random_walks
from quillstall.testbed.model.state import Limits, Setup

PLENTY = Limits(commands=9, crashes=9, losses=1, verdicts=9, ticks=99, timeouts=99, duplicates=9)


@given('a modelled {what} of {members:d} members with {copies:d} copies')
def cluster(context, what, members, copies):
    assert what in ('partition', 'core'), what
    context.setup = Setup(
        tuple('abcde'[:members]),
        copies,
        what == 'core',
        PLENTY,
        ('write', 'read', 'put', 'repeat'),
        macros=True,
    )


@given('verdicts that may leave fewer copies')
def lone(context):
    context.setup = context.setup._replace(lone_verdicts=True)


@when('it takes these steps')
def written(context):
    context.world = script.play(context.setup, context.text.split('\n'))


@then('no invariant is broken')
def holds(context):
    assert not context.world.broken, context.world.broken


@then('the invariant "{name}" is broken')
def broken(context, name):
    assert context.world.broken.startswith(f'{name}:'), context.world.broken or 'none is'


@then('generation {generation:d} is the newest that a client was told')
def newest(context, generation):
    assert context.world.ledger.top.generation == generation, context.world.ledger.top


@when('all runs of {depth:d} steps are looked at')
def all_runs(context, depth):
    context.outcome = breadth_first(context.setup, depth, most=10**6, seconds=600)


@when('{walks:d} random walks of {length:d} steps are taken, seed {seed:d}')
def walks(context, walks, length, seed):
    context.outcome = random_walks(context.setup, walks, length, seed)


@then('none breaks an invariant, after {states:d} states or more')
def none_breaks(context, states):
    text = '\n'.join([report.line(context.outcome), *report.steps(context.outcome)])
    print(text)
    assert not context.outcome.broken, text
    assert context.outcome.states >= states, text


@given('the modelled cluster "{name}"')
def named(context, name):
    context.setup = CLUSTERS[name]
    context.few = searched(name)


@when('all runs of {depth:d} steps with few troubles are looked at')
def few_runs(context, depth):
    context.outcome = breadth_first(context.few, depth, most=10**6, seconds=600)


@given('the deliberate fault "{name}"')
def fault(context, name):
    context.fault = BREAKS[name]


@when('its written run is taken')
def taken(context):
    with context.fault.patch():
        context.world = context.fault.play()


@then('an invariant is broken, and none by the same run without the fault')
def only_with(context):
    assert context.world.broken
    sound = context.fault.play()
    assert not sound.broken, sound.broken


@then('the list of faults is that of this feature')
def all_named(context):
    named = {row.cells[0] for s in context.feature.scenarios if 'deliberate' in s.name for row in rows(s)}
    assert named == set(BREAKS), named ^ set(BREAKS)


def rows(scenario):
    return [row for example in getattr(scenario, 'examples', ()) for row in example.table]


# ---- retained turns

RETENTION_SEARCH = 'every order of {depth:d} steps with {turns:d} turns and {waits:d} waits is taken in the model of retained turns'


@when(RETENTION_SEARCH)
def search_retention(context, depth, turns, waits):
    context.result = retention.search(retention.Limits(turns, waits, depth))


@when(f'{RETENTION_SEARCH} without the check of the chain')
def search_retention_unchecked(context, depth, turns, waits):
    context.result = retention.search(retention.Limits(turns, waits, depth), whole=False)


@then('no promise is broken in any of them, and some turns were stored whole')
def retention_holds(context):
    assert not context.result.broken, context.result.broken
    assert context.result.states > 10_000 and context.result.copied > 100, context.result


@then('the search finds "{text}"')
def retention_broken(context, text):
    assert text in context.result.broken, context.result
