"""What one conductor sees of demand and of servers' paces, by its own requests; free of I/O and clocks.

It tells the planner of roles two kinds of rows: by class what is asked for, by server what that gets through.
What is turned away is asked for all the same: demand is what came in, times what such requests usually take.
"""

from __future__ import annotations

from dataclasses import dataclass, field
from math import exp, isfinite

from ringledge.decide.interface import ClassDemand, ServerObservation

WINDOW_S = 5.0  # over which arrivals fade: shorter than the planner's fast horizon and its look together
NEW = 0.1  # weight of a new sample of a mean: some ten requests of a class tell it
LEAST_READ = 64.0  # unread tokens from which the time of a read tells a pace: shorter ones tell the way there
LEAST_WRITE = 8.0  # answer tokens from which the time of a stream does
LEAST_S = 1e-3  # that work takes: what says less is a clock's step
MOST_TOKENS = 1e7  # of one request: more is nonsense


@dataclass(slots=True)
class Mean:
    """A running mean; `known` once a sample came."""

    value: float = 0.0
    known: bool = False

    def add(self, sample: float) -> None:
        """Take one in."""
        self.value += (NEW if self.known else 1.0) * (sample - self.value)
        self.known = True


@dataclass(slots=True)
class Kind:
    """One class."""

    arrivals: float = 0.0  # fading count
    at_s: float = 0.0
    read: Mean = field(default_factory=Mean)  # unread tokens a request
    write: Mean = field(default_factory=Mean)  # answer tokens a request


@dataclass(slots=True)
class Box:
    """One server."""

    read: Mean = field(default_factory=Mean)  # unread tokens per s of a read
    write: Mean = field(default_factory=Mean)  # answer tokens per s of a stream
    held: Mean = field(default_factory=Mean)  # tokens that a stream holds, half of its answer counted
    together: float = 1.0  # most streams of ours there at once, fading with each look


class Measures:
    """Events in, rows out; times in s, tokens as counts."""

    def __init__(self) -> None:
        self._kinds: dict[int, Kind] = {}
        self._boxes: dict[str, Box] = {}

    def taken(self, now_s: float, kind: int, prompt: float, answer: float) -> None:
        """A request came in; `prompt`, `answer`: its tokens at most, which count until some have ended."""
        its = self._kinds.setdefault(kind, Kind())
        its.arrivals = its.arrivals * exp((its.at_s - now_s) / WINDOW_S) + 1
        its.at_s = now_s
        for mean, tokens in ((its.read, prompt), (its.write, answer / 2)):
            if not mean.known and _sane(tokens):
                mean.value = tokens

    def has_read(self, kind: int, server: str, unread: float, took_s: float) -> None:
        """A read ended well."""
        if not _sane(unread):
            return
        self._kinds.setdefault(kind, Kind()).read.add(unread)
        if unread >= LEAST_READ and took_s > LEAST_S:
            self._box(server).read.add(unread / took_s)

    def has_written(self, kind: int, server: str, prompt: float, answer: float, took_s: float) -> None:
        """A stream ended well; `took_s` from its first token on."""
        if not (_sane(prompt) and _sane(answer)):
            return
        self._kinds.setdefault(kind, Kind()).write.add(answer)
        if answer >= LEAST_WRITE and took_s > LEAST_S:
            box = self._box(server)
            box.write.add(answer / took_s)
            box.held.add(prompt + answer / 2)

    def streams(self, server: str, count: int) -> None:
        """How many of ours run there at this look."""
        if count or server in self._boxes:
            box = self._box(server)
            box.together = max(1.0, float(count), (1 - NEW) * box.together)

    def demand(self, now_s: float) -> dict[int, ClassDemand]:
        """By class, what is asked for."""
        told = {}
        for kind, its in self._kinds.items():
            per_s = its.arrivals * exp((its.at_s - now_s) / WINDOW_S) / WINDOW_S
            told[kind] = ClassDemand(per_s, per_s * its.read.value, per_s * its.write.value)
        return told

    def seen(
        self, server: str, memory: float | None, routers: int, warmth: float, waiting: int
    ) -> ServerObservation:
        """What a server gets through as far as known, 0 where it is not.

        Reading is one queue, so the pace of a read is the server's. A writer runs as many streams as its
        memory (tokens) holds; where that is not told, as many as we had there, times `routers`.
        """
        box, write = self._boxes.get(server, Box()), 0.0
        if box.write.known:
            many = memory / max(1.0, box.held.value) if memory else box.together * routers
            write = box.write.value * max(1.0, many)
        return ServerObservation(box.read.value, write, warmth, waiting)

    def keep(self, servers: set[str]) -> None:
        """Forget those that are listed no more."""
        for name in self._boxes.keys() - servers:
            del self._boxes[name]

    def _box(self, server: str) -> Box:
        return self._boxes.setdefault(server, Box())


def _sane(tokens: float) -> bool:
    return isfinite(tokens) and 0 <= tokens <= MOST_TOKENS
