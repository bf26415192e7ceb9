"""The replicated table of the core processes: policy, members and replica sets.

Its commands are pure functions: from the rows and a command they return the changes of rows and the reply.
"""

from collections import OrderedDict
from datetime import datetime
from typing import Any

from immutables import Map

from quillstall.configuration.policy import check, merge_patch
from quillstall.controlplane import requests
from quillstall.replication.rendezvous import rank_across_zones
from quillstall.runtime.errors import Fault

MAX_KNOWN_ADDRESSES = 2000
MAX_INDEXED_TABLES = 16  # a process reads one version of its table, a simulation those of many processes


def apply(rows: Map, command: dict, now: datetime) -> tuple[tuple, dict]:
    """Apply one command to the rows; return the changes of rows and the reply. Raise Fault if it is refused.

    >>> from immutables import Map
    >>> from datetime import UTC
    >>> t = datetime(2026, 1, 1, tzinfo=UTC)
    >>> empty = {'classes': {}, 'routes': {}, 'pools': {}}
    >>> changes, reply = apply(Map(), {'op': 'apply', 'body': empty, 'base': 0}, t)
    >>> reply['generation'], dict(changes)['gen']
    (1, 1)
    >>> apply(Map(dict(changes)), {'op': 'apply', 'body': empty, 'base': 0}, t)
    Traceback (most recent call last):
    quillstall.runtime.errors.Fault: conflict: generation 1 is in force, the base was 0
    """
    return OPS[command['op']](rows, command, now)


def rows_with_prefix(rows: Map, prefix: str) -> list[tuple[str, Any]]:
    """Return the rows whose keys have a prefix, sorted, with the prefix cut off the keys.

    The prefix ends with its only slash.

    >>> rows_with_prefix(Map({'a/2': 1, 'a/1': 0, 'b': 2}), 'a/')
    [('1', 0), ('2', 1)]
    """
    return list(_index.lookup(rows, prefix))


class _PrefixIndex:
    """Caches the sorted rows by key prefix for the tables that were read last.

    Tables are immutable, so an entry never becomes stale. Without the cache every lookup would scan the whole
    table, which the record of requests makes long."""

    def __init__(self) -> None:
        self.tables: OrderedDict[int, tuple[Map, dict[str, list]]] = OrderedDict()

    def lookup(self, rows: Map, prefix: str) -> list[tuple[str, Any]]:
        entry = self.tables.get(id(rows))
        if entry is None:  # the entry references its table, so no other table can get the same id
            entry = self.tables[id(rows)] = (rows, {})
            if len(self.tables) > MAX_INDEXED_TABLES:
                self.tables.popitem(last=False)
        self.tables.move_to_end(id(rows))
        matches = entry[1].get(prefix)
        if matches is None:
            matches = sorted((k[len(prefix) :], v) for k, v in rows.items() if k.startswith(prefix))
            entry[1][prefix] = matches
        return matches


_index = _PrefixIndex()


def confirm(rows: Map, command: dict, now: datetime) -> tuple[tuple, dict]:
    """Return the rows at this position of the command log, for a linearizable read.

    Once this command is committed, so is all that these rows hold. The replica's current rows may by then hold
    changes that are not committed yet.

    >>> confirm(Map({'gen': 1}), {'op': 'confirm'}, None)[1]['rows']['gen']
    1
    """
    return (), {'ok': True, 'rows': rows}


def recorded_answer(rows: Map, command: dict) -> dict | None:
    """Return the answer on record for the command's request id, or None."""
    outcome = requests.find(rows, command.get('id'))
    return outcome.answer() if outcome else None


def advance_generation(
    rows: Map, command: dict, changes: tuple, version: int | None = None
) -> tuple[tuple, dict]:
    """Add the next generation and the record of the request to the changes; return them and the answer."""
    outcome = requests.Outcome(rows.get('gen', 0) + 1, version)
    changes += (('gen', outcome.generation),) + requests.record(rows, command.get('id'), outcome)
    return changes, outcome.answer()


