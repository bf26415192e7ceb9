"""The startup settings of a process, read from a file and flags and checked as a whole."""

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
    gateway: NotRequired[Address]  # the listener for requests that are routed by host and path
    ready: NotRequired[Address]  # the listener for readiness probes
    control: NotRequired[Address]  # the listener of a second operator interface
    losses: NotRequired[Annotated[int, Range(1, 9)]]  # machines with a disk that may be lost at the same time
    lone: NotRequired[bool]  # whether a partition is served by its remaining members while it is repaired
    silent_ms: NotRequired[Annotated[int, Range(100, 60_000)]]  # silence after which a store is given up
    lease_ms: NotRequired[Annotated[int, Range(500, 2500)]]  # how long a node may send without a renewal
    founding: NotRequired[bool]  # whether this may be the first start of the fleet
    recorded_seeds: NotRequired[list]  # of a first start that was ended before the database held it
    keys_s: NotRequired[Annotated[int, Range(1, 30 * 86400)]]  # minimum retention of operation keys
    list_per_s: NotRequired[
        Annotated[float, Range(0.01, 10**6)]
    ]  # polls of the replica list per second by all nodes together
    zone: Name
    zones: NotRequired[list]
    seeds: list
    listen: NotRequired[Address]
    data: NotRequired[str]
    parts: NotRequired[int]
    drain_ms: NotRequired[int]
    memory_mb: NotRequired[Annotated[int, Range(64, 10**6)]]  # the limit of this process
    program_failures: NotRequired[int]  # of this process so far


def address_error(text: Any) -> str:
    """Return what is wrong with an address, or an empty text.

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
    """Return all findings in startup settings, each with its field.

    >>> good = {'name': 'a', 'role': 'route', 'address': '127.0.0.1:1', 'http': '127.0.0.1:2', 'zone': 'z',
    ...         'seeds': ['127.0.0.1:3', '127.0.0.1:4', '127.0.0.1:5']}
    >>> check(good)
    []
    >>> check({key: value for key, value in good.items() if key != 'http'})
    [('http', 'is missing')]
    >>> check({**good, 'zone': 'x', 'zones': ['z', 'y']})
    [('zone', 'is none of z, y')]
    >>> check({**good, 'http': '127.0.0.1:1', 'role': 'core', 'seeds': ['127.0.0.1:3']})
    [('http', 'is the same as address'), ('seeds', 'must name three addresses'), ('data', 'a core needs a data folder')]
    """
    findings: list[tuple[str, str]] = []
    validate('', startup, Startup, findings)
    if not isinstance(startup, dict):
        return findings
    if not any(key in startup for key in ('http', 'gateway', 'control')) and startup.get('role') != 'store':
        findings.append(('http', 'is missing'))
    for key in ('address', 'http', 'listen', 'gateway', 'ready', 'control'):
        if (
            isinstance(startup.get(key), str)
            and address_error(startup[key])
            and not any(field == key for field, _ in findings)
        ):
            findings.append((key, address_error(startup[key])))
    if startup.get('http') and startup.get('http') == startup.get('address'):
        findings.append(('http', 'is the same as address'))
    if isinstance(startup.get('zones'), list) and startup.get('zone') not in startup['zones']:
        findings.append(('zone', f'is none of {", ".join(map(str, startup["zones"]))}'))
    seeds = startup.get('seeds')
    if isinstance(seeds, list):
        if len(seeds) != 3:
            findings.append(('seeds', 'must name three addresses'))
        if len(set(map(str, seeds))) != len(seeds):
            findings.append(('seeds', 'names one address twice'))
        for index, seed in enumerate(seeds):
            if address_error(seed):
                findings.append((f'seeds.{index}', address_error(seed)))
    if startup.get('role') in ('core', 'store'):
        if not startup.get('data'):
            findings.append(('data', f'a {startup["role"]} needs a data folder'))
        elif not os.path.isdir(startup['data']):
            findings.append(('data', f'{startup["data"]}: no such folder; make it first'))
    elif startup.get('data'):
        findings.append(('data', 'a routing node keeps nothing on disk'))
    return findings


def read(path: str | None, flags: dict[str, Any]) -> dict:
    """Return the startup settings of a file, overridden by flags; Fault 'startup' with all findings.

    >>> read(None, {'name': 'a b'})
    Traceback (most recent call last):
    quillstall.runtime.errors.Fault: startup: 6 findings
    """
    settings: dict = {}
    if path:
        try:
            with open(path, encoding='utf-8') as file:
                settings = json.load(file)
        except (OSError, ValueError) as e:
            raise Fault('startup', f'{path}: {e}', ((path, str(e)),)) from e
    settings = (
        {**settings, **{key: value for key, value in flags.items() if value is not None}}
        if isinstance(settings, dict)
        else settings
    )
    findings = check(settings)
    if findings:
        raise Fault('startup', f'{len(findings)} findings', tuple(findings))
    return settings
