"""Book: the core's table. Pure: a command against the rows gives changes and a return."""

from collections import OrderedDict
from datetime import datetime
from typing import Any

from immutables import Map

from quillstall.configuration.policy import check, merge_patch
from quillstall.controlplane import requests
from quillstall.replication.rendezvous import rank_across_zones
from quillstall.runtime.errors import Fault

KNOWN_MOST = 2000
INDEXED_TABLES = 16  # a process reads one state of its table, a simulation those of many processes


def apply(rows: Map, c: dict, now: datetime) -> tuple[tuple, dict]:
    """One command on the core's rows.

    >>> from immutables import Map
    >>> from datetime import UTC
    >>> t = datetime(2026, 1, 1, tzinfo=UTC)
    >>> empty = {'classes': {}, 'routes': {}, 'pools': {}}
    >>> changes, ret = apply(Map(), {'op': 'apply', 'body': empty, 'base': 0}, t)
    >>> ret['generation'], dict(changes)['gen']
    (1, 1)
    >>> apply(Map(dict(changes)), {'op': 'apply', 'body': empty, 'base': 0}, t)
    Traceback (most recent call last):
    quillstall.runtime.errors.Fault: conflict: generation 1 is in force, the base was 0
    """
    return OPS[c['op']](rows, c, now)


def named(rows: Map, start: str) -> list[tuple[str, Any]]:
    """The rows whose keys begin so, without that beginning, in order; `start` ends with its only slash.

    >>> named(Map({'a/2': 1, 'a/1': 0, 'b': 2}), 'a/')
    [('1', 0), ('2', 1)]
    """
    return list(_index.of(rows, start))


class _Index:
    """Rows by the beginning of their keys. Tables never change in place, so what was sorted once for a
    table holds for it always; the record of requests alone would make each look at all rows long."""

    def __init__(self) -> None:
        self.tables: OrderedDict[int, tuple[Map, dict[str, list]]] = OrderedDict()

    def of(self, rows: Map, start: str) -> list[tuple[str, Any]]:
        kept = self.tables.get(id(rows))
        if kept is None:  # a table that is kept here lives, so no other has its identity
            kept = self.tables[id(rows)] = (rows, {})
            if len(self.tables) > INDEXED_TABLES:
                self.tables.popitem(last=False)
        self.tables.move_to_end(id(rows))
        found = kept[1].get(start)
        if found is None:
            found = sorted((k[len(start) :], v) for k, v in rows.items() if k.startswith(start))
            kept[1][start] = found
        return found


_index = _Index()


def confirm(rows: Map, c: dict, now: datetime) -> tuple[tuple, dict]:
    """A read: the rows as they are at this place in the order of commands. Once it is confirmed, so is all
    that they hold; the copy's own rows may by then hold changes that are still under way.

    >>> confirm(Map({'gen': 1}), {'op': 'confirm'}, None)[1]['rows']['gen']
    1
    """
    return (), {'ok': True, 'rows': rows}


def repeated(rows: Map, c: dict) -> dict | None:
    """The return that this request id had before, if any."""
    outcome = requests.find(rows, c.get('id'))
    return outcome.answer() if outcome else None


def stamp(rows: Map, c: dict, changes: tuple, version: int | None = None) -> tuple[tuple, dict]:
    """The changes with a new generation, and the outcome on record under the request's id."""
    outcome = requests.Outcome(rows.get('gen', 0) + 1, version)
    changes += (('gen', outcome.generation),) + requests.record(rows, c.get('id'), outcome)
    return changes, outcome.answer()


