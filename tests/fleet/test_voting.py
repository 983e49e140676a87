"""The start-up silence of a voter, before which it does not vote."""

from __future__ import annotations

import socket
import time
from pathlib import Path

from ringledge.decide.leases.manager import LeaseTerms
from tests.fleet.fleet import Fleet


def test_voter_is_silent_from_when_its_predecessor_released_the_address(tmp_path: Path) -> None:
    """The predecessor may have voted until it released the address, so the silence begins at that time."""
    predecessor = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
    predecessor.bind(("127.0.0.1", 0))
    address = "{}:{}".format(*predecessor.getsockname())
    terms = LeaseTerms(("c1", "c2", "c3"), 1.0, 1.0)
    fleet = Fleet(tmp_path, listen={"c3": address})
    try:
        fleet.start("c1", "c2")
        node, started_s = fleet.nodes["c3"], time.monotonic()
        node.__enter__()
        # The process runs for longer than the silence, so a silence counted from its start would be over.
        fleet.receiver.wait_until(lambda: time.monotonic() - started_s > 1.5 * terms.startup_silence_s)
        predecessor.close()
        listening = node.logged("member_listening")
        fleet.links.set_address("c3", listening["address"])
        activated = node.logged("lease_acceptor_activated")
        assert activated["at"] - listening["at"] >= terms.startup_silence_s - 0.1
    finally:
        fleet.__exit__()
