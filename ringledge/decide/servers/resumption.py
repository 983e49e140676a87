"""Schedules calls to servers that may hang and run an abandoned attempt when they resume; free of I/O."""

from __future__ import annotations

from math import inf

# Time between two calls to a server: a fraction of the time for which a KV cache entry may be held.
CHECK_INTERVAL_MS = 200.0


class ResumptionChecks:
    """Selects the servers to call. Invariant: at most one call per server is in progress."""

    def __init__(self) -> None:
        # When the last call to each server ended; inf while one is in progress.
        self._checked_ms: dict[str, float] = {}

    def begin_if_due(self, now_ms: float, server: str) -> bool:
        """Whether to call the server now; if so, the call counts as in progress."""
        if now_ms - self._checked_ms.get(server, -inf) < CHECK_INTERVAL_MS:
            return False
        self._checked_ms[server] = inf
        return True

    def finished(self, now_ms: float, server: str) -> None:
        """Record that a call has ended, whether or not it was answered."""
        self._checked_ms = {
            name: at_ms for name, at_ms in self._checked_ms.items() if now_ms - at_ms < CHECK_INTERVAL_MS
        }
        self._checked_ms[server] = now_ms
