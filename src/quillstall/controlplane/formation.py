"""First formation of a fleet: only when all three seeds are cores that have never had one."""

from datetime import datetime, timedelta

from quillstall.controlplane.core_state import Core
from quillstall.runtime.disk import Put
from quillstall.runtime.effect import Ask, Return, Told, Write


def first(state: Core, now: datetime, out: list) -> Core:
    if state.next_hail and now < state.next_hail:
        return state
    if not state.founding and not state.hails.get('told'):
        state = state._replace(hails=state.hails.set('told', True))  # wait to be let in, never begin anew
    state = state._replace(next_hail=now + timedelta(milliseconds=300))
    if state.forming:
        for name, address in state.forming['witnesses']:
            if name != state.me:
                out.append(Ask(address, {'k': 'form', 'fleet': state.forming}, ('f', 'form', name)))
        return state
    for seed in state.seeds:
        if seed != state.address:
            out.append(Ask(seed, {'k': 'hail'}, ('f', 'hail', seed)))
    return state


def hail(state: Core, event: Told, now: datetime, out: list) -> Core:
    m = event.message
    if m['k'] == 'hail':
        out.append(
            Return(
                event.call,
                {
                    'ok': True,
                    'id': state.me,
                    'address': state.address,
                    'zone': state.zone,
                    'fleet': (state.fleet or {}).get('id'),
                },
            )
        )
        return state
    fleet = m['fleet']
    names = [n for n, _ in fleet['witnesses']]
    if state.fleet is not None or state.me not in names:
        same = state.fleet is not None and state.fleet['id'] == fleet['id']
        out.append(Return(event.call, {'ok': same}))
        return state
    out.append(Write((Put('', 'fleet', fleet),), ('f', 'formed', fleet, event.call)))
    return state
