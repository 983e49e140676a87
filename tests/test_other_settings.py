"""Two deployments in one folder under one name, in turn and side by side: neither shows in the other."""

from __future__ import annotations

import copy
import http.client
import json
from collections.abc import Iterator
from pathlib import Path

import pytest

from tests.loopback import SETTINGS, Answer, Node, Process, take

BODY = b'{"model":"chat","stream":true,"messages":[]}'

# The same indices are other classes, tenants and zones here.
OTHER = copy.deepcopy(SETTINGS)
OTHER["azs"] = ["north", "east"]
OTHER["classes"] = [
    {"name": "letter", "deadline_ms": 3000.0, "goal_time_ms": 900.0, "effect": "fragile", "worth": 1.0},
    {"name": "query", "deadline_ms": 2000.0, "goal_time_ms": 700.0, "effect": "retryable", "worth": 4.0},
    {"name": "note", "deadline_ms": 4000.0, "goal_time_ms": 1500.0, "effect": "retryable", "worth": 1.0},
]
OTHER["tenants"] = [{"name": "bank", "fraction": 0.5}, {"name": "farm", "fraction": 0.5}]


@pytest.fixture
def node(tmp_path: Path) -> Iterator[Node]:
    """The first deployment, in which operators have left the only prefill server out."""
    with Node(tmp_path, operator=True) as node:
        assert node.call("POST", "/instances/r0/maint").status == 200
        yield node


def second(node: Node) -> Process:
    """The other deployment's process: the same name and folder, settings of its own."""
    node.configure(settings=OTHER, listen="127.0.0.1:0")
    return node.successor()


def ask(process: Process, name: str, kind: str, caller: str) -> http.client.HTTPConnection:
    client = process.client()
    told = {"X-Call-Id": name, "X-Call-Class": kind, "X-Caller": caller, "X-Budget-Ms": "1900"}
    client.request("POST", "/v1/chat/completions", BODY, told)
    return client


def serves(node: Node, process: Process, name: str, kind: str, caller: str) -> Answer:
    client = ask(process, name, kind, caller)
    node.reader[0].next().read()
    node.writer[0].next().serve("x")
    return take(client)


def all_answers(node: Node, process: Process) -> list[tuple[int, bytes]]:
    """What the other deployment's clients get: its classes served, the first one's unknown."""
    kinds = ("letter", "query", "note")
    answers = [serves(node, process, f"{kind}-1", kind, "bank") for kind in kinds]
    answers.append(take(ask(process, "b1", "booking", "bank")))
    answers.append(take(ask(process, "b2", "letter", "nobody")))
    return [(answer.status, answer.body) for answer in answers]


def alone(folder: Path) -> list[tuple[int, bytes]]:
    """The same of a deployment that has its folder for itself."""
    folder.mkdir()
    with Node(folder, operator=True) as node:
        node.kill()
        process = second(node)
        return all_answers(node, process)


def logged_before_ready(process: Process) -> list[str]:
    return [json.dumps(line) for line in process.passed]


@pytest.mark.parametrize("first_is", ["killed", "running"])
def test_nothing_of_one_deployment_shows_in_another(node: Node, first_is: str, tmp_path: Path) -> None:
    first = node.listening["platform"]
    if first_is == "killed":
        node.kill()
    process = second(node)
    said = logged_before_ready(process)
    assert any("server_overrides_unreadable" in line and "other settings" in line for line in said)
    assert process.listening["platform"] != first
    assert all_answers(node, process) == alone(tmp_path / "alone")
    assert process.figures()["relay.answered.letter"] == "1|c"


def test_the_first_keeps_what_is_its_own_beside_the_other(node: Node) -> None:
    process = second(node)
    assert process.call("POST", "/instances/w0/maint").status == 200  # writes the file anew
    client = node.post("a1")
    assert take(client).status == 503  # its only prefill server is still out
    assert node.call("POST", "/instances/r0/ready").status == 200
    client = node.post("a2")
    node.reader[0].next().read()
    node.writer[0].next().serve("x")  # the other's word about w0 is not its own
    assert take(client).status == 200


def test_a_process_under_other_settings_takes_no_listener_over(node: Node) -> None:
    """Its address may be the same: both are bound, and the first is not told to leave."""
    node.configure(settings=OTHER, listen=node.listening["platform"])
    process = node.successor()
    assert any("predecessor_unavailable" in line for line in logged_before_ready(process))
    assert node.logged("successor_lost")["error"]
    assert process.process.poll() is None and node.process.poll() is None
    process.kill()
    assert take(node.post("a1")).status == 503
