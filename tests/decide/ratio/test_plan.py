"""Role planning for one site: targets, and the rules that no plan may break."""

from math import inf

import pytest
from hypothesis import given, settings

from ringledge.decide.ratio import plan as plan_module
from ringledge.decide.ratio.demand_estimate import SiteDemand, TokenRates
from ringledge.decide.ratio.plan import PlanReason, plan_site
from ringledge.decide.ratio.target import (
    ServerState,
    choose_prefill_servers,
    rack_loss_coverage,
    served_fraction,
)
from tests.decide.ratio.factories import (
    DEMANDS,
    SETTINGS,
    find_violation,
    make_demand,
    make_server,
    make_site,
    sites,
)


def test_target_maximizes_served_fraction_and_prefers_fast_prefill_servers() -> None:
    servers = make_site(6, 6)
    assert len(choose_prefill_servers(servers, [TokenRates(40_000.0, 6_000.0)], SETTINGS)) == 6
    assert len(choose_prefill_servers(servers, [TokenRates(60_000.0, 3_000.0)], SETTINGS)) == 9
    with_fast_server = [make_server("q", "r0", "write", prefill_rate=16_000.0), *servers]
    assert "q" in choose_prefill_servers(with_fast_server, [TokenRates(40_000.0, 6_000.0)], SETTINGS)


def test_target_of_oscillating_mix_lies_between_targets_of_its_half_periods() -> None:
    period = [TokenRates(20_000.0, 6_000.0)] * 20 + [TokenRates(50_000.0, 1_500.0)] * 20
    count = len(choose_prefill_servers(make_site(5, 5), period * 3, SETTINGS))
    single = [
        len(choose_prefill_servers(make_site(5, 5), [mix], SETTINGS)) for mix in (period[0], period[-1])
    ]
    assert single[0] < count < single[1]
    fractions = [
        served_fraction(TokenRates(n * 8_000.0, (10 - n) * 1_200.0), period * 3, SETTINGS)
        for n in (single[0], count, single[1])
    ]
    assert fractions[1] > max(fractions[0], fractions[2])


def test_site_near_its_target_does_not_change() -> None:
    assert plan_site(make_site(6, 6), make_demand(38_000, 5_800), SETTINGS).reason is PlanReason.NEAR_TARGET
    assert plan_site(make_site(6, 6), make_demand(38_000, 5_800), SETTINGS).moves == {}


def test_uncertain_demand_changes_nothing() -> None:
    demand = make_demand(48_000, 5_000)
    uncertain = make_demand(48_000, 5_000, relative_error=0.3)
    few_reports = make_demand(48_000, 5_000, missing_members=5)
    assert plan_site(make_site(6, 6), demand, SETTINGS).moves
    assert not plan_site(make_site(6, 6), uncertain, SETTINGS).moves
    assert plan_site(make_site(6, 6), few_reports, SETTINGS).reason is PlanReason.TOO_FEW_REPORTS


def test_each_rack_changes_one_server_at_a_time() -> None:
    demand = make_demand(120_000, 2_000)
    moves = plan_site(make_site(4, 16), demand, SETTINGS).moves
    assert 1 <= len(moves) <= 4 and set(moves.values()) == {"read"}
    with_busy_rack = [make_server("x", "r0", "read", changing=True), *make_site(4, 16)]
    moves = plan_site(with_busy_rack, demand, SETTINGS).moves
    assert all(name[1:] and int(name[1:]) % 4 for name in moves)


def test_nothing_changes_within_minimum_dwell_time_or_during_a_release() -> None:
    demand = make_demand(120_000, 2_000)
    assert plan_site(make_site(4, 16, movable=False), demand, SETTINGS).moves == {}
    cold = [make_server(f"c{n}", "r9", "write", warm=False) for n in range(8)]
    assert plan_site(make_site(4, 16) + cold, demand, SETTINGS).reason is PlanReason.RELEASE


