"""Releases: for every run of losses with one server that can be reached, the state is let go in time."""

from collections import Counter
from dataclasses import dataclass
from heapq import heappop, heappush
from itertools import pairwise
from math import inf

from hypothesis import given, settings
from hypothesis import strategies as st

from ringledge.decide.servers.reachability import Reachability
from ringledge.decide.servers.releases import AGAIN_MS, WATCH_MS, Ask, Ended, Releases

LET_GO_MS = 500.0
WAY_MS, TRY_MS = 5.0, 300.0  # a call's way there and back, and how long it is waited for


@dataclass
class Box:
    """A server that hears what comes from `from_ms` to `to_ms`; else it refuses or says nothing."""

    from_ms: float = 0.0
    to_ms: float = inf
    refuses: bool = False
    zone: int = 0


class World:
    """Plays calls and their losses on a clock of its own."""

    def __init__(self, boxes: dict[str, Box]) -> None:
        self.boxes, self.reach, self.heard = boxes, Reachability(), list[tuple[float, Ask]]()
        self.reach.listed((name, box.zone) for name, box in boxes.items())
        self.releases = Releases(LET_GO_MS, self.reach, lambda: dict.fromkeys(self.boxes, True))
        self.ended, self.out, self.most = list[Ended](), Counter[str](), 0

    def play(self, until_ms: float, at_ms: float = 0.0) -> None:
        """Step, carry out what is asked, and go on to what comes next."""
        events: list[tuple[float, int, Ask, bool]] = []
        while at_ms <= until_ms:
            for ask in self.releases.step(at_ms):
                box = self.boxes[ask.server]
                hears = box.from_ms <= at_ms < box.to_ms
                self.out[ask.server] += 1
                self.most = max(self.most, self.out[ask.server])
                if hears:
                    self.heard.append((at_ms, ask))
                took = WAY_MS if hears or box.refuses else TRY_MS
                heappush(events, (at_ms + took, len(self.heard) + sum(self.out.values()), ask, hears))
            self.ended += self.releases.ended()
            at_ms = min(self.releases.wake_ms(), events[0][0] if events else inf)
            while events and events[0][0] <= at_ms:
                _, _, ask, hears = heappop(events)
                self.out[ask.server] -= 1
                if hears:
                    self.reach.heard(ask.server, at_ms)
                    self.releases.answered(at_ms, ask)
                else:
                    if not self.boxes[ask.server].refuses:
                        self.reach.silent(ask.server, at_ms)
                    self.releases.unanswered(at_ms, ask)


boxes = st.builds(Box, st.sampled_from([0.0, 450.0, inf]), st.just(inf), st.booleans(), st.integers(0, 2))


@given(st.lists(boxes, max_size=7), st.integers(0, 7), st.data())
def test_with_one_server_that_hears_the_state_is_let_go_in_time(
    some: list[Box], place: int, data: st.DataObject
) -> None:
    some.insert(min(place, len(some)), Box())
    world = World({f"s{n}": box for n, box in enumerate(some)})
    holder = data.draw(st.sampled_from(sorted(world.boxes)))
    world.releases.add(0.0, "a", {holder}, {})
    world.play(2_000.0)
    assert world.heard and world.heard[0][0] <= LET_GO_MS
    assert [(each.request, each.how) for each in world.ended] == [("a", "done")]


@settings(deadline=None, max_examples=20)
@given(st.integers(2, 8), st.integers(9, 400))
def test_many_releases_never_have_two_calls_out_to_a_server(servers: int, releases: int) -> None:
    world = World({f"s{n}": Box() for n in range(servers)})
    for n in range(releases):
        world.releases.add(0.0, f"q{n}", {f"s{n % servers}"}, {})
    world.play(60_000.0)
    assert world.most == 1 and len(world.ended) == releases
    assert [ask.request for _, ask in world.heard][:servers] == [f"q{n}" for n in range(servers)]


def test_a_holder_that_can_be_heard_is_asked_alone() -> None:
    world = World({"s0": Box(), "s1": Box()})
    world.releases.add(0.0, "a", {"s1"}, {})
    world.play(1_000.0)
    assert world.heard == [(0.0, Ask("a", "s1"))] and world.ended[0].holder


def test_a_holder_known_as_silent_costs_no_wait() -> None:
    world = World({"s0": Box(inf), "s1": Box()})
    world.reach.silent("s0", 0.0)
    world.releases.add(1.0, "a", {"s0"}, {})
    world.play(10.0, 1.0)
    assert world.heard == [(1.0, Ask("a", "s1"))]


def test_a_silent_hall_is_passed_over_and_one_that_answered_lately_asked() -> None:
    hall = {f"s{n}": Box(inf, zone=1) for n in range(20)}
    world = World(hall | {"t": Box(zone=2), "u": Box(zone=2)})
    world.reach.silent("s3", 0.0)
    world.reach.silent("s4", 0.0)
    world.reach.heard("u", 0.0)
    world.releases.add(1.0, "a", {"s7"}, {})
    world.play(10.0, 1.0)
    assert world.heard == [(1.0, Ask("a", "u"))]


def test_the_holder_back_at_490_ms_is_told_in_time_where_there_is_no_other() -> None:
    """The time counts from the call that a running server hears, so the last one asked must come then."""
    world = World({"s0": Box(490.0, refuses=True)})
    world.releases.add(0.0, "a", {"s0"}, {})
    world.play(2_000.0)
    assert 490.0 <= world.heard[0][0] <= 490.0 + 2 * WAY_MS + 30.0


def test_what_a_read_leaves_unseen_is_let_go_again_until_its_server_is_heard() -> None:
    """A read at a server that was cut off may end well after the first release was heard elsewhere."""
    world = World({"s0": Box(1_500.0), "s1": Box()})
    world.reach.silent("s0", -1.0)
    world.releases.add(0.0, "a", set(), {"s0": 0.0})
    world.play(WATCH_MS)
    at_ms = [at_ms for at_ms, _ in world.heard]
    assert all(later - earlier <= AGAIN_MS + 2 * WAY_MS for earlier, later in pairwise(at_ms))
    assert world.heard[-1][1].server == "s0" and at_ms[-1] >= 1_500.0 and len(world.ended) == 1
    assert world.ended[0].took_ms <= WAY_MS


def test_a_request_whose_answer_began_needs_none_where_all_were_heard_since() -> None:
    world = World({"s0": Box(), "s1": Box()})
    world.reach.heard("s0", 5.0)
    world.releases.add(10.0, "a", set(), {"s0": 4.0}, True)
    assert not len(world.releases)
    world.releases.add(10.0, "b", set(), {"s0": 4.0, "s1": 4.0}, True)
    assert len(world.releases) == world.releases.unheard() == 1


def test_it_ends_where_nobody_is_listed_or_nobody_ever_hears() -> None:
    world = World({})
    world.releases.add(0.0, "a", {"s0"}, {})
    world.play(100.0)
    silent = World({"s0": Box(inf)})
    silent.releases.add(0.0, "a", {"s0"}, {})
    silent.play(30_000.0)
    assert [each.how for each in world.ended + silent.ended] == ["gone", "lost"]
