"""The snapshot of a policy's estimates, loaded by its successor."""

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
    """A fresh router that was told what the old one knows."""
    new = RouterHarness(tuple(each.entry for each in old.policy.fleet.servers.values()), seed=2, **settings)
    new.now_ms = old.now_ms
    for part in snapshot.dump(old.policy):
        new.policy.clock.now_ms = new.now_ms
        snapshot.load(new.policy, orjson.loads(orjson.dumps(part)))
    return new


def test_snapshot_restores_affinities_prefill_rate_and_failures() -> None:
    old = RouterHarness()
    homes = {session: old.serve(f"a{session}", session=session, prefix=2**200) for session in range(20)}
    old.deliver(OperatorOverride("w0", True))
    old.deliver(OperatorOverride("w0", False))
    old.prefill("b1")
    old.outcome("b1", AttemptStatus.RESET)
    new = restored_router(old)
    assert new.policy.estimates.prefill_ms_per_token == old.policy.estimates.prefill_ms_per_token > 0
    assert server_views(new.policy, new.now_ms) == server_views(old.policy, old.now_ms)
    assert {new.prefill(f"c{session}", session=session) == home for session, home in homes.items()} == {True}


def test_snapshot_restores_completions_for_slow_start() -> None:
    old = RouterHarness(routers=8)
    for number in range(60):
        old.advance(100)
        old.serve(f"a{number}", session=number)
    cold = tuple(replace(each, started_ms=old.now_ms) for each in FLEET if each.server == "r0")
    old.deliver(EndpointUpdate(EndpointUpdateKind.CHANGES, 2, cold))
    fleet = tuple(each.entry for each in old.policy.fleet.servers.values())
    news = [restored_router(old, routers=8), RouterHarness(fleet, seed=2, routers=8)]
    used = []
    for new in news:
        new.now_ms = old.now_ms
        reads = 0
        for number in range(60):
            new.advance(50)
            new.request(f"b{number}", session=1000 + number)
            reads += new.server_of[f"b{number}"] == "r0"
        used.append(reads)
    assert used[0] > used[1]


@pytest.mark.parametrize(
    "part",
    [{"servers": [["nobody", 0, 0, 0, 0, 0, 0, 0, 0]]}, {"homes": [["ff", "nobody", 1, 1]]}, {"new": [[1]]},
     {"blame": [["nobody", "all", 1, 1]]}, {"usual": [["reader", 1, 2, 3, 4]]}],
)  # fmt: skip
def test_snapshot_rows_of_unknown_servers_and_tables_change_nothing(
    part: dict[str, list[list[object]]],
) -> None:
    world = RouterHarness()
    before = server_views(world.policy, world.now_ms)
    snapshot.load(world.policy, part)
    assert server_views(world.policy, world.now_ms) == before and not world.policy.affinities.by_session
