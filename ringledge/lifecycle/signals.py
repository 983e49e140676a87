"""SIGTERM and SIGINT ask for a stop in good order, SIGHUP for a new look at the configuration."""

from __future__ import annotations

import signal
from collections.abc import Callable

import anyio

from ringledge.observe.logging import log

HANGUP = frozenset({signal.SIGHUP})
STOPS = frozenset({signal.SIGTERM, signal.SIGINT})


def hold_hangup() -> None:
    """Let SIGHUP wait: its default action would end the process while nobody listens for it."""
    signal.pthread_sigmask(signal.SIG_BLOCK, HANGUP)


def hold_stops() -> None:
    """Let a stop wait until the program listens for it: from here on clients may have come."""
    signal.pthread_sigmask(signal.SIG_BLOCK, STOPS)


async def on_signals(stop: Callable[[], None], reload: Callable[[], None]) -> None:
    """Call what a signal asks for; after a stop, too, for the process ends only when all is answered."""
    with anyio.open_signal_receiver(signal.SIGTERM, signal.SIGINT, signal.SIGHUP) as signals:
        signal.pthread_sigmask(signal.SIG_UNBLOCK, HANGUP | STOPS)
        try:
            async for number in signals:
                if number == signal.SIGHUP:
                    reload()
                else:
                    log.info("stopping", signal=signal.Signals(number).name)
                    stop()
        finally:
            hold_hangup()  # before the handler goes: the process still has to end in good order
