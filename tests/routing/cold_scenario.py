"""A scenario of a cold server in a fleet, and what it was sent."""

from __future__ import annotations

from dataclasses import dataclass

START_MS = 1_000_000.0
MAX_UPDATE_DELAY_MS = 50.0  # until all routers have the update with the cold server
SERVERS_PER_ROLE = 6  # servers of each role
TRAFFIC_WEIGHTS = (0.3, 0.5, 0.7, 1.0, 4.0)  # traffic of routers, in turn, against each other
PREFILL_TOKENS_PER_MS = 20.0
SMALL, LARGE = 0, 1


@dataclass(slots=True, frozen=True)
class Scenario:
    """One deployment and the load on it."""

    routers: int
    cold_capacity: float = 0.28
    overload_multiple: float = 3.0
    overload_window_ms: float = 3_000.0
    warm_after_ms: float = 13_000.0
    mean_tokens: float = 1_500.0  # of the prompts of the smaller class
    work_ratio: float = 10.0  # of the larger class's work to the smaller's
    load: float = 0.7  # part of the warm fleet's capacity that is asked for before the burst
    burst_factor: float = 1.5
    large_share: float = 0.2  # part of all requests that belong to the larger class
    large_share_in_burst: float | None = None  # the same in the burst, if it differs
    quiet_ms: float = 0.0  # after the cold server's start until its burst
    cold_decode_server: bool = False  # the cold server is a writer
    lead_ms: float = 14_000.0  # before the cold server's start
    unlimited_service: bool = (
        False  # the cold server answers at once, however much it is sent: it draws all it may get
    )

    @property
    def work(self) -> tuple[float, float]:
        """Tokens read by requests of each class, their fixed cost included."""
        return self.mean_tokens + 300.0, self.work_ratio * (self.mean_tokens + 300.0)

    @property
    def mean_work(self) -> float:
        small, large = self.work
        return (1 - self.large_share) * small + self.large_share * large

    @property
    def capacity_per_ms(self) -> float:
        """Requests of mean work per ms that one warm server completes."""
        return PREFILL_TOKENS_PER_MS / self.mean_work

    def warmth(self, age_ms: float) -> float:
        """By the settings: linear from `cold_capacity` at the start to 1 after `warm_after_ms`."""
        part = min(1.0, max(0.0, age_ms) / self.warm_after_ms)
        return self.cold_capacity + (1 - self.cold_capacity) * part


@dataclass(slots=True, frozen=True)
class ColdAttempt:
    """One request that was sent to the cold server."""

    age_ms: float  # since the server's start
    weight: float  # its class's mean work against the mean of all
    router: int
