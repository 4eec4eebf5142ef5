"""Signals of the process of a node: pending until it handles them, ignored once it ends.

This module is imported before all others and therefore imports little.
"""

import signal
from collections.abc import Callable, Iterator, Mapping
from contextlib import contextmanager

# Signals that the platform sends and whose default action ends the process.
PLATFORM_SIGNALS = (signal.SIGHUP, signal.SIGTERM)


def defer_signals() -> None:
    """Keep the platform's signals pending until handlers are installed."""
    signal.pthread_sigmask(signal.SIG_BLOCK, PLATFORM_SIGNALS)


@contextmanager
def handled_signals(
    handlers: Mapping[signal.Signals, Callable[[], None]],
    schedule: Callable[[Callable[[], None]], object],
) -> Iterator[None]:
    """Schedule the handlers of signals, also of pending ones; ignore the signals at the end.

    An event loop restores the default actions of its own handlers when it is closed, and a signal
    would then end the process with another status.
    """

    def receive(number: int, _frame: object) -> None:
        schedule(handlers[signal.Signals(number)])

    for number in handlers:
        signal.signal(number, receive)
    signal.pthread_sigmask(signal.SIG_UNBLOCK, handlers)
    try:
        yield
    finally:
        for number in handlers:
            signal.signal(number, signal.SIG_IGN)
