"""Steps that run the features of a small folder and read the verdict."""

import doctest
import importlib.util
import shutil
import subprocess
import sys
import tempfile
from pathlib import Path

from behave import given, then, when

FEATURES = Path(__file__).resolve().parents[1]
RUN = FEATURES / 'run.py'
KNOWN_RED = FEATURES / 'known_red.py'
STEPS = """
import os
from behave import given

@given('it is so')
def so(context):
    pass

@given('it is not so')
def not_so(context):
    raise AssertionError('it is not so')

@given('its step breaks off')
def breaks(context):
    {}['nothing']

@given('its feature fails to clean up')
def feature_unclean(context):
    context.add_cleanup(not_so, context, layer='feature')
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
    'breaks off': 'Scenario: one\n    Given its step breaks off\n',
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
    for file in (RUN, KNOWN_RED):
        shutil.copy(file, context.root / 'features')
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


def name_known(context, *scenarios):
    lines = (entry(scenario, 'failed in 2 of 2 runs: a cause, issue 1') for scenario in scenarios)
    (context.root / 'KNOWN-RED.txt').write_text(''.join(lines), encoding='utf-8')


def entry(scenario, seen):
    """A line for a scenario, with a command that runs its file."""
    return f'{scenario} | python3 features/run.py {scenario.partition(":")[0]}, no seed | {seen} | issue 1\n'


def second(what):
    """A feature with one scenario that is called two."""
    return 'Feature: two\n  ' + SCENARIOS[what].replace('one', 'two')


def failing(count):
    """A feature with so many scenarios that fail."""
    return 'Feature: red\n' + ''.join(
        f'  Scenario: red {number}\n    Given it is not so\n' for number in range(count)
    )


@given('a folder of features with a scenario that passes and one that {what}')
def passing_and(context, what):
    folder(context, one='Feature: one\n  ' + SCENARIOS['passes'], two=second(what))


@given('a folder of features with a scenario that passes and {count:d} that fail')
def passing_and_failing(context, count):
    folder(context, one='Feature: one\n  ' + SCENARIOS['passes'], red=failing(count))
    context.failing = count


@given('a KNOWN-RED.txt that names the second by its {by}')
def names_second(context, by):
    lines = (context.root / 'features' / 'two.feature').read_text(encoding='utf-8').splitlines()
    line = next(number for number, text in enumerate(lines, 1) if 'Scenario' in text)
    name_known(context, f'features/two.feature:{"two" if by == "name" else line}')


@given('a KNOWN-RED.txt in which {what}')
def odd_file(context, what):
    test, command = 'features/two.feature:two', 'run.py features/two.feature, no seed'
    seen = 'failed in 2 of 2 runs: a cause'
    good = f'{test} | {command} | {seen} | issue 1\n'
    text = {
        'a line has no issue': f'{test} | {command} | {seen}\n',
        'a line has no command': f'{test} | {seen} | issue 1\n',
        'a line has an empty sight': f'{test} | {command} |  | issue 1\n',
        'a line has a fifth field': f'{test} | {command} | {seen} | more | issue 1\n',
        'a command has no seed': f'{test} | run.py features/two.feature | {seen} | issue 1\n',
        'a command is of another file': f'{test} | run.py features/one.feature, no seed | {seen} | issue 1\n',
        'a sight counts no runs': f'{test} | {command} | a cause | issue 1\n',
        'a sight counts no failure': f'{test} | {command} | failed in 0 of 2 runs | issue 1\n',
        'an issue has no number': f'{test} | {command} | {seen} | later\n',
        'a tool is not started': f'soak | quillstall-testbed model --seed 1 | {seen} | issue 1\n',
        'a line is a remark': f'{good}# mended soon\n',
        'a line names no scenario': good.replace(':two', ':three'),
        'a line names no file': good.replace('two.feature:two', 'no.feature:2'),
        'a scenario is named twice': good + good.replace(':two', ':2'),
    }
    (context.root / 'KNOWN-RED.txt').write_text(text[what], encoding='utf-8')


@given('a KNOWN-RED.txt that says that the second failed in 1 of 3 runs')
def names_second_sometimes(context):
    line = entry('features/two.feature:two', 'failed in 1 of 3 runs: a cause')
    (context.root / 'KNOWN-RED.txt').write_text(line, encoding='utf-8')


@given('a KNOWN-RED.txt that names a soak')
def names_soak(context):
    line = 'soak | quillstall-testbed soak --seed 31 --acts 3 | failed in 1 of 3 runs: a cause | issue 1\n'
    (context.root / 'KNOWN-RED.txt').write_text(line, encoding='utf-8')


@given('a KNOWN-RED.txt that names all that fail')
def names_all(context):
    name_known(context, *(f'features/red.feature:red {number}' for number in range(context.failing)))


@given('a KNOWN-RED.txt that names the first that fails')
def names_first(context):
    name_known(context, 'features/red.feature:red 0')


@given('a KNOWN-RED.txt that names the row that fails')
def names_row(context):
    lines = (context.root / 'features' / 'rows.feature').read_text(encoding='utf-8').splitlines()
    row = next(number for number, text in enumerate(lines, 1) if '| not so |' in text)
    name_known(context, f'features/rows.feature:{row}')


@given('a folder of features with two scenarios of one name, of which one fails')
def one_name(context):
    folder(context, two='Feature: two\n  ' + SCENARIOS['passes'] + '  ' + SCENARIOS['fails'])


@given('a KNOWN-RED.txt that names them by that name')
def names_both(context):
    name_known(context, 'features/two.feature:one')


@given('a folder of features with a known failure in a feature whose own cleanup fails')
def feature_cleanup(context):
    folder(context, one='@together\nFeature: one\n  Scenario: one\n    Given its feature fails to clean up\n')
    name_known(context, 'features/one.feature:one')


@then('the examples of features/known_red.py pass')
def known_red_examples(context):
    spec = importlib.util.spec_from_file_location('known_red', KNOWN_RED)
    module = importlib.util.module_from_spec(spec)
    sys.modules['known_red'] = module
    spec.loader.exec_module(module)
    found = doctest.testmod(module)
    assert found.attempted and not found.failed, found
