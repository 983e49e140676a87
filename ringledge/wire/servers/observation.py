"""What a router process observes of its servers, as input for detecting a partition of its site."""

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

SUCCESS_RESULTS = ("served", "broken")  # the request got a response, complete or not
FAILURE_RESULTS = ("refused", "failed")


class ServerObserver:
    """Observes servers through the policy's view and through connection results."""

    def __init__(self, conductor: Conductor, reachability: Reachability, metrics: Metrics) -> None:
        self._conductor = conductor
        self._reachability = reachability
        self._metrics = metrics

    def servers(self, now_s: float) -> list[ServerReachability]:
        """The observation of every listed server; times are on the clock that reads `now_s`."""
        now_ms = self._conductor.clock.now_ms()
        offset_s = now_s - now_ms / 1000
        unreachable = self._reachability.unreachable_servers(now_ms)
        return [
            ServerReachability(
                view.role is not Role.DECODE,
                view.role is not Role.PREFILL,
                view.availability is Availability.UP and view.server not in unreachable,
                not view.avoided,
                self._reachability.last_contact_ms(view.server) / 1000 + offset_s,
            )
            for view in server_views(self._conductor.policy, now_ms)
        ]

    def answers(self) -> tuple[float, float]:
        """How many requests got a response, and how many were rejected or failed, since the start."""
        counts = self._metrics.read(self._metrics.answers)

        def total(results: tuple[str, ...]) -> float:
            return sum(count for (result, *_), count in counts.items() if result in results)

        return total(SUCCESS_RESULTS), total(FAILURE_RESULTS)
