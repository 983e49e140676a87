"""Objects in a stream: pieces of any size, white space anywhere, and what can't be an object."""

import json
from typing import Any

import pytest
from hypothesis import given
from hypothesis import strategies as st

from ringledge.wire.discovery.json_stream import JsonStreamSplitter

MOST = 1000
names = st.text(st.sampled_from('a{}[]"\\ \n\u00e9'), max_size=4)
values = st.recursive(
    st.none() | st.integers(-9, 9) | names,
    lambda inner: st.lists(inner, max_size=2) | st.dictionaries(names, inner, max_size=2),
    max_leaves=4,
)
objects = st.dictionaries(names, values, max_size=3)


def split(text: bytes, sizes: list[int]) -> list[Any]:
    reader, found = JsonStreamSplitter(MOST), list[Any]()
    while text:
        size = sizes[len(text) % len(sizes)]
        found += [json.loads(each) for each in reader.feed(text[:size])]
        text = text[size:]
    assert reader.is_between_objects
    return found


@given(
    st.lists(st.tuples(objects, st.sampled_from([None, 2]), st.sampled_from(["", "\n", "\r\n"])), max_size=3),
    st.lists(st.integers(1, 40), min_size=1, max_size=5),
)
def test_objects_come_out_whole_however_they_are_written_and_cut(
    told: list[tuple[dict[str, Any], int | None, str]], sizes: list[int]
) -> None:
    text = "".join(json.dumps(each, indent=indent) + behind for each, indent, behind in told)
    assert split(text.encode(), sizes) == [each for each, _, _ in told]


def test_an_indented_list_comes_a_byte_at_a_time() -> None:
    told = {"index": 3, "endpoints": [{"name": 'a"}{', "zone": "\\"}, {"name": "b"}]}
    assert split(b"\n" + json.dumps(told, indent=4).encode() + b"\n", [1]) == [told]


@pytest.mark.parametrize("text", [b"}", b"x\n", b"{}x", b"{" + b" " * (MOST + 1)])
def test_what_can_become_no_object_is_refused(text: bytes) -> None:
    with pytest.raises(ValueError):
        list(JsonStreamSplitter(MOST).feed(text))


def test_nothing_is_kept_between_objects() -> None:
    reader = JsonStreamSplitter(MOST)
    for _ in range(MOST + 1):
        assert list(reader.feed(b"\n")) == [] and reader.is_between_objects
    assert list(reader.feed(b"{}")) == [b"{}"]
