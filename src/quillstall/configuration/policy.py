"""Policy: what operators declare, as typed dictionaries, and the small checker that reads them."""

import re
from typing import (
    Annotated,
    Any,
    Literal,
    NamedTuple,
    NotRequired,
    Required,
    TypedDict,
    get_args,
    get_origin,
    get_type_hints,
)

Name = Annotated[str, re.compile(r'[A-Za-z0-9][A-Za-z0-9._-]{0,63}')]
Address = Annotated[str, re.compile(r'\d{1,3}(\.\d{1,3}){3}:\d{1,5}')]
UrlPath = Annotated[str, re.compile(r'/[A-Za-z0-9._~/-]{0,199}')]


class Range(NamedTuple):
    """The numbers that a field takes.

    >>> Range(1, 5).most
    5
    """

    least: float
    most: float


DurationMs = Annotated[int, Range(1, 600_000)]


class ClassPolicy(TypedDict):
    """A service class: its promise and its share of model capacity in hundredths."""

    share: Annotated[int, Range(1, 100)]
    deadline_ms: DurationMs
    urgent: NotRequired[bool]
    tokens_per_minute: NotRequired[Annotated[int, Range(1, 10**12)]]


RoutePolicy = TypedDict(
    'RoutePolicy',
    {
        'class': Required[Name],
        'pool': Required[Name],
        'deadline_ms': NotRequired[DurationMs],
        'max_tokens': NotRequired[Annotated[int, Range(1, 1_000_000)]],
        'service_ms': NotRequired[DurationMs],
        'repeat': NotRequired[bool],
    },
)


class PathPolicy(TypedDict):
    """One path of a service; `repeat` says whether its work may be done twice."""

    repeat: bool
    deadline_ms: NotRequired[DurationMs]
    service_ms: NotRequired[DurationMs]


ServicePolicy = TypedDict(
    'ServicePolicy',
    {
        'class': Required[Name],
        'pool': Required[Name],
        'paths': Required[dict[UrlPath, PathPolicy]],
    },
)


class ReplicaPolicy(TypedDict):
    """One replica: where it is, how many tasks it takes at once, and the rate to begin with."""

    address: Address
    slots: Annotated[int, Range(1, 10_000)]
    tokens_per_s: NotRequired[Annotated[float, Range(1, 10**9)]]


class PoolPolicy(TypedDict):
    """Replicas that can stand in for each other. `listed`: they are not declared here, but stand in a
    list that is asked for, and `replicas` is empty."""

    kind: Literal['model', 'application']
    replicas: dict[Name, ReplicaPolicy]
    listed: NotRequired[bool]
    connections: NotRequired[Annotated[int, Range(1, 1_000_000)]]
    own_keys: NotRequired[bool]  # its replicas keep their own record of operation keys
    event_tokens: NotRequired[Annotated[int, Range(1, 1_000_000)]]
    memory_tokens: NotRequired[Annotated[int, Range(1, 10**12)]]


HttpRoute = TypedDict(
    'HttpRoute',
    {
        'class': Required[Name],
        'host': Required[str],
        'prefix': Required[str],
        'pools': Required[dict[Name, Annotated[float, Range(0, 10**9)]]],
        'repeat': Required[Literal['any', 'once', 'keyed']],
        'stream': NotRequired[bool],
        'resume': NotRequired[bool],
        'attempts': NotRequired[Annotated[int, Range(1, 100)]],
        'timeout_ms': Required[DurationMs],
        'target_ms': NotRequired[Annotated[float, Range(0, 600_000)]],
        'gap_ms': NotRequired[Annotated[float, Range(0, 600_000)]],
        'keep': NotRequired[bool],
        'affinity': NotRequired[
            bool
        ],  # whether a session keeps to one pool; so it does where nothing is said
        'keeping_s': NotRequired[Annotated[float, Range(0, 30 * 86400)]],
    },
)


class Limits(TypedDict):
    """What callers may send, and how long they may take."""

    head_bytes: NotRequired[Annotated[int, Range(256, 10**9)]]
    body_bytes: NotRequired[Annotated[int, Range(1, 10**9)]]
    head_ms: NotRequired[DurationMs]
    idle_ms: NotRequired[DurationMs]


class AdmissionPolicy(TypedDict):
    """The numbers of the admission path; see docs/policy.md."""

    newest_first_at: NotRequired[Annotated[float, Range(0.05, 10_000)]]
    fifo_at: NotRequired[Annotated[float, Range(0.01, 10_000)]]
    retry_floor_ms: NotRequired[Annotated[int, Range(10, 60_000)]]
    retry_ceiling_ms: NotRequired[Annotated[int, Range(100, 600_000)]]
    rounds: NotRequired[Annotated[int, Range(1, 5)]]
    retry_share: NotRequired[Annotated[float, Range(0, 1)]]
    warm_slack: NotRequired[Annotated[float, Range(0, 1)]]


