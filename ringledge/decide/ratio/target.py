"""Chooses which of a site's mixed servers should do prefill; free of I/O and clocks.

The objective is the fraction of the demand that both roles can serve, as each request needs both. It is
averaged over the mixes of prefill and decode that have to be served.
"""

from __future__ import annotations

from collections import defaultdict
from collections.abc import Iterable, Sequence
from dataclasses import dataclass

from ringledge.decide.ratio.demand_estimate import TokenRates
from ringledge.decide.ratio.demand_statistics import EPSILON
from ringledge.decide.ratio.role_records import ServerRole
from ringledge.decide.ratio.settings import RatioConfig

MIXED_EFFICIENCY = 0.5  # fraction of a server's rate in a role while it does both roles
MAX_CAPACITY_RATIO = 2.0  # capacity beyond this multiple of the demand has no value
OBJECTIVE_DIGITS = 6  # decimal places by which two candidates must differ


@dataclass(frozen=True, slots=True)
class ServerState:
    """Planner input for one server; rates are in tokens per s and scaled by the server's warmth."""

    name: str
    site: str
    rack: str
    kind: str  # configured; a `ServerRole`
    role: str  # present role, or the new one during a role change; a `ServerRole`
    changing: bool  # a role change is in progress
    movable: bool  # it is mixed and has had its role for at least `min_dwell_s`
    warm: bool
    prefill_rate: float  # when it does only prefill
    decode_rate: float  # when it does only decode

    def capacity(self, role: str) -> float:
        """The server's capacity in a role (tokens per s) once any role change is over."""
        rate = self.prefill_rate if role == ServerRole.PREFILL else self.decode_rate
        if self.role == role:
            return rate
        return MIXED_EFFICIENCY * rate if self.role == ServerRole.MIXED else 0.0


def total_capacity(servers: Iterable[ServerState], role: str) -> float:
    """The servers' total capacity in a role (tokens per s)."""
    return sum(server.capacity(role) for server in servers)


def capacity_rates(servers: Sequence[ServerState]) -> TokenRates:
    """The servers' total capacity in each role."""
    return TokenRates(total_capacity(servers, ServerRole.PREFILL), total_capacity(servers, ServerRole.DECODE))


def served_fraction(capacity: TokenRates, mixes: Sequence[TokenRates], settings: RatioConfig) -> float:
    """The fraction of the demand that both roles can serve.

    For a single mix, it is what the scarcer role can serve with headroom. For an oscillating mix, it is
    simulated by planning interval: the backlog of one half-period is carried over to the next, up to the
    longest wait, and the rest is lost.
    """
    if len(mixes) == 1:
        return min(1.0, capacity_ratio(capacity, mixes[0], settings.headroom))
    backlogs = [0.0, 0.0]
    sum_of_fractions = 0.0
    for demand in mixes:
        fraction = 1.0
        for role, (capacity_rate, demand_rate) in enumerate(zip(capacity, demand, strict=True)):
            max_backlog = capacity_rate * settings.max_wait_s
            growth = (demand_rate - capacity_rate) * settings.planning_interval_s
            backlogs[role] = max(0.0, backlogs[role] + growth)
            if backlogs[role] > max_backlog:
                backlogs[role] = max_backlog
                fraction = min(fraction, capacity_rate / max(demand_rate, EPSILON))
        sum_of_fractions += fraction
    return sum_of_fractions / len(mixes)


def capacity_ratio(capacity: TokenRates, demand: TokenRates, headroom: float) -> float:
    """The capacity of the scarcer role relative to its demand, after headroom."""
    prefill_ratio = capacity.prefill / max(demand.prefill, EPSILON)
    decode_ratio = capacity.decode / max(demand.decode, EPSILON)
    return headroom * min(prefill_ratio, decode_ratio)


def choose_prefill_servers(
    servers: Sequence[ServerState], mixes: Sequence[TokenRates], settings: RatioConfig
) -> set[str]:
    """The mixed servers that should do prefill, to maximize the served fraction and then the capacity ratio.

    Servers are assigned in the order of their relative advantage at prefill, so the search is over their
    number only.
    """
    mixed = sorted((server for server in servers if server.kind == ServerRole.MIXED), key=prefill_advantage)
    prefill = sum(server.prefill_rate for server in servers if server.kind == ServerRole.PREFILL)
    decode = sum(server.decode_rate for server in servers if server.kind != ServerRole.PREFILL)
    best_objective = (-1.0, -1.0)
    best_count = 0
    for count in range(len(mixed) + 1):
        if count:
            prefill += mixed[count - 1].prefill_rate
            decode -= mixed[count - 1].decode_rate
        objective = _objective(TokenRates(prefill, decode), mixes, settings)
        if objective > best_objective:
            best_objective = objective
            best_count = count
    return {server.name for server in mixed[:best_count]}


def _objective(
    capacity: TokenRates, mixes: Sequence[TokenRates], settings: RatioConfig
) -> tuple[float, float]:
    """Served fraction and mean capacity ratio, rounded; compared in this order, larger is better."""
    ratios = [min(MAX_CAPACITY_RATIO, capacity_ratio(capacity, mix, settings.headroom)) for mix in mixes]
    fraction = served_fraction(capacity, mixes, settings)
    return round(fraction, OBJECTIVE_DIGITS), round(sum(ratios) / len(ratios), OBJECTIVE_DIGITS)


def prefill_advantage(server: ServerState) -> tuple[float, str]:
    """Sort key that puts servers with the largest ratio of prefill rate to decode rate first."""
    return (-server.prefill_rate / max(server.decode_rate, EPSILON), server.name)


def rack_loss_coverage(servers: Sequence[ServerState], role: str, demand_rate: float) -> float:
    """Fraction of a role's demand (tokens per s) that remains covered after the loss of its largest rack."""
    rack_capacity = defaultdict[str, float](float)
    for server in servers:
        rack_capacity[server.rack] += server.capacity(role)
    remaining = sum(rack_capacity.values()) - max(rack_capacity.values(), default=0.0)
    return remaining / max(demand_rate, EPSILON)
