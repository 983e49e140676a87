"""The recorder of stalls: on a clock of the test's own, and in the real program."""

from __future__ import annotations

import gc
import os
import signal
import time
from collections.abc import Iterator
from pathlib import Path
from typing import Any

import pytest

from ringledge.observe import stalls as module
from ringledge.observe.logging import log
from ringledge.observe.stalls import Stalls
from tests.loopback import WAIT_S, Node, take

STOPPED_S = 1.2  # far longer than a busy machine holds a loop up by itself


class Bench:
    """A recorder whose lines and clock are the test's."""

    def __init__(self, patch: pytest.MonkeyPatch) -> None:
        self.now_s, self.lines = 1000.0, list[dict[str, Any]]()
        patch.setattr(log, "warning", lambda event, **told: self.lines.append({"event": event} | told))
        self.stalls = Stalls(lambda: self.now_s)

    def beat(self, after_s: float) -> list[dict[str, Any]]:
        self.now_s += after_s
        self.stalls.beat()
        told, self.lines = self.lines, []
        return told


@pytest.fixture
def bench(monkeypatch: pytest.MonkeyPatch) -> Iterator[Bench]:
    before = list(gc.callbacks)
    yield Bench(monkeypatch)
    gc.callbacks[:] = before


def test_a_beat_over_200_ms_late_is_told_once_with_how_late(bench: Bench) -> None:
    assert not bench.beat(0)
    assert not bench.beat(0.1)
    assert not bench.beat(0.299)
    (line,) = bench.beat(0.35)
    assert (line["event"], line["away_ms"]) == ("stalled", pytest.approx(250))
    assert not bench.beat(0.1)


def test_the_longest_event_is_of_this_beat_alone(bench: Bench) -> None:
    bench.beat(0)
    bench.stalls.longest_s, bench.stalls.longest = 0.2, "Members"
    bench.beat(0.1)
    bench.stalls.longest_s, bench.stalls.longest = 0.05, "Request"
    (line,) = bench.beat(1)
    assert (line["longest"], line["longest_ms"]) == ("Request", pytest.approx(50))


def test_the_collector_is_timed(bench: Bench) -> None:
    bench.beat(0)
    kept: list[Any] = [[] for _ in range(20_000)]
    gc.collect()
    (line,) = bench.beat(1)
    assert kept and line["collected_ms"] > 0


@pytest.mark.parametrize(("text", "withheld_ms"), [(None, None), ("0 0 0\n", None), ("5 0 3\n", 0.0)])
def test_what_the_kernel_does_not_count_is_null(
    bench: Bench, monkeypatch: pytest.MonkeyPatch, tmp_path: Path, text: str | None, withheld_ms: float | None
) -> None:
    path = tmp_path / "schedstat"
    if text is not None:
        path.write_text(text)
    monkeypatch.setattr(module, "SCHEDSTAT", str(path))
    bench.beat(0)
    (line,) = bench.beat(1)
    assert line["withheld_ms"] == withheld_ms


def stop(node: Node) -> None:
    """Keep the program stopped for a while."""
    pid, until = node.process.pid, time.monotonic() + WAIT_S
    os.kill(pid, signal.SIGSTOP)
    while Path(f"/proc/{pid}/stat").read_text().rsplit(")", 1)[1].split()[0] != "T":
        assert time.monotonic() < until
    time.sleep(STOPPED_S)  # the fault itself
    os.kill(pid, signal.SIGCONT)


def test_a_stopped_program_says_for_how_long_in_one_line(tmp_path: Path) -> None:
    with Node(tmp_path) as node:
        client = node.post("a1")
        node.reader[0].next().read()
        node.writer[0].next().serve("x")
        take(client)
        told = list[dict[str, Any]]()
        for _ in range(2):  # the second shows that nothing more came of the first
            stop(node)
            line = node.logged("stalled")
            while line["away_ms"] < 1000 * (STOPPED_S - 0.1):  # the machine's own, where it is busy
                line = node.logged("stalled")
            told.append(line)
            assert line["waited_ms"] > 1000 * (STOPPED_S - 0.3)  # a beat's time at both ends, and a little
            assert line["why"] == "waited" or (line["withheld_ms"] or 0) > line["waited_ms"]
        assert all(line["away_ms"] < 1000 * (STOPPED_S + WAIT_S) for line in told)
        assert told[1]["at"] - told[0]["at"] > STOPPED_S - 0.1