def test_last_warm_server_of_a_role_never_changes() -> None:
    """A server that is the only warm one of its role does not change, though the role has a cold server."""
    prefill = [
        make_server("warm", "r0", "read"),
        make_server("cold", "r1", "read", warm=False),
        *make_site(0, 8),
    ]
    assert plan_site(prefill, make_demand(10, 60_000), SETTINGS).moves.get("warm") is None
    decode = [
        make_server("warm", "r0", "write"),
        make_server("cold", "r1", "write", warm=False),
        *make_site(8, 0),
    ]
    assert plan_site(decode, make_demand(600_000, 10), SETTINGS).moves.get("warm") is None


def test_capacity_that_covers_loss_of_largest_rack_stays() -> None:
    servers = make_site(4, 8)
    # Decode servers process 9,600 tokens per s, and 7,200 without a rack.
    covered = make_demand(24_000, 6_800)
    assert rack_loss_coverage(servers, "write", 6_800) > 1
    assert plan_site(servers, make_demand(26_000, 6_800), SETTINGS).moves == {}
    assert plan_site(servers, covered, SETTINGS).moves == {}
    # Prefill covers much less of its demand.
    assert plan_site(servers, make_demand(40_000, 3_000), SETTINGS).moves


def test_mix_that_ends_before_a_change_is_worthwhile_is_not_followed() -> None:
    lasting = make_demand(55_000, 3_000, expected_duration_s=inf)
    ending = make_demand(55_000, 3_000, expected_duration_s=SETTINGS.max_change_s)
    assert plan_site(make_site(6, 6), lasting, SETTINGS).moves
    assert plan_site(make_site(6, 6), ending, SETTINGS).reason is PlanReason.NOT_WORTHWHILE


@settings(max_examples=200, deadline=None)
@given(sites(), DEMANDS)
def test_no_plan_breaks_a_rule(servers: list[ServerState], demand: SiteDemand) -> None:
    assert find_violation(servers, plan_site(servers, demand, SETTINGS).moves, demand) == ""


def first_violation(max_examples: int = 150) -> str:
    """The first violation over many generated sites, or an empty string; the same sites in each call."""
    violations: list[str] = []

    @settings(max_examples=max_examples, deadline=None, derandomize=True, database=None)
    @given(sites(), DEMANDS)
    def search(servers: list[ServerState], demand: SiteDemand) -> None:
        if violation := find_violation(servers, plan_site(servers, demand, SETTINGS).moves, demand):
            violations.append(violation)

    search()
    return violations[0] if violations else ""


def every_move_is_safe(*_: object) -> bool:
    return True


def no_blocking_reason(*_: object) -> None:
    return None


def move_all_at_once(servers: list[ServerState], target: set[str], _: SiteDemand) -> dict[str, str]:
    desired_roles = {
        server.name: "read" if server.name in target else "write"
        for server in servers
        if server.kind == "both"
    }
    return {
        server.name: desired_roles[server.name]
        for server in servers
        if desired_roles.get(server.name, server.role) != server.role
    }


@pytest.mark.parametrize(
    ("name", "mutant"),
    [
        ("is_safe_move", every_move_is_safe),
        ("blocking_reason", no_blocking_reason),
        ("choose_moves", move_all_at_once),
    ],
)
def test_mutant_of_plan_is_detected(monkeypatch: pytest.MonkeyPatch, name: str, mutant: object) -> None:
    monkeypatch.setattr(plan_module, name, mutant)
    assert first_violation() != ""


def test_unassigned_mixed_servers_are_assigned_before_any_other_changes() -> None:
    servers = [*make_site(3, 3), *(make_server(f"u{n}", f"r{n}", "both") for n in range(4))]
    moves = plan_site(servers, make_demand(40_000, 5_000), SETTINGS).moves
    assert moves and all(name.startswith("u") for name in moves)
    low_demand = plan_site(servers, make_demand(12_000, 1_500), SETTINGS)  # all are assigned at once
    assert list(low_demand.moves.values()).count("read") == low_demand.prefill_target - 3
    assert len(low_demand.moves) == 4
    blocked = [make_server("x", "r0", "read", changing=True), *servers]
    moves = plan_site(blocked, make_demand(60_000, 3_000), SETTINGS).moves
    assert all(name.startswith("u") for name in moves)
