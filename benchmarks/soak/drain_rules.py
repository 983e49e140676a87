"""The rule of a soak on servers that drain, which holds over all requests of a router."""

from __future__ import annotations

from collections.abc import Iterator
from math import inf

from benchmarks.soak.history import TOLERANCE_S, History
from benchmarks.soak.process_rules import Violation

DRAIN_GRACE_S = 0.3  # the drain grace of 250 ms, and 50 ms for sockets
DISCOVERY_DELAY_S = 6.0  # time after a change of the list at which every router counts as informed


def violations_of_drains(history: History) -> Iterator[Violation]:
    """No attempt starts at a draining server after the router was informed, or counts as informed."""
    out_since, deadlines = dict[tuple[str, str], float](), dict[str, float]()
    changed = [event for event in history.events if event["event"] in ("told", "list", "maintained")]
    sends = [(a.first_s, a, r) for r in history.requests.values() for a in r.attempts]
    for at_s, event, sent in sorted(
        [(e["t"], e, None) for e in changed] + [(at, None, (a, r)) for at, a, r in sends],
        key=lambda each: each[0],
    ):
        if event is not None and event["event"] == "list":
            deadlines.pop(event["server"], None)
            if event["status"] != "active":
                deadlines[event["server"]] = at_s + DISCOVERY_DELAY_S
            else:
                out_since = {key: since for key, since in out_since.items() if key[1] != event["server"]}
        elif event is not None:
            for server, status in event["states"].items():
                if status == "active":
                    out_since.pop((event["conductor"], server), None)
                else:
                    out_since.setdefault((event["conductor"], server), at_s)
        elif sent is not None:
            attempt, request = sent
            since = min(
                out_since.get((request.router, attempt.server), inf), deadlines.get(attempt.server, inf)
            )
            if at_s > since + DRAIN_GRACE_S + TOLERANCE_S:
                yield Violation(
                    "drain",
                    request.id,
                    f"{at_s - since:.3f} s after the router was informed, at {attempt.server}",
                )
