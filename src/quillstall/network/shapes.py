"""Checks of values that were decoded from the wire against the types that they shall have.

A type is compiled once into a function, since messages are checked as often as they come. Unlike the validation of
an operator's policy, a check only says whether a value fits; fields that a type does not name are allowed, as a
later version may send them.
"""

import math
import types
from collections.abc import Callable
from typing import Annotated, Any, Literal, NotRequired, Required, Union, get_args, get_origin, get_type_hints

Check = Callable[[Any], bool]


def compile_check(expected_type: Any) -> Check:
    """Return the function that tells whether a value is of a type.

    Supported are plain types, unions, literals, lists and dictionaries of a type, typed dictionaries, and
    `Annotated` types whose further items are conditions on the value.

    >>> check = compile_check(dict[str, int | None]); check({'a': 1, 'b': None}), check({'a': 'x'})
    (True, False)
    >>> compile_check(Annotated[list[int], lambda value: len(value) == 2])([1])
    False
    """
    origin, arguments = get_origin(expected_type), get_args(expected_type)
    if expected_type is Any:
        return lambda value: True
    if origin is Annotated:
        return all_of(compile_check(arguments[0]), *arguments[1:])
    if origin in (NotRequired, Required):
        return compile_check(arguments[0])
    if origin is Literal:
        return lambda value: any(value is item or value == item for item in arguments)
    if origin in (Union, types.UnionType):
        return any_of(*[compile_check(argument) for argument in arguments])
    if origin is list:
        return list_check(compile_check(arguments[0]))
    if origin is dict:
        return dict_check(*[compile_check(argument) for argument in arguments])
    if hasattr(expected_type, '__required_keys__'):
        return typed_dict_check(expected_type)
    return plain_check(expected_type)


def plain_check(expected_type: type | None) -> Check:
    """Return the check of a plain type; a number must be finite.

    >>> plain_check(float)(1), plain_check(float)(math.nan), plain_check(int)(True), plain_check(None)(None)
    (True, False, False, True)
    """
    if expected_type is None or expected_type is type(None):
        return lambda value: value is None
    if expected_type is float:
        return lambda value: type(value) is int or (type(value) is float and math.isfinite(value))
    if expected_type is int:
        return lambda value: type(value) is int
    return lambda value: isinstance(value, expected_type)


def all_of(*checks: Check) -> Check:
    """Return the check that all of these pass, in order: `all_of(is_text, is_address)`."""
    return lambda value: all(check(value) for check in checks)


def any_of(*checks: Check) -> Check:
    """Return the check that any of these passes: `any_of(is_text, is_none)`."""
    return lambda value: any(check(value) for check in checks)


def list_check(item_check: Check) -> Check:
    """Return the check of a list whose items pass a check.

    >>> list_check(plain_check(int))([1, 2]), list_check(plain_check(int))('12')
    (True, False)
    """
    return lambda value: isinstance(value, list | tuple) and all(map(item_check, value))


def dict_check(key_check: Check, item_check: Check) -> Check:
    """Return the check of a dictionary whose keys and values pass a check each.

    >>> dict_check(plain_check(str), plain_check(int))({1: 1})
    False
    """
    return lambda value: (
        isinstance(value, dict) and all(map(key_check, value)) and all(map(item_check, value.values()))
    )


def typed_dict_check(expected_type: Any) -> Check:
    """Return the check of a typed dictionary: required fields are there, and each known field is of its type."""
    hints = get_type_hints(expected_type, include_extras=True)
    checks = {name: compile_check(hint) for name, hint in hints.items()}
    required = expected_type.__required_keys__

    def check(value: Any) -> bool:
        if not isinstance(value, dict) or not required <= value.keys():
            return False
        return all(checks[name](item) for name, item in value.items() if name in checks)

    return check
