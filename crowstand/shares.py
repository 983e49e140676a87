"""Whether a tenant keeps to its share; the types are in ``crowstand/interface.py``."""

from __future__ import annotations

from crowstand.evidence import Evidence

# Tuned values: unit, and why.
ARRIVED_MS = 1_000.0  # ms over which arrivals are counted: a tenant's bucket holds about a second's
BURST = 4.0  # requests of a tenant that may come together: its part at one of many routers is under one


class Shares(Evidence):
    """A token bucket for each tenant, at one of many routers."""

    def _over_share(self, tenant: int) -> bool:
        """Whether a tenant asks for more than this router's part of its quota (a token bucket)."""
        if tenant >= len(self.settings.tenants) or self.settings.tenants[tenant].quota_per_s is None:
            return False
        share = self.settings.tenants[tenant]
        # While peers are down theirs comes here as well: a tenant then keeps its part of what comes.
        coming = self.arrived[0] * 1000 / ARRIVED_MS
        rate = max((share.quota_per_s or 0.0) / self.settings.routers, share.fraction * coming)
        room, at_ms = self.tenant_room.get(tenant, (max(rate, BURST), self.now_ms))
        room = min(max(rate, BURST), room + rate * (self.now_ms - at_ms) / 1000)
        self.tenant_room[tenant] = (room - 1 if room >= 1 else room, self.now_ms)
        return room < 1
