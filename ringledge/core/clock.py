"""The clock of the routing policy."""

from __future__ import annotations

import time


class Clock:
    """Unix milliseconds that never go back.

    Readings must be comparable with the list's ``since_ms``, which is Unix time. The system's clock may be
    stepped, so it is read once, and the monotonic clock counts from there. A process that takes over from
    another one on this machine uses its offset, because the state it takes over has times of that clock.
    """

    def __init__(self, offset_ms: float | None = None) -> None:
        """`offset_ms`: the predecessor's; None: computed from the system's clock now."""
        self._offset_ms = time.time() * 1000 - time.monotonic() * 1000 if offset_ms is None else offset_ms

    @property
    def offset_ms(self) -> float:
        """Unix time minus the machine's monotonic clock, as this clock assumes it."""
        return self._offset_ms

    def now_ms(self) -> float:
        """The current reading."""
        return self._offset_ms + time.monotonic() * 1000
