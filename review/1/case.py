"""Case 1: one configuration that can't be read whole hangs every core process, one after another."""

import asyncio
import json
import os
import sys
import time

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(os.path.dirname(HERE), 'common'))

import fleet as f  # noqa: E402

ORDER_S = 4.0  # ack_ms: a change without a clear answer is sent again for so long
READ_S = 30.0  # the configuration is read back for so long; contact_ms is 3 s
WHOLE = 'weekend rates \U0001f600'
CUT = 'weekend rates \ud83d'  # the same, cut in the middle of its last character


def clear(status):
    """Whether an answer settles an order."""
    return status == 200 or (400 <= status < 500 and status not in (408, 429))


async def send(fleet, record, what, method, body, headers, limit):
    """An order as the operator sends it: to one node after another, until there is a clear answer."""
    end, turn = time.monotonic() + limit, 0
    while time.monotonic() < end:
        to = f'127.{fleet.net}.{f.CORE}.{turn % 3 + 1}'
        got = await f.ask((to, f.CONTROL), method, '/config', headers, body, limit=1)
        record.note(f'{what} sent to {to}: {got}')
        if clear(got.status):
            return got
        turn += 1
        await asyncio.sleep(0.1 + 0.1 * min(turn, 9))
    return None


async def case(fleet, record, trouble):
    replica = f.Replica(fleet, fleet.replica('calc1a', 1, band=f.APP), record)
    await replica.open()
    rules = [f.rule('r-1', '/cufi504/', 'non_idempotent', 'calc1a', 2000)]
    await fleet.configure(f.document(7, rules, [f.backend('calc1a')]))
    await fleet.ready(['edge-1', 'edge-2'])
    await asyncio.sleep(4)
    model = f.backend('huvo11a', engine=True)
    model['engine']['models'] = [{'name': CUT if trouble else WHOLE}]
    document = f.document(9, rules, [f.backend('calc1a'), model])
    heads = {'Content-Type': 'application/json', 'If-Match': '7'}
    body = json.dumps(document, ensure_ascii='RAW' not in os.environ).encode('utf-8', 'surrogatepass')
    got = await send(fleet, record, 'version 9', 'PUT', body, heads, ORDER_S)
    record.note(f'version 9: {got or "no clear answer"}')
    await asyncio.sleep(4)
    got = await send(fleet, record, 'the question for the newest version', 'GET', b'', {}, READ_S)
    states = [f'{n} {"runs" if fleet[n].child.poll() is None else "has ended"}' for n in fleet.processes]
    record.note(f'processes: {", ".join(states)}')
    if got is None or got.status != 200:
        return [f'CONFIG: read back for {READ_S:.0f} s, the configuration does not come']
    record.note(f'read back: version {json.loads(got.body)["revision"]}')
    return []


if __name__ == '__main__':
    f.main(HERE, case)
