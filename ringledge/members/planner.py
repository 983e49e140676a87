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
from ringledge.members.duty import Still
from ringledge.observe.logging import log

LEASE_NAME = "planner"  # of the duty
DEMAND_PREFIX, SERVER_PREFIX = "demand/", "server/"  # keys of the facts that it reads

Row = TypeVar("Row", bound=msgspec.Struct)


class FleetView(Protocol):
    """Who is there."""

    def servers(self) -> Sequence[ListedServer]:
        """The servers on the list."""
        ...

    def members(self) -> Mapping[str, str]:
        """The site of each member that is there."""
        ...


class RolePlannerService:
    """Holds the planner's duty from `begin` to `stop`."""

    def __init__(
        self,
        settings: RatioConfig,
        facts: RecordStore,
        fleet: FleetView,
        book: RoleRegistry,
        clock: Callable[[], float],
    ) -> None:
        """`book`: this conductor's own, which hears rows as everybody's does; `clock`: s, monotonic."""
        self.settings = settings
        self._records, self._fleet, self._registry, self._clock = facts, fleet, book, clock
        self._planner = RolePlanner(settings, book)
        self._published = set[str]()  # keys of ours
        self._next_round_s = 0.0
        self.malformed = 0  # facts that could not be read
        self.changes = 0  # roles changed

    def begin(self, token: int) -> None:
        """Take the duty up; nothing is told before the first step."""
        self._planner.begin(self._clock(), token)
        self._next_round_s = self._clock()

    async def step(self, token: int, still: Still) -> float:
        """One look, if it is time for one; gives s until the next. Each effect asks `still` before."""
        if token != self._planner.token:
            return self.settings.planning_interval_s  # of a holding that has ended
        now_s = self._clock()
        for server, row in decode_assignments(
            self._records.values(now_s, KEY_PREFIX)
        ):  # above all those of the planner before
            self._registry.receive(now_s, server, row)
        for server, row in self._planner.reissued_assignments(now_s).items():
            if not self._publish(server, row, still):
                return self.settings.planning_interval_s
        if now_s < self._next_round_s:
            return self._next_round_s - now_s
        self._next_round_s = now_s + self.settings.planning_interval_s
        demand = self._read_reports(now_s, DEMAND_PREFIX, ClassDemand)
        heard = Observations(
            demand, self._read_reports(now_s, SERVER_PREFIX, ServerObservation), self._fleet.members()
        )
        listed = self._fleet.servers()
        looked = self._planner.run_round(now_s, heard, listed)
        self._delete_unlisted(now_s, {each.name for each in listed})
        for server, row in looked.assignments.items():
            if not self._publish(server, row, still):
                return self.settings.planning_interval_s
            self.changes += 1
        if looked.assignments:
            log.info("plan", token=token, number=self._planner.number, **self._plan_summary(looked))
        return self.settings.planning_interval_s

    def stop(self) -> None:
        """The duty has ended here; rows told stay where they were heard."""
        self._planner.token = 0

    def _publish(self, server: str, row: RoleAssignment, still: Still) -> bool:
        if not still():
            return False
        now_s = self._clock()
        key, value = encode_assignment(server, row)
        self._records.write(now_s, key, value)
        self._published.add(key)
        self._registry.receive(now_s, server, row)
        return True

    def _delete_unlisted(self, now_s: float, listed: set[str]) -> None:
        """Rows of servers that no list names any more."""
        for key in [key for key in self._published if key.partition("/")[2] not in listed]:
            self._records.delete(now_s, key)
            self._published.discard(key)

    def _read_reports(self, now_s: float, prefix: str, kind: type[Row]) -> dict[tuple[str, str], Row]:
        """Facts of a kind, by member and what they are about; those that can't be read are counted."""
        found = dict[tuple[str, str], Row]()
        for (member, key), value in self._records.values(now_s, prefix).items():
            try:
                found[member, key.removeprefix(prefix)] = msgspec.msgpack.decode(value, type=kind)
            except (msgspec.DecodeError, msgspec.ValidationError):
                self.malformed += 1
        return found

    def _plan_summary(self, looked: PlanningRound) -> dict[str, object]:
        return {
            "moves": {server: row.role for server, row in looked.assignments.items()},
            "wanted": {site: plan.prefill_target for site, plan in looked.plans.items()},
            "read": {site: round(need.prefill_rate) for site, need in looked.demands.items()},
            "write": {site: round(need.decode_rate) for site, need in looked.demands.items()},
        }
