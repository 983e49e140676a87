"""What the conductors of a fleet did together, counted from their log lines alone. JSON.

Reads every file of a folder, one conductor each; a line is one JSON object, behind a time or nothing.
Requests are counted in windows by their arrival, on the conductors' own clock, from the first line of all.
"""

from __future__ import annotations

from collections import Counter, defaultdict
from collections.abc import Iterable, Iterator
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any

import click
import orjson

COLD_S = 13.0  # since its start, that a server counts as cold here
CALLS = (
    "endpoint_watch_failed",
    "endpoint_watch_timed_out",
    "endpoint_watch_ended",
    "endpoint_list_malformed",
    "endpoint_list_fetch_failed",
)


def lines(folder: Path) -> Iterator[dict[str, Any]]:
    """Every event of every conductor; what is no JSON object (a traceback, half a line) is passed over."""
    for path in sorted(folder.iterdir()):
        for line in path.read_bytes().splitlines():
            begin = line.find(b"{")
            try:
                told = orjson.loads(line[begin:]) if begin >= 0 else None
            except orjson.JSONDecodeError:
                continue
            if isinstance(told, dict) and "event" in told and "at" in told:
                yield told


@dataclass(slots=True)
class Window:
    """What began in one stretch of time."""

    requests: Counter[str] = field(default_factory=Counter)  # by class and how they ended
    first_ms: defaultdict[str, list[float]] = field(default_factory=lambda: defaultdict(list))  # by class
    attempts: Counter[str] = field(default_factory=Counter)  # by outcome
    sends: int = 0
    repeats: int = 0  # sends of the same step behind the first
    reads_not_taken: int = 0  # reads that ended well, and no writer began their answer
    cold_sends: Counter[str] = field(default_factory=Counter)  # by server
    events: Counter[str] = field(default_factory=Counter)

    def told(self) -> dict[str, Any]:
        """For JSON."""
        total = sum(self.requests.values())
        return {
            "requests": dict(sorted(self.requests.items())),
            "first_token_ms": {name: quantiles(values) for name, values in sorted(self.first_ms.items())},
            "attempts": dict(sorted(self.attempts.items())),
            "sends_a_request": round(self.sends / total, 3) if total else None,
            "repeats": self.repeats,
            "reads_not_taken": self.reads_not_taken,
            "cold_sends": sum(self.cold_sends.values()),
            "cold_sends_most_at_one": max(self.cold_sends.values(), default=0),
            "events": dict(sorted(self.events.items())),
        }


def quantiles(values: list[float]) -> dict[str, float]:
    """Median, 90th and 99th percentile, by nearest rank."""
    ordered = sorted(values)
    return {f"p{part}": ordered[min(len(ordered) - 1, len(ordered) * part // 100)] for part in (50, 90, 99)}


def count(events: Iterable[dict[str, Any]], window_s: float) -> dict[str, Any]:
    """The table of one day: windows, the whole of it, and what each request cost beside its sends."""
    told = sorted(events, key=lambda each: each["at"])
    if not told:
        return {"windows": {}, "whole": Window().told(), "conductors": 0}
    began_s = told[0]["at"]
    starts = {server: since / 1000 for each in told for server, since in each.get("fresh", {}).items()}
    windows, whole = defaultdict[int, Window](Window), Window()
    for each in told:
        arrived_s = each["at"] - (each["ms"] / 1000 if each["event"] == "request_ended" else 0.0)
        for window in (windows[int(max(0.0, arrived_s - began_s) // window_s)], whole):
            if each["event"] == "request_ended":
                _add(window, each, arrived_s, starts)
            else:
                window.events[each["event"]] += 1
    asked = sum(whole.events[name] for name in CALLS) + whole.events["ready"]
    total = max(1, sum(whole.requests.values()))
    return {
        "conductors": len({each.get("conductor") for each in told}),
        "windows": {f"{number * window_s:g}": windows[number].told() for number in sorted(windows)},
        "whole": whole.told(),
        "a_request": {
            "connects_failed": round(whole.attempts["connect failed"] / total, 4),
            "list_calls": round(asked / total, 4),
            "releases": round(whole.events["release_ended"] / total, 4),
        },
    }


def _add(window: Window, ended: dict[str, Any], arrived_s: float, starts: dict[str, float]) -> None:
    name = f"class {ended['class']}"
    window.requests[f"{name} {ended['how']}"] += 1
    if ended.get("first_ms") is not None:
        window.first_ms[name].append(ended["first_ms"])
    outcomes, at_s = [str(outcome) for _, outcome, *_ in ended["attempts"]], arrived_s
    for server, outcome, took_ms, *_ in ended["attempts"]:
        window.attempts[str(outcome)] += 1
        if server in starts and at_s - starts[server] < COLD_S:
            window.cold_sends[server] += 1
        at_s += took_ms / 1000
    window.sends += len(outcomes)
    reads = outcomes.count("read")
    window.repeats += max(0, len(outcomes) - 1 - min(1, reads))
    window.reads_not_taken += reads - (reads > 0 and outcomes[-1] in ("ok", "reset", "None"))


@click.command(help=__doc__)
@click.argument("folder", type=click.Path(exists=True, file_okay=False, path_type=Path))
@click.option("--window-s", default=5.0, show_default=True, help="Length of a window, in s.")
def main(folder: Path, window_s: float) -> None:
    """Print the table."""
    click.echo(orjson.dumps(count(lines(folder), window_s), option=orjson.OPT_INDENT_2))


if __name__ == "__main__":
    main()
