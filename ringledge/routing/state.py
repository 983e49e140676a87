"""State that a router holds of servers and of requests; the types of messages are in ``interface.py``."""

from __future__ import annotations

from collections import defaultdict
from dataclasses import dataclass, field
from math import exp, inf
from typing import Self

from ringledge.routing.endpoints import ServerEntry
from ringledge.routing.events import Request
from ringledge.routing.settings import RequestClass, Role

SAMPLE_WEIGHT = 0.6  # of a new sample of a delay or failure: a router of many sees few, each tells much
DECAY_MS = 10_000.0  # ms after which an observation counts about a third: faults last a few times that


class FailureScope(str):
    """The requests that a server's failure concerns; its text is the one in snapshots."""

    __slots__ = ()

    @classmethod
    def of_class(cls, class_index: int) -> Self:
        """The requests of one class."""
        return cls(f"class {class_index}")

    @classmethod
    def of_tenant(cls, tenant: int) -> Self:
        """The requests of one tenant."""
        return cls(f"tenant {tenant}")


ANY_REQUEST = FailureScope("all")  # a lost connection: it concerns every request
SERVER_ERROR = FailureScope("error")  # errors while decoding


@dataclass(slots=True)
class DecayingMean:
    """An exponentially weighted mean that decays to 0 while no samples come."""

    mean: float = 0.0
    updated_ms: float = 0.0
    decay_ms: float = DECAY_MS

    def value(self, now_ms: float) -> float:
        """The mean, decayed by the time since the last sample."""
        return self.mean * exp((self.updated_ms - now_ms) / self.decay_ms)

    def add(self, now_ms: float, sample: float) -> None:
        """Include one sample."""
        self.mean = (1 - SAMPLE_WEIGHT) * self.value(now_ms) + SAMPLE_WEIGHT * sample
        self.updated_ms = now_ms


@dataclass(slots=True, eq=False)
class Server:
    """One server as this router sees it."""

    entry: ServerEntry
    role: Role
    pending_tokens: float = 0.0  # of this router's requests there: to prefill, or prompt and answer to decode
    prefill_tokens: float = 0.0  # of this router's requests there: uncached and not yet prefilled
    in_flight: list[RequestState] = field(default_factory=list)  # with an attempt there without an outcome
    delay: DecayingMean = field(default_factory=DecayingMean)  # ms to prefill or first token, beyond own load
    in_place_delay: DecayingMean = field(default_factory=DecayingMean)  # ms to prefill, if it decodes too
    newest_prefill_sent_ms: float = -inf  # when the last sent of the prefills that have ended was sent
    stream_ratio_sum: float = 0.0  # durations of its ended streams, each relative to its class's usual
    stream_count: float = 0.0  # how many ended; both decay with each further one
    cached_prefixes: dict[int, float] = field(default_factory=dict)  # and when prefilled there
    # By scope: what failed there lately.
    failures: defaultdict[FailureScope, DecayingMean] = field(
        default_factory=lambda: defaultdict(DecayingMean)
    )
    start_credit: float = 0.0  # slow start: attempts that it may get from this router while warming up
    start_credit_ms: float = 0.0  # when the credit was last updated
    warming_since_ms: float = 0.0  # its start, or the end of its exclusion; 0: long ago

    @property
    def prefill_delay(self) -> DecayingMean:
        """How long a prefill takes here, beyond own load."""
        return self.delay if self.role == Role.PREFILL else self.in_place_delay

    def delay_of(self, state: RequestState) -> DecayingMean:
        """The delay that its attempt is a sample of: it is prefilled here, or only fetched and decoded."""
        return self.prefill_delay if state.queued_tokens else self.delay

    def reserve(self, state: RequestState) -> None:
        """Count the tokens of an attempt that is sent here."""
        self.prefill_tokens += state.prefill_tokens
        self.pending_tokens += state.pending_tokens
        self.in_flight.append(state)

    def release(self, state: RequestState) -> None:
        """Stop counting an attempt that has an outcome."""
        self.in_flight.remove(state)
        self.pending_tokens -= state.pending_tokens
        self.end_prefill(state)

    def end_prefill(self, state: RequestState) -> None:
        """Stop counting what a request had to prefill."""
        self.prefill_tokens -= state.prefill_tokens
        state.prefill_tokens = 0.0


@dataclass(slots=True, frozen=True)
class PossibleRun:
    """An attempt that may have taken effect."""

    server: Server
    sent_ms: float


@dataclass(slots=True, eq=False)
class RequestState:
    """One request, from its arrival until its last attempt has an outcome."""

    request: Request
    request_class: RequestClass
    priority: float  # priority weight relative to the highest of all classes; less over the tenant's quota
    deadline_ms: float
    failure_scopes: list[FailureScope]  # its class's and, where there are tenants, its tenant's
    attempt_count: int = 0
    server: Server | None = None  # where an attempt has no outcome yet
    sent_ms: float = 0.0  # when that was sent
    pending_tokens: float = 0.0  # what it adds to the server's
    prefill_tokens: float = 0.0  # what it adds to the server's
    queued_tokens: float = 0.0  # of this router to be prefilled there, its own included; 0: it only decodes
    kv_server: Server | None = None  # the prefill server that holds its KV cache entry
    possible_runs: list[PossibleRun] = field(default_factory=list)
    failed_servers: list[Server] = field(default_factory=list)
    streaming: bool = False  # its answer has started
    stream_start_ms: float = 0.0
    ended: bool = False
