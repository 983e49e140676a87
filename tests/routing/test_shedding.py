"""Requests that are shed under load, and which first."""

from dataclasses import replace

from ringledge.routing.interface import (
    AttemptStatus,
    FirstToken,
    RejectRequest,
    Tenant,
)
from tests.router_harness import (
    DECODE_KIND,
    IDEMPOTENT,
    PREFILL_KIND,
    RouterHarness,
    final_answers,
    sent_to,
    server_entry,
)


def congest(world: RouterHarness) -> None:
    """Make every reader known as slow: reads of 3 s after a few quick ones."""
    for number in range(40):
        world.request(f"jam{number}", session=1000 + number)
        if f"jam{number}" in world.server_of:
            world.outcome(f"jam{number}", AttemptStatus.PREFILLED, latency_ms=50 if number < 8 else 3000)
            world.abandon(f"jam{number}")


def test_overload_is_shed_before_prefill_with_retry_after_and_recovers() -> None:
    world = RouterHarness()
    congest(world)
    assert world.request("a", session=1) == [RejectRequest("a", 250)]
    world.now_ms += 20_000  # the delay that was seen fades, also when all are refused
    assert len(sent_to(world.request("b", session=1))) == 1


def test_priority_weight_and_quota_decide_what_is_shed_first() -> None:
    classes = (replace(IDEMPOTENT, priority_weight=2.0), replace(IDEMPOTENT, priority_weight=0.2))
    tenants = (Tenant(0.5, quota_per_s=4.0), Tenant(0.5, quota_per_s=400.0))
    world = RouterHarness(
        (server_entry("r", PREFILL_KIND), server_entry("w", DECODE_KIND)), classes=classes, tenants=tenants
    )
    world.serve("warm-up", session=1, tenant=1)
    for number in range(3):  # a wait of about 700 ms where 1000 are wanted
        world.request(f"slow{number}", session=1, tenant=1)
        world.outcome(f"slow{number}", AttemptStatus.PREFILLED, latency_ms=760)
        world.abandon(f"slow{number}")
    assert sent_to(world.request("dear", session=2, tenant=1))
    assert final_answers(world.request("cheap", session=3, tenant=1, class_index=1))
    served = [bool(sent_to(world.request(f"t{n}", session=4 + n, prompt_tokens=1))) for n in range(6)]
    assert served == [True] * 4 + [False] * 2  # two a second is this router's part, four may come together


def test_long_wait_sheds_in_proportion_and_keeps_sampling() -> None:
    world = RouterHarness()
    for number in range(4):  # answers that start late tell that the links are slow
        world.prefill(f"a{number}", session=number, prefix=5)
        world.deliver(
            FirstToken(f"a{number}", world.attempts[f"a{number}"], world.server_of[f"a{number}"], 1200)
        )
    sent = [bool(sent_to(world.request(f"b{n}", session=100 + n, prefix=5))) for n in range(60)]
    assert 0 < sum(sent) < 60


def test_slow_first_prefill_does_not_make_new_router_reject_for_long() -> None:
    world = RouterHarness()
    for number, latency_ms in enumerate((2000, 60, 60)):  # the first one met a queue
        world.request(f"a{number}", session=number, prefix=5)
        world.outcome(f"a{number}", AttemptStatus.PREFILLED, latency_ms=latency_ms)
        world.first_token(f"a{number}")
        world.outcome(f"a{number}", AttemptStatus.OK, request_ended=True)
    assert world.policy.estimates.prefill_ms_per_token < 0.1


def test_tenant_gets_its_fraction_of_arrivals_while_peers_are_down() -> None:
    """All tenants then ask more of this router than its part of their quotas; one that alone does is over."""
    tenants = (Tenant(0.5, quota_per_s=8.0), Tenant(0.5, quota_per_s=8.0))
    over = {}
    for both in (True, False):
        world = RouterHarness(tenants=tenants)
        below_full_priority = []
        for number in range(48):  # 16 a second are the quotas of both routers together; this one gets all
            world.now_ms += 62.5
            world.request(f"a{number}", session=number, tenant=number % 2 if both else 0)
            below_full_priority.append(world.policy.requests[f"a{number}"].priority < 1)
            world.abandon(f"a{number}")
        over[both] = sum(below_full_priority)
    assert over[True] <= 8 and over[False] >= 16


def test_short_prefill_queued_behind_long_ones_does_not_raise_prefill_rate() -> None:
    world = RouterHarness()
    for number in range(8):
        world.serve(f"a{number}", session=number)
    before = world.policy.estimates.prefill_ms_per_token
    for number in range(10):
        world.request(f"b{number}", session=100 + number)
        world.outcome(f"b{number}", AttemptStatus.PREFILLED, latency_ms=1000, note=1000)  # all was cached
        world.abandon(f"b{number}")
    assert world.policy.estimates.prefill_ms_per_token < 1.5 * before
