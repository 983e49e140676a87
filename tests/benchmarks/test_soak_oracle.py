"""The oracle of the soak finds each kind of broken rule, and none in a correct run."""

from __future__ import annotations

from collections.abc import Callable
from typing import Any

import pytest

from benchmarks.soak.day import Verdict
from benchmarks.soak.events import Event
from benchmarks.soak.history import build_history
from benchmarks.soak.oracle import MAX_STALL_S, TIMED_RULES, judge
from benchmarks.soak.plan import FAULT_WEIGHTS, Plan, draw_plan
from benchmarks.soak.planned_fault import PlannedFault
from benchmarks.soak.process_rules import Violation

START_S = 100.0
ID = "n0-1-1"
EventChange = Callable[[list[Event]], None]


def at(t: float, event: str, source: str = "driver", **fields: Any) -> Event:
    return {"t": START_S + t, "source": source, "event": event} | fields


def served(kind: str = "booking") -> list[Event]:
    """Events of a request that is prefilled at p0, decoded at d0 and answered."""
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
        at(1.49, "done", "d0", id=ID),
        at(1.5, "answered", "proxy", status=200, **decode),
        at(1.5, "answer", "client n0", id=ID, status=200, whole=True, error="", fresh=True,
           first_s=START_S + 1.2, late_s=0.0),
        at(20.0, "killed", conductor="n0"),
    ]  # fmt: skip


def without(events: list[Event], *names: str) -> None:
    events[:] = [event for event in events if event["event"] not in names]


def change(events: list[Event], name: str, **fields: Any) -> None:
    next(event for event in reversed(events) if event["event"] == name).update(fields)


def remove_answer(events: list[Event]) -> None:
    change(events, "answer", status=0, whole=False, error="end")


def late_answer(events: list[Event]) -> None:
    change(events, "answer", t=START_S + 4.0, status=503, first_s=0.0)
    without(events, "ran")


def cut_stream(events: list[Event]) -> None:
    change(events, "answer", whole=False, error="end")


def runs_twice(events: list[Event]) -> None:
    events.append(at(1.3, "ran", "d1", id=ID))


def refused(events: list[Event]) -> None:
    change(events, "answer", status=429)


def overlapping_attempts(events: list[Event]) -> None:
    change(events, "sent", first_s=START_S + 1.03, t=START_S + 1.03)
    for event in events:
        if event["event"] == "arrived" and event["source"] == "d0":
            event["t"] = START_S + 1.04


def client_left_before(events: list[Event]) -> None:
    events.append(at(0.7, "left", "client n0", id=ID))


def budget_too_large(events: list[Event]) -> None:
    change(events, "arrived", told_ms=2400)


def held_entry(events: list[Event]) -> None:
    change(events, "first", t=START_S + 2.6)
    change(events, "arrived", t=START_S + 2.5)


def partial_request(events: list[Event]) -> None:
    events.append(at(5.0, "half", "client n0", id="n0-2-1"))
    events.append(at(8.5, "half_ended", "client n0", id="n0-2-1", error="ended"))


def drained(events: list[Event]) -> None:
    events.append(at(0.4, "told", conductor="n0", index=11, states={"d0": "leaving"}))


def drained_long_ago(events: list[Event]) -> None:
    events.append(at(-5.5, "list", server="d0", status="leaving"))


def crashed(events: list[Event]) -> None:
    events.append(at(3.0, "crashed", conductor="n0", code=1, tail=""))


def not_ready(events: list[Event]) -> None:
    events.append(at(3.0, "not_ready", conductor="n0", after_s=10.0, tail=""))


def logged_fault(events: list[Event]) -> None:
    events.append(at(3.0, "found", conductor="n0", line="invariant_violated"))


def reload_ignored(events: list[Event]) -> None:
    events.append(at(3.0, "not_moved", conductor="n0"))


