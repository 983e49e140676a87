"""The names on the wires behind the indices of the decisions."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(slots=True, frozen=True)
class Names:
    """The names on the wires behind the indices of the decisions, and the wire's own settings."""

    zones: tuple[str, ...]
    kinds: tuple[str, ...]
    classes: tuple[str, ...]
    tenants: tuple[str, ...]
    keepalive_s: float
    connect_timeout_s: float
    max_retry_after_ms: float

    @staticmethod
    def index(names: tuple[str, ...], name: str) -> int:
        """The index of a name; one past the last for a name that is not known."""
        return names.index(name) if name in names else len(names)
