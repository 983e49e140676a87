"""Progress and completeness of a stream do not depend on how its bytes are divided into pieces."""

from __future__ import annotations

from itertools import pairwise

import pytest
from hypothesis import given
from hypothesis import strategies as st

from ringledge.wire.servers.event_progress import EventProgress

SOUND_EVENTS = [
    'data: {"a":1}\n\n',
    'data:{"a":[1]}\r\n\r\n',
    'event: x\nid: 3\ndata: {"a":\ndata: 1}\n\n',
    ': comment\ndata: {"a":1}\n\n',
]
OTHER_TEXTS = [
    ": comment\n\n",
    "\n\n",
    "event: x\n\n",
    "data:\n\n",
    "data: {}\n\n",
    "data: xxxx\n\n",
    "data: [1]\n\n",
    '5b\r\ndata: {"a":1}\n\n',
    'data: {"a"\r\n7\r\n:1}\n\n',
]
FINAL = "data: [DONE]\n\n"


def pieces(text: str, cuts: list[int]) -> list[bytes]:
    positions = [0, *sorted(cut % (len(text) + 1) for cut in cuts), len(text)]
    return [text[start:end].encode() for start, end in pairwise(positions)]


@given(st.lists(st.sampled_from(SOUND_EVENTS + OTHER_TEXTS), max_size=5), st.lists(st.integers(0, 200)))
def test_only_sound_events_are_progress(texts: list[str], cuts: list[int]) -> None:
    progress = EventProgress()
    sound_events = sum(each in SOUND_EVENTS for each in texts)
    advanced = [progress.feed(piece) for piece in pieces("".join(texts), cuts)]
    assert any(advanced) == (sound_events > 0)
    assert sum(advanced) <= sound_events and not progress.is_complete
    assert progress.has_data_event == any("data:" in each for each in texts)


@pytest.mark.parametrize("text", OTHER_TEXTS)
def test_text_that_is_no_event_is_no_progress_at_any_cut(text: str) -> None:
    for cut in range(len(text)):
        progress = EventProgress()
        assert not any(progress.feed(piece) for piece in pieces(text, [cut]))


def test_final_event_is_progress() -> None:
    assert EventProgress().feed(FINAL.encode())


@given(st.lists(st.integers(0, 200)), st.sampled_from(["", ": X-Load-Report: {}\n\n"]))
def test_final_event_is_found_in_any_pieces(cuts: list[int], behind: str) -> None:
    progress = EventProgress()
    for piece in pieces(SOUND_EVENTS[0] + FINAL + behind, cuts):
        progress.feed(piece)
    assert progress.is_complete and progress.incomplete_bytes == 0


@pytest.mark.parametrize(
    "text",
    [
        'data: {"a":"data: [DONE]"}\n\n',
        "data: [DONE",
        "data: {}\n\ndata: [DONE]",
        "xdata: [DONE]\n\n",
        ": data: [DONE]\n\n",
    ],
)
def test_stream_without_the_final_line_is_incomplete(text: str) -> None:
    progress = EventProgress()
    progress.feed(text.encode())
    assert not progress.is_complete


def test_bytes_of_an_incomplete_event_are_counted_over_pieces() -> None:
    progress = EventProgress()
    for piece in (b"data: x\n", b"\ndata: ", b"y" * 10):
        progress.feed(piece)
    assert progress.incomplete_bytes == len(b"data: ") + 10
