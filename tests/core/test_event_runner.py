"""Events that take too much CPU time, or fail, are counted as violations."""

from __future__ import annotations

import time
from types import SimpleNamespace
from typing import Any

import pytest

from ringledge.core.event_runner import MAX_EVENT_CPU_S, EventRunner
from ringledge.core.invariants import Invariant
from ringledge.observe.metrics import Metrics
from ringledge.routing.interface import Shutdown


def violations_of(handle: Any) -> list[str]:
    violations = list[str]()

    def record(invariant: Invariant, **_: object) -> None:
        violations.append(invariant.value)

    invariants: Any = SimpleNamespace(record_violation=record)
    EventRunner(handle, invariants, Metrics()).run(Shutdown())
    return violations


@pytest.mark.parametrize(("share", "violations"), [(0.5, []), (1.01, ["event_too_long"])])
def test_event_that_takes_too_much_cpu_time_is_a_violation(
    share: float, violations: list[str], monkeypatch: pytest.MonkeyPatch
) -> None:
    readings_s = iter((10.0, 10.0 + share * MAX_EVENT_CPU_S))
    monkeypatch.setattr(time, "thread_time", lambda: next(readings_s))
    assert violations_of(lambda _: None) == violations


def test_event_that_fails_is_a_violation() -> None:
    def fail(_: Shutdown) -> None:
        raise ValueError("unexpected")

    assert violations_of(fail) == ["handling_failed"]
