"""Fault, the one exception that is sent between processes and to clients, with a stable code."""

from typing import Any

# code: (HTTP status, title, whether the request may have been executed: 'no', 'yes', 'unknown')
CODES: dict[str, tuple[int, str, str]] = {
    'bad_json': (400, 'The body is not JSON', 'no'),
    'bad_header': (400, 'A header cannot be read', 'no'),
    'ruled_out': (403, 'A rule of the policy refuses it', 'no'),
    'not_found': (404, 'There is nothing here', 'no'),
    'no_route': (404, 'No policy allows this route', 'no'),
    'no_service': (404, 'No policy allows this service', 'no'),
    'turn_unknown': (404, 'No such turn was ever kept', 'no'),
    'turn_expired': (410, 'The turn is past its keeping time', 'no'),
    'wrong_method': (405, 'This path takes another method', 'no'),
    'conflict': (409, 'Another policy came first', 'no'),
    'once_running': (409, 'This key is being worked on now', 'unknown'),
    'too_big': (413, 'The body is too large', 'no'),
    'invalid': (422, 'The request has faults', 'no'),
    'key_reused': (422, 'This key came with another body before', 'no'),
    'budget': (429, 'The program has used up its token budget', 'no'),
    'entitlement': (429, 'The class has used up its entitlement', 'no'),
    'shed': (503, 'No room before the deadline', 'no'),
    'no_memory': (503, 'This process holds as much as it may', 'no'),
    'hopeless': (503, 'The deadline can no longer be met', 'no'),
    'no_lease': (503, 'This node has lost touch with the core', 'no'),
    'no_replica': (503, 'No replica may take this now', 'no'),
    'draining': (503, 'This node is going down', 'no'),
    'store_away': (503, 'The kept state cannot be reached now', 'no'),
    'core_away': (503, 'The core cannot be reached now', 'no'),
    'replica_failed': (502, 'The replica failed', 'unknown'),
    'outcome_unknown': (502, 'It may have run: the outcome is unknown', 'unknown'),
    'late': (504, 'The deadline passed while it ran', 'unknown'),
    'not_kept': (502, 'The turn ran but could not be kept', 'yes'),
    'gone': (499, 'The caller went away', 'unknown'),
    'unreachable': (503, 'The process cannot be reached', 'no'),
    'lost': (502, 'The link broke before the return came', 'unknown'),
    'slow': (504, 'No return came in time', 'unknown'),
    'moved': (503, 'This copy is not the primary now', 'unknown'),
    'garbled': (400, 'The message cannot be read', 'no'),
    'startup': (500, 'The startup cannot be used', 'no'),
    'disk': (500, 'The data folder cannot be used', 'no'),
    'refused': (409, 'The step is not allowed now', 'no'),
    'unknown_name': (404, 'No such machine or replica is known', 'no'),
    'internal': (500, 'A fault of ours', 'unknown'),
}


class Fault(Exception):
    """An error with a code, a text and findings: pairs of a path in the request and what is wrong there.

    >>> f = Fault('shed', 'queue is full', wait_ms=1500)
    >>> f.code, f.status, f.ran
    ('shed', 503, 'no')
    >>> Fault.unpack(f.pack()).wait_ms
    1500
    """

    def __init__(
        self,
        code: str,
        text: str = '',
        findings: tuple = (),
        ran: str = '',
        wait_ms: int | None = None,
        more: dict | None = None,
    ):
        super().__init__(f'{code}: {text}')
        self.code = code
        self.text = text
        self.findings = tuple(findings)
        self.status, self.title, known = CODES[code]
        self.ran = ran or known
        self.wait_ms = wait_ms
        self.more = more or {}

    def fresh(self) -> 'Fault':
        """Return the same fault without a traceback, whose frames would keep alive what they hold.

        >>> Fault('lost', 'cut').fresh().text
        'cut'
        """
        return Fault(self.code, self.text, self.findings, self.ran, self.wait_ms, self.more)

    def pack(self) -> dict[str, Any]:
        """Return the fault as a message between processes.

        >>> Fault('lost', 'cut').pack()['fault']
        'lost'
        """
        return {
            'fault': self.code,
            'text': self.text,
            'findings': [list(f) for f in self.findings],
            'ran': self.ran,
            'wait_ms': self.wait_ms,
            'more': self.more,
        }

    @staticmethod
    def unpack(message: dict) -> 'Fault':
        """Return the fault of a packed message; an unknown code becomes 'internal'.

        >>> Fault.unpack({'fault': 'moved'}).code
        'moved'
        >>> Fault.unpack({'fault': 'xyz'}).code
        'internal'
        """
        code = message['fault'] if message['fault'] in CODES else 'internal'
        return Fault(
            code,
            message.get('text') or '',
            tuple(tuple(f) for f in message.get('findings') or ()),
            message.get('ran') or '',
            message.get('wait_ms'),
            message.get('more') or {},
        )

    def problem(self, path: str = '') -> dict[str, Any]:
        """Return the body of an application/problem+json response.

        >>> p = Fault('invalid', 'see findings', (('max_tokens', 'is negative'),)).problem('/v1/turns')
        >>> p['code'], p['ran'], p['findings']
        ('invalid', 'no', [{'place': 'max_tokens', 'finding': 'is negative'}])
        """
        body: dict[str, Any] = {
            'type': f'urn:quillstall:{self.code}',
            'title': self.title,
            'status': self.status,
            'code': self.code,
            'detail': self.text,
            'instance': path,
            'ran': self.ran,
        }
        if self.findings:
            body['findings'] = [{'place': p, 'finding': t} for p, t in self.findings]
        if self.wait_ms is not None:
            body['retry_after_ms'] = self.wait_ms
        body.update(self.more)
        return body
