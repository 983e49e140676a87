"""Data types of the release scheduler: calls, results and the state of a release in progress."""

from __future__ import annotations

from dataclasses import dataclass, field
from enum import Enum


class ReleaseOutcome(Enum):
    """How a release ended; the values appear in logs and metrics."""

    DONE = "done"  # a server answered a call
    NO_SERVER = "gone"  # no server is listed any more
    TIMED_OUT = "lost"  # no server answered in time


@dataclass(slots=True, frozen=True)
class ReleaseCall:
    """A call that requests a server to release all KV cache entries of a request."""

    request: str
    server: str


@dataclass(slots=True, frozen=True)
class ReleaseResult:
    """The result of a finished release."""

    request: str
    outcome: ReleaseOutcome
    calls: int  # number of calls sent until the first answer
    duration_ms: float  # until the first answer, or until the release ended without one
    server: str = ""  # the server that answered first; empty if none did
    by_holder: bool = False  # whether the first answer came from a holder


@dataclass(slots=True)
class ActiveRelease:
    """The state of a release in progress."""

    request: str
    holders: tuple[str, ...]  # servers that hold or may hold an entry
    unconfirmed: frozenset[str]  # holders on which an abandoned attempt may still be running
    started_ms: float
    deadline_ms: float  # when a server should have answered at the latest
    next_call_ms: float = 0.0
    called: set[str] = field(default_factory=set)  # servers called in the current round
    calls: int = 0
    result: ReleaseResult | None = None  # set by the first answer
