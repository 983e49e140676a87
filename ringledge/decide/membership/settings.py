"""How members look for one another (the table `probe` of deploy/members.toml)."""

from __future__ import annotations

import math
from typing import Annotated

import msgspec
from msgspec import Meta

Seconds = Annotated[float, Meta(ge=0.02, le=60)]
Few = Annotated[int, Meta(ge=1, le=16)]


class ProbeConfig(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Times and counts of SWIM."""

    interval_s: Seconds = 0.5  # between two probes by one member
    answer_s: Seconds = 0.15  # without an answer for so long others are asked; a datagram takes 27 ms at most
    indirect: Few = 3  # others that are asked
    suspicion: Annotated[float, Meta(ge=1, le=100)] = (
        4.0  # intervals until a suspect is dead, up to 10 members
    )
    repeats: Few = 4  # times that a member passes a piece of news on, up to 10 members

    def __post_init__(self) -> None:
        if self.answer_s > self.interval_s / 2:
            raise ValueError("answer_s: half of interval_s at most, or nobody has time to be asked")

    def suspicion_s(self, members: int) -> float:
        """How long a suspect has to refute, s: news takes a time that grows as the logarithm."""
        return self.suspicion * max(1.0, math.log10(max(1, members))) * self.interval_s

    def times(self, members: int) -> int:
        """How often each member passes a piece of news on."""
        return self.repeats * max(1, math.ceil(math.log10(members + 1)))
