"""When a voter that started may vote."""

from __future__ import annotations

import socket
import time
from pathlib import Path

from ringledge.decide.leases.manager import LeaseTerms
from tests.fleet.fleet import Fleet


def test_a_voter_is_silent_from_when_its_predecessor_let_the_address_go(tmp_path: Path) -> None:
    """The predecessor may have voted a moment before: the start of the process says nothing."""
    predecessor = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
    predecessor.bind(("127.0.0.1", 0))
    address = "{}:{}".format(*predecessor.getsockname())
    terms = LeaseTerms(("c1", "c2", "c3"), 1.0, 1.0)
    fleet = Fleet(tmp_path, listen={"c3": address})
    try:
        fleet.start("c1", "c2")
        node, began_s = fleet.nodes["c3"], time.monotonic()
        node.__enter__()
        # It runs for longer than the silence: a silence from its start would be over.
        fleet.receiver.wait_until(lambda: time.monotonic() - began_s > 1.5 * terms.startup_silence_s)
        predecessor.close()
        listens = node.logged("member_listening")
        fleet.links.set_address("c3", listens["address"])
        votes = node.logged("lease_acceptor_activated")
        assert votes["at"] - listens["at"] >= terms.startup_silence_s - 0.1
    finally:
        fleet.__exit__()
