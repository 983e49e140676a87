"""Server list updates: draining and removed servers get no new requests."""

from dataclasses import replace

import pytest

from ringledge.routing.interface import (
    Availability,
    CancelAttempt,
    EndpointUpdate,
    EndpointUpdateKind,
    MembershipMode,
    WatchEndpoints,
)
from tests.router_harness import FLEET, RouterHarness


@pytest.mark.parametrize("state", [Availability.DRAINING, Availability.REMOVED])
def test_draining_or_removed_server_gets_no_new_requests(state: Availability) -> None:
    harness = RouterHarness()
    prefill_server = harness.serve("a", session=1)
    changed = replace(next(each for each in FLEET if each.server == prefill_server), availability=state)
    harness.deliver(EndpointUpdate(EndpointUpdateKind.CHANGES, 2, (changed,)))
    assert harness.serve("b", session=1) != prefill_server


def test_complete_list_removes_unlisted_servers_and_failed_update_changes_nothing() -> None:
    harness = RouterHarness()
    prefill_server = harness.serve("a", session=1)
    harness.deliver(EndpointUpdate(EndpointUpdateKind.FAILED))
    assert harness.serve("b", session=1) == prefill_server
    harness.deliver(
        EndpointUpdate(
            EndpointUpdateKind.FULL, 2, tuple(each for each in FLEET if each.server != prefill_server)
        )
    )
    assert harness.serve("c", session=1) != prefill_server


def test_attempt_at_removed_server_is_cancelled() -> None:
    harness = RouterHarness()
    harness.request("a", session=1)
    removed = replace(
        next(e for e in FLEET if e.server == harness.server_of["a"]), availability=Availability.REMOVED
    )
    assert harness.deliver(EndpointUpdate(EndpointUpdateKind.CHANGES, 2, (removed,))) == [
        CancelAttempt("a", 0)
    ]


def test_polled_list_is_watched_at_start_and_again_after_a_failure() -> None:
    harness = RouterHarness(membership=MembershipMode.POLL)
    assert WatchEndpoints() in harness.last_actions
    harness.deliver(EndpointUpdate(EndpointUpdateKind.FAILED))
    assert WatchEndpoints() in harness.advance(2500)


def test_attempt_at_removed_server_is_cancelled_once() -> None:
    harness = RouterHarness()
    harness.request("a", session=1)
    rest = tuple(each for each in FLEET if each.server != harness.server_of["a"])
    assert harness.deliver(EndpointUpdate(EndpointUpdateKind.FULL, 2, rest)) == [CancelAttempt("a", 0)]
    assert harness.deliver(EndpointUpdate(EndpointUpdateKind.FULL, 3, rest)) == []
