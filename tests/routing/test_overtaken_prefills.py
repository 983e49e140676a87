"""A prefill that others have overtaken at its server tells of a wait that is over."""

from __future__ import annotations

import pytest

from ringledge.routing.interface import AttemptStatus, Idempotency, RequestClass
from tests.router_harness import MIXED_KIND, PREFILL_KIND, RouterHarness, final_answers, sent_to, server_entry

BOOKING = RequestClass(2500, 10_000, Idempotency.NON_IDEMPOTENT, target_token_ms=80)
QUERY = RequestClass(1200, 5000, Idempotency.IDEMPOTENT, target_token_ms=50)
HELD_MS = 2_600.0
QUICK_MS = 5.0


def fleet_with_held_prefills(kind: int, overtaken: bool) -> RouterHarness:
    """Three prefills at each server came back after `HELD_MS`; nothing is in flight now.

    `overtaken`: each server has prefilled others quickly meanwhile, the last of them just before.
    """
    fleet = [server_entry(f"m{n}", kind) for n in range(4)] + [server_entry("d0", 1)] * (kind == PREFILL_KIND)
    world = RouterHarness(tuple(fleet), routers=1, classes=(QUERY, BOOKING))
    for number in range(20):
        world.serve(f"early{number}", session=number, class_index=1)
    names = [f"held{number}" for number in range(12)]
    for number, name in enumerate(names):
        world.request(name, session=100 + number, class_index=1, expires_in_ms=60_000)
    assert {world.server_of[name] for name in names} == {f"m{n}" for n in range(4)}
    world.advance(HELD_MS - 10 * QUICK_MS)
    for number in range(40 * overtaken):
        name = f"quick{number}"
        world.request(name, session=1000 + number, class_index=1, expires_in_ms=60_000)
        world.now_ms += 1
        world.outcome(name, AttemptStatus.PREFILLED, latency_ms=QUICK_MS)
        world.abandon(name)
    world.now_ms += 10 * QUICK_MS
    for name in names:
        world.outcome(name, AttemptStatus.PREFILLED, latency_ms=HELD_MS)
        world.abandon(name)
    return world


@pytest.mark.parametrize("kind", [PREFILL_KIND, MIXED_KIND], ids=["prefill", "mixed"])
def test_request_is_sent_after_waits_that_others_have_overtaken(kind: int) -> None:
    """Guards against a lone booking's refusal by a router with nothing in flight, at idle servers."""
    world = fleet_with_held_prefills(kind, overtaken=True)
    for number in range(30):
        assert sent_to(world.request(f"lone{number}", session=5000 + number, class_index=1))
        world.abandon(f"lone{number}")


@pytest.mark.parametrize("kind", [PREFILL_KIND, MIXED_KIND], ids=["prefill", "mixed"])
def test_request_is_shed_after_waits_that_nothing_contradicts(kind: int) -> None:
    world = fleet_with_held_prefills(kind, overtaken=False)
    answers = [final_answers(world.request(f"lone{n}", session=5000 + n, class_index=1)) for n in range(30)]
    assert any(answers)
