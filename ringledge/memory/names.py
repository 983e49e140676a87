"""Names on the wire for the indices that the routing policy uses."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(slots=True, frozen=True)
class WireNames:
    """Names of zones, kinds of server, request classes and tenants, each at its index in the routing policy.

    Also holds the settings that only the wire protocols need.
    """

    zones: tuple[str, ...]
    kinds: tuple[str, ...]
    classes: tuple[str, ...]
    tenants: tuple[str, ...]
    keepalive_s: float
    connect_timeout_s: float
    max_retry_after_ms: float  # the longest Retry-After; 0: not set

    @staticmethod
    def index(names: tuple[str, ...], name: str) -> int:
        """The index of a name; for an unknown name `len(names)`, which is no valid index."""
        return names.index(name) if name in names else len(names)
