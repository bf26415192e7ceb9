"""Watch: which of its few peers a node has not heard from. Pure; shared by routing nodes and stores."""

from datetime import datetime, timedelta
from typing import NamedTuple

from immutables import Map

PING_LIMIT_MS = 700
SILENT = timedelta(milliseconds=1500)


class Watch(NamedTuple):
    """The peers by name: where they are, and when each of the watched ones was last heard.

    >>> Watch().peers
    {}
    """

    peers: dict = {}
    heard: Map = Map()  # the peers that are pinged; of the others' silence nothing is concluded
    pinged: datetime | None = None
    silent: timedelta = SILENT  # it is pinged three times in that
    patience: timedelta | None = None  # so long silent, a peer is suspected; None: as long as `silent`


def take(watch: Watch, news: dict, now: datetime) -> Watch:
    """The watch over the peers that the core's news has named; of them only the watched ones are pinged, and
    a new one counts as heard now. A core of an earlier version names no watched ones: then all are.

    >>> t = datetime(2026, 1, 1)
    >>> w = take(Watch(), {'peers': {'a': '1:1', 'b': '1:2'}, 'watched': ['a']}, t); suspects(w, t), suspects(w, t + timedelta(seconds=2))
    ([], ['a'])
    """
    peers = news.get('peers', {})
    watched = news.get('watched', peers)
    return watch._replace(peers=peers, heard=Map({n: watch.heard.get(n, now) for n in watched}))


def due(watch: Watch, now: datetime) -> tuple[Watch, list[tuple[str, str]]]:
    """The peers to ping now, if it is time.

    >>> t = datetime(2026, 1, 1)
    >>> w, asks = due(take(Watch(), {'peers': {'a': '1:1', 'b': '1:2'}, 'watched': ['a']}, t), t); asks, due(w, t)[1]
    ([('a', '1:1')], [])
    """
    if watch.pinged is not None and now - watch.pinged < watch.silent / 3:
        return watch, []
    return watch._replace(pinged=now), sorted((n, watch.peers[n]) for n in watch.heard)


def heard(watch: Watch, name: str, ret: dict | None, now: datetime) -> Watch:
    """A ping came back, if it was this peer that answered.

    >>> t = datetime(2026, 1, 1)
    >>> w = take(Watch(), {'peers': {'a': '1:1'}}, t)
    >>> heard(w, 'a', {'me': 'a'}, t + SILENT).heard['a'] == t, heard(w, 'a', {'me': 'b'}, t + SILENT).heard['a'] == t
    (False, True)
    """
    if ret is None or ret.get('me') != name or name not in watch.heard:
        return watch
    return watch._replace(heard=watch.heard.set(name, now))


def suspects(watch: Watch, now: datetime) -> list[str]:
    """The peers that have been silent too long: `suspects(watch, now)`."""
    patience = watch.silent if watch.patience is None else watch.patience
    return sorted(n for n, at in watch.heard.items() if now - at > patience)
