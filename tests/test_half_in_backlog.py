"""A client that sends half a request to a process that is still starting, and stays."""

from __future__ import annotations

import time

from tests.loopback import Node, StandIn
from tests.test_client_pace import request
from tests.test_platform_restart import Restart

OWED_S = 3.0  # in which bad clients get their error or a close
BUSY_S = 0.4


def test_the_time_in_the_backlog_counts(killed: Node) -> None:
    restart = Restart(killed, StandIn())  # discovery says nothing: the start waits for it
    with restart.dial() as client:
        client.sendall(request("a1")[:-5])
        sent_s = time.monotonic()
        client.recv(65536)
        assert time.monotonic() - sent_s < OWED_S + BUSY_S
    restart.wait_ready()
