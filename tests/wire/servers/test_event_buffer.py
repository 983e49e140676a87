"""Events that come in pieces are put together, and held for a bounded time only."""

import pytest

from ringledge.wire.servers.event_buffer import MAX_DELAY_S, EventBuffer

FIRST, SECOND = b'data: {"a":1}\n\n', b'data: {"b":2}\r\n\r\n'


def test_an_event_waits_until_it_is_whole() -> None:
    events = EventBuffer()
    for place in range(len(FIRST) - 1):
        events.feed(FIRST[place : place + 1], 0.0)
        assert events.take_complete(0.0) == b""
    events.feed(FIRST[-1:], 0.0)
    assert events.take_complete(0.0) == FIRST and not len(events)


@pytest.mark.parametrize("cut", range(1, len(FIRST + SECOND)))
def test_wherever_they_are_cut_events_go_out_whole_and_unchanged(cut: int) -> None:
    events, out = EventBuffer(), list[bytes]()
    for piece in ((FIRST + SECOND)[:cut], (FIRST + SECOND)[cut:]):
        events.feed(piece, 0.0)
        out.append(events.take_complete(0.0))
    assert b"".join(out) == FIRST + SECOND
    assert out[0] == (FIRST if cut >= len(FIRST) else b"")


def test_a_part_waits_for_its_time_only_counted_from_its_oldest_byte() -> None:
    events = EventBuffer()
    events.feed(b"data: ", 1.0)
    events.feed(b"{", 1.0 + MAX_DELAY_S / 2)
    assert events.deadline_s == 1.0 + MAX_DELAY_S
    assert events.take_complete(1.0 + MAX_DELAY_S / 2) == b""
    assert events.take_complete(1.0 + MAX_DELAY_S) == b"data: {"
    events.feed(b"}", 5.0)
    assert events.deadline_s == 5.0 + MAX_DELAY_S


def test_what_is_left_behind_whole_events_begins_its_own_wait() -> None:
    events = EventBuffer()
    events.feed(FIRST + b"data", 1.0)
    assert events.take_complete(1.0) == FIRST
    assert len(events) == 4 and events.deadline_s == 1.0 + MAX_DELAY_S
    assert events.take_all() == b"data" and not len(events)
