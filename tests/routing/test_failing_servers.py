"""Servers that fail, do not respond or are unreachable."""

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
    harness = RouterHarness()
    prefill_server = harness.serve("a", session=1)
    harness.advance(5000)
    harness.request("b", session=1)
    assert harness.server_of["b"] == prefill_server and cancels_attempt(harness.advance(1500))
    other = sent_to(harness.outcome("b", AttemptStatus.CANCELLED))[0]
    assert other != prefill_server
    harness.outcome("b", AttemptStatus.PREFILLED)
    assert harness.serve("c", session=1) == other


def test_failing_server_is_avoided_and_retried_as_its_failure_probability_decays() -> None:
    harness = RouterHarness()
    before = prefill_servers_used(harness, "a", 40, prefix=5)
    prefill_server = before[0]
    for name in ("b", "c"):
        harness.request(name, session=1000, prefix=5)
        if harness.server_of[name] == prefill_server:
            harness.outcome(name, AttemptStatus.CONNECT_FAILED)
        harness.abandon(name)
    after = prefill_servers_used(harness, "d", 40, prefix=5)
    assert after.count(prefill_server) < before.count(prefill_server) / 2
    harness.now_ms += 60_000
    assert prefill_servers_used(harness, "e", 40, prefix=5) == before


def test_server_rejecting_one_class_is_avoided_by_that_class_only() -> None:
    harness = RouterHarness(classes=(IDEMPOTENT, IDEMPOTENT))
    prefill_server = prefill_servers_used(harness, "a", 1, prefix=5, class_index=1)[0]
    for number in range(4):
        harness.request(f"b{number}", session=1000, prefix=5, class_index=0)
        if harness.server_of[f"b{number}"] == prefill_server:
            harness.outcome(f"b{number}", AttemptStatus.FULL)
        harness.abandon(f"b{number}")
        harness.request(f"c{number}", session=1000, prefix=5, class_index=1)
        assert harness.server_of[f"c{number}"] == prefill_server
        harness.outcome(f"c{number}", AttemptStatus.PREFILLED)
        harness.abandon(f"c{number}")
    affected = prefill_servers_used(harness, "d", 30, prefix=5, class_index=0).count(prefill_server)
    others = prefill_servers_used(harness, "e", 30, prefix=5, class_index=1).count(prefill_server)
    assert affected < others / 2


def test_server_timing_out_one_class_is_avoided_by_that_class_only() -> None:
    harness = RouterHarness(classes=(IDEMPOTENT, IDEMPOTENT))
    prefill_server = prefill_servers_used(harness, "a", 1, prefix=5)[0]
    for name in ("b", "c"):
        harness.request(name, session=1000, prefix=5)
        if harness.server_of[name] == prefill_server:
            assert cancels_attempt(harness.advance(1500))
            harness.outcome(name, AttemptStatus.CANCELLED, latency_ms=0)
        harness.abandon(name)
    affected = prefill_servers_used(harness, "d", 30, prefix=5, class_index=0).count(prefill_server)
    assert (
        affected < prefill_servers_used(harness, "e", 30, prefix=5, class_index=1).count(prefill_server) / 2
    )


def test_server_rejecting_one_tenant_is_avoided_by_that_tenant_only() -> None:
    harness = RouterHarness(tenants=(Tenant(), Tenant()))
    prefill_server = prefill_servers_used(harness, "a", 1, prefix=5)[0]
    for number in range(4):  # the server answers the other tenant, so it is not failing
        harness.request(f"b{number}", session=1000, prefix=5, tenant=1)
        if harness.server_of[f"b{number}"] == prefill_server:
            harness.outcome(f"b{number}", AttemptStatus.PREFILLED, latency_ms=0)
        harness.abandon(f"b{number}")
        harness.request(f"c{number}", session=1000, prefix=5, tenant=0)
        if harness.server_of[f"c{number}"] == prefill_server:
            harness.outcome(f"c{number}", AttemptStatus.FULL, latency_ms=0)
        harness.abandon(f"c{number}")
    others = prefill_servers_used(harness, "e", 60, prefix=5, tenant=1).count(prefill_server)
    assert prefill_servers_used(harness, "d", 60, prefix=5, tenant=0).count(prefill_server) < 0.7 * others


def test_servers_are_still_used_when_all_fail() -> None:
    harness = RouterHarness()
    for number in range(12):
        harness.request(f"a{number}", session=number)
        while not final_answers(harness.last_actions):
            harness.outcome(f"a{number}", AttemptStatus.CONNECT_FAILED)
    assert len(sent_to(harness.request("z", session=99))) == 1


