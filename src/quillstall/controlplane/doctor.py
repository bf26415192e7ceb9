"""Diagnosis of a fleet: finds common faults and says how to mend each."""

import asyncio
from datetime import UTC, datetime, timedelta
from typing import Any, NamedTuple

from quillstall.network.web import CurlWeb, fetch
from quillstall.runtime.errors import Fault

MAX_CLOCK_SKEW = timedelta(milliseconds=500)
SLOW_SYNC_MS = 100
MAX_CLOCK_OFFSET_MS = 120_000  # two clocks that are this far off may together reach the bound of 300 s
SILENT_AFTER_MS = 2000
NEW_PRIMARY_MS = 4000  # within this time of its election not all nodes may have reached the primary
REQUEST_TIMEOUT = timedelta(seconds=2)


class Finding(NamedTuple):
    """A finding: its severity, the process or partition concerned, the problem, and how to mend it.

    >>> Finding('warn', 'core0', 'slow', 'look at its disk').level
    'warn'
    """

    level: str
    subject: str
    problem: str
    remedy: str


class StatusReply(NamedTuple):
    """The reply of a core to a request for its status, or the error that came in its place.

    >>> StatusReply('127.0.0.1:7001', None, 'unreachable').status is None
    True
    """

    address: str
    status: dict | None
    error: str = ''
    requested_at: datetime | None = None


def diagnose(replies: list[StatusReply], policy_reply: dict | None) -> list[Finding]:
    """Return all findings from the status replies of the cores and from the reply with the policy, if there is one.

    >>> [f.problem for f in diagnose([StatusReply('127.0.0.1:7001', None, 'unreachable')], None)]
    ['does not answer: unreachable', 'no core is primary', 'nodes serve on by the word of a majority of the stores']
    """
    findings: list[Finding] = []
    for reply in replies:
        if reply.status is None:
            findings.append(
                Finding(
                    'fault',
                    reply.address,
                    f'does not answer: {reply.error}',
                    'start it, or swap it: quillstall swap ADDRESS NEW-ADDRESS',
                )
            )
            continue
        reported_time = reply.status.get('now')
        if (
            reported_time
            and reply.requested_at
            and abs(datetime.fromisoformat(reported_time) - reply.requested_at)
            > MAX_CLOCK_SKEW + REQUEST_TIMEOUT
        ):
            findings.append(
                Finding(
                    'warn',
                    reply.address,
                    f'its clock is off: {reported_time}',
                    'set its clock; turn ids carry the time',
                )
            )
        disk = reply.status.get('disk') or {}
        if disk.get('sync_ms', 0) > SLOW_SYNC_MS:
            findings.append(
                Finding(
                    'warn',
                    reply.address,
                    f'a sync takes {disk["sync_ms"]} ms',
                    'give it a faster or less busy disk: every turn waits for two syncs',
                )
            )
        findings += diagnose_failures(reply.address, reply.status)
        if reply.status.get('fleet') is None:
            findings.append(
                Finding(
                    'warn',
                    reply.address,
                    'has no fleet yet',
                    'first start: start all three cores; else swap it in, or give it its data folder back',
                )
            )
    primaries = [r for r in replies if r.status and r.status.get('primary')]
    if not primaries:
        findings.append(
            Finding(
                'fault',
                'core',
                'no core is primary',
                'two of the three cores, one of them a member of the core replica set, must run and reach each other',
            )
        )
        findings.append(
            Finding(
                'note',
                'routing',
                'nodes serve on by the word of a majority of the stores',
                'changes of policy and repair of stores wait for the core',
            )
        )
        return findings
    fleet_ids = {r.status.get('fleet') for r in replies if r.status and r.status.get('fleet')}
    if len(fleet_ids) > 1:
        findings.append(
            Finding('fault', 'core', f'cores of {len(fleet_ids)} fleets answer', 'point --at at one fleet')
        )
    return findings + diagnose_primary(primaries[0].status, policy_reply)


def diagnose_failures(subject: str, report: dict) -> list[Finding]:
    """Return a finding if the program of a process has failed and was run anew since the process started.

    >>> [f.problem for f in diagnose_failures('core0', {'program_failures': 2})]
    ['its program has failed and was run anew, 2 times since its start']
    >>> diagnose_failures('core0', {'program_failures': 0}), diagnose_failures('core0', {})     # of an older version
    ([], [])
    """
    failures = report.get('program_failures', 0)
    if not failures:
        return []
    return [
        Finding(
            'warn',
            subject,
            f'its program has failed and was run anew, {failures} times since its start',
            'look for program_failed in its log, and report the error',
        )
    ]


