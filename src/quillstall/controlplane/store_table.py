"""The replicated table of the stores: token budgets of programs, retained turns and keyed operations.

Its commands are pure functions: from the rows and a command they return the changes of rows and the reply.
"""

from datetime import datetime
from itertools import islice
from typing import Any

from immutables import Map

from quillstall.controlplane import deduplication
from quillstall.controlplane.reservations import RESERVATION_GRACE_S, charge, expiry, reserve
from quillstall.runtime.errors import Fault

MAX_SWEEP_CHANGES = 200
SWEEP_ROWS = 2000  # examined by one sweep
SKEW_S = 300  # how far the clocks of machines may differ; rows are retained that much longer
RETAINED_TURN_SKEW_S = (
    10  # the same for turns with an id of their caller, as the store's own clock sets their end
)
MAX_ABANDONED_ATTEMPTS = 16  # of one key, whose late claims are still recognized


def apply(rows: Map, command: dict, now: datetime) -> tuple[tuple, dict]:
    """Apply one command to the rows of a partition; return the changes of rows and the reply.

    >>> from datetime import UTC
    >>> t = datetime(2026, 1, 1, tzinfo=UTC)
    >>> begin = {'op': 'begin', 'program': 'p', 'turn': 'p.1', 'budget': 10, 'hold': 8, 'continues': None}
    >>> changes, reply = apply(Map(), begin, t); reply['history']
    []
    >>> rows = Map(dict(changes))
    >>> apply(rows, {**begin, 'turn': 'p.2'}, t)[1]['ok']       # 0 spent + 8 reserved < 10
    True
    >>> rows = rows.update(dict(apply(rows, {**begin, 'turn': 'p.2'}, t)[0]))
    >>> apply(rows, {**begin, 'turn': 'p.3'}, t)
    Traceback (most recent call last):
    quillstall.runtime.errors.Fault: budget: 0 spent and 16 held of 10
    """
    return OPS[command['op']](rows, command, now)


def begin(rows: Map, command: dict, now: datetime) -> tuple[tuple, dict]:
    """Reserve tokens for a turn before it is sent to a replica; reply with the history that it continues.

    That conversation is retained at least as long as the turn's outcome is awaited."""
    if not command.get('continues'):
        return reserve(rows, command, now), {'ok': True, 'history': [], 'conv': command['turn']}
    history = conversation_history(rows, command['continues'])
    conversation = deduplication.unpack(rows[f'turn/{command["continues"]}'])['conv']
    changes = reserve(rows, command, now)
    if changes:
        changes += extend_conversation(rows, conversation, expiry(command, now))
    return changes, {'ok': True, 'history': history, 'conv': conversation}


def conversation_history(rows: Map, turn_id: str) -> list:
    """Return the prompt and the text of each turn of a conversation, from the oldest to this one.

    Raises Fault 'turn_unknown' if one of them is not retained."""
    history, current = [], turn_id
    while current:
        turn = deduplication.unpack(rows.get(f'turn/{current}'))
        if turn is None:
            raise Fault('turn_unknown', turn_id)
        prompt = deduplication.restore(turn['prompt'], lambda digest: rows[f'block/{digest}'][0])
        history.append([prompt, turn['text']])
        current = turn['prev']
    history.reverse()
    return history


def conversation_digests(rows: Map, conversation: dict) -> list[str]:
    """Return the digests of the blocks that the turns of a conversation refer to."""
    digests: list[str] = []
    for turn in conversation['turns']:
        digests += deduplication.block_digests(deduplication.unpack(rows[f'turn/{turn}'])['prompt'])
    return digests


def extend_conversation(rows: Map, conversation_id: str, until: float) -> tuple:
    """Return the changes that retain a conversation and its blocks until then at least.

    >>> turn = deduplication.pack({'prompt': [['d'], ''], 'text': '', 'prev': None, 'conv': 'c'})
    >>> rows = Map({'conv/c': {'turns': ('a',), 'until': 5.0}, 'turn/a': turn, 'block/d': ['text', 5.0]})
    >>> extend_conversation(rows, 'c', 7.0)
    (('conv/c', {'turns': ('a',), 'until': 7.0}), ('block/d', ['text', 7.0]))
    >>> extend_conversation(rows, 'c', 4.0)
    ()
    """
    conversation = rows[f'conv/{conversation_id}']
    if conversation['until'] >= until:
        return ()
    digests = conversation_digests(rows, conversation)
    extended = (f'conv/{conversation_id}', {**conversation, 'until': until})
    return (extended, *deduplication.retain_blocks(rows, {}, digests, until, 0))


