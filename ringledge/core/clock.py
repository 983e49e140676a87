"""The clock that the routing policy's times are read from."""

from __future__ import annotations

import time


class Clock:
    """A monotonic clock that reads Unix time in milliseconds.

    Readings are compared with `since_ms` of the server list, which is Unix time. The system clock may be
    stepped, so it is read once at the start, and the monotonic clock advances the reading from there. A
    successor process on the same machine uses its predecessor's offset, because the state that it takes over
    contains readings of the predecessor's clock.
    """

    def __init__(self, offset_ms: float | None = None) -> None:
        """`offset_ms`: the offset of the predecessor's clock; None computes it from the system clock."""
        self._offset_ms = time.time() * 1000 - time.monotonic() * 1000 if offset_ms is None else offset_ms

    @property
    def offset_ms(self) -> float:
        """The constant that is added to the machine's monotonic clock, in ms."""
        return self._offset_ms

    def now_ms(self) -> float:
        """The current time."""
        return self._offset_ms + time.monotonic() * 1000
