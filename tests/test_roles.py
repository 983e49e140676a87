"""Effect of a role plan on routing: new work of mixed servers, and work that they still finish."""

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

MIXED_SERVERS = tuple(server_entry(f"m{number}", MIXED_KIND) for number in range(4))


def servers_used(harness: RouterHarness, start: int = 0) -> set[str]:
    """Return the servers that the first attempts of 40 requests are sent to."""
    for number in range(start, start + 40):
        harness.request(f"a{number}", session=number)
    return {harness.server_of[f"a{number}"] for number in range(start, start + 40)}


def test_server_planned_without_prefill_gets_none_until_the_plan_omits_it() -> None:
    harness = RouterHarness(MIXED_SERVERS)
    assert servers_used(harness) == {"m0", "m1", "m2", "m3"}
    harness.deliver(RolePlan(no_prefill=frozenset({"m0", "m1"})))
    assert servers_used(harness, 100) == {"m2", "m3"}
    harness.deliver(RolePlan())
    assert servers_used(harness, 200) == {"m0", "m1", "m2", "m3"}


def test_role_plan_neither_removes_a_role_entirely_nor_overrides_server_kind() -> None:
    harness = RouterHarness(
        (*MIXED_SERVERS, server_entry("r0", PREFILL_KIND), server_entry("w0", DECODE_KIND))
    )
    names = frozenset({"m0", "m1", "m2", "m3"})
    harness.deliver(RolePlan(names | {"r0"}, names | {"w0"}))
    assert servers_used(harness) == {"r0"}
    harness.outcome("a0", AttemptStatus.PREFILLED)
    assert harness.server_of["a0"] == "w0"
    mixed_only = RouterHarness(MIXED_SERVERS)
    mixed_only.deliver(RolePlan(no_prefill=frozenset(each.server for each in MIXED_SERVERS)))
    assert servers_used(mixed_only) == {"m0", "m1", "m2", "m3"}


def test_role_change_leaves_waiting_kv_cache_entry_and_stream_intact() -> None:
    harness = RouterHarness((*MIXED_SERVERS[:2], server_entry("r0", PREFILL_KIND)), classes=(IDEMPOTENT,))
    harness.deliver(RolePlan(no_prefill=frozenset({"m0", "m1"})))
    harness.request("a", session=1)
    assert harness.server_of["a"] == "r0"
    harness.deliver(RolePlan(no_decode=frozenset({"m0"})))  # while the prefill is in flight
    assert sent_to(harness.outcome("a", AttemptStatus.PREFILLED)) == [
        "m1"
    ]  # the only server left that decodes
    harness.first_token("a")
    actions = harness.deliver(RolePlan(no_decode=frozenset({"m0", "m1"})))
    assert actions == []  # the stream continues, and nothing is sent again
    assert not sent_to(harness.outcome("a", AttemptStatus.OK, request_ended=True)) and not releases_cache(
        harness.last_actions
    )


def test_role_registry_agrees_with_policy() -> None:
    registry = RoleRegistry(RatioConfig())
    registry.update_servers(0.0, {"m0": "both", "m1": "both", "r0": "read", "w0": "write"})
    registry.receive(0.0, "m0", RoleAssignment(1, 1, "read"))
    for number in range(60):
        registry.tick(float(number))
    assert registry.excluded_servers() == (frozenset({"w0"}), frozenset({"m0", "r0"}))
    harness = RouterHarness(
        (*MIXED_SERVERS[:2], server_entry("r0", PREFILL_KIND), server_entry("w0", DECODE_KIND))
    )
    harness.deliver(RolePlan(*registry.excluded_servers()))
    assert servers_used(harness) <= {"m0", "m1", "r0"}
