"""Forty routers that get two requests per second each; the test acts as the servers."""

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


def refused_connections(
    harness: RouterHarness, reachability: Reachability, name: str, removed: set[str]
) -> int:
    """Advance a request until it is answered; return its number of refused connections."""
    refused = 0
    while not final_answers(harness.last_actions):
        if harness.server_of[name] in removed:
            refused += 1
            reachability.record_refusal(harness.server_of[name], harness.now_ms)
            harness.deliver(UnreachableServers(reachability.unreachable_servers(harness.now_ms)))
            harness.outcome(name, AttemptStatus.CONNECT_FAILED, latency_ms=1)
        elif harness.server_of[name][0] == "r":
            harness.outcome(name, AttemptStatus.PREFILLED)
        else:
            harness.first_token(name)
            harness.outcome(name, AttemptStatus.OK, request_ended=True)
            break
    return refused


def test_persisted_list_of_mostly_removed_servers_costs_few_connection_attempts() -> None:
    """Only a third of the listed servers exist. The fault was requests that ended after five refusals."""
    removed = [server_entry(f"g{n}", n % 2, cell=n % 2) for n in range(16)]
    listed, names = (*FLEET, *removed), {each.server for each in removed}
    refused_later, ended = 0, 0
    for seed in range(ROUTERS):
        harness = RouterHarness(listed, seed=seed, routers=ROUTERS, router=seed, max_attempts=6)
        reachability = Reachability()
        reachability.update_servers((each.server, each.zone) for each in listed)
        for step in range(40):
            harness.advance(500)
            harness.deliver(UnreachableServers(reachability.unreachable_servers(harness.now_ms)))
            harness.request(f"a{step}", session=step)
            refused = refused_connections(harness, reachability, f"a{step}", names)
            refused_later += refused * (step >= 20)
            ended += bool(final_answers(harness.last_actions))
    # Refusals per request in the second 10 s: below 0.9, and 1.13 if unreachability decays within 3 s.
    assert refused_later < 0.9 * ROUTERS * 20
    assert ended < 0.08 * ROUTERS * 40  # nearly all of them before the first observations


def test_replacing_all_prefill_servers_overloads_no_cold_server_and_avoids_the_outlier() -> None:
    start = 1_000_000.0
    harnesses = [RouterHarness(seed=seed, routers=ROUTERS, router=seed) for seed in range(ROUTERS)]
    for step in range(20):
        for harness in harnesses:
            harness.advance(500)
            harness.serve(f"a{step}", session=step)
    replacement_ms = start + 10_000
    new = [
        server_entry(f"n{n}", PREFILL_KIND, cell=n % 2, started_ms=replacement_ms + 1_500 * n)
        for n in range(4)
    ]
    sent, failed = Counter[tuple[str, int]](), 0
    for step in range(28):  # 14 s; in the first 7 s the prefill servers are replaced one by one
        for harness in harnesses:
            harness.advance(500)
            if step % 3 == 0 and step < 12:
                old = replace(FLEET[step // 3], availability=Availability.DRAINING)
                harness.deliver(EndpointUpdate(EndpointUpdateKind.CHANGES, step + 2, (old, new[step // 3])))
            name = f"b{step}"
            harness.request(name, session=1000 + step)
            while not final_answers(harness.last_actions) and harness.server_of[name][0] in "rn":
                sent[harness.server_of[name], step // 2] += 1
                failing = harness.server_of[name] == "n3"
                failed += failing and step >= 20
                harness.outcome(name, AttemptStatus.ERROR if failing else AttemptStatus.PREFILLED)
            if not final_answers(harness.last_actions):
                harness.first_token(name)
                harness.outcome(name, AttemptStatus.OK, request_ended=True)
    # Prefills per second at each of four servers. A server may be sent up to four times its present capacity.
    usual_rate = ROUTERS * 2 / 4
    for (server, second), count in sent.items():
        if server in ("n0", "n1", "n2"):
            age_s = max(0.0, second + 1 - 1.5 * int(server[1]))
            warmth = min(1.0, 0.3 + 0.07 * age_s)
            # A warm server is at capacity at twice the usual rate.
            assert count <= 4 * warmth * 2 * usual_rate, (server, second)
    assert failed < 0.15 * 8 * ROUTERS  # of the requests of the last 4 s