class Mechanisms(TypedDict):
    """The mechanisms of deciding, each of which may be switched off; see docs/policy.md."""

    predicted_end: NotRequired[bool]
    prompt_memory: NotRequired[bool]
    told_load: NotRequired[bool]
    set_aside: NotRequired[bool]
    patience: NotRequired[bool]
    silence: NotRequired[bool]
    pooled_failures: NotRequired[bool]
    zones: NotRequired[bool]
    warmth: NotRequired[bool]
    newest_first: NotRequired[bool]


class RulePolicy(TypedDict):
    """A rule: work of which `when` is true is refused."""

    when: str
    refuse: NotRequired[str]


class Policy(TypedDict):
    """The whole."""

    classes: dict[Name, ClassPolicy]
    routes: dict[Name, RoutePolicy]
    services: NotRequired[dict[Name, ServicePolicy]]
    pools: dict[Name, PoolPolicy]
    keeping_s: NotRequired[Annotated[int, Range(1, 30 * 86400)]]
    once_keeping_s: NotRequired[Annotated[int, Range(1, 30 * 86400)]]
    admission: NotRequired[AdmissionPolicy]
    mechanisms: NotRequired[Mechanisms]
    rules: NotRequired[dict[Name, RulePolicy]]
    http_routes: NotRequired[dict[Name, HttpRoute]]
    limits: NotRequired[Limits]
    version: NotRequired[Annotated[int, Range(1, 10**15)]]


ADMISSION_DEFAULTS = {
    'newest_first_at': 0.5,
    'fifo_at': 0.2,
    'retry_floor_ms': 200,
    'retry_ceiling_ms': 30_000,
    'rounds': 2,
    'retry_share': 0.2,
    'warm_slack': 0.25,
}
MECHANISM_DEFAULTS = dict.fromkeys(
    Mechanisms.__annotations__, True
)  # all are on unless a policy says otherwise
DEFAULT_TURN_RETENTION_S = 900
DEFAULT_KEY_RETENTION_S = 86_400

Finding = tuple[str, str]


def validate(place: str, value: Any, want: Any, out: list[Finding]) -> None:
    """Collect what is wrong with a value against a type.

    >>> out = []; validate('a', {'share': 0, 'x': 1}, ClassPolicy, out); out
    [('a.share', 'is 0, must be from 1 to 100'), ('a.deadline_ms', 'is missing'), ('a.x', 'is not a known field')]
    """
    kind = get_origin(want)
    if kind is Annotated:
        base, *rules = get_args(want)
        before = len(out)
        validate(place, value, base, out)
        if len(out) > before:
            return
        for rule in rules:
            if isinstance(rule, Range) and not rule.least <= value <= rule.most:
                out.append((place, f'is {value}, must be from {rule.least} to {rule.most}'))
            if isinstance(rule, re.Pattern) and not rule.fullmatch(value):
                out.append((place, f'is {value!r}, must look like {rule.pattern}'))
    elif kind in (Required, NotRequired):
        validate(place, value, get_args(want)[0], out)
    elif kind is Literal:
        if value not in get_args(want):
            out.append((place, f'is {value!r}, must be one of {", ".join(get_args(want))}'))
    elif kind is dict:
        if not isinstance(value, dict):
            out.append((place, 'must be an object'))
            return
        key_kind, item_kind = get_args(want)
        for key in value:
            validate(f'{place}.{key}', key, key_kind, out)
            validate(f'{place}.{key}', value[key], item_kind, out)
    elif isinstance(want, type) and hasattr(want, '__required_keys__'):
        if not isinstance(value, dict):
            out.append((place, 'must be an object'))
            return
        hints = get_type_hints(want, include_extras=True)
        at = f'{place}.' if place else ''
        for key, hint in hints.items():
            if key in value:
                validate(at + key, value[key], hint, out)
            elif key in want.__required_keys__:
                out.append((at + key, 'is missing'))
        for key in value:
            if key not in hints:
                out.append((at + str(key), 'is not a known field'))
    elif want is float:
        if isinstance(value, bool) or not isinstance(value, (int, float)) or value != value:
            out.append((place, 'must be a number'))
    elif want is int:
        if isinstance(value, bool) or not isinstance(value, int):
            out.append((place, 'must be a whole number'))
    elif not isinstance(value, want):
        out.append((place, f'must be a {"text" if want is str else want.__name__}'))


