"""A stop and a reload that meet a start, a half-written file, or a moment without descriptors."""

from __future__ import annotations

import json
import signal
import time
from collections.abc import Iterator
from pathlib import Path

import pytest

from tests.loopback import SETTINGS, Node, StandIn
from tests.test_client_pace import request
from tests.test_platform_restart import Restart

DEADLINE_MS = 500.0  # the longest of the settings
LATE_S = 0.5  # behind its time a request is lost
KILL_S = DEADLINE_MS / 1000 + 0.7  # from SIGTERM to SIGKILL


@pytest.fixture
def killed(tmp_path: Path) -> Iterator[Node]:
    """The program, killed; its address is known to clients, and its deadlines are short."""
    with Node(tmp_path) as node:
        classes = [each | {"deadline_ms": DEADLINE_MS} for each in SETTINGS["classes"]]
        node.configure(listen=node.listening["platform"], settings=SETTINGS | {"classes": classes})
        node.kill()
        yield node


def test_a_stop_while_the_start_waits_for_the_list_answers_who_has_come(killed: Node) -> None:
    restart = Restart(killed, StandIn())  # discovery says nothing
    with restart.open_client() as client:
        client.sendall(request("a1"))
        restart.process.process.send_signal(signal.SIGTERM)
        sent_s = time.monotonic()
        answer = client.recv(65536)
        assert answer.startswith(b"HTTP/1.1 503") and time.monotonic() - sent_s < KILL_S
    assert restart.process.process.wait(10) == 0
    assert not killed.reader[0].seen


def test_request_with_little_time_is_answered_while_the_start_waits_for_the_list(killed: Node) -> None:
    restart = Restart(killed, StandIn())  # discovery says nothing
    with restart.open_client() as client:
        client.sendall(request("a1").replace(b"X-Budget-Ms: 4800", b"X-Budget-Ms: 40"))
        sent_s = time.monotonic()
        assert client.recv(65536).startswith(b"HTTP/1.1 503")
        assert time.monotonic() - sent_s < 0.04 + LATE_S


def test_a_reload_that_met_half_a_file_is_made_once_the_file_is_whole(node: Node) -> None:
    moved = StandIn()
    whole = json.dumps(node.config | {"discovery": moved.address})
    (node.folder / "config.json").write_text(whole[: len(whole) // 2])
    node.process.send_signal(signal.SIGHUP)
    node.logged("reload_failed")
    (node.folder / "config.json").write_text(whole)
    assert node.logged("reloaded")["discovery"] == moved.address
    assert moved.next().path.startswith("/v1/endpoints?watch=1")
