"""An exception in the policy affects at most one request: it is counted, and the request gets an answer."""

from __future__ import annotations

from types import SimpleNamespace
from typing import Any

import anyio

from ringledge.core.clock import Clock
from ringledge.core.conductor import Conductor
from ringledge.core.invariants import Invariant
from ringledge.core.port import Payload
from ringledge.memory.server_list import ServerList
from ringledge.observe.metrics import Metrics
from ringledge.routing.interface import (
    Idempotency,
    Request,
    RequestClass,
    Role,
    RouterSettings,
    RoutingAction,
    RoutingEvent,
    ServerKind,
    TimerFired,
)

SAFE = RequestClass(1200, 5000, Idempotency.IDEMPOTENT)
KINDS = (ServerKind(Role.PREFILL),)
WAIT_S = 10.0


class FaultyPolicyFixture:
    """A conductor whose policy raises an exception for requests with one id."""

    def __init__(self) -> None:
        self.answers = list[str]()
        transport: Any = SimpleNamespace(
            endpoints_changed=lambda *_: None, unreachable_servers=frozenset, abandon=lambda _: None
        )
        transport.send = lambda attempt: None
        transport.release = lambda *_: None
        transport.answered_since = lambda *_: True
        self.metrics = Metrics()
        self.conductor = Conductor(
            RouterSettings((SAFE,), KINDS, may_cancel=True),
            1,
            Clock(),
            ServerList(KINDS),
            self.metrics,
            transport,
        )
        decide = self.conductor.policy.handle

        def handle(now_ms: float, event: RoutingEvent) -> list[RoutingAction]:
            if getattr(event, "request", "") == "bad" or (
                isinstance(event, TimerFired) and "bad" in event.token
            ):
                raise ZeroDivisionError
            return decide(now_ms, event)

        self.conductor.policy.handle = handle  # type: ignore[method-assign]

    def accept(self, name: str, expires_in_ms: float) -> None:
        sink: Any = SimpleNamespace(
            is_disconnected=lambda: False,
            fail=lambda: self.answers.append(f"{name} failed"),
            reject=lambda _: self.answers.append(f"{name} refused"),
        )
        request = Request(name, expires_in_ms=expires_in_ms)
        self.conductor.accept(request, Payload(b"/", b""), sink)

    def violation_count(self, invariant: Invariant) -> float:
        return Metrics.read(self.metrics.violations)[invariant.value,]


def test_exception_in_policy_is_counted_and_later_events_are_handled() -> None:
    async def run() -> None:
        fixture = FaultyPolicyFixture()
        fixture.accept("bad", 50.0)
        fixture.accept("good", 50.0)
        assert fixture.answers == ["good refused"]
        assert fixture.violation_count(Invariant.EVENT_HANDLING_FAILED) == 1

    anyio.run(run)


def test_request_hit_by_an_exception_still_fails_in_time() -> None:
    async def run() -> None:
        fixture = FaultyPolicyFixture()
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(fixture.conductor.run_timers)
            fixture.accept("bad", 50.0)
            with anyio.fail_after(WAIT_S):
                while not fixture.answers:
                    await anyio.sleep(0.01)
            tasks.cancel_scope.cancel()
        assert fixture.answers == ["bad failed"] and not fixture.conductor.registry.records
        assert fixture.violation_count(Invariant.RESPONSE_OVERDUE) == 1

    anyio.run(run)
