"""The rules of a soak that concern a router's process, not a single request."""

from __future__ import annotations

from collections.abc import Iterator
from dataclasses import dataclass

from benchmarks.soak.history import History


@dataclass(slots=True, frozen=True)
class Violation:
    """One broken rule, with the request or router that it concerns."""

    rule: str
    id: str
    note: str


def violations_of_processes(history: History) -> Iterator[Violation]:
    """No router crashes, fails to start, exceeds its memory, logs a fault of its own or ignores a reload."""
    for event in history.events:
        if event["event"] == "crashed":
            yield Violation("crash", event["conductor"], f"exit {event['code']}: {event['tail']}")
        elif event["event"] == "not_ready":
            yield Violation(
                "not_ready", event["conductor"], f"after {event['after_s']:.1f} s: {event['tail']}"
            )
        elif event["event"] == "memory":
            yield Violation("memory", event["conductor"], f"{event['mb']:.0f} MB of {event['limit_mb']}")
        elif event["event"] == "found":
            yield Violation("found_itself", event["conductor"], event["line"])
        elif event["event"] == "not_moved":
            yield Violation(
                "not_moved",
                event["conductor"],
                "no request at the new discovery address within 4 s of SIGHUP",
            )
