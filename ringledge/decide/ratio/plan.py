"""Chooses which servers of a site change their role now; free of I/O and clocks.

A role change costs the work that the server would have processed during it. Therefore servers change only if
the gain is large enough for as long as the mix is expected to last, and one server per rack at a time. No
server changes during a software release, when many servers are cold. None leaves a role that would lose its
last warm server, or that would then cover, after the loss of a rack, neither its whole demand nor as large a
fraction of it as the new role.
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

# A gain must exceed this multiple of the relative error of the demand estimate. With a factor of 1, a site of
# ten servers follows a shift too late.
ERROR_MARGIN = 0.5
OPPOSITE_ROLE: dict[str, str] = {
    ServerRole.PREFILL: ServerRole.DECODE,
    ServerRole.DECODE: ServerRole.PREFILL,
}


class PlanReason(Enum):
    """Why a planning round moves servers or does not."""

    RELEASE = "release"  # many servers are cold: a software release is probably being rolled out
    TOO_FEW_REPORTS = "too few heard"  # fewer than half of the members report
    RATES_UNKNOWN = "paces not known"  # the service rate of at least one role is unknown
    NEAR_TARGET = "near enough"  # the gain is within the error of the estimate
    NO_MOVE_ALLOWED = "none may move"
    NOT_WORTHWHILE = "would not pay"  # the moves cost more than they gain while the mix lasts
    MOVES = "moves"


@dataclass(frozen=True, slots=True)
class SitePlan:
    """The result of one planning round for one site."""

    moves: dict[str, str]  # new role by server
    prefill_target: int  # number of mixed servers that should do prefill
    reason: PlanReason


def plan_site(servers: Sequence[ServerState], demand: SiteDemand, settings: RatioConfig) -> SitePlan:
    """Plan the role changes that a site should begin now."""
    target = choose_prefill_servers(servers, demand.mixes, settings)
    if reason := blocking_reason(servers, demand, settings):
        return SitePlan({}, len(target), reason)
    gain = _gain(servers, target, demand, settings)
    min_gain = max(settings.min_gain, ERROR_MARGIN * demand.relative_error)
    has_unassigned = any(
        server.role == ServerRole.MIXED and server.kind == ServerRole.MIXED for server in servers
    )
    if gain <= min_gain and not has_unassigned:
        return SitePlan({}, len(target), PlanReason.NEAR_TARGET)
    moves = choose_moves(servers, target, demand)
    if not moves:
        return SitePlan({}, len(target), PlanReason.NO_MOVE_ALLOWED)
    if not has_unassigned and _costs_more(servers, moves, gain, demand, settings):
        return SitePlan({}, len(target), PlanReason.NOT_WORTHWHILE)
    return SitePlan(moves, len(target), PlanReason.MOVES)


def _gain(
    servers: Sequence[ServerState], target: set[str], demand: SiteDemand, settings: RatioConfig
) -> float:
    """The increase of the served fraction once all changes toward the target are complete."""
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
    stable = [server for server in servers if not server.changing]
    remaining = [server for server in stable if server.name not in moves]
    loss = served_fraction(capacity_rates(stable), demand.mixes, settings)
    loss -= served_fraction(capacity_rates(remaining), demand.mixes, settings)
    gain_duration_s = demand.expected_duration_s - settings.max_change_s
    return gain * gain_duration_s <= max(0.0, loss) * settings.max_change_s


def blocking_reason(
    servers: Sequence[ServerState], demand: SiteDemand, settings: RatioConfig
) -> PlanReason | None:
    """Why no server of a site may change its role now; None if changes are allowed."""
    cold = sum(not server.warm and not server.changing for server in servers)
    if cold > settings.max_cold_fraction * len(servers):
        return PlanReason.RELEASE
    if demand.missing_members > demand.reporting_members:
        return PlanReason.TOO_FEW_REPORTS
    if not total_capacity(servers, ServerRole.PREFILL) or not total_capacity(servers, ServerRole.DECODE):
        return PlanReason.RATES_UNKNOWN
    return None


def choose_moves(servers: Sequence[ServerState], target: set[str], demand: SiteDemand) -> dict[str, str]:
    """New role by server: one change per rack at a time, racks with the least capacity of the role first."""
    desired_roles, max_moves = _desired_roles(servers, len(target))

    def priority(server: ServerState) -> tuple[float, str]:
        return rack_capacity(server, servers, desired_roles[server.name]), server.name

    candidates = [
        server
        for server in servers
        if server.name in desired_roles and server.movable and not server.changing
    ]
    busy_racks = {server.rack for server in servers if server.changing}
    moves = dict[str, str]()
    for server in sorted(candidates, key=priority):
        if len(moves) >= max_moves:
            break
        role = desired_roles[server.name]
        after_moves = with_roles(servers, moves, changing=True)
        if server.rack not in busy_racks and is_safe_move(after_moves, server, role, demand):
            moves[server.name] = role
            busy_racks.add(server.rack)
    return moves


def _desired_roles(servers: Sequence[ServerState], prefill_target: int) -> tuple[dict[str, str], int]:
    """The roles that servers may change to, and how many of these servers are to change.

    Servers that do both roles are assigned first, so that a server with a single role changes only if needed.
    """
    mixed = sorted((server for server in servers if server.kind == ServerRole.MIXED), key=prefill_advantage)
    shortage = prefill_target - sum(server.role == ServerRole.PREFILL for server in mixed)
    unassigned = [server.name for server in mixed if server.role == ServerRole.MIXED]
    if unassigned:
        desired_roles: dict[str, str] = {
            name: ServerRole.PREFILL if rank < shortage else ServerRole.DECODE
            for rank, name in enumerate(unassigned)
        }
        return desired_roles, len(unassigned)
    role = ServerRole.PREFILL if shortage > 0 else ServerRole.DECODE
    desired_roles = {server.name: role for server in mixed if server.role == OPPOSITE_ROLE[role]}
    return desired_roles, abs(shortage)


def rack_capacity(server: ServerState, servers: Sequence[ServerState], role: str) -> float:
    """The capacity in a role (tokens per s) of the rack that a server is in."""
    return total_capacity((other for other in servers if other.rack == server.rack), role)


def is_safe_move(
    servers: Sequence[ServerState], candidate: ServerState, new_role: str, demand: SiteDemand
) -> bool:
    """Whether a server may leave its old role; servers with a change in progress do not cover that role."""
    old_role = OPPOSITE_ROLE[new_role]
    if not candidate.capacity(old_role):
        return True
    servers_after_move = with_roles(servers, {candidate.name: new_role}, changing=True)
    remaining = [server for server in servers_after_move if not server.changing and server.capacity(old_role)]
    if not any(server.warm for server in remaining):
        return False  # the last warm server of its role
    demand_rates: dict[str, float] = {
        ServerRole.PREFILL: demand.prefill_rate * (1 + demand.relative_error),
        ServerRole.DECODE: demand.decode_rate * (1 + demand.relative_error),
    }
    # The old role must still cover the loss of its largest rack, unless the new role covers even less.
    new_coverage = rack_loss_coverage(servers, new_role, demand_rates[new_role])
    old_coverage = rack_loss_coverage(remaining, old_role, demand_rates[old_role])
    return old_coverage >= min(1.0, new_coverage)


def with_roles(
    servers: Sequence[ServerState], roles: dict[str, str], changing: bool | None = None
) -> list[ServerState]:
    """The servers with new roles; `changing`, unless None, is set on those whose role differs."""
    return [_with_role(server, roles.get(server.name, server.role), changing) for server in servers]


def _with_role(server: ServerState, role: str, changing: bool | None) -> ServerState:
    if role == server.role:
        return server
    return replace(server, role=role, changing=server.changing if changing is None else changing)
