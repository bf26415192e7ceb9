"""Bootstrap of a fleet, only if all seeds are cores that have never belonged to one."""

from datetime import datetime, timedelta

from quillstall.controlplane.core_state import Core
from quillstall.runtime.disk import Put
from quillstall.runtime.effect import Ask, Return, Told, Write


def try_to_form(state: Core, now: datetime, effects: list) -> Core:
    """Send a join request to every other seed or, once a fleet has been proposed, its record to the members."""
    if state.next_join_request and now < state.next_join_request:
        return state
    if not state.may_found and not state.formation_replies.get('told'):
        state = state._replace(
            formation_replies=state.formation_replies.set('told', True)
        )  # wait for admission, never form a fleet
    state = state._replace(next_join_request=now + timedelta(milliseconds=300))
    if state.forming_fleet:
        for name, address in state.forming_fleet['witnesses']:
            if name != state.me:
                effects.append(Ask(address, {'k': 'form', 'fleet': state.forming_fleet}, ('f', 'form', name)))
        return state
    for seed in state.seeds:
        if seed != state.address:
            effects.append(Ask(seed, {'k': 'hail'}, ('f', 'hail', seed)))
    return state


def handle_formation_request(state: Core, event: Told, now: datetime, effects: list) -> Core:
    """Answer a join request (`hail`) with this core's identity, or accept a proposed fleet (`form`)."""
    message = event.message
    if message['k'] == 'hail':
        effects.append(
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
    fleet = message['fleet']
    names = [n for n, _ in fleet['witnesses']]
    if state.fleet is not None or state.me not in names:
        same = state.fleet is not None and state.fleet['id'] == fleet['id']
        effects.append(Return(event.call, {'ok': same}))
        return state
    effects.append(Write((Put('', 'fleet', fleet),), ('f', 'formed', fleet, event.call)))
    return state
