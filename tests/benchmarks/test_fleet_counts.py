"""The table of a fleet is computed from its log lines."""

from __future__ import annotations

import json
from pathlib import Path
from typing import Any

import orjson
from click.testing import CliRunner

from benchmarks.fleet_counts import main


def ended(at: float, ms: float, attempts: list[list[Any]], **more: Any) -> dict[str, Any]:
    fields = {"how": "served", "first_ms": ms, "class": 0} | more
    return {"at": at, "event": "request_ended", "ms": ms, "attempts": attempts} | fields


def test_table_of_two_routers_counts_requests_and_their_attempts(tmp_path: Path) -> None:
    first = [
        {"at": 100.0, "event": "ready"},
        {"at": 101.0, "event": "endpoint_list_received", "fresh": {"r9": 100_500.0}},
        {"at": 101.0, "event": "endpoint_watch_failed"},
        ended(102.0, 200.0, [["r1", "read", 100.0], ["w1", "ok", 100.0]]),
        ended(103.0, 300.0, [["r1", "connect failed", 1.0], ["r9", "read", 99.0], ["w1", "ok", 200.0]]),
    ]
    second = [
        {"at": 100.1, "event": "ready"},
        ended(107.0, 900.0, [["r2", "read", 400.0], ["w2", "cancelled", 500.0]], how="gone", first_ms=None),
        ended(114.5, 500.0, [["r9", "read", 100.0], ["w1", "ok", 400.0]], **{"class": 1}),
        {"at": 114.6, "event": "release_ended"},
    ]
    for name, events in (("n1", first), ("n2", second)):
        text = "\n".join(f"0.5 {json.dumps(each | {'conductor': name})}" for each in events)
        (tmp_path / f"{name}.log").write_text(text + '\n0.6 {"at": 1, "event\nTraceback (most recent):\n')
    done = CliRunner().invoke(main, [str(tmp_path)])
    assert done.exit_code == 0, done.output
    table = orjson.loads(done.output)
    assert table["conductors"] == 2 and list(table["windows"]) == ["0", "5", "10"]
    opening, whole = table["windows"]["0"], table["whole"]
    assert opening["requests"] == {"class 0 served": 2}
    assert opening["first_token_ms"]["class 0"]["p50"] == 300.0
    assert opening["repeats"] == 1 and opening["cold_sends"] == 1 and opening["reads_not_taken"] == 0
    assert table["windows"]["5"]["reads_not_taken"] == 1 and table["windows"]["5"]["repeats"] == 0
    assert table["windows"]["10"]["cold_sends"] == 0  # r9 has been running for more than 13 s
    assert whole["attempts"] == {"cancelled": 1, "connect failed": 1, "ok": 3, "read": 4}
    assert whole["sends_a_request"] == 2.25 and whole["requests"]["class 1 served"] == 1
    assert table["a_request"] == {"connects_failed": 0.25, "list_calls": 0.75, "releases": 0.25}


def test_folder_without_events_gives_an_empty_table(tmp_path: Path) -> None:
    (tmp_path / "n1.log").write_text("started\n")
    done = CliRunner().invoke(main, [str(tmp_path)])
    assert done.exit_code == 0 and orjson.loads(done.output)["conductors"] == 0
