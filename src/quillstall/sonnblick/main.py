"""The program sonnblick."""

from datetime import timedelta

from cleo.application import Application
from cleo.commands.command import Command
from cleo.helpers import argument, option

from quillstall.halley.clock import of_ms
from quillstall.halley.daemon import serve, tell
from quillstall.halley.errors import Fault
from quillstall.halley.startup import read
from quillstall.sonnblick.node import Node, run

DRAIN = timedelta(seconds=8)


class Serve(Command):
    """Run a routing node."""

    name = 'serve'
    description = 'Run a routing node until a stop signal; running streams are finished first'
    arguments = [argument('file', 'the startup file (JSON)', optional=True)]
    options = [
        option(k, None, t, flag=False)
        for k, t in (
            ('name', 'the name of this process'),
            ('address', 'ip:port for the other processes'),
            ('http', 'ip:port for callers'),
            ('zone', 'its zone'),
            ('seeds', 'three ip:port, with commas'),
        )
    ]

    def handle(self) -> int:
        flags = {k: self.option(k) for k in ('name', 'address', 'http', 'zone')}
        flags['seeds'] = self.option('seeds').split(',') if self.option('seeds') else None
        try:
            startup = read(self.argument('file'), {**flags, 'role': 'route'})
        except Fault as e:
            tell(e, self.line_error)
            return 2

        async def drain(node: Node) -> None:
            await node.drain(of_ms(startup['drain_ms']) if 'drain_ms' in startup else DRAIN)

        return serve(startup, run, drain)


def main() -> int:
    """The command line: `sonnblick serve startup.json`."""
    app = Application('sonnblick', '0.1.0')
    app.add(Serve())
    return app.run()
