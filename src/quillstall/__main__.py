"""The entry point of `quillstall` and of `python -m quillstall`."""

import sys

from quillstall.runtime import signals

SERVING_COMMANDS = ['serve']


def main() -> int:
    """Run the command line and return its exit code.

    Signals that would end a process that is starting are dealt with before the modules that take time to import
    are imported.
    """
    if sys.argv[1:2] == SERVING_COMMANDS:
        signals.end_on_stop_signal()
    signals.ignore_hangup()
    from quillstall.main import main as run_command_line

    return run_command_line()


if __name__ == '__main__':
    sys.exit(main())
