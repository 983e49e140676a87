"""Structured logging to standard error, one JSON object per line."""

from __future__ import annotations

import select
import sys
import time
import traceback
from contextlib import suppress
from typing import Any

import orjson

MAX_LINES_PER_S = 10  # for each rate-limited event
LEVELS = ("debug", "info", "warning", "error")


class _StandardError:
    """Checks whether standard error accepts a line; a pipe that polls as writable has room for 4 KB."""

    def __init__(self) -> None:
        self._descriptor = -1
        self._poll = select.poll()

    def is_writable(self) -> bool:
        """Whether a write would not block."""
        descriptor = sys.stderr.fileno()
        if descriptor != self._descriptor:  # tests replace sys.stderr
            self._descriptor = descriptor
            self._poll = select.poll()
            self._poll.register(descriptor, select.POLLOUT)
        return bool(self._poll.poll(0))


_standard_error = _StandardError()


class Log:
    """Writes events at or above a minimum level."""

    def __init__(self) -> None:
        self.level = LEVELS.index("info")
        self.name = ""
        self.write_time_s = 0.0  # total time spent in writes
        self._dropped_lines = 0  # since the last written line, as standard error was not writable
        # By event: the last second in which it occurred, and how often it occurred in that second.
        self._rate_limits: dict[str, tuple[int, int]] = {}

    def configure(self, level: str, name: str) -> None:
        """Set the minimum level and the conductor's name."""
        self.level, self.name = LEVELS.index(level), name

    def _write(self, level: str, event: str, fields: dict[str, Any]) -> None:
        """Write a line at or above the minimum level; it is dropped if standard error is not writable."""
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
        if not _standard_error.is_writable():  # a blocked reader of the log must not block requests
            self._dropped_lines += 1
            return
        self._dropped_lines = 0
        started_s = time.perf_counter()
        with suppress(OSError):  # a closed log must not stop requests from being served
            sys.stderr.buffer.write(orjson.dumps(line, default=str, option=orjson.OPT_APPEND_NEWLINE))
            sys.stderr.buffer.flush()
        self.write_time_s += time.perf_counter() - started_s

    def debug(self, event: str, **fields: Any) -> None:
        """Log a detail for tracing one request."""
        self._write("debug", event, fields)

    def info(self, event: str, **fields: Any) -> None:
        """Log an event of normal operation."""
        self._write("info", event, fields)

    def rate_limited(self, event: str, **fields: Any) -> None:
        """Log a warning that clients can cause at will.

        At most MAX_LINES_PER_S are written for each event; the first line of a later second has the number of
        lines that were left out before.
        """
        second, lines = self._rate_limits.get(event, (0, 0))
        now = int(time.monotonic())
        left_out = max(0, lines - MAX_LINES_PER_S) if second != now else 0
        lines = lines + 1 if second == now else 1
        self._rate_limits[event] = (now, lines)
        if lines <= MAX_LINES_PER_S:
            self._write("warning", event, fields | ({"left_out": left_out} if left_out else {}))

    def warning(self, event: str, **fields: Any) -> None:
        """Log an event that on-call staff may want to look at."""
        self._write("warning", event, fields)

    def error(self, event: str, **fields: Any) -> None:
        """Log an event that on-call staff has to look at."""
        self._write("error", event, fields)

    def exception(self, event: str, error: Exception, **fields: Any) -> None:
        """Log an unexpected exception with its traceback, as an error."""
        self._write("error", event, fields | {"traceback": traceback.format_exception(error)})


log = Log()
