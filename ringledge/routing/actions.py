"""Actions: what the decisions have the caller do; all times are milliseconds (``_ms``)."""

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
    """The purpose of a timer: its token begins with the name."""

    WATCH = "look"  # check on a request: followed by a colon and its id
    MEMBERS = "members"  # request the list of servers again
    EXPIRE = "reap"  # delete what is old


@dataclass(slots=True, frozen=True)
class TimerToken:
    """What a timer is for; its text is set with `SetTimer` and comes back with `TimerFired`."""

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
    """Why a request was rejected or failed."""

    UNKNOWN_CLASS = "unknown_class"
    NO_SERVER = "no_server"  # none is eligible: none listed, all cold, or all have failed it
    MEMORY_SHORT = "memory_short"  # of the decode servers
    TOKENS_IN_FLIGHT = "tokens_in_flight"  # the concurrency limit
    WAIT_TOO_LONG = "wait_too_long"  # at the prefill servers
    ATTEMPTS_USED = "attempts_used"
    OUT_OF_TIME = "out_of_time"
    SHUTDOWN = "shutdown"


@dataclass(slots=True, frozen=True)
class SetTimer:
    """Have a `TimerFired` event delivered at a clock reading."""

    at_ms: float
    token: str


@dataclass(slots=True, frozen=True)
class RejectRequest:
    """Final answer: rejected, and a retry does no harm, after `retry_after_ms` where that is set."""

    request: str
    retry_after_ms: float | None = None
    reason: GiveUpReason = field(default=GiveUpReason.NO_SERVER, compare=False)  # for the log alone


@dataclass(slots=True, frozen=True)
class FailRequest:
    """Final answer: failed; the request may or may not have taken effect."""

    request: str
    reason: GiveUpReason = field(default=GiveUpReason.NO_SERVER, compare=False)  # for the log alone


@dataclass(slots=True, frozen=True)
class CancelAttempt:
    """Cancel an attempt; its outcome still comes."""

    request: str
    attempt: int


@dataclass(slots=True, frozen=True)
class ReleaseCache:
    """Release every KV cache entry and reservation held for the request."""

    request: str


@dataclass(slots=True, frozen=True)
class ProbeServer:
    """Probe a server for its load report."""

    server: str


@dataclass(slots=True, frozen=True)
class PollEndpoints:
    """Request the complete list of servers once."""


@dataclass(slots=True, frozen=True)
class WatchEndpoints:
    """Subscribe to changes of the list, or with `active` false end that."""

    active: bool = True


@dataclass(slots=True, frozen=True)
class LogMessage:
    """A log message for the operators."""

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
