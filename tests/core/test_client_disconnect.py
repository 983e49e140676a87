"""Tests which attempts of a request are abandoned when its client disconnects."""

from __future__ import annotations

from types import SimpleNamespace
from typing import Any

import pytest

from ringledge.core.port import Payload
from ringledge.core.records import Attempt, RequestRecord
from ringledge.core.registry import RequestRegistry
from ringledge.core.stages.accept import on_client_disconnected
from ringledge.observe.metrics import Metrics
from ringledge.routing.interface import (
    AttemptStatus,
    Request,
    RoutingEvent,
)

# Stages of an attempt, as its values of `written` and `streaming`.
UNWRITTEN, WRITTEN, STREAMING = (False, False), (True, False), (True, True)


@pytest.mark.parametrize(("stage", "is_abandoned"), [(UNWRITTEN, True), (WRITTEN, False), (STREAMING, True)])
def test_client_disconnect_without_cancelling_abandons_only_unwritten_or_streaming_attempts(
    stage: tuple[bool, bool], is_abandoned: bool
) -> None:
    """Guards against an attempt that is written, once it has its connection, for a disconnected client."""
    abandoned, events = list[Attempt](), list[RoutingEvent]()
    port = SimpleNamespace(abandon=abandoned.append, release=lambda *_: None, answered_since=lambda *_: True)
    clock = SimpleNamespace(now_ms=lambda: 10.0)
    context: Any = SimpleNamespace(
        transport=port,
        clock=clock,
        metrics=Metrics(),
        registry=RequestRegistry(),
        dispatch=events.append,
        observer=None,
    )
    record = RequestRecord(Request("a", expires_in_ms=5000), Payload(b"/", b""), SimpleNamespace(), 0.0)
    attempt = Attempt(record, 0, "r0", True, False, 0.0, 5000.0)
    attempt.written, attempt.streaming = stage
    record.attempts.append(attempt)
    context.registry.add(record)
    on_client_disconnected(context, record)
    assert abandoned == [attempt] * is_abandoned
    assert (attempt.outcome is AttemptStatus.CANCELLED) == is_abandoned
    assert ("a" in context.registry.records) != is_abandoned
