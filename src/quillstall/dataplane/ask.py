"""Ask: what a caller sends, read and checked. All findings are told at once, each with its place."""

import json
from math import ceil
from typing import Any, NamedTuple

from quillstall.runtime.errors import Fault

NAME_MOST = 64
LETTERS = frozenset('abcdefghijklmnopqrstuvwxyzABCDEFGHIJKLMNOPQRSTUVWXYZ0123456789._-')
TOKENS_MOST = 10_000_000
DEADLINE_MOST = 600_000
FIELDS = (
    'route',
    'class',
    'prompt',
    'messages',
    'prompt_tokens',
    'max_tokens',
    'program',
    'budget',
    'continues',
    'deadline_ms',
    'stream',
    'shared',
)


class Turn(NamedTuple):
    """One model turn as asked for.

    >>> Turn('quote', None, 'hi', 1, 16, None, None, None, None, False, '').prompt
    'hi'
    """

    route: str
    cls: str | None
    prompt: Any
    prompt_tokens: int
    max_tokens: int | None
    program: str | None
    budget: int | None
    continues: str | None
    deadline_ms: int | None
    stream: bool
    shared: str


def name_ok(value: Any) -> bool:
    """Whether a value can name a program, a class or a route.

    >>> name_ok('desk-1'), name_ok('a b'), name_ok(3)
    (True, False, False)
    """
    return isinstance(value, str) and 0 < len(value) <= NAME_MOST and set(value) <= LETTERS


def count(body: dict, key: str, least: int, most: int, out: list) -> int | None:
    """A whole number of a field, or None if it is absent; what is wrong goes to `out`.

    >>> out = []; count({'n': -1}, 'n', 0, 9, out), out
    (None, [('n', 'is -1, must be from 0 to 9')])
    """
    value = body.get(key)
    if value is None:
        return None
    if isinstance(value, bool) or not isinstance(value, int):
        out.append((key, 'must be a whole number'))
        return None
    if not least <= value <= most:
        out.append((key, f'is {value}, must be from {least} to {most}'))
        return None
    return value


def parse(data: bytes) -> dict:
    """The JSON object of a body.

    >>> parse(b'{"a"')
    Traceback (most recent call last):
    quillstall.runtime.errors.Fault: bad_json: Expecting ':' delimiter: line 1 column 5 (char 4)
    """
    try:
        body = json.loads(data)
    except (ValueError, RecursionError) as e:
        raise Fault('bad_json', str(e)) from e
    if not isinstance(body, dict):
        raise Fault('invalid', 'see findings', (('', 'must be an object'),))
    return body


def read_turn(data: bytes) -> Turn:
    """A turn from its body; Fault 'invalid' with every finding.

    >>> read_turn(b'{"route": "quote", "prompt": "how much?"}').prompt_tokens
    3
    >>> read_turn(b'{"prompt": 3, "max_tokens": -1}')
    Traceback (most recent call last):
    quillstall.runtime.errors.Fault: invalid: 3 findings
    """
    body = parse(data)
    out: list[tuple[str, str]] = []
    for key in body:
        if key not in FIELDS:
            out.append((key, 'is not a known field'))
    route = body.get('route')
    if route is None:
        out.append(('route', 'is missing'))
    for key in ('route', 'class', 'program', 'shared'):
        if body.get(key) is not None and not name_ok(body[key]):
            out.append((key, f'must be 1 to {NAME_MOST} letters, digits, dots, dashes or underscores'))
    prompt, messages = body.get('prompt'), body.get('messages')
    if (prompt is None) == (messages is None):
        out.append(('prompt', 'give either prompt or messages'))
    elif prompt is not None and not isinstance(prompt, str):
        out.append(('prompt', 'must be a text'))
    elif messages is not None and not (
        isinstance(messages, list)
        and messages
        and all(isinstance(m, dict) and isinstance(m.get('content'), str) for m in messages)
    ):
        out.append(('messages', 'must be a list of objects, each with a text in content'))
    tokens = count(body, 'prompt_tokens', 0, TOKENS_MOST, out)
    most = count(body, 'max_tokens', 1, TOKENS_MOST, out)
    budget = count(body, 'budget', 0, 10**12, out)
    span = count(body, 'deadline_ms', 1, DEADLINE_MOST, out)
    goes = body.get('continues')
    if goes is not None and not (isinstance(goes, str) and 0 < len(goes) <= 200):
        out.append(('continues', 'must be the id of a turn'))
    stream = body.get('stream', False)
    if not isinstance(stream, bool):
        out.append(('stream', 'must be true or false'))
    if out:
        raise Fault('invalid', f'{len(out)} findings', tuple(out))
    if tokens is None:
        text = prompt if prompt is not None else ''.join(m['content'] for m in messages)
        tokens = ceil(len(text) / 4)
    return Turn(
        route,
        body.get('class'),
        prompt if prompt is not None else messages,
        tokens,
        most,
        body.get('program'),
        budget,
        goes,
        span,
        stream,
        body.get('shared') or '',
    )


def read_span(value: str | None) -> int | None:
    """The milliseconds of an X-Deadline-Ms header, or None if it is absent.

    >>> read_span('1500'), read_span(None)
    (1500, None)
    """
    if value is None:
        return None
    if not value.isascii() or not value.isdigit() or not 1 <= int(value) <= DEADLINE_MOST:
        raise Fault('invalid', '1 finding', (('X-Deadline-Ms', f'must be from 1 to {DEADLINE_MOST}'),))
    return int(value)


def read_key(value: str | None) -> str | None:
    """The Idempotency-Key of a call, or None.

    >>> read_key('abc')
    'abc'
    """
    if value is None:
        return None
    if not 0 < len(value) <= 200 or not value.isprintable():
        raise Fault('invalid', '1 finding', (('Idempotency-Key', 'must be 1 to 200 printable characters'),))
    return value
