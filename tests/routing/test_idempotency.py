"""Rule 2: no request takes effect twice, and its attempts do not overlap."""

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


def keyed(group: DedupScope) -> RequestClass:
    return replace(IDEMPOTENT, idempotency=Idempotency.KEYED, dedup_scope=group, dedup_window_ms=2000)


@pytest.mark.parametrize("status", MAY_HAVE_RUN)
def test_non_idempotent_request_that_may_have_run_is_failed(status: AttemptStatus) -> None:
    world = RouterHarness(classes=(NON_IDEMPOTENT,))
    world.prefill("a", session=1)
    done = world.outcome("a", status)
    assert final_answers(done) == [FailRequest("a")] and not sent_to(done)


@pytest.mark.parametrize("status", [AttemptStatus.FULL, AttemptStatus.CONNECT_FAILED])
def test_non_idempotent_request_that_never_ran_is_retried(status: AttemptStatus) -> None:
    world = RouterHarness(classes=(NON_IDEMPOTENT,))
    world.prefill("a", session=1)
    first = world.server_of["a"]
    assert sent_to(world.outcome("a", status)) not in ([], [first])


def test_prefill_attempt_does_not_count_as_possible_run() -> None:
    world = RouterHarness(classes=(NON_IDEMPOTENT,))
    world.request("a", session=1)
    assert len(sent_to(world.outcome("a", AttemptStatus.ERROR))) == 1


@pytest.mark.parametrize("group", [DedupScope.ZONE, DedupScope.CELL])
def test_keyed_retry_stays_in_its_dedup_scope(group: DedupScope) -> None:
    fleet = (
        server_entry("m0", MIXED_KIND, 0),
        server_entry("m1", MIXED_KIND, 0),
        server_entry("m2", MIXED_KIND, 1),
        server_entry("m3", MIXED_KIND, 1),
    )
    for session in range(20):
        world = RouterHarness(fleet, classes=(keyed(group),))
        world.request("a", session=session)
        twin = {"m0": "m1", "m1": "m0", "m2": "m3", "m3": "m2"}[world.server_of["a"]]
        assert sent_to(world.outcome("a", AttemptStatus.ERROR)) == [twin]


def test_keyed_retry_ends_with_dedup_window_and_is_rejected_only_for_scope_all() -> None:
    for group, answer in ((DedupScope.ALL, RejectRequest("a", 250)), (DedupScope.ZONE, FailRequest("a"))):
        world = RouterHarness(
            (server_entry("m0", MIXED_KIND), server_entry("m1", MIXED_KIND)), classes=(keyed(group),)
        )
        world.request("a", session=1)
        world.now_ms += 2000
        done = world.outcome("a", AttemptStatus.TIMEOUT)
        assert not sent_to(done) and final_answers(done) == [answer]


def test_attempts_of_a_request_never_overlap() -> None:
    world = RouterHarness()
    world.request("a", session=1)
    done = world.advance(4000)  # silence: cancelled, but no second send before the outcome
    assert cancels_attempt(done) and not sent_to(done)
    assert len(sent_to(world.outcome("a", AttemptStatus.CANCELLED))) == 1


def test_non_idempotent_request_with_attempt_in_flight_is_failed_not_rejected() -> None:
    """A refusal needs an outcome of every attempt, of reads as well: else it counts as a duplicate."""
    unsafe = replace(IDEMPOTENT, idempotency=Idempotency.NON_IDEMPOTENT)
    world = RouterHarness(classes=(IDEMPOTENT, unsafe), max_attempts=2)
    world.request("a", class_index=1)
    assert final_answers(world.advance(6000)) == [FailRequest("a")]
