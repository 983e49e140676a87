"""Rule 1: exactly one final answer, in time, by one router alone."""

from ringledge.routing.interface import (
    AttemptOutcome,
    AttemptStatus,
    ClientDisconnected,
    FailRequest,
    FirstToken,
    ProbeResult,
    RejectRequest,
    Shutdown,
    TimerFired,
)
from tests.router_harness import (
    FLEET,
    IDEMPOTENT,
    NON_IDEMPOTENT,
    RouterHarness,
    cancels_attempt,
    final_answers,
    releases_cache,
    sent_to,
    server_entry,
)


def test_unresponsive_servers_lead_to_one_answer_before_the_deadline() -> None:
    world = RouterHarness()
    world.request("a", session=1)
    done = world.advance(6000)
    assert len(final_answers(done)) == 1
    assert not final_answers(world.advance(10_000))


def test_request_is_answered_at_deadline_with_attempt_in_flight() -> None:
    world = RouterHarness()
    world.request("a", session=1, expires_in_ms=100)
    assert final_answers(world.advance(100)) == [RejectRequest("a", 250)]
    assert cancels_attempt(world.last_actions)
    assert not sent_to(world.outcome("a", AttemptStatus.CANCELLED, request_ended=True))


def test_started_stream_has_no_deadline() -> None:
    world = RouterHarness()
    world.prefill("a", session=1)
    world.first_token("a")
    assert not final_answers(world.advance(60_000))


def test_empty_list_rejects_at_once() -> None:
    assert final_answers(RouterHarness(()).request("a", session=1)) == [RejectRequest("a", 250)]


def test_no_actions_after_a_request_has_ended() -> None:
    world = RouterHarness()
    world.request("a", session=1)
    world.deliver(ClientDisconnected("a"))
    assert not sent_to(world.outcome("a", AttemptStatus.ERROR, request_ended=True))
    assert not final_answers(world.advance(10_000))


def test_events_of_unknown_requests_and_servers_change_nothing() -> None:
    world = RouterHarness()
    world.request("a", session=1)
    assert world.deliver(AttemptOutcome("nobody", 0, "r0", AttemptStatus.OK)) == []
    assert world.deliver(AttemptOutcome("a", 5, "nowhere", AttemptStatus.OK)) == []
    assert world.deliver(FirstToken("nobody", 0, "nowhere")) == []
    assert world.deliver(ClientDisconnected("nobody")) == []
    assert world.deliver(ProbeResult("nowhere", AttemptStatus.OK)) == []
    assert world.deliver(TimerFired("look:nobody")) == []


def test_unknown_class_tenant_or_kind_is_answered() -> None:
    world = RouterHarness((*FLEET, server_entry("odd", 99)))
    assert final_answers(world.request("a", session=1, class_index=9)) == [RejectRequest("a")]
    assert sent_to(world.request("b", session=1, tenant=77))


def test_shutdown_answers_and_releases_all_that_has_not_begun() -> None:
    world = RouterHarness(classes=(IDEMPOTENT, NON_IDEMPOTENT), retry_after=True)
    world.prefill("begun")
    world.first_token("begun")
    world.request("reading")
    world.prefill("writing", class_index=1)
    last = world.deliver(Shutdown())
    refused = [action for action in last if isinstance(action, RejectRequest)]
    assert [each.request for each in refused] == ["reading"] and refused[0].retry_after_ms
    assert [action.request for action in last if isinstance(action, FailRequest)] == [
        "writing"
    ]  # it may have run
    world.outcome("reading", AttemptStatus.PREFILLED, request_ended=True)
    assert releases_cache(world.last_actions)
    assert world.deliver(Shutdown()) == []
