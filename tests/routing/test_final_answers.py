"""Each request gets exactly one final answer in time, without help from other routers."""

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
    harness = RouterHarness()
    harness.request("a", session=1)
    actions = harness.advance(6000)
    assert len(final_answers(actions)) == 1
    assert not final_answers(harness.advance(10_000))


def test_request_is_answered_at_deadline_with_attempt_in_flight() -> None:
    harness = RouterHarness()
    harness.request("a", session=1, expires_in_ms=100)
    assert final_answers(harness.advance(100)) == [RejectRequest("a", 250)]
    assert cancels_attempt(harness.last_actions)
    assert not sent_to(harness.outcome("a", AttemptStatus.CANCELLED, request_ended=True))


def test_started_stream_has_no_deadline() -> None:
    harness = RouterHarness()
    harness.prefill("a", session=1)
    harness.first_token("a")
    assert not final_answers(harness.advance(60_000))


def test_empty_list_rejects_at_once() -> None:
    assert final_answers(RouterHarness(()).request("a", session=1)) == [RejectRequest("a", 250)]


def test_no_actions_after_a_request_has_ended() -> None:
    harness = RouterHarness()
    harness.request("a", session=1)
    harness.deliver(ClientDisconnected("a"))
    assert not sent_to(harness.outcome("a", AttemptStatus.ERROR, request_ended=True))
    assert not final_answers(harness.advance(10_000))


def test_events_of_unknown_requests_and_servers_change_nothing() -> None:
    harness = RouterHarness()
    harness.request("a", session=1)
    assert harness.deliver(AttemptOutcome("nobody", 0, "r0", AttemptStatus.OK)) == []
    assert harness.deliver(AttemptOutcome("a", 5, "nowhere", AttemptStatus.OK)) == []
    assert harness.deliver(FirstToken("nobody", 0, "nowhere")) == []
    assert harness.deliver(ClientDisconnected("nobody")) == []
    assert harness.deliver(ProbeResult("nowhere", AttemptStatus.OK)) == []
    assert harness.deliver(TimerFired("look:nobody")) == []


def test_unknown_class_tenant_or_kind_is_answered() -> None:
    harness = RouterHarness((*FLEET, server_entry("odd", 99)))
    assert final_answers(harness.request("a", session=1, class_index=9)) == [RejectRequest("a")]
    assert sent_to(harness.request("b", session=1, tenant=77))


def test_shutdown_answers_and_releases_all_that_has_not_begun() -> None:
    harness = RouterHarness(classes=(IDEMPOTENT, NON_IDEMPOTENT), retry_after=True)
    harness.prefill("begun")
    harness.first_token("begun")
    harness.request("reading")
    harness.prefill("writing", class_index=1)
    actions = harness.deliver(Shutdown())
    rejections = [action for action in actions if isinstance(action, RejectRequest)]
    assert [each.request for each in rejections] == ["reading"] and rejections[0].retry_after_ms
    # The decode attempt may have run, so its request is failed and not rejected.
    assert [action.request for action in actions if isinstance(action, FailRequest)] == ["writing"]
    harness.outcome("reading", AttemptStatus.PREFILLED, request_ended=True)
    assert releases_cache(harness.last_actions)
    assert harness.deliver(Shutdown()) == []
