"""Events that arrive in pieces are joined, and are delayed for a bounded time only."""

import pytest

from ringledge.wire.servers.event_buffer import MAX_DELAY_S, EventBuffer

FIRST = b'data: {"a":1}\n\n'
SECOND = b'data: {"b":2}\r\n\r\n'


def test_incomplete_event_is_delayed_until_complete() -> None:
    events = EventBuffer()
    for position in range(len(FIRST) - 1):
        events.feed(FIRST[position : position + 1], 0.0)
        assert events.take_complete(0.0) == b""
    events.feed(FIRST[-1:], 0.0)
    assert events.take_complete(0.0) == FIRST and not len(events)


@pytest.mark.parametrize("cut", range(1, len(FIRST + SECOND)))
def test_events_are_relayed_complete_and_unchanged_whatever_the_pieces(cut: int) -> None:
    events = EventBuffer()
    relayed = list[bytes]()
    for piece in ((FIRST + SECOND)[:cut], (FIRST + SECOND)[cut:]):
        events.feed(piece, 0.0)
        relayed.append(events.take_complete(0.0))
    assert b"".join(relayed) == FIRST + SECOND
    assert relayed[0] == (FIRST if cut >= len(FIRST) else b"")


def test_incomplete_event_is_relayed_at_the_deadline_of_its_oldest_byte() -> None:
    events = EventBuffer()
    events.feed(b"data: ", 1.0)
    events.feed(b"{", 1.0 + MAX_DELAY_S / 2)
    assert events.deadline_s == 1.0 + MAX_DELAY_S
    assert events.take_complete(1.0 + MAX_DELAY_S / 2) == b""
    assert events.take_complete(1.0 + MAX_DELAY_S) == b"data: {"
    events.feed(b"}", 5.0)
    assert events.deadline_s == 5.0 + MAX_DELAY_S


def test_rest_after_a_complete_event_has_its_own_deadline() -> None:
    events = EventBuffer()
    events.feed(FIRST + b"data", 1.0)
    assert events.take_complete(1.0) == FIRST
    assert len(events) == 4 and events.deadline_s == 1.0 + MAX_DELAY_S
    assert events.take_all() == b"data" and not len(events)
