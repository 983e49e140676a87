"""The size limits of datagrams between members, which deciders observe and the codec checks."""

from __future__ import annotations

from typing import Annotated

from msgspec import Meta

from ringledge.decide.interface import MAX_DATAGRAM_BYTES

MAX_NAME_BYTES = 24  # bytes of a member's name in UTF-8
TAG_BYTES = 12  # of the keyed hash: 96 bits, a forgery succeeds once in 10^28 datagrams
# Version, kind, cluster (4), number (5), both starts (6 each), the tag, the length of the sender's name.
FIXED_HEADER_BYTES = 1 + 1 + 4 + 5 + 6 + 6 + TAG_BYTES + 1
MAX_BODY_BYTES = (
    MAX_DATAGRAM_BYTES - FIXED_HEADER_BYTES - MAX_NAME_BYTES
)  # bytes of an encoded message, with the longest sender's name
MAX_START_NUMBER = (1 << 48) - 1  # a start number fits 6 bytes: ms of the wall clock until the year 10,889

MemberName = Annotated[str, Meta(min_length=1, max_length=MAX_NAME_BYTES)]
StartNumber = Annotated[int, Meta(ge=0, le=MAX_START_NUMBER)]
Uint53 = Annotated[int, Meta(ge=0, lt=1 << 53)]
Uint32 = Annotated[int, Meta(ge=0, lt=1 << 32)]


def validated_name(name: str) -> str:
    """The name itself; ValueError where it is empty or too long for a datagram."""
    if not 0 < len(name.encode()) <= MAX_NAME_BYTES:
        raise ValueError(f"a member's name has 1 to {MAX_NAME_BYTES} bytes: {name!r}")
    return name