def diagnose_voters(status: dict) -> list[Finding]:
    """Return a finding if the core has too few voters to keep a majority after the losses that are to be borne.

    >>> voters = [['c1', '1:1'], ['c2', '2:1'], ['c3', '3:1'], ['c4', '4:1']]
    >>> [f.problem for f in diagnose_voters({'core': voters, 'voters_needed': 5})]
    ['has 4 voters; the losses that it shall bear need 5']
    >>> diagnose_voters({'core': voters, 'voters_needed': 3}), diagnose_voters({})     # of an older version
    ([], [])
    """
    voters, needed = len(status.get('core', ())), status.get('voters_needed', 0)
    if voters >= needed:
        return []
    return [
        Finding(
            'warn',
            'core',
            f'has {voters} voters; the losses that it shall bear need {needed}',
            f'start {needed - voters} more core processes: after those losses no majority may be left, for good',
        )
    ]


def diagnose_primary(status: dict, policy_reply: dict | None) -> list[Finding]:
    """Return the findings from the primary's status and from the reply with the policy, if there is one.

    >>> replica_set = [1, 0, 'a', 'b']
    >>> s = {'generation': 0, 'members': {}, 'nodes': {}, 'parts': {'p00': replica_set}, 'plans': [], 'guests': {}}
    >>> skewed = {'role': 'route', 'silent_ms': 1, 'lease': True, 'clock_ms': -130_000}
    >>> [f.problem for f in diagnose_primary({**s, 'generation': 1, 'nodes': {'n1': skewed}}, None)][:1]
    ["its clock is -130 s off the core's"]
    >>> diagnose_primary({**s, 'generation': 1, 'nodes': {'n1': {**skewed, 'silent_ms': 9000}}}, None)[0].problem
    'on 0 live stores'
    >>> sorted(f.problem for f in diagnose_primary(s, None))
    ['no policy is in force', 'no routing node has a lease', 'on 0 live stores']
    """
    findings: list[Finding] = []
    if status.get('seated_ms') is not None and status['seated_ms'] < NEW_PRIMARY_MS:
        return [
            Finding(
                'note',
                status['me'],
                f'has been primary for {status["seated_ms"]} ms only',
                'ask again in some seconds, when the others have found it',
            )
        ]
    nodes, members = status['nodes'], status['members']
    findings += diagnose_voters(status)
    if not status['generation']:
        findings.append(Finding('fault', 'policy', 'no policy is in force', 'quillstall apply POLICY.json'))
    routing_nodes = {n: node for n, node in nodes.items() if node['role'] == 'route'}
    if not any(node['lease'] for node in routing_nodes.values()):
        findings.append(
            Finding(
                'fault',
                'routing',
                'no routing node has a lease',
                'start routing nodes with a core among their seeds',
            )
        )
    for name, node in sorted(nodes.items()):
        if (
            node['silent_ms'] > SILENT_AFTER_MS
            and node['role'] == 'store'
            and members.get(name, {}).get('state') == 'in'
        ):
            findings.append(
                Finding(
                    'fault',
                    name,
                    f'silent for {node["silent_ms"]} ms',
                    'start it again; if its machine is gone, start an empty store at a new address',
                )
            )
        elif node.get('behind'):
            findings.append(
                Finding(
                    'warn',
                    name,
                    f'is behind at generation {node["generation"]}: {node["behind"]}',
                    'it sends nothing new until it reaches the core; look at its network',
                )
            )
        # the delay of a poll distorts the offset, so a poll that is old or was handled late by a frozen core says nothing
        clock_offset_ms = node.get('clock_ms') if node['silent_ms'] <= SILENT_AFTER_MS else None
        if clock_offset_ms is not None and abs(clock_offset_ms) > MAX_CLOCK_OFFSET_MS:
            findings.append(
                Finding(
                    'fault',
                    name,
                    f"its clock is {clock_offset_ms / 1000:+.0f} s off the core's",
                    'set its clock and start it again; beyond 300 s between any two, kept state may go early',
                )
            )
        elif clock_offset_ms is not None and abs(clock_offset_ms) > (
            MAX_CLOCK_SKEW + REQUEST_TIMEOUT
        ) / timedelta(milliseconds=1):
            findings.append(
                Finding(
                    'warn',
                    name,
                    f"its clock is {clock_offset_ms / 1000:+.1f} s off the core's",
                    'set its clock',
                )
            )
        for partition, _epoch, backups in node.get('stuck', ()):
            findings.append(
                Finding(
                    'warn',
                    f'{partition}@{name}',
                    f'its backup {", ".join(backups)} does not confirm' if backups else 'is not served',
                    'repair runs by itself if a third store lives; else start one',
                )
            )
        findings += diagnose_failures(name, node.get('facts', {}))
        ejected_replicas = node.get('facts', {}).get('down') or []
        if ejected_replicas:
            findings.append(
                Finding(
                    'warn',
                    name,
                    f'finds replicas failing: {", ".join(ejected_replicas)}',
                    'look at them, or take them out: quillstall leaving NAME',
                )
            )
    live_stores = {
        n for n, node in nodes.items() if node['role'] == 'store' and node['silent_ms'] <= SILENT_AFTER_MS
    }
    partitions_by_copies: dict[int, list[str]] = {}
    in_one_zone = []
    for partition, replica_set in sorted(status['parts'].items()):
        live_copies = [n for n in replica_set[2:] if n in live_stores]
        if len(live_copies) < 2:
            partitions_by_copies.setdefault(len(live_copies), []).append(partition)
        elif len({members.get(n, {}).get('zone') for n in live_copies}) < 2:
            in_one_zone.append(partition)
    for count, partitions in sorted(partitions_by_copies.items()):
        findings.append(
            Finding(
                'fault',
                ' '.join(partitions),
                f'on {count} live stores',
                'repair runs by itself while a third store lives; else start one',
            )
        )
    lease_quorum = status.get('register') or {'now': {}, 'old': {}}
    live_members = [n for n in lease_quorum['now'] if n in live_stores]
    if lease_quorum['now'] and len(live_members) * 2 <= len(lease_quorum['now']):
        findings.append(
            Finding(
                'fault',
                'stores',
                f'{len(live_members)} of {len(lease_quorum["now"])} registered stores live',
                'no change of policy is acknowledged without a majority: start them again',
            )
        )
    if in_one_zone:
        findings.append(
            Finding('warn', ' '.join(in_one_zone), 'both copies in one zone', 'add a store in another zone')
        )
    if status['plans']:
        findings.append(
            Finding(
                'note', 'stores', f'{len(status["plans"])} moves are under way', 'ask again in some seconds'
            )
        )
    for name, member in sorted(members.items()):
        if member.get('off'):
            findings.append(
                Finding('note', name, 'is retired and holds nothing', 'its machine may be switched off')
            )
    for address, name in sorted(status['guests'].items()):
        findings.append(
            Finding('note', name, f'a new core waits at {address}', f'quillstall swap OLD-ADDRESS {address}')
        )
    policy = (policy_reply or {}).get('policy') or {}
    known_replicas = {r for pool in policy.get('pools', {}).values() for r in pool['replicas']}
    for replica in (policy_reply or {}).get('leaving', ()):
        findings.append(
            Finding(
                'note',
                replica,
                'is leaving and still in the policy',
                'take it out of its pool once its machine is off',
            )
        )
    for name, node in sorted(routing_nodes.items()):
        unknown_replicas = (
            sorted(set(node.get('facts', {}).get('used') or {}) - known_replicas) if known_replicas else []
        )
        if unknown_replicas:
            findings.append(
                Finding(
                    'warn',
                    name,
                    f'still runs work on replicas unknown to the policy: {", ".join(unknown_replicas)}',
                    'wait for it to end, or stop those replicas',
                )
            )
    return findings


