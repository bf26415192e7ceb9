"""Shelf: a store's table: program budgets, kept turns, once-records. Pure, like the book."""

from datetime import datetime
from itertools import islice
from typing import Any

from immutables import Map

from quillstall.controlplane import deduplication
from quillstall.runtime.errors import Fault

SWEEP_MOST = 200
SWEEP_ROWS = 2000  # how many rows one sweep looks at
SKEW_S = 300  # how far the clocks of machines may differ: what is kept is kept that much longer
KEPT_SKEW_S = (
    10  # the same for turns under their caller's own id, whose time counts from the store's own word
)
GIVEN_UP_MOST = 16  # tries of one key whose late claims are known by name
HOLD_S = 60  # how long past its deadline a hold without an outcome stays open


def apply(rows: Map, c: dict, now: datetime) -> tuple[tuple, dict]:
    """One command on a part's rows.

    >>> from datetime import UTC
    >>> t = datetime(2026, 1, 1, tzinfo=UTC)
    >>> ask = {'op': 'begin', 'program': 'p', 'turn': 'p.1', 'budget': 10, 'hold': 8, 'continues': None}
    >>> changes, ret = apply(Map(), ask, t); ret['history']
    []
    >>> rows = Map(dict(changes))
    >>> apply(rows, {**ask, 'turn': 'p.2'}, t)[1]['ok']       # 0 spent + 8 held < 10
    True
    >>> rows = rows.update(dict(apply(rows, {**ask, 'turn': 'p.2'}, t)[0]))
    >>> apply(rows, {**ask, 'turn': 'p.3'}, t)
    Traceback (most recent call last):
    quillstall.runtime.errors.Fault: budget: 0 spent and 16 held of 10
    """
    return OPS[c['op']](rows, c, now)


def begin(rows: Map, c: dict, now: datetime) -> tuple[tuple, dict]:
    """Hold tokens for a turn before it goes to a replica, and give the history it continues."""
    history = []
    conv = c['turn']
    if c.get('continues'):
        turn = deduplication.unpack(rows.get(f'turn/{c["continues"]}'))
        if turn is None:
            raise Fault('turn_unknown', c['continues'])
        conv = turn['conv']
        while turn is not None:
            history.append(
                [deduplication.restore(turn['prompt'], lambda name: rows[f'block/{name}'][0]), turn['text']]
            )
            turn = deduplication.unpack(rows.get(f'turn/{turn["prev"]}')) if turn['prev'] else None
        history.reverse()
    key = f'prog/{c["program"]}'
    prog = rows.get(key) or {'budget': c['budget'], 'spent': 0, 'holds': {}}
    if c['turn'] in prog['holds']:
        return (), {'ok': True, 'history': history, 'conv': conv}
    if f'done/{c["turn"]}' in rows:
        raise Fault('refused', 'this turn has ended')
    held = sum(h for h, _ in prog['holds'].values())
    caps = [b for b in (prog['budget'], c['budget']) if b is not None]
    if caps and prog['spent'] + held >= min(caps):
        raise Fault(
            'budget',
            f'{prog["spent"]} spent and {held} held of {min(caps)}',
            more={'spent': prog['spent'], 'held': held, 'budget': min(caps)},
        )
    holds = {**prog['holds'], c['turn']: (c['hold'], now.timestamp() + c.get('span_s', 0) + HOLD_S)}
    return (
        (
            key,
            {
                **prog,
                'budget': prog['budget'] if prog['budget'] is not None else c['budget'],
                'holds': holds,
                'at': now.timestamp(),
            },
        ),
    ), {'ok': True, 'history': history, 'conv': conv}


