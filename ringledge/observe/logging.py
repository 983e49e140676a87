"""Structured logging: one JSON object a line, on standard error."""

from __future__ import annotations

import select
import sys
import time
import traceback
from contextlib import suppress
from typing import Any

import orjson

MAX_LINES_PER_S = 10  # of an event that is rate limited
LEVELS = ("debug", "info", "warning", "error")


class _StandardError:
    """Whether standard error accepts a line; a pipe that polls as writable has room for 4 KB."""

    def __init__(self) -> None:
        self._descriptor = -1
        self._poll = select.poll()

    def is_writable(self) -> bool:
        """Poll without waiting."""
        descriptor = sys.stderr.fileno()
        if descriptor != self._descriptor:  # tests replace sys.stderr
            self._descriptor = descriptor
            self._poll = select.poll()
            self._poll.register(descriptor, select.POLLOUT)
        return bool(self._poll.poll(0))


_standard_error = _StandardError()


class Log:
    """Writes events at or above a level."""

    def __init__(self) -> None:
        self.level = LEVELS.index("info")
        self.name = ""
        self.write_time_s = 0.0  # spent in writes, since the start
        self._dropped_lines = 0  # since the last written line, because standard error was not writable
        self._rate_limits: dict[str, tuple[int, int]] = {}  # by event: the second, and the lines in it

    def configure(self, level: str, name: str) -> None:
        """Set the lowest level that is written, and the conductor's name."""
        self.level, self.name = LEVELS.index(level), name

    def _write(self, level: str, event: str, fields: dict[str, Any]) -> None:
        """Write a line unless its level is too low; it is dropped where standard error is not writable."""
        if LEVELS.index(level) < self.level:
            return
        line = {
            "at": round(time.time(), 3),
            "level": level,
            "event": event,
            "conductor": self.name,
            **fields,
        }
        if self._dropped_lines:
            line["lost"] = self._dropped_lines
        if not _standard_error.is_writable():  # a reader that has stopped must not block requests
            self._dropped_lines += 1
            return
        self._dropped_lines = 0
        started_s = time.perf_counter()
        with suppress(OSError):  # without a reader of the log, requests are served all the same
            sys.stderr.buffer.write(orjson.dumps(line, default=str, option=orjson.OPT_APPEND_NEWLINE))
            sys.stderr.buffer.flush()
        self.write_time_s += time.perf_counter() - started_s

    def debug(self, event: str, **fields: Any) -> None:
        """For tracing one request."""
        self._write("debug", event, fields)

    def info(self, event: str, **fields: Any) -> None:
        """Normal operation."""
        self._write("info", event, fields)

    def rate_limited(self, event: str, **fields: Any) -> None:
        """A warning that clients can cause at will: MAX_LINES_PER_S for each event, the rest is counted."""
        second, lines = self._rate_limits.get(event, (0, 0))
        now = int(time.monotonic())
        left_out = max(0, lines - MAX_LINES_PER_S) if second != now else 0
        lines = lines + 1 if second == now else 1
        self._rate_limits[event] = (now, lines)
        if lines <= MAX_LINES_PER_S:
            self._write("warning", event, fields | ({"left_out": left_out} if left_out else {}))

    def warning(self, event: str, **fields: Any) -> None:
        """What on-call staff may want to look at."""
        self._write("warning", event, fields)

    def error(self, event: str, **fields: Any) -> None:
        """What on-call staff has to look at."""
        self._write("error", event, fields)

    def exception(self, event: str, error: Exception, **fields: Any) -> None:
        """An unexpected exception, with its traceback."""
        self._write("error", event, fields | {"traceback": traceback.format_exception(error)})


log = Log()