def put_policy(rows: Map, c: dict, now: datetime) -> tuple[tuple, dict]:
    """A whole or partial policy; of two with one base the first wins."""
    before = repeated(rows, c)
    if before:
        return (), before
    gen = rows.get('gen', 0)
    at = rows.get('policy_gen', 0)
    if c.get('numbered'):
        return put_numbered(rows, c)
    if c.get('base') is not None and c['base'] not in (gen, at):
        requests.refuse_only_if_never_taken(rows, c.get('id'), c['base'], None)
        raise Fault(
            'conflict', f'generation {gen} is in force, the base was {c["base"]}', more={'generation': gen}
        )
    body = merge_patch(rows.get('policy') or {}, c['body']) if c.get('partial') else c['body']
    findings = check(body)
    if findings:
        raise Fault('invalid', f'{len(findings)} findings', tuple(findings))
    names = {n for p in body['pools'].values() for n in p['replicas']}
    gone = tuple((f'leaving/{n}', None) for n, _ in named(rows, 'leaving/') if n not in names)
    gone += (('source', None),) if 'source' in rows else ()
    changes, ret = stamp(rows, c, (('policy', body),) + gone)
    return changes + (('policy_gen', ret['generation']),), ret


def put_numbered(rows: Map, c: dict) -> tuple[tuple, dict]:
    """A whole policy that carries a number of its operator's own, which must rise; `base` is the number
    that it builds on. The operator's own text is kept beside it, as it came.

    >>> empty = {'classes': {}, 'routes': {}, 'pools': {}}
    >>> ask = {'op': 'apply', 'numbered': True, 'base': 0, 'body': {**empty, 'version': 5}, 'source': {'a': 1}}
    >>> changes, ret = put_numbered(Map(), ask); ret['version'], dict(changes)['source']
    (5, {'a': 1})
    >>> put_numbered(Map(dict(changes)), {**ask, 'base': 5})
    Traceback (most recent call last):
    quillstall.runtime.errors.Fault: invalid: 1 findings
    """
    body = c['body']
    have = (rows.get('policy') or {}).get('version', 0)
    if c.get('base') is not None and c['base'] != have:
        requests.refuse_only_if_never_taken(rows, c.get('id'), None, body.get('version'))
        raise Fault(
            'conflict', f'version {have} is in force, the base was {c["base"]}', more={'version': have}
        )
    findings = check(body)
    if not findings and body.get('version', 0) <= have:
        requests.refuse_only_if_never_taken(rows, c.get('id'), None, body.get('version'))
        findings = [('version', f'is {body.get("version")}, must be above {have}')]
    if findings:
        raise Fault('invalid', f'{len(findings)} findings', tuple(findings))
    changes, ret = stamp(rows, c, (('policy', body), ('source', c.get('source'))), body['version'])
    return changes + (('policy_gen', ret['generation']),), ret


def leaving(rows: Map, c: dict, now: datetime) -> tuple[tuple, dict]:
    """Replicas that are to get nothing new; `back` takes the word back."""
    before = repeated(rows, c)
    if before:
        return (), before
    policy = rows.get('policy') or {'pools': {}}
    known = {n for p in policy['pools'].values() for n in p['replicas']}
    wrong = tuple((f'replicas.{n}', 'is in no pool') for n in c['replicas'] if n not in known)
    if wrong or not c['replicas']:
        raise Fault('unknown_name', 'no such replica', wrong or (('replicas', 'names none'),))
    mark = None if c.get('back') else now.isoformat()
    return stamp(rows, c, tuple((f'leaving/{n}', mark) for n in c['replicas']))


def join(rows: Map, c: dict, now: datetime) -> tuple[tuple, dict]:
    """A store that the fleet has not seen, or that has moved to another address. One that comes in place
    of a store that was being retired, its disk lost, is being retired too.

    >>> rows = Map({'member/a-1': {'role': 'store', 'address': 'x', 'zone': 'z', 'state': 'retiring'}})
    >>> ask = {'op': 'join', 'member': 'a-2', 'role': 'store', 'address': 'x', 'zone': 'z'}
    >>> changes = dict(join(rows, ask, None)[0])
    >>> changes['member/a-1']['state'], changes['member/a-2']['state']
    ('replaced', 'retiring')
    """
    key = f'member/{c["member"]}'
    row = rows.get(key)
    before = {
        n: r
        for n, r in named(rows, 'member/')
        if r['address'] == c['address'] and n != c['member'] and r['state'] != 'replaced'
    }
    leaves = any(r['state'] == 'retiring' and not r.get('emptied') for r in before.values())
    fresh = {
        **(row or {'state': 'retiring' if leaves else 'in'}),
        'role': c['role'],
        'address': c['address'],
        'zone': c['zone'],
    }
    if row == fresh:
        return (), {'ok': True}
    old = tuple((f'member/{n}', {**r, 'state': 'replaced'}) for n, r in before.items())
    return (((key, fresh), ('place', rows.get('place', 0) + 1)) + old, {'ok': True})


