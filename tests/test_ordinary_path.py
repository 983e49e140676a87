"""Server selection without faults: session affinity, rendezvous hashing, power of two choices."""

from dataclasses import replace

import pytest

from ringledge.routing.interface import (
    AttemptStatus,
    ClientDisconnected,
    RejectRequest,
)
from tests.router_harness import (
    DECODE_KIND,
    FLEET,
    MIXED_KIND,
    PREFILL_KIND,
    RouterHarness,
    sent_to,
    server_entry,
)


def test_session_returns_to_its_prefill_server_and_use_renews_affinity() -> None:
    harness = RouterHarness()
    prefill_server = harness.serve("a0", session=7, prefix=None)
    prefix_server = harness.serve("b0", session=8, prefix=3)
    other = next(
        key for key in range(1, 100) if RouterHarness().serve("x", session=1, prefix=key) != prefill_server
    )
    for turn in range(4):  # 40 s apart, so that the session lasts longer than one TTL
        harness.advance(40_000)
        assert harness.serve(f"a{turn + 1}", session=7, prefix=other) == prefill_server
        assert harness.serve(f"b{turn + 1}", session=8, prefix=3) == prefix_server


def test_idle_affinity_expires_with_its_ttl() -> None:
    harness = RouterHarness()
    prefill_server = harness.serve("a", session=7)
    other = next(
        key for key in range(1, 100) if RouterHarness().serve("x", session=1, prefix=key) != prefill_server
    )
    harness.advance(67_000)
    assert not harness.policy.affinities.by_session  # expired
    assert harness.serve("b", session=7, prefix=other) != prefill_server


def test_rendezvous_hash_is_equal_on_every_router_and_keyed_by_prefix() -> None:
    for prefix in range(1, 11):
        first, second = RouterHarness(seed=1), RouterHarness(seed=2, router=1, zone=1)
        for session in range(4):
            prefill_server = first.serve(f"a{session}", session=session, prefix=prefix)
            assert second.serve(f"b{session}", session=session, prefix=prefix) == prefill_server
    prefill_servers = {RouterHarness().serve("a", session=session) for session in range(40)}
    assert prefill_servers == {"r0", "r1", "r2", "r3"}


def test_removed_prefill_server_moves_only_its_own_keys() -> None:
    before = {prefix: RouterHarness().serve("a", session=1, prefix=prefix) for prefix in range(1, 41)}
    fleet = tuple(each for each in FLEET if each.server != "r1")
    after = {prefix: RouterHarness(fleet).serve("a", session=1, prefix=prefix) for prefix in before}
    moved_keys = [prefix for prefix in before if before[prefix] not in ("r1", after[prefix])]
    assert len(moved_keys) < 14  # a prefix may move if r1 was its second in rank


def test_prefix_is_prefilled_by_first_in_rank_until_that_is_queued() -> None:
    """Guards against prefilling a prefix twice, which costs too much after the fleet has lost its caches."""
    for prefix in range(1, 11):
        harness = RouterHarness()
        first = harness.serve("a", session=1, prefix=prefix, prefix_tokens=900)
        idle_servers = {
            harness.serve(f"b{n}", session=10 + n, prefix=prefix, prefix_tokens=900) for n in range(12)
        }
        assert idle_servers == {first}
        for number in range(6):  # these queue at the first in rank
            harness.request(f"c{number}", session=100 + number, prefix=prefix, prefix_tokens=0)
        others = {harness.server_of[f"c{number}"] for number in range(6)} - {first}
        assert len(others) == 1  # the overflow goes to a single server


def test_prefix_is_prefilled_at_few_servers() -> None:
    for prefix in range(1, 11):
        assert len({RouterHarness().serve("a", session=session, prefix=prefix) for session in range(12)}) <= 2


def test_decode_server_is_selected_after_prefill_in_the_same_cell() -> None:
    same_cell = 0
    for seed in range(50):
        harness = RouterHarness(seed=seed)
        assert len(sent_to(harness.request("a", session=1))) == 1
        prefill_server = harness.server_of["a"]
        harness.outcome("a", AttemptStatus.PREFILLED)
        same_cell += harness.server_of["a"] in (
            ("w0", "w1") if prefill_server in ("r0", "r1") else ("w2", "w3")
        )
    assert same_cell == 50  # without load, no remote server is clearly less loaded


def test_remote_decode_server_needs_clearly_fewer_pending_tokens() -> None:
    fleet = (
        server_entry("r", PREFILL_KIND, 0),
        server_entry("s", PREFILL_KIND, 1),
        server_entry("near", DECODE_KIND, 0),
        server_entry("far", DECODE_KIND, 1),
    )
    session = next(key for key in range(100) if RouterHarness(fleet).serve("x", session=key) == "r")
    harness = RouterHarness(fleet)
    for name in ("a", "b"):
        harness.prefill(name, session=session, prompt_tokens=100)
    assert harness.server_of in ({"a": "near", "b": "near"}, {"a": "near", "b": "far"})
    for number in range(6):
        harness.prefill(f"c{number}", session=session, prompt_tokens=100)
    # Once the near server has some load, the far one is clearly less loaded.
    assert 3 <= list(harness.server_of.values()).count("near") <= 5


