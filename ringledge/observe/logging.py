"""One JSON line an event, on standard error."""

from __future__ import annotations

import select
import sys
import time
import traceback
from contextlib import suppress
from typing import Any

import orjson

OFTEN = 10  # lines a second of an event that a flood may bring
LEVELS = ("debug", "info", "warning", "error")


class _Room:
    """Whether standard error takes a line now; a pipe that says so has room for 4 KB."""

    def __init__(self) -> None:
        self._fd = -1

    def __call__(self) -> bool:
        """Look, without waiting."""
        if (fd := sys.stderr.fileno()) != self._fd:  # tests put another one in its place
            self._fd, self._poll = fd, select.poll()
            self._poll.register(fd, select.POLLOUT)
        return bool(self._poll.poll(0))


_room = _Room()


class Log:
    """Writes events at or above a level."""

    def __init__(self) -> None:
        self.level = LEVELS.index("info")
        self.name = ""
        self.spent_s = 0.0  # in writes, since the start
        self._lost = 0  # lines that the reader left no room for
        self._often: dict[str, tuple[int, int]] = {}  # by event: the second, and lines in it

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
            if self._lost:
                line["lost"] = self._lost
            if not _room():  # a reader that stands still must not hold up what is served
                self._lost += 1
                return
            self._lost = 0
            began_s = time.perf_counter()
            with suppress(OSError):  # where nobody takes the log any more, requests are served all the same
                sys.stderr.buffer.write(orjson.dumps(line, default=str, option=orjson.OPT_APPEND_NEWLINE))
                sys.stderr.buffer.flush()
            self.spent_s += time.perf_counter() - began_s

    def debug(self, event: str, **fields: Any) -> None:
        """For tracing one request."""
        self._write("debug", event, fields)

    def info(self, event: str, **fields: Any) -> None:
        """What happens in the ordinary run of things."""
        self._write("info", event, fields)

    def often(self, event: str, **fields: Any) -> None:
        """What clients can bring about at will: a warning, of which each second brings a few lines only."""
        second, lines = self._often.get(event, (0, 0))
        now = int(time.monotonic())
        left_out = max(0, lines - OFTEN) if second != now else 0
        lines = lines + 1 if second == now else 1
        self._often[event] = (now, lines)
        if lines <= OFTEN:
            self._write("warning", event, fields | ({"left_out": left_out} if left_out else {}))

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
