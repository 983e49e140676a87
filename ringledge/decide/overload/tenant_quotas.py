"""Which tenants are over their share of what comes here."""

from __future__ import annotations

from collections.abc import Sequence
from dataclasses import dataclass
from math import exp

WINDOW_MS = 2_000.0  # over which arrivals are counted, fading: a rush of a second shows, a pair of them not
SLACK = 1.25  # of its share that a tenant may ask for: at exactly its share, chance alone would put it over
BURST = 8.0  # requests in the window that any tenant may ask for, however small its share


@dataclass(slots=True, frozen=True)
class TenantShare:
    """One tenant's part of the service, and its quota here in requests a second, if it has one."""

    fraction: float
    quota_per_s: float | None = None


@dataclass(slots=True)
class Count:
    """Requests in the window, fading."""

    value: float = 0.0
    at_ms: float = 0.0

    def now(self, now_ms: float) -> float:
        """The count as of now; a clock that went back changes nothing."""
        if now_ms > self.at_ms:
            self.value *= exp((self.at_ms - now_ms) / WINDOW_MS)
            self.at_ms = now_ms
        return self.value


class TenantShares:
    """Compares what of each tenant was within its share with all that came.

    A tenant may have its quota or its fraction of what comes, whichever is more. Since both are counted over
    the same window, a rush of all tenants together puts none of them over.
    """

    def __init__(self, shares: Sequence[TenantShare]) -> None:
        self._shares = shares
        self._within = [Count() for _ in shares]
        self._all = Count()

    def over(self, now_ms: float, tenant: int) -> bool:
        """Count one request of the tenant; whether it is beyond the tenant's share."""
        everything = self._all.now(now_ms) + 1
        self._all.value = everything
        if not 0 <= tenant < len(self._shares):
            return False
        share, within = self._shares[tenant], self._within[tenant]
        allowed = max(BURST, SLACK * share.fraction * everything)
        if share.quota_per_s is not None:
            allowed = max(allowed, share.quota_per_s * WINDOW_MS / 1000)
        if within.now(now_ms) + 1 > allowed:
            return True
        within.value += 1
        return False
