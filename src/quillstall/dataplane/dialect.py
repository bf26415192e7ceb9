"""The header names and formats of a deployment's HTTP interface. The gateway works on parsed requests only;
a deployment with other header names passes its own `Dialect`."""

from typing import Any, NamedTuple

from tornado.httputil import HTTPHeaders

from quillstall.network.header_numbers import whole_number
from quillstall.network.httpserver import RawRequest
from quillstall.runtime.errors import Fault

HOP_BY_HOP_HEADERS = frozenset(
    (
        'connection',
        'keep-alive',
        'proxy-authenticate',
        'proxy-authorization',
        'proxy-connection',
        'te',
        'trailer',
        'transfer-encoding',
        'upgrade',
        'content-length',
        'expect',
    )
)


class Dialect(NamedTuple):
    """The header names that callers and replicas use, and the formats that differ between deployments.

    >>> Dialect().idempotency_key
    'Idempotency-Key'
    """

    request_id: str = 'X-Request-Id'  # new for each attempt of a caller
    deadline: str = 'X-Deadline-Ms'  # how long the caller waits
    idempotency_key: str = 'Idempotency-Key'
    program: str = 'X-Program-Id'
    session: str = 'X-Session-Id'
    token_budget: str = 'X-Token-Budget'  # output tokens allowed for the whole program
    token_counts: str = 'X-Tokens'  # prompt tokens, maximum output tokens
    prompt_parts: str = 'X-Prompt-Parts'  # id:tokens,...
    previous_turn: str = 'X-Previous-Turn'
    last_event_id: str = 'Last-Event-Id'
    replica: str = 'X-Replica'  # the replica that the request is addressed to
    not_run: str = 'X-Not-Run'  # set by a replica that did not run the request
    load: str = 'X-Replica-Load'  # running,waiting,slots
    replayed_headers: tuple = ('Content-Type',)  # response headers that are stored for replays
    internal_headers: tuple = ()  # response headers of a replica that callers do not get
    statuses: dict = {}  # error code -> status, where it differs from that of `Fault`
    fractional_retry_after: bool = False  # Retry-After has fractions of a second


class Request(NamedTuple):
    """A parsed request.

    >>> Request('GET', 'h', '/a', None, b'', '1').token_budget is None
    True
    """

    method: str
    host: str
    path: str
    headers: Any
    body: bytes
    request_id: str
    deadline_ms: int | None = None
    idempotency_key: str | None = None
    program: str | None = None
    session: str | None = None
    token_budget: int | None = None
    prompt_tokens: int = 0
    max_tokens: int = 0
    prompt_parts: tuple = ()
    previous_turn: str | None = None
    last_event_id: str | None = None


def parse_whole_number(text: str | None, name: str) -> int | None:
    """Return the number in a header, None without the header. Raises Fault 'bad_header' for other text.

    >>> parse_whole_number('15', 'x'), parse_whole_number(None, 'x')
    (15, None)
    """
    if text is None:
        return None
    number = whole_number(text)
    if number is None:
        raise Fault('bad_header', f'{name} must be a whole number', ((name, 'must be a whole number'),))
    return number


def parse_request(dialect: Dialect, call: RawRequest) -> Request:
    """Return a received request, parsed by its headers. Raises Fault 'bad_header' for a malformed header.

    >>> headers = HTTPHeaders({'Host': 'A.example:80', 'X-Tokens': '120,8', 'X-Prompt-Parts': 'aa:100,bb:20'})
    >>> r = parse_request(Dialect(), RawRequest('POST', '/x', headers, b'hi')); r.host, r.max_tokens, r.prompt_parts
    ('a.example', 8, (('aa', 100), ('bb', 20)))
    """
    headers = call.headers
    token_counts = (headers.get(dialect.token_counts) or '0,0').split(',')
    if len(token_counts) != 2:
        raise Fault('bad_header', f'{dialect.token_counts} must be two numbers')
    prompt_parts = []
    for item in filter(None, (headers.get(dialect.prompt_parts) or '').split(',')):
        name, _, size = item.strip().rpartition(':')
        prompt_parts.append((name, parse_whole_number(size, dialect.prompt_parts)))
    host = (headers.get('Host') or '').lower()
    return Request(
        call.method,
        host.rpartition(':')[0] if ':' in host else host,
        call.path,
        headers,
        call.body,
        headers.get(dialect.request_id) or '',
        parse_whole_number(headers.get(dialect.deadline), dialect.deadline),
        headers.get(dialect.idempotency_key),
        headers.get(dialect.program),
        headers.get(dialect.session),
        parse_whole_number(headers.get(dialect.token_budget), dialect.token_budget),
        parse_whole_number(token_counts[0], dialect.token_counts),
        parse_whole_number(token_counts[1], dialect.token_counts),
        tuple(prompt_parts),
        headers.get(dialect.previous_turn),
        headers.get(dialect.last_event_id),
    )


def forwarded_headers(headers: Any, excluded: tuple = ()) -> HTTPHeaders:
    """Return the headers to forward: without hop-by-hop headers, and without the `excluded` lower-case names.

    >>> sorted(forwarded_headers(HTTPHeaders({'Connection': 'x-a', 'X-A': '1', 'X-B': '2', 'Te': 'x'})).get_all())
    [('X-B', '2')]
    """
    listed = {n.strip().lower() for value in headers.get_list('Connection') for n in value.split(',')}
    forwarded = HTTPHeaders()
    for name, value in headers.get_all():
        lower = name.lower()
        if lower not in HOP_BY_HOP_HEADERS and lower not in listed and lower not in excluded:
            forwarded.add(name, value)
    return forwarded
