"""The planner of roles as work under a lease: reads the records, decides, publishes assignments.

The part that holds leases begins it with a fencing token, calls its steps while the lease runs, and stops it.
Without a holder the last assignments stay in force at every conductor.
"""

from __future__ import annotations

from collections.abc import Callable, Mapping, Sequence
from typing import Protocol, TypeVar

import msgspec

from ringledge.decide.interface import (
    DEMAND_PREFIX,
    SERVER_PREFIX,
    ClassDemand,
    RecordStore,
    RoleAssignment,
    ServerObservation,
)
from ringledge.decide.ratio.planner import ListedServer, Observations, PlanningRound, RolePlanner
from ringledge.decide.ratio.role_records import KEY_PREFIX, decode_assignments, encode_assignment
from ringledge.decide.ratio.role_registry import RoleRegistry
from ringledge.decide.ratio.settings import RatioConfig
from ringledge.members.duty import LeaseCheck
from ringledge.observe.logging import log

LEASE_NAME = "planner"

Report = TypeVar("Report", bound=msgspec.Struct)


class FleetView(Protocol):
    """The servers and members that the planner plans for."""

    def servers(self) -> Sequence[ListedServer]:
        """The servers of the server list."""
        ...

    def members(self) -> Mapping[str, str]:
        """The site of each member that is alive."""
        ...


class RolePlannerService:
    """Plans roles while the planner's lease is held; implements `Duty`."""

    def __init__(
        self,
        settings: RatioConfig,
        records: RecordStore,
        fleet: FleetView,
        registry: RoleRegistry,
        clock: Callable[[], float],
    ) -> None:
        """`registry`: of this conductor, which receives all assignments; `clock`: monotonic, in s."""
        self.settings = settings
        self._records = records
        self._fleet = fleet
        self._registry = registry
        self._clock = clock
        self._planner = RolePlanner(settings, registry)
        self._published = set[str]()  # keys of the assignments of this member
        self._next_round_s = 0.0
        self.malformed = 0  # records that could not be decoded
        self.role_change_count = 0  # changes of role begun

    def begin(self, token: int) -> None:
        """Begin a term under a new fencing token; nothing is published before the first step."""
        self._planner.begin(self._clock(), token)
        self._next_round_s = self._clock()

    async def step(self, token: int, is_held: LeaseCheck) -> float:
        """Run a planning round if one is due; returns s until the next. `is_held` is checked per effect."""
        interval_s = self.settings.planning_interval_s
        if token != self._planner.token:
            return interval_s  # of a term that has ended
        now_s = self._clock()
        self._receive_assignments(now_s)
        for server, assignment in self._planner.reissued_assignments(now_s).items():
            if not self._publish(server, assignment, is_held):
                return interval_s
        if now_s < self._next_round_s:
            return self._next_round_s - now_s
        self._next_round_s = now_s + interval_s
        result = self._run_round(now_s)
        for server, assignment in result.assignments.items():
            if not self._publish(server, assignment, is_held):
                return interval_s
            self.role_change_count += 1
        if result.assignments:
            log.info("role_plan_published", token=token, number=self._planner.number, **plan_summary(result))
        return interval_s

    def stop(self) -> None:
        """The lease is lost or given up; published assignments stay in force."""
        self._planner.token = 0

    def _receive_assignments(self, now_s: float) -> None:
        """Receive all assignments, above all those of the predecessor."""
        for server, assignment in decode_assignments(self._records.values(now_s, KEY_PREFIX)):
            self._registry.receive(now_s, server, assignment)

    def _run_round(self, now_s: float) -> PlanningRound:
        demand = self._read_reports(now_s, DEMAND_PREFIX, ClassDemand)
        servers = self._read_reports(now_s, SERVER_PREFIX, ServerObservation)
        observations = Observations(demand, servers, self._fleet.members())
        listed = self._fleet.servers()
        result = self._planner.run_round(now_s, observations, listed)
        self._delete_unlisted(now_s, {server.name for server in listed})
        return result

    def _publish(self, server: str, assignment: RoleAssignment, is_held: LeaseCheck) -> bool:
        """Publish an assignment; False where the lease is lost."""
        if not is_held():
            return False
        now_s = self._clock()
        key, value = encode_assignment(server, assignment)
        self._records.write(now_s, key, value)
        self._published.add(key)
        self._registry.receive(now_s, server, assignment)
        return True

    def _delete_unlisted(self, now_s: float, listed: set[str]) -> None:
        """Delete the assignments of servers that are no longer listed."""
        for key in [key for key in self._published if key.partition("/")[2] not in listed]:
            self._records.delete(now_s, key)
            self._published.discard(key)

    def _read_reports(self, now_s: float, prefix: str, kind: type[Report]) -> dict[tuple[str, str], Report]:
        """Records of one type, by member and the rest of the key; malformed ones are counted."""
        reports = dict[tuple[str, str], Report]()
        for (member, key), value in self._records.values(now_s, prefix).items():
            try:
                reports[member, key.removeprefix(prefix)] = msgspec.msgpack.decode(value, type=kind)
            except (msgspec.DecodeError, msgspec.ValidationError):
                self.malformed += 1
        return reports


def plan_summary(result: PlanningRound) -> dict[str, object]:
    """The fields of the log event of a round that begins changes."""
    return {
        "moves": {server: assignment.role for server, assignment in result.assignments.items()},
        "wanted": {site: plan.prefill_target for site, plan in result.plans.items()},
        "read": {site: round(demand.prefill_rate) for site, demand in result.demands.items()},
        "write": {site: round(demand.decode_rate) for site, demand in result.demands.items()},
    }
