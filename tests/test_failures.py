"""What the module does for each kind of trouble, told by its symptom."""

from collections import Counter
from dataclasses import replace
from typing import Any

import pytest

from crowstand import interface as i
from tests.world import FLEET, READER, SAFE, WRITER, World, cancelled, entry, finals, sends


def test_silent_reader_loses_its_waiting_reads_and_its_sessions() -> None:
    world = World()
    home = world.serve("a", session=1)
    world.wait(5000)
    world.request("b", session=1)
    assert world.at["b"] == home and cancelled(world.wait(1500))
    other = sends(world.outcome("b", i.Status.CANCELLED))[0]
    assert other != home
    world.outcome("b", i.Status.PREFILLED)
    assert world.serve("c", session=1) == other


def used(world: World, name: str, count: int, **fields: Any) -> list[str]:
    """Where new sessions of one beginning are read; each is given up at once."""
    servers = []
    for number in range(count):
        servers += sends(world.request(f"{name}{number}", session=1000 + number, **fields))
        world.end(f"{name}{number}")
    return servers


def test_a_broken_server_is_left_by_most_and_tried_again_by_chance_as_the_evidence_fades() -> None:
    world = World()
    before = used(world, "a", 40, prefix=5)
    home = before[0]
    for name in ("b", "c"):
        world.request(name, session=1000, prefix=5)
        if world.at[name] == home:
            world.outcome(name, i.Status.CONNECT_FAILED)
        world.end(name)
    after = used(world, "d", 40, prefix=5)
    assert after.count(home) < before.count(home) / 2
    world.now_ms += 60_000
    assert used(world, "e", 40, prefix=5) == before


def test_one_class_refused_moves_that_class_only_and_other_answers_do_not_hide_it() -> None:
    world = World(classes=(SAFE, SAFE))
    home = used(world, "a", 1, prefix=5, class_index=1)[0]
    for number in range(4):
        world.request(f"b{number}", session=1000, prefix=5, class_index=0)
        if world.at[f"b{number}"] == home:
            world.outcome(f"b{number}", i.Status.FULL)
        world.end(f"b{number}")
        world.request(f"c{number}", session=1000, prefix=5, class_index=1)
        assert world.at[f"c{number}"] == home
        world.outcome(f"c{number}", i.Status.PREFILLED)
        world.end(f"c{number}")
    refused = used(world, "d", 30, prefix=5, class_index=0).count(home)
    others = used(world, "e", 30, prefix=5, class_index=1).count(home)
    assert refused < others / 2


def test_one_class_left_unanswered_moves_that_class_only() -> None:
    world = World(classes=(SAFE, SAFE))
    home = used(world, "a", 1, prefix=5)[0]
    for name in ("b", "c"):
        world.request(name, session=1000, prefix=5)
        if world.at[name] == home:
            assert cancelled(world.wait(1500))
            world.outcome(name, i.Status.CANCELLED, latency_ms=0)
        world.end(name)
    refused = used(world, "d", 30, prefix=5, class_index=0).count(home)
    assert refused < used(world, "e", 30, prefix=5, class_index=1).count(home) / 2


def test_one_tenant_refused_moves_that_tenant_only() -> None:
    world = World(tenants=(i.Tenant(), i.Tenant()))
    home = used(world, "a", 1, prefix=5)[0]
    for number in range(4):  # the other tenant's answers tell that it isn't the server
        world.request(f"b{number}", session=1000, prefix=5, tenant=1)
        if world.at[f"b{number}"] == home:
            world.outcome(f"b{number}", i.Status.PREFILLED, latency_ms=0)
        world.end(f"b{number}")
        world.request(f"c{number}", session=1000, prefix=5, tenant=0)
        if world.at[f"c{number}"] == home:
            world.outcome(f"c{number}", i.Status.FULL, latency_ms=0)
        world.end(f"c{number}")
    others = used(world, "e", 60, prefix=5, tenant=1).count(home)
    assert used(world, "d", 60, prefix=5, tenant=0).count(home) < 0.7 * others


def test_when_all_fail_some_are_still_used() -> None:
    world = World()
    for number in range(12):
        world.request(f"a{number}", session=number)
        while not finals(world.last):
            world.outcome(f"a{number}", i.Status.CONNECT_FAILED)
    assert len(sends(world.request("z", session=99))) == 1


