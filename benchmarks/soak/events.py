"""Event files of the processes of a soak: JSON lines with times of the monotonic clock, which all share."""

from __future__ import annotations

import time
from collections.abc import Iterable, Iterator
from pathlib import Path
from typing import Any

import orjson

Event = dict[str, Any]


class EventLog:
    """An event file without buffering, because its process may be killed at any moment."""

    def __init__(self, path: Path, source: str) -> None:
        self._file, self._source = path.open("ab", buffering=0), source

    def write(self, event: str, **fields: Any) -> None:
        """Append one event with the current time `t`, in s."""
        line = {"t": time.monotonic(), "source": self._source, "event": event, **fields}
        self._file.write(orjson.dumps(line, option=orjson.OPT_APPEND_NEWLINE))


def read_events(paths: Iterable[Path]) -> list[Event]:
    """All events of these files by time; lines that a kill cut short are skipped."""
    return sorted(
        (event for path in paths for event in _parse_events(path)), key=lambda event: float(event["t"])
    )


def _parse_events(path: Path) -> Iterator[Event]:
    for line in path.read_bytes().splitlines():
        try:
            event = orjson.loads(line)
        except orjson.JSONDecodeError:
            continue
        if isinstance(event, dict) and "t" in event:
            yield event
