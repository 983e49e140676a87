"""The settings of deploy/ratio.toml."""

from __future__ import annotations

from typing import Annotated

import msgspec
from msgspec import Meta, field

Seconds = Annotated[float, Meta(gt=0, le=3_600)]
Fraction = Annotated[float, Meta(gt=0, le=1)]


class RatioConfig(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """How demand is measured, how often a server's role may change, and how a change proceeds.

    Names in `field` are the keys of the file. Raises ValueError where two settings contradict each other.
    """

    # Time between two planning rounds.
    planning_interval_s: Annotated[float, Meta(ge=0.2, le=60)] = field(name="look_s", default=1.0)
    fast_s: Seconds = 4.0  # averaging horizon that follows a shift
    slow_s: Seconds = 24.0  # averaging horizon that counts while nothing but noise is seen
    # Standard deviations by which the two horizons must differ.
    significance: Annotated[float, Meta(ge=1, le=10)] = field(name="sure", default=2.0)
    # A busy member's report that is unchanged for so long is stale.
    stale_after_s: Seconds = field(name="old_s", default=6.0)
    headroom: Fraction = 0.85  # fraction of the servers' capacity that may be planned for
    # How long requests wait for a role; beyond it they are rejected or late.
    max_wait_s: Seconds = field(name="wait_s", default=2.0)
    # Fraction of the demand that a change must gain.
    min_gain: Annotated[float, Meta(ge=0, le=1)] = field(name="least_gain", default=0.02)
    # How long a server keeps a role at least.
    min_dwell_s: Seconds = field(name="least_stay_s", default=30.0)
    # Fraction of a site's servers that may be cold without a change of role; above it a release is running.
    max_cold_fraction: Fraction = field(name="release_part", default=0.2)
    # Until an assignment has reached every conductor.
    propagation_s: Seconds = field(name="spread_s", default=1.0)
    # Longest wait for work of the old role before the new one begins; no work is cancelled.
    drain_timeout_s: Seconds = field(name="drain_s", default=5.0)
    # Until a server in a new role has its full capacity.
    warm_up_s: Seconds = field(name="warm_s", default=5.0)

    def __post_init__(self) -> None:
        if self.slow_s < 2 * self.fast_s:
            raise ValueError("slow_s is at least twice fast_s")
        if self.min_dwell_s < self.max_change_s:
            raise ValueError("least_stay_s is at least spread_s + drain_s + warm_s")

    @property
    def max_change_s(self) -> float:
        """Longest duration of a change, from its request until the server is stable."""
        return self.propagation_s + self.drain_timeout_s + self.warm_up_s
