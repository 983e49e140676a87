"""A successor uses its predecessor's clock offset, even if the wall clock was stepped meanwhile."""

from __future__ import annotations

import json
import time
from pathlib import Path

import pytest

from tests.loopback import Node, Process, read, take

HOURS_S = 2 * 3600.0


@pytest.mark.parametrize("step_s", [-HOURS_S, HOURS_S])
def test_a_handed_over_snapshot_is_valid_after_a_step_of_the_wall_clock(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch, step_s: float
) -> None:
    """Regression: snapshot times in the future turned tiny delays into 10^300 ms; no request was accepted."""
    step = {"kind": "wall_step", "target": "n1", "at_s": 0.0, "until_s": 0.0, "detail": {"step_s": step_s}}
    faults = tmp_path / "faults.json"
    faults.write_text(
        json.dumps(
            {
                "plan": {"troubles": [step], "seed": 1},
                "start_s": time.monotonic(),
                "host": "127.0.0.1",
                "hung_port": 9,
                "ports": {},
            }
        )
    )
    monkeypatch.setenv("SOAK_FAULTS", str(faults))
    monkeypatch.setenv("SOAK_CONDUCTOR", "n1")
    with Node(tmp_path) as node:
        for number in range(6):
            client, call = read(node, f"a{number}")
            call.serve("x")
            assert take(client).status == 200
        node.configure(operator="127.0.0.3:0")
        successor = Process()
        successor.module = "benchmarks.soak.child"
        node.extra_processes.append(successor)
        successor.start(node.folder)
        successor.logged("listeners_taken_over")
        node.kill()
        node.listening = successor.listening
        for number in range(6):
            client, call = read(node, f"b{number}")
            call.serve("x")
            assert take(client).status == 200
