"""What all stand-in servers saw together."""

from __future__ import annotations

from collections import Counter
from dataclasses import dataclass, field

import orjson


@dataclass(slots=True)
class Audit:
    """What all stand-ins saw together."""

    reads: int = 0
    answers: int = 0  # streams that were written to their end
    cut: int = 0  # streams whose taker left
    released: int = 0
    twice: int = 0  # requests that a decode server began more than once
    together: int = 0  # attempts that came while another one of their request was out
    began: Counter[str] = field(default_factory=Counter)
    out: set[str] = field(default_factory=set)

    def as_json(self) -> bytes:
        """The counts as JSON."""
        names = ("reads", "answers", "cut", "released", "twice", "together")
        return orjson.dumps({name: getattr(self, name) for name in names} | {"out": len(self.out)})