def end(rows: Map, command: dict, now: datetime) -> tuple[tuple, dict]:
    """Replace a turn's reservation by the tokens it used, and retain the turn if the command holds it.

    The row `done/` makes the command idempotent."""
    done_key = f'done/{command["turn"]}'
    if done_key in rows:
        return (), {'ok': True}
    program = rows.get(f'prog/{command["program"]}')
    changes: tuple = ((done_key, now.timestamp()),)
    if program is not None:
        changes += charge(program, command, now)
    keep = command.get('keep')
    if keep:
        until = now.timestamp() + command['keeping_s']
        conversation = rows.get(f'conv/{keep["conv"]}') or {'turns': (), 'until': 0}
        until = max(until, conversation['until'])
        blocks, prompt = deduplication.extract_blocks(keep['prompt'])
        digests = deduplication.block_digests(prompt)
        digests += conversation_digests(rows, conversation)  # retained as long as the conversation
        changes += deduplication.retain_blocks(rows, blocks, digests, until, command['keeping_s'])
        changes += (
            (f'turn/{command["turn"]}', deduplication.pack({**keep, 'prompt': prompt})),
            (
                f'conv/{keep["conv"]}',
                {'turns': tuple(conversation['turns']) + (command['turn'],), 'until': until},
            ),
        )
    return changes, {
        'ok': True,
        'spent': program['spent'] + command['used'] if program else command['used'],
    }


def once_begin(rows: Map, command: dict, now: datetime) -> tuple[tuple, dict]:
    """Claim a keyed operation for one attempt; if it has begun before, reply with its recorded state.

    >>> from datetime import UTC
    >>> t = datetime(2026, 1, 1, tzinfo=UTC)
    >>> claim = {'op': 'once_begin', 'key': 'k', 'digest': 'd', 'run': 'n1', 'until': 9e9}
    >>> changes, reply = once_begin(Map(), claim, t); reply['state']
    'fresh'
    >>> once_begin(Map(dict(changes)), {**claim, 'run': 'n2'}, t)[1]['state']
    'begun'
    >>> abandoned = Map(dict(once_end(Map(), {'op': 'once_end', 'key': 'k', 'run': 'n1', 'void': True}, t)[0]))
    >>> once_begin(abandoned, {**claim, 'run': 'n2'}, t)[1]['state']
    'fresh'
    >>> once_begin(abandoned, claim, t)
    Traceback (most recent call last):
    quillstall.runtime.errors.Fault: refused: this try has been given up
    """
    key = f'once/{command["key"]}'
    row = deduplication.unpack(rows.get(key))
    if command['run'] in abandoned_attempts(row):
        raise Fault('refused', 'this try has been given up')  # the claim arrived after its void
    if row is None or (row['state'] == 'void' and row['digest'] in (None, command['digest'])):
        claimed = {
            'state': 'begun',
            'digest': command['digest'],
            'run': command['run'],
            'at': now.timestamp(),
            'until': command['until'],
            'given_up': abandoned_attempts(row),
        }
        return ((key, deduplication.pack(claimed)),), {'ok': True, 'state': 'fresh'}
    if row['digest'] != command['digest']:
        raise Fault('key_reused', 'the key came with another body before')
    if row['state'] == 'begun' and row['run'] == command['run']:
        return (), {'ok': True, 'state': 'fresh'}  # the claim of the same attempt, sent again
    return (), {
        'ok': True,
        'state': row['state'],
        'ret': row.get('ret'),
        'age_s': now.timestamp() - row['at'],
    }


def abandoned_attempts(row: dict | None) -> list[str]:
    """Return the attempts that are certain not to run the operation, even if a claim of theirs still arrives.

    >>> abandoned_attempts({'state': 'void', 'run': 'n2', 'given_up': ['n1']}), abandoned_attempts(None)
    (['n1', 'n2'], [])
    """
    if row is None:
        return []
    attempts = list(row.get('given_up') or [])
    if row['state'] == 'void' and row['run'] not in attempts:
        attempts.append(row['run'])
    return attempts[-MAX_ABANDONED_ATTEMPTS:]


def once_end(rows: Map, command: dict, now: datetime) -> tuple[tuple, dict]:
    """Record the reply of a keyed operation or, with `void`, that this attempt is certain not to run it."""
    key = f'once/{command["key"]}'
    row = deduplication.unpack(rows.get(key))
    if row is None and command.get('void'):
        row = {
            'state': 'begun',
            'digest': None,
            'run': command['run'],
            'at': now.timestamp(),
            'until': now.timestamp() + RESERVATION_GRACE_S,
        }
    if row is None or row['state'] == 'done':
        return (), {'ok': True}
    if row['run'] != command['run']:
        return (abandon(key, row, command['run']) if command.get('void') else ()), {'ok': True}
    if row['state'] != 'begun':
        return (), {'ok': True}
    state = 'void' if command.get('void') else 'done'
    return ((key, deduplication.pack({**row, 'state': state, 'ret': command.get('ret')})),), {'ok': True}


