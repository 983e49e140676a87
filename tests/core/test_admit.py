"""A rejection tells the client that a retry is safe, so it is given only if the record confirms that."""

from __future__ import annotations

from types import SimpleNamespace
from typing import Any

import pytest

from ringledge.core.invariants import InvariantChecker
from ringledge.core.port import Payload
from ringledge.core.records import Attempt, RequestRecord
from ringledge.core.registry import RequestRegistry
from ringledge.core.stages import admit
from ringledge.memory.server_list import ServerList
from ringledge.observe.metrics import Metrics
from ringledge.routing.interface import (
    AttemptStatus,
    Idempotency,
    RejectRequest,
    Request,
    RequestClass,
    RouterSettings,
)

CLASSES = (
    RequestClass(1200, 5000, Idempotency.IDEMPOTENT),
    RequestClass(1200, 5000, Idempotency.NON_IDEMPOTENT),
)


@pytest.mark.parametrize(
    ("class_index", "written", "answer"),
    [(0, True, "refused"), (1, False, "refused"), (1, True, "failed")],
)
def test_rejection_becomes_failure_when_a_retry_is_unsafe(
    class_index: int, written: bool, answer: str
) -> None:
    answers, metrics = list[str](), Metrics()
    clock: Any = SimpleNamespace(now_ms=lambda: 10.0)
    settings = RouterSettings(CLASSES, ())
    sink: Any = SimpleNamespace(
        reject=lambda _: answers.append("refused"), fail=lambda: answers.append("failed")
    )
    context: Any = SimpleNamespace(
        settings=settings,
        metrics=metrics,
        registry=RequestRegistry(),
        clock=clock,
        transport=SimpleNamespace(release=lambda *_: None),
        invariants=InvariantChecker(settings, clock, ServerList(()), metrics),
    )
    record = RequestRecord(
        Request("a", class_index=class_index, expires_in_ms=5000), Payload(b"/", b""), sink, 0.0
    )
    attempt = Attempt(record, 0, "w0", False, True, 0.0, 5000.0)
    attempt.written, attempt.outcome = written, AttemptStatus.RESET
    record.attempts.append(attempt)
    context.registry.add(record)
    admit.reject(context, RejectRequest("a"))
    assert answers == [answer]
    assert not sum(Metrics.read(metrics.violations).values())
