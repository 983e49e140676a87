"""What requests and servers are in the lab of `benchmarks/ratio_lab.py`."""

from __future__ import annotations

from collections import deque
from dataclasses import dataclass, field
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from benchmarks.ratio_lab import Conductor


@dataclass(slots=True, eq=False)
class Job:
    """One request."""

    at_s: float
    prompt: float
    answer: float
    kind: str  # its class, as members tell it
    booking: bool
    home: Conductor
    reader: Server | None = None
    sends: int = 0  # to a writer
    end: str = ""  # in time, late, gone


@dataclass(slots=True, eq=False)
class Server:
    """One server; it does whatever it is sent."""

    name: str
    site: str
    rack: str
    read_pace: float
    write_pace: float
    queue: deque[Job] = field(default_factory=deque)  # unread
    unwritten: deque[Job] = field(default_factory=deque)  # sent, and no place free yet
    reading: bool = False
    unread: float = 0.0  # tokens
    streams: int = 0
    states: int = 0  # that wait to be fetched
    cold_s: float = -1e9  # since when it reads