def abandon(key: str, row: dict, attempt: str) -> tuple:
    """Return the change that adds an abandoned attempt to the row of an operation that another one claimed."""
    attempts = abandoned_attempts(row)
    if attempt in attempts:
        return ()
    return ((key, deduplication.pack({**row, 'given_up': [*attempts, attempt][-MAX_ABANDONED_ATTEMPTS:]})),)


def turn_begin(rows: Map, command: dict, now: datetime) -> tuple[tuple, dict]:
    """Reserve tokens of a program for a turn with an id of its caller; reply with the history before it.

    The history is left out if the sender has it already (`has`).

    >>> from datetime import UTC
    >>> t = datetime(2026, 1, 1, tzinfo=UTC)
    >>> begin = {'op': 'turn_begin', 'program': 'p', 'turn': 'a', 'budget': 10, 'hold': 8, 'previous': None}
    >>> rows = Map(dict(turn_begin(Map(), begin, t)[0]))
    >>> end = {'op': 'turn_end', 'program': 'p', 'turn': 'a', 'used': 6, 'keeping_s': 60,
    ...        'keep': {'previous': None, 'data': b'hi'}}
    >>> rows = rows.update(dict(turn_end(rows, end, t)[0])); rows['prog/p']['spent']
    6
    >>> turn_begin(rows, {**begin, 'turn': 'b', 'previous': 'a'}, t)[1]['chain']
    [b'hi']
    >>> turn_begin(rows, {**begin, 'turn': 'b', 'previous': 'x'}, t)
    Traceback (most recent call last):
    quillstall.runtime.errors.Fault: turn_unknown: x
    """
    history: list = []
    if command.get('previous') and not command.get('has'):
        history = turn_history(rows, command['previous'], now)
    return reserve(rows, command, now), {'ok': True, 'chain': history}


def turn_history(rows: Map, turn: str, now: datetime) -> list:
    """Return the data of the turns from the oldest to this one. Fault 'turn_unknown': one is not retained.

    >>> from datetime import UTC
    >>> now = datetime.fromtimestamp(5, UTC)
    >>> turn_history(Map({'kept/a': [None, 9, b'x'], 'kept/b': ['a', 9, b'y']}), 'b', now)
    [b'x', b'y']
    >>> try:
    ...     turn_history(Map({'kept/b': ['a', 9, b'y']}), 'b', now)
    ... except Fault as e:
    ...     e.code, e.more
    ('turn_unknown', {'broken': True})
    """
    history, current = [], turn
    while current is not None:
        row = rows.get(f'kept/{current}')
        if row is None:
            last = rows.get(f'kept/{turn}')
            broken = last is not None and last[1] >= now.timestamp()
            raise Fault('turn_unknown', turn, more={'broken': True} if broken else None)
        history.append(row[2])
        current = row[0]
    history.reverse()
    return history


def has_whole_chain(rows: Map, turn: str | None) -> bool:
    """Return whether a turn and all turns before it are retained; there is none before the first.

    >>> rows = Map({'kept/a': [None, 9, b'x'], 'kept/b': ['a', 9, b'y'], 'kept/d': ['c', 9, b'z']})
    >>> has_whole_chain(rows, 'b'), has_whole_chain(rows, None), has_whole_chain(rows, 'd')
    (True, True, False)
    """
    while turn is not None:
        row = rows.get(f'kept/{turn}')
        if row is None:
            return False
        turn = row[0]
    return True


def turn_find(rows: Map, command: dict, now: datetime) -> tuple[tuple, dict]:
    """Reply with the history up to a turn of any program: `{'op': 'turn_find', 'previous': 'a'}`."""
    return (), {'ok': True, 'chain': turn_history(rows, command['previous'], now)}


