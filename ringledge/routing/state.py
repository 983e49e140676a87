"""Per-server and per-request state of a router; the message types are in ``interface.py``."""

from __future__ import annotations

from collections import defaultdict
from dataclasses import dataclass, field
from math import exp, inf
from typing import Self

from ringledge.routing.endpoints import ServerEntry
from ringledge.routing.events import Request
from ringledge.routing.settings import RequestClass, Role

# Weight of a new delay or failure sample. It is high because one of many routers gets few samples.
SAMPLE_WEIGHT = 0.6
# Time after which an observation's weight has decayed to about a third. Faults last a few times as long.
DECAY_MS = 10_000.0


class FailureScope(str):
    """The set of requests that a server failure applies to. Snapshots store the text of the scope."""

    __slots__ = ()

    @classmethod
    def of_class(cls, class_index: int) -> Self:
        """Scope of a failure that applies to one request class."""
        return cls(f"class {class_index}")

    @classmethod
    def of_tenant(cls, tenant: int) -> Self:
        """Scope of a failure that applies to one tenant."""
        return cls(f"tenant {tenant}")


ANY_REQUEST = FailureScope("all")  # a lost connection, which affects every request
SERVER_ERROR = FailureScope("error")  # an error response of a decode or mixed server


@dataclass(slots=True)
class DecayingMean:
    """An exponentially weighted moving average that decays to 0 in the absence of samples."""

    mean: float = 0.0
    updated_ms: float = 0.0
    decay_ms: float = DECAY_MS

    def value(self, now_ms: float) -> float:
        """Return the mean, decayed by the time since the last sample."""
        return self.mean * exp((self.updated_ms - now_ms) / self.decay_ms)

    def add(self, now_ms: float, sample: float) -> None:
        """Add a sample to the mean."""
        self.mean = (1 - SAMPLE_WEIGHT) * self.value(now_ms) + SAMPLE_WEIGHT * sample
        self.updated_ms = now_ms


@dataclass(slots=True, eq=False)
class Server:
    """What this router knows of one server."""

    entry: ServerEntry
    role: Role
    # Tokens of this router's requests in flight: uncached prompt tokens on a prefill server, prompt and
    # expected output tokens on a decode or mixed server.
    pending_tokens: float = 0.0
    prefill_tokens: float = 0.0  # uncached tokens of this router's requests that are not prefilled yet
    in_flight: list[RequestState] = field(default_factory=list)  # requests with an attempt in flight here
    # Delay in ms until a prefill ends or a first token arrives, without the time for this router's queue.
    delay: DecayingMean = field(default_factory=DecayingMean)
    in_place_delay: DecayingMean = field(default_factory=DecayingMean)  # same for prefills on a mixed server
    newest_prefill_sent_ms: float = -inf  # latest send time among the completed prefills
    stream_ratio_sum: float = 0.0  # sum of ended streams' durations, each relative to its class's usual one
    stream_count: float = 0.0  # number of ended streams; both sums decay with each further stream
    cached_prefixes: dict[int, float] = field(default_factory=dict)  # shared prefix to time of last prefill
    # Recent failure rate by scope.
    failures: defaultdict[FailureScope, DecayingMean] = field(
        default_factory=lambda: defaultdict(DecayingMean)
    )
    start_credit: float = 0.0  # slow start: attempts that this router may still send while it warms up
    start_credit_ms: float = 0.0  # time of the last update of the credit
    position: int = 0  # in the order in which servers were first listed
    warming_since_ms: float = 0.0  # start of the server, or end of its exclusion; 0 if long ago

    @property
    def prefill_delay(self) -> DecayingMean:
        """Delay of a prefill on this server, without the time for this router's own queue."""
        return self.delay if self.role == Role.PREFILL else self.in_place_delay

    def delay_of(self, state: RequestState) -> DecayingMean:
        """Return the delay estimate that a request's attempt is a sample of: prefill, or fetch and decode."""
        return self.prefill_delay if state.queued_tokens else self.delay

    def reserve(self, state: RequestState) -> None:
        """Add the tokens of an attempt that is being sent to this server."""
        self.prefill_tokens += state.prefill_tokens
        self.pending_tokens += state.pending_tokens
        self.in_flight.append(state)

    def release(self, state: RequestState) -> None:
        """Subtract the tokens of an attempt that has ended."""
        self.in_flight.remove(state)
        self.pending_tokens -= state.pending_tokens
        self.end_prefill(state)

    def end_prefill(self, state: RequestState) -> None:
        """Subtract the prefill tokens of a request."""
        self.prefill_tokens -= state.prefill_tokens
        state.prefill_tokens = 0.0


@dataclass(slots=True, frozen=True)
class PossibleRun:
    """An attempt that may have taken effect."""

    server: Server
    sent_ms: float


@dataclass(slots=True, eq=False)
class RequestState:
    """State of one request, from its arrival until its last attempt has ended."""

    request: Request
    request_class: RequestClass
    priority: float  # class weight relative to the highest one; reduced if the tenant is over its quota
    deadline_ms: float
    failure_scopes: list[FailureScope]  # scope of its class and, if tenants are configured, of its tenant
    attempt_count: int = 0
    server: Server | None = None  # server of the attempt in flight
    sent_ms: float = 0.0  # send time of the last attempt
    pending_tokens: float = 0.0  # part of the server's `pending_tokens`
    prefill_tokens: float = 0.0  # part of the server's `prefill_tokens`
    # Prefill tokens of this router on the server when the attempt was sent, its own included; 0 if the
    # attempt only decodes.
    queued_tokens: float = 0.0
    kv_server: Server | None = None  # prefill server that holds its KV cache entry
    possible_runs: list[PossibleRun] = field(default_factory=list)
    failed_servers: list[Server] = field(default_factory=list)
    streaming: bool = False  # the first token has arrived
    stream_start_ms: float = 0.0
    ended: bool = False
