"""Keys of bookings whose responses are forgotten, and bookings whose keys cannot be recorded."""

from __future__ import annotations

from pathlib import Path

from tests.loopback import Node, take
from tests.wire.clients.chat.helpers import BOOKING_REQUEST, STREAM_REQUEST, wait_for_decode
from tests.wire.clients.chat.test_keyed_bookings import FILES, KEY, ask, error_of, served


def test_booking_whose_response_is_no_longer_retained_does_not_run_again(node: Node) -> None:
    """Guards against keys that are forgotten with the response, after `resume_for_s` or for want of room."""
    node.kill()
    (node.folder / "chat.toml").write_text(FILES["chat.toml"].replace("[models]", "sessions = 1\n[models]"))
    node.listening = node.successor().listening
    served(node)
    other = node.chat(STREAM_REQUEST)  # takes the place of the booking's response
    wait_for_decode(node).serve("yes")
    assert take(other).status == 200
    answer = take(node.chat(BOOKING_REQUEST, Idempotency_Key=KEY))
    assert error_of(answer) == (409, "may_have_run")
    assert node.writer[0].attempts() == 2


def test_bookings_with_a_key_are_rejected_while_keys_cannot_be_recorded(tmp_path: Path) -> None:
    (tmp_path / "ringledge-n1.keys.db").write_bytes(b"no database" * 1000)
    with Node(tmp_path, files=FILES) as node:
        answer = ask(node, node)
        assert error_of(answer) == (503, "idempotency_key_unrecorded") and "retry-after" in answer.headers
        assert node.reader[0].attempts() == 0
        for request, headers in ((STREAM_REQUEST, {"Idempotency_Key": KEY}), (BOOKING_REQUEST, {})):
            client = node.chat(request, **headers)
            wait_for_decode(node).serve("yes")
            assert take(client).status == 200
