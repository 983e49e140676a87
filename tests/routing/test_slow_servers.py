"""Servers and cells that are slow, restarted or short, and where requests go instead."""

from dataclasses import replace

from ringledge.routing.interface import (
    AttemptStatus,
    EndpointUpdate,
    EndpointUpdateKind,
    FirstToken,
)
from tests.world import FLEET, READER, WRITER, World, cancelled, entry, sends, used


def test_a_slow_reader_loses_new_sessions_to_the_next_in_rank() -> None:
    world = World()
    before = used(world, "a", 60, prefix=5)
    home = before[0]
    world.request("b", session=1000, prefix=5)
    world.outcome("b", AttemptStatus.PREFILLED, latency_ms=50)
    for name in ("c", "d"):
        world.request(name, session=1000, prefix=5)
        if world.at[name] == home:
            world.outcome(name, AttemptStatus.PREFILLED, latency_ms=600)
    after = used(world, "e", 60, prefix=5)
    assert after.count(home) < before.count(home) / 2


def test_a_writer_with_long_waits_is_passed_over() -> None:
    fleet = (entry("r", READER), *(entry(f"w{n}", WRITER) for n in range(2)))
    world = World(fleet)
    for number in range(20):
        world.read(f"a{number}", session=number)
        slow = world.at[f"a{number}"] == "w0"
        world.now_ms += 100
        world.give(FirstToken(f"a{number}", 1, world.at[f"a{number}"], 450 if slow else 30))
        world.outcome(f"a{number}", AttemptStatus.OK, request_ended=True)
    for number in range(40):
        world.read(f"b{number}", session=number)
        world.end(f"b{number}")
    assert [world.at[f"b{n}"] for n in range(40)].count("w0") < 14


def test_states_leave_a_cell_whose_writers_are_too_few() -> None:
    fleet = (
        *(entry(f"r{n}", READER, 0) for n in range(3)),
        entry("near", WRITER, 0),
        entry("s", READER, 1),
        *(entry(f"far{n}", WRITER, 1) for n in range(3)),
    )
    at = []
    for seed in range(60):
        world = World(fleet, seed=seed)
        if world.read("a", session=2) != "s":
            at.append(world.at["a"])
    assert 0.1 < at.count("near") / len(at) < 0.6  # a third of them is its fair part


def test_fleet_wide_slowness_makes_no_suspects() -> None:
    world = World()
    for number in range(60):  # every read takes 600 ms, more than the least patience
        world.request(f"a{number}", session=number % 8)
        world.now_ms += 600
        world.outcome(f"a{number}", AttemptStatus.PREFILLED, latency_ms=600)
        world.first(f"a{number}")
        world.outcome(f"a{number}", AttemptStatus.OK, request_ended=True)
    world.request("z", session=3)
    assert not cancelled(world.wait(900))


def test_restarted_server_starts_slowly_but_is_not_starved() -> None:
    world = World()
    home = used(world, "a", 1, prefix=5)[0]
    again = replace(next(e for e in FLEET if e.server == home), started_ms=world.now_ms)
    world.give(EndpointUpdate(EndpointUpdateKind.CHANGES, 2, (again,)))
    assert used(world, "b", 12, prefix=5).count(home) <= 1
    reads = 0
    for second in range(8):
        world.now_ms += 1000
        reads += used(world, f"c{second}-", 12, prefix=5).count(home)
    assert 3 <= reads <= 16


def test_hot_prefix_spreads_down_the_same_ranking() -> None:
    orders = []
    for seed in (1, 2):
        world = World(seed=seed)
        world.serve("warm-up", session=0, prefix=9, prefix_tokens=0)
        for number in range(12):
            world.request(f"a{number}", session=number + 1, prefix=9, prompt_tokens=3000)
        used = [world.at[f"a{number}"] for number in range(12) if f"a{number}" in world.at]
        assert len(set(used)) > 1
        orders.append(used)
    assert orders[0] == orders[1]


def test_a_restarted_reader_no_longer_holds_its_sessions() -> None:
    world = World()
    home = world.serve("a", session=7)
    other = next(key for key in range(1, 100) if World().serve("x", session=1, prefix=key) != home)
    assert world.serve("b", session=7, prefix=other) == home
    world.now_ms += 10
    again = replace(next(e for e in FLEET if e.server == home), started_ms=world.now_ms)
    world.give(EndpointUpdate(EndpointUpdateKind.CHANGES, 2, (again,)))
    world.wait(15_000)  # warm again, within the time-to-live of the binding
    assert world.serve("c", session=7, prefix=other) != home


def test_a_slow_link_out_of_a_cell_says_nothing_of_fetches_within_it() -> None:
    world = World()
    reader = world.read("a", session=1)
    near = {"r0": {"w0", "w1"}, "r1": {"w0", "w1"}}.get(reader, {"w2", "w3"})
    while world.at["a"] in near:
        world.outcome("a", AttemptStatus.FULL)
    world.give(FirstToken("a", world.attempts["a"], world.at["a"], 3000))
    assert world.read("b", session=1) == reader and world.at["b"] in near
    world.first("b")
    world.outcome("b", AttemptStatus.OK, request_ended=True)
    assert sends(world.request("c", session=2))


def test_nothing_is_kept_of_servers_and_cells_that_have_given_way() -> None:
    """On a long day all of them do, under new names, again and again."""
    world = World(())
    sizes = []
    for day in range(8):
        fleet = tuple(replace(e, server=f"{e.server}-{day}", cell=2 * day + e.cell) for e in FLEET)
        world.give(EndpointUpdate(EndpointUpdateKind.FULL, day + 1, fleet))
        for number in range(12):
            world.serve(f"a{day}-{number}", session=100 * day + number, prefix=1000 * day + number)
        world.wait(70_000)
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


def test_a_writer_whose_streams_run_on_is_drawn_less() -> None:
    """Its first tokens come in time; what is slow is each further one, so those that still run count too."""
    world = World((entry("r", READER), entry("fast", WRITER), entry("slow", WRITER)))
    at = []
    for number in range(200):
        world.now_ms += 200
        world.read(f"a{number}", session=1)
        at.append(world.at[f"a{number}"])
        world.first(f"a{number}")
        for old in (number - 10, number - 100):  # streams last 2 s, at the slow one 20 s
            if old >= 0 and (at[old] == "slow") == (old == number - 100):
                world.outcome(f"a{old}", AttemptStatus.OK, request_ended=True)
    assert at[50:].count("slow") < 0.3 * len(at[50:])
