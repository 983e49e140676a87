"""Two deployments with the same folder and name, in turn or side by side, do not affect each other."""

from __future__ import annotations

import copy
import http.client
import json
from collections.abc import Iterator
from pathlib import Path

import pytest

from tests.loopback import SETTINGS, Answer, Node, Process, take

BODY = b'{"model":"chat","stream":true,"messages":[]}'

# The indices stand for other classes, tenants and zones than in SETTINGS.
OTHER_SETTINGS = copy.deepcopy(SETTINGS)
OTHER_SETTINGS["azs"] = ["north", "east"]
OTHER_SETTINGS["classes"] = [
    {"name": "letter", "deadline_ms": 3000.0, "goal_time_ms": 900.0, "effect": "fragile", "worth": 1.0},
    {"name": "query", "deadline_ms": 2000.0, "goal_time_ms": 700.0, "effect": "retryable", "worth": 4.0},
    {"name": "note", "deadline_ms": 4000.0, "goal_time_ms": 1500.0, "effect": "retryable", "worth": 1.0},
]
OTHER_SETTINGS["tenants"] = [{"name": "bank", "fraction": 0.5}, {"name": "farm", "fraction": 0.5}]


@pytest.fixture
def node(tmp_path: Path) -> Iterator[Node]:
    """Start the first deployment, in which an operator has excluded the only prefill server."""
    with Node(tmp_path, operator=True) as node:
        assert node.call("POST", "/instances/r0/maint").status == 200
        yield node


def start_second(node: Node) -> Process:
    """Start a process of the second deployment, with the same name and folder but other settings."""
    node.configure(settings=OTHER_SETTINGS, listen="127.0.0.1:0")
    return node.successor()


def send(process: Process, name: str, kind: str, caller: str) -> http.client.HTTPConnection:
    client = process.client()
    headers = {"X-Call-Id": name, "X-Call-Class": kind, "X-Caller": caller, "X-Budget-Ms": "1900"}
    client.request("POST", "/v1/chat/completions", BODY, headers)
    return client


def serve_request(node: Node, process: Process, name: str, kind: str, caller: str) -> Answer:
    client = send(process, name, kind, caller)
    node.reader[0].next().read()
    node.writer[0].next().serve("x")
    return take(client)


def all_answers(node: Node, process: Process) -> list[tuple[int, bytes]]:
    """Return the second deployment's answers to its own classes and to those of the first."""
    kinds = ("letter", "query", "note")
    answers = [serve_request(node, process, f"{kind}-1", kind, "bank") for kind in kinds]
    answers.append(take(send(process, "b1", "booking", "bank")))
    answers.append(take(send(process, "b2", "letter", "nobody")))
    return [(answer.status, answer.body) for answer in answers]


def answers_in_own_folder(folder: Path) -> list[tuple[int, bytes]]:
    """Return the answers of the second deployment in a folder of its own."""
    folder.mkdir()
    with Node(folder, operator=True) as node:
        node.kill()
        process = start_second(node)
        return all_answers(node, process)


def logged_before_ready(process: Process) -> list[str]:
    return [json.dumps(line) for line in process.skipped_lines]


@pytest.mark.parametrize("first_is", ["killed", "running"])
def test_deployments_with_other_settings_share_no_state(node: Node, first_is: str, tmp_path: Path) -> None:
    address = node.listening["platform"]
    if first_is == "killed":
        node.kill()
    process = start_second(node)
    lines = logged_before_ready(process)
    assert any("server_overrides_unreadable" in line and "other settings" in line for line in lines)
    assert process.listening["platform"] != address
    assert all_answers(node, process) == answers_in_own_folder(tmp_path / "alone")
    assert process.stats()["relay.answered.letter"] == "1|c"


def test_first_deployment_keeps_its_overrides_beside_another(node: Node) -> None:
    process = start_second(node)
    assert process.call("POST", "/instances/w0/maint").status == 200  # rewrites the file
    client = node.post("a1")
    assert take(client).status == 503  # its only prefill server is still excluded
    assert node.call("POST", "/instances/r0/ready").status == 200
    client = node.post("a2")
    node.reader[0].next().read()
    node.writer[0].next().serve("x")  # the second deployment's override of w0 has no effect
    assert take(client).status == 200


def test_process_with_other_settings_takes_over_no_listener(node: Node) -> None:
    """Even with the same address, both processes listen and the first one is not told to shut down."""
    node.configure(settings=OTHER_SETTINGS, listen=node.listening["platform"])
    process = node.successor()
    assert any("predecessor_unavailable" in line for line in logged_before_ready(process))
    assert node.logged("successor_lost")["error"]
    assert process.process.poll() is None and node.process.poll() is None
    process.kill()
    assert take(node.post("a1")).status == 503
