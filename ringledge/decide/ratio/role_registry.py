"""The current role of each server, as one conductor sees it; free of I/O and clocks.

The planner's assignments arrive late, out of order, twice or never. A server whose configured kind is prefill
or decode always keeps that role; a mixed server follows its assignment, and does both kinds of work while it
has none. A change of role passes through the phases of `RolePhase`. Nothing in flight is ever cancelled here:
what a conductor with an older assignment still sends is work that the server is able to do.
"""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass
from enum import Enum
from math import inf

from ringledge.decide.interface import RoleAssignment
from ringledge.decide.ratio.role_records import ServerRole, supersedes
from ringledge.decide.ratio.settings import RatioConfig

MAX_ASSIGNMENTS = 4096  # retained, including those of servers that are not listed yet
# Work that a server of each role does; kinds of servers have the same three names.
WORK_OF_ROLE: dict[str, frozenset[str]] = {
    ServerRole.PREFILL: frozenset({ServerRole.PREFILL}),
    ServerRole.DECODE: frozenset({ServerRole.DECODE}),
    ServerRole.MIXED: frozenset({ServerRole.PREFILL, ServerRole.DECODE}),
}
WARM_THRESHOLD = 0.9  # part of a server's full capacity from which it counts as warm
WARM_UP_LIMIT = 2  # times `warm_up_s` after which warming up ends, whatever warmth is reported


class RolePhase(Enum):
    """How far a server is with a change of its role."""

    REQUESTED = "asked"  # no new work of the old role is sent from here
    DRAINING = "draining"  # every conductor knows by now: cache entries are fetched or released, streams end
    CHANGED = "changed"  # the new role has begun
    WARMING = "warming"  # slow start in the new role
    STABLE = "back"  # no change is in progress


@dataclass(slots=True)
class RoleEntry:
    """One server's role, and the work that may remain there from the role before."""

    kind: str  # configured; a `ServerRole`
    role: str = ServerRole.MIXED  # a `ServerRole` that it has, or changes to
    # Kinds of work that may still be in flight from before the change.
    previous_work: frozenset[str] = WORK_OF_ROLE[ServerRole.MIXED]
    phase: RolePhase = RolePhase.STABLE
    phase_since_s: float = -inf
    requested_s: float = -inf  # when its role was last changed; -inf: never
    active_prefills: int = 0  # sent by this conductor
    active_streams: int = 0  # sent by this conductor
    waiting_entries: int = 0  # cache entries of all members that wait to be fetched
    warmth: float = 1.0  # 0 to 1

    def accepted_work(self) -> frozenset[str]:
        """The kinds of new work that this conductor sends to it."""
        if self.kind != ServerRole.MIXED:
            return WORK_OF_ROLE[self.kind]
        work = WORK_OF_ROLE[self.role]
        if self.phase in (RolePhase.REQUESTED, RolePhase.DRAINING):
            return work & self.previous_work
        return work

    def has_remaining_work(self) -> bool:
        """Whether work of a role that it gives up is known to be there."""
        ending_work = self.previous_work - WORK_OF_ROLE[self.role]
        if ServerRole.PREFILL in ending_work and self.active_prefills + self.waiting_entries > 0:
            return True
        return ServerRole.DECODE in ending_work and self.active_streams > 0

    def request_role(self, now_s: float, role: str) -> None:
        """Begin a change of role; without effect where the kind is fixed or the role is the same.

        The same role comes again from each new planner, and a change in progress then goes on.
        """
        if self.kind != ServerRole.MIXED or role == self.role:
            return
        if self.phase in (RolePhase.REQUESTED, RolePhase.DRAINING):
            # Reversed while it drains, it may hold work of either role: only what both do is accepted.
            self.previous_work = self.previous_work | WORK_OF_ROLE[self.role]
        else:
            self.previous_work = WORK_OF_ROLE[self.role]
        self.role = role
        self.requested_s = now_s
        self.phase = RolePhase.REQUESTED
        self.phase_since_s = now_s

    def change_kind(self, now_s: float, kind: str, assignment: RoleAssignment | None) -> None:
        """Follow the server list at once: a server accepts only work of its configured kind."""
        self.kind = kind
        self.phase = RolePhase.STABLE
        self.phase_since_s = now_s
        self.role = initial_role(kind, assignment)
        self.previous_work = WORK_OF_ROLE[self.role]
        self.requested_s = now_s

    def next_phase(self, now_s: float, settings: RatioConfig) -> RolePhase:
        """The phase that the server should be in now."""
        elapsed_s = now_s - self.phase_since_s
        match self.phase:
            case RolePhase.REQUESTED if elapsed_s >= settings.propagation_s:
                return RolePhase.DRAINING
            case RolePhase.DRAINING if not self.has_remaining_work() or elapsed_s >= settings.drain_timeout_s:
                return RolePhase.CHANGED
            case RolePhase.CHANGED:
                return RolePhase.WARMING
            case RolePhase.WARMING if self._has_warmed_up(elapsed_s, settings.warm_up_s):
                return RolePhase.STABLE
            case _:
                return self.phase

    def _has_warmed_up(self, elapsed_s: float, warm_up_s: float) -> bool:
        """Warm for long enough; a wrongly reported warmth must not block a rack's changes for ever."""
        if elapsed_s >= warm_up_s and self.warmth >= WARM_THRESHOLD:
            return True
        return elapsed_s >= WARM_UP_LIMIT * warm_up_s


