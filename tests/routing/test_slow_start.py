"""Rule 4: no cold server is overloaded, by many routers together."""

from collections import Counter
from dataclasses import replace

import pytest

from ringledge.routing.interface import (
    AttemptStatus,
    EndpointUpdate,
    EndpointUpdateKind,
    RejectRequest,
)
from tests.router_harness import (
    DECODE_KIND,
    FLEET,
    PREFILL_KIND,
    RouterHarness,
    final_answers,
    sent_to,
    server_entry,
)


@pytest.mark.parametrize("routers", [3, 60, 200])
def test_many_routers_together_stay_within_slow_start_budget(routers: int) -> None:
    """Each router knows nothing of its peers; each second it has one request for the cold server."""
    start = 1_000_000.0
    fleet = tuple(replace(each, started_ms=start) if each.server == "r0" else each for each in FLEET)
    worlds = [RouterHarness(fleet, seed=seed, routers=routers, router=seed) for seed in range(routers)]
    prefix = next(key for key in range(1, 99) if RouterHarness().serve("x", session=1, prefix=key) == "r0")
    windows = []
    for second in range(9):
        sent = 0
        for world in worlds:
            world.now_ms = start + 1000 * second
            reader = sent_to(world.request(f"a{second}", session=1, prefix=prefix, prompt_tokens=100))
            sent += reader == ["r0"]
            world.abandon(f"a{second}")
        windows.append(sent)
    assert max(windows) <= 6  # of a budget of four times what it can do: a warm one does some a second
    assert sum(windows) >= 3  # and it is not starved


def test_busy_router_scales_slow_start_with_its_completions() -> None:
    world = RouterHarness(routers=8)
    for number in range(200):  # 20 a second while a server would warm, about 5 at each of four readers
        world.advance(50)
        world.serve(f"a{number}", session=number)
    cold = tuple(replace(each, started_ms=world.now_ms) for each in FLEET if each.server == "r0")
    world.deliver(EndpointUpdate(EndpointUpdateKind.CHANGES, 2, cold))
    used = 0
    for number in range(60):
        world.advance(50)
        used += world.serve(f"b{number}", session=1000 + number) == "r0"
    assert used >= 4  # 0.3 of 5 a second and rising, for 3 s; a quarter of the work tells a quarter


