"""SIGTERM and SIGINT ask for a stop in good order."""

from __future__ import annotations

import signal
from collections.abc import Callable

import anyio

from ringledge.lifecycle.logging import log


async def on_stop_signal(stop: Callable[[], None]) -> None:
    """Call `stop` at the first signal; the process ends when all is answered."""
    with anyio.open_signal_receiver(signal.SIGTERM, signal.SIGINT) as signals:
        async for number in signals:
            log.info("stopping", signal=signal.Signals(number).name)
            stop()
