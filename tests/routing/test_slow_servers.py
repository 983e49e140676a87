"""Selection when servers or cells are slow, restarted or short of capacity."""

from dataclasses import replace

from ringledge.routing.interface import (
    AttemptStatus,
    EndpointUpdate,
    EndpointUpdateKind,
    FirstToken,
)
from tests.router_harness import (
    DECODE_KIND,
    FLEET,
    PREFILL_KIND,
    RouterHarness,
    cancels_attempt,
    prefill_servers_used,
    sent_to,
    server_entry,
)


def test_slow_prefill_server_loses_new_sessions_to_next_in_rank() -> None:
    harness = RouterHarness()
    before = prefill_servers_used(harness, "a", 60, prefix=5)
    prefill_server = before[0]
    harness.request("b", session=1000, prefix=5)
    harness.outcome("b", AttemptStatus.PREFILLED, latency_ms=50)
    for name in ("c", "d"):
        harness.request(name, session=1000, prefix=5)
        if harness.server_of[name] == prefill_server:
            harness.outcome(name, AttemptStatus.PREFILLED, latency_ms=600)
    after = prefill_servers_used(harness, "e", 60, prefix=5)
    assert after.count(prefill_server) < before.count(prefill_server) / 2


def test_decode_server_with_long_delay_is_avoided() -> None:
    fleet = (server_entry("r", PREFILL_KIND), *(server_entry(f"w{n}", DECODE_KIND) for n in range(2)))
    harness = RouterHarness(fleet)
    for number in range(20):
        harness.prefill(f"a{number}", session=number)
        slow = harness.server_of[f"a{number}"] == "w0"
        harness.now_ms += 100
        harness.deliver(FirstToken(f"a{number}", 1, harness.server_of[f"a{number}"], 450 if slow else 30))
        harness.outcome(f"a{number}", AttemptStatus.OK, request_ended=True)
    for number in range(40):
        harness.prefill(f"b{number}", session=number)
        harness.abandon(f"b{number}")
    assert [harness.server_of[f"b{n}"] for n in range(40)].count("w0") < 14


def test_kv_cache_entries_spill_from_cell_short_of_decode_servers() -> None:
    fleet = (
        *(server_entry(f"r{n}", PREFILL_KIND, 0) for n in range(3)),
        server_entry("near", DECODE_KIND, 0),
        server_entry("s", PREFILL_KIND, 1),
        *(server_entry(f"far{n}", DECODE_KIND, 1) for n in range(3)),
    )
    servers_used = []
    for seed in range(60):
        harness = RouterHarness(fleet, seed=seed)
        if harness.prefill("a", session=2) != "s":
            servers_used.append(harness.server_of["a"])
    assert 0.1 < servers_used.count("near") / len(servers_used) < 0.6  # its fair share is one third


def test_fleet_wide_slowness_cancels_no_attempts() -> None:
    harness = RouterHarness()
    for number in range(60):  # every prefill takes 600 ms, more than the minimum timeout
        harness.request(f"a{number}", session=number % 8)
        harness.now_ms += 600
        harness.outcome(f"a{number}", AttemptStatus.PREFILLED, latency_ms=600)
        harness.first_token(f"a{number}")
        harness.outcome(f"a{number}", AttemptStatus.OK, request_ended=True)
    harness.request("z", session=3)
    assert not cancels_attempt(harness.advance(900))


def test_restarted_server_starts_slowly_but_is_not_starved() -> None:
    harness = RouterHarness()
    prefill_server = prefill_servers_used(harness, "a", 1, prefix=5)[0]
    restarted = replace(next(e for e in FLEET if e.server == prefill_server), started_ms=harness.now_ms)
    harness.deliver(EndpointUpdate(EndpointUpdateKind.CHANGES, 2, (restarted,)))
    assert prefill_servers_used(harness, "b", 12, prefix=5).count(prefill_server) <= 1
    prefills = 0
    for second in range(8):
        harness.now_ms += 1000
        prefills += prefill_servers_used(harness, f"c{second}-", 12, prefix=5).count(prefill_server)
    assert 3 <= prefills <= 16


