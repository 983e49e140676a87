"""Records of requests and of their attempts, and how each ended."""

from __future__ import annotations

from dataclasses import dataclass, field
from enum import StrEnum

from ringledge.core.port import Payload, ResponseSink
from ringledge.decide.servers.cache_hold import CacheHold
from ringledge.routing.events import NEVER_RAN
from ringledge.routing.interface import AttemptStatus, Request


class RequestResult(StrEnum):
    """How a request ended; the values are labels of metrics and fields of the log."""

    SERVED = "served"  # the response was relayed completely
    BROKEN = "broken"  # the response broke off after its first token
    REJECTED = "refused"  # a retry is safe
    FAILED = "failed"  # it may have run
    CLIENT_DISCONNECTED = "gone"


@dataclass(slots=True, eq=False)
class Attempt:
    """One send of a request to one server; it gets exactly one outcome."""

    record: RequestRecord
    number: int
    server: str
    is_prefill: bool  # the server prefills: it may hold a KV cache entry afterwards
    at_most_once: bool  # it must never run twice
    sent_ms: float
    expires_ms: float  # clock reading at which it times out, unless its response has started
    server_started_ms: float = 0.0  # start time of the server process that was chosen
    written: bool = False  # the request's last byte was passed to the socket: it may run from here on
    delivered: bool = False  # its server has begun to answer: nothing less proves that it has arrived
    on_new_connection: bool = False  # it rarely is dead; a reused one may be, and nobody is told
    fetches_cache: bool = False  # sent while a KV cache entry was held, which it may have fetched
    streaming: bool = False  # the first token has arrived: the response is being relayed
    outcome: AttemptStatus | None = None
    duration_ms: float = 0.0
    first_token_ms: float = 0.0  # from its send to its first token
    completion_tokens: int = 0  # as its stream's usage field reports

    @property
    def in_flight(self) -> bool:
        """Whether its outcome has yet to come."""
        return self.outcome is None

    @property
    def may_have_run(self) -> bool:
        """Whether it was written to a server that generates, and is not proved never to have run."""
        return self.written and not self.is_prefill and self.outcome not in NEVER_RAN


@dataclass(slots=True, eq=False)
class RequestRecord:
    """One request, from its arrival until the last of its attempts has an outcome."""

    request: Request
    payload: Payload  # as received; the core forwards it unchanged
    sink: ResponseSink
    arrived_ms: float
    attempts: list[Attempt] = field(default_factory=list)
    cache: CacheHold = field(default_factory=CacheHold)
    closed: bool = False  # its final answer was given, or its client has disconnected
    result: RequestResult | None = None  # set once it is closed
    streaming: bool = False
    first_token_ms: float | None = None  # from its arrival to the first token
    reason: str = ""  # why it was rejected or failed; empty for other results
    violations: set[str] = field(default_factory=set)  # lasting invariant violations already counted

    def history(self) -> list[list[object]]:
        """Per attempt: server, outcome, duration in ms, written, delivered; for the log."""
        return [
            [
                attempt.server,
                attempt.outcome and attempt.outcome.value,
                round(attempt.duration_ms, 1),
                attempt.written,
                attempt.delivered,
            ]
            for attempt in self.attempts
        ]

    @property
    def request_id(self) -> str:
        """The request's id."""
        return self.request.request

    @property
    def deadline_ms(self) -> float:
        """Clock reading at which the client stops waiting for this request."""
        return self.arrived_ms + self.request.expires_in_ms

    @property
    def is_done(self) -> bool:
        """Whether it is closed and no attempt is in flight."""
        return self.closed and not any(attempt.in_flight for attempt in self.attempts)

    @property
    def has_written_attempt(self) -> bool:
        """Whether an attempt that was written completely is in flight: it may have arrived."""
        return any(attempt.in_flight and attempt.written for attempt in self.attempts)

    @property
    def has_delivered_attempt(self) -> bool:
        """Whether an attempt whose server has begun to answer is in flight."""
        return any(attempt.in_flight and attempt.delivered for attempt in self.attempts)

    @property
    def may_have_run(self) -> bool:
        """Whether an attempt was written to a server that generates, and is not proved never to have run."""
        return any(attempt.may_have_run for attempt in self.attempts)