def test_attempt_has_a_timeout_where_it_cannot_be_cancelled() -> None:
    harness = RouterHarness(may_cancel=False)
    send = harness.request("a", session=1)[0]
    assert isinstance(send, SendAttempt) and send.timeout_ms is not None and send.timeout_ms < 1000
    assert not cancels_attempt(harness.advance(4000))


def test_unresponsive_decode_server_loses_only_repeatable_attempts() -> None:
    non_idempotent = replace(IDEMPOTENT, idempotency=Idempotency.NON_IDEMPOTENT)
    harness = RouterHarness(classes=(IDEMPOTENT, non_idempotent))
    harness.prefill("a", class_index=1)
    assert not cancels_attempt(harness.advance(4000))  # a cancelled attempt could not be retried
    harness.first_token("a")
    harness.prefill("b", class_index=0)
    assert cancels_attempt(harness.advance(4000))


@pytest.mark.parametrize("status", [AttemptStatus.RESET, AttemptStatus.CONNECT_FAILED])
def test_closed_idle_connection_is_not_a_failure_of_its_server(status: AttemptStatus) -> None:
    harness = RouterHarness()
    prefill_server = harness.serve("a", session=1)
    for number in range(20):
        harness.request(f"b{number}", session=1)
        assert harness.server_of[f"b{number}"] == prefill_server
        harness.outcome(f"b{number}", status, note=1)
        assert harness.server_of[f"b{number}"] == prefill_server
        harness.abandon(f"b{number}")


@pytest.mark.parametrize(
    ("class_idempotency", "errors", "avoided"),
    [
        (Idempotency.NON_IDEMPOTENT, 1, True),
        (Idempotency.NON_IDEMPOTENT, 0, False),
        (Idempotency.IDEMPOTENT, 2, False),
    ],
)
def test_non_idempotent_request_avoids_decode_server_after_any_error(
    class_idempotency: Idempotency, errors: int, avoided: bool
) -> None:
    fleet = tuple(each for each in FLEET if each.server in ("r0", "w0", "w1"))
    harness = RouterHarness(fleet, classes=(IDEMPOTENT, replace(IDEMPOTENT, idempotency=class_idempotency)))
    number = 0
    while errors:
        number += 1
        harness.prefill(f"a{number}", session=number)
        if harness.server_of[f"a{number}"] == "w0":
            harness.outcome(f"a{number}", AttemptStatus.ERROR)
            errors -= 1
        harness.abandon(f"a{number}")
    selections = []
    for number in range(40):
        harness.prefill(f"b{number}", session=number, class_index=1)
        selections.append(harness.server_of[f"b{number}"])
        harness.abandon(f"b{number}")
    assert ("w0" not in selections) == avoided and "w1" in selections


def test_failure_memory_lasts_longer_with_many_routers() -> None:
    """Guards against routers that forget a failure before their next request to the server.

    Many routers that do so keep sending requests to a failing server.
    """
    fleet = tuple(each for each in FLEET if each.server[0] == "w" or each.server == "r0")
    harnesses = [RouterHarness(fleet, seed=seed, routers=40, router=seed) for seed in range(40)]
    failed = Counter[int]()
    for second in range(40):
        for harness in harnesses:
            harness.advance(1000)
            harness.prefill(f"a{second}", session=second)
            while harness.server_of[f"a{second}"] == "w0":
                failed[second // 20] += 1
                harness.outcome(f"a{second}", AttemptStatus.ERROR)
            harness.first_token(f"a{second}")
            harness.outcome(f"a{second}", AttemptStatus.OK, request_ended=True)
    assert failed[1] <= 85  # of 800 requests; 119 if all routers forget within 10 s


def test_unreachable_servers_are_used_only_when_no_others_are_left() -> None:
    harness = RouterHarness()
    harness.deliver(UnreachableServers(frozenset({"r0", "r1", "w0", "w1"})))
    for number in range(20):
        assert harness.prefill(f"a{number}", session=number) in ("r2", "r3")
        assert harness.server_of[f"a{number}"] in ("w2", "w3")
    harness.deliver(UnreachableServers(frozenset({"r0", "r1", "r2", "r3"})))
    assert harness.prefill("b", session=99) in ("r0", "r1", "r2", "r3")
    harness.deliver(UnreachableServers(frozenset()))
    assert {harness.prefill(f"c{number}", session=100 + number) for number in range(20)} > {"r2"}
