"""The current list of servers, with the addresses that the policy does not need."""

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

MAX_LOGGED_SERVERS = 20  # in one log line


class ServerList:
    """Entries and addresses by the server's name."""

    def __init__(self, kinds: tuple[ServerKind, ...]) -> None:
        self._kinds = kinds
        self.version = 0
        self.entries: dict[str, ServerEntry] = {}
        self._addresses: dict[str, str] = {}
        self._up_by_server: dict[str, bool] = {}
        self.changed = anyio.Event()  # set, and replaced, with each update

    def apply(self, update: EndpointUpdate, addresses: dict[str, str]) -> dict[str, str]:
        """Apply an update; a complete list replaces all entries.

        Returns the servers whose availability has changed, each with its new one.
        """
        before = {name: entry.availability for name, entry in self.entries.items()}
        self.version = update.version
        if update.kind != EndpointUpdateKind.CHANGES:
            self.entries.clear()
            self._addresses.clear()
        for entry in update.entries:
            if entry.availability == Availability.REMOVED:
                self.entries.pop(entry.server, None)
                self._addresses.pop(entry.server, None)
            else:
                self.entries[entry.server] = entry
                self._addresses[entry.server] = addresses[entry.server]
        self._up_by_server = {
            name: entry.availability == Availability.UP for name, entry in self.entries.items()
        }
        self.changed.set()
        self.changed = anyio.Event()
        after = {name: entry.availability for name, entry in self.entries.items()}
        changed = {name: state.value for name, state in after.items() if before.get(name) is not state}
        return changed | {name: Availability.REMOVED.value for name in before.keys() - after.keys()}

    def address(self, server: str) -> str | None:
        """The server's host:port; None if it is not listed."""
        return self._addresses.get(server)

    def started_ms(self, server: str) -> float:
        """When the server's process was last started (Unix ms); 0: long ago, or not known."""
        entry = self.entries.get(server)
        return entry.started_ms if entry is not None else 0.0

    def up_by_server(self) -> Mapping[str, bool]:
        """All listed servers, and whether each is up."""
        return self._up_by_server

    def count(self, availability: Availability) -> int:
        """How many servers have that availability."""
        return sum(entry.availability == availability for entry in self.entries.values())

    def role(self, server: str) -> Role | None:
        """The server's role; None if it is not listed or its kind is unknown."""
        entry = self.entries.get(server)
        return self._kinds[entry.kind].role if entry and entry.kind < len(self._kinds) else None


def summarize_changes(changed: Mapping[str, str]) -> dict[str, object]:
    """How many servers have changed, and the first `MAX_LOGGED_SERVERS` of them, for a log line."""
    return {"count": len(changed), "changed": dict(islice(changed.items(), MAX_LOGGED_SERVERS))}
