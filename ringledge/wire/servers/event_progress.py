"""Follows the events of a stream as their bytes arrive in pieces; free of I/O and clocks.

Framing says little about a stream: a server may write many events in one chunk, or one event in many, and may
end the chunked body although events are missing. So progress and completeness are determined by the events.
A chunk that states more than it contains turns the size lines behind it into content, and what then looks
like an event is none: only a sound event is progress.
"""

from __future__ import annotations

from collections.abc import Iterator
from dataclasses import dataclass, field

from ringledge.wire.servers.event_buffer import MAX_TERMINATOR_BYTES, end_of_last_event
from ringledge.wire.servers.json_object import parse_json_object

DATA_FIELD = b"data:"
FINAL_DATA = b"[DONE]"
FINAL_EVENTS = (b"data: [DONE]", b"data:[DONE]")  # the space after a field's colon is optional
# Bytes that a match may span into the next piece, preceded by the line end that starts the final event.
OVERLAP_BYTES = max(map(len, FINAL_EVENTS)) + MAX_TERMINATOR_BYTES


class EventProgress:
    """The position in a stream: whether it is complete, and how much of an incomplete event has arrived."""

    def __init__(self) -> None:
        self.is_complete = False  # the final event has arrived
        self.has_data_event = False  # an event with a data field is complete, whether or not it is sound
        self._incomplete = bytearray()  # the incomplete event
        self._tail = b"\n"  # the last bytes of the stream

    @property
    def incomplete_bytes(self) -> int:
        """How many bytes have arrived since the last complete event."""
        return len(self._incomplete)

    def feed(self, piece: bytes) -> bool:
        """Process a piece of the stream; returns whether it completes a sound event."""
        window = self._tail + piece
        self._tail = window[-OVERLAP_BYTES:]
        self.is_complete = self.is_complete or _has_final_event(window)
        known_bytes = len(self._incomplete)
        self._incomplete += piece
        end = end_of_last_event(self._incomplete, max(0, known_bytes - MAX_TERMINATOR_BYTES + 1))
        if not end:
            return False
        events = list(_split_events(bytes(self._incomplete[:end])))
        del self._incomplete[:end]
        self.has_data_event = self.has_data_event or any(each.data_lines for each in events)
        return any(each.is_sound() for each in events)


@dataclass(slots=True)
class _Event:
    """One event, as far as it tells whether a server made it."""

    data_lines: list[bytes] = field(default_factory=list)
    has_only_fields: bool = True  # each of its lines is a field or a comment

    def add_line(self, line: bytes) -> None:
        if line.startswith(DATA_FIELD):
            self.data_lines.append(line[len(DATA_FIELD) :].strip())
        elif b":" not in line:
            self.has_only_fields = False

    def is_sound(self) -> bool:
        """Whether its data is an object or ends the stream, and no other bytes are in it."""
        if not (self.data_lines and self.has_only_fields):
            return False
        data = b"\n".join(self.data_lines)
        return data == FINAL_DATA or bool(parse_json_object(data))


def _split_events(text: bytes) -> Iterator[_Event]:
    """The events of a text that ends with a complete one; comments alone make events without data."""
    event = _Event()
    for line in text.split(b"\n"):
        line = line.removesuffix(b"\r")
        if line:
            event.add_line(line)
        else:
            yield event
            event = _Event()


def _has_final_event(window: bytes) -> bool:
    """Whether the window contains the complete line of the final event."""
    if FINAL_DATA not in window:
        return False
    lines = window.split(b"\n")[1:-1]  # without the first and the last line, which may be incomplete
    return any(line.rstrip() in FINAL_EVENTS for line in lines)
