"""Splits a stream of bytes into JSON objects, with any white space in and between the objects.

Discovery documents one object per line, but objects may be indented, and arrive in pieces of any size.
Parsing the buffer again with each piece would take quadratic time, so this module only scans for brackets
outside of strings, each byte once, and passes complete objects to the parser.
"""

from __future__ import annotations

import re
from collections.abc import Iterator

from ringledge.memory.endpoint_list import ListError

# What lies between brackets, strings included; it ends at a bracket or at a string that is incomplete.
BETWEEN_BRACKETS = re.compile(rb'(?:[^{}\[\]"]++|"(?:[^"\\]++|\\.)*+")*+', re.DOTALL)
# The rest of a string; it ends at the quote, or at a backslash whose escaped byte has not arrived.
STRING_REST = re.compile(rb'(?:[^"\\]++|\\.)*+', re.DOTALL)
QUOTE = ord('"')
OPENING = (b"{", b"[")
CLOSING = (b"}", b"]")


class JsonStreamSplitter:
    """Splits a stream into the bytes of its JSON objects."""

    def __init__(self, max_object_bytes: int) -> None:
        """An object longer than `max_object_bytes` is an error."""
        self._max_object_bytes = max_object_bytes
        self._buffer = bytearray()  # the incomplete object, or white space before it
        self._scanned_bytes = 0  # leading bytes of the buffer that have been scanned
        self._depth = 0
        self._in_string = False
        self.line_ended = False  # whether the last piece ended an object or an empty line

    def feed(self, data: bytes) -> Iterator[bytes]:
        """Yield each object that this piece completes; raises ListError if the stream is malformed."""
        self.line_ended = self.is_between_objects and b"\n" in data.partition(b"{")[0]
        self._buffer += data
        start = 0  # position of the current object in the buffer
        while (bracket := self._next_bracket()) is not None:
            if self._ends_object(bracket):
                text = bytes(self._buffer[start : self._scanned_bytes])
                start = self._scanned_bytes
                self.line_ended = True
                yield text
        self._discard(start)

    @property
    def is_between_objects(self) -> bool:
        """Whether the stream is not within an object."""
        return not self._buffer

    def _next_bracket(self) -> bytes | None:
        """Scan up to and including the next bracket outside of strings; None if it has not arrived."""
        if self._in_string and not self._end_string():
            return None
        position = self._end_of(BETWEEN_BRACKETS)
        if position == len(self._buffer):
            self._scanned_bytes = position
            return None
        self._scanned_bytes = position + 1
        if self._buffer[position] == QUOTE:
            self._in_string = True
            return self._next_bracket()
        return bytes(self._buffer[position : position + 1])

    def _end_string(self) -> bool:
        """Scan the rest of a string; returns whether its end has arrived."""
        self._scanned_bytes = self._end_of(STRING_REST)
        if self._scanned_bytes == len(self._buffer) or self._buffer[self._scanned_bytes] != QUOTE:
            return False
        self._scanned_bytes += 1
        self._in_string = False
        return True

    def _end_of(self, pattern: re.Pattern[bytes]) -> int:
        """Where a pattern, which may be empty, ends that begins behind the scanned bytes."""
        match = pattern.match(self._buffer, self._scanned_bytes)
        return match.end() if match is not None else self._scanned_bytes

    def _ends_object(self, bracket: bytes) -> bool:
        """Track a bracket; returns whether it ends an object."""
        self._depth += (bracket in OPENING) - (bracket in CLOSING)
        if self._depth < 0:
            raise ListError("closing bracket without an opening one")
        return self._depth == 0

    def _discard(self, size: int) -> None:
        """Remove the first `size` bytes of the buffer, and white space between objects."""
        del self._buffer[:size]
        self._scanned_bytes -= size
        if not self._depth and not self._in_string:
            if self._buffer.strip():
                raise ListError("unexpected data between objects")
            self._buffer.clear()
            self._scanned_bytes = 0
        if len(self._buffer) > self._max_object_bytes:
            raise ListError("object longer than the limit")
