"""Token reservations of programs: what their open turns may use at most, and what their ended turns used.

The functions are pure: from the rows of a partition they return changes of rows. `prog/PROGRAM` holds a program's
budget, its spent tokens and its open reservations (`holds`: tokens and expiry by turn), `done/TURN` marks an ended turn.
"""

from datetime import datetime
from typing import Any

from immutables import Map

from quillstall.runtime.errors import Fault

RESERVATION_GRACE_S = 60  # after its deadline, while a reservation without an outcome stays open


def expiry(command: dict, now: datetime) -> float:
    """Return until when the outcome of a turn is awaited, as a timestamp; `span_s` is the time left to its deadline.

    >>> from datetime import UTC
    >>> expiry({'span_s': 3}, datetime.fromtimestamp(100, UTC))
    163.0
    """
    return now.timestamp() + command.get('span_s', 0) + RESERVATION_GRACE_S


def reserve(rows: Map, command: dict, now: datetime) -> tuple:
    """Return the changes that reserve tokens for a turn; none if it has a reservation already.

    Raises Fault 'refused' if the turn has ended, 'budget' if the program's budget is used up.

    >>> from datetime import UTC
    >>> command = {'program': 'p', 'turn': 'a', 'budget': 10, 'hold': 8}
    >>> ((key, row),) = reserve(Map(), command, datetime.fromtimestamp(0, UTC)); key, row['holds']
    ('prog/p', {'a': (8, 60.0)})
    >>> reserve(Map({key: {**row, 'spent': 2}}), {**command, 'turn': 'b'}, datetime.fromtimestamp(0, UTC))
    Traceback (most recent call last):
    quillstall.runtime.errors.Fault: budget: 2 spent and 8 held of 10
    """
    key = f'prog/{command["program"]}'
    program = rows.get(key) or {'budget': command['budget'], 'spent': 0, 'holds': {}}
    if command['turn'] in program['holds']:
        return ()
    if f'done/{command["turn"]}' in rows:
        raise Fault('refused', 'this turn has ended')
    reserved = sum(tokens for tokens, _ in program['holds'].values())
    budgets = [budget for budget in (program['budget'], command['budget']) if budget is not None]
    if budgets and program['spent'] + reserved >= min(budgets):
        raise Fault(
            'budget',
            f'{program["spent"]} spent and {reserved} held of {min(budgets)}',
            more={'spent': program['spent'], 'held': reserved, 'budget': min(budgets)},
        )
    changed: dict[str, Any] = {
        **program,
        'budget': program['budget'] if program['budget'] is not None else command['budget'],
        'holds': {**program['holds'], command['turn']: (command['hold'], expiry(command, now))},
        'at': now.timestamp(),
    }
    return ((key, changed),)


def charge(program: dict, command: dict, now: datetime) -> tuple:
    """Return the change of a program's row that replaces a turn's reservation by the tokens it used.

    >>> from datetime import UTC
    >>> program = {'budget': 10, 'spent': 2, 'holds': {'a': (8, 60.0)}}
    >>> ((key, row),) = charge(program, {'program': 'p', 'turn': 'a', 'used': 3}, datetime.fromtimestamp(0, UTC))
    >>> row['spent'], row['holds']
    (5, {})
    """
    changed = {
        **program,
        'spent': program['spent'] + command['used'],
        'holds': {turn: held for turn, held in program['holds'].items() if turn != command['turn']},
        'at': now.timestamp(),
    }
    return ((f'prog/{command["program"]}', changed),)
