"""The current list of servers, with their addresses, which the routing policy does not know."""

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

MAX_LOGGED_SERVERS = 20  # per log line


class ServerList:
    """Entries and addresses of the listed servers, by name."""

    def __init__(self, kinds: tuple[ServerKind, ...]) -> None:
        self._kinds = kinds
        self.version = 0
        self.entries: dict[str, ServerEntry] = {}
        self._addresses: dict[str, str] = {}
        self._up_by_server: dict[str, bool] = {}
        self.changed = anyio.Event()  # each update sets this event and replaces it by a new one

    def apply(self, update: EndpointUpdate, addresses: dict[str, str]) -> dict[str, str]:
        """Apply changes, or a complete list, which replaces all entries.

        Returns the new availability of each server whose availability has changed.
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
        """The server's host:port; None if the server is not listed."""
        return self._addresses.get(server)

    def started_ms(self, server: str) -> float:
        """When the server's process was last started, in Unix ms; 0 if that was long ago or is unknown."""
        entry = self.entries.get(server)
        return entry.started_ms if entry is not None else 0.0

    def up_by_server(self) -> Mapping[str, bool]:
        """Whether each listed server is up, by name."""
        return self._up_by_server

    def count(self, availability: Availability) -> int:
        """The number of servers with an availability."""
        return sum(entry.availability == availability for entry in self.entries.values())

    def role(self, server: str) -> Role | None:
        """The server's role; None if the server is not listed or its kind is unknown."""
        entry = self.entries.get(server)
        return self._kinds[entry.kind].role if entry and entry.kind < len(self._kinds) else None


def summarize_changes(changed: Mapping[str, str]) -> dict[str, object]:
    """Fields for a log line: the number of changed servers, and the first `MAX_LOGGED_SERVERS` of them."""
    return {"count": len(changed), "changed": dict(islice(changed.items(), MAX_LOGGED_SERVERS))}
