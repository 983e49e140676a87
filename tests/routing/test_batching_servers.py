"""Selection and shedding for servers that batch many requests and cache long shared prefixes."""

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
    set_pending_tokens,
)

PREFIX = {"prefix": 11, "prefix_tokens": 5_000, "prompt_tokens": 6_000}
MIXED_FLEET = tuple(server_entry(f"m{n}", MIXED_KIND, n // 2) for n in range(4))
HETEROGENEOUS_FLEET = (*FLEET[:4], *MIXED_FLEET)
HIGH_PRIORITY = replace(IDEMPOTENT, priority_weight=3.0, idempotency=Idempotency.NON_IDEMPOTENT)
INVALID_REPORTS = (
    None,
    LoadReport(),
    LoadReport(memory_share=-3.0, pending_kilotokens=-50.0),
    LoadReport(1e9, 1e9, 1e9, 1e9, 1e9, 1e9),
    LoadReport(memory_share=math.nan, pending_kilotokens=math.inf),
)


def with_known_rate(harness: RouterHarness, ms_per_token: float = 0.05) -> RouterHarness:
    """Give a router a known prefill rate and completed requests of all roles."""
    harness.policy.estimates.prefill_ms_per_token = ms_per_token
    for role in Role:
        harness.policy.estimates.completions[role].extend([harness.now_ms] * 8)
    return harness


def complete(harness: RouterHarness, name: str, load: LoadReport | None = None) -> None:
    """Complete a request at the servers that it is sent to."""
    if harness.policy.fleet.servers[harness.server_of[name]].role == Role.PREFILL:
        harness.outcome(name, AttemptStatus.PREFILLED, load=load)
    harness.first_token(name)
    harness.outcome(name, AttemptStatus.OK, request_ended=True, load=load)


def test_hot_prefix_is_prefilled_at_one_or_two_servers_by_all_routers() -> None:
    routers = [
        with_known_rate(RouterHarness(HETEROGENEOUS_FLEET, seed, router=seed, routers=4)) for seed in range(4)
    ]
    selected = Counter[str]()
    for number in range(20):
        for harness in routers:
            harness.now_ms += 50
            harness.request(f"q{number}", session=number, **PREFIX)
            selected[harness.server_of[f"q{number}"]] += 1
            complete(harness, f"q{number}")
    assert len(selected) <= 2
    assert selected.total() == 80


def test_replaced_cold_server_with_affinities_is_not_overloaded_and_nothing_is_rejected() -> None:
    harness = with_known_rate(RouterHarness())
    harness.request("first", session=0, **PREFIX)
    prefill_server = harness.server_of["first"]
    complete(harness, "first")
    old = next(each for each in FLEET if each.server == prefill_server)
    cold = replace(old, started_ms=harness.now_ms)
    harness.deliver(EndpointUpdate(EndpointUpdateKind.CHANGES, 2, (cold,)))
    selected = Counter[str]()
    for number in range(60):  # in 600 ms, at one of two routers
        harness.now_ms += 10
        assert not final_answers(harness.request(f"q{number}", session=number, **PREFIX))
        selected[harness.server_of[f"q{number}"]] += 1
        complete(harness, f"q{number}")
    assert selected[prefill_server] < 20
    assert len(selected) > 1


def test_mixed_server_with_full_memory_gets_no_kv_cache_entry() -> None:
    kinds = tuple(ServerKind(role, 100_000.0) for role in (Role.PREFILL, Role.DECODE, Role.MIXED))
    harness = with_known_rate(
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
    set_pending_tokens(harness, "m0", 120_000.0)
    for number in range(12):
        harness.prefill(f"q{number}", session=number, prompt_tokens=3_000)
        assert harness.server_of[f"q{number}"] == "m1"
        harness.first_token(f"q{number}")
        harness.outcome(f"q{number}", AttemptStatus.OK, request_ended=True)


@pytest.mark.parametrize("seed", range(4))
def test_long_prompt_is_sent_to_a_prefill_server_and_short_prompts_avoid_it(seed: int) -> None:
    long_target = replace(IDEMPOTENT, target_per_1000_tokens_ms=85)
    harness = with_known_rate(RouterHarness(HETEROGENEOUS_FLEET, seed, classes=(long_target,)))
    harness.request("long", session=1, prompt_tokens=60_000, expires_in_ms=15_000)
    long_prompt_server = harness.server_of["long"]
    assert harness.policy.fleet.servers[long_prompt_server].role == Role.PREFILL
    for number in range(20):
        harness.request(f"q{number}", session=100 + number, prompt_tokens=600)
        assert harness.server_of[f"q{number}"] != long_prompt_server
        complete(harness, f"q{number}")


@pytest.mark.parametrize("load", INVALID_REPORTS)
def test_missing_or_invalid_load_report_changes_no_selection(load: LoadReport | None) -> None:
    runs = []
    for report in (LoadReport(memory_share=0.2, pending_kilotokens=3.0), load):
        harness, selected = (
            with_known_rate(RouterHarness(HETEROGENEOUS_FLEET, reports=LoadReportSource.RESPONSES)),
            [],
        )
        for number in range(40):
            harness.now_ms += 30
            harness.request(f"q{number}", session=number // 2, **PREFIX)
            selected.append(harness.server_of[f"q{number}"])
            complete(harness, f"q{number}", report)
        runs.append(selected)
    assert runs[0] == runs[1]


def test_class_of_lower_priority_weight_is_shed_first_at_equal_targets() -> None:
    rejections = Counter[int]()
    for seed in range(40):
        harness = with_known_rate(RouterHarness(seed=seed, classes=(IDEMPOTENT, HIGH_PRIORITY)))
        for server in harness.policy.fleet.servers.values():
            server.delay.add(harness.now_ms, 0.0)
            server.delay.mean = 850.0
        for index in (0, 1):
            rejections[index] += bool(
                final_answers(harness.request(f"q{index}", class_index=index, session=index))
            )
    assert rejections[0] > 10 > rejections[1]


@pytest.mark.parametrize(
    "fleet", [FLEET, MIXED_FLEET, tuple(server_entry(f"w{n}", DECODE_KIND) for n in range(3))]
)
@pytest.mark.parametrize("decode_may_prefill", [False, True])
def test_any_mix_of_server_kinds_serves_requests_it_is_able_to(
    fleet: tuple[ServerEntry, ...], decode_may_prefill: bool
) -> None:
    harness = with_known_rate(RouterHarness(fleet, decode_may_prefill=decode_may_prefill))
    servable = fleet[0].kind != DECODE_KIND or decode_may_prefill
    for number in range(30):
        harness.now_ms += 40
        harness.request(f"q{number}", session=number, **PREFIX)
        assert bool(sent_to(harness.last_actions)) == servable
        if servable:
            assert servable and (fleet != FLEET or harness.server_of[f"q{number}"].startswith("r"))
            complete(harness, f"q{number}")


def test_large_output_token_bound_sheds_nothing_while_memory_is_free() -> None:
    kinds = tuple(ServerKind(role, 450_000.0) for role in (Role.PREFILL, Role.DECODE, Role.MIXED))
    harness = with_known_rate(RouterHarness(HETEROGENEOUS_FLEET, kinds=kinds, routers=3))
    for number in range(10):
        harness.request(f"q{number}", session=number, prompt_tokens=1_000, max_output_tokens=60_000)
        assert sent_to(harness.last_actions)
        complete(harness, f"q{number}")


def scaled_selections(factor: float) -> list[str]:
    """Return the selected servers if all times, rates, targets and deadlines are scaled by a factor."""
    slow = replace(
        IDEMPOTENT,
        target_ms=factor * 1000,
        deadline_ms=factor * 5000,
        target_token_ms=factor * 50,
        target_per_1000_tokens_ms=factor * 85,
    )
    harness = with_known_rate(
        RouterHarness(HETEROGENEOUS_FLEET, classes=(slow,), tick_ms=factor * 2), factor * 0.05
    )
    rng, selected = random.Random(5), list[str]()
    for number in range(120):
        # At most 1 s in total, so that no estimate decays much.
        harness.now_ms += factor * rng.uniform(2, 8)
        name, length = f"q{number}", rng.choice([600, 6_000, 20_000])
        prefix = {"prefix": number % 5 + 1, "prefix_tokens": 500 if length == 600 else 5_000}
        harness.request(
            name, session=number % 30, prompt_tokens=length, expires_in_ms=factor * 5000, **prefix
        )
        selected.append(harness.server_of[name])
        if harness.policy.fleet.servers[harness.server_of[name]].role == Role.PREFILL:
            harness.outcome(name, AttemptStatus.PREFILLED, latency_ms=factor * rng.uniform(20, 120))
            selected.append(harness.server_of[name])
        harness.deliver(
            FirstToken(name, harness.attempts[name], harness.server_of[name], factor * rng.uniform(20, 60))
        )
        if rng.random() < 0.7:
            harness.outcome(name, AttemptStatus.OK, request_ended=True)
    return selected


def test_selections_are_invariant_when_all_times_scale() -> None:
    assert len(set(scaled_selections(1))) > 5
    assert scaled_selections(0.1) == scaled_selections(1)
