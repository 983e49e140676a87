"""A mixed server has a prefill queue of its own: its streams slow that queue but are not in it."""

from __future__ import annotations

import pytest

from ringledge.routing.interface import (
    AttemptStatus,
    FirstToken,
    Role,
    TimerFired,
    TimerName,
)
from ringledge.routing.prefill import random_weight
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


def first_in_rank(key: int) -> str:
    servers = RouterHarness(FLEET).policy.fleet.servers
    return max(NAMES, key=lambda name: random_weight(f"p{key}", servers[name]))


HOMED = next(key for key in range(1, 99) if first_in_rank(key) == "m0")
PREFIX = {"prefix": HOMED, "prefix_tokens": 4_000, "prompt_tokens": 5_000}


def world(seed: int = 1) -> RouterHarness:
    """A router that knows the pace, and that the mixed server, which alone decodes, caches the prefix."""
    w = RouterHarness(FLEET, seed)
    w.policy.estimates.prefill_ms_per_token = 0.05
    for role in Role:
        w.policy.estimates.completions[role].extend([w.now_ms] * 8)
    w.policy.fleet.servers["m0"].cached_prefixes[HOMED] = w.now_ms
    return w


def stream(w: RouterHarness, streams: int) -> None:
    """Start streams at the mixed server whose prompts were prefilled elsewhere."""
    for number in range(streams):
        name = f"s{number}"
        w.request(name, session=5_000 + number, prompt_tokens=3_000, max_output_tokens=200)
        assert w.server_of[name] != "m0"  # long and not cached
        w.outcome(name, AttemptStatus.PREFILLED)
        w.first_token(name)
        assert w.server_of[name] == "m0"


@pytest.mark.parametrize("seed", range(4))
def test_streams_do_not_count_as_prefill_queue_of_mixed_server(seed: int) -> None:
    """9,300 tokens stream: as a queue they would take 470 ms, the prefix elsewhere is prefilled in 200."""
    w = world(seed)
    stream(w, 3)
    w.request("q", session=1, **PREFIX)
    assert w.server_of["q"] == "m0"


def test_in_place_prefill_counts_as_queue_until_first_token() -> None:
    w = world()
    m0 = w.policy.fleet.servers["m0"]
    w.request("q", session=1, **PREFIX)
    assert (w.server_of["q"], m0.prefill_tokens) == ("m0", 1_000)
    w.first_token("q")
    assert m0.prefill_tokens == 0
    assert m0.pending_tokens == 5_200  # prompt and half of the most that it may answer: memory held
    w.outcome("q", AttemptStatus.OK, request_ended=True)
    assert (m0.prefill_tokens, m0.pending_tokens) == (0, 0)


def test_in_place_prefill_timeout_includes_its_queue() -> None:
    """Three prefills of 250 ms each: the last is not called silent after half of the target of 1 s."""
    w = world()
    for name in ("r0", "r1"):
        w.policy.fleet.servers[name].delay.add(w.now_ms, 5_000)
    for number in range(3):
        w.request(f"q{number}", session=number, **(PREFIX | {"prompt_tokens": 9_000}))
    assert {w.server_of[f"q{number}"] for number in range(3)} == {"m0"}
    w.now_ms += 700
    assert not cancels_attempt(w.deliver(TimerFired(f"{TimerName.WATCH}:q2")))
    w.now_ms += 4_000
    assert cancels_attempt(w.deliver(TimerFired(f"{TimerName.WATCH}:q2")))


def test_first_token_after_a_fetch_is_not_a_prefill_delay_sample() -> None:
    w = world()
    m0 = w.policy.fleet.servers["m0"]
    w.request("q", session=1, **PREFIX)
    w.now_ms += 700
    w.deliver(FirstToken("q", 0, "m0", 700))
    slow_ms = m0.prefill_delay.value(w.now_ms)
    assert slow_ms > 300
    stream(w, 10)
    assert m0.prefill_delay.value(w.now_ms) == pytest.approx(slow_ms)
    assert m0.delay.value(w.now_ms) < 60


def test_retry_after_lost_connection_counts_prefill_tokens_once() -> None:
    w = world()
    for name in ("r0", "r1"):
        w.policy.fleet.servers[name].cached_prefixes[HOMED] = w.now_ms
    w.request("q", session=1, **PREFIX)
    assert sent_to(w.outcome("q", AttemptStatus.CONNECT_FAILED, latency_ms=2))
    counted = {name: server.prefill_tokens for name, server in w.policy.fleet.servers.items()}
    assert counted == {name: 1_000 if name == w.server_of["q"] else 0 for name in counted}
