"""The work of a routing decision does not grow with the number of listed servers."""

from __future__ import annotations

from collections.abc import Callable

import pytest

from ringledge.routing.interface import EndpointUpdate, EndpointUpdateKind, RolePlan, UnreachableServers
from tests.router_harness import RouterHarness
from tests.routing.large_fleet import (
    KIND_SETTINGS,
    ROUTERS,
    changes_of_one_server,
    large_fleet,
    large_router,
    serve_beside_failures,
    serve_one,
)
from tests.work_counter import LARGE, assert_work_bounded, instruction_limit, instructions

COLD_SERVERS = 150  # that have just started

Play = Callable[[RouterHarness], object]
PLAYS: dict[str, Play] = {
    "served": serve_one,
    "served behind failures": serve_beside_failures,
    "expiry": lambda router: router.advance(1_000.0),
}


def half_unreachable(router: RouterHarness) -> None:
    names = list(router.policy.fleet.servers)
    router.deliver(UnreachableServers(frozenset(names[::2])))


def all_but_three_unreachable(router: RouterHarness) -> None:
    names = list(router.policy.fleet.servers)
    router.deliver(UnreachableServers(frozenset(names) - {"s0", "s1", "s2"}))


def some_cold(router: RouterHarness) -> None:
    fleet = large_fleet(COLD_SERVERS, router.now_ms)
    router.deliver(EndpointUpdate(EndpointUpdateKind.CHANGES, 2, fleet))


def planned_roles(router: RouterHarness) -> None:
    router.deliver(RolePlan(no_prefill=frozenset({"s4"}), no_decode=frozenset({"s9"})))


# What happened to a server before an event.
BEFORE = {"up again": "draining", "listed again": "removed", "readmitted": "excluded"}
STATES: dict[str, Play] = {
    "calm": lambda _: None,
    "half unreachable": half_unreachable,
    "all but three unreachable": all_but_three_unreachable,
    "planned roles": planned_roles,
    "some cold": some_cold,
}


@pytest.mark.parametrize("state", STATES)
@pytest.mark.parametrize("play", PLAYS)
@pytest.mark.parametrize("size", LARGE)
def test_work_of_a_request_does_not_grow_with_the_fleet(size: int, play: str, state: str) -> None:
    assert_bounded(size, PLAYS[play], STATES[state])


@pytest.mark.parametrize("size", LARGE)
def test_work_of_a_request_does_not_grow_where_all_servers_are_cold(size: int) -> None:
    def count(servers: int, limit: float) -> int:
        router = RouterHarness(large_fleet(servers, 999_000.0), routers=ROUTERS, kinds=KIND_SETTINGS)
        return instructions(lambda: router.request("one", session=9_999), limit)

    assert_work_bounded(size, count)


@pytest.mark.parametrize("size", LARGE)
def test_work_of_a_change_does_not_grow_with_the_servers_that_warm_up(size: int) -> None:
    def count(cold: bool) -> int:
        router = large_router(size)
        if cold:
            some_cold(router)
        return instructions(lambda: router.deliver(changes_of_one_server(router)["draining"]))

    assert count(cold=True) < instruction_limit(count(cold=False))


@pytest.mark.parametrize("name", changes_of_one_server(large_router(10)))
@pytest.mark.parametrize("size", LARGE)
def test_work_of_a_change_of_one_server_does_not_grow_with_the_fleet(size: int, name: str) -> None:
    def deliver(router: RouterHarness) -> None:
        router.deliver(changes_of_one_server(router)[name])
        serve_one(router)

    def prepare(router: RouterHarness) -> None:
        if name in BEFORE:
            router.deliver(changes_of_one_server(router)[BEFORE[name]])

    assert_bounded(size, deliver, prepare)


def assert_bounded(size: int, play: Play, prepare: Play) -> None:
    """Play in the usual fleet and in a larger one, where it may take hardly more work."""

    def count(servers: int, limit: float) -> int:
        router = large_router(servers)
        prepare(router)
        return instructions(lambda: play(router), limit)

    assert_work_bounded(size, count)
