"""A start that finds no free descriptors succeeds once there are some."""

from __future__ import annotations

import json
import time
from pathlib import Path

import pytest

from tests.loopback import Node, Process, read, take

OUTAGE_S = 1.0  # how long the system has no free descriptors


def test_a_start_without_descriptors_succeeds_once_there_are_some(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    with Node(tmp_path) as node:
        node.configure(listen=node.listening["platform"])
        node.kill()
        fault = {"kind": "call_fails", "target": "n1", "at_s": 0.0, "until_s": OUTAGE_S}
        fault |= {"detail": {"call": "descriptors", "errno": "ENFILE", "chance": 1.0}}
        fault_plan = {"plan": {"troubles": [fault], "seed": 1}, "start_s": time.monotonic()}
        fault_plan |= {"host": "127.0.0.1", "hung_port": 9, "ports": {}}
        faults = tmp_path / "faults.json"
        faults.write_text(json.dumps(fault_plan))
        monkeypatch.setenv("SOAK_FAULTS", str(faults))
        monkeypatch.setenv("SOAK_CONDUCTOR", "n1")
        process = Process()
        process.module = "benchmarks.soak.child"
        node.extra_processes.append(process)
        process.start(node.folder)
        node.listening = process.listening
        client, call = read(node)
        call.serve("x")
        assert take(client).status == 200
