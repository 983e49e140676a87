"""An outage of discovery: a change in the first line after the outage is applied at once."""

from __future__ import annotations

import json
import signal
from pathlib import Path

from tests.loopback import Call, Node, StandIn, take


def change_discovery(node: Node) -> StandIn:
    """Reload the configuration with a new stand-in for discovery, which the test controls."""
    stand_in = StandIn()
    node.configure(discovery=stand_in.address)
    node.process.send_signal(signal.SIGHUP)
    node.logged("reloaded")
    return stand_in


def send_drain(node: Node, watch: Call) -> None:
    """Send a first line in which w0 is draining, and wait until it is received."""
    watch.begin().chunk(json.dumps(node.listing(9, w0="leaving")) + "\n")
    while node.logged("endpoint_list_received")["index"] != 9:
        pass


def only_active_writer_serves(node: Node) -> bool:
    """Whether all requests are served by the writer that is not draining."""
    for number in range(6):
        client = node.post(f"a{number}", X_Route_Hash=f"{number:016x}")
        node.reader[0].next().read()
        node.writer[1].next().serve("x")
        if take(client).status != 200:
            return False
    return not node.writer[0].seen


def test_a_drain_in_the_first_line_after_an_outage_is_applied_at_once(tmp_path: Path) -> None:
    with Node(tmp_path, writers=2) as node:
        discovery = change_discovery(node)
        discovery.next().begin().chunk("\n")  # nothing else on this watch
        unanswered = [discovery.next() for _ in range(3)]  # accepted, but not answered
        send_drain(node, discovery.next())
        assert only_active_writer_serves(node)
        for call in unanswered:
            call.done.set()


def test_a_drain_after_a_sighup_during_an_outage_is_applied_at_once(tmp_path: Path) -> None:
    """A new address is used at once, without waiting for the old watch or the delay before the next one."""
    with Node(tmp_path, writers=2) as node:
        old_discovery = change_discovery(node)
        old_discovery.next().begin().chunk("\n")
        node.logged("endpoint_watch_timed_out")
        old_discovery.next()  # the next request gets no response either
        watch = change_discovery(node).next()
        send_drain(node, watch)
        assert not [
            line
            for line in node.skipped_lines
            if line["event"] in ("endpoint_watch_timed_out", "endpoint_watch_failed")
        ]
        assert only_active_writer_serves(node)
