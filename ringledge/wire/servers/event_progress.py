"""Follows the events of a stream as their bytes arrive in pieces; free of I/O and clocks.

Framing says little about a stream: a server may write many events in one chunk, or one event in many, and may
end the chunked body although events are missing. So progress and completeness are determined by the events.
A chunk that states more than it contains turns the size lines behind it into content, and what then looks
like an event is none: only a sound event is progress.
"""

from __future__ import annotations

from ringledge.wire.servers.event_buffer import MAX_TERMINATOR_BYTES, end_of_last_event
from ringledge.wire.servers.json_object import parse_json_object

DATA_FIELD = b"data:"
FINAL_DATA = b"[DONE]"
FINAL_EVENTS = (b"data: [DONE]", b"data:[DONE]")  # the space after a field's colon is optional


class EventProgress:
    """The position in a stream: whether it is complete, and how much of an incomplete event has arrived."""

    def __init__(self) -> None:
        self.has_data_event = False  # an event with a data field is complete, whether or not it is sound
        self._has_final_event = False  # among the complete events
        self._incomplete = bytearray()  # the incomplete event

    @property
    def is_complete(self) -> bool:
        """Whether the line of the final event has arrived; the blank line behind it may be missing."""
        return self._has_final_event or _has_final_event(self._incomplete)

    @property
    def incomplete_bytes(self) -> int:
        """How many bytes have arrived since the last complete event."""
        return len(self._incomplete)

    def feed(self, piece: bytes) -> bool:
        """Process a piece of the stream; returns whether it completes a sound event."""
        known_bytes = len(self._incomplete)
        self._incomplete += piece
        end = end_of_last_event(self._incomplete, max(0, known_bytes - MAX_TERMINATOR_BYTES + 1))
        if not end:
            return False
        text = bytes(self._incomplete[:end])
        del self._incomplete[:end]
        self._has_final_event = self._has_final_event or _has_final_event(text)
        return self._process_events(text)

    def _process_events(self, text: bytes) -> bool:
        """Process complete events; returns whether one is sound: all its lines are fields or comments."""
        data_lines: list[bytes] = []
        found_sound, has_only_fields = False, True
        for line in text.split(b"\n"):
            line = line.removesuffix(b"\r")
            if line.startswith(DATA_FIELD):
                data_lines.append(line[len(DATA_FIELD) :].strip())
            elif line:
                has_only_fields = has_only_fields and b":" in line
            else:  # the event ends
                if data_lines:
                    self.has_data_event = True
                    found_sound = found_sound or (has_only_fields and _is_event_data(b"\n".join(data_lines)))
                data_lines, has_only_fields = [], True
        return found_sound


def _is_event_data(data: bytes) -> bool:
    """Whether a server of the protocol may have made this data: an object, or the end of the stream."""
    return data == FINAL_DATA or bool(parse_json_object(data))


def _has_final_event(text: bytes | bytearray) -> bool:
    """Whether the text, which starts at a line's start, contains the complete line of the final event."""
    if FINAL_DATA not in text:
        return False
    complete_lines = text.split(b"\n")[:-1]
    return any(line.rstrip() in FINAL_EVENTS for line in complete_lines)
