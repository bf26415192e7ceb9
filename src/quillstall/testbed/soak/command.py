"""The commands of soak runs: `quillstall-testbed soak` and the process that it starts."""

import json
import os
import signal
import sys

from cleo.commands.command import Command
from cleo.helpers import argument, option

from quillstall.testbed.soak.deployment import SIZES
from quillstall.testbed.soak.member import run_member
from quillstall.testbed.soak.run import soak

SHOWN_MOST = 8


class Member(Command):
    """Run one process of a soak run's fleet."""

    name = 'member'
    description = "Run a process of a soak run's fleet"
    arguments = [argument('file', 'its startup (JSON)')]

    def handle(self) -> int:
        with open(self.argument('file'), encoding='utf-8') as file:
            return run_member(json.load(file))


class Soak(Command):
    """Play overlapping failures on real processes."""

    name = 'soak'
    description = (
        'Play overlapping failures on a fleet of real processes, seed after seed, and judge what comes of it'
    )
    options = [
        option('seed', None, 'the first seed', flag=False, default='1'),
        option('count', None, 'how many seeds', flag=False, default='1'),
        option('acts', None, 'groups of overlapping troubles in each run', flag=False, default='3'),
        option('size', None, f'the size of the fleet: {", ".join(SIZES)}', flag=False, default='small'),
        option('port', None, 'the first of four ports', flag=False, default='7200'),
        option('keep', None, 'the folder for logs of runs with findings', flag=False, default='run/soak'),
    ]

    def handle(self) -> int:
        signal.signal(signal.SIGTERM, lambda *_: sys.exit(1))  # so that what was started is ended
        folder = self.option('keep')
        os.makedirs(folder, exist_ok=True)
        first, count, size = int(self.option('seed')), int(self.option('count')), self.option('size')
        if size not in SIZES:
            self.line_error(f'no size {size!r}, there are {", ".join(SIZES)}')
            return 2
        bad = 0
        for seed in range(first, first + count):
            report = soak(seed, int(self.option('acts')), int(self.option('port')), folder, size)
            tried = sum(report.outcomes.values())
            self.line(
                f'seed {seed}: {len(report.acts)} acts, {tried} tries, {report.changes} changes, {len(report.wrong)} findings,'
                f' host sync {report.host_sync_ms} ms at most'
            )
            for line in report.acts:
                self.line(f'   {line}')
            for line in report.wrong[:SHOWN_MOST]:
                self.line(f'   FOUND {line[:400]}')
            if report.wrong:
                self.line(f'   logs in {report.folder}')
                bad += 1
            sys.stdout.flush()
        self.line(f'{count} seeds: {count - bad} held, {bad} with findings')
        return 1 if bad else 0
