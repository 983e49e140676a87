"""What the decisions ask for; all times are milliseconds (``_ms``)."""

from __future__ import annotations

from dataclasses import dataclass, field
from enum import StrEnum


@dataclass(slots=True, frozen=True)
class SendAttempt:
    """Send the request to a server; a timeout of None lasts until the client's deadline."""

    request: str
    server: str
    timeout_ms: float | None = None


class TimerName(StrEnum):
    """What a timer of the decisions is for: its token begins with the name."""

    WATCH = "look"  # check on a request: followed by a colon and its id
    MEMBERS = "members"  # ask for the list of servers again
    EXPIRE = "reap"  # drop what is old


@dataclass(slots=True, frozen=True)
class TimerToken:
    """What a timer is for; its text goes to whoever runs the timer and comes back with `TimerFired`."""

    name: TimerName
    request: str | None = None  # of WATCH alone

    def encode(self) -> str:
        """The token's text."""
        return self.name.value if self.request is None else f"{self.name}:{self.request}"

    @classmethod
    def decode(cls, text: str) -> TimerToken | None:
        """The token of a text, or None where it is no token of the decisions."""
        name, _, request = text.partition(":")
        return cls(TimerName(name), request) if name in _TIMER_NAMES else None


_TIMER_NAMES = frozenset(TimerName)


class GiveUpReason(StrEnum):
    """Why a request was refused or failed."""

    UNKNOWN_CLASS = "unknown_class"
    NO_SERVER = "no_server"  # none that is up may get it: none listed, all cold, or all have failed it
    MEMORY_SHORT = "memory_short"  # of the decode servers
    TOKENS_IN_FLIGHT = "tokens_in_flight"  # the concurrency limit
    WAIT_TOO_LONG = "wait_too_long"  # at the prefill servers
    ATTEMPTS_USED = "attempts_used"
    OUT_OF_TIME = "out_of_time"
    SHUTDOWN = "shutdown"


@dataclass(slots=True, frozen=True)
class SetTimer:
    """Ask for a `Timer` event at a clock reading."""

    at_ms: float
    token: str


@dataclass(slots=True, frozen=True)
class RejectRequest:
    """Final answer: refused, and a retry does no harm; where a time is told, it is for after that."""

    request: str
    retry_after_ms: float | None = None
    reason: GiveUpReason = field(default=GiveUpReason.NO_SERVER, compare=False)  # for the log alone


@dataclass(slots=True, frozen=True)
class FailRequest:
    """Final answer: failed, with nothing promised about the effect."""

    request: str
    reason: GiveUpReason = field(default=GiveUpReason.NO_SERVER, compare=False)  # for the log alone


@dataclass(slots=True, frozen=True)
class CancelAttempt:
    """Stop waiting for an attempt."""

    request: str
    attempt: int


@dataclass(slots=True, frozen=True)
class ReleaseCache:
    """Release every KV cache entry and reservation held for the request."""

    request: str


@dataclass(slots=True, frozen=True)
class ProbeServer:
    """Ask a server for its load."""

    server: str


@dataclass(slots=True, frozen=True)
class PollEndpoints:
    """Ask for the whole list of servers once."""


@dataclass(slots=True, frozen=True)
class WatchEndpoints:
    """Ask for changes of the list from now on."""

    active: bool = True


@dataclass(slots=True, frozen=True)
class LogMessage:
    """A line for the operators."""

    text: str


RoutingAction = (
    SendAttempt
    | SetTimer
    | RejectRequest
    | FailRequest
    | CancelAttempt
    | ReleaseCache
    | ProbeServer
    | PollEndpoints
    | WatchEndpoints
    | LogMessage
)
