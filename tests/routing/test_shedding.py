"""Load shedding, and the order in which requests are shed."""

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


def congest(harness: RouterHarness) -> None:
    """Make the router observe slow prefills (3 s) on every server, after a few fast ones."""
    for number in range(40):
        harness.request(f"jam{number}", session=1000 + number)
        if f"jam{number}" in harness.server_of:
            harness.outcome(f"jam{number}", AttemptStatus.PREFILLED, latency_ms=50 if number < 8 else 3000)
            harness.abandon(f"jam{number}")


def test_overload_is_shed_before_prefill_with_retry_after_and_recovers() -> None:
    harness = RouterHarness()
    congest(harness)
    assert harness.request("a", session=1) == [RejectRequest("a", 250)]
    harness.now_ms += 20_000  # the observed delay decays even if all requests are rejected
    assert len(sent_to(harness.request("b", session=1))) == 1


def test_priority_weight_and_quota_decide_what_is_shed_first() -> None:
    classes = (replace(IDEMPOTENT, priority_weight=2.0), replace(IDEMPOTENT, priority_weight=0.2))
    tenants = (Tenant(0.5, quota_per_s=4.0), Tenant(0.5, quota_per_s=400.0))
    harness = RouterHarness(
        (server_entry("r", PREFILL_KIND), server_entry("w", DECODE_KIND)), classes=classes, tenants=tenants
    )
    harness.serve("warm-up", session=1, tenant=1)
    for number in range(3):  # a wait of about 700 ms with a target of 1000 ms
        harness.request(f"slow{number}", session=1, tenant=1)
        harness.outcome(f"slow{number}", AttemptStatus.PREFILLED, latency_ms=760)
        harness.abandon(f"slow{number}")
    assert sent_to(harness.request("dear", session=2, tenant=1))
    assert final_answers(harness.request("cheap", session=3, tenant=1, class_index=1))
    served = [bool(sent_to(harness.request(f"t{n}", session=4 + n, prompt_tokens=1))) for n in range(6)]
    assert served == [True] * 4 + [False] * 2  # this router's part of the quota is 2/s, with bursts of 4


def test_long_wait_sheds_in_proportion_and_keeps_sampling() -> None:
    harness = RouterHarness()
    for number in range(4):  # late first tokens show slow transfers
        harness.prefill(f"a{number}", session=number, prefix=5)
        harness.deliver(
            FirstToken(f"a{number}", harness.attempts[f"a{number}"], harness.server_of[f"a{number}"], 1200)
        )
    sent = [bool(sent_to(harness.request(f"b{n}", session=100 + n, prefix=5))) for n in range(60)]
    assert 0 < sum(sent) < 60


def test_slow_first_prefill_does_not_make_new_router_reject_for_long() -> None:
    harness = RouterHarness()
    for number, latency_ms in enumerate((2000, 60, 60)):  # the first prefill had to queue
        harness.request(f"a{number}", session=number, prefix=5)
        harness.outcome(f"a{number}", AttemptStatus.PREFILLED, latency_ms=latency_ms)
        harness.first_token(f"a{number}")
        harness.outcome(f"a{number}", AttemptStatus.OK, request_ended=True)
    assert harness.policy.estimates.prefill_ms_per_token < 0.1


def test_tenant_gets_its_fraction_of_arrivals_while_peers_are_down() -> None:
    """If all tenants exceed this router's part of their quotas, none is over its quota. A single one is."""
    tenants = (Tenant(0.5, quota_per_s=8.0), Tenant(0.5, quota_per_s=8.0))
    over = {}
    for both in (True, False):
        harness = RouterHarness(tenants=tenants)
        below_full_priority = []
        for number in range(48):  # 16/s is the quota of both tenants at both routers; this router gets all
            harness.now_ms += 62.5
            harness.request(f"a{number}", session=number, tenant=number % 2 if both else 0)
            below_full_priority.append(harness.policy.requests[f"a{number}"].priority < 1)
            harness.abandon(f"a{number}")
        over[both] = sum(below_full_priority)
    assert over[True] <= 8 and over[False] >= 16


def test_short_prefill_queued_behind_long_ones_does_not_raise_prefill_rate() -> None:
    harness = RouterHarness()
    for number in range(8):
        harness.serve(f"a{number}", session=number)
    before = harness.policy.estimates.prefill_ms_per_token
    for number in range(10):
        harness.request(f"b{number}", session=100 + number)
        harness.outcome(f"b{number}", AttemptStatus.PREFILLED, latency_ms=1000, note=1000)  # fully cached
        harness.abandon(f"b{number}")
    assert harness.policy.estimates.prefill_ms_per_token < 1.5 * before
