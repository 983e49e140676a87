"""Plan rows as facts: their keys and bytes, and which of two rows is in force."""

from __future__ import annotations

from collections.abc import Iterator, Mapping

import msgspec

from ringledge.decide.interface import RoleAssignment

PREFIX = "plan/"
ROLES = ("read", "write", "both")
MOST = 2**62  # of a token or number: a row beyond it is nonsense that no later plan could outdo
MOST_BYTES = 64  # of a row: two numbers and a word; longer ones are not even looked at

_decoder: msgspec.msgpack.Decoder[RoleAssignment] = msgspec.msgpack.Decoder(RoleAssignment)
_encoder = msgspec.msgpack.Encoder()


def encode(server: str, row: RoleAssignment) -> tuple[str, bytes]:
    """The fact that tells a server's row: key and value."""
    return PREFIX + server, _encoder.encode(row)


def decode(key: str, value: bytes) -> tuple[str, RoleAssignment] | None:
    """The server and row that a fact tells; None where it tells none."""
    server = key.removeprefix(PREFIX)
    if not server or server == key or len(value) > MOST_BYTES:
        return None
    try:
        row = _decoder.decode(value)
    except (msgspec.DecodeError, msgspec.ValidationError):
        return None
    sane = 0 < row.token <= MOST and 0 <= row.number <= MOST and row.role in ROLES
    return (server, row) if sane else None


def newer(row: RoleAssignment, than: RoleAssignment | None) -> bool:
    """Whether a row takes the place of another.

    By token, then number. Two that are alike in both can't come from one planner; the role decides then, so
    that all conductors agree, whichever they heard first.
    """
    return than is None or (row.token, row.number, row.role) > (than.token, than.number, than.role)


def rows(facts: Mapping[tuple[str, str], bytes]) -> Iterator[tuple[str, RoleAssignment]]:
    """All rows among facts, by any writer; the lowest first, so that the newest of a server is heard last."""
    found = [each for (_, key), value in facts.items() if (each := decode(key, value)) is not None]
    return iter(sorted(found, key=lambda each: (each[1].token, each[1].number, each[1].role)))
