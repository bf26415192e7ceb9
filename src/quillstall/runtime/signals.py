"""Signals of a process outside of its event loop's life. Imports little, so that it can be imported first.

By default a signal would end a process that is still starting, whose event loop is closed already, or whose
interpreter shuts down.
"""

import os
import signal

STOP_SIGNALS = (signal.SIGTERM, signal.SIGINT)
HANDLED_SIGNALS = (*STOP_SIGNALS, signal.SIGHUP)


def ignore_hangup() -> None:
    """Ignore SIGHUP until its handler is set.

    >>> ignore_hangup(); signal.getsignal(signal.SIGHUP) is signal.SIG_IGN
    True
    """
    signal.signal(signal.SIGHUP, signal.SIG_IGN)


def end_on_stop_signal() -> None:
    """End the process in order at a stop signal until its handlers are set: it has nothing yet that it could lose.

    Call `end_on_stop_signal()` before the imports that take long.
    """
    for number in STOP_SIGNALS:
        signal.signal(number, lambda *_: os._exit(0))


def block_until_exit() -> None:
    """Let no signal in any more: `block_until_exit()`. Closing an event loop sets the default actions again."""
    signal.pthread_sigmask(signal.SIG_BLOCK, HANDLED_SIGNALS)


def ignore_until_exit() -> None:
    """Ignore all that the process handled, in each of its threads: `ignore_until_exit()`."""
    for number in HANDLED_SIGNALS:
        signal.signal(number, signal.SIG_IGN)
