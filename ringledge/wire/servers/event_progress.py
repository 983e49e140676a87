"""Follows the events of a stream as their bytes arrive in pieces; free of I/O and clocks.

Framing says little about a stream: a server may write many events in one chunk, or one event in many, and may
end the chunked body although events are missing. So progress and completeness are determined by the events.
"""

from __future__ import annotations

from ringledge.wire.servers.event_buffer import MAX_TERMINATOR_BYTES, end_of_last_event

DATA_FIELD = b"data:"
FINAL_EVENTS = (b"data: [DONE]", b"data:[DONE]")  # the space after a field's colon is optional
# Bytes that a match may span into the next piece, preceded by the line end that starts the final event.
OVERLAP_BYTES = max(map(len, FINAL_EVENTS)) + MAX_TERMINATOR_BYTES


class EventProgress:
    """The position in a stream: whether it is complete, and how much of an incomplete event has arrived."""

    def __init__(self) -> None:
        self.is_complete = False  # the final event has arrived
        self.incomplete_bytes = 0  # since the last complete event
        self._has_data = False  # the incomplete event has a data field
        self._tail = b"\n"  # the last bytes of the stream

    def feed(self, piece: bytes) -> bool:
        """Process a piece of the stream; returns whether it completes an event with a data field."""
        window = self._tail + piece
        overlap = len(self._tail)
        self._tail = window[-OVERLAP_BYTES:]
        self.is_complete = self.is_complete or _has_final_event(window)
        end = end_of_last_event(window, max(0, overlap - MAX_TERMINATOR_BYTES + 1))
        start = max(0, overlap - len(DATA_FIELD) + 1)
        if end <= overlap:  # none ends within the piece
            self.incomplete_bytes += len(piece)
            self._has_data = self._has_data or DATA_FIELD in window[start:]
            return False
        completes_data = self._has_data or DATA_FIELD in window[start:end]
        self.incomplete_bytes = len(window) - end
        self._has_data = DATA_FIELD in window[end:]
        return completes_data


def _has_final_event(window: bytes) -> bool:
    """Whether the window contains the complete line of the final event."""
    if b"[DONE]" not in window:
        return False
    lines = window.split(b"\n")[1:-1]  # without the first and the last line, which may be incomplete
    return any(line.rstrip() in FINAL_EVENTS for line in lines)
