"""Doctor: looks for the common faults of a fleet and says what to do about each."""

import asyncio
from datetime import UTC, datetime, timedelta
from typing import Any, NamedTuple

from quillstall.network.web import CurlWeb, fetch
from quillstall.runtime.errors import Fault

SKEW = timedelta(milliseconds=500)
SLOW_SYNC_MS = 100
CLOCK_MS = 120_000  # two clocks this far off may together reach the bound of 300 s
QUIET_MS = 2000
SETTLE_MS = 4000
ASK = timedelta(seconds=2)


class Finding(NamedTuple):
    """One fault: how grave, where, what, and what to do.

    >>> Finding('warn', 'core0', 'slow', 'look at its disk').level
    'warn'
    """

    level: str
    place: str
    what: str
    do: str


class View(NamedTuple):
    """What one process answered, or why it did not.

    >>> View('127.0.0.1:7001', None, 'unreachable').status is None
    True
    """

    at: str
    status: dict | None
    fault: str = ''
    asked: datetime | None = None


def diagnose(views: list[View], shown: dict | None) -> list[Finding]:
    """All findings, from what the cores answered and what the primary shows.

    >>> [f.what for f in diagnose([View('127.0.0.1:7001', None, 'unreachable')], None)]
    ['does not answer: unreachable', 'no core is primary', 'nodes serve on by the word of a majority of the stores']
    """
    out: list[Finding] = []
    for view in views:
        if view.status is None:
            out.append(
                Finding(
                    'fault',
                    view.at,
                    f'does not answer: {view.fault}',
                    'start it, or swap it: quillstall swap ADDRESS NEW-ADDRESS',
                )
            )
            continue
        told = view.status.get('now')
        if told and view.asked and abs(datetime.fromisoformat(told) - view.asked) > SKEW + ASK:
            out.append(
                Finding(
                    'warn', view.at, f'its clock is off: {told}', 'set its clock; turn ids carry the time'
                )
            )
        disk = view.status.get('disk') or {}
        if disk.get('sync_ms', 0) > SLOW_SYNC_MS:
            out.append(
                Finding(
                    'warn',
                    view.at,
                    f'a sync takes {disk["sync_ms"]} ms',
                    'give it a faster or less busy disk: every turn waits for two syncs',
                )
            )
        if view.status.get('fleet') is None:
            out.append(
                Finding(
                    'warn',
                    view.at,
                    'has no fleet yet',
                    'first start: start all three cores; else swap it in, or give it its data folder back',
                )
            )
    lead = [v for v in views if v.status and v.status.get('primary')]
    if not lead:
        out.append(
            Finding(
                'fault',
                'core',
                'no core is primary',
                'two of the three cores, one of them seated, must run and reach each other',
            )
        )
        out.append(
            Finding(
                'note',
                'routing',
                'nodes serve on by the word of a majority of the stores',
                'changes of policy and repair of stores wait for the core',
            )
        )
        return out
    fleets = {v.status.get('fleet') for v in views if v.status and v.status.get('fleet')}
    if len(fleets) > 1:
        out.append(
            Finding('fault', 'core', f'cores of {len(fleets)} fleets answer', 'point --at at one fleet')
        )
    return out + look(lead[0].status, shown)