def test_hot_prefix_spreads_in_rank_order() -> None:
    orders = []
    for seed in (1, 2):
        harness = RouterHarness(seed=seed)
        harness.serve("warm-up", session=0, prefix=9, prefix_tokens=0)
        for number in range(12):
            harness.request(f"a{number}", session=number + 1, prefix=9, prompt_tokens=3000)
        prefill_servers_used = [
            harness.server_of[f"a{number}"] for number in range(12) if f"a{number}" in harness.server_of
        ]
        assert len(set(prefill_servers_used)) > 1
        orders.append(prefill_servers_used)
    assert orders[0] == orders[1]


def test_restarted_prefill_server_loses_its_affinities() -> None:
    harness = RouterHarness()
    prefill_server = harness.serve("a", session=7)
    other = next(
        key for key in range(1, 100) if RouterHarness().serve("x", session=1, prefix=key) != prefill_server
    )
    assert harness.serve("b", session=7, prefix=other) == prefill_server
    harness.now_ms += 10
    restarted = replace(next(e for e in FLEET if e.server == prefill_server), started_ms=harness.now_ms)
    harness.deliver(EndpointUpdate(EndpointUpdateKind.CHANGES, 2, (restarted,)))
    harness.advance(15_000)  # the server is warm again and the affinity TTL has not ended
    assert harness.serve("c", session=7, prefix=other) != prefill_server


def test_slow_remote_transfer_does_not_raise_local_fetch_delay() -> None:
    harness = RouterHarness()
    prefill_server = harness.prefill("a", session=1)
    same_cell = {"r0": {"w0", "w1"}, "r1": {"w0", "w1"}}.get(prefill_server, {"w2", "w3"})
    while harness.server_of["a"] in same_cell:
        harness.outcome("a", AttemptStatus.FULL)
    harness.deliver(FirstToken("a", harness.attempts["a"], harness.server_of["a"], 3000))
    assert harness.prefill("b", session=1) == prefill_server and harness.server_of["b"] in same_cell
    harness.first_token("b")
    harness.outcome("b", AttemptStatus.OK, request_ended=True)
    assert sent_to(harness.request("c", session=2))


def test_state_of_removed_servers_and_cells_is_deleted() -> None:
    """Over time all servers and cells are replaced by others with new names, many times over."""
    harness = RouterHarness(())
    sizes = []
    for day in range(8):
        fleet = tuple(replace(e, server=f"{e.server}-{day}", cell=2 * day + e.cell) for e in FLEET)
        harness.deliver(EndpointUpdate(EndpointUpdateKind.FULL, day + 1, fleet))
        for number in range(12):
            harness.serve(f"a{day}-{number}", session=100 * day + number, prefix=1000 * day + number)
        harness.advance(70_000)
        policy = harness.policy
        size = (
            len(policy.fleet.servers)
            + len(policy.affinities.by_session)
            + len(policy.requests)
            + len(policy.fleet.rankings)
        )
        spill_chance = policy.fleet.spill_chance
        size += len(policy.estimates.fetch_delays) + len(spill_chance.by_cell) + len(spill_chance.by_zone)
        sizes.append(size + sum(len(each.cached_prefixes) for each in policy.fleet.servers.values()))
    assert max(sizes) < 1.5 * sizes[0]


def test_decode_server_with_slow_streams_is_selected_less() -> None:
    """The server's first tokens are in time and only later tokens slow, so running streams have to count."""
    harness = RouterHarness(
        (
            server_entry("r", PREFILL_KIND),
            server_entry("fast", DECODE_KIND),
            server_entry("slow", DECODE_KIND),
        )
    )
    servers_used = []
    for number in range(200):
        harness.now_ms += 200
        harness.prefill(f"a{number}", session=1)
        servers_used.append(harness.server_of[f"a{number}"])
        harness.first_token(f"a{number}")
        for earlier in (number - 10, number - 100):  # streams last 2 s, on the slow server 20 s
            if earlier >= 0 and (servers_used[earlier] == "slow") == (earlier == number - 100):
                harness.outcome(f"a{earlier}", AttemptStatus.OK, request_ended=True)
    assert servers_used[50:].count("slow") < 0.3 * len(servers_used[50:])