def end(rows: Map, c: dict, now: datetime) -> tuple[tuple, dict]:
    """Settle a turn's hold to what was used, and keep the turn if there is one to keep.

    A turn that ended is settled once: the mark `done/` makes a repeat harmless."""
    key, mark = f'prog/{c["program"]}', f'done/{c["turn"]}'
    if mark in rows:
        return (), {'ok': True}
    prog = rows.get(key)
    changes: tuple = ((mark, now.timestamp()),)
    if prog is not None:
        holds = {t: h for t, h in prog['holds'].items() if t != c['turn']}
        changes += (
            (key, {**prog, 'spent': prog['spent'] + c['used'], 'holds': holds, 'at': now.timestamp()}),
        )
    keep = c.get('keep')
    if keep:
        until = now.timestamp() + c['keeping_s']
        conv = rows.get(f'conv/{keep["conv"]}') or {'turns': (), 'until': 0}
        until = max(until, conv['until'])
        blocks, prompt = deduplication.extract_blocks(keep['prompt'])
        names = deduplication.block_digests(prompt)
        for before in conv['turns']:  # the conversation is kept longer: so is what its turns need
            names += deduplication.block_digests(deduplication.unpack(rows[f'turn/{before}'])['prompt'])
        changes += deduplication.retain_blocks(rows, blocks, names, until, c['keeping_s'])
        changes += (
            (f'turn/{c["turn"]}', deduplication.pack({**keep, 'prompt': prompt})),
            (f'conv/{keep["conv"]}', {'turns': tuple(conv['turns']) + (c['turn'],), 'until': until}),
        )
    return changes, {'ok': True, 'spent': prog['spent'] + c['used'] if prog else c['used']}


def once_begin(rows: Map, c: dict, now: datetime) -> tuple[tuple, dict]:
    """Mark once-work as begun; of one that was begun before, say what is known.

    >>> from datetime import UTC
    >>> t = datetime(2026, 1, 1, tzinfo=UTC)
    >>> ask = {'op': 'once_begin', 'key': 'k', 'digest': 'd', 'run': 'n1', 'until': 9e9}
    >>> changes, ret = once_begin(Map(), ask, t); ret['state']
    'fresh'
    >>> once_begin(Map(dict(changes)), {**ask, 'run': 'n2'}, t)[1]['state']
    'begun'
    >>> given_up = Map(dict(once_end(Map(), {'op': 'once_end', 'key': 'k', 'run': 'n1', 'void': True}, t)[0]))
    >>> once_begin(given_up, {**ask, 'run': 'n2'}, t)[1]['state']
    'fresh'
    >>> once_begin(given_up, ask, t)
    Traceback (most recent call last):
    quillstall.runtime.errors.Fault: refused: this try has been given up
    """
    key = f'once/{c["key"]}'
    row = deduplication.unpack(rows.get(key))
    if c['run'] in given_up(row):
        raise Fault('refused', 'this try has been given up')  # its claim came late, after that word
    if row is None or (row['state'] == 'void' and row['digest'] in (None, c['digest'])):
        fresh = {
            'state': 'begun',
            'digest': c['digest'],
            'run': c['run'],
            'at': now.timestamp(),
            'until': c['until'],
            'given_up': given_up(row),
        }
        return ((key, deduplication.pack(fresh)),), {'ok': True, 'state': 'fresh'}
    if row['digest'] != c['digest']:
        raise Fault('key_reused', 'the key came with another body before')
    if row['state'] == 'begun' and row['run'] == c['run']:
        return (), {'ok': True, 'state': 'fresh'}  # our own, asked again
    return (), {
        'ok': True,
        'state': row['state'],
        'ret': row.get('ret'),
        'age_s': now.timestamp() - row['at'],
    }


def given_up(row: dict | None) -> list[str]:
    """The runs that will certainly not happen, whatever claim of theirs still comes.

    >>> given_up({'state': 'void', 'run': 'n2', 'given_up': ['n1']}), given_up(None)
    (['n1', 'n2'], [])
    """
    if row is None:
        return []
    runs = list(row.get('given_up') or [])
    if row['state'] == 'void' and row['run'] not in runs:
        runs.append(row['run'])
    return runs[-GIVEN_UP_MOST:]


def once_end(rows: Map, c: dict, now: datetime) -> tuple[tuple, dict]:
    """Keep the return of once-work; or, with `void`, that this run of it certainly never happens."""
    key = f'once/{c["key"]}'
    row = deduplication.unpack(rows.get(key))
    if row is None and c.get('void'):
        row = {
            'state': 'begun',
            'digest': None,
            'run': c['run'],
            'at': now.timestamp(),
            'until': now.timestamp() + HOLD_S,
        }
    if row is None or row['state'] == 'done':
        return (), {'ok': True}
    if row['run'] != c['run']:
        return (give_up(key, row, c['run']) if c.get('void') else ()), {'ok': True}
    if row['state'] != 'begun':
        return (), {'ok': True}
    state = 'void' if c.get('void') else 'done'
    return ((key, deduplication.pack({**row, 'state': state, 'ret': c.get('ret')})),), {'ok': True}


