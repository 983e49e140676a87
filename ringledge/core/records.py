"""Records of requests and their attempts, including how each ended."""

from __future__ import annotations

from dataclasses import dataclass, field
from enum import StrEnum

from ringledge.core.port import Payload, ResponseSink
from ringledge.decide.servers.cache_hold import CacheEntryTracker
from ringledge.routing.events import NEVER_RAN
from ringledge.routing.interface import AttemptStatus, Request


class RequestResult(StrEnum):
    """How a request ended; the values appear as metric labels and in log lines."""

    SERVED = "served"  # the complete response was relayed
    BROKEN = "broken"  # the response was cut off after its first token
    REJECTED = "refused"  # the client may safely retry the request
    FAILED = "failed"  # the request may have run
    CLIENT_DISCONNECTED = "gone"


@dataclass(slots=True, eq=False)
class Attempt:
    """One send of a request to one server; it gets exactly one outcome."""

    record: RequestRecord
    number: int
    server: str
    is_prefill: bool  # whether it goes to a prefill server, which may hold a KV cache entry afterwards
    at_most_once: bool  # whether a second run of the request would be unsafe
    sent_ms: float
    expires_ms: float  # clock reading at which it times out, unless its response has started
    server_started_ms: float = 0.0  # start time of the server process that the policy chose
    written: bool = False  # whether its last byte was passed to the socket, after which it may run
    delivered: bool = False  # whether the server has begun to answer: the only proof that the request arrived
    on_new_connection: bool = False  # else on a reused one, more often dead without an error
    fetches_cache: bool = False  # whether a KV cache entry, which it may fetch, was held when it was sent
    streaming: bool = False  # whether the first token has arrived and the response is being relayed
    outcome: AttemptStatus | None = None
    duration_ms: float = 0.0
    first_token_ms: float = 0.0  # from the send to the first token
    completion_tokens: int = 0  # from the usage field of the stream

    @property
    def in_flight(self) -> bool:
        """Whether the attempt has no outcome yet."""
        return self.outcome is None

    @property
    def may_have_run(self) -> bool:
        """Whether it may have run on a server that generates tokens.

        False if it was not written completely, or if its outcome proves that it never ran.
        """
        return self.written and not self.is_prefill and self.outcome not in NEVER_RAN


@dataclass(slots=True, eq=False)
class RequestRecord:
    """One request, from its arrival until the last of its attempts has an outcome."""

    request: Request
    payload: Payload  # as received; forwarded unchanged; released once the request is closed
    sink: ResponseSink
    arrived_ms: float
    attempts: list[Attempt] = field(default_factory=list)
    cache: CacheEntryTracker = field(default_factory=CacheEntryTracker)
    closed: bool = False  # whether the final answer was given or the client has disconnected
    result: RequestResult | None = None  # None until the request is closed
    streaming: bool = False  # whether the response of one of its attempts is being relayed
    first_token_ms: float | None = None  # from the request's arrival to the first token
    reason: str = ""  # why it was rejected or failed; empty for other results
    violations: set[str] = field(default_factory=set)  # violated invariants that are not counted again

    def attempt_summaries(self) -> list[list[object]]:
        """Server, outcome, duration in ms, `written` and `delivered` of each attempt, for log lines."""
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
        """The request's id, unique among the open requests."""
        return self.request.request

    @property
    def deadline_ms(self) -> float:
        """Clock reading at which the client stops waiting for the response."""
        return self.arrived_ms + self.request.expires_in_ms

    @property
    def is_done(self) -> bool:
        """Whether the request is closed and none of its attempts is in flight."""
        return self.closed and not any(attempt.in_flight for attempt in self.attempts)

    @property
    def has_written_attempt(self) -> bool:
        """Whether an attempt is in flight that was written completely, and so may have arrived."""
        return any(attempt.in_flight and attempt.written for attempt in self.attempts)

    @property
    def has_delivered_attempt(self) -> bool:
        """Whether an attempt is in flight whose server has begun to answer."""
        return any(attempt.in_flight and attempt.delivered for attempt in self.attempts)

    @property
    def may_have_run(self) -> bool:
        """Whether one of the attempts may have run on a server that generates tokens."""
        return any(attempt.may_have_run for attempt in self.attempts)
