"""A conductor's side of the roles: it tells what it sees, and has the policy keep to the plan's rows."""

from __future__ import annotations

import time
from collections import Counter
from collections.abc import Mapping, Sequence

import anyio
import msgspec

from ringledge.core.conductor import Conductor
from ringledge.core.records import Attempt, Record
from ringledge.decide.interface import RecordStore, RoleAssignment, ServerObservation
from ringledge.decide.membership.swim import Membership
from ringledge.decide.ratio.measurements import LocalMeasurements
from ringledge.decide.ratio.planner import ListedServer
from ringledge.decide.ratio.role_records import KEY_PREFIX, decode_assignments
from ringledge.decide.ratio.role_registry import RoleRegistry
from ringledge.decide.ratio.settings import RatioConfig
from ringledge.members.planner import DEMAND_PREFIX, SERVER_PREFIX
from ringledge.memory.names import Names
from ringledge.observe.logging import log
from ringledge.routing.interface import (
    AttemptStatus,
    Availability,
    Role,
    RolePlan,
)
from ringledge.routing.server_views import server_views

KIND_OF_ROLE = {Role.PREFILL: "read", Role.DECODE: "write", Role.MIXED: "both"}
MIN_RELATIVE_CHANGE = (
    0.1  # share by which a server's figures have to differ to be told anew: each tells all members
)


class RoleFollower:
    """Implements the core's Observer and the planner's Fleet."""

    def __init__(
        self,
        settings: RatioConfig,
        facts: RecordStore,
        membership: Membership,
        conductor: Conductor,
        names: Names,
        book: RoleRegistry,
    ) -> None:
        self._settings, self._records, self._membership = settings, facts, membership
        self._conductor, self._names, self._registry = conductor, names, book
        self._context = conductor.context
        self._measurements = LocalMeasurements()
        self._published: dict[str, ServerObservation] = {}
        self._logged: dict[str, RoleAssignment] = {}  # rows that the log has
        self._role_plan = RolePlan()

    # The core's observer.

    def taken(self, record: Record) -> None:
        """A request was taken in."""
        request = record.request
        tokens = request.prompt_tokens, request.max_output_tokens
        self._measurements.request_received(time.monotonic(), request.class_index, *tokens)

    def ended(self, attempt: Attempt, status: AttemptStatus, note: int) -> None:
        """An attempt has its outcome."""
        request = attempt.record.request
        if status == AttemptStatus.PREFILLED:
            unread = max(0.0, request.prompt_tokens - note)
            self._measurements.prefill_finished(
                request.class_index, attempt.server, unread, attempt.duration_ms / 1000
            )
        elif status == AttemptStatus.OK and attempt.answer_tokens:
            took_s = (attempt.duration_ms - attempt.first_token_ms) / 1000
            kind, prompt = request.class_index, request.prompt_tokens
            self._measurements.decode_finished(kind, attempt.server, prompt, attempt.answer_tokens, took_s)

    # The planner's fleet.

    def servers(self) -> Sequence[ListedServer]:
        """The servers on the list that are up, by the sites that members name."""
        return [
            ListedServer(
                entry.server, self._names.zones[entry.zone], f"{entry.zone}/{entry.cell}", KIND_OF_ROLE[role]
            )
            for entry in self._context.servers.entries.values()
            if entry.availability == Availability.UP
            and entry.zone < len(self._names.zones)
            and (role := self._context.servers.role(entry.server)) is not None
        ]

    def members(self) -> Mapping[str, str]:
        """The site of each member that is there."""
        return {each.name: each.site for each in self._membership.alive()}

    # Looking.

    async def run(self) -> None:
        """Look for ever."""
        while True:
            self.update(time.monotonic())
            await anyio.sleep(self._settings.planning_interval_s)

    def update(self, now_s: float) -> None:
        """Tell what is seen, hear the rows, and hand the roles on where they have changed."""
        listed = {each.name: each for each in self.servers()}
        reads, streams, waiting = Counter[str](), Counter[str](), Counter[str]()
        for record in self._context.registry.records.values():
            waiting.update(record.cache_holders)
            for attempt in record.attempts:
                if attempt.in_flight:
                    (streams if attempt.streaming or record.cache_holders else reads)[attempt.server] += 1
        self._publish(now_s, set(listed), streams, waiting)
        self._registry.update_servers(now_s, {name: each.kind for name, each in listed.items()})
        for server in listed:
            self._registry.update_in_flight(server, reads[server], streams[server])
        for server, row in decode_assignments(self._records.values(now_s, KEY_PREFIX)):
            self._registry.receive(now_s, server, row)
        for (
            server,
            row,
        ) in self._registry.assignments.items():  # where the planner is here, it has told the book before
            if self._logged.get(server) != row:
                self._logged[server] = row
                log.info("role_asked", server=server, role=row.role, token=row.token, number=row.number)
        for server, state in self._registry.tick(now_s):
            log.info("role_changes", server=server, state=state.value)
        roles = RolePlan(*self._registry.excluded_servers())
        if roles != self._role_plan:
            self._role_plan = roles
            self._conductor.update_role_plan(roles)

    def _publish(self, now_s: float, listed: set[str], streams: Counter[str], waiting: Counter[str]) -> None:
        measures, settings = self._measurements, self._context.settings
        for kind, demand in measures.demand(now_s).items():
            if kind < len(self._names.classes):
                self._records.write(
                    now_s, DEMAND_PREFIX + self._names.classes[kind], msgspec.msgpack.encode(demand)
                )
        measures.retain_servers(listed)
        for each in server_views(self._conductor.policy, self._conductor.clock.now_ms()):
            if each.server not in listed:
                continue
            measures.update_streams(each.server, streams[each.server])
            memory = settings.kinds[self._context.servers.entries[each.server].kind].memory_tokens
            its = (memory, settings.routers, round(each.warmth, 2), waiting[each.server])
            seen = measures.server_observation(each.server, *its)
            if _has_changed(self._published.get(each.server), seen):
                self._published[each.server] = seen
                self._records.write(now_s, SERVER_PREFIX + each.server, msgspec.msgpack.encode(seen))
        for server in self._published.keys() - listed:
            del self._published[server]
            self._records.delete(now_s, SERVER_PREFIX + server)


def _has_changed(told: ServerObservation | None, seen: ServerObservation) -> bool:
    """Whether it is worth a datagram to everybody."""
    if told is None or bool(told.waiting_entries) != bool(seen.waiting_entries):
        return True
    pairs = (
        (told.prefill_rate, seen.prefill_rate),
        (told.decode_rate, seen.decode_rate),
        (told.warmth, seen.warmth),
    )
    return any(abs(now - before) > MIN_RELATIVE_CHANGE * before for before, now in pairs)
