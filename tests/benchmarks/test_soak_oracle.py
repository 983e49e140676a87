"""The soak's oracle finds each broken promise, and none where all is well."""

from __future__ import annotations

from collections.abc import Callable
from typing import Any

import pytest

from benchmarks.soak.events import Event
from benchmarks.soak.history import collect
from benchmarks.soak.oracle import judge
from benchmarks.soak.plan import KINDS, Plan, Trouble, draw

START_S = 100.0
ID = "n0-1-1"
Story = Callable[[list[Event]], None]


def at(t: float, event: str, source: str = "driver", **fields: Any) -> Event:
    return {"t": START_S + t, "source": source, "event": event} | fields


def served(kind: str = "booking") -> list[Event]:
    """A request that is prefilled at p0, decoded at d0 and answered."""
    sent = {"id": ID, "link": 1, "server": "p0", "first_s": START_S + 1.01}
    decode = {"id": ID, "link": 2, "server": "d0", "first_s": START_S + 1.11}
    return [
        at(1.0, "request", "client n0", id=ID, kind=kind, budget_ms=2000),
        at(1.0, "posted", "client n0", id=ID, fresh=True, ahead=False, begun_s=START_S + 1.0),
        at(0.5, "linked", "proxy", server="p0", port=1, link=1),
        at(0.5, "linked", "proxy", server="d0", port=2, link=2),
        at(1.01, "sent", "proxy", **sent),
        at(1.02, "arrived", "p0", id=ID, told_ms=1990, port=1),
        at(1.1, "prefilled", "p0", id=ID),
        at(1.1, "answered", "proxy", status=202, **sent),
        at(1.11, "sent", "proxy", **decode),
        at(1.12, "arrived", "d0", id=ID, told_ms=1890, port=2),
        at(1.12, "ran", "d0", id=ID),
        at(1.2, "first", "d0", id=ID),
        at(1.5, "answered", "proxy", status=200, **decode),
        at(1.5, "answer", "client n0", id=ID, status=200, whole=True, error="", fresh=True,
           first_s=START_S + 1.2, late_s=0.0),
        at(20.0, "killed", conductor="n0"),
    ]  # fmt: skip


def without(events: list[Event], *names: str) -> None:
    events[:] = [event for event in events if event["event"] not in names]


def change(events: list[Event], name: str, **fields: Any) -> None:
    next(event for event in reversed(events) if event["event"] == name).update(fields)


def no_answer(events: list[Event]) -> None:
    change(events, "answer", status=0, whole=False, error="end")


def late(events: list[Event]) -> None:
    change(events, "answer", t=START_S + 4.0, status=503, first_s=0.0)
    without(events, "ran")


def cut(events: list[Event]) -> None:
    change(events, "answer", whole=False, error="end")


def runs_twice(events: list[Event]) -> None:
    events.append(at(1.3, "ran", "d1", id=ID))


def refused(events: list[Event]) -> None:
    change(events, "answer", status=429)


def two_out(events: list[Event]) -> None:
    change(events, "sent", first_s=START_S + 1.03, t=START_S + 1.03)
    for event in events:
        if event["event"] == "arrived" and event["source"] == "d0":
            event["t"] = START_S + 1.04


def left_before(events: list[Event]) -> None:
    events.append(at(0.7, "left", "client n0", id=ID))


def told_too_much(events: list[Event]) -> None:
    change(events, "arrived", told_ms=2400)


def held(events: list[Event]) -> None:
    change(events, "first", t=START_S + 2.6)
    change(events, "arrived", t=START_S + 2.5)


def half(events: list[Event]) -> None:
    events.append(at(5.0, "half", "client n0", id="n0-2-1"))
    events.append(at(8.5, "half_ended", "client n0", id="n0-2-1", error="ended"))


def drained(events: list[Event]) -> None:
    events.append(at(0.4, "told", conductor="n0", index=11, states={"d0": "leaving"}))


def drained_unheard(events: list[Event]) -> None:
    events.append(at(-5.5, "list", server="d0", status="leaving"))


def crashed(events: list[Event]) -> None:
    events.append(at(3.0, "crashed", conductor="n0", code=1, tail=""))


def not_ready(events: list[Event]) -> None:
    events.append(at(3.0, "not_ready", conductor="n0", after_s=10.0, tail=""))


def found(events: list[Event]) -> None:
    events.append(at(3.0, "found", conductor="n0", line="invariant_violated"))


def not_moved(events: list[Event]) -> None:
    events.append(at(3.0, "not_moved", conductor="n0"))


def rules(*stories: Story, kind: str = "booking", troubles: tuple[Trouble, ...] = ()) -> set[str]:
    """The rules that the oracle finds broken."""
    events = served(kind)
    for story in stories:
        story(events)
    plan = Plan(1, ["n0"], ["p0"], ["d0", "d1"], [], True, 30_000.0, 5.0, list(troubles))
    return {
        violation.rule for violation in judge(collect(plan, START_S, sorted(events, key=lambda e: e["t"])))
    }


def test_nothing_is_found_where_all_is_well() -> None:
    assert not rules()


@pytest.mark.parametrize(
    ("story", "rule"),
    [
        (no_answer, "lost"),
        (late, "late"),
        (cut, "cut"),
        (runs_twice, "duplicate"),
        (refused, "refused_after_run"),
        (two_out, "second_copy"),
        (left_before, "sent_after_left"),
        (told_too_much, "told_too_much"),
        (held, "held"),
        (half, "half"),
        (drained, "drain"),
        (drained_unheard, "drain"),
        (crashed, "crash"),
        (not_ready, "not_ready"),
        (found, "found_itself"),
        (not_moved, "not_moved"),
    ],
)
def test_each_broken_promise_is_found(story: Story, rule: str) -> None:
    assert rule in rules(story)


def test_what_may_run_twice_may() -> None:
    assert not rules(runs_twice, refused, kind="query")


@pytest.mark.parametrize("story", [no_answer, late, cut, held, half])
def test_what_a_kill_costs_is_no_break(story: Story) -> None:
    def kill_then(events: list[Event]) -> None:
        story(events)
        events.append(at(6.0 if story is half else 1.3, "killed", conductor="n0"))

    assert not rules(kill_then)


def test_a_seed_is_one_plan_and_its_troubles_meet() -> None:
    assert draw(7) == draw(7) != draw(8)
    plans = [draw(seed) for seed in range(200)]
    assert {trouble.kind for plan in plans for trouble in plan.troubles} == set(KINDS)
    for plan in plans:
        times = [trouble.at_s for trouble in plan.troubles]
        assert all(min(abs(at_s - other) for other in times if other != at_s) < 1.0 for at_s in times)
