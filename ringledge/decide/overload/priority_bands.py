"""Bands of requests by priority: how much of the CPU budget, or of the memory, each of them may use."""

from __future__ import annotations

from collections.abc import Sequence

from ringledge.decide.overload.messages import OverloadLimits, RejectionReason, ResourceSample

# Reserves as fractions of the budget's depth: of the lowest band, of the last but one, and of the highest,
# whose debt (a fifth of a second's work) chance must not use up.
LOWEST_RESERVE, UPPER_RESERVE, HIGHEST_RESERVE = 0.6, -0.5, -3.5
HYSTERESIS = 0.03  # fraction of the memory that has to come free before a band is admitted again


class PriorityBands:
    """Requests in order of priority: a band for each class within its tenant's quota, and beyond it."""

    def __init__(self, priority_weights: Sequence[float], over_quota_weight: float) -> None:
        self._priority_weights = list(priority_weights)
        self._over_quota_weight = over_quota_weight
        weights = {weight * factor for weight in priority_weights for factor in (1.0, over_quota_weight)}
        self._bands = {weight: band for band, weight in enumerate(sorted(weights))}
        self.highest = len(weights) - 1

    def band_of(self, class_index: int, over_quota: bool) -> int:
        """The rank of such requests in the order of priority, from 0 up."""
        factor = self._over_quota_weight if over_quota else 1.0
        return self._bands[self._priority_weights[class_index] * factor]

    def reserve(self, band: int) -> float:
        """What a band has to leave in the budget, as a fraction of its depth; debt is below 0."""
        if band == self.highest:
            return HIGHEST_RESERVE
        position = band / (self.highest - 1) if self.highest > 1 else 1.0
        return LOWEST_RESERVE + (UPPER_RESERVE - LOWEST_RESERVE) * position


class ResourceBands:
    """Closes bands one by one as memory or descriptors run short, the lowest priority first."""

    def __init__(self, limits: OverloadLimits, highest: int) -> None:
        self._limits = limits
        self._highest = highest
        self._closed = [False] * (highest + 1)
        self._reason = RejectionReason.MEMORY

    @property
    def any_closed(self) -> bool:
        """Whether a band is closed now; the lowest closes first."""
        return self._closed[0]

    def update(self, sample: ResourceSample) -> None:
        """Close and open bands by how much of the memory and of the descriptors is used."""
        used = max(sample.memory_fraction, sample.buffered_fraction, sample.descriptor_fraction)
        descriptors_are_short = sample.descriptor_fraction >= used
        self._reason = RejectionReason.DESCRIPTORS if descriptors_are_short else RejectionReason.MEMORY
        start = self._limits.memory_shed_start
        end = self._limits.memory_shed_end
        for band, closed in enumerate(self._closed):
            position = band / self._highest if self._highest else 1.0
            bound = start + (end - start) * position
            self._closed[band] = used >= bound - (HYSTERESIS if closed else 0.0)

    def rejection_reason(self, band: int) -> RejectionReason | None:
        """Which resource is short, if the band is closed."""
        return self._reason if self._closed[band] else None
