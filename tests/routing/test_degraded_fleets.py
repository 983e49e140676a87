"""The second deployment: slow and lost servers, late lists, restarts; and no hedged requests."""

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
ONCE = RequestClass(2500, 10_000, Idempotency.NON_IDEMPOTENT, priority_weight=3, target_token_ms=80)


def world(seed: int = 1, fleet: tuple[ServerEntry, ...] = FLEET) -> RouterHarness:
    return RouterHarness(
        fleet, seed, kinds=KINDS, classes=(IDEMPOTENT, ONCE), hedging_allowed=True, may_probe=True
    )


def outcome(w: RouterHarness, name: str, rng: random.Random) -> bool:
    """End the attempt that is out in any of the ways that its server may; say whether it may have run."""
    reads = w.server_of[name].startswith("r")
    ways = [AttemptStatus.PREFILLED] * 4 if reads else [AttemptStatus.OK] * 2
    status = rng.choice(
        [*ways, AttemptStatus.ERROR, AttemptStatus.FULL, AttemptStatus.TIMEOUT, AttemptStatus.RESET]
    )
    w.outcome(name, status, request_ended=status == AttemptStatus.OK, latency_ms=rng.uniform(10, 900))
    return not reads and status != AttemptStatus.FULL


@pytest.mark.parametrize("seed", range(6))
def test_requests_are_never_hedged(seed: int) -> None:
    """At no moment two attempts of one request; one that must run once goes nowhere once it may have run."""
    rng, w = random.Random(seed), world(seed)
    out, ran = set[str](), set[str]()
    kinds = dict[str, int]()

    def follow(actions: list[RoutingAction]) -> None:
        for action in actions:
            if isinstance(action, SendAttempt):
                assert action.request not in out
                assert action.request not in ran or kinds[action.request] == 0
                out.add(action.request)

    for number in range(600):
        follow(w.advance(rng.expovariate(1 / 60)))
        if rng.random() < 0.4 or not out:
            kinds[f"q{number}"] = rng.randrange(2)
            follow(w.request(f"q{number}", class_index=kinds[f"q{number}"], session=rng.randrange(30)))
        else:
            name = rng.choice(sorted(out))
            out.discard(name)
            if outcome(w, name, rng):
                ran.add(name)
            follow(w.last_actions)
    assert len(kinds) > 200


def test_prefill_server_five_times_slower_is_avoided() -> None:
    w = world()
    slow, went = "r0", Counter[str]()
    for number in range(240):
        w.request(f"q{number}", session=1000 + number)
        server = w.server_of[f"q{number}"]
        went[server] += number >= 120
        w.now_ms += 100
        w.outcome(f"q{number}", AttemptStatus.PREFILLED, latency_ms=500 if server == slow else 100)
        w.first_token(f"q{number}")
        w.outcome(f"q{number}", AttemptStatus.OK, request_ended=True)
    assert went[slow] < 0.6 * went.total() / 4


def test_losing_a_quarter_of_servers_fails_no_repeatable_request() -> None:
    w = world()
    gone, finals = {"r0", "w0"}, Counter[str]()
    for number in range(40):  # 4 s until the list tells
        w.now_ms += 100
        name = f"q{number}"
        w.request(name, session=number)
        for _ in range(4):
            server = w.server_of[name]
            if server in gone:
                w.outcome(name, AttemptStatus.CONNECT_FAILED, latency_ms=4)
            elif server.startswith("r"):
                w.outcome(name, AttemptStatus.PREFILLED)
            else:
                w.first_token(name)
                w.outcome(name, AttemptStatus.OK, request_ended=True)
                finals["served"] += 1
                break
            finals["lost"] += not sent_to(w.last_actions)
    assert finals == {"served": 40, "lost": 0}


def test_attempts_at_lost_servers_decrease_until_the_list_is_updated() -> None:
    w, tried = world(), Counter[int]()
    for number in range(80):
        w.now_ms += 50
        w.request(f"q{number}", session=number)
        while w.server_of[f"q{number}"] == "r0":
            tried[number // 20] += 1
            w.outcome(f"q{number}", AttemptStatus.CONNECT_FAILED, latency_ms=4)
    assert sum(tried[k] for k in (1, 2, 3)) <= 6


def test_restarted_router_serves_from_persisted_list_until_it_is_updated() -> None:
    first = world()
    for number in range(10):
        first.serve(f"a{number}", session=number)
    restarted = world(seed=2)  # the list of before: one server has gone since, one has come back cold
    restarted.request("b", session=3)
    assert sent_to(restarted.last_actions)
    cold = replace(server_entry("w0", 1, 0), started_ms=restarted.now_ms - 500)
    left = tuple(each for each in FLEET if each.server not in ("r0", "w0"))
    restarted.deliver(EndpointUpdate(EndpointUpdateKind.FULL, 2, (*left, cold)))
    assert {restarted.prefill(f"c{number}", session=number) for number in range(20)} <= {"r1", "r2", "r3"}
    assert [restarted.server_of[f"c{number}"] for number in range(20)].count("w0") < 5
