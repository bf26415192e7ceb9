"""CEL expressions in a policy that refuse tasks which it would otherwise accept. A rule can only restrict: it is
evaluated after all other checks have allowed a task."""

from functools import lru_cache
from typing import Any

import cel

MAX_EXPRESSION_LENGTH = 300
MAX_RULES = 20
ALLOWED_FUNCTIONS = frozenset(
    ('size', 'startsWith', 'endsWith', 'contains')
)  # no loops and no regular expressions, so that the cost is linear in the text's length

DEFAULT_FACTS: dict[
    str, Any
] = {  # what a rule may refer to, each with the value that it has where it does not apply
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
CEL_NAMES = {'class': 'class_'}  # `class` is a reserved word in CEL


def cel_variables(facts: dict) -> dict:
    """Return all facts under their names in expressions; a missing one has its default.

    >>> cel_variables({'class': 'talks'})['class_'], cel_variables({})['kind']
    ('talks', 'turn')
    """
    return {CEL_NAMES.get(k, k): facts.get(k, v) for k, v in DEFAULT_FACTS.items()}


@lru_cache(maxsize=4 * MAX_RULES)
def compiled(text: str) -> Any:
    """Return a compiled expression, as of `prompt_tokens > 9`. Raise ValueError if it cannot be parsed."""
    return cel.compile(text)


def findings(rules: dict) -> list[tuple[str, str]]:
    """Return the errors in a policy's rules, as (path, text).

    >>> findings({'big': {'when': 'prompt_tokens > 20000 && class_ != "talks"'}})
    []
    >>> [f for _, f in findings({'a': {'when': 'colour == 1'}, 'b': {'when': '[1].all(x, x > 0)'}, 'c': {'when': '1 + 1'}})]
    ["asks for 'colour', which no task has", 'has a list or a map, which is not allowed', 'gives int, must be true or false']
    >>> findings({'f': {'when': 'route.matches("(a+)+$")'}})
    [('rules.f.when', "calls 'matches', which is not allowed")]
    >>> findings({'d': {'when': 'route > 1'}})[0][1][:23], findings({'e': {'when': 'route =='}})[0][1][:13]
    ('cannot be asked of task', 'cannot be rea')
    """
    errors = []
    if len(rules) > MAX_RULES:
        errors.append(('rules', f'are {len(rules)}, must be {MAX_RULES} at most'))
    for name, rule in sorted(rules.items()):
        path, text = f'rules.{name}.when', rule['when']
        if len(text) > MAX_EXPRESSION_LENGTH:
            errors.append((path, f'has {len(text)} letters, must have {MAX_EXPRESSION_LENGTH} at most'))
            continue
        if set(text) & set('[{'):  # collections would allow loops
            errors.append((path, 'has a list or a map, which is not allowed'))
            continue
        try:
            program = compiled(text)
        except Exception as e:  # the library raises several exception types of its own
            errors.append((path, f'cannot be read: {str(e).splitlines()[0]}'))
            continue
        disallowed = sorted(f for f in program.functions() if f.isidentifier() and f not in ALLOWED_FUNCTIONS)
        unknown = sorted(set(program.variables()) - set(cel_variables({})))
        errors += [(path, f'calls {f!r}, which is not allowed') for f in disallowed]
        errors += [(path, f'asks for {v!r}, which no task has') for v in unknown if not disallowed]
        if disallowed or unknown:
            continue
        try:
            value = program.execute(cel_variables({}))
            if not isinstance(value, bool):
                errors.append((path, f'gives {type(value).__name__}, must be true or false'))
        except ZeroDivisionError:  # this depends on the task: see `evaluate`
            pass
        except Exception as e:
            errors.append((path, f'cannot be asked of tasks: {str(e).splitlines()[0]}'))
    return errors


def evaluate(rules: dict, facts: dict) -> tuple[str, str] | None:
    """Return the name and the refusal text of the first rule, by name, that refuses a task; None if all allow it.
    A rule that raises an error refuses: an operator's mistake must not let through what the rule should stop.

    >>> evaluate({'big': {'when': 'prompt_tokens > 9', 'refuse': 'too long'}}, {'prompt_tokens': 10})
    ('big', 'too long')
    >>> evaluate({'big': {'when': 'prompt_tokens > 9'}}, {'prompt_tokens': 9}) is None
    True
    >>> evaluate({'odd': {'when': '1 / max_tokens > 0'}}, {})[1]
    'the rule failed: division by zero in CEL expression'
    """
    variables = cel_variables(facts) if rules else {}
    for name, rule in sorted(rules.items()):
        try:
            if compiled(rule['when']).execute(variables) is not False:
                return name, rule.get('refuse', 'a rule of the policy refuses it')
        except Exception as e:
            return name, f'the rule failed: {str(e).splitlines()[0]}'
    return None
