"""A site whose queue's lease holder terminates in order while a queued booking streams."""

from __future__ import annotations

import signal
import time
from pathlib import Path

from tests.fleet.test_queue import (
    TAKEOVER_LIMIT_S,
    Site,
    fetch,
    queue_booking_during_partition,
    send_listing,
)
from tests.loopback import WAIT_S, Call

# The pace of the server: its stream ends this long after SIGTERM, which precedes SIGKILL by 3.7 s.
ANSWER_S = 1.0


def test_booking_that_streams_as_its_lease_holder_terminates_ends_as_served(tmp_path: Path) -> None:
    """Guards against a lease that is released first: the next holder ends the booking as unknown for good."""
    with Site(tmp_path, duties=()) as site:
        holder = site.holder()
        first = site.nodes[holder]
        response = queue_booking_during_partition(site, first, time.monotonic() + TAKEOVER_LIMIT_S)
        for node in site.nodes.values():
            node.reader[0].answer_calls(Call.read)
            send_listing(node, 9, "active")
        call = first.writer[0].next().begin().token("booked ")
        site.signal(holder, signal.SIGTERM)
        first.logged("stopping")
        time.sleep(ANSWER_S)
        call.token("room 14").end()
        assert first.process.wait(WAIT_S) == 0
        other = next(node for name, node in site.nodes.items() if name != holder)
        answer = fetch(other, response.headers["location"])
        assert answer.status == 200 and b"booked room 14" in answer.body
