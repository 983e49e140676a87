"""A shutdown that arrives during the start, and a reload that reads a half-written file."""

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

DEADLINE_MS = 500.0  # of every request class
RESPONSE_TOLERANCE_S = 0.5  # allowed delay of a response beyond the request's budget
SIGKILL_AFTER_S = DEADLINE_MS / 1000 + 0.7  # after SIGTERM


@pytest.fixture
def killed(tmp_path: Path) -> Iterator[Node]:
    """A killed program whose next start uses the same address and short deadlines."""
    with Node(tmp_path) as node:
        classes = [each | {"deadline_ms": DEADLINE_MS} for each in SETTINGS["classes"]]
        node.configure(listen=node.listening["platform"], settings=SETTINGS | {"classes": classes})
        node.kill()
        yield node


def test_a_shutdown_while_the_start_waits_for_the_list_answers_the_requests_received(killed: Node) -> None:
    restart = Restart(killed, StandIn())  # discovery does not respond
    with restart.open_client() as client:
        client.sendall(request("a1"))
        restart.process.process.send_signal(signal.SIGTERM)
        sent_s = time.monotonic()
        answer = client.recv(65536)
        assert answer.startswith(b"HTTP/1.1 503") and time.monotonic() - sent_s < SIGKILL_AFTER_S
    assert restart.process.process.wait(10) == 0
    assert not killed.reader[0].seen


def test_a_request_with_a_short_budget_is_answered_while_the_start_waits_for_the_list(killed: Node) -> None:
    restart = Restart(killed, StandIn())  # discovery does not respond
    with restart.open_client() as client:
        client.sendall(request("a1").replace(b"X-Budget-Ms: 4800", b"X-Budget-Ms: 40"))
        sent_s = time.monotonic()
        assert client.recv(65536).startswith(b"HTTP/1.1 503")
        assert time.monotonic() - sent_s < 0.04 + RESPONSE_TOLERANCE_S


def test_a_reload_of_a_half_written_file_succeeds_once_the_file_is_complete(node: Node) -> None:
    new_discovery = StandIn()
    complete = json.dumps(node.config | {"discovery": new_discovery.address})
    (node.folder / "config.json").write_text(complete[: len(complete) // 2])
    node.process.send_signal(signal.SIGHUP)
    node.logged("reload_failed")
    (node.folder / "config.json").write_text(complete)
    assert node.logged("reloaded")["discovery"] == new_discovery.address
    assert new_discovery.next().path.startswith("/v1/endpoints?watch=1")