def put_policy(rows: Map, command: dict, now: datetime) -> tuple[tuple, dict]:
    """Replace or patch the policy. Of two changes with the same base, the first one applied wins."""
    answer = recorded_answer(rows, command)
    if answer:
        return (), answer
    generation = rows.get('gen', 0)
    policy_generation = rows.get('policy_gen', 0)
    if command.get('numbered'):
        return put_numbered_policy(rows, command)
    if command.get('base') is not None and command['base'] not in (generation, policy_generation):
        requests.check_never_dropped(rows, command.get('id'), command['base'], None)
        raise Fault(
            'conflict',
            f'generation {generation} is in force, the base was {command["base"]}',
            more={'generation': generation},
        )
    body = (
        merge_patch(rows.get('policy') or {}, command['body']) if command.get('partial') else command['body']
    )
    findings = check(body)
    if findings:
        raise Fault('invalid', f'{len(findings)} findings', tuple(findings))
    replica_names = {n for p in body['pools'].values() for n in p['replicas']}
    removals = tuple(
        (f'leaving/{n}', None) for n, _ in rows_with_prefix(rows, 'leaving/') if n not in replica_names
    )
    removals += (('source', None),) if 'source' in rows else ()
    changes, reply = advance_generation(rows, command, (('policy', body),) + removals)
    return changes + (('policy_gen', reply['generation']),), reply


def put_numbered_policy(rows: Map, command: dict) -> tuple[tuple, dict]:
    """Replace the policy by one that carries its operator's own version number, which must rise.

    `base` is the version that the change builds on. The operator's original document is stored with the policy.

    >>> empty = {'classes': {}, 'routes': {}, 'pools': {}}
    >>> put = {'op': 'apply', 'numbered': True, 'base': 0, 'body': {**empty, 'version': 5}, 'source': {'a': 1}}
    >>> changes, reply = put_numbered_policy(Map(), put); reply['version'], dict(changes)['source']
    (5, {'a': 1})
    >>> put_numbered_policy(Map(dict(changes)), {**put, 'base': 5})
    Traceback (most recent call last):
    quillstall.runtime.errors.Fault: invalid: 1 findings
    """
    body = command['body']
    current = (rows.get('policy') or {}).get('version', 0)
    if command.get('base') is not None and command['base'] != current:
        requests.check_never_dropped(rows, command.get('id'), None, body.get('version'))
        raise Fault(
            'conflict',
            f'version {current} is in force, the base was {command["base"]}',
            more={'version': current},
        )
    findings = check(body)
    if not findings and body.get('version', 0) <= current:
        requests.check_never_dropped(rows, command.get('id'), None, body.get('version'))
        findings = [('version', f'is {body.get("version")}, must be above {current}')]
    if findings:
        raise Fault('invalid', f'{len(findings)} findings', tuple(findings))
    changes, reply = advance_generation(
        rows, command, (('policy', body), ('source', command.get('source'))), body['version']
    )
    return changes + (('policy_gen', reply['generation']),), reply


def set_replicas_leaving(rows: Map, command: dict, now: datetime) -> tuple[tuple, dict]:
    """Mark replicas as leaving, so that they are sent no new requests; with `back`, remove the mark."""
    answer = recorded_answer(rows, command)
    if answer:
        return (), answer
    policy = rows.get('policy') or {'pools': {}}
    known = {n for p in policy['pools'].values() for n in p['replicas']}
    findings = tuple((f'replicas.{n}', 'is in no pool') for n in command['replicas'] if n not in known)
    if findings or not command['replicas']:
        raise Fault('unknown_name', 'no such replica', findings or (('replicas', 'names none'),))
    since = None if command.get('back') else now.isoformat()
    return advance_generation(rows, command, tuple((f'leaving/{n}', since) for n in command['replicas']))


def add_store(rows: Map, command: dict, now: datetime) -> tuple[tuple, dict]:
    """Add a store that is new to the fleet, or update one whose address has changed.

    A store with the address of one that was retiring and lost its disk is retiring too.

    >>> rows = Map({'member/a-1': {'role': 'store', 'address': 'x', 'zone': 'z', 'state': 'retiring'}})
    >>> command = {'op': 'join', 'member': 'a-2', 'role': 'store', 'address': 'x', 'zone': 'z'}
    >>> changes = dict(add_store(rows, command, None)[0])
    >>> changes['member/a-1']['state'], changes['member/a-2']['state']
    ('replaced', 'retiring')
    """
    key = f'member/{command["member"]}'
    row = rows.get(key)
    replaced = {
        n: r
        for n, r in rows_with_prefix(rows, 'member/')
        if r['address'] == command['address'] and n != command['member'] and r['state'] != 'replaced'
    }
    retiring = any(r['state'] == 'retiring' and not r.get('emptied') for r in replaced.values())
    updated = {
        **(row or {'state': 'retiring' if retiring else 'in'}),
        'role': command['role'],
        'address': command['address'],
        'zone': command['zone'],
    }
    if row == updated:
        return (), {'ok': True}
    replaced_rows = tuple((f'member/{n}', {**r, 'state': 'replaced'}) for n, r in replaced.items())
    return (((key, updated), ('place', rows.get('place', 0) + 1)) + replaced_rows, {'ok': True})