def test_a_slow_reader_loses_new_sessions_to_the_next_in_rank() -> None:
    world = World()
    before = used(world, "a", 60, prefix=5)
    home = before[0]
    world.request("b", session=1000, prefix=5)
    world.outcome("b", i.Status.PREFILLED, latency_ms=50)
    for name in ("c", "d"):
        world.request(name, session=1000, prefix=5)
        if world.at[name] == home:
            world.outcome(name, i.Status.PREFILLED, latency_ms=600)
    after = used(world, "e", 60, prefix=5)
    assert after.count(home) < before.count(home) / 2


def test_a_writer_with_long_waits_is_passed_over() -> None:
    fleet = (entry("r", READER), *(entry(f"w{n}", WRITER) for n in range(2)))
    world = World(fleet)
    for number in range(20):
        world.read(f"a{number}", session=number)
        slow = world.at[f"a{number}"] == "w0"
        world.now_ms += 100
        world.give(i.FirstToken(f"a{number}", 1, world.at[f"a{number}"], 450 if slow else 30))
        world.outcome(f"a{number}", i.Status.OK, over=True)
    for number in range(40):
        world.read(f"b{number}", session=number)
        world.end(f"b{number}")
    assert [world.at[f"b{n}"] for n in range(40)].count("w0") < 14


def test_states_leave_a_cell_whose_writers_are_too_few() -> None:
    fleet = (*(entry(f"r{n}", READER, 0) for n in range(3)), entry("near", WRITER, 0), entry("s", READER, 1),
             *(entry(f"far{n}", WRITER, 1) for n in range(3)))
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
        world.outcome(f"a{number}", i.Status.PREFILLED, latency_ms=600)
        world.first(f"a{number}")
        world.outcome(f"a{number}", i.Status.OK, over=True)
    world.request("z", session=3)
    assert not cancelled(world.wait(900))


def test_restarted_server_starts_slowly_but_is_not_starved() -> None:
    world = World()
    home = used(world, "a", 1, prefix=5)[0]
    again = replace(next(e for e in FLEET if e.server == home), started_ms=world.now_ms)
    world.give(i.Members(i.ListForm.CHANGES, 2, (again,)))
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


def jam(world: World) -> None:
    """Make every reader known as slow: reads of 3 s after a few quick ones."""
    for number in range(40):
        world.request(f"jam{number}", session=1000 + number)
        if f"jam{number}" in world.at:
            world.outcome(f"jam{number}", i.Status.PREFILLED, latency_ms=50 if number < 8 else 3000)
            world.end(f"jam{number}")


def test_overload_is_shed_before_the_read_with_a_time_to_come_back_and_ends_by_itself() -> None:
    world = World()
    jam(world)
    assert world.request("a", session=1) == [i.Refuse("a", 250)]
    world.now_ms += 20_000  # the delay that was seen fades, also when all are refused
    assert len(sends(world.request("b", session=1))) == 1


def test_worth_and_share_decide_who_is_shed_first() -> None:
    classes = (replace(SAFE, worth=2.0), replace(SAFE, worth=0.2))
    tenants = (i.Tenant(0.5, quota_per_s=4.0), i.Tenant(0.5, quota_per_s=400.0))
    world = World((entry("r", READER), entry("w", WRITER)), classes=classes, tenants=tenants)
    world.serve("warm-up", session=1, tenant=1)
    for number in range(3):  # a wait of about 700 ms where 1000 are wanted
        world.request(f"slow{number}", session=1, tenant=1)
        world.outcome(f"slow{number}", i.Status.PREFILLED, latency_ms=760)
        world.end(f"slow{number}")
    assert sends(world.request("dear", session=2, tenant=1))
    assert finals(world.request("cheap", session=3, tenant=1, class_index=1))
    served = [bool(sends(world.request(f"t{n}", session=4 + n, prompt_tokens=1))) for n in range(6)]
    assert served == [True] * 4 + [False] * 2  # two a second is this router's part, four may come together


