"""The work of what is known of servers does not grow with the number of listed servers."""

from __future__ import annotations

from collections.abc import Callable, Mapping

import pytest

from ringledge.decide.servers.reachability import Reachability
from ringledge.decide.servers.releases import ReleaseScheduler
from tests.work_counter import LARGE, assert_work_bounded, instructions

ZONES, REACHED = 3, 8

Play = Callable[[Reachability, Mapping[str, bool]], object]


def listed_servers(size: int) -> tuple[Reachability, Mapping[str, bool]]:
    """The results of a router that has reached a few of its servers."""
    servers = {f"s{n}": True for n in range(size)}
    reachability = Reachability(0)
    reachability.update_servers((server, n % ZONES) for n, server in enumerate(servers))
    for n in range(REACHED):
        reachability.record_answer(f"s{n}", 1_000.0 + n)
    return reachability, servers


def fail_and_recover(reachability: Reachability, _: Mapping[str, bool]) -> None:
    reachability.record_timeout("s9", 2_000.0)
    assert reachability.unreachable_servers(2_000.0) == {"s9"}
    reachability.record_refusal("s20", 2_010.0)
    assert reachability.unreachable_servers(2_040.0) == {"s9", "s20"}
    reachability.record_answer("s9", 2_050.0)
    assert reachability.unreachable_servers(2_050.0) == {"s20"}


def release_where_calls_fail(reachability: Reachability, servers: Mapping[str, bool]) -> None:
    scheduler = ReleaseScheduler(500.0, reachability, lambda: servers)
    scheduler.add(2_000.0, "a", {"s1"}, {})
    called = list[str]()
    for step in range(12):
        for call in scheduler.take_due_calls(2_000.0 + 40 * step):
            called.append(call.server)
            reachability.record_timeout(call.server, 2_000.0 + 40 * step)
            scheduler.call_failed(2_000.0 + 40 * step, call)
    assert called[0] == "s1"
    assert len(set(called)) >= REACHED


PLAYS: dict[str, Play] = {"failed call": fail_and_recover, "release": release_where_calls_fail}


@pytest.mark.parametrize("play", PLAYS)
@pytest.mark.parametrize("size", LARGE)
def test_work_of_a_call_does_not_grow_with_the_fleet(size: int, play: str) -> None:
    def count(servers: int, limit: float) -> int:
        fleet = listed_servers(servers)
        return instructions(lambda: PLAYS[play](*fleet), limit)

    assert_work_bounded(size, count)