def place_partitions(rows: Map, command: dict, now: datetime) -> tuple[tuple, dict]:
    """Create all partitions and place their copies on stores, unless there are partitions already."""
    if rows_with_prefix(rows, 'part/'):
        return (), {'ok': True}
    changes: tuple = (('place', rows.get('place', 0) + 1),)
    for n in range(command['parts']):
        partition = f'p{n:02d}'
        changes += (
            (
                f'part/{partition}',
                (1, 0, *rank_across_zones(partition, command['zones'])[: command.get('copies', 2)]),
            ),
        )
    return changes, {'ok': True}


def grant_replica_set(rows: Map, command: dict, now: datetime) -> tuple[tuple, dict]:
    """Install a replica set if it succeeds the current one; either way reply with the one in force."""
    key = f'part/{command["part"]}'
    current = tuple(rows[key])
    requested = tuple(command['seat'])
    if requested[1] != current[0] or requested[0] != current[0] + 1:
        return (), {'ok': requested == current, 'seat': list(current)}
    return ((key, requested), ('place', rows.get('place', 0) + 1)), {'ok': True, 'seat': list(requested)}


def retire(rows: Map, command: dict, now: datetime) -> tuple[tuple, dict]:
    """Start to retire a store. Fault 'refused': too few would be left, or another one is retiring.

    >>> row = lambda zone, state='in': {'address': 'x', 'zone': zone, 'state': state}
    >>> rows = Map({'member/a': row('1', 'retiring'), 'member/b': row('2'), 'member/c': row('3'),
    ...             'member/d': row('1'), 'part/p00': (1, 0, 'a', 'b')})
    >>> command = {'op': 'retire', 'live': ['a', 'b', 'c', 'd']}
    >>> retire(rows, {**command, 'name': 'c'}, None)
    Traceback (most recent call last):
    quillstall.runtime.errors.Fault: refused: a is still retiring
    >>> rows = rows.set('part/p00', (2, 1, 'd', 'b')).set('member/a', {**row('1', 'retiring'), 'emptied': True})
    >>> retire(rows, {**command, 'name': 'c'}, None)[1]['ok']
    True
    >>> retire(rows, {**command, 'name': 'c', 'live': ['b']}, None)
    Traceback (most recent call last):
    quillstall.runtime.errors.Fault: refused: 1 live stores in 1 zones would be left; 2 in two are needed
    """
    members = dict(rows_with_prefix(rows, 'member/'))
    matches = [
        n for n, r in members.items() if command['name'] in (n, r['address']) and r['state'] != 'replaced'
    ]
    if not matches:
        raise Fault('unknown_name', f'no store {command["name"]!r}')
    name = matches[0]
    row = members[name]
    if row['state'] == 'retiring':
        return (), {'ok': True, 'member': name}
    retiring = [n for n, r in members.items() if r['state'] == 'retiring' and not r.get('emptied')]
    if retiring:
        raise Fault('refused', f'{retiring[0]} is still retiring')
    remaining_zones = {
        r['zone'] for n, r in members.items() if n != name and r['state'] == 'in' and n in command['live']
    }
    remaining = sum(
        1 for n, r in members.items() if n != name and r['state'] == 'in' and n in command['live']
    )
    copies = command.get('copies', 2)
    if remaining < copies or len(remaining_zones) < 2:
        raise Fault(
            'refused',
            f'{remaining} live stores in {len(remaining_zones)} zones would be left; {copies} in two are needed',
        )
    return (
        ((f'member/{name}', {**row, 'state': 'retiring'}), ('place', rows.get('place', 0) + 1)),
        {'ok': True, 'member': name},
    )


