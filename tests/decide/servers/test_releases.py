"""Entries are released in time if one server is reachable, whatever failures the others have."""

from collections import Counter
from dataclasses import dataclass
from heapq import heappop, heappush
from itertools import pairwise
from math import inf

from hypothesis import given, settings
from hypothesis import strategies as st

from ringledge.decide.servers.reachability import Reachability
from ringledge.decide.servers.release_state import ReleaseCall, ReleaseOutcome, ReleaseResult
from ringledge.decide.servers.releases import RETRY_INTERVAL_MS, RETRY_WINDOW_MS, ReleaseScheduler

HOLD_LIMIT_MS = 500.0
ROUND_TRIP_MS = 5.0
CALL_TIMEOUT_MS = 300.0


@dataclass
class SimulatedServer:
    """A server that answers from `up_ms` to `down_ms`; else it refuses connections or is unreachable."""

    up_ms: float = 0.0
    down_ms: float = inf
    refuses: bool = False
    zone: int = 0


class Simulation:
    """Simulates release calls and their failures in virtual time."""

    def __init__(self, servers: dict[str, SimulatedServer]) -> None:
        self.servers = servers
        self.reachability = Reachability()
        self.answered = list[tuple[float, ReleaseCall]]()
        self.reachability.update_servers((name, server.zone) for name, server in servers.items())
        self.scheduler = ReleaseScheduler(HOLD_LIMIT_MS, self.reachability, self._listed)
        self.results = list[ReleaseResult]()
        self.in_flight = Counter[str]()
        self.max_in_flight = 0

    def _listed(self) -> dict[str, bool]:
        return dict.fromkeys(self.servers, True)

    def run(self, until_ms: float, at_ms: float = 0.0) -> None:
        """Send due calls and process their results in the order of time, until `until_ms`."""
        events: list[tuple[float, int, ReleaseCall, bool]] = []
        while at_ms <= until_ms:
            for call in self.scheduler.take_due_calls(at_ms):
                server = self.servers[call.server]
                answers = server.up_ms <= at_ms < server.down_ms
                self.in_flight[call.server] += 1
                self.max_in_flight = max(self.max_in_flight, self.in_flight[call.server])
                if answers:
                    self.answered.append((at_ms, call))
                duration_ms = ROUND_TRIP_MS if answers or server.refuses else CALL_TIMEOUT_MS
                order = len(self.answered) + sum(self.in_flight.values())
                heappush(events, (at_ms + duration_ms, order, call, answers))
            self.results += self.scheduler.take_results()
            at_ms = min(self.scheduler.next_wake_ms(), events[0][0] if events else inf)
            while events and events[0][0] <= at_ms:
                _, _, call, answers = heappop(events)
                self.in_flight[call.server] -= 1
                if answers:
                    self.reachability.record_answer(call.server, at_ms)
                    self.scheduler.call_answered(at_ms, call)
                else:
                    if not self.servers[call.server].refuses:
                        self.reachability.record_timeout(call.server, at_ms)
                    self.scheduler.call_failed(at_ms, call)


server_strategy = st.builds(
    SimulatedServer, st.sampled_from([0.0, 450.0, inf]), st.just(inf), st.booleans(), st.integers(0, 2)
)


@given(st.lists(server_strategy, max_size=7), st.integers(0, 7), st.data())
def test_entry_is_released_in_time_if_one_server_answers(
    others: list[SimulatedServer], position: int, data: st.DataObject
) -> None:
    others.insert(min(position, len(others)), SimulatedServer())
    simulation = Simulation({f"s{n}": server for n, server in enumerate(others)})
    holder = data.draw(st.sampled_from(sorted(simulation.servers)))
    simulation.scheduler.add(0.0, "a", {holder}, {})
    simulation.run(2_000.0)
    assert simulation.answered and simulation.answered[0][0] <= HOLD_LIMIT_MS
    assert [(result.request, result.outcome) for result in simulation.results] == [("a", ReleaseOutcome.DONE)]


@settings(deadline=None, max_examples=20)
@given(st.integers(2, 8), st.integers(9, 400))
def test_at_most_one_call_is_in_flight_to_a_server(servers: int, releases: int) -> None:
    simulation = Simulation({f"s{n}": SimulatedServer() for n in range(servers)})
    for n in range(releases):
        simulation.scheduler.add(0.0, f"q{n}", {f"s{n % servers}"}, {})
    simulation.run(60_000.0)
    assert simulation.max_in_flight == 1 and len(simulation.results) == releases
    assert [call.request for _, call in simulation.answered][:servers] == [f"q{n}" for n in range(servers)]


