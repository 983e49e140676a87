"""Adapter for a decider whose clock differs from the clock of the service that runs it."""

from __future__ import annotations

import time
from collections.abc import Callable
from typing import Any

from ringledge.decide.interface import Action, Decider


def boottime_s() -> float:
    """Return CLOCK_BOOTTIME in seconds: monotonic, and it advances while the machine is suspended."""
    return time.clock_gettime(time.CLOCK_BOOTTIME)


class ClockAdapter:
    """Implements Decider by translating between the clock of the service and that of the wrapped decider.

    Leases also expire while the machine is suspended, so their decider needs CLOCK_BOOTTIME. The other
    deciders use the monotonic clock, which runs at the same rate but stops during suspension.
    """

    def __init__(
        self, decider: Decider, decider_clock: Callable[[], float], service_clock: Callable[[], float]
    ) -> None:
        self._decider = decider
        self._decider_clock = decider_clock
        self._service_clock = service_clock

    def receive(self, now_s: float, sender: str, message: Any) -> list[Action]:
        """Pass on a message with the decider's own time; `now_s` is ignored."""
        return self._decider.receive(self._decider_clock(), sender, message)

    def tick(self, now_s: float) -> list[Action]:
        """Tick the decider with its own time; `now_s` is ignored."""
        return self._decider.tick(self._decider_clock())

    def next_tick_s(self) -> float:
        """Return when `tick` is due next, on the clock of the service."""
        return self._decider.next_tick_s() - self._decider_clock() + self._service_clock()
