"""Role assignments as replicated records: their keys and bytes, and which of two is in force."""

from __future__ import annotations

from collections.abc import Iterator, Mapping
from enum import StrEnum

import msgspec

from ringledge.decide.interface import RoleAssignment

KEY_PREFIX = "plan/"
MAX_NUMBER = 2**62  # of a token or plan: no later plan could supersede an assignment beyond it
MAX_ENCODED_BYTES = 64  # of an assignment, two numbers and a word: longer values are not even decoded


class ServerRole(StrEnum):
    """The role of a server, and the kind of one whose role is configured; the values are those of records."""

    PREFILL = "read"
    DECODE = "write"
    MIXED = "both"


ROLES = frozenset(ServerRole)

_decoder: msgspec.msgpack.Decoder[RoleAssignment] = msgspec.msgpack.Decoder(RoleAssignment)
_encoder = msgspec.msgpack.Encoder()


def encode_assignment(server: str, assignment: RoleAssignment) -> tuple[str, bytes]:
    """Key and value of the record of a server's assignment."""
    return KEY_PREFIX + server, _encoder.encode(assignment)


def decode_assignment(key: str, value: bytes) -> tuple[str, RoleAssignment] | None:
    """The server and the assignment of a record; None where it is invalid or no assignment."""
    server = key.removeprefix(KEY_PREFIX)
    if not server or server == key or len(value) > MAX_ENCODED_BYTES:
        return None
    try:
        assignment = _decoder.decode(value)
    except (msgspec.DecodeError, msgspec.ValidationError):
        return None
    return (server, assignment) if _is_valid(assignment) else None


def _is_valid(assignment: RoleAssignment) -> bool:
    has_valid_token = 0 < assignment.token <= MAX_NUMBER
    has_valid_number = 0 <= assignment.number <= MAX_NUMBER
    return has_valid_token and has_valid_number and assignment.role in ROLES


def supersedes(assignment: RoleAssignment, current: RoleAssignment | None) -> bool:
    """Whether an assignment replaces the current one of its server.

    By token, then number. Two that are equal in both can't come from one planner; the role decides then, so
    that all conductors agree, whichever they received first.
    """
    return current is None or precedence(assignment) > precedence(current)


def precedence(assignment: RoleAssignment) -> tuple[int, int, str]:
    """Sort key: the assignment with the largest one is in force."""
    return assignment.token, assignment.number, assignment.role


def decode_assignments(records: Mapping[tuple[str, str], bytes]) -> Iterator[tuple[str, RoleAssignment]]:
    """All assignments among records, by any writer, in ascending precedence: a server's newest comes last."""
    decoded = (decode_assignment(key, value) for (_, key), value in records.items())
    valid = [pair for pair in decoded if pair is not None]
    return iter(sorted(valid, key=lambda pair: precedence(pair[1])))
