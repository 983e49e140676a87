"""Decode servers are selected, and requests rejected, by the tokens in flight against their memory."""

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
from tests.router_harness import FLEET, IDEMPOTENT, RouterHarness, final_answers, sent_to, server_entry

MEMORY = 100_000.0
KINDS = (ServerKind(Role.PREFILL, MEMORY), ServerKind(Role.DECODE, MEMORY))
HIGH_PRIORITY = RequestClass(1000, 5000, Idempotency.NON_IDEMPOTENT, priority_weight=3, target_token_ms=50)
LOPSIDED = (
    server_entry("r0", 0, 0),
    server_entry("w0", 1, 0),
    *(server_entry(f"w{n}", 1, 1) for n in range(1, 5)),
)
LARGE_REQUEST = {"prompt_tokens": 9_000, "max_output_tokens": 2_000}  # 10,000 tokens under way at its writer


def world(seed: int = 1, **settings: Any) -> RouterHarness:
    return RouterHarness(FLEET, seed, kinds=KINDS, classes=(IDEMPOTENT, HIGH_PRIORITY), routers=1, **settings)


def streaming(w: RouterHarness, name: str, **fields: Any) -> str:
    """Bring a request to its first token; give the writer's name."""
    w.prefill(name, **(LARGE_REQUEST | {"session": hash_of(name)} | fields))
    w.first_token(name)
    return w.server_of[name]


def hash_of(name: str) -> int:
    return sum(map(ord, name))


@pytest.mark.parametrize("seed", range(6))
def test_decode_server_with_full_memory_is_avoided(seed: int) -> None:
    w = world(seed)
    w.request("q", **LARGE_REQUEST, class_index=1)
    for n in range(4):
        near = (
            w.policy.fleet.servers[f"w{n}"].entry.cell == w.policy.fleet.servers[w.server_of["q"]].entry.cell
        )
        w.policy.fleet.servers[f"w{n}"].pending_tokens = (1.1 if near else 0.8) * MEMORY
    reader = w.policy.fleet.servers[w.server_of["q"]]
    w.outcome("q", AttemptStatus.PREFILLED)
    assert w.policy.fleet.servers[w.server_of["q"]].entry.cell != reader.entry.cell


def test_kv_cache_entry_is_sent_on_when_all_memory_is_full() -> None:
    w = world()
    w.request("q", **LARGE_REQUEST, class_index=1)
    for n in range(4):
        w.policy.fleet.servers[f"w{n}"].pending_tokens = 2 * MEMORY
    assert sent_to(w.outcome("q", AttemptStatus.PREFILLED))


def test_lower_priority_is_rejected_first_when_decode_memory_is_short() -> None:
    """4 writers of 100,000 tokens: from 90% on the one class, from all of it on the other."""
    w = world()
    held: dict[int, int] = {}
    for share in range(80, 121, 2):
        for n in range(4):
            w.policy.fleet.servers[f"w{n}"].pending_tokens = share / 100 * MEMORY
        for index in (0, 1):
            if final_answers(w.request(f"{share}.{index}", class_index=index)):
                held.setdefault(index, share)
            w.deliver(ClientDisconnected(f"{share}.{index}"))
            w.policy.requests.clear()
            for server in w.policy.fleet.servers.values():
                server.in_flight.clear()
    assert 90 <= held[0] < held[1] <= 110


def test_unknown_memory_size_rejects_nothing() -> None:
    w = RouterHarness(classes=(IDEMPOTENT, HIGH_PRIORITY), routers=1)
    for n in range(4):
        w.policy.fleet.servers[f"w{n}"].pending_tokens = 100 * MEMORY
    assert sent_to(w.request("q", **LARGE_REQUEST))


@pytest.mark.parametrize("seed", range(3))
def test_few_streams_of_one_of_many_routers_do_not_count_as_full_fleet(seed: int) -> None:
    fleet = [server_entry(f"r{n}", 0, n // 4) for n in range(40)] + [
        server_entry(f"w{n}", 1, n // 4) for n in range(40)
    ]
    w = RouterHarness(tuple(fleet), seed, kinds=KINDS, classes=(IDEMPOTENT, HIGH_PRIORITY), routers=200)
    for n in range(4):  # 200 such routers would hold as much as all writers have, twice
        streaming(w, f"q{n}")
    assert sent_to(w.request("last", **LARGE_REQUEST))


@pytest.mark.parametrize("seed", range(3))
def test_uncongested_cell_keeps_its_kv_cache_entries(seed: int) -> None:
    """One writer in the cell and four outside: chance differences move no state."""
    w = RouterHarness(LOPSIDED, seed, kinds=KINDS, classes=(IDEMPOTENT, HIGH_PRIORITY), routers=1)
    selected = Counter(streaming(w, f"q{n}", prompt_tokens=1_000) for n in range(12))
    assert selected == {"w0": 12}


def test_congested_cell_sends_kv_cache_entries_elsewhere() -> None:
    w = RouterHarness(LOPSIDED, kinds=KINDS, classes=(IDEMPOTENT, HIGH_PRIORITY), routers=1)
    w.policy.fleet.servers["w0"].delay.add(w.now_ms, 3_000)
    w.policy.fleet.servers["w0"].pending_tokens = 20_000
    assert {streaming(w, f"q{n}") for n in range(6)} & {"w1", "w2", "w3", "w4"}


def test_power_of_two_choices_balances_within_a_cell() -> None:
    """60 streams each time; by a single draw the two would differ by 7 in the root mean square."""
    fleet, squares = (server_entry("r0", 0, 0), server_entry("w0", 1, 0), server_entry("w1", 1, 0)), []
    for seed in range(20):
        w = RouterHarness(fleet, seed, kinds=KINDS, classes=(IDEMPOTENT, HIGH_PRIORITY), routers=1)
        selected = [streaming(w, f"q{n}", prompt_tokens=500, max_output_tokens=100) for n in range(60)]
        squares.append((selected.count("w0") - selected.count("w1")) ** 2)
    assert (sum(squares) / len(squares)) ** 0.5 < 4
