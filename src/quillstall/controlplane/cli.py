"""The operators' commands of the command line: apply, show, status, leaving, retire, swap, doctor."""

import asyncio
import json
import uuid
from datetime import timedelta
from typing import Any

from cleo.commands.command import Command
from cleo.helpers import argument, option

from quillstall.configuration.startup import read
from quillstall.controlplane import doctor
from quillstall.network.web import CurlWeb, fetch
from quillstall.runtime.daemon import print_fault
from quillstall.runtime.errors import Fault

CORES = option(
    'at', None, "ip:port of any core's HTTP; more with commas", flag=False, default='127.0.0.1:7001'
)
MAX_ROUNDS = 4  # each tries every core once


async def send_request(
    addresses: str, method: str, path: str, body: Any = None, headers: dict | None = None
) -> tuple:
    """Return the status, body and headers of the first response below 500; raise the last Fault if there is none.

    While no core is primary, the request is sent again, to the next core and with the same X-Request-Id.
    """
    web = CurlWeb(4)
    request_headers = {'X-Request-Id': uuid.uuid4().hex, **(headers or {})}
    last_fault: Fault = Fault('core_away', 'no core was named')
    try:
        for _n in range(MAX_ROUNDS):
            for address in addresses.split(','):
                try:
                    status, data, response_headers = await fetch(
                        web, address.strip(), method, path, body, request_headers, timedelta(seconds=12)
                    )
                except Fault as e:
                    last_fault = e
                    continue
                if status < 500:
                    return status, data, response_headers
                last_fault = Fault((data or {}).get('code', 'core_away'), (data or {}).get('detail', ''))
            await asyncio.sleep(1)
    finally:
        await web.close()
    raise last_fault


class OperatorCommand(Command):
    """The base of the operators' commands: sends one request, prints the reply as JSON, returns the exit code."""

    def send(self, method: str, path: str, body: Any = None, headers: dict | None = None) -> tuple[int, Any]:
        """Send a request; return the exit code and the reply, 3 and None if no core answered.

        An error is printed: its code and text, and each finding on a line.
        """
        try:
            status, data, _ = asyncio.run(send_request(self.option('at'), method, path, body, headers))
        except Fault as e:
            print_fault(e, self.line_error)
            return 3, None
        if status >= 400:
            self.line_error(f'{data.get("code")}: {data.get("detail") or data.get("title")}')
            for finding in data.get('findings', ()):
                self.line_error(f'  {finding["place"]}: {finding["finding"]}')
            return 1, data
        return 0, data

    def print_reply(self, exit_code: int, data: Any) -> int:
        """Print the reply to a request that succeeded; return the exit code."""
        if exit_code == 0:
            self.line(json.dumps(data, indent=1))
        return exit_code


class Apply(OperatorCommand):
    """The command `apply`: replaces or patches the policy."""

    name = 'apply'
    description = 'Put a whole policy, or with --partial a merge patch, in force'
    arguments = [argument('file', 'the policy (JSON)')]
    options = [
        CORES,
        option('partial', None, 'the file is a JSON merge patch', flag=True),
        option('base', None, 'the generation that it was made from', flag=False),
    ]

    def handle(self) -> int:
        try:
            with open(self.argument('file'), encoding='utf-8') as file:
                body = json.load(file)
        except (OSError, ValueError) as e:
            self.line_error(f'bad_json: {e}')
            return 2
        headers = {'If-Match': f'"{self.option("base")}"'} if self.option('base') else {}
        return self.print_reply(
            *self.send('PATCH' if self.option('partial') else 'PUT', '/v1/policy', body, headers)
        )


