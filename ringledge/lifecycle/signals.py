"""Signal handling: SIGTERM and SIGINT request a graceful shutdown, SIGHUP a reload of the configuration."""

from __future__ import annotations

import signal
from typing import Protocol

import anyio

from ringledge.observe.logging import log

RELOAD_SIGNALS = frozenset({signal.SIGHUP})
SHUTDOWN_SIGNALS = frozenset({signal.SIGTERM, signal.SIGINT})


class SignalHandler(Protocol):
    """The receiver of signals."""

    def request_shutdown(self) -> None:
        """Called on SIGTERM and SIGINT."""

    def reload(self) -> None:
        """Called on SIGHUP."""


def block_reload_signals() -> None:
    """Block SIGHUP until a handler is installed, since its default action ends the process."""
    signal.pthread_sigmask(signal.SIG_BLOCK, RELOAD_SIGNALS)


def block_shutdown_signals() -> None:
    """Block SIGTERM and SIGINT until a handler is installed, since clients may already be connected."""
    signal.pthread_sigmask(signal.SIG_BLOCK, SHUTDOWN_SIGNALS)


async def dispatch_signals(handler: SignalHandler) -> None:
    """Call the handler for each signal until cancelled, also during a shutdown."""
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
            block_reload_signals()  # a SIGHUP after the receiver closes must not end the shutdown early