def test_without_cancel_silence_is_bounded_by_the_attempts_time_out() -> None:
    world = World(may_cancel=False)
    send = world.request("a", session=1)[0]
    assert isinstance(send, i.Send) and send.timeout_ms is not None and send.timeout_ms < 1000
    assert not cancelled(world.wait(4000))


def test_a_restarted_reader_no_longer_holds_its_sessions() -> None:
    world = World()
    home = world.serve("a", session=7)
    other = next(key for key in range(1, 100) if World().serve("x", session=1, prefix=key) != home)
    assert world.serve("b", session=7, prefix=other) == home
    world.now_ms += 10
    again = replace(next(e for e in FLEET if e.server == home), started_ms=world.now_ms)
    world.give(i.Members(i.ListForm.CHANGES, 2, (again,)))
    world.wait(15_000)  # warm again, within the time-to-live of the binding
    assert world.serve("c", session=7, prefix=other) != home


def test_a_booking_at_a_silent_writer_is_left_to_answer_and_a_query_is_moved() -> None:
    unsafe = replace(SAFE, effect=i.Effect.UNSAFE)
    world = World(classes=(SAFE, unsafe))
    world.read("a", class_index=1)
    assert not cancelled(world.wait(4000))  # cancelled, it could only be failed
    world.first("a")
    world.read("b", class_index=0)
    assert cancelled(world.wait(4000))


def test_a_long_wait_sheds_in_proportion_so_that_news_goes_on_coming() -> None:
    world = World()
    for number in range(4):  # answers that start late tell that the links are slow
        world.read(f"a{number}", session=number, prefix=5)
        world.give(i.FirstToken(f"a{number}", world.attempts[f"a{number}"], world.at[f"a{number}"], 1200))
    sent = [bool(sends(world.request(f"b{n}", session=100 + n, prefix=5))) for n in range(60)]
    assert 0 < sum(sent) < 60


def test_a_first_read_that_waited_does_not_make_a_fresh_router_refuse_for_long() -> None:
    world = World()
    for number, latency_ms in enumerate((2000, 60, 60)):  # the first one met a queue
        world.request(f"a{number}", session=number, prefix=5)
        world.outcome(f"a{number}", i.Status.PREFILLED, latency_ms=latency_ms)
        world.first(f"a{number}")
        world.outcome(f"a{number}", i.Status.OK, over=True)
    assert world.policy.prefill_ms_per_token < 0.1


def test_a_tenant_keeps_its_part_of_what_comes_while_peers_are_down() -> None:
    """All tenants then ask more of this router than its part of their quotas; one that alone does is over."""
    tenants = (i.Tenant(0.5, quota_per_s=8.0), i.Tenant(0.5, quota_per_s=8.0))
    over = {}
    for both in (True, False):
        world = World(tenants=tenants)
        judged = []
        for number in range(48):  # 16 a second are the quotas of both routers together; this one gets all
            world.now_ms += 62.5
            world.request(f"a{number}", session=number, tenant=number % 2 if both else 0)
            judged.append(world.policy.jobs[f"a{number}"].value < 1)
            world.end(f"a{number}")
        over[both] = sum(judged)
    assert over[True] <= 8 and over[False] >= 16


def test_a_short_read_behind_long_ones_does_not_pass_for_a_slow_fleet() -> None:
    world = World()
    for number in range(8):
        world.serve(f"a{number}", session=number)
    before = world.policy.prefill_ms_per_token
    for number in range(10):
        world.request(f"b{number}", session=100 + number)
        world.outcome(f"b{number}", i.Status.PREFILLED, latency_ms=1000, note=1000)  # all was cached
        world.end(f"b{number}")
    assert world.policy.prefill_ms_per_token < 1.5 * before


def test_a_slow_link_out_of_a_cell_says_nothing_of_fetches_within_it() -> None:
    world = World()
    reader = world.read("a", session=1)
    near = {"r0": {"w0", "w1"}, "r1": {"w0", "w1"}}.get(reader, {"w2", "w3"})
    while world.at["a"] in near:
        world.outcome("a", i.Status.FULL)
    world.give(i.FirstToken("a", world.attempts["a"], world.at["a"], 3000))
    assert world.read("b", session=1) == reader and world.at["b"] in near
    world.first("b")
    world.outcome("b", i.Status.OK, over=True)
    assert sends(world.request("c", session=2))


