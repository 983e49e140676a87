"""Ways to split servers into readers and writers: fixed, by foresight, by the planner."""

from __future__ import annotations

from collections import defaultdict
from collections.abc import Callable, Sequence
from math import ceil

import numpy
import numpy.typing

from benchmarks.ratio_lab import READ_PACE, WRITE_PACE, Lab
from ringledge.decide.interface import RoleAssignment
from ringledge.decide.ratio.planner import ListedServer
from ringledge.decide.ratio.role_records import encode_assignment
from ringledge.decide.ratio.settings import RatioConfig
from ringledge.members.planner import RolePlannerService

FULL, ROOM = 0.9, 0.05  # of what servers get through that keeps requests in time; worth of room beyond
DRAINS_S = 5.0  # that a change of foresight's is taken to drain in the mean: about a long answer


Counts = numpy.typing.NDArray[numpy.float64]


def part(needs: tuple[float, float], readers: Counts, writers: Counts) -> Counts:
    """What so many servers of a site serve of its demand (tokens per s to read, to write), and room besides.

    Nearly full servers make requests late by their queues; where all is served more room is better.
    """
    room = numpy.minimum(readers * READ_PACE / needs[0], writers * WRITE_PACE / needs[1])
    return numpy.minimum(1.0, FULL * room) + ROOM * numpy.minimum(2.0, room)


class Told:
    """Tells rows worked out beforehand: a fixed split, or one for each moment."""

    def __init__(self, lab: Lab, plan: Callable[[float], int]) -> None:
        """`plan`: how many servers of a site should read at a time."""
        self.lab, self.plan, self.number, self.changes = lab, plan, 0, 0
        self.roles = dict[str, str]()
        self.facts = lab.conductors[0].facts
        for at, each in enumerate(spread(lab.listed)):
            self._tell(each.name, "read" if at % len(its(lab)) < plan(0.0) else "write")
        lab.after(0.5, self._step)

    def _tell(self, name: str, role: str) -> None:
        self.number += 1
        self.roles[name] = role
        self.facts.write(self.lab.now_s, *encode_assignment(name, RoleAssignment(1, self.number, role)))

    def _step(self) -> None:
        """One change at a time in a rack, as for the planner; a server may change again at once."""
        book = self.lab.conductors[0].book
        busy = {each.rack for each in self.lab.listed if each.name in book.changing_servers()}
        sites = defaultdict[str, list[ListedServer]](list)
        for each in spread(self.lab.listed):
            sites[each.site].append(each)
        for servers in sites.values():
            short = self.plan(self.lab.now_s) - sum(self.roles[each.name] == "read" for each in servers)
            role = "read" if short > 0 else "write"
            for each in servers if short < 0 else servers[::-1]:
                told = book.assignments.get(each.name)
                late = told is None or told.role != self.roles[each.name]
                if short and self.roles[each.name] != role and each.rack not in busy and not late:
                    busy.add(each.rack)
                    self._tell(each.name, role)
                    self.changes += 1
                    short -= 1 if short > 0 else -1
        self.lab.after(0.5, self._step)


def its(lab: Lab) -> list[ListedServer]:
    """The servers of one site; all sites are alike."""
    return [each for each in lab.listed if each.site == lab.listed[0].site]


def spread(listed: Sequence[ListedServer]) -> list[ListedServer]:
    """By site, and within it so that neighbours stand in different racks."""
    racks, at = defaultdict[str, int](int), dict[str, int]()
    for each in listed:
        at[each.name], racks[each.rack] = racks[each.rack], racks[each.rack] + 1
    return sorted(listed, key=lambda each: (each.site, at[each.name], each.rack))


def fixed(needs: Callable[[float], tuple[float, float]], servers: int, until_s: float) -> int:
    """Readers of a site that serve most with one split for all the time."""
    readers = numpy.arange(1.0, servers)
    served = sum(part(needs(at), readers, servers - readers) for at in numpy.arange(0.0, until_s, 1.0))
    return 1 + int(numpy.argmax(served))


def foresight(
    needs: Callable[[float], tuple[float, float]],
    servers: int,
    racks: int,
    settings: RatioConfig,
    until_s: float,
    start_s: float,
) -> Callable[[float], int]:
    """The best split for each moment by one that knows all that will come (dynamic programme).

    What changes serves neither role for the time of a change. `start_s`: of its grid.
    """
    step_s = settings.propagation_s + DRAINS_S + settings.warm_up_s / 2
    steps = ceil((until_s - start_s) / step_s) + 1
    counts = numpy.arange(1.0, servers)
    value, follow = numpy.zeros(len(counts)), list[numpy.typing.NDArray[numpy.int64]]()
    after, before = numpy.meshgrid(counts, counts)
    can = numpy.abs(after - before) <= racks
    fewer, more = numpy.minimum(after, before), servers - numpy.maximum(after, before)
    for step in reversed(range(steps)):
        gained = numpy.zeros(can.shape)
        for at in numpy.arange(start_s + step * step_s, start_s + (step + 1) * step_s, 1.0):
            gained += part(needs(float(at)), fewer, more)
        total = numpy.where(can, gained + value[None, :] - 1e-3 * numpy.abs(after - before), -1.0)
        follow.append(numpy.argmax(total, axis=1))
        value = total.max(axis=1)
    follow.reverse()
    at, path = int(numpy.argmax(value)), list[int]()
    for step in range(steps):
        path.append(int(counts[at]))
        at = int(follow[step][at])
    path.append(int(counts[at]))

    def plan(now_s: float) -> int:
        step = int((now_s - start_s) // step_s)
        return path[max(0, min(step + 1, len(path) - 1))] if now_s >= start_s else path[0]

    return plan


class Planned:
    """The program's planner, held by one member; `start` readers of a site before it begins."""

    def __init__(self, lab: Lab, start: int) -> None:
        self.lab = lab
        self.holder = 0
        self.token = 1
        facts = lab.conductors[0].facts
        for at, each in enumerate(spread(lab.listed)):
            role = "read" if at % len(its(lab)) < start else "write"
            facts.write(0.0, *encode_assignment(each.name, RoleAssignment(1, 1, role)))
        self.planner = self._new()
        lab.after(3.0, self.begin)

    def _new(self) -> RolePlannerService:
        member = self.lab.conductors[self.holder]
        return RolePlannerService(self.lab.settings, member.facts, self, member.book, lambda: self.lab.now_s)

    def servers(self) -> list[ListedServer]:
        return self.lab.listed

    def members(self) -> dict[str, str]:
        return {each.name: each.site for each in self.lab.conductors}

    def begin(self) -> None:
        """Take the duty up, at the member that holds it."""
        self.token += 1
        self.planner.begin(self.token)
        self._step(self.planner, self.token)

    def hand_on(self) -> None:
        """The holder dies; another begins."""
        self.holder = (self.holder + 1) % len(self.lab.conductors)
        self.planner.stop()
        changes, self.planner = self.planner.changes, self._new()
        self.planner.changes = changes
        self.begin()

    def _step(self, planner: RolePlannerService, token: int) -> None:
        if planner is not self.planner:
            return
        step = planner.step(token, lambda: planner is self.planner)
        try:
            step.send(None)  # nothing in it waits
        except StopIteration as ended:
            self.lab.after(ended.value, self._step, planner, token)
        else:
            raise RuntimeError("the planner's step waits for something")

    @property
    def changes(self) -> int:
        return self.planner.changes
