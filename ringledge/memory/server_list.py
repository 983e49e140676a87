"""The current list of servers, with their addresses, which the routing policy does not know."""

from __future__ import annotations

from collections import Counter
from collections.abc import Mapping
from itertools import islice

import anyio

from ringledge.routing.interface import (
    Availability,
    EndpointUpdate,
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
        self._counts = Counter[Availability]()  # number of listed servers
        self.changed = anyio.Event()  # each update sets this event and replaces it by a new one

    def apply(self, update: EndpointUpdate, addresses: dict[str, str]) -> dict[str, str]:
        """Apply changes, or a complete list, which replaces all entries.

        Returns the new availability of each server whose availability has changed.
        """
        self.version = update.version
        changed = dict[str, str]()
        if update.is_whole:
            for name in self.entries.keys() - {entry.server for entry in update.entries}:
                changed |= self._set(name, None, "")
        for entry in update.entries:
            listed = None if entry.availability == Availability.REMOVED else entry
            changed |= self._set(entry.server, listed, addresses.get(entry.server, ""))
        self.changed.set()
        self.changed = anyio.Event()
        return changed

    def _set(self, name: str, entry: ServerEntry | None, address: str) -> dict[str, str]:
        """Replace the entry of one server, None if it is not listed; returns its availability if changed."""
        before = self.entries.get(name)
        if before is not None:
            self._counts[before.availability] -= 1
        if entry is None:
            self.entries.pop(name, None)
            self._addresses.pop(name, None)
            self._up_by_server.pop(name, None)
            return {name: Availability.REMOVED.value} if before is not None else {}
        self.entries[name] = entry
        self._addresses[name] = address
        self._up_by_server[name] = entry.availability == Availability.UP
        self._counts[entry.availability] += 1
        is_same = before is not None and before.availability is entry.availability
        return {} if is_same else {name: entry.availability.value}

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
        return self._counts[availability]

    def role(self, server: str) -> Role | None:
        """The server's role; None if the server is not listed or its kind is unknown."""
        entry = self.entries.get(server)
        return self._kinds[entry.kind].role if entry and entry.kind < len(self._kinds) else None


def summarize_changes(changed: Mapping[str, str]) -> dict[str, object]:
    """Fields for a log line: the number of changed servers, and the first `MAX_LOGGED_SERVERS` of them."""
    return {"count": len(changed), "changed": dict(islice(changed.items(), MAX_LOGGED_SERVERS))}
