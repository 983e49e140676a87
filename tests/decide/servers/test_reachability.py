"""Tests the reachability of servers and the connect timeout."""

from ringledge.decide.servers.connect_timeout import (
    MIN_SAMPLES,
    MIN_TIMEOUT_S,
    ConnectTimeout,
    hold_remaining_s,
)
from ringledge.decide.servers.reachability import (
    CACHE_TTL_MS,
    FAILURE_TTL_MS,
    INITIAL_REFUSAL_TTL_MS,
    Reachability,
)

SERVERS = [(f"{zone}{n}", number) for number, zone in enumerate("abc") for n in range(4)]
ZONE_B = {"b0", "b1", "b2", "b3"}


def make_reachability() -> Reachability:
    reachability = Reachability(own_zone=0)
    reachability.update_servers(SERVERS)
    return reachability


def test_zone_is_partitioned_after_two_timeouts_until_one_server_answers() -> None:
    reachability = make_reachability()
    reachability.record_timeout("b0", 100.0)
    assert reachability.unreachable_servers(100.0) == {"b0"} and not reachability.is_likely_unreachable(
        "b1", 100.0
    )
    reachability.record_timeout("b1", 200.0)
    assert reachability.unreachable_servers(200.0) == ZONE_B and reachability.is_likely_unreachable(
        "b3", 200.0
    )
    reachability.record_answer("b2", 300.0)
    assert reachability.unreachable_servers(300.0) == {"b0", "b1"}
    reachability.record_answer("b0", 400.0)
    assert reachability.unreachable_servers(400.0) == {"b1"}


def test_timeouts_count_for_their_servers_alone_while_the_zone_answers() -> None:
    reachability = make_reachability()
    for at_ms, server in enumerate(("b0", "b1", "b2")):
        reachability.record_answer("b3", at_ms * 100.0 - 1)
        reachability.record_timeout(server, at_ms * 100.0)
    assert reachability.unreachable_servers(300.0) == {"b0", "b1", "b2"}


def test_refused_connection_counts_for_its_server_alone() -> None:
    reachability = make_reachability()
    reachability.record_refusal("b0", 0.0)
    reachability.record_refusal("b1", 0.0)
    assert reachability.is_likely_unreachable("b0", 1.0) and not reachability.is_likely_unreachable("b2", 1.0)
    assert reachability.unreachable_servers(1.0) == {"b0", "b1"}
    reachability.record_answer("b1", 2.0)
    assert reachability.unreachable_servers(2.0) == {"b0"}


def test_repeated_refusals_make_a_server_unreachable_for_increasing_times() -> None:
    reachability, now_ms, attempts = make_reachability(), 0.0, 0
    while now_ms < 60_000.0:  # the outdated endpoint list still contains the server
        if "b0" not in reachability.unreachable_servers(now_ms):
            reachability.record_refusal("b0", now_ms)
            attempts += 1
        now_ms += 25.0
    assert attempts == 6  # after 0, 1, 3, 7, 15 and 31 s; a fixed TTL of 3 s would make it 20
    assert reachability.unreachable_servers(60_000.0) == {"b0"} and not reachability.unreachable_servers(
        62_000.0
    )


def test_answer_resets_the_count_of_refusals() -> None:
    reachability = make_reachability()
    for at_ms in (0.0, 2_000.0, 5_000.0):
        reachability.record_refusal("b0", at_ms)
    reachability.record_answer("b0", 20_000.0)
    reachability.record_refusal("b0", 30_000.0)
    assert reachability.unreachable_servers(30_000.0 + INITIAL_REFUSAL_TTL_MS - 1) == {"b0"}
    assert not reachability.unreachable_servers(30_000.0 + INITIAL_REFUSAL_TTL_MS + CACHE_TTL_MS)


def test_timeouts_expire_so_that_a_zone_is_retried() -> None:
    reachability = make_reachability()
    reachability.record_timeout("b0", 0.0)
    reachability.record_timeout("b1", 0.0)
    assert reachability.unreachable_servers(FAILURE_TTL_MS - 1) == ZONE_B
    assert not reachability.unreachable_servers(FAILURE_TTL_MS + CACHE_TTL_MS)


def test_most_recently_reached_is_the_last_to_answer_or_one_of_the_own_zone() -> None:
    reachability = make_reachability()
    assert reachability.most_recently_reached(["b0", "a3", "c1"]) == "a3"
    reachability.record_answer("c1", 1.0)
    assert (
        reachability.most_recently_reached(["b0", "a3", "c1"]) == "c1"
        and reachability.most_recently_reached(["x"]) is None
    )


def test_results_of_servers_no_longer_listed_are_dropped() -> None:
    reachability = make_reachability()
    reachability.record_timeout("b0", 0.0)
    reachability.record_timeout("b1", 0.0)
    reachability.update_servers([server for server in SERVERS if server[0] not in ("b0", "b1")])
    assert (
        not reachability.unreachable_servers(CACHE_TTL_MS)
        and not reachability.is_likely_unreachable("b2", 1.0)
        and reachability.is_likely_unreachable("b0", 1.0)
    )


def test_timeout_follows_the_slowest_connection_up_to_the_configured_limit() -> None:
    timeout = ConnectTimeout(0.25)
    assert timeout.timeout_s() == 0.25
    for _ in range(MIN_SAMPLES):
        timeout.record_connection(0.001)
    assert timeout.timeout_s() == MIN_TIMEOUT_S
    timeout.record_connection(0.015)
    assert timeout.timeout_s() == 0.15
    timeout.record_connection(0.2)
    assert timeout.timeout_s() == 0.25


def test_remaining_hold_time_excludes_the_release_margin() -> None:
    assert hold_remaining_s(1_000.0, 1_000.0, 500.0) == 0.4
    assert hold_remaining_s(1_400.0, 1_000.0, 500.0) == 0.0
