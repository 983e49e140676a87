"""The ordinary path: session affinity, rendezvous hashing, late decode selection by two choices."""

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
    world = RouterHarness()
    home = world.serve("a0", session=7, prefix=None)
    key_home = world.serve("b0", session=8, prefix=3)
    other = next(key for key in range(1, 100) if RouterHarness().serve("x", session=1, prefix=key) != home)
    for turn in range(4):  # 40 s apart: the whole outlives one time-to-live
        world.advance(40_000)
        assert world.serve(f"a{turn + 1}", session=7, prefix=other) == home
        assert world.serve(f"b{turn + 1}", session=8, prefix=3) == key_home


def test_idle_affinity_expires_with_its_ttl() -> None:
    world = RouterHarness()
    home = world.serve("a", session=7)
    other = next(key for key in range(1, 100) if RouterHarness().serve("x", session=1, prefix=key) != home)
    world.advance(67_000)
    assert not world.policy.affinities.by_session  # the reaper has been
    assert world.serve("b", session=7, prefix=other) != home


def test_rendezvous_hash_is_equal_on_every_router_and_keyed_by_prefix() -> None:
    for prefix in range(1, 11):
        first, second = RouterHarness(seed=1), RouterHarness(seed=2, router=1, zone=1)
        for session in range(4):
            reader = first.serve(f"a{session}", session=session, prefix=prefix)
            assert second.serve(f"b{session}", session=session, prefix=prefix) == reader
    readers = {RouterHarness().serve("a", session=session) for session in range(40)}
    assert readers == {"r0", "r1", "r2", "r3"}


def test_removed_prefill_server_moves_only_its_own_keys() -> None:
    before = {prefix: RouterHarness().serve("a", session=1, prefix=prefix) for prefix in range(1, 41)}
    fleet = tuple(each for each in FLEET if each.server != "r1")
    after = {prefix: RouterHarness(fleet).serve("a", session=1, prefix=prefix) for prefix in before}
    moved = [prefix for prefix in before if before[prefix] not in ("r1", after[prefix])]
    assert len(moved) < 14  # where it was the other of the first two, the session may draw the new one


def test_prefix_is_prefilled_by_first_in_rank_until_that_is_queued() -> None:
    """Kept at two readers it is read twice: a fleet whose caches were lost has no time for that."""
    for prefix in range(1, 11):
        world = RouterHarness()
        first = world.serve("a", session=1, prefix=prefix, prefix_tokens=900)
        calm = {world.serve(f"b{n}", session=10 + n, prefix=prefix, prefix_tokens=900) for n in range(12)}
        assert calm == {first}
        for number in range(6):  # they wait there, so it falls behind
            world.request(f"c{number}", session=100 + number, prefix=prefix, prefix_tokens=0)
        others = {world.server_of[f"c{number}"] for number in range(6)} - {first}
        assert len(others) == 1  # and the same second one helps out


def test_prefix_is_prefilled_at_few_servers() -> None:
    for prefix in range(1, 11):
        assert len({RouterHarness().serve("a", session=session, prefix=prefix) for session in range(12)}) <= 2


def test_decode_server_is_selected_after_prefill_in_the_same_cell() -> None:
    near = 0
    for seed in range(50):
        world = RouterHarness(seed=seed)
        assert len(sent_to(world.request("a", session=1))) == 1
        reader = world.server_of["a"]
        world.outcome("a", AttemptStatus.PREFILLED)
        near += world.server_of["a"] in (("w0", "w1") if reader in ("r0", "r1") else ("w2", "w3"))
    assert near == 50  # nobody is loaded, so the far writer is never clearly lighter


def test_remote_decode_server_needs_clearly_fewer_pending_tokens() -> None:
    fleet = (
        server_entry("r", PREFILL_KIND, 0),
        server_entry("s", PREFILL_KIND, 1),
        server_entry("near", DECODE_KIND, 0),
        server_entry("far", DECODE_KIND, 1),
    )
    session = next(key for key in range(100) if RouterHarness(fleet).serve("x", session=key) == "r")
    world = RouterHarness(fleet)
    for name in ("a", "b"):
        world.prefill(name, session=session, prompt_tokens=100)
    assert world.server_of in ({"a": "near", "b": "near"}, {"a": "near", "b": "far"})
    for number in range(6):
        world.prefill(f"c{number}", session=session, prompt_tokens=100)
    assert (
        3 <= list(world.server_of.values()).count("near") <= 5
    )  # with some there, the far one is clearly lighter


