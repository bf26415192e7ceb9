"""Steps that run the features of a small folder and read the verdict."""

import shutil
import subprocess
import sys
import tempfile
from pathlib import Path

from behave import given, then, when

RUN = Path(__file__).resolve().parents[1] / 'run.py'
STEPS = """
import os
from behave import given

@given('it is so')
def so(context):
    pass

@given('it is not so')
def not_so(context):
    raise AssertionError('it is not so')

@given('its process ends')
def ends(context):
    os._exit(0)

@given('its cleanup fails')
def unclean(context):
    context.add_cleanup(not_so, context)
"""
SCENARIOS = {
    'passes': 'Scenario: one\n    Given it is so\n',
    'fails': 'Scenario: one\n    Given it is not so\n',
    'has an undefined step': 'Scenario: one\n    Given it is nowhere\n',
    'is skipped': '@skip\n  Scenario: one\n    Given it is so\n',
    'ends its process': 'Scenario: one\n    Given its process ends\n',
    'leaves a failed cleanup': 'Scenario: one\n    Given its cleanup fails\n',
}
ROWS = """Scenario Outline: rows
    Given it is <how>
    Examples:
      | how    |
      | so     |
      | not so |
      | so     |
"""


def folder(context, **features):
    context.root = Path(tempfile.mkdtemp())
    context.add_cleanup(shutil.rmtree, context.root)
    (context.root / 'features' / 'steps').mkdir(parents=True)
    (context.root / 'features' / 'steps' / 'all.py').write_text(STEPS, encoding='utf-8')
    (context.root / 'behave.ini').write_text('[behave]\ntags = not @skip\n', encoding='utf-8')
    shutil.copy(RUN, context.root / 'features')
    for name, text in features.items():
        (context.root / 'features' / f'{name}.feature').write_text(text, encoding='utf-8')


@given('a folder of features with one scenario that {what}')
def one(context, what):
    folder(context, one=f'Feature: one\n  {SCENARIOS[what]}')


@given(
    'a folder of features with an outline of three rows, of which one fails, and two scenarios that stay together'
)
def several(context):
    pair = SCENARIOS['passes'] + '  ' + SCENARIOS['passes'].replace('one', 'two')
    folder(context, rows=f'Feature: rows\n  {ROWS}', pair=f'@together\nFeature: pair\n  {pair}')


@when('the features there are run')
def run(context):
    context.ended = subprocess.run(
        [sys.executable, context.root / 'features' / 'run.py', '--jobs', '1'],
        timeout=120,
        cwd=context.root,
        capture_output=True,
        text=True,
        stdin=subprocess.DEVNULL,
    )


@then('the last line is "{line}", the exit code is {code:d}, and the output says "{said}"')
def verdict(context, line, code, said):
    out = context.ended.stdout
    assert out.splitlines()[-1] == line and context.ended.returncode == code, (context.ended, out)
    assert said in out and not context.ended.stderr, context.ended
