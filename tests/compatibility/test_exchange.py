"""Hand-over works between processes of different versions, whichever of them is the older one."""

from __future__ import annotations

from pathlib import Path
from typing import Any

import orjson
import pytest

from tests.compatibility.exchange_files import (
    OPERATORS_FILE,
    connect_as_successor,
    serve_one,
    shape,
    started_beside_predecessor,
)
from tests.compatibility.golden import path
from tests.loopback import WAIT_S, Node


def golden() -> dict[str, Any]:
    contents: dict[str, Any] = orjson.loads(path("exchange.json").read_bytes())
    return contents


@pytest.fixture
def node(tmp_path: Path) -> Any:
    with Node(tmp_path, operator=True) as node:
        yield node


def test_a_process_answers_an_older_successor(node: Node) -> None:
    assert serve_one(node, "a1") == 200
    peer, answer, learned = connect_as_successor(node, golden()["question"].encode())
    assert answer["settings"] == golden()["fingerprint"]
    assert shape({**answer, "listeners": 1}) == golden()["answer"]
    assert [shape(each) for each in learned if "learned" in each] == golden()["learned"]
    peer.send(orjson.dumps({"serving": answer["listeners"]}))
    client = node.post("b1")  # the node no longer accepts, and the successor never does
    peer.send(b'{"open":["z1"],"ended":[]}')
    peer.send(b'{"open":[],"ended":["z1"]}')
    peer.close()  # the node resumes accepting
    node.reader[0].next().read()
    node.writer[0].next().serve("x")
    assert client.getresponse().status == 200


def test_an_older_process_hears_what_is_open(node: Node) -> None:
    peer, _, _ = connect_as_successor(node, golden()["question"].encode())
    client = node.post("b1")
    assert peer.message("open") == golden()["opened"]
    peer.close()
    client.close()


def test_the_processes_tell_each_other_which_requests_may_have_run(node: Node) -> None:
    peer, _, _ = connect_as_successor(node, golden()["question"].encode())
    client = node.post("b1", X_Call_Class="booking")
    node.reader[0].next().read()
    node.writer[0].next().serve("x")
    assert client.getresponse().status == 200
    assert peer.message("ran") == {"open": [], "ended": ["b1"], "ran": ["b1"]}
    peer.send(b'{"open":["z1"],"ended":[]}')
    peer.send(b'{"open":[],"ended":["z1"],"ran":["z1"]}')
    assert node.post("z1", X_Call_Class="booking").getresponse().status == 400
    peer.close()


def test_a_successor_under_other_settings_gets_nothing(node: Node) -> None:
    from tests.compatibility.handover_peer import connect

    peer = connect(node.folder)
    peer.send(orjson.dumps({"want": "listeners", "settings": "00"}))
    assert peer.receive() == (b"", [])


def test_a_process_takes_over_from_an_older_one(tmp_path: Path) -> None:
    with started_beside_predecessor(tmp_path) as node:
        assert node.question.decode() == golden()["question"]
        assert shape(node.serving) == golden()["serving"]
        node.peer.send(b'{"open":["a1"],"ended":[]}')
        assert serve_one(node, "b1") == 200
        assert node.peer.message("open") == golden()["opened"]


def test_the_operators_file_is_written_as_before(node: Node) -> None:
    assert node.call("POST", "/instances/w0/maint").status == 200
    assert (node.folder / OPERATORS_FILE).read_text() == golden()["operators_file"]


@pytest.mark.parametrize("text", [golden()["operators_file"], '["w0"]'], ids=["fingerprint", "bare list"])
def test_an_older_operators_file_is_followed(text: str, tmp_path: Path) -> None:
    (tmp_path / OPERATORS_FILE).write_text(text)
    with Node(tmp_path, operator=True, writers=2) as node:
        for name in ("a1", "a2"):
            client = node.post(name)
            node.reader[0].next().read()
            node.writer[1].calls.get(timeout=WAIT_S).serve("x")
            assert client.getresponse().status == 200
        assert node.writer[0].attempts() == 0


def test_an_operators_file_of_other_settings_is_left_alone(tmp_path: Path) -> None:
    (tmp_path / OPERATORS_FILE).write_text('{"settings":"00","out":["w0"]}')
    with Node(tmp_path, operator=True) as node:
        assert serve_one(node, "a1") == 200
