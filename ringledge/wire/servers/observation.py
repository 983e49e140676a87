"""What one conductor sees of its servers, for the decision whether its site is cut off."""

from __future__ import annotations

from ringledge.core.conductor import Conductor
from ringledge.decide.replay.partition_detection import ServerReachability
from ringledge.decide.servers.reachability import Reachability
from ringledge.observe.metrics import Metrics
from ringledge.routing.interface import (
    Availability,
    Role,
)
from ringledge.routing.server_views import server_views

SERVED, NOT = ("served", "broken"), ("refused", "failed")


class Sight:
    """Looks through the policy's view and at what connections have met."""

    def __init__(self, conductor: Conductor, reach: Reachability, metrics: Metrics) -> None:
        self._conductor, self._reach, self._metrics = conductor, reach, metrics

    def servers(self, now_s: float) -> list[ServerReachability]:
        """Every server of the list, with times on the clock that reads `now_s`."""
        now_ms = self._conductor.clock.now_ms()
        offset_s = now_s - now_ms / 1000
        silent, up = self._reach.silences(now_ms), Availability.UP
        return [
            ServerReachability(
                each.role is not Role.DECODE,
                each.role is not Role.PREFILL,
                each.availability is up and each.server not in silent,
                not each.avoided,
                self._reach.heard_ms(each.server) / 1000 + offset_s,
            )
            for each in server_views(self._conductor.policy, now_ms)
        ]

    def answers(self) -> tuple[float, float]:
        """Requests that have got an answer, and that were refused or failed, since the start."""
        told = self._metrics.read(self._metrics.answers)
        sums = [sum(count for (how, *_), count in told.items() if how in hows) for hows in (SERVED, NOT)]
        return sums[0], sums[1]
