"""Tests which attempts may be in flight concurrently, independently of the policy."""

from __future__ import annotations

from types import SimpleNamespace
from typing import Any

import pytest

from ringledge.core.port import Payload
from ringledge.core.records import Attempt, RequestRecord
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


def make_context(idempotency: Idempotency, hedging_allowed: bool) -> Any:
    request_class = RequestClass(target_ms=1200, deadline_ms=5000, idempotency=idempotency)
    settings = RouterSettings(
        classes=(request_class,),
        kinds=(ServerKind(Role.PREFILL),),
        max_attempts=4,
        may_cancel=True,
        hedging_allowed=hedging_allowed,
    )
    servers = SimpleNamespace(
        role=lambda _: Role.PREFILL, address=lambda _: "127.0.0.1:1", started_ms=lambda _: 0.0
    )
    registry = RequestRegistry()
    events = list[RoutingEvent]()
    clock = SimpleNamespace(now_ms=lambda: 10.0)
    return SimpleNamespace(
        settings=settings,
        servers=servers,
        registry=registry,
        clock=clock,
        metrics=Metrics(),
        dispatch=events.append,
    )


@pytest.mark.parametrize("idempotency", list(Idempotency))
@pytest.mark.parametrize("hedging_allowed", [False, True])
def test_hedged_attempt_is_sent_only_if_settings_and_class_allow_it(
    idempotency: Idempotency, hedging_allowed: bool
) -> None:
    """Guards against hedging a request that must not run twice because the settings allow hedging."""
    context = make_context(idempotency, hedging_allowed)
    record = RequestRecord(Request("a", expires_in_ms=5000), Payload(b"/", b""), SimpleNamespace(), 0.0)
    record.attempts.append(Attempt(record, 0, "r0", True, False, 0.0, 5000.0))
    context.registry.add(record)
    attempt = route(context, SendAttempt("a", "r1"))
    assert (attempt is not None) == (hedging_allowed and idempotency is Idempotency.IDEMPOTENT)
    assert len(record.attempts) == 2 and (attempt is None) == (
        record.attempts[1].outcome is AttemptStatus.NOT_SENT
    )
