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
from tests.router_harness import FLEET, RouterHarness


@pytest.mark.parametrize("form", [EndpointUpdateKind.CHANGES, EndpointUpdateKind.FULL])
def test_endpoint_update_does_not_lift_operator_exclusion(form: EndpointUpdateKind) -> None:
    world = RouterHarness()
    world.deliver(OperatorOverride("w0", True))
    world.deliver(EndpointUpdate(form, 2, FLEET))
    restarted = tuple(replace(each, started_ms=world.now_ms) for each in FLEET if each.server == "w0")
    world.deliver(EndpointUpdate(EndpointUpdateKind.CHANGES, 3, restarted))
    for number in range(40):
        world.prefill(f"a{number}", session=number)
        assert world.server_of[f"a{number}"] != "w0"
    seen = {each.server: each for each in server_views(world.policy, world.now_ms)}
    assert seen["w0"].avoided and seen["w0"].availability == Availability.DRAINING


@pytest.mark.parametrize("server", ["r0", "w0"])
def test_readmitted_server_is_used_at_once_and_starts_slowly(server: str) -> None:
    world = RouterHarness()
    for number in range(8):  # its restart shows as resets
        world.prefill(f"a{number}", session=number)
        if world.server_of[f"a{number}"] == "w0":
            world.outcome(f"a{number}", AttemptStatus.RESET)
    world.deliver(OperatorOverride(server, True))
    world.advance(500)
    world.deliver(OperatorOverride(server, False))
    seen = {each.server: each for each in server_views(world.policy, world.now_ms)}[server]
    assert (seen.failure_probability, seen.avoided) == (0.0, False) and seen.warmth == pytest.approx(0.3)
    used = []
    for number in range(10):
        reader = world.prefill(f"b{number}", session=100 + number)
        used += [reader if server == "r0" else world.server_of[f"b{number}"]]
    assert used[0] == server and used.count(server) == 1  # the next one only as its warmth allows
