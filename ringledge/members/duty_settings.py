"""Settings of leased duties: the keys of deploy/duties.toml."""

from __future__ import annotations

from typing import Annotated

import msgspec
from msgspec import Meta

from ringledge.decide.leases.acquisition import AcquisitionDelays
from ringledge.decide.leases.messages import MAX_GENERATION, MAX_NAME_BYTES, LeaseTerms

Name = Annotated[str, Meta(min_length=1, max_length=MAX_NAME_BYTES)]
LeaseSeconds = Annotated[float, Meta(ge=0.5, le=60)]


class DutiesConfig(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """The acceptors, the duration of leases, the assumed clock drift, and how duties are distributed."""

    acceptors: Annotated[list[Name], Meta(min_length=3, max_length=5)] = msgspec.field(name="voters")
    generation: Annotated[int, Meta(ge=1, le=MAX_GENERATION)] = 1
    lease_s: LeaseSeconds = 3.0
    max_lease_s: LeaseSeconds | None = msgspec.field(name="longest_s", default=None)  # None means lease_s
    clock_drift: Annotated[float, Meta(ge=0, le=0.5)] = msgspec.field(name="rate", default=0.1)
    max_candidates: Annotated[int, Meta(ge=2, le=200)] = msgspec.field(name="candidates", default=5)
    overloaded_delay_s: Annotated[float, Meta(ge=0, le=3600)] = msgspec.field(
        name="overloaded_s", default=10.0
    )

    def __post_init__(self) -> None:
        self.terms()  # raises ValueError if the settings are inconsistent
        if any(len(name.encode()) > MAX_NAME_BYTES for name in self.acceptors):
            raise ValueError(f"voters: a name must have at most {MAX_NAME_BYTES} bytes")

    def terms(self) -> LeaseTerms:
        """Return the terms that all members have to agree on."""
        max_lease_s = self.lease_s if self.max_lease_s is None else self.max_lease_s
        return LeaseTerms(tuple(self.acceptors), self.lease_s, max_lease_s, self.clock_drift, self.generation)

    def acquisition_delays(self) -> AcquisitionDelays:
        """Return the delays by which duties are distributed over the members."""
        return AcquisitionDelays(
            max_candidates=self.max_candidates,
            overloaded_s=self.overloaded_delay_s,
            after_release_s=self.lease_s,
        )
