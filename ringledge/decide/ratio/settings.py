"""Settings in deploy/ratio.toml."""

from __future__ import annotations

from typing import Annotated

import msgspec
from msgspec import Meta, field

Seconds = Annotated[float, Meta(gt=0, le=3_600)]
Fraction = Annotated[float, Meta(gt=0, le=1)]


class RatioConfig(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Settings of demand estimation, of role planning and of role changes.

    A `name` passed to `field` is the key in the file. Raises ValueError if settings contradict each other.
    """

    # Interval between planning rounds.
    planning_interval_s: Annotated[float, Meta(ge=0.2, le=60)] = field(name="look_s", default=1.0)
    fast_s: Seconds = 4.0  # averaging horizon after a significant shift of demand
    slow_s: Seconds = 24.0  # averaging horizon while demand varies only by noise
    # Number of standard deviations by which the two averages must differ to indicate a shift.
    significance: Annotated[float, Meta(ge=1, le=10)] = field(name="sure", default=2.0)
    # Age at which an unchanged report of a busy member is considered stale.
    stale_after_s: Seconds = field(name="old_s", default=6.0)
    headroom: Fraction = 0.85  # fraction of the servers' capacity that a plan may use
    # Longest time that requests wait for a role; after that they are rejected or miss their deadline.
    max_wait_s: Seconds = field(name="wait_s", default=2.0)
    # Smallest increase of the served fraction of the demand that justifies a role change.
    min_gain: Annotated[float, Meta(ge=0, le=1)] = field(name="least_gain", default=0.02)
    # Minimum time between two role changes of a server.
    min_dwell_s: Seconds = field(name="least_stay_s", default=30.0)
    # Fraction of a site's servers that may be cold for reasons other than a role change. A higher
    # fraction indicates that a software release is being rolled out.
    max_cold_fraction: Fraction = field(name="release_part", default=0.2)
    # Time after which every router has received an assignment.
    propagation_s: Seconds = field(name="spread_s", default=1.0)
    # Longest wait for work of the old role to end before the new role starts. No work is cancelled.
    drain_timeout_s: Seconds = field(name="drain_s", default=5.0)
    # Time after which a server in a new role has its full capacity.
    warm_up_s: Seconds = field(name="warm_s", default=5.0)

    def __post_init__(self) -> None:
        if self.slow_s < 2 * self.fast_s:
            raise ValueError("slow_s must be at least twice fast_s")
        if self.min_dwell_s < self.max_change_s:
            raise ValueError("least_stay_s must be at least spread_s + drain_s + warm_s")

    @property
    def max_change_s(self) -> float:
        """Longest duration of a role change, from the assignment until the server is stable."""
        return self.propagation_s + self.drain_timeout_s + self.warm_up_s
