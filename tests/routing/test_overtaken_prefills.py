"""A slow prefill that later ones have overtaken on its server says nothing about the present wait."""

from __future__ import annotations

import pytest

from ringledge.routing.interface import AttemptStatus, Idempotency, RequestClass
from tests.router_harness import MIXED_KIND, PREFILL_KIND, RouterHarness, final_answers, sent_to, server_entry

LONG_TARGET = RequestClass(2500, 10_000, Idempotency.NON_IDEMPOTENT, target_token_ms=80)
SHORT_TARGET = RequestClass(1200, 5000, Idempotency.IDEMPOTENT, target_token_ms=50)
DELAYED_MS = 2_600.0
QUICK_MS = 5.0


def harness_with_delayed_prefills(kind: int, overtaken: bool) -> RouterHarness:
    """Return a router after three prefills on each server took `DELAYED_MS`, with nothing in flight.

    With `overtaken`, each server has quickly completed later prefills until just before.
    """
    fleet = [server_entry(f"m{n}", kind) for n in range(4)] + [server_entry("d0", 1)] * (kind == PREFILL_KIND)
    harness = RouterHarness(tuple(fleet), routers=1, classes=(SHORT_TARGET, LONG_TARGET))
    for number in range(20):
        harness.serve(f"early{number}", session=number, class_index=1)
    names = [f"held{number}" for number in range(12)]
    for number, name in enumerate(names):
        harness.request(name, session=100 + number, class_index=1, expires_in_ms=60_000)
    assert {harness.server_of[name] for name in names} == {f"m{n}" for n in range(4)}
    harness.advance(DELAYED_MS - 10 * QUICK_MS)
    for number in range(40 * overtaken):
        name = f"quick{number}"
        harness.request(name, session=1000 + number, class_index=1, expires_in_ms=60_000)
        harness.now_ms += 1
        harness.outcome(name, AttemptStatus.PREFILLED, latency_ms=QUICK_MS)
        harness.abandon(name)
    harness.now_ms += 10 * QUICK_MS
    for name in names:
        harness.outcome(name, AttemptStatus.PREFILLED, latency_ms=DELAYED_MS)
        harness.abandon(name)
    return harness


@pytest.mark.parametrize("kind", [PREFILL_KIND, MIXED_KIND], ids=["prefill", "mixed"])
def test_request_is_sent_after_waits_that_others_have_overtaken(kind: int) -> None:
    """Guards against shedding a single request while the router has nothing in flight at idle servers."""
    harness = harness_with_delayed_prefills(kind, overtaken=True)
    for number in range(30):
        assert sent_to(harness.request(f"lone{number}", session=5000 + number, class_index=1))
        harness.abandon(f"lone{number}")


@pytest.mark.parametrize("kind", [PREFILL_KIND, MIXED_KIND], ids=["prefill", "mixed"])
def test_request_is_shed_after_waits_that_nothing_contradicts(kind: int) -> None:
    harness = harness_with_delayed_prefills(kind, overtaken=False)
    answers = [final_answers(harness.request(f"lone{n}", session=5000 + n, class_index=1)) for n in range(30)]
    assert any(answers)
