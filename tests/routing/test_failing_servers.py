"""Servers that fail, are unresponsive or unreachable."""

from collections import Counter
from dataclasses import replace

import pytest

from ringledge.routing.interface import (
    AttemptStatus,
    Idempotency,
    SendAttempt,
    Tenant,
    UnreachableServers,
)
from tests.router_harness import (
    FLEET,
    IDEMPOTENT,
    RouterHarness,
    cancels_attempt,
    final_answers,
    prefill_servers_used,
    sent_to,
)


def test_unresponsive_prefill_server_loses_its_attempts_and_sessions() -> None:
    world = RouterHarness()
    home = world.serve("a", session=1)
    world.advance(5000)
    world.request("b", session=1)
    assert world.server_of["b"] == home and cancels_attempt(world.advance(1500))
    other = sent_to(world.outcome("b", AttemptStatus.CANCELLED))[0]
    assert other != home
    world.outcome("b", AttemptStatus.PREFILLED)
    assert world.serve("c", session=1) == other


def test_failing_server_is_avoided_and_retried_as_its_failure_probability_decays() -> None:
    world = RouterHarness()
    before = prefill_servers_used(world, "a", 40, prefix=5)
    home = before[0]
    for name in ("b", "c"):
        world.request(name, session=1000, prefix=5)
        if world.server_of[name] == home:
            world.outcome(name, AttemptStatus.CONNECT_FAILED)
        world.abandon(name)
    after = prefill_servers_used(world, "d", 40, prefix=5)
    assert after.count(home) < before.count(home) / 2
    world.now_ms += 60_000
    assert prefill_servers_used(world, "e", 40, prefix=5) == before


def test_server_rejecting_one_class_is_avoided_by_that_class_only() -> None:
    world = RouterHarness(classes=(IDEMPOTENT, IDEMPOTENT))
    home = prefill_servers_used(world, "a", 1, prefix=5, class_index=1)[0]
    for number in range(4):
        world.request(f"b{number}", session=1000, prefix=5, class_index=0)
        if world.server_of[f"b{number}"] == home:
            world.outcome(f"b{number}", AttemptStatus.FULL)
        world.abandon(f"b{number}")
        world.request(f"c{number}", session=1000, prefix=5, class_index=1)
        assert world.server_of[f"c{number}"] == home
        world.outcome(f"c{number}", AttemptStatus.PREFILLED)
        world.abandon(f"c{number}")
    refused = prefill_servers_used(world, "d", 30, prefix=5, class_index=0).count(home)
    others = prefill_servers_used(world, "e", 30, prefix=5, class_index=1).count(home)
    assert refused < others / 2


def test_server_timing_out_one_class_is_avoided_by_that_class_only() -> None:
    world = RouterHarness(classes=(IDEMPOTENT, IDEMPOTENT))
    home = prefill_servers_used(world, "a", 1, prefix=5)[0]
    for name in ("b", "c"):
        world.request(name, session=1000, prefix=5)
        if world.server_of[name] == home:
            assert cancels_attempt(world.advance(1500))
            world.outcome(name, AttemptStatus.CANCELLED, latency_ms=0)
        world.abandon(name)
    refused = prefill_servers_used(world, "d", 30, prefix=5, class_index=0).count(home)
    assert refused < prefill_servers_used(world, "e", 30, prefix=5, class_index=1).count(home) / 2


def test_server_rejecting_one_tenant_is_avoided_by_that_tenant_only() -> None:
    world = RouterHarness(tenants=(Tenant(), Tenant()))
    home = prefill_servers_used(world, "a", 1, prefix=5)[0]
    for number in range(4):  # the other tenant's answers tell that it isn't the server
        world.request(f"b{number}", session=1000, prefix=5, tenant=1)
        if world.server_of[f"b{number}"] == home:
            world.outcome(f"b{number}", AttemptStatus.PREFILLED, latency_ms=0)
        world.abandon(f"b{number}")
        world.request(f"c{number}", session=1000, prefix=5, tenant=0)
        if world.server_of[f"c{number}"] == home:
            world.outcome(f"c{number}", AttemptStatus.FULL, latency_ms=0)
        world.abandon(f"c{number}")
    others = prefill_servers_used(world, "e", 60, prefix=5, tenant=1).count(home)
    assert prefill_servers_used(world, "d", 60, prefix=5, tenant=0).count(home) < 0.7 * others


