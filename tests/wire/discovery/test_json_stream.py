"""The splitter of JSON streams, with pieces of any size, white space anywhere, and malformed streams."""

import json
from typing import Any

import pytest
from hypothesis import given
from hypothesis import strategies as st

from ringledge.memory.endpoint_list import ListError
from ringledge.wire.discovery.json_stream import JsonStreamSplitter
from tests.work_counter import instructions

MAX_OBJECT_BYTES = 1000
ENDPOINTS, PIECE_BYTES = 100, 4_096
names = st.text(st.sampled_from('a{}[]"\\ \n\u00e9'), max_size=4)
values = st.recursive(
    st.none() | st.integers(-9, 9) | names,
    lambda inner: st.lists(inner, max_size=2) | st.dictionaries(names, inner, max_size=2),
    max_leaves=4,
)
objects = st.dictionaries(names, values, max_size=3)


def split(text: bytes, sizes: list[int]) -> list[Any]:
    splitter = JsonStreamSplitter(MAX_OBJECT_BYTES)
    parsed = list[Any]()
    while text:
        size = sizes[len(text) % len(sizes)]
        parsed += [json.loads(value) for value in splitter.feed(text[:size])]
        text = text[size:]
    assert splitter.is_between_objects
    return parsed


@given(
    st.lists(st.tuples(objects, st.sampled_from([None, 2]), st.sampled_from(["", "\n", "\r\n"])), max_size=3),
    st.lists(st.integers(1, 40), min_size=1, max_size=5),
)
def test_objects_are_split_whatever_their_white_space_and_pieces(
    written: list[tuple[dict[str, Any], int | None, str]], sizes: list[int]
) -> None:
    text = "".join(json.dumps(value, indent=indent) + separator for value, indent, separator in written)
    assert split(text.encode(), sizes) == [value for value, _, _ in written]


def test_indented_object_is_split_from_single_bytes() -> None:
    written = {"index": 3, "endpoints": [{"name": 'a"}{', "zone": "\\"}, {"name": "b"}]}
    assert split(b"\n" + json.dumps(written, indent=4).encode() + b"\n", [1]) == [written]


@pytest.mark.parametrize("text", [b"}", b"x\n", b"{}x", b"{" + b" " * (MAX_OBJECT_BYTES + 1)])
def test_malformed_stream_is_an_error(text: bytes) -> None:
    with pytest.raises(ListError):
        list(JsonStreamSplitter(MAX_OBJECT_BYTES).feed(text))


def test_white_space_between_objects_is_discarded() -> None:
    splitter = JsonStreamSplitter(MAX_OBJECT_BYTES)
    for _ in range(MAX_OBJECT_BYTES + 1):
        assert list(splitter.feed(b"\n")) == [] and splitter.is_between_objects
    assert list(splitter.feed(b"{}")) == [b"{}"]


def test_whole_list_takes_few_steps_for_each_endpoint() -> None:
    entry = {
        "name": "s1",
        "address": "127.0.0.1:80",
        "zone": "a",
        "type": "m",
        "group": 3,
        "status": "active",
    }
    text = json.dumps({"index": 1, "snapshot": True, "endpoints": [entry] * ENDPOINTS}).encode()
    pieces = [text[start : start + PIECE_BYTES] for start in range(0, len(text), PIECE_BYTES)]
    splitter = JsonStreamSplitter(len(text))
    assert instructions(lambda: [list(splitter.feed(piece)) for piece in pieces]) < 200 * ENDPOINTS
