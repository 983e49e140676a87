"""Priority bands of requests, and how much of the CPU budget or of other resources each band may use."""

from __future__ import annotations

from collections.abc import Sequence

from ringledge.decide.overload.messages import OverloadLimits, RejectionReason, ResourceSample

# Reserves of the lowest, the second highest and the highest band, as fractions of the budget's depth. The
# debt allowed to the highest band (work of 0.2 s) is so large that random bursts do not use it up.
LOWEST_RESERVE, SECOND_HIGHEST_RESERVE, HIGHEST_RESERVE = 0.6, -0.5, -3.5
HYSTERESIS = 0.03  # fraction of the resource that has to be freed before a band is admitted again


class PriorityBands:
    """Ranks requests by priority; each class has a band within the tenant's quota and one over it."""

    def __init__(self, priority_weights: Sequence[float], over_quota_weight: float) -> None:
        self._priority_weights = list(priority_weights)
        self._over_quota_weight = over_quota_weight
        weights = {weight * factor for weight in priority_weights for factor in (1.0, over_quota_weight)}
        self._bands = {weight: band for band, weight in enumerate(sorted(weights))}
        self.highest_band = len(weights) - 1

    def band_of(self, class_index: int, over_quota: bool) -> int:
        """The band of requests of a class; 0 is the lowest priority."""
        factor = self._over_quota_weight if over_quota else 1.0
        return self._bands[self._priority_weights[class_index] * factor]

    def reserve(self, band: int) -> float:
        """Budget that a band has to leave unused, as a fraction of the depth; negative values allow debt."""
        if band == self.highest_band:
            return HIGHEST_RESERVE
        position = band / (self.highest_band - 1) if self.highest_band > 1 else 1.0
        return LOWEST_RESERVE + (SECOND_HIGHEST_RESERVE - LOWEST_RESERVE) * position


class ResourceBands:
    """Closes bands one by one as memory or descriptors run short, starting with the lowest priority."""

    def __init__(self, limits: OverloadLimits, highest_band: int) -> None:
        self._limits = limits
        self._highest_band = highest_band
        self._closed = [False] * (highest_band + 1)
        self._reason = RejectionReason.MEMORY

    @property
    def any_closed(self) -> bool:
        """Whether any band is closed now; the lowest band closes first."""
        return self._closed[0]

    def update(self, sample: ResourceSample) -> None:
        """Close and open bands by the used fractions of memory, buffers and descriptors."""
        used_fraction = max(sample.memory_fraction, sample.buffered_fraction, sample.descriptor_fraction)
        descriptors_are_short = sample.descriptor_fraction >= used_fraction
        self._reason = RejectionReason.DESCRIPTORS if descriptors_are_short else RejectionReason.MEMORY
        first_bound = self._limits.memory_shed_start
        last_bound = self._limits.memory_shed_end
        for band, closed in enumerate(self._closed):
            position = band / self._highest_band if self._highest_band else 1.0
            bound = first_bound + (last_bound - first_bound) * position
            self._closed[band] = used_fraction >= bound - (HYSTERESIS if closed else 0.0)

    def rejection_reason(self, band: int) -> RejectionReason | None:
        """The resource that is short if the band is closed, else None."""
        return self._reason if self._closed[band] else None
