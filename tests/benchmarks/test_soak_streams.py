"""The streams of the soak's servers are what their events say, and the oracle finds those left open."""

from __future__ import annotations

import random
from itertools import islice

import h11
import pytest

from benchmarks.soak.events import Event
from benchmarks.soak.oracle import OPEN_STREAM_S
from benchmarks.soak.streams import STREAM_WEIGHTS, Piece, draw_stream
from ringledge.wire.servers.event_progress import EventProgress
from tests.benchmarks.test_soak_oracle import ID, START_S, EventChange, at, change, cut_stream, rules, without

SEEDS = range(300)
MALFORMED_PIECES = 50  # of a stream that does not end


def pieces_of(seed: int) -> list[Piece]:
    return list(islice(draw_stream(random.Random(seed)), MALFORMED_PIECES + 100))


def body_of(data: bytes) -> bytes:
    """The body of a response; h11.RemoteProtocolError if it is malformed or incomplete."""
    parser = h11.Connection(h11.CLIENT)
    parser.send(h11.Request(method="GET", target="/", headers=[("Host", "a")]))
    parser.send(h11.EndOfMessage())
    parser.receive_data(data)
    parser.receive_data(b"")
    body = b""
    while not isinstance(event := parser.next_event(), h11.EndOfMessage):
        body += event.data if isinstance(event, h11.Data) else b""
    return body


@pytest.mark.parametrize("seed", SEEDS)
def test_stream_is_complete_if_and_only_if_it_ends_as_done(seed: int) -> None:
    pieces = pieces_of(seed)
    events = [piece.event for piece in pieces if piece.event]
    assert [piece.is_last for piece in pieces[:-1]] == [False] * (len(pieces) - 1)
    assert pieces[-1].is_last == ("malformed" not in events)
    if "malformed" in events:
        return
    progress = EventProgress()
    progress.feed(body_of(b"".join(piece.data for piece in pieces)))
    assert progress.is_complete == (events[-1] == "done")


def test_each_kind_of_stream_is_drawn() -> None:
    kinds = {tuple(piece.event for piece in pieces_of(seed) if piece.event) for seed in SEEDS}
    assert kinds >= {("first", "done"), ("first", "truncated"), ("first", "malformed"), ("malformed",)}
    assert len(STREAM_WEIGHTS) > len(kinds)


def malformed_stream(ended_s: float) -> EventChange:
    """Events end 1.3 s after the start of the run; the client's stream ends `ended_s` later."""

    def change_events(events: list[Event]) -> None:
        without(events, "done")
        cut_stream(events)
        events.append(at(1.3, "malformed", "d0", id=ID))
        change(events, "answer", t=START_S + 1.3 + ended_s)

    return change_events


def test_stream_that_stays_open_behind_its_events_is_found() -> None:
    assert rules(malformed_stream(OPEN_STREAM_S + 0.2)) == {"left_open"}
    assert not rules(malformed_stream(OPEN_STREAM_S - 0.2))


def test_malformed_stream_that_is_ended_as_whole_is_found() -> None:
    assert "truncated" in rules(malformed_stream(1.0), lambda events: change(events, "answer", whole=True))


def test_malformed_stream_of_an_earlier_attempt_is_not_called_left_open() -> None:
    def add_earlier_attempt(events: list[Event]) -> None:
        malformed_stream(OPEN_STREAM_S + 0.2)(events)
        change(events, "malformed", t=START_S + 1.105)

    assert "left_open" not in rules(add_earlier_attempt)
