"""Role changes on each conductor: publishes its measurements and applies role assignments to its policy."""

from __future__ import annotations

import time
from collections import Counter
from collections.abc import Mapping, Sequence
from dataclasses import dataclass, field

import anyio
import msgspec

from ringledge.core.conductor import Conductor
from ringledge.core.records import Attempt, RequestRecord
from ringledge.decide.interface import (
    DEMAND_PREFIX,
    SERVER_PREFIX,
    RecordStore,
    RoleAssignment,
    ServerObservation,
)
from ringledge.decide.membership.swim import Membership
from ringledge.decide.ratio.measurements import LocalMeasurements
from ringledge.decide.ratio.planner import ListedServer
from ringledge.decide.ratio.role_records import KEY_PREFIX, ServerRole, decode_assignments
from ringledge.decide.ratio.role_registry import RoleRegistry
from ringledge.decide.ratio.settings import RatioConfig
from ringledge.memory.names import WireNames
from ringledge.observe.logging import log
from ringledge.routing.interface import (
    AttemptStatus,
    Availability,
    Role,
    RolePlan,
)
from ringledge.routing.server_views import server_views

KIND_BY_ROLE = {
    Role.PREFILL: ServerRole.PREFILL,
    Role.DECODE: ServerRole.DECODE,
    Role.MIXED: ServerRole.MIXED,
}
MIN_RELATIVE_CHANGE = 0.1  # smaller changes of a rate or of the warmth are not published


@dataclass(slots=True)
class InFlightWork:
    """Numbers of attempts in flight and of unfetched KV cache entries, by server."""

    prefills: Counter[str] = field(default_factory=Counter)
    streams: Counter[str] = field(default_factory=Counter)
    cache_entries: Counter[str] = field(default_factory=Counter)  # KV cache entries not fetched yet


