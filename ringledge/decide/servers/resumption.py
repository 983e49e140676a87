"""When to call servers that may hang, and would run an abandoned attempt on resuming; free of I/O."""

from __future__ import annotations

from math import inf

CHECK_INTERVAL_MS = 200.0  # between two calls: an entry may be held for a few times as long


class ResumptionChecks:
    """Which servers to call now. Invariant: at most one call is in progress to a server."""

    def __init__(self) -> None:
        self._checked_ms: dict[
            str, float
        ] = {}  # end of the last call by server; inf while one is in progress

    def begin_if_due(self, now_ms: float, server: str) -> bool:
        """Whether the server is to be called now; the call then counts as in progress."""
        if now_ms - self._checked_ms.get(server, -inf) < CHECK_INTERVAL_MS:
            return False
        self._checked_ms[server] = inf
        return True

    def finished(self, now_ms: float, server: str) -> None:
        """A call has ended, whatever its result."""
        self._checked_ms = {
            name: at_ms for name, at_ms in self._checked_ms.items() if now_ms - at_ms < CHECK_INTERVAL_MS
        }
        self._checked_ms[server] = now_ms
