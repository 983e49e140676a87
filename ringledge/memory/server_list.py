"""The list of servers as discovery told it, with the addresses that the decisions don't need."""

from __future__ import annotations

from collections.abc import Mapping
from itertools import islice

import anyio

from ringledge.routing.interface import (
    Availability,
    EndpointUpdate,
    EndpointUpdateKind,
    Role,
    ServerEntry,
    ServerKind,
)

MAX_LOGGED_SERVERS = 20  # servers that a log line names


class ServerList:
    """Entries and addresses by the server's name."""

    def __init__(self, kinds: tuple[ServerKind, ...]) -> None:
        self._kinds = kinds
        self.version = 0
        self.entries: dict[str, ServerEntry] = {}
        self._addresses: dict[str, str] = {}
        self._up_by_server: dict[str, bool] = {}
        self.changed = anyio.Event()  # replaced with each change

    def apply(self, members: EndpointUpdate, addresses: dict[str, str]) -> dict[str, str]:
        """Take news of the list in; a whole list replaces what was kept.

        Returns the servers whose state has changed, each with its new one.
        """
        before = {name: entry.availability for name, entry in self.entries.items()}
        self.version = members.version
        if members.kind != EndpointUpdateKind.CHANGES:
            self.entries.clear()
            self._addresses.clear()
        for entry in members.entries:
            if entry.availability == Availability.REMOVED:
                self.entries.pop(entry.server, None)
                self._addresses.pop(entry.server, None)
            else:
                self.entries[entry.server] = entry
                self._addresses[entry.server] = addresses[entry.server]
        up = Availability.UP
        self._up_by_server = {name: entry.availability == up for name, entry in self.entries.items()}
        self.changed.set()
        self.changed = anyio.Event()
        now = {name: entry.availability for name, entry in self.entries.items()}
        changed = {name: state.value for name, state in now.items() if before.get(name) is not state}
        return changed | {name: Availability.REMOVED.value for name in before.keys() - now.keys()}

    def address(self, server: str) -> str | None:
        """Where the server listens, or None once it is gone."""
        return self._addresses.get(server)

    def started_ms(self, server: str) -> float:
        """When the server's process was started last; 0: long ago, or not known."""
        entry = self.entries.get(server)
        return entry.started_ms if entry is not None else 0.0

    def up_by_server(self) -> Mapping[str, bool]:
        """All that are listed, and whether each is up, so that it may be bothered with what another holds."""
        return self._up_by_server

    def count(self, availability: Availability) -> int:
        """How many servers are in that state."""
        return sum(entry.availability == availability for entry in self.entries.values())

    def role(self, server: str) -> Role | None:
        """What the server does, where it is known."""
        entry = self.entries.get(server)
        return self._kinds[entry.kind].role if entry and entry.kind < len(self._kinds) else None


def summarize_changes(changed: Mapping[str, str]) -> dict[str, object]:
    """Some of the servers whose state has changed, and how many there are: for a log line."""
    return {"count": len(changed), "changed": dict(islice(changed.items(), MAX_LOGGED_SERVERS))}
