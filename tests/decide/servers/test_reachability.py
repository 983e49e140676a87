"""Who can be reached, and how long a connection may take."""

from ringledge.decide.servers.connect_timeout import (
    MIN_SAMPLES,
    MIN_TIMEOUT_S,
    ConnectTimeout,
    hold_remaining_s,
)
from ringledge.decide.servers.reachability import CACHE_MS, EXPIRY_MS, REFUSED_MS, Reachability

HALLS = [(f"{zone}{n}", place) for place, zone in enumerate("abc") for n in range(4)]
HALL_B = {"b0", "b1", "b2", "b3"}


def reach() -> Reachability:
    known = Reachability(zone=0)
    known.listed(HALLS)
    return known


def test_two_silent_servers_of_a_hall_tell_of_all_of_it_until_one_is_heard() -> None:
    known = reach()
    known.silent("b0", 100.0)
    assert known.silences(100.0) == {"b0"} and not known.doubtful("b1", 100.0)
    known.silent("b1", 200.0)
    assert known.silences(200.0) == HALL_B and known.doubtful("b3", 200.0)
    known.heard("b2", 300.0)
    assert known.silences(300.0) == {"b0", "b1"}
    known.heard("b0", 400.0)
    assert known.silences(400.0) == {"b1"}


def test_silent_servers_of_a_hall_that_is_heard_tell_of_themselves_alone() -> None:
    known = reach()
    for at_ms, server in enumerate(("b0", "b1", "b2")):
        known.heard("b3", at_ms * 100.0 - 1)
        known.silent(server, at_ms * 100.0)
    assert known.silences(300.0) == {"b0", "b1", "b2"}


def test_a_refused_connection_tells_of_its_server_alone() -> None:
    known = reach()
    known.refused("b0", 0.0)
    known.refused("b1", 0.0)
    assert known.doubtful("b0", 1.0) and not known.doubtful("b2", 1.0)
    assert known.silences(1.0) == {"b0", "b1"}
    known.heard("b1", 2.0)
    assert known.silences(2.0) == {"b0"}


def test_a_server_that_refuses_again_and_again_is_left_alone_ever_longer() -> None:
    known, now_ms, tries = reach(), 0.0, 0
    while now_ms < 60_000.0:  # the list that should say that it is gone does not come
        if "b0" not in known.silences(now_ms):
            known.refused("b0", now_ms)
            tries += 1
        now_ms += 25.0
    assert tries == 6  # after 0, 1, 3, 7, 15 and 31 s, each a look later; a fade of 3 s would make it 20
    assert known.silences(60_000.0) == {"b0"} and not known.silences(62_000.0)


def test_a_server_that_was_heard_again_is_no_worse_than_new() -> None:
    known = reach()
    for at_ms in (0.0, 2_000.0, 5_000.0):
        known.refused("b0", at_ms)
    known.heard("b0", 20_000.0)
    known.refused("b0", 30_000.0)
    assert known.silences(30_000.0 + REFUSED_MS - 1) == {"b0"}
    assert not known.silences(30_000.0 + REFUSED_MS + CACHE_MS)


def test_a_silence_fades_so_that_a_hall_that_is_back_is_tried() -> None:
    known = reach()
    known.silent("b0", 0.0)
    known.silent("b1", 0.0)
    assert known.silences(EXPIRY_MS - 1) == HALL_B
    assert not known.silences(EXPIRY_MS + CACHE_MS)


def test_who_answered_last_is_surest_and_else_one_of_our_own_hall() -> None:
    known = reach()
    assert known.surest(["b0", "a3", "c1"]) == "a3"
    known.heard("c1", 1.0)
    assert known.surest(["b0", "a3", "c1"]) == "c1" and known.surest(["x"]) is None


def test_what_is_known_of_servers_that_have_left_is_dropped() -> None:
    known = reach()
    known.silent("b0", 0.0)
    known.silent("b1", 0.0)
    known.listed([each for each in HALLS if each[0] not in ("b0", "b1")])
    assert not known.silences(CACHE_MS) and not known.doubtful("b2", 1.0) and known.doubtful("b0", 1.0)


def test_the_timeout_follows_the_slowest_connection_within_the_setting() -> None:
    timeout = ConnectTimeout(0.25)
    assert timeout.timeout_s() == 0.25
    for _ in range(MIN_SAMPLES):
        timeout.connected(0.001)
    assert timeout.timeout_s() == MIN_TIMEOUT_S
    timeout.connected(0.015)
    assert timeout.timeout_s() == 0.15
    timeout.connected(0.2)
    assert timeout.timeout_s() == 0.25


def test_a_state_has_what_is_left_of_its_time() -> None:
    assert hold_remaining_s(1_000.0, 1_000.0, 500.0) == 0.4
    assert hold_remaining_s(1_400.0, 1_000.0, 500.0) == 0.0
