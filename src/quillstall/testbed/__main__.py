"""The command `quillstall-testbed`, also as `python -m quillstall.testbed`."""

import sys

from quillstall.runtime.hangup import ignore_until_handled


def main() -> int:
    """Run the command line; what takes time to load is loaded only when SIGHUP can do no harm."""
    ignore_until_handled()
    from quillstall.testbed.main import main as run_command_line

    return run_command_line()


if __name__ == '__main__':
    sys.exit(main())
