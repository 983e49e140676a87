"""Which attempts may go out beside another, whatever the policy said."""

from __future__ import annotations

from types import SimpleNamespace
from typing import Any

import pytest

from ringledge.core.port import Payload
from ringledge.core.records import Attempt, Record
from ringledge.core.registry import RequestRegistry
from ringledge.core.stages.route import route
from ringledge.observe.metrics import Metrics
from ringledge.routing.interface import (
    AttemptStatus,
    Idempotency,
    Request,
    RequestClass,
    Role,
    RouterSettings,
    RoutingEvent,
    SendAttempt,
    ServerKind,
)


def context(effect: Idempotency, second_copies: bool) -> Any:
    kind = RequestClass(target_ms=1200, deadline_ms=5000, idempotency=effect)
    settings = RouterSettings(
        classes=(kind,),
        kinds=(ServerKind(Role.PREFILL),),
        max_attempts=4,
        may_cancel=True,
        hedging_allowed=second_copies,
    )
    servers = SimpleNamespace(
        role=lambda _: Role.PREFILL, address=lambda _: "127.0.0.1:1", started_ms=lambda _: 0.0
    )
    registry = RequestRegistry()
    told = list[RoutingEvent]()
    clock = SimpleNamespace(now_ms=lambda: 10.0)
    return SimpleNamespace(
        settings=settings,
        servers=servers,
        registry=registry,
        clock=clock,
        metrics=Metrics(),
        dispatch=told.append,
    )


@pytest.mark.parametrize("effect", list(Idempotency))
@pytest.mark.parametrize("second_copies", [False, True])
def test_a_second_copy_goes_out_only_where_settings_and_class_allow_it(
    effect: Idempotency, second_copies: bool
) -> None:
    """Where the settings allowed copies, one went out for any class, also for what must not run twice."""
    at = context(effect, second_copies)
    record = Record(Request("a", expires_in_ms=5000), Payload(b"/", b""), SimpleNamespace(), 0.0)
    record.attempts.append(Attempt(record, 0, "r0", True, False, 0.0, 5000.0))
    at.registry.add(record)
    gone = route(at, SendAttempt("a", "r1"))
    assert (gone is not None) == (second_copies and effect is Idempotency.IDEMPOTENT)
    assert len(record.attempts) == 2 and (gone is None) == (
        record.attempts[1].outcome is AttemptStatus.NOT_SENT
    )
