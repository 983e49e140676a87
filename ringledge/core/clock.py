"""The one clock of the decisions."""

from __future__ import annotations

import time


class Clock:
    """Unix milliseconds that never go back.

    The list's ``since_ms`` is Unix time, so readings must be comparable with it; the system's clock may be
    stepped, so it is read once and the monotonic clock counts from there. A process that takes over from
    another on this machine goes by that one's offset, for what it is handed has times of that clock.
    """

    def __init__(self, offset_ms: float | None = None) -> None:
        """`offset_ms`: a predecessor's; None: by the system's clock now."""
        self._offset_ms = time.time() * 1000 - time.monotonic() * 1000 if offset_ms is None else offset_ms

    @property
    def offset_ms(self) -> float:
        """Unix time less the machine's monotonic clock, as this clock has it."""
        return self._offset_ms

    def now_ms(self) -> float:
        """The present reading."""
        return self._offset_ms + time.monotonic() * 1000
