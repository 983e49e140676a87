"""Each violated invariant is reported, a lasting violation only once, and no other invariant is reported."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import replace
from types import SimpleNamespace
from typing import Any

import pytest

from ringledge.core.invariants import (
    CACHE_HOLD_SLACK_MS,
    RESPONSE_SLACK_MS,
    TIMEOUT_SLACK_MS,
    Invariant,
    InvariantChecker,
)
from ringledge.core.port import Payload
from ringledge.core.records import Attempt, RequestRecord
from ringledge.memory.server_list import ServerList
from ringledge.observe.metrics import Metrics
from ringledge.routing.interface import (
    AttemptStatus,
    Availability,
    DedupScope,
    EndpointUpdate,
    EndpointUpdateKind,
    Idempotency,
    Request,
    RequestClass,
    Role,
    RouterSettings,
    ServerEntry,
    ServerKind,
)

SAFE = RequestClass(1200, 5000, Idempotency.IDEMPOTENT)
UNSAFE = replace(SAFE, idempotency=Idempotency.NON_IDEMPOTENT)
KEYED = replace(SAFE, idempotency=Idempotency.KEYED, dedup_window_ms=300.0, dedup_scope=DedupScope.ZONE)
KEYED_ALL = replace(KEYED, dedup_scope=DedupScope.ALL)
RELEASE_WITHIN_MS = 500.0


class InvariantFixture:
    """An invariant checker with one server, and a request of the given class with two attempts."""

    def __init__(self, request_class: RequestClass = UNSAFE) -> None:
        self.now_ms, self.metrics = 1000.0, Metrics()
        kinds = (ServerKind(Role.DECODE),)
        self.servers = ServerList(kinds)
        self.set_availability(Availability.UP)
        settings = RouterSettings(
            (request_class,), kinds, max_attempts=3, release_within_ms=RELEASE_WITHIN_MS
        )
        clock: Any = SimpleNamespace(now_ms=lambda: self.now_ms)
        self.checker = InvariantChecker(settings, clock, self.servers, self.metrics)
        sink: Any = SimpleNamespace()
        self.record = RequestRecord(Request("a", expires_in_ms=5000), Payload(b"/", b""), sink, self.now_ms)
        self.first, self.second = self.add_attempt(), self.add_attempt()
        self.first.outcome = AttemptStatus.CONNECT_FAILED

    def set_availability(self, availability: Availability) -> None:
        entry = ServerEntry("w0", 0, 0, 0, availability)
        self.servers.apply(EndpointUpdate(EndpointUpdateKind.FULL, 1, (entry,)), {"w0": "127.0.0.1:9"})

    def add_attempt(self) -> Attempt:
        attempt = Attempt(self.record, len(self.record.attempts), "w0", False, True, self.now_ms, 6000.0)
        self.record.attempts.append(attempt)
        return attempt

    def mark_first_as_run(self, status: AttemptStatus | None = AttemptStatus.RESET) -> None:
        """Mark the first attempt as written, with the outcome `status`; None leaves it in flight."""
        self.first.written, self.first.outcome = True, status

    def send(self, timeout_ms: float = 100.0) -> set[str]:
        self.checker.check_send(self.second, timeout_ms)
        return self.violations()

    def violations(self) -> set[str]:
        return {name for (name,), count in Metrics.read(self.metrics.violations).items() if count}


def close_request(fixture: InvariantFixture) -> None:
    fixture.record.closed = True


def keep_first_in_flight(fixture: InvariantFixture) -> None:
    fixture.mark_first_as_run(None)


def run_first(fixture: InvariantFixture) -> None:
    fixture.mark_first_as_run()


def drain_server(fixture: InvariantFixture) -> None:
    fixture.set_availability(Availability.DRAINING)


def remove_server(fixture: InvariantFixture) -> None:
    fixture.set_availability(Availability.REMOVED)


def exceed_max_attempts(fixture: InvariantFixture) -> None:
    fixture.second.number = 3


@pytest.mark.parametrize(
    ("arrange", "violations"),
    [
        (close_request, {Invariant.SENT_AFTER_END}),
        (keep_first_in_flight, {Invariant.CONCURRENT_ATTEMPT, Invariant.UNSAFE_RETRY}),
        (run_first, {Invariant.UNSAFE_RETRY}),
        (drain_server, {Invariant.SENT_TO_UNAVAILABLE}),
        (remove_server, {Invariant.SENT_TO_UNAVAILABLE}),
        (exceed_max_attempts, {Invariant.TOO_MANY_ATTEMPTS}),
    ],
)
def test_forbidden_send_is_reported(
    arrange: Callable[[InvariantFixture], None], violations: set[Invariant]
) -> None:
    fixture = InvariantFixture()
    arrange(fixture)
    assert fixture.send() == violations


def test_permitted_send_is_not_reported() -> None:
    assert not InvariantFixture().send()


def test_timeout_beyond_the_deadline_is_reported() -> None:
    assert not InvariantFixture().send(5000.0 + TIMEOUT_SLACK_MS)
    assert InvariantFixture().send(5001.0 + TIMEOUT_SLACK_MS) == {Invariant.TIMEOUT_BEYOND_DEADLINE}


def test_keyed_retry_is_reported_after_its_dedup_window() -> None:
    fixture = InvariantFixture(KEYED)
    fixture.mark_first_as_run()
    fixture.now_ms += 299.0
    assert not fixture.send()
    fixture.now_ms += 1.0
    assert fixture.send() == {Invariant.UNSAFE_RETRY}


@pytest.mark.parametrize(
    ("request_class", "has_run", "violations"),
    [
        (UNSAFE, True, {Invariant.REJECTED_AFTER_RUN}),
        (KEYED, True, {Invariant.REJECTED_AFTER_RUN}),
        (KEYED_ALL, True, set()),
        (SAFE, True, set()),
        (UNSAFE, False, set()),
    ],
)
def test_rejection_after_a_possible_run_is_reported(
    request_class: RequestClass, has_run: bool, violations: set[Invariant]
) -> None:
    fixture = InvariantFixture(request_class)
    if has_run:
        fixture.mark_first_as_run()
    fixture.checker.check_rejection(fixture.record)
    assert fixture.violations() == violations


def test_overdue_response_is_counted_once() -> None:
    fixture = InvariantFixture()
    fixture.now_ms = fixture.record.deadline_ms + RESPONSE_SLACK_MS
    fixture.checker.check_open_requests([fixture.record])
    assert not fixture.violations()
    fixture.now_ms += 1.0
    for _ in range(3):
        fixture.checker.check_open_requests([fixture.record])
    assert Metrics.read(fixture.metrics.violations)[Invariant.RESPONSE_OVERDUE.value,] == 1


def test_entry_left_unobserved_is_reported_while_the_next_attempt_has_not_arrived() -> None:
    fixture = InvariantFixture()
    fixture.record.cache.record_unobserved_end("r0", fixture.now_ms, has_answered=True)
    fixture.record.cache.record_attempt_end(fixture.now_ms, was_delivered=False)
    fixture.now_ms += RELEASE_WITHIN_MS + CACHE_HOLD_SLACK_MS
    fixture.checker.check_open_requests([fixture.record])
    assert not fixture.violations()
    fixture.now_ms += 1.0
    fixture.checker.check_open_requests([fixture.record])
    assert fixture.violations() == {Invariant.CACHE_HELD_TOO_LONG}


@pytest.mark.parametrize(
    ("is_delivered", "violations"), [(False, {Invariant.CACHE_HELD_TOO_LONG}), (True, set())]
)
def test_cache_held_without_a_delivered_attempt_is_reported(
    is_delivered: bool, violations: set[Invariant]
) -> None:
    fixture = InvariantFixture()
    fixture.record.cache.holders, fixture.record.cache.idle_since_ms = {"r0"}, fixture.now_ms
    fixture.second.delivered = is_delivered
    fixture.now_ms += RELEASE_WITHIN_MS + CACHE_HOLD_SLACK_MS
    fixture.checker.check_open_requests([fixture.record])
    assert not fixture.violations()
    fixture.now_ms += 1.0
    fixture.checker.check_open_requests([fixture.record])
    assert fixture.violations() == violations
