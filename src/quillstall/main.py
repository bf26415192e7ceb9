"""The command line `quillstall`: runs a process of any role, and the operators' commands."""

from datetime import timedelta

from cleo.application import Application
from cleo.commands.command import Command
from cleo.helpers import argument, option

from quillstall.configuration.startup import read
from quillstall.controlplane.cli import OPERATOR_COMMANDS
from quillstall.runtime.clock import from_ms
from quillstall.runtime.daemon import print_fault, serve
from quillstall.runtime.errors import Fault

DEFAULT_DRAIN_TIMEOUT = timedelta(seconds=8)
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
    """The command `serve`: one process of the fleet, until a stop signal."""

    name = 'serve'
    description = 'Run a routing node, core or store until a stop signal; running streams are finished first'
    arguments = [argument('file', 'the settings file (JSON)', optional=True)]
    options = [option(name, None, text, flag=False) for name, text in SETTINGS]

    def handle(self) -> int:
        """Run the role that the settings name and return the exit code, 2 if the settings are invalid."""
        flags = {name: self.option(name) for name, _ in SETTINGS}
        flags['seeds'] = self.option('seeds').split(',') if self.option('seeds') else None
        try:
            settings = read(self.argument('file'), flags)
        except Fault as fault:
            print_fault(fault, self.line_error)
            return 2
        if settings['role'] == 'route':
            return serve_routing_node(settings)
        from quillstall.controlplane.run import hand_over, run

        return serve(settings, run, hand_over)


def serve_routing_node(settings: dict) -> int:
    """Run a routing node and return the exit code; a stop signal lets it finish its requests for `drain_ms`."""
    from quillstall.dataplane.node import Node, run

    async def drain(node: Node) -> None:
        await node.drain(from_ms(settings['drain_ms']) if 'drain_ms' in settings else DEFAULT_DRAIN_TIMEOUT)

    return serve(settings, run, drain)


def main() -> int:
    """Run the command that the arguments name, as in `quillstall serve settings.json`; return its exit code."""
    application = Application('quillstall', '0.1.0')
    for command in (Serve, *OPERATOR_COMMANDS):
        application.add(command())
    return application.run()