def check(policy: Any) -> list[Finding]:
    """All findings in a policy, each with its place; none means that it can be in force.

    >>> check({'classes': {}, 'routes': {'q': {'class': 'c', 'pool': 'p'}}, 'pools': {}})
    [('routes.q.class', "no class 'c'"), ('routes.q.pool', "no pool 'p'")]
    >>> check([])
    [('', 'must be an object')]
    """
    out: list[Finding] = []
    validate('', policy, Policy, out)
    if out:
        return out
    classes, pools = policy['classes'], policy['pools']
    total = sum(c['share'] for c in classes.values())
    if total > 100:
        out.append(('classes', f'the shares add up to {total}, must be 100 at most'))
    for group, kind in (('routes', 'model'), ('services', 'application')):
        for name, item in policy.get(group, {}).items():
            place = f'{group}.{name}'
            if item['class'] not in classes:
                out.append((f'{place}.class', f'no class {item["class"]!r}'))
            if item['pool'] not in pools:
                out.append((f'{place}.pool', f'no pool {item["pool"]!r}'))
            elif pools[item['pool']]['kind'] != kind:
                out.append((f'{place}.pool', f'pool {item["pool"]!r} is not of kind {kind}'))
    seen: dict[str, str] = {}
    for pool, item in pools.items():
        for name, replica in item['replicas'].items():
            place = f'pools.{pool}.replicas.{name}'
            if name in seen:
                out.append((place, f'the name stands in {seen[name]} too'))
            if replica['address'] in seen:
                out.append((f'{place}.address', f'the address stands in {seen[replica["address"]]} too'))
            seen[name] = seen[replica['address']] = place
    rules = {**ADMISSION_DEFAULTS, **policy.get('admission', {})}
    if rules['fifo_at'] > rules['newest_first_at']:
        out.append(('admission.fifo_at', 'is above newest_first_at'))
    if rules['retry_floor_ms'] > rules['retry_ceiling_ms']:
        out.append(('admission.retry_floor_ms', 'is above retry_ceiling_ms'))
    out += http_findings(policy)
    if policy.get('rules'):
        from quillstall.configuration.rules import (
            findings,  # its library is heavy: only where there are rules
        )

        out += findings(policy['rules'])
    return out


def http_findings(policy: dict) -> list[Finding]:
    """What is wrong with the routes by host and path.

    >>> route = {'class': 'c', 'host': 'a', 'prefix': '/x/', 'pools': {'p': 0}, 'repeat': 'any', 'timeout_ms': 9}
    >>> http_findings({'classes': {'c': {}}, 'pools': {}, 'http_routes': {'r': route, 's': {**route, 'pools': {}}}})
    [('http_routes.r.pools.p', "no pool 'p'"), ('http_routes.r.pools', 'the weights add up to 0'), ('http_routes.s.prefix', 'host and prefix stand in http_routes.r too'), ('http_routes.s.pools', 'the weights add up to 0')]
    """
    out: list[Finding] = []
    seen: dict[tuple, str] = {}
    for name, route in policy.get('http_routes', {}).items():
        place = f'http_routes.{name}'
        if route['class'] not in policy['classes']:
            out.append((f'{place}.class', f'no class {route["class"]!r}'))
        if not (route['prefix'].startswith('/') and route['prefix'].endswith('/')):
            out.append((f'{place}.prefix', 'must begin and end with a slash'))
        where = (route['host'].lower(), route['prefix'])
        if where in seen:
            out.append((f'{place}.prefix', f'host and prefix stand in {seen[where]} too'))
        seen.setdefault(where, place)
        for pool in route['pools']:
            if pool not in policy['pools']:
                out.append((f'{place}.pools.{pool}', f'no pool {pool!r}'))
        if sum(route['pools'].values()) <= 0:
            out.append((f'{place}.pools', 'the weights add up to 0'))
    return out


def merge_patch(base: Any, patch: Any) -> Any:
    """A JSON merge patch (RFC 7396) laid over a document.

    >>> merge_patch({'a': {'b': 1, 'c': 2}}, {'a': {'b': None, 'd': 3}})
    {'a': {'c': 2, 'd': 3}}
    """
    if not isinstance(patch, dict):
        return patch
    out = dict(base) if isinstance(base, dict) else {}
    for key, value in patch.items():
        if value is None:
            out.pop(key, None)
        else:
            out[key] = merge_patch(out.get(key), value)
    return out
