"""Failure detection by pings, for routing nodes and stores: which watched peers have been silent."""

from datetime import datetime, timedelta
from typing import NamedTuple

from immutables import Map

PING_TIMEOUT_MS = 700
DEFAULT_SILENCE_LIMIT = timedelta(milliseconds=1500)


class Watch(NamedTuple):
    """The addresses of the peers, and when each of the watched ones last answered.

    >>> Watch().peers
    {}
    """

    peers: dict = {}
    last_heard: Map = Map()  # the watched peers, which are pinged; nothing is concluded about the others
    pinged_at: datetime | None = None
    silence_limit: timedelta = DEFAULT_SILENCE_LIMIT  # three pings are sent in this time
    suspect_after: timedelta | None = (
        None  # a peer is suspected after this silence; None: after `silence_limit`
    )


def with_peers(watch: Watch, update: dict, now: datetime) -> Watch:
    """Return the watch with the peers of a core update. Only the watched ones are pinged; a new one counts
    as heard from now. A core of an earlier version names no watched ones: then all are watched.

    >>> t = datetime(2026, 1, 1)
    >>> watch = with_peers(Watch(), {'peers': {'a': '1:1', 'b': '1:2'}, 'watched': ['a']}, t); suspects(watch, t), suspects(watch, t + timedelta(seconds=2))
    ([], ['a'])
    """
    peers = update.get('peers', {})
    watched = update.get('watched', peers)
    return watch._replace(
        peers=peers, last_heard=Map({name: watch.last_heard.get(name, now) for name in watched})
    )


def due_pings(watch: Watch, now: datetime) -> tuple[Watch, list[tuple[str, str]]]:
    """Return the watch, and the names and addresses to ping now: none before the next ping is due.

    >>> t = datetime(2026, 1, 1)
    >>> watch, pings = due_pings(with_peers(Watch(), {'peers': {'a': '1:1', 'b': '1:2'}, 'watched': ['a']}, t), t); pings, due_pings(watch, t)[1]
    ([('a', '1:1')], [])
    """
    if watch.pinged_at is not None and now - watch.pinged_at < watch.silence_limit / 3:
        return watch, []
    return watch._replace(pinged_at=now), sorted((name, watch.peers[name]) for name in watch.last_heard)


def record_ping(watch: Watch, name: str, reply: dict | None, now: datetime) -> Watch:
    """Return the watch after the reply to a ping. It counts only if this peer itself answered.

    >>> t = datetime(2026, 1, 1)
    >>> watch = with_peers(Watch(), {'peers': {'a': '1:1'}}, t)
    >>> record_ping(watch, 'a', {'me': 'a'}, t + DEFAULT_SILENCE_LIMIT).last_heard['a'] == t, record_ping(watch, 'a', {'me': 'b'}, t + DEFAULT_SILENCE_LIMIT).last_heard['a'] == t
    (False, True)
    """
    if reply is None or reply.get('me') != name or name not in watch.last_heard:
        return watch
    return watch._replace(last_heard=watch.last_heard.set(name, now))


def suspects(watch: Watch, now: datetime) -> list[str]:
    """Return the names of the peers that have been silent for too long: `suspects(watch, now)`."""
    limit = watch.silence_limit if watch.suspect_after is None else watch.suspect_after
    return sorted(name for name, at in watch.last_heard.items() if now - at > limit)
