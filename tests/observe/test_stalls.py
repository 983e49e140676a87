"""The stall detector, with a simulated clock and in the running program."""

from __future__ import annotations

import gc
import os
import signal
import time
from collections.abc import Iterator
from pathlib import Path
from typing import Any

import pytest

from ringledge.observe import stalls
from ringledge.observe.logging import log
from ringledge.observe.stalls import StallDetector
from tests.loopback import WAIT_S, Node, take

STOPPED_S = 1.2  # far longer than a busy machine delays the event loop


class DetectorHarness:
    """A stall detector with a simulated clock and recorded log lines."""

    def __init__(self, patch: pytest.MonkeyPatch) -> None:
        self.now_s, self.lines = 1000.0, list[dict[str, Any]]()
        patch.setattr(log, "warning", lambda event, **fields: self.lines.append({"event": event} | fields))
        self.detector = StallDetector(lambda: self.now_s)

    def heartbeat(self, after_s: float) -> list[dict[str, Any]]:
        self.now_s += after_s
        self.detector.record_heartbeat()
        lines, self.lines = self.lines, []
        return lines


@pytest.fixture
def harness(monkeypatch: pytest.MonkeyPatch) -> Iterator[DetectorHarness]:
    before = list(gc.callbacks)
    yield DetectorHarness(monkeypatch)
    gc.callbacks[:] = before


def test_a_heartbeat_over_200_ms_late_is_logged_once_with_the_delay(harness: DetectorHarness) -> None:
    assert not harness.heartbeat(0)
    assert not harness.heartbeat(0.1)
    assert not harness.heartbeat(0.299)
    (line,) = harness.heartbeat(0.35)
    assert (line["event"], line["away_ms"]) == ("stalled", pytest.approx(250))
    assert not harness.heartbeat(0.1)


def test_the_longest_event_is_reset_at_each_heartbeat(harness: DetectorHarness) -> None:
    harness.heartbeat(0)
    harness.detector.longest_event_s, harness.detector.longest_event = 0.2, "Members"
    harness.heartbeat(0.1)
    harness.detector.longest_event_s, harness.detector.longest_event = 0.05, "Request"
    (line,) = harness.heartbeat(1)
    assert (line["longest"], line["longest_ms"]) == ("Request", pytest.approx(50))


def test_garbage_collection_is_timed(harness: DetectorHarness) -> None:
    harness.heartbeat(0)
    garbage: list[Any] = [[] for _ in range(20_000)]
    gc.collect()
    (line,) = harness.heartbeat(1)
    assert garbage and line["collected_ms"] > 0


@pytest.mark.parametrize(("text", "withheld_ms"), [(None, None), ("0 0 0\n", None), ("5 0 3\n", 0.0)])
def test_time_not_scheduled_is_null_where_the_kernel_does_not_count_it(
    harness: DetectorHarness,
    monkeypatch: pytest.MonkeyPatch,
    tmp_path: Path,
    text: str | None,
    withheld_ms: float | None,
) -> None:
    path = tmp_path / "schedstat"
    if text is not None:
        path.write_text(text)
    monkeypatch.setattr(stalls, "SCHEDSTAT", str(path))
    harness.heartbeat(0)
    (line,) = harness.heartbeat(1)
    assert line["withheld_ms"] == withheld_ms


def stop_for_a_while(node: Node) -> None:
    """Stop the program by SIGSTOP for STOPPED_S."""
    pid, until = node.process.pid, time.monotonic() + WAIT_S
    os.kill(pid, signal.SIGSTOP)
    while Path(f"/proc/{pid}/stat").read_text().rsplit(")", 1)[1].split()[0] != "T":
        assert time.monotonic() < until
    time.sleep(STOPPED_S)  # the simulated fault
    os.kill(pid, signal.SIGCONT)


def test_a_stopped_program_logs_one_line_with_the_duration(tmp_path: Path) -> None:
    with Node(tmp_path) as node:
        client = node.post("a1")
        node.reader[0].next().read()
        node.writer[0].next().serve("x")
        take(client)
        stalls_logged = list[dict[str, Any]]()
        for _ in range(2):  # the second stall shows that the first one was logged only once
            stop_for_a_while(node)
            line = node.logged("stalled")
            while line["away_ms"] < 1000 * (STOPPED_S - 0.1):  # skips stalls caused by a busy machine
                line = node.logged("stalled")
            stalls_logged.append(line)
            # The logged time may lack up to a heartbeat interval at each end; the other 0.1 s is a margin.
            assert line["waited_ms"] > 1000 * (STOPPED_S - 0.3)
            assert line["why"] == "waited" or (line["withheld_ms"] or 0) > line["waited_ms"]
        assert all(line["away_ms"] < 1000 * (STOPPED_S + WAIT_S) for line in stalls_logged)
        assert stalls_logged[1]["at"] - stalls_logged[0]["at"] > STOPPED_S - 0.1
