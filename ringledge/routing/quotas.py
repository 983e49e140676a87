"""Whether a tenant keeps to its quota; the types are in ``ringledge/routing/interface.py``."""

from __future__ import annotations

from ringledge.routing.estimates import Estimates

# Tuned values: unit, and why.
ARRIVALS_MS = 1_000.0  # ms over which arrivals are counted: a tenant's bucket holds about a second's
BURST = 4.0  # requests of a tenant that may come together: its part at one of many routers is under one


class TenantQuotas(Estimates):
    """A token bucket for each tenant, at one of many routers."""

    def _over_quota(self, tenant: int) -> bool:
        """Whether a tenant asks for more than this router's part of its quota."""
        if tenant >= len(self.settings.tenants) or self.settings.tenants[tenant].quota_per_s is None:
            return False
        quota = self.settings.tenants[tenant]
        # While peers are down theirs comes here as well: a tenant then keeps its part of what comes.
        arrivals_per_s = self.recent_arrivals[0] * 1000 / ARRIVALS_MS
        rate = max((quota.quota_per_s or 0.0) / self.settings.routers, quota.fraction * arrivals_per_s)
        left, counted_ms = self.quota_buckets.get(tenant, (max(rate, BURST), self.now_ms))
        left = min(max(rate, BURST), left + rate * (self.now_ms - counted_ms) / 1000)
        self.quota_buckets[tenant] = (left - 1 if left >= 1 else left, self.now_ms)
        return left < 1