def partitions_on_store(rows: Map, member: str) -> int:
    """Return how many partitions have a copy on a store.

    >>> partitions_on_store(Map({'part/p00': (1, 0, 'a', 'b')}), 'a')
    1
    """
    return sum(1 for _, row in rows_with_prefix(rows, 'part/') if member in row[2:])


def record_retirement(rows: Map, command: dict, now: datetime) -> tuple[tuple, dict]:
    """Record that a retiring store is no longer needed.

    That holds once every partition has all its copies on other live members, and the register is settled
    without this store. The record is final, since the store can be switched off at any time after it.

    >>> row = lambda state='in': {'role': 'store', 'address': 'x', 'zone': 'z', 'state': state}
    >>> rows = Map({'member/a': row('retiring'), 'member/b': row(), 'member/c': row(),
    ...             'part/p00': (2, 1, 'b')})
    >>> command = {'op': 'emptied', 'name': 'a', 'live': ['b', 'c'], 'copies': 2}
    >>> (record_retirement(rows, command, None)[0],
    ...  dict(record_retirement(rows.set('part/p00', (3, 2, 'b', 'c')), command, None)[0]))
    ((), {'member/a': {'role': 'store', 'address': 'x', 'zone': 'z', 'state': 'retiring', 'emptied': True}})
    """
    key = f'member/{command["name"]}'
    row = rows.get(key)
    register = rows.get('register') or {'now': {}, 'old': {}}
    if (
        row is None
        or row['state'] != 'retiring'
        or row.get('emptied')
        or register['old']
        or command['name'] in register['now']
        or not fully_replicated(rows, command['live'], command['copies'])
    ):
        return (), {'ok': True}
    return ((key, {**row, 'emptied': True}),), {'ok': True}


def fully_replicated(rows: Map, live: list, copies: int) -> bool:
    """Whether every partition has that many copies, all of them on live members that are not retiring.

    >>> rows = Map({'member/b': {'state': 'in'}, 'member/c': {'state': 'in'}, 'part/p00': (1, 0, 'b', 'c')})
    >>> (fully_replicated(rows, ['b', 'c'], 2), fully_replicated(rows, ['b'], 2),
    ...  fully_replicated(rows, ['b', 'c'], 3))
    (True, False, False)
    """
    eligible = {n for n, r in rows_with_prefix(rows, 'member/') if r['state'] == 'in' and n in live}
    return all(
        len(row[2:]) >= copies and eligible.issuperset(row[2:]) for _, row in rows_with_prefix(rows, 'part/')
    )


def remember_node_address(rows: Map, command: dict, now: datetime) -> tuple[tuple, dict]:
    """Store a routing node's address, so that the core can contact it after it was out of reach.

    The oldest addresses are dropped where there are too many.

    >>> dict(remember_node_address(Map(), {'address': '1:1'}, datetime(2026, 1, 1))[0])['known/1:1']
    '2026-01-01T00:00:00'
    """
    key = f'known/{command["address"]}'
    if key in rows:
        return (), {'ok': True}
    by_age = sorted((at, a) for a, at in rows_with_prefix(rows, 'known/'))
    removals = tuple((f'known/{a}', None) for _, a in by_age[: max(0, len(by_age) + 1 - MAX_KNOWN_ADDRESSES)])
    return removals + ((key, now.isoformat()), ('place', rows.get('place', 0) + 1)), {'ok': True}


def replace_register(rows: Map, command: dict, now: datetime) -> tuple[tuple, dict]:
    """Replace the register of stores, if its number is still the one that the command builds on.

    >>> command = {'op': 'enrol', 'base': 0, 'now': {'a': '1:1'}, 'old': {}}
    >>> changes, _ = replace_register(Map(), command, None); dict(changes)['register']['number']
    1
    >>> replace_register(Map(dict(changes)), command, None)[0]
    ()
    """
    if (rows.get('register') or {'number': 0})['number'] != command['base']:
        return (), {'ok': True}
    return (('register', {'number': command['base'] + 1, 'now': command['now'], 'old': command['old']}),), {
        'ok': True
    }


OPS = {
    'confirm': confirm,
    'apply': put_policy,
    'leaving': set_replicas_leaving,
    'join': add_store,
    'found': place_partitions,
    'seat': grant_replica_set,
    'retire': retire,
    'emptied': record_retirement,
    'enrol': replace_register,
    'know': remember_node_address,
}
