"""Scenario of a cold server in a fleet, and a record of the attempts sent to it."""

from __future__ import annotations

from dataclasses import dataclass

START_MS = 1_000_000.0
MAX_UPDATE_DELAY_MS = 50.0  # maximum time until a router gets the update that lists the cold server
SERVERS_PER_ROLE = 6
TRAFFIC_WEIGHTS = (0.3, 0.5, 0.7, 1.0, 4.0)  # relative traffic, assigned to the routers in turn
PREFILL_TOKENS_PER_MS = 20.0
SMALL, LARGE = 0, 1


@dataclass(slots=True, frozen=True)
class Scenario:
    """A deployment and its load."""

    routers: int
    cold_capacity: float = 0.28
    overload_multiple: float = 3.0
    overload_window_ms: float = 3_000.0
    warm_after_ms: float = 13_000.0
    mean_tokens: float = 1_500.0  # mean prompt length of the small class
    work_ratio: float = 10.0  # work of a large request relative to a small one
    load: float = 0.7  # offered load before the burst, relative to the capacity of the warm fleet
    burst_factor: float = 1.5
    large_share: float = 0.2  # share of requests that belong to the large class
    large_share_in_burst: float | None = None  # the same during the burst, if different
    quiet_ms: float = 0.0  # time between the cold server's start and the burst
    cold_decode_server: bool = False  # whether the cold server decodes
    lead_ms: float = 14_000.0  # time before the cold server's start
    # Whether the cold server answers at once regardless of its load, and so attracts as much as it may get.
    unlimited_service: bool = False

    @property
    def work(self) -> tuple[float, float]:
        """Prefill work in tokens per request of each class, including the fixed cost."""
        return self.mean_tokens + 300.0, self.work_ratio * (self.mean_tokens + 300.0)

    @property
    def mean_work(self) -> float:
        small, large = self.work
        return (1 - self.large_share) * small + self.large_share * large

    @property
    def capacity_per_ms(self) -> float:
        """Requests of mean work that one warm server completes per ms."""
        return PREFILL_TOKENS_PER_MS / self.mean_work

    def warmth(self, age_ms: float) -> float:
        """Return the warmth by the settings: linear from `cold_capacity` to 1 after `warm_after_ms`."""
        progress = min(1.0, max(0.0, age_ms) / self.warm_after_ms)
        return self.cold_capacity + (1 - self.cold_capacity) * progress


@dataclass(slots=True, frozen=True)
class ColdAttempt:
    """One attempt that was sent to the cold server."""

    age_ms: float  # time since the server's start
    weight: float  # mean work of its class relative to the mean of all requests
    router: int