def test_servers_are_still_used_when_all_fail() -> None:
    world = RouterHarness()
    for number in range(12):
        world.request(f"a{number}", session=number)
        while not final_answers(world.last_actions):
            world.outcome(f"a{number}", AttemptStatus.CONNECT_FAILED)
    assert len(sent_to(world.request("z", session=99))) == 1


def test_attempt_has_a_timeout_where_it_cannot_be_cancelled() -> None:
    world = RouterHarness(may_cancel=False)
    send = world.request("a", session=1)[0]
    assert isinstance(send, SendAttempt) and send.timeout_ms is not None and send.timeout_ms < 1000
    assert not cancels_attempt(world.advance(4000))


def test_unresponsive_decode_server_loses_only_repeatable_attempts() -> None:
    unsafe = replace(IDEMPOTENT, idempotency=Idempotency.NON_IDEMPOTENT)
    world = RouterHarness(classes=(IDEMPOTENT, unsafe))
    world.prefill("a", class_index=1)
    assert not cancels_attempt(world.advance(4000))  # cancelled, it could only be failed
    world.first_token("a")
    world.prefill("b", class_index=0)
    assert cancels_attempt(world.advance(4000))


@pytest.mark.parametrize("status", [AttemptStatus.RESET, AttemptStatus.CONNECT_FAILED])
def test_closed_idle_connection_is_not_a_failure_of_its_server(status: AttemptStatus) -> None:
    world = RouterHarness()
    home = world.serve("a", session=1)
    for number in range(20):
        world.request(f"b{number}", session=1)
        assert world.server_of[f"b{number}"] == home
        world.outcome(f"b{number}", status, note=1)
        assert world.server_of[f"b{number}"] == home
        world.abandon(f"b{number}")


@pytest.mark.parametrize(
    ("effect", "errors", "left"),
    [
        (Idempotency.NON_IDEMPOTENT, 1, True),
        (Idempotency.NON_IDEMPOTENT, 0, False),
        (Idempotency.IDEMPOTENT, 2, False),
    ],
)
def test_non_idempotent_request_avoids_decode_server_after_any_error(
    effect: Idempotency, errors: int, left: bool
) -> None:
    fleet = tuple(each for each in FLEET if each.server in ("r0", "w0", "w1"))
    world = RouterHarness(fleet, classes=(IDEMPOTENT, replace(IDEMPOTENT, idempotency=effect)))
    number = 0
    while errors:
        number += 1
        world.prefill(f"a{number}", session=number)
        if world.server_of[f"a{number}"] == "w0":
            world.outcome(f"a{number}", AttemptStatus.ERROR)
            errors -= 1
        world.abandon(f"a{number}")
    chosen = []
    for number in range(40):
        world.prefill(f"b{number}", session=number, class_index=1)
        chosen.append(world.server_of[f"b{number}"])
        world.abandon(f"b{number}")
    assert ("w0" not in chosen) == left and "w1" in chosen


def test_failure_memory_lasts_longer_with_many_routers() -> None:
    """Each forgot it in the seconds until its next request there: together they failed some all the time."""
    fleet = tuple(each for each in FLEET if each.server[0] == "w" or each.server == "r0")
    worlds = [RouterHarness(fleet, seed=seed, routers=40, router=seed) for seed in range(40)]
    failed = Counter[int]()
    for second in range(40):
        for world in worlds:
            world.advance(1000)
            world.prefill(f"a{second}", session=second)
            while world.server_of[f"a{second}"] == "w0":
                failed[second // 20] += 1
                world.outcome(f"a{second}", AttemptStatus.ERROR)
            world.first_token(f"a{second}")
            world.outcome(f"a{second}", AttemptStatus.OK, request_ended=True)
    assert failed[1] <= 85  # of 800 requests; 119 where all forgot in ten seconds


def test_unreachable_servers_are_used_only_when_no_others_are_left() -> None:
    world = RouterHarness()
    world.deliver(UnreachableServers(frozenset({"r0", "r1", "w0", "w1"})))
    for number in range(20):
        assert world.prefill(f"a{number}", session=number) in ("r2", "r3")
        assert world.server_of[f"a{number}"] in ("w2", "w3")
    world.deliver(UnreachableServers(frozenset({"r0", "r1", "r2", "r3"})))
    assert world.prefill("b", session=99) in ("r0", "r1", "r2", "r3")
    world.deliver(UnreachableServers(frozenset()))
    assert {world.prefill(f"c{number}", session=100 + number) for number in range(20)} > {"r2"}
