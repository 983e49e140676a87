"""What has to hold whatever the guards and the decisions do: checked beside each act, and counted.

A guard (`begin.refusal`, `repeats.may_refuse`) keeps an act from happening. These checks see the act that
does happen. They go by the request's record and the list alone, never by the decisions that chose the act, so
a fault in one does not hide in the other. Each count has to stay 0; one that does not is an alert.
"""

from __future__ import annotations

from collections.abc import Iterable
from enum import StrEnum

from ringledge.core import retry_guard as repeats
from ringledge.core.clock import Clock
from ringledge.core.records import Attempt, Record
from ringledge.memory.server_list import ServerList
from ringledge.observe.logging import log
from ringledge.observe.metrics import Metrics
from ringledge.routing.interface import (
    Availability,
    RouterSettings,
)

RESPONSE_SLACK_MS = (
    150.0  # behind its time: the answer is still in time to count, 0.5 s, and nobody else gives it
)
CACHE_HOLD_SLACK_MS = (
    350.0  # that a KV cache entry may be held beyond the setting: 50 ms of sockets, 300 of the fleet
)
TIMEOUT_SLACK_MS = 150.0  # that a server may be told beyond what its client has left


class Invariant(StrEnum):
    """What was found not to hold."""

    RESPONSE_OVERDUE = "answer_overdue"  # a request is still owed its final answer
    CLOSED_UNANSWERED = "closed_unanswered"  # a connection was closed under a request that was read
    REJECTED_AFTER_RUN = "refused_after_run"  # a retry was called harmless, and is not
    UNSAFE_RETRY = "repeated_run"  # an attempt was sent behind one that may have run
    CONCURRENT_ATTEMPT = "second_copy"  # an attempt was sent beside another one
    TOO_MANY_ATTEMPTS = "too_many_attempts"
    SENT_AFTER_END = "sent_after_end"  # an attempt was sent for a request that is over
    SENT_TO_UNAVAILABLE = "sent_to_closed"  # an attempt was sent to a server that drains or is not listed
    TIMEOUT_BEYOND_DEADLINE = "told_too_much"  # a server was told more time than its client has left
    CACHE_HELD_TOO_LONG = (
        "held_too_long"  # a KV cache entry is held, and no attempt of its request has arrived
    )
    EVENT_HANDLING_FAILED = "handling_failed"  # an exception in the decisions or in carrying them out


class InvariantChecker:
    """The checks of one conductor; what they find is logged, and counted by invariant."""

    def __init__(self, settings: RouterSettings, clock: Clock, servers: ServerList, metrics: Metrics) -> None:
        self._settings, self._clock, self._servers, self._metrics = settings, clock, servers, metrics
        self._held_ms = (
            settings.release_within_ms + CACHE_HOLD_SLACK_MS if settings.release_within_ms else None
        )
        for invariant in Invariant:
            metrics.violations.labels(invariant.value)  # a figure of 0 from the start on

    def record_violation(self, invariant: Invariant, request: str = "", **facts: object) -> None:
        """Count one violation, and tell what is known of it."""
        self._metrics.violations.labels(invariant.value).inc()
        log.error("invariant_violated", invariant=invariant.value, request=request, **facts)

    def check_send(self, attempt: Attempt, told_ms: float) -> None:
        """Check an attempt in the turn in which it is written; `told_ms`: the time told to its server."""
        record, now_ms = attempt.record, self._clock.now_ms()
        for invariant in self._found_at_send(attempt, told_ms, now_ms):
            self.record_violation(invariant, record.request_id, server=attempt.server, attempt=attempt.number)

    def _found_at_send(self, attempt: Attempt, told_ms: float, now_ms: float) -> Iterable[Invariant]:
        record, settings = attempt.record, self._settings
        request_class = settings.classes[record.request.class_index]
        others = [each for each in record.attempts if each is not attempt]
        if record.closed or not attempt.in_flight:
            yield Invariant.SENT_AFTER_END
        if not repeats.may_run_concurrently(settings, request_class, others):
            yield Invariant.CONCURRENT_ATTEMPT
        if attempt.number >= settings.max_attempts:
            yield Invariant.TOO_MANY_ATTEMPTS
        if not attempt.is_prefill and not repeats.may_retry(request_class, others, now_ms):
            yield Invariant.UNSAFE_RETRY
        entry = self._servers.entries.get(attempt.server)
        if entry is None or entry.availability is not Availability.UP:
            yield Invariant.SENT_TO_UNAVAILABLE
        if told_ms > record.deadline_ms - now_ms + TIMEOUT_SLACK_MS:
            yield Invariant.TIMEOUT_BEYOND_DEADLINE

    def check_rejection(self, record: Record) -> None:
        """Check a refusal, however it is worded, as it is given."""
        if not repeats.may_reject(self._settings.classes[record.request.class_index], record):
            self.record_violation(Invariant.REJECTED_AFTER_RUN, record.request_id, attempts=record.history())

    def check_open_requests(self, records: Iterable[Record]) -> list[Record]:
        """Look over the open requests, now and then; those that should have been answered by now."""
        now_ms, found = self._clock.now_ms(), list[Record]()
        for record in records:
            if not (record.closed or record.streaming) and now_ms > record.deadline_ms + RESPONSE_SLACK_MS:
                self._once(record, Invariant.RESPONSE_OVERDUE)
                found.append(record)
            if (
                self._held_ms is not None
                and record.cache_holders
                and self._held_for_ms(record, now_ms) > self._held_ms
            ):
                self._once(record, Invariant.CACHE_HELD_TOO_LONG)
        return found

    @staticmethod
    def _held_for_ms(record: Record, now_ms: float) -> float:
        """For how long no attempt of the request that has arrived, as far as one can tell, was out."""
        arrived = any(attempt.in_flight and attempt.delivered for attempt in record.attempts)
        return 0.0 if arrived else now_ms - record.idle_since_ms

    def _once(self, record: Record, invariant: Invariant) -> None:
        """Count a violation that lasts once for its request."""
        if invariant.value not in record.violations:
            record.violations.add(invariant.value)
            self.record_violation(invariant, record.request_id, attempts=record.history())
