"""Runs of random faults from a seed: after each burst of faults, every duty has to be held again in time."""

from __future__ import annotations

from collections import Counter
from dataclasses import dataclass, field
from enum import StrEnum
from functools import partial
from random import Random

from ringledge.decide.leases.manager import LeaseTerms
from tests.simulated.fleet import InvariantError, SimulatedFleet

BURSTS = 3
BURST_S = 8.0  # longer than two leases
RESTART_SPREAD_S = 2.0  # between the restarts of all acceptors
MAX_MEMBERS = 9  # of most seeds; every 25th has up to 200
# After a burst: silence (3.3 s) and lock (3.3 s) on a clock that is 10% slow, and retries.
MAX_COVERAGE_S = 9.0


class Fault(StrEnum):
    """Kinds of faults. Their order determines which fault a seed chooses."""

    KILL = "kill"
    RESTART = "restart"
    SUSPEND = "stop"
    CUT = "cut"
    ONE_WAY_CUT = "one_way"
    RESTART_ALL = "restart_all"
    RELEASE = "give_up"
    SUSPEND_HOLDER = "holder"


@dataclass
class SeedReport:
    """The results of one seed."""

    seed: int
    members: int
    violation: str = ""  # of an invariant, with its time
    events: int = 0
    acquisitions: int = 0
    applied: int = 0  # effects
    rejected: int = 0  # stale effects
    max_coverage_s: float = 0.0  # to cover all duties after a burst
    faults: Counter[Fault] = field(default_factory=Counter)


class FaultPlanner:
    """Plans bursts of faults; `end_burst` repairs what they leave."""

    def __init__(self, fleet: SimulatedFleet, random: Random, faults: Counter[Fault]) -> None:
        """`faults` counts the planned faults."""
        self._fleet = fleet
        self._world = fleet.world
        self._random = random
        self._faults = faults

    def begin_burst(self) -> None:
        """Plans the faults of the next `BURST_S`."""
        network = self._world.network
        network.loss = self._random.choice((0, 0, 0.1, 0.4))
        network.duplication = self._random.choice((0, 0.2))
        network.late_fraction = self._random.choice((0, 0, 0.1))
        for _ in range(self._random.randrange(1, 6)):
            self._plan_fault()

    def end_burst(self) -> None:
        """Heals the network, resumes suspended members and restarts killed ones."""
        self._world.network.heal()
        for name in self._fleet.names:
            process = self._world.processes[name]
            if process.suspended:
                process.resume()
            if not process.alive:
                self._world.start(name)

    def _plan_fault(self) -> None:
        names, acceptors = self._fleet.names, self._fleet.terms.acceptors
        at_s = self._world.true_s + self._random.uniform(0, BURST_S)
        name = self._random.choice([*names, *acceptors, *acceptors])
        group = self._random.sample(names, self._random.randrange(1, len(names)))
        rest = [each for each in names if each not in group]
        fault = self._random.choice([*Fault])
        self._faults[fault] += 1
        match fault:
            case Fault.KILL:
                self._world.call_at(at_s, partial(self._world.kill, name))
            case Fault.RESTART:
                self._world.call_at(at_s, partial(self._world.start, name))
            case Fault.RESTART_ALL:
                self._plan_restart_of_all_acceptors(at_s)
            case Fault.RELEASE:
                self._world.call_at(at_s, partial(release_first_duty, self._fleet))
            case Fault.SUSPEND:
                self._plan_suspension(at_s, name)
            case Fault.SUSPEND_HOLDER:
                self._plan_suspension(at_s, "")
            case Fault.CUT | Fault.ONE_WAY_CUT:
                one_way = fault is Fault.ONE_WAY_CUT
                self._world.call_at(at_s, partial(self._world.network.cut, group, rest, one_way))

    def _plan_restart_of_all_acceptors(self, at_s: float) -> None:
        for acceptor in self._fleet.terms.acceptors:
            restart_s = at_s + self._random.uniform(0, RESTART_SPREAD_S)
            self._world.call_at(restart_s, partial(self._world.start, acceptor))

    def _plan_suspension(self, at_s: float, name: str) -> None:
        duration_s = self._random.choice((0.5, 3.0, 4.0, 7.0))
        self._world.call_at(at_s, partial(suspend_for, self._fleet, name, duration_s))


def suspend_for(fleet: SimulatedFleet, name: str, duration_s: float) -> None:
    """Suspends a member if it runs; an empty name stands for the holder of the first duty."""
    process = fleet.world.processes.get(name or fleet.holder(fleet.duties[0]))
    if process is not None and process.alive and not process.suspended:
        process.suspend()
        fleet.world.call_at(fleet.world.true_s + duration_s, process.resume)


def release_first_duty(fleet: SimulatedFleet) -> None:
    """Makes the holder of the first duty release it in order."""
    duty = fleet.duties[0]
    process = fleet.world.processes.get(fleet.holder(duty))
    if process is not None and not process.suspended:
        leases = fleet.leases[process.name]
        process.run(lambda: process.execute(leases.release(process.clock_s(), duty)))


def run_seed(seed: int, terms: LeaseTerms | None = None) -> SeedReport:
    """Runs one seed. The report contains a violated invariant with its time."""
    random = Random(seed)
    fleet = _random_fleet(random, seed, terms)
    report = SeedReport(seed, len(fleet.names))
    try:
        _run_bursts(fleet, FaultPlanner(fleet, random, report.faults), report)
    except InvariantError as error:
        report.violation = str(error)
    report.events = fleet.world.event_count
    report.acquisitions = sum(fleet.acquisitions.values())
    report.applied = fleet.receiver.applied
    report.rejected = fleet.receiver.fence.rejected
    return report


def _random_fleet(random: Random, seed: int, terms: LeaseTerms | None) -> SimulatedFleet:
    many = seed % 25 == 24
    count = random.randrange(50, 201) if many else random.randrange(3, MAX_MEMBERS + 1)
    names = [f"n{number}" for number in range(count)]
    acceptors = tuple(names[: 5 if count >= 5 and random.random() < 0.5 else 3])
    duties = ["planner", "prober", "replay/north"][: random.randrange(1, 4)]
    return SimulatedFleet(seed, names, terms or LeaseTerms(acceptors), duties)


def _run_bursts(fleet: SimulatedFleet, planner: FaultPlanner, report: SeedReport) -> None:
    fleet.start_all()
    for _ in range(BURSTS):
        report.max_coverage_s = max(report.max_coverage_s, fleet.run_until_covered(MAX_COVERAGE_S))
        planner.begin_burst()
        fleet.world.run_for(BURST_S + RESTART_SPREAD_S)
        planner.end_burst()
    report.max_coverage_s = max(report.max_coverage_s, fleet.run_until_covered(MAX_COVERAGE_S))
