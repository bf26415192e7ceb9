"""The operators' commands: apply, show, status, leaving, retire, swap, doctor."""

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

AT = option('at', None, "ip:port of any core's HTTP; more with commas", flag=False, default='127.0.0.1:7001')
TRIES = 4


async def ask(at: str, method: str, path: str, body: Any = None, headers: dict | None = None) -> tuple:
    """One request to the first core that gives an answer: `await ask('127.0.0.1:7001', 'GET', '/v1/policy')`.

    It is sent again, to the next core and with the same X-Request-Id, while no core is primary.
    """
    web = CurlWeb(4)
    heads = {'X-Request-Id': uuid.uuid4().hex, **(headers or {})}
    last: Fault = Fault('core_away', 'no core was named')
    try:
        for _n in range(TRIES):
            for door in at.split(','):
                try:
                    status, data, got = await fetch(
                        web, door.strip(), method, path, body, heads, timedelta(seconds=12)
                    )
                except Fault as e:
                    last = e
                    continue
                if status < 500:
                    return status, data, got
                last = Fault((data or {}).get('code', 'core_away'), (data or {}).get('detail', ''))
            await asyncio.sleep(1)
    finally:
        await web.close()
    raise last


class Verb(Command):
    """What the operators' verbs share: one request, its answer as JSON, the exit code."""

    def send(self, method: str, path: str, body: Any = None, headers: dict | None = None) -> tuple[int, Any]:
        try:
            status, data, _ = asyncio.run(ask(self.option('at'), method, path, body, headers))
        except Fault as e:
            print_fault(e, self.line_error)
            return 3, None
        if status >= 400:
            self.line_error(f'{data.get("code")}: {data.get("detail") or data.get("title")}')
            for f in data.get('findings', ()):
                self.line_error(f'  {f["place"]}: {f["finding"]}')
            return 1, data
        return 0, data

    def tell(self, code: int, data: Any) -> int:
        if code == 0:
            self.line(json.dumps(data, indent=1))
        return code


class Apply(Verb):
    """Put a policy in force."""

    name = 'apply'
    description = 'Put a whole policy, or with --partial a merge patch, in force'
    arguments = [argument('file', 'the policy (JSON)')]
    options = [
        AT,
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
        heads = {'If-Match': f'"{self.option("base")}"'} if self.option('base') else {}
        return self.tell(*self.send('PATCH' if self.option('partial') else 'PUT', '/v1/policy', body, heads))


class Show(Verb):
    """Declared and in force."""

    name = 'show'
    description = 'Show the policy that is declared, and which node has it in force'
    options = [AT]

    def handle(self) -> int:
        code, data = self.send('GET', '/v1/policy')
        if code:
            return code
        nodes = data['status']['nodes']
        routes = {n: v for n, v in sorted(nodes.items()) if v['role'] == 'route'}
        self.line(json.dumps(data['policy'], indent=1))
        self.line(
            f'declared: generation {data["generation"]}; leaving: {", ".join(data["leaving"]) or "none"}'
        )
        for name, v in routes.items():
            state = v['behind'] or ('in force' if v['lease'] else 'sends nothing: its lease has run out')
            self.line(f'  {name} {v["address"]} generation {v["generation"]}: {state}')
        return 0


class Status(Verb):
    """What every process knows."""

    name = 'status'
    description = 'Show nodes, seats, moves and allotments as the primary sees them'
    options = [
        AT,
        option(
            'journal',
            None,
            'show this many of the last changes of state, of all processes, instead',
            flag=False,
        ),
    ]

    def handle(self) -> int:
        if self.option('journal'):
            lines = asyncio.run(doctor.journals([a.strip() for a in self.option('at').split(',')]))
            for line in lines[-int(self.option('journal')) :]:
                facts = ' '.join(f'{k}={v}' for k, v in line.items() if k not in ('at', 'by', 'kind'))
                self.line(f'{line["at"]} {line["by"]} {line["kind"]} {facts}')
            return 0 if lines else 3
        code, data = self.send('GET', '/v1/policy')
        return self.tell(code, data and data['status'])


class Leaving(Verb):
    """Announce replicas as leaving."""

    name = 'leaving'
    description = 'Announce replicas as leaving: they get nothing new'
    arguments = [argument('replicas', 'their names', multiple=True)]
    options = [AT, option('back', None, 'they stay after all', flag=True)]

    def handle(self) -> int:
        body = {'replicas': self.argument('replicas'), 'back': bool(self.option('back'))}
        return self.tell(*self.send('POST', '/v1/leaving', body))


class Retire(Verb):
    """Retire a store."""

    name = 'retire'
    description = 'Move everything off a store; status tells when its machine may be switched off'
    arguments = [argument('store', 'its id or address')]
    options = [AT]

    def handle(self) -> int:
        return self.tell(*self.send('POST', '/v1/retire', {'name': self.argument('store')}))


class Swap(Verb):
    """Swap a core machine."""

    name = 'swap'
    description = 'Put a new core, already started with an empty folder, in the place of an old one'
    arguments = [
        argument('old', 'the id or address of the one that goes'),
        argument('by', 'the address of the new one'),
    ]
    options = [AT]

    def handle(self) -> int:
        return self.tell(
            *self.send('POST', '/v1/swap', {'name': self.argument('old'), 'by': self.argument('by')})
        )


class Doctor(Verb):
    """Look for common faults."""

    name = 'doctor'
    description = 'Look for common faults and say what to do; exit code 1 if something is broken'
    options = [AT, option('startup', None, 'check this startup file too', flag=False)]

    def handle(self) -> int:
        findings = []
        if self.option('startup'):
            try:
                read(self.option('startup'), {})
            except Fault as e:
                findings += [
                    doctor.Finding('fault', f'{self.option("startup")} {p}', t, 'mend the startup file')
                    for p, t in e.findings
                ]
        views, shown = asyncio.run(doctor.visit([a.strip() for a in self.option('at').split(',')]))
        findings += doctor.diagnose(views, shown)
        for finding in findings:
            self.line(doctor.text(finding))
        self.line(f'{len(findings)} findings' if findings else 'nothing found')
        return doctor.code(findings)


OPERATOR_COMMANDS = (Apply, Show, Status, Leaving, Retire, Swap, Doctor)
