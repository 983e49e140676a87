"""What deploy/duties.toml may say."""

from __future__ import annotations

from typing import Annotated

import msgspec
from msgspec import Meta

from ringledge.decide.leases.manager import Spread
from ringledge.decide.leases.messages import MOST_GENERATION, MOST_NAME, LeaseTerms

Name = Annotated[str, Meta(min_length=1, max_length=MOST_NAME)]


class DutiesConfig(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Who votes, for how long a duty is held, and how far clocks may be off."""

    voters: Annotated[list[Name], Meta(min_length=3, max_length=5)]
    generation: Annotated[int, Meta(ge=1, le=MOST_GENERATION)] = 1
    lease_s: Annotated[float, Meta(ge=0.5, le=60)] = 3.0
    longest_s: Annotated[float, Meta(ge=0.5, le=60)] | None = None  # lease_s, where it isn't given
    rate: Annotated[float, Meta(ge=0, le=0.5)] = 0.1
    candidates: Annotated[int, Meta(ge=2, le=200)] = 5
    overloaded_s: Annotated[float, Meta(ge=0, le=3600)] = 10.0

    def __post_init__(self) -> None:
        self.terms()  # says what is wrong with them
        if any(len(each.encode()) > MOST_NAME for each in self.voters):
            raise ValueError(f"voters: names of at most {MOST_NAME} bytes")

    def terms(self) -> LeaseTerms:
        """What all members have to agree on."""
        longest_s = self.lease_s if self.longest_s is None else self.longest_s
        return LeaseTerms(tuple(self.voters), self.lease_s, longest_s, self.rate, self.generation)

    def spread(self) -> Spread:
        """How duties come to be spread over members."""
        return Spread(candidates=self.candidates, overloaded_s=self.overloaded_s, rest_s=self.lease_s)
