"""Dialect: by which headers a gateway's callers and replicas say what they say. The course of a request
knows the meaning only; whoever has other names for it brings another dialect."""

from typing import Any, NamedTuple

from tornado.httputil import HTTPHeaders

from quillstall.network.httpserver import Inbound
from quillstall.runtime.errors import Fault

HOP = frozenset(
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
    """The names of the headers.

    >>> Dialect().key
    'Idempotency-Key'
    """

    request: str = 'X-Request-Id'  # the id of one try
    deadline: str = 'X-Deadline-Ms'  # how long the caller waits
    key: str = 'Idempotency-Key'
    program: str = 'X-Program-Id'
    session: str = 'X-Session-Id'
    budget: str = 'X-Token-Budget'  # what the whole program may put out
    tokens: str = 'X-Tokens'  # of the prompt, and the most out
    parts: str = 'X-Prompt-Parts'  # id:tokens,...
    previous: str = 'X-Previous-Turn'
    resume: str = 'Last-Event-Id'
    replica: str = 'X-Replica'  # whom a request is meant for
    not_run: str = 'X-Not-Run'  # a replica's word that it did not run it
    load: str = 'X-Replica-Load'  # running,waiting,slots
    kept: tuple = ('Content-Type',)  # of an answer's head, what is kept for repeats
    own: tuple = ()  # of a replica's head, what is for us alone
    statuses: dict = {}  # codes of ours that have another status here
    fractions: bool = False  # Retry-After in parts of a second


class Request(NamedTuple):
    """One request by its meaning.

    >>> Request('GET', 'h', '/a', None, b'', '1').budget is None
    True
    """

    method: str
    host: str
    path: str
    headers: Any
    body: bytes
    ident: str
    deadline_ms: int | None = None
    key: str | None = None
    program: str | None = None
    session: str | None = None
    budget: int | None = None
    prompt_tokens: int = 0
    max_tokens: int = 0
    parts: tuple = ()
    previous: str | None = None
    after: str | None = None


def whole(text: str | None, name: str) -> int | None:
    """A whole number of a header, or None; Fault 'bad_header' if it is none.

    >>> whole('15', 'x'), whole(None, 'x')
    (15, None)
    """
    if text is None:
        return None
    text = text.strip()
    if not (text.isascii() and text.isdigit() and len(text) < 16):
        raise Fault('bad_header', f'{name} must be a whole number', ((name, 'must be a whole number'),))
    return int(text)


def read(dialect: Dialect, call: Inbound) -> Request:
    """What a call means; Fault 'bad_header' for what cannot be read.

    >>> heads = HTTPHeaders({'Host': 'A.example:80', 'X-Tokens': '120,8', 'X-Prompt-Parts': 'aa:100,bb:20'})
    >>> r = read(Dialect(), Inbound('POST', '/x', heads, b'hi')); r.host, r.max_tokens, r.parts
    ('a.example', 8, (('aa', 100), ('bb', 20)))
    """
    heads = call.headers
    tokens = (heads.get(dialect.tokens) or '0,0').split(',')
    if len(tokens) != 2:
        raise Fault('bad_header', f'{dialect.tokens} must be two numbers')
    parts = []
    for item in filter(None, (heads.get(dialect.parts) or '').split(',')):
        name, _, size = item.strip().rpartition(':')
        parts.append((name, whole(size, dialect.parts)))
    host = (heads.get('Host') or '').lower()
    return Request(
        call.method,
        host.rpartition(':')[0] if ':' in host else host,
        call.path,
        heads,
        call.body,
        heads.get(dialect.request) or '',
        whole(heads.get(dialect.deadline), dialect.deadline),
        heads.get(dialect.key),
        heads.get(dialect.program),
        heads.get(dialect.session),
        whole(heads.get(dialect.budget), dialect.budget),
        whole(tokens[0], dialect.tokens),
        whole(tokens[1], dialect.tokens),
        tuple(parts),
        heads.get(dialect.previous),
        heads.get(dialect.resume),
    )


def passed(headers: Any, less: tuple = ()) -> HTTPHeaders:
    """A head as it is passed on: without what concerns one connection only.

    >>> sorted(passed(HTTPHeaders({'Connection': 'x-a', 'X-A': '1', 'X-B': '2', 'Te': 'x'})).get_all())
    [('X-B', '2')]
    """
    named = {n.strip().lower() for value in headers.get_list('Connection') for n in value.split(',')}
    out = HTTPHeaders()
    for name, value in headers.get_all():
        low = name.lower()
        if low not in HOP and low not in named and low not in less:
            out.add(name, value)
    return out