def test_pending_tokens_use_hint_else_half_of_bound_and_do_not_leak() -> None:
    fleet = (server_entry("r", PREFILL_KIND, 0), server_entry("w", DECODE_KIND, 0))
    harness = RouterHarness(fleet)
    for name, hint_ms in (("a", None), ("b", 500.0)):
        harness.prefill(name, session=1, hint_ms=hint_ms)
    assert harness.policy.fleet.servers["w"].pending_tokens == (1000 + 200) + (1000 + 10)
    harness.first_token("a")
    harness.outcome("a", AttemptStatus.OK, request_ended=True)
    harness.deliver(ClientDisconnected("b"))
    harness.outcome("b", AttemptStatus.CANCELLED)
    assert all(server.pending_tokens == 0 for server in harness.policy.fleet.servers.values())
    assert not harness.policy.requests


def test_mixed_server_decodes_in_place_but_long_uncached_prompts_go_to_prefill_servers() -> None:
    harness = RouterHarness(
        (server_entry("m", MIXED_KIND), server_entry("r", PREFILL_KIND), server_entry("w", DECODE_KIND))
    )
    key = next(
        key
        for key in range(100)
        if RouterHarness((server_entry("m", MIXED_KIND), server_entry("r", PREFILL_KIND))).serve(
            "x", session=key
        )
        == "m"
    )
    harness.request("a", session=key)
    assert harness.server_of["a"] == "m"
    harness.first_token("a")
    harness.outcome("a", AttemptStatus.OK, request_ended=True)
    harness.request("b", session=key, prompt_tokens=30_000)
    assert harness.server_of["b"] == "m"  # by the affinity from request a
    harness.request("c", session=None, prefix=key, prompt_tokens=30_000)
    assert harness.server_of["c"] == "r"


@pytest.mark.parametrize(("prefill_server_count", "mixed_prefills"), [(2, False), (1, True)])
def test_mixed_server_prefills_long_prompts_only_when_prefill_servers_are_congested(
    prefill_server_count: int, mixed_prefills: bool
) -> None:
    """Guards against idle mixed servers while the prefill servers are mostly cold and overloaded."""
    fleet = (
        *(server_entry(f"r{n}", PREFILL_KIND) for n in range(prefill_server_count)),
        server_entry("m", MIXED_KIND),
        server_entry("w", DECODE_KIND),
    )
    for session in range(20):
        harness = RouterHarness(fleet, seed=session)
        for number in range(4):  # sets the prefill rate
            harness.serve(f"p{number}", session=1000 + number)
        harness.policy.fleet.servers["r0"].delay.add(harness.now_ms, 5_000)  # r0 is congested
        harness.request("b", session=5_000 + session, prompt_tokens=3_000)
        assert harness.server_of["b"] == ("m" if mixed_prefills else "r1")


def test_decode_server_prefills_where_there_is_no_prefill_server() -> None:
    decode_only = (server_entry("w", DECODE_KIND),)
    assert sent_to(RouterHarness(decode_only, decode_may_prefill=True).request("a", session=1)) == ["w"]
    assert isinstance(RouterHarness(decode_only).request("a", session=1)[0], RejectRequest)


def test_requests_without_affinity_keys_and_reconnects_are_served() -> None:
    harness = RouterHarness()
    assert len(sent_to(harness.request("a"))) == 1
    assert len(sent_to(harness.request("b", session=3, reconnect=True, retry=True))) == 1


def test_cold_decode_server_is_selected_in_proportion_to_its_warmth() -> None:
    fleet = (
        server_entry("r", PREFILL_KIND),
        server_entry("w0", DECODE_KIND),
        server_entry("w1", DECODE_KIND, started_ms=1_000_000.0 - 5_000),
    )
    selections = []
    for seed in range(400):
        harness = RouterHarness(fleet, seed=seed)
        harness.policy.fleet.servers["w1"].start_credit = 1.0  # slow start allows one attempt
        harness.prefill("a", session=1)
        selections.append(harness.server_of["a"])
    share = selections.count("w1") / len(selections)
    assert 0.32 < share < 0.47  # its warmth is 0.65; equal warmth would give one half


def test_cell_with_cold_decode_servers_spills_more_kv_cache_entries() -> None:
    cold = {"w0", "w1"}
    start = 1_000_000.0 - 1
    fleet = tuple(replace(each, zone=0, started_ms=start * (each.server in cold)) for each in FLEET)
    harness = RouterHarness(fleet)
    initial = harness.policy.fleet.spill_chance.by_cell
    # Cell 0 has 0.6 of 2.6 of the decode capacity and half of the prefill capacity.
    assert initial[0] > 0.3 and initial[1] < 0
    harness.advance(5_000)
    assert 0.1 < harness.policy.fleet.spill_chance.by_cell[0] < initial[0]  # its servers warm up
    harness.advance(6_000)
    assert abs(harness.policy.fleet.spill_chance.by_cell[0]) < 0.01
