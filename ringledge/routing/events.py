"""Events of requests, attempts and timers; all times are milliseconds (``_ms``)."""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum


class AttemptStatus(Enum):
    """How an attempt or probe ended."""

    OK = "ok"
    PREFILLED = "read"  # the KV cache entry waits at the prefill server
    ERROR = "error"
    FULL = "full"  # rejected, or no KV cache entry to fetch (then `note` is 1)
    TIMEOUT = "timeout"
    CONNECT_FAILED = "connect failed"
    RESET = "reset"
    CANCELLED = "cancelled"
    NOT_SENT = "moot"


# Outcomes that prove that an attempt had no effect.
NEVER_RAN = (
    AttemptStatus.PREFILLED,
    AttemptStatus.FULL,
    AttemptStatus.CONNECT_FAILED,
    AttemptStatus.NOT_SENT,
)

CONNECTION_LOST = (AttemptStatus.CONNECT_FAILED, AttemptStatus.RESET)


@dataclass(slots=True, frozen=True)
class LoadReport:
    """A load report, late and noisy; a value that was not reported is None."""

    in_flight: float | None = None
    queued: float | None = None
    utilisation: float | None = None
    latency_ms: float | None = None
    memory_share: float | None = None
    pending_kilotokens: float | None = None


@dataclass(slots=True, frozen=True)
class Request:
    """A client's request, which gets exactly one final answer. `request` is its id."""

    request: str
    expires_in_ms: float
    class_index: int = 0
    tenant: int = 0
    session: int | None = None
    prefix: int | None = None
    prefix_tokens: float = 0.0
    prompt_tokens: float = 0.0
    max_output_tokens: float = 0.0
    hint_ms: float | None = None
    retry: bool = False
    reconnect: bool = False


@dataclass(slots=True, frozen=True)
class AttemptOutcome:
    """How one attempt ended; `request_ended` says that the request has ended with it or before.

    What `note` means depends on the status; read it by the properties.
    """

    request: str
    attempt: int
    server: str
    status: AttemptStatus
    latency_ms: float = 0.0
    request_ended: bool = False
    note: int = 0  # tokens found cached; full: 1 without a KV cache entry; lost: 1 if idle before
    load: LoadReport | None = None

    @property
    def cached_tokens(self) -> int:
        """Of a prefill: the prompt tokens that were found cached."""
        return self.note

    @property
    def cache_entry_missing(self) -> bool:
        """Whether the server had no KV cache entry to fetch."""
        return self.status == AttemptStatus.FULL and self.note == 1

    @property
    def rejected(self) -> bool:
        """Whether the server rejected the attempt for want of capacity."""
        return self.status == AttemptStatus.FULL and not self.note

    @property
    def idle_connection_closed(self) -> bool:
        """Whether the server closed a connection that had been idle: no failure of the server."""
        return self.status in CONNECTION_LOST and bool(self.note)

    @property
    def connection_failed(self) -> bool:
        """Whether the connection was lost otherwise."""
        return self.status in CONNECTION_LOST and not self.note


@dataclass(slots=True, frozen=True)
class FirstToken:
    """The answer of an attempt has started; it is forwarded to the client."""

    request: str
    attempt: int
    server: str
    latency_ms: float = 0.0


@dataclass(slots=True, frozen=True)
class ClientDisconnected:
    """The client has disconnected; no answer is needed any more."""

    request: str


@dataclass(slots=True, frozen=True)
class ProbeResult:
    """The result of a probe."""

    server: str
    status: AttemptStatus
    latency_ms: float = 0.0
    load: LoadReport | None = None


@dataclass(slots=True, frozen=True)
class TimerFired:
    """A timer has fired; the token is the one that it was set with."""

    token: str
