"""The five rules, each by one router alone."""

from collections import Counter
from dataclasses import replace

import pytest

from crowstand import interface as i
from crowstand.view import server_views
from tests.world import FLEET, MIXED, READER, SAFE, WRITER, World, cancelled, entry, finals, released, sends

UNSAFE = replace(SAFE, effect=i.Effect.UNSAFE)
MAY_HAVE_RUN = (i.Status.ERROR, i.Status.TIMEOUT, i.Status.RESET, i.Status.CANCELLED)


def keyed(group: i.DedupScope) -> i.RequestClass:
    return replace(SAFE, effect=i.Effect.KEYED, dedup_scope=group, dedup_window_ms=2000)


# 1. Exactly one final answer, in time.


def test_silent_servers_end_in_one_answer_before_the_deadline() -> None:
    world = World()
    world.request("a", session=1)
    done = world.wait(6000)
    assert len(finals(done)) == 1
    assert not finals(world.wait(10_000))


def test_answer_is_given_at_the_deadline_even_while_an_attempt_is_out() -> None:
    world = World()
    world.request("a", session=1, expires_in_ms=100)
    assert finals(world.wait(100)) == [i.Refuse("a", 250)]
    assert cancelled(world.last)
    assert not sends(world.outcome("a", i.Status.CANCELLED, over=True))


def test_a_started_stream_has_no_deadline() -> None:
    world = World()
    world.read("a", session=1)
    world.first("a")
    assert not finals(world.wait(60_000))


def test_empty_list_gives_an_answer_at_once() -> None:
    assert finals(World(()).request("a", session=1)) == [i.Refuse("a", 250)]


def test_nothing_follows_the_end_of_a_request() -> None:
    world = World()
    world.request("a", session=1)
    world.give(i.ClientGone("a"))
    assert not sends(world.outcome("a", i.Status.ERROR, over=True))
    assert not finals(world.wait(10_000))


def test_strange_names_change_nothing() -> None:
    world = World()
    world.request("a", session=1)
    assert world.give(i.Outcome("nobody", 0, "r0", i.Status.OK)) == []
    assert world.give(i.Outcome("a", 5, "nowhere", i.Status.OK)) == []
    assert world.give(i.FirstToken("nobody", 0, "nowhere")) == []
    assert world.give(i.ClientGone("nobody")) == []
    assert world.give(i.Probed("nowhere", i.Status.OK)) == []
    assert world.give(i.Timer("look:nobody")) == []


# 2. No effect twice, no overlapping attempts.


@pytest.mark.parametrize("status", MAY_HAVE_RUN)
def test_unsafe_request_that_may_have_run_is_failed_not_repeated_or_refused(status: i.Status) -> None:
    world = World(classes=(UNSAFE,))
    world.read("a", session=1)
    done = world.outcome("a", status)
    assert finals(done) == [i.Fail("a")] and not sends(done)


@pytest.mark.parametrize("status", [i.Status.FULL, i.Status.CONNECT_FAILED])
def test_unsafe_request_that_never_ran_goes_on(status: i.Status) -> None:
    world = World(classes=(UNSAFE,))
    world.read("a", session=1)
    first = world.at["a"]
    assert sends(world.outcome("a", status)) not in ([], [first])


def test_an_attempt_at_a_reader_has_no_effect() -> None:
    world = World(classes=(UNSAFE,))
    world.request("a", session=1)
    assert len(sends(world.outcome("a", i.Status.ERROR))) == 1


@pytest.mark.parametrize("group", [i.DedupScope.ZONE, i.DedupScope.CELL])
def test_keyed_repeat_stays_in_its_group(group: i.DedupScope) -> None:
    fleet = (entry("m0", MIXED, 0), entry("m1", MIXED, 0), entry("m2", MIXED, 1), entry("m3", MIXED, 1))
    for session in range(20):
        world = World(fleet, classes=(keyed(group),))
        world.request("a", session=session)
        twin = {"m0": "m1", "m1": "m0", "m2": "m3", "m3": "m2"}[world.at["a"]]
        assert sends(world.outcome("a", i.Status.ERROR)) == [twin]


