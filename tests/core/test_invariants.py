"""Each invariant is found where it is broken, counted once, and not found where all is well."""

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
from ringledge.core.records import Attempt, Record
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
HELD_MS = 500.0


class Rig:
    """The checks of a conductor with one server, and a request of one class with two attempts."""

    def __init__(self, request_class: RequestClass = UNSAFE) -> None:
        self.now_ms, self.metrics = 1000.0, Metrics()
        kinds = (ServerKind(Role.DECODE),)
        self.servers = ServerList(kinds)
        self.list_says(Availability.UP)
        settings = RouterSettings((request_class,), kinds, max_attempts=3, release_within_ms=HELD_MS)
        clock: Any = SimpleNamespace(now_ms=lambda: self.now_ms)
        self.checks = InvariantChecker(settings, clock, self.servers, self.metrics)
        caller: Any = SimpleNamespace()
        self.record = Record(Request("a", expires_in_ms=5000), Payload(b"/", b""), caller, self.now_ms)
        self.first, self.second = self.attempt(), self.attempt()
        self.first.outcome = AttemptStatus.CONNECT_FAILED

    def list_says(self, availability: Availability) -> None:
        entry = ServerEntry("w0", 0, 0, 0, availability)
        self.servers.apply(EndpointUpdate(EndpointUpdateKind.FULL, 1, (entry,)), {"w0": "127.0.0.1:9"})

    def attempt(self) -> Attempt:
        attempt = Attempt(self.record, len(self.record.attempts), "w0", False, True, self.now_ms, 6000.0)
        self.record.attempts.append(attempt)
        return attempt

    def ran(self, status: AttemptStatus | None = AttemptStatus.RESET) -> None:
        """The first attempt was written, and ended so."""
        self.first.written, self.first.outcome = True, status

    def send(self, told_ms: float = 100.0) -> set[str]:
        self.checks.check_send(self.second, told_ms)
        return self.found()

    def found(self) -> set[str]:
        return {name for (name,), count in Metrics.read(self.metrics.violations).items() if count}


def ended(rig: Rig) -> None:
    rig.record.closed = True


def beside(rig: Rig) -> None:
    rig.ran(None)


def behind(rig: Rig) -> None:
    rig.ran()


def drained(rig: Rig) -> None:
    rig.list_says(Availability.DRAINING)


def gone(rig: Rig) -> None:
    rig.list_says(Availability.REMOVED)


def many(rig: Rig) -> None:
    rig.second.number = 3


@pytest.mark.parametrize(
    ("spoil", "found"),
    [
        (ended, {Invariant.SENT_AFTER_END}),
        (beside, {Invariant.CONCURRENT_ATTEMPT, Invariant.UNSAFE_RETRY}),
        (behind, {Invariant.UNSAFE_RETRY}),
        (drained, {Invariant.SENT_TO_UNAVAILABLE}),
        (gone, {Invariant.SENT_TO_UNAVAILABLE}),
        (many, {Invariant.TOO_MANY_ATTEMPTS}),
    ],
)
def test_a_send_that_may_not_be_is_found(spoil: Callable[[Rig], None], found: set[Invariant]) -> None:
    rig = Rig()
    spoil(rig)
    assert rig.send() == found


def test_a_send_that_may_be_is_not_found() -> None:
    assert not Rig().send()


def test_a_server_that_is_told_more_than_is_left_is_found() -> None:
    assert not Rig().send(5000.0 + TIMEOUT_SLACK_MS)
    assert Rig().send(5001.0 + TIMEOUT_SLACK_MS) == {Invariant.TIMEOUT_BEYOND_DEADLINE}


def test_what_is_dropped_as_a_repeat_may_be_sent_within_its_window_alone() -> None:
    rig = Rig(KEYED)
    rig.ran()
    rig.now_ms += 299.0
    assert not rig.send()
    rig.now_ms += 1.0
    assert rig.send() == {Invariant.UNSAFE_RETRY}


@pytest.mark.parametrize(
    ("request_class", "ran", "found"),
    [
        (UNSAFE, True, {Invariant.REJECTED_AFTER_RUN}),
        (KEYED, True, {Invariant.REJECTED_AFTER_RUN}),
        (KEYED_ALL, True, set()),
        (SAFE, True, set()),
        (UNSAFE, False, set()),
    ],
)
def test_a_refusal_behind_what_may_have_run_is_found(
    request_class: RequestClass, ran: bool, found: set[Invariant]
) -> None:
    rig = Rig(request_class)
    if ran:
        rig.ran()
    rig.checks.check_rejection(rig.record)
    assert rig.found() == found


def test_an_answer_that_is_overdue_is_counted_once() -> None:
    rig = Rig()
    rig.now_ms = rig.record.deadline_ms + RESPONSE_SLACK_MS
    rig.checks.check_open_requests([rig.record])
    assert not rig.found()
    rig.now_ms += 1.0
    for _ in range(3):
        rig.checks.check_open_requests([rig.record])
    assert Metrics.read(rig.metrics.violations)[Invariant.RESPONSE_OVERDUE.value,] == 1


@pytest.mark.parametrize(("arrived", "found"), [(False, {Invariant.CACHE_HELD_TOO_LONG}), (True, set())])
def test_what_is_held_while_nothing_has_arrived_is_found(arrived: bool, found: set[Invariant]) -> None:
    rig = Rig()
    rig.record.cache_holders, rig.record.idle_since_ms = {"r0"}, rig.now_ms
    rig.second.delivered = arrived
    rig.now_ms += HELD_MS + CACHE_HOLD_SLACK_MS
    rig.checks.check_open_requests([rig.record])
    assert not rig.found()
    rig.now_ms += 1.0
    rig.checks.check_open_requests([rig.record])
    assert rig.found() == found
