"""Role assignments as replicated records: encoding, decoding and precedence."""

from __future__ import annotations

from collections.abc import Iterator, Mapping
from enum import StrEnum

import msgspec

from ringledge.decide.interface import RoleAssignment

KEY_PREFIX = "plan/"
MAX_NUMBER = 2**62  # largest token or plan number: an assignment above it could never be superseded
MAX_ENCODED_BYTES = 64  # an assignment has two numbers and a word; longer values are not decoded


class ServerRole(StrEnum):
    """Roles, which are also the names of the server kinds. The values are those stored in records."""

    PREFILL = "read"
    DECODE = "write"
    MIXED = "both"


ROLES = frozenset(ServerRole)

_decoder: msgspec.msgpack.Decoder[RoleAssignment] = msgspec.msgpack.Decoder(RoleAssignment)
_encoder = msgspec.msgpack.Encoder()


def encode_assignment(server: str, assignment: RoleAssignment) -> tuple[str, bytes]:
    """The key and the value of the record for a server's assignment."""
    return KEY_PREFIX + server, _encoder.encode(assignment)


def decode_assignment(key: str, value: bytes) -> tuple[str, RoleAssignment] | None:
    """The server and its assignment, or None if the record is not a valid assignment."""
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

    Assignments are ordered by token, then by number. Two that are equal in both can't come from one planner;
    they are ordered by role, so that all routers agree regardless of the order in which they receive them.
    """
    return current is None or precedence(assignment) > precedence(current)


def precedence(assignment: RoleAssignment) -> tuple[int, int, str]:
    """Sort key of assignments: the one with the largest key is in force."""
    return assignment.token, assignment.number, assignment.role


def decode_assignments(records: Mapping[tuple[str, str], bytes]) -> Iterator[tuple[str, RoleAssignment]]:
    """All valid assignments in records, in ascending precedence: the newest one of a server comes last."""
    decoded = (decode_assignment(key, value) for (_, key), value in records.items())
    valid = [pair for pair in decoded if pair is not None]
    return iter(sorted(valid, key=lambda pair: precedence(pair[1])))
