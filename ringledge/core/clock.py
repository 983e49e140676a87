"""The one clock of the decisions."""

from __future__ import annotations

import time


class Clock:
    """Unix milliseconds that never go back.

    The list's ``since_ms`` is Unix time, so readings must be comparable with it; the system's clock may
    be set back, so it is read once and the monotonic clock counts from there.
    """

    def __init__(self) -> None:
        self._offset_ms = time.time() * 1000 - time.monotonic() * 1000

    def now_ms(self) -> float:
        """The present reading."""
        return self._offset_ms + time.monotonic() * 1000
