"""Records of requests and of their attempts, and how each ended."""

from __future__ import annotations

from dataclasses import dataclass, field

from ringledge.core.port import Payload, ResponseSink
from ringledge.routing.events import NEVER_RAN
from ringledge.routing.interface import (
    AttemptStatus,
    Request,
)


@dataclass(slots=True, eq=False)
class Attempt:
    """One send of a request to one server; it gets exactly one outcome."""

    record: Record
    number: int
    server: str
    is_prefill: bool  # the server prefills: a KV cache entry may be left there
    at_most_once: bool  # it must never run twice
    sent_ms: float
    expires_ms: float  # clock reading at which it is timed out, unless it has begun
    server_started_ms: float = 0.0  # the start of the server's process that was chosen
    written: bool = False  # the request's last byte is on its way: it may run from here on
    delivered: bool = (
        False  # its connection was new, or has answered: a kept one may be dead, and nobody told
    )
    fetches_cache: bool = False  # it was sent while a KV cache entry was held, and may have fetched that
    streaming: bool = False  # the first token has come: the attempt is the client's
    outcome: AttemptStatus | None = None
    duration_ms: float = 0.0
    first_token_ms: float = 0.0  # from its send to its first token
    completion_tokens: int = 0  # that its stream told to have had

    @property
    def in_flight(self) -> bool:
        """Whether its outcome has yet to come."""
        return self.outcome is None

    @property
    def may_have_run(self) -> bool:
        """Whether it was written to a server that answers, and is not proved never to have run."""
        return self.written and not self.is_prefill and self.outcome not in NEVER_RAN


@dataclass(slots=True, eq=False)
class Record:
    """One request, from its arrival until the last of its attempts has an outcome."""

    request: Request
    payload: Payload  # as it came; the core only passes it on
    sink: ResponseSink
    arrived_ms: float
    attempts: list[Attempt] = field(default_factory=list)
    cache_holders: set[str] = field(default_factory=set)  # servers that hold a KV cache entry
    unobserved: dict[str, float] = field(
        default_factory=dict
    )  # where a prefill may have ended unseen, and when
    idle_since_ms: float = 0.0  # since when no attempt of it is out that has arrived
    released: bool = False  # what was held is released, while the decisions still count on it
    closed: bool = False  # its final answer is given, or its client has gone
    result: str = ""  # what the final answer was
    streaming: bool = False
    first_token_ms: float | None = None  # from its arrival to the first token
    reason: str = ""  # the reason of the final answer, where there is one to tell
    violations: set[str] = field(default_factory=set)  # lasting ones that were counted

    def history(self) -> list[list[object]]:
        """Each attempt's server, outcome and time in ms, and whether it was written and has arrived."""
        return [
            [
                each.server,
                each.outcome and each.outcome.value,
                round(each.duration_ms, 1),
                each.written,
                each.delivered,
            ]
            for each in self.attempts
        ]

    @property
    def request_id(self) -> str:
        """The request's id."""
        return self.request.request

    @property
    def deadline_ms(self) -> float:
        """Clock reading at which the client gives this try up."""
        return self.arrived_ms + self.request.expires_in_ms

    @property
    def is_done(self) -> bool:
        """Whether its answer is given and no attempt is out."""
        return self.closed and not any(attempt.in_flight for attempt in self.attempts)

    @property
    def may_have_run(self) -> bool:
        """Whether an attempt was written to a server that answers, and is not proved never to have run."""
        return any(attempt.may_have_run for attempt in self.attempts)
