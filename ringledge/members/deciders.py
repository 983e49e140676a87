"""The deciders that a member runs, with the message types of each."""

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
    """All deciders by their name in the codec's table, in the order in which they are ticked."""

    membership: Membership
    records: ReplicatedRecords
    _further: dict[str, tuple[Decider, MessageTypes]] = field(default_factory=dict)

    def add(self, name: str, decider: Decider, message_types: MessageTypes) -> None:
        """Add a decider of another subsystem."""
        self._further[name] = (decider, message_types)

    def all(self) -> list[Decider]:
        """The deciders."""
        return [decider for decider, _ in self._entries().values()]

    def message_types(self) -> Mapping[str, MessageTypes]:
        """The message types of each decider, by its name."""
        return {name: message_types for name, (_, message_types) in self._entries().items()}

    def by_message_type(self) -> Mapping[type[msgspec.Struct], Decider]:
        """The decider that takes messages of each type."""
        return {
            message_type: decider
            for decider, message_types in self._entries().values()
            for message_type in message_types
        }

    def _entries(self) -> dict[str, tuple[Decider, MessageTypes]]:
        return {
            "membership": (self.membership, swim.MESSAGES),
            "facts": (self.records, replicated_records.MESSAGES),
            **self._further,
        }
