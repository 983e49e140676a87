"""Strategies to split servers into prefill and decode: fixed, optimal with foresight, and the planner."""

from __future__ import annotations

from collections import defaultdict
from collections.abc import Callable, Sequence
from math import ceil

import numpy
import numpy.typing

from benchmarks.ratio_simulation import DECODE_RATE, PREFILL_RATE, Simulation
from ringledge.decide.interface import RoleAssignment
from ringledge.decide.ratio.planner import ListedServer
from ringledge.decide.ratio.role_records import encode_assignment
from ringledge.decide.ratio.settings import RatioConfig
from ringledge.members.planner import RolePlannerService

MAX_UTILIZATION = 0.9  # of the capacity that keeps requests in time
SPARE_CAPACITY_VALUE = 0.05  # weight of the ratio of capacity to demand
MEAN_DRAIN_S = 5.0  # assumed mean drain of a role change: about the duration of a long answer


Counts = numpy.typing.NDArray[numpy.float64]


def served_value(demand: tuple[float, float], prefill_servers: Counts, decode_servers: Counts) -> Counts:
    """The value that these numbers of servers serve of a site's demand (tokens per s to prefill and decode).

    Requests become late in the queues of nearly full servers; spare capacity has some value of its own.
    """
    capacity_ratio = numpy.minimum(
        prefill_servers * PREFILL_RATE / demand[0], decode_servers * DECODE_RATE / demand[1]
    )
    return numpy.minimum(1.0, MAX_UTILIZATION * capacity_ratio) + SPARE_CAPACITY_VALUE * numpy.minimum(
        2.0, capacity_ratio
    )


class ScriptedPlan:
    """Publishes assignments that were computed beforehand: a fixed split, or one that changes over time."""

    def __init__(self, simulation: Simulation, plan: Callable[[float], int]) -> None:
        """`plan`: how many servers of a site should do prefill at a time."""
        self.simulation = simulation
        self.plan = plan
        self.number = 0
        self.changes = 0
        self.roles = dict[str, str]()
        self.records = simulation.conductors[0].records
        for at, each in enumerate(spread_over_racks(simulation.listed)):
            self._publish(
                each.name, "read" if at % len(servers_of_one_site(simulation)) < plan(0.0) else "write"
            )
        simulation.after(0.5, self._step)

    def _publish(self, name: str, role: str) -> None:
        self.number += 1
        self.roles[name] = role
        self.records.write(
            self.simulation.now_s, *encode_assignment(name, RoleAssignment(1, self.number, role))
        )

    def _step(self) -> None:
        """Change one server at a time per rack, as the planner does, but without a minimum dwell time."""
        registry = self.simulation.conductors[0].registry
        busy = {each.rack for each in self.simulation.listed if each.name in registry.changing_servers()}
        sites = defaultdict[str, list[ListedServer]](list)
        for each in spread_over_racks(self.simulation.listed):
            sites[each.site].append(each)
        for servers in sites.values():
            shortage = self.plan(self.simulation.now_s) - sum(
                self.roles[each.name] == "read" for each in servers
            )
            role = "read" if shortage > 0 else "write"
            for each in servers if shortage < 0 else servers[::-1]:
                current = registry.assignments.get(each.name)
                is_pending = current is None or current.role != self.roles[each.name]
                if shortage and self.roles[each.name] != role and each.rack not in busy and not is_pending:
                    busy.add(each.rack)
                    self._publish(each.name, role)
                    self.changes += 1
                    shortage -= 1 if shortage > 0 else -1
        self.simulation.after(0.5, self._step)


def servers_of_one_site(simulation: Simulation) -> list[ListedServer]:
    """The servers of one site; all sites are alike."""
    return [each for each in simulation.listed if each.site == simulation.listed[0].site]


def spread_over_racks(listed: Sequence[ListedServer]) -> list[ListedServer]:
    """Sort by site, and within a site so that neighbours are in different racks."""
    racks, at = defaultdict[str, int](int), dict[str, int]()
    for each in listed:
        at[each.name], racks[each.rack] = racks[each.rack], racks[each.rack] + 1
    return sorted(listed, key=lambda each: (each.site, at[each.name], each.rack))


