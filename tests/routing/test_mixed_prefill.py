"""Prefill queue of a mixed server: its streams slow the queue but are not part of it."""

from __future__ import annotations

import pytest

from ringledge.routing.interface import (
    AttemptStatus,
    FirstToken,
    Role,
    TimerFired,
    TimerName,
)
from ringledge.routing.rendezvous import random_weight
from tests.router_harness import (
    MIXED_KIND,
    PREFILL_KIND,
    RouterHarness,
    cancels_attempt,
    sent_to,
    server_entry,
)

FLEET = (
    server_entry("m0", MIXED_KIND),
    server_entry("r0", PREFILL_KIND),
    server_entry("r1", PREFILL_KIND, 1),
)
NAMES = ("m0", "r0", "r1")


def first_ranked(key: int) -> str:
    servers = RouterHarness(FLEET).policy.fleet.servers
    return max(NAMES, key=lambda name: random_weight(f"p{key}", servers[name]))


MIXED_FIRST_PREFIX = next(key for key in range(1, 99) if first_ranked(key) == "m0")
PREFIX = {"prefix": MIXED_FIRST_PREFIX, "prefix_tokens": 4_000, "prompt_tokens": 5_000}


def mixed_harness(seed: int = 1) -> RouterHarness:
    """Return a router with a known prefill rate, whose only decoding server has cached the prefix."""
    harness = RouterHarness(FLEET, seed)
    harness.policy.estimates.prefill_ms_per_token = 0.05
    for role in Role:
        harness.policy.estimates.completions[role].extend([harness.now_ms] * 8)
    harness.policy.fleet.servers["m0"].cached_prefixes[MIXED_FIRST_PREFIX] = harness.now_ms
    return harness


def start_streams(harness: RouterHarness, count: int) -> None:
    """Start streams on the mixed server whose prompts were prefilled elsewhere."""
    for number in range(count):
        name = f"s{number}"
        harness.request(name, session=5_000 + number, prompt_tokens=3_000, max_output_tokens=200)
        assert harness.server_of[name] != "m0"  # long and not cached
        harness.outcome(name, AttemptStatus.PREFILLED)
        harness.first_token(name)
        assert harness.server_of[name] == "m0"


@pytest.mark.parametrize("seed", range(4))
def test_streams_do_not_count_as_prefill_queue_of_mixed_server(seed: int) -> None:
    """As a prefill queue the 9,300 streaming tokens would take 470 ms. Elsewhere a prefill takes 200 ms."""
    harness = mixed_harness(seed)
    start_streams(harness, 3)
    harness.request("q", session=1, **PREFIX)
    assert harness.server_of["q"] == "m0"


def test_in_place_prefill_counts_as_queue_until_first_token() -> None:
    harness = mixed_harness()
    m0 = harness.policy.fleet.servers["m0"]
    harness.request("q", session=1, **PREFIX)
    assert (harness.server_of["q"], m0.prefill_tokens) == ("m0", 1_000)
    harness.first_token("q")
    assert m0.prefill_tokens == 0
    assert m0.pending_tokens == 5_200  # prompt and half of the maximum output
    harness.outcome("q", AttemptStatus.OK, request_ended=True)
    assert (m0.prefill_tokens, m0.pending_tokens) == (0, 0)


def test_in_place_prefill_timeout_includes_its_queue() -> None:
    """The last of three prefills of 250 ms each does not time out after half of the 1 s target."""
    harness = mixed_harness()
    for name in ("r0", "r1"):
        harness.policy.fleet.servers[name].delay.add(harness.now_ms, 5_000)
    for number in range(3):
        harness.request(f"q{number}", session=number, **(PREFIX | {"prompt_tokens": 9_000}))
    assert {harness.server_of[f"q{number}"] for number in range(3)} == {"m0"}
    harness.now_ms += 700
    assert not cancels_attempt(harness.deliver(TimerFired(f"{TimerName.WATCH}:q2")))
    harness.now_ms += 4_000
    assert cancels_attempt(harness.deliver(TimerFired(f"{TimerName.WATCH}:q2")))


def test_first_token_after_a_fetch_is_not_a_prefill_delay_sample() -> None:
    harness = mixed_harness()
    m0 = harness.policy.fleet.servers["m0"]
    harness.request("q", session=1, **PREFIX)
    harness.now_ms += 700
    harness.deliver(FirstToken("q", 0, "m0", 700))
    slow_ms = m0.prefill_delay.value(harness.now_ms)
    assert slow_ms > 300
    start_streams(harness, 10)
    assert m0.prefill_delay.value(harness.now_ms) == pytest.approx(slow_ms)
    assert m0.delay.value(harness.now_ms) < 60


def test_retry_after_lost_connection_counts_prefill_tokens_once() -> None:
    harness = mixed_harness()
    for name in ("r0", "r1"):
        harness.policy.fleet.servers[name].cached_prefixes[MIXED_FIRST_PREFIX] = harness.now_ms
    harness.request("q", session=1, **PREFIX)
    assert sent_to(harness.outcome("q", AttemptStatus.CONNECT_FAILED, latency_ms=2))
    counted = {name: server.prefill_tokens for name, server in harness.policy.fleet.servers.items()}
    assert counted == {name: 1_000 if name == harness.server_of["q"] else 0 for name in counted}
