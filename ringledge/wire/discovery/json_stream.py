"""Splits a stream of bytes into JSON objects, with any white space in and between the objects.

Discovery documents one object per line, but objects may be indented, and arrive in pieces of any size.
Parsing the buffer again with each piece would take quadratic time, so this module only scans for brackets and
quotes, each byte once, and passes complete objects to the parser.
"""

from __future__ import annotations

import re
from collections.abc import Iterator

from ringledge.memory.endpoint_list import ListError

# Bytes that determine where an object ends: brackets, quotes and backslashes.
STRUCTURAL = re.compile(rb'[{}\[\]"]|\\')
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
        while mark := STRUCTURAL.search(self._buffer, self._scanned_bytes):
            position = mark.start()
            if mark[0] == b"\\":
                if position + 1 >= len(self._buffer):  # the escaped byte has not arrived yet
                    self._scanned_bytes = position
                    break
                self._scanned_bytes = position + 2
                continue
            self._scanned_bytes = position + 1
            if self._ends_object(mark[0]):
                text = bytes(self._buffer[start : self._scanned_bytes])
                start = self._scanned_bytes
                self.line_ended = True
                yield text
        else:
            self._scanned_bytes = len(self._buffer)
        self._discard(start)

    @property
    def is_between_objects(self) -> bool:
        """Whether the stream is not within an object."""
        return not self._buffer

    def _ends_object(self, mark: bytes) -> bool:
        """Track a bracket or quote; returns whether it ends an object."""
        if mark == b'"':
            self._in_string = not self._in_string
            return False
        if self._in_string:
            return False
        self._depth += (mark in OPENING) - (mark in CLOSING)
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
