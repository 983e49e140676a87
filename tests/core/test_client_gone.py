"""What becomes of a request's attempts when its client leaves."""

from __future__ import annotations

from types import SimpleNamespace
from typing import Any

import pytest

from ringledge.core.port import Payload
from ringledge.core.records import Attempt, Record
from ringledge.core.registry import RequestRegistry
from ringledge.core.stages.accept import on_client_disconnected
from ringledge.observe.metrics import Metrics
from ringledge.routing.interface import (
    AttemptStatus,
    Request,
    RoutingEvent,
)

# How far the attempt is: whether its request is written whole, whether its answer has begun.
WAITS, WRITTEN, BEGUN = (False, False), (True, False), (True, True)


@pytest.mark.parametrize(("stage", "dropped"), [(WAITS, True), (WRITTEN, False), (BEGUN, True)])
def test_without_cancelling_an_attempt_is_dropped_unless_it_may_be_running_unseen(
    stage: tuple[bool, bool], dropped: bool
) -> None:
    """One that waited for its connection was written after its client had gone."""
    abandoned, told = list[Attempt](), list[RoutingEvent]()
    port = SimpleNamespace(abandon=abandoned.append, release=lambda *_: None, answered_since=lambda *_: True)
    clock = SimpleNamespace(now_ms=lambda: 10.0)
    at: Any = SimpleNamespace(
        transport=port,
        clock=clock,
        metrics=Metrics(),
        registry=RequestRegistry(),
        dispatch=told.append,
        observer=None,
    )
    record = Record(Request("a", expires_in_ms=5000), Payload(b"/", b""), SimpleNamespace(), 0.0)
    attempt = Attempt(record, 0, "r0", True, False, 0.0, 5000.0)
    attempt.written, attempt.streaming = stage
    record.attempts.append(attempt)
    at.registry.add(record)
    on_client_disconnected(at, record)
    assert abandoned == [attempt] * dropped
    assert (attempt.outcome is AttemptStatus.CANCELLED) == dropped
    assert ("a" in at.registry.records) != dropped
