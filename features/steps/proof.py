"""Steps that keep docs/proof.md true."""

import re
from pathlib import Path

from behave import given, then

import quillstall.testbed
from quillstall.testbed.sabotage import WAYS

ROOT = Path(__file__).resolve().parents[2]


@given('the table of proof')
def table(context):
    context.proof = (ROOT / 'docs' / 'proof.md').read_text(encoding='utf-8')
    rows = [
        [c.strip() for c in line.strip('|\n').split('|')]
        for line in context.proof.splitlines()
        if re.match(r'\| [NFP]\d', line)
    ]
    context.rows = {row[0]: row for row in rows}
    context.features = {p.name: p.read_text(encoding='utf-8') for p in (ROOT / 'features').glob('*.feature')}


@then('each of its {count:d} promises names a scenario and a break')
def promises(context, count):
    rows = [r for n, r in context.rows.items() if n.startswith('N')]
    assert len(rows) == count, len(rows)
    for row in rows:
        assert '.feature `' in row[3] and '->' in row[4], row


@then('every scenario that it names exists')
def scenarios(context):
    seen = 0
    for row in context.rows.values():
        for cell in row:
            for name, rest in re.findall(r'(\w+\.feature) ((?:`[^`]+`(?:, )?)+)', cell):
                for title in re.findall(r'`([^`]+)`', rest):
                    text = context.features[name]
                    words = [line.strip() for line in text.splitlines()]
                    cells = [c.strip() for w in words if w.startswith('|') for c in w.strip('|').split('|')]
                    assert title in cells or any(w.startswith('Scenario') and title in w for w in words), (
                        name,
                        title,
                    )
                    seen += 1
    assert seen > 40, seen


@then('every break that it names is caught by a scenario, and no other break exists')
def breaks(context):
    named = set(re.findall(r'`(\w+) -> \w+`', context.proof)) | {'deaf', 'old_epoch'}
    assert named == set(WAYS), named ^ set(WAYS)
    features = ''.join(context.features.values())
    for way in named - {'old_epoch'}:
        assert re.search(rf'"{way}"|\| {way} ', features), way


@then('every finding that it names can be made')
def findings(context):
    code = ''.join(
        p.read_text(encoding='utf-8') for p in Path(quillstall.testbed.__file__).parent.glob('*.py')
    )
    for finding in set(re.findall(r'`\w+ -> (\w+)`', context.proof)):
        assert re.search(rf"(say|broken)\('{finding}'|f?'{finding}: ", code), finding
