"""Tests which servers are checked with a new connection, and which requests are lost if a check fails."""

from ringledge.decide.servers.delivery import (
    CHECK_AFTER_MS,
    RECHECK_INTERVAL_MS,
    DeliveryChecks,
    UnansweredRequest,
)
from ringledge.decide.servers.reachability import Reachability


def make_checks() -> tuple[Reachability, DeliveryChecks]:
    reachability = Reachability()
    reachability.update_servers([("s0", 0), ("s1", 0)])
    return reachability, DeliveryChecks(reachability)


def test_server_with_unanswered_requests_has_one_check_at_a_time() -> None:
    _, checks = make_checks()
    unanswered = [
        UnansweredRequest("s0", 0.0),
        UnansweredRequest("s0", 10.0),
        UnansweredRequest("s1", 200.0),
    ]
    assert not checks.take_due_servers(CHECK_AFTER_MS - 1, unanswered)
    assert checks.take_due_servers(CHECK_AFTER_MS, unanswered) == ["s0"]
    assert not checks.take_due_servers(CHECK_AFTER_MS + 50, unanswered)
    checks.check_finished(CHECK_AFTER_MS + 60, "s0")
    assert checks.take_due_servers(CHECK_AFTER_MS + 200, unanswered) == ["s1"]
    assert not checks.take_due_servers(CHECK_AFTER_MS + 60 + RECHECK_INTERVAL_MS - 1, unanswered)
    assert checks.take_due_servers(CHECK_AFTER_MS + 60 + RECHECK_INTERVAL_MS, unanswered) == ["s0"]


def test_server_that_answered_another_call_is_not_checked() -> None:
    reachability, checks = make_checks()
    unanswered = [UnansweredRequest("s0", 0.0)]
    reachability.record_answer("s0", 200.0)
    assert not checks.take_due_servers(CHECK_AFTER_MS + 100, unanswered)
    assert checks.take_due_servers(CHECK_AFTER_MS + 200, unanswered) == ["s0"]


def test_request_written_before_the_last_answer_is_not_lost() -> None:
    reachability, checks = make_checks()
    reachability.record_answer("s0", 100.0)
    assert not checks.is_lost("s0", 50.0)
    assert checks.is_lost("s0", 150.0)