def found(rows: Map, c: dict, now: datetime) -> tuple[tuple, dict]:
    """Lay out all parts over the stores, for the first time."""
    if named(rows, 'part/'):
        return (), {'ok': True}
    changes: tuple = (('place', rows.get('place', 0) + 1),)
    for n in range(c['parts']):
        part = f'p{n:02d}'
        changes += ((f'part/{part}', (1, 0, *rank_across_zones(part, c['zones'])[: c.get('copies', 2)])),)
    return changes, {'ok': True}


def seat(rows: Map, c: dict, now: datetime) -> tuple[tuple, dict]:
    """Grant a seat if it follows the one in force; either way say which is in force."""
    key = f'part/{c["part"]}'
    have = tuple(rows[key])
    want = tuple(c['seat'])
    if want[1] != have[0] or want[0] != have[0] + 1:
        return (), {'ok': want == have, 'seat': list(have)}
    return ((key, want), ('place', rows.get('place', 0) + 1)), {'ok': True, 'seat': list(want)}


def retire(rows: Map, c: dict, now: datetime) -> tuple[tuple, dict]:
    """Ask a store to leave; refused where too few would be left, or while another retires.

    >>> row = lambda zone, state='in': {'address': 'x', 'zone': zone, 'state': state}
    >>> rows = Map({'member/a': row('1', 'retiring'), 'member/b': row('2'), 'member/c': row('3'),
    ...             'member/d': row('1'), 'part/p00': (1, 0, 'a', 'b')})
    >>> ask = {'op': 'retire', 'live': ['a', 'b', 'c', 'd']}
    >>> retire(rows, {**ask, 'name': 'c'}, None)
    Traceback (most recent call last):
    quillstall.runtime.errors.Fault: refused: a is still retiring
    >>> rows = rows.set('part/p00', (2, 1, 'd', 'b')).set('member/a', {**row('1', 'retiring'), 'emptied': True})
    >>> retire(rows, {**ask, 'name': 'c'}, None)[1]['ok']
    True
    >>> retire(rows, {**ask, 'name': 'c', 'live': ['b']}, None)
    Traceback (most recent call last):
    quillstall.runtime.errors.Fault: refused: 1 live stores in 1 zones would be left; 2 in two are needed
    """
    known = dict(named(rows, 'member/'))
    hits = [n for n, r in known.items() if c['name'] in (n, r['address']) and r['state'] != 'replaced']
    if not hits:
        raise Fault('unknown_name', f'no store {c["name"]!r}')
    name = hits[0]
    row = known[name]
    if row['state'] == 'retiring':
        return (), {'ok': True, 'member': name}
    busy = [n for n, r in known.items() if r['state'] == 'retiring' and not r.get('emptied')]
    if busy:
        raise Fault('refused', f'{busy[0]} is still retiring')
    rest = {r['zone'] for n, r in known.items() if n != name and r['state'] == 'in' and n in c['live']}
    count = sum(1 for n, r in known.items() if n != name and r['state'] == 'in' and n in c['live'])
    need = c.get('copies', 2)
    if count < need or len(rest) < 2:
        raise Fault(
            'refused', f'{count} live stores in {len(rest)} zones would be left; {need} in two are needed'
        )
    return (
        ((f'member/{name}', {**row, 'state': 'retiring'}), ('place', rows.get('place', 0) + 1)),
        {'ok': True, 'member': name},
    )


