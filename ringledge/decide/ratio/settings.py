"""What deploy/ratio.toml may say."""

from __future__ import annotations

from typing import Annotated

import msgspec
from msgspec import Meta

Seconds = Annotated[float, Meta(gt=0, le=3_600)]
Part = Annotated[float, Meta(gt=0, le=1)]


class RatioConfig(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """How the planner measures, how often a server's role may change, and how a change goes on."""

    look_s: Annotated[float, Meta(ge=0.2, le=60)] = 1.0  # between two looks of the planner
    fast_s: Seconds = 4.0  # horizon that follows a shift
    slow_s: Seconds = 24.0  # horizon that counts while nothing but noise is seen
    sure: Annotated[float, Meta(ge=1, le=10)] = 2.0  # standard deviations that the two must be apart
    old_s: Seconds = 6.0  # unchanged for that long, what a member tells counts as old
    headroom: Part = 0.85  # part of what servers get through that may be planned for
    wait_s: Seconds = 2.0  # that requests wait for a role; beyond it they are turned away or late
    least_gain: Annotated[float, Meta(ge=0, le=1)] = 0.02  # of what is asked for: fewer is no reason to move
    least_stay_s: Seconds = 30.0  # that a server keeps a role
    release_part: Part = 0.2  # of a site's servers that are cold by themselves: a release runs
    spread_s: Seconds = 1.0  # until what is told has reached every conductor
    drain_s: Seconds = 5.0  # longest wait for old work before the new role begins; no work is cut off
    warm_s: Seconds = 5.0  # until a server in a new role bears as much as others

    def __post_init__(self) -> None:
        if self.slow_s < 2 * self.fast_s:
            raise ValueError("slow_s is at least twice fast_s")
        if self.least_stay_s < self.change_s:
            raise ValueError("least_stay_s is at least spread_s + drain_s + warm_s")

    @property
    def change_s(self) -> float:
        """How long a change takes at most, from the asking until the server is back."""
        return self.spread_s + self.drain_s + self.warm_s