def rules(*changes: EventChange, kind: str = "booking", faults: tuple[PlannedFault, ...] = ()) -> set[str]:
    """The broken rules that the oracle finds after these changes to a correct run."""
    events = served(kind)
    for change_events in changes:
        change_events(events)
    plan = Plan(1, ["n0"], ["p0"], ["d0", "d1"], [], True, 30_000.0, 5.0, list(faults))
    return {
        violation.rule
        for violation in judge(build_history(plan, START_S, sorted(events, key=lambda e: e["t"])))
    }


def ended_early(events: list[Event]) -> None:
    without(events, "done")


def memory_exceeded(events: list[Event]) -> None:
    events.append(at(1.0, "memory", conductor="n0", mb=193.0, limit_mb=192))


def cut_by_its_server(events: list[Event]) -> None:
    """The server ends the stream before its final event, and the router does not end it as whole."""
    without(events, "done")
    cut_stream(events)
    events.append(at(1.3, "truncated", "d0", id=ID))


def test_stream_that_its_server_ends_early_is_not_called_cut() -> None:
    assert "cut" not in rules(cut_by_its_server)


def test_correct_run_breaks_no_rule() -> None:
    assert not rules()


@pytest.mark.parametrize(
    ("change_events", "rule"),
    [
        (remove_answer, "lost"),
        (late_answer, "late"),
        (cut_stream, "cut"),
        (runs_twice, "duplicate"),
        (refused, "refused_after_run"),
        (overlapping_attempts, "second_copy"),
        (client_left_before, "sent_after_left"),
        (budget_too_large, "told_too_much"),
        (held_entry, "held"),
        (partial_request, "half"),
        (drained, "drain"),
        (drained_long_ago, "drain"),
        (crashed, "crash"),
        (not_ready, "not_ready"),
        (logged_fault, "found_itself"),
        (reload_ignored, "not_moved"),
        (ended_early, "truncated"),
        (memory_exceeded, "memory"),
    ],
)
def test_each_broken_rule_is_found(change_events: EventChange, rule: str) -> None:
    assert rule in rules(change_events)


def test_retryable_request_may_run_twice() -> None:
    assert not rules(runs_twice, refused, kind="query")


def verdict(rule: str, held_up_s: float) -> Verdict:
    return Verdict(1, 1, {"200": 1}, [Violation(rule, ID, "")], 0, [], 50.0, held_up_s)


def test_timed_rules_are_excused_only_if_a_process_stalled() -> None:
    for rule in TIMED_RULES:
        assert verdict(rule, MAX_STALL_S).counted() and not verdict(rule, MAX_STALL_S + 0.01).counted()
    for rule in ("duplicate", "refused_after_run", "lost", "cut", "crash"):
        assert verdict(rule, 10.0).counted()


def void_release(events: list[Event]) -> None:
    """The entry is released while a decode that has arrived waits for it, and not again after its end."""
    without(events, "first", "ran")
    change(events, "answered", t=START_S + 2.0, status=503)
    events.append(at(1.6, "released", "p0", id=ID))
    change(events, "answer", t=START_S + 3.2, status=500, first_s=0.0)
    events.append(at(3.2, "released", "p0", id=ID))


def released_in_time(events: list[Event]) -> None:
    """As `void_release`, with a second release after the decode ends."""
    void_release(events)
    events.append(at(2.1, "released", "p0", id=ID))


def test_release_during_a_decode_that_waits_for_the_entry_is_void() -> None:
    assert "held" in rules(void_release)
    assert "held" not in rules(released_in_time)


def test_seed_determines_the_plan_and_its_faults_overlap() -> None:
    assert draw_plan(7) == draw_plan(7) != draw_plan(8)
    plans = [draw_plan(seed) for seed in range(200)]
    assert {fault.kind for plan in plans for fault in plan.troubles} == set(FAULT_WEIGHTS)
    for plan in plans:
        times = [fault.at_s for fault in plan.troubles]
        assert all(min(abs(at_s - other) for other in times if other != at_s) < 1.0 for at_s in times)
