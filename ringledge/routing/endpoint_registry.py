"""Applies the list of servers and operators' overrides; the types are in ``interface.py``."""

from __future__ import annotations

from collections import Counter, defaultdict

from ringledge.routing.actions import (
    RoutingAction,
    SetTimer,
    TimerName,
    TimerToken,
    WatchEndpoints,
)
from ringledge.routing.affinity import SessionAffinities
from ringledge.routing.context import RoutingContext
from ringledge.routing.control_events import OperatorOverride, RolePlan, UnreachableServers
from ringledge.routing.endpoints import Availability, EndpointUpdate, EndpointUpdateKind, ServerEntry
from ringledge.routing.estimates import Estimates
from ringledge.routing.fleet import FleetState
from ringledge.routing.settings import MembershipMode, Role
from ringledge.routing.state import DECAY_MS, DecayingMean, Server
from ringledge.routing.termination import cancel_actions

EXPIRY_CHECK_MS = 1_000.0  # ms between checks of what is old, and of how warm servers are
AFFINITY_TTL_MS = 60_000.0  # ms a session stays bound after its last prefill: the design's default
RETRIAL_MS = 1_000.0  # ms between trials of a failing server by all routers together: each costs a request


class EndpointRegistry:
    """Decides which listed servers take new requests, and of which role."""

    def __init__(
        self,
        context: RoutingContext,
        fleet: FleetState,
        affinities: SessionAffinities,
        estimates: Estimates,
    ) -> None:
        self.settings = context.settings
        self.rng = context.rng
        self.clock = context.clock
        self.fleet = fleet
        self.affinities = affinities
        self.estimates = estimates

    def update_endpoints(self, update: EndpointUpdate) -> list[RoutingAction]:
        """Apply an update of the list; what waits at a removed server is cancelled."""
        actions = list[RoutingAction]()
        if update.kind == EndpointUpdateKind.FAILED:
            return [self._retry_list()]
        if update.kind == EndpointUpdateKind.PERSISTED:  # comes once, at the start
            actions += self.expire()
            if self.settings.membership == MembershipMode.POLL:
                actions.append(WatchEndpoints())
        for name in self._removed(update):
            if name in self.fleet.servers:  # the outcomes of what is cancelled send its requests elsewhere
                states = self.fleet.servers.pop(name).in_flight
                actions += [action for state in states for action in cancel_actions(self.settings, state)]
        for entry in update.entries:
            if entry.availability != Availability.REMOVED and entry.kind < len(self.settings.kinds):
                self._update_server(entry)
        self._refresh()
        return actions

    def _retry_list(self) -> SetTimer:
        """Request the list again, spread out and well before it counts as old."""
        wait_ms = self.settings.poll_interval_ms * self.rng.uniform(0.1, 0.2)
        return SetTimer(self.clock.now_ms + wait_ms, TimerToken(TimerName.MEMBERS).encode())

    def _removed(self, update: EndpointUpdate) -> list[str]:
        """The servers that an update removes: of a complete list, those it does not name."""
        removed = [each.server for each in update.entries if each.availability == Availability.REMOVED]
        if update.kind != EndpointUpdateKind.CHANGES:
            removed += sorted(self.fleet.servers.keys() - {entry.server for entry in update.entries})
        return removed

    def _update_server(self, entry: ServerEntry) -> None:
        """Apply one entry; a server that is new or was restarted is cold, with nothing cached."""
        server = self.fleet.servers.get(entry.server)
        if server is None or server.entry.started_ms != entry.started_ms:
            here_ms = entry.started_ms if entry.started_here_ms is None else entry.started_here_ms
            server = self._add_server(entry, self.rng.random(), here_ms)
        server.entry = entry

    def expire(self) -> list[RoutingAction]:
        """Delete what is old; the timer that is returned does so again."""
        now_ms = self.clock.now_ms
        oldest_ms = now_ms - AFFINITY_TTL_MS
        self._refresh()  # what is cold has warmed a little
        self.affinities.expire(oldest_ms)
        for server in self.fleet.servers.values():
            cached = server.cached_prefixes.items()
            server.cached_prefixes = {prefix: used_ms for prefix, used_ms in cached if used_ms >= oldest_ms}
        return [SetTimer(now_ms + EXPIRY_CHECK_MS, TimerToken(TimerName.EXPIRE).encode())]

    def _add_server(self, entry: ServerEntry, credit: float, warming_since_ms: float) -> Server:
        """Add a server of which nothing is known yet."""
        server = Server(entry, self.settings.kinds[entry.kind].role, warming_since_ms=warming_since_ms)
        server.start_credit = credit
        server.start_credit_ms = self.clock.now_ms
        decay_ms = max(DECAY_MS, RETRIAL_MS * self.settings.routers)
        server.failures = defaultdict(lambda: DecayingMean(decay_ms=decay_ms))
        self.fleet.servers[entry.server] = server
        return server

    def update_reachability(self, event: UnreachableServers) -> None:
        """Replace the set of servers that no connection reaches."""
        self.fleet.unreachable = event.servers

    def update_role_plan(self, plan: RolePlan) -> None:
        """Replace the role plan; attempts in flight go on: a mixed server can end whatever it was sent."""
        self.fleet.role_plan = plan
        self._refresh()

    def override(self, event: OperatorOverride) -> None:
        """An excluded server gets nothing, whatever the list says; readmitted, it is cold and new."""
        fleet = self.fleet
        if event.excluded:
            fleet.excluded.add(event.server)
        elif event.server in fleet.excluded:
            fleet.excluded.discard(event.server)
            fleet.readmitted.add(event.server)
            if event.server in fleet.servers:
                self._add_server(fleet.servers[event.server].entry, 1.0, self.clock.now_ms)
        self._refresh()

    def _refresh(self) -> None:
        """Derive from the list who prefills and decodes, and each place's shortage of decode servers."""
        fleet = self.fleet
        servers = fleet.servers.values()
        up = [server for server in servers if fleet.availability(server) == Availability.UP]
        fleet.rankings.clear()
        decode = [server for server in up if server.role != Role.PREFILL]
        prefill = [server for server in up if server.role != Role.DECODE]
        prefill = prefill or decode * self.settings.decode_may_prefill
        # By plan each does one; were a role left to nobody, any that can would be better than none.
        fleet.decode_servers = [
            each for each in decode if not fleet.is_dedicated_to(each, Role.PREFILL)
        ] or decode
        fleet.prefill_servers = [
            each for each in prefill if not fleet.is_dedicated_to(each, Role.DECODE)
        ] or prefill
        fleet.peak_servers |= Counter(server.role for server in servers)  # the larger of both
        self.estimates.forget_other_cells({server.entry.cell for server in servers})
        fleet.estimate_spill(up, self.clock.now_ms)