def sits(rows: Map, member: str) -> int:
    """How many parts a store still holds.

    >>> sits(Map({'part/p00': (1, 0, 'a', 'b')}), 'a')
    1
    """
    return sum(1 for _, s in named(rows, 'part/') if member in s[2:])


def emptied(rows: Map, c: dict, now: datetime) -> tuple[tuple, dict]:
    """Record that a retiring store is needed no more: every partition has all its copies on other stores
    that are in and live, and the register is settled without it. Final: it can be switched off at any time
    after this, so it is never taken back.

    >>> row = lambda state='in': {'role': 'store', 'address': 'x', 'zone': 'z', 'state': state}
    >>> rows = Map({'member/a': row('retiring'), 'member/b': row(), 'member/c': row(),
    ...             'part/p00': (2, 1, 'b')})
    >>> ask = {'op': 'emptied', 'name': 'a', 'live': ['b', 'c'], 'copies': 2}
    >>> emptied(rows, ask, None)[0], dict(emptied(rows.set('part/p00', (3, 2, 'b', 'c')), ask, None)[0])
    ((), {'member/a': {'role': 'store', 'address': 'x', 'zone': 'z', 'state': 'retiring', 'emptied': True}})
    """
    key = f'member/{c["name"]}'
    row = rows.get(key)
    held_by = rows.get('register') or {'now': {}, 'old': {}}
    if (
        row is None
        or row['state'] != 'retiring'
        or row.get('emptied')
        or held_by['old']
        or c['name'] in held_by['now']
        or not whole(rows, c['live'], c['copies'])
    ):
        return (), {'ok': True}
    return ((key, {**row, 'emptied': True}),), {'ok': True}


def whole(rows: Map, live: list, copies: int) -> bool:
    """Whether every partition sits on just so many stores, all of them in and live.

    >>> rows = Map({'member/b': {'state': 'in'}, 'member/c': {'state': 'in'}, 'part/p00': (1, 0, 'b', 'c')})
    >>> whole(rows, ['b', 'c'], 2), whole(rows, ['b'], 2), whole(rows, ['b', 'c'], 3)
    (True, False, False)
    """
    good = {n for n, r in named(rows, 'member/') if r['state'] == 'in' and n in live}
    return all(len(s[2:]) >= copies and good.issuperset(s[2:]) for _, s in named(rows, 'part/'))


def know(rows: Map, c: dict, now: datetime) -> tuple[tuple, dict]:
    """Keep a routing node's address, so that it can be greeted when it has been away; the oldest goes
    when there are too many.

    >>> dict(know(Map(), {'address': '1:1'}, datetime(2026, 1, 1))[0])['known/1:1']
    '2026-01-01T00:00:00'
    """
    key = f'known/{c["address"]}'
    if key in rows:
        return (), {'ok': True}
    old = sorted((at, a) for a, at in named(rows, 'known/'))
    gone = tuple((f'known/{a}', None) for _, a in old[: max(0, len(old) + 1 - KNOWN_MOST)])
    return gone + ((key, now.isoformat()), ('place', rows.get('place', 0) + 1)), {'ok': True}


def enrol(rows: Map, c: dict, now: datetime) -> tuple[tuple, dict]:
    """Register these stores, if the register is still the one that was meant.

    >>> ask = {'op': 'enrol', 'base': 0, 'now': {'a': '1:1'}, 'old': {}}
    >>> changes, _ = enrol(Map(), ask, None); dict(changes)['register']['number']
    1
    >>> enrol(Map(dict(changes)), ask, None)[0]
    ()
    """
    if (rows.get('register') or {'number': 0})['number'] != c['base']:
        return (), {'ok': True}
    return (('register', {'number': c['base'] + 1, 'now': c['now'], 'old': c['old']}),), {'ok': True}


OPS = {
    'confirm': confirm,
    'apply': put_policy,
    'leaving': leaving,
    'join': join,
    'found': found,
    'seat': seat,
    'retire': retire,
    'emptied': emptied,
    'enrol': enrol,
    'know': know,
}