def test_pending_tokens_use_hint_else_half_of_bound_and_do_not_leak() -> None:
    fleet = (server_entry("r", PREFILL_KIND, 0), server_entry("w", DECODE_KIND, 0))
    world = RouterHarness(fleet)
    for name, hint_ms in (("a", None), ("b", 500.0)):
        world.prefill(name, session=1, hint_ms=hint_ms)
    assert world.policy.fleet.servers["w"].pending_tokens == (1000 + 200) + (1000 + 10)
    world.first_token("a")
    world.outcome("a", AttemptStatus.OK, request_ended=True)
    world.deliver(ClientDisconnected("b"))
    world.outcome("b", AttemptStatus.CANCELLED)
    assert all(server.pending_tokens == 0 for server in world.policy.fleet.servers.values())
    assert not world.policy.requests


def test_mixed_server_decodes_in_place_but_long_uncached_prompts_go_to_prefill_servers() -> None:
    world = RouterHarness(
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
    world.request("a", session=key)
    assert world.server_of["a"] == "m"
    world.first_token("a")
    world.outcome("a", AttemptStatus.OK, request_ended=True)
    world.request("b", session=key, prompt_tokens=30_000)
    assert world.server_of["b"] == "m"  # bound by a: most is kept or it is its home
    world.request("c", session=None, prefix=key, prompt_tokens=30_000)
    assert world.server_of["c"] == "r"


@pytest.mark.parametrize(("readers", "helps"), [(2, False), (1, True)])
def test_mixed_server_prefills_long_prompts_only_when_prefill_servers_are_congested(
    readers: int, helps: bool
) -> None:
    """A fleet whose readers are mostly fresh was short of reads while those that can read idled."""
    fleet = (
        *(server_entry(f"r{n}", PREFILL_KIND) for n in range(readers)),
        server_entry("m", MIXED_KIND),
        server_entry("w", DECODE_KIND),
    )
    for session in range(20):
        world = RouterHarness(fleet, seed=session)
        for number in range(4):  # the pace of reads is known
            world.serve(f"p{number}", session=1000 + number)
        world.policy.fleet.servers["r0"].delay.add(world.now_ms, 5_000)  # it is jammed
        world.request("b", session=5_000 + session, prompt_tokens=3_000)
        assert world.server_of["b"] == ("m" if helps else "r1")


def test_decode_server_prefills_where_there_is_no_prefill_server() -> None:
    alone = (server_entry("w", DECODE_KIND),)
    assert sent_to(RouterHarness(alone, decode_may_prefill=True).request("a", session=1)) == ["w"]
    assert isinstance(RouterHarness(alone).request("a", session=1)[0], RejectRequest)


def test_requests_without_affinity_keys_and_reconnects_are_served() -> None:
    world = RouterHarness()
    assert len(sent_to(world.request("a"))) == 1
    assert len(sent_to(world.request("b", session=3, reconnect=True, retry=True))) == 1


def test_cold_decode_server_is_selected_in_proportion_to_its_warmth() -> None:
    fleet = (
        server_entry("r", PREFILL_KIND),
        server_entry("w0", DECODE_KIND),
        server_entry("w1", DECODE_KIND, started_ms=1_000_000.0 - 5_000),
    )
    chosen = []
    for seed in range(400):
        world = RouterHarness(fleet, seed=seed)
        world.policy.fleet.servers["w1"].start_credit = 1.0  # it has room, as far as the rule goes
        world.prefill("a", session=1)
        chosen.append(world.server_of["a"])
    share = chosen.count("w1") / len(chosen)
    assert 0.32 < share < 0.47  # 0.65 of a warm one's; evenly it would be half


def test_cell_with_cold_decode_servers_spills_more_kv_cache_entries() -> None:
    fresh = {"w0", "w1"}
    start = 1_000_000.0 - 1
    fleet = tuple(replace(each, zone=0, started_ms=start * (each.server in fresh)) for each in FLEET)
    world = RouterHarness(fleet)
    leave = world.policy.fleet.spill_chance.by_cell
    assert leave[0] > 0.3 and leave[1] < 0  # 0.6 of 2.6 of the writing, half of the reading
    world.advance(5_000)
    assert 0.1 < world.policy.fleet.spill_chance.by_cell[0] < leave[0]  # they warm
    world.advance(6_000)
    assert abs(world.policy.fleet.spill_chance.by_cell[0]) < 0.01
