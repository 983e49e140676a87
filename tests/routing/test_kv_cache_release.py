"""Rule 5: every KV cache entry is released."""

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
    world = RouterHarness()
    world.request("a", session=1)
    world.deliver(ClientDisconnected("a"))
    assert releases_cache(world.outcome("a", AttemptStatus.PREFILLED, request_ended=True))


def test_kv_cache_entry_is_released_when_no_decode_server_is_left() -> None:
    world = RouterHarness(
        (server_entry("r", PREFILL_KIND), server_entry("w", DECODE_KIND, availability=Availability.DRAINING))
    )
    world.request("a", session=1)
    done = world.outcome("a", AttemptStatus.PREFILLED)
    assert releases_cache(done) and len(final_answers(done)) == 1


def test_kv_cache_entry_is_released_after_cancelled_decode_and_last_attempt() -> None:
    world = RouterHarness()
    world.prefill("a", session=1)
    world.deliver(ClientDisconnected("a"))
    assert releases_cache(world.outcome("a", AttemptStatus.CANCELLED, request_ended=True))
    world.prefill("b", session=1)
    for _ in range(2):
        assert len(sent_to(world.outcome("b", AttemptStatus.FULL))) == 1
    done = world.outcome("b", AttemptStatus.FULL)
    assert releases_cache(done) and len(final_answers(done)) == 1


def test_lost_kv_cache_entry_is_prefilled_again_and_started_stream_needs_no_release() -> None:
    world = RouterHarness()
    world.prefill("a", session=1)
    assert sent_to(world.outcome("a", AttemptStatus.FULL, note=1))[0].startswith("r")
    world.outcome("a", AttemptStatus.PREFILLED)
    world.first_token("a")
    assert not releases_cache(world.outcome("a", AttemptStatus.OK, request_ended=True))