def turn_end(rows: Map, command: dict, now: datetime) -> tuple[tuple, dict]:
    """Replace a turn's reservation by the tokens generated, and retain the turn if asked; see `turn_begin`.

    With `whole`, raises Fault 'turn_unknown' and changes nothing if the turns before it are not all retained: they
    may have expired while it ran. A turn that was charged before, such as one whose reservation was swept, is
    retained all the same.

    >>> from datetime import UTC
    >>> end = {'op': 'turn_end', 'program': 'p', 'turn': 'b', 'used': 6, 'keeping_s': 60, 'whole': True}
    >>> turn_end(Map(), {**end, 'keep': {'previous': 'a', 'data': b'hi'}}, datetime(2026, 1, 1, tzinfo=UTC))
    Traceback (most recent call last):
    quillstall.runtime.errors.Fault: turn_unknown: a
    >>> changes, _ = turn_end(Map({'done/b': 1.0}), {**end, 'keep': {'previous': None, 'data': b'hi'}},
    ...                       datetime(2026, 1, 1, tzinfo=UTC))
    >>> [key for key, _ in changes]
    ['kept/b']
    """
    done_key, kept_key = f'done/{command["turn"]}', f'kept/{command["turn"]}'
    keep = command.get('keep') if kept_key not in rows else None
    if keep and command.get('whole') and not has_whole_chain(rows, keep['previous']):
        raise Fault('turn_unknown', keep['previous'])
    changes: tuple = ()
    if done_key not in rows:
        changes += ((done_key, now.timestamp()),)
        program = rows.get(f'prog/{command["program"]}')
        if program is None and command['used']:
            program = {'budget': None, 'spent': 0, 'holds': {}}
        if program is not None:
            changes += charge(program, command, now)
    if keep:
        changes += ((kept_key, (keep['previous'], now.timestamp() + command['keeping_s'], keep['data'])),)
    return changes, {'ok': True}


def expired_turns(rows: Map, cutoff: float) -> tuple:
    """Return the keys of the retained turns that have expired and that no unexpired turn continues.

    >>> rows = Map({'kept/a': [None, 5, b''], 'kept/b': ['a', 9, b''], 'kept/c': [None, 6, b'']})
    >>> expired_turns(rows, 7)
    ('kept/c',)
    """
    retained = {k[5:]: row for k, row in rows.items() if k.startswith('kept/')}
    if all(row[1] >= cutoff for row in retained.values()):
        return ()
    needed: set = set()
    for turn, row in retained.items():
        while row is not None and row[1] >= cutoff and turn not in needed:
            needed.add(turn)
            turn = row[0]
            row = retained.get(turn)
            if row is not None and row[1] < cutoff:
                row = (row[0], cutoff, b'')  # expired, but a turn that continues it is not
    return tuple(f'kept/{turn}' for turn in sorted(retained) if turn not in needed)


def sweep(rows: Map, command: dict, now: datetime) -> tuple[tuple, dict]:
    """Delete the rows that expired longer ago than clocks may differ, and charge overdue reservations in full.

    A reservation is overdue if its outcome never came. A sweep examines a limited number of rows and replies with
    the position from which the next one continues.

    >>> from datetime import UTC
    >>> t = datetime(2026, 1, 1, tzinfo=UTC)
    >>> rows = Map({'once/a': deduplication.pack({'until': t.timestamp() - SKEW_S - 1}),
    ...     'once/b': deduplication.pack({'until': t.timestamp() - SKEW_S + 1}),
    ...     'block/c': ['text', t.timestamp() - SKEW_S - 1]})
    >>> changes, reply = sweep(rows, {'program_s': 60, 'from': 0}, t); sorted(changes), reply['at']
    ([('block/c', None), ('once/a', None)], 0)
    """
    timestamp = now.timestamp()
    cutoff = timestamp - SKEW_S
    start, changes = command['from'], ()
    if start == 0:
        changes = tuple(
            (key, None) for key in expired_turns(rows, timestamp - RETAINED_TURN_SKEW_S)[:MAX_SWEEP_CHANGES]
        )
    examined = 0
    for key, row in islice(rows.items(), start, start + SWEEP_ROWS):
        if len(changes) > MAX_SWEEP_CHANGES:
            break
        examined += 1
        kind = key.partition('/')[0]
        if kind == 'once' and deduplication.unpack(row)['until'] < cutoff:
            changes += ((key, None),)
        elif kind == 'block' and row[1] < cutoff:
            changes += ((key, None),)
        elif kind == 'conv' and row['until'] < cutoff:
            changes += ((key, None),) + tuple((f'turn/{turn}', None) for turn in row['turns'])
        elif kind == 'done' and row < cutoff - 3600:
            changes += ((key, None),)
        elif kind == 'prog':
            overdue = {
                turn: reservation for turn, reservation in row['holds'].items() if reservation[1] < cutoff
            }
            if overdue:
                reservations = {
                    turn: reservation for turn, reservation in row['holds'].items() if turn not in overdue
                }
                spent = row['spent'] + sum(tokens for tokens, _ in overdue.values())
                changes += ((key, {**row, 'holds': reservations, 'spent': spent}),)
                changes += tuple((f'done/{turn}', timestamp) for turn in overdue)
            elif row['at'] < cutoff - command['program_s']:
                changes += ((key, None),)
    next_start = start + examined - sum(1 for _, value in changes if value is None)
    return changes, {
        'ok': True,
        'swept': len(changes),
        'at': 0 if start + examined >= len(rows) else max(0, next_start),
    }


def confirm(rows: Map, command: dict, now: datetime) -> tuple[tuple, dict]:
    """Change nothing; the reply only shows that the command was committed."""
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
