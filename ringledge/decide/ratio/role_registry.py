"""The current role of each server, as one router sees it; free of I/O and clocks.

Assignments of the planner may arrive late, out of order, twice or never. A server whose configured kind is
prefill or decode always has that role. A mixed server follows its assignment, and does both kinds of work if
it has none. A role change passes through the phases of `RolePhase`. It never cancels work in flight: a mixed
server can still process what a router with an older assignment sends to it.
"""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass
from enum import Enum
from math import inf

from ringledge.decide.interface import RoleAssignment
from ringledge.decide.ratio.role_records import ServerRole, supersedes
from ringledge.decide.ratio.settings import RatioConfig

MAX_ASSIGNMENTS = 4096  # limit of retained assignments, which may be for servers that are not listed yet
# Kinds of work by role; the server kinds have the same three names.
WORK_OF_ROLE: dict[str, frozenset[str]] = {
    ServerRole.PREFILL: frozenset({ServerRole.PREFILL}),
    ServerRole.DECODE: frozenset({ServerRole.DECODE}),
    ServerRole.MIXED: frozenset({ServerRole.PREFILL, ServerRole.DECODE}),
}
WARM_THRESHOLD = 0.9  # warmth (0 to 1) from which a server is considered warm
WARM_UP_LIMIT_FACTOR = 2  # warming up ends after this multiple of `warm_up_s` even if a server is cold


class RolePhase(Enum):
    """Phases of a role change."""

    REQUESTED = "asked"  # this router sends no new work of the old role
    # Every router has the assignment by now; KV cache entries are fetched or released, and streams end.
    DRAINING = "draining"
    CHANGED = "changed"  # the server has started the new role
    WARMING = "warming"  # slow start in the new role
    STABLE = "back"  # no change is in progress


@dataclass(slots=True)
class RoleEntry:
    """One server's role, and work that may remain from its previous role."""

    kind: str  # configured; a `ServerRole`
    role: str = ServerRole.MIXED  # present role, or the new one during a role change; a `ServerRole`
    # Kinds of work that may be in flight from before the role change.
    previous_work: frozenset[str] = WORK_OF_ROLE[ServerRole.MIXED]
    phase: RolePhase = RolePhase.STABLE
    phase_since_s: float = -inf
    requested_s: float = -inf  # time when its role was last changed; -inf: never
    active_prefills: int = 0  # sent by this router
    active_streams: int = 0  # sent by this router
    waiting_entries: int = 0  # KV cache entries of all members that wait to be fetched
    warmth: float = 1.0  # 0 to 1

    def accepted_work(self) -> frozenset[str]:
        """The kinds of new work that this router may send to the server."""
        if self.kind != ServerRole.MIXED:
            return WORK_OF_ROLE[self.kind]
        work = WORK_OF_ROLE[self.role]
        if self.phase in (RolePhase.REQUESTED, RolePhase.DRAINING):
            return work & self.previous_work
        return work

    def has_remaining_work(self) -> bool:
        """Whether the server is known to have work of a role that it is leaving."""
        ending_work = self.previous_work - WORK_OF_ROLE[self.role]
        if ServerRole.PREFILL in ending_work and self.active_prefills + self.waiting_entries > 0:
            return True
        return ServerRole.DECODE in ending_work and self.active_streams > 0

    def request_role(self, now_s: float, role: str) -> None:
        """Begin a role change; no effect if the server is not mixed or has this role already.

        Each new planner reissues assignments, so the same role must not restart a change in progress.
        """
        if self.kind != ServerRole.MIXED or role == self.role:
            return
        if self.phase in (RolePhase.REQUESTED, RolePhase.DRAINING):
            # A reversal while draining: work of either role may remain, and only work of both is accepted.
            self.previous_work = self.previous_work | WORK_OF_ROLE[self.role]
        else:
            self.previous_work = WORK_OF_ROLE[self.role]
        self.role = role
        self.requested_s = now_s
        self.phase = RolePhase.REQUESTED
        self.phase_since_s = now_s

    def change_kind(self, now_s: float, kind: str, assignment: RoleAssignment | None) -> None:
        """Set another configured kind without phases, as the server now rejects work of any other kind."""
        self.kind = kind
        self.phase = RolePhase.STABLE
        self.phase_since_s = now_s
        self.role = initial_role(kind, assignment)
        self.previous_work = WORK_OF_ROLE[self.role]
        self.requested_s = now_s

    def next_phase(self, now_s: float, settings: RatioConfig) -> RolePhase:
        """The phase that is due at `now_s`."""
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
        """Whether warming up is over; the limit keeps a wrong warmth from blocking changes in the rack."""
        if elapsed_s >= warm_up_s and self.warmth >= WARM_THRESHOLD:
            return True
        return elapsed_s >= WARM_UP_LIMIT_FACTOR * warm_up_s


