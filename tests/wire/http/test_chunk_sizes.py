"""The sizes that chunks state are checked however the body arrives in pieces."""

from __future__ import annotations

import h11
import pytest
from hypothesis import given
from hypothesis import strategies as st

from ringledge.wire.http.chunk_sizes import MAX_SIZE_LINE_BYTES, ChunkSizes

MAX_CHUNK_BYTES = 64
CONTENTS = st.lists(st.binary(min_size=1, max_size=MAX_CHUNK_BYTES), max_size=5)
EXTENSIONS = st.sampled_from((b"", b";a=b", b'; a="c0000000"', b"  "))
CUTS = st.lists(st.integers(1, 20), max_size=60)


def chunked(contents: list[bytes], extension: bytes) -> bytes:
    return b"".join(b"%X%s\r\n%s\r\n" % (len(each), extension, each) for each in contents)


def feed_in_pieces(sizes: ChunkSizes, data: bytes, cuts: list[int]) -> int:
    """Feed pieces of these lengths, and the rest at once; returns the length of the sound part."""
    sound_bytes = start = 0
    for length in [*cuts, len(data)]:
        piece = data[start : start + length]
        accepted_bytes = sizes.feed(piece)
        sound_bytes += accepted_bytes
        start += len(piece)
        if accepted_bytes < len(piece):
            break
    return sound_bytes


@given(CONTENTS, EXTENSIONS, CUTS)
def test_body_of_permitted_chunks_is_sound(contents: list[bytes], extension: bytes, cuts: list[int]) -> None:
    sizes = ChunkSizes(MAX_CHUNK_BYTES)
    body = chunked(contents, extension) + b"0\r\n\r\nHTTP/1.1 200 OK\r\n\r\nc0000000\r\n"
    assert feed_in_pieces(sizes, body, cuts) == len(body)
    sizes.check()


@given(CONTENTS, EXTENSIONS, CUTS, st.integers(MAX_CHUNK_BYTES + 1, 1 << 70))
def test_chunk_that_states_more_is_rejected_behind_the_chunks_before_it(
    contents: list[bytes], extension: bytes, cuts: list[int], size: int
) -> None:
    sizes = ChunkSizes(MAX_CHUNK_BYTES)
    sound = chunked(contents, extension)
    data = sound + b"%x%s\r\nxxxx" % (size, extension)
    sound_bytes = feed_in_pieces(sizes, data, cuts)
    assert len(sound) <= sound_bytes < len(data) - len(b"\r\nxxxx") + len(b"\r\n")
    with pytest.raises(h11.RemoteProtocolError):
        sizes.check()


@given(CUTS)
def test_line_of_a_size_that_does_not_end_is_rejected_at_its_limit(cuts: list[int]) -> None:
    sizes = ChunkSizes(MAX_CHUNK_BYTES)
    feed_in_pieces(sizes, b"0" * MAX_SIZE_LINE_BYTES, cuts)
    with pytest.raises(h11.RemoteProtocolError):
        sizes.check()


@given(st.sampled_from((b"x\r\n", b"-5\r\n", b"\r\n")), CUTS)
def test_size_that_is_none_is_left_to_the_parser(line: bytes, cuts: list[int]) -> None:
    sizes = ChunkSizes(MAX_CHUNK_BYTES)
    feed_in_pieces(sizes, line + b"c0000000\r\n", cuts)
    sizes.check()
