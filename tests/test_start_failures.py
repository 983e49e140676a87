"""A start in a moment without descriptors comes about once that is over."""

from __future__ import annotations

import json
import time
from pathlib import Path

import pytest

from tests.loopback import Node, Process, read, take

WITHOUT_S = 1.0


def test_a_start_without_descriptors_comes_about_once_there_are_some(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    with Node(tmp_path) as node:
        node.configure(listen=node.listening["platform"])
        node.kill()
        none = {"kind": "call_fails", "target": "n1", "at_s": 0.0, "until_s": WITHOUT_S}
        none |= {"detail": {"call": "descriptors", "errno": "ENFILE", "chance": 1.0}}
        told = {"plan": {"troubles": [none], "seed": 1}, "start_s": time.monotonic()}
        told |= {"host": "127.0.0.1", "hung_port": 9, "ports": {}}
        faults = tmp_path / "faults.json"
        faults.write_text(json.dumps(told))
        monkeypatch.setenv("SOAK_FAULTS", str(faults))
        monkeypatch.setenv("SOAK_CONDUCTOR", "n1")
        again = Process()
        again.module = "benchmarks.soak.child"
        node.later.append(again)
        again.start(node.folder)
        node.listening = again.listening
        client, call = read(node)
        call.serve("x")
        assert take(client).status == 200
