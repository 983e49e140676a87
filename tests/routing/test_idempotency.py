"""No request takes effect twice, and the attempts of a request do not overlap."""

from dataclasses import replace

import pytest

from ringledge.routing.interface import (
    AttemptStatus,
    DedupScope,
    FailRequest,
    Idempotency,
    RejectRequest,
    RequestClass,
)
from tests.router_harness import (
    IDEMPOTENT,
    MIXED_KIND,
    NON_IDEMPOTENT,
    RouterHarness,
    cancels_attempt,
    final_answers,
    sent_to,
    server_entry,
)

MAY_HAVE_RUN = (AttemptStatus.ERROR, AttemptStatus.TIMEOUT, AttemptStatus.RESET, AttemptStatus.CANCELLED)


def keyed(scope: DedupScope) -> RequestClass:
    return replace(IDEMPOTENT, idempotency=Idempotency.KEYED, dedup_scope=scope, dedup_window_ms=2000)


@pytest.mark.parametrize("status", MAY_HAVE_RUN)
def test_non_idempotent_request_that_may_have_run_is_failed(status: AttemptStatus) -> None:
    harness = RouterHarness(classes=(NON_IDEMPOTENT,))
    harness.prefill("a", session=1)
    actions = harness.outcome("a", status)
    assert final_answers(actions) == [FailRequest("a")] and not sent_to(actions)


@pytest.mark.parametrize("status", [AttemptStatus.FULL, AttemptStatus.CONNECT_FAILED])
def test_non_idempotent_request_that_never_ran_is_retried(status: AttemptStatus) -> None:
    harness = RouterHarness(classes=(NON_IDEMPOTENT,))
    harness.prefill("a", session=1)
    first = harness.server_of["a"]
    assert sent_to(harness.outcome("a", status)) not in ([], [first])


def test_prefill_attempt_does_not_count_as_possible_run() -> None:
    harness = RouterHarness(classes=(NON_IDEMPOTENT,))
    harness.request("a", session=1)
    assert len(sent_to(harness.outcome("a", AttemptStatus.ERROR))) == 1


@pytest.mark.parametrize("scope", [DedupScope.ZONE, DedupScope.CELL])
def test_keyed_retry_stays_in_its_dedup_scope(scope: DedupScope) -> None:
    fleet = (
        server_entry("m0", MIXED_KIND, 0),
        server_entry("m1", MIXED_KIND, 0),
        server_entry("m2", MIXED_KIND, 1),
        server_entry("m3", MIXED_KIND, 1),
    )
    for session in range(20):
        harness = RouterHarness(fleet, classes=(keyed(scope),))
        harness.request("a", session=session)
        other_in_cell = {"m0": "m1", "m1": "m0", "m2": "m3", "m3": "m2"}[harness.server_of["a"]]
        assert sent_to(harness.outcome("a", AttemptStatus.ERROR)) == [other_in_cell]


def test_keyed_retry_ends_with_dedup_window_and_is_rejected_only_for_scope_all() -> None:
    for scope, expected in ((DedupScope.ALL, RejectRequest("a", 250)), (DedupScope.ZONE, FailRequest("a"))):
        harness = RouterHarness(
            (server_entry("m0", MIXED_KIND), server_entry("m1", MIXED_KIND)), classes=(keyed(scope),)
        )
        harness.request("a", session=1)
        harness.now_ms += 2000
        actions = harness.outcome("a", AttemptStatus.TIMEOUT)
        assert not sent_to(actions) and final_answers(actions) == [expected]


def test_attempts_of_a_request_never_overlap() -> None:
    harness = RouterHarness()
    harness.request("a", session=1)
    actions = harness.advance(4000)  # cancelled as unresponsive, but not sent again before the outcome
    assert cancels_attempt(actions) and not sent_to(actions)
    assert len(sent_to(harness.outcome("a", AttemptStatus.CANCELLED))) == 1


def test_non_idempotent_request_with_attempt_in_flight_is_failed_not_rejected() -> None:
    """Rejecting the request while an attempt, even a prefill, is in flight could cause a duplicate."""
    non_idempotent = replace(IDEMPOTENT, idempotency=Idempotency.NON_IDEMPOTENT)
    harness = RouterHarness(classes=(IDEMPOTENT, non_idempotent), max_attempts=2)
    harness.request("a", class_index=1)
    assert final_answers(harness.advance(6000)) == [FailRequest("a")]
