"""The planner as a duty: it looks at the facts, decides, and tells rows with its token.

The part that runs duties begins it with a token, calls its steps while the lease runs, and stops it. Nobody
holds it: the rows last told stay in force at every conductor.
"""

from __future__ import annotations

from collections.abc import Callable, Mapping, Sequence
from typing import Protocol, TypeVar

import msgspec

from ringledge.decide.interface import ClassDemand, RecordStore, RoleAssignment, ServerObservation
from ringledge.decide.ratio.planner import ListedServer, Observations, PlanningRound, RolePlanner
from ringledge.decide.ratio.role_records import KEY_PREFIX, decode_assignments, encode_assignment
from ringledge.decide.ratio.role_registry import RoleRegistry
from ringledge.decide.ratio.settings import RatioConfig
from ringledge.members.duty import LeaseCheck
from ringledge.observe.logging import log

NAME = "planner"  # of the duty
DEMAND, SERVER = "demand/", "server/"  # keys of the facts that it reads

Row = TypeVar("Row", bound=msgspec.Struct)


class Fleet(Protocol):
    """Who is there."""

    def servers(self) -> Sequence[ListedServer]:
        """The servers on the list."""
        ...

    def members(self) -> Mapping[str, str]:
        """The site of each member that is there."""
        ...


class Planner:
    """Holds the planner's duty from `begin` to `stop`."""

    def __init__(
        self,
        settings: RatioConfig,
        facts: RecordStore,
        fleet: Fleet,
        book: RoleRegistry,
        clock: Callable[[], float],
    ) -> None:
        """`book`: this conductor's own, which hears rows as everybody's does; `clock`: s, monotonic."""
        self.settings = settings
        self._facts, self._fleet, self._book, self._clock = facts, fleet, book, clock
        self._ratio = RolePlanner(settings, book)
        self._told = set[str]()  # keys of ours
        self._next_s = 0.0
        self.malformed = 0  # facts that could not be read
        self.changes = 0  # roles changed

    def begin(self, token: int) -> None:
        """Take the duty up; nothing is told before the first step."""
        self._ratio.begin(self._clock(), token)
        self._next_s = self._clock()

    async def step(self, token: int, still: LeaseCheck) -> float:
        """One look, if it is time for one; gives s until the next. Each effect asks `still` before."""
        if token != self._ratio.token:
            return self.settings.planning_interval_s  # of a holding that has ended
        now_s = self._clock()
        for server, row in decode_assignments(
            self._facts.values(now_s, KEY_PREFIX)
        ):  # above all those of the planner before
            self._book.receive(now_s, server, row)
        for server, row in self._ratio.reissued_assignments(now_s).items():
            if not self._tell(server, row, still):
                return self.settings.planning_interval_s
        if now_s < self._next_s:
            return self._next_s - now_s
        self._next_s = now_s + self.settings.planning_interval_s
        demand = self._read(now_s, DEMAND, ClassDemand)
        heard = Observations(demand, self._read(now_s, SERVER, ServerObservation), self._fleet.members())
        listed = self._fleet.servers()
        looked = self._ratio.run_round(now_s, heard, listed)
        self._forget(now_s, {each.name for each in listed})
        for server, row in looked.assignments.items():
            if not self._tell(server, row, still):
                return self.settings.planning_interval_s
            self.changes += 1
        if looked.assignments:
            log.info("plan", token=token, number=self._ratio.number, **self._counts(looked))
        return self.settings.planning_interval_s

    def stop(self) -> None:
        """The duty has ended here; rows told stay where they were heard."""
        self._ratio.token = 0

    def _tell(self, server: str, row: RoleAssignment, still: LeaseCheck) -> bool:
        if not still():
            return False
        now_s = self._clock()
        key, value = encode_assignment(server, row)
        self._facts.write(now_s, key, value)
        self._told.add(key)
        self._book.receive(now_s, server, row)
        return True

    def _forget(self, now_s: float, listed: set[str]) -> None:
        """Rows of servers that no list names any more."""
        for key in [key for key in self._told if key.partition("/")[2] not in listed]:
            self._facts.delete(now_s, key)
            self._told.discard(key)

    def _read(self, now_s: float, prefix: str, kind: type[Row]) -> dict[tuple[str, str], Row]:
        """Facts of a kind, by member and what they are about; those that can't be read are counted."""
        found = dict[tuple[str, str], Row]()
        for (member, key), value in self._facts.values(now_s, prefix).items():
            try:
                found[member, key.removeprefix(prefix)] = msgspec.msgpack.decode(value, type=kind)
            except (msgspec.DecodeError, msgspec.ValidationError):
                self.malformed += 1
        return found

    def _counts(self, looked: PlanningRound) -> dict[str, object]:
        return {
            "moves": {server: row.role for server, row in looked.assignments.items()},
            "wanted": {site: plan.prefill_target for site, plan in looked.plans.items()},
            "read": {site: round(need.prefill_rate) for site, need in looked.demands.items()},
            "write": {site: round(need.decode_rate) for site, need in looked.demands.items()},
        }
