"""Tests the final check before an attempt is sent."""

from __future__ import annotations

from dataclasses import replace
from types import SimpleNamespace
from typing import Any

import pytest

from ringledge.core.port import Payload
from ringledge.core.records import Attempt, RequestRecord
from ringledge.core.send_guard import (
    MAX_TRANSIT_MS,
    MIN_REMAINING_MS,
    SendRejectionReason,
    send_rejection_reason,
)
from ringledge.routing.interface import (
    AttemptStatus,
    Availability,
    EndpointUpdate,
    EndpointUpdateKind,
    Idempotency,
    OperatorOverride,
    Request,
    RequestClass,
)
from ringledge.routing.state import PossibleRun
from tests.router_harness import FLEET, IDEMPOTENT, NON_IDEMPOTENT, RouterHarness

KEYED = replace(IDEMPOTENT, idempotency=Idempotency.KEYED, dedup_window_ms=300.0)


class PendingSend:
    """A request whose decode attempt has just been connected, in a router harness."""

    def __init__(self, request_class: RequestClass = IDEMPOTENT) -> None:
        self.harness = RouterHarness(classes=(request_class,))
        self.harness.prefill("a")
        self.client_disconnected = False
        sink: Any = SimpleNamespace(is_disconnected=lambda: self.client_disconnected)
        self.record = RequestRecord(Request("a", expires_in_ms=5000), Payload(b"/", b""), sink, self.now_ms)
        self.attempt = self.add_attempt()

    @property
    def now_ms(self) -> float:
        return self.harness.now_ms

    def add_attempt(self) -> Attempt:
        """Add an attempt to the server that the policy chose last."""
        server, number = self.harness.server_of["a"], len(self.record.attempts)
        attempt = Attempt(self.record, number, server, False, True, self.now_ms, self.record.deadline_ms)
        self.record.attempts.append(attempt)
        return attempt

    def rejection_reason(self) -> SendRejectionReason | None:
        clock, settings = SimpleNamespace(now_ms=lambda: self.harness.now_ms), self.harness.policy.settings
        context: Any = SimpleNamespace(clock=clock, settings=settings)
        return send_rejection_reason(context, self.harness.policy, self.attempt)

    def update_endpoint(self, **changed: Any) -> None:
        """Apply an endpoint update that changes the attempt's server."""
        entry = next(each for each in FLEET if each.server == self.attempt.server)
        self.harness.deliver(EndpointUpdate(EndpointUpdateKind.CHANGES, 2, (replace(entry, **changed),)))


def test_attempt_without_obstacles_may_be_sent() -> None:
    assert PendingSend().rejection_reason() is None


def test_attempt_of_a_disconnected_client_may_not_be_sent() -> None:
    pending = PendingSend()
    pending.client_disconnected = True
    assert pending.rejection_reason() is SendRejectionReason.CLIENT_DISCONNECTED


@pytest.mark.parametrize("cause", ["request closed", "attempt cancelled"])
def test_ended_attempt_may_not_be_sent(cause: str) -> None:
    pending = PendingSend()
    if cause == "request closed":
        pending.record.closed = True
    else:
        pending.attempt.outcome = AttemptStatus.CANCELLED
    assert pending.rejection_reason() is SendRejectionReason.ATTEMPT_ENDED


@pytest.mark.parametrize(
    ("remaining_ms", "is_allowed"),
    [(MIN_REMAINING_MS, True), (MIN_REMAINING_MS / 2, False), (0, False), (-9, False)],
)
def test_attempt_past_its_deadline_after_a_slow_handshake_may_not_be_sent(
    remaining_ms: float, is_allowed: bool
) -> None:
    pending = PendingSend()
    pending.harness.now_ms = pending.attempt.expires_ms - remaining_ms
    assert pending.rejection_reason() is (None if is_allowed else SendRejectionReason.DEADLINE_EXCEEDED)


@pytest.mark.parametrize("state", [Availability.DRAINING, Availability.REMOVED])
def test_attempt_to_a_draining_or_removed_server_may_not_be_sent(state: Availability) -> None:
    pending = PendingSend()
    pending.update_endpoint(availability=state)
    assert pending.rejection_reason() is SendRejectionReason.SERVER_UNAVAILABLE


def test_attempt_to_an_unlisted_server_may_not_be_sent() -> None:
    pending = PendingSend()
    pending.attempt.server = "nobody"
    assert pending.rejection_reason() is SendRejectionReason.SERVER_UNAVAILABLE