class RoleRegistry:
    """The roles of all servers, from assignments, the server list, and the work in flight.

    Invariants: assignments below the highest token seen are never accepted (fencing), and each role is
    accepted by some server as long as one that is able to do it is listed.
    """

    def __init__(self, settings: RatioConfig) -> None:
        self.settings = settings
        self.assignments = dict[str, RoleAssignment]()  # the newest of each server
        self.entries = dict[str, RoleEntry]()  # of listed servers
        self.token = 0  # the highest seen: a lower one belongs to a planner that has been replaced
        self.rejected = 0  # assignments below that token, or older than the one in force

    def receive(self, now_s: float, server: str, assignment: RoleAssignment) -> bool:
        """Accept an assignment; False where it is rejected."""
        current = self.assignments.get(server)
        if assignment.token < self.token or not supersedes(assignment, current):
            self.rejected += assignment != current
            return False
        if current is None and len(self.assignments) >= MAX_ASSIGNMENTS:
            self.rejected += 1
            return False
        self.token = assignment.token
        self.assignments[server] = assignment
        if server in self.entries:
            self.entries[server].request_role(now_s, assignment.role)
        return True

    def update_servers(self, now_s: float, kinds: Mapping[str, str]) -> None:
        """Apply the server list, the kind (a `ServerRole`) of each; others are removed."""
        for server in self.entries.keys() - kinds.keys():
            del self.entries[server]
        for server, kind in kinds.items():
            assignment = self.assignments.get(server)
            entry = self.entries.get(server)
            if entry is None:  # nothing of ours is in flight there: its assignment holds at once
                self.entries[server] = new_entry(now_s, kind, assignment)
            elif entry.kind != kind:
                entry.change_kind(now_s, kind, assignment)

    def update_in_flight(self, server: str, prefills: int, streams: int) -> None:
        """Set what this conductor has in flight at a server."""
        if server in self.entries:
            entry = self.entries[server]
            entry.active_prefills = prefills
            entry.active_streams = streams

    def update_observation(self, server: str, waiting_entries: int, warmth: float) -> None:
        """Set what all members report of a server: cache entries waiting there, and its warmth (0 to 1)."""
        if server in self.entries:
            entry = self.entries[server]
            entry.waiting_entries = waiting_entries
            entry.warmth = warmth

    def tick(self, now_s: float) -> list[tuple[str, RolePhase]]:
        """Advance the changes that are due; returns the servers whose phase changed, with the new phase."""
        advanced = []
        for server, entry in self.entries.items():
            phase = entry.next_phase(now_s, self.settings)
            if phase is not entry.phase:
                entry.phase = phase
                entry.phase_since_s = now_s
                if phase is RolePhase.CHANGED:
                    entry.previous_work = WORK_OF_ROLE[entry.role]
                advanced.append((server, phase))
        return advanced

    def accepted_work(self) -> dict[str, frozenset[str]]:
        """The kinds of new work that each listed server gets from here.

        Where a role would be accepted nowhere, each server that is able to do it gets it again: an incomplete
        plan may cost speed, but never leaves requests without a server.
        """
        accepted = {server: entry.accepted_work() for server, entry in self.entries.items()}
        for role in WORK_OF_ROLE[ServerRole.MIXED]:
            if not any(role in work for work in accepted.values()):
                for server, entry in self.entries.items():
                    accepted[server] |= WORK_OF_ROLE[entry.kind] & {role}
        return accepted

    def excluded_servers(self) -> tuple[frozenset[str], frozenset[str]]:
        """Servers that get no new prefills, and those that get no new decodes: the fields of `RolePlan`."""
        accepted = self.accepted_work()
        no_prefill = frozenset(server for server, work in accepted.items() if ServerRole.PREFILL not in work)
        no_decode = frozenset(server for server, work in accepted.items() if ServerRole.DECODE not in work)
        return no_prefill, no_decode

    def changing_servers(self) -> set[str]:
        """Servers whose change of role has not ended."""
        return {server for server, entry in self.entries.items() if entry.phase is not RolePhase.STABLE}


def initial_role(kind: str, assignment: RoleAssignment | None) -> str:
    """The role of a server of this kind while no change is in progress."""
    if assignment is not None and kind == ServerRole.MIXED:
        return assignment.role
    return kind


def new_entry(now_s: float, kind: str, assignment: RoleAssignment | None) -> RoleEntry:
    """The entry of a server that has just been listed."""
    role = initial_role(kind, assignment)
    requested_s = now_s if assignment else -inf
    return RoleEntry(kind, role, WORK_OF_ROLE[role], requested_s=requested_s)
