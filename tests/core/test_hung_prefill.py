"""A prefill server that hangs takes connections, and may run what it was sent once it goes on.

Its connection was closed by then. What that prefill leaves is held like any other, though an answer of the
request has begun elsewhere meanwhile.
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

SENT_MS, CANCELLED_MS, GOES_ON_MS, ENDED_MS = 0.0, 500.0, 700.0, 800.0


def cancelled_prefill(answered: bool, status: AttemptStatus = AttemptStatus.CANCELLED) -> RequestRecord:
    """The record of a request whose prefill was written and ended so."""
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
def test_cancelled_prefill_on_a_silent_server_stays_unobserved_for_ever(
    answered: bool, unobserved_ms: float
) -> None:
    assert cancelled_prefill(answered).cache.unobserved == {"p0": unobserved_ms}


@pytest.mark.parametrize("status", [AttemptStatus.ERROR, AttemptStatus.RESET])
def test_prefill_whose_response_was_spoilt_may_have_left_an_entry(status: AttemptStatus) -> None:
    record = cancelled_prefill(answered=True, status=status)
    assert record.cache.unobserved == {"p0": CANCELLED_MS}


@pytest.mark.parametrize(("unobserved_ms", "released"), [(inf, 1), (CANCELLED_MS, 0)])
def test_unobserved_cache_is_released_at_the_end_though_the_server_answered_before(
    unobserved_ms: float, released: int
) -> None:
    reach = Reachability()
    reach.update_servers([("p0", 0)])
    reach.record_answer("p0", GOES_ON_MS)
    releases = ReleaseScheduler(500.0, reach, lambda: {"p0": True})
    releases.add(ENDED_MS, "a", set(), {"p0": unobserved_ms}, stream_began=True)
    assert [ask.server for ask in releases.take_due_calls(ENDED_MS)] == ["p0"] * released


def test_a_connection_that_comes_up_is_no_answer() -> None:
    """The machine takes it, whether or not its process runs."""
    reach = Reachability()
    reach.update_servers([("p0", 0)])
    reach.record_answer("p0", 1.0)
    reach.record_connection("p0", 2.0)
    assert reach.last_answer_ms("p0") == 1.0 and reach.last_contact_ms("p0") == 2.0