def test_nothing_is_kept_of_servers_and_cells_that_have_given_way() -> None:
    """On a long day all of them do, under new names, again and again."""
    world = World(())
    sizes = []
    for day in range(8):
        fleet = tuple(replace(e, server=f"{e.server}-{day}", cell=2 * day + e.cell) for e in FLEET)
        world.give(i.Members(i.ListForm.FULL, day + 1, fleet))
        for number in range(12):
            world.serve(f"a{day}-{number}", session=100 * day + number, prefix=1000 * day + number)
        world.wait(70_000)
        policy = world.policy
        kept = len(policy.servers) + len(policy.affinities) + len(policy.jobs) + len(policy.rankings)
        kept += len(policy.fetch_delays) + len(policy.spill_chance)
        sizes.append(kept + sum(len(each.cached_prefixes) for each in policy.servers.values()))
    assert max(sizes) < 1.5 * sizes[0]


@pytest.mark.parametrize("status", [i.Status.RESET, i.Status.CONNECT_FAILED])
def test_a_kept_connection_that_breaks_says_nothing_of_its_reader(status: i.Status) -> None:
    world = World()
    home = world.serve("a", session=1)
    for number in range(20):
        world.request(f"b{number}", session=1)
        assert world.at[f"b{number}"] == home
        world.outcome(f"b{number}", status, note=1)
        assert world.at[f"b{number}"] == home
        world.end(f"b{number}")


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
                world.outcome(f"a{old}", i.Status.OK, over=True)
    assert at[50:].count("slow") < 0.3 * len(at[50:])


@pytest.mark.parametrize(("effect", "errors", "left"), [
    (i.Effect.UNSAFE, 1, True), (i.Effect.UNSAFE, 0, False), (i.Effect.SAFE, 2, False),
])  # fmt: skip
def test_a_booking_stays_away_from_a_writer_that_answered_anyones_with_an_error(
    effect: i.Effect, errors: int, left: bool
) -> None:
    fleet = tuple(each for each in FLEET if each.server in ("r0", "w0", "w1"))
    world = World(fleet, classes=(SAFE, replace(SAFE, effect=effect)))
    number = 0
    while errors:
        number += 1
        world.read(f"a{number}", session=number)
        if world.at[f"a{number}"] == "w0":
            world.outcome(f"a{number}", i.Status.ERROR)
            errors -= 1
        world.end(f"a{number}")
    chosen = []
    for number in range(40):
        world.read(f"b{number}", session=number, class_index=1)
        chosen.append(world.at[f"b{number}"])
        world.end(f"b{number}")
    assert ("w0" not in chosen) == left and "w1" in chosen


def test_a_tier_of_many_quiet_routers_remembers_a_failing_writer_together() -> None:
    """Each forgot it in the seconds until its next request there: together they failed some all the time."""
    fleet = tuple(each for each in FLEET if each.server[0] == "w" or each.server == "r0")
    worlds = [World(fleet, seed=seed, routers=40, router=seed) for seed in range(40)]
    failed = Counter[int]()
    for second in range(40):
        for world in worlds:
            world.wait(1000)
            world.read(f"a{second}", session=second)
            while world.at[f"a{second}"] == "w0":
                failed[second // 20] += 1
                world.outcome(f"a{second}", i.Status.ERROR)
            world.first(f"a{second}")
            world.outcome(f"a{second}", i.Status.OK, over=True)
    assert failed[1] <= 85  # of 800 requests; 119 where all forgot in ten seconds


def test_servers_that_no_connection_reaches_get_nothing_unless_there_are_no_others() -> None:
    world = World()
    world.give(i.Unreachable(frozenset({"r0", "r1", "w0", "w1"})))
    for number in range(20):
        assert world.read(f"a{number}", session=number) in ("r2", "r3")
        assert world.at[f"a{number}"] in ("w2", "w3")
    world.give(i.Unreachable(frozenset({"r0", "r1", "r2", "r3"})))
    assert world.read("b", session=99) in ("r0", "r1", "r2", "r3")
    world.give(i.Unreachable(frozenset()))
    assert {world.read(f"c{number}", session=100 + number) for number in range(20)} > {"r2"}
