"""Rule 3: draining and removed servers get nothing new."""

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
    world = RouterHarness()
    home = world.serve("a", session=1)
    changed = replace(next(each for each in FLEET if each.server == home), availability=state)
    world.deliver(EndpointUpdate(EndpointUpdateKind.CHANGES, 2, (changed,)))
    assert world.serve("b", session=1) != home


def test_complete_list_removes_unlisted_servers_and_failed_update_changes_nothing() -> None:
    world = RouterHarness()
    home = world.serve("a", session=1)
    world.deliver(EndpointUpdate(EndpointUpdateKind.FAILED))
    assert world.serve("b", session=1) == home
    world.deliver(
        EndpointUpdate(EndpointUpdateKind.FULL, 2, tuple(each for each in FLEET if each.server != home))
    )
    assert world.serve("c", session=1) != home


def test_attempt_at_removed_server_is_cancelled() -> None:
    world = RouterHarness()
    world.request("a", session=1)
    gone = replace(
        next(e for e in FLEET if e.server == world.server_of["a"]), availability=Availability.REMOVED
    )
    assert world.deliver(EndpointUpdate(EndpointUpdateKind.CHANGES, 2, (gone,))) == [CancelAttempt("a", 0)]


def test_polled_list_is_watched_at_start_and_again_after_a_failure() -> None:
    world = RouterHarness(membership=MembershipMode.POLL)
    assert WatchEndpoints() in world.last_actions
    world.deliver(EndpointUpdate(EndpointUpdateKind.FAILED))
    assert WatchEndpoints() in world.advance(2500)


def test_attempt_at_removed_server_is_cancelled_once() -> None:
    world = RouterHarness()
    world.request("a", session=1)
    rest = tuple(each for each in FLEET if each.server != world.server_of["a"])
    assert world.deliver(EndpointUpdate(EndpointUpdateKind.FULL, 2, rest)) == [CancelAttempt("a", 0)]
    assert world.deliver(EndpointUpdate(EndpointUpdateKind.FULL, 3, rest)) == []
