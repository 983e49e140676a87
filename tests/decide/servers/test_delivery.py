"""Whom to check by a connection, and what is given up behind one that did not come up."""

from ringledge.decide.servers.delivery import AGAIN_MS, CHECK_MS, Arrivals
from ringledge.decide.servers.reachability import Reachability


def world() -> tuple[Reachability, Arrivals]:
    reach = Reachability()
    reach.listed([("s0", 0), ("s1", 0)])
    return reach, Arrivals(reach)


def test_a_server_that_owes_an_answer_is_checked_once_at_a_time() -> None:
    _, arrivals = world()
    waiting = [("s0", 0.0), ("s0", 10.0), ("s1", 200.0)]
    assert not arrivals.due(CHECK_MS - 1, waiting)
    assert arrivals.due(CHECK_MS, waiting) == ["s0"]
    assert not arrivals.due(CHECK_MS + 50, waiting)
    arrivals.checked(CHECK_MS + 60, "s0")
    assert arrivals.due(CHECK_MS + 200, waiting) == ["s1"]
    assert not arrivals.due(CHECK_MS + 60 + AGAIN_MS - 1, waiting)
    assert arrivals.due(CHECK_MS + 60 + AGAIN_MS, waiting) == ["s0"]


def test_a_server_that_was_heard_by_another_call_is_not_checked() -> None:
    reach, arrivals = world()
    reach.heard("s0", 200.0)
    assert not arrivals.due(CHECK_MS + 100, [("s0", 0.0)])
    assert arrivals.due(CHECK_MS + 200, [("s0", 0.0)]) == ["s0"]


def test_what_was_written_before_the_server_was_heard_last_has_arrived() -> None:
    reach, arrivals = world()
    reach.heard("s0", 100.0)
    assert not arrivals.lost("s0", 50.0) and arrivals.lost("s0", 150.0)
