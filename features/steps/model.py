"""Steps on the modelled cluster: written runs, searches, and deliberate faults."""

from behave import given, then, when

from quillstall.testbed.model import report, script
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
