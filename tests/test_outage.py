"""An outage of discovery: what it tells in the first line after it is obeyed at once."""

from __future__ import annotations

import json
import signal
from pathlib import Path

from tests.loopback import Call, Node, StandIn, take


def move(node: Node) -> StandIn:
    """Have discovery be played by the test."""
    moved = StandIn()
    node.configure(discovery=moved.address)
    node.process.send_signal(signal.SIGHUP)
    node.logged("reloaded")
    return moved


def tell_drain(node: Node, watch: Call) -> None:
    """The first line of a watch, and the drain in it."""
    watch.begin().chunk(json.dumps(node.listing(9, w0="leaving")) + "\n")
    while node.logged("endpoint_list_received")["index"] != 9:
        pass


def served_by_the_other(node: Node) -> bool:
    """Whether requests go to the writer that does not drain, and to it alone."""
    for number in range(6):
        client = node.post(f"a{number}", X_Route_Hash=f"{number:016x}")
        node.reader[0].next().read()
        node.writer[1].next().serve("x")
        if take(client).status != 200:
            return False
    return not node.writer[0].seen


def test_a_drain_in_the_first_line_after_an_outage_is_obeyed_at_once(tmp_path: Path) -> None:
    with Node(tmp_path, writers=2) as node:
        discovery = move(node)
        discovery.next().begin().chunk("\n")  # and no word more
        silent = [discovery.next() for _ in range(3)]  # accepted in vain
        tell_drain(node, discovery.next())
        assert served_by_the_other(node)
        for call in silent:
            call.done.set()


def test_a_drain_after_a_sighup_within_an_outage_is_obeyed_at_once(tmp_path: Path) -> None:
    """The new address owes nothing: neither the old watch nor the wait between two is sat out."""
    with Node(tmp_path, writers=2) as node:
        down = move(node)
        down.next().begin().chunk("\n")
        node.logged("endpoint_watch_timed_out")
        down.next()  # the outage goes on
        watch = move(node).next()
        tell_drain(node, watch)
        assert not [
            line
            for line in node.passed
            if line["event"] in ("endpoint_watch_timed_out", "endpoint_watch_failed")
        ]
        assert served_by_the_other(node)