def test_many_quiet_routers_use_cold_prefill_server_within_its_capacity() -> None:
    """Of 40 routers each sees little done: by that alone a fresh reader got next to nothing while cold."""
    routers, start = 40, 1_000_000.0
    worlds = [RouterHarness(seed=seed, routers=routers, router=seed) for seed in range(routers)]
    cold = tuple(replace(each, started_ms=start + 1000) for each in FLEET if each.server == "r0")
    sent = Counter[int]()
    for world in worlds:
        world.serve("first", session=1, prompt_tokens=900)  # 50 ms for 1,200 with the fixed ones: the pace
        world.now_ms = start + 1000
        world.deliver(EndpointUpdate(EndpointUpdateKind.CHANGES, 2, cold))
    for step in range(160):  # 4 s of 0.3 of a reader's capacity; in each all ask for it
        for world in worlds:
            world.advance(25)
            reader = sent_to(world.request(f"a{step}", session=step, prompt_tokens=900))
            sent[step // 40] += reader == ["r0"]
            world.abandon(f"a{step}")
    can = 0.3 * 1000 / 50
    assert all(can <= sent[second] <= 4 * can for second in range(1, 4))


def test_mostly_cold_fleet_gives_cold_decode_servers_more_than_usual() -> None:
    """Three in four writers are cold: by their part of the usual alone the last warm one got nearly all."""
    routers, start = 40, 1_000_000.0
    worlds = [RouterHarness(seed=seed, routers=routers, router=seed) for seed in range(routers)]
    for world in worlds:
        for number in range(40):  # two a second, for as long as a server warms
            world.advance(500)
            world.serve(f"a{number}", session=number)
    cold = tuple(replace(e, started_ms=start + 20_000) for e in FLEET if e.server in ("w1", "w2", "w3"))
    sent = Counter[str]()
    for world in worlds:
        world.deliver(EndpointUpdate(EndpointUpdateKind.CHANGES, 2, cold))
    for number in range(12):  # 6 s
        for world in worlds:
            world.advance(500)
            world.serve(f"b{number}", session=1000 + number)
            sent[world.server_of[f"b{number}"]] += 1
    usual = routers * 12 / 4  # what each of four writers got in as long
    assert all(0.4 * usual < sent[server] <= usual for server in ("w1", "w2", "w3"))  # at 0.3 to 0.7
    assert sent["w0"] < 0.62 * sent.total()  # 0.72 when they got their warmth's part of the usual at most


def test_request_is_rejected_when_all_servers_are_cold_without_credit() -> None:
    world = RouterHarness(
        (server_entry("r", PREFILL_KIND, started_ms=1_000_000.0), server_entry("w", DECODE_KIND))
    )
    sent = [sent_to(world.request(f"a{n}", session=n)) for n in range(4)]
    assert sent.count(["r"]) <= 1 and final_answers(world.last_actions) == [RejectRequest("a3", 250)]
    world.advance(2000)
    assert sent_to(world.request("c", session=3)) == ["r"]


def test_cold_fleet_after_outage_is_not_overloaded_by_retries() -> None:
    world = RouterHarness()
    for number in range(60):  # all are down: connections fail, which is no evidence of what a server can do
        world.request(f"a{number}", session=number)
        while not final_answers(world.last_actions):
            world.outcome(f"a{number}", AttemptStatus.CONNECT_FAILED)
    world.now_ms += 1100
    restarted = tuple(replace(each, started_ms=world.now_ms) for each in FLEET)
    world.deliver(EndpointUpdate(EndpointUpdateKind.FULL, 2, restarted))
    reads = [server for n in range(60) for server in sent_to(world.request(f"b{n}", session=n))]
    assert all(reads.count(server) <= 1 for server in ("r0", "r1", "r2", "r3"))
    world.now_ms += 2000
    assert any(sent_to(world.request(f"c{n}", session=n)) for n in range(20))


def test_new_router_sends_cold_decode_servers_their_share() -> None:
    """Two seconds of completions were spread over the time that a server warms: cold ones starved."""
    world = RouterHarness(routers=4, warm_after_ms=10_000, overload_window_ms=1000)
    for number in range(40):  # 20 a second, 5 at each of four decode servers
        world.advance(50)
        world.serve(f"a{number}", session=number)
    cold = tuple(replace(each, started_ms=world.now_ms) for each in FLEET if each.server == "w0")
    world.deliver(EndpointUpdate(EndpointUpdateKind.CHANGES, 2, cold))
    used = 0
    for number in range(40):  # 2 s
        world.advance(50)
        world.prefill(f"b{number}", session=1000 + number)
        used += world.server_of[f"b{number}"] == "w0"
        world.first_token(f"b{number}")
        world.outcome(f"b{number}", AttemptStatus.OK, request_ended=True)
    assert used >= 4  # of 10 that a warm one gets, and 0.75 x 4 x 0.3 x 5 a second that it may


@pytest.mark.parametrize("status", [AttemptStatus.FULL, AttemptStatus.CONNECT_FAILED])
def test_request_attempts_per_server_are_bounded(status: AttemptStatus) -> None:
    """One server was left that was not cold, and each request tried it six times within milliseconds."""
    fleet = tuple(each for each in FLEET if each.server in ("r0", "w0"))
    world = RouterHarness(fleet, max_attempts=6)
    world.prefill("a")
    attempts = 0
    while world.server_of["a"] == "w0" and not final_answers(world.last_actions):
        attempts += 1
        world.outcome("a", status)
    assert attempts == 2
    assert isinstance(final_answers(world.last_actions)[0], RejectRequest)  # at once: it has never run
