"""The command `quillstall`: run a process of any role, and the operators' commands."""

from datetime import timedelta

from cleo.application import Application
from cleo.commands.command import Command
from cleo.helpers import argument, option

from quillstall.configuration.startup import read
from quillstall.controlplane.main import OPERATOR_COMMANDS
from quillstall.runtime.clock import from_ms
from quillstall.runtime.daemon import print_fault, serve
from quillstall.runtime.errors import Fault

DEFAULT_DRAIN = timedelta(seconds=8)
SETTINGS = (
    ('role', 'route, core or store'),
    ('name', 'the name of this process'),
    ('address', 'ip:port for the other processes'),
    ('http', 'ip:port for callers (route) or operators (core, store)'),
    ('zone', 'its zone'),
    ('seeds', 'three ip:port, with commas'),
    ('data', 'its data folder (core, store)'),
)


class Serve(Command):
    """Run one process of the fleet until a stop signal."""

    name = 'serve'
    description = 'Run a routing node, core or store until a stop signal; running streams are finished first'
    arguments = [argument('file', 'the settings file (JSON)', optional=True)]
    options = [option(name, None, text, flag=False) for name, text in SETTINGS]

    def handle(self) -> int:
        """Check the settings, then run the role that they name; the exit code."""
        flags = {name: self.option(name) for name, _ in SETTINGS}
        flags['seeds'] = self.option('seeds').split(',') if self.option('seeds') else None
        try:
            settings = read(self.argument('file'), flags)
        except Fault as fault:
            print_fault(fault, self.line_error)
            return 2
        if settings['role'] == 'route':
            return serve_route(settings)
        from quillstall.controlplane.run import hand_over, run

        return serve(settings, run, hand_over)


def serve_route(settings: dict) -> int:
    """Run a routing node; a stop signal lets it finish what runs for `drain_ms`."""
    from quillstall.dataplane.node import Node, run

    async def drain(node: Node) -> None:
        await node.drain(from_ms(settings['drain_ms']) if 'drain_ms' in settings else DEFAULT_DRAIN)

    return serve(settings, run, drain)


def main() -> int:
    """The command line: `quillstall serve settings.json`."""
    application = Application('quillstall', '0.1.0')
    for command in (Serve, *OPERATOR_COMMANDS):
        application.add(command())
    return application.run()
