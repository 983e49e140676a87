"""What became of the load: counts and latency histograms of each class."""

from __future__ import annotations

from collections import Counter
from dataclasses import dataclass, field
from typing import Any

from hdrh.histogram import HdrHistogram

QUANTILES = (50, 90, 99, 99.9, 100)
MAX_US = 120_000_000  # the longest latency that is told apart


def histogram() -> Any:
    """Microseconds, to three digits."""
    return HdrHistogram(1, MAX_US, 3)


@dataclass(slots=True)
class Tally:
    """What became of one class's requests."""

    asked: int = 0
    in_time: int = 0  # served whole, its first token inside the aim
    ends: Counter[str] = field(default_factory=Counter)
    served_us: Any = field(default_factory=histogram)  # to the first token
    refused_us: Any = field(default_factory=histogram)

    def as_json(self) -> dict[str, Any]:
        """As JSON."""
        return {
            "asked": self.asked,
            "served_share": round(self.ends["served"] / max(1, self.asked), 4),
            "in_time_share": round(self.in_time / max(1, self.asked), 4),
            "ends": dict(self.ends),
            "first_token_ms": quantiles(self.served_us),
            "refused_ms": quantiles(self.refused_us),
        }


def quantiles(values: Any) -> dict[str, float]:
    """Some quantiles, in milliseconds."""
    if not values.get_total_count():
        return {}
    return {f"p{q:g}": values.get_value_at_percentile(q) / 1000 for q in QUANTILES}
