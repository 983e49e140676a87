"""Degraded fleets: slow and lost servers, late server lists and restarts, without hedged requests."""

from __future__ import annotations

import random
from collections import Counter
from dataclasses import replace

import pytest

from ringledge.routing.interface import (
    AttemptStatus,
    EndpointUpdate,
    EndpointUpdateKind,
    Idempotency,
    RequestClass,
    Role,
    RoutingAction,
    SendAttempt,
    ServerEntry,
    ServerKind,
)
from tests.router_harness import FLEET, IDEMPOTENT, RouterHarness, sent_to, server_entry

KINDS = (ServerKind(Role.PREFILL, 200_000.0), ServerKind(Role.DECODE, 200_000.0))
NON_IDEMPOTENT_CLASS = RequestClass(
    2500, 10_000, Idempotency.NON_IDEMPOTENT, priority_weight=3, target_token_ms=80
)


def new_harness(seed: int = 1, fleet: tuple[ServerEntry, ...] = FLEET) -> RouterHarness:
    return RouterHarness(
        fleet,
        seed,
        kinds=KINDS,
        classes=(IDEMPOTENT, NON_IDEMPOTENT_CLASS),
        hedging_allowed=True,
        may_probe=True,
    )


def outcome(harness: RouterHarness, name: str, rng: random.Random) -> bool:
    """End the attempt in flight with a random status; return whether the request may have run."""
    prefills = harness.server_of[name].startswith("r")
    statuses = [AttemptStatus.PREFILLED] * 4 if prefills else [AttemptStatus.OK] * 2
    status = rng.choice(
        [*statuses, AttemptStatus.ERROR, AttemptStatus.FULL, AttemptStatus.TIMEOUT, AttemptStatus.RESET]
    )
    harness.outcome(name, status, request_ended=status == AttemptStatus.OK, latency_ms=rng.uniform(10, 900))
    return not prefills and status != AttemptStatus.FULL


@pytest.mark.parametrize("seed", range(6))
def test_requests_are_never_hedged(seed: int) -> None:
    """A request has at most one attempt at a time; a non-idempotent one that may have run is not retried."""
    rng, harness = random.Random(seed), new_harness(seed)
    in_flight, may_have_run = set[str](), set[str]()
    kinds = dict[str, int]()

    def check_sends(actions: list[RoutingAction]) -> None:
        for action in actions:
            if isinstance(action, SendAttempt):
                assert action.request not in in_flight
                assert action.request not in may_have_run or kinds[action.request] == 0
                in_flight.add(action.request)

    for number in range(600):
        check_sends(harness.advance(rng.expovariate(1 / 60)))
        if rng.random() < 0.4 or not in_flight:
            kinds[f"q{number}"] = rng.randrange(2)
            check_sends(
                harness.request(f"q{number}", class_index=kinds[f"q{number}"], session=rng.randrange(30))
            )
        else:
            name = rng.choice(sorted(in_flight))
            in_flight.discard(name)
            if outcome(harness, name, rng):
                may_have_run.add(name)
            check_sends(harness.last_actions)
    assert len(kinds) > 200


def test_prefill_server_five_times_slower_is_avoided() -> None:
    harness = new_harness()
    slow, selections = "r0", Counter[str]()
    for number in range(240):
        harness.request(f"q{number}", session=1000 + number)
        server = harness.server_of[f"q{number}"]
        selections[server] += number >= 120
        harness.now_ms += 100
        harness.outcome(f"q{number}", AttemptStatus.PREFILLED, latency_ms=500 if server == slow else 100)
        harness.first_token(f"q{number}")
        harness.outcome(f"q{number}", AttemptStatus.OK, request_ended=True)
    assert selections[slow] < 0.6 * selections.total() / 4


def test_losing_a_quarter_of_servers_fails_no_repeatable_request() -> None:
    harness = new_harness()
    lost_servers, results = {"r0", "w0"}, Counter[str]()
    for number in range(40):  # 4 s until the list is updated
        harness.now_ms += 100
        name = f"q{number}"
        harness.request(name, session=number)
        for _ in range(4):
            server = harness.server_of[name]
            if server in lost_servers:
                harness.outcome(name, AttemptStatus.CONNECT_FAILED, latency_ms=4)
            elif server.startswith("r"):
                harness.outcome(name, AttemptStatus.PREFILLED)
            else:
                harness.first_token(name)
                harness.outcome(name, AttemptStatus.OK, request_ended=True)
                results["served"] += 1
                break
            results["lost"] += not sent_to(harness.last_actions)
    assert results == {"served": 40, "lost": 0}


def test_attempts_at_lost_servers_decrease_until_the_list_is_updated() -> None:
    harness, attempts = new_harness(), Counter[int]()
    for number in range(80):
        harness.now_ms += 50
        harness.request(f"q{number}", session=number)
        while harness.server_of[f"q{number}"] == "r0":
            attempts[number // 20] += 1
            harness.outcome(f"q{number}", AttemptStatus.CONNECT_FAILED, latency_ms=4)
    assert sum(attempts[k] for k in (1, 2, 3)) <= 6


def test_restarted_router_serves_from_persisted_list_until_it_is_updated() -> None:
    original = new_harness()
    for number in range(10):
        original.serve(f"a{number}", session=number)
    # The persisted list is outdated: r0 is gone and w0 has been restarted cold.
    restarted = new_harness(seed=2)
    restarted.request("b", session=3)
    assert sent_to(restarted.last_actions)
    cold = replace(server_entry("w0", 1, 0), started_ms=restarted.now_ms - 500)
    remaining = tuple(each for each in FLEET if each.server not in ("r0", "w0"))
    restarted.deliver(EndpointUpdate(EndpointUpdateKind.FULL, 2, (*remaining, cold)))
    assert {restarted.prefill(f"c{number}", session=number) for number in range(20)} <= {"r1", "r2", "r3"}
    assert [restarted.server_of[f"c{number}"] for number in range(20)].count("w0") < 5
