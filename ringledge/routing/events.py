"""Events of requests, attempts and timers. Times are in milliseconds (``_ms``)."""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum


class AttemptStatus(Enum):
    """How an attempt or probe ended."""

    OK = "ok"
    PREFILLED = "read"  # the prefill server holds the KV cache entry
    ERROR = "error"
    FULL = "full"  # rejected for lack of capacity, or (with `note` 1) no KV cache entry to fetch
    TIMEOUT = "timeout"
    CONNECT_FAILED = "connect failed"
    RESET = "reset"
    CANCELLED = "cancelled"
    NOT_SENT = "moot"


# Outcomes after which an attempt is known to have had no effect.
NEVER_RAN = (
    AttemptStatus.PREFILLED,
    AttemptStatus.FULL,
    AttemptStatus.CONNECT_FAILED,
    AttemptStatus.NOT_SENT,
)

CONNECTION_LOST = (AttemptStatus.CONNECT_FAILED, AttemptStatus.RESET)


@dataclass(slots=True, frozen=True)
class LoadReport:
    """Load reported by a server. Values are delayed and noisy; one that was not reported is None."""

    in_flight: float | None = None
    queued: float | None = None
    utilisation: float | None = None
    latency_ms: float | None = None
    memory_share: float | None = None
    pending_kilotokens: float | None = None


@dataclass(slots=True, frozen=True)
class Request:
    """A client request, identified by `request`. Each gets exactly one final answer."""

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
    """The end of one attempt. `request_ended` is set if the request has ended with the attempt or before it.

    The meaning of `note` depends on the status; use the properties to read it.
    """

    request: str
    attempt: int
    server: str
    status: AttemptStatus
    latency_ms: float = 0.0
    request_ended: bool = False
    note: int = 0  # prefilled: cached tokens; full: 1 if no entry to fetch; lost: 1 if it had been idle
    load: LoadReport | None = None

    @property
    def cached_tokens(self) -> int:
        """Number of prompt tokens that a prefill found in the cache."""
        return self.note

    @property
    def cache_entry_missing(self) -> bool:
        """Whether the attempt failed because its KV cache entry could not be found."""
        return self.status == AttemptStatus.FULL and self.note == 1

    @property
    def rejected(self) -> bool:
        """Whether the server rejected the attempt for lack of capacity."""
        return self.status == AttemptStatus.FULL and not self.note

    @property
    def idle_connection_closed(self) -> bool:
        """Whether the server closed an idle connection, which does not count as a server failure."""
        return self.status in CONNECTION_LOST and bool(self.note)

    @property
    def connection_failed(self) -> bool:
        """Whether a connection that was not idle was lost or could not be opened."""
        return self.status in CONNECTION_LOST and not self.note


@dataclass(slots=True, frozen=True)
class FirstToken:
    """An attempt has returned its first token, which is forwarded to the client."""

    request: str
    attempt: int
    server: str
    latency_ms: float = 0.0


@dataclass(slots=True, frozen=True)
class ClientDisconnected:
    """The client has disconnected and no longer needs an answer."""

    request: str


@dataclass(slots=True, frozen=True)
class ProbeResult:
    """Result of a probe."""

    server: str
    status: AttemptStatus
    latency_ms: float = 0.0
    load: LoadReport | None = None


@dataclass(slots=True, frozen=True)
class TimerFired:
    """A timer has fired. `token` is the one from its `SetTimer` action."""

    token: str
