"""Whether a tenant is within its quota; the types are in ``ringledge/routing/interface.py``."""

from __future__ import annotations

from dataclasses import dataclass
from math import exp

from ringledge.routing.context import RoutingContext
from ringledge.routing.settings import RequestClass

ARRIVALS_MS = 1_000.0  # ms over which arrivals are counted: a tenant's bucket holds about a second's
BURST = 4.0  # requests of a tenant that may come together: its part at one of many routers is under one


@dataclass(slots=True, frozen=True)
class ArrivalCount:
    """Requests that have arrived, decaying over `ARRIVALS_MS`, as counted at a time."""

    requests: float = 0.0
    updated_ms: float = 0.0


@dataclass(slots=True, frozen=True)
class TokenBucket:
    """Requests that a tenant may still send, as counted at a time."""

    tokens: float
    updated_ms: float


class TenantQuotas:
    """A token bucket for each tenant, at one of many routers."""

    def __init__(self, context: RoutingContext) -> None:
        self.settings = context.settings
        self.clock = context.clock
        self.buckets: dict[int, TokenBucket] = {}  # by tenant
        self.recent_arrivals = ArrivalCount()  # of all tenants

    def record_arrival(self) -> None:
        """Count a request of any tenant."""
        now_ms, recent = self.clock.now_ms, self.recent_arrivals
        decayed = recent.requests * exp((recent.updated_ms - now_ms) / ARRIVALS_MS)
        self.recent_arrivals = ArrivalCount(decayed + 1, now_ms)

    def priority(self, request_class: RequestClass, tenant: int) -> float:
        """A request's priority weight relative to the highest, less where its tenant is over its quota."""
        highest = max(each.priority_weight for each in self.settings.classes)
        priority = request_class.priority_weight / highest
        if not self._take_token(tenant):
            priority *= self.settings.over_quota_weight
        return priority

    def _take_token(self, tenant: int) -> bool:
        """Take a token of a tenant's bucket; False where there is none: the tenant is over its quota."""
        if tenant >= len(self.settings.tenants) or self.settings.tenants[tenant].quota_per_s is None:
            return True
        quota, now_ms = self.settings.tenants[tenant], self.clock.now_ms
        # While peers are down theirs comes here as well: a tenant then has its part of what comes.
        arrivals_per_s = self.recent_arrivals.requests * 1000 / ARRIVALS_MS
        rate = max((quota.quota_per_s or 0.0) / self.settings.routers, quota.fraction * arrivals_per_s)
        capacity = max(rate, BURST)
        bucket = self.buckets.get(tenant, TokenBucket(capacity, now_ms))
        tokens = min(capacity, bucket.tokens + rate * (now_ms - bucket.updated_ms) / 1000)
        self.buckets[tenant] = TokenBucket(tokens - 1 if tokens >= 1 else tokens, now_ms)
        return tokens >= 1
