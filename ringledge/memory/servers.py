"""The list of servers as discovery told it, with the addresses that the decisions don't need."""

from __future__ import annotations

from crowstand import interface as i


class ServerList:
    """Entries and addresses by the server's name."""

    def __init__(self, kinds: tuple[i.ServerKind, ...]) -> None:
        self._kinds = kinds
        self.version = 0
        self.entries: dict[str, i.ServerEntry] = {}
        self._addresses: dict[str, str] = {}

    def apply(self, members: i.Members, addresses: dict[str, str]) -> None:
        """Take news of the list in; a whole list replaces what was kept."""
        self.version = members.version
        if members.form != i.ListForm.CHANGES:
            self.entries.clear()
            self._addresses.clear()
        for entry in members.entries:
            if entry.availability == i.Availability.GONE:
                self.entries.pop(entry.server, None)
                self._addresses.pop(entry.server, None)
            else:
                self.entries[entry.server] = entry
                self._addresses[entry.server] = addresses[entry.server]

    def address(self, server: str) -> str | None:
        """Where the server listens, or None once it is gone."""
        return self._addresses.get(server)

    def role(self, server: str) -> i.Role | None:
        """What the server does, where it is known."""
        entry = self.entries.get(server)
        return self._kinds[entry.kind].role if entry and entry.kind < len(self._kinds) else None
