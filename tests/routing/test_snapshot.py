"""Snapshot of a policy's estimates, as loaded by its successor."""

from dataclasses import replace

import orjson
import pytest

from ringledge.routing import snapshot
from ringledge.routing.interface import (
    AttemptStatus,
    EndpointUpdate,
    EndpointUpdateKind,
    OperatorOverride,
)
from ringledge.routing.server_views import server_views
from tests.router_harness import FLEET, RouterHarness


def restored_router(old: RouterHarness, **settings: int) -> RouterHarness:
    """Return a new router that has loaded a snapshot of the old one."""
    new = RouterHarness(tuple(each.entry for each in old.policy.fleet.servers.values()), seed=2, **settings)
    new.now_ms = old.now_ms
    for part in snapshot.dump(old.policy):
        new.policy.clock.now_ms = new.now_ms
        snapshot.load(new.policy, orjson.loads(orjson.dumps(part)))
    return new


def test_snapshot_restores_affinities_prefill_rate_and_failures() -> None:
    old = RouterHarness()
    prefill_servers = {
        session: old.serve(f"a{session}", session=session, prefix=2**200) for session in range(20)
    }
    old.deliver(OperatorOverride("w0", True))
    old.deliver(OperatorOverride("w0", False))
    old.prefill("b1")
    old.outcome("b1", AttemptStatus.RESET)
    new = restored_router(old)
    assert new.policy.estimates.prefill_ms_per_token == old.policy.estimates.prefill_ms_per_token > 0
    assert server_views(new.policy, new.now_ms) == server_views(old.policy, old.now_ms)
    assert {
        new.prefill(f"c{session}", session=session) == prefill_server
        for session, prefill_server in prefill_servers.items()
    } == {True}


def test_snapshot_restores_completions_for_slow_start() -> None:
    old = RouterHarness(routers=8)
    for number in range(60):
        old.advance(100)
        old.serve(f"a{number}", session=number)
    cold = tuple(replace(each, started_ms=old.now_ms) for each in FLEET if each.server == "r0")
    old.deliver(EndpointUpdate(EndpointUpdateKind.CHANGES, 2, cold))
    fleet = tuple(each.entry for each in old.policy.fleet.servers.values())
    successors = [restored_router(old, routers=8), RouterHarness(fleet, seed=2, routers=8)]
    used = []
    for new in successors:
        new.now_ms = old.now_ms
        prefills = 0
        for number in range(60):
            new.advance(50)
            new.request(f"b{number}", session=1000 + number)
            prefills += new.server_of[f"b{number}"] == "r0"
        used.append(prefills)
    assert used[0] > used[1]


@pytest.mark.parametrize(
    "part",
    [{"servers": [["nobody", 0, 0, 0, 0, 0, 0, 0, 0]]}, {"homes": [["ff", "nobody", 1, 1]]}, {"new": [[1]]},
     {"blame": [["nobody", "all", 1, 1]]}, {"usual": [["reader", 1, 2, 3, 4]]}],
)  # fmt: skip
def test_snapshot_rows_of_unknown_servers_and_tables_change_nothing(
    part: dict[str, list[list[object]]],
) -> None:
    harness = RouterHarness()
    before = server_views(harness.policy, harness.now_ms)
    snapshot.load(harness.policy, part)
    assert server_views(harness.policy, harness.now_ms) == before and not harness.policy.affinities.by_session
