"""Detects tenants that send more than their quota of the requests that arrive here."""

from __future__ import annotations

from collections.abc import Sequence
from dataclasses import dataclass
from math import exp

TIME_CONSTANT_MS = 2_000.0  # decay of the counts; detects a burst of a second, but not a pair of requests
# Factor on the fraction that a tenant may send: random variation alone exceeds the exact fraction.
QUOTA_SLACK = 1.25
MIN_BURST_REQUESTS = 8.0  # decaying count that every tenant may reach, however small its fraction


@dataclass(slots=True, frozen=True)
class TenantQuota:
    """One tenant's fraction of the service, and its quota in requests per s here, if it has one."""

    fraction: float
    quota_per_s: float | None = None


@dataclass(slots=True)
class DecayingCount:
    """Exponentially decaying count of requests."""

    value: float = 0.0
    at_ms: float = 0.0

    def decay(self, now_ms: float) -> float:
        """Decay the count to `now_ms` and return it; no effect if the clock went backwards."""
        if now_ms > self.at_ms:
            self.value *= exp((self.at_ms - now_ms) / TIME_CONSTANT_MS)
            self.at_ms = now_ms
        return self.value


class TenantQuotas:
    """Compares each tenant's requests within its quota with all requests.

    A tenant may send its quota or its fraction of all requests, whichever is larger. As both counts decay at
    the same rate, a simultaneous burst of all tenants puts none of them over its quota.
    """

    def __init__(self, quotas: Sequence[TenantQuota]) -> None:
        self._quotas = quotas
        self._within_quota = [DecayingCount() for _ in quotas]
        self._total = DecayingCount()

    def is_over_quota(self, now_ms: float, tenant: int) -> bool:
        """Count a request; returns whether it exceeds the tenant's quota. Unknown tenants have no quota."""
        total = self._total.decay(now_ms) + 1
        self._total.value = total
        if not 0 <= tenant < len(self._quotas):
            return False
        quota = self._quotas[tenant]
        within_quota = self._within_quota[tenant]
        allowed = max(MIN_BURST_REQUESTS, QUOTA_SLACK * quota.fraction * total)
        if quota.quota_per_s is not None:
            allowed = max(allowed, quota.quota_per_s * TIME_CONSTANT_MS / 1000)
        if within_quota.decay(now_ms) + 1 > allowed:
            return True
        within_quota.value += 1
        return False
