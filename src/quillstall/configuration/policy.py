"""The policy that operators declare, as typed dictionaries, and its validation."""

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
    """The inclusive range of a numeric field.

    >>> Range(1, 5).maximum
    5
    """

    minimum: float
    maximum: float


DurationMs = Annotated[int, Range(1, 600_000)]


class ClassPolicy(TypedDict):
    """A service class: its deadline and its percentage of the model capacity."""

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
    """One path of a service; `repeat` says whether a request may be executed more than once."""

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
    """One replica: its address, how many tasks it runs concurrently, and the initial estimate of its rate."""

    address: Address
    slots: Annotated[int, Range(1, 10_000)]
    tokens_per_s: NotRequired[Annotated[float, Range(1, 10**9)]]


class PoolPolicy(TypedDict):
    """A pool of interchangeable replicas.

    If it is `listed`, they are read from a polled list instead of being declared here, and `replicas` is empty."""

    kind: Literal['model', 'application']
    replicas: dict[Name, ReplicaPolicy]
    listed: NotRequired[bool]
    connections: NotRequired[Annotated[int, Range(1, 1_000_000)]]
    own_keys: NotRequired[bool]  # its replicas deduplicate by operation key themselves
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
        ],  # whether the requests of a session go to one pool; the default is true
        'keeping_s': NotRequired[Annotated[float, Range(0, 30 * 86400)]],
    },
)


class Limits(TypedDict):
    """Limits on the size of requests and on how long callers may take to send them."""

    head_bytes: NotRequired[Annotated[int, Range(256, 10**9)]]
    body_bytes: NotRequired[Annotated[int, Range(1, 10**9)]]
    head_ms: NotRequired[DurationMs]
    idle_ms: NotRequired[DurationMs]


class AdmissionPolicy(TypedDict):
    """The parameters of admission control; see docs/policy.md."""

    newest_first_at: NotRequired[Annotated[float, Range(0.05, 10_000)]]
    fifo_at: NotRequired[Annotated[float, Range(0.01, 10_000)]]
    retry_floor_ms: NotRequired[Annotated[int, Range(10, 60_000)]]
    retry_ceiling_ms: NotRequired[Annotated[int, Range(100, 600_000)]]
    rounds: NotRequired[Annotated[int, Range(1, 5)]]
    retry_share: NotRequired[Annotated[float, Range(0, 1)]]
    warm_slack: NotRequired[Annotated[float, Range(0, 1)]]


class Mechanisms(TypedDict):
    """The mechanisms of admission and routing decisions, each of which may be disabled; see docs/policy.md."""

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
    """A rule: a task for which the expression `when` is true is refused with the text `refuse`."""

    when: str
    refuse: NotRequired[str]


class Policy(TypedDict):
    """The whole policy of a fleet."""

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
MECHANISM_DEFAULTS = dict.fromkeys(Mechanisms.__annotations__, True)  # enabled unless disabled by the policy
DEFAULT_TURN_RETENTION_S = 900
DEFAULT_KEY_RETENTION_S = 86_400

Finding = tuple[str, str]


def validate(path: str, value: Any, expected_type: Any, findings: list[Finding]) -> None:
    """Add to `findings` each violation of a type by a value and its parts.

    >>> findings = []; validate('a', {'share': 0, 'x': 1}, ClassPolicy, findings); findings
    [('a.share', 'is 0, must be from 1 to 100'), ('a.deadline_ms', 'is missing'), ('a.x', 'is not a known field')]
    """
    origin = get_origin(expected_type)
    if origin is Annotated:
        base_type, *constraints = get_args(expected_type)
        findings_before = len(findings)
        validate(path, value, base_type, findings)
        if len(findings) > findings_before:
            return
        for constraint in constraints:
            if isinstance(constraint, Range) and not constraint.minimum <= value <= constraint.maximum:
                findings.append(
                    (path, f'is {value}, must be from {constraint.minimum} to {constraint.maximum}')
                )
            if isinstance(constraint, re.Pattern) and not constraint.fullmatch(value):
                findings.append((path, f'is {value!r}, must look like {constraint.pattern}'))
    elif origin in (Required, NotRequired):
        validate(path, value, get_args(expected_type)[0], findings)
    elif origin is Literal:
        if value not in get_args(expected_type):
            findings.append((path, f'is {value!r}, must be one of {", ".join(get_args(expected_type))}'))
    elif origin is dict:
        if not isinstance(value, dict):
            findings.append((path, 'must be an object'))
            return
        key_type, item_type = get_args(expected_type)
        for key in value:
            validate(f'{path}.{key}', key, key_type, findings)
            validate(f'{path}.{key}', value[key], item_type, findings)
    elif isinstance(expected_type, type) and hasattr(expected_type, '__required_keys__'):
        if not isinstance(value, dict):
            findings.append((path, 'must be an object'))
            return
        hints = get_type_hints(expected_type, include_extras=True)
        prefix = f'{path}.' if path else ''
        for key, hint in hints.items():
            if key in value:
                validate(prefix + key, value[key], hint, findings)
            elif key in expected_type.__required_keys__:
                findings.append((prefix + key, 'is missing'))
        for key in value:
            if key not in hints:
                findings.append((prefix + str(key), 'is not a known field'))
    elif expected_type is float:
        if isinstance(value, bool) or not isinstance(value, (int, float)) or value != value:
            findings.append((path, 'must be a number'))
    elif expected_type is int:
        if isinstance(value, bool) or not isinstance(value, int):
            findings.append((path, 'must be a whole number'))
    elif not isinstance(value, expected_type):
        findings.append((path, f'must be a {"text" if expected_type is str else expected_type.__name__}'))


