"""The entry point of `quillstall` and of `python -m quillstall`."""

import sys

from quillstall.runtime.hangup import ignore_until_handled


def main() -> int:
    """Run the command line and return its exit code.

    SIGHUP, which would end the process, is ignored before the modules that take time to import are imported.
    """
    ignore_until_handled()
    from quillstall.main import main as run_command_line

    return run_command_line()


if __name__ == '__main__':
    sys.exit(main())
