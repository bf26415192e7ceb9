"""Probe leadership: one routing node at a time probes the replicas that are suspected of failure.

A probe costs the replica work, so replicas are probed only while some node suspects them, and the core
distributes the results. Leadership is vacant when its holder's term has ended. A node that then learns
of a suspected replica asks the core's acceptors for their votes; a majority grants it one term.
"""

import asyncio
from datetime import datetime, timedelta
from typing import Any

from quillstall.runtime.clock import from_ms
from quillstall.runtime.errors import Fault

TERM = timedelta(seconds=3)
CHECK_INTERVAL = from_ms(200)
RETRY_INTERVAL = from_ms(800)
REQUEST_TIMEOUT = from_ms(400)


class ProbeLeadership:
    """What one routing node knows of the probe leadership, and what it found out as leader."""

    def __init__(self, ctx: Any, name: str):
        self.ctx = ctx
        self.name = name
        self.suspected_replicas: list[str] = []  # replicas that any node suspects, as the core last reported
        self.has_suspects = asyncio.Event()
        self.leader: str | None = None
        self.term_end: datetime | None = None  # the end of this node's own term
        self.probed_at: dict[str, datetime] = {}
        self.reports: dict[str, dict] = {}  # results of this node's probes

    def is_leader(self) -> bool:
        """Return True while this node's own term lasts: `leadership.is_leader()`."""
        return self.term_end is not None and self.ctx.clock.now() < self.term_end

    def apply_core_update(self, reply: dict) -> None:
        """Apply a reply of the core: `leadership.apply_core_update({'doubts': [], 'duty': None})`."""
        self.suspected_replicas, self.leader = reply.get('doubts', []), reply.get('duty')
        if self.suspected_replicas:
            self.has_suspects.set()
        else:
            self.has_suspects.clear()
            self.reports = {}

    async def campaign(self, cores: list[str]) -> None:
        """Ask all cores for their votes: `await leadership.campaign(['127.0.0.1:7000'])`."""
        sent_at, votes = self.ctx.clock.now(), 0
        self.ctx.journal.count('duty.rounds')
        for core in cores:
            try:
                reply = await self.ctx.net.ask(
                    core, {'k': 'duty', 'name': 'probe', 'by': self.name}, REQUEST_TIMEOUT
                )
                votes += bool(reply['ok'])
            except Fault:
                continue
        if votes * 2 > len(cores):
            if not self.is_leader():
                self.ctx.journal.note('duty', name='probe', ballots=votes, doubts=self.suspected_replicas)
            self.term_end = sent_at + TERM

    async def probe(self, replica: str, address: str) -> None:
        """Fetch one replica's report: `await leadership.probe('r1', '127.0.0.1:9000')`."""
        from quillstall.network.web import fetch  # imported late: its client library is slow to load

        self.probed_at[replica] = self.ctx.clock.now()
        self.ctx.journal.count('probes')
        try:
            status, body, _ = await fetch(self.ctx.web, address, 'GET', '/report', limit=REQUEST_TIMEOUT)
            succeeded = status == 200 and isinstance(body, dict) and body.get('queued', 1) == 0
        except Fault:
            status, body, succeeded = 0, None, False
        self.reports[replica] = {'well': succeeded, 'report': body if status == 200 else None}

    def replicas_to_probe(self) -> list[str]:
        """Return the suspected replicas whose next probe is due: `leadership.replicas_to_probe()`."""
        now = self.ctx.clock.now()
        return [
            r
            for r in self.suspected_replicas
            if r not in self.probed_at or now - self.probed_at[r] >= RETRY_INTERVAL
        ]