def check(policy: Any) -> list[Finding]:
    """Return all findings in a policy, each with the path of its field; without any, it is valid.

    >>> check({'classes': {}, 'routes': {'q': {'class': 'c', 'pool': 'p'}}, 'pools': {}})
    [('routes.q.class', "no class 'c'"), ('routes.q.pool', "no pool 'p'")]
    >>> check([])
    [('', 'must be an object')]
    """
    found: list[Finding] = []
    validate('', policy, Policy, found)
    if found:
        return found
    classes, pools = policy['classes'], policy['pools']
    total_share = sum(item['share'] for item in classes.values())
    if total_share > 100:
        found.append(('classes', f'the shares add up to {total_share}, must be 100 at most'))
    for group, kind in (('routes', 'model'), ('services', 'application')):
        for name, item in policy.get(group, {}).items():
            path = f'{group}.{name}'
            if item['class'] not in classes:
                found.append((f'{path}.class', f'no class {item["class"]!r}'))
            if item['pool'] not in pools:
                found.append((f'{path}.pool', f'no pool {item["pool"]!r}'))
            elif pools[item['pool']]['kind'] != kind:
                found.append((f'{path}.pool', f'pool {item["pool"]!r} is not of kind {kind}'))
    path_of: dict[str, str] = {}
    for pool, item in pools.items():
        for name, replica in item['replicas'].items():
            path = f'pools.{pool}.replicas.{name}'
            if name in path_of:
                found.append((path, f'the name stands in {path_of[name]} too'))
            if replica['address'] in path_of:
                found.append((f'{path}.address', f'the address stands in {path_of[replica["address"]]} too'))
            path_of[name] = path_of[replica['address']] = path
    admission = {**ADMISSION_DEFAULTS, **policy.get('admission', {})}
    if admission['fifo_at'] > admission['newest_first_at']:
        found.append(('admission.fifo_at', 'is above newest_first_at'))
    if admission['retry_floor_ms'] > admission['retry_ceiling_ms']:
        found.append(('admission.retry_floor_ms', 'is above retry_ceiling_ms'))
    found += http_findings(policy)
    if policy.get('rules'):
        from quillstall.configuration.rules import (
            findings,  # imported only if there are rules: its library is costly to load
        )

        found += findings(policy['rules'])
    return found


def http_findings(policy: dict) -> list[Finding]:
    """Return the findings in the routes by host and path.

    >>> route = {'class': 'c', 'host': 'a', 'prefix': '/x/', 'pools': {'p': 0}, 'repeat': 'any', 'timeout_ms': 9}
    >>> http_findings({'classes': {'c': {}}, 'pools': {}, 'http_routes': {'r': route, 's': {**route, 'pools': {}}}})
    [('http_routes.r.pools.p', "no pool 'p'"), ('http_routes.r.pools', 'the weights add up to 0'), ('http_routes.s.prefix', 'host and prefix stand in http_routes.r too'), ('http_routes.s.pools', 'the weights add up to 0')]
    """
    findings: list[Finding] = []
    path_of: dict[tuple, str] = {}
    for name, route in policy.get('http_routes', {}).items():
        path = f'http_routes.{name}'
        if route['class'] not in policy['classes']:
            findings.append((f'{path}.class', f'no class {route["class"]!r}'))
        if not (route['prefix'].startswith('/') and route['prefix'].endswith('/')):
            findings.append((f'{path}.prefix', 'must begin and end with a slash'))
        host_and_prefix = (route['host'].lower(), route['prefix'])
        if host_and_prefix in path_of:
            findings.append((f'{path}.prefix', f'host and prefix stand in {path_of[host_and_prefix]} too'))
        path_of.setdefault(host_and_prefix, path)
        for pool in route['pools']:
            if pool not in policy['pools']:
                findings.append((f'{path}.pools.{pool}', f'no pool {pool!r}'))
        if sum(route['pools'].values()) <= 0:
            findings.append((f'{path}.pools', 'the weights add up to 0'))
    return findings


def merge_patch(document: Any, patch: Any) -> Any:
    """Return a document with a JSON merge patch (RFC 7396) applied.

    >>> merge_patch({'a': {'b': 1, 'c': 2}}, {'a': {'b': None, 'd': 3}})
    {'a': {'c': 2, 'd': 3}}
    """
    if not isinstance(patch, dict):
        return patch
    result = dict(document) if isinstance(document, dict) else {}
    for key, value in patch.items():
        if value is None:
            result.pop(key, None)
        else:
            result[key] = merge_patch(result.get(key), value)
    return result
