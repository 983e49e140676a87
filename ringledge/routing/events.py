"""What happens to requests, as the decisions are told; all times are milliseconds (``_ms``)."""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum


class AttemptStatus(Enum):
    """How an attempt or probe ended."""

    OK = "ok"
    PREFILLED = "read"  # the KV cache entry waits at the prefill server
    ERROR = "error"
    FULL = "full"  # turned away, or no KV cache entry to fetch (then `note` is 1)
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
    """A client's request; exactly one final answer is owed."""

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
    """How one attempt ended; `over` says that the request has ended with it or before."""

    request: str
    attempt: int
    server: str
    status: AttemptStatus
    latency_ms: float = 0.0
    request_ended: bool = False
    note: int = 0  # tokens found cached; full: 1 without a KV cache entry; lost: 1 if idle before
    load: LoadReport | None = None


@dataclass(slots=True, frozen=True)
class FirstToken:
    """The answer has started: the attempt is the client's now."""

    request: str
    attempt: int
    server: str
    latency_ms: float = 0.0


@dataclass(slots=True, frozen=True)
class ClientDisconnected:
    """The client has left; nothing more is owed."""

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
    """A timer has fallen due."""

    token: str
