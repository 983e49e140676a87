"""A client sends an incomplete request to a process that is still starting, and stays connected."""

from __future__ import annotations

import time

from tests.loopback import Node, StandIn
from tests.test_client_pace import request
from tests.test_platform_restart import Restart

ERROR_DEADLINE_S = 3.0  # within which an invalid request is answered with an error or a close
BUSY_MACHINE_SLACK_S = 0.4


def test_time_in_the_backlog_counts_against_the_request_timeout(killed: Node) -> None:
    restart = Restart(killed, StandIn())  # discovery does not answer, and the start waits for it
    with restart.open_client() as client:
        client.sendall(request("a1")[:-5])
        sent_s = time.monotonic()
        client.recv(65536)
        assert time.monotonic() - sent_s < ERROR_DEADLINE_S + BUSY_MACHINE_SLACK_S
    restart.wait_ready()
