"""Bands of requests by worth: which of them may use how much of the budget, or of the memory."""

from __future__ import annotations

from collections.abc import Sequence

from ringledge.decide.overload.messages import Limits, Reason, Sample

# Reserves as parts of the budget's depth: of the least worth, of the last band but one, and of the most
# worth, whose debt (a fifth of a second's work) chance must not use up.
LOWEST_RESERVE, UPPER_RESERVE, HIGHEST_RESERVE = 0.6, -0.5, -3.5
HYSTERESIS = 0.03  # of the memory that has to come free before a band is admitted again


class WorthBands:
    """Requests in order of worth: a band for each class within its tenant's share, and beyond it."""

    def __init__(self, worths: Sequence[float], over_share_worth: float) -> None:
        self._worths, self._over_share_worth = list(worths), over_share_worth
        values = {worth * part for worth in worths for part in (1.0, over_share_worth)}
        self._bands = {value: band for band, value in enumerate(sorted(values))}
        self.highest = len(values) - 1

    def band(self, class_index: int, over_share: bool) -> int:
        """The place of such requests in the order of worth, from 0 up."""
        part = self._over_share_worth if over_share else 1.0
        return self._bands[self._worths[class_index] * part]

    def reserve(self, band: int) -> float:
        """What a band has to leave of the budget, as a part of its depth; debt is below 0."""
        if band == self.highest:
            return HIGHEST_RESERVE
        part = band / (self.highest - 1) if self.highest > 1 else 1.0
        return LOWEST_RESERVE + (UPPER_RESERVE - LOWEST_RESERVE) * part


class ResourceBands:
    """Closes bands one by one as memory or descriptors run short, the least worth first."""

    def __init__(self, limits: Limits, highest: int) -> None:
        self._limits, self._highest = limits, highest
        self._closed = [False] * (highest + 1)
        self._reason = Reason.MEMORY

    @property
    def any_closed(self) -> bool:
        """Whether a band is closed now; the lowest closes first."""
        return self._closed[0]

    def update(self, sample: Sample) -> None:
        """Close and open bands by what is left of the memory and the descriptors."""
        used = max(sample.memory, sample.held, sample.descriptors)
        self._reason = Reason.DESCRIPTORS if sample.descriptors >= used else Reason.MEMORY
        first, last = self._limits.memory_from, self._limits.memory_to
        for band, closed in enumerate(self._closed):
            part = band / self._highest if self._highest else 1.0
            bound = first + (last - first) * part
            self._closed[band] = used >= bound - (HYSTERESIS if closed else 0.0)

    def rejection_reason(self, band: int) -> Reason | None:
        """What is short, where the band is closed."""
        return self._reason if self._closed[band] else None
