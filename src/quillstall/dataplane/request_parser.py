"""Parses and validates the requests of callers; all findings are reported at once, each with its field."""

from math import ceil
from typing import Any, NamedTuple

from quillstall.network import json_input
from quillstall.network.header_numbers import whole_number
from quillstall.runtime.errors import Fault

MAX_NAME_LENGTH = 64
NAME_CHARACTERS = frozenset('abcdefghijklmnopqrstuvwxyzABCDEFGHIJKLMNOPQRSTUVWXYZ0123456789._-')
MAX_TOKENS = 10_000_000
MAX_DEADLINE_MS = 600_000
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


class TurnRequest(NamedTuple):
    """A request for one model turn.

    >>> TurnRequest('quote', None, 'hi', 1, 16, None, None, None, None, False, '').prompt
    'hi'
    """

    route: str
    class_name: str | None
    prompt: Any
    prompt_tokens: int
    max_tokens: int | None
    program: str | None
    budget: int | None
    continues: str | None
    deadline_ms: int | None
    stream: bool
    shared_prefix: str


def is_valid_name(value: Any) -> bool:
    """Return True if a value is a valid name of a program, a class or a route.

    >>> is_valid_name('desk-1'), is_valid_name('a b'), is_valid_name(3)
    (True, False, False)
    """
    return isinstance(value, str) and 0 < len(value) <= MAX_NAME_LENGTH and set(value) <= NAME_CHARACTERS


def read_integer(body: dict, key: str, minimum: int, maximum: int, findings: list) -> int | None:
    """Return a field's integer, or None if it is absent or invalid; what is wrong is appended to `findings`.

    >>> findings = []; read_integer({'n': -1}, 'n', 0, 9, findings), findings
    (None, [('n', 'is -1, must be from 0 to 9')])
    """
    value = body.get(key)
    if value is None:
        return None
    if isinstance(value, bool) or not isinstance(value, int):
        findings.append((key, 'must be a whole number'))
        return None
    if not minimum <= value <= maximum:
        findings.append((key, f'is {value}, must be from {minimum} to {maximum}'))
        return None
    return value


def parse_object(data: bytes) -> dict:
    """Return the JSON object of a body; raises Fault 'bad_json' or 'invalid'.

    >>> parse_object(b'{"a"')
    Traceback (most recent call last):
    quillstall.runtime.errors.Fault: bad_json: Expecting ':' delimiter: line 1 column 5 (char 4)
    """
    body = json_input.parse(data)
    if not isinstance(body, dict):
        raise Fault('invalid', 'see findings', (('', 'must be an object'),))
    return body


def read_turn(data: bytes) -> TurnRequest:
    """Return the turn request of a body; raises Fault 'invalid' with every finding.

    >>> read_turn(b'{"route": "quote", "prompt": "how much?"}').prompt_tokens
    3
    >>> read_turn(b'{"prompt": 3, "max_tokens": -1}')
    Traceback (most recent call last):
    quillstall.runtime.errors.Fault: invalid: 3 findings
    """
    body = parse_object(data)
    findings: list[tuple[str, str]] = []
    for key in body:
        if key not in FIELDS:
            findings.append((key, 'is not a known field'))
    route = body.get('route')
    if route is None:
        findings.append(('route', 'is missing'))
    for key in ('route', 'class', 'program', 'shared'):
        if body.get(key) is not None and not is_valid_name(body[key]):
            findings.append(
                (key, f'must be 1 to {MAX_NAME_LENGTH} letters, digits, dots, dashes or underscores')
            )
    prompt, messages = body.get('prompt'), body.get('messages')
    if (prompt is None) == (messages is None):
        findings.append(('prompt', 'give either prompt or messages'))
    elif prompt is not None and not isinstance(prompt, str):
        findings.append(('prompt', 'must be a text'))
    elif messages is not None and not (
        isinstance(messages, list)
        and messages
        and all(isinstance(m, dict) and isinstance(m.get('content'), str) for m in messages)
    ):
        findings.append(('messages', 'must be a list of objects, each with a text in content'))
    prompt_tokens = read_integer(body, 'prompt_tokens', 0, MAX_TOKENS, findings)
    max_tokens = read_integer(body, 'max_tokens', 1, MAX_TOKENS, findings)
    budget = read_integer(body, 'budget', 0, 10**12, findings)
    deadline_ms = read_integer(body, 'deadline_ms', 1, MAX_DEADLINE_MS, findings)
    continues = body.get('continues')
    if continues is not None and not (isinstance(continues, str) and 0 < len(continues) <= 200):
        findings.append(('continues', 'must be the id of a turn'))
    stream = body.get('stream', False)
    if not isinstance(stream, bool):
        findings.append(('stream', 'must be true or false'))
    if findings:
        raise Fault('invalid', f'{len(findings)} findings', tuple(findings))
    if prompt_tokens is None:
        text = prompt if prompt is not None else ''.join(m['content'] for m in messages)
        prompt_tokens = ceil(len(text) / 4)
    return TurnRequest(
        route,
        body.get('class'),
        prompt if prompt is not None else messages,
        prompt_tokens,
        max_tokens,
        body.get('program'),
        budget,
        continues,
        deadline_ms,
        stream,
        body.get('shared') or '',
    )


def read_deadline_ms(value: str | None) -> int | None:
    """Return the milliseconds of an X-Deadline-Ms header, or None if it is absent; raises Fault 'invalid'.

    >>> read_deadline_ms('1500'), read_deadline_ms(None)
    (1500, None)
    """
    if value is None:
        return None
    number = whole_number(value)
    if number is None or not 1 <= number <= MAX_DEADLINE_MS:
        raise Fault('invalid', '1 finding', (('X-Deadline-Ms', f'must be from 1 to {MAX_DEADLINE_MS}'),))
    return number


def read_key(value: str | None) -> str | None:
    """Return the value of an Idempotency-Key header, or None if it is absent; raises Fault 'invalid'.

    >>> read_key('abc')
    'abc'
    """
    if value is None:
        return None
    if not 0 < len(value) <= 200 or not value.isprintable():
        raise Fault('invalid', '1 finding', (('Idempotency-Key', 'must be 1 to 200 printable characters'),))
    return value
