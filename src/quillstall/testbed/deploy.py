"""Deploy: the two deployments of the brief, as data: machines, replicas, policy, traffic."""

from typing import Any, NamedTuple


class Flow(NamedTuple):
    """One kind of traffic: how often it starts, and what it is.

    >>> Flow('q', 'turn', 14.0, 'quick-quote').per_s
    14.0
    """

    name: str
    kind: str
    per_s: float
    route: str
    path: str = ''
    deadline_ms: int = 3000
    turns: int = 1
    keyed: bool = False
    helper: float = 0.0
    think_ms: int = 400
    calls: tuple = ()


class Deploy(NamedTuple):
    """A whole deployment.

    >>> hipotecalc().name
    'hipotecalc'
    """

    name: str
    machines: list
    replicas: list
    policy: dict
    flows: list


def machines(net: str, port: int, routes: int = 7, stores: int = 3, cores: int = 3) -> list[dict]:
    """Startups of the control-plane and data-plane processes, each on an IP number of its own.

    >>> [m['zone'] for m in machines('10.0', 7000)][:3]
    ['z0', 'z1', 'z2']
    >>> len(machines('10.0', 7000))
    13
    """
    seeds = [f'{net}.1.{n + 1}:{port}' for n in range(3)]
    out = []
    for role, count, band in (('core', cores, 1), ('store', stores, 2), ('route', routes, 3)):
        for n in range(count):
            host = f'{net}.{band}.{n + 1}'
            out.append(
                {
                    'name': f'{role}{n}',
                    'role': role,
                    'address': f'{host}:{port}',
                    'http': f'{host}:{port + 1}',
                    'zone': f'z{n % 3}',
                    'seeds': seeds,
                }
            )
    return out


def replicas(
    net: str, port: int, models: int, slots: int, apps: int, app_slots: int, **speed: Any
) -> list[dict]:
    """Startups of the stand-in replicas: `replicas('10.0', 7000, 5, 60, 3, 8)`."""
    out = []
    for kind, count, room, band in (('model', models, slots, 4), ('application', apps, app_slots, 5)):
        for n in range(count):
            out.append(
                {
                    'name': f'{kind[:5]}{n}',
                    'kind': kind,
                    'slots': room,
                    'http': f'{net}.{band}.{n + 1}:{port}',
                    **(speed if kind == 'model' else {}),
                }
            )
    return out


def pools(made: list[dict]) -> dict:
    """The policy's pools for those replicas.

    >>> pools(replicas('10.0', 7000, 1, 60, 0, 0))['models']['replicas']['model0']['slots']
    60
    """
    out: dict = {}
    for name, kind in (('models', 'model'), ('apps', 'application')):
        out[name] = {
            'kind': kind,
            'replicas': {
                r['name']: {'address': r['http'], 'slots': r['slots']} for r in made if r['kind'] == kind
            },
        }
    return out


def hipotecalc(net: str = '10.0', port: int = 7000) -> Deploy:
    """Franchise desks in Lima: quotes, refinancing talks, alerts, documents, status pings."""
    made = replicas(net, port, 5, 60, 3, 10, prefill_per_s=20_000, step_ms=25)
    policy = {
        'classes': {
            'quotes': {'share': 40, 'deadline_ms': 3000},
            'talks': {'share': 40, 'deadline_ms': 4000},
            'alerts': {'share': 5, 'deadline_ms': 1000, 'urgent': True},
            'desk': {'share': 15, 'deadline_ms': 2500},
        },
        'routes': {
            'quick-quote': {'class': 'quotes', 'pool': 'models', 'max_tokens': 16, 'service_ms': 700},
            'refinance': {'class': 'talks', 'pool': 'models', 'max_tokens': 16, 'service_ms': 700},
        },
        'services': {
            'rates': {
                'class': 'alerts',
                'pool': 'apps',
                'paths': {'/alert': {'repeat': False, 'service_ms': 100}},
            },
            'documents': {
                'class': 'desk',
                'pool': 'apps',
                'paths': {'/amortisation': {'repeat': False, 'service_ms': 100}},
            },
            'desk': {
                'class': 'desk',
                'pool': 'apps',
                'paths': {'/status': {'repeat': True, 'deadline_ms': 1000, 'service_ms': 100}},
            },
        },
        'pools': pools(made),
        'keeping_s': 300,
    }
    flows = [
        Flow('quote', 'turn', 14, 'quick-quote', deadline_ms=3000),
        Flow(
            'refinance',
            'turn',
            3,
            'refinance',
            deadline_ms=4000,
            turns=4,
            helper=0.3,
            calls=('desk/status', 'documents/amortisation'),
        ),
        Flow('alert', 'call', 1, 'rates', '/alert', 1000, keyed=True),
        Flow('document', 'call', 2, 'documents', '/amortisation', 2500, keyed=True),
        Flow('status', 'call', 3, 'desk', '/status', 1000),
    ]
    return Deploy('hipotecalc', machines(net, port), made, policy, flows)


def cartalume(net: str = '10.0', port: int = 7000) -> Deploy:
    """Club and judge terminals: rulings, deck checks, pairings, standings, round clocks."""
    made = replicas(net, port, 9, 16, 3, 10, prefill_per_s=24_000, step_ms=20)
    policy = {
        'classes': {
            'rulings': {'share': 50, 'deadline_ms': 3000},
            'checks': {'share': 30, 'deadline_ms': 4000},
            'clock': {'share': 5, 'deadline_ms': 1000, 'urgent': True},
            'club': {'share': 15, 'deadline_ms': 2500},
        },
        'routes': {
            'ruling': {'class': 'rulings', 'pool': 'models', 'max_tokens': 16, 'service_ms': 700},
            'deck-check': {'class': 'checks', 'pool': 'models', 'max_tokens': 16, 'service_ms': 700},
        },
        'services': {
            'clock': {
                'class': 'clock',
                'pool': 'apps',
                'paths': {'/alert': {'repeat': False, 'service_ms': 100}},
            },
            'standings': {
                'class': 'club',
                'pool': 'apps',
                'paths': {'/post': {'repeat': False, 'service_ms': 100}},
            },
            'pairings': {
                'class': 'club',
                'pool': 'apps',
                'paths': {'/round': {'repeat': True, 'deadline_ms': 1500, 'service_ms': 100}},
            },
        },
        'pools': pools(made),
        'keeping_s': 300,
    }
    flows = [
        Flow('ruling', 'turn', 20, 'ruling', deadline_ms=3000),
        Flow(
            'deck',
            'turn',
            4,
            'deck-check',
            deadline_ms=4000,
            turns=4,
            helper=0.3,
            calls=('pairings/round', 'standings/post'),
        ),
        Flow('clock', 'call', 1, 'clock', '/alert', 1000, keyed=True),
        Flow('standings', 'call', 2, 'standings', '/post', 2500, keyed=True),
        Flow('pairings', 'call', 3, 'pairings', '/round', 1500),
    ]
    return Deploy('cartalume', machines(net, port), made, policy, flows)


DEPLOYS = {'hipotecalc': hipotecalc, 'cartalume': cartalume}
