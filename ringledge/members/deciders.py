"""Table of the deciders that a member runs, with the message types of each."""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass, field

import msgspec

from ringledge.decide.interface import Decider
from ringledge.decide.membership import swim
from ringledge.decide.membership.swim import Membership
from ringledge.decide.records import replicated_records
from ringledge.decide.records.replicated_records import ReplicatedRecords

MessageTypes = tuple[type[msgspec.Struct], ...]


@dataclass(slots=True)
class DeciderTable:
    """Deciders by their key in the codec's FIRST_KIND, in the order in which they are ticked."""

    membership: Membership
    records: ReplicatedRecords
    _additional: dict[str, tuple[Decider, MessageTypes]] = field(default_factory=dict)

    def add(self, name: str, decider: Decider, message_types: MessageTypes) -> None:
        """Add a decider beside those of membership and replicated records."""
        self._additional[name] = (decider, message_types)

    def all(self) -> list[Decider]:
        """Return all deciders in tick order."""
        return [decider for decider, _ in self._entries().values()]

    def message_types(self) -> Mapping[str, MessageTypes]:
        """Return the message types of each decider by its name."""
        return {name: message_types for name, (_, message_types) in self._entries().items()}

    def by_message_type(self) -> Mapping[type[msgspec.Struct], Decider]:
        """Return the decider that handles each type of message."""
        return {
            message_type: decider
            for decider, message_types in self._entries().values()
            for message_type in message_types
        }

    def _entries(self) -> dict[str, tuple[Decider, MessageTypes]]:
        return {
            "membership": (self.membership, swim.MESSAGES),
            "facts": (self.records, replicated_records.MESSAGES),
            **self._additional,
        }
