"""Which servers of a site change their role now; free of I/O and clocks.

A change costs what the server would have processed meanwhile. So few servers change: only where the gain is
large enough, for as long as it is expected to last, one at a time in a rack, and never so that the loss of a
rack, a release, or cold servers would leave a role short that was not.
"""

from __future__ import annotations

from collections.abc import Sequence
from dataclasses import dataclass, replace
from enum import Enum

from ringledge.decide.ratio.demand_estimate import SiteDemand
from ringledge.decide.ratio.role_records import ServerRole
from ringledge.decide.ratio.settings import RatioConfig
from ringledge.decide.ratio.target import (
    ServerState,
    capacity_rates,
    choose_prefill_servers,
    prefill_advantage,
    rack_loss_coverage,
    served_fraction,
    total_capacity,
)

# Relative errors of the demand estimate that a gain must exceed: at one, ten servers follow a shift too late.
ERROR_MARGIN = 0.5
OPPOSITE_ROLE: dict[str, str] = {
    ServerRole.PREFILL: ServerRole.DECODE,
    ServerRole.DECODE: ServerRole.PREFILL,
}


class PlanReason(Enum):
    """Why a site's plan is as it is."""

    RELEASE = "release"  # too many servers are cold: a release is probably being rolled out
    TOO_FEW_REPORTS = "too few heard"  # less than half of the members report
    RATES_UNKNOWN = "paces not known"  # of at least one role
    NEAR_TARGET = "near enough"  # the gain may be chance
    NO_MOVE_ALLOWED = "none may move"
    NOT_WORTHWHILE = "would not pay"  # the change costs more than it gains while the mix lasts
    MOVES = "moves"


@dataclass(frozen=True, slots=True)
class SitePlan:
    """The result of one planning round for one site."""

    moves: dict[str, str]  # new roles by server
    prefill_target: int  # mixed servers that should do prefill
    reason: PlanReason


def plan_site(servers: Sequence[ServerState], demand: SiteDemand, settings: RatioConfig) -> SitePlan:
    """The changes of role that a site should begin now."""
    target = choose_prefill_servers(servers, demand.mixes, settings)
    if reason := hold_reason(servers, demand, settings):
        return SitePlan({}, len(target), reason)
    gain = _gain(servers, target, demand, settings)
    min_gain = max(settings.min_gain, ERROR_MARGIN * demand.relative_error)
    has_undecided = any(
        server.role == ServerRole.MIXED and server.kind == ServerRole.MIXED for server in servers
    )
    if gain <= min_gain and not has_undecided:
        return SitePlan({}, len(target), PlanReason.NEAR_TARGET)
    moves = choose_moves(servers, target, demand)
    if not moves:
        return SitePlan({}, len(target), PlanReason.NO_MOVE_ALLOWED)
    if not has_undecided and _costs_more(servers, moves, gain, demand, settings):
        return SitePlan({}, len(target), PlanReason.NOT_WORTHWHILE)
    return SitePlan(moves, len(target), PlanReason.MOVES)


def _gain(
    servers: Sequence[ServerState], target: set[str], demand: SiteDemand, settings: RatioConfig
) -> float:
    """The served fraction that the target adds, once all changes toward it are over."""
    current = served_fraction(capacity_rates(servers), demand.mixes, settings)
    roles: dict[str, str] = {
        server.name: ServerRole.PREFILL if server.name in target else ServerRole.DECODE
        for server in servers
        if server.kind == ServerRole.MIXED
    }
    return served_fraction(capacity_rates(with_roles(servers, roles)), demand.mixes, settings) - current


def _costs_more(
    servers: Sequence[ServerState],
    moves: dict[str, str],
    gain: float,
    demand: SiteDemand,
    settings: RatioConfig,
) -> bool:
    """Whether the work lost during the moves outweighs their gain while the present mix lasts."""
    steady = [server for server in servers if not server.changing]
    remaining = [server for server in steady if server.name not in moves]
    loss = served_fraction(capacity_rates(steady), demand.mixes, settings)
    loss -= served_fraction(capacity_rates(remaining), demand.mixes, settings)
    gain_duration_s = demand.expected_duration_s - settings.max_change_s
    return gain * gain_duration_s <= max(0.0, loss) * settings.max_change_s


