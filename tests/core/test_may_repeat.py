"""A keyed request is not written again once the window in which servers drop repeats has passed."""

from __future__ import annotations

from dataclasses import replace
from types import SimpleNamespace

import pytest

from crowstand import interface as i
from ringledge.core.conductor import ARRIVAL_MS, Conductor
from ringledge.core.port import Payload
from ringledge.core.records import Attempt, Record
from tests.world import SAFE, SETTINGS

WINDOW_MS = 300.0
FIRST_SENT_MS = 1_000.0


def may_repeat(effect: i.Effect, now_ms: float, outcome: i.Status, written: bool = True) -> bool:
    """Whether a second attempt may be written after a first one with that outcome."""
    request_class = replace(SAFE, effect=effect, dedup_window_ms=WINDOW_MS)
    context = SimpleNamespace(settings=replace(SETTINGS, classes=(request_class,)))
    conductor = SimpleNamespace(context=context, clock=SimpleNamespace(now_ms=lambda: now_ms))
    record = Record(i.Request("a", expires_in_ms=5000), Payload(b"/", b""), SimpleNamespace(), 0.0)
    first = Attempt(record, 0, "w0", False, True, FIRST_SENT_MS, 5000.0, written=written, outcome=outcome)
    second = Attempt(record, 1, "w1", False, True, now_ms, 5000.0)
    record.attempts += [first, second]
    return Conductor.may_repeat(conductor, second)  # type: ignore[arg-type]


@pytest.mark.parametrize(
    ("after_ms", "expected"),
    [
        (WINDOW_MS / 2, True),
        (WINDOW_MS - ARRIVAL_MS - 1, True),
        (WINDOW_MS - ARRIVAL_MS, False),
        (WINDOW_MS, False),
    ],
)
def test_a_repeat_has_to_arrive_within_the_window(after_ms: float, expected: bool) -> None:
    assert may_repeat(i.Effect.KEYED, FIRST_SENT_MS + after_ms, i.Status.RESET) == expected


@pytest.mark.parametrize("outcome", [i.Status.FULL, i.Status.CONNECT_FAILED, i.Status.NOT_SENT])
def test_what_never_ran_is_no_repeat(outcome: i.Status) -> None:
    assert may_repeat(i.Effect.KEYED, FIRST_SENT_MS + 2 * WINDOW_MS, outcome)
    assert may_repeat(i.Effect.KEYED, FIRST_SENT_MS + 2 * WINDOW_MS, i.Status.RESET, written=False)


def test_what_may_run_twice_has_no_window() -> None:
    assert may_repeat(i.Effect.SAFE, FIRST_SENT_MS + 2 * WINDOW_MS, i.Status.RESET)