class RoleRegistry:
    """The roles of all servers, from assignments, the server list and the work in flight.

    Invariants: an assignment with a token below the highest accepted one is never accepted (fencing), and
    each role is accepted by at least one server if any listed server is able to do it.
    """

    def __init__(self, settings: RatioConfig) -> None:
        self.settings = settings
        self.assignments = dict[str, RoleAssignment]()  # newest assignment by server
        self.entries = dict[str, RoleEntry]()  # by server; only listed servers
        self.token = 0  # highest fencing token accepted; a lower one belongs to a planner that was replaced
        self.rejected = 0  # count of outdated assignments, and of those beyond `MAX_ASSIGNMENTS`

    def receive(self, now_s: float, server: str, assignment: RoleAssignment) -> bool:
        """Process an assignment; returns whether it was accepted."""
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
        """Apply the server list, which has the kind (a `ServerRole`) by server; other servers are removed."""
        for server in self.entries.keys() - kinds.keys():
            del self.entries[server]
        for server, kind in kinds.items():
            assignment = self.assignments.get(server)
            entry = self.entries.get(server)
            if entry is None:  # nothing is in flight there, so an assignment applies at once
                self.entries[server] = new_entry(now_s, kind, assignment)
            elif entry.kind != kind:
                entry.change_kind(now_s, kind, assignment)

    def update_in_flight(self, server: str, prefills: int, streams: int) -> None:
        """Set the numbers of prefills and streams that this router has in flight at a server."""
        if server in self.entries:
            entry = self.entries[server]
            entry.active_prefills = prefills
            entry.active_streams = streams

    def update_observation(self, server: str, waiting_entries: int, warmth: float) -> None:
        """Set what members report about a server: its waiting KV cache entries and its warmth (0 to 1)."""
        if server in self.entries:
            entry = self.entries[server]
            entry.waiting_entries = waiting_entries
            entry.warmth = warmth

    def tick(self, now_s: float) -> list[tuple[str, RolePhase]]:
        """Advance role changes; returns each server whose phase changed, with the new phase."""
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
        """The kinds of new work that this router may send to each listed server.

        If no server would accept a role, every server that is able to do it accepts it. An incomplete plan
        may thus reduce performance, but never leaves requests without a server.
        """
        accepted = {server: entry.accepted_work() for server, entry in self.entries.items()}
        for role in WORK_OF_ROLE[ServerRole.MIXED]:
            if not any(role in work for work in accepted.values()):
                for server, entry in self.entries.items():
                    accepted[server] |= WORK_OF_ROLE[entry.kind] & {role}
        return accepted

    def excluded_servers(self) -> tuple[frozenset[str], frozenset[str]]:
        """The fields of `RolePlan`: servers without new prefills, and servers without new decodes."""
        accepted = self.accepted_work()
        no_prefill = frozenset(server for server, work in accepted.items() if ServerRole.PREFILL not in work)
        no_decode = frozenset(server for server, work in accepted.items() if ServerRole.DECODE not in work)
        return no_prefill, no_decode

    def changing_servers(self) -> set[str]:
        """Servers with a role change in progress."""
        return {server for server, entry in self.entries.items() if entry.phase is not RolePhase.STABLE}


def initial_role(kind: str, assignment: RoleAssignment | None) -> str:
    """The role of a server of this kind when no role change is in progress."""
    if assignment is not None and kind == ServerRole.MIXED:
        return assignment.role
    return kind


def new_entry(now_s: float, kind: str, assignment: RoleAssignment | None) -> RoleEntry:
    """The entry of a server that has just been listed."""
    role = initial_role(kind, assignment)
    requested_s = now_s if assignment else -inf
    return RoleEntry(kind, role, WORK_OF_ROLE[role], requested_s=requested_s)