def test_keyed_repeat_ends_with_the_window_and_refusal_only_for_group_all() -> None:
    for group, answer in ((i.DedupScope.ALL, i.Refuse("a", 250)), (i.DedupScope.ZONE, i.Fail("a"))):
        world = World((entry("m0", MIXED), entry("m1", MIXED)), classes=(keyed(group),))
        world.request("a", session=1)
        world.now_ms += 2000
        done = world.outcome("a", i.Status.TIMEOUT)
        assert not sends(done) and finals(done) == [answer]


def test_attempts_never_overlap() -> None:
    world = World()
    world.request("a", session=1)
    done = world.wait(4000)  # silence: cancelled, but no second send before the outcome
    assert cancelled(done) and not sends(done)
    assert len(sends(world.outcome("a", i.Status.CANCELLED))) == 1


# 3. Drains.


@pytest.mark.parametrize("state", [i.Availability.DRAINING, i.Availability.GONE])
def test_nothing_new_to_a_server_that_drains_or_is_gone(state: i.Availability) -> None:
    world = World()
    home = world.serve("a", session=1)
    told = replace(next(each for each in FLEET if each.server == home), availability=state)
    world.give(i.Members(i.ListForm.CHANGES, 2, (told,)))
    assert world.serve("b", session=1) != home


def test_a_full_list_without_a_server_means_it_is_gone_and_a_failed_one_changes_nothing() -> None:
    world = World()
    home = world.serve("a", session=1)
    world.give(i.Members(i.ListForm.FAILED))
    assert world.serve("b", session=1) == home
    world.give(i.Members(i.ListForm.FULL, 2, tuple(each for each in FLEET if each.server != home)))
    assert world.serve("c", session=1) != home


def test_what_waits_for_a_server_that_is_gone_is_taken_back() -> None:
    world = World()
    world.request("a", session=1)
    gone = replace(next(e for e in FLEET if e.server == world.at["a"]), availability=i.Availability.GONE)
    assert world.give(i.Members(i.ListForm.CHANGES, 2, (gone,))) == [i.Cancel("a", 0)]


def test_asked_list_is_subscribed_at_start_and_again_after_a_failure() -> None:
    world = World(membership=i.MembershipMode.ASK)
    assert i.Subscribe() in world.last
    world.give(i.Members(i.ListForm.FAILED))
    assert i.Subscribe() in world.wait(2500)


# 4. A cold server is not pushed over.


@pytest.mark.parametrize("routers", [3, 60, 200])
def test_many_routers_together_keep_a_cold_servers_budget_and_warm_it(routers: int) -> None:
    """Each router knows nothing of its peers; each second it has one request for the cold server."""
    start = 1_000_000.0
    fleet = tuple(replace(each, started_ms=start) if each.server == "r0" else each for each in FLEET)
    worlds = [World(fleet, seed=seed, routers=routers, router=seed) for seed in range(routers)]
    prefix = next(key for key in range(1, 99) if World().serve("x", session=1, prefix=key) == "r0")
    windows = []
    for second in range(9):
        sent = 0
        for world in worlds:
            world.now_ms = start + 1000 * second
            reader = sends(world.request(f"a{second}", session=1, prefix=prefix, prompt_tokens=100))
            sent += reader == ["r0"]
            world.end(f"a{second}")
        windows.append(sent)
    assert max(windows) <= 6  # of a budget of four times what it can do: a warm one does some a second
    assert sum(windows) >= 3  # and it is not starved


def test_a_busy_router_paces_a_cold_server_by_all_the_work_it_gets_done() -> None:
    world = World(routers=8)
    for number in range(200):  # 20 a second while a server would warm, about 5 at each of four readers
        world.wait(50)
        world.serve(f"a{number}", session=number)
    cold = tuple(replace(each, started_ms=world.now_ms) for each in FLEET if each.server == "r0")
    world.give(i.Members(i.ListForm.CHANGES, 2, cold))
    used = 0
    for number in range(60):
        world.wait(50)
        used += world.serve(f"b{number}", session=1000 + number) == "r0"
    assert used >= 4  # 0.3 of 5 a second and rising, for 3 s; a quarter of the work tells a quarter


