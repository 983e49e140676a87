"""Entries left by a prefill server that hangs.

Such a server still accepts connections, and may run a prefill when it resumes, after the router has closed
the connection. The entry of that prefill must be released like any other, even if another server has begun
to answer the request meanwhile.
"""

from __future__ import annotations

from math import inf
from types import SimpleNamespace
from typing import Any

import pytest

from ringledge.core.port import Payload
from ringledge.core.records import Attempt, RequestRecord
from ringledge.core.registry import RequestRegistry
from ringledge.core.stages.record_outcome import record_outcome
from ringledge.decide.servers.reachability import Reachability
from ringledge.decide.servers.releases import ReleaseScheduler
from ringledge.observe.metrics import Metrics
from ringledge.routing.interface import (
    AttemptStatus,
    Request,
)

SENT_MS, CANCELLED_MS, RESUMED_MS, ENDED_MS = 0.0, 500.0, 700.0, 800.0


def cancelled_prefill(answered: bool, status: AttemptStatus = AttemptStatus.CANCELLED) -> RequestRecord:
    """The record of a request whose prefill was written and ended with `status`.

    `answered`: whether the server has answered any call since the prefill was sent.
    """
    context: Any = SimpleNamespace(
        transport=SimpleNamespace(answered_since=lambda server, at_ms: answered),
        clock=SimpleNamespace(now_ms=lambda: CANCELLED_MS),
        metrics=Metrics(),
        registry=RequestRegistry(),
        dispatch=lambda _: None,
        observer=None,
    )
    sink: Any = SimpleNamespace()
    record = RequestRecord(Request("a", expires_in_ms=5000), Payload(b"/", b""), sink, SENT_MS)
    attempt = Attempt(record, 0, "p0", True, False, SENT_MS, 5000.0)
    attempt.written = True
    record.attempts.append(attempt)
    record_outcome(context, attempt, status)
    return record


@pytest.mark.parametrize(("answered", "unobserved_ms"), [(True, CANCELLED_MS), (False, inf)])
def test_cancelled_prefill_on_an_unresponsive_server_stays_unobserved_indefinitely(
    answered: bool, unobserved_ms: float
) -> None:
    assert cancelled_prefill(answered).cache.unobserved == {"p0": unobserved_ms}


@pytest.mark.parametrize("status", [AttemptStatus.ERROR, AttemptStatus.RESET])
def test_prefill_with_a_corrupt_response_may_have_left_an_entry(status: AttemptStatus) -> None:
    record = cancelled_prefill(answered=True, status=status)
    assert record.cache.unobserved == {"p0": CANCELLED_MS}


@pytest.mark.parametrize(("unobserved_ms", "released"), [(inf, 1), (CANCELLED_MS, 0)])
def test_unobserved_entry_is_released_at_the_end_of_its_request_although_the_server_answered_before(
    unobserved_ms: float, released: int
) -> None:
    reachability = Reachability()
    reachability.update_servers([("p0", 0)])
    reachability.record_answer("p0", RESUMED_MS)
    releases = ReleaseScheduler(500.0, reachability, lambda: {"p0": True})
    releases.add(ENDED_MS, "a", set(), {"p0": unobserved_ms}, stream_began=True)
    assert [call.server for call in releases.take_due_calls(ENDED_MS)] == ["p0"] * released


def test_established_connection_does_not_count_as_an_answer() -> None:
    """The machine accepts a connection whether or not the server's process is running."""
    reachability = Reachability()
    reachability.update_servers([("p0", 0)])
    reachability.record_answer("p0", 1.0)
    reachability.record_connection("p0", 2.0)
    assert reachability.last_answer_ms("p0") == 1.0 and reachability.last_contact_ms("p0") == 2.0
