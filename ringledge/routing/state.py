"""Records that a router keeps of servers and requests; the types of messages are in ``interface.py``."""

from __future__ import annotations

from collections import defaultdict
from dataclasses import dataclass, field
from math import exp

from ringledge.routing.actions import GiveUpReason
from ringledge.routing.endpoints import ServerEntry
from ringledge.routing.events import Request
from ringledge.routing.settings import RequestClass, Role

# Tuned values: unit, and why.
SAMPLE_WEIGHT = 0.6  # of a new sample of a delay or failure: a router of many sees few, each tells much
DECAY_MS = 10_000.0  # ms after which an observation counts about a third: faults last a few times that

ANY_REQUEST = "all"  # failure scope of a lost connection: it concerns every request
SERVER_ERROR = "error"  # failure scope of errors while decoding


@dataclass(slots=True)
class DecayingMean:
    """A running mean that decays to 0 while no samples come."""

    mean: float = 0.0
    updated_ms: float = 0.0
    decay_ms: float = DECAY_MS

    def value(self, now_ms: float) -> float:
        """The mean as far as it still counts."""
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
    in_flight: list[Job] = field(default_factory=list)  # requests with an attempt there without an outcome
    delay: DecayingMean = field(default_factory=DecayingMean)  # ms to prefill or first token, beyond own load
    in_place_delay: DecayingMean = field(default_factory=DecayingMean)  # ms to prefill, if it decodes too
    stream_ratio_sum: float = 0.0  # durations of its ended streams, each relative to its class's usual
    stream_count: float = 0.0  # how many ended; both decay with each further one
    cached_prefixes: dict[int, float] = field(default_factory=dict)  # and when prefilled there
    # By scope: what failed there lately.
    failures: defaultdict[str, DecayingMean] = field(default_factory=lambda: defaultdict(DecayingMean))
    start_credit: float = 0.0  # slow start: attempts that it may get from this router while cold
    start_credit_ms: float = 0.0  # when the credit was counted
    warming_since_ms: float = 0.0  # its start, or the end of its exclusion; 0: long ago

    @property
    def prefill_delay(self) -> DecayingMean:
        """How long a prefill takes here, beyond own load."""
        return self.delay if self.role == Role.PREFILL else self.in_place_delay

    def delay_of(self, job: Job) -> DecayingMean:
        """The delay that its attempt tells of: it is prefilled here, or only fetched and decoded."""
        return self.prefill_delay if job.queued_tokens else self.delay


@dataclass(slots=True, frozen=True)
class PossibleRun:
    """An attempt that may have taken effect."""

    server: Server
    sent_ms: float


@dataclass(slots=True, frozen=True)
class Affinity:
    """Where a session's last prompt was prefilled."""

    server: Server
    cached_tokens: float
    used_ms: float


@dataclass(slots=True, eq=False)
class Job:
    """One request, from its arrival until its last attempt has an outcome."""

    request: Request
    request_class: RequestClass
    value: float  # its worth relative to the worthiest class within its quota
    deadline_ms: float
    failure_scopes: list[str]  # whose failures it shares: its class's and, where there are some, its tenant's
    attempts: int = 0
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
    shed_why: GiveUpReason = GiveUpReason.NO_SERVER  # of the last choice that found no server