def give_up(key: str, row: dict, run: str) -> tuple:
    """The change that remembers in another run's row that this run will not happen."""
    runs = given_up(row)
    if run in runs:
        return ()
    return ((key, deduplication.pack({**row, 'given_up': [*runs, run][-GIVEN_UP_MOST:]})),)


def turn_begin(rows: Map, c: dict, now: datetime) -> tuple[tuple, dict]:
    """Hold tokens of a program for a turn that has its caller's own id, and give what was said before it,
    unless whoever asks has that already (`has`).

    >>> from datetime import UTC
    >>> t = datetime(2026, 1, 1, tzinfo=UTC)
    >>> ask = {'op': 'turn_begin', 'program': 'p', 'turn': 'a', 'budget': 10, 'hold': 8, 'previous': None}
    >>> rows = Map(dict(turn_begin(Map(), ask, t)[0]))
    >>> done = {'op': 'turn_end', 'program': 'p', 'turn': 'a', 'used': 6, 'keeping_s': 60,
    ...         'keep': {'previous': None, 'data': b'hi'}}
    >>> rows = rows.update(dict(turn_end(rows, done, t)[0])); rows['prog/p']['spent']
    6
    >>> turn_begin(rows, {**ask, 'turn': 'b', 'previous': 'a'}, t)[1]['chain']
    [b'hi']
    >>> turn_begin(rows, {**ask, 'turn': 'b', 'previous': 'x'}, t)
    Traceback (most recent call last):
    quillstall.runtime.errors.Fault: turn_unknown: x
    """
    chain: list = []
    if c.get('previous') and not c.get('has'):
        chain = chain_of(rows, c['previous'])
    key = f'prog/{c["program"]}'
    prog = rows.get(key) or {'budget': c['budget'], 'spent': 0, 'holds': {}}
    if c['turn'] in prog['holds']:
        return (), {'ok': True, 'chain': chain}
    if f'done/{c["turn"]}' in rows:
        raise Fault('refused', 'this turn has ended')
    held = sum(h for h, _ in prog['holds'].values())
    caps = [b for b in (prog['budget'], c['budget']) if b is not None]
    if caps and prog['spent'] + held >= min(caps):
        raise Fault(
            'budget',
            f'{prog["spent"]} spent and {held} held of {min(caps)}',
            more={'spent': prog['spent'], 'held': held, 'budget': min(caps)},
        )
    holds = {**prog['holds'], c['turn']: (c['hold'], now.timestamp() + c.get('span_s', 0) + HOLD_S)}
    return (
        (
            key,
            {
                **prog,
                'budget': prog['budget'] if prog['budget'] is not None else c['budget'],
                'holds': holds,
                'at': now.timestamp(),
            },
        ),
    ), {'ok': True, 'chain': chain}


def chain_of(rows: Map, turn: str) -> list:
    """What was said, from the oldest turn to this one; Fault 'turn_unknown' if it is not kept here.

    >>> chain_of(Map({'kept/a': [None, 9e9, b'x'], 'kept/b': ['a', 9e9, b'y']}), 'b')
    [b'x', b'y']
    """
    out, at = [], turn
    while at is not None:
        row = rows.get(f'kept/{at}')
        if row is None:
            raise Fault('turn_unknown', turn)
        out.append(row[2])
        at = row[0]
    out.reverse()
    return out


def turn_find(rows: Map, c: dict, now: datetime) -> tuple[tuple, dict]:
    """What was said up to a turn, whichever program it was of: `{'op': 'turn_find', 'previous': 'a'}`."""
    return (), {'ok': True, 'chain': chain_of(rows, c['previous'])}


