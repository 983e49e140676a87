"""The settings in deploy/overload.toml; `name=` gives the key where it differs from the field."""

from __future__ import annotations

from typing import Annotated

import msgspec
from msgspec import Meta

Fraction = Annotated[float, Meta(ge=0.05, le=1.0)]
Milliseconds = Annotated[float, Meta(ge=1, le=1000)]


class OverloadConfig(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Limits of the resources that the conductor may use before it rejects requests."""

    cpu_target: Fraction = msgspec.field(name="target", default=0.9)  # of limits.cores
    # How late the event loop, or an unread request, may be.
    max_delay_ms: Milliseconds = msgspec.field(name="delay_ms", default=30.0)
    # Fractions of limits.memory_mb at which the lowest and the highest priority are rejected.
    memory_shed_start: Fraction = msgspec.field(name="memory_from", default=0.8)
    memory_shed_end: Fraction = msgspec.field(name="memory_to", default=0.95)
    # Of limits.memory_mb that streams and retained responses may buffer together.
    max_buffered_fraction: Fraction = msgspec.field(name="held_part", default=0.3)
    # Of limits.sockets that counts as all of them.
    max_descriptor_fraction: Fraction = msgspec.field(name="descriptors", default=0.9)
    # Time spent reading bodies before other tasks of the event loop have their turn.
    max_turn_ms: Milliseconds = msgspec.field(name="turn_ms", default=8.0)

    def __post_init__(self) -> None:
        if self.memory_shed_end < self.memory_shed_start:
            raise ValueError("memory_to is not below memory_from")
