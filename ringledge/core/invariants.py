"""Run-time checks of invariants that must hold whatever the guards and the policy decide.

A guard (`send_guard.send_rejection_reason`, `retry_guard.may_reject`) prevents an operation; the checks here
inspect the operations that take place. They use only the request's record and the server list, not the
decisions that led to the operation, so that a fault in those cannot hide a violation. Each violation is
logged and counted; every count must stay 0, and an alert is raised otherwise.
"""

from __future__ import annotations

from collections.abc import Iterable
from enum import StrEnum

from ringledge.core import retry_guard
from ringledge.core.clock import Clock
from ringledge.core.records import Attempt, RequestRecord
from ringledge.memory.server_list import ServerList
from ringledge.observe.logging import log
from ringledge.observe.metrics import Metrics
from ringledge.routing.interface import Availability, RouterSettings

RESPONSE_SLACK_MS = 150.0  # tolerance after the deadline; a response counts until 0.5 s after it
CACHE_HOLD_SLACK_MS = 350.0  # beyond `release_within_ms`: 50 ms for sockets, 300 ms for the rest of the fleet
TIMEOUT_SLACK_MS = 150.0  # tolerance of a server's time limit beyond the time to the deadline


class Invariant(StrEnum):
    """An invariant; the value identifies its violation in metric labels and log lines."""

    RESPONSE_OVERDUE = "answer_overdue"  # the final answer was not given in time
    # A connection was closed before a request that had been read from it was answered.
    CLOSED_UNANSWERED = "closed_unanswered"
    REJECTED_AFTER_RUN = "refused_after_run"  # a request was rejected although a retry is unsafe
    UNSAFE_RETRY = "repeated_run"  # an attempt was sent after one that may have run
    CONCURRENT_ATTEMPT = "second_copy"  # an attempt was sent while another one was in flight
    TOO_MANY_ATTEMPTS = "too_many_attempts"
    SENT_AFTER_END = "sent_after_end"  # an attempt was sent that had ended, or whose request was closed
    SENT_TO_UNAVAILABLE = "sent_to_closed"  # an attempt was sent to a draining or unlisted server
    TIMEOUT_BEYOND_DEADLINE = "told_too_much"  # a server's time limit ended after the client's deadline
    # A KV cache entry may be held for longer than its limit with no delivered attempt in flight.
    CACHE_HELD_TOO_LONG = "held_too_long"
    # An idempotency key could be claimed although its earlier run may have taken place.
    KEY_CLAIMED_TWICE = "key_claimed_twice"
    EVENT_TOO_LONG = "event_too_long"  # one event took so much CPU that all other requests were late
    EVENT_HANDLING_FAILED = "handling_failed"  # the policy or one of its actions raised an exception


class InvariantChecker:
    """Performs the checks of one router; each violation is logged and counted."""

    def __init__(self, settings: RouterSettings, clock: Clock, servers: ServerList, metrics: Metrics) -> None:
        self._settings = settings
        self._clock = clock
        self._servers = servers
        self._metrics = metrics
        self._max_cache_hold_ms: float | None = None
        if settings.release_within_ms:
            self._max_cache_hold_ms = settings.release_within_ms + CACHE_HOLD_SLACK_MS
        for invariant in Invariant:
            metrics.violations.labels(invariant.value)  # creates the series, exported as 0 from the start

    def record_violation(self, invariant: Invariant, request: str = "", **fields: object) -> None:
        """Log and count one violation."""
        self._metrics.violations.labels(invariant.value).inc()
        log.error("invariant_violated", invariant=invariant.value, request=request, **fields)

    def check_send(self, attempt: Attempt, timeout_ms: float) -> None:
        """Check an attempt as it is written; `timeout_ms` is the time limit that its server receives."""
        record = attempt.record
        for invariant in self._violations_at_send(attempt, timeout_ms, self._clock.now_ms()):
            self.record_violation(invariant, record.request_id, server=attempt.server, attempt=attempt.number)

    def _violations_at_send(self, attempt: Attempt, timeout_ms: float, now_ms: float) -> Iterable[Invariant]:
        record = attempt.record
        settings = self._settings
        request_class = settings.classes[record.request.class_index]
        others = [other for other in record.attempts if other is not attempt]
        if record.closed or not attempt.in_flight:
            yield Invariant.SENT_AFTER_END
        if not retry_guard.may_run_concurrently(settings, request_class, others):
            yield Invariant.CONCURRENT_ATTEMPT
        if attempt.number >= settings.max_attempts:
            yield Invariant.TOO_MANY_ATTEMPTS
        if not attempt.is_prefill and not retry_guard.may_retry(request_class, others, now_ms):
            yield Invariant.UNSAFE_RETRY
        entry = self._servers.entries.get(attempt.server)
        if entry is None or entry.availability is not Availability.UP:
            yield Invariant.SENT_TO_UNAVAILABLE
        if timeout_ms > record.deadline_ms - now_ms + TIMEOUT_SLACK_MS:
            yield Invariant.TIMEOUT_BEYOND_DEADLINE

    def check_rejection(self, record: RequestRecord) -> None:
        """Check a rejection as it is given, whatever response the client gets for it."""
        request_class = self._settings.classes[record.request.class_index]
        if not retry_guard.may_reject(request_class, record):
            self.record_violation(
                Invariant.REJECTED_AFTER_RUN, record.request_id, attempts=record.attempt_summaries()
            )

    def check_open_requests(self, records: Iterable[RequestRecord]) -> list[RequestRecord]:
        """Check all open requests periodically; returns the requests whose final answer is overdue."""
        now_ms = self._clock.now_ms()
        overdue: list[RequestRecord] = []
        for record in records:
            is_unanswered = not (record.closed or record.streaming)
            if is_unanswered and now_ms > record.deadline_ms + RESPONSE_SLACK_MS:
                self._record_once(record, Invariant.RESPONSE_OVERDUE)
                overdue.append(record)
            if self._is_cache_held_too_long(record, now_ms):
                self._record_once(record, Invariant.CACHE_HELD_TOO_LONG)
        return overdue

    def _is_cache_held_too_long(self, record: RequestRecord, now_ms: float) -> bool:
        if self._max_cache_hold_ms is None:
            return False
        if record.has_delivered_attempt:
            return False
        return record.cache.held_ms(now_ms) > self._max_cache_hold_ms

    def _record_once(self, record: RequestRecord, invariant: Invariant) -> None:
        """Record a violation that each check would find again, once per request."""
        if invariant.value not in record.violations:
            record.violations.add(invariant.value)
            self.record_violation(invariant, record.request_id, attempts=record.attempt_summaries())
