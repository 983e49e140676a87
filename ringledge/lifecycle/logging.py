"""One JSON line an event, on standard error."""

from __future__ import annotations

import sys
import time
import traceback
from contextlib import suppress
from typing import Any

import orjson

LEVELS = ("debug", "info", "warning", "error")


class Log:
    """Writes events at or above a level."""

    def __init__(self) -> None:
        self.level = LEVELS.index("info")
        self.name = ""

    def configure(self, level: str, name: str) -> None:
        """Set the least level that is written, and the conductor's name."""
        self.level, self.name = LEVELS.index(level), name

    def _write(self, level: str, event: str, fields: dict[str, Any]) -> None:
        if LEVELS.index(level) >= self.level:
            line = {
                "at": round(time.time(), 3),
                "level": level,
                "event": event,
                "conductor": self.name,
                **fields,
            }
            with suppress(OSError):  # where nobody takes the log any more, requests are served all the same
                sys.stderr.buffer.write(orjson.dumps(line, default=str, option=orjson.OPT_APPEND_NEWLINE))
                sys.stderr.buffer.flush()

    def debug(self, event: str, **fields: Any) -> None:
        """For tracing one request."""
        self._write("debug", event, fields)

    def info(self, event: str, **fields: Any) -> None:
        """What happens in the ordinary run of things."""
        self._write("info", event, fields)

    def warning(self, event: str, **fields: Any) -> None:
        """What on-call staff may want to look at."""
        self._write("warning", event, fields)

    def error(self, event: str, **fields: Any) -> None:
        """What they have to look at."""
        self._write("error", event, fields)

    def fault(self, event: str, error: Exception, **fields: Any) -> None:
        """A fault of the program's own, with its traceback."""
        self._write("error", event, fields | {"traceback": traceback.format_exception(error)})


log = Log()
