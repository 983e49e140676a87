"""Duty of the role planner: reads demand and server records, plans server roles, and publishes assignments.

The duty runner begins it with a fencing token, calls its steps while the lease is held, and stops it. While
no member holds the lease, every conductor keeps the last assignments.
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
    """Provides the servers and members that the planner plans for."""

    def servers(self) -> Sequence[ListedServer]:
        """Return the servers in the endpoint list."""
        ...

    def members(self) -> Mapping[str, str]:
        """Return the site of each active member by its name."""
        ...


class RolePlannerService:
    """Plans server roles while the lease is held; implements `Duty`."""

    def __init__(
        self,
        settings: RatioConfig,
        records: RecordStore,
        fleet: FleetView,
        registry: RoleRegistry,
        clock: Callable[[], float],
    ) -> None:
        """`registry` belongs to this conductor and receives all assignments; `clock` is monotonic, in s."""
        self.settings = settings
        self._records = records
        self._fleet = fleet
        self._registry = registry
        self._clock = clock
        self._planner = RolePlanner(settings, registry)
        self._published = set[str]()  # keys of the assignments that this member has written
        self._next_round_s = 0.0
        self.malformed = 0  # records that could not be decoded
        self.changes = 0  # role changes begun by this planner

    def begin(self, token: int) -> None:
        """Begin under a new fencing token; nothing is published before the first step."""
        self._planner.begin(self._clock(), token)
        self._next_round_s = self._clock()

    async def step(self, token: int, is_held: LeaseCheck) -> float:
        """Run a planning round if one is due; returns the seconds until the next step.

        `is_held` is checked before each assignment is published.
        """
        interval_s = self.settings.planning_interval_s
        if token != self._planner.token:
            return interval_s  # the token belongs to an earlier holding of the lease
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
            self.changes += 1
        if result.assignments:
            log.info("role_plan_published", token=token, number=self._planner.number, **plan_summary(result))
        return interval_s

    def stop(self) -> None:
        """Stop planning because the lease has ended; published assignments remain in force."""
        self._planner.token = 0

    def _receive_assignments(self, now_s: float) -> None:
        """Read all assignments from the records, in particular those of the previous lease holder."""
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
        """Publish an assignment; returns False if the lease is no longer held, or at a limit of records."""
        if not is_held():
            return False
        now_s = self._clock()
        key, value = encode_assignment(server, assignment)
        if not self._records.write(now_s, key, value):
            return False
        self._published.add(key)
        self._registry.receive(now_s, server, assignment)
        return True

    def _delete_unlisted(self, now_s: float, listed: set[str]) -> None:
        """Delete the assignments of servers that are no longer in the endpoint list."""
        for key in [key for key in self._published if key.partition("/")[2] not in listed]:
            self._records.delete(now_s, key)
            self._published.discard(key)

    def _read_reports(
        self, now_s: float, prefix: str, report_type: type[Report]
    ) -> dict[tuple[str, str], Report]:
        """Decode the records under a prefix, by member and key without the prefix; counts malformed ones."""
        reports = dict[tuple[str, str], Report]()
        for (member, key), value in self._records.values(now_s, prefix).items():
            try:
                reports[member, key.removeprefix(prefix)] = msgspec.msgpack.decode(value, type=report_type)
            except (msgspec.DecodeError, msgspec.ValidationError):
                self.malformed += 1
        return reports


def plan_summary(result: PlanningRound) -> dict[str, object]:
    """Return the log fields for a planning round that has begun role changes."""
    return {
        "moves": {server: assignment.role for server, assignment in result.assignments.items()},
        "wanted": {site: plan.prefill_target for site, plan in result.plans.items()},
        "read": {site: round(demand.prefill_rate) for site, demand in result.demands.items()},
        "write": {site: round(demand.decode_rate) for site, demand in result.demands.items()},
    }
