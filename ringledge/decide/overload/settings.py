"""Settings in deploy/overload.toml; a `name` passed to `field` is the key in the file."""

from __future__ import annotations

from typing import Annotated

import msgspec
from msgspec import Meta

Fraction = Annotated[float, Meta(ge=0.05, le=1.0)]
Milliseconds = Annotated[float, Meta(ge=1, le=1000)]


class OverloadConfig(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Limits of resource use from which the router rejects requests."""

    cpu_target: Fraction = msgspec.field(name="target", default=0.9)  # fraction of limits.cores
    # Largest delay of the event loop, and of the reading of a request.
    max_delay_ms: Milliseconds = msgspec.field(name="delay_ms", default=30.0)
    # Fractions of limits.memory_mb from which the lowest and the highest priority are rejected.
    memory_shed_start: Fraction = msgspec.field(name="memory_from", default=0.8)
    memory_shed_end: Fraction = msgspec.field(name="memory_to", default=0.95)
    # Fraction of limits.memory_mb that streams and retained responses may buffer together.
    max_buffered_fraction: Fraction = msgspec.field(name="held_part", default=0.3)
    # Fraction of limits.sockets that is treated as all of them.
    max_descriptor_fraction: Fraction = msgspec.field(name="descriptors", default=0.9)
    # Longest time for reading bodies before other tasks of the event loop run.
    max_turn_ms: Milliseconds = msgspec.field(name="turn_ms", default=8.0)

    def __post_init__(self) -> None:
        if self.memory_shed_end < self.memory_shed_start:
            raise ValueError("memory_to is not below memory_from")
