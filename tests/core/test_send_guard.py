"""Whether an attempt may begin, asked in the turn in which its first byte would be written."""

from __future__ import annotations

from dataclasses import replace
from types import SimpleNamespace
from typing import Any

import pytest

from ringledge.core.port import Payload
from ringledge.core.records import Attempt, Record
from ringledge.core.send_guard import ARRIVAL_MS, LEAST_MS, SendRefusal, send_refusal
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


class Asked:
    """A request whose decode attempt has a connection now; in a policy's world."""

    def __init__(self, request_class: RequestClass = IDEMPOTENT) -> None:
        self.world = RouterHarness(classes=(request_class,))
        self.world.prefill("a")
        self.gone = False
        caller: Any = SimpleNamespace(is_disconnected=lambda: self.gone)
        self.record = Record(Request("a", expires_in_ms=5000), Payload(b"/", b""), caller, self.now_ms)
        self.attempt = self.next()

    @property
    def now_ms(self) -> float:
        return self.world.now_ms

    def next(self) -> Attempt:
        """The attempt that the policy has chosen last."""
        server, number = self.world.server_of["a"], len(self.record.attempts)
        attempt = Attempt(self.record, number, server, False, True, self.now_ms, self.record.deadline_ms)
        self.record.attempts.append(attempt)
        return attempt

    def refusal(self) -> SendRefusal | None:
        clock, settings = SimpleNamespace(now_ms=lambda: self.world.now_ms), self.world.policy.settings
        context: Any = SimpleNamespace(clock=clock, settings=settings)
        return send_refusal(context, self.world.policy, self.attempt)

    def list_says(self, **changed: Any) -> None:
        """News of the server that the attempt goes to."""
        told = next(each for each in FLEET if each.server == self.attempt.server)
        self.world.deliver(EndpointUpdate(EndpointUpdateKind.CHANGES, 2, (replace(told, **changed),)))


def test_one_that_nothing_speaks_against_may_begin() -> None:
    assert Asked().refusal() is None


def test_one_whose_client_has_left_may_not() -> None:
    asked = Asked()
    asked.gone = True
    assert asked.refusal() is SendRefusal.CLIENT_LEFT


@pytest.mark.parametrize("how", ["request over", "attempt given up"])
def test_one_that_has_ended_may_not(how: str) -> None:
    asked = Asked()
    if how == "request over":
        asked.record.closed = True
    else:
        asked.attempt.outcome = AttemptStatus.CANCELLED
    assert asked.refusal() is SendRefusal.ENDED


@pytest.mark.parametrize(
    ("left_ms", "may"), [(LEAST_MS, True), (LEAST_MS / 2, False), (0, False), (-9, False)]
)
def test_one_whose_time_ended_during_a_slow_handshake_may_not(left_ms: float, may: bool) -> None:
    asked = Asked()
    asked.world.now_ms = asked.attempt.expires_ms - left_ms
    assert asked.refusal() is (None if may else SendRefusal.OUT_OF_TIME)


@pytest.mark.parametrize("state", [Availability.DRAINING, Availability.REMOVED])
def test_one_to_a_server_that_drains_or_is_gone_may_not(state: Availability) -> None:
    asked = Asked()
    asked.list_says(availability=state)
    assert asked.refusal() is SendRefusal.SERVER_CLOSED


def test_one_to_a_server_that_the_list_never_named_may_not() -> None:
    asked = Asked()
    asked.attempt.server = "nobody"
    assert asked.refusal() is SendRefusal.SERVER_CLOSED


def test_one_to_a_server_that_operators_excluded_may_not_until_it_is_back() -> None:
    asked = Asked()
    asked.world.deliver(OperatorOverride(asked.attempt.server, True))
    assert asked.refusal() is SendRefusal.SERVER_CLOSED
    asked.world.deliver(OperatorOverride(asked.attempt.server, False))
    assert asked.refusal() is None


def test_one_to_a_server_that_was_restarted_meanwhile_may_not() -> None:
    """It was chosen as a warm one: what it is sent now is no part of what a cold one may get."""
    asked = Asked()
    asked.list_says(started_ms=asked.now_ms - 5.0)
    assert asked.refusal() is SendRefusal.SERVER_RESTARTED


def repeat(request_class: RequestClass, outcome: AttemptStatus, after_ms: float) -> SendRefusal | None:
    """A second decode attempt behind a first one that ended so; `after_ms`: when its connection is there."""
    asked = Asked(request_class)
    sent_ms = asked.now_ms
    asked.attempt.outcome = outcome
    asked.world.outcome("a", outcome)
    asked.attempt = asked.next()
    asked.world.now_ms = sent_ms + after_ms
    return asked.refusal()


@pytest.mark.parametrize(
    ("after_ms", "may"),
    [
        (KEYED.dedup_window_ms / 2, True),
        (KEYED.dedup_window_ms - ARRIVAL_MS - 1, True),
        (KEYED.dedup_window_ms - ARRIVAL_MS, False),
        (KEYED.dedup_window_ms, False),
    ],
)
def test_a_repeat_has_to_arrive_within_the_window(after_ms: float, may: bool) -> None:
    assert repeat(KEYED, AttemptStatus.RESET, after_ms) is (None if may else SendRefusal.REPEAT_LATE)


@pytest.mark.parametrize("outcome", [AttemptStatus.CONNECT_FAILED, AttemptStatus.NOT_SENT])
@pytest.mark.parametrize("request_class", [KEYED, NON_IDEMPOTENT])
def test_what_never_ran_is_no_repeat(request_class: RequestClass, outcome: AttemptStatus) -> None:
    assert repeat(request_class, outcome, 2 * KEYED.dedup_window_ms) is None


def test_what_may_run_twice_has_no_window() -> None:
    assert repeat(IDEMPOTENT, AttemptStatus.RESET, 2 * KEYED.dedup_window_ms) is None


def test_what_must_not_run_twice_may_not_begin_again_whoever_chose_it() -> None:
    asked = Asked(NON_IDEMPOTENT)
    asked.world.outcome("a", AttemptStatus.CONNECT_FAILED)
    asked.attempt = asked.next()
    policy = asked.world.policy
    policy.requests["a"].possible_runs.append(PossibleRun(policy.fleet.servers["w0"], asked.now_ms))
    assert asked.refusal() is SendRefusal.REPEAT_LATE


def test_one_beside_another_that_is_out_may_not() -> None:
    asked = Asked()
    asked.attempt.written = True
    asked.attempt = asked.next()
    assert asked.refusal() is SendRefusal.ANOTHER_OUT


@pytest.mark.parametrize(
    "outcome", [AttemptStatus.RESET, AttemptStatus.TIMEOUT, AttemptStatus.CANCELLED, AttemptStatus.ERROR]
)
def test_one_behind_what_may_have_run_may_not_whatever_the_decisions_say(outcome: AttemptStatus) -> None:
    asked = Asked(NON_IDEMPOTENT)
    asked.attempt.written, asked.attempt.outcome = True, outcome
    asked.attempt = asked.next()
    assert asked.refusal() is SendRefusal.MAY_HAVE_RUN


@pytest.mark.parametrize("outcome", [AttemptStatus.CONNECT_FAILED, AttemptStatus.FULL])
def test_one_behind_what_never_ran_may(outcome: AttemptStatus) -> None:
    asked = Asked(NON_IDEMPOTENT)
    asked.attempt.written, asked.attempt.outcome = outcome is AttemptStatus.FULL, outcome
    asked.attempt = asked.next()
    assert asked.refusal() is None