def look(status: dict, shown: dict | None) -> list[Finding]:
    """Findings in the primary's view.

    >>> seat = [1, 0, 'a', 'b']
    >>> s = {'generation': 0, 'members': {}, 'nodes': {}, 'parts': {'p00': seat}, 'plans': [], 'guests': {}}
    >>> off = {'role': 'route', 'silent_ms': 1, 'lease': True, 'clock_ms': -130_000}
    >>> [f.what for f in look({**s, 'generation': 1, 'nodes': {'n1': off}}, None)][:1]
    ["its clock is -130 s off the core's"]
    >>> look({**s, 'generation': 1, 'nodes': {'n1': {**off, 'silent_ms': 9000}}}, None)[0].what
    'on 0 live stores'
    >>> sorted(f.what for f in look(s, None))
    ['no policy is in force', 'no routing node has a lease', 'on 0 live stores']
    """
    out: list[Finding] = []
    if status.get('seated_ms') is not None and status['seated_ms'] < SETTLE_MS:
        return [
            Finding(
                'note',
                status['me'],
                f'has been primary for {status["seated_ms"]} ms only',
                'ask again in some seconds, when the others have found it',
            )
        ]
    nodes, members = status['nodes'], status['members']
    if not status['generation']:
        out.append(Finding('fault', 'policy', 'no policy is in force', 'quillstall apply POLICY.json'))
    routes = {n: v for n, v in nodes.items() if v['role'] == 'route'}
    if not any(v['lease'] for v in routes.values()):
        out.append(
            Finding(
                'fault',
                'routing',
                'no routing node has a lease',
                'start routing nodes with a core among their seeds',
            )
        )
    for name, v in sorted(nodes.items()):
        if v['silent_ms'] > QUIET_MS and v['role'] == 'store' and members.get(name, {}).get('state') == 'in':
            out.append(
                Finding(
                    'fault',
                    name,
                    f'silent for {v["silent_ms"]} ms',
                    'start it again; if its machine is gone, start an empty store at a new address',
                )
            )
        elif v.get('behind'):
            out.append(
                Finding(
                    'warn',
                    name,
                    f'is behind at generation {v["generation"]}: {v["behind"]}',
                    'it sends nothing new until it reaches the core; look at its network',
                )
            )
        # a reading is as late as its poll was: an old one, or one that a frozen core took up late,
        # says nothing
        off = v.get('clock_ms') if v['silent_ms'] <= QUIET_MS else None
        if off is not None and abs(off) > CLOCK_MS:
            out.append(
                Finding(
                    'fault',
                    name,
                    f"its clock is {off / 1000:+.0f} s off the core's",
                    'set its clock and start it again; beyond 300 s between any two, kept state may go early',
                )
            )
        elif off is not None and abs(off) > (SKEW + ASK) / timedelta(milliseconds=1):
            out.append(
                Finding('warn', name, f"its clock is {off / 1000:+.1f} s off the core's", 'set its clock')
            )
        for part, _epoch in v.get('stuck', ()):
            out.append(
                Finding(
                    'warn',
                    f'{part}@{name}',
                    'its backup does not confirm',
                    'repair runs by itself if a third store lives; else start one',
                )
            )
        down = v.get('facts', {}).get('down') or []
        if down:
            out.append(
                Finding(
                    'warn',
                    name,
                    f'finds replicas failing: {", ".join(down)}',
                    'look at them, or take them out: quillstall leaving NAME',
                )
            )
    live = {n for n, v in nodes.items() if v['role'] == 'store' and v['silent_ms'] <= QUIET_MS}
    few: dict[int, list[str]] = {}
    near = []
    for part, seat in sorted(status['parts'].items()):
        have = [n for n in seat[2:] if n in live]
        if len(have) < 2:
            few.setdefault(len(have), []).append(part)
        elif len({members.get(n, {}).get('zone') for n in have}) < 2:
            near.append(part)
    for count, parts in sorted(few.items()):
        out.append(
            Finding(
                'fault',
                ' '.join(parts),
                f'on {count} live stores',
                'repair runs by itself while a third store lives; else start one',
            )
        )
    book = status.get('register') or {'now': {}, 'old': {}}
    awake = [n for n in book['now'] if n in live]
    if book['now'] and len(awake) * 2 <= len(book['now']):
        out.append(
            Finding(
                'fault',
                'stores',
                f'{len(awake)} of {len(book["now"])} registered stores live',
                'no change of policy is acknowledged without a majority: start them again',
            )
        )
    if near:
        out.append(Finding('warn', ' '.join(near), 'both copies in one zone', 'add a store in another zone'))
    if status['plans']:
        out.append(
            Finding(
                'note', 'stores', f'{len(status["plans"])} moves are under way', 'ask again in some seconds'
            )
        )
    for name, row in sorted(members.items()):
        if row.get('off'):
            out.append(
                Finding('note', name, 'is retired and holds nothing', 'its machine may be switched off')
            )
    for address, name in sorted(status['guests'].items()):
        out.append(
            Finding('note', name, f'a new core waits at {address}', f'quillstall swap OLD-ADDRESS {address}')
        )
    policy = (shown or {}).get('policy') or {}
    known = {r for p in policy.get('pools', {}).values() for r in p['replicas']}
    for replica in (shown or {}).get('leaving', ()):
        out.append(
            Finding(
                'note',
                replica,
                'is leaving and still in the policy',
                'take it out of its pool once its machine is off',
            )
        )
    for name, v in sorted(routes.items()):
        strange = sorted(set(v.get('facts', {}).get('used') or {}) - known) if known else []
        if strange:
            out.append(
                Finding(
                    'warn',
                    name,
                    f'still runs work on replicas unknown to the policy: {", ".join(strange)}',
                    'wait for it to end, or stop those replicas',
                )
            )
    return out


async def visit(at: list[str]) -> tuple[list[View], dict | None]:
    """Ask every core for its status, and the policy: `await visit(['127.0.0.1:7001'])`."""
    web = CurlWeb(8)

    async def one(door: str) -> View:
        asked = datetime.now(UTC)
        try:
            status, body, _ = await fetch(web, door, 'GET', '/v1/status', limit=ASK)
            return View(door, body if status == 200 else None, '' if status == 200 else str(status), asked)
        except Fault as e:
            return View(door, None, e.code, asked)

    try:
        views = list(await asyncio.gather(*[one(door) for door in at]))
        shown = None
        for view in views:
            if view.status and shown is None:
                try:
                    status, body, _ = await fetch(web, view.at, 'GET', '/v1/policy', limit=ASK)
                    shown = body if status == 200 else None
                except Fault:
                    continue
        return views, shown
    finally:
        await web.close()


async def journals(at: list[str]) -> list[dict]:
    """The journals of all processes that can be found from the cores, merged by time:
    `await journals(['127.0.0.1:7001'])`."""
    views, _ = await visit(at)
    doors = list(at)
    for view in views:
        for node in (view.status or {}).get('nodes', {}).values():
            http = node.get('facts', {}).get('http')
            if http and http not in doors:
                doors.append(http)
    web = CurlWeb(8)
    lines: list[dict] = []
    try:
        for door in doors:
            try:
                status, body, _ = await fetch(web, door, 'GET', '/v1/journal', limit=ASK)
            except Fault:
                continue
            if status == 200:
                lines += body['lines']
    finally:
        await web.close()
    return sorted(lines, key=lambda line: line['at'])


def code(findings: list[Finding]) -> int:
    """The exit code: 1 if anything is broken, else 0.

    >>> code([Finding('note', '', '', '')]), code([Finding('fault', '', '', '')])
    (0, 1)
    """
    return 1 if any(f.level == 'fault' for f in findings) else 0


def text(finding: Any) -> str:
    """A finding as two lines for a person.

    >>> text(Finding('warn', 'p00', 'is slow', 'wait'))
    'warn   p00: is slow\\n       -> wait'
    """
    return f'{finding.level:<6} {finding.place}: {finding.what}\n       -> {finding.do}'