async def query_cores(addresses: list[str]) -> tuple[list[StatusReply], dict | None]:
    """Return the status reply of each core, and the reply with the policy of the first core that gives one."""
    web = CurlWeb(8)

    async def query_status(address: str) -> StatusReply:
        requested_at = datetime.now(UTC)
        try:
            status, body, _ = await fetch(web, address, 'GET', '/v1/status', limit=REQUEST_TIMEOUT)
            return StatusReply(
                address, body if status == 200 else None, '' if status == 200 else str(status), requested_at
            )
        except Fault as e:
            return StatusReply(address, None, e.code, requested_at)

    try:
        replies = list(await asyncio.gather(*[query_status(address) for address in addresses]))
        policy_reply = None
        for reply in replies:
            if reply.status and policy_reply is None:
                try:
                    status, body, _ = await fetch(
                        web, reply.address, 'GET', '/v1/policy', limit=REQUEST_TIMEOUT
                    )
                    policy_reply = body if status == 200 else None
                except Fault:
                    continue
        return replies, policy_reply
    finally:
        await web.close()


async def merged_journals(core_addresses: list[str]) -> list[dict]:
    """Return the journal lines of all processes that can be found from the cores, in the order of time."""
    replies, _ = await query_cores(core_addresses)
    addresses = list(core_addresses)
    for reply in replies:
        for node in (reply.status or {}).get('nodes', {}).values():
            http_address = node.get('facts', {}).get('http')
            if http_address and http_address not in addresses:
                addresses.append(http_address)
    web = CurlWeb(8)
    lines: list[dict] = []
    try:
        for address in addresses:
            try:
                status, body, _ = await fetch(web, address, 'GET', '/v1/journal', limit=REQUEST_TIMEOUT)
            except Fault:
                continue
            if status == 200:
                lines += body['lines']
    finally:
        await web.close()
    return sorted(lines, key=lambda line: line['at'])


def exit_code(findings: list[Finding]) -> int:
    """Return the exit code of the command: 1 if a finding is a fault, else 0.

    >>> exit_code([Finding('note', '', '', '')]), exit_code([Finding('fault', '', '', '')])
    (0, 1)
    """
    return 1 if any(f.level == 'fault' for f in findings) else 0


def format_finding(finding: Any) -> str:
    """Return the two lines that are printed for a finding.

    >>> format_finding(Finding('warn', 'p00', 'is slow', 'wait'))
    'warn   p00: is slow\\n       -> wait'
    """
    return f'{finding.level:<6} {finding.subject}: {finding.problem}\n       -> {finding.remedy}'
