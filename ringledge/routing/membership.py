"""What the list of servers and the operators say; the types are in ``ringledge/routing/interface.py``."""

from __future__ import annotations

from collections import Counter, defaultdict

from ringledge.routing.actions import CancelAttempt, SetTimer, TimerName, WatchEndpoints
from ringledge.routing.control_events import OperatorOverride, RolePlan, UnreachableServers
from ringledge.routing.endpoints import Availability, EndpointUpdate, EndpointUpdateKind, ServerEntry
from ringledge.routing.estimates import Estimates
from ringledge.routing.settings import MembershipMode, Role
from ringledge.routing.state import DECAY_MS, DecayingMean, Job, Server

# Tuned values: unit, and why.
EXPIRY_CHECK_MS = 1_000.0  # ms between checks of what is old, and of how warm servers are
AFFINITY_TTL_MS = 60_000.0  # ms a session stays bound after its last prefill: the design's default
RETRIAL_MS = 1_000.0  # ms between trials of a failing server by all routers together: each costs a request


class FleetMembership(Estimates):
    """Who is listed, up and warm, and how far each place's decode servers fall short of its prefills."""

    def _update_members(self, members: EndpointUpdate) -> None:
        if members.kind == EndpointUpdateKind.PERSISTED:  # comes once, at the start
            self._expire()
            if self.settings.membership == MembershipMode.POLL:
                self.actions.append(WatchEndpoints())
        if (
            members.kind == EndpointUpdateKind.FAILED
        ):  # ask again, spread out and well before the list counts as old
            wait_ms = self.settings.poll_interval_ms * self.rng.uniform(0.1, 0.2)
            return self.actions.append(SetTimer(self.now_ms + wait_ms, TimerName.MEMBERS))
        gone = [each.server for each in members.entries if each.availability == Availability.REMOVED]
        if members.kind != EndpointUpdateKind.CHANGES:  # a whole list: who isn't named is gone
            gone += sorted(self.servers.keys() - {entry.server for entry in members.entries})
        for name in gone:
            if name in self.servers:  # what waits there is cancelled; the outcomes bring the requests on
                for job in self.servers.pop(name).in_flight:
                    self._cancel(job)
        for entry in members.entries:
            if entry.availability == Availability.REMOVED or entry.kind >= len(self.settings.kinds):
                continue
            server = self.servers.get(entry.server)
            if server is None or server.entry.started_ms != entry.started_ms:  # cold, with nothing cached
                here_ms = entry.started_ms if entry.started_here_ms is None else entry.started_here_ms
                server = self._add_server(entry, self.rng.random(), here_ms)
            server.entry = entry
        self._rebalance()

    def _expire(self) -> None:
        """Drop what is old, and check again in a while."""
        oldest_ms = self.now_ms - AFFINITY_TTL_MS
        self._rebalance()  # what is cold has warmed a little
        self.affinities = {key: each for key, each in self.affinities.items() if each.used_ms >= oldest_ms}
        for server in self.servers.values():
            cached = server.cached_prefixes.items()
            server.cached_prefixes = {prefix: used_ms for prefix, used_ms in cached if used_ms >= oldest_ms}
        self.actions.append(SetTimer(self.now_ms + EXPIRY_CHECK_MS, TimerName.EXPIRE))

    def _add_server(self, entry: ServerEntry, credit: float, warming_since_ms: float) -> Server:
        """A server of which nothing is known yet."""
        server = Server(entry, self.settings.kinds[entry.kind].role, warming_since_ms=warming_since_ms)
        server.start_credit, server.start_credit_ms = credit, self.now_ms
        decay_ms = max(DECAY_MS, RETRIAL_MS * self.settings.routers)
        server.failures = defaultdict(lambda: DecayingMean(decay_ms=decay_ms))
        self.servers[entry.server] = server
        return server

    def _update_reachability(self, event: UnreachableServers) -> None:
        self.unreachable = event.servers

    def _update_role_plan(self, event: RolePlan) -> None:
        """What is under way goes on: a server that does both can end whatever it was sent."""
        self.role_plan = event
        self._rebalance()

    def _override(self, event: OperatorOverride) -> None:
        """An excluded server gets nothing, whatever the list says; readmitted, it is cold and new."""
        if event.excluded:
            self.excluded.add(event.server)
        elif event.server in self.excluded:
            self.excluded.discard(event.server)
            self.readmitted.add(event.server)
            if event.server in self.servers:
                self._add_server(self.servers[event.server].entry, 1.0, self.now_ms)
        self._rebalance()

    def _rebalance(self) -> None:
        """Derive from the list who prefills and decodes, and each place's shortage of decode servers."""
        up = [each for each in self.servers.values() if self.availability(each) == Availability.UP]
        self.rankings.clear()
        decode = [server for server in up if server.role != Role.PREFILL]
        prefill = [server for server in up if server.role != Role.DECODE]
        prefill = prefill or decode * self.settings.decode_may_prefill
        # By plan each does one; were a role left to nobody, any that can would be better than none.
        self.decode_servers = [each for each in decode if not self._only(each, Role.PREFILL)] or decode
        self.prefill_servers = [each for each in prefill if not self._only(each, Role.DECODE)] or prefill
        self.peak_servers |= Counter(server.role for server in self.servers.values())  # the larger of both
        cells = {server.entry.cell for server in self.servers.values()}
        known = {key: delay for key, delay in self.fetch_delays.items() if key[0] in cells}
        self.fetch_delays = defaultdict(DecayingMean, known)
        self._estimate_spill(up)

    def _cancel(self, job: Job) -> None:
        if job.server is not None and not job.streaming and self.settings.may_cancel:
            self.actions.append(CancelAttempt(job.request.request, job.attempts - 1))
