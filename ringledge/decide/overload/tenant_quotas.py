"""Which tenants send more than their quota of the requests that arrive here."""

from __future__ import annotations

from collections.abc import Sequence
from dataclasses import dataclass
from math import exp

WINDOW_MS = 2_000.0  # time constant of the decaying counts: a burst of a second shows, a pair of requests not
QUOTA_SLACK = 1.25  # of its fraction that a tenant may send: at exactly its fraction, chance alone exceeds it
MIN_BURST = 8.0  # requests in the window that any tenant may send, however small its fraction


@dataclass(slots=True, frozen=True)
class TenantQuota:
    """One tenant's fraction of the service, and its quota here in requests a second, if it has one."""

    fraction: float
    quota_per_s: float | None = None


@dataclass(slots=True)
class DecayingCount:
    """Requests in the window, decaying exponentially."""

    value: float = 0.0
    at_ms: float = 0.0

    def decay(self, now_ms: float) -> float:
        """Decay the count to `now_ms` and return it; a clock that went back changes nothing."""
        if now_ms > self.at_ms:
            self.value *= exp((self.at_ms - now_ms) / WINDOW_MS)
            self.at_ms = now_ms
        return self.value


class TenantQuotas:
    """Compares each tenant's requests within its quota with all requests.

    A tenant may send its quota or its fraction of all requests, whichever is more. Since both are counted
    over the same window, a burst of all tenants together puts none of them over its quota.
    """

    def __init__(self, quotas: Sequence[TenantQuota]) -> None:
        self._quotas = quotas
        self._within_quota = [DecayingCount() for _ in quotas]
        self._total = DecayingCount()

    def is_over_quota(self, now_ms: float, tenant: int) -> bool:
        """Count one request of the tenant; whether it exceeds the quota. Unknown tenants have none."""
        total = self._total.decay(now_ms) + 1
        self._total.value = total
        if not 0 <= tenant < len(self._quotas):
            return False
        quota = self._quotas[tenant]
        within_quota = self._within_quota[tenant]
        allowed = max(MIN_BURST, QUOTA_SLACK * quota.fraction * total)
        if quota.quota_per_s is not None:
            allowed = max(allowed, quota.quota_per_s * WINDOW_MS / 1000)
        if within_quota.decay(now_ms) + 1 > allowed:
            return True
        within_quota.value += 1
        return False
