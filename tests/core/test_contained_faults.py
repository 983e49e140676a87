"""An exception in the decisions costs at most the request it met: it is counted, and that one is answered."""

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


class Rig:
    """A conductor whose decisions raise at requests of one name."""

    def __init__(self) -> None:
        self.answers = list[str]()
        port: Any = SimpleNamespace(
            endpoints_changed=lambda: None, unreachable_servers=frozenset, abandon=lambda _: None
        )
        port.send = lambda attempt: None
        port.release = lambda *_: None
        port.answered_since = lambda *_: True
        self.metrics = Metrics()
        self.conductor = Conductor(
            RouterSettings((SAFE,), KINDS, may_cancel=True), 1, Clock(), ServerList(KINDS), self.metrics, port
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
        caller: Any = SimpleNamespace(
            is_disconnected=lambda: False,
            fail=lambda: self.answers.append(f"{name} failed"),
            reject=lambda _: self.answers.append(f"{name} refused"),
        )
        request = Request(name, expires_in_ms=expires_in_ms)
        self.conductor.accept(request, Payload(b"/", b""), caller)

    def found(self, invariant: Invariant) -> float:
        return Metrics.read(self.metrics.violations)[invariant.value,]


def test_an_exception_is_counted_and_what_waits_behind_it_is_handled() -> None:
    async def run() -> None:
        rig = Rig()
        rig.accept("bad", 50.0)
        rig.accept("good", 50.0)
        assert rig.answers == ["good refused"]
        assert rig.found(Invariant.EVENT_HANDLING_FAILED) == 1

    anyio.run(run)


def test_the_request_that_it_met_is_failed_in_time_all_the_same() -> None:
    async def run() -> None:
        rig = Rig()
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(rig.conductor.run_timers)
            rig.accept("bad", 50.0)
            with anyio.fail_after(WAIT_S):
                while not rig.answers:
                    await anyio.sleep(0.01)
            tasks.cancel_scope.cancel()
        assert rig.answers == ["bad failed"] and not rig.conductor.registry.records
        assert rig.found(Invariant.RESPONSE_OVERDUE) == 1

    anyio.run(run)
