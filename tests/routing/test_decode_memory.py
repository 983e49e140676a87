"""Selection of decode servers and shedding by tokens in flight relative to the servers' memory."""

from __future__ import annotations

from collections import Counter
from typing import Any

import pytest

from ringledge.routing.interface import (
    AttemptStatus,
    ClientDisconnected,
    Idempotency,
    RequestClass,
    Role,
    ServerKind,
)
from tests.router_harness import (
    FLEET,
    IDEMPOTENT,
    RouterHarness,
    final_answers,
    sent_to,
    server_entry,
    set_pending_tokens,
)

MEMORY = 100_000.0
KINDS = (ServerKind(Role.PREFILL, MEMORY), ServerKind(Role.DECODE, MEMORY))
HIGH_PRIORITY = RequestClass(1000, 5000, Idempotency.NON_IDEMPOTENT, priority_weight=3, target_token_ms=50)
UNBALANCED_FLEET = (
    server_entry("r0", 0, 0),
    server_entry("w0", 1, 0),
    *(server_entry(f"w{n}", 1, 1) for n in range(1, 5)),
)
LARGE_REQUEST = {"prompt_tokens": 9_000, "max_output_tokens": 2_000}  # 10,000 pending tokens on its server


def memory_harness(seed: int = 1, **settings: Any) -> RouterHarness:
    return RouterHarness(FLEET, seed, kinds=KINDS, classes=(IDEMPOTENT, HIGH_PRIORITY), routers=1, **settings)


def start_stream(harness: RouterHarness, name: str, **fields: Any) -> str:
    """Serve a request until its first token; return the decode server."""
    harness.prefill(name, **(LARGE_REQUEST | {"session": session_of(name)} | fields))
    harness.first_token(name)
    return harness.server_of[name]


def session_of(name: str) -> int:
    return sum(map(ord, name))


@pytest.mark.parametrize("seed", range(6))
def test_decode_server_with_full_memory_is_avoided(seed: int) -> None:
    harness = memory_harness(seed)
    harness.request("q", **LARGE_REQUEST, class_index=1)
    for n in range(4):
        same_cell = (
            harness.policy.fleet.servers[f"w{n}"].entry.cell
            == harness.policy.fleet.servers[harness.server_of["q"]].entry.cell
        )
        set_pending_tokens(harness, f"w{n}", (1.1 if same_cell else 0.8) * MEMORY)
    prefill_server = harness.policy.fleet.servers[harness.server_of["q"]]
    harness.outcome("q", AttemptStatus.PREFILLED)
    assert harness.policy.fleet.servers[harness.server_of["q"]].entry.cell != prefill_server.entry.cell


def test_kv_cache_entry_is_sent_on_when_all_memory_is_full() -> None:
    harness = memory_harness()
    harness.request("q", **LARGE_REQUEST, class_index=1)
    for n in range(4):
        set_pending_tokens(harness, f"w{n}", 2 * MEMORY)
    assert sent_to(harness.outcome("q", AttemptStatus.PREFILLED))


def test_lower_priority_is_rejected_first_when_decode_memory_is_short() -> None:
    """One class is shed from 90% of the memory on, the other from 100% on."""
    harness = memory_harness()
    shed_from: dict[int, int] = {}
    for share in range(80, 121, 2):
        for n in range(4):
            set_pending_tokens(harness, f"w{n}", share / 100 * MEMORY)
        for index in (0, 1):
            if final_answers(harness.request(f"{share}.{index}", class_index=index)):
                shed_from.setdefault(index, share)
            harness.deliver(ClientDisconnected(f"{share}.{index}"))
            harness.policy.requests.clear()
            for server in harness.policy.fleet.servers.values():
                server.in_flight.clear()
    assert 90 <= shed_from[0] < shed_from[1] <= 110


def test_unknown_memory_size_rejects_nothing() -> None:
    harness = RouterHarness(classes=(IDEMPOTENT, HIGH_PRIORITY), routers=1)
    for n in range(4):
        set_pending_tokens(harness, f"w{n}", 100 * MEMORY)
    assert sent_to(harness.request("q", **LARGE_REQUEST))


@pytest.mark.parametrize("seed", range(3))
def test_few_streams_of_one_of_many_routers_do_not_count_as_full_fleet(seed: int) -> None:
    fleet = [server_entry(f"r{n}", 0, n // 4) for n in range(40)] + [
        server_entry(f"w{n}", 1, n // 4) for n in range(40)
    ]
    harness = RouterHarness(tuple(fleet), seed, kinds=KINDS, classes=(IDEMPOTENT, HIGH_PRIORITY), routers=200)
    for n in range(4):  # from 200 such routers this is twice the memory of all decode servers
        start_stream(harness, f"q{n}")
    assert sent_to(harness.request("last", **LARGE_REQUEST))


@pytest.mark.parametrize("seed", range(3))
def test_uncongested_cell_keeps_its_kv_cache_entries(seed: int) -> None:
    """With one decode server in the cell and four outside, random load differences cause no transfer."""
    harness = RouterHarness(
        UNBALANCED_FLEET, seed, kinds=KINDS, classes=(IDEMPOTENT, HIGH_PRIORITY), routers=1
    )
    selected = Counter(start_stream(harness, f"q{n}", prompt_tokens=1_000) for n in range(12))
    assert selected == {"w0": 12}


def test_congested_cell_sends_kv_cache_entries_elsewhere() -> None:
    harness = RouterHarness(UNBALANCED_FLEET, kinds=KINDS, classes=(IDEMPOTENT, HIGH_PRIORITY), routers=1)
    harness.policy.fleet.servers["w0"].delay.add(harness.now_ms, 3_000)
    set_pending_tokens(harness, "w0", 20_000)
    assert {start_stream(harness, f"q{n}") for n in range(6)} & {"w1", "w2", "w3", "w4"}


def test_power_of_two_choices_balances_within_a_cell() -> None:
    """With a single random choice the two servers would differ by 7 of 60 streams (root mean square)."""
    fleet, squares = (server_entry("r0", 0, 0), server_entry("w0", 1, 0), server_entry("w1", 1, 0)), []
    for seed in range(20):
        harness = RouterHarness(fleet, seed, kinds=KINDS, classes=(IDEMPOTENT, HIGH_PRIORITY), routers=1)
        selected = [
            start_stream(harness, f"q{n}", prompt_tokens=500, max_output_tokens=100) for n in range(60)
        ]
        squares.append((selected.count("w0") - selected.count("w1")) ** 2)
    assert (sum(squares) / len(squares)) ** 0.5 < 4
