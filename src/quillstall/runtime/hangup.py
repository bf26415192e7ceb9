"""Ignores SIGHUP until a process can handle it. Imports little, so that it can be imported first."""

import signal


def ignore_until_handled() -> None:
    """Ignore SIGHUP until its handler is set; by default it would end a process that is still starting.

    >>> ignore_until_handled(); signal.getsignal(signal.SIGHUP) is signal.SIG_IGN
    True
    """
    signal.signal(signal.SIGHUP, signal.SIG_IGN)
