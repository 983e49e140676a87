"""A decider that lives by a clock of its own beside others."""

from __future__ import annotations

import time
from collections.abc import Callable
from typing import Any

from ringledge.decide.interface import Action, Decider


def now_s() -> float:
    """The clock of leases, s: monotonic, and it runs on while the process or the machine stands still."""
    return time.clock_gettime(time.CLOCK_BOOTTIME)


class ClockAdapter:
    """Implements Decider; the times that it is given are its runner's, those handed on of `clock`.

    Leases run out also while the machine sleeps; the rest of the fleet lives by the ordinary monotonic
    clock. The two run alike otherwise.
    """

    def __init__(self, decider: Decider, clock: Callable[[], float], runner: Callable[[], float]) -> None:
        self._decider, self._clock, self._runner = decider, clock, runner

    def receive(self, now_s: float, sender: str, message: Any) -> list[Action]:
        """Take a message."""
        return self._decider.receive(self._clock(), sender, message)

    def tick(self, now_s: float) -> list[Action]:
        """Do what is due."""
        return self._decider.tick(self._clock())

    def next_s(self) -> float:
        """When the next call is wanted, on the runner's clock."""
        return self._decider.next_s() - self._clock() + self._runner()
