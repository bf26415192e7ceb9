"""The command `quillstall-testbed`, also as `python -m quillstall.testbed`."""

import sys

from quillstall.runtime import signals

SERVING_COMMANDS = ['member']


def main() -> int:
    """Run the command line; what takes time to load is loaded only when signals can do no harm."""
    if sys.argv[1:2] == SERVING_COMMANDS:
        signals.end_on_stop_signal()
    signals.ignore_hangup()
    from quillstall.testbed.main import main as run_command_line

    return run_command_line()


if __name__ == '__main__':
    sys.exit(main())