class Show(OperatorCommand):
    """The command `show`: the declared policy, and the generation that each routing node has in force."""

    name = 'show'
    description = 'Show the policy that is declared, and which node has it in force'
    options = [CORES]

    def handle(self) -> int:
        exit_code, data = self.send('GET', '/v1/policy')
        if exit_code:
            return exit_code
        nodes = data['status']['nodes']
        routing_nodes = {name: node for name, node in sorted(nodes.items()) if node['role'] == 'route'}
        self.line(json.dumps(data['policy'], indent=1))
        self.line(
            f'declared: generation {data["generation"]}; leaving: {", ".join(data["leaving"]) or "none"}'
        )
        for name, node in routing_nodes.items():
            state = node['behind'] or (
                'in force' if node['lease'] else 'sends nothing: its lease has run out'
            )
            self.line(f'  {name} {node["address"]} generation {node["generation"]}: {state}')
        return 0


class Status(OperatorCommand):
    """The command `status`: the fleet as the primary sees it, or the last journal lines of all processes."""

    name = 'status'
    description = 'Show nodes, replica sets, reconfigurations and slot allocations as the primary sees them'
    options = [
        CORES,
        option(
            'journal',
            None,
            'show this many of the last changes of state, of all processes, instead',
            flag=False,
        ),
    ]

    def handle(self) -> int:
        if self.option('journal'):
            lines = asyncio.run(doctor.merged_journals([a.strip() for a in self.option('at').split(',')]))
            for line in lines[-int(self.option('journal')) :]:
                facts = ' '.join(f'{k}={v}' for k, v in line.items() if k not in ('at', 'by', 'kind'))
                self.line(f'{line["at"]} {line["by"]} {line["kind"]} {facts}')
            return 0 if lines else 3
        exit_code, data = self.send('GET', '/v1/policy')
        return self.print_reply(exit_code, data and data['status'])


class Leaving(OperatorCommand):
    """The command `leaving`: announces that replicas are to be removed, or takes that back."""

    name = 'leaving'
    description = 'Announce replicas as leaving: they get nothing new'
    arguments = [argument('replicas', 'their names', multiple=True)]
    options = [CORES, option('back', None, 'they stay after all', flag=True)]

    def handle(self) -> int:
        body = {'replicas': self.argument('replicas'), 'back': bool(self.option('back'))}
        return self.print_reply(*self.send('POST', '/v1/leaving', body))


class Retire(OperatorCommand):
    """The command `retire`: moves all partitions off a store."""

    name = 'retire'
    description = 'Move everything off a store; status tells when its machine may be switched off'
    arguments = [argument('store', 'its id or address')]
    options = [CORES]

    def handle(self) -> int:
        return self.print_reply(*self.send('POST', '/v1/retire', {'name': self.argument('store')}))


class Swap(OperatorCommand):
    """The command `swap`: replaces a core by a new one."""

    name = 'swap'
    description = 'Put a new core, already started with an empty folder, in the place of an old one'
    arguments = [
        argument('old', 'the id or address of the one that goes'),
        argument('by', 'the address of the new one'),
    ]
    options = [CORES]

    def handle(self) -> int:
        return self.print_reply(
            *self.send('POST', '/v1/swap', {'name': self.argument('old'), 'by': self.argument('by')})
        )


class Doctor(OperatorCommand):
    """The command `doctor`: prints what is wrong with the fleet and how to mend it."""

    name = 'doctor'
    description = 'Look for common faults and say what to do; exit code 1 if something is broken'
    options = [CORES, option('startup', None, 'check this startup file too', flag=False)]

    def handle(self) -> int:
        findings = []
        if self.option('startup'):
            try:
                read(self.option('startup'), {})
            except Fault as e:
                findings += [
                    doctor.Finding(
                        'fault', f'{self.option("startup")} {field}', text, 'mend the startup file'
                    )
                    for field, text in e.findings
                ]
        replies, policy_reply = asyncio.run(
            doctor.query_cores([a.strip() for a in self.option('at').split(',')])
        )
        findings += doctor.diagnose(replies, policy_reply)
        for finding in findings:
            self.line(doctor.format_finding(finding))
        self.line(f'{len(findings)} findings' if findings else 'nothing found')
        return doctor.exit_code(findings)


OPERATOR_COMMANDS = (Apply, Show, Status, Leaving, Retire, Swap, Doctor)
