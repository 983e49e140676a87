"""Whole events of a stream, put together of the pieces in which they come; free of I/O and clocks.

A server may write an event in many small chunks. Passed on as they come, each becomes a chunk and a segment
of its own, and a stream that a slow path carries segment by segment falls ever further behind. So an event
goes out in one piece once it is whole, and its parts wait for a bounded time only.
"""

from __future__ import annotations

HOLD_S = 0.1  # that a part of an event waits for the rest: a third of what an event may be late
ENDS = (b"\n\n", b"\r\n\r\n")  # of an event


class EventBuffer:
    """What has come of a stream and was not passed on."""

    def __init__(self) -> None:
        self._held = bytearray()
        self._since_s = 0.0  # when the oldest of it came
        self._searched = 0  # bytes at the front that hold no end of an event

    def __len__(self) -> int:
        """How many bytes wait."""
        return len(self._held)

    @property
    def due_s(self) -> float:
        """When what waits has to be passed on, whole or not."""
        return self._since_s + HOLD_S

    def feed(self, piece: bytes, now_s: float) -> None:
        """A piece has come."""
        if not self._held:
            self._since_s = now_s
        self._held += piece

    def whole(self, now_s: float) -> bytes:
        """The whole events, or all that waits where the oldest part has waited for its time."""
        if now_s >= self.due_s:
            return self.rest()
        start = max(0, self._searched - max(map(len, ENDS)))
        size = max(place + len(end) if (place := self._held.rfind(end, start)) >= 0 else 0 for end in ENDS)
        ready = bytes(self._held[:size])
        del self._held[:size]
        self._searched = len(self._held)
        if ready:
            self._since_s = now_s  # what is left came with the end of the event before it, or later
        return ready

    def rest(self) -> bytes:
        """All that waits."""
        ready = bytes(self._held)
        self._held.clear()
        self._searched = 0
        return ready
