"""The role planner: assigns prefill or decode to mixed servers from observations; free of I/O and clocks.

One planner at a time decides for all sites, under the fencing token of its lease. Its state can be restored
from assignments and measurements: a successor reissues the assignments in force under its own token, lets
role changes in progress finish, and measures for a while before its first plan.
"""

from __future__ import annotations

from collections.abc import Mapping, Sequence
from dataclasses import dataclass, field
from math import inf

from ringledge.decide.interface import ClassDemand, RoleAssignment, ServerObservation
from ringledge.decide.ratio.demand_estimate import DemandEstimator, SiteDemand
from ringledge.decide.ratio.demand_statistics import EPSILON
from ringledge.decide.ratio.plan import SitePlan, plan_site
from ringledge.decide.ratio.role_records import ServerRole
from ringledge.decide.ratio.role_registry import WARM_THRESHOLD, RolePhase, RoleRegistry
from ringledge.decide.ratio.service_rates import ServiceRate, ServiceRateEstimator
from ringledge.decide.ratio.settings import RatioConfig
from ringledge.decide.ratio.target import ServerState, total_capacity

REISSUE_DELAY_FACTOR = 2  # assignments are reissued this multiple of `propagation_s` after a term begins
MEASURING_TIME_FACTOR = 2  # the first plan is made this multiple of `fast_s` after a term begins
RECENT_CHANGE_FACTOR = 2  # a role change counts as recent for this multiple of `max_change_s`


@dataclass(frozen=True, slots=True)
class ListedServer:
    """A server in the server list."""

    name: str
    site: str
    rack: str
    kind: str  # a `ServerRole`


@dataclass(frozen=True, slots=True)
class Observations:
    """The members' reports that one planning round uses."""

    demand: Mapping[tuple[str, str], ClassDemand]  # by member and class
    servers: Mapping[tuple[str, str], ServerObservation]  # by member and server
    member_sites: Mapping[str, str]  # the site of each member that is alive


@dataclass(slots=True)
class PlanningRound:
    """The result of one planning round."""

    assignments: dict[str, RoleAssignment] = field(default_factory=dict)  # to publish, by server
    plans: dict[str, SitePlan] = field(default_factory=dict)  # by site
    demands: dict[str, SiteDemand] = field(default_factory=dict)  # by site


class RolePlanner:
    """Plans roles while this member holds the planner's lease."""

    def __init__(self, settings: RatioConfig, registry: RoleRegistry) -> None:
        """`registry` belongs to this member's `Conductor`, which also receives the assignments made here."""
        self.settings = settings
        self.registry = registry
        self.token = 0
        self.number = 0  # number of the last plan under the token
        self._started_s = inf
        self._demand_estimator = DemandEstimator(settings)
        self._rate_estimator = ServiceRateEstimator(settings)

    def begin(self, now_s: float, token: int) -> None:
        """Begin a term under a new fencing token, without measurements."""
        self.token = token
        self.number = 1
        self._started_s = now_s
        self._demand_estimator = DemandEstimator(self.settings)
        self._rate_estimator = ServiceRateEstimator(self.settings)

    def reissued_assignments(self, now_s: float) -> dict[str, RoleAssignment]:
        """Assignments in force that have to be published under the present token.

        There are none at the start of a term: the predecessor's last assignments may not have arrived yet,
        and reissuing the ones before them would reverse a change that other routers have begun.
        """
        if now_s - self._started_s < REISSUE_DELAY_FACTOR * self.settings.propagation_s:
            return {}
        outdated = sorted(
            (server, assignment)
            for server, assignment in self.registry.assignments.items()
            if assignment.token < self.token
        )
        return {server: RoleAssignment(self.token, 1, assignment.role) for server, assignment in outdated}

    def run_round(
        self, now_s: float, observations: Observations, listed: Sequence[ListedServer]
    ) -> PlanningRound:
        """Update the estimates and plan the role changes of all sites.

        The caller publishes the assignments and passes them to the registry.
        """
        result = PlanningRound()
        rates = self._update_rates(now_s, observations, listed)
        sites = self._servers_by_site(now_s, listed, rates)
        cold = {site: self._cold_prefill_fraction(now_s, servers, rates) for site, servers in sites.items()}
        result.demands = self._demand_estimator.update(
            now_s, observations.demand, observations.member_sites, cold
        )
        if now_s - self._started_s < MEASURING_TIME_FACTOR * self.settings.fast_s:
            return result
        for site, demand in result.demands.items():
            if sites.get(site):
                result.plans[site] = plan_site(sites[site], demand, self.settings)
        moves = {server: role for plan in result.plans.values() for server, role in plan.moves.items()}
        if moves:
            self.number += 1
            result.assignments = {
                server: RoleAssignment(self.token, self.number, role) for server, role in moves.items()
            }
        return result

    def _update_rates(
        self, now_s: float, observations: Observations, listed: Sequence[ListedServer]
    ) -> dict[str, ServiceRate]:
        names = {server.name for server in listed}
        changing = self.registry.changing_servers()
        rates = self._rate_estimator.update(now_s, observations.servers, names, changing)
        for name, rate in rates.items():
            self.registry.update_observation(name, rate.waiting_entries, rate.warmth)
        return rates

    def _servers_by_site(
        self, now_s: float, listed: Sequence[ListedServer], rates: Mapping[str, ServiceRate]
    ) -> dict[str, list[ServerState]]:
        sites: dict[str, list[ServerState]] = {server.site: [] for server in listed}
        for server in listed:
            if server.name in self.registry.entries:
                sites[server.site].append(self._server_state(now_s, server, rates[server.name]))
        return sites

    def _server_state(self, now_s: float, listed: ListedServer, rate: ServiceRate) -> ServerState:
        entry = self.registry.entries[listed.name]
        is_mixed = listed.kind == ServerRole.MIXED
        changing = entry.phase is not RolePhase.STABLE
        # A changing server counts with its full rate in the new role.
        scale = 1.0 if changing else rate.warmth
        return ServerState(
            name=listed.name,
            site=listed.site,
            rack=listed.rack,
            kind=listed.kind,
            role=entry.role if is_mixed else listed.kind,
            changing=changing,
            movable=is_mixed and now_s - entry.requested_s >= self.settings.min_dwell_s,
            warm=rate.warmth >= WARM_THRESHOLD,
            prefill_rate=rate.prefill_rate * scale,
            decode_rate=rate.decode_rate * scale,
        )

    def _cold_prefill_fraction(
        self, now_s: float, servers: Sequence[ServerState], rates: Mapping[str, ServiceRate]
    ) -> float:
        """The fraction of a site's prefill capacity that is cold because of recent role changes."""
        recent_s = RECENT_CHANGE_FACTOR * self.settings.max_change_s
        recent = [
            server for server in servers if now_s - self.registry.entries[server.name].requested_s < recent_s
        ]
        cold = sum(server.capacity(ServerRole.PREFILL) * (1 - rates[server.name].warmth) for server in recent)
        return cold / max(total_capacity(servers, ServerRole.PREFILL), EPSILON)