def test_reachable_holder_is_the_only_server_called() -> None:
    simulation = Simulation({"s0": SimulatedServer(), "s1": SimulatedServer()})
    simulation.scheduler.add(0.0, "a", {"s1"}, {})
    simulation.run(1_000.0)
    assert simulation.answered == [(0.0, ReleaseCall("a", "s1"))] and simulation.results[0].by_holder


def test_other_server_is_called_at_once_if_the_holder_timed_out() -> None:
    simulation = Simulation({"s0": SimulatedServer(inf), "s1": SimulatedServer()})
    simulation.reachability.record_timeout("s0", 0.0)
    simulation.scheduler.add(1.0, "a", {"s0"}, {})
    simulation.run(10.0, 1.0)
    assert simulation.answered == [(1.0, ReleaseCall("a", "s1"))]


def test_partitioned_zone_is_skipped_for_the_server_reached_last() -> None:
    zone_servers = {f"s{n}": SimulatedServer(inf, zone=1) for n in range(20)}
    simulation = Simulation(zone_servers | {"t": SimulatedServer(zone=2), "u": SimulatedServer(zone=2)})
    simulation.reachability.record_timeout("s3", 0.0)
    simulation.reachability.record_timeout("s4", 0.0)
    simulation.reachability.record_answer("u", 0.0)
    simulation.scheduler.add(1.0, "a", {"s7"}, {})
    simulation.run(10.0, 1.0)
    assert simulation.answered == [(1.0, ReleaseCall("a", "u"))]


def test_only_server_is_called_in_time_after_it_returns_at_490_ms() -> None:
    """Only a call that a running server answers ends the hold, so calls are repeated until there is one."""
    simulation = Simulation({"s0": SimulatedServer(490.0, refuses=True)})
    simulation.scheduler.add(0.0, "a", {"s0"}, {})
    simulation.run(2_000.0)
    assert 490.0 <= simulation.answered[0][0] <= 490.0 + 2 * ROUND_TRIP_MS + 30.0


def test_release_of_an_abandoned_prefill_is_repeated_until_its_server_answers() -> None:
    """Guards against an entry that a partitioned server creates after another server answered the release."""
    simulation = Simulation({"s0": SimulatedServer(1_500.0), "s1": SimulatedServer()})
    simulation.reachability.record_timeout("s0", -1.0)
    simulation.scheduler.add(0.0, "a", set(), {"s0": 0.0})
    simulation.run(RETRY_WINDOW_MS)
    at_ms = [at_ms for at_ms, _ in simulation.answered]
    assert all(later - earlier <= RETRY_INTERVAL_MS + 2 * ROUND_TRIP_MS for earlier, later in pairwise(at_ms))
    assert simulation.answered[-1][1].server == "s0" and at_ms[-1] >= 1_500.0 and len(simulation.results) == 1
    assert simulation.results[0].duration_ms <= ROUND_TRIP_MS


def test_started_stream_needs_no_release_where_abandoned_prefills_answered_since() -> None:
    simulation = Simulation({"s0": SimulatedServer(), "s1": SimulatedServer()})
    simulation.reachability.record_answer("s0", 5.0)
    simulation.scheduler.add(10.0, "a", set(), {"s0": 4.0}, True)
    assert not len(simulation.scheduler)
    simulation.scheduler.add(10.0, "b", set(), {"s0": 4.0, "s1": 4.0}, True)
    assert len(simulation.scheduler) == simulation.scheduler.unanswered_releases() == 1


def test_release_ends_without_listed_servers_and_gives_up_without_answers() -> None:
    simulation = Simulation({})
    simulation.scheduler.add(0.0, "a", {"s0"}, {})
    simulation.run(100.0)
    unreachable = Simulation({"s0": SimulatedServer(inf)})
    unreachable.scheduler.add(0.0, "a", {"s0"}, {})
    unreachable.run(30_000.0)
    assert [result.outcome for result in simulation.results + unreachable.results] == [
        ReleaseOutcome.NO_SERVER,
        ReleaseOutcome.TIMED_OUT,
    ]
