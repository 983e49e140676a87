"""The results of a load: counts and latency histograms by request class."""

from __future__ import annotations

from collections import Counter
from dataclasses import dataclass, field
from typing import Any

from hdrh.histogram import HdrHistogram

QUANTILES = (50, 90, 99, 99.9, 100)
MAX_US = 120_000_000  # the highest latency that a histogram can record


def latency_histogram_us() -> Any:
    """Create a histogram of latencies in microseconds, with a precision of three significant digits."""
    return HdrHistogram(1, MAX_US, 3)


@dataclass(slots=True)
class ClassReport:
    """The results for one request class."""

    requests: int = 0
    within_objective: int = 0  # served, with the first token within the latency objective
    outcomes: Counter[str] = field(default_factory=Counter)
    first_token_us: Any = field(default_factory=latency_histogram_us)
    rejected_us: Any = field(default_factory=latency_histogram_us)

    def as_json(self) -> dict[str, Any]:
        """The results for JSON; the keys are part of the lab's interface."""
        return {
            "asked": self.requests,
            "served_share": round(self.outcomes["served"] / max(1, self.requests), 4),
            "in_time_share": round(self.within_objective / max(1, self.requests), 4),
            "ends": dict(self.outcomes),
            "first_token_ms": quantiles_ms(self.first_token_us),
            "refused_ms": quantiles_ms(self.rejected_us),
        }


def quantiles_ms(histogram_us: Any) -> dict[str, float]:
    """The QUANTILES in milliseconds, by name, of a histogram in microseconds; empty if it has no values."""
    if not histogram_us.get_total_count():
        return {}
    return {f"p{q:g}": histogram_us.get_value_at_percentile(q) / 1000 for q in QUANTILES}
