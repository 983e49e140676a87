"""Forty routers together that get one or two requests a second each; the test plays the servers."""

from __future__ import annotations

from collections import Counter
from dataclasses import replace

from ringledge.decide.servers.reachability import Reachability
from ringledge.routing.interface import (
    AttemptStatus,
    Availability,
    EndpointUpdate,
    EndpointUpdateKind,
    UnreachableServers,
)
from tests.router_harness import FLEET, PREFILL_KIND, RouterHarness, final_answers, server_entry

ROUTERS = 40


def refused_connections(world: RouterHarness, reach: Reachability, name: str, removed: set[str]) -> int:
    """Play a request until it streams or is answered; how many connections were refused to it."""
    refused = 0
    while not final_answers(world.last_actions):
        if world.server_of[name] in removed:
            refused += 1
            reach.record_refusal(world.server_of[name], world.now_ms)
            world.deliver(UnreachableServers(reach.unreachable_servers(world.now_ms)))
            world.outcome(name, AttemptStatus.CONNECT_FAILED, latency_ms=1)
        elif world.server_of[name][0] == "r":
            world.outcome(name, AttemptStatus.PREFILLED)
        else:
            world.first_token(name)
            world.outcome(name, AttemptStatus.OK, request_ended=True)
            break
    return refused


def test_persisted_list_of_mostly_removed_servers_costs_few_connection_attempts() -> None:
    """A third of the list is there, the rest refuses. Requests ended as five refused connects."""
    removed = [server_entry(f"g{n}", n % 2, cell=n % 2) for n in range(16)]
    listed, names = (*FLEET, *removed), {each.server for each in removed}
    later, ended = 0, 0
    for seed in range(ROUTERS):
        world = RouterHarness(listed, seed=seed, routers=ROUTERS, router=seed, max_attempts=6)
        reach = Reachability()
        reach.update_servers((each.server, each.zone) for each in listed)
        for number in range(40):
            world.advance(500)
            world.deliver(UnreachableServers(reach.unreachable_servers(world.now_ms)))
            world.request(f"a{number}", session=number)
            refused = refused_connections(world, reach, f"a{number}", names)
            later += refused * (number >= 20)
            ended += bool(final_answers(world.last_actions))
    assert later < 0.9 * ROUTERS * 20  # in the second ten seconds; 1.13 a request where they fade in three
    assert ended < 0.08 * ROUTERS * 40  # nearly all before anything is known


def test_replacing_all_prefill_servers_overloads_no_cold_server_and_avoids_the_outlier() -> None:
    start = 1_000_000.0
    worlds = [RouterHarness(seed=seed, routers=ROUTERS, router=seed) for seed in range(ROUTERS)]
    for number in range(20):
        for world in worlds:
            world.advance(500)
            world.serve(f"a{number}", session=number)
    began = start + 10_000
    new = [server_entry(f"n{n}", PREFILL_KIND, cell=n % 2, started_ms=began + 1_500 * n) for n in range(4)]
    sent, failed = Counter[tuple[str, int]](), 0
    for number in range(28):  # 14 s; in the first 7 one reader after the other gives way to a new one
        for world in worlds:
            world.advance(500)
            if number % 3 == 0 and number < 12:
                old = replace(FLEET[number // 3], availability=Availability.DRAINING)
                world.deliver(EndpointUpdate(EndpointUpdateKind.CHANGES, number + 2, (old, new[number // 3])))
            name = f"b{number}"
            world.request(name, session=1000 + number)
            while not final_answers(world.last_actions) and world.server_of[name][0] in "rn":
                sent[world.server_of[name], number // 2] += 1
                bad = world.server_of[name] == "n3"
                failed += bad and number >= 20
                world.outcome(name, AttemptStatus.ERROR if bad else AttemptStatus.PREFILLED)
            if not final_answers(world.last_actions):
                world.first_token(name)
                world.outcome(name, AttemptStatus.OK, request_ended=True)
    usual = ROUTERS * 2 / 4  # reads a second at each of four; the rule bears four times the present capacity
    for (server, second), count in sent.items():
        if server in ("n0", "n1", "n2"):
            age_s = max(0.0, second + 1 - 1.5 * int(server[1]))
            warmth = min(1.0, 0.3 + 0.07 * age_s)
            assert count <= 4 * warmth * 2 * usual, (server, second)  # at twice the usual it would be full
    assert failed < 0.15 * 8 * ROUTERS  # of the last four seconds' requests
