"""The pools and sums that are kept by change equal a full count of the listed servers."""

from __future__ import annotations

import random
from collections import Counter
from dataclasses import replace

import pytest

from ringledge.routing.fleet import FleetState
from ringledge.routing.interface import (
    AttemptStatus,
    Availability,
    ClientDisconnected,
    EndpointUpdate,
    EndpointUpdateKind,
    OperatorOverride,
    Role,
    RolePlan,
)
from ringledge.routing.server_pool import ServerPool
from ringledge.routing.state import Server
from tests.router_harness import RouterHarness
from tests.routing.large_fleet import CELL_SIZE, KIND_SETTINGS, ROUTERS, large_fleet

SIZE, EVENTS = 300, 3_000


def change_list(router: RouterHarness, rng: random.Random) -> None:
    entry = rng.choice(large_fleet(SIZE))
    changed = replace(
        entry,
        availability=rng.choice(list(Availability)),
        started_ms=rng.choice((0.0, entry.started_ms, router.now_ms - 2_000.0)),
        cell=rng.choice((entry.cell, rng.randrange(SIZE // CELL_SIZE))),
    )
    router.deliver(EndpointUpdate(EndpointUpdateKind.CHANGES, 2, (changed,)))


def replace_list(router: RouterHarness, rng: random.Random) -> None:
    fleet = large_fleet(SIZE)
    if rng.random() < 0.05:
        listed = rng.sample(fleet, rng.randrange(SIZE))
        router.deliver(EndpointUpdate(EndpointUpdateKind.FULL, 3, tuple(listed)))


def override(router: RouterHarness, rng: random.Random) -> None:
    router.deliver(OperatorOverride(f"s{rng.randrange(SIZE)}", rng.random() < 0.5))


def plan_roles(router: RouterHarness, rng: random.Random) -> None:
    mixed = [entry.server for entry in large_fleet(SIZE) if KIND_SETTINGS[entry.kind].role == Role.MIXED]
    no_prefill = frozenset(rng.sample(mixed, 5))
    router.deliver(RolePlan(no_prefill, frozenset(rng.sample(mixed, 5)) - no_prefill))


def serve(router: RouterHarness, rng: random.Random) -> None:
    name = f"q{rng.random()}"
    router.request(name, session=rng.randrange(50), prefix=rng.randrange(1, 20), prefix_tokens=100)
    if name in router.server_of:
        router.outcome(name, rng.choice((AttemptStatus.PREFILLED, AttemptStatus.CONNECT_FAILED)))
    if rng.random() < 0.7:
        router.deliver(ClientDisconnected(name))


def wait(router: RouterHarness, rng: random.Random) -> None:
    router.advance(rng.choice((10.0, 400.0, 3_000.0)))


EVENT_KINDS = (change_list, change_list, replace_list, override, plan_roles, serve, serve, wait)


@pytest.mark.parametrize("seed", range(4))
def test_state_kept_by_change_equals_a_full_count(seed: int) -> None:
    rng = random.Random(seed)
    router = RouterHarness(large_fleet(SIZE), seed, routers=ROUTERS, kinds=KIND_SETTINGS)
    for number in range(EVENTS):
        rng.choice(EVENT_KINDS)(router, rng)
        if number % 50 == 0:
            router.advance(1_000.0)  # after which the warmth of all servers has been counted
            assert_counted(router.policy.fleet, router.now_ms)


def assert_counted(fleet: FleetState, now_ms: float) -> None:
    up = [each for each in fleet.servers.values() if fleet.availability(each) == Availability.UP]
    prefill = [each for each in up if each.role != Role.DECODE]
    decode = [each for each in up if each.role != Role.PREFILL]
    planned = [each for each in prefill if not fleet.is_dedicated_to(each, Role.DECODE)] or prefill
    assert_pool(fleet.prefill_pool, planned)
    planned = [each for each in decode if not fleet.is_dedicated_to(each, Role.PREFILL)] or decode
    assert_pool(fleet.decode_pool, planned)
    assert set(fleet.busy) >= {each for each in fleet.servers.values() if each.in_flight}
    assert all(each.in_flight for each in fleet.busy)
    assert fleet.capacity.prefill_only == pytest.approx(
        sum(fleet.warmth(each, now_ms) for each in up if each.role == Role.PREFILL), abs=0.2 * len(up)
    )
    warm = [each for each in up if fleet.warmth(each, now_ms) == 1.0]
    assert len(up) - len(warm) <= len(fleet._warming) <= len(up)


def assert_pool(pool: ServerPool, expected: list[Server]) -> None:
    assert pool.servers == expected
    assert +pool.kinds == Counter(each.entry.kind for each in expected)
    for server in expected:
        cell, zone = server.entry.cell, server.entry.zone
        assert pool.in_cell(cell) == [each for each in expected if each.entry.cell == cell]
        assert server in pool and server in pool.in_zone(zone)