def hold_reason(
    servers: Sequence[ServerState], demand: SiteDemand, settings: RatioConfig
) -> PlanReason | None:
    """Why nothing may change in a site now; None where changes are allowed."""
    cold = sum(not server.warm and not server.changing for server in servers)
    if cold > settings.max_cold_fraction * len(servers):
        return PlanReason.RELEASE
    if demand.missing_members > demand.reporting_members:
        return PlanReason.TOO_FEW_REPORTS
    if not total_capacity(servers, ServerRole.PREFILL) or not total_capacity(servers, ServerRole.DECODE):
        return PlanReason.RATES_UNKNOWN
    return None


def choose_moves(servers: Sequence[ServerState], target: set[str], demand: SiteDemand) -> dict[str, str]:
    """New roles by server: one change a rack at a time, racks with the least capacity of the role first."""
    wanted, max_moves = _wanted_roles(servers, len(target))

    def priority(server: ServerState) -> tuple[float, str]:
        return rack_capacity(server, servers, wanted[server.name]), server.name

    candidates = [
        server for server in servers if server.name in wanted and server.movable and not server.changing
    ]
    busy_racks = {server.rack for server in servers if server.changing}
    moves = dict[str, str]()
    for server in sorted(candidates, key=priority):
        if len(moves) >= max_moves:
            break
        role = wanted[server.name]
        after_moves = with_roles(servers, moves, changing=True)
        if server.rack not in busy_racks and is_safe_move(after_moves, server, role, demand):
            moves[server.name] = role
            busy_racks.add(server.rack)
    return moves


def _wanted_roles(servers: Sequence[ServerState], prefill_target: int) -> tuple[dict[str, str], int]:
    """The roles that servers may change to, and how many of them are to change.

    Servers that do both are decided first, so that none that has a role has to change it for their sake.
    """
    mixed = sorted((server for server in servers if server.kind == ServerRole.MIXED), key=prefill_advantage)
    shortage = prefill_target - sum(server.role == ServerRole.PREFILL for server in mixed)
    undecided = [server.name for server in mixed if server.role == ServerRole.MIXED]
    if undecided:
        wanted: dict[str, str] = {
            name: ServerRole.PREFILL if rank < shortage else ServerRole.DECODE
            for rank, name in enumerate(undecided)
        }
        return wanted, len(undecided)
    role = ServerRole.PREFILL if shortage > 0 else ServerRole.DECODE
    wanted = {server.name: role for server in mixed if server.role == OPPOSITE_ROLE[role]}
    return wanted, abs(shortage)


def rack_capacity(server: ServerState, servers: Sequence[ServerState], role: str) -> float:
    """Tokens per s that the rack of a server processes in a role."""
    return total_capacity((other for other in servers if other.rack == server.rack), role)


def is_safe_move(
    servers: Sequence[ServerState], candidate: ServerState, new_role: str, demand: SiteDemand
) -> bool:
    """Whether a server may leave its old role, counting all changes in progress as unfinished."""
    old_role = OPPOSITE_ROLE[new_role]
    if not candidate.capacity(old_role):
        return True
    after = with_roles(servers, {candidate.name: new_role}, changing=True)
    staying = [server for server in after if not server.changing and server.capacity(old_role)]
    if not any(server.warm for server in staying):
        return False  # it is the last warm one
    demand_rates: dict[str, float] = {
        ServerRole.PREFILL: demand.prefill_rate * (1 + demand.relative_error),
        ServerRole.DECODE: demand.decode_rate * (1 + demand.relative_error),
    }
    # What covers the loss of the largest rack stays, unless the role that gains is still worse off.
    new_coverage = rack_loss_coverage(servers, new_role, demand_rates[new_role])
    old_coverage = rack_loss_coverage(staying, old_role, demand_rates[old_role])
    return old_coverage >= min(1.0, new_coverage)


def with_roles(
    servers: Sequence[ServerState], roles: dict[str, str], changing: bool | None = None
) -> list[ServerState]:
    """The servers with other roles; `changing`, where given, is set on those whose role differs."""
    return [_with_role(server, roles.get(server.name, server.role), changing) for server in servers]


def _with_role(server: ServerState, role: str, changing: bool | None) -> ServerState:
    if role == server.role:
        return server
    return replace(server, role=role, changing=server.changing if changing is None else changing)
