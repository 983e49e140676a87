"""Counts what the conductors of a fleet did together, from their logs alone. JSON on standard output.

Reads every file of a folder, one per conductor. A log line is one JSON object, optionally preceded by a time.
Requests are counted in windows by their arrival, on the conductors' clock, starting at the earliest log line.
"""

from __future__ import annotations

from collections import Counter, defaultdict
from collections.abc import Iterable, Iterator
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any

import click
import orjson

COLD_DURATION_S = 13.0  # after its start, in which a server counts as cold
DISCOVERY_EVENTS = (
    "endpoint_watch_failed",
    "endpoint_watch_timed_out",
    "endpoint_watch_ended",
    "endpoint_list_malformed",
    "endpoint_list_fetch_failed",
)


def lines(folder: Path) -> Iterator[dict[str, Any]]:
    """The events of all conductors; lines without a JSON object (tracebacks, truncated lines) are skipped."""
    for path in sorted(folder.iterdir()):
        for line in path.read_bytes().splitlines():
            begin = line.find(b"{")
            try:
                event = orjson.loads(line[begin:]) if begin >= 0 else None
            except orjson.JSONDecodeError:
                continue
            if isinstance(event, dict) and "event" in event and "at" in event:
                yield event


@dataclass(slots=True)
class Window:
    """Counts of one interval of time."""

    requests: Counter[str] = field(default_factory=Counter)  # by class and outcome
    first_ms: defaultdict[str, list[float]] = field(default_factory=lambda: defaultdict(list))  # by class
    attempts: Counter[str] = field(default_factory=Counter)  # by outcome
    sends: int = 0
    repeats: int = 0  # sends of a step after its first
    unused_prefills: int = 0  # prefills that succeeded, but no decode server began their response
    cold_sends: Counter[str] = field(default_factory=Counter)  # by server
    events: Counter[str] = field(default_factory=Counter)

    def data(self) -> dict[str, Any]:
        """The counts as an object for JSON."""
        total = sum(self.requests.values())
        return {
            "requests": dict(sorted(self.requests.items())),
            "first_token_ms": {name: quantiles(values) for name, values in sorted(self.first_ms.items())},
            "attempts": dict(sorted(self.attempts.items())),
            "sends_a_request": round(self.sends / total, 3) if total else None,
            "repeats": self.repeats,
            "reads_not_taken": self.unused_prefills,
            "cold_sends": sum(self.cold_sends.values()),
            "cold_sends_most_at_one": max(self.cold_sends.values(), default=0),
            "events": dict(sorted(self.events.items())),
        }


def quantiles(values: list[float]) -> dict[str, float]:
    """Median, 90th and 99th percentile, by nearest rank."""
    ordered = sorted(values)
    return {f"p{part}": ordered[min(len(ordered) - 1, len(ordered) * part // 100)] for part in (50, 90, 99)}


def count(events: Iterable[dict[str, Any]], window_s: float) -> dict[str, Any]:
    """The counts of one run: by window, in total, and some costs per request."""
    data = sorted(events, key=lambda each: each["at"])
    if not data:
        return {"windows": {}, "whole": Window().data(), "conductors": 0}
    began_s = data[0]["at"]
    start_times_s = {
        server: started_ms / 1000 for each in data for server, started_ms in each.get("fresh", {}).items()
    }
    windows, overall = defaultdict[int, Window](Window), Window()
    for each in data:
        arrived_s = each["at"] - (each["ms"] / 1000 if each["event"] == "request_ended" else 0.0)
        for window in (windows[int(max(0.0, arrived_s - began_s) // window_s)], overall):
            if each["event"] == "request_ended":
                _add(window, each, arrived_s, start_times_s)
            else:
                window.events[each["event"]] += 1
    discovery_calls = sum(overall.events[name] for name in DISCOVERY_EVENTS) + overall.events["ready"]
    total = max(1, sum(overall.requests.values()))
    return {
        "conductors": len({each.get("conductor") for each in data}),
        "windows": {f"{number * window_s:g}": windows[number].data() for number in sorted(windows)},
        "whole": overall.data(),
        "a_request": {
            "connects_failed": round(overall.attempts["connect failed"] / total, 4),
            "list_calls": round(discovery_calls / total, 4),
            "releases": round(overall.events["release_ended"] / total, 4),
        },
    }


def _add(window: Window, ended: dict[str, Any], arrived_s: float, start_times_s: dict[str, float]) -> None:
    name = f"class {ended['class']}"
    window.requests[f"{name} {ended['how']}"] += 1
    if ended.get("first_ms") is not None:
        window.first_ms[name].append(ended["first_ms"])
    outcomes, at_s = [str(outcome) for _, outcome, *_ in ended["attempts"]], arrived_s
    for server, outcome, took_ms, *_ in ended["attempts"]:
        window.attempts[str(outcome)] += 1
        if server in start_times_s and at_s - start_times_s[server] < COLD_DURATION_S:
            window.cold_sends[server] += 1
        at_s += took_ms / 1000
    window.sends += len(outcomes)
    prefills = outcomes.count("read")
    window.repeats += max(0, len(outcomes) - 1 - min(1, prefills))
    window.unused_prefills += prefills - (prefills > 0 and outcomes[-1] in ("ok", "reset", "None"))


@click.command(help=__doc__)
@click.argument("folder", type=click.Path(exists=True, file_okay=False, path_type=Path))
@click.option("--window-s", default=5.0, show_default=True, help="Length of a window, in s.")
def main(folder: Path, window_s: float) -> None:
    """Print the counts."""
    click.echo(orjson.dumps(count(lines(folder), window_s), option=orjson.OPT_INDENT_2))


if __name__ == "__main__":
    main()
