"""Servers and cells that are slow, restarted or short, and where requests go instead."""

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
    world = RouterHarness()
    before = prefill_servers_used(world, "a", 60, prefix=5)
    home = before[0]
    world.request("b", session=1000, prefix=5)
    world.outcome("b", AttemptStatus.PREFILLED, latency_ms=50)
    for name in ("c", "d"):
        world.request(name, session=1000, prefix=5)
        if world.server_of[name] == home:
            world.outcome(name, AttemptStatus.PREFILLED, latency_ms=600)
    after = prefill_servers_used(world, "e", 60, prefix=5)
    assert after.count(home) < before.count(home) / 2


def test_decode_server_with_long_delay_is_avoided() -> None:
    fleet = (server_entry("r", PREFILL_KIND), *(server_entry(f"w{n}", DECODE_KIND) for n in range(2)))
    world = RouterHarness(fleet)
    for number in range(20):
        world.prefill(f"a{number}", session=number)
        slow = world.server_of[f"a{number}"] == "w0"
        world.now_ms += 100
        world.deliver(FirstToken(f"a{number}", 1, world.server_of[f"a{number}"], 450 if slow else 30))
        world.outcome(f"a{number}", AttemptStatus.OK, request_ended=True)
    for number in range(40):
        world.prefill(f"b{number}", session=number)
        world.abandon(f"b{number}")
    assert [world.server_of[f"b{n}"] for n in range(40)].count("w0") < 14


def test_kv_cache_entries_spill_from_cell_short_of_decode_servers() -> None:
    fleet = (
        *(server_entry(f"r{n}", PREFILL_KIND, 0) for n in range(3)),
        server_entry("near", DECODE_KIND, 0),
        server_entry("s", PREFILL_KIND, 1),
        *(server_entry(f"far{n}", DECODE_KIND, 1) for n in range(3)),
    )
    at = []
    for seed in range(60):
        world = RouterHarness(fleet, seed=seed)
        if world.prefill("a", session=2) != "s":
            at.append(world.server_of["a"])
    assert 0.1 < at.count("near") / len(at) < 0.6  # a third of them is its fair part


def test_fleet_wide_slowness_cancels_no_attempts() -> None:
    world = RouterHarness()
    for number in range(60):  # every read takes 600 ms, more than the least patience
        world.request(f"a{number}", session=number % 8)
        world.now_ms += 600
        world.outcome(f"a{number}", AttemptStatus.PREFILLED, latency_ms=600)
        world.first_token(f"a{number}")
        world.outcome(f"a{number}", AttemptStatus.OK, request_ended=True)
    world.request("z", session=3)
    assert not cancels_attempt(world.advance(900))


def test_restarted_server_starts_slowly_but_is_not_starved() -> None:
    world = RouterHarness()
    home = prefill_servers_used(world, "a", 1, prefix=5)[0]
    again = replace(next(e for e in FLEET if e.server == home), started_ms=world.now_ms)
    world.deliver(EndpointUpdate(EndpointUpdateKind.CHANGES, 2, (again,)))
    assert prefill_servers_used(world, "b", 12, prefix=5).count(home) <= 1
    reads = 0
    for second in range(8):
        world.now_ms += 1000
        reads += prefill_servers_used(world, f"c{second}-", 12, prefix=5).count(home)
    assert 3 <= reads <= 16


def test_hot_prefix_spreads_in_rank_order() -> None:
    orders = []
    for seed in (1, 2):
        world = RouterHarness(seed=seed)
        world.serve("warm-up", session=0, prefix=9, prefix_tokens=0)
        for number in range(12):
            world.request(f"a{number}", session=number + 1, prefix=9, prompt_tokens=3000)
        prefill_servers_used = [
            world.server_of[f"a{number}"] for number in range(12) if f"a{number}" in world.server_of
        ]
        assert len(set(prefill_servers_used)) > 1
        orders.append(prefill_servers_used)
    assert orders[0] == orders[1]


def test_restarted_prefill_server_loses_its_affinities() -> None:
    world = RouterHarness()
    home = world.serve("a", session=7)
    other = next(key for key in range(1, 100) if RouterHarness().serve("x", session=1, prefix=key) != home)
    assert world.serve("b", session=7, prefix=other) == home
    world.now_ms += 10
    again = replace(next(e for e in FLEET if e.server == home), started_ms=world.now_ms)
    world.deliver(EndpointUpdate(EndpointUpdateKind.CHANGES, 2, (again,)))
    world.advance(15_000)  # warm again, within the time-to-live of the binding
    assert world.serve("c", session=7, prefix=other) != home


def test_slow_remote_transfer_does_not_raise_local_fetch_delay() -> None:
    world = RouterHarness()
    reader = world.prefill("a", session=1)
    near = {"r0": {"w0", "w1"}, "r1": {"w0", "w1"}}.get(reader, {"w2", "w3"})
    while world.server_of["a"] in near:
        world.outcome("a", AttemptStatus.FULL)
    world.deliver(FirstToken("a", world.attempts["a"], world.server_of["a"], 3000))
    assert world.prefill("b", session=1) == reader and world.server_of["b"] in near
    world.first_token("b")
    world.outcome("b", AttemptStatus.OK, request_ended=True)
    assert sent_to(world.request("c", session=2))


def test_state_of_removed_servers_and_cells_is_deleted() -> None:
    """On a long day all of them do, under new names, again and again."""
    world = RouterHarness(())
    sizes = []
    for day in range(8):
        fleet = tuple(replace(e, server=f"{e.server}-{day}", cell=2 * day + e.cell) for e in FLEET)
        world.deliver(EndpointUpdate(EndpointUpdateKind.FULL, day + 1, fleet))
        for number in range(12):
            world.serve(f"a{day}-{number}", session=100 * day + number, prefix=1000 * day + number)
        world.advance(70_000)
        policy = world.policy
        kept = (
            len(policy.fleet.servers)
            + len(policy.affinities.by_session)
            + len(policy.requests)
            + len(policy.fleet.rankings)
        )
        spill_chance = policy.fleet.spill_chance
        kept += len(policy.estimates.fetch_delays) + len(spill_chance.by_cell) + len(spill_chance.by_zone)
        sizes.append(kept + sum(len(each.cached_prefixes) for each in policy.fleet.servers.values()))
    assert max(sizes) < 1.5 * sizes[0]


def test_decode_server_with_slow_streams_is_selected_less() -> None:
    """Its first tokens come in time; what is slow is each further one, so those that still run count too."""
    world = RouterHarness(
        (
            server_entry("r", PREFILL_KIND),
            server_entry("fast", DECODE_KIND),
            server_entry("slow", DECODE_KIND),
        )
    )
    at = []
    for number in range(200):
        world.now_ms += 200
        world.prefill(f"a{number}", session=1)
        at.append(world.server_of[f"a{number}"])
        world.first_token(f"a{number}")
        for old in (number - 10, number - 100):  # streams last 2 s, at the slow one 20 s
            if old >= 0 and (at[old] == "slow") == (old == number - 100):
                world.outcome(f"a{old}", AttemptStatus.OK, request_ended=True)
    assert at[50:].count("slow") < 0.3 * len(at[50:])
