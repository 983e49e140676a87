"""Applies server list updates, operator overrides and role plans. Types are in ``interface.py``."""

from __future__ import annotations

from collections import defaultdict

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
from ringledge.routing.server_pool import FULL_SCAN_SERVERS
from ringledge.routing.settings import MembershipMode
from ringledge.routing.state import DECAY_MS, DecayingMean, Server
from ringledge.routing.termination import cancel_actions

EXPIRY_CHECK_MS = 1_000.0  # interval at which expired state is deleted and the servers' warmth updated
AFFINITY_TTL_MS = 60_000.0  # time for which a session keeps its server after its last prefill
# Interval at which all routers together try a failing server again, since each trial costs a request.
TRIAL_INTERVAL_MS = 1_000.0


class EndpointRegistry:
    """Decides which listed servers take new requests, and for which role."""

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
        """Apply a server list update; cancel the attempts in flight on removed servers."""
        actions = list[RoutingAction]()
        if update.kind == EndpointUpdateKind.FAILED:
            return [self._schedule_list_retry()]
        if update.kind == EndpointUpdateKind.PERSISTED:  # delivered once, at startup
            actions += self.expire()
            if self.settings.membership == MembershipMode.POLL:
                actions.append(WatchEndpoints())
        for name in self._removed_servers(update):
            if name in self.fleet.servers:  # outcomes of the cancelled attempts trigger retries elsewhere
                states = self.fleet.remove(name).in_flight
                actions += [action for state in states for action in cancel_actions(self.settings, state)]
        for entry in update.entries:
            if entry.availability != Availability.REMOVED and entry.kind < len(self.settings.kinds):
                self._update_server(entry)
        self._finish_update()
        return actions

    def _schedule_list_retry(self) -> SetTimer:
        """Set a timer to request the list again, with jitter and well before the present list is stale."""
        wait_ms = self.settings.poll_interval_ms * self.rng.uniform(0.1, 0.2)
        return SetTimer(self.clock.now_ms + wait_ms, TimerToken(TimerName.MEMBERS).encode())

    def _removed_servers(self, update: EndpointUpdate) -> list[str]:
        """Return the servers that an update removes. A complete list removes those that it does not name."""
        removed = [each.server for each in update.entries if each.availability == Availability.REMOVED]
        if update.is_whole:
            removed += sorted(self.fleet.servers.keys() - {entry.server for entry in update.entries})
        return removed

    def _update_server(self, entry: ServerEntry) -> None:
        """Apply one entry. A server that is new or was restarted is cold and has cached nothing."""
        server = self.fleet.servers.get(entry.server)
        if server is None or server.entry.started_ms != entry.started_ms:
            start_ms = entry.started_ms if entry.local_started_ms is None else entry.local_started_ms
            self._add_server(entry, self.rng.random(), start_ms)
        elif server.entry != entry:
            self.fleet.update_entry(server, entry)
            self.fleet.place(server, self.clock.now_ms)

    def expire(self) -> list[RoutingAction]:
        """Delete expired state; return the timer for the next run."""
        now_ms = self.clock.now_ms
        oldest_ms = now_ms - AFFINITY_TTL_MS
        self.fleet.update_warmth(now_ms)
        self._finish_update()
        self.affinities.expire(oldest_ms)
        return [SetTimer(now_ms + EXPIRY_CHECK_MS, TimerToken(TimerName.EXPIRE).encode())]

    def _add_server(self, entry: ServerEntry, credit: float, warming_since_ms: float) -> None:
        """Add a server without any observations."""
        server = Server(entry, self.settings.kinds[entry.kind].role, warming_since_ms=warming_since_ms)
        server.start_credit = credit
        server.start_credit_ms = self.clock.now_ms
        decay_ms = max(DECAY_MS, TRIAL_INTERVAL_MS * self.settings.routers)
        server.failures = defaultdict(lambda: DecayingMean(decay_ms=decay_ms))
        self.fleet.add(server)
        self.fleet.place(server, self.clock.now_ms)

    def update_reachability(self, event: UnreachableServers) -> None:
        """Replace the set of unreachable servers."""
        self.fleet.unreachable = event.servers

    def update_role_plan(self, plan: RolePlan) -> None:
        """Replace the role plan. Attempts in flight continue, since a mixed server can finish both roles."""
        before = self.fleet.role_plan
        self.fleet.set_role_plan(plan)
        changed = (before.no_prefill ^ plan.no_prefill) | (before.no_decode ^ plan.no_decode)
        for name in sorted(changed):
            self._place(name)
        self._finish_update()

    def override(self, event: OperatorOverride) -> None:
        """Exclude a server regardless of the server list, or readmit it as a new and cold server."""
        fleet = self.fleet
        if event.excluded:
            fleet.excluded.add(event.server)
        elif event.server in fleet.excluded:
            fleet.excluded.discard(event.server)
            fleet.readmitted.add(event.server)
            if event.server in fleet.servers:
                self._add_server(fleet.servers[event.server].entry, 1.0, self.clock.now_ms)
        self._place(event.server)
        self._finish_update()

    def _place(self, name: str) -> None:
        """Bring the fleet's state up to date with one server, if it is listed."""
        if name in self.fleet.servers:
            self.fleet.place(self.fleet.servers[name], self.clock.now_ms)

    def _finish_update(self) -> None:
        """Complete the changes of one event."""
        self.fleet.update_warmth(self.clock.now_ms, FULL_SCAN_SERVERS)
        self.estimates.forget_cells(self.fleet.finish_update())
