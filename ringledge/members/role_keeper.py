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
from ringledge.members.planner import DEMAND, SERVER
from ringledge.memory.names import Names
from ringledge.observe.logging import log
from ringledge.routing.interface import (
    AttemptStatus,
    Availability,
    Role,
    RolePlan,
)
from ringledge.routing.server_views import server_views

KIND = {Role.PREFILL: "read", Role.DECODE: "write", Role.MIXED: "both"}
NEWS = 0.1  # share by which a server's figures have to differ to be told anew: each tells all members


class RoleKeeper:
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
        self._settings, self._facts, self._membership = settings, facts, membership
        self._conductor, self._names, self._book = conductor, names, book
        self._desk = conductor.context
        self._measures = LocalMeasurements()
        self._told: dict[str, ServerObservation] = {}
        self._asked: dict[str, RoleAssignment] = {}  # rows that the log has
        self._roles = RolePlan()

    # The core's observer.

    def on_request_accepted(self, record: Record) -> None:
        """A request was taken in."""
        request = record.request
        tokens = request.prompt_tokens, request.max_output_tokens
        self._measures.request_received(time.monotonic(), request.class_index, *tokens)

    def on_attempt_ended(self, attempt: Attempt, status: AttemptStatus, note: int) -> None:
        """An attempt has its outcome."""
        request = attempt.record.request
        if status == AttemptStatus.PREFILLED:
            unread = max(0.0, request.prompt_tokens - note)
            self._measures.prefill_finished(
                request.class_index, attempt.server, unread, attempt.duration_ms / 1000
            )
        elif status == AttemptStatus.OK and attempt.completion_tokens:
            took_s = (attempt.duration_ms - attempt.first_token_ms) / 1000
            kind, prompt = request.class_index, request.prompt_tokens
            self._measures.decode_finished(kind, attempt.server, prompt, attempt.completion_tokens, took_s)

    # The planner's fleet.

    def servers(self) -> Sequence[ListedServer]:
        """The servers on the list that are up, by the sites that members name."""
        return [
            ListedServer(
                entry.server, self._names.zones[entry.zone], f"{entry.zone}/{entry.cell}", KIND[role]
            )
            for entry in self._desk.servers.entries.values()
            if entry.availability == Availability.UP
            and entry.zone < len(self._names.zones)
            and (role := self._desk.servers.role(entry.server)) is not None
        ]

    def members(self) -> Mapping[str, str]:
        """The site of each member that is there."""
        return {each.name: each.site for each in self._membership.active_members()}

    # Looking.

    async def run(self) -> None:
        """Look for ever."""
        while True:
            self.look(time.monotonic())
            await anyio.sleep(self._settings.planning_interval_s)

    def look(self, now_s: float) -> None:
        """Tell what is seen, hear the rows, and hand the roles on where they have changed."""
        listed = {each.name: each for each in self.servers()}
        reads, streams, waiting = Counter[str](), Counter[str](), Counter[str]()
        for record in self._desk.registry.records.values():
            waiting.update(record.cache_holders)
            for attempt in record.attempts:
                if attempt.in_flight:
                    (streams if attempt.streaming or record.cache_holders else reads)[attempt.server] += 1
        self._tell(now_s, set(listed), streams, waiting)
        self._book.update_servers(now_s, {name: each.kind for name, each in listed.items()})
        for server in listed:
            self._book.update_in_flight(server, reads[server], streams[server])
        for server, row in decode_assignments(self._facts.values(now_s, KEY_PREFIX)):
            self._book.receive(now_s, server, row)
        for (
            server,
            row,
        ) in self._book.assignments.items():  # where the planner is here, it has told the book before
            if self._asked.get(server) != row:
                self._asked[server] = row
                log.info("role_asked", server=server, role=row.role, token=row.token, number=row.number)
        for server, state in self._book.tick(now_s):
            log.info("role_changes", server=server, state=state.value)
        roles = RolePlan(*self._book.excluded_servers())
        if roles != self._roles:
            self._roles = roles
            self._conductor.update_role_plan(roles)

    def _tell(self, now_s: float, listed: set[str], streams: Counter[str], waiting: Counter[str]) -> None:
        measures, settings = self._measures, self._desk.settings
        for kind, demand in measures.demand(now_s).items():
            if kind < len(self._names.classes):
                self._facts.write(now_s, DEMAND + self._names.classes[kind], msgspec.msgpack.encode(demand))
        measures.retain_servers(listed)
        for each in server_views(self._conductor.policy, self._conductor.clock.now_ms()):
            if each.server not in listed:
                continue
            measures.update_streams(each.server, streams[each.server])
            memory = settings.kinds[self._desk.servers.entries[each.server].kind].memory_tokens
            its = (memory, settings.routers, round(each.warmth, 2), waiting[each.server])
            seen = measures.server_observation(each.server, *its)
            if _news(self._told.get(each.server), seen):
                self._told[each.server] = seen
                self._facts.write(now_s, SERVER + each.server, msgspec.msgpack.encode(seen))
        for server in self._told.keys() - listed:
            del self._told[server]
            self._facts.delete(now_s, SERVER + server)


def _news(told: ServerObservation | None, seen: ServerObservation) -> bool:
    """Whether it is worth a datagram to everybody."""
    if told is None or bool(told.waiting_entries) != bool(seen.waiting_entries):
        return True
    pairs = (
        (told.prefill_rate, seen.prefill_rate),
        (told.decode_rate, seen.decode_rate),
        (told.warmth, seen.warmth),
    )
    return any(abs(now - before) > NEWS * before for before, now in pairs)
