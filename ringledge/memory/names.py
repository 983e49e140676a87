"""The names that the wire protocols use for the indices of the policy's settings."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(slots=True, frozen=True)
class WireNames:
    """The names behind the policy's indices, each at its index, and the wire's own settings."""

    zones: tuple[str, ...]
    kinds: tuple[str, ...]
    classes: tuple[str, ...]
    tenants: tuple[str, ...]
    keepalive_s: float
    connect_timeout_s: float
    max_retry_after_ms: float  # 0: not set

    @staticmethod
    def index(names: tuple[str, ...], name: str) -> int:
        """The index of a name; one past the last index for an unknown name."""
        return names.index(name) if name in names else len(names)
