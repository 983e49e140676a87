"""Factories of servers, demand and reports, and the rules of a plan, for tests of the role planner."""

from dataclasses import replace
from math import inf

from hypothesis import strategies as st

from ringledge.decide.interface import ClassDemand
from ringledge.decide.ratio.demand_estimate import DemandEstimator, SiteDemand, TokenRates
from ringledge.decide.ratio.settings import RatioConfig
from ringledge.decide.ratio.target import ServerState, rack_loss_coverage

SETTINGS = RatioConfig()
MEMBERS = {f"m{n}": "s" for n in range(4)}


def make_server(name: str, rack: str, role: str, **overrides: object) -> ServerState:
    server = ServerState(name, "s", rack, "both", role, False, True, True, 8_000.0, 1_200.0)
    return replace(server, **overrides)  # type: ignore[arg-type]


def make_site(
    prefill_servers: int, decode_servers: int, racks: int = 4, **overrides: object
) -> list[ServerState]:
    roles = ["read"] * prefill_servers + ["write"] * decode_servers
    return [
        make_server(f"b{index}", f"r{index % racks}", role, **overrides) for index, role in enumerate(roles)
    ]


def make_demand(prefill_rate: float, decode_rate: float, **overrides: object) -> SiteDemand:
    mixes = (TokenRates(prefill_rate, decode_rate),)
    demand = SiteDemand(prefill_rate, decode_rate, 0.0, mixes, inf, 4, 0)
    return replace(demand, **overrides)  # type: ignore[arg-type]


def report_demand(
    estimator: DemandEstimator,
    now_s: float,
    prefill_rate: float,
    decode_rate: float,
    arrival_rate: float = 20.0,
    cold_fraction: float = 0.0,
) -> SiteDemand:
    """Update by reports of four members, each of a quarter of the demand with its own noise of up to 5 %."""
    reports = {
        (member, "query"): ClassDemand(
            arrival_rate / 4, prefill_rate / 4 * (1 + noise), decode_rate / 4 * (1 - noise)
        )
        for n, member in enumerate(MEMBERS)
        for noise in [0.05 * ((now_s * (n + 3)) % 7 - 3) / 3]
    }
    return estimator.update(now_s, reports, MEMBERS, {"s": cold_fraction})["s"]


@st.composite
def sites(draw: st.DrawFn) -> list[ServerState]:
    racks = draw(st.integers(1, 4))
    servers = []
    for index in range(draw(st.integers(2, 12))):
        kind = draw(st.sampled_from(["both", "both", "both", "read", "write"]))
        role = draw(st.sampled_from(["read", "write", "both"])) if kind == "both" else kind
        changing = draw(st.sampled_from((False, False, True)))
        movable = draw(st.sampled_from((True, True, False)))
        warm = draw(st.sampled_from((True, True, True, False)))
        prefill_rate, decode_rate = (draw(st.sampled_from((400.0, 1_000.0, 1_500.0))) for _ in range(2))
        servers.append(
            ServerState(
                name=f"b{index}",
                site="s",
                rack=f"r{index % racks}",
                kind=kind,
                role=role,
                changing=changing and kind == "both",
                movable=movable and kind == "both",
                warm=warm,
                prefill_rate=prefill_rate,
                decode_rate=decode_rate,
            )
        )
    return servers


DEMANDS = st.builds(make_demand, st.floats(1, 8_000), st.floats(1, 8_000), relative_error=st.floats(0, 0.5))


def find_violation(servers: list[ServerState], moves: dict[str, str], demand: SiteDemand) -> str:
    """The first rule that a site's moves break, or an empty string; all moves are made at once."""
    by_name = {server.name: server for server in servers}
    racks = [by_name[name].rack for name in moves]
    if len(set(racks)) < len(racks) or any(server.changing and server.rack in racks for server in servers):
        return "two role changes in one rack"
    if any(not by_name[name].movable or by_name[name].kind != "both" for name in moves):
        return "role change within the minimum dwell time, or of a server that is not mixed"
    cold = sum(not server.warm and not server.changing for server in servers)
    if moves and cold > SETTINGS.max_cold_fraction * len(servers):
        return "role change during a software release"
    demand_rates = {
        "read": demand.prefill_rate * (1 + demand.relative_error),
        "write": demand.decode_rate * (1 + demand.relative_error),
    }
    roles = {server.name: server.role for server in servers}
    staying = [server for server in servers if not server.changing]
    for name, new_role in moves.items():
        staying = [server for server in staying if server.name != name]
        for old_role in {"read": ("write",), "write": ("read",)}[new_role]:
            if not by_name[name].capacity(old_role):
                continue
            if not any(server.warm and server.capacity(old_role) for server in staying):
                return "role change of the last warm server of its role"
            before = [replace(server, role=roles[server.name]) for server in servers]
            old_coverage = rack_loss_coverage(staying, old_role, demand_rates[old_role])
            new_coverage = rack_loss_coverage(before, new_role, demand_rates[new_role])
            if old_coverage < min(1.0, new_coverage):
                return "the loss of the largest rack is not covered"
        roles[name] = new_role
    return ""
