"""The type of a fault in the plan of a soak."""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import Any


@dataclass(slots=True)
class PlannedFault:
    """One fault of a plan; times are in s from the start of the load."""

    kind: str
    target: str  # the name of a router or of a server process
    at_s: float
    until_s: float
    detail: dict[str, Any] = field(default_factory=dict)
