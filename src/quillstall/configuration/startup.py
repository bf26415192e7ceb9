"""Startup: what a process is told when it starts, from a file and flags, checked as a whole."""

import ipaddress
import json
import os
from typing import Annotated, Any, Literal, NotRequired, TypedDict

from quillstall.configuration.policy import Address, Name, Range, validate
from quillstall.runtime.errors import Fault


class Startup(TypedDict):
    """The fields of a startup file."""

    name: Name
    role: Literal['core', 'store', 'route']
    address: Address
    http: NotRequired[Address]
    gateway: NotRequired[Address]  # where requests by host and path come in
    ready: NotRequired[Address]  # where it is asked whether this node is ready
    control: NotRequired[Address]  # another interface for operators
    losses: NotRequired[Annotated[int, Range(1, 9)]]  # how many machines with a disk may be lost at once
    lone: NotRequired[bool]  # whether a part is served on by what is left while it is repaired
    silent_ms: NotRequired[Annotated[int, Range(100, 60_000)]]  # so long silent, a store is given up
    lease_ms: NotRequired[Annotated[int, Range(500, 2500)]]  # how long a routing node may send unheard
    founding: NotRequired[bool]  # whether this may be the fleet's first start
    keys_s: NotRequired[Annotated[int, Range(1, 30 * 86400)]]  # how long operation keys are kept at least
    list_per_s: NotRequired[
        Annotated[float, Range(0.01, 10**6)]
    ]  # how often all nodes together may ask for the list
    zone: Name
    zones: NotRequired[list]
    seeds: list
    listen: NotRequired[Address]
    data: NotRequired[str]
    parts: NotRequired[int]
    drain_ms: NotRequired[int]


def address_error(text: Any) -> str:
    """What is wrong with an address, or nothing.

    >>> address_error('127.0.0.1:7000'), address_error('127.0.0.300:1'), address_error('127.0.0.1:99999')
    ('', 'is no IP number', 'has no port from 1 to 65535')
    """
    if not isinstance(text, str) or ':' not in text:
        return 'must be ip:port'
    host, _, port = text.rpartition(':')
    try:
        ipaddress.ip_address(host)
    except ValueError:
        return 'is no IP number'
    if not port.isdigit() or not 1 <= int(port) <= 65535:
        return 'has no port from 1 to 65535'
    return ''


def check(startup: Any) -> list[tuple[str, str]]:
    """All findings in a startup.

    >>> good = {'name': 'a', 'role': 'route', 'address': '127.0.0.1:1', 'http': '127.0.0.1:2', 'zone': 'z',
    ...         'seeds': ['127.0.0.1:3', '127.0.0.1:4', '127.0.0.1:5']}
    >>> check(good)
    []
    >>> check({k: v for k, v in good.items() if k != 'http'})
    [('http', 'is missing')]
    >>> check({**good, 'zone': 'x', 'zones': ['z', 'y']})
    [('zone', 'is none of z, y')]
    >>> check({**good, 'http': '127.0.0.1:1', 'role': 'core', 'seeds': ['127.0.0.1:3']})
    [('http', 'is the same as address'), ('seeds', 'must name three addresses'), ('data', 'a core needs a data folder')]
    """
    out: list[tuple[str, str]] = []
    validate('', startup, Startup, out)
    if not isinstance(startup, dict):
        return out
    if not any(k in startup for k in ('http', 'gateway', 'control')) and startup.get('role') != 'store':
        out.append(('http', 'is missing'))
    for key in ('address', 'http', 'listen', 'gateway', 'ready', 'control'):
        if (
            isinstance(startup.get(key), str)
            and address_error(startup[key])
            and not any(p == key for p, _ in out)
        ):
            out.append((key, address_error(startup[key])))
    if startup.get('http') and startup.get('http') == startup.get('address'):
        out.append(('http', 'is the same as address'))
    if isinstance(startup.get('zones'), list) and startup.get('zone') not in startup['zones']:
        out.append(('zone', f'is none of {", ".join(map(str, startup["zones"]))}'))
    seeds = startup.get('seeds')
    if isinstance(seeds, list):
        if len(seeds) != 3:
            out.append(('seeds', 'must name three addresses'))
        if len(set(map(str, seeds))) != len(seeds):
            out.append(('seeds', 'names one address twice'))
        for n, seed in enumerate(seeds):
            if address_error(seed):
                out.append((f'seeds.{n}', address_error(seed)))
    if startup.get('role') in ('core', 'store'):
        if not startup.get('data'):
            out.append(('data', f'a {startup["role"]} needs a data folder'))
        elif not os.path.isdir(startup['data']):
            out.append(('data', f'{startup["data"]}: no such folder; make it first'))
        elif not os.access(startup['data'], os.W_OK):
            out.append(('data', f'{startup["data"]}: cannot be written'))
    elif startup.get('data'):
        out.append(('data', 'a routing node keeps nothing on disk'))
    return out


def read(path: str | None, flags: dict[str, Any]) -> dict:
    """The startup of a file with flags laid over it; Fault 'startup' with every finding.

    >>> read(None, {'name': 'a b'})
    Traceback (most recent call last):
    quillstall.runtime.errors.Fault: startup: 6 findings
    """
    body: dict = {}
    if path:
        try:
            with open(path, encoding='utf-8') as file:
                body = json.load(file)
        except (OSError, ValueError) as e:
            raise Fault('startup', f'{path}: {e}', ((path, str(e)),)) from e
    body = {**body, **{k: v for k, v in flags.items() if v is not None}} if isinstance(body, dict) else body
    findings = check(body)
    if findings:
        raise Fault('startup', f'{len(findings)} findings', tuple(findings))
    return body
