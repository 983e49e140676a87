"""Shutdown, updates of the endpoint list and reload of the settings, over real sockets."""

import json
import signal
import time
from pathlib import Path

import pytest

from tests.loopback import Node, StandIn, read, take


def test_shutdown_completes_accepted_requests(node: Node) -> None:
    client, call = read(node)
    idle = node.client()
    idle.connect()
    node.process.send_signal(signal.SIGTERM)
    node.logged("stopping")
    probe = node.client()
    probe.request("GET", "/ready")
    assert take(probe).status == 503
    late = node.post("a2")  # still accepted and answered
    node.reader[0].next().read()
    node.writer[0].next().serve("late")
    assert b"late" in take(late).body
    call.serve("x")
    assert take(client).status == 200
    assert node.process.wait(10) == 0


@pytest.mark.parametrize(("name", "status"), [("booking", 500), ("query", 503)])
def test_requests_without_a_stream_are_answered_before_the_shutdown_deadline(
    node: Node, name: str, status: int
) -> None:
    """The class's deadline of 5 s is limited to 3 s at shutdown; the kill follows 0.7 s later."""
    client = node.post("a1", X_Call_Class=name, X_Budget_Ms="60000")
    node.reader[0].next().read()
    node.writer[0].next()  # does not answer
    node.process.send_signal(signal.SIGTERM)
    begun = time.monotonic()
    answer = take(client)
    assert answer.status == status and (status == 500 or float(answer.headers["retry-after"]) > 0)
    assert node.deleted.get(timeout=10).path.endswith("/a1")
    assert node.process.wait(10) == 0 and time.monotonic() - begun < 10  # not the 60 s that the client waits


def test_server_with_unknown_status_gets_no_requests(tmp_path: Path) -> None:
    with Node(tmp_path, writers=2) as node:
        node.watches.get(timeout=10).chunk(json.dumps(node.listing(8, w0="resting")) + "\n")
        while node.logged("endpoint_list_received")["index"] != 8:
            pass
        client = node.post("a1")
        node.reader[0].next().read()
        node.writer[1].next().serve("x")
        assert take(client).status == 200


def test_ended_watch_is_restarted_from_the_last_index(node: Node) -> None:
    first = node.watches.get(timeout=10)
    assert first.path == "/v1/endpoints?watch=1&after=7"
    first.chunk(json.dumps(node.listing(9)) + "\n")
    while node.logged("endpoint_list_received")["index"] != 9:
        pass
    node.stop_watches.set()
    assert node.watches.get(timeout=10).path == "/v1/endpoints?watch=1&after=9"


def test_sighup_changes_discovery_immediately_and_an_invalid_file_changes_nothing(node: Node) -> None:
    """By default, SIGHUP would end the process. Settings that need a restart are only reported."""
    client, call = read(node)
    old = node.watches.get(timeout=10)
    (node.folder / "config.json").write_text("{")
    node.process.send_signal(signal.SIGHUP)
    assert "config.json" in node.logged("reload_failed")["error"]
    new_discovery = StandIn()
    node.configure(discovery=new_discovery.address, limits={"sockets": 128})
    node.process.send_signal(signal.SIGHUP)
    reloaded = node.logged("reloaded")
    assert reloaded["discovery"] == new_discovery.address and reloaded["waits_for_restart"] == ["sockets"]
    watch = new_discovery.next()
    assert watch.path == "/v1/endpoints?watch=1&after=7" and old.closed()
    node.process.send_signal(signal.SIGTERM)
    node.logged("stopping")
    node.process.send_signal(signal.SIGHUP)
    node.logged("reloaded")
    watch.begin().chunk(json.dumps(node.listing(8)) + "\n")
    while node.logged("endpoint_list_received")["index"] != 8:
        pass
    call.serve("x")
    assert take(client).status == 200
    assert node.process.wait(10) == 0