def test_many_quiet_routers_together_give_a_cold_reader_what_it_can_read_and_no_more() -> None:
    """Of 40 routers each sees little done: by that alone a fresh reader got next to nothing while cold."""
    routers, start = 40, 1_000_000.0
    worlds = [World(seed=seed, routers=routers, router=seed) for seed in range(routers)]
    cold = tuple(replace(each, started_ms=start + 1000) for each in FLEET if each.server == "r0")
    sent = Counter[int]()
    for world in worlds:
        world.serve("first", session=1, prompt_tokens=900)  # 50 ms for 1,200 with the fixed ones: the pace
        world.now_ms = start + 1000
        world.give(i.Members(i.ListForm.CHANGES, 2, cold))
    for step in range(160):  # 4 s of 0.3 of a reader's capacity; in each all ask for it
        for world in worlds:
            world.wait(25)
            reader = sends(world.request(f"a{step}", session=step, prompt_tokens=900))
            sent[step // 40] += reader == ["r0"]
            world.end(f"a{step}")
    can = 0.3 * 1000 / 50
    assert all(can <= sent[second] <= 4 * can for second in range(1, 4))


def test_a_tier_whose_fleet_is_mostly_fresh_gives_cold_writers_more_than_their_usual_part() -> None:
    """Three in four writers are cold: by their part of the usual alone the last warm one got nearly all."""
    routers, start = 40, 1_000_000.0
    worlds = [World(seed=seed, routers=routers, router=seed) for seed in range(routers)]
    for world in worlds:
        for number in range(40):  # two a second, for as long as a server warms
            world.wait(500)
            world.serve(f"a{number}", session=number)
    cold = tuple(replace(e, started_ms=start + 20_000) for e in FLEET if e.server in ("w1", "w2", "w3"))
    sent = Counter[str]()
    for world in worlds:
        world.give(i.Members(i.ListForm.CHANGES, 2, cold))
    for number in range(12):  # 6 s
        for world in worlds:
            world.wait(500)
            world.serve(f"b{number}", session=1000 + number)
            sent[world.at[f"b{number}"]] += 1
    usual = routers * 12 / 4  # what each of four writers got in as long
    assert all(0.4 * usual < sent[server] <= usual for server in ("w1", "w2", "w3"))  # at 0.3 to 0.7
    assert sent["w0"] < 0.62 * sent.total()  # 0.72 when they got their warmth's part of the usual at most


def test_all_cold_and_spent_means_a_refusal_not_a_push() -> None:
    world = World((entry("r", READER, started_ms=1_000_000.0), entry("w", WRITER)))
    sent = [sends(world.request(f"a{n}", session=n)) for n in range(4)]
    assert sent.count(["r"]) <= 1 and finals(world.last) == [i.Refuse("a3", 250)]
    world.wait(2000)
    assert sends(world.request("c", session=3)) == ["r"]


# 5. Nothing is left pinned.


def test_state_is_released_when_the_request_ended_during_the_read() -> None:
    world = World()
    world.request("a", session=1)
    world.give(i.ClientGone("a"))
    assert released(world.outcome("a", i.Status.PREFILLED, over=True))


def test_state_is_released_when_no_writer_is_left() -> None:
    world = World((entry("r", READER), entry("w", WRITER, availability=i.Availability.DRAINING)))
    world.request("a", session=1)
    done = world.outcome("a", i.Status.PREFILLED)
    assert released(done) and len(finals(done)) == 1


def test_state_is_released_after_a_cancelled_write_and_at_the_last_attempt() -> None:
    world = World()
    world.read("a", session=1)
    world.give(i.ClientGone("a"))
    assert released(world.outcome("a", i.Status.CANCELLED, over=True))
    world.read("b", session=1)
    for _ in range(2):
        assert len(sends(world.outcome("b", i.Status.FULL))) == 1
    done = world.outcome("b", i.Status.FULL)
    assert released(done) and len(finals(done)) == 1


def test_a_lost_state_is_read_anew_and_a_started_one_needs_no_release() -> None:
    world = World()
    world.read("a", session=1)
    assert sends(world.outcome("a", i.Status.FULL, note=1))[0].startswith("r")
    world.outcome("a", i.Status.PREFILLED)
    world.first("a")
    assert not released(world.outcome("a", i.Status.OK, over=True))


def test_a_fleet_that_comes_back_cold_is_not_stormed_by_failed_sends() -> None:
    world = World()
    for number in range(60):  # all are down: connections fail, which is no evidence of what a server can do
        world.request(f"a{number}", session=number)
        while not finals(world.last):
            world.outcome(f"a{number}", i.Status.CONNECT_FAILED)
    world.now_ms += 1100
    again = tuple(replace(each, started_ms=world.now_ms) for each in FLEET)
    world.give(i.Members(i.ListForm.FULL, 2, again))
    reads = [server for n in range(60) for server in sends(world.request(f"b{n}", session=n))]
    assert all(reads.count(server) <= 1 for server in ("r0", "r1", "r2", "r3"))
    world.now_ms += 2000
    assert any(sends(world.request(f"c{n}", session=n)) for n in range(20))


# Bad input, and a long life.


def test_unknown_class_tenant_or_kind_leads_to_an_answer() -> None:
    world = World((*FLEET, entry("odd", 99)))
    assert finals(world.request("a", session=1, class_index=9)) == [i.Refuse("a")]
    assert sends(world.request("b", session=1, tenant=77))


def test_what_waits_at_a_server_that_is_gone_is_cancelled_once() -> None:
    world = World()
    world.request("a", session=1)
    rest = tuple(each for each in FLEET if each.server != world.at["a"])
    assert world.give(i.Members(i.ListForm.FULL, 2, rest)) == [i.Cancel("a", 0)]
    assert world.give(i.Members(i.ListForm.FULL, 3, rest)) == []


def test_a_booking_whose_read_is_still_out_is_failed_not_refused() -> None:
    """A refusal needs an outcome of every attempt, of reads as well: else it counts as a duplicate."""
    unsafe = replace(SAFE, effect=i.Effect.UNSAFE)
    world = World(classes=(SAFE, unsafe), max_attempts=2)
    world.request("a", class_index=1)
    assert finals(world.wait(6000)) == [i.Fail("a")]


# Out by hand.


@pytest.mark.parametrize("form", [i.ListForm.CHANGES, i.ListForm.FULL])
def test_no_list_lifts_what_was_left_out_by_hand(form: i.ListForm) -> None:
    world = World()
    world.give(i.OperatorOverride("w0", True))
    world.give(i.Members(form, 2, FLEET))
    restarted = tuple(replace(each, started_ms=world.now_ms) for each in FLEET if each.server == "w0")
    world.give(i.Members(i.ListForm.CHANGES, 3, restarted))
    for number in range(40):
        world.read(f"a{number}", session=number)
        assert world.at[f"a{number}"] != "w0"
    seen = {each.server: each for each in server_views(world.policy, world.now_ms)}
    assert seen["w0"].avoided and seen["w0"].availability == i.Availability.DRAINING


@pytest.mark.parametrize("server", ["r0", "w0"])
def test_who_is_called_back_is_undoubted_used_at_once_and_paced_as_cold(server: str) -> None:
    world = World()
    for number in range(8):  # its restart shows as resets
        world.read(f"a{number}", session=number)
        if world.at[f"a{number}"] == "w0":
            world.outcome(f"a{number}", i.Status.RESET)
    world.give(i.OperatorOverride(server, True))
    world.wait(500)
    world.give(i.OperatorOverride(server, False))
    seen = {each.server: each for each in server_views(world.policy, world.now_ms)}[server]
    assert (seen.failure_probability, seen.avoided) == (0.0, False) and seen.warmth == pytest.approx(0.3)
    used = []
    for number in range(10):
        reader = world.read(f"b{number}", session=100 + number)
        used += [reader if server == "r0" else world.at[f"b{number}"]]
    assert used[0] == server and used.count(server) == 1  # the next one only as its warmth allows


# The last call.


def test_at_the_last_call_what_has_not_begun_is_answered_and_let_go() -> None:
    world = World(classes=(SAFE, UNSAFE), retry_after=True)
    world.read("begun")
    world.first("begun")
    world.request("reading")
    world.read("writing", class_index=1)
    last = world.give(i.Shutdown())
    refused = [action for action in last if isinstance(action, i.Refuse)]
    assert [each.request for each in refused] == ["reading"] and refused[0].retry_after_ms
    assert [action.request for action in last if isinstance(action, i.Fail)] == ["writing"]  # it may have run
    world.outcome("reading", i.Status.PREFILLED, over=True)
    assert released(world.last)
    assert world.give(i.Shutdown()) == []
