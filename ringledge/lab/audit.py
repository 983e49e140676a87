"""Counts of requests over all stand-in servers."""

from __future__ import annotations

from collections import Counter
from dataclasses import dataclass, field

import orjson


@dataclass(slots=True)
class Audit:
    """Counts over all stand-in servers, and the requests in flight at them."""

    prefills: int = 0
    completed_streams: int = 0  # streams that were sent completely
    cancelled_streams: int = 0  # streams whose connection was closed before the end
    releases: int = 0
    repeated_decodes: int = 0  # requests that decode servers started more than once
    concurrent_attempts: int = 0  # attempts that arrived during another attempt of the same request
    decode_starts: Counter[str] = field(default_factory=Counter)  # by request id
    in_flight: set[str] = field(default_factory=set)  # request ids

    def as_json(self) -> bytes:
        """The counts as JSON; the keys are part of the lab's interface."""
        return orjson.dumps(
            {
                "reads": self.prefills,
                "answers": self.completed_streams,
                "cut": self.cancelled_streams,
                "released": self.releases,
                "twice": self.repeated_decodes,
                "together": self.concurrent_attempts,
                "out": len(self.in_flight),
            }
        )
