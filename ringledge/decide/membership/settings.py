"""Settings of the failure detector and of dissemination (the table `probe` of deploy/members.toml)."""

from __future__ import annotations

import math
from typing import Annotated

import msgspec
from msgspec import Meta

Seconds = Annotated[float, Meta(ge=0.02, le=60)]
SmallCount = Annotated[int, Meta(ge=1, le=16)]


class ProbeConfig(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Times and counts of SWIM; suspicion timeout and transmissions grow with the log of the group size."""

    interval_s: Seconds = 0.5  # time between two probes that a member sends
    # Without an Ack within this time the member requests indirect probes; a datagram takes 27 ms at most.
    ack_timeout_s: Seconds = msgspec.field(name="answer_s", default=0.15)
    indirect_probes: SmallCount = msgspec.field(name="indirect", default=3)  # helpers per indirect probe
    # Intervals until a suspect is declared dead, in a group of up to 10 members.
    suspicion_intervals: Annotated[float, Meta(ge=1, le=100)] = msgspec.field(name="suspicion", default=4.0)
    # Times that a member transmits an update, in a group of up to 10 members.
    retransmit_multiplier: SmallCount = msgspec.field(name="repeats", default=4)

    def __post_init__(self) -> None:
        if self.ack_timeout_s > self.interval_s / 2:
            raise ValueError("answer_s: half of interval_s at most, to leave time for indirect probes")

    def suspicion_timeout_s(self, members: int) -> float:
        """How long a suspect has to refute, in a group of `members`."""
        return self.suspicion_intervals * max(1.0, math.log10(max(1, members))) * self.interval_s

    def transmit_limit(self, members: int) -> int:
        """How many times each member transmits an update, in a group of `members`."""
        return self.retransmit_multiplier * max(1, math.ceil(math.log10(members + 1)))
