"""Every KV cache entry is released."""

from ringledge.routing.interface import (
    AttemptStatus,
    Availability,
    ClientDisconnected,
)
from tests.router_harness import (
    DECODE_KIND,
    PREFILL_KIND,
    RouterHarness,
    final_answers,
    releases_cache,
    sent_to,
    server_entry,
)


def test_kv_cache_entry_is_released_when_request_ended_during_prefill() -> None:
    harness = RouterHarness()
    harness.request("a", session=1)
    harness.deliver(ClientDisconnected("a"))
    assert releases_cache(harness.outcome("a", AttemptStatus.PREFILLED, request_ended=True))


def test_kv_cache_entry_is_released_when_no_decode_server_is_left() -> None:
    harness = RouterHarness(
        (server_entry("r", PREFILL_KIND), server_entry("w", DECODE_KIND, availability=Availability.DRAINING))
    )
    harness.request("a", session=1)
    actions = harness.outcome("a", AttemptStatus.PREFILLED)
    assert releases_cache(actions) and len(final_answers(actions)) == 1


def test_kv_cache_entry_is_released_after_cancelled_decode_and_last_attempt() -> None:
    harness = RouterHarness()
    harness.prefill("a", session=1)
    harness.deliver(ClientDisconnected("a"))
    assert releases_cache(harness.outcome("a", AttemptStatus.CANCELLED, request_ended=True))
    harness.prefill("b", session=1)
    for _ in range(2):
        assert len(sent_to(harness.outcome("b", AttemptStatus.FULL))) == 1
    actions = harness.outcome("b", AttemptStatus.FULL)
    assert releases_cache(actions) and len(final_answers(actions)) == 1


def test_lost_kv_cache_entry_is_prefilled_again_and_started_stream_needs_no_release() -> None:
    harness = RouterHarness()
    harness.prefill("a", session=1)
    assert sent_to(harness.outcome("a", AttemptStatus.FULL, note=1))[0].startswith("r")
    harness.outcome("a", AttemptStatus.PREFILLED)
    harness.first_token("a")
    assert not releases_cache(harness.outcome("a", AttemptStatus.OK, request_ended=True))