def best_fixed_split(demand: Callable[[float], tuple[float, float]], servers: int, until_s: float) -> int:
    """The number of prefill servers per site that serves most if the split never changes."""
    prefill_servers = numpy.arange(1.0, servers)
    served = sum(
        served_value(demand(at), prefill_servers, servers - prefill_servers)
        for at in numpy.arange(0.0, until_s, 1.0)
    )
    return 1 + int(numpy.argmax(served))


def optimal_plan(
    demand: Callable[[float], tuple[float, float]],
    servers: int,
    racks: int,
    settings: RatioConfig,
    until_s: float,
    start_s: float,
) -> Callable[[float], int]:
    """The optimal split for each moment with knowledge of all future demand (dynamic programming).

    A server that changes its role serves neither during a step. `start_s`: begin of the grid of steps.
    """
    step_s = settings.propagation_s + MEAN_DRAIN_S + settings.warm_up_s / 2
    steps = ceil((until_s - start_s) / step_s) + 1
    counts = numpy.arange(1.0, servers)
    value, best_next = numpy.zeros(len(counts)), list[numpy.typing.NDArray[numpy.int64]]()
    after, before = numpy.meshgrid(counts, counts)
    reachable = numpy.abs(after - before) <= racks
    prefill_counts, decode_counts = numpy.minimum(after, before), servers - numpy.maximum(after, before)
    for step in reversed(range(steps)):
        step_value = numpy.zeros(reachable.shape)
        for at in numpy.arange(start_s + step * step_s, start_s + (step + 1) * step_s, 1.0):
            step_value += served_value(demand(float(at)), prefill_counts, decode_counts)
        total = numpy.where(reachable, step_value + value[None, :] - 1e-3 * numpy.abs(after - before), -1.0)
        best_next.append(numpy.argmax(total, axis=1))
        value = total.max(axis=1)
    best_next.reverse()
    at, path = int(numpy.argmax(value)), list[int]()
    for step in range(steps):
        path.append(int(counts[at]))
        at = int(best_next[step][at])
    path.append(int(counts[at]))

    def plan(now_s: float) -> int:
        step = int((now_s - start_s) // step_s)
        return path[max(0, min(step + 1, len(path) - 1))] if now_s >= start_s else path[0]

    return plan


class SimulatedPlanner:
    """The program's planner, run by one member; each site starts with `start` prefill servers."""

    def __init__(self, simulation: Simulation, start: int) -> None:
        self.simulation = simulation
        self.holder = 0
        self.token = 1
        records = simulation.conductors[0].records
        for at, each in enumerate(spread_over_racks(simulation.listed)):
            role = "read" if at % len(servers_of_one_site(simulation)) < start else "write"
            records.write(0.0, *encode_assignment(each.name, RoleAssignment(1, 1, role)))
        self.service = self._new_service()
        simulation.after(3.0, self.begin)

    def _new_service(self) -> RolePlannerService:
        member = self.simulation.conductors[self.holder]
        return RolePlannerService(
            self.simulation.settings, member.records, self, member.registry, lambda: self.simulation.now_s
        )

    def servers(self) -> list[ListedServer]:
        return self.simulation.listed

    def members(self) -> dict[str, str]:
        return {each.name: each.site for each in self.simulation.conductors}

    def begin(self) -> None:
        """Begin a term at the member that holds the lease."""
        self.token += 1
        self.service.begin(self.token)
        self._step(self.service, self.token)

    def fail_over(self) -> None:
        """Let the holder fail, and begin a term at another member."""
        self.holder = (self.holder + 1) % len(self.simulation.conductors)
        self.service.stop()
        changes, self.service = self.service.changes, self._new_service()
        self.service.changes = changes
        self.begin()

    def _step(self, service: RolePlannerService, token: int) -> None:
        if service is not self.service:
            return
        step = service.step(token, lambda: service is self.service)
        try:
            step.send(None)  # runs the step to its end, since nothing in it waits
        except StopIteration as ended:
            self.simulation.after(ended.value, self._step, service, token)
        else:
            raise RuntimeError(
                "the planner's step awaited something; the simulation runs each step without an event loop"
            )

    @property
    def changes(self) -> int:
        return self.service.changes
