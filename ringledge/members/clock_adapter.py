"""Runs a decider on a clock of its own, beside deciders on the runner's clock."""

from __future__ import annotations

import time
from collections.abc import Callable
from typing import Any

from ringledge.decide.interface import Action, Decider


def boottime_s() -> float:
    """The clock of leases, s: monotonic, also while the process is stopped or the machine sleeps."""
    return time.clock_gettime(time.CLOCK_BOOTTIME)


class ClockAdapter:
    """Implements Decider: translates between the runner's clock and the decider's.

    Leases expire also while the machine sleeps; the other deciders run on the ordinary monotonic clock. The
    two clocks run at the same rate otherwise.
    """

    def __init__(
        self, decider: Decider, decider_clock: Callable[[], float], runner_clock: Callable[[], float]
    ) -> None:
        self._decider = decider
        self._decider_clock = decider_clock
        self._runner_clock = runner_clock

    def receive(self, now_s: float, sender: str, message: Any) -> list[Action]:
        """Handle a message, at the decider's time instead of `now_s`."""
        return self._decider.receive(self._decider_clock(), sender, message)

    def tick(self, now_s: float) -> list[Action]:
        """Do what is due, at the decider's time instead of `now_s`."""
        return self._decider.tick(self._decider_clock())

    def next_tick_s(self) -> float:
        """When the next call of `tick` is needed, on the runner's clock."""
        return self._decider.next_tick_s() - self._decider_clock() + self._runner_clock()