def test_attempt_to_an_excluded_server_may_be_sent_only_once_it_is_included_again() -> None:
    pending = PendingSend()
    pending.harness.deliver(OperatorOverride(pending.attempt.server, True))
    assert pending.rejection_reason() is SendRejectionReason.SERVER_UNAVAILABLE
    pending.harness.deliver(OperatorOverride(pending.attempt.server, False))
    assert pending.rejection_reason() is None


def test_attempt_to_a_restarted_server_may_not_be_sent() -> None:
    """The server was chosen while it was warm, so slow start does not account for this attempt."""
    pending = PendingSend()
    pending.update_endpoint(started_ms=pending.now_ms - 5.0)
    assert pending.rejection_reason() is SendRejectionReason.SERVER_RESTARTED


def rejection_reason_of_retry(
    request_class: RequestClass, outcome: AttemptStatus, after_ms: float
) -> SendRejectionReason | None:
    """Check a second decode attempt `after_ms` after the first one was sent, which ended with `outcome`."""
    pending = PendingSend(request_class)
    sent_ms = pending.now_ms
    pending.attempt.outcome = outcome
    pending.harness.outcome("a", outcome)
    pending.attempt = pending.add_attempt()
    pending.harness.now_ms = sent_ms + after_ms
    return pending.rejection_reason()


@pytest.mark.parametrize(
    ("after_ms", "is_allowed"),
    [
        (KEYED.dedup_window_ms / 2, True),
        (KEYED.dedup_window_ms - MAX_TRANSIT_MS - 1, True),
        (KEYED.dedup_window_ms - MAX_TRANSIT_MS, False),
        (KEYED.dedup_window_ms, False),
    ],
)
def test_retry_must_arrive_within_the_dedup_window(after_ms: float, is_allowed: bool) -> None:
    assert rejection_reason_of_retry(KEYED, AttemptStatus.RESET, after_ms) is (
        None if is_allowed else SendRejectionReason.DEDUP_WINDOW_EXPIRED
    )


@pytest.mark.parametrize("outcome", [AttemptStatus.CONNECT_FAILED, AttemptStatus.NOT_SENT])
@pytest.mark.parametrize("request_class", [KEYED, NON_IDEMPOTENT])
def test_attempt_after_one_that_never_ran_is_no_retry(
    request_class: RequestClass, outcome: AttemptStatus
) -> None:
    assert rejection_reason_of_retry(request_class, outcome, 2 * KEYED.dedup_window_ms) is None


def test_idempotent_request_has_no_dedup_window() -> None:
    assert rejection_reason_of_retry(IDEMPOTENT, AttemptStatus.RESET, 2 * KEYED.dedup_window_ms) is None


def test_non_idempotent_request_may_not_be_resent_after_a_possible_run_known_to_the_policy() -> None:
    pending = PendingSend(NON_IDEMPOTENT)
    pending.harness.outcome("a", AttemptStatus.CONNECT_FAILED)
    pending.attempt = pending.add_attempt()
    policy = pending.harness.policy
    policy.requests["a"].possible_runs.append(PossibleRun(policy.fleet.servers["w0"], pending.now_ms))
    assert pending.rejection_reason() is SendRejectionReason.DEDUP_WINDOW_EXPIRED


def test_attempt_may_not_be_sent_while_another_is_in_flight() -> None:
    pending = PendingSend()
    pending.attempt.written = True
    pending.attempt = pending.add_attempt()
    assert pending.rejection_reason() is SendRejectionReason.CONCURRENT_ATTEMPT


@pytest.mark.parametrize(
    "outcome", [AttemptStatus.RESET, AttemptStatus.TIMEOUT, AttemptStatus.CANCELLED, AttemptStatus.ERROR]
)
def test_attempt_after_a_possible_run_may_not_be_sent_whatever_the_policy_decides(
    outcome: AttemptStatus,
) -> None:
    pending = PendingSend(NON_IDEMPOTENT)
    pending.attempt.written, pending.attempt.outcome = True, outcome
    pending.attempt = pending.add_attempt()
    assert pending.rejection_reason() is SendRejectionReason.MAY_HAVE_RUN


@pytest.mark.parametrize("outcome", [AttemptStatus.CONNECT_FAILED, AttemptStatus.FULL])
def test_attempt_after_one_that_never_ran_may_be_sent(outcome: AttemptStatus) -> None:
    pending = PendingSend(NON_IDEMPOTENT)
    pending.attempt.written, pending.attempt.outcome = outcome is AttemptStatus.FULL, outcome
    pending.attempt = pending.add_attempt()
    assert pending.rejection_reason() is None
