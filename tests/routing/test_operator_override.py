"""Servers that operators exclude and readmit."""

from dataclasses import replace

import pytest

from ringledge.routing.interface import (
    AttemptStatus,
    Availability,
    EndpointUpdate,
    EndpointUpdateKind,
    OperatorOverride,
)
from ringledge.routing.server_views import server_views
from tests.world import FLEET, World


@pytest.mark.parametrize("form", [EndpointUpdateKind.CHANGES, EndpointUpdateKind.FULL])
def test_no_list_lifts_what_was_left_out_by_hand(form: EndpointUpdateKind) -> None:
    world = World()
    world.give(OperatorOverride("w0", True))
    world.give(EndpointUpdate(form, 2, FLEET))
    restarted = tuple(replace(each, started_ms=world.now_ms) for each in FLEET if each.server == "w0")
    world.give(EndpointUpdate(EndpointUpdateKind.CHANGES, 3, restarted))
    for number in range(40):
        world.read(f"a{number}", session=number)
        assert world.at[f"a{number}"] != "w0"
    seen = {each.server: each for each in server_views(world.policy, world.now_ms)}
    assert seen["w0"].avoided and seen["w0"].availability == Availability.DRAINING


@pytest.mark.parametrize("server", ["r0", "w0"])
def test_who_is_called_back_is_undoubted_used_at_once_and_paced_as_cold(server: str) -> None:
    world = World()
    for number in range(8):  # its restart shows as resets
        world.read(f"a{number}", session=number)
        if world.at[f"a{number}"] == "w0":
            world.outcome(f"a{number}", AttemptStatus.RESET)
    world.give(OperatorOverride(server, True))
    world.wait(500)
    world.give(OperatorOverride(server, False))
    seen = {each.server: each for each in server_views(world.policy, world.now_ms)}[server]
    assert (seen.failure_probability, seen.avoided) == (0.0, False) and seen.warmth == pytest.approx(0.3)
    used = []
    for number in range(10):
        reader = world.read(f"b{number}", session=100 + number)
        used += [reader if server == "r0" else world.at[f"b{number}"]]
    assert used[0] == server and used.count(server) == 1  # the next one only as its warmth allows
