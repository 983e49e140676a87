"""Size limits of the datagrams between members: deciders keep to them, and the codec enforces them."""

from __future__ import annotations

from typing import Annotated

from msgspec import Meta

from ringledge.decide.interface import MAX_DATAGRAM_BYTES

MAX_NAME_BYTES = 24  # of a member's name, in UTF-8
TAG_BYTES = 12  # authentication tag, a keyed hash of 96 bits: a forgery succeeds once in 10^28 datagrams
# Version (1), message kind (1), cluster (4), sequence number (5), start numbers of the sender and of the
# recipient (6 each), authentication tag, length of the sender's name (1).
FIXED_HEADER_BYTES = 1 + 1 + 4 + 5 + 6 + 6 + TAG_BYTES + 1
# Of an encoded message, if the sender's name has the maximum length.
MAX_BODY_BYTES = MAX_DATAGRAM_BYTES - FIXED_HEADER_BYTES - MAX_NAME_BYTES
MAX_START_NUMBER = (1 << 48) - 1  # of 6 bytes: enough for milliseconds since 1970 until the year 10889

MemberName = Annotated[str, Meta(min_length=1, max_length=MAX_NAME_BYTES)]
StartNumber = Annotated[int, Meta(ge=0, le=MAX_START_NUMBER)]
Uint53 = Annotated[int, Meta(ge=0, lt=1 << 53)]
Uint32 = Annotated[int, Meta(ge=0, lt=1 << 32)]


def validated_name(name: str) -> str:
    """Return the name; raise ValueError if it is empty or too long for a datagram."""
    if not 0 < len(name.encode()) <= MAX_NAME_BYTES:
        raise ValueError(f"member name must have 1 to {MAX_NAME_BYTES} bytes: {name!r}")
    return name
