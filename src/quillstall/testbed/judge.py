"""Judge: checks what callers and replicas saw against the rules of the brief."""

from collections import Counter
from collections.abc import Sequence
from datetime import datetime, timedelta
from typing import Any

from quillstall.testbed.linearizability import Call, findings


def twice(runs: list[dict], once: set[str]) -> list[str]:
    """Work that may not repeat and ran more than once, by key.

    >>> twice([{'key': 'k', 'path': '/a'}, {'key': 'k', 'path': '/a'}], {'/a'})
    ['once: /a k ran 2 times']
    >>> twice([{'key': 'k', 'path': '/b'}, {'key': 'k', 'path': '/b'}], {'/a'})
    []
    """
    seen = Counter((r['path'], r['key']) for r in runs if r['path'] in once and r['key'])
    return [f'once: {p} {k} ran {n} times' for (p, k), n in sorted(seen.items()) if n > 1]


def refused_and_ran(runs: list[dict], keys: dict[str, dict]) -> list[str]:
    """Keyed calls whose last word was a refusal, and that ran all the same.

    >>> refused_and_ran([{'key': 'k'}], {'k': {'refused': True, 'path': '/a', 'ok': False}})
    ['refusal: /a k was refused and ran']
    """
    ran = {r['key'] for r in runs}
    return [
        f'refusal: {v["path"]} {k} was refused and ran {v.get("seen", "")}'.strip()
        for k, v in sorted(keys.items())
        if v['refused'] and k in ran
    ]


def denied_and_ran(runs: list[dict], denied: dict[str, str]) -> list[str]:
    """Turns that were refused and that some replica ran all the same.

    >>> denied_and_ran([{'path': '/turn', 'key': 'k'}], {'k': 'shed'})
    ['refusal: turn k was refused as shed and ran']
    """
    ran = {r['key'] for r in runs if r['path'] == '/turn'}
    return [
        f'refusal: turn {k} was refused as {code} and ran' for k, code in sorted(denied.items()) if k in ran
    ]


def lost(runs: list[dict], keys: dict[str, dict]) -> list[str]:
    """Keyed calls that were answered well and never ran.

    >>> lost([], {'k': {'refused': False, 'path': '/a', 'ok': True}})
    ['answer: /a k was answered and never ran']
    """
    ran = {r['key'] for r in runs}
    return [
        f'answer: {v["path"]} {k} was answered and never ran'
        for k, v in sorted(keys.items())
        if v['ok'] and k not in ran
    ]


def hopeless(runs: list[dict]) -> list[str]:
    """Turns that reached a replica with less time left than four fifths of what they take there, idle
    slots and warm prompts reckoned in. A node can know what a turn usually takes, not to the last part.

    >>> hopeless([{'path': '/turn', 'left': 100, 'need': 240, 'task': 't'}])
    ['hopeless: t was sent with 100 ms left, it takes 240']
    """
    return [
        f'hopeless: {r["task"]} was sent with {r["left"]} ms left, it takes {r["need"]}'
        for r in runs
        if r['path'] == '/turn' and r['left'] * 5 < r['need'] * 4
    ]


def outdated(runs: list[dict], acked: list[tuple], slack: timedelta) -> list[str]:
    """Work that was sent under an older generation, longer after a newer one's acknowledgement than allowed.

    >>> from datetime import UTC
    >>> at = datetime(2026, 1, 1, tzinfo=UTC)
    >>> run = {'at': (at + timedelta(seconds=3)).isoformat(), 'generation': 1, 'task': 't'}
    >>> outdated([run], [(2, 0, at)], timedelta(seconds=2)), outdated([run], [(2, 0, at)], timedelta(seconds=4))
    (['in_force: t ran under 1, 2 was acknowledged at 2026-01-01T00:00:00+00:00'], [])
    """
    out = []
    for run in runs:
        at = datetime.fromisoformat(run['at'])
        for gen, _, when in acked:
            if run['generation'] < gen and at > when + slack:
                out.append(
                    f'in_force: {run["task"]} ran under {run["generation"]}, {gen} was acknowledged at '
                    f'{when.isoformat()}'
                )
                break
    return out


def not_linearizable(calls: Sequence[Call], initial: int) -> list[str]:
    """What is wrong with the operators' calls on the configuration, judged as one register.

    >>> not_linearizable([], 0)
    []
    """
    return findings(calls, initial)


def quiet(good: list, spans: list[tuple], most: timedelta) -> list[str]:
    """Stretches of traffic in which no good answer came for too long.

    >>> at = datetime(2026, 1, 1)
    >>> quiet([at], [(at, at + timedelta(seconds=20))], timedelta(seconds=12))
    ['back: no good answer for 0:00:20 from 2026-01-01T00:00:00']
    """
    out = []
    for start, end in spans:
        times = [start] + sorted(t for t in good if start <= t <= end) + [end]
        out += [
            f'back: no good answer for {b - a} from {a.isoformat()}'
            for a, b in zip(times, times[1:], strict=False)
            if b - a > most
        ]
    return out


def crowded(peaks: dict[str, tuple[int, int]]) -> list[str]:
    """Replicas that had more tasks at once than slots.

    >>> crowded({'r': (3, 2)})
    ['slots: r had 3 of 2']
    """
    return [f'slots: {r} had {peak} of {slots}' for r, (peak, slots) in sorted(peaks.items()) if peak > slots]


def verdict(crowd: Any, logs: dict[str, dict], policy: dict) -> list[str]:
    """Everything found wrong: `verdict(crowd, {'app0': {'runs': []}}, policy)`."""
    runs = [r for log in logs.values() for r in log['runs']]
    once = {
        p for s in policy.get('services', {}).values() for p, rule in s['paths'].items() if not rule['repeat']
    }
    known = {p for s in policy.get('services', {}).values() for p in s['paths']} | {'/turn'}
    strange = [f'service: {r["path"]} is in no policy' for r in runs if r['path'] not in known]
    return (
        crowd.wrong
        + twice(runs, once)
        + refused_and_ran(runs, crowd.keys)
        + lost(runs, crowd.keys)
        + denied_and_ran(runs, crowd.denied)
        + hopeless(runs)
        + strange
    )
