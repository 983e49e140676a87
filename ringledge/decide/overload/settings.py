"""What deploy/overload.toml may say."""

from __future__ import annotations

from typing import Annotated

import msgspec
from msgspec import Meta

Part = Annotated[float, Meta(ge=0.05, le=1.0)]


class OverloadConfig(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Limits of what the conductor may use before it turns requests away."""

    target: Part = 0.9  # of limits.cores
    delay_ms: Annotated[float, Meta(ge=1, le=1000)] = 30.0  # that the loop, or an unread request, may be late
    memory_from: Part = 0.8  # of limits.memory_mb at which the least worth is turned away
    memory_to: Part = 0.95  # and the most
    held_part: Part = 0.3  # of limits.memory_mb that streams and kept answers may hold together
    descriptors: Part = 0.9  # of limits.sockets that counts as all of them
    turn_ms: Annotated[float, Meta(ge=1, le=1000)] = 8.0  # of reading bodies before others have their turn

    def __post_init__(self) -> None:
        if self.memory_to < self.memory_from:
            raise ValueError("memory_to is not below memory_from")
