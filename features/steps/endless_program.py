"""Stand-ins for callers and for faulty replicas, each in a process of its own: `endless_program.py replicas KIND
PLACES` serves until it is killed, `endless_program.py callers OPTIONS` prints what its callers got."""

import asyncio
import json
import sys
import time

from quillstall.testbed import endless

CALLER_PAUSE_S = 0.2
SOUND_PAUSE_S = 0.05
READ_BYTES = 2**16
PATIENCE_S = 4.0  # beyond the deadline


async def serve_replica(reader, writer, kind):
    """Answer each request of a connection with bytes without end."""
    try:
        while True:
            head = (await reader.readuntil(b'\r\n\r\n')).decode('latin1').lower()
            headers = dict(line.split(': ', 1) for line in head.split('\r\n')[1:] if ': ' in line)
            await reader.readexactly(int(headers.get('content-length') or 0))
            identity = {
                'X-Quillstall-Request-Id': headers.get('x-quillstall-request-id', ''),
                'X-Quillstall-Response-Signature': 'endless',
            }
            await endless.send(writer, endless.KINDS[kind](identity))
    except (OSError, asyncio.IncompleteReadError):
        pass
    finally:
        writer.close()


async def run_replicas(kind, places):
    for place in places.split(','):
        host, port = place.split(':')
        await asyncio.start_server(lambda r, w: serve_replica(r, w, kind), host, int(port), limit=READ_BYTES)
    print('open', flush=True)
    await asyncio.Event().wait()


class Caller:
    """Asks one route again and again, each time on a new connection."""

    def __init__(self, number, options):
        self.number = number
        self.options = options
        self.rows = []

    async def run(self, end):
        pause_s = SOUND_PAUSE_S if self.options['route'] == 'sound' else CALLER_PAUSE_S
        while time.monotonic() < end:
            since = time.monotonic()
            status = await self.call()
            self.rows.append({'status': status, 'took_s': round(time.monotonic() - since, 4)})
            await asyncio.sleep(pause_s)

    async def call(self):
        """Return the status of a whole answer, or what came in its place."""
        limit_s = self.options['deadline_ms'] / 1000 + PATIENCE_S
        try:
            async with asyncio.timeout(limit_s):
                reader, writer = await asyncio.open_connection(*self.options['place'])
                try:
                    writer.write(self.request())
                    return await self.read(reader)
                finally:
                    writer.close()
        except TimeoutError:
            return 'silent'
        except (OSError, asyncio.IncompleteReadError, asyncio.LimitOverrunError):
            return 'cut'

    def request(self):
        ident = f'{self.options["route"]}{self.number}x{len(self.rows)}'
        headers = {
            'Host': self.options['host'],
            'X-Quillstall-Request-Id': ident,
            'X-Quillstall-Deadline-Ms': self.options['deadline_ms'],
            'Content-Length': 5,
        }
        if self.options['route'] == 'keyed':
            headers['X-Quillstall-Operation-Key'] = ident
        if self.options['route'] in ('streaming', 'resumable', 'retained'):
            headers['X-Quillstall-Token-Usage'] = '100,200'
        if self.options['route'] == 'retained':
            headers |= {'X-Quillstall-Program-Id': ident, 'X-Quillstall-Session-Id': ident}
            headers |= {'X-Quillstall-Token-Budget': 9000, 'X-Quillstall-Program-Deadline-Ms': 60_000}
        lines = ''.join(f'{name}: {value}\r\n' for name, value in headers.items())
        return f'POST {self.options["path"]} HTTP/1.1\r\n{lines}\r\nsmall'.encode()

    async def read(self, reader):
        head = (await reader.readuntil(b'\r\n\r\n')).decode('latin1').lower()
        status = int(head.split()[1])
        if 'content-length: ' in head:
            left = int(head.split('content-length: ')[1].split('\r\n')[0])
            while left:
                data = await reader.read(min(left, READ_BYTES))
                if not data:
                    return 'cut'
                left -= len(data)
            return status
        tail = b''
        while data := await reader.read(READ_BYTES):
            tail = (tail + data)[-5:]
            if tail == b'0\r\n\r\n':
                return status
        return 'cut'


async def run_callers(options):
    callers = [Caller(number, options) for number in range(options['count'])]
    end = time.monotonic() + options['seconds']
    await asyncio.gather(*[caller.run(end) for caller in callers])
    print(json.dumps([row for caller in callers for row in caller.rows]))


if __name__ == '__main__':
    if sys.argv[1] == 'replicas':
        asyncio.run(run_replicas(sys.argv[2], sys.argv[3]))
    else:
        asyncio.run(run_callers(json.loads(sys.argv[2])))
