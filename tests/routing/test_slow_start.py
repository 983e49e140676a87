"""Slow start: many routers together do not overload a cold server, and do not starve it."""

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
    """Each router has one request per second for the cold server, and does not know of its peers."""
    start = 1_000_000.0
    fleet = tuple(replace(each, started_ms=start) if each.server == "r0" else each for each in FLEET)
    harnesses = [RouterHarness(fleet, seed=seed, routers=routers, router=seed) for seed in range(routers)]
    prefix = next(key for key in range(1, 99) if RouterHarness().serve("x", session=1, prefix=key) == "r0")
    windows = []
    for second in range(9):
        sent = 0
        for harness in harnesses:
            harness.now_ms = start + 1000 * second
            prefill_servers = sent_to(
                harness.request(f"a{second}", session=1, prefix=prefix, prompt_tokens=100)
            )
            sent += prefill_servers == ["r0"]
            harness.abandon(f"a{second}")
        windows.append(sent)
    # The budget is four times the capacity; a warm server completes a few requests per second.
    assert max(windows) <= 6
    assert sum(windows) >= 3  # the server is not starved


def test_busy_router_scales_slow_start_with_its_completions() -> None:
    harness = RouterHarness(routers=8)
    for number in range(200):  # 20/s for the time that a server warms up: 5/s per prefill server
        harness.advance(50)
        harness.serve(f"a{number}", session=number)
    cold = tuple(replace(each, started_ms=harness.now_ms) for each in FLEET if each.server == "r0")
    harness.deliver(EndpointUpdate(EndpointUpdateKind.CHANGES, 2, cold))
    used = 0
    for number in range(60):
        harness.advance(50)
        used += harness.serve(f"b{number}", session=1000 + number) == "r0"
    assert used >= 4  # 5/s is a quarter of the completions; warmth is 0.3 and rises for 3 s


