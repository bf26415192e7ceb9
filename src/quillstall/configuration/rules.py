"""Rules: CEL-like expressions in the policy that refuse work which the policy would otherwise take. They
can only take away: a rule is asked after everything else has allowed a task."""

from functools import lru_cache
from typing import Any

import cel

TEXT_MOST = 300
RULES_MOST = 20
CALLS = frozenset(
    ('size', 'startsWith', 'endsWith', 'contains')
)  # no loops, no patterns: cost is the text's length

FACTS: dict[str, Any] = {  # what a rule may ask about, with the value that stands where it does not apply
    'kind': 'turn',
    'route': '',
    'class': '',
    'pool': '',
    'service': '',
    'path': '',
    'program': '',
    'urgent': False,
    'continues': False,
    'keyed': False,
    'prompt_tokens': 0,
    'max_tokens': 0,
    'deadline_ms': 0,
}
NAMES = {'class': 'class_'}  # `class` is a reserved word in CEL


def named(facts: dict) -> dict:
    """The facts under the names that expressions use, each one there.

    >>> named({'class': 'talks'})['class_'], named({})['kind']
    ('talks', 'turn')
    """
    return {NAMES.get(k, k): facts.get(k, v) for k, v in FACTS.items()}


@lru_cache(maxsize=4 * RULES_MOST)
def read(text: str) -> Any:
    """An expression, ready to be asked: `read('prompt_tokens > 9')`. ValueError if it is none."""
    return cel.compile(text)


def findings(rules: dict) -> list[tuple[str, str]]:
    """All that is wrong with the rules of a policy, each with its place.

    >>> findings({'big': {'when': 'prompt_tokens > 20000 && class_ != "talks"'}})
    []
    >>> [f for _, f in findings({'a': {'when': 'colour == 1'}, 'b': {'when': '[1].all(x, x > 0)'}, 'c': {'when': '1 + 1'}})]
    ["asks for 'colour', which no task has", 'has a list or a map, which is not allowed', 'gives int, must be true or false']
    >>> findings({'f': {'when': 'route.matches("(a+)+$")'}})
    [('rules.f.when', "calls 'matches', which is not allowed")]
    >>> findings({'d': {'when': 'route > 1'}})[0][1][:23], findings({'e': {'when': 'route =='}})[0][1][:13]
    ('cannot be asked of task', 'cannot be rea')
    """
    out = []
    if len(rules) > RULES_MOST:
        out.append(('rules', f'are {len(rules)}, must be {RULES_MOST} at most'))
    for name, rule in sorted(rules.items()):
        place, text = f'rules.{name}.when', rule['when']
        if len(text) > TEXT_MOST:
            out.append((place, f'has {len(text)} letters, must have {TEXT_MOST} at most'))
            continue
        if set(text) & set('[{'):  # nothing to loop over
            out.append((place, 'has a list or a map, which is not allowed'))
            continue
        try:
            program = read(text)
        except Exception as e:  # the library has several kinds of its own
            out.append((place, f'cannot be read: {str(e).splitlines()[0]}'))
            continue
        calls = sorted(f for f in program.functions() if f.isidentifier() and f not in CALLS)
        strange = sorted(set(program.variables()) - set(named({})))
        out += [(place, f'calls {f!r}, which is not allowed') for f in calls]
        out += [(place, f'asks for {v!r}, which no task has') for v in strange if not calls]
        if calls or strange:
            continue
        try:
            value = program.execute(named({}))
            if not isinstance(value, bool):
                out.append((place, f'gives {type(value).__name__}, must be true or false'))
        except ZeroDivisionError:  # it depends on the task: decided there, see `judge`
            pass
        except Exception as e:
            out.append((place, f'cannot be asked of tasks: {str(e).splitlines()[0]}'))
    return out


def judge(rules: dict, facts: dict) -> tuple[str, str] | None:
    """The first rule, by name, that refuses this task, and what to tell; None if all let it pass. A rule that
    fails while it is asked refuses: a fault of the operator's must not let through what it was to stop.

    >>> judge({'big': {'when': 'prompt_tokens > 9', 'refuse': 'too long'}}, {'prompt_tokens': 10})
    ('big', 'too long')
    >>> judge({'big': {'when': 'prompt_tokens > 9'}}, {'prompt_tokens': 9}) is None
    True
    >>> judge({'odd': {'when': '1 / max_tokens > 0'}}, {})[1]
    'the rule failed: division by zero in CEL expression'
    """
    known = named(facts) if rules else {}
    for name, rule in sorted(rules.items()):
        try:
            if read(rule['when']).execute(known) is not False:
                return name, rule.get('refuse', 'a rule of the policy refuses it')
        except Exception as e:
            return name, f'the rule failed: {str(e).splitlines()[0]}'
    return None
