"""Rule 2: no effect twice and no overlapping attempts."""

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
from tests.world import MIXED, SAFE, UNSAFE, World, cancelled, entry, finals, sends

MAY_HAVE_RUN = (AttemptStatus.ERROR, AttemptStatus.TIMEOUT, AttemptStatus.RESET, AttemptStatus.CANCELLED)


def keyed(group: DedupScope) -> RequestClass:
    return replace(SAFE, idempotency=Idempotency.KEYED, dedup_scope=group, dedup_window_ms=2000)


@pytest.mark.parametrize("status", MAY_HAVE_RUN)
def test_unsafe_request_that_may_have_run_is_failed_not_repeated_or_refused(status: AttemptStatus) -> None:
    world = World(classes=(UNSAFE,))
    world.read("a", session=1)
    done = world.outcome("a", status)
    assert finals(done) == [FailRequest("a")] and not sends(done)


@pytest.mark.parametrize("status", [AttemptStatus.FULL, AttemptStatus.CONNECT_FAILED])
def test_unsafe_request_that_never_ran_goes_on(status: AttemptStatus) -> None:
    world = World(classes=(UNSAFE,))
    world.read("a", session=1)
    first = world.at["a"]
    assert sends(world.outcome("a", status)) not in ([], [first])


def test_an_attempt_at_a_reader_has_no_effect() -> None:
    world = World(classes=(UNSAFE,))
    world.request("a", session=1)
    assert len(sends(world.outcome("a", AttemptStatus.ERROR))) == 1


@pytest.mark.parametrize("group", [DedupScope.ZONE, DedupScope.CELL])
def test_keyed_repeat_stays_in_its_group(group: DedupScope) -> None:
    fleet = (entry("m0", MIXED, 0), entry("m1", MIXED, 0), entry("m2", MIXED, 1), entry("m3", MIXED, 1))
    for session in range(20):
        world = World(fleet, classes=(keyed(group),))
        world.request("a", session=session)
        twin = {"m0": "m1", "m1": "m0", "m2": "m3", "m3": "m2"}[world.at["a"]]
        assert sends(world.outcome("a", AttemptStatus.ERROR)) == [twin]


def test_keyed_repeat_ends_with_the_window_and_refusal_only_for_group_all() -> None:
    for group, answer in ((DedupScope.ALL, RejectRequest("a", 250)), (DedupScope.ZONE, FailRequest("a"))):
        world = World((entry("m0", MIXED), entry("m1", MIXED)), classes=(keyed(group),))
        world.request("a", session=1)
        world.now_ms += 2000
        done = world.outcome("a", AttemptStatus.TIMEOUT)
        assert not sends(done) and finals(done) == [answer]


def test_attempts_never_overlap() -> None:
    world = World()
    world.request("a", session=1)
    done = world.wait(4000)  # silence: cancelled, but no second send before the outcome
    assert cancelled(done) and not sends(done)
    assert len(sends(world.outcome("a", AttemptStatus.CANCELLED))) == 1


def test_a_booking_whose_read_is_still_out_is_failed_not_refused() -> None:
    """A refusal needs an outcome of every attempt, of reads as well: else it counts as a duplicate."""
    unsafe = replace(SAFE, idempotency=Idempotency.NON_IDEMPOTENT)
    world = World(classes=(SAFE, unsafe), max_attempts=2)
    world.request("a", class_index=1)
    assert finals(world.wait(6000)) == [FailRequest("a")]
