"""Tenant quotas and request priorities. The types are in ``ringledge/routing/interface.py``."""

from __future__ import annotations

from dataclasses import dataclass
from math import exp

from ringledge.routing.context import RoutingContext
from ringledge.routing.settings import RequestClass

# Time constant with which the count of arrivals decays. A tenant's bucket holds requests of about that time.
ARRIVAL_DECAY_MS = 1_000.0
# Minimum burst of a tenant in requests, since its part of the quota at one of many routers may be less.
MIN_BUCKET_CAPACITY = 4.0


@dataclass(slots=True, frozen=True)
class ArrivalCount:
    """Number of recent arrivals, decayed over `ARRIVAL_DECAY_MS`, at a point in time."""

    requests: float = 0.0
    updated_ms: float = 0.0


@dataclass(slots=True, frozen=True)
class TokenBucket:
    """Number of requests that a tenant may still send at a point in time."""

    tokens: float
    updated_ms: float


class TenantQuotas:
    """Token bucket of each tenant at one of many routers."""

    def __init__(self, context: RoutingContext) -> None:
        self.settings = context.settings
        self.clock = context.clock
        self.buckets: dict[int, TokenBucket] = {}  # by tenant
        self.recent_arrivals = ArrivalCount()  # all tenants

    def record_arrival(self) -> None:
        """Count one arrival, of whichever tenant."""
        now_ms, recent = self.clock.now_ms, self.recent_arrivals
        decayed = recent.requests * exp((recent.updated_ms - now_ms) / ARRIVAL_DECAY_MS)
        self.recent_arrivals = ArrivalCount(decayed + 1, now_ms)

    def priority(self, request_class: RequestClass, tenant: int) -> float:
        """Return the class's relative priority weight, reduced if the tenant is over its quota."""
        highest = max(each.priority_weight for each in self.settings.classes)
        priority = request_class.priority_weight / highest
        if not self._take_token(tenant):
            priority *= self.settings.over_quota_weight
        return priority

    def _take_token(self, tenant: int) -> bool:
        """Take a token from a tenant's bucket. Return False if the tenant is over its quota."""
        if tenant >= len(self.settings.tenants) or self.settings.tenants[tenant].quota_per_s is None:
            return True
        quota, now_ms = self.settings.tenants[tenant], self.clock.now_ms
        # While peers are down, their traffic arrives here. A tenant then gets its fraction of all arrivals.
        arrivals_per_s = self.recent_arrivals.requests * 1000 / ARRIVAL_DECAY_MS
        rate = max((quota.quota_per_s or 0.0) / self.settings.routers, quota.fraction * arrivals_per_s)
        capacity = max(rate, MIN_BUCKET_CAPACITY)
        bucket = self.buckets.get(tenant, TokenBucket(capacity, now_ms))
        tokens = min(capacity, bucket.tokens + rate * (now_ms - bucket.updated_ms) / 1000)
        self.buckets[tenant] = TokenBucket(tokens - 1 if tokens >= 1 else tokens, now_ms)
        return tokens >= 1
