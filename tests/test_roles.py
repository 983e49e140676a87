"""Role plans in the routing: which new work mixed servers get, and that work in flight ends."""

from ringledge.decide.interface import RoleAssignment
from ringledge.decide.ratio.role_registry import RoleRegistry
from ringledge.decide.ratio.settings import RatioConfig
from ringledge.routing.interface import (
    AttemptStatus,
    RolePlan,
)
from tests.world import MIXED, READER, SAFE, WRITER, World, entry, released, sends

MIXES = tuple(entry(f"m{at}", MIXED) for at in range(4))


def used(world: World, start: int = 0) -> set[str]:
    """Where the first attempts of many requests go."""
    for at in range(start, start + 40):
        world.request(f"a{at}", session=at)
    return {world.at[f"a{at}"] for at in range(start, start + 40)}


def test_server_excluded_from_prefill_gets_none_until_it_is_included_again() -> None:
    world = World(MIXES)
    assert used(world) == {"m0", "m1", "m2", "m3"}
    world.give(RolePlan(no_prefill=frozenset({"m0", "m1"})))
    assert used(world, 100) == {"m2", "m3"}
    world.give(RolePlan())
    assert used(world, 200) == {"m0", "m1", "m2", "m3"}


def test_role_plan_never_excludes_all_servers_nor_overrides_a_kind() -> None:
    world = World((*MIXES, entry("r0", READER), entry("w0", WRITER)))
    names = frozenset({"m0", "m1", "m2", "m3"})
    world.give(RolePlan(names | {"r0"}, names | {"w0"}))
    assert used(world) == {"r0"}
    world.outcome("a0", AttemptStatus.PREFILLED)
    assert world.at["a0"] == "w0"
    lone = World(MIXES)
    lone.give(RolePlan(no_prefill=frozenset(each.server for each in MIXES)))
    assert used(lone) == {"m0", "m1", "m2", "m3"}


def test_cache_entry_waiting_at_a_changing_server_is_fetched_and_its_stream_ends() -> None:
    world = World((*MIXES[:2], entry("r0", READER)), classes=(SAFE,))
    world.give(RolePlan(no_prefill=frozenset({"m0", "m1"})))
    world.request("a", session=1)
    assert world.at["a"] == "r0"
    world.give(RolePlan(no_decode=frozenset({"m0"})))  # while it is read
    assert sends(world.outcome("a", AttemptStatus.PREFILLED)) == ["m1"]  # fetched, by whom is left
    world.first("a")
    shut = world.give(RolePlan(no_decode=frozenset({"m0", "m1"})))
    assert shut == []  # its stream goes on, nothing is sent again
    assert not sends(world.outcome("a", AttemptStatus.OK, request_ended=True)) and not released(world.last)


def test_registry_yields_the_role_plan_of_the_routing() -> None:
    registry = RoleRegistry(RatioConfig())
    registry.update_servers(0.0, {"m0": "both", "m1": "both", "r0": "read", "w0": "write"})
    registry.receive(0.0, "m0", RoleAssignment(1, 1, "read"))
    for at in range(60):
        registry.tick(float(at))
    assert registry.excluded_servers() == (frozenset({"w0"}), frozenset({"m0", "r0"}))
    world = World((*MIXES[:2], entry("r0", READER), entry("w0", WRITER)))
    world.give(RolePlan(*registry.excluded_servers()))
    assert used(world) <= {"m0", "m1", "r0"}
