"""The messages between two processes of one router, as JSON objects.

The other process may be of another version: unknown keys are ignored, and missing keys have defaults unless
stated otherwise. Keys and their order on the channel are part of the format.
"""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass
from typing import Any


def settings_fingerprint(message: Mapping[str, Any]) -> Any:
    """The fingerprint of the sender's settings; None if the message has none."""
    return message.get("settings")


def encode_listeners_request(fingerprint: str) -> dict[str, Any]:
    """A successor's request for the listening sockets."""
    return {"want": "listeners", "settings": fingerprint}


@dataclass(frozen=True, slots=True)
class ListenersResponse:
    """The predecessor's response; the sockets' descriptors accompany it in the order of the addresses."""

    addresses: list[str]  # at which the sockets listen
    fingerprint: str  # of the predecessor's settings
    clock_offset_ms: float | None  # the predecessor's Unix time minus its monotonic clock

    def encode(self) -> dict[str, Any]:
        """Convert to a JSON object."""
        return {
            "listeners": self.addresses,
            "settings": self.fingerprint,
            "clock_offset_ms": self.clock_offset_ms,
        }

    @classmethod
    def decode(cls, message: Mapping[str, Any]) -> ListenersResponse:
        """Convert from a JSON object; raises KeyError if it has no listeners or no fingerprint."""
        offset_ms = message.get("clock_offset_ms")
        return cls(
            addresses=message["listeners"],
            fingerprint=message["settings"],
            clock_offset_ms=float(offset_ms) if isinstance(offset_ms, int | float) else None,
        )


def encode_snapshot_part(part: dict[str, Any]) -> dict[str, Any]:
    """A part of the snapshot of the predecessor's policy."""
    return {"learned": part}


def encode_serving(addresses: list[str]) -> dict[str, Any]:
    """A successor's notification that it serves at these addresses."""
    return {"serving": addresses}


def encode_request_changes(opened: list[str], ended: list[str], possible_runs: list[str]) -> dict[str, Any]:
    """Ids of requests that were opened, that have ended, and of the ended ones those that may have run."""
    changes = {"open": opened, "ended": ended}
    return changes | {"ran": possible_runs} if possible_runs else changes


@dataclass(frozen=True, slots=True)
class PeerMessage:
    """A message of the other process after the hand-over of the listening sockets."""

    opened: frozenset[str]  # ids of requests
    ended: frozenset[str]
    possible_runs: frozenset[str]  # ids of ended requests that may have run
    snapshot_part: dict[str, Any]  # empty if the message has none
    serving: frozenset[str]  # addresses at which the successor serves; empty in other messages

    @classmethod
    def decode(cls, message: Mapping[str, Any]) -> PeerMessage:
        """Convert from a JSON object."""
        return cls(
            opened=frozenset(message.get("open", ())),
            ended=frozenset(message.get("ended", ())),
            possible_runs=frozenset(message.get("ran", ())),
            snapshot_part=message.get("learned", {}),
            serving=frozenset(message.get("serving") or ()),
        )