def turn_end(rows: Map, c: dict, now: datetime) -> tuple[tuple, dict]:
    """Settle a turn's hold to what was put out, and keep the turn if it is to be kept; see `turn_begin`."""
    key, mark = f'prog/{c["program"]}', f'done/{c["turn"]}'
    if mark in rows:
        return (), {'ok': True}
    changes: tuple = ((mark, now.timestamp()),)
    prog = rows.get(key)
    if prog is None and c['used']:
        prog = {'budget': None, 'spent': 0, 'holds': {}}
    if prog is not None:
        holds = {t: h for t, h in prog['holds'].items() if t != c['turn']}
        changes += (
            (key, {**prog, 'spent': prog['spent'] + c['used'], 'holds': holds, 'at': now.timestamp()}),
        )
    keep = c.get('keep')
    if keep:
        changes += (
            (f'kept/{c["turn"]}', (keep['previous'], now.timestamp() + c['keeping_s'], keep['data'])),
        )
    return changes, {'ok': True}


def expired(rows: Map, past: float) -> tuple:
    """The kept turns that neither are within their time nor lead to one that is.

    >>> rows = Map({'kept/a': [None, 5, b''], 'kept/b': ['a', 9, b''], 'kept/c': [None, 6, b'']})
    >>> expired(rows, 7)
    ('kept/c',)
    """
    kept = {k[5:]: row for k, row in rows.items() if k.startswith('kept/')}
    if all(row[1] >= past for row in kept.values()):
        return ()
    live: set = set()
    for turn, row in kept.items():
        while row is not None and row[1] >= past and turn not in live:
            live.add(turn)
            turn = row[0]
            row = kept.get(turn)
            if row is not None and row[1] < past:
                row = (row[0], past, b'')  # older, but what follows it is still kept
    return tuple(f'kept/{t}' for t in sorted(kept) if t not in live)


def sweep(rows: Map, c: dict, now: datetime) -> tuple[tuple, dict]:
    """Take out what is past its keeping time by more than clocks may differ, and charge in full the holds
    whose outcome never came. Each sweep looks at some rows, from where the last one stopped.

    >>> from datetime import UTC
    >>> t = datetime(2026, 1, 1, tzinfo=UTC)
    >>> old = Map({'once/a': deduplication.pack({'until': t.timestamp() - SKEW_S - 1}), 'once/b': deduplication.pack(
    ...     {'until': t.timestamp() - SKEW_S + 1}), 'block/c': ['text', t.timestamp() - SKEW_S - 1]})
    >>> changes, ret = sweep(old, {'program_s': 60, 'from': 0}, t); sorted(changes), ret['at']
    ([('block/c', None), ('once/a', None)], 0)
    """
    at = now.timestamp()
    past = at - SKEW_S
    start, changes = c['from'], ()
    if start == 0:
        changes = tuple((key, None) for key in expired(rows, at - KEPT_SKEW_S)[:SWEEP_MOST])
    seen = 0
    for key, row in islice(rows.items(), start, start + SWEEP_ROWS):
        if len(changes) > SWEEP_MOST:
            break
        seen += 1
        kind = key.partition('/')[0]
        if kind == 'once' and deduplication.unpack(row)['until'] < past:
            changes += ((key, None),)
        elif kind == 'block' and row[1] < past:
            changes += ((key, None),)
        elif kind == 'conv' and row['until'] < past:
            changes += ((key, None),) + tuple((f'turn/{t}', None) for t in row['turns'])
        elif kind == 'done' and row < past - 3600:
            changes += ((key, None),)
        elif kind == 'prog':
            old = {t: h for t, h in row['holds'].items() if h[1] < past}
            if old:
                holds = {t: h for t, h in row['holds'].items() if t not in old}
                spent = row['spent'] + sum(h for h, _ in old.values())
                changes += ((key, {**row, 'holds': holds, 'spent': spent}),)
                changes += tuple((f'done/{t}', at) for t in old)
            elif row['at'] < past - c['program_s']:
                changes += ((key, None),)
    done = start + seen - sum(1 for _, value in changes if value is None)
    return changes, {
        'ok': True,
        'swept': len(changes),
        'at': 0 if start + seen >= len(rows) else max(0, done),
    }


def confirm(rows: Map, c: dict, now: datetime) -> tuple[tuple, dict]:
    return (), {'ok': True}


OPS: dict[str, Any] = {
    'begin': begin,
    'end': end,
    'once_begin': once_begin,
    'once_end': once_end,
    'turn_begin': turn_begin,
    'turn_end': turn_end,
    'turn_find': turn_find,
    'sweep': sweep,
    'confirm': confirm,
}