class RoleFollower:
    """Publishes measurements and follows role assignments; implements RequestObserver and FleetView."""

    def __init__(
        self,
        settings: RatioConfig,
        records: RecordStore,
        membership: Membership,
        conductor: Conductor,
        names: WireNames,
        registry: RoleRegistry,
    ) -> None:
        self._settings = settings
        self._records = records
        self._membership = membership
        self._conductor = conductor
        self._names = names
        self._registry = registry
        self._context = conductor.context
        self._measurements = LocalMeasurements()
        self._published: dict[str, ServerObservation] = {}
        self._logged: dict[str, RoleAssignment] = {}
        self._role_plan = RolePlan()

    # Implementation of RequestObserver

    def on_request_accepted(self, record: RequestRecord) -> None:
        """Record the demand of an admitted request."""
        request = record.request
        self._measurements.request_received(
            time.monotonic(), request.class_index, request.prompt_tokens, request.max_output_tokens
        )

    def on_attempt_ended(self, attempt: Attempt, status: AttemptStatus, note: int) -> None:
        """Record the duration of an attempt; `note` is the number of cached prompt tokens after a prefill."""
        request = attempt.record.request
        if status == AttemptStatus.PREFILLED:
            uncached_tokens = max(0.0, request.prompt_tokens - note)
            self._measurements.prefill_finished(
                request.class_index, attempt.server, uncached_tokens, attempt.duration_ms / 1000
            )
        elif status == AttemptStatus.OK and attempt.completion_tokens:
            duration_s = (attempt.duration_ms - attempt.first_token_ms) / 1000
            self._measurements.decode_finished(
                request.class_index,
                attempt.server,
                request.prompt_tokens,
                attempt.completion_tokens,
                duration_s,
            )

    # Implementation of FleetView

    def servers(self) -> Sequence[ListedServer]:
        """Return the listed servers that are up; the site of a server is the name of its zone."""
        return [
            ListedServer(
                name=entry.server,
                site=self._names.zones[entry.zone],
                rack=f"{entry.zone}/{entry.cell}",
                kind=KIND_BY_ROLE[role],
            )
            for entry in self._context.servers.entries.values()
            if entry.availability == Availability.UP
            and entry.zone < len(self._names.zones)
            and (role := self._context.servers.role(entry.server)) is not None
        ]

    def members(self) -> Mapping[str, str]:
        """Return the site of each active member by its name."""
        return {member.name: member.site for member in self._membership.active_members()}

    # Periodic update

    async def run(self) -> None:
        """Call `update` once per planning interval until cancelled."""
        while True:
            try:
                self.update(time.monotonic())
            except Exception as error:  # roles stay as they are; requests are served
                log.exception("role_update_failed", error)
            await anyio.sleep(self._settings.planning_interval_s)

    def update(self, now_s: float) -> None:
        """Publish measurements, receive assignments, and pass a changed role plan to the conductor."""
        kinds = {server.name: server.kind for server in self.servers()}
        work = self._count_in_flight()
        self._publish_demand(now_s)
        self._publish_servers(now_s, set(kinds), work)
        self._registry.update_servers(now_s, kinds)
        for server in kinds:
            self._registry.update_in_flight(server, work.prefills[server], work.streams[server])
        for server, assignment in decode_assignments(self._records.values(now_s, KEY_PREFIX)):
            self._registry.receive(now_s, server, assignment)
        self._log_assignments()
        for server, phase in self._registry.tick(now_s):
            log.info("role_change_advanced", server=server, state=phase.value)
        role_plan = RolePlan(*self._registry.excluded_servers())
        if role_plan != self._role_plan:
            self._role_plan = role_plan
            self._conductor.update_role_plan(role_plan)

    def _count_in_flight(self) -> InFlightWork:
        work = InFlightWork()
        for record in self._context.registry.records.values():
            work.cache_entries.update(record.cache.holders)
            for attempt in record.attempts:
                if not attempt.in_flight:
                    continue
                is_stream = attempt.streaming or record.cache.holders
                counter = work.streams if is_stream else work.prefills
                counter[attempt.server] += 1
        return work

    def _log_assignments(self) -> None:
        """Log new assignments, including those that a planner in this process put into the registry."""
        for server, assignment in self._registry.assignments.items():
            if self._logged.get(server) != assignment:
                self._logged[server] = assignment
                log.info(
                    "role_change_received",
                    server=server,
                    role=assignment.role,
                    token=assignment.token,
                    number=assignment.number,
                )

    def _publish_demand(self, now_s: float) -> None:
        for class_index, demand in self._measurements.demand(now_s).items():
            if class_index < len(self._names.classes):
                key = DEMAND_PREFIX + self._names.classes[class_index]
                self._records.write(now_s, key, msgspec.msgpack.encode(demand))

    def _publish_servers(self, now_s: float, listed: set[str], work: InFlightWork) -> None:
        """Publish changed observations of the listed servers, and delete those of other servers."""
        self._measurements.retain_servers(listed)
        for view in server_views(self._conductor.policy, self._conductor.clock.now_ms()):
            if view.server not in listed:
                continue
            observation = self._observe(view.server, view.warmth, work)
            if has_changed(self._published.get(view.server), observation):
                key = SERVER_PREFIX + view.server
                if self._records.write(now_s, key, msgspec.msgpack.encode(observation)):
                    self._published[view.server] = observation
        for server in self._published.keys() - listed:
            del self._published[server]
            self._records.delete(now_s, SERVER_PREFIX + server)

    def _observe(self, server: str, warmth: float, work: InFlightWork) -> ServerObservation:
        settings = self._context.settings
        self._measurements.update_streams(server, work.streams[server])
        kind = settings.kinds[self._context.servers.entries[server].kind]
        return self._measurements.server_observation(
            server, kind.memory_tokens, settings.routers, round(warmth, 2), work.cache_entries[server]
        )


def has_changed(published: ServerObservation | None, current: ServerObservation) -> bool:
    """Whether an observation differs enough from the published one to be published again."""
    if published is None or bool(published.waiting_entries) != bool(current.waiting_entries):
        return True
    pairs = (
        (published.prefill_rate, current.prefill_rate),
        (published.decode_rate, current.decode_rate),
        (published.warmth, current.warmth),
    )
    return any(abs(after - before) > MIN_RELATIVE_CHANGE * before for before, after in pairs)
