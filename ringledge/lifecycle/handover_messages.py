"""Messages between two processes of one conductor, as JSON objects.

Either process may be of another version: keys that it adds are ignored, and those that it lacks have defaults
unless stated otherwise. Keys and their order on the channel are part of the format.
"""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass
from typing import Any


def settings_fingerprint(message: Mapping[str, Any]) -> Any:
    """The fingerprint of the settings that the sender serves under; None where it sends none."""
    return message.get("settings")


def encode_listeners_request(fingerprint: str) -> dict[str, Any]:
    """A successor asks for the listening sockets."""
    return {"want": "listeners", "settings": fingerprint}


@dataclass(frozen=True, slots=True)
class ListenersResponse:
    """The predecessor's response; the message carries the sockets' descriptors in the addresses' order."""

    addresses: list[str]  # that the sockets listen at
    fingerprint: str  # of the settings that the predecessor serves under
    clock_offset_ms: float | None  # Unix time less the monotonic clock, as the predecessor has it

    def encode(self) -> dict[str, Any]:
        """The JSON object."""
        return {
            "listeners": self.addresses,
            "settings": self.fingerprint,
            "clock_offset_ms": self.clock_offset_ms,
        }

    @classmethod
    def decode(cls, message: Mapping[str, Any]) -> ListenersResponse:
        """Read the JSON object; KeyError where it names no listeners."""
        offset_ms = message.get("clock_offset_ms")
        return cls(
            addresses=message["listeners"],
            fingerprint=message["settings"],
            clock_offset_ms=float(offset_ms) if isinstance(offset_ms, int | float) else None,
        )


def encode_snapshot_part(part: dict[str, Any]) -> dict[str, Any]:
    """One part of the snapshot of what the predecessor's policy has learned."""
    return {"learned": part}


def encode_serving(addresses: list[str]) -> dict[str, Any]:
    """The successor serves at these addresses."""
    return {"serving": addresses}


def encode_request_changes(opened: list[str], ended: list[str]) -> dict[str, Any]:
    """Ids of requests that the sender has opened, and of those that have ended there."""
    return {"open": opened, "ended": ended}


@dataclass(frozen=True, slots=True)
class PeerMessage:
    """A message of the other process after the listening sockets were handed over."""

    opened: frozenset[str]  # ids of requests
    ended: frozenset[str]
    snapshot_part: dict[str, Any]  # empty: none
    serving: frozenset[str]  # addresses at which the successor serves; empty: it does not say so

    @classmethod
    def decode(cls, message: Mapping[str, Any]) -> PeerMessage:
        """Read the JSON object."""
        return cls(
            opened=frozenset(message.get("open", ())),
            ended=frozenset(message.get("ended", ())),
            snapshot_part=message.get("learned", {}),
            serving=frozenset(message.get("serving") or ()),
        )
