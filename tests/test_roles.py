"""Roles by plan in the decisions: what servers that do both get new, and what they end all the same."""

from ringledge.decide.interface import RoleAssignment
from ringledge.decide.ratio.role_registry import RoleRegistry
from ringledge.decide.ratio.settings import RatioConfig
from ringledge.routing.interface import (
    AttemptStatus,
    RolePlan,
)
from tests.router_harness import (
    DECODE_KIND,
    IDEMPOTENT,
    MIXED_KIND,
    PREFILL_KIND,
    RouterHarness,
    releases_cache,
    sent_to,
    server_entry,
)

MIXES = tuple(server_entry(f"m{at}", MIXED_KIND) for at in range(4))


def servers_used(world: RouterHarness, start: int = 0) -> set[str]:
    """Where the first attempts of many requests go."""
    for at in range(start, start + 40):
        world.request(f"a{at}", session=at)
    return {world.server_of[f"a{at}"] for at in range(start, start + 40)}


def test_server_planned_without_prefill_gets_none_until_the_plan_omits_it() -> None:
    world = RouterHarness(MIXES)
    assert servers_used(world) == {"m0", "m1", "m2", "m3"}
    world.deliver(RolePlan(no_prefill=frozenset({"m0", "m1"})))
    assert servers_used(world, 100) == {"m2", "m3"}
    world.deliver(RolePlan())
    assert servers_used(world, 200) == {"m0", "m1", "m2", "m3"}


def test_role_plan_neither_removes_a_role_entirely_nor_overrides_server_kind() -> None:
    world = RouterHarness((*MIXES, server_entry("r0", PREFILL_KIND), server_entry("w0", DECODE_KIND)))
    names = frozenset({"m0", "m1", "m2", "m3"})
    world.deliver(RolePlan(names | {"r0"}, names | {"w0"}))
    assert servers_used(world) == {"r0"}
    world.outcome("a0", AttemptStatus.PREFILLED)
    assert world.server_of["a0"] == "w0"
    mixed_only = RouterHarness(MIXES)
    mixed_only.deliver(RolePlan(no_prefill=frozenset(each.server for each in MIXES)))
    assert servers_used(mixed_only) == {"m0", "m1", "m2", "m3"}


def test_role_change_leaves_waiting_kv_cache_entry_and_stream_intact() -> None:
    world = RouterHarness((*MIXES[:2], server_entry("r0", PREFILL_KIND)), classes=(IDEMPOTENT,))
    world.deliver(RolePlan(no_prefill=frozenset({"m0", "m1"})))
    world.request("a", session=1)
    assert world.server_of["a"] == "r0"
    world.deliver(RolePlan(no_decode=frozenset({"m0"})))  # while it is read
    assert sent_to(world.outcome("a", AttemptStatus.PREFILLED)) == ["m1"]  # fetched, by whom is left
    world.first_token("a")
    actions = world.deliver(RolePlan(no_decode=frozenset({"m0", "m1"})))
    assert actions == []  # its stream goes on, nothing is sent again
    assert not sent_to(world.outcome("a", AttemptStatus.OK, request_ended=True)) and not releases_cache(
        world.last_actions
    )


def test_role_registry_agrees_with_policy() -> None:
    registry = RoleRegistry(RatioConfig())
    registry.update_servers(0.0, {"m0": "both", "m1": "both", "r0": "read", "w0": "write"})
    registry.receive(0.0, "m0", RoleAssignment(1, 1, "read"))
    for at in range(60):
        registry.tick(float(at))
    assert registry.excluded_servers() == (frozenset({"w0"}), frozenset({"m0", "r0"}))
    world = RouterHarness((*MIXES[:2], server_entry("r0", PREFILL_KIND), server_entry("w0", DECODE_KIND)))
    world.deliver(RolePlan(*registry.excluded_servers()))
    assert servers_used(world) <= {"m0", "m1", "r0"}
