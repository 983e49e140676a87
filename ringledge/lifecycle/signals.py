"""SIGTERM and SIGINT request a graceful shutdown, SIGHUP a reload of the configuration."""

from __future__ import annotations

import signal
from typing import Protocol

import anyio

from ringledge.observe.logging import log

RELOAD_SIGNALS = frozenset({signal.SIGHUP})
SHUTDOWN_SIGNALS = frozenset({signal.SIGTERM, signal.SIGINT})


class SignalHandler(Protocol):
    """What signals are dispatched to."""

    def request_shutdown(self) -> None:
        """SIGTERM or SIGINT was received."""

    def reload(self) -> None:
        """SIGHUP was received."""


def block_reload_signals() -> None:
    """Leave SIGHUP pending: its default action would end the process while no handler is installed."""
    signal.pthread_sigmask(signal.SIG_BLOCK, RELOAD_SIGNALS)


def block_shutdown_signals() -> None:
    """Leave SIGTERM and SIGINT pending until a handler is installed: clients may already be connected."""
    signal.pthread_sigmask(signal.SIG_BLOCK, SHUTDOWN_SIGNALS)


async def dispatch_signals(handler: SignalHandler) -> None:
    """Call the handler for each signal, also during a shutdown: the process ends when all is answered."""
    with anyio.open_signal_receiver(signal.SIGTERM, signal.SIGINT, signal.SIGHUP) as signals:
        signal.pthread_sigmask(signal.SIG_UNBLOCK, RELOAD_SIGNALS | SHUTDOWN_SIGNALS)
        try:
            async for number in signals:
                if number == signal.SIGHUP:
                    handler.reload()
                else:
                    log.info("stopping", signal=signal.Signals(number).name)
                    handler.request_shutdown()
        finally:
            block_reload_signals()  # before the receiver closes: the shutdown still has to be completed