def test_many_quiet_routers_use_cold_prefill_server_within_its_capacity() -> None:
    """Guards against starving a cold prefill server because each of 40 routers sees few completions."""
    routers, start = 40, 1_000_000.0
    harnesses = [RouterHarness(seed=seed, routers=routers, router=seed) for seed in range(routers)]
    cold = tuple(replace(each, started_ms=start + 1000) for each in FLEET if each.server == "r0")
    sent = Counter[int]()
    for harness in harnesses:
        # Sets the prefill rate: 50 ms for 1,200 tokens, including the overhead.
        harness.serve("first", session=1, prompt_tokens=900)
        harness.now_ms = start + 1000
        harness.deliver(EndpointUpdate(EndpointUpdateKind.CHANGES, 2, cold))
    # In 4 s the server has 0.3 of its capacity, and all routers have requests for it in each step.
    for step in range(160):
        for harness in harnesses:
            harness.advance(25)
            prefill_servers = sent_to(harness.request(f"a{step}", session=step, prompt_tokens=900))
            sent[step // 40] += prefill_servers == ["r0"]
            harness.abandon(f"a{step}")
    capacity = 0.3 * 1000 / 50
    assert all(capacity <= sent[second] <= 4 * capacity for second in range(1, 4))


def test_mostly_cold_fleet_gives_cold_decode_servers_more_than_usual() -> None:
    """Guards against one warm decode server getting nearly all requests while the other three are cold."""
    routers, start = 40, 1_000_000.0
    harnesses = [RouterHarness(seed=seed, routers=routers, router=seed) for seed in range(routers)]
    for harness in harnesses:
        for number in range(40):  # 2/s for twice the time that a server warms up
            harness.advance(500)
            harness.serve(f"a{number}", session=number)
    cold = tuple(replace(e, started_ms=start + 20_000) for e in FLEET if e.server in ("w1", "w2", "w3"))
    sent = Counter[str]()
    for harness in harnesses:
        harness.deliver(EndpointUpdate(EndpointUpdateKind.CHANGES, 2, cold))
    for number in range(12):  # 6 s
        for harness in harnesses:
            harness.advance(500)
            harness.serve(f"b{number}", session=1000 + number)
            sent[harness.server_of[f"b{number}"]] += 1
    usual = routers * 12 / 4  # requests of each of four decode servers in the same time
    assert all(0.4 * usual < sent[server] <= usual for server in ("w1", "w2", "w3"))  # warmth 0.3 to 0.7
    assert sent["w0"] < 0.62 * sent.total()  # 0.72 if the usual rate times warmth were the limit


def test_request_is_rejected_when_all_servers_are_cold_without_credit() -> None:
    harness = RouterHarness(
        (server_entry("r", PREFILL_KIND, started_ms=1_000_000.0), server_entry("w", DECODE_KIND))
    )
    sent = [sent_to(harness.request(f"a{n}", session=n)) for n in range(4)]
    assert sent.count(["r"]) <= 1 and final_answers(harness.last_actions) == [RejectRequest("a3", 250)]
    harness.advance(2000)
    assert sent_to(harness.request("c", session=3)) == ["r"]


def test_cold_fleet_after_outage_is_not_overloaded_by_retries() -> None:
    harness = RouterHarness()
    # All servers are down. Failed connections are no evidence of a server's capacity.
    for number in range(60):
        harness.request(f"a{number}", session=number)
        while not final_answers(harness.last_actions):
            harness.outcome(f"a{number}", AttemptStatus.CONNECT_FAILED)
    harness.now_ms += 1100
    restarted = tuple(replace(each, started_ms=harness.now_ms) for each in FLEET)
    harness.deliver(EndpointUpdate(EndpointUpdateKind.FULL, 2, restarted))
    prefills = [server for n in range(60) for server in sent_to(harness.request(f"b{n}", session=n))]
    assert all(prefills.count(server) <= 1 for server in ("r0", "r1", "r2", "r3"))
    harness.now_ms += 2000
    assert any(sent_to(harness.request(f"c{n}", session=n)) for n in range(20))


def test_new_router_sends_cold_decode_servers_their_share() -> None:
    """Guards against starving cold servers of a new router.

    The fault was to average its two seconds of completions over the whole time that a server warms up.
    """
    harness = RouterHarness(routers=4, warm_after_ms=10_000, overload_window_ms=1000)
    for number in range(40):  # 20/s, 5/s at each of four decode servers
        harness.advance(50)
        harness.serve(f"a{number}", session=number)
    cold = tuple(replace(each, started_ms=harness.now_ms) for each in FLEET if each.server == "w0")
    harness.deliver(EndpointUpdate(EndpointUpdateKind.CHANGES, 2, cold))
    used = 0
    for number in range(40):  # 2 s
        harness.advance(50)
        harness.prefill(f"b{number}", session=1000 + number)
        used += harness.server_of[f"b{number}"] == "w0"
        harness.first_token(f"b{number}")
        harness.outcome(f"b{number}", AttemptStatus.OK, request_ended=True)
    assert used >= 4  # a warm server gets 10; the limit is 0.75 x 4 x 0.3 x 5/s


@pytest.mark.parametrize("status", [AttemptStatus.FULL, AttemptStatus.CONNECT_FAILED])
def test_request_attempts_per_server_are_bounded(status: AttemptStatus) -> None:
    """Guards against using up all attempts of a request within milliseconds on the only warm server."""
    fleet = tuple(each for each in FLEET if each.server in ("r0", "w0"))
    harness = RouterHarness(fleet, max_attempts=6)
    harness.prefill("a")
    attempts = 0
    while harness.server_of["a"] == "w0" and not final_answers(harness.last_actions):
        attempts += 1
        harness.outcome("a", status)
    assert attempts == 2
    assert isinstance(final_answers(harness.last_actions)[0], RejectRequest)  # rejected, since it never ran
