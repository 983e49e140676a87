"""Servers that an operator excludes and readmits."""

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


@pytest.mark.parametrize("kind", [EndpointUpdateKind.CHANGES, EndpointUpdateKind.FULL])
def test_endpoint_update_does_not_lift_operator_exclusion(kind: EndpointUpdateKind) -> None:
    harness = RouterHarness()
    harness.deliver(OperatorOverride("w0", True))
    harness.deliver(EndpointUpdate(kind, 2, FLEET))
    restarted = tuple(replace(each, started_ms=harness.now_ms) for each in FLEET if each.server == "w0")
    harness.deliver(EndpointUpdate(EndpointUpdateKind.CHANGES, 3, restarted))
    for number in range(40):
        harness.prefill(f"a{number}", session=number)
        assert harness.server_of[f"a{number}"] != "w0"
    views = {each.server: each for each in server_views(harness.policy, harness.now_ms)}
    assert views["w0"].avoided and views["w0"].availability == Availability.DRAINING


@pytest.mark.parametrize("server", ["r0", "w0"])
def test_readmitted_server_is_used_at_once_and_starts_slowly(server: str) -> None:
    harness = RouterHarness()
    for number in range(8):  # connections are reset by its restart
        harness.prefill(f"a{number}", session=number)
        if harness.server_of[f"a{number}"] == "w0":
            harness.outcome(f"a{number}", AttemptStatus.RESET)
    harness.deliver(OperatorOverride(server, True))
    harness.advance(500)
    harness.deliver(OperatorOverride(server, False))
    view = {each.server: each for each in server_views(harness.policy, harness.now_ms)}[server]
    assert (view.failure_probability, view.avoided) == (0.0, False) and view.warmth == pytest.approx(0.3)
    used = []
    for number in range(10):
        prefill_server = harness.prefill(f"b{number}", session=100 + number)
        used += [prefill_server if server == "r0" else harness.server_of[f"b{number}"]]
    assert used[0] == server and used.count(server) == 1  # slow start delays the next request
