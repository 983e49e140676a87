"""Servers that batch many requests and cache long shared prefixes: selection and shedding."""

from __future__ import annotations

import math
import random
from collections import Counter
from dataclasses import replace

import pytest

from ringledge.routing.interface import (
    AttemptStatus,
    EndpointUpdate,
    EndpointUpdateKind,
    FirstToken,
    Idempotency,
    LoadReport,
    LoadReportSource,
    Role,
    ServerEntry,
    ServerKind,
)
from tests.router_harness import (
    DECODE_KIND,
    FLEET,
    IDEMPOTENT,
    MIXED_KIND,
    PREFILL_KIND,
    RouterHarness,
    final_answers,
    sent_to,
    server_entry,
)

PREFIX = {"prefix": 11, "prefix_tokens": 5_000, "prompt_tokens": 6_000}
MIXED_FLEET = tuple(server_entry(f"m{n}", MIXED_KIND, n // 2) for n in range(4))
BOTH = (*FLEET[:4], *MIXED_FLEET)
HIGH_PRIORITY = replace(IDEMPOTENT, priority_weight=3.0, idempotency=Idempotency.NON_IDEMPOTENT)
INVALID_REPORTS = (
    None,
    LoadReport(),
    LoadReport(memory_share=-3.0, pending_kilotokens=-50.0),
    LoadReport(1e9, 1e9, 1e9, 1e9, 1e9, 1e9),
    LoadReport(memory_share=math.nan, pending_kilotokens=math.inf),
)


def with_known_rate(w: RouterHarness, pace_ms: float = 0.05) -> RouterHarness:
    """Let a router know the pace, and that all roles have got work done."""
    w.policy.estimates.prefill_ms_per_token = pace_ms
    for role in Role:
        w.policy.estimates.completions[role].extend([w.now_ms] * 8)
    return w


def finish(w: RouterHarness, name: str, load: LoadReport | None = None) -> None:
    """Answer for whatever servers a request is sent to, to its end."""
    if w.policy.fleet.servers[w.server_of[name]].role == Role.PREFILL:
        w.outcome(name, AttemptStatus.PREFILLED, load=load)
    w.first_token(name)
    w.outcome(name, AttemptStatus.OK, request_ended=True, load=load)


def test_hot_prefix_is_prefilled_at_one_or_two_servers_by_all_routers() -> None:
    routers = [with_known_rate(RouterHarness(BOTH, seed, router=seed, routers=4)) for seed in range(4)]
    selected = Counter[str]()
    for number in range(20):
        for w in routers:
            w.now_ms += 50
            w.request(f"q{number}", session=number, **PREFIX)
            selected[w.server_of[f"q{number}"]] += 1
            finish(w, f"q{number}")
    assert len(selected) <= 2
    assert selected.total() == 80


def test_replaced_cold_server_with_affinities_is_not_overloaded_and_nothing_is_rejected() -> None:
    w = with_known_rate(RouterHarness())
    w.request("first", session=0, **PREFIX)
    home = w.server_of["first"]
    finish(w, "first")
    old = next(each for each in FLEET if each.server == home)
    cold = replace(old, started_ms=w.now_ms)
    w.deliver(EndpointUpdate(EndpointUpdateKind.CHANGES, 2, (cold,)))
    selected = Counter[str]()
    for number in range(60):  # in 600 ms, beside another router
        w.now_ms += 10
        assert not final_answers(w.request(f"q{number}", session=number, **PREFIX))
        selected[w.server_of[f"q{number}"]] += 1
        finish(w, f"q{number}")
    assert selected[home] < 20
    assert len(selected) > 1


def test_mixed_server_with_full_memory_gets_no_kv_cache_entry() -> None:
    kinds = tuple(ServerKind(role, 100_000.0) for role in (Role.PREFILL, Role.DECODE, Role.MIXED))
    w = with_known_rate(
        RouterHarness(
            (
                server_entry("r0", PREFILL_KIND),
                server_entry("m0", MIXED_KIND),
                server_entry("m1", MIXED_KIND),
            ),
            kinds=kinds,
            routers=1,
        )
    )
    w.policy.fleet.servers["m0"].pending_tokens = 120_000.0
    for number in range(12):
        w.prefill(f"q{number}", session=number, prompt_tokens=3_000)
        assert w.server_of[f"q{number}"] == "m1"
        w.first_token(f"q{number}")
        w.outcome(f"q{number}", AttemptStatus.OK, request_ended=True)


@pytest.mark.parametrize("seed", range(4))
def test_long_prompt_is_sent_to_a_prefill_server_and_short_prompts_avoid_it(seed: int) -> None:
    long_target = replace(IDEMPOTENT, target_per_1000_tokens_ms=85)
    w = with_known_rate(RouterHarness(BOTH, seed, classes=(long_target,)))
    w.request("long", session=1, prompt_tokens=60_000, expires_in_ms=15_000)
    behind = w.server_of["long"]
    assert w.policy.fleet.servers[behind].role == Role.PREFILL
    for number in range(20):
        w.request(f"q{number}", session=100 + number, prompt_tokens=600)
        assert w.server_of[f"q{number}"] != behind
        finish(w, f"q{number}")


@pytest.mark.parametrize("load", INVALID_REPORTS)
def test_missing_or_invalid_load_report_changes_no_selection(load: LoadReport | None) -> None:
    plays = []
    for told in (LoadReport(memory_share=0.2, pending_kilotokens=3.0), load):
        w, selected = with_known_rate(RouterHarness(BOTH, reports=LoadReportSource.RESPONSES)), []
        for number in range(40):
            w.now_ms += 30
            w.request(f"q{number}", session=number // 2, **PREFIX)
            selected.append(w.server_of[f"q{number}"])
            finish(w, f"q{number}", told)
        plays.append(selected)
    assert plays[0] == plays[1]


def test_class_of_lower_priority_weight_is_shed_first_at_equal_targets() -> None:
    refused = Counter[int]()
    for seed in range(40):
        w = with_known_rate(RouterHarness(seed=seed, classes=(IDEMPOTENT, HIGH_PRIORITY)))
        for server in w.policy.fleet.servers.values():
            server.delay.add(w.now_ms, 0.0)
            server.delay.mean = 850.0
        for index in (0, 1):
            refused[index] += bool(final_answers(w.request(f"q{index}", class_index=index, session=index)))
    assert refused[0] > 10 > refused[1]


@pytest.mark.parametrize(
    "fleet", [FLEET, MIXED_FLEET, tuple(server_entry(f"w{n}", DECODE_KIND) for n in range(3))]
)
@pytest.mark.parametrize("decode_may_prefill", [False, True])
def test_any_mix_of_server_kinds_serves_requests_it_is_able_to(
    fleet: tuple[ServerEntry, ...], decode_may_prefill: bool
) -> None:
    w = with_known_rate(RouterHarness(fleet, decode_may_prefill=decode_may_prefill))
    can = fleet[0].kind != DECODE_KIND or decode_may_prefill
    for number in range(30):
        w.now_ms += 40
        w.request(f"q{number}", session=number, **PREFIX)
        assert bool(sent_to(w.last_actions)) == can
        if can:
            assert can and (fleet != FLEET or w.server_of[f"q{number}"].startswith("r"))
            finish(w, f"q{number}")


def test_large_output_token_bound_sheds_nothing_while_memory_is_free() -> None:
    kinds = tuple(ServerKind(role, 450_000.0) for role in (Role.PREFILL, Role.DECODE, Role.MIXED))
    w = with_known_rate(RouterHarness(BOTH, kinds=kinds, routers=3))
    for number in range(10):
        w.request(f"q{number}", session=number, prompt_tokens=1_000, max_output_tokens=60_000)
        assert sent_to(w.last_actions)
        finish(w, f"q{number}")


def scaled_selections(times: float) -> list[str]:
    """Where requests go when all times, paces, targets and deadlines too, are so many times as long."""
    slow = replace(
        IDEMPOTENT,
        target_ms=times * 1000,
        deadline_ms=times * 5000,
        target_token_ms=times * 50,
        target_per_1000_tokens_ms=times * 85,
    )
    w = with_known_rate(RouterHarness(BOTH, classes=(slow,), tick_ms=times * 2), times * 0.05)
    rng, selected = random.Random(5), list[str]()
    for number in range(120):
        w.now_ms += times * rng.uniform(2, 8)  # within a second in all: nothing has faded by then
        name, length = f"q{number}", rng.choice([600, 6_000, 20_000])
        known = {"prefix": number % 5 + 1, "prefix_tokens": 500 if length == 600 else 5_000}
        w.request(name, session=number % 30, prompt_tokens=length, expires_in_ms=times * 5000, **known)
        selected.append(w.server_of[name])
        if w.policy.fleet.servers[w.server_of[name]].role == Role.PREFILL:
            w.outcome(name, AttemptStatus.PREFILLED, latency_ms=times * rng.uniform(20, 120))
            selected.append(w.server_of[name])
        w.deliver(FirstToken(name, w.attempts[name], w.server_of[name], times * rng.uniform(20, 60)))
        if rng.random() < 0.7:
            w.outcome(name, AttemptStatus.OK, request_ended=True)
    return selected


def test_selections_are_invariant_when_all_times_scale() -> None:
    assert len(set(scaled_selections(1))) > 5
    assert scaled_selections(0.1) == scaled_selections(1)
